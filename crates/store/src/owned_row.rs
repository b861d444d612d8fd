//! A row with a single writer, updated by compare-and-set on the last observed version.
//! The store may apply a write late, after the call has failed without a response. The
//! version check prevents such a write from overwriting a newer one, and the row returned
//! by the store then shows which value was stored.

use crate::row_store::{RowVersion, RowWrite, StoredRow};

/// Desired and last known stored value of a row.
#[derive(Clone, Debug)]
pub struct OwnedRow {
    table: String,
    key: String,
    desired: Option<Vec<u8>>,
    stored: Option<Vec<u8>>,
    version: RowVersion,
}

impl OwnedRow {
    /// Creates the state of a row with no known stored value and no desired value.
    pub fn new(table: &str, key: &str) -> Self {
        OwnedRow {
            table: table.to_owned(),
            key: key.to_owned(),
            desired: None,
            stored: None,
            version: 0,
        }
    }

    /// Key of the row.
    pub fn key(&self) -> &str {
        &self.key
    }

    /// Sets the desired value.
    pub fn set_desired(&mut self, value: Vec<u8>) {
        self.desired = Some(value);
    }

    /// Whether the last known stored value equals the desired one, or none is desired.
    pub fn is_settled(&self) -> bool {
        self.desired.is_none() || self.desired == self.stored
    }

    /// Returns the write needed to store the desired value, if any.
    pub fn next_write(&self) -> Option<RowWrite> {
        if self.is_settled() {
            return None;
        }
        Some(RowWrite {
            table: self.table.clone(),
            key: self.key.clone(),
            expected: self.version,
            value: self.desired.clone()?,
        })
    }

    /// Records a successful write that produced `version`.
    pub fn record_write(&mut self, value: Vec<u8>, version: RowVersion) {
        if version > self.version {
            self.stored = Some(value);
            self.version = version;
        }
    }

    /// Records the row as returned by the store. Ignored unless it is newer than the
    /// last known version.
    pub fn observe(&mut self, row: &StoredRow) {
        if row.version > self.version {
            self.stored = row.value.clone();
            self.version = row.version;
        }
    }

    /// Records that the store has no such row.
    pub fn observe_absent(&mut self) {
        self.stored = None;
        self.version = 0;
    }
}
