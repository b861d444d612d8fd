//! Heads of requests and of answers: where they end, and what they say.

use std::mem::MaybeUninit;

use hyper::body::Bytes;
use hyper::header::{
    CONNECTION, CONTENT_LENGTH, EXPECT, HeaderMap, HeaderName, HeaderValue, TRANSFER_ENCODING,
};
use hyper::http::{request, response};
use hyper::{Method, Request, Response, StatusCode, Uri, Version};

use super::malformed::Malformed;

/// Largest head that is read, in bytes.
pub const HEAD_BYTES: usize = 32 << 10;
/// Header fields of a request at most.
pub const FIELDS_LIMIT: usize = 100;

/// How the end of a request's body is found.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Framing {
    /// By its length in bytes; 0 where there is no body.
    Length(u64),
    /// By its chunks.
    Chunked,
}

/// How the end of an answer's body is found.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AnswerFraming {
    /// By its length in bytes; 0 where there is no body.
    Length(u64),
    /// By its chunks.
    Chunked,
    /// By the end of the connection.
    UntilClose,
}

/// A request's head.
#[derive(Debug)]
pub struct Head {
    /// Method, target, version and fields.
    pub parts: request::Parts,
    /// Where its body ends.
    pub framing: Framing,
    /// Whether more requests may follow on the connection.
    pub persists: bool,
    /// Whether the caller waits for `100 Continue` before it sends the body.
    pub expects_continue: bool,
}

/// Finds the end of a head as it arrives; no byte is looked at twice.
#[derive(Debug, Default)]
pub(super) struct HeadEnd {
    line: usize,
    seen: usize,
}

impl HeadEnd {
    /// Length of the head that `input` begins with; `None` until it is there whole.
    ///
    /// # Errors
    /// A line that ends in a line feed alone, and a head that is too large.
    pub(super) fn find(&mut self, input: &[u8]) -> Result<Option<usize>, Malformed> {
        while let Some(at) = input[self.seen..].iter().position(|byte| *byte == b'\n') {
            let end = self.seen + at + 1;
            let Some(line) = input[self.line..end].strip_suffix(b"\r\n") else {
                return Err(Malformed::BareLineFeed);
            };
            if end > HEAD_BYTES {
                return Err(Malformed::HeadTooLarge);
            }
            (self.line, self.seen) = (end, end);
            if line.is_empty() {
                *self = HeadEnd::default();
                return Ok(Some(end));
            }
        }
        self.seen = input.len();
        match self.seen > HEAD_BYTES {
            true => Err(Malformed::HeadTooLarge),
            false => Ok(None),
        }
    }
}

/// Reads a head that is there whole.
///
/// # Errors
/// What makes it doubtful what the head says or where the request ends.
pub(super) fn read(bytes: &[u8]) -> Result<Head, Malformed> {
    let mut fields = [const { MaybeUninit::uninit() }; FIELDS_LIMIT];
    let mut parsed = httparse::Request::new(&mut []);
    match parsed.parse_with_uninit_headers(bytes, &mut fields) {
        Ok(httparse::Status::Complete(length)) if length == bytes.len() => {}
        Ok(_) => return Err(Malformed::RequestLine),
        Err(error) => return Err(malformed(error)),
    }
    let (Some(method), Some(target), Some(minor)) = (parsed.method, parsed.path, parsed.version)
    else {
        return Err(Malformed::RequestLine);
    };
    let kept = Bytes::copy_from_slice(bytes);
    let target = Uri::from_maybe_shared(kept.slice_ref(within(&kept, bytes, target.as_bytes())));
    let mut headers = headers(&kept, bytes, parsed.headers)?;
    let is_new = minor == 1;
    let framing = framing(&headers, is_new)?;
    // With a length and chunks the two sides may see different ends.
    let is_doubtful = framing == Framing::Chunked && headers.remove(CONTENT_LENGTH).is_some();
    let persists = !is_doubtful && persists(&headers, is_new);
    let expects = headers.get(EXPECT);
    let expects_continue = is_new
        && expects.is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"100-continue"));
    let mut request = Request::new(());
    *request.method_mut() =
        Method::from_bytes(method.as_bytes()).map_err(|_| Malformed::RequestLine)?;
    *request.uri_mut() = target.map_err(|_| Malformed::Target)?;
    *request.version_mut() = version(is_new);
    *request.headers_mut() = headers;
    Ok(Head {
        parts: request.into_parts().0,
        framing,
        persists,
        expects_continue,
    })
}

