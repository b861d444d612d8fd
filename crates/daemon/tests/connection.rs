//! One connection with a service of the test's own: whatever is sent, in whatever pieces,
//! and however long the calls take, each request gets its answer, in order, and none hangs.

use std::future::{Future, pending};
use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll, Waker};
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use http_body_util::BodyExt;
use hyper::Response;
use hyper::body::Bytes;
use hyper::http::request::Parts;
use lynxcleat_daemon::http1::{
    CallerStream, ConnectionError, ConnectionLimits, Malformed, RequestBody, Service, serve,
};
use lynxcleat_policy::PipelineLimits;
use proptest::prelude::*;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, DuplexStream, ReadBuf};
use tokio::sync::Notify;

const PATIENCE: Duration = Duration::from_secs(10);
const LIMITS: ConnectionLimits = ConnectionLimits {
    pipeline: PipelineLimits {
        calls: 3,
        bytes: 3_000,
    },
    idle: PATIENCE,
};

/// One request, and what its call does.
#[derive(Clone, Debug)]
struct Plan {
    body: Vec<u8>,
    chunked: bool,
    has_effects: bool,
    /// Times that the call yields before it answers.
    yields: usize,
    /// Whether the call reads its body.
    reads: bool,
    answer_bytes: usize,
}

impl Plan {
    /// The request; its target tells the service what to do.
    fn request(&self, nth: usize) -> Vec<u8> {
        let Plan {
            has_effects,
            yields,
            reads,
            answer_bytes,
            ..
        } = self;
        let target = format!("/{nth}/{has_effects}/{yields}/{reads}/{answer_bytes}");
        let mut bytes = format!("POST {target} HTTP/1.1\r\nHost: x\r\n").into_bytes();
        if !self.chunked {
            bytes.extend(format!("Content-Length: {}\r\n\r\n", self.body.len()).into_bytes());
            bytes.extend(&self.body);
            return bytes;
        }
        bytes.extend(b"Transfer-Encoding: chunked\r\n\r\n");
        for chunk in self.body.chunks(700) {
            bytes.extend(format!("{:x}\r\n", chunk.len()).into_bytes());
            bytes.extend(chunk);
            bytes.extend(b"\r\n");
        }
        bytes.extend(b"0\r\n\r\n");
        bytes
    }

    fn answer(&self, nth: usize) -> String {
        let body = if self.reads { self.body.len() } else { 0 };
        format!("{nth}:{body}:{}", "x".repeat(self.answer_bytes))
    }
}

#[derive(Default)]
struct Calls {
    running: AtomicUsize,
    effects_running: AtomicUsize,
    is_stopping: AtomicBool,
}

/// A call that counts as running until it is dropped.
struct Running<'a>(&'a AtomicUsize);

impl<'a> Running<'a> {
    fn new(count: &'a AtomicUsize) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        Running(count)
    }
}

impl Drop for Running<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl<'a> Service for &'a Calls {
    type Checked = Vec<String>;
    type Answering = Pin<Box<dyn Future<Output = Response<Bytes>> + 'a>>;

    fn check(&self, parts: Parts) -> Vec<String> {
        let fields = parts.uri.path().split('/').skip(1);
        fields.map(str::to_owned).collect()
    }

    fn has_effects(&self, checked: &Vec<String>) -> bool {
        checked[1] == "true"
    }

    fn begin(&self, checked: Vec<String>, body: RequestBody, _: bool) -> Self::Answering {
        let calls = *self;
        let has_effects = self.has_effects(&checked);
        Box::pin(async move {
            let _running = Running::new(&calls.running);
            let _effects = has_effects.then(|| Running::new(&calls.effects_running));
            assert!(calls.running.load(Ordering::Relaxed) <= LIMITS.pipeline.calls);
            let number = |nth: usize| checked[nth].parse::<usize>().expect("a number");
            let mut read = 0;
            if checked[3] == "true" {
                let whole = body.collect().await.expect("a whole body");
                read = whole.to_bytes().len();
            }
            for _ in 0..number(2) {
                tokio::task::yield_now().await;
                let alone = calls.running.load(Ordering::Relaxed) == 1;
                let with_effects = calls.effects_running.load(Ordering::Relaxed);
                assert!(with_effects == 0 || alone, "beside one with effects");
            }
            let text = format!("{}:{read}:{}", checked[0], "x".repeat(number(4)));
            Response::new(Bytes::from(text))
        })
    }

    fn refuse(&self, malformed: Malformed) -> Self::Answering {
        let mut answer = Response::new(Bytes::new());
        *answer.status_mut() = malformed.status();
        Box::pin(std::future::ready(answer))
    }

