//! Effective settings of a service in a place, and the level that sets each value.

use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

use crate::error::{Fault, SettingsError};
use crate::field::FIELDS;
use crate::tree::Tree;

/// Whether a call with side effects must carry a ticket or an idempotency key.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Once {
    /// A call with neither ticket nor key is delivered at most once, and its response is not
    /// stored.
    Allowed,
    /// A call with side effects and neither ticket nor key is rejected.
    Required,
}

/// Whether a call must carry an API key of an organisation.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum CallerKeys {
    /// Keys are ignored.
    None,
    /// Calls without a valid key are rejected, except calls without any key on public routes.
    Required,
}

/// The level that sets a value.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Origin {
    /// No level sets the field, so its default applies.
    Default,
    /// Path of the level.
    Level(String),
}

/// The effective value of a field, and its origin.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ResolvedField {
    /// Field name.
    pub name: &'static str,
    /// Effective value.
    pub value: Value,
    /// Level that sets the value.
    pub origin: Origin,
}

/// Effective settings of a service in a place. Field names end in their unit;
/// [`crate::FIELDS`] describes each field.
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
    pub answer_memory_bytes: usize,
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
    /// Resolves every field for `service` in `place`: the most specific level that sets a field
    /// wins, and its default applies where none does.
    pub fn resolve(&self, place: &str, service: &str) -> Vec<ResolvedField> {
        let levels = Tree::level_paths(place, service);
        let mut fields = Vec::with_capacity(FIELDS.len());
        for spec in FIELDS {
            let set_value = levels.iter().rev().find_map(|level| {
                let value = self.get(&format!("{level}.{}", spec.name))?;
                Some((value.clone(), Origin::Level(level.clone())))
            });
            let (value, origin) = set_value.unwrap_or((spec.default_value(), Origin::Default));
            fields.push(ResolvedField {
                name: spec.name,
                value,
                origin,
            });
        }
        fields
    }
}

impl Effective {
    /// Resolves the settings of `service` in `place`.
    pub fn of(tree: &Tree, place: &str, service: &str) -> Effective {
        let fields = tree.resolve(place, service);
        let map: Map<String, Value> = fields
            .into_iter()
            .map(|field| (field.name.to_owned(), field.value))
            .collect();
        serde_json::from_value(Value::Object(map)).expect("every field is checked when it is set")
    }

    /// Checks constraints between fields.
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
            return fault("deadline_ms", "exceeds the effective deadline_max_ms");
        }
        if self.slots > self.connection_limit {
            return fault("slots", "exceeds the effective connection_limit");
        }
        if self.body_limit_bytes > self.body_memory_bytes {
            return fault(
                "body_limit_bytes",
                "exceeds the effective body_memory_bytes",
            );
        }
        if self.body_limit_bytes > self.answer_memory_bytes {
            return fault(
                "body_limit_bytes",
                "exceeds the effective answer_memory_bytes",
            );
        }
        if self.link_silence_ms <= self.heartbeat_ms {
            return fault(
                "link_silence_ms",
                "must be greater than the effective heartbeat_ms",
            );
        }
        if self.stop_linger_ms > self.stop_limit_ms {
            return fault("stop_linger_ms", "exceeds the effective stop_limit_ms");
        }
        Ok(())
    }
}
