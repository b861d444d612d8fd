//! A copy of one table, kept from the store's answers and from what peers pass on.
//!
//! Answers can be old after the store lost its history, and what peers pass on can be
//! lost, repeated or out of order. So a row counts only if its version is above the one
//! held, and the version up to which the copy is complete only rises.

use std::collections::BTreeMap;
use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};

use crate::row_store::{RowVersion, RowsAt, StoredRow};

/// What a peer knows of a table: all changes after one version and up to another, or the
/// whole table.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RowDelta {
    /// What took place up to this version is left out; absent where it is the whole table,
    /// in which rows that were removed are missing.
    pub after: Option<RowVersion>,
    /// Nothing up to this version is missing.
    pub through: RowVersion,
    /// The rows; a row that was removed after `after` has no value.
    pub rows: Vec<StoredRow>,
    /// Digest of all rows that the sender has, where it may not have heard of some that
    /// were removed after `after`.
    pub digest: Option<u64>,
}

/// What is missing after a delta was taken, so that it must be asked for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Missing {
    /// Changes before the delta.
    Changes {
        /// The version up to which the copy is complete.
        after: RowVersion,
    },
    /// Removals that the sender cannot tell one by one: the whole table is needed.
    Removals,
}

/// What became of a delta.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct DeltaTaken {
    /// Rows that were news.
    pub news: Vec<StoredRow>,
    /// What is still missing.
    pub missing: Option<Missing>,
}

/// A copy of one table.
#[derive(Clone, Debug, Default)]
pub struct RowCopy {
    rows: BTreeMap<String, StoredRow>,
    through: RowVersion,
    /// Version of the last whole table that was taken. What was removed before it may never
    /// have been heard of here, so a delta from before it needs a digest.
    whole_at: RowVersion,
}

impl RowCopy {
    /// The version up to which no change is missing.
    pub fn through(&self) -> RowVersion {
        self.through
    }

    /// The row under a key, as far as it is known; one that was removed has no value.
    pub fn row(&self, key: &str) -> Option<&StoredRow> {
        self.rows.get(key)
    }

    /// Takes the whole table as the store told it. Returns its news: rows that changed,
    /// and rows that are no longer there, without a value.
    pub fn take_table(&mut self, table: RowsAt) -> Vec<StoredRow> {
        let gone = self.missing_from(&table);
        let mut news = self.take_rows(table.rows);
        news.extend(self.take_rows(gone));
        if table.version > self.through {
            self.through = table.version;
            self.whole_at = table.version;
        }
        news
    }

    /// Takes changes that the store told after [`RowCopy::through`], and returns those
    /// that are news.
    pub fn take_changes(&mut self, changes: RowsAt) -> Vec<StoredRow> {
        self.through = self.through.max(changes.version);
        self.take_rows(changes.rows)
    }

    /// Takes what a peer passed on.
    pub fn take_delta(&mut self, delta: RowDelta) -> DeltaTaken {
        let Some(after) = delta.after else {
            let table = RowsAt {
                rows: delta.rows,
                version: delta.through,
            };
            return DeltaTaken {
                news: self.take_table(table),
                missing: None,
            };
        };
        let news = self.take_rows(delta.rows);
        let missing = self.missing_after(after, delta.digest);
        if missing.is_none() && delta.through > self.through {
            self.through = delta.through;
            if delta.digest.is_some() {
                self.whole_at = delta.through;
            }
        }
        DeltaTaken { news, missing }
    }

    /// What is missing when the rows after a version were taken.
    fn missing_after(&self, after: RowVersion, digest: Option<u64>) -> Option<Missing> {
        if after > self.through {
            let after = self.through;
            return Some(Missing::Changes { after });
        }
        let has_all = digest.is_none_or(|digest| digest == self.digest());
        (!has_all).then_some(Missing::Removals)
    }

    /// Digest of the rows that are there, whatever their order.
    fn digest(&self) -> u64 {
        let there = self.rows.values().filter(|row| row.value.is_some());
        there.fold(0, |digest, row| {
            let mut hasher = DefaultHasher::new();
            (&row.key, row.version).hash(&mut hasher);
            digest ^ hasher.finish()
        })
    }

    /// The changes after a version, for a peer that is complete up to there.
    pub fn delta_after(&self, after: RowVersion) -> RowDelta {
        let changed = self.rows.values().filter(|row| row.version > after);
        RowDelta {
            after: Some(after),
            through: self.through,
            rows: changed.cloned().collect(),
            digest: (after < self.whole_at).then(|| self.digest()),
        }
    }

    /// The whole table, for a peer.
    pub fn whole(&self) -> RowDelta {
        let there = self.rows.values().filter(|row| row.value.is_some());
        RowDelta {
            after: None,
            through: self.through,
            rows: there.cloned().collect(),
            digest: None,
        }
    }

    fn take_rows(&mut self, rows: Vec<StoredRow>) -> Vec<StoredRow> {
        let mut news = Vec::new();
        for row in rows {
            let held = self.rows.get(&row.key).map_or(0, |held| held.version);
            // An old row that the whole table did not have was removed.
            if row.version > held.max(self.whole_at) {
                self.rows.insert(row.key.clone(), row.clone());
                news.push(row);
            }
        }
        news
    }

    /// Rows that are held, were there before this state, and are missing from it.
    fn missing_from(&self, table: &RowsAt) -> Vec<StoredRow> {
        let there = |key: &str| table.rows.iter().any(|row| row.key == key);
        let held = self.rows.values().filter(|row| row.value.is_some());
        held.filter(|row| row.version < table.version && !there(&row.key))
            .map(|row| StoredRow {
                key: row.key.clone(),
                value: None,
                version: table.version,
            })
            .collect()
    }
}
