//! The names that callers and targets use: which headers carry a deadline, the
//! name of a call, the target meant, and how a target says that it did not run a
//! call. [`Dialect::own`] is the product's own interface.

use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use hyper::http::response::Parts;
use lynxcleat_policy::{Micros, RateLimit, ResponseName, ResponseNaming};
use thiserror::Error;

use crate::headers::{
    CALL, CALLER_KEY, DEADLINE, LEAVING, ORGANISATION, OUTCOME, PREFIX, RATE_LIMIT, RETRY,
    RETRY_AFTER_MS,
};

/// What a target says that did not run a call, in our own interface.
const NOT_RUN: &str = "not-run";
/// Value of the header of a target that is leaving.
const IS_LEAVING: &str = "1";

/// What a target tells of its load on an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TargetLoad {
    /// Calls it runs.
    pub running: u32,
    /// Calls that wait in it.
    pub waiting: u32,
    /// Calls that it runs at once.
    pub slots: u32,
    /// How long work takes there now, in percent of what is usual.
    pub slowness_percent: u32,
}

impl TargetLoad {
    /// The time that a call would have taken at usual speed.
    pub fn work_us(&self, took_us: u32) -> u32 {
        let factor = f64::from(self.slowness_percent.max(1)) / 100.0;
        (f64::from(took_us) / factor) as u32
    }
}

/// A target told for how long it is cold in a text that is no number of milliseconds.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("{0:?} is no number of milliseconds for which a target is cold")]
pub struct NotColdTime(pub String);

/// A target stated a rate limit in a text that is no rate.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("{0:?} is no number of calls a second")]
pub struct NotARate(pub String);

/// How a target's answer is to be taken.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AnswerKind {
    /// The target ran the call.
    Ran,
    /// It did not run the call, and says when to come back where it can.
    NotRun {
        /// When to come back, in microseconds.
        retry_after_us: Option<Micros>,
    },
    /// Another incarnation than the one meant stands at the address; it did not
    /// run the call.
    OtherInstance,
    /// It says both that the call ran and that it did not, or tells callers that it did not run
    /// without the word by which targets say so. The call may have run, and callers get none of it.
    Contradictory,
}

/// A header with a target's load, and how to read it.
#[derive(Clone, Debug)]
pub struct LoadHeader {
    /// Its name.
    pub name: HeaderName,
    /// Reads its value; nothing where it makes no sense.
    pub read: fn(&str) -> Option<TargetLoad>,
}

/// Names and rules of one interface towards callers and targets.
#[derive(Clone, Debug)]
pub struct Dialect {
    /// Time left in milliseconds, from callers and to targets.
    pub deadline: HeaderName,
    /// Name of a call, to targets and from those that repeat it.
    pub call: HeaderName,
    /// Whether targets repeat that header in every answer to a call.
    pub response_naming: ResponseNaming,
    /// Header that targets put on every success.
    pub success_stamp: Option<HeaderName>,
    /// Whether callers name their calls in that header.
    pub callers_name_calls: bool,
    /// Incarnation of the target that is meant, to targets.
    pub instance: Option<HeaderName>,
    /// Service of the host where the call began, to targets.
    pub caller_service: Option<HeaderName>,
    /// Key of the calling organisation, from callers.
    pub caller_key: HeaderName,
    /// Name of the calling organisation, to targets.
    pub organisation: Option<HeaderName>,
    /// Marks a further attempt, from and to targets.
    pub retry: Option<HeaderName>,
    /// The target's load, from targets.
    pub load: Option<LoadHeader>,
    /// Milliseconds for which the target is cold, from targets that are asked for their load.
    pub cold_left_ms: Option<HeaderName>,
    /// Incarnation of the target, from targets that are asked for their load.
    pub told_instance: Option<HeaderName>,
    /// Calls a second that the target takes from all daemons together, from targets.
    pub rate_limit: HeaderName,
    /// Says that the target is leaving, from targets.
    pub leaving: HeaderName,
    /// How a target's answer to a call is to be taken, with the incarnation that was meant.
    pub answer_kind: fn(&Parts, Option<&str>) -> AnswerKind,
    /// Headers of ours that are neither taken from callers nor from targets.
    pub is_ours: fn(&HeaderName) -> bool,
    /// Whether answers carry our own headers, and tickets and keys are served.
    pub own_interface: bool,
    /// Whether the time to come back is told in fractions of a second.
    pub fractional_retry_after: bool,
}

