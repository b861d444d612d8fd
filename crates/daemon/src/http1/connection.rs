//! One connection of a caller: reads requests, runs their calls, writes the answers.
//!
//! All of it is one task. The calls in hand are futures of that task, so the end of the
//! connection drops, and with that cancels, all of them.

use std::collections::VecDeque;
use std::future::{Future, poll_fn};
use std::io;
use std::pin::{Pin, pin};
use std::task::{Context, Poll};
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use hyper::body::Bytes;
use hyper::{Method, Response, Version};
use lynxcleat_policy::{CallNumber, Pipeline, PipelineLimits, ReadyResponse, RequestInfo};
use thiserror::Error;
use tokio::io::ReadBuf;

use super::body::{BodyFeed, RequestBody};
use super::encode::{Encoded, Form, encode};
use super::ending;
use super::head::{Framing, Head};
use super::malformed::Malformed;
use super::output::Output;
use super::requests::{Item, Requests};
use super::service::Service;
use super::stream::CallerStream;
use super::waits::{IdleLimit, Looks};

/// Largest rest of a body that is read and thrown away so that its connection can be kept:
/// a caller that was answered early is often sending yet, and needs no new connection.
const DRAIN_BYTES: u64 = 1 << 20;
/// Size that the head of an answer is taken to have while the answer waits for its turn.
const ANSWER_HEAD_BYTES: usize = 512;

const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// Bounds of a connection.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionLimits {
    /// Calls and answers in hand.
    pub pipeline: PipelineLimits,
    /// Longest time for the head of a request, and between two requests.
    pub idle: Duration,
}

/// Why a connection ended before its time.
#[derive(Debug, Error)]
pub enum ConnectionError {
    /// The stream failed.
    #[error("{0}")]
    Stream(#[from] io::Error),
    /// The caller went away while calls were in hand.
    #[error("the caller left with {0} calls in hand")]
    Left(usize),
    /// No request came in time.
    #[error("no request came in time")]
    Idle,
}

/// Serves a connection until it ends. When `closing` is ready, the calls in hand are
/// finished, and no others are begun.
///
/// # Errors
/// What ended the connection other than its last answer or its caller.
pub async fn serve<S: CallerStream, V: Service>(
    mut stream: S,
    service: &V,
    limits: ConnectionLimits,
    closing: impl Future<Output = ()>,
) -> Result<(), ConnectionError> {
    let mut closing = pin!(closing);
    let mut connection = Connection::new(service, limits);
    let ended = poll_fn(|cx| {
        if !connection.is_closing && closing.as_mut().poll(cx).is_ready() {
            connection.close_when_idle();
        }
        connection.poll(&mut stream, cx)
    });
    let Ended { may_send } = ended.await?;
    drop(connection);
    ending::end(&mut stream, may_send).await;
    Ok(())
}

/// The last answer was written.
struct Ended {
    /// The caller may still send something.
    may_send: bool,
}

struct Connection<'a, V: Service> {
    service: &'a V,
    requests: Requests,
    pipeline: Pipeline,
    /// The request that was read and not begun.
    waiting: Option<Waiting<V::Checked>>,
    body: Option<OpenBody>,
    running: FuturesUnordered<Running<V::Answering>>,
    /// One for each call from `first_slot` on.
    slots: VecDeque<Slot>,
    first_slot: u64,
    output: Output,
    idle: IdleLimit,
    looks: Looks,
    /// The daemon wants the connection to end.
    is_closing: bool,
    is_stopping: bool,
    /// The caller sends nothing more.
    is_at_end: bool,
    /// The caller said that its last request is one.
    is_last_said: bool,
    is_at_bound: bool,
    /// What is left of the input cannot be framed.
    is_cut: bool,
}

struct Waiting<C> {
    number: CallNumber,
    request: Read<C>,
}

enum Read<C> {
    Request(C, RequestBody),
    Malformed(Malformed),
}

/// What a look at the stream brought.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Came {
    /// Bytes, or the end.
    Bytes,
    /// Nothing yet.
    Nothing,
    /// It was not looked at: there is no room to read.
    NoRoom,
}

/// A body that has not arrived whole.
struct OpenBody {
    number: CallNumber,
    feed: BodyFeed,
    /// Its caller waits for `100 Continue`.
    is_held_back: bool,
    /// Bytes of it that are still thrown away, once its call is answered.
    drain_left: Option<u64>,
}

