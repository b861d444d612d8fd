//! Whether the target ended under the calls that it had in hand.
//!
//! A call whose answer is lost may have lost it alone. Where nothing listens at the target's
//! address right after, the target ended, and all calls that are lost until it takes a
//! connection again were in hand at that end.

use std::sync::Mutex;

use lynxcleat_policy::EndId;

use crate::sync::lock;

/// The end of the target since which it took no connection, where it ended.
#[derive(Default)]
pub(super) struct Ends {
    open: Mutex<Option<EndId>>,
}

/// One end, as one of its calls finds it.
#[derive(Clone, Copy)]
pub(super) struct Found {
    /// Its name.
    pub id: EndId,
    /// Whether no other call found it before.
    pub is_new: bool,
}

impl Ends {
    /// The target took a connection.
    pub(super) fn listens(&self) {
        *lock(&self.open) = None;
    }

    /// A call was lost, and nothing listens at the target's address.
    pub(super) fn found(&self) -> Found {
        let mut open = lock(&self.open);
        let is_new = open.is_none();
        let id = *open.get_or_insert_with(|| EndId(rand::random()));
        Found { id, is_new }
    }
}
