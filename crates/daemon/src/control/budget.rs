//! The daemon's one budget of measuring, with its metrics.

use std::sync::{Arc, Mutex};

use lynxcleat_policy::{Budget, Cost, FairBudget, Limits};
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

/// Part of the budget, in percent, that figures on answers may take. There can be
/// thousands of them a second; without a bound of their own they would leave no room
/// for a poll, and a new configuration would wait for the end of a burst.
const FIGURES_PERCENT: u64 = 40;

/// What a piece of measuring is for. Each has one place in the queue of those that the
/// budget refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Purpose {
    /// A poll of the settings.
    Settings,
    /// A poll of the host list.
    Hosts,
    /// A poll of the target's health endpoint.
    Health,
    /// A heartbeat on a link.
    Beat,
    /// Making a link again.
    Redial,
    /// Figures on an answer, or by themselves.
    Figures,
    /// A question to the target for its load.
    Load,
}

/// The budget of one daemon, and the part of it for figures.
pub struct MeasureBudget {
    clock: Clock,
    budget: Mutex<FairBudget<Purpose>>,
    figures: Mutex<Budget>,
    /// Questions to the target, which has a bound of its own for them.
    load_asks: Mutex<Budget>,
}

impl MeasureBudget {
    /// A budget with nothing spent.
    pub fn new(clock: Clock) -> Self {
        MeasureBudget {
            clock,
            budget: Mutex::new(FairBudget::new(BEFORE_SETTINGS)),
            figures: Mutex::new(Budget::new(figures_part(BEFORE_SETTINGS))),
            load_asks: Mutex::new(Budget::new(load_asks(0))),
        }
    }

    /// Puts settings in force.
    pub fn apply(&self, own: &Arc<Effective>) {
        let limits = Limits {
            messages: own.measure_messages_per_s,
            bytes: own.measure_bytes_per_s,
            cpu_us: own.measure_cpu_us_per_s,
        };
        lock(&self.budget).set_limits(limits);
        lock(&self.figures).set_limits(figures_part(limits));
        lock(&self.load_asks).set_limits(load_asks(own.load_asks_per_s));
    }

    /// Grants a piece of measuring work whole, or refuses it. Whoever was refused first is
    /// granted first.
    pub fn ask(&self, purpose: Purpose, cost: Cost) -> bool {
        lock(&self.budget).try_spend(self.clock.now(), purpose, cost)
    }

    /// Grants figures on an answer, or refuses them.
    pub fn ask_figures(&self, cost: Cost) -> bool {
        lock(&self.figures).try_spend(self.clock.now(), cost) && self.ask(Purpose::Figures, cost)
    }

    /// Grants a question to the target for its load, or refuses it.
    pub fn ask_load(&self, cost: Cost) -> bool {
        lock(&self.load_asks).try_spend(self.clock.now(), cost) && self.ask(Purpose::Load, cost)
    }

    /// Bytes allowed in a second.
    pub fn bytes_allowed(&self) -> u64 {
        lock(&self.budget).budget().limits().bytes
    }

    /// Brings the metrics up to what was spent.
    pub fn show(&self, metrics: &Metrics) {
        let fair = lock(&self.budget);
        let budget = fair.budget();
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

/// Bounds the number of questions; what they cost is bounded with all measuring.
fn load_asks(per_s: u64) -> Limits {
    Limits {
        messages: per_s,
        bytes: u64::MAX,
        cpu_us: u64::MAX,
    }
}

fn figures_part(limits: Limits) -> Limits {
    Limits {
        messages: limits.messages * FIGURES_PERCENT / 100,
        bytes: limits.bytes * FIGURES_PERCENT / 100,
        cpu_us: limits.cpu_us * FIGURES_PERCENT / 100,
    }
}
