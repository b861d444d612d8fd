//! Interface to a store of versioned rows with a change feed, independent of its provider.

use std::future::Future;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use thiserror::Error;

/// Version of a row or of a table. It increases with every change.
pub type RowVersion = u64;

/// Future returned by the calls of a [`RowStore`].
pub type StoreFuture<'a, T> = Pin<Box<dyn Future<Output = Result<T, RowStoreError>> + Send + 'a>>;

/// A row as stored.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoredRow {
    /// Key of the row within its table.
    pub key: String,
    /// Value of the row; `None` if the row was removed.
    pub value: Option<Vec<u8>>,
    /// Version of the change that wrote or removed the row.
    pub version: RowVersion,
}

/// Rows together with the table version up to which they were read.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct VersionedRows {
    /// All rows of the table, or the changed ones.
    pub rows: Vec<StoredRow>,
    /// Version of the table.
    pub version: RowVersion,
}

/// A conditional write of one row.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RowWrite {
    /// Table of the row.
    pub table: String,
    /// Key of the row.
    pub key: String,
    /// Version that the row must have; 0 if it must not exist.
    pub expected: RowVersion,
    /// New value of the row.
    pub value: Vec<u8>,
}

/// A failed call to the store.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum RowStoreError {
    /// The store rejected the call, or it could not be sent; nothing was written.
    #[error("request rejected: {0}")]
    Refused(String),
    /// No response was received; a write may have been applied, or may still be applied later.
    #[error("no response from the store: {0}")]
    Unanswered(String),
    /// The store no longer retains the requested changes.
    #[error("the requested change history is no longer available")]
    HistoryGone,
    /// The row does not have the expected version.
    #[error("version conflict: the row does not have the expected version")]
    Conflict {
        /// Current row; `None` if it does not exist.
        current: Option<StoredRow>,
    },
    /// The response cannot be decoded.
    #[error("malformed response from the store: {0}")]
    Malformed(String),
}

/// Shows whether the response to a call has started to arrive.
#[derive(Debug, Default)]
pub struct ResponseProgress(AtomicBool);

impl ResponseProgress {
    /// Records that the first bytes of the response have arrived.
    pub fn mark_started(&self) {
        self.0.store(true, Ordering::Relaxed);
    }

    /// Whether the first bytes of the response have arrived.
    pub fn has_started(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

/// A store of versioned rows. Responses may be stale after the store has lost history.
pub trait RowStore: Send + Sync {
    /// Reads all rows of a table.
    fn read<'a>(&'a self, table: &'a str) -> StoreFuture<'a, VersionedRows>;

    /// Long-polls for rows of a table that changed after a version. Returns as soon as
    /// there are any, or no rows if none changes within `wait`. Marks `progress` when the
    /// response starts to arrive.
    fn changes<'a>(
        &'a self,
        table: &'a str,
        after: RowVersion,
        wait: Duration,
        progress: &'a ResponseProgress,
    ) -> StoreFuture<'a, VersionedRows>;

    /// Writes one row if its condition holds, and returns its new version.
    fn write(&self, write: RowWrite) -> StoreFuture<'_, RowVersion>;
}
