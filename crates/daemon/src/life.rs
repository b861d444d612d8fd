//! A daemon's way from start to stop.
//!
//! A planned stop first lingers: callers' connections are still answered, each with
//! `Connection: close`, so that no caller finds its connection closed under a request.
//! The target takes calls for the first part of that, then it is left. After the
//! lingering the listener is drained and closed, and what is in hand is finished.

use std::collections::HashSet;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use lynxcleat_policy::Micros;
use tokio::sync::watch;

use crate::sync::{Busy, lock};

/// Part of the time of a stop after which a call with effects that no target has is withdrawn,
/// and at which calls that are taken meanwhile end.
const WITHDRAW_PART: f64 = 0.95;
/// Part of the time of a stop after which every call in hand is answered. The rest is for the
/// answers to be written.
const ANSWER_PART: f64 = 0.98;

/// Times of a stop that goes on, by the daemon's clock.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StopTimes {
    /// When calls that no target has are withdrawn.
    pub withdraw_at: Micros,
    /// When what is still in hand is answered.
    pub answer_at: Micros,
}

impl StopTimes {
    fn of(now: Micros, limit: Duration) -> Self {
        let after = |part| now + limit.mul_f64(part).as_micros() as Micros;
        StopTimes {
            withdraw_at: after(WITHDRAW_PART),
            answer_at: after(ANSWER_PART),
        }
    }
}

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
    stop: watch::Sender<Option<StopTimes>>,
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
            stop: watch::Sender::new(None),
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

    /// A stop begins that takes `limit` at most; a second one changes nothing.
    pub fn begin_stop(&self, now: Micros, limit: Duration) {
        self.stop.send_if_modified(|times| {
            let is_first = times.is_none();
            times.get_or_insert(StopTimes::of(now, limit));
            is_first
        });
    }

    /// Times of the stop that goes on; nothing before one begins.
    pub fn stop_times(&self) -> Option<StopTimes> {
        *self.stop.borrow()
    }

    /// Waits until a stop begins, and returns its times.
    pub async fn stop_begun(&self) -> StopTimes {
        let mut stop = self.stop.subscribe();
        match stop.wait_for(Option::is_some).await.map(|times| *times) {
            Ok(Some(times)) => times,
            Ok(None) | Err(_) => std::future::pending().await,
        }
    }

    /// Whether a call that may take until `deadline` ends before the daemon does.
    pub fn outlasts(&self, deadline: Micros) -> bool {
        let times = self.stop_times();
        times.is_none_or(|times| deadline < times.withdraw_at)
    }

    /// The deadline of a call that is taken now: its own, or the end of a stop that goes on, which
    /// has to leave time for its answer.
    pub fn before_stop(&self, deadline: Micros) -> Micros {
        let times = self.stop_times();
        times.map_or(deadline, |times| deadline.min(times.withdraw_at))
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
