//! A copy of one table, kept from the store's answers and from what peers pass on.
//!
//! Answers can be old after the store lost its history, and what peers pass on can be
//! lost, repeated or out of order. So a row counts only if its version is above the one
//! held, and the version up to which the copy is complete only rises.
//!
//! A copy that was read whole does not know which rows were removed before. Its deltas carry a
//! digest of the rows up to the version of that read. If the receiver's digest differs, the two
//! compare per-bucket sums and then the keys in the buckets that differ, so that the cost of a
//! missed removal does not include sending the whole table.

use std::collections::{BTreeMap, HashSet};

use crate::row_store::{RowVersion, RowsAt, StoredRow};

/// Number of hash buckets for the keys of a table. Must be the same at every daemon. The sums take
/// 512 bytes in a request, before encoding.
const BUCKETS: usize = 64;

/// Digest of the rows that are present and have not changed since a version.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RowDigest {
    /// Rows with a later version are excluded.
    pub through: RowVersion,
    /// XOR of the hashes of key and version of the included rows.
    pub sum: u64,
}

/// What a peer knows of a table: all changes after one version and up to another.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RowDelta {
    /// Changes up to this version are excluded.
    pub after: RowVersion,
    /// Nothing up to this version is missing.
    pub through: RowVersion,
    /// The rows; a row that was removed after `after` has no value.
    pub rows: Vec<StoredRow>,
    /// Present if the sender may have missed removals after `after`.
    pub digest: Option<RowDigest>,
}

/// What is missing after a delta was taken, so that it must be asked for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Missing {
    /// Changes before the delta.
    Changes {
        /// The version up to which the copy is complete.
        after: RowVersion,
    },
    /// Removals that the sender cannot list: keys have to be compared.
    Removals(KeyAsk),
}

/// Request for the keys in the buckets that differ.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KeyAsk {
    /// The version up to which the asker's copy is complete.
    pub after: RowVersion,
    /// Sums of the asker's buckets, indexed by bucket number.
    pub sums: Vec<u64>,
}

/// Reply to a [`KeyAsk`].
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct KeyReply {
    /// The changes after the asker's version.
    pub delta: RowDelta,
    /// Numbers of the buckets that differ.
    pub buckets: Vec<u8>,
    /// All keys in those buckets.
    pub keys: Vec<String>,
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
        let news = self.take_rows(delta.rows);
        let missing = self.missing_after(delta.after, delta.digest);
        if missing.is_none() {
            self.advance_through(delta.through, delta.digest.is_some());
        }
        DeltaTaken { news, missing }
    }

    /// What is missing when the rows after a version were taken.
    fn missing_after(&self, after: RowVersion, digest: Option<RowDigest>) -> Option<Missing> {
        if after > self.through {
            let after = self.through;
            return Some(Missing::Changes { after });
        }
        let has_all = digest.is_none_or(|digest| digest == self.digest(digest.through));
        (!has_all).then(|| Missing::Removals(self.key_ask()))
    }

    fn key_ask(&self) -> KeyAsk {
        KeyAsk {
            after: self.through,
            sums: self.bucket_sums(),
        }
    }

    /// Marks the copy as complete up to a version. `may_miss_removals` is set if removals before
    /// that version may be unknown here, so that deltas from before it need a digest.
    fn advance_through(&mut self, through: RowVersion, may_miss_removals: bool) {
        if through > self.through {
            self.through = through;
            if may_miss_removals {
                self.whole_at = through;
            }
        }
    }

    /// The rows that have not been removed.
    fn present(&self) -> impl Iterator<Item = &StoredRow> {
        self.rows.values().filter(|row| row.value.is_some())
    }

    /// Digest of the present rows up to a version, independent of their order.
    fn digest(&self, through: RowVersion) -> RowDigest {
        let rows = self.present().filter(|row| row.version <= through);
        let sum = rows.fold(0, |sum, row| sum ^ row_hash(row));
        RowDigest { through, sum }
    }

    /// XOR of the row hashes in each bucket.
    fn bucket_sums(&self) -> Vec<u64> {
        let mut sums = vec![0; BUCKETS];
        for row in self.present() {
            sums[bucket_index(&row.key)] ^= row_hash(row);
        }
        sums
    }

    /// Answers a peer's request to compare keys.
    pub fn key_reply(&self, ask: &KeyAsk) -> KeyReply {
        let own_sums = self.bucket_sums();
        let differs = |bucket: &usize| ask.sums.get(*bucket) != own_sums.get(*bucket);
        let buckets: Vec<usize> = (0..BUCKETS).filter(differs).collect();
        let in_differing_bucket = |row: &&StoredRow| buckets.contains(&bucket_index(&row.key));
        let keys = self
            .present()
            .filter(in_differing_bucket)
            .map(|row| row.key.clone());
        KeyReply {
            delta: RowDelta {
                digest: None,
                ..self.delta_after(ask.after)
            },
            keys: keys.collect(),
            buckets: buckets.iter().map(|bucket| *bucket as u8).collect(),
        }
    }

    /// Takes a peer's reply to a key comparison. Rows in the compared buckets that are older than
    /// the reply and not among its keys were removed. Returns the news.
    pub fn take_keys(&mut self, reply: KeyReply) -> Vec<StoredRow> {
        let KeyReply {
            delta,
            buckets,
            keys,
        } = reply;
        let mut news = self.take_rows(delta.rows);
        let keys: HashSet<String> = keys.into_iter().collect();
        let is_removed = |row: &&StoredRow| {
            let bucket = bucket_index(&row.key) as u8;
            row.version < delta.through && buckets.contains(&bucket) && !keys.contains(&row.key)
        };
        let removed = self.present().filter(is_removed);
        let removed: Vec<StoredRow> = removed.map(|row| removed_at(row, delta.through)).collect();
        news.extend(self.take_rows(removed));
        if delta.after <= self.through {
            self.advance_through(delta.through, true);
        }
        news
    }

    /// The changes after a version, for a peer that is complete up to there.
    pub fn delta_after(&self, after: RowVersion) -> RowDelta {
        let changed = self.rows.values().filter(|row| row.version > after);
        RowDelta {
            after,
            through: self.through,
            rows: changed.cloned().collect(),
            digest: (after < self.whole_at).then(|| self.digest(self.whole_at)),
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
        let there: HashSet<&str> = table.rows.iter().map(|row| row.key.as_str()).collect();
        let held = self.present();
        held.filter(|row| row.version < table.version && !there.contains(row.key.as_str()))
            .map(|row| removed_at(row, table.version))
            .collect()
    }
}

fn removed_at(row: &StoredRow, version: RowVersion) -> StoredRow {
    StoredRow {
        key: row.key.clone(),
        value: None,
        version,
    }
}

/// 64-bit FNV-1a. The standard library's hasher may differ between builds, and daemons compare
/// these hashes: a bucket that two of them number differently would remove rows that are there.
fn fnv1a(bytes: impl Iterator<Item = u8>) -> u64 {
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    bytes.fold(OFFSET, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(PRIME)
    })
}

fn row_hash(row: &StoredRow) -> u64 {
    fnv1a(row.key.bytes().chain(row.version.to_le_bytes()))
}

fn bucket_index(key: &str) -> usize {
    (fnv1a(key.bytes()) % BUCKETS as u64) as usize
}
