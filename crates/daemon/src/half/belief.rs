//! What a half believes of its target by the target's own words, and how old each word is.

use lynxcleat_policy::Micros;
use serde::{Deserialize, Serialize};

use super::state::Half;
use crate::sync::lock;

/// Microseconds in a millisecond.
const US_PER_MS: Micros = 1_000;

/// What a daemon believes of its target. Ages and times are in milliseconds.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct TargetBelief {
    /// The incarnation in place, where it has a name.
    pub instance: Option<String>,
    /// How long work takes, in percent of what is usual; 0 where the target never told.
    pub slowness_percent: u32,
    /// Age of that.
    pub slowness_age_ms: u32,
    /// How much longer it is cold; absent where its last word no longer holds.
    pub cold_left_ms: Option<u64>,
    /// Time since it stated the rate limit in force first.
    pub limit_age_ms: Option<u64>,
    /// Time since it said first that it leaves.
    pub leaving_age_ms: Option<u64>,
}

impl Half {
    /// What is believed of the target.
    pub fn belief(&self) -> TargetBelief {
        let now = self.clock.now();
        let age_ms = |at: Micros| now.saturating_sub(at) / US_PER_MS;
        let in_place = self.with_reports(|reports| Some(reports.current()?.instance.clone()));
        let (figures, cold_left) = {
            let admit = lock(&self.admit);
            (admit.figures(now), admit.cold_left(now))
        };
        let (limit_at, leaving_at) = self.stated_at();
        TargetBelief {
            instance: in_place.flatten(),
            slowness_percent: figures.slowness_percent,
            slowness_age_ms: figures.slowness_age_ms,
            cold_left_ms: cold_left.map(|left| left / US_PER_MS),
            limit_age_ms: limit_at.map(age_ms),
            leaving_age_ms: leaving_at.map(age_ms),
        }
    }
}
