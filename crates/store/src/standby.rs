//! Who of a fleet follows the store, and who hears of changes from the others.
//!
//! Each daemon decides for itself, from its rank among the members and from the time since
//! the store was last heard, by itself or through others. Nobody is elected: the first few
//! by rank follow, and where nothing has come from any of them for too long, the next ones
//! ask the store themselves, one after the other. Two that do so at once cost a call.

use std::time::Duration;

/// Members that follow the store all the time. With a third of the fleet turned away by the
/// store, all eight are hit in one of 6,500 cases; each costs some six calls a minute.
const FOLLOWERS: usize = 8;
/// Followers that look at the store often, so that all hear of a change even after the store
/// fell silent without a word.
const WATCHERS: usize = 2;
/// Silence after which the first member that does not follow asks the store itself. An
/// answer is told at most two seconds after the one before, so three of them are missing.
const SILENCE: Duration = Duration::from_secs(6);
/// Later start of each further member: the answer to one of them, which takes a few
/// milliseconds, or the failure of its connection has passed through the fleet by then.
const STEP: Duration = Duration::from_millis(250);
/// Silence after which a member without any peer asks the store itself.
const ALONE: Duration = Duration::from_secs(2);
/// Length of a call of a member that asks because of a silence.
const LOOK: Duration = Duration::from_millis(1);

/// How a member stands to the others.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Standing {
    /// Members that come before it, in an order that is the same for all.
    pub rank: usize,
    /// Whether any peer could tell it of changes.
    pub has_peers: bool,
    /// Time since the store last answered somebody who follows it.
    pub silence: Duration,
}

/// What a member does next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Duty {
    /// Waits for changes at the store.
    Follow {
        /// Longest wait, where it is not the usual one.
        wait: Option<Duration>,
    },
    /// Listens to its peers, for this long at most.
    Listen(Duration),
}

/// The duty of a member; `watch` is the time between two looks of a watcher.
pub fn duty(standing: Standing, watch: Duration) -> Duty {
    if standing.rank < WATCHERS {
        return Duty::Follow { wait: Some(watch) };
    }
    if standing.rank < FOLLOWERS {
        return Duty::Follow { wait: None };
    }
    let turn = u32::try_from(standing.rank - FOLLOWERS).unwrap_or(u32::MAX);
    let patience = match standing.has_peers {
        true => SILENCE.saturating_add(STEP.saturating_mul(turn)),
        false => ALONE,
    };
    match patience.checked_sub(standing.silence) {
        Some(left) if !left.is_zero() => Duty::Listen(left),
        _ => Duty::Follow { wait: Some(LOOK) },
    }
}
