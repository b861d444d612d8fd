//! Decides which members of a fleet follow the store directly and which receive changes
//! from their peers.
//!
//! Each daemon decides for itself, from its rank among the members and the time since the
//! store last responded to it or to a peer. There is no leader election: the members with
//! the lowest ranks follow the store. If nothing has arrived from any of them for too long,
//! the remaining members query the store themselves, one after the other in rank order. If
//! two do so at once, the only cost is an additional call.

use std::time::Duration;

/// Number of members that always follow the store. If the store rejects a third of the fleet,
/// all eight are affected in one of 6,500 cases. Each follower costs about six calls a minute.
const FOLLOWERS: usize = 8;
/// Number of followers that poll the store at a short interval, so that the fleet learns of
/// changes soon even after the store has stopped responding without closing connections.
const WATCHERS: usize = 2;
/// Time without a reported store response after which the first non-follower queries the
/// store itself. Responses are reported to peers at most two seconds apart, so three reports
/// are missing by then.
const SILENCE_LIMIT: Duration = Duration::from_secs(6);
/// Additional delay for each further member. By then, the response to the previous member,
/// which takes a few milliseconds, or its connection failure has propagated through the fleet.
const SILENCE_LIMIT_STEP: Duration = Duration::from_millis(250);
/// Time without a store response after which a member without peers queries the store itself.
const SILENCE_LIMIT_WITHOUT_PEERS: Duration = Duration::from_secs(2);
/// Maximum duration of a long poll by a non-follower that queries the store itself.
const PROBE_WAIT: Duration = Duration::from_millis(1);

/// Inputs from which a member derives its role.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct MemberStatus {
    /// Number of members before this one, in an order that is the same at every member.
    pub rank: usize,
    /// Whether there is a peer that could forward changes.
    pub has_peers: bool,
    /// Time since the last known response of the store to any follower.
    pub silence: Duration,
}

/// Role of a member with respect to the store's change feed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FeedRole {
    /// Long-poll the store for changes.
    Follow {
        /// Maximum duration of the long poll; `None` for the default.
        wait: Option<Duration>,
    },
    /// Receive changes from peers, for at most this long before the role is derived again.
    Listen(Duration),
}

/// Returns the role of a member; `watch` is the poll interval of watchers.
pub fn feed_role(status: MemberStatus, watch: Duration) -> FeedRole {
    if status.rank < WATCHERS {
        return FeedRole::Follow { wait: Some(watch) };
    }
    if status.rank < FOLLOWERS {
        return FeedRole::Follow { wait: None };
    }
    let index = u32::try_from(status.rank - FOLLOWERS).unwrap_or(u32::MAX);
    let silence_limit = match status.has_peers {
        true => SILENCE_LIMIT.saturating_add(SILENCE_LIMIT_STEP.saturating_mul(index)),
        false => SILENCE_LIMIT_WITHOUT_PEERS,
    };
    match silence_limit.checked_sub(status.silence) {
        Some(remaining) if !remaining.is_zero() => FeedRole::Listen(remaining),
        _ => FeedRole::Follow {
            wait: Some(PROBE_WAIT),
        },
    }
}
