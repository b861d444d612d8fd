//! Whether the target listens, and whether it ended under the calls that it had in hand.
//!
//! A call whose answer is lost may have lost it alone. Where nothing listens at the target's
//! address right after, the target ended, and the calls that it had in hand were lost with it;
//! see [`lynxcleat_policy::TargetExits`].

use std::sync::Mutex;

use lynxcleat_policy::{FoundExit, Micros, TargetExitId, TargetExits};
use tokio::sync::watch;

use crate::sync::lock;

/// What is known of whether the target listens.
#[derive(Default)]
pub(super) struct Ends {
    /// Its ends under calls.
    exits: Mutex<TargetExits>,
    /// Whether nothing listens at its address.
    down: watch::Sender<bool>,
}

impl Ends {
    /// The target took a connection.
    pub(super) fn listens(&self) {
        lock(&self.exits).on_connected();
        self.down.send_if_modified(std::mem::take);
    }

    /// Nothing listens at its address.
    pub(super) fn refused(&self) {
        let went_down = |down: &mut bool| !std::mem::replace(down, true);
        self.down.send_if_modified(went_down);
    }

    /// Whether nothing listens at its address.
    pub(super) fn is_down(&self) -> bool {
        *self.down.borrow()
    }

    /// Hears of changes of that.
    pub(super) fn watch(&self) -> watch::Receiver<bool> {
        self.down.subscribe()
    }

    /// The end under which a call was lost on a connection opened at `connected_at`, where one
    /// was found since.
    pub(super) fn known_since(&self, connected_at: Micros) -> Option<FoundExit> {
        lock(&self.exits).known_since(connected_at)
    }

    /// A call was lost on a connection opened at `connected_at`, and nothing listens at the
    /// target's address.
    pub(super) fn found(&self, connected_at: Micros, now: Micros) -> FoundExit {
        lock(&self.exits).on_lost(connected_at, now, TargetExitId(rand::random()))
    }
}
