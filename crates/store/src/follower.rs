//! Following one table: when to read it whole, when to wait for changes, and how long
//! to pause between calls.

use std::time::Duration;

use crate::row_copy::{DeltaTaken, KeyReply, RowCopy, RowDelta};
use crate::row_store::{RowStoreError, RowVersion, RowsAt, StoredRow};

/// Pause after a first failure, and the longest one.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
const LONGEST_PAUSE: Duration = Duration::from_millis(1_600);

/// Longest wait of one call for changes: half of what the users' store allows.
const WAIT: Duration = Duration::from_secs(15);
/// Wait of the first call after a failure; it doubles with each call that is answered.
const WAIT_AFTER_FAILURE: Duration = Duration::from_millis(300);

/// Time for which news are gathered at first, and while they keep coming. While a fleet
/// starts, its members write one after the other, and each change ends a wait.
const FIRST_GATHER: Duration = Duration::from_millis(300);
const LONGEST_GATHER: Duration = Duration::from_millis(600);
/// Longest pause at a member that does not watch: it receives news from watchers meanwhile.
const LONGEST_GATHER_NON_WATCHER: Duration = Duration::from_secs(2);
/// A wait for news of this length ends a row of them.
const QUIET: Duration = Duration::from_secs(1);

/// What to ask of the store next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Ask {
    /// The whole table.
    Read,
    /// What changed after a version.
    Changes {
        /// The version.
        after: RowVersion,
    },
}

/// Where a follower stands in one table.
#[derive(Debug, Default)]
pub struct Follower {
    copy: RowCopy,
    /// Whether the history after the copy is still kept, as far as is known.
    whole: bool,
    failures: u32,
    /// Whether news came before without a quiet time since.
    gathers: bool,
    /// Calls answered since the last failure, where there was one.
    answered: Option<u32>,
}

impl Follower {
    /// What to ask next.
    pub fn ask(&self) -> Ask {
        if self.whole {
            Ask::Changes {
                after: self.copy.through(),
            }
        } else {
            Ask::Read
        }
    }

    /// Longest wait of the next call for changes, where `usual` is the one without a
    /// failure. A store that falls silent looks like one without changes until the wait is
    /// over, so some daemons wait for a short time only, and the others hear from them.
    pub fn wait(&self, usual: Option<Duration>) -> Duration {
        let usual = usual.unwrap_or(WAIT);
        match self.answered {
            None => usual,
            Some(answered) => usual.min(WAIT_AFTER_FAILURE * (1 << answered.min(10))),
        }
    }

    /// Whether the whole table is known from some time.
    pub fn has_read(&self) -> bool {
        self.whole || self.copy.through() > 0
    }

    /// The version up to which no change is missing.
    pub fn through(&self) -> RowVersion {
        self.copy.through()
    }

    /// Takes the whole table and returns its news; see [`RowCopy::take_table`].
    pub fn read(&mut self, table: RowsAt) -> Vec<StoredRow> {
        self.was_answered();
        self.whole = true;
        self.copy.take_table(table)
    }

    /// Takes changes and returns those that are news.
    pub fn changed(&mut self, changes: RowsAt) -> Vec<StoredRow> {
        self.was_answered();
        self.copy.take_changes(changes)
    }

    /// Takes changes that a peer passed on.
    pub fn take_delta(&mut self, delta: RowDelta) -> DeltaTaken {
        self.copy.take_delta(delta)
    }

    /// Applies a peer's reply to a key comparison and returns the rows that changed.
    pub fn take_keys(&mut self, reply: KeyReply) -> Vec<StoredRow> {
        self.copy.take_keys(reply)
    }

    /// What is known of the table, for peers.
    pub fn copy(&self) -> &RowCopy {
        &self.copy
    }

    /// News came after the call for them had waited for `waited`. Returns how long to
    /// pause before the next call, so that news that come together are read together.
    pub fn gather(&mut self, waited: Duration, is_watcher: bool) -> Duration {
        let gathers = self.gathers && waited < QUIET;
        self.gathers = true;
        match (gathers, is_watcher) {
            (false, _) => FIRST_GATHER,
            (true, true) => LONGEST_GATHER,
            (true, false) => LONGEST_GATHER_NON_WATCHER,
        }
    }

    /// A call failed. Returns how long to pause before the next.
    pub fn failed(&mut self, error: &RowStoreError) -> Duration {
        if *error == RowStoreError::HistoryGone {
            self.whole = false;
        }
        let growth = 1_u32 << self.failures.min(4);
        self.failures += 1;
        self.answered = Some(0);
        (FIRST_PAUSE * growth).min(LONGEST_PAUSE)
    }

    fn was_answered(&mut self) {
        self.failures = 0;
        self.answered = self.answered.map(|answered| answered + 1);
    }
}
