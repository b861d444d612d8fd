//! The values in force for one service at one place, with their origins.

use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

use crate::error::{Fault, SettingsError};
use crate::field::FIELDS;
use crate::tree::Tree;

/// Whether a call with side effects must name its operation.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Once {
    /// A call without ticket and key is delivered at most once, and not stored.
    Allowed,
    /// A call with side effects and neither ticket nor key is refused.
    Required,
}

/// Whether a call must carry a key of an organisation.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum CallerKeys {
    /// Keys are ignored.
    None,
    /// Calls without a valid key are refused, except those without a key on public routes.
    Required,
}

/// The level from which a value comes.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Origin {
    /// No level sets the field.
    Default,
    /// The path of the level that sets it.
    Level(String),
}

/// One field with its value and origin.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Resolved {
    /// Name of the field.
    pub name: &'static str,
    /// Value in force.
    pub value: Value,
    /// Level the value comes from.
    pub origin: Origin,
}

/// All values in force for one service at one place. Units stand in the names;
/// [`crate::FIELDS`] describes each.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[allow(missing_docs)]
pub struct Effective {
    pub slots: u32,
    pub connection_limit: u32,
    pub hold_limit: u32,
    pub deadline_ms: u64,
    pub deadline_max_ms: u64,
    pub caller_limit_ms: u64,
    pub body_limit_bytes: usize,
    pub body_memory_bytes: usize,
    pub body_whole_bytes: usize,
    pub body_window_bytes: usize,
    pub pipeline_limit: usize,
    pub pipeline_bytes: usize,
    pub attempt_limit: u32,
    pub retry_percent: u32,
    pub retry_window_ms: u64,
    pub retry_reserve: u32,
    pub reroute_limit: u32,
    pub policy: String,
    pub far_price_percent: u32,
    pub region_price_percent: u32,
    pub region_send_bytes_per_s: u64,
    pub ask_price_permille: u32,
    pub cold_calls_per_s: u32,
    pub cold_ms: u64,
    pub subset_size: usize,
    pub eject_failures: u32,
    pub eject_ms: u64,
    pub crash_limit: u32,
    pub quarantine_ms: u64,
    pub ramp_ms: u64,
    pub canary_percent: u32,
    pub canary_slack: u32,
    pub rollback_ms: u64,
    pub caller_keys: CallerKeys,
    pub key_doubt_ms: u64,
    pub once: Once,
    pub once_retention_ms: u64,
    pub once_memory_entries: usize,
    pub once_memory_bytes: usize,
    pub settle_ms: u64,
    pub clock_skew_ms: u64,
    pub list_lag_ms: u64,
    pub measure_messages_per_s: u64,
    pub measure_bytes_per_s: u64,
    pub measure_cpu_us_per_s: u64,
    pub poll_ms: u64,
    pub host_list_ms: u64,
    pub health_ms: u64,
    pub region: String,
    pub home_regions: Vec<String>,
    pub load_path: String,
    pub load_poll_ms: u64,
    pub load_asks_per_s: u64,
    pub heartbeat_ms: u64,
    pub link_silence_ms: u64,
    pub stop_linger_ms: u64,
    pub stop_limit_ms: u64,
}

impl Tree {
    /// Every field in force for `service` at `place`, with its origin.
    pub fn resolve(&self, place: &str, service: &str) -> Vec<Resolved> {
        let levels = Tree::levels(place, service);
        let mut fields = Vec::with_capacity(FIELDS.len());
        for spec in FIELDS {
            let set = levels.iter().rev().find_map(|level| {
                let value = self.get(&format!("{level}.{}", spec.name))?;
                Some((value.clone(), Origin::Level(level.clone())))
            });
            let (value, origin) = set.unwrap_or((spec.default_value(), Origin::Default));
            fields.push(Resolved {
                name: spec.name,
                value,
                origin,
            });
        }
        fields
    }
}

impl Effective {
    /// The values in force for `service` at `place`.
    pub fn of(tree: &Tree, place: &str, service: &str) -> Effective {
        let fields = tree.resolve(place, service);
        let map: Map<String, Value> = fields
            .into_iter()
            .map(|field| (field.name.to_owned(), field.value))
            .collect();
        serde_json::from_value(Value::Object(map)).expect("every field was checked when put")
    }

    /// Checks fields that depend on each other.
    pub(crate) fn check(&self, place: &str, service: &str) -> Result<(), SettingsError> {
        let path = match (place, service) {
            ("", _) => "root".to_owned(),
            (place, "") => format!("places.{place}"),
            (place, service) => format!("places.{place}.services.{service}"),
        };
        let fault = |name: &str, text| {
            Err(SettingsError::at(
                format!("{path}.{name}"),
                Fault::Inconsistent(text),
            ))
        };
        if self.deadline_ms > self.deadline_max_ms {
            return fault("deadline_ms", "is above deadline_max_ms in force here");
        }
        if self.slots > self.connection_limit {
            return fault("slots", "is above connection_limit in force here");
        }
        if self.body_limit_bytes > self.body_memory_bytes {
            return fault(
                "body_limit_bytes",
                "is above body_memory_bytes in force here",
            );
        }
        if self.link_silence_ms <= self.heartbeat_ms {
            return fault(
                "link_silence_ms",
                "must be above heartbeat_ms in force here",
            );
        }
        if self.stop_linger_ms > self.stop_limit_ms {
            return fault("stop_linger_ms", "is above stop_limit_ms in force here");
        }
        Ok(())
    }
}
