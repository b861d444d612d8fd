//! How old a member's knowledge of the settings in the store is, and what follows from it.
//!
//! A member knows the settings as of a moment: whatever was accepted before is in force at it. The
//! moment moves on when the store answers it, and when a peer reports a later moment as of which
//! that peer knows them. A report of a peer that has a newer generation in force counts once
//! that generation is in force here as well, so the moment never passes settings that are not
//! in force. If the moment has become too old, the member asks the store itself, whatever its
//! rank and whoever else is there.

use std::time::Duration;

use crate::feed_role::{FeedLimits, FeedRole, feed_role};
use crate::stand_in::{StandIn, WatcherPoll};

/// Time for which a poll is reported to peers, in intervals of polls: a report crosses a fleet
/// within one, and the next poll follows within another.
const POLL_MEMORY_INTERVALS: u32 = 3;

/// A peer's report of its knowledge.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct KnowledgeReport {
    /// Moment as of which the peer knows the settings.
    pub as_of: Duration,
    /// Generation that the peer has in force.
    pub generation: u64,
}

/// A member's knowledge of the settings in the store. All times are by the member's own clock.
#[derive(Clone, Copy, Debug)]
pub struct StoreWatch {
    limits: FeedLimits,
    /// Whatever was accepted before is in force here.
    as_of: Duration,
    /// The newest report that waits for its generation.
    awaited: Option<KnowledgeReport>,
    /// The moment that peers were told last.
    reported: Duration,
    stand_in: StandIn,
}

impl StoreWatch {
    /// Knows nothing later than the time 0, the start of the member.
    pub fn new(limits: FeedLimits) -> Self {
        StoreWatch {
            limits,
            as_of: Duration::ZERO,
            awaited: None,
            reported: Duration::ZERO,
            stand_in: StandIn::new(limits.poll * POLL_MEMORY_INTERVALS),
        }
    }

    /// Limits that this member goes by.
    pub fn limits(&self) -> FeedLimits {
        self.limits
    }

    /// The role of this member.
    pub fn role(&self, rank: usize) -> FeedRole {
        feed_role(rank, self.stand_in.is_active())
    }

    /// Age of this member's knowledge.
    pub fn age(&self, now: Duration) -> Duration {
        now.saturating_sub(self.as_of)
    }

    /// Time until this member has to ask the store itself; zero if it is due.
    pub fn time_until_overdue(&self, now: Duration, rank: usize) -> Duration {
        let limit = self.limits.overdue_age(rank);
        limit.saturating_sub(self.age(now))
    }

    /// This member's knowledge is overdue: unless it is a watcher, it stands in from now on.
    /// Returns whether it begins to.
    pub fn step_in(&mut self, now: Duration, rank: usize) -> bool {
        if self.role(rank) == FeedRole::Watch {
            return false;
        }
        self.stand_in.begin(now);
        true
    }

    /// The store answered this member at some time, and what it said is in force here.
    pub fn record_response(&mut self, at: Duration, rank: usize) {
        if self.role(rank) == FeedRole::Watch {
            self.stand_in.record(rank, WatcherPoll { rank, at });
        }
        self.as_of = self.as_of.max(at);
    }

    /// A peer reports its knowledge; generation `in_force` is in force here.
    pub fn record_report(&mut self, report: KnowledgeReport, in_force: u64) {
        if report.generation <= in_force {
            self.as_of = self.as_of.max(report.as_of);
        } else if self.awaited.is_none_or(|known| report.as_of > known.as_of) {
            self.awaited = Some(report);
        }
    }

    /// A peer reports a poll by a member. Returns whether this member stops standing in.
    pub fn record_poll(&mut self, rank: usize, poll: WatcherPoll) -> bool {
        self.stand_in.record(rank, poll)
    }

    /// A generation is in force here.
    pub fn put_in_force(&mut self, generation: u64) {
        if let Some(report) = self.awaited.take_if(|known| known.generation <= generation) {
            self.as_of = self.as_of.max(report.as_of);
        }
    }

    /// Whether peers are to be told of the age of this member's knowledge, though there is no
    /// other news. Counts as told.
    pub fn take_report(&mut self) -> bool {
        let is_due = self.as_of.saturating_sub(self.reported) >= self.limits.report;
        if is_due {
            self.reported = self.as_of;
        }
        is_due
    }

    /// The poll to report to peers.
    pub fn first_poll(&self, now: Duration) -> Option<WatcherPoll> {
        self.stand_in.first_poll(now)
    }
}
