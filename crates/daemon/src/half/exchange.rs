//! One request to the target and its whole answer.

use std::time::Duration;

use hyper::HeaderMap;
use hyper::header::{CONTENT_LENGTH, HeaderName, HeaderValue};
use lynxcleat_policy::{Micros, Refusal};
use lynxcleat_wire::{Answer, Header, RequestHead};
use serde_bytes::ByteBuf;

use super::bodies::{BodyCut, Expected};
use super::connection::{
    Asked, Begun, Connection, ConnectionError, EncodedRequest, Written, read_while_writing,
};
use super::permit::Permit;
use super::pool::{Pool, Purpose, QuestionConnection};
use super::reading::{CallReading, OwnAnswer, Told, read_own, read_told};
use super::request::{encode, encode_question};
use crate::answer_memory::HeldAnswer;
use crate::dialect::{AnswerKind, Dialect, TargetLoad};
use crate::headers::{is_hop_by_hop, listed_in_connection};
use crate::http1::AnswerFault;

/// Connections that are tried for a call where each is found unfit before it is used.
const CONNECTION_TRIES: u32 = 4;
/// Hint for callers where a target that sheds gives none.
const SHED_RETRY_AFTER_US: Micros = 100_000;

/// What is written to the target.
pub(super) struct Request<'a> {
    pub call: &'a str,
    pub head: &'a RequestHead,
    pub body: RequestBody<'a>,
    pub body_limit: usize,
    pub caller_service: Option<&'a str>,
    /// Name of the calling organisation.
    pub organisation: Option<&'a str>,
}