impl OpenBody {
    /// Whether a piece is to be taken: before the answer any, and as many as are thrown away
    /// after it.
    fn may_take(&mut self, bytes: usize) -> bool {
        let Some(left) = self.drain_left else {
            return true;
        };
        let rest = left.checked_sub(bytes as u64);
        self.drain_left = rest.or(Some(0));
        rest.is_some()
    }
}

struct Slot {
    form: Form,
    answer: Option<Response<Bytes>>,
}

struct Running<F> {
    number: CallNumber,
    answering: F,
}

impl<F: Future<Output = Response<Bytes>> + Unpin> Future for Running<F> {
    type Output = (CallNumber, Response<Bytes>);

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Self::Output> {
        let number = self.number;
        let answered = Pin::new(&mut self.answering).poll(cx);
        answered.map(|answer| (number, answer))
    }
}

impl<'a, V: Service> Connection<'a, V> {
    fn new(service: &'a V, limits: ConnectionLimits) -> Self {
        Connection {
            service,
            requests: Requests::default(),
            pipeline: Pipeline::new(limits.pipeline),
            waiting: None,
            body: None,
            running: FuturesUnordered::new(),
            slots: VecDeque::new(),
            first_slot: 0,
            output: Output::default(),
            idle: IdleLimit::new(limits.idle),
            looks: Looks::default(),
            is_closing: false,
            is_stopping: false,
            is_at_end: false,
            is_last_said: false,
            is_at_bound: false,
            is_cut: false,
        }
    }

    fn close_when_idle(&mut self) {
        self.is_closing = true;
        self.stop();
    }

    fn stop(&mut self) {
        self.is_stopping = true;
        self.pipeline.begin_shutdown();
    }

    fn poll<S: CallerStream>(
        &mut self,
        stream: &mut S,
        cx: &mut Context<'_>,
    ) -> Poll<Result<Ended, ConnectionError>> {
        loop {
            if !self.is_stopping && self.service.is_stopping() {
                self.stop();
            }
            let came = self.read(stream, cx)?;
            self.take_in(cx);
            // Without another look the stream would wake nobody, and a caller that leaves
            // would not be noticed.
            let is_full_no_more = came == Came::NoRoom && !self.requests.space().is_empty();
            let is_answered = self.poll_running(cx);
            let is_out = self.put_out();
            let is_relieved = self.write(stream, cx)?;
            let has_more = is_answered || is_out || is_relieved;
            let is_read = came == Came::Bytes;
            let goes_on = is_read || is_full_no_more || has_more && self.has_unbegun();
            if !goes_on {
                break;
            }
        }
        match self.ended() {
            Some(ended) => Poll::Ready(Ok(ended)),
            None => self.poll_waits(stream, cx),
        }
    }

    /// Writes what the caller takes. True where that may let more requests be read.
    fn write<S: CallerStream>(
        &mut self,
        stream: &mut S,
        cx: &mut Context<'_>,
    ) -> Result<bool, ConnectionError> {
        let before = self.output.unsent();
        if let Poll::Ready(written) = self.output.poll_write(stream, cx) {
            written?;
        }
        Ok(self.is_at_bound && self.output.unsent() < before)
    }

    /// Whether something was read that is not begun, or not handed on.
    fn has_unbegun(&self) -> bool {
        self.waiting.is_some() || self.body.is_some() || self.requests.has_input()
    }

    fn ended(&self) -> Option<Ended> {
        let is_idle = self.pipeline.is_idle() && self.output.unsent() == 0;
        let is_over = self.pipeline.is_closed() || self.is_closing || self.is_at_end;
        let is_said = self.is_last_said && !self.requests.has_input() && self.body.is_none();
        (is_idle && is_over).then_some(Ended {
            may_send: !self.is_at_end && !is_said,
        })
    }

    /// Reads what fits in the buffer.
    fn read<S: CallerStream>(
        &mut self,
        stream: &mut S,
        cx: &mut Context<'_>,
    ) -> Result<Came, ConnectionError> {
        if self.is_at_end {
            return Ok(Came::Nothing);
        }
        let space = self.requests.space();
        if space.is_empty() {
            return Ok(Came::NoRoom);
        }
        let mut buffer = ReadBuf::new(space);
        if Pin::new(stream).poll_read(cx, &mut buffer)?.is_pending() {
            return Ok(Came::Nothing);
        }
        let bytes = buffer.filled().len();
        self.requests.filled(bytes);
        if bytes == 0 {
            self.take_end()?;
        }
        Ok(Came::Bytes)
    }

