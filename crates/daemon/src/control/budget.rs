//! The daemon's one budget of measuring, with its metrics.

use std::sync::{Arc, Mutex};

use lynxcleat_policy::{Budget, Cost, Limits};
use lynxcleat_settings::Effective;

use crate::clock::Clock;
use crate::metrics::Metrics;
use crate::sync::lock;

/// What may be spent before settings are in force: enough to get them.
const BEFORE_SETTINGS: Limits = Limits {
    messages: 50,
    bytes: 11_000,
    cpu_us: 13_000,
};

/// The budget of one daemon.
pub struct MeasureBudget {
    clock: Clock,
    budget: Mutex<Budget>,
}

impl MeasureBudget {
    /// A budget with nothing spent.
    pub fn new(clock: Clock) -> Self {
        MeasureBudget {
            clock,
            budget: Mutex::new(Budget::new(BEFORE_SETTINGS)),
        }
    }

    /// Puts settings in force.
    pub fn apply(&self, own: &Arc<Effective>) {
        lock(&self.budget).set_limits(Limits {
            messages: own.measure_messages_per_s,
            bytes: own.measure_bytes_per_s,
            cpu_us: own.measure_cpu_us_per_s,
        });
    }

    /// Grants a piece of measuring work whole, or refuses it.
    pub fn ask(&self, cost: Cost) -> bool {
        lock(&self.budget).ask(self.clock.now(), cost)
    }

    /// Bytes allowed in a second.
    pub fn bytes_allowed(&self) -> u64 {
        lock(&self.budget).limits().bytes
    }

    /// Brings the metrics up to what was spent.
    pub fn show(&self, metrics: &Metrics) {
        let budget = lock(&self.budget);
        let spent = budget.spent();
        let raise = |counter: &prometheus_client::metrics::counter::Counter, to: u64| {
            counter.inc_by(to.saturating_sub(counter.get()));
        };
        raise(&metrics.measure_messages, spent.messages);
        raise(&metrics.measure_bytes, spent.bytes);
        raise(&metrics.measure_cpu_us, spent.cpu_us);
        raise(&metrics.measure_refused, budget.refused());
        metrics
            .measure_bytes_allowed
            .set(budget.limits().bytes as i64);
    }
}
