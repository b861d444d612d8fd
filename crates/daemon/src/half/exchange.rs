//! One request to the target and its whole answer.

use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::{Bytes, Incoming};
use hyper::header::{CONTENT_LENGTH, HeaderName, HeaderValue};
use hyper::{Method, Response, Uri};
use lynxcleat_policy::Micros;
use lynxcleat_wire::{Answer, Header, RequestHead};
use serde_bytes::ByteBuf;

use super::pool::{Pool, Sender};
use crate::headers::{
    CALL, DEADLINE, OUTCOME, RETRY_AFTER_MS, is_hop_by_hop, listed_in_connection,
};

/// What a target says that did not run a call.
const NOT_RUN: &str = "not-run";
/// Hint for callers where a target that sheds gives none.
const SHED_RETRY_AFTER_US: Micros = 100_000;

/// What is written to the target.
pub(super) struct Request {
    pub call: String,
    pub head: RequestHead,
    pub body: Vec<u8>,
    pub left_us: Micros,
    pub body_limit: usize,
}

/// How an exchange with the target ended.
pub(super) enum Exchange {
    /// The whole answer arrived.
    Answer(Answer),
    /// The target says that it did not run the call.
    Shed { retry_after_us: Micros },
    /// Nothing was written.
    NotWritten,
    /// The request was written, in whole or in part, and no whole answer came.
    Lost,
}

type HttpRequest = hyper::Request<Full<Bytes>>;

impl Pool {
    /// Writes a request and reads the whole answer. If the future is dropped,
    /// the connection is closed.
    pub(super) async fn exchange(&self, request: Request) -> Exchange {
        let body_limit = request.body_limit;
        let is_head = request.head.method == "HEAD";
        let call = request.call.clone();
        let Some(mut http) = build(request) else {
            return Exchange::NotWritten;
        };
        loop {
            let mut sender = match self.take().await {
                Ok(sender) => sender,
                Err(error) => {
                    log::debug!("target: {error}");
                    return Exchange::NotWritten;
                }
            };
            match sender.try_send_request(http).await {
                Ok(response) => {
                    if answers_another(&response, &call) {
                        return Exchange::Lost;
                    }
                    return self.finish(sender, response, body_limit, is_head).await;
                }
                // Given back unwritten: the target had closed an idle connection.
                Err(mut error) => match error.take_message() {
                    Some(unwritten) => http = unwritten,
                    None => return Exchange::Lost,
                },
            }
        }
    }

    async fn finish(
        &self,
        sender: Sender,
        response: Response<Incoming>,
        body_limit: usize,
        is_head: bool,
    ) -> Exchange {
        let (parts, body) = response.into_parts();
        let body = match Limited::new(body, body_limit).collect().await {
            Ok(whole) => whole.to_bytes(),
            Err(error) => {
                let too_large = error.is::<LengthLimitError>();
                log::warn!(too_large; "answer of the target: {error}");
                return Exchange::Lost;
            }
        };
        self.put_back(sender);
        if let Some(shed) = shed(&parts) {
            return shed;
        }
        Exchange::Answer(Answer {
            status: parts.status.as_u16(),
            headers: end_to_end(&parts.headers, is_head),
            body: ByteBuf::from(body.to_vec()),
        })
    }
}

fn build(request: Request) -> Option<HttpRequest> {
    let Request {
        call,
        head,
        body,
        left_us,
        ..
    } = request;
    let method = Method::from_bytes(head.method.as_bytes()).ok()?;
    let uri: Uri = head.path.parse().ok()?;
    let mut http = hyper::Request::builder().method(method).uri(uri);
    for Header(name, value) in &head.headers {
        http = http.header(name.as_str(), value.as_slice());
    }
    let left_ms = left_us / 1_000;
    http.header(DEADLINE, left_ms)
        .header(CALL, call)
        .body(Full::new(Bytes::from(body)))
        .ok()
}

/// A target that repeats our call header shows which request it answers.
fn answers_another(response: &Response<Incoming>, call: &str) -> bool {
    let repeated = response.headers().get(CALL);
    let other = repeated.is_some_and(|value| value.as_bytes() != call.as_bytes());
    if other {
        log::error!(call; "the target answered another call on this connection");
    }
    other
}

fn shed(parts: &hyper::http::response::Parts) -> Option<Exchange> {
    let outcome = parts.headers.get(OUTCOME)?;
    if outcome != NOT_RUN || !parts.status.is_server_error() {
        return None;
    }
    let told_ms = parts
        .headers
        .get(RETRY_AFTER_MS)
        .and_then(|value| value.to_str().ok()?.parse::<Micros>().ok());
    let retry_after_us = told_ms.map_or(SHED_RETRY_AFTER_US, |ms| ms.saturating_mul(1_000));
    Some(Exchange::Shed { retry_after_us })
}

/// Headers for the caller. The length is that of the body we send, except for
/// HEAD, whose answer has a length and no body.
fn end_to_end(headers: &hyper::HeaderMap, is_head: bool) -> Vec<Header> {
    let listed = listed_in_connection(headers);
    let passes = |name: &HeaderName| {
        let length = name == CONTENT_LENGTH && !is_head;
        let ours = name.as_str().starts_with("lynxcleat-");
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
