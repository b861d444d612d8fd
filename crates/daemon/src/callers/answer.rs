//! Answers to callers: targets' answers passed on, and problems told in the form
//! of RFC 9457 with a machine-readable outcome.

use hyper::body::Bytes;
use hyper::header::{CONTENT_LENGTH, CONTENT_TYPE, HeaderValue, RETRY_AFTER, WWW_AUTHENTICATE};
use hyper::{Response, StatusCode};
use lynxcleat_policy::{Micros, NotRunReason};
use lynxcleat_wire::{Answer, Header};
use serde::Serialize;
use serde_json::json;

use crate::dialect::Dialect;
use crate::headers::{OUTCOME, REPLAYED, RETRY_AFTER_MS, TICKET};

pub(super) type HttpAnswer = Response<Bytes>;

const PROBLEM_JSON: &str = "application/problem+json";
const JSON: &str = "application/json";

/// What a caller is told of the run of its call.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub(super) enum Outcome {
    Run,
    NotRun,
    Unknown,
}

impl Outcome {
    pub(super) fn label(self) -> &'static str {
        match self {
            Outcome::Run => "run",
            Outcome::NotRun => "not-run",
            Outcome::Unknown => "unknown",
        }
    }
}

/// Why a caller gets no answer of a target.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Problem {
    /// The request is not one that is served.
    Bad(&'static str),
    /// The ticket is none of this deployment.
    BadTicket,
    /// No place has the service.
    NoService(String),
    /// No route is for the request's host and path.
    NoRoute,
    /// The call carries no valid key of an organisation.
    NoKey(KeyFault),
    /// The organisation has used up its quota.
    OverQuota { retry_after_us: Micros },
    /// The settings are too stale to exclude that the key was revoked.
    KeysInDoubt,
    /// The body is larger than the settings allow.
    TooLarge { limit: usize },
    /// The body took too long.
    TooSlow,
    /// The settings demand a ticket or a key.
    KeyRequired,
    /// No settings are in force yet.
    NotReady,
    /// Bodies of other calls take all the memory for bodies.
    NoRoom,
    /// It was not run.
    NotRun {
        reason: NotRunReason,
        retry_after_us: Micros,
    },
    /// The key could not be recorded; it was not run.
    NoClaim { retry_after_us: Micros },
    /// The memory of operations is full; it was not run.
    MemoryFull { retry_after_us: Micros },
    /// The guard is lost; it was not run and needs a new ticket.
    Fenced { retry_after_us: Micros },
    /// It may have run.
    Unknown { retry_after_us: Option<Micros> },
}

/// Why the key of a call was rejected.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum KeyFault {
    /// The call carries no key.
    Missing,
    /// The call carries several keys, or one of invalid length.
    Malformed,
    /// The key belongs to no organisation.
    Unknown,
}

impl KeyFault {
    pub(super) fn label(self) -> &'static str {
        match self {
            KeyFault::Missing => "missing",
            KeyFault::Malformed => "malformed",
            KeyFault::Unknown => "unknown",
        }
    }
}

/// Value of `WWW-Authenticate` in 401 responses (RFC 9110, section 11.6.1).
const CHALLENGE: &str = "Key realm=\"lynxcleat\"";
const KEYS_IN_DOUBT_RETRY_AFTER_US: Micros = 500_000;
const NOT_READY_RETRY_AFTER_US: Micros = 1_000_000;
const NO_ROOM_RETRY_AFTER_US: Micros = 200_000;

struct Told {
    status: StatusCode,
    kind: &'static str,
    outcome: Outcome,
    detail: String,
    retry_after_us: Option<Micros>,
}

impl Problem {
    /// Whether the call ran, for the metrics.
    pub(super) fn outcome(&self) -> Outcome {
        match self {
            Problem::Unknown { .. } => Outcome::Unknown,
            _ => Outcome::NotRun,
        }
    }

    /// Whether the call was answered before a target was chosen for it.
    pub(super) fn is_unrouted(&self) -> bool {
        !matches!(self, Problem::NotRun { .. } | Problem::Unknown { .. })
    }

