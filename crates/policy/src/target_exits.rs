//! Attributes lost calls to the exit of the target that lost them.
//!
//! All connections of a target end when it exits, and the calls on them are lost to one cause, so
//! they count as one exit. Some of these losses are noticed late, when the target already listens
//! again, or when it took a last connection while it exited. A connection that was opened before
//! an exit was noticed is one of those that ended with it.

use crate::ids::{Micros, TargetExitId};

/// The exit under which a call was lost.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FoundExit {
    /// Its name.
    pub id: TargetExitId,
    /// Whether no other call showed it before.
    pub is_new: bool,
}

/// Exits of one target, as far as lost calls are attributed to them.
#[derive(Clone, Debug, Default)]
pub struct TargetExits {
    /// The exit since which the target took no connection.
    open: Option<TargetExitId>,
    /// The latest exit, and when it was noticed.
    latest: Option<(TargetExitId, Micros)>,
}

impl TargetExits {
    /// The target took a connection.
    pub fn on_connected(&mut self) {
        self.open = None;
    }

    /// The exit under which a call was lost on a connection opened at `connected_at`; nothing where
    /// none was noticed since then.
    pub fn known_since(&self, connected_at: Micros) -> Option<FoundExit> {
        let (id, noticed) = self.latest?;
        (connected_at <= noticed).then_some(FoundExit { id, is_new: false })
    }

    /// A call was lost on a connection opened at `connected_at`, and nothing listens at the target's
    /// address. A new exit is named `fresh`.
    pub fn on_lost(&mut self, connected_at: Micros, now: Micros, fresh: TargetExitId) -> FoundExit {
        let open = self.open.map(|id| FoundExit { id, is_new: false });
        if let Some(known) = self.known_since(connected_at).or(open) {
            return known;
        }
        self.open = Some(fresh);
        self.latest = Some((fresh, now));
        FoundExit {
            id: fresh,
            is_new: true,
        }
    }
}
