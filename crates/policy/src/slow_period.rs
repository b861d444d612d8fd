//! Two-state model of a target that alternates between its usual speed and slow periods.
//!
//! A target that shares its machine with busy neighbours is slow for a while and then runs
//! at its usual speed again. The lengths of both states are taken as exponentially
//! distributed. The mean of each is estimated from the target's own readings: the time
//! observed in the state divided by the number of times that the state ended. A slow period
//! that has not ended adds time without an end, so a target that stays slow is soon given a
//! long mean.

use crate::slowness::{READING_HALF_LIFE_US, SlownessReading};

/// Ratio to its usual speed from which a target counts as slow: calls take half as long
/// again.
pub const SLOW_RATIO: f64 = 1.5;
/// Half-life with which the baseline rises to slower readings, in microseconds: several
/// times the initial mean of a slow period. A target that has just started is slow for
/// seconds; that becomes its baseline, since there is no slow period to wait out.
const BASELINE_HALF_LIFE_US: f64 = 2_000_000.0;
/// Mean length of either state before any end was observed, in microseconds: the half-life
/// of a reading.
const INITIAL_MEAN_US: f64 = READING_HALF_LIFE_US;
/// Observed time in a state after which earlier observations of it have half their weight,
/// in microseconds: a few times the initial mean.
const OBSERVATION_HALF_LIFE_US: f64 = 1_000_000.0;
/// Longest gap between two readings in the same state for which the state is assumed to
/// have lasted, in microseconds. Over a longer gap the target may have changed state and
/// back.
const MAX_GAP_US: f64 = 200_000.0;
/// Assumed ratio of slow to usual service times before a slow reading was taken.
const INITIAL_SLOW_RATIO: f64 = 3.0;
/// Weight of one slow reading in the mean ratio.
const RATIO_WEIGHT: f64 = 0.05;

/// Observed time in one state, and how often the state ended.
#[derive(Clone, Copy, Debug, Default)]
struct StateDuration {
    observed_us: f64,
    ends: f64,
}

impl StateDuration {
    /// Records the gap between two readings, the first of which was in this state. A state
    /// that ended in the gap is counted as lasting for half of the gap, or for its mean
    /// length if that is shorter. Ends seen only after a long gap count as well: leaving
    /// them out would overestimate the mean.
    fn record(&mut self, gap_us: f64, ended: bool) {
        let (observed_us, ends) = match ended {
            true => ((gap_us / 2.0).min(self.mean_us()), 1.0),
            false if gap_us > MAX_GAP_US => return,
            false => (gap_us, 0.0),
        };
        let decay = (-observed_us / OBSERVATION_HALF_LIFE_US).exp2();
        self.observed_us = self.observed_us * decay + observed_us;
        self.ends = self.ends * decay + ends;
    }

    fn mean_us(&self) -> f64 {
        (INITIAL_MEAN_US + self.observed_us) / (1.0 + self.ends)
    }
}

/// Learned model of one target's slow periods.
#[derive(Clone, Debug)]
pub struct SlowPeriodModel {
    slow: StateDuration,
    usual: StateDuration,
    slow_ratio: f64,
    /// Slowness factor at the target's usual speed.
    baseline: f64,
    last: Option<SlownessReading>,
}

impl Default for SlowPeriodModel {
    fn default() -> Self {
        SlowPeriodModel {
            slow: StateDuration::default(),
            usual: StateDuration::default(),
            slow_ratio: INITIAL_SLOW_RATIO,
            baseline: 1.0,
            last: None,
        }
    }
}

impl SlowPeriodModel {
    /// Records a reading of the target.
    pub fn record(&mut self, reading: SlownessReading) {
        let Some(last) = self.last.replace(reading) else {
            self.baseline = reading.factor;
            return;
        };
        let gap_us = reading.at.saturating_sub(last.at) as f64;
        let was_slow = self.is_slow(last);
        self.update_baseline(reading.factor, gap_us);
        let is_slow = self.is_slow(reading);
        if is_slow {
            let ratio = reading.factor / self.baseline;
            self.slow_ratio += RATIO_WEIGHT * (ratio - self.slow_ratio);
        }
        let duration = match was_slow {
            true => &mut self.slow,
            false => &mut self.usual,
        };
        duration.record(gap_us, was_slow != is_slow);
    }

    /// The baseline falls to a faster reading at once, since a target is never faster than
    /// its usual speed, and rises to slower ones gradually.
    fn update_baseline(&mut self, factor: f64, gap_us: f64) {
        if factor <= self.baseline {
            self.baseline = factor;
            return;
        }
        let decay = (-gap_us.min(MAX_GAP_US) / BASELINE_HALF_LIFE_US).exp2();
        self.baseline = factor + (self.baseline - factor) * decay;
    }

    /// Whether the reading was taken in a slow period.
    pub fn is_slow(&self, reading: SlownessReading) -> bool {
        reading.factor >= self.baseline * SLOW_RATIO
    }

    /// Slowness factor of the target at its usual speed.
    pub fn baseline(&self) -> f64 {
        self.baseline
    }

    /// Mean remaining length of a slow period, in microseconds. It does not depend on how
    /// long the period has lasted already.
    pub fn mean_slow_us(&self) -> f64 {
        self.slow.mean_us()
    }

    /// Mean slowness factor of the target during slow periods.
    pub fn mean_slow_factor(&self) -> f64 {
        self.baseline * self.slow_ratio
    }

    /// Probability that a target that ran at its usual speed `age_us` ago is slow now.
    pub fn probability_turned_slow(&self, age_us: f64) -> f64 {
        let (share, decay) = self.slow_share_and_decay(age_us);
        share * (1.0 - decay)
    }

    /// Probability that a target that was slow `age_us` ago is slow now.
    pub fn probability_still_slow(&self, age_us: f64) -> f64 {
        let (share, decay) = self.slow_share_and_decay(age_us);
        share + (1.0 - share) * decay
    }

    /// The long-run share of time in slow periods, and how much of a reading's deviation
    /// from it is left after `age_us`.
    fn slow_share_and_decay(&self, age_us: f64) -> (f64, f64) {
        let to_slow = 1.0 / self.usual.mean_us();
        let to_usual = 1.0 / self.slow.mean_us();
        let total_rate = to_slow + to_usual;
        (to_slow / total_rate, (-total_rate * age_us).exp())
    }
}
