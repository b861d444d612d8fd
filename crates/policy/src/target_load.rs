//! Load of a target, as its own daemon reports it. Reports are piggybacked on responses, so
//! they are as recent as the last response.

use serde::{Deserialize, Serialize};

use crate::ids::Micros;
use crate::slowness::SlownessReading;
use crate::target_notice::TargetNotice;

/// A target's load at one moment, counted by its own daemon.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct TargetLoad {
    /// Calls being served.
    #[serde(rename = "i")]
    pub in_flight: u32,
    /// Calls queued for a slot.
    #[serde(rename = "h")]
    pub held: u32,
    /// Calls that the target serves concurrently.
    #[serde(rename = "s")]
    pub slots: u32,
    /// Recent service time in microseconds; 0 if unknown.
    #[serde(rename = "u")]
    pub service_us: u32,
    /// Present service time in percent of the target's usual one; 0 if unknown.
    #[serde(rename = "x", default, skip_serializing_if = "is_zero")]
    pub slowness_percent: u32,
    /// Age of `slowness_percent` in milliseconds.
    #[serde(rename = "y", default, skip_serializing_if = "is_zero")]
    pub slowness_age_ms: u32,
    /// What the target states in its answers, if it or an earlier one ever stated anything.
    #[serde(rename = "n", default, skip_serializing_if = "Option::is_none")]
    pub notice: Option<TargetNotice>,
}

fn is_zero(value: &u32) -> bool {
    *value == 0
}

impl TargetLoad {
    /// Returns the slowness reading, if the report has one.
    pub fn slowness(&self, now: Micros) -> Option<SlownessReading> {
        (self.slowness_percent > 0).then(|| SlownessReading {
            factor: f64::from(self.slowness_percent) / 100.0,
            at: now.saturating_sub(Micros::from(self.slowness_age_ms) * 1_000),
        })
    }

    /// Calls at the target, served and queued.
    pub fn total_calls(&self) -> u32 {
        self.in_flight + self.held
    }
}
