//! One row that a single writer keeps up to date, under a condition on the version
//! last seen. A write that was left without an answer may be done later; the
//! condition keeps it from undoing a newer one, and the row as the store tells it
//! settles what stands.

use crate::row_store::{RowVersion, RowWrite, StoredRow};

/// What should stand in the row, and what does as far as is known.
#[derive(Clone, Debug)]
pub struct OwnRow {
    table: String,
    key: String,
    wanted: Option<Vec<u8>>,
    stored: Option<Vec<u8>>,
    version: RowVersion,
}

impl OwnRow {
    /// A row of which nothing is known and nothing wanted.
    pub fn new(table: &str, key: &str) -> Self {
        OwnRow {
            table: table.to_owned(),
            key: key.to_owned(),
            wanted: None,
            stored: None,
            version: 0,
        }
    }

    /// Key of the row.
    pub fn key(&self) -> &str {
        &self.key
    }

    /// Asks for a value to stand in the row.
    pub fn want(&mut self, value: Vec<u8>) {
        self.wanted = Some(value);
    }

    /// Whether what is wanted stands in the row.
    pub fn is_settled(&self) -> bool {
        self.wanted.is_none() || self.wanted == self.stored
    }

    /// The write that is needed, if any.
    pub fn next_write(&self) -> Option<RowWrite> {
        if self.is_settled() {
            return None;
        }
        Some(RowWrite {
            table: self.table.clone(),
            key: self.key.clone(),
            expected: self.version,
            value: self.wanted.clone()?,
        })
    }

    /// A write was done and made this version.
    pub fn written(&mut self, value: Vec<u8>, version: RowVersion) {
        if version > self.version {
            self.stored = Some(value);
            self.version = version;
        }
    }

    /// The row as the store tells it; one that is older than what is known counts
    /// for nothing.
    pub fn seen(&mut self, row: &StoredRow) {
        if row.version > self.version {
            self.stored = row.value.clone();
            self.version = row.version;
        }
    }

    /// The store says that there is no row.
    pub fn seen_absent(&mut self) {
        self.stored = None;
        self.version = 0;
    }
}
