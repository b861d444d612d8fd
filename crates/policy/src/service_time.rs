//! Service time of each call kind at usual target speed, learned from answers.
//!
//! Each sample is divided by the slowness of the target at that time, so that interference
//! from other load on the machine does not inflate the estimate of the call kind.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

/// Identifies calls with similar service times, such as the calls of one route.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct CallKind(pub u32);

/// Weight of one sample in the moving averages.
const SAMPLE_WEIGHT: f64 = 0.05;
/// Number of initial samples that get a larger weight, until the mean has settled.
const WARMUP_SAMPLES: u32 = 20;
/// Initial deviation as a fraction of the mean, until enough samples are known.
const INITIAL_DEVIATION_FRACTION: f64 = 0.4;
/// Fraction of the time until its goal that a call is assumed to take before any call has
/// ended: operators set goals that most calls meet even if they are queued or the target is
/// slow.
const ASSUMED_GOAL_FRACTION: f64 = 1.0 / 3.0;
/// Maximum number of kinds tracked separately. Further kinds share the estimate over all
/// calls.
const MAX_KINDS: usize = 256;

/// Mean and deviation of the service time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServiceTimeEstimate {
    /// Mean in microseconds.
    pub mean_us: f64,
    /// Mean absolute deviation in microseconds.
    pub deviation_us: f64,
    samples: u32,
}

impl ServiceTimeEstimate {
    fn from_sample(sample_us: f64) -> Self {
        ServiceTimeEstimate {
            mean_us: sample_us,
            deviation_us: sample_us * INITIAL_DEVIATION_FRACTION,
            samples: 1,
        }
    }

    /// Estimate assumed for a call with this much time until its goal, in microseconds.
    fn assumed(goal_us: f64) -> Self {
        ServiceTimeEstimate {
            samples: 0,
            ..ServiceTimeEstimate::from_sample(goal_us * ASSUMED_GOAL_FRACTION)
        }
    }

    /// Returns the number of samples; 0 for an assumed estimate.
    pub fn samples(&self) -> u32 {
        self.samples
    }

    fn record(&mut self, sample_us: f64) {
        self.samples = self.samples.saturating_add(1);
        let weight = match self.samples {
            samples if samples < WARMUP_SAMPLES => 1.0 / f64::from(samples),
            _ => SAMPLE_WEIGHT,
        };
        let error = (sample_us - self.mean_us).abs();
        self.mean_us += weight * (sample_us - self.mean_us);
        let weight = weight.min(1.0 / f64::from(WARMUP_SAMPLES));
        self.deviation_us += weight * (error - self.deviation_us);
    }
}

/// Service-time estimates of all call kinds.
#[derive(Clone, Debug, Default)]
pub struct ServiceTimes {
    kinds: HashMap<CallKind, ServiceTimeEstimate>,
    overall: Option<ServiceTimeEstimate>,
}

impl ServiceTimes {
    /// Records the service time of one call, in microseconds at usual speed.
    pub fn record(&mut self, kind: CallKind, sample_us: f64) {
        match &mut self.overall {
            Some(overall) => overall.record(sample_us),
            None => self.overall = Some(ServiceTimeEstimate::from_sample(sample_us)),
        }
        let has_room = self.kinds.len() < MAX_KINDS;
        match self.kinds.get_mut(&kind) {
            Some(estimate) => estimate.record(sample_us),
            None if has_room => {
                self.kinds
                    .insert(kind, ServiceTimeEstimate::from_sample(sample_us));
            }
            None => {}
        }
    }

    /// Returns the estimate for this kind, or `None` if the kind has no samples.
    pub fn kind_estimate(&self, kind: CallKind) -> Option<ServiceTimeEstimate> {
        self.kinds.get(&kind).copied()
    }

    /// Returns the estimate for this kind, or the one over all kinds if this kind has no
    /// samples.
    pub fn estimate(&self, kind: CallKind) -> Option<ServiceTimeEstimate> {
        self.kinds.get(&kind).copied().or(self.overall)
    }

    /// Like [`ServiceTimes::estimate`], but before any call has ended returns an estimate
    /// assumed from the time until the goal, in microseconds.
    pub fn estimate_or_assumed(&self, kind: CallKind, goal_us: f64) -> ServiceTimeEstimate {
        self.estimate(kind)
            .unwrap_or_else(|| ServiceTimeEstimate::assumed(goal_us))
    }
}