    /// The HTTP answer.
    pub(super) fn answer(&self, dialect: &Dialect, call: &str) -> HttpAnswer {
        let told = self.told();
        let body = json!({
            "type": format!("urn:lynxcleat:problem:{}", told.kind),
            "title": told.kind,
            "status": told.status.as_u16(),
            "detail": told.detail,
            "outcome": told.outcome,
            "call": call,
            "retry_after_ms": told.retry_after_us.map(ms),
        });
        let mut answer = build(told.status, PROBLEM_JSON, body.to_string());
        let headers = answer.headers_mut();
        if told.status == StatusCode::UNAUTHORIZED {
            headers.insert(WWW_AUTHENTICATE, HeaderValue::from_static(CHALLENGE));
        }
        if let Some(after_us) = told.retry_after_us {
            headers.insert(RETRY_AFTER, dialect.retry_after(after_us));
        }
        if !dialect.own_interface {
            return answer;
        }
        headers.insert(OUTCOME, HeaderValue::from_static(told.outcome.label()));
        if let Some(after_us) = told.retry_after_us {
            headers.insert(RETRY_AFTER_MS, HeaderValue::from(ms(after_us)));
        }
        answer
    }

    fn told(&self) -> Told {
        let not_run = |status, kind, detail: String, retry_after_us| Told {
            status,
            kind,
            outcome: Outcome::NotRun,
            detail,
            retry_after_us,
        };
        match self {
            Problem::Bad(detail) => not_run(
                StatusCode::BAD_REQUEST,
                "bad-request",
                (*detail).to_owned(),
                None,
            ),
            Problem::BadTicket => not_run(
                StatusCode::BAD_REQUEST,
                "bad-ticket",
                "the ticket was not minted in this deployment".to_owned(),
                None,
            ),
            Problem::NoService(name) => not_run(
                StatusCode::NOT_FOUND,
                "no-service",
                format!("no place has a service {name:?}"),
                None,
            ),
            Problem::NoRoute => not_run(
                StatusCode::NOT_FOUND,
                "no-route",
                "no route is for this host and path".to_owned(),
                None,
            ),
            Problem::NoKey(fault) => not_run(
                StatusCode::UNAUTHORIZED,
                "no-key",
                format!("the key of an organisation is {}", fault.label()),
                None,
            ),
            Problem::OverQuota { retry_after_us } => not_run(
                StatusCode::TOO_MANY_REQUESTS,
                "over-quota",
                "the organisation made as many calls as it may".to_owned(),
                Some(*retry_after_us),
            ),
            Problem::KeysInDoubt => not_run(
                StatusCode::SERVICE_UNAVAILABLE,
                "keys-in-doubt",
                "nothing was heard of the accepted settings for too long to trust a key".to_owned(),
                Some(KEYS_IN_DOUBT_RETRY_AFTER_US),
            ),
            Problem::TooLarge { limit } => not_run(
                StatusCode::PAYLOAD_TOO_LARGE,
                "too-large",
                format!("the body has more than {limit} bytes"),
                None,
            ),
            Problem::TooSlow => not_run(
                StatusCode::REQUEST_TIMEOUT,
                "too-slow",
                "the body took too long to arrive".to_owned(),
                None,
            ),
            Problem::KeyRequired => not_run(
                StatusCode::PRECONDITION_REQUIRED,
                "key-required",
                "this service takes calls with effects only under a ticket or an idempotency key"
                    .to_owned(),
                None,
            ),
            Problem::NotReady => not_run(
                StatusCode::SERVICE_UNAVAILABLE,
                "not-ready",
                "no settings are in force at this daemon yet".to_owned(),
                Some(NOT_READY_RETRY_AFTER_US),
            ),
            Problem::NoRoom => not_run(
                StatusCode::SERVICE_UNAVAILABLE,
                "no-room",
                "bodies of other calls take all the memory for bodies".to_owned(),
                Some(NO_ROOM_RETRY_AFTER_US),
            ),
            Problem::NotRun {
                reason,
                retry_after_us,
            } => not_run(
                StatusCode::SERVICE_UNAVAILABLE,
                reason_kind(*reason),
                reason_detail(*reason).to_owned(),
                Some(*retry_after_us),
            ),
            Problem::NoClaim { retry_after_us } => not_run(
                StatusCode::SERVICE_UNAVAILABLE,
                "key-not-recorded",
                "the platform could not record the idempotency key; a ticket needs no platform"
                    .to_owned(),
                Some(*retry_after_us),
            ),
            Problem::MemoryFull { retry_after_us } => not_run(
                StatusCode::SERVICE_UNAVAILABLE,
                "memory-full",
                "the memory of once-only operations is full".to_owned(),
                Some(*retry_after_us),
            ),
            Problem::Fenced { retry_after_us } => not_run(
                StatusCode::SERVICE_UNAVAILABLE,
                "fenced",
                "the daemon that minted the ticket is lost; take a new ticket".to_owned(),
                Some(*retry_after_us),
            ),
            Problem::Unknown { retry_after_us } => Told {
                status: StatusCode::GATEWAY_TIMEOUT,
                kind: "outcome-unknown",
                outcome: Outcome::Unknown,
                detail: "the call may have run; with a ticket or key, ask again with the same one"
                    .to_owned(),
                retry_after_us: *retry_after_us,
            },
        }
    }
}