    /// The caller closed its sending side. It counts as gone while calls are in hand, but
    /// where it cut the body of the only one: that one is told.
    fn take_end(&mut self) -> Result<(), ConnectionError> {
        self.is_at_end = true;
        let is_body_cut = self.body.take().is_some() && self.slots.len() == 1;
        let in_hand = self.running.len() + usize::from(self.waiting.is_some());
        if in_hand > 0 && !is_body_cut {
            return Err(ConnectionError::Left(in_hand));
        }
        self.is_cut = true;
        self.pipeline.close_input();
        Ok(())
    }

    /// Takes apart what was read, as far as it may be, and begins what may begin.
    fn take_in(&mut self, cx: &mut Context<'_>) {
        self.begin_waiting();
        while !self.is_cut {
            let taken = match self.requests.is_in_body() {
                true => self.take_body(cx),
                false => self.take_request(),
            };
            if !taken {
                break;
            }
        }
    }

    fn take_request(&mut self) -> bool {
        if !self.pipeline.can_read(self.output.unsent()) {
            self.note_bound();
            return false;
        }
        self.is_at_bound = false;
        match self.requests.next(usize::MAX) {
            Ok(Some(Item::Head(head))) => self.take_head(*head),
            Ok(_) => return false,
            Err(malformed) => self.take_malformed(malformed),
        }
        self.idle.restart();
        self.begin_waiting();
        true
    }

    fn note_bound(&mut self) {
        let is_at_bound = self.pipeline.is_at_limit(self.output.unsent());
        if is_at_bound && !self.is_at_bound && self.requests.has_input() {
            self.is_at_bound = true;
            self.service.note_bound();
        }
    }

    fn take_head(&mut self, head: Head) {
        let Head {
            parts,
            framing,
            persists,
            expects_continue,
        } = head;
        let form = Form {
            is_head: parts.method == Method::HEAD,
            is_old: parts.version == Version::HTTP_10,
        };
        // A caller that states a length and chunks may hold the connection to go on.
        self.is_last_said = !persists && framing != Framing::Chunked;
        let checked = self.service.check(parts);
        let has_effects = self.service.has_effects(&checked);
        let number = self.arrive(has_effects, !persists, form);
        let body = self.body_of(number, framing, expects_continue);
        let request = Read::Request(checked, body);
        self.waiting = Some(Waiting { number, request });
    }

    fn take_malformed(&mut self, malformed: Malformed) {
        self.is_cut = true;
        self.service.note_malformed(malformed);
        let form = Form {
            is_head: false,
            is_old: false,
        };
        let number = self.arrive(false, true, form);
        let request = Read::Malformed(malformed);
        self.waiting = Some(Waiting { number, request });
    }

    fn arrive(&mut self, has_effects: bool, is_last: bool, form: Form) -> CallNumber {
        self.slots.push_back(Slot { form, answer: None });
        self.pipeline.on_request(RequestInfo {
            has_effects,
            is_last,
        })
    }

    /// The body of a request: whole where it was read already, and fed otherwise.
    fn body_of(
        &mut self,
        number: CallNumber,
        framing: Framing,
        expects_continue: bool,
    ) -> RequestBody {
        if self.requests.has_whole_body() {
            let data = match self.requests.next(usize::MAX) {
                Ok(Some(Item::Data(data))) => data,
                _ => return RequestBody::whole(Bytes::new()),
            };
            let _ = self.requests.next(usize::MAX);
            return RequestBody::whole(data);
        }
        let length = match framing {
            Framing::Length(length) => Some(length),
            Framing::Chunked => None,
        };
        let (feed, body) = RequestBody::fed(length);
        self.body = Some(OpenBody {
            number,
            feed,
            is_held_back: expects_continue,
            drain_left: None,
        });
        body
    }

    /// Hands on a piece of the open body. True where one was there.
    fn take_body(&mut self, cx: &mut Context<'_>) -> bool {
        let Some(open) = &mut self.body else {
            return false;
        };
        let room = open.feed.room(cx);
        if open.is_held_back && self.requests.has_input() {
            open.is_held_back = false;
        }
        let is_next = open.number.0 == self.first_slot;
        if open.is_held_back && is_next && open.feed.is_wanted() {
            open.is_held_back = false;
            self.output.push(Bytes::from_static(CONTINUE));
        }
        if room == 0 {
            return false;
        }
        match self.requests.next(room) {
            Ok(Some(Item::Data(data))) => {
                let is_too_long = !open.may_take(data.len());
                open.feed.push(data);
                if is_too_long {
                    self.cut_rest();
                }
            }
            Ok(Some(_)) => self.finish_body(),
            Ok(None) => return false,
            Err(malformed) => self.cut_body(malformed),
        }
        true
    }