    fn note_malformed(&self, _: Malformed) {}

    fn note_bound(&self) {}

    fn is_stopping(&self) -> bool {
        self.is_stopping.load(Ordering::Relaxed)
    }
}

/// Takes one answer off; its body, and whether it closes.
fn split(got: &mut Vec<u8>) -> Option<(String, bool)> {
    let head_end = got.windows(4).position(|four| four == b"\r\n\r\n")? + 4;
    let head = String::from_utf8_lossy(&got[..head_end]).into_owned();
    let length = head.split("content-length: ").nth(1)?;
    let length: usize = length.split("\r\n").next()?.parse().ok()?;
    if got.len() < head_end + length {
        return None;
    }
    let body = String::from_utf8_lossy(&got[head_end..head_end + length]).into_owned();
    got.drain(..head_end + length);
    Some((body, head.contains("connection: close")))
}

/// What a caller got, in order.
#[derive(Debug, Default)]
struct Got {
    bodies: Vec<String>,
    /// Answers that said that the connection closes.
    closing: usize,
    rest: Vec<u8>,
}

/// Reads answers until there are `wanted` or the connection ends.
async fn read(stream: &mut (impl AsyncReadExt + Unpin), wanted: usize) -> Got {
    let mut got = Got::default();
    let mut piece = [0; 5_000];
    while got.bodies.len() < wanted {
        match stream.read(&mut piece).await {
            Ok(bytes) if bytes > 0 => got.rest.extend_from_slice(&piece[..bytes]),
            _ => return got,
        }
        while let Some((body, closes)) = split(&mut got.rest) {
            got.bodies.push(body);
            got.closing += usize::from(closes);
        }
    }
    got
}

/// Sends the requests in pieces of these sizes, with room for `between` bytes on the way. With `stop_after`, a stop begins when as many
/// pieces were sent. Returns what came back.
async fn exchange(
    plans: &[Plan],
    (sizes, between): (&[usize], usize),
    stop_after: Option<usize>,
) -> Got {
    let calls = Calls::default();
    let requests = plans
        .iter()
        .enumerate()
        .map(|(nth, plan)| plan.request(nth));
    let bytes = requests.collect::<Vec<_>>().concat();
    let (near, far) = tokio::io::duplex(between);
    let service = &calls;
    // In a set of its own it is polled when it was woken itself, and not with the caller.
    let mut served = FuturesUnordered::new();
    served.push(serve(far, &service, LIMITS, pending()));
    let (mut reader, writer) = tokio::io::split(near);
    let sending = send(writer, &bytes, sizes, stop_after, &calls);
    let reading = async {
        let got = read(&mut reader, plans.len()).await;
        drop(reader);
        got
    };
    let caller = async {
        let (got, writer) = tokio::join!(reading, sending);
        drop(writer);
        got
    };
    let (got, _) = tokio::join!(caller, served.next());
    got
}

async fn send(
    mut writer: tokio::io::WriteHalf<DuplexStream>,
    bytes: &[u8],
    sizes: &[usize],
    stop_after: Option<usize>,
    calls: &Calls,
) -> tokio::io::WriteHalf<DuplexStream> {
    let mut rest = bytes;
    for (nth, size) in sizes.iter().cycle().enumerate() {
        if rest.is_empty() {
            break;
        }
        if stop_after == Some(nth) {
            calls.is_stopping.store(true, Ordering::Relaxed);
        }
        let (piece, left) = rest.split_at((*size).min(rest.len()));
        if writer.write_all(piece).await.is_err() {
            break;
        }
        rest = left;
        tokio::task::yield_now().await;
    }
    writer
}

fn run(future: impl Future<Output = Got>) -> Got {
    let mut builder = tokio::runtime::Builder::new_current_thread();
    let runtime = builder.enable_all().build().expect("a runtime");
    let bounded = runtime.block_on(async { tokio::time::timeout(PATIENCE, future).await });
    bounded.expect("it hangs")
}

