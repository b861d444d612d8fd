//! Whether the target listens, and whether it ended under the calls that it had in hand.
//!
//! A call whose answer is lost may have lost it alone. Where nothing listens at the target's
//! address right after, the target ended, and all calls that are lost until it takes a
//! connection again were in hand at that end.

use std::sync::Mutex;

use lynxcleat_policy::TargetExitId;
use tokio::sync::watch;

use crate::sync::lock;

/// What is known of whether the target listens.
#[derive(Default)]
pub(super) struct Ends {
    /// The end since which it took no connection, where it ended under calls.
    open: Mutex<Option<TargetExitId>>,
    /// Whether nothing listens at its address.
    down: watch::Sender<bool>,
}

/// One end, as one of its calls finds it.
#[derive(Clone, Copy)]
pub(super) struct Found {
    /// Its name.
    pub id: TargetExitId,
    /// Whether no other call found it before.
    pub is_new: bool,
}

impl Ends {
    /// The target took a connection.
    pub(super) fn listens(&self) {
        *lock(&self.open) = None;
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

    /// A call was lost, and nothing listens at the target's address.
    pub(super) fn found(&self) -> Found {
        let mut open = lock(&self.open);
        let is_new = open.is_none();
        let id = *open.get_or_insert_with(|| TargetExitId(rand::random()));
        Found { id, is_new }
    }
}
