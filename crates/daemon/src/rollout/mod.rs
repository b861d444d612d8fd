//! Rollouts: what operators order, what daemons tell each other of it, and what it changes
//! for routers, halves and the status row.
//!
//! Without an order none of this does anything: a call sees one flag.

mod division;
mod own;
mod reach;
mod spread;
mod status;
mod work;

use std::collections::HashMap;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};

use lynxcleat_policy::{Admits, CallKind, HalfEvidence, Micros, Outcome, Phase, Rollout, Rollouts};
use lynxcleat_settings::Effective;
use lynxcleat_store::HostEntry;
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;

use crate::core::Core;
use crate::sync::lock;

pub use division::Division;
pub use own::apply_own;
pub use spread::{greet, take_evidence, take_idle, take_news, take_orders};
pub use work::start;

/// A rollout as operators see it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RolloutState {
    /// The service.
    pub service: String,
    /// The version that its calls are moved to.
    pub target: String,
    /// Number of the order.
    pub order: u64,
    /// Where it stands.
    pub phase: Phase,
    /// Whether that stands in the status row.
    pub stored: bool,
    /// Time left until the deadline, in milliseconds.
    pub left_ms: u64,
    /// Calls of the new version that were told of.
    pub calls: u32,
    /// Failed and slow ones among them.
    pub bad: u32,
}

/// What a daemon knows of rollouts.
#[derive(Default)]
pub struct RolloutStates {
    any: AtomicBool,
    known: Mutex<Rollouts>,
    /// What the half of the own target counted.
    counted: Mutex<HalfEvidence>,
    /// What the own half may be given, where a rollout has to do with its service.
    own: Mutex<Option<Admits>>,
    /// Old targets that were tried to be reached while calls move away from them.
    reach: reach::Reach,
    /// Writes to the status rows, by service.
    writes: Mutex<HashMap<String, status::Writing>>,
    wanted: Notify,
}

impl RolloutStates {
    /// Whether any rollout is known.
    pub fn any(&self) -> bool {
        self.any.load(Ordering::Relaxed)
    }

    /// Whether the own half takes a call; `marked` is one that its router counts as a part
    /// of its share for the new version.
    pub fn admits(&self, marked: bool) -> bool {
        if !self.any() {
            return true;
        }
        match *lock(&self.own) {
            None | Some(Admits::All) => true,
            Some(Admits::Canary) => marked,
            Some(Admits::Nothing) => false,
        }
    }

    /// A call ended at the own target.
    pub fn count(&self, kind: CallKind, outcome: Outcome) {
        lock(&self.counted).count(kind, outcome);
    }

    /// How a rollout divides the targets of a service; nothing where none goes on.
    pub fn division(
        &self,
        service: &str,
        listed: &[HostEntry],
        effective: &Effective,
    ) -> Option<Division> {
        if !self.any() {
            return None;
        }
        let known = lock(&self.known);
        let rollout = known.of(service)?;
        Some(Division::new(rollout, listed, effective))
    }

    /// Every rollout, for operators.
    pub fn status(&self, now: Micros) -> Vec<RolloutState> {
        let known = lock(&self.known);
        known.all().map(|rollout| state(now, rollout)).collect()
    }

    /// Works on what is known.
    fn with<T>(&self, work: impl FnOnce(&mut Rollouts) -> T) -> T {
        work(&mut lock(&self.known))
    }
}

fn state(now: Micros, rollout: &Rollout) -> RolloutState {
    let (calls, bad) = rollout.judge().seen();
    RolloutState {
        service: rollout.service().to_owned(),
        target: rollout.version().to_owned(),
        order: rollout.number(),
        phase: rollout.phase(),
        stored: rollout.is_stored(),
        left_ms: rollout.news(now).left_us / 1_000,
        calls,
        bad,
    }
}

/// Something changed in the rollout of a service: it is put in force here.
fn changed(core: &std::sync::Arc<Core>, service: &str) {
    core.rollouts.any.store(true, Ordering::Relaxed);
    log_state(core, service);
    apply_own(core);
    core.routers.refresh(core);
    work::count(core, service);
    core.rollouts.wanted.notify_one();
}

fn log_state(core: &Core, service: &str) {
    let now = core.clock.now();
    let state = core
        .rollouts
        .with(|known| known.of(service).map(|known| state(now, known)));
    let Some(state) = state else { return };
    log::info!(
        service,
        target_version = state.target.as_str(),
        order = state.order,
        phase:? = state.phase,
        stored = state.stored,
        left_ms = state.left_ms,
        calls = state.calls,
        bad = state.bad;
        "rollout"
    );
}