fn plan() -> impl Strategy<Value = Plan> {
    let body = prop_oneof![
        3 => Just(0..1_usize),
        3 => Just(1..300),
        1 => Just(300..90_000),
    ];
    let body = body.prop_flat_map(|sizes| sizes.prop_map(|size| vec![b'b'; size]));
    let answer = prop_oneof![4 => 0..200_usize, 1 => 200..40_000_usize];
    (
        body,
        any::<bool>(),
        prop::bool::weighted(0.3),
        0..12_usize,
        answer,
    )
        .prop_map(|(body, chunked, has_effects, yields, answer_bytes)| Plan {
            body,
            chunked,
            has_effects,
            yields,
            reads: true,
            answer_bytes,
        })
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, max_shrink_iters: 10, rng_seed: proptest::test_runner::RngSeed::Fixed(3), ..ProptestConfig::with_cases(1_000) })]

    #[test]
    fn every_request_is_answered_in_order(
        plans in prop::collection::vec(plan(), 1..12),
        sizes in prop::collection::vec(1..2_000_usize, 1..8),
        between in prop::sample::select(vec![257_usize, 4_000, 100_000]),
    ) {
        let got = run(exchange(&plans, (&sizes, between), None));
        let expected: Vec<String> = plans.iter().enumerate().map(|(nth, plan)| plan.answer(nth)).collect();
        prop_assert_eq!(got.bodies, expected);
        prop_assert_eq!(got.closing, 0);
    }

    #[test]
    fn a_stop_answers_what_was_begun_and_closes_with_the_last(
        plans in prop::collection::vec(plan(), 1..12),
        sizes in prop::collection::vec(1..2_000_usize, 1..8),
        between in prop::sample::select(vec![257_usize, 4_000, 100_000]),
        stop_after in 0..30_usize,
    ) {
        let got = run(exchange(&plans, (&sizes, between), Some(stop_after)));
        let expected = plans.iter().enumerate().map(|(nth, plan)| plan.answer(nth));
        let expected: Vec<String> = expected.take(got.bodies.len()).collect();
        prop_assert_eq!(&got.bodies, &expected);
        prop_assert!(got.bodies.len() == plans.len() || got.closing == 1, "the last one closes");
        prop_assert!(got.rest.is_empty(), "nothing is cut");
    }

    /// Calls that leave their bodies: what was answered is in order, and the connection goes
    /// on or says that it ends.
    #[test]
    fn bodies_that_are_not_read_leave_the_connection_in_a_defined_state(
        plans in prop::collection::vec((plan(), any::<bool>()), 1..8),
        sizes in prop::collection::vec(1..2_000_usize, 1..8),
        between in prop::sample::select(vec![257_usize, 4_000, 100_000]),
    ) {
        let plans: Vec<Plan> = plans.into_iter().map(|(plan, reads)| Plan { reads, ..plan }).collect();
        let got = run(exchange(&plans, (&sizes, between), None));
        let expected = plans.iter().enumerate().map(|(nth, plan)| plan.answer(nth));
        let expected: Vec<String> = expected.take(got.bodies.len()).collect();
        prop_assert_eq!(&got.bodies, &expected);
        prop_assert!(got.bodies.len() == plans.len() || got.closing == 1);
        prop_assert!(got.rest.is_empty(), "nothing is cut");
    }
}

#[test]
fn a_caller_that_leaves_cancels_its_calls() {
    let mut builder = tokio::runtime::Builder::new_current_thread();
    let runtime = builder.enable_all().build().expect("a runtime");
    runtime.block_on(async {
        let calls = Calls::default();
        let service = &calls;
        let (mut near, far) = tokio::io::duplex(4_096);
        let caller = async {
            let endless = b"GET /0/false/1000000000/false/0 HTTP/1.1\r\nHost: x\r\n\r\n";
            near.write_all(&endless.repeat(2)).await.expect("written");
            while calls.running.load(Ordering::Relaxed) < 2 {
                tokio::task::yield_now().await;
            }
            drop(near);
        };
        let both = async { tokio::join!(serve(far, &service, LIMITS, pending()), caller) };
        let bounded = tokio::time::timeout(PATIENCE, both).await;
        let (ended, ()) = bounded.expect("it hangs");
        assert!(matches!(ended, Err(ConnectionError::Left(2))), "{ended:?}");
        assert_eq!(calls.running.load(Ordering::Relaxed), 0);
    });
}

/// Requests that wait since the caller did not take its answers are read when it has.
#[test]
fn answers_that_are_taken_at_last_let_more_be_read() {
    let plan = |answer_bytes| Plan {
        body: Vec::new(),
        chunked: false,
        has_effects: false,
        yields: 0,
        reads: true,
        answer_bytes,
    };
    let plans = [plan(9_000), plan(0), plan(0), plan(0), plan(0), plan(0)];
    let got = run(exchange(&plans, (&[10_000], 5_000), None));
    assert_eq!(got.bodies.len(), plans.len());
}

