//! Members that stand in for watchers that were lost.

use std::time::Duration;

/// A poll of the store by a watcher or by a member that stands in.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct WatcherPoll {
    /// Rank of that member.
    pub rank: usize,
    /// When the store answered, by the clock of the member that knows of it.
    pub at: Duration,
}

/// Whether a member stands in, and the polls by others that it knows of.
#[derive(Clone, Copy, Debug)]
pub struct StandIn {
    since: Option<Duration>,
    first: Option<WatcherPoll>,
    memory: Duration,
}

impl StandIn {
    /// Stands in for nobody. Polls are reported to peers for the time `memory`.
    pub fn new(memory: Duration) -> Self {
        StandIn {
            since: None,
            first: None,
            memory,
        }
    }

    /// Whether this member stands in.
    pub fn is_active(&self) -> bool {
        self.since.is_some()
    }

    /// Stands in from now on.
    pub fn begin(&mut self, now: Duration) {
        self.since.get_or_insert(now);
    }

    /// Records a poll by another member or by this one, whose rank is `own`. A member that stands in
    /// stops if one before it polled since. Returns whether it stops.
    pub fn record(&mut self, own: usize, poll: WatcherPoll) -> bool {
        let is_first = self.first.is_none_or(|first| {
            poll.rank < first.rank
                || (poll.rank == first.rank && poll.at > first.at)
                || poll.at > first.at + self.memory
        });
        if is_first {
            self.first = Some(poll);
        }
        let is_needless = poll.rank < own && self.since.is_some_and(|since| poll.at > since);
        if is_needless {
            self.since = None;
        }
        is_needless
    }

    /// The poll to report to peers: by the first member that polls.
    pub fn first_poll(&self, now: Duration) -> Option<WatcherPoll> {
        self.first
            .filter(|first| now.saturating_sub(first.at) < self.memory)
    }
}
