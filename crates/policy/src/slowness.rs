//! Readings of target slowness, and predictions from them.
//!
//! Slowness is a factor on service times: 1 for a target at its usual speed. A reading is
//! exact when it is taken, and its weight decays with age in favour of the distribution
//! across the targets of the service. The distribution is kept as individual readings
//! instead of a mean, since a target is either crowded by its neighbours or not.

use std::collections::VecDeque;

use crate::ids::Micros;

/// Age at which a reading has lost half of its weight, in microseconds.
pub const READING_HALF_LIFE_US: f64 = 200_000.0;
/// Number of readings kept as the distribution across the service.
const MAX_READINGS: usize = 24;
/// Least time between two kept readings of other targets, so that they are not all from
/// the same moment.
const PEER_SPACING_US: Micros = 40_000;
/// Least time between two kept readings of the daemon's own target. It is long, so that a
/// target that stays slow for some seconds does not fill the distribution.
const OWN_SPACING_US: Micros = 1_000_000;

/// One reading of a target's slowness.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlownessReading {
    /// Factor on service times.
    pub factor: f64,
    /// Time at which the reading was taken.
    pub at: Micros,
}

/// Recent slowness readings across the targets of a service.
#[derive(Clone, Debug, Default)]
pub struct SlownessDistribution {
    readings: VecDeque<f64>,
    peer_kept_at: Micros,
    own_kept_at: Micros,
}

/// A slowness factor and its probability.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WeightedSlowness {
    /// Factor on service times.
    pub factor: f64,
    /// Probability of this factor.
    pub probability: f64,
}

impl SlownessDistribution {
    /// Records a reading of any target of the service.
    pub fn record(&mut self, reading: SlownessReading) {
        if self.should_keep(reading.at, self.peer_kept_at, PEER_SPACING_US) {
            self.peer_kept_at = reading.at;
            self.push(reading.factor);
        }
    }

    /// Records a reading of the daemon's own target.
    pub fn record_own(&mut self, reading: SlownessReading) {
        if self.should_keep(reading.at, self.own_kept_at, OWN_SPACING_US) {
            self.own_kept_at = reading.at;
            self.push(reading.factor);
        }
    }

    /// Least factor of the readings, which stands for a target at its usual speed.
    pub fn min_factor(&self) -> Option<f64> {
        self.readings.iter().copied().min_by(f64::total_cmp)
    }

    fn should_keep(&self, at: Micros, last_kept_at: Micros, spacing_us: Micros) -> bool {
        at >= last_kept_at + spacing_us || self.readings.len() < MAX_READINGS
    }

    fn push(&mut self, factor: f64) {
        if self.readings.len() == MAX_READINGS {
            self.readings.pop_front();
        }
        self.readings.push_back(factor);
    }

    /// Predicts the present slowness of a target from its last reading, if any.
    pub fn predict(
        &self,
        now: Micros,
        last: Option<SlownessReading>,
    ) -> impl Iterator<Item = WeightedSlowness> + '_ {
        let weight = last.map_or(0.0, |reading| {
            let age_us = now.saturating_sub(reading.at) as f64;
            (-age_us / READING_HALF_LIFE_US).exp2()
        });
        let from_last = WeightedSlowness {
            factor: last.map_or(1.0, |reading| reading.factor),
            probability: match self.readings.is_empty() {
                true => 1.0,
                false => weight,
            },
        };
        let each = (1.0 - weight) / self.readings.len().max(1) as f64;
        let from_service = self.readings.iter().map(move |factor| WeightedSlowness {
            factor: *factor,
            probability: each,
        });
        std::iter::once(from_last).chain(from_service)
    }
}
