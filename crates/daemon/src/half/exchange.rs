//! One request to the target and its whole answer.

use std::time::Duration;

use http_body_util::{BodyExt, Either, Full, LengthLimitError, Limited};
use hyper::body::{Bytes, Incoming};
use hyper::client::conn::TrySendError;
use hyper::header::{CONTENT_LENGTH, HeaderMap, HeaderName, HeaderValue};
use hyper::http::response::Parts;
use hyper::{Method, Response, Uri};
use lynxcleat_policy::Micros;
use lynxcleat_wire::{Answer, Header, RequestHead};
use serde_bytes::ByteBuf;

use super::bodies::{BodyCut, Expected, PieceBody};
use super::pool::{Asked, ConnectionHistory, Pool, Sender};
use crate::dialect::{AnswerKind, Dialect, TargetLoad};
use crate::headers::{is_hop_by_hop, listed_in_connection};

/// Largest answer to the question for the load, in bytes.
const LOAD_ANSWER_BYTES: usize = 16 << 10;
/// Pause between a write and the time that is noted for it. On a host that has used up its
/// share of a processor, bytes leave and clocks move on only when it runs again; after a pause
/// both have. A call that is noted late keeps its room for longer, which does no harm.
const WRITTEN_PAUSE: Duration = Duration::from_millis(1);
/// Hint for callers where a target that sheds gives none.
const SHED_RETRY_AFTER_US: Micros = 100_000;

/// What is written to the target.
pub(super) struct Request<'a> {
    pub call: String,
    pub head: RequestHead,
    pub body: RequestBody<'a>,
    pub left_us: Micros,
    pub body_limit: usize,
    pub instance: Option<String>,
    pub caller_service: Option<String>,
    /// Name of the calling organisation.
    pub organisation: Option<String>,
}

/// The body that is written.
pub(super) enum RequestBody<'a> {
    /// It is here.
    Whole(Vec<u8>),
    /// It comes in pieces once its window is open.
    Pieces(&'a Expected),
}

/// How an exchange with the target ended.
pub(super) enum Exchange {
    /// The whole answer arrived, with the target's load where it tells it.
    Answer(Answer, Option<TargetLoad>),
    /// The target says that it did not run the call.
    Shed { retry_after_us: Micros },
    /// Another incarnation of the target answered; the call was not run.
    OtherInstance,
    /// Nothing was written, since the target cannot be reached.
    NotWritten,
    /// Nothing was written, since the body did not come.
    NoBody,
    /// The request was written, in whole or in part, and no whole answer came.
    Lost,
}

/// What a target tells that was asked for its load.
pub(super) struct Told {
    /// Its load, where it tells it.
    pub load: Option<TargetLoad>,
    /// How much longer it is cold, in microseconds, where it tells it.
    pub cold_left_us: Option<Micros>,
    /// Its incarnation, where it tells it.
    pub instance: Option<String>,
    /// Whether it says that it is well and takes calls.
    pub well: bool,
}

impl Told {
    /// Whether there is nothing to learn from asking the target.
    pub fn is_empty(&self) -> bool {
        self.load.is_none() && self.cold_left_us.is_none()
    }
}

/// A request's body as it is written.
pub(super) type TargetBody = Either<Full<Bytes>, PieceBody>;

type HttpRequest = hyper::Request<TargetBody>;

