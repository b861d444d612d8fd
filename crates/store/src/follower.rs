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