fn reason_kind(reason: NotRunReason) -> &'static str {
    match reason {
        NotRunReason::NoTarget => "no-target",
        NotRunReason::NoHomeTarget => "no-home-target",
        NotRunReason::Refused(_) => "refused",
        NotRunReason::Deadline => "deadline",
        NotRunReason::NoLink => "no-link",
        NotRunReason::Quarantined => "quarantined",
        NotRunReason::Stopping => "stopping",
    }
}

fn reason_detail(reason: NotRunReason) -> &'static str {
    match reason {
        NotRunReason::Quarantined => {
            "the call was not run: targets ended each time that they ran the same request"
        }
        NotRunReason::Stopping => "the call was not run: this daemon is stopping",
        _ => "the call was not run",
    }
}

/// A target's answer, passed on unchanged but for our own headers.
///
/// # Errors
/// A message whose status is that of no final answer: nothing of it is passed on, since a failure
/// of ours must not bear the stamp of a target.
pub(super) fn pass_on(
    dialect: &Dialect,
    answer: Answer,
    replayed: bool,
) -> Result<HttpAnswer, Problem> {
    let status = StatusCode::from_u16(answer.status).ok();
    let Some(status) = status.filter(|status| !status.is_informational()) else {
        log::error!(status = answer.status; "an answer with a status that is none");
        return Err(Problem::Unknown {
            retry_after_us: None,
        });
    };
    let mut http = Response::new(Bytes::from(answer.body.into_vec()));
    *http.status_mut() = status;
    let headers = http.headers_mut();
    for Header(name, value) in answer.headers {
        let name = hyper::header::HeaderName::from_bytes(name.as_bytes());
        if let (Ok(name), Ok(value)) = (name, HeaderValue::from_bytes(&value)) {
            headers.append(name, value);
        }
    }
    if dialect.own_interface {
        headers.insert(OUTCOME, HeaderValue::from_static(Outcome::Run.label()));
    }
    if replayed {
        headers.insert(REPLAYED, HeaderValue::from_static("1"));
    }
    Ok(http)
}

/// A JSON answer of the daemon itself.
pub(super) fn json_answer(value: &impl Serialize) -> HttpAnswer {
    let body = serde_json::to_string(value).expect("the reply types encode");
    build(StatusCode::OK, JSON, body)
}

/// Adds what every answer carries.
pub(super) fn stamp(dialect: &Dialect, answer: &mut HttpAnswer, call: &str, ticket: Option<&str>) {
    let headers = answer.headers_mut();
    if let Ok(value) = HeaderValue::from_str(call) {
        headers.insert(&dialect.call, value);
    }
    if let Some(value) = ticket.and_then(|text| HeaderValue::from_str(text).ok()) {
        headers.insert(TICKET, value);
    }
}

fn build(status: StatusCode, content_type: &'static str, body: String) -> HttpAnswer {
    let length = body.len();
    let mut answer = Response::new(Bytes::from(body));
    *answer.status_mut() = status;
    let headers = answer.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    headers.insert(CONTENT_LENGTH, HeaderValue::from(length));
    answer
}

fn ms(us: Micros) -> u64 {
    us.div_ceil(1_000)
}