impl Pool {
    /// Writes a request and reads the whole answer; `sends` is called once it is written, and
    /// `hears` with the headers of an answer of the incarnation meant. If the future is dropped,
    /// the connection is closed.
    pub(super) async fn exchange(
        &self,
        dialect: &Dialect,
        request: Request<'_>,
        (sends, hears): (impl Fn(), impl Fn(&HeaderMap)),
    ) -> Exchange {
        let body_limit = request.body_limit;
        let is_head = request.head.method == "HEAD";
        let call = request.call.clone();
        let expected = match request.body {
            RequestBody::Pieces(expected) => Some(expected),
            RequestBody::Whole(_) => None,
        };
        // A body is asked for only when there is a connection for it.
        let mut connection = self.take_logged().await;
        if connection.is_none() {
            return Exchange::NotWritten;
        }
        let mut http = match begin(dialect, request).await {
            Ok(Some(http)) => http,
            Ok(None) => return Exchange::NotWritten,
            Err(BodyCut) => return Exchange::NoBody,
        };
        loop {
            let taken = match connection.take() {
                Some(sender) => Some(sender),
                None => self.take_logged().await,
            };
            let Some(mut sender) = taken else {
                return Exchange::NotWritten;
            };
            if let Some(expected) = expected {
                expected.set_begun();
            }
            match send(&mut sender, http, &sends).await {
                Ok(response) => {
                    if answers_another(dialect, &response, &call, &sender.history) {
                        return Exchange::Lost;
                    }
                    sender.history.answered(Asked::Call);
                    let (parts, body) = response.into_parts();
                    let kind = (dialect.answer_kind)(&parts);
                    if kind != AnswerKind::OtherInstance {
                        hears(&parts.headers);
                    }
                    return self
                        .finish(
                            dialect,
                            (sender, expected),
                            (kind, parts, body),
                            (body_limit, is_head),
                        )
                        .await;
                }
                // Given back unwritten: the target had closed an idle connection.
                Err(mut error) => match error.take_message() {
                    Some(unwritten) => http = unwritten,
                    None => return Exchange::Lost,
                },
            }
        }
    }

    async fn take_logged(&self) -> Option<Sender> {
        match self.take().await {
            Ok(sender) => Some(sender),
            Err(error) => {
                log::debug!("target: {error}");
                None
            }
        }
    }

    /// Asks the target for its load at a path that it answers at once. Nothing where no
    /// whole answer came.
    pub(super) async fn ask_load(&self, dialect: &Dialect, path: &str) -> Option<Told> {
        let request = hyper::Request::get(path)
            .header(hyper::header::HOST, "target")
            .body(Either::Left(Full::default()))
            .ok()?;
        let mut sender = self.take().await.ok()?;
        let response = sender.http.try_send_request(request).await.ok()?;
        let headers = response.headers();
        if headers.contains_key(&dialect.call) {
            log_unmatched(dialect, &response, None, &sender.history);
        }
        let told = Told {
            load: dialect.load(headers),
            cold_left_us: dialect.cold_left(headers).unwrap_or_else(|error| {
                log::warn!("the target told no cold time: {error}");
                None
            }),
            instance: dialect.told_instance(headers),
            well: response.status().is_success() && !dialect.is_leaving(headers),
        };
        Limited::new(response.into_body(), LOAD_ANSWER_BYTES)
            .collect()
            .await
            .ok()?;
        sender.history.answered(Asked::Load);
        self.put_back(sender);
        Some(told)
    }

    async fn finish(
        &self,
        dialect: &Dialect,
        (sender, expected): (Sender, Option<&Expected>),
        (kind, parts, body): (AnswerKind, Parts, Incoming),
        (body_limit, is_head): (usize, bool),
    ) -> Exchange {
        let body = match Limited::new(body, body_limit).collect().await {
            Ok(whole) => whole.to_bytes(),
            Err(error) => {
                let too_large = error.is::<LengthLimitError>();
                log::warn!(too_large; "answer of the target: {error}");
                return Exchange::Lost;
            }
        };
        // The rest of a body is still due where the target answered before it had all of it.
        if expected.is_none_or(Expected::is_handed_over) {
            self.put_back(sender);
        }
        match kind {
            AnswerKind::Ran => {}
            AnswerKind::NotRun { retry_after_us } => {
                let retry_after_us = retry_after_us.unwrap_or(SHED_RETRY_AFTER_US);
                return Exchange::Shed { retry_after_us };
            }
            AnswerKind::OtherInstance => return Exchange::OtherInstance,
        }
        let answer = Answer {
            status: parts.status.as_u16(),
            headers: end_to_end(dialect, &parts.headers, is_head),
            body: ByteBuf::from(body.to_vec()),
        };
        Exchange::Answer(answer, dialect.load(&parts.headers))
    }
}

/// Sends a request, says when it is written, and waits for the head of the answer.
async fn send(
    sender: &mut Sender,
    request: HttpRequest,
    sends: impl Fn(),
) -> Result<Response<Incoming>, TrySendError<HttpRequest>> {
    sender.written.mark_unchanged();
    let answered = sender.http.try_send_request(request);
    tokio::pin!(answered);
    let written = async {
        // The connection's end is told by the answer that does not come.
        let _ = sender.written.changed().await;
        tokio::time::sleep(WRITTEN_PAUSE).await;
    };
    tokio::select! {
        biased;
        response = &mut answered => {
            sends();
            return response;
        }
        () = written => sends(),
    }
    answered.await
}

