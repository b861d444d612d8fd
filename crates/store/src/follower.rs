//! State of a follower of one table: decides when to read the whole table, when to
//! long-poll for changes, and how long to pause between calls.

use std::time::Duration;

use crate::row_store::{RowStoreError, RowVersion, StoredRow, VersionedRows};
use crate::table_replica::{DeltaOutcome, KeyReply, RowDelta, TableReplica};

/// Bounds of the exponential backoff after consecutive failures.
const MIN_BACKOFF: Duration = Duration::from_millis(100);
const MAX_BACKOFF: Duration = Duration::from_millis(1_200);

/// Maximum duration of one long poll: half of the limit that the users' store allows.
const MAX_WAIT: Duration = Duration::from_secs(15);
/// Maximum duration of the first long poll after a failure. It doubles with each
/// successful call.
const WAIT_AFTER_FAILURE: Duration = Duration::from_millis(300);

/// Pauses that batch changes: the first, and those while changes keep arriving. While a
/// fleet starts, its members write one after the other, and each change ends a long poll.
const FIRST_BATCH_PAUSE: Duration = Duration::from_millis(300);
const REPEATED_BATCH_PAUSE: Duration = Duration::from_millis(600);
/// Pause while changes keep arriving at a member that is not a watcher. It receives changes
/// from the watchers in the meantime.
const REPEATED_BATCH_PAUSE_NON_WATCHER: Duration = Duration::from_secs(2);
/// A long poll that waited at least this long for changes ends a batch.
const QUIET_PERIOD: Duration = Duration::from_secs(1);

/// Next request to send to the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FeedRequest {
    /// Read the whole table.
    Read,
    /// Long-poll for changes after a version.
    Changes {
        /// Version up to which all changes are known.
        after: RowVersion,
    },
}

/// State of a follower of one table.
#[derive(Debug, Default)]
pub struct Follower {
    replica: TableReplica,
    /// Whether the store is believed to retain all changes after the replica's version.
    has_history: bool,
    consecutive_failures: u32,
    /// Whether changes have arrived before. A quiet period then starts a new batch.
    is_batching: bool,
    /// Successful calls since the last failure; `None` if there was no failure.
    successes_since_failure: Option<u32>,
}

impl Follower {
    /// Returns the next request to send to the store.
    pub fn next_request(&self) -> FeedRequest {
        if self.has_history {
            FeedRequest::Changes {
                after: self.replica.through(),
            }
        } else {
            FeedRequest::Read
        }
    }

    /// Returns the maximum duration of the next long poll; `usual` is the one used if no call
    /// has failed. Until a long poll ends, a store that has stopped responding cannot be told
    /// from one without changes. Some daemons therefore use short polls and pass on what they
    /// learn to the others.
    pub fn next_wait(&self, usual: Option<Duration>) -> Duration {
        let usual = usual.unwrap_or(MAX_WAIT);
        match self.successes_since_failure {
            None => usual,
            Some(successes) => usual.min(WAIT_AFTER_FAILURE * (1 << successes.min(10))),
        }
    }

    /// Whether the table has been read or received in full at least once.
    pub fn has_snapshot(&self) -> bool {
        self.has_history || self.replica.through() > 0
    }

    /// Version up to which the replica is complete.
    pub fn through(&self) -> RowVersion {
        self.replica.through()
    }

    /// Applies a read of the whole table and returns the rows that changed; see
    /// [`TableReplica::apply_snapshot`].
    pub fn apply_snapshot(&mut self, table: VersionedRows) -> Vec<StoredRow> {
        self.record_success();
        self.has_history = true;
        self.replica.apply_snapshot(table)
    }

    /// Applies changes from the store and returns the rows that changed in the replica.
    pub fn apply_changes(&mut self, changes: VersionedRows) -> Vec<StoredRow> {
        self.record_success();
        self.replica.apply_changes(changes)
    }

    /// Applies changes forwarded by a peer.
    pub fn apply_delta(&mut self, delta: RowDelta) -> DeltaOutcome {
        self.replica.apply_delta(delta)
    }

    /// Applies a peer's reply to a key comparison and returns the rows that changed.
    pub fn apply_key_reply(&mut self, reply: KeyReply) -> Vec<StoredRow> {
        self.replica.apply_key_reply(reply)
    }

    /// The local replica of the table.
    pub fn replica(&self) -> &TableReplica {
        &self.replica
    }

    /// Records that a long poll returned changes after `waited`. Returns the pause before the
    /// next call, so that changes made in quick succession are read in one call.
    pub fn batch_pause(&mut self, waited: Duration, is_watcher: bool) -> Duration {
        let continues_batch = self.is_batching && waited < QUIET_PERIOD;
        self.is_batching = true;
        match (continues_batch, is_watcher) {
            (false, _) => FIRST_BATCH_PAUSE,
            (true, true) => REPEATED_BATCH_PAUSE,
            (true, false) => REPEATED_BATCH_PAUSE_NON_WATCHER,
        }
    }

    /// Records a failed call and returns the pause before the next one. There is none before the
    /// table is read since its history is gone: the store answers.
    pub fn record_failure(&mut self, error: &RowStoreError) -> Duration {
        if *error == RowStoreError::HistoryGone && std::mem::take(&mut self.has_history) {
            self.successes_since_failure = Some(0);
            return Duration::ZERO;
        }
        let growth = 1_u32 << self.consecutive_failures.min(4);
        self.consecutive_failures += 1;
        self.successes_since_failure = Some(0);
        (MIN_BACKOFF * growth).min(MAX_BACKOFF)
    }

    fn record_success(&mut self) {
        self.consecutive_failures = 0;
        self.successes_since_failure = self.successes_since_failure.map(|successes| successes + 1);
    }
}