impl Dialect {
    /// The product's own interface.
    pub fn own() -> Self {
        Dialect {
            deadline: HeaderName::from_static(DEADLINE),
            call: HeaderName::from_static(CALL),
            response_naming: ResponseNaming::Optional,
            success_stamp: None,
            callers_name_calls: false,
            instance: None,
            caller_service: None,
            caller_key: HeaderName::from_static(CALLER_KEY),
            organisation: Some(HeaderName::from_static(ORGANISATION)),
            retry: Some(HeaderName::from_static(RETRY)),
            load: None,
            cold_left_ms: None,
            told_instance: None,
            rate_limit: HeaderName::from_static(RATE_LIMIT),
            leaving: HeaderName::from_static(LEAVING),
            answer_kind: own_answer_kind,
            is_ours: |name| name.as_str().starts_with(PREFIX),
            own_interface: true,
            fractional_retry_after: false,
        }
    }

    /// The name that a caller gave its call.
    pub fn caller_call(&self, headers: &HeaderMap) -> Option<String> {
        if !self.callers_name_calls {
            return None;
        }
        let text = headers.get(&self.call)?.to_str().ok()?;
        Some(text.to_owned())
    }

    /// The call that an answer names.
    pub fn response_name<'a>(&self, headers: &'a HeaderMap) -> ResponseName<'a> {
        let mut names = headers.get_all(&self.call).iter();
        match (names.next(), names.next()) {
            (None, _) => ResponseName::Absent,
            (Some(name), None) => ResponseName::Call(name.as_bytes()),
            (Some(_), Some(_)) => ResponseName::Ambiguous,
        }
    }

    /// The load that an answer tells.
    pub fn load(&self, headers: &HeaderMap) -> Option<TargetLoad> {
        let load = self.load.as_ref()?;
        (load.read)(headers.get(&load.name)?.to_str().ok()?)
    }

    /// How much longer the target is cold, in microseconds, where an answer tells it.
    ///
    /// # Errors
    /// A header that is no number of milliseconds.
    pub fn cold_left(&self, headers: &HeaderMap) -> Result<Option<Micros>, NotColdTime> {
        let name = self.cold_left_ms.as_ref();
        let Some(value) = name.and_then(|name| headers.get(name)) else {
            return Ok(None);
        };
        let fault = || NotColdTime(String::from_utf8_lossy(value.as_bytes()).into_owned());
        let text = value.to_str().map_err(|_| fault())?;
        let left_ms: f64 = text.trim().parse().map_err(|_| fault())?;
        if !left_ms.is_finite() || left_ms < 0.0 {
            return Err(fault());
        }
        Ok(Some((left_ms * 1_000.0).ceil() as Micros))
    }

    /// The incarnation that answers, where it says so.
    pub fn told_instance(&self, headers: &HeaderMap) -> Option<String> {
        let value = headers.get(self.told_instance.as_ref()?)?;
        Some(value.to_str().ok()?.to_owned())
    }

    /// The rate limit that an answer states.
    ///
    /// # Errors
    /// A header that is no rate.
    pub fn rate_limit(&self, headers: &HeaderMap) -> Result<Option<RateLimit>, NotARate> {
        let Some(value) = headers.get(&self.rate_limit) else {
            return Ok(None);
        };
        let fault = || NotARate(String::from_utf8_lossy(value.as_bytes()).into_owned());
        let text = value.to_str().map_err(|_| fault())?;
        let per_s: f64 = text.trim().parse().map_err(|_| fault())?;
        RateLimit::from_per_s(per_s).ok_or_else(fault).map(Some)
    }

    /// Whether an answer says that the target is leaving.
    pub fn is_leaving(&self, headers: &HeaderMap) -> bool {
        let value = headers.get(&self.leaving);
        value.is_some_and(|value| value == IS_LEAVING)
    }

    /// The value of `Retry-After`: whole seconds, or fractions where allowed.
    pub fn retry_after(&self, after_us: Micros) -> HeaderValue {
        if !self.fractional_retry_after {
            return HeaderValue::from(after_us.div_ceil(1_000_000));
        }
        let text = format!("{:.3}", after_us as f64 / 1e6);
        HeaderValue::from_str(&text).expect("digits and a point")
    }
}

/// Statuses promise nothing here; only the header says that a call was not run.
fn own_answer_kind(parts: &Parts, _: Option<&str>) -> AnswerKind {
    let says_not_run = parts
        .headers
        .get(OUTCOME)
        .is_some_and(|told| told == NOT_RUN);
    if !says_not_run || !parts.status.is_server_error() {
        return AnswerKind::Ran;
    }
    let told_ms = parts
        .headers
        .get(RETRY_AFTER_MS)
        .and_then(|value| value.to_str().ok()?.parse::<Micros>().ok());
    AnswerKind::NotRun {
        retry_after_us: told_ms.map(|ms| ms.saturating_mul(1_000)),
    }
}
