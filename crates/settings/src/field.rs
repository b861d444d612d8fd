//! Definitions of all settings fields. Validation, help texts and effective values all use the
//! name, unit, range, default and help given here.

use serde_json::Value;

use crate::error::Fault;
use crate::home_regions::is_valid_region_name;

/// The type of a field, with its constraints and default.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FieldKind {
    /// An integer in a closed range.
    Whole {
        /// Minimum, inclusive.
        min: u64,
        /// Maximum, inclusive.
        max: u64,
        /// Value if no level sets the field.
        default: u64,
    },
    /// One of a fixed set of strings; the first is the default.
    Choice(&'static [&'static str]),
    /// A URL path that starts with a slash, or the empty string, which is the default.
    Path,
    /// A region name, or the empty string, which is the default.
    Name,
    /// A list of region names; empty by default. It is stored sorted and without duplicates.
    Names,
}

/// Definition of one field.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FieldSpec {
    /// Name in the tree; ends in the unit if there is one.
    pub name: &'static str,
    /// Unit of the value, as shown in messages; empty if there is none.
    pub unit: &'static str,
    /// Type and constraints of the value.
    pub kind: FieldKind,
    /// One-line description.
    pub help: &'static str,
}

const DAY_MS: u64 = 86_400_000;

const fn integer(
    name: &'static str,
    unit: &'static str,
    (min, max): (u64, u64),
    default: u64,
    help: &'static str,
) -> FieldSpec {
    FieldSpec {
        name,
        unit,
        kind: FieldKind::Whole { min, max, default },
        help,
    }
}

const fn choice(
    name: &'static str,
    words: &'static [&'static str],
    help: &'static str,
) -> FieldSpec {
    FieldSpec {
        name,
        unit: "",
        kind: FieldKind::Choice(words),
        help,
    }
}

const fn path(name: &'static str, help: &'static str) -> FieldSpec {
    FieldSpec {
        name,
        unit: "",
        kind: FieldKind::Path,
        help,
    }
}

const fn name(name: &'static str, help: &'static str) -> FieldSpec {
    FieldSpec {
        name,
        unit: "",
        kind: FieldKind::Name,
        help,
    }
}

const fn names(name: &'static str, help: &'static str) -> FieldSpec {
    FieldSpec {
        name,
        unit: "",
        kind: FieldKind::Names,
        help,
    }
}

