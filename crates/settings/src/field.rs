//! The table of fields. One row gives a field's name, unit, range, default and
//! help, and serves the checks, the help texts and the effective values alike.

use serde_json::Value;

use crate::error::Fault;
use crate::homes::names_region;

/// The values that a field takes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Kind {
    /// A whole number in a closed range.
    Whole {
        /// Lowest value allowed.
        min: u64,
        /// Highest value allowed.
        max: u64,
        /// Value where no level sets the field.
        default: u64,
    },
    /// One of a few words; the first is the default.
    Choice(&'static [&'static str]),
    /// A path that starts with a slash, or nothing, which is the default.
    Path,
    /// A name, or nothing, which is the default.
    Name,
    /// A list of names; empty by default. It is kept sorted and without repetitions.
    Names,
}

/// One row of the table of fields.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FieldSpec {
    /// Name in the tree; it ends in the unit where there is one.
    pub name: &'static str,
    /// Unit of the value, for messages.
    pub unit: &'static str,
    /// Values the field takes.
    pub kind: Kind,
    /// One line of help.
    pub help: &'static str,
}

const DAY_MS: u64 = 86_400_000;

const fn whole(
    name: &'static str,
    unit: &'static str,
    (min, max): (u64, u64),
    default: u64,
    help: &'static str,
) -> FieldSpec {
    FieldSpec {
        name,
        unit,
        kind: Kind::Whole { min, max, default },
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
        kind: Kind::Choice(words),
        help,
    }
}

const fn path(name: &'static str, help: &'static str) -> FieldSpec {
    FieldSpec {
        name,
        unit: "",
        kind: Kind::Path,
        help,
    }
}

const fn name(name: &'static str, help: &'static str) -> FieldSpec {
    FieldSpec {
        name,
        unit: "",
        kind: Kind::Name,
        help,
    }
}

const fn names(name: &'static str, help: &'static str) -> FieldSpec {
    FieldSpec {
        name,
        unit: "",
        kind: Kind::Names,
        help,
    }
}

