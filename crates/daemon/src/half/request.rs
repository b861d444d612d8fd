//! A request as it is written to the target.

use std::io::Write;

use hyper::body::Body;
use hyper::header::{CONNECTION, CONTENT_LENGTH, HeaderName, TRANSFER_ENCODING};
use hyper::http::request::Parts;
use hyper::{Method, Uri};
use lynxcleat_wire::Header;

use super::bodies::PieceBody;
use super::connection::{EncodedRequest, TargetBody};
use super::exchange::{Request, RequestBody};
use super::permit::Permit;
use crate::dialect::Dialect;

/// Room for the request line and the fields that are added.
const OWN_FIELDS_BYTES: usize = 256;
/// Room for a field.
const FIELD_BYTES: usize = 48;
/// Bodies up to this many bytes are copied behind their head: one piece to write is cheaper
/// than two.
const COPIED_BYTES: usize = 16 << 10;

/// Encodes a call; `pieces` is its body where that comes in pieces. Nothing where the request
/// cannot be written.
pub(super) fn encode<'a>(
    dialect: &Dialect,
    request: &Request<'a>,
    permit: &Permit,
    pieces: Option<&'a mut PieceBody>,
) -> Option<EncodedRequest<'a>> {
    let parts = parts(dialect, request, permit)?;
    let mut first = head(&parts);
    let body = match (&request.body, pieces) {
        (RequestBody::Whole(body), _) => whole(&mut first, &parts.method, body),
        (RequestBody::Pieces(_), Some(pieces)) => in_pieces(&mut first, pieces),
        (RequestBody::Pieces(_), None) => return None,
    };
    Some(EncodedRequest {
        first,
        body,
        is_head: parts.method == Method::HEAD,
    })
}

/// Encodes a question for the load. Nothing where the path is none.
pub(super) fn encode_question(path: &str) -> Option<EncodedRequest<'static>> {
    let uri: Uri = path.parse().ok()?;
    Some(EncodedRequest {
        first: format!("GET {uri} HTTP/1.1\r\nhost: target\r\n\r\n").into_bytes(),
        body: TargetBody::WithHead,
        is_head: false,
    })
}

/// Method, path and headers, checked: they came from another daemon.
fn parts(dialect: &Dialect, request: &Request<'_>, permit: &Permit) -> Option<Parts> {
    let method = Method::from_bytes(request.head.method.as_bytes()).ok()?;
    let uri: Uri = request.head.path.parse().ok()?;
    let mut http = hyper::Request::builder().method(method).uri(uri);
    for Header(name, value) in &request.head.headers {
        http = http.header(name.as_str(), value.as_slice());
    }
    let named = [
        (&dialect.instance, permit.instance.as_deref()),
        (&dialect.caller_service, request.caller_service),
        (&dialect.organisation, request.organisation),
    ];
    for (name, value) in named {
        if let (Some(name), Some(value)) = (name, value) {
            http = http.header(name, value);
        }
    }
    let left_ms = permit.left_us / 1_000;
    let http = http
        .header(&dialect.deadline, left_ms)
        .header(&dialect.call, request.call)
        .body(());
    Some(http.ok()?.into_parts().0)
}

/// Request line and fields, without those of the framing and without the empty line.
fn head(parts: &Parts) -> Vec<u8> {
    let fields = parts.headers.len() * FIELD_BYTES;
    let mut head = Vec::with_capacity(OWN_FIELDS_BYTES + fields);
    let _ = write!(head, "{} {} HTTP/1.1\r\n", parts.method, parts.uri);
    for (name, value) in &parts.headers {
        let is_framing = name == CONTENT_LENGTH || name == TRANSFER_ENCODING || name == CONNECTION;
        if !is_framing {
            field(&mut head, name, value.as_bytes());
        }
    }
    head
}

fn whole<'a>(first: &mut Vec<u8>, method: &Method, body: &'a [u8]) -> TargetBody<'a> {
    let usually_has_none = [Method::GET, Method::HEAD, Method::CONNECT].contains(method);
    if !body.is_empty() || !usually_has_none {
        length(first, body.len() as u64);
    }
    first.extend_from_slice(b"\r\n");
    if body.len() > COPIED_BYTES {
        return TargetBody::Whole(body);
    }
    first.extend_from_slice(body);
    TargetBody::WithHead
}

fn in_pieces<'a>(first: &mut Vec<u8>, body: &'a mut PieceBody) -> TargetBody<'a> {
    let stated = body.size_hint().exact();
    match stated {
        Some(bytes) => length(first, bytes),
        None => field(first, &TRANSFER_ENCODING, b"chunked"),
    }
    first.extend_from_slice(b"\r\n");
    TargetBody::Pieces {
        body,
        is_chunked: stated.is_none(),
    }
}

fn length(head: &mut Vec<u8>, bytes: u64) {
    field(head, &CONTENT_LENGTH, bytes.to_string().as_bytes());
}

fn field(head: &mut Vec<u8>, name: &HeaderName, value: &[u8]) {
    head.extend_from_slice(name.as_str().as_bytes());
    head.extend_from_slice(b": ");
    head.extend_from_slice(value);
    head.extend_from_slice(b"\r\n");
}
