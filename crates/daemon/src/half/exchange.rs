//! One request to the target and its whole answer.

use hyper::HeaderMap;
use hyper::header::{CONTENT_LENGTH, HeaderName, HeaderValue};
use hyper::http::response::Parts;
use lynxcleat_policy::{Micros, ResponseMatch, ResponseMatcher};
use lynxcleat_wire::{Answer, Header, RequestHead};
use serde_bytes::ByteBuf;

use super::answer_memory::HeldAnswer;
use super::bodies::{BodyCut, Expected};
use super::connection::{
    Asked, Begun, Connection, ConnectionError, ConnectionHistory, EncodedRequest, Reader, Rest,
    read_while_writing,
};
use super::pool::{Pool, Use};
use super::request::{encode, encode_question};
use crate::dialect::{AnswerKind, Dialect, TargetLoad};
use crate::headers::{is_hop_by_hop, listed_in_connection};
use crate::http1::{AnswerFraming, AnswerHead, AnswerItem};

/// Largest answer to the question for the load, in bytes.
const LOAD_ANSWER_BYTES: usize = 16 << 10;
/// Bytes of surplus answers that are thrown away while a call waits for its own.
const SURPLUS_BYTES: usize = 1 << 20;
/// Connections that are tried for a call where each is found unfit before it is used.
const CONNECTION_TRIES: u32 = 4;
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

/// What reading the answer to a call takes.
struct CallReading<'a> {
    dialect: &'a Dialect,
    call: &'a str,
    body_limit: usize,
    held: HeldAnswer,
}

/// The whole answer to a call.
struct OwnAnswer {
    kind: AnswerKind,
    parts: Parts,
    body: Vec<u8>,
    /// Whether the connection may carry another call.
    is_reusable: bool,
    /// Counts the memory of the body.
    _held: HeldAnswer,
}

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
        // A body is asked for only when there is a connection for it.
        let mut connection = self.take_for(&request.call).await;
        if connection.is_none() {
            return Exchange::NotWritten;
        }
        let (call, body_limit) = (request.call.clone(), request.body_limit);
        let expected = match request.body {
            RequestBody::Pieces(expected) => Some(expected),
            RequestBody::Whole(_) => None,
        };
        let mut encoded = match encode(dialect, request).await {
            Ok(Some(encoded)) => encoded,
            Ok(None) => return Exchange::NotWritten,
            Err(BodyCut) => return Exchange::NoBody,
        };
        let is_head = encoded.is_head;
        for _ in 0..CONNECTION_TRIES {
            let taken = match connection.take() {
                Some(connection) => Some(connection),
                None => self.take_for(&call).await,
            };
            let Some(mut connection) = taken else {
                return Exchange::NotWritten;
            };
            if let Some(expected) = expected {
                expected.set_begun();
            }
            let reading = CallReading {
                dialect,
                call: &call,
                body_limit,
                held: self.memory.enter(),
            };
            match exchange_on(&mut connection, &mut encoded, reading, (&sends, &hears)).await {
                Ok((answer, is_written)) => {
                    connection.answered(Asked::Call);
                    if answer.is_reusable && is_written {
                        self.put_back(connection, Use::Calls);
                    }
                    return finish(dialect, answer, is_head);
                }
                // The target had closed an idle connection.
                Err(ConnectionError::NotWritten(error)) => log::debug!("target: {error}"),
                Err(error) => {
                    log::warn!(call = call.as_str(); "answer of the target: {error}");
                    return Exchange::Lost;
                }
            }
        }
        Exchange::NotWritten
    }

    /// A connection on which the answer to a call can be told from those to others.
    async fn take_for(&self, call: &str) -> Option<Connection> {
        for _ in 0..CONNECTION_TRIES {
            let connection = self.take_logged().await?;
            if connection.matcher.may_send(call) && connection.rest() != Rest::Surplus {
                return Some(connection);
            }
        }
        None
    }

    async fn take_logged(&self) -> Option<Connection> {
        match self.take(Use::Calls).await {
            Ok(connection) => Some(connection),
            Err(error) => {
                log::debug!("target: {error}");
                None
            }
        }
    }

    /// Asks the target for its load at a path that it answers at once. Nothing where no
    /// whole answer came.
    pub(super) async fn ask_load(&self, dialect: &Dialect, path: &str) -> Option<Told> {
        let mut connection = self.take(Use::Questions).await.ok()?;
        let mut question = encode_question(path)?;
        let begun = connection.begin(&mut question).await.ok()?;
        let history = *begun.history;
        let read = read_told(dialect, begun.reader, &history);
        let asked = read_while_writing(read, begun.writer, || {}).await;
        let ((told, is_reusable), is_written) = asked
            .inspect_err(|error| log::debug!("question to the target: {error}"))
            .ok()?;
        connection.answered(Asked::Load);
        if is_reusable && is_written {
            self.put_back(connection, Use::Questions);
        }
        Some(told)
    }
}

/// Writes a call on a connection and reads its answer. True beside it where all was written.
async fn exchange_on(
    connection: &mut Connection,
    request: &mut EncodedRequest,
    reading: CallReading<'_>,
    (sends, hears): (impl Fn(), impl Fn(&HeaderMap)),
) -> Result<(OwnAnswer, bool), ConnectionError> {
    connection.matcher.on_request(reading.call, request.is_head);
    let Begun {
        reader,
        writer,
        matcher,
        history,
    } = connection.begin(request).await?;
    let read = read_own(reader, (matcher, history), reading, hears);
    read_while_writing(read, writer, sends).await
}

