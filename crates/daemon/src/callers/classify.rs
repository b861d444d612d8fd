//! Accept and classify: from an HTTP request to a checked call.
//!
//! The service is that of the route in force for the request's host and path. In a
//! tree without routes it is the first label of the host: a path prefix would have
//! to be taken off the path again, and paths pass unchanged here.

use hyper::Method;
use hyper::header::{CONTENT_LENGTH, EXPECT, HOST, HeaderMap, HeaderName};
use hyper::http::request::Parts;
use lynxcleat_once::Ticket;
use lynxcleat_settings::{Effective, Once, is_valid_name};
use lynxcleat_wire::{Header, RequestHead};
use serde_bytes::ByteBuf;

use super::answer::Problem;
use crate::core::Core;
use crate::dialect::Dialect;
use crate::headers::{KEY, TICKET, is_hop_by_hop, listed_in_connection};

/// Longest idempotency key, in bytes.
const KEY_LIMIT: usize = 255;
/// Maximum length of an organisation key, in bytes.
const CALLER_KEY_LIMIT: usize = 1_024;

/// How a call's effects are treated.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Effects {
    /// A lookup: it may be sent again.
    None,
    /// It has effects and no name that its caller could repeat.
    Plain,
    /// It runs under a ticket.
    Ticket(Ticket),
    /// It runs under the ticket that the table has for its key.
    Key(String),
}

/// Organisation key carried by a request.
pub(super) enum CallerKey {
    None,
    One(Vec<u8>),
    /// Several keys, or one that is empty or too long.
    Malformed,
}

impl CallerKey {
    fn of(headers: &HeaderMap, dialect: &Dialect) -> Self {
        let mut values = headers.get_all(&dialect.caller_key).iter();
        let Some(value) = values.next() else {
            return CallerKey::None;
        };
        let key = value.as_bytes();
        match values.next().is_none() && (1..=CALLER_KEY_LIMIT).contains(&key.len()) {
            true => CallerKey::One(key.to_vec()),
            false => CallerKey::Malformed,
        }
    }
}

/// A request's head, checked.
pub(super) struct Classified {
    /// Host that the request names, in lower case and without a port.
    pub host: String,
    pub deadline_ms: Option<u64>,
    pub effects: Effects,
    pub may_retry: bool,
    /// Whether its method asks for no effects.
    pub is_safe: bool,
    pub length: Option<u64>,
    pub key: CallerKey,
    pub head: RequestHead,
}

/// Checks a request's head.
pub(super) fn classify(core: &Core, parts: &Parts) -> Result<Classified, Problem> {
    check_form(parts)?;
    let headers = &parts.headers;
    let dialect = &core.dialect;
    let retries = dialect.retry.as_ref();
    Ok(Classified {
        host: host(parts)?,
        deadline_ms: deadline_ms(headers, dialect)?,
        effects: effects(core, parts)?,
        may_retry: !retries.is_some_and(|retry| headers.contains_key(retry)),
        is_safe: is_safe(&parts.method),
        length: length(headers)?,
        key: CallerKey::of(headers, dialect),
        head: RequestHead {
            method: parts.method.as_str().to_owned(),
            path: parts
                .uri
                .path_and_query()
                .map_or_else(|| "/".to_owned(), ToString::to_string),
            headers: end_to_end(parts, dialect),
        },
    })
}

/// Checks a call against the settings in force for its service.
pub(super) fn check_settings(call: &Classified, effective: &Effective) -> Result<(), Problem> {
    let limit = effective.body_limit_bytes;
    if call.length.is_some_and(|length| length > limit as u64) {
        return Err(Problem::TooLarge { limit });
    }
    if effective.once == Once::Required && call.effects == Effects::Plain {
        return Err(Problem::KeyRequired);
    }
    Ok(())
}

/// Refuses what could be read in two ways by us and a target. A request with both
/// Content-Length and Transfer-Encoding was read by its chunks and ends its connection
/// (RFC 9112, section 6.3), its length counts for nothing, and we frame what we send on
/// anew.
fn check_form(parts: &Parts) -> Result<(), Problem> {
    if !parts.uri.path().starts_with('/') {
        return Err(Problem::Bad("the target of the request must be a path"));
    }
    if parts.method == Method::CONNECT || parts.method == Method::TRACE {
        return Err(Problem::Bad("the method is not served"));
    }
    let headers = &parts.headers;
    if headers.get_all(HOST).iter().count() != 1 {
        return Err(Problem::Bad("exactly one Host is needed"));
    }
    Ok(())
}