/// The body that is written.
pub(super) enum RequestBody<'a> {
    /// It is here.
    Whole(&'a [u8]),
    /// It comes in pieces once its window is open.
    Pieces(&'a Expected),
}

/// Who follows an exchange with the target.
pub(super) trait Follower {
    /// What the request is written with if it is written now.
    ///
    /// # Errors
    /// Why it may not be written any more.
    fn permit(&self) -> Result<Permit, Refusal>;

    /// The request is about to be written on a connection of this age.
    fn begins(&self, age: Duration);

    /// The request was written.
    fn sends(&self);

    /// The headers of an answer came, of the incarnation that the request was meant for.
    fn hears(&self, meant: Option<&str>, headers: &HeaderMap);
}

/// An answer, and what counts its memory.
pub(super) struct CountedAnswer {
    pub answer: Answer,
    pub held: HeldAnswer,
}

/// How an exchange with the target ended.
pub(super) enum Exchange {
    /// The whole answer arrived, with the target's load where it tells it.
    Answer(CountedAnswer, Option<TargetLoad>),
    /// The target says that it did not run the call.
    Shed { retry_after_us: Micros },
    /// Another incarnation of the target answered than the one meant; the call was not run.
    OtherInstance { meant: Option<String> },
    /// Nothing was written, since the call may not go to the target any more.
    Forbidden(Refusal),
    /// Nothing was written, since the target cannot be reached.
    NotWritten,
    /// Nothing was written, since the body did not come.
    NoBody,
    /// The request was written, in whole or in part, and no whole answer came.
    Lost,
}

impl Pool {
    /// Writes a request and reads the whole answer. If the future is dropped, the connection is
    /// closed.
    pub(super) async fn exchange(
        &self,
        dialect: &Dialect,
        request: Request<'_>,
        follower: &impl Follower,
    ) -> Exchange {
        // A body is asked for only when there is a connection for it.
        let mut connection = self.take_for(request.call).await;
        if connection.is_none() {
            return Exchange::NotWritten;
        }
        let mut pieces = match request.body {
            RequestBody::Whole(_) => None,
            RequestBody::Pieces(expected) => match expected.begin().await {
                Ok(pieces) => Some(pieces),
                Err(BodyCut) => return Exchange::NoBody,
            },
        };
        for _ in 0..CONNECTION_TRIES {
            // It may have ended while the first of the body came.
            let still_quiet = connection.take().filter(Connection::is_quiet);
            let taken = match still_quiet {
                Some(connection) => Some(connection),
                None => self.take_for(request.call).await,
            };
            let Some(mut connection) = taken else {
                return Exchange::NotWritten;
            };
            // What was decided before the waits is decided again.
            let permit = match follower.permit() {
                Ok(permit) => permit,
                Err(refusal) => {
                    self.put_back(connection, Purpose::Calls);
                    return Exchange::Forbidden(refusal);
                }
            };
            let Some(mut encoded) = encode(dialect, &request, &permit, pieces.as_mut()) else {
                return Exchange::NotWritten;
            };
            if let RequestBody::Pieces(expected) = request.body {
                expected.set_begun();
            }
            follower.begins(connection.opened.elapsed());
            let meant = permit.instance;
            let reading = CallReading {
                dialect,
                call: request.call,
                meant: meant.as_deref(),
                body_limit: request.body_limit,
                held: self.memory.enter(),
            };
            let is_head = encoded.is_head;
            match exchange_on(&mut connection, &mut encoded, reading, follower).await {
                Ok((answer, written)) => {
                    connection.answered(Asked::Call);
                    if answer.is_reusable && written == Written::Whole {
                        self.put_back(connection, Purpose::Calls);
                    }
                    return finish(dialect, answer, (request.call, meant), is_head);
                }
                // The target had closed an idle connection.
                Err(ConnectionError::NotWritten(error)) => log::debug!("target: {error}"),
                Err(error) => {
                    log::warn!(call = request.call; "answer of the target: {error}");
                    return Exchange::Lost;
                }
            }
        }
        Exchange::NotWritten
    }

    /// A connection for a call that has received nothing so far.
    async fn take_for(&self, call: &str) -> Option<Connection> {
        for _ in 0..CONNECTION_TRIES {
            let connection = self
                .take_for_call(call)
                .await
                .inspect_err(|error| log::debug!("target: {error}"))
                .ok()?;
            if connection.is_quiet() {
                return Some(connection);
            }
        }
        None
    }

    /// Asks the target for its load at a path that it answers at once. Nothing where no
    /// whole answer came.
    pub(super) async fn ask_load(
        &self,
        dialect: &Dialect,
        path: &str,
        kind: QuestionConnection,
    ) -> Option<Told> {
        let connection = match kind {
            QuestionConnection::Shared => self.take_for_question().await,
            QuestionConnection::Single => self.take_new(Purpose::Questions).await,
        };
        let mut connection = connection.ok()?;
        let mut question = encode_question(path)?;
        let begun = connection.begin(&mut question).await.ok()?;
        let history = *begun.history;
        let read = read_told(dialect, begun.reader, &history);
        let asked = read_while_writing(read, begun.writer, || {}).await;
        let ((told, is_reusable), written) = asked
            .inspect_err(|error| log::debug!("question to the target: {error}"))
            .ok()?;
        connection.answered(Asked::Load);
        if is_reusable && written == Written::Whole && kind == QuestionConnection::Shared {
            self.put_back(connection, Purpose::Questions);
        }
        Some(told)
    }
}

/// Writes a call on a connection and reads its answer.
async fn exchange_on(
    connection: &mut Connection,
    request: &mut EncodedRequest<'_>,
    reading: CallReading<'_>,
    follower: &impl Follower,
) -> Result<(OwnAnswer, Written), ConnectionError> {
    let meant = reading.meant;
    let hears = |headers: &HeaderMap| follower.hears(meant, headers);
    connection.matcher.on_request(reading.call, request.is_head);
    let Begun {
        reader,
        writer,
        matcher,
        history,
    } = connection.begin(request).await?;
    let read = read_own(reader, (matcher, history), reading, hears);
    let (answer, written) = read_while_writing(read, writer, || follower.sends()).await?;
    if answer.ends_with_connection && written == Written::Failed {
        return Err(AnswerFault::Cut.into());
    }
    Ok((answer, written))
}

/// What an answer is to the caller.
fn finish(
    dialect: &Dialect,
    own: OwnAnswer,
    (call, meant): (&str, Option<String>),
    is_head: bool,
) -> Exchange {
    match own.kind {
        AnswerKind::Ran => {}
        AnswerKind::NotRun { retry_after_us } => {
            let retry_after_us = retry_after_us.unwrap_or(SHED_RETRY_AFTER_US);
            return Exchange::Shed { retry_after_us };
        }
        AnswerKind::OtherInstance => return Exchange::OtherInstance { meant },
        AnswerKind::Contradictory => {
            let status = own.parts.status.as_u16();
            log::error!(call, status; "the target's answer does not say whether the call ran");
            return Exchange::Lost;
        }
    }
    let headers = end_to_end(dialect, &own.parts.headers, is_head);
    if own.parts.status.is_success() && !has_stamp(dialect, &headers) {
        log::error!(call; "the target's success has no stamp");
        return Exchange::Lost;
    }
    let answer = Answer {
        status: own.parts.status.as_u16(),
        headers,
        body: ByteBuf::from(own.body),
    };
    let counted = CountedAnswer {
        answer,
        held: own.held,
    };
    Exchange::Answer(counted, dialect.load(&own.parts.headers))
}

/// Whether the headers have what targets put on every success, where they do.
fn has_stamp(dialect: &Dialect, headers: &[Header]) -> bool {
    let stamp = dialect.success_stamp.as_ref();
    stamp.is_none_or(|stamp| headers.iter().any(|header| header.0 == stamp.as_str()))
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