/// Reads until the answer to the call is there, past surplus ones to earlier calls.
async fn read_own(
    mut reader: Reader<'_>,
    (matcher, history): (&mut ResponseMatcher, &ConnectionHistory),
    mut reading: CallReading<'_>,
    hears: impl Fn(&HeaderMap),
) -> Result<OwnAnswer, ConnectionError> {
    let dialect = reading.dialect;
    loop {
        let head = read_head(&mut reader).await?;
        let matched = matcher.on_response(dialect.response_name(&head.parts.headers));
        let reusable = match matched {
            ResponseMatch::Own { reusable } => reusable,
            ResponseMatch::Surplus | ResponseMatch::Unmatched => {
                log_unmatched(dialect, &head.parts, Some(reading.call), history);
                if matched == ResponseMatch::Unmatched {
                    return Err(ConnectionError::Unmatched);
                }
                skip_body(&mut reader, &head, SURPLUS_BYTES).await?;
                continue;
            }
        };
        let kind = (dialect.answer_kind)(&head.parts);
        if kind != AnswerKind::OtherInstance {
            hears(&head.parts.headers);
        }
        let body = read_body(&mut reader, &head, &mut reading).await?;
        return Ok(OwnAnswer {
            kind,
            is_reusable: reusable && head.persists,
            parts: head.parts,
            body,
            _held: reading.held,
        });
    }
}

/// Reads the answer to a question for the load, and whether its connection may carry another.
async fn read_told(
    dialect: &Dialect,
    mut reader: Reader<'_>,
    history: &ConnectionHistory,
) -> Result<(Told, bool), ConnectionError> {
    let head = read_head(&mut reader).await?;
    let headers = &head.parts.headers;
    if headers.contains_key(&dialect.call) {
        log_unmatched(dialect, &head.parts, None, history);
        return Err(ConnectionError::Unmatched);
    }
    let told = Told {
        load: dialect.load(headers),
        cold_left_us: dialect.cold_left(headers).unwrap_or_else(|error| {
            log::warn!("the target told no cold time: {error}");
            None
        }),
        instance: dialect.told_instance(headers),
        well: head.parts.status.is_success() && !dialect.is_leaving(headers),
    };
    skip_body(&mut reader, &head, LOAD_ANSWER_BYTES).await?;
    Ok((told, head.persists))
}

async fn read_head(reader: &mut Reader<'_>) -> Result<AnswerHead, ConnectionError> {
    match reader.next().await? {
        AnswerItem::Head(head) => Ok(*head),
        // A body is read to its end before the next head.
        AnswerItem::Data(_) | AnswerItem::End => Err(ConnectionError::Unmatched),
    }
}

/// Reads the body of an answer and keeps it.
async fn read_body(
    reader: &mut Reader<'_>,
    head: &AnswerHead,
    reading: &mut CallReading<'_>,
) -> Result<Vec<u8>, ConnectionError> {
    let limit = reading.body_limit;
    let too_large = || ConnectionError::TooLarge { limit };
    let mut body = Vec::new();
    if let AnswerFraming::Length(length) = head.framing {
        let length = usize::try_from(length).ok().filter(|bytes| *bytes <= limit);
        let length = length.ok_or_else(too_large)?;
        reading.held.grow(length).await;
        body.reserve_exact(length);
    }
    while let AnswerItem::Data(data) = reader.next().await? {
        if body.len() + data.len() > limit {
            return Err(too_large());
        }
        if !matches!(head.framing, AnswerFraming::Length(_)) {
            reading.held.grow(data.len()).await;
        }
        body.extend_from_slice(&data);
    }
    Ok(body)
}

/// Reads the body of an answer and throws it away.
async fn skip_body(
    reader: &mut Reader<'_>,
    head: &AnswerHead,
    limit: usize,
) -> Result<(), ConnectionError> {
    if head.framing == AnswerFraming::UntilClose {
        return Err(ConnectionError::Unmatched);
    }
    let mut bytes = 0;
    while let AnswerItem::Data(data) = reader.next().await? {
        bytes += data.len();
        if bytes > limit {
            return Err(ConnectionError::TooLarge { limit });
        }
    }
    Ok(())
}

/// What an answer is to the caller.
fn finish(dialect: &Dialect, own: OwnAnswer, is_head: bool) -> Exchange {
    match own.kind {
        AnswerKind::Ran => {}
        AnswerKind::NotRun { retry_after_us } => {
            let retry_after_us = retry_after_us.unwrap_or(SHED_RETRY_AFTER_US);
            return Exchange::Shed { retry_after_us };
        }
        AnswerKind::OtherInstance => return Exchange::OtherInstance,
    }
    let answer = Answer {
        status: own.parts.status.as_u16(),
        headers: end_to_end(dialect, &own.parts.headers, is_head),
        body: ByteBuf::from(own.body),
    };
    Exchange::Answer(answer, dialect.load(&own.parts.headers))
}

/// Logs an answer that is not the one waited for: what it looks like, and what its connection
/// was used for before. A question for the load has no call.
fn log_unmatched(
    dialect: &Dialect,
    parts: &Parts,
    call: Option<&str>,
    history: &ConnectionHistory,
) {
    let headers = &parts.headers;
    let text = |name: &HeaderName| headers.get(name).and_then(|value| value.to_str().ok());
    log::error!(
        call:? = call,
        answers:? = text(&dialect.call),
        status = parts.status.as_u16(),
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
