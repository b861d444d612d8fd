//! Decides which members of a fleet follow the store directly and which receive changes
//! from their peers, and when a member asks the store whatever its role.
//!
//! Each daemon decides for itself, from its rank among the members and from how old its
//! knowledge of the store is. There is no leader election, and nothing depends on which members
//! are still there: the members with the lowest ranks follow the store, and any member whose
//! knowledge has become too old asks the store itself ([`FeedLimits::overdue_age`]). The rows
//! of lost members keep their ranks, so a rank alone does not tell whether anybody follows.

use std::time::Duration;

/// Number of members that always follow the store. If the store rejects a third of the fleet,
/// all eight are affected in one of 6,500 cases. Each follower costs about six calls a minute.
const FOLLOWERS: usize = 8;
/// Number of followers that poll the store at a short interval, so that the fleet learns of
/// changes soon even after the store has stopped responding without closing connections.
const WATCHERS: usize = 2;

/// Parts of the time within which a change has to be in force, in percent. A member asks the store
/// itself at an age of `NOTICE` + `SPREAD` at most; what is left is for the response and for
/// putting the change in force.
const NOTICE_PERCENT: u32 = 70;
const SPREAD_PERCENT: u32 = 10;
/// Shorter than the notice: by then, the response to the next poll has crossed the fleet, though
/// one of the watchers is lost.
const POLL_PERCENT: u32 = 50;
/// Shorter than a poll, so that each poll of the first watcher is reported.
const REPORT_PERCENT: u32 = 30;

/// Role of a member with respect to the store's change feed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FeedRole {
    /// Poll the store at the interval of watchers.
    Watch,
    /// Long-poll the store for changes.
    Follow,
    /// Receive changes from peers.
    Listen,
}

/// Returns the role of a member of some rank; `stands_in` if it stands in for lost watchers.
pub fn feed_role(rank: usize, stands_in: bool) -> FeedRole {
    if rank < WATCHERS || stands_in {
        FeedRole::Watch
    } else if rank < FOLLOWERS {
        FeedRole::Follow
    } else {
        FeedRole::Listen
    }
}

/// Limits that together have a change in force at every member in time, whoever is lost.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FeedLimits {
    /// Interval between two polls of a watcher.
    pub poll: Duration,
    /// Least time between two reports to peers that the store has answered, if there is no
    /// other news.
    pub report: Duration,
    /// Age of its knowledge at which the first member asks the store itself.
    notice: Duration,
    /// Time over which the other members begin to ask.
    spread: Duration,
}

impl FeedLimits {
    /// Derives the limits from the time within which a change has to be in force everywhere.
    pub fn within(in_force: Duration) -> Self {
        let part = |percent: u32| in_force * percent / 100;
        FeedLimits {
            poll: part(POLL_PERCENT),
            report: part(REPORT_PERCENT),
            notice: part(NOTICE_PERCENT),
            spread: part(SPREAD_PERCENT),
        }
    }

    /// Age of its knowledge of the store at which a member asks the store itself. Followers do in
    /// the first half of the spread. Of the others, the first wait for each other and the rest ask
    /// at the end of it, so that in a large fleet most hear the response from a peer.
    pub fn overdue_age(&self, rank: usize) -> Duration {
        let half = self.spread / 2;
        let delay = if rank < FOLLOWERS {
            half.mul_f64(rank as f64 / FOLLOWERS as f64)
        } else {
            let index = i32::try_from(rank - FOLLOWERS).unwrap_or(i32::MAX);
            half + half.mul_f64(1.0 - 0.5_f64.powi(index))
        };
        self.notice + delay
    }
}