    fn finish_body(&mut self) {
        if let Some(open) = self.body.take() {
            open.feed.finish();
        }
    }

    /// The body cannot be framed; its call is told, and nothing behind it is read.
    fn cut_body(&mut self, malformed: Malformed) {
        self.service.note_malformed(malformed);
        self.body = None;
        self.is_cut = true;
        self.pipeline.close_input();
    }

    /// Too much of a body came after its answer: the connection ends.
    fn cut_rest(&mut self) {
        self.body = None;
        self.is_cut = true;
        self.pipeline.close_input();
    }

    fn begin_waiting(&mut self) {
        if self.waiting.is_none() || self.pipeline.start_next().is_none() {
            return;
        }
        let Some(Waiting { number, request }) = self.waiting.take() else {
            return;
        };
        let is_behind = !self.running.is_empty();
        let answering = match request {
            Read::Request(checked, body) => self.service.begin(checked, body, is_behind),
            Read::Malformed(malformed) => self.service.refuse(malformed),
        };
        self.running.push(Running { number, answering });
    }

    /// Lets the calls in hand go on. True where one was answered.
    fn poll_running(&mut self, cx: &mut Context<'_>) -> bool {
        let mut moved = false;
        while let Poll::Ready(Some((number, answer))) = self.running.poll_next_unpin(cx) {
            self.take_answer(number, answer, cx);
            moved = true;
        }
        moved
    }

    fn take_answer(&mut self, number: CallNumber, answer: Response<Bytes>, cx: &mut Context<'_>) {
        let bytes = answer.body().len() + ANSWER_HEAD_BYTES;
        let ends = self.leave_body(number, cx);
        self.pipeline.on_response(number, bytes, ends);
        let slot = self.slots.get_mut((number.0 - self.first_slot) as usize);
        if let Some(slot) = slot {
            slot.answer = Some(answer);
        }
    }

    /// A call was answered. Where its body is still open and too much of it is to come, it is
    /// not read, and the connection ends: true.
    fn leave_body(&mut self, number: CallNumber, cx: &mut Context<'_>) -> bool {
        let is_open = |open: &Option<OpenBody>| {
            let open = open.as_ref();
            open.is_some_and(|open| open.number == number)
        };
        while is_open(&self.body) && self.take_body(cx) {}
        let Some(open) = self.body.as_mut().filter(|open| open.number == number) else {
            return false;
        };
        let left = self.requests.left_of_body();
        if !open.is_held_back && left.is_none_or(|left| left <= DRAIN_BYTES) {
            open.drain_left = Some(DRAIN_BYTES);
            return false;
        }
        self.body = None;
        self.is_cut = true;
        true
    }

    /// Encodes the answers whose turn it is. True where one went out.
    fn put_out(&mut self) -> bool {
        let mut moved = false;
        while let Some(ReadyResponse { closes, .. }) = self.pipeline.pop_ready() {
            self.first_slot += 1;
            let Some(slot) = self.slots.pop_front() else {
                break;
            };
            if let Some(answer) = slot.answer {
                let Encoded { head, body } = encode(answer, slot.form, closes);
                self.output.push(Bytes::from(head));
                self.output.push(body);
            }
            self.idle.restart();
            moved = true;
        }
        moved
    }

    fn poll_waits<S: CallerStream>(
        &mut self,
        stream: &S,
        cx: &mut Context<'_>,
    ) -> Poll<Result<Ended, ConnectionError>> {
        if self.pipeline.is_idle() && self.output.unsent() == 0 {
            return self.idle.poll(cx).map(|()| Err(ConnectionError::Idle));
        }
        if self.is_at_end || !self.requests.space().is_empty() {
            self.looks.stop();
            return Poll::Pending;
        }
        while self.looks.poll(cx).is_ready() {
            if stream.has_left() {
                return Poll::Ready(Err(ConnectionError::Left(self.running.len())));
            }
        }
        Poll::Pending
    }
}
