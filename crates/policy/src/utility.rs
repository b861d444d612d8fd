//! Expected utility of running a call at one target: 1 for a response that is certain to
//! meet the call's goal, and a small part of that for one that only meets its deadline.

use crate::ids::Micros;
use crate::service_time::ServiceTimeEstimate;
use crate::slowness::WeightedSlowness;

/// Utility of a response that misses the goal but meets the deadline.
const LATE_UTILITY: f64 = 0.1;
/// Mean absolute deviation of a queueing time, as a fraction of it.
const WAIT_DEVIATION: f64 = 0.3;
/// Scale of a logistic distribution whose mean absolute deviation is 1.
const LOGISTIC_SCALE: f64 = 0.72;
/// Lower bound of the assumed deviation, in microseconds.
const MIN_DEVIATION_US: f64 = 1_000.0;

/// Time left to a call, and its expected work.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallTiming {
    /// Time left until the goal, in microseconds.
    pub goal_remaining_us: f64,
    /// Time left until the deadline, in microseconds.
    pub deadline_remaining_us: f64,
    /// Service time of calls of this kind.
    pub work: ServiceTimeEstimate,
}

impl CallTiming {
    /// Returns the timing of the same call `elapsed_us` later.
    pub fn after(&self, elapsed_us: f64) -> CallTiming {
        CallTiming {
            goal_remaining_us: self.goal_remaining_us - elapsed_us,
            deadline_remaining_us: self.deadline_remaining_us - elapsed_us,
            work: self.work,
        }
    }
}

/// Delays that a call meets at a target, besides its service time.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TargetEstimate {
    /// Network round trip, in microseconds.
    pub path_us: f64,
    /// Time until a slot is free at a target of usual speed, in microseconds.
    pub wait_us: f64,
    /// Time until the target accepts calls again, in microseconds.
    pub unavailable_us: f64,
}

/// Returns the expected utility of a call at a target, between 0 and 1, over the given
/// distribution of the target's slowness.
pub fn expected_utility(
    timing: &CallTiming,
    estimate: &TargetEstimate,
    slowness: impl Iterator<Item = WeightedSlowness>,
) -> f64 {
    let mut utility = 0.0;
    for slowness in slowness {
        let wait_us = estimate.wait_us * slowness.factor;
        let service_us = timing.work.mean_us * slowness.factor;
        let finish_us = estimate.path_us + estimate.unavailable_us.max(wait_us) + service_us;
        let deviation_us = timing.work.deviation_us * slowness.factor + wait_us * WAIT_DEVIATION;
        let in_time =
            |remaining_us: f64| probability_within(remaining_us - finish_us, deviation_us);
        let late = in_time(timing.deadline_remaining_us) * LATE_UTILITY;
        utility += slowness.probability
            * (in_time(timing.goal_remaining_us) * (1.0 - LATE_UTILITY) + late);
    }
    utility
}

/// Probability that a time exceeds its mean by no more than `margin_us`.
fn probability_within(margin_us: f64, deviation_us: f64) -> f64 {
    let scale = LOGISTIC_SCALE * deviation_us.max(MIN_DEVIATION_US);
    1.0 / (1.0 + (-margin_us / scale).exp())
}

/// Returns the time from `now` to `until`, in microseconds; negative once it has passed.
pub fn remaining_us(now: Micros, until: Micros) -> f64 {
    until as f64 - now as f64
}