/// Bytes that wait between the two ends of a stream.
const STREAM_BYTES: usize = 4_096;
/// Bytes of a body that a connection takes from its caller while the call takes none: what
/// waits for the call, and what is read ahead.
const TAKEN_BYTES: usize = (64 << 10) + (64 << 10);

/// Pieces that a call takes: more than the stream holds besides.
const PIECES: usize = 4;

/// A call that takes some of its body when it is told to, and then nothing more.
#[derive(Default)]
struct SomePieces {
    may_take: Notify,
    has_taken: AtomicBool,
}

impl<'a> Service for &'a SomePieces {
    type Checked = ();
    type Answering = Pin<Box<dyn Future<Output = Response<Bytes>> + 'a>>;

    fn check(&self, _: Parts) {}

    fn has_effects(&self, (): &()) -> bool {
        false
    }

    fn begin(&self, (): (), mut body: RequestBody, _: bool) -> Self::Answering {
        let call = *self;
        Box::pin(async move {
            call.may_take.notified().await;
            for _ in 0..PIECES {
                let piece = body.frame().await.expect("a piece");
                assert!(piece.is_ok());
            }
            call.has_taken.store(true, Ordering::Relaxed);
            pending().await
        })
    }

    fn refuse(&self, malformed: Malformed) -> Self::Answering {
        panic!("{malformed}");
    }

    fn note_malformed(&self, _: Malformed) {}

    fn note_bound(&self) {}

    fn is_stopping(&self) -> bool {
        false
    }
}

/// A stream that its caller can reset.
struct Resettable {
    stream: DuplexStream,
    reset: Arc<Reset>,
}

#[derive(Default)]
struct Reset {
    is_reset: AtomicBool,
    reader: Mutex<Option<Waker>>,
}

impl Reset {
    fn reset(&self) {
        self.is_reset.store(true, Ordering::Relaxed);
        let reader = self.reader.lock().expect("not poisoned").take();
        reader.into_iter().for_each(Waker::wake);
    }
}

impl CallerStream for Resettable {
    fn has_left(&self) -> bool {
        false
    }
}

impl AsyncRead for Resettable {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.reset.is_reset.load(Ordering::Relaxed) {
            return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()));
        }
        let read = Pin::new(&mut self.stream).poll_read(cx, buf);
        // As with a socket, a read that brought something wakes nobody later.
        let reader = read.is_pending().then(|| cx.waker().clone());
        *self.reset.reader.lock().expect("not poisoned") = reader;
        read
    }
}

impl AsyncWrite for Resettable {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

/// The connection has no room when it is told that the call took something, and some after it.
#[test]
fn a_reset_while_the_call_takes_nothing_is_noticed() {
    let mut builder = tokio::runtime::Builder::new_current_thread();
    let runtime = builder.enable_all().build().expect("a runtime");
    runtime.block_on(async {
        let call = SomePieces::default();
        let service = &call;
        let (mut near, stream) = tokio::io::duplex(STREAM_BYTES);
        // No limit of the connection ends it before the test gives up.
        let limits = ConnectionLimits {
            idle: 6 * PATIENCE,
            ..LIMITS
        };
        let reset = Arc::new(Reset::default());
        let far = Resettable {
            stream,
            reset: Arc::clone(&reset),
        };
        let caller = async {
            let head = b"POST /up HTTP/1.1\r\nHost: x\r\nContent-Length: 10000000\r\n\r\n";
            near.write_all(head).await.expect("written");
            // All of it is written once the connection and the stream are full.
            let body = vec![b'x'; TAKEN_BYTES + STREAM_BYTES];
            near.write_all(&body).await.expect("written");
            call.may_take.notify_one();
            while !call.has_taken.load(Ordering::Relaxed) {
                tokio::task::yield_now().await;
            }
            // What the connection does about it is done when it is polled once more.
            tokio::task::yield_now().await;
            reset.reset();
        };
        // Apart, so that neither is woken for the other.
        let served = async { Some(serve(far, &service, limits, pending()).await) };
        let caller = async {
            caller.await;
            None
        };
        let mut both: FuturesUnordered<Pin<Box<dyn Future<Output = _>>>> = FuturesUnordered::new();
        both.push(Box::pin(served));
        both.push(Box::pin(caller));
        let ended = tokio::time::timeout(PATIENCE, async {
            loop {
                if let Some(Some(ended)) = both.next().await {
                    return ended;
                }
            }
        });
        let ended = ended.await.expect("it hangs");
        let is_reset = matches!(&ended, Err(ConnectionError::Stream(_)));
        assert!(is_reset, "{ended:?}");
    });
}
