//! A replica of one table, updated from store responses and from changes forwarded by peers.
//!
//! Store responses can be stale after the store has lost its history, and forwarded changes
//! can be lost, duplicated or reordered. A row is therefore applied only if its version is
//! higher than the one held, and the version up to which the replica is complete never
//! decreases.
//!
//! A replica that was read as a whole table does not know which rows were removed before. Its
//! deltas carry a digest of the rows up to the version of that read. If the receiver's digest
//! differs, the two compare per-bucket sums and then the keys in the buckets that differ, so that
//! the cost of a missed removal does not include sending the whole table.

use std::collections::{BTreeMap, HashSet};

use crate::row_store::{RowVersion, StoredRow, VersionedRows};

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

/// All changes of a table after one version and up to another, as known to a peer.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RowDelta {
    /// Changes up to this version are excluded.
    pub after: RowVersion,
    /// Version up to which the delta is complete.
    pub through: RowVersion,
    /// The rows; a row that was removed after `after` has no value.
    pub rows: Vec<StoredRow>,
    /// Present if the sender may have missed removals after `after`.
    pub digest: Option<RowDigest>,
}

/// Data that is still missing after a delta was applied and must be requested from its sender.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Missing {
    /// Changes before the delta.
    Changes {
        /// Version up to which the replica is complete.
        after: RowVersion,
    },
    /// Removals that the sender cannot list, so that keys must be compared.
    Removals(KeyRequest),
}

/// Request for the keys in the buckets that differ.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KeyRequest {
    /// Version up to which the requester's replica is complete.
    pub after: RowVersion,
    /// Sums of the requester's buckets, indexed by bucket number.
    pub sums: Vec<u64>,
}

/// Reply to a [`KeyRequest`].
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct KeyReply {
    /// Changes after the requester's version.
    pub delta: RowDelta,
    /// Numbers of the buckets that differ.
    pub buckets: Vec<u8>,
    /// All keys of present rows in those buckets.
    pub keys: Vec<String>,
}

/// Result of applying a delta.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct DeltaOutcome {
    /// Rows that changed in the replica.
    pub changed: Vec<StoredRow>,
    /// Data that is still missing.
    pub missing: Option<Missing>,
}

/// A replica of one table.
#[derive(Clone, Debug, Default)]
pub struct TableReplica {
    rows: BTreeMap<String, StoredRow>,
    through: RowVersion,
    /// Removals up to this version may be unknown here: it is the version of the last whole
    /// table applied, or of a delta from a peer with such a gap. Deltas that start before it
    /// need a digest.
    removals_known_after: RowVersion,
}

impl TableReplica {
    /// Version up to which the replica is complete.
    pub fn through(&self) -> RowVersion {
        self.through
    }

    /// Returns the last known row of a key; a removed row has no value.
    pub fn row(&self, key: &str) -> Option<&StoredRow> {
        self.rows.get(key)
    }

    /// Applies a read of the whole table. Returns the rows that changed, and those that no
    /// longer exist, without a value.
    pub fn apply_snapshot(&mut self, table: VersionedRows) -> Vec<StoredRow> {
        let removed = self.missing_from(&table);
        let mut changed = self.apply_rows(table.rows);
        changed.extend(self.apply_rows(removed));
        if table.version > self.through {
            self.through = table.version;
            self.removals_known_after = table.version;
        }
        changed
    }

    /// Applies the store's changes after [`TableReplica::through`] and returns the rows that
    /// changed in the replica.
    pub fn apply_changes(&mut self, changes: VersionedRows) -> Vec<StoredRow> {
        self.through = self.through.max(changes.version);
        self.apply_rows(changes.rows)
    }

    /// Applies a delta forwarded by a peer.
    pub fn apply_delta(&mut self, delta: RowDelta) -> DeltaOutcome {
        let changed = self.apply_rows(delta.rows);
        let missing = self.missing_after(delta.after, delta.digest);
        if missing.is_none() {
            self.advance_through(delta.through, delta.digest.is_some());
        }
        DeltaOutcome { changed, missing }
    }

