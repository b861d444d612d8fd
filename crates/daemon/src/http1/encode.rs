//! Answers as bytes.

use std::io::Write;

use hyper::body::Bytes;
use hyper::header::{CONNECTION, CONTENT_LENGTH, DATE, TRANSFER_ENCODING};
use hyper::{HeaderMap, Response, StatusCode};

use super::date;
use super::head::may_have_body;

/// Bodies up to this many bytes are copied behind their head: one piece to write is cheaper
/// than two.
const COPIED_BYTES: usize = 16 << 10;
/// Room for the status line and the fields that are added.
const OWN_FIELDS_BYTES: usize = 128;
/// Room for a field.
const FIELD_BYTES: usize = 48;

/// What the form of an answer depends on besides itself.
#[derive(Clone, Copy, Debug)]
pub(super) struct Form {
    /// The request's method is HEAD: the answer has no body.
    pub is_head: bool,
    /// The request's version is 1.0.
    pub is_old: bool,
}

/// An answer as pieces to write one after the other.
pub(super) struct Encoded {
    pub head: Vec<u8>,
    pub body: Bytes,
}

/// Encodes an answer. Where `closes`, it says that the connection ends with it.
pub(super) fn encode(answer: Response<Bytes>, form: Form, closes: bool) -> Encoded {
    let (mut parts, body) = answer.into_parts();
    if parts.status.is_informational() {
        // It would be taken for the announcement of an answer that never comes.
        parts.status = StatusCode::BAD_GATEWAY;
    }
    let has_body = !form.is_head && may_have_body(parts.status);
    let copied = has_body && body.len() <= COPIED_BYTES;
    let fields = parts.headers.len() * FIELD_BYTES;
    let copied_bytes = if copied { body.len() } else { 0 };
    let mut head = Vec::with_capacity(OWN_FIELDS_BYTES + fields + copied_bytes);
    status_line(&mut head, parts.status, form.is_old);
    for (name, value) in &parts.headers {
        let framing = name == CONTENT_LENGTH || name == TRANSFER_ENCODING || name == CONNECTION;
        if !framing {
            field(&mut head, name.as_str(), value.as_bytes());
        }
    }
    length(&mut head, &parts.headers, (parts.status, body.len()), form);
    if closes {
        field(&mut head, "connection", b"close");
    } else if form.is_old {
        field(&mut head, "connection", b"keep-alive");
    }
    if !parts.headers.contains_key(DATE) {
        head.extend_from_slice(b"date: ");
        date::append_now(&mut head);
        head.extend_from_slice(b"\r\n");
    }
    head.extend_from_slice(b"\r\n");
    if copied {
        head.extend_from_slice(&body);
    }
    let body = match has_body && !copied {
        true => body,
        false => Bytes::new(),
    };
    Encoded { head, body }
}

fn status_line(head: &mut Vec<u8>, status: StatusCode, is_old: bool) {
    let version = match is_old {
        true => &b"HTTP/1.0 "[..],
        false => &b"HTTP/1.1 "[..],
    };
    head.extend_from_slice(version);
    head.extend_from_slice(status.as_str().as_bytes());
    head.push(b' ');
    let reason = status.canonical_reason().unwrap_or("unnamed");
    head.extend_from_slice(reason.as_bytes());
    head.extend_from_slice(b"\r\n");
}

/// The length: that of the body, except for HEAD, whose answer may state one and has no
/// body.
fn length(
    head: &mut Vec<u8>,
    headers: &HeaderMap,
    (status, bytes): (StatusCode, usize),
    form: Form,
) {
    if !may_have_body(status) {
        return;
    }
    match headers.get(CONTENT_LENGTH) {
        Some(stated) if form.is_head => field(head, "content-length", stated.as_bytes()),
        None if form.is_head && bytes == 0 => {}
        _ => {
            head.extend_from_slice(b"content-length: ");
            let _ = write!(head, "{bytes}\r\n");
        }
    }
}

fn field(head: &mut Vec<u8>, name: &str, value: &[u8]) {
    head.extend_from_slice(name.as_bytes());
    head.extend_from_slice(b": ");
    head.extend_from_slice(value);
    head.extend_from_slice(b"\r\n");
}
