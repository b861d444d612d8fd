//! Reading the answers that come on a connection to the target.

use hyper::HeaderMap;
use hyper::header::{CONTENT_LENGTH, HeaderName};
use hyper::http::response::Parts;
use lynxcleat_policy::{Micros, ResponseMatch, ResponseMatcher};

use super::connection::{ConnectionError, ConnectionHistory, Reader};
use crate::answer_memory::HeldAnswer;
use crate::dialect::{AnswerKind, Dialect, TargetLoad};
use crate::http1::{AnswerFraming, AnswerHead, AnswerItem};

/// Largest answer to the question for the load, in bytes.
const LOAD_ANSWER_BYTES: usize = 16 << 10;
/// Bytes of surplus answers that are thrown away while a call waits for its own.
const SURPLUS_BYTES: usize = 1 << 20;
/// Part of its size, as a divisor, by which the memory of a body of unknown length grows.
const GROWTH_DIVISOR: usize = 4;
/// Least growth of that memory.
const LEAST_GROWTH_BYTES: usize = 8 << 10;

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
pub(super) struct CallReading<'a> {
    pub dialect: &'a Dialect,
    pub call: &'a str,
    /// The incarnation that the call is meant for, where it has a name.
    pub meant: Option<&'a str>,
    pub body_limit: usize,
    pub held: HeldAnswer,
}

/// The whole answer to a call.
pub(super) struct OwnAnswer {
    pub kind: AnswerKind,
    pub parts: Parts,
    pub body: Vec<u8>,
    /// Whether the connection may carry another call.
    pub is_reusable: bool,
    /// Whether only the end of the connection says that the body is whole.
    pub ends_with_connection: bool,
    /// Counts the memory of the body.
    pub held: HeldAnswer,
}

/// Reads until the answer to the call is there, past surplus ones to earlier calls.
pub(super) async fn read_own(
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
        let kind = (dialect.answer_kind)(&head.parts, reading.meant);
        if is_believed(dialect, &head.parts, kind) {
            hears(&head.parts.headers);
        }
        let body = read_body(&mut reader, &head, &mut reading).await?;
        return Ok(OwnAnswer {
            kind,
            is_reusable: reusable && head.persists,
            ends_with_connection: head.framing == AnswerFraming::UntilClose,
            parts: head.parts,
            body,
            held: reading.held,
        });
    }
}

/// Whether what an answer states of its target counts. That of another incarnation does not, nor
/// that of an answer that callers get none of.
fn is_believed(dialect: &Dialect, parts: &Parts, kind: AnswerKind) -> bool {
    let has_stamp = |stamp| parts.headers.contains_key(stamp);
    match kind {
        AnswerKind::Ran if parts.status.is_success() => {
            dialect.success_stamp.as_ref().is_none_or(has_stamp)
        }
        AnswerKind::Ran | AnswerKind::NotRun { .. } => true,
        AnswerKind::OtherInstance | AnswerKind::Contradictory => false,
    }
}

/// Reads the answer to a question for the load, and whether its connection may carry another.
pub(super) async fn read_told(
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
        let bytes = body.len() + data.len();
        if bytes > limit {
            return Err(too_large());
        }
        if bytes > body.capacity() {
            let step = growth(body.capacity()).min(limit - body.capacity());
            let step = step.max(bytes - body.capacity());
            reading.held.grow(step).await;
            body.reserve_exact(body.capacity() + step - body.len());
        }
        body.extend_from_slice(&data);
    }
    Ok(body)
}

/// Bytes by which the memory of a body without a stated length grows.
fn growth(capacity: usize) -> usize {
    (capacity / GROWTH_DIVISOR).max(LEAST_GROWTH_BYTES)
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