/// The host that the request names. In absolute form the request's target names it,
/// whatever `Host` says (RFC 9112, section 3.2.2).
fn host(parts: &Parts) -> Result<String, Problem> {
    let named = match parts.uri.host() {
        Some(host) => host,
        None => single(&parts.headers, HOST.as_str())?.unwrap_or_default(),
    };
    let host = named.split(':').next().unwrap_or_default();
    if host.is_empty() {
        return Err(Problem::Bad("Host is empty"));
    }
    Ok(host.to_ascii_lowercase())
}

/// The service that the first label of a host names.
pub(super) fn service_of(host: &str) -> Result<&str, Problem> {
    let name = host.split('.').next().unwrap_or_default();
    if is_valid_name(name) {
        return Ok(name);
    }
    Err(Problem::Bad("the first label of Host must name a service"))
}

fn deadline_ms(headers: &HeaderMap, dialect: &Dialect) -> Result<Option<u64>, Problem> {
    let Some(text) = single(headers, dialect.deadline.as_str())? else {
        return Ok(None);
    };
    match text.trim().parse() {
        Ok(ms) if ms > 0 => Ok(Some(ms)),
        _ => Err(Problem::Bad(
            "the deadline must be a whole number of milliseconds above 0",
        )),
    }
}

fn effects(core: &Core, parts: &Parts) -> Result<Effects, Problem> {
    if !core.dialect.own_interface {
        return Ok(match is_safe(&parts.method) {
            true => Effects::None,
            false => Effects::Plain,
        });
    }
    let ticket = single(&parts.headers, TICKET)?;
    let key = single(&parts.headers, KEY)?;
    match (ticket, key) {
        (Some(_), Some(_)) => Err(Problem::Bad("both a ticket and an idempotency key")),
        (Some(text), None) => {
            let ticket = core.once.open(text).map_err(|_| Problem::BadTicket)?;
            Ok(Effects::Ticket(ticket))
        }
        (None, Some(text)) if (1..=KEY_LIMIT).contains(&text.len()) => {
            Ok(Effects::Key(text.to_owned()))
        }
        (None, Some(_)) => Err(Problem::Bad("idempotency-key must have 1 to 255 bytes")),
        (None, None) if is_safe(&parts.method) => Ok(Effects::None),
        (None, None) => Ok(Effects::Plain),
    }
}

/// Safe methods ask for no effects (RFC 9110, section 9.2.1).
fn is_safe(method: &Method) -> bool {
    matches!(*method, Method::GET | Method::HEAD | Method::OPTIONS)
}

fn length(headers: &HeaderMap) -> Result<Option<u64>, Problem> {
    let Some(text) = single(headers, CONTENT_LENGTH.as_str())? else {
        return Ok(None);
    };
    let length = text.parse();
    length
        .map(Some)
        .map_err(|_| Problem::Bad("Content-Length is not a number"))
}

fn single<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, Problem> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(Problem::Bad("a header that may stand once stands twice"));
    }
    let text = value
        .to_str()
        .map_err(|_| Problem::Bad("a header holds characters that are not visible"))?;
    Ok(Some(text))
}

/// Headers for the target: end-to-end ones, without any of ours. A host in the
/// request's target takes the place of `Host` (RFC 9112, section 3.2.2).
fn end_to_end(parts: &Parts, dialect: &Dialect) -> Vec<Header> {
    let headers = &parts.headers;
    let authority = parts.uri.authority();
    let listed = listed_in_connection(headers);
    let passes = |name: &HeaderName| {
        let ours = (dialect.is_ours)(name);
        let framing = name == CONTENT_LENGTH || name == EXPECT;
        !ours && !framing && !is_hop_by_hop(name) && !listed.contains(name)
    };
    headers
        .iter()
        .filter(|(name, _)| passes(name))
        .map(|(name, value)| {
            let value = match authority.filter(|_| name == HOST) {
                Some(authority) => authority.as_str().as_bytes(),
                None => value.as_bytes(),
            };
            Header(name.as_str().to_owned(), ByteBuf::from(value.to_vec()))
        })
        .collect()
}
