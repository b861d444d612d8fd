//! How much a call is worth at one target: the chance that its answer is back within
//! its goal, and a little for one that is back before its deadline.

use crate::ids::Micros;
use crate::service_time::ServiceTimeEstimate;
use crate::slowness::LikelySlowness;

/// What an answer after the goal is worth, as a part of one within it.
const LATE_WORTH: f64 = 0.1;
/// Deviation of a wait, as a part of it.
const WAIT_DEVIATION: f64 = 0.3;
/// Scale of a logistic distribution for a mean absolute deviation of 1.
const LOGISTIC_SCALE: f64 = 0.72;
/// Least deviation that is assumed, in microseconds.
const LEAST_DEVIATION_US: f64 = 1_000.0;

/// What is known of a call when its target is chosen.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Need {
    /// Time left until its goal, in microseconds.
    pub goal_left_us: f64,
    /// Time left until its deadline, in microseconds.
    pub deadline_left_us: f64,
    /// What calls of its kind take.
    pub work: ServiceTimeEstimate,
}

impl Need {
    /// The same call when some microseconds have passed.
    pub fn after(&self, passed_us: f64) -> Need {
        Need {
            goal_left_us: self.goal_left_us - passed_us,
            deadline_left_us: self.deadline_left_us - passed_us,
            work: self.work,
        }
    }
}

/// What a call would find at one target.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Prospect {
    /// Time on the way, there and back, in microseconds.
    pub path_us: f64,
    /// Time until a slot is free at usual speed, in microseconds.
    pub wait_us: f64,
    /// Time for which the target takes no calls yet, in microseconds.
    pub closed_us: f64,
}

/// The worth of a call at a target, between 0 and 1.
pub fn worth(
    need: &Need,
    prospect: &Prospect,
    slowness: impl Iterator<Item = LikelySlowness>,
) -> f64 {
    let mut worth = 0.0;
    for likely in slowness {
        let wait_us = prospect.wait_us * likely.factor;
        let service_us = need.work.mean_us * likely.factor;
        let finish_us = prospect.path_us + prospect.closed_us.max(wait_us) + service_us;
        let deviation_us = need.work.deviation_us * likely.factor + wait_us * WAIT_DEVIATION;
        let chance = |left_us: f64| chance(left_us - finish_us, deviation_us);
        let late = chance(need.deadline_left_us) * LATE_WORTH;
        worth += likely.probability * (chance(need.goal_left_us) * (1.0 - LATE_WORTH) + late);
    }
    worth
}

/// The chance that a time stays within a margin above its mean.
fn chance(margin_us: f64, deviation_us: f64) -> f64 {
    let scale = LOGISTIC_SCALE * deviation_us.max(LEAST_DEVIATION_US);
    1.0 / (1.0 + (-margin_us / scale).exp())
}

/// Time left until `until`, in microseconds; below 0 where it has passed.
pub fn left_us(now: Micros, until: Micros) -> f64 {
    until as f64 - now as f64
}