/// All fields, in the order in which the help lists them.
#[rustfmt::skip]
pub const FIELDS: &[FieldSpec] = &[
    integer("slots", "calls", (1, 4096), 12, "maximum number of calls a target serves concurrently"),
    integer("connection_limit", "connections", (1, 65_536), 200, "maximum number of connections to a target"),
    integer("hold_limit", "calls", (0, 65_536), 48, "calls queued for a slot before further ones are rejected"),
    integer("deadline_ms", "ms", (1, DAY_MS), 2_000, "deadline of a call that sets none"),
    integer("deadline_max_ms", "ms", (1, DAY_MS), 30_000, "longest deadline a caller may set"),
    integer("caller_limit_ms", "ms", (100, DAY_MS), 15_000, "timeout for the head of a request, for its body, and between two requests on a connection"),
    integer("body_limit_bytes", "bytes", (0, 64 << 20), 1 << 20, "maximum size of a request or response body"),
    integer("body_memory_bytes", "bytes", (64 << 10, 64 << 30), 64 << 20, "memory for bodies of callers' calls in progress, beyond which new calls are rejected"),
    integer("answer_memory_bytes", "bytes", (64 << 10, 64 << 30), 64 << 20, "memory for the bodies of a target's responses that are being read, beyond which large ones are read one after the other"),
    integer("body_whole_bytes", "bytes", (1_024, 1 << 20), 16 << 10, "on routes with large bodies, bodies up to this size are forwarded whole, larger ones streamed"),
    integer("body_window_bytes", "bytes", (4_096, 16 << 20), 1 << 20, "streamed bodies up to this size are read before a target is chosen, larger ones as the target reads them, with this flow control window"),
    integer("pipeline_limit", "calls", (1, 1_024), 8, "maximum number of concurrent calls on one connection"),
    integer("pipeline_bytes", "bytes", (4_096, 64 << 20), 1 << 20, "bytes of out-of-order responses buffered for one connection before reading from it pauses"),
    integer("attempt_limit", "attempts", (1, 8), 3, "maximum number of attempts of a call, including the first"),
    integer("retry_percent", "%", (0, 100), 10, "retry budget, as a share of first attempts"),
    integer("retry_window_ms", "ms", (0, 600_000), 0, "window over which the retries of all daemons together are limited; 0 for a token bucket in each daemon"),
    integer("retry_reserve", "attempts", (0, 1_000_000), 0, "retries allowed per window in addition to the share, by all daemons together"),
    integer("reroute_limit", "targets", (0, 16), 0, "further targets, beyond the attempts, that a call may be sent to after a daemon rejected it"),
    choice("policy", &["expected-finish", "goal-chance", "power-of-two", "least-in-flight", "round-robin", "random"], "policy for choosing a target"),
    integer("far_price_percent", "%", (0, 100), 0, "cost of sending a call to another place, as a share of the call's utility"),
    integer("region_price_percent", "%", (0, 100), 0, "cost of sending a call to another region, as a share of the call's utility"),
    integer("region_send_bytes_per_s", "bytes/s", (0, 100_000_000_000), 0, "rate of bytes one daemon may send to other regions; beyond it, calls stay in their own region, the least urgent first; 0 for no limit"),
    integer("ask_price_permille", "1/1000", (0, 1_000), 10, "cost of polling the target for its load, as a share of a call's utility"),
    integer("cold_calls_per_s", "calls/s", (0, 1_000_000), 0, "maximum rate of calls to a cold target, by all daemons together; 0 for no limit"),
    integer("cold_ms", "ms", (0, 600_000), 0, "time for which a target is cold after its start; 0 if unknown"),
    integer("subset_size", "targets", (1, 1024), 16, "targets of a service that one daemon keeps links to"),
    integer("eject_failures", "failures", (1, 1000), 5, "consecutive failures after which a target is ejected"),
    integer("eject_ms", "ms", (1, 600_000), 1_000, "time a target stays ejected before a trial call"),
    integer("crash_limit", "targets", (0, 8), 3, "consecutive targets that may terminate while serving one request before all daemons reject it; 0 for no limit"),
    integer("quarantine_ms", "ms", (1_000, DAY_MS), 600_000, "time for which such a request is rejected; doubled by each further termination"),
    integer("ramp_ms", "ms", (0, 600_000), 2_000, "time over which a cold target's share of calls grows to its full share"),
    integer("canary_percent", "%", (0, 100), 10, "share of a service's calls that targets of a new version may get during a rollout"),
    integer("canary_slack", "calls", (0, 1_000_000), 50, "calls that they may get beyond that share, from all daemons together; a safety margin that no daemon uses"),
    integer("rollback_ms", "ms", (100, 600_000), 5_000, "time after its 50th failed response within which a new version stops getting calls; daemons revert earlier to guarantee it"),
    choice("caller_keys", &["none", "required"], "whether calls must carry an API key of an organisation, except on public routes"),
    integer("key_doubt_ms", "ms", (0, DAY_MS), 0, "time without confirmation of the accepted settings after which calls with an API key are rejected; 0 for never"),
    choice("once", &["allowed", "required"], "whether a call with side effects must carry a ticket or an idempotency key"),
    integer("once_retention_ms", "ms", (1_000, 7 * DAY_MS), 600_000, "retention time of the record of a once-only operation"),
    integer("once_memory_entries", "operations", (16, 10_000_000), 100_000, "maximum number of recorded once-only operations, beyond which new ones are rejected"),
    integer("once_memory_bytes", "bytes", (4_096, 8 << 30), 64 << 20, "memory for stored responses, beyond which new operations are rejected"),
    integer("settle_ms", "ms", (0, 60_000), 500, "time limit for determining the outcome of an attempt whose link was lost"),
    integer("clock_skew_ms", "ms", (0, 60_000), 500, "assumed maximum clock skew between two hosts"),
    integer("list_lag_ms", "ms", (0, 600_000), 10_000, "assumed maximum staleness of the host list"),
    integer("measure_messages_per_s", "messages/s", (10, 100_000), 200, "measurement budget: messages"),
    integer("measure_bytes_per_s", "bytes/s", (2_500, 100_000_000), 11_000, "measurement budget: bytes"),
    integer("measure_cpu_us_per_s", "us/s", (1_000, 1_000_000), 13_000, "measurement budget: CPU time"),
    integer("poll_ms", "ms", (50, 60_000), 1_000, "polling interval of the accepted generation"),
    integer("host_list_ms", "ms", (50, 60_000), 1_000, "polling interval of the host list"),
    integer("health_ms", "ms", (50, 60_000), 500, "polling interval of the target's health endpoint"),
    name("region", "region of a place; empty if the deployment has only one"),
    names("home_regions", "regions in which calls may be served; empty for any"),
    path("load_path", "path at which the target reports its current load; empty if there is none"),
    integer("load_poll_ms", "ms", (0, 60_000), 0, "time without a response from a target after which it is polled for its load while calls arrive; 0 for never"),
    integer("load_asks_per_s", "questions/s", (0, 10_000), 40, "maximum rate of load polls of the target"),
    integer("heartbeat_ms", "ms", (50, 60_000), 1_000, "interval between heartbeats on a link"),
    integer("link_silence_ms", "ms", (100, 600_000), 3_000, "time without a message after which a link counts as lost"),
    integer("stop_linger_ms", "ms", (0, 60_000), 1_000, "time for which a stopping daemon still serves callers' open connections"),
    integer("stop_limit_ms", "ms", (1, 600_000), 30_000, "maximum duration of a planned stop"),
];

