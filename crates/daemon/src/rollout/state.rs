//! What a daemon knows of rollouts.

use std::collections::HashMap;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};

use lynxcleat_policy::{
    AdmittedCalls, CallKind, Micros, Outcome, Phase, Rollout, Rollouts, TargetEvidence,
};
use lynxcleat_settings::Effective;
use lynxcleat_store::HostEntry;
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;

use super::division::Division;
use crate::sync::lock;

/// What became of the tries for one order.
#[derive(Debug, Default)]
pub(super) struct Reach {
    pub(super) tries: Mutex<Tries>,
}

/// The tries for one order.
#[derive(Debug, Default)]
pub(super) struct Tries {
    pub(super) order: u64,
    pub(super) hosts: HashMap<String, Try>,
}

/// One try.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Try {
    Begun,
    Failed,
}

/// What a status row tells apart.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub(super) enum State {
    /// It goes on.
    Running,
    /// It ended with all calls at the new version.
    Done,
    /// It ended with all calls at the old ones.
    Reverted,
}

/// A state that is to be written, and since when this daemon wants that.
#[derive(Clone, Copy, Debug)]
pub(super) struct Writing {
    pub(super) order: u64,
    pub(super) state: State,
    pub(super) since: Micros,
    /// Whether a write is on its way.
    pub(super) busy: bool,
}

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
    /// Failed ones among them.
    #[serde(default)]
    pub failed: u32,
}

/// What a daemon knows of rollouts.
#[derive(Default)]
pub struct RolloutStates {
    pub(super) any: AtomicBool,
    pub(super) known: Mutex<Rollouts>,
    /// What the half of the own target counted.
    pub(super) counted: Mutex<TargetEvidence>,
    /// What the own half may be given, where a rollout has to do with its service.
    pub(super) own: Mutex<Option<AdmittedCalls>>,
    /// Old targets that were tried to be reached while calls move away from them.
    pub(super) reach: Reach,
    /// Writes to the status rows, by service.
    pub(super) writes: Mutex<HashMap<String, Writing>>,
    pub(super) wanted: Notify,
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
            None | Some(AdmittedCalls::All) => true,
            Some(AdmittedCalls::Canary) => marked,
            Some(AdmittedCalls::None) => false,
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
        let rollout = known.get(service)?;
        Some(Division::new(rollout, listed, effective))
    }

    /// Every rollout, for operators.
    pub fn status(&self, now: Micros) -> Vec<RolloutState> {
        let known = lock(&self.known);
        known.all().map(|rollout| state(now, rollout)).collect()
    }

    /// Works on what is known.
    pub(super) fn with<T>(&self, work: impl FnOnce(&mut Rollouts) -> T) -> T {
        work(&mut lock(&self.known))
    }
}

/// A rollout as operators see it now.
pub(super) fn state(now: Micros, rollout: &Rollout) -> RolloutState {
    let observed = rollout.analysis().observed_calls();
    RolloutState {
        service: rollout.service().to_owned(),
        target: rollout.version().to_owned(),
        order: rollout.number(),
        phase: rollout.phase(),
        stored: rollout.is_stored(),
        left_ms: rollout.to_update(now).remaining_us / 1_000,
        calls: observed.calls,
        bad: observed.bad(),
        failed: observed.failed,
    }
}