/// Reads the head of an answer that is there whole, and whether its connection may be used
/// again.
///
/// # Errors
/// What makes it doubtful what the head says.
pub(super) fn read_answer(bytes: &[u8]) -> Result<(response::Parts, bool), Malformed> {
    let mut fields = [const { MaybeUninit::uninit() }; FIELDS_LIMIT];
    let mut parsed = httparse::Response::new(&mut []);
    let config = httparse::ParserConfig::default();
    match config.parse_response_with_uninit_headers(&mut parsed, bytes, &mut fields) {
        Ok(httparse::Status::Complete(length)) if length == bytes.len() => {}
        Ok(_) => return Err(Malformed::StatusLine),
        Err(httparse::Error::Token | httparse::Error::Status | httparse::Error::NewLine) => {
            return Err(Malformed::StatusLine);
        }
        Err(error) => return Err(malformed(error)),
    }
    let (Some(code), Some(minor)) = (parsed.code, parsed.version) else {
        return Err(Malformed::StatusLine);
    };
    let kept = Bytes::copy_from_slice(bytes);
    let headers = headers(&kept, bytes, parsed.headers)?;
    let is_new = minor == 1;
    let persists = persists(&headers, is_new);
    let mut response = Response::new(());
    *response.status_mut() = StatusCode::from_u16(code).map_err(|_| Malformed::StatusLine)?;
    *response.version_mut() = version(is_new);
    *response.headers_mut() = headers;
    Ok((response.into_parts().0, persists))
}

fn version(is_new: bool) -> Version {
    match is_new {
        true => Version::HTTP_11,
        false => Version::HTTP_10,
    }
}

/// Whether an answer of this status may have a body, other than to HEAD.
pub(super) fn may_have_body(status: StatusCode) -> bool {
    status != StatusCode::NO_CONTENT && status != StatusCode::NOT_MODIFIED
}

/// How the body of an answer ends (RFC 9112, section 6.3). One with chunks and a length is
/// refused: two readers may see two ends of it.
pub(super) fn answer_framing(
    headers: &HeaderMap,
    is_new: bool,
) -> Result<AnswerFraming, Malformed> {
    let has_length = headers.contains_key(CONTENT_LENGTH);
    match framing(headers, is_new)? {
        Framing::Chunked if has_length => Err(Malformed::Coding),
        Framing::Chunked => Ok(AnswerFraming::Chunked),
        Framing::Length(length) if has_length => Ok(AnswerFraming::Length(length)),
        Framing::Length(_) => Ok(AnswerFraming::UntilClose),
    }
}

/// The part of the kept copy of a head that holds `part` of the original.
fn within<'a>(kept: &'a Bytes, original: &[u8], part: &[u8]) -> &'a [u8] {
    let begin = part.as_ptr() as usize - original.as_ptr() as usize;
    &kept[begin..begin + part.len()]
}

fn headers(
    kept: &Bytes,
    original: &[u8],
    fields: &[httparse::Header<'_>],
) -> Result<HeaderMap, Malformed> {
    let mut headers = HeaderMap::with_capacity(fields.len());
    for field in fields {
        let name = HeaderName::from_bytes(field.name.as_bytes()).map_err(|_| Malformed::Field)?;
        let value = match field.value {
            [] => HeaderValue::from_static(""),
            value => HeaderValue::from_maybe_shared(kept.slice_ref(within(kept, original, value)))
                .map_err(|_| Malformed::Field)?,
        };
        headers.append(name, value);
    }
    Ok(headers)
}

fn malformed(error: httparse::Error) -> Malformed {
    match error {
        httparse::Error::HeaderName | httparse::Error::HeaderValue => Malformed::Field,
        httparse::Error::TooManyHeaders => Malformed::TooManyFields,
        httparse::Error::Version => Malformed::Version,
        httparse::Error::NewLine | httparse::Error::Status | httparse::Error::Token => {
            Malformed::RequestLine
        }
    }
}

/// How the body ends (RFC 9112, section 6.3). With chunks and a length the chunks count; the
/// connection ends after such a request.
fn framing(headers: &HeaderMap, is_new: bool) -> Result<Framing, Malformed> {
    let mut lengths = headers.get_all(CONTENT_LENGTH).iter();
    let length = lengths.next().map(length).transpose()?;
    if lengths.next().is_some() {
        return Err(Malformed::TwoLengths);
    }
    let mut codings = headers.get_all(TRANSFER_ENCODING).iter();
    match (codings.next(), codings.next()) {
        (None, _) => Ok(Framing::Length(length.unwrap_or(0))),
        (Some(coding), None) if is_new && coding.as_bytes().eq_ignore_ascii_case(b"chunked") => {
            Ok(Framing::Chunked)
        }
        _ => Err(Malformed::Coding),
    }
}

fn length(value: &HeaderValue) -> Result<u64, Malformed> {
    let text = value.as_bytes();
    if text.is_empty() || !text.iter().all(u8::is_ascii_digit) {
        return Err(Malformed::Length);
    }
    let text = std::str::from_utf8(text).map_err(|_| Malformed::Length)?;
    text.parse().map_err(|_| Malformed::Length)
}

fn persists(headers: &HeaderMap, is_new: bool) -> bool {
    let has_both = headers.contains_key(TRANSFER_ENCODING) && headers.contains_key(CONTENT_LENGTH);
    !has_both && !has_token(headers, b"close") && (is_new || has_token(headers, b"keep-alive"))
}

fn has_token(headers: &HeaderMap, token: &[u8]) -> bool {
    let values = headers.get_all(CONNECTION).iter();
    values
        .flat_map(|value| value.as_bytes().split(|byte| *byte == b','))
        .any(|listed| listed.trim_ascii().eq_ignore_ascii_case(token))
}
