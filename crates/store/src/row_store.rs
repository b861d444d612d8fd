//! A store of versioned rows that can be followed by a feed: what the product
//! asks of it, whoever provides it.

use std::future::Future;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use thiserror::Error;

/// Version of a row or of a whole table's state. It rises with every change.
pub type RowVersion = u64;

/// A call to the store in progress.
pub type StoreCall<'a, T> = Pin<Box<dyn Future<Output = Result<T, RowStoreError>> + Send + 'a>>;

/// One row as the store holds it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoredRow {
    /// Its key in its table.
    pub key: String,
    /// Its value; absent where the row was removed.
    pub value: Option<Vec<u8>>,
    /// Version of the change that made it so.
    pub version: RowVersion,
}

/// Rows with the version of the state they belong to.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RowsAt {
    /// The rows.
    pub rows: Vec<StoredRow>,
    /// Version of the state.
    pub version: RowVersion,
}

/// A change of one row under a condition.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RowWrite {
    /// Table of the row.
    pub table: String,
    /// Key of the row.
    pub key: String,
    /// Version that the row must have; 0 where it must be absent.
    pub expected: RowVersion,
    /// The value to put.
    pub value: Vec<u8>,
}

/// Why a call to the store brought nothing.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum RowStoreError {
    /// The store refused the call; nothing was done.
    #[error("refused: {0}")]
    Refused(String),
    /// No answer came; a write may have been done, or may be done later.
    #[error("no answer: {0}")]
    Unanswered(String),
    /// The changes asked for are no longer kept.
    #[error("the history asked for is gone")]
    HistoryGone,
    /// The row does not have the expected version.
    #[error("the row has another version")]
    Conflict {
        /// The row as it is; absent where there is none.
        current: Option<StoredRow>,
    },
    /// The answer cannot be read.
    #[error("malformed answer: {0}")]
    Malformed(String),
}

/// Whether the answer of a call has begun to come.
#[derive(Debug, Default)]
pub struct Answering(AtomicBool);

impl Answering {
    /// Its first bytes came.
    pub fn begin(&self) {
        self.0.store(true, Ordering::Relaxed);
    }

    /// Whether they did.
    pub fn has_begun(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

/// A store of versioned rows. Answers may be old after history was lost.
pub trait RowStore: Send + Sync {
    /// All rows of a table.
    fn read<'a>(&'a self, table: &'a str) -> StoreCall<'a, RowsAt>;

    /// Rows of a table that changed after a version, as soon as there are any;
    /// none where `wait` passes without a change. The answer says when it begins.
    fn changes<'a>(
        &'a self,
        table: &'a str,
        after: RowVersion,
        wait: Duration,
        answering: &'a Answering,
    ) -> StoreCall<'a, RowsAt>;

    /// Writes one row if its condition holds, and returns its new version.
    fn write(&self, write: RowWrite) -> StoreCall<'_, RowVersion>;
}
