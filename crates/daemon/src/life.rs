//! A daemon's way from start to stop.
//!
//! A planned stop first lingers: callers' connections are still answered, each with
//! `Connection: close`, so that no caller finds its connection closed under a request.
//! The target takes calls for the first part of that, then it is left. After the
//! lingering the listener is drained and closed, and what is in hand is finished.

use std::collections::HashSet;
use std::sync::{Arc, Mutex, OnceLock};

use lynxcleat_policy::Micros;
use tokio::sync::watch;

use crate::sync::{Busy, lock};

/// Where a daemon stands.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Phase {
    /// It serves.
    Serving,
    /// It asks callers to reconnect elsewhere; its target takes new calls for the first
    /// part of this only.
    Lingering,
    /// It takes nothing new.
    Closing,
}

/// Why a target takes no new calls. It takes them again when no cause stands.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum LeaveCause {
    /// The target's health endpoint says that it drains.
    Target,
    /// The target, which sends no reports, says in its answers that it leaves.
    Answer,
    /// The host list says that the host will be taken away.
    List,
    /// An operator evacuated the availability zone.
    Evacuation,
    /// A rollout gives the version of the target no calls.
    Rollout,
    /// The target has not reported that it takes calls.
    Report,
    /// An operator's tool said so at the operators' endpoint.
    Operator,
    /// The daemon stops.
    Stop,
}

/// What a stop left behind.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct StopReport {
    /// Callers' calls that were cut off.
    pub calls_cut: usize,
    /// Calls at the target that were cut off.
    pub target_calls_cut: usize,
}

/// Phase and work in hand.
pub struct Life {
    phase: watch::Sender<Phase>,
    /// When a stop that goes on ends at the latest, by the daemon's clock.
    stop_by: OnceLock<Micros>,
    causes: Mutex<HashSet<LeaveCause>>,
    /// Callers' calls in hand, those passed on by other daemons included.
    pub calls: Arc<Busy>,
    /// Callers' connections.
    pub connections: Arc<Busy>,
    /// Calls at the target half.
    pub target_calls: Arc<Busy>,
    /// Writers of links, which end when all is written.
    pub writers: Arc<Busy>,
}

impl Default for Life {
    fn default() -> Self {
        Life {
            phase: watch::Sender::new(Phase::Serving),
            stop_by: OnceLock::new(),
            causes: Mutex::default(),
            calls: Arc::default(),
            connections: Arc::default(),
            target_calls: Arc::default(),
            writers: Arc::default(),
        }
    }
}

impl Life {
    /// Where the daemon stands.
    pub fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// A stop begins that ends at this time at the latest; a second one changes nothing.
    pub fn stop_by(&self, limit: Micros) {
        let _ = self.stop_by.set(limit);
    }

    /// Whether a call that may take until `deadline` ends before the daemon does.
    pub fn outlasts(&self, deadline: Micros) -> bool {
        self.stop_by.get().is_none_or(|limit| deadline <= *limit)
    }

    /// Moves on to a later phase.
    pub fn enter(&self, phase: Phase) {
        self.phase.send_if_modified(|current| {
            let later = phase > *current;
            if later {
                *current = phase;
            }
            later
        });
    }

    /// Adds or takes away a cause for the target to leave. Returns whether any
    /// cause stands.
    pub fn set_cause(&self, cause: LeaveCause, stands: bool) -> bool {
        let mut causes = lock(&self.causes);
        if stands {
            causes.insert(cause);
        } else {
            causes.remove(&cause);
        }
        !causes.is_empty()
    }

    /// Whether the target takes no new calls for a cause of its own: one beside the stop of the
    /// daemon, which leaves it running.
    pub fn is_target_leaving(&self) -> bool {
        let causes = lock(&self.causes);
        causes.iter().any(|cause| *cause != LeaveCause::Stop)
    }

    /// Whether the target takes no new calls since the daemon stops.
    pub fn leaves_for_stop(&self) -> bool {
        lock(&self.causes).contains(&LeaveCause::Stop)
    }

    /// Waits until the daemon stands at `phase` or later.
    pub async fn reached(&self, phase: Phase) {
        let mut watch = self.phase.subscribe();
        let _ = watch.wait_for(|current| *current >= phase).await;
    }
}