/// Makes the request, for a body in pieces once its first is there. Nothing where it cannot
/// be written.
async fn begin(dialect: &Dialect, request: Request<'_>) -> Result<Option<HttpRequest>, BodyCut> {
    let body = match &request.body {
        RequestBody::Whole(_) => None,
        RequestBody::Pieces(expected) => Some(expected.begin().await?),
    };
    Ok(build(dialect, request, body))
}

fn build(
    dialect: &Dialect,
    request: Request<'_>,
    pieces: Option<PieceBody>,
) -> Option<HttpRequest> {
    let Request {
        call,
        head,
        body,
        left_us,
        instance,
        caller_service,
        organisation,
        ..
    } = request;
    let body = match (body, pieces) {
        (_, Some(pieces)) => Either::Right(pieces),
        (RequestBody::Whole(bytes), None) => Either::Left(Full::new(Bytes::from(bytes))),
        (RequestBody::Pieces(_), None) => return None,
    };
    let method = Method::from_bytes(head.method.as_bytes()).ok()?;
    let uri: Uri = head.path.parse().ok()?;
    let mut http = hyper::Request::builder().method(method).uri(uri);
    for Header(name, value) in &head.headers {
        http = http.header(name.as_str(), value.as_slice());
    }
    let left_ms = left_us / 1_000;
    if let (Some(name), Some(value)) = (&dialect.instance, instance) {
        http = http.header(name, value);
    }
    if let (Some(name), Some(value)) = (&dialect.caller_service, caller_service) {
        http = http.header(name, value);
    }
    if let (Some(name), Some(value)) = (&dialect.organisation, organisation) {
        http = http.header(name, value);
    }
    http.header(&dialect.deadline, left_ms)
        .header(&dialect.call, call)
        .body(body)
        .ok()
}

/// A target that repeats our call header shows which request it answers.
fn answers_another(
    dialect: &Dialect,
    response: &Response<Incoming>,
    call: &str,
    history: &ConnectionHistory,
) -> bool {
    let Some(repeated) = response.headers().get(&dialect.call) else {
        if dialect.targets_name_calls {
            log_unmatched(dialect, response, Some(call), history);
        }
        return false;
    };
    let other = repeated.as_bytes() != call.as_bytes();
    if other {
        log_unmatched(dialect, response, Some(call), history);
    }
    other
}

/// Logs an answer that does not name what was asked: what it looks like, and what its connection
/// was used for before. A question for the load has no call.
fn log_unmatched(
    dialect: &Dialect,
    response: &Response<Incoming>,
    call: Option<&str>,
    history: &ConnectionHistory,
) {
    let headers = response.headers();
    let text = |name: &HeaderName| headers.get(name).and_then(|value| value.to_str().ok());
    log::error!(
        call:? = call,
        answers:? = text(&dialect.call),
        status = response.status().as_u16(),
        length:? = text(&CONTENT_LENGTH),
        instance:? = dialect.told_instance(headers),
        connection = history.number,
        exchanges = history.exchanges,
        asked_before:? = history.last,
        idle_ms = history.since.elapsed().as_millis() as u64;
        "the target answered another call on this connection"
    );
}

/// Headers for the caller. The length is that of the body we send, except for
/// HEAD, whose answer has a length and no body.
fn end_to_end(dialect: &Dialect, headers: &HeaderMap, is_head: bool) -> Vec<Header> {
    let listed = listed_in_connection(headers);
    let passes = |name: &HeaderName| {
        let length = name == CONTENT_LENGTH && !is_head;
        let ours = (dialect.is_ours)(name);
        !length && !ours && !is_hop_by_hop(name) && !listed.contains(name)
    };
    let pass = |(name, value): (&HeaderName, &HeaderValue)| {
        Header(
            name.as_str().to_owned(),
            ByteBuf::from(value.as_bytes().to_vec()),
        )
    };
    headers
        .iter()
        .filter(|(name, _)| passes(name))
        .map(pass)
        .collect()
}