/// Every field, in the order in which help lists them.
#[rustfmt::skip]
pub const FIELDS: &[FieldSpec] = &[
    whole("slots", "calls", (1, 4096), 12, "calls a target serves at once"),
    whole("connection_limit", "connections", (1, 65_536), 200, "connections a target takes"),
    whole("hold_limit", "calls", (0, 65_536), 48, "calls held for a slot before one is refused"),
    whole("deadline_ms", "ms", (1, DAY_MS), 2_000, "deadline of a call that names none"),
    whole("deadline_max_ms", "ms", (1, DAY_MS), 30_000, "longest deadline a caller may name"),
    whole("caller_limit_ms", "ms", (100, 600_000), 15_000, "time for the head of a request, for its body, and between two on a connection"),
    whole("body_limit_bytes", "bytes", (0, 64 << 20), 1 << 20, "largest request or answer body"),
    whole("body_memory_bytes", "bytes", (64 << 10, 64 << 30), 64 << 20, "memory for bodies of callers' calls in hand, before new ones are refused"),
    whole("body_whole_bytes", "bytes", (1_024, 1 << 20), 16 << 10, "bodies of routes with large bodies up to this size are passed on whole, larger ones in pieces"),
    whole("body_window_bytes", "bytes", (4_096, 16 << 20), 1 << 20, "bodies in pieces up to this size are read before a target is chosen, larger ones as it takes them, so many bytes at once"),
    whole("pipeline_limit", "calls", (1, 1_024), 8, "calls of one connection in hand at once"),
    whole("pipeline_bytes", "bytes", (4_096, 64 << 20), 1 << 20, "bytes of answers of one connection held for their turn, before it is read no further"),
    whole("attempt_limit", "attempts", (1, 8), 3, "targets one call may be offered to"),
    whole("retry_percent", "%", (0, 100), 10, "further attempts, as a share of first attempts"),
    whole("retry_window_ms", "ms", (0, 600_000), 0, "time in which further attempts of all daemons together are bounded; 0 for a bucket of tokens at each daemon"),
    whole("retry_reserve", "attempts", (0, 1_000_000), 0, "further attempts beyond the share in that time, of all daemons together"),
    whole("reroute_limit", "targets", (0, 16), 0, "targets a call may be offered to once more after a daemon refused it, beyond the attempts"),
    choice("policy", &["expected-finish", "goal-chance", "power-of-two", "least-in-flight", "round-robin", "random"], "how a target is chosen"),
    whole("far_price_percent", "%", (0, 100), 0, "price of sending a call to another place, as a share of what the call is worth"),
    whole("region_price_percent", "%", (0, 100), 0, "price of sending a call to another region, as a share of what the call is worth"),
    whole("region_send_bytes_per_s", "bytes/s", (0, 100_000_000_000), 0, "bytes one daemon sends to other regions before its calls stay in its own, the least urgent first; 0 for no bound"),
    whole("ask_price_permille", "1/1000", (0, 1_000), 10, "price of asking the target for its load, as a share of what a call is worth"),
    whole("cold_calls_per_s", "calls/s", (0, 1_000_000), 0, "calls a cold target is given in any second at most, of all daemons together; 0 for no bound"),
    whole("cold_ms", "ms", (0, 600_000), 0, "time for which a target is cold after its start; 0 where that is not known"),
    whole("subset_size", "targets", (1, 1024), 16, "targets of a service one daemon keeps links to"),
    whole("eject_failures", "failures", (1, 1000), 5, "failures in a row that eject a target"),
    whole("eject_ms", "ms", (1, 600_000), 1_000, "time a target stays ejected before one trial call"),
    whole("crash_limit", "targets", (0, 8), 3, "targets that may end in a row under one request before it is refused everywhere; 0 for any number"),
    whole("quarantine_ms", "ms", (1_000, DAY_MS), 600_000, "time for which such a request is refused; each further end doubles it"),
    whole("ramp_ms", "ms", (0, 600_000), 2_000, "time over which a cold target takes its full share"),
    whole("canary_percent", "%", (0, 100), 10, "calls of a service that targets of a new version may get while a rollout runs, as a share"),
    whole("canary_slack", "calls", (0, 1_000_000), 50, "calls that they may get beyond that, of all daemons together; kept as a reserve, no daemon spends it"),
    whole("rollback_ms", "ms", (100, 600_000), 5_000, "time after its 50th bad answer from which a new version may get no more calls; a promise to operators that daemons keep by reverting sooner"),
    choice("caller_keys", &["none", "required"], "whether calls must carry a key of an organisation, but for those of public routes"),
    whole("key_doubt_ms", "ms", (0, DAY_MS), 0, "time without word of the accepted settings after which calls with a key are refused; 0 for never"),
    choice("once", &["allowed", "required"], "whether a call with side effects must carry a ticket or a key"),
    whole("once_retention_ms", "ms", (1_000, 7 * DAY_MS), 600_000, "time for which a once-only operation is remembered"),
    whole("once_memory_entries", "operations", (16, 10_000_000), 100_000, "once-only operations remembered before new ones are refused"),
    whole("once_memory_bytes", "bytes", (4_096, 8 << 30), 64 << 20, "stored answers kept before new operations are refused"),
    whole("settle_ms", "ms", (0, 60_000), 500, "time to settle an attempt whose link was lost"),
    whole("clock_skew_ms", "ms", (0, 60_000), 500, "largest difference assumed between two hosts' clocks"),
    whole("list_lag_ms", "ms", (0, 600_000), 10_000, "longest time by which the host list is assumed to lag"),
    whole("measure_messages_per_s", "messages/s", (10, 100_000), 200, "budget of measuring: messages"),
    whole("measure_bytes_per_s", "bytes/s", (2_500, 100_000_000), 11_000, "budget of measuring: bytes"),
    whole("measure_cpu_us_per_s", "us/s", (1_000, 1_000_000), 13_000, "budget of measuring: processor time"),
    whole("poll_ms", "ms", (50, 60_000), 1_000, "interval between reads of the accepted generation"),
    whole("host_list_ms", "ms", (50, 60_000), 1_000, "interval between reads of the host list"),
    whole("health_ms", "ms", (50, 60_000), 500, "interval between reads of the target's health endpoint"),
    name("region", "region in which a place stands; empty where the deployment has only one"),
    names("home_regions", "the only regions in which calls may be served; none for any"),
    path("load_path", "path at which the target tells its load at once; empty where there is none"),
    whole("load_poll_ms", "ms", (0, 60_000), 0, "silence of a target's answers after which it is asked for its load while calls come; 0 for never"),
    whole("load_asks_per_s", "questions/s", (0, 10_000), 40, "questions to the target for its load in any second, at most"),
    whole("heartbeat_ms", "ms", (50, 60_000), 1_000, "interval between heartbeats on a link"),
    whole("link_silence_ms", "ms", (100, 600_000), 3_000, "silence after which a link counts as lost"),
    whole("stop_linger_ms", "ms", (0, 60_000), 1_000, "time a stopping daemon still answers callers' open connections"),
    whole("stop_limit_ms", "ms", (1, 600_000), 30_000, "longest time a planned stop may take"),
];