/// Looks up a field by name.
pub fn field(name: &str) -> Option<&'static FieldSpec> {
    FIELDS.iter().find(|spec| spec.name == name)
}

impl FieldSpec {
    /// Validates a value against the type and constraints of the field.
    pub fn check(&self, value: &Value) -> Result<(), Fault> {
        match self.kind {
            FieldKind::Whole { min, max, .. } => self.check_integer(value, min, max),
            FieldKind::Choice(words) => check_choice(value, words),
            FieldKind::Path => check_path(value),
            FieldKind::Name => check_name(value),
            FieldKind::Names => check_names(value),
        }
    }

    /// The value if no level sets the field.
    pub fn default_value(&self) -> Value {
        match self.kind {
            FieldKind::Whole { default, .. } => Value::from(default),
            FieldKind::Choice(words) => Value::from(words[0]),
            FieldKind::Path | FieldKind::Name => Value::from(""),
            FieldKind::Names => Value::Array(Vec::new()),
        }
    }

    /// Converts a validated value to its canonical form, so that lists with the same names compare
    /// equal.
    pub(crate) fn normalize(&self, value: Value) -> Value {
        match (self.kind, value) {
            (FieldKind::Names, Value::Array(mut names)) => {
                names.sort_by(|a, b| a.as_str().cmp(&b.as_str()));
                names.dedup();
                Value::Array(names)
            }
            (_, value) => value,
        }
    }

    fn check_integer(&self, value: &Value, min: u64, max: u64) -> Result<(), Fault> {
        let Some(found) = value.as_u64() else {
            return Err(wrong_type(
                format!("a whole number of {}", self.unit),
                value,
            ));
        };
        if (min..=max).contains(&found) {
            return Ok(());
        }
        Err(Fault::OutOfRange {
            found,
            min,
            max,
            unit: self.unit,
        })
    }
}

fn check_path(value: &Value) -> Result<(), Fault> {
    let Some(found) = value.as_str() else {
        return Err(wrong_type("a path".to_owned(), value));
    };
    if found.is_empty() || found.starts_with('/') {
        return Ok(());
    }
    Err(Fault::NotAChoice {
        found: found.to_owned(),
        allowed: "a path that starts with /, or an empty string".to_owned(),
    })
}

fn check_name(value: &Value) -> Result<(), Fault> {
    match value.as_str() {
        Some("") => Ok(()),
        Some(found) if is_valid_region_name(found) => Ok(()),
        Some(_) => Err(Fault::BadRegion),
        None => Err(wrong_type("a name", value)),
    }
}

fn check_names(value: &Value) -> Result<(), Fault> {
    let Some(found) = value.as_array() else {
        return Err(wrong_type("a list of names", value));
    };
    for element in found {
        match element.as_str() {
            Some(name) if is_valid_region_name(name) => {}
            Some(_) => return Err(Fault::BadRegion),
            None => return Err(wrong_type("a name", element)),
        }
    }
    Ok(())
}

fn check_choice(value: &Value, words: &[&str]) -> Result<(), Fault> {
    let Some(found) = value.as_str() else {
        return Err(wrong_type(format!("one of {}", words.join(", ")), value));
    };
    if words.contains(&found) {
        return Ok(());
    }
    Err(Fault::NotAChoice {
        found: found.to_owned(),
        allowed: words.join(", "),
    })
}

/// Creates a [`Fault::WrongType`] from the expected type and the actual value.
pub(crate) fn wrong_type(expected: impl Into<String>, value: &Value) -> Fault {
    let found = match value {
        Value::Null => "null",
        Value::Bool(_) => "a boolean",
        Value::Number(_) => "a number that is negative, fractional or too large",
        Value::String(_) => "a string",
        Value::Array(_) => "an array",
        Value::Object(_) => "an object",
    };
    Fault::WrongType {
        expected: expected.into(),
        found,
    }
}