    /// Returns the data that is missing after the rows of a delta were applied.
    fn missing_after(&self, after: RowVersion, digest: Option<RowDigest>) -> Option<Missing> {
        if after > self.through {
            let after = self.through;
            return Some(Missing::Changes { after });
        }
        let has_all = digest.is_none_or(|digest| digest == self.digest(digest.through));
        (!has_all).then(|| Missing::Removals(self.key_request()))
    }

    fn key_request(&self) -> KeyRequest {
        KeyRequest {
            after: self.through,
            sums: self.bucket_sums(),
        }
    }

    /// Marks the replica as complete up to a version. `may_miss_removals` is set if removals
    /// before that version may be unknown here, so that deltas from before it need a digest.
    fn advance_through(&mut self, through: RowVersion, may_miss_removals: bool) {
        if through > self.through {
            self.through = through;
            if may_miss_removals {
                self.removals_known_after = through;
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
    pub fn key_reply(&self, request: &KeyRequest) -> KeyReply {
        let own_sums = self.bucket_sums();
        let differs = |bucket: &usize| request.sums.get(*bucket) != own_sums.get(*bucket);
        let buckets: Vec<usize> = (0..BUCKETS).filter(differs).collect();
        let in_differing_bucket = |row: &&StoredRow| buckets.contains(&bucket_index(&row.key));
        let keys = self
            .present()
            .filter(in_differing_bucket)
            .map(|row| row.key.clone());
        KeyReply {
            delta: RowDelta {
                digest: None,
                ..self.delta_after(request.after)
            },
            keys: keys.collect(),
            buckets: buckets.iter().map(|bucket| *bucket as u8).collect(),
        }
    }

    /// Applies a peer's reply to a key comparison. Rows in the compared buckets that are older
    /// than the reply and not among its keys were removed. Returns the rows that changed.
    pub fn apply_key_reply(&mut self, reply: KeyReply) -> Vec<StoredRow> {
        let KeyReply {
            delta,
            buckets,
            keys,
        } = reply;
        let mut changed = self.apply_rows(delta.rows);
        let keys: HashSet<String> = keys.into_iter().collect();
        let is_removed = |row: &&StoredRow| {
            let bucket = bucket_index(&row.key) as u8;
            row.version < delta.through && buckets.contains(&bucket) && !keys.contains(&row.key)
        };
        let removed = self.present().filter(is_removed);
        let removed: Vec<StoredRow> = removed.map(|row| removed_at(row, delta.through)).collect();
        changed.extend(self.apply_rows(removed));
        if delta.after <= self.through {
            self.advance_through(delta.through, true);
        }
        changed
    }

    /// Returns the changes after a version, for a peer whose replica is complete up to it.
    pub fn delta_after(&self, after: RowVersion) -> RowDelta {
        let changed = self.rows.values().filter(|row| row.version > after);
        RowDelta {
            after,
            through: self.through,
            rows: changed.cloned().collect(),
            digest: (after < self.removals_known_after)
                .then(|| self.digest(self.removals_known_after)),
        }
    }

    fn apply_rows(&mut self, rows: Vec<StoredRow>) -> Vec<StoredRow> {
        let mut changed = Vec::new();
        for row in rows {
            let held = self.rows.get(&row.key).map_or(0, |held| held.version);
            // The replica was complete at `removals_known_after`, so a row up to that version
            // that it does not hold has been removed.
            if row.version > held.max(self.removals_known_after) {
                self.rows.insert(row.key.clone(), row.clone());
                changed.push(row);
            }
        }
        changed
    }

    /// Returns held rows, as removed, that are older than the given table and absent from it.
    fn missing_from(&self, table: &VersionedRows) -> Vec<StoredRow> {
        let keys: HashSet<&str> = table.rows.iter().map(|row| row.key.as_str()).collect();
        let held = self.present();
        held.filter(|row| row.version < table.version && !keys.contains(row.key.as_str()))
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

/// 64-bit FNV-1a, for hashes that daemons compare: the standard library's hasher may differ
/// between builds, and a bucket that two of them number differently would remove rows that are
/// there.
pub fn fnv1a(bytes: impl Iterator<Item = u8>) -> u64 {
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
