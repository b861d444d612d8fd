//! Following one table: when to read it whole, when to wait for changes, and
//! which rows of an answer are news.
//!
//! Answers can be old after the store lost its history, so a row counts only if
//! its version is above the one held, and the position in the feed only rises.

use std::collections::HashMap;
use std::time::Duration;

use crate::row_store::{RowStoreError, RowVersion, RowsAt, StoredRow};

/// Pause after a first failure, and the longest one.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
const LONGEST_PAUSE: Duration = Duration::from_millis(1_600);

/// Longest wait of one call for changes, and that of the few watchers: a store that
/// falls silent looks like one without changes until the wait is over, so some daemons
/// wait for a short time only, and the others hear from them.
const WAIT: Duration = Duration::from_secs(15);
const WATCHER_WAIT: Duration = Duration::from_secs(1);
/// Wait of the first call after a failure; it doubles with each call that is answered.
const WAIT_AFTER_FAILURE: Duration = Duration::from_millis(300);

/// Time for which news are gathered at first, and at most while they keep coming: in a
/// small fleet, and in any.
const FIRST_GATHER: Duration = Duration::from_millis(300);
const SMALL_FLEET_GATHER: Duration = Duration::from_millis(600);
const LONGEST_GATHER: Duration = Duration::from_secs(2);
/// Longest time to gather, for each member: all of them ask 40 times a second at most.
const GATHER_OF_ONE_MEMBER: Duration = Duration::from_millis(25);
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
    held: HashMap<String, RowVersion>,
    after: RowVersion,
    whole: bool,
    failures: u32,
    /// News in a row without a quiet time between them.
    gathered: u32,
    /// Calls answered since the last failure, where there was one.
    answered: Option<u32>,
}

impl Follower {
    /// What to ask next.
    pub fn ask(&self) -> Ask {
        if self.whole {
            Ask::Changes { after: self.after }
        } else {
            Ask::Read
        }
    }

    /// Longest wait of the next call for changes.
    pub fn wait(&self, watcher: bool) -> Duration {
        let usual = if watcher { WATCHER_WAIT } else { WAIT };
        match self.answered {
            None => usual,
            Some(answered) => usual.min(WAIT_AFTER_FAILURE * (1 << answered.min(10))),
        }
    }

    /// Whether the whole table was read at some time.
    pub fn has_read(&self) -> bool {
        self.whole || self.after > 0
    }

    /// Takes the whole table and returns its news: rows that changed, and rows
    /// that are no longer there, without a value.
    pub fn read(&mut self, table: RowsAt) -> Vec<StoredRow> {
        self.was_answered();
        self.whole = true;
        let gone = self.missing_from(&table);
        self.after = self.after.max(table.version);
        let mut news = self.news(table.rows);
        news.extend(gone);
        news
    }

    /// Takes changes and returns those that are news.
    pub fn changed(&mut self, changes: RowsAt) -> Vec<StoredRow> {
        self.was_answered();
        self.after = self.after.max(changes.version);
        self.news(changes.rows)
    }

    /// News came after the call for them had waited for `waited`. Returns how long to
    /// pause before the next call, so that news that come together are read together:
    /// each change wakes every daemon, so a fleet of `members` pauses for longer while
    /// they keep coming.
    pub fn gather(&mut self, waited: Duration, members: usize) -> Duration {
        if waited >= QUIET {
            self.gathered = 0;
        }
        let growth = 1_u32 << self.gathered.min(4);
        self.gathered += 1;
        let members = u32::try_from(members).unwrap_or(u32::MAX);
        let longest = GATHER_OF_ONE_MEMBER.saturating_mul(members);
        (FIRST_GATHER * growth).min(longest.clamp(SMALL_FLEET_GATHER, LONGEST_GATHER))
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

    fn news(&mut self, rows: Vec<StoredRow>) -> Vec<StoredRow> {
        let mut news = Vec::new();
        for row in rows {
            let held = self.held.get(&row.key).copied().unwrap_or(0);
            if row.version > held {
                self.held.insert(row.key.clone(), row.version);
                news.push(row);
            }
        }
        news
    }

    /// Rows that are held, were there before this state, and are missing from it.
    fn missing_from(&mut self, table: &RowsAt) -> Vec<StoredRow> {
        let there = |key: &str| table.rows.iter().any(|row| row.key == key);
        let gone: Vec<String> = self
            .held
            .iter()
            .filter(|(key, version)| **version <= table.version && !there(key))
            .map(|(key, _)| key.clone())
            .collect();
        gone.into_iter()
            .map(|key| {
                self.held.insert(key.clone(), table.version);
                StoredRow {
                    key,
                    value: None,
                    version: table.version,
                }
            })
            .collect()
    }
}
