//! Decides whether a call offered to a target starts now, is deferred, or is rerouted.
//!
//! A call's service time depends mostly on how slow its target is when the call starts, and
//! the target's own daemon has the most recent reading of that. A call that would miss its
//! goal if it started during a slow period often meets it if it starts afterwards. Leaving
//! the slot idle meanwhile costs nothing, since a call started in a slow period would occupy
//! it for many times as long. For other targets only the distribution across the service is
//! known here; their daemons make their own decisions.

use crate::distance::DistanceCosts;
use crate::elsewhere::Elsewhere;
use crate::ids::Micros;
use crate::slow_period::{SLOW_RATIO, SlowPeriodModel};
use crate::slowness::{SlownessDistribution, SlownessReading, WeightedSlowness};
use crate::utility::{CallTiming, TargetEstimate, expected_utility};

/// Time lost when a call is rerouted to another target, in microseconds.
const REROUTE_US: f64 = 2_000.0;
/// Least improvement in utility for which a call is rerouted or deferred. Smaller
/// differences are within the error of the estimates.
const MIN_GAIN: f64 = 0.05;
/// Utility of rejecting a call at once so that its caller retries. It starts from one half,
/// since the retry may still finish in time but makes the caller wait longer, and is lower
/// by the chance that the retry finds no capacity either.
const REJECT_UTILITY: f64 = 0.35;
/// Steps per mean slow period in which the end of a slow period is integrated.
const STEPS_PER_PERIOD: f64 = 8.0;
/// Length of that integration, in mean slow periods. The end is unlikely to come later.
const PERIODS_AHEAD: f64 = 3.0;

/// What to do with a call that is offered to a target with a free slot.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StartDecision {
    /// Start the call now.
    Now,
    /// Hold the call until the target's slow period ends.
    Defer,
    /// Refuse the call so that its router offers it to another target.
    Reroute,
    /// Refuse the call so that its caller retries: it would hardly finish in time, and an
    /// early refusal leaves time for a retry.
    Reject,
}

/// State of a target and of its service at the time of a decision.
#[derive(Clone, Copy, Debug)]
pub struct TargetConditions<'a> {
    /// Present time.
    pub now: Micros,
    /// Most recent slowness reading of the target.
    pub reading: SlownessReading,
    /// Slowness across the targets of the service.
    pub service_slowness: &'a SlownessDistribution,
    /// The target's slow periods.
    pub slow_periods: &'a SlowPeriodModel,
}

/// A call that could start, and its alternatives.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StartRequest {
    /// Time left to the call, and its expected work.
    pub timing: CallTiming,
    /// Where the call can be rerouted.
    pub elsewhere: Elsewhere,
    /// Utility lost by rerouting to a distant target.
    pub distance_costs: DistanceCosts,
    /// Whether the call has just arrived from a caller that has time to retry.
    pub can_retry: bool,
}

impl TargetConditions<'_> {
    /// Returns the decision with the greatest expected utility for a call.
    pub fn decide(&self, request: &StartRequest) -> StartDecision {
        let now = self.utility_now(&request.timing);
        let deferred = self.utility_deferred(&request.timing);
        let here = now.max(deferred);
        if let Some(cost) = request.elsewhere.cost(request.distance_costs)
            && self.utility_rerouted(&request.timing) > here + MIN_GAIN + cost
        {
            return StartDecision::Reroute;
        }
        if request.can_retry && here + MIN_GAIN < REJECT_UTILITY {
            return StartDecision::Reject;
        }
        match deferred > now + MIN_GAIN {
            true => StartDecision::Defer,
            false => StartDecision::Now,
        }
    }

    /// Expected gain in utility from querying the target's load before the call starts
    /// there. With a stale reading a call may start in a slow period that it could have
    /// waited out or avoided.
    pub fn load_query_gain(&self, request: &StartRequest) -> f64 {
        let timing = &request.timing;
        let age_us = self.now.saturating_sub(self.reading.at) as f64;
        let slow_probability = match self.slow_periods.is_slow(self.reading) {
            false => self.slow_periods.probability_turned_slow(age_us),
            // The old reading already keeps the call from starting; a new one gains nothing.
            true if self.decide(request) != StartDecision::Now => return 0.0,
            true => self.slow_periods.probability_still_slow(age_us),
        };
        let rerouted = match request.elsewhere.cost(request.distance_costs) {
            Some(cost) => self.utility_rerouted(timing) - cost,
            None => 0.0,
        };
        let if_known =
            rerouted.max(self.utility_after_slow_period(timing, self.slow_periods.baseline()));
        let if_unknown = utility_at(timing, self.slow_periods.mean_slow_factor());
        slow_probability * (if_known - if_unknown).max(0.0)
    }

    fn utility_now(&self, timing: &CallTiming) -> f64 {
        let slowness = self.service_slowness.predict(self.now, Some(self.reading));
        expected_utility(timing, &TargetEstimate::default(), slowness)
    }

    /// Zero where the target is not slow, since there is nothing to wait for.
    fn utility_deferred(&self, timing: &CallTiming) -> f64 {
        match self.slow_periods.is_slow(self.reading) {
            true => self.utility_after_slow_period(timing, self.slow_periods.baseline()),
            false => 0.0,
        }
    }

    /// Expected utility of a call that starts when the slow period ends, at a target that
    /// has slowness `factor` then. Integrates over the time at which the period ends.
    fn utility_after_slow_period(&self, timing: &CallTiming, factor: f64) -> f64 {
        let step_us = self.slow_periods.mean_slow_us() / STEPS_PER_PERIOD;
        let step_survival = (-1.0 / STEPS_PER_PERIOD).exp();
        let steps = (STEPS_PER_PERIOD * PERIODS_AHEAD) as u32;
        let mut still_slow = 1.0;
        let mut sum = 0.0;
        for step in 1..=steps {
            let at_end = timing.after(f64::from(step) * step_us);
            sum += still_slow * (1.0 - step_survival) * utility_at(&at_end, factor);
            still_slow *= step_survival;
        }
        sum
    }

    /// Expected utility at a typical target of the service, which may defer the call too.
    fn utility_rerouted(&self, timing: &CallTiming) -> f64 {
        let timing = timing.after(REROUTE_US);
        let baseline = self
            .service_slowness
            .min_factor()
            .unwrap_or(self.slow_periods.baseline());
        let deferred = self.utility_after_slow_period(&timing, baseline);
        let weighted_utility = |slowness: WeightedSlowness| {
            let now = utility_at(&timing, slowness.factor);
            let best = match slowness.factor >= baseline * SLOW_RATIO {
                true => now.max(deferred),
                false => now,
            };
            slowness.probability * best
        };
        self.service_slowness
            .predict(self.now, None)
            .map(weighted_utility)
            .sum()
    }
}

/// Utility of a call that starts at once, at a target of known slowness.
fn utility_at(timing: &CallTiming, factor: f64) -> f64 {
    let certain = WeightedSlowness {
        factor,
        probability: 1.0,
    };
    expected_utility(timing, &TargetEstimate::default(), std::iter::once(certain))
}