/// Looks a field up by name.
pub fn field(name: &str) -> Option<&'static FieldSpec> {
    FIELDS.iter().find(|spec| spec.name == name)
}

impl FieldSpec {
    /// Checks one value against the field's kind and range.
    pub fn check(&self, value: &Value) -> Result<(), Fault> {
        match self.kind {
            Kind::Whole { min, max, .. } => self.check_whole(value, min, max),
            Kind::Choice(words) => check_choice(value, words),
            Kind::Path => check_path(value),
            Kind::Name => check_name(value),
            Kind::Names => check_names(value),
        }
    }

    /// The value in force where no level sets the field.
    pub fn default_value(&self) -> Value {
        match self.kind {
            Kind::Whole { default, .. } => Value::from(default),
            Kind::Choice(words) => Value::from(words[0]),
            Kind::Path | Kind::Name => Value::from(""),
            Kind::Names => Value::Array(Vec::new()),
        }
    }

    /// The one form in which a checked value is kept, so that equal lists are equal values.
    pub(crate) fn normal(&self, value: Value) -> Value {
        match (self.kind, value) {
            (Kind::Names, Value::Array(mut names)) => {
                names.sort_by(|a, b| a.as_str().cmp(&b.as_str()));
                names.dedup();
                Value::Array(names)
            }
            (_, value) => value,
        }
    }

    fn check_whole(&self, value: &Value, min: u64, max: u64) -> Result<(), Fault> {
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
        allowed: "a path that starts with /, or nothing".to_owned(),
    })
}

fn check_name(value: &Value) -> Result<(), Fault> {
    match value.as_str() {
        Some("") => Ok(()),
        Some(found) if names_region(found) => Ok(()),
        Some(_) => Err(Fault::BadRegion),
        None => Err(wrong_type("a name", value)),
    }
}

fn check_names(value: &Value) -> Result<(), Fault> {
    let Some(found) = value.as_array() else {
        return Err(wrong_type("a list of names", value));
    };
    for one in found {
        match one.as_str() {
            Some(name) if names_region(name) => {}
            Some(_) => return Err(Fault::BadRegion),
            None => return Err(wrong_type("a name", one)),
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

/// A type fault that names what was found.
pub(crate) fn wrong_type(expected: impl Into<String>, value: &Value) -> Fault {
    let found = match value {
        Value::Null => "null",
        Value::Bool(_) => "a boolean",
        Value::Number(_) => "a number that is not whole, negative or too large",
        Value::String(_) => "a string",
        Value::Array(_) => "an array",
        Value::Object(_) => "an object",
    };
    Fault::WrongType {
        expected: expected.into(),
        found,
    }
}
