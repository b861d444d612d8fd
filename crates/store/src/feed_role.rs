//! Decides which members of a fleet follow the store directly and which receive changes
//! from their peers.
//!
//! Each daemon decides for itself, from its rank among the members and the time since the
//! store last responded to it or to a peer. There is no leader election: the members with
//! the lowest ranks follow the store. If nothing has arrived from any of them for too long,
//! the remaining members stand in, one after the other in rank order: they poll the store at a
//! short interval until they hear of a poll by a member before them. The rows of lost members
//! keep their ranks, so rank alone does not tell whether anybody polls. If two stand in at once,
//! the only cost is additional calls.

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
/// The same for a follower that uses long polls, which a silent connection does not end. Reports
/// of watchers are at most three seconds apart.
const FOLLOWER_SILENCE_LIMIT: Duration = Duration::from_secs(4);
/// Additional delay for each further member. By then, the response to the previous member,
/// which takes a few milliseconds, or its connection failure has propagated through the fleet.
const SILENCE_LIMIT_STEP: Duration = Duration::from_millis(250);
/// Time without a store response after which a member without peers queries the store itself.
const SILENCE_LIMIT_WITHOUT_PEERS: Duration = Duration::from_secs(2);
/// Time for which a poll is reported to peers. Reports cross a fleet in a few hops, at most two
/// seconds each.
const POLL_MEMORY: Duration = Duration::from_secs(15);
/// Time after standing in before which polls by members before this one do not count: they may
/// be reports of polls by members that were lost since.
const STAND_IN_OVERLAP: Duration = Duration::from_secs(2);

/// Inputs from which a member derives its role.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct MemberStatus {
    /// Number of members before this one, in an order that is the same at every member.
    pub rank: usize,
    /// Whether there is a peer that could forward changes.
    pub has_peers: bool,
    /// Time since the last known response of the store to any follower.
    pub silence: Duration,
    /// Whether it stands in for watchers that were lost.
    pub stands_in: bool,
}

/// Role of a member with respect to the store's change feed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FeedRole {
    /// Long-poll the store for changes.
    Follow {
        /// Maximum duration of the long poll; `None` for the default.
        wait: Option<Duration>,
    },
    /// Poll the store at the interval of watchers, from now on.
    StandIn,
    /// Receive changes from peers, for at most this long before the role is derived again.
    Listen(Duration),
}

/// Returns the role of a member; `watch` is the poll interval of watchers.
pub fn feed_role(status: MemberStatus, watch: Duration) -> FeedRole {
    if status.rank < WATCHERS || status.stands_in {
        return FeedRole::Follow { wait: Some(watch) };
    }
    let remaining = silence_limit(status).saturating_sub(status.silence);
    if remaining.is_zero() {
        FeedRole::StandIn
    } else if status.rank < FOLLOWERS {
        FeedRole::Follow { wait: None }
    } else {
        FeedRole::Listen(remaining)
    }
}

/// Time without a reported store response after which a member stands in.
fn silence_limit(status: MemberStatus) -> Duration {
    let (first, limit) = match status.rank < FOLLOWERS {
        true => (WATCHERS, FOLLOWER_SILENCE_LIMIT),
        false if !status.has_peers => return SILENCE_LIMIT_WITHOUT_PEERS,
        false => (FOLLOWERS, SILENCE_LIMIT),
    };
    let index = u32::try_from(status.rank - first).unwrap_or(u32::MAX);
    limit.saturating_add(SILENCE_LIMIT_STEP.saturating_mul(index))
}

/// A poll of the store by a watcher or by a member that stands in.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct WatcherPoll {
    /// Rank of that member.
    pub rank: usize,
    /// When the store answered, by the clock of the member that knows of it.
    pub at: Duration,
}

/// Whether a member stands in, and the polls by others that it knows of.
#[derive(Clone, Copy, Debug, Default)]
pub struct StandIn {
    since: Option<Duration>,
    first: Option<WatcherPoll>,
}

impl StandIn {
    /// Whether this member stands in.
    pub fn is_active(&self) -> bool {
        self.since.is_some()
    }

    /// Stands in from now on.
    pub fn begin(&mut self, now: Duration) {
        self.since.get_or_insert(now);
    }

    /// Records a poll by another member or by this one, whose rank is `own`. A member that stands in
    /// stops if one before it polled after a while in which both did. Returns whether it stops.
    pub fn record(&mut self, own: usize, poll: WatcherPoll) -> bool {
        let is_first = self.first.is_none_or(|first| {
            poll.rank < first.rank
                || (poll.rank == first.rank && poll.at > first.at)
                || poll.at > first.at + POLL_MEMORY
        });
        if is_first {
            self.first = Some(poll);
        }
        let is_needless = poll.rank < own
            && self
                .since
                .is_some_and(|since| poll.at > since + STAND_IN_OVERLAP);
        if is_needless {
            self.since = None;
        }
        is_needless
    }

    /// The poll to report to peers: by the first member that polls.
    pub fn first_poll(&self, now: Duration) -> Option<WatcherPoll> {
        self.first
            .filter(|first| now.saturating_sub(first.at) < POLL_MEMORY)
    }
}
