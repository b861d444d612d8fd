//! Named entries of a tree, in buckets that are shared between trees.
//!
//! Cloning a set copies one pointer per bucket, and changing an entry copies one bucket. Sets are
//! compared by the sums of their buckets, so that equal buckets are skipped.

use std::sync::Arc;

use crate::sum::Sum;

/// An entry that a set can hold.
pub(crate) trait Entry: Eq {
    /// Name, unique within a set.
    fn name(&self) -> &str;
    /// Sum over name and content.
    fn sum(&self) -> Sum;
    /// Length of its JSON form, in bytes.
    fn bytes(&self) -> usize;
}

#[derive(Clone, Debug, Eq, PartialEq)]
struct Bucket<E> {
    sum: Sum,
    /// Sorted by the hash of the name, then by name.
    entries: Vec<Arc<E>>,
}

impl<E> Default for Bucket<E> {
    fn default() -> Self {
        Bucket {
            sum: Sum::default(),
            entries: Vec::new(),
        }
    }
}

impl<E: Entry> Bucket<E> {
    fn position(&self, name: &str) -> Result<usize, usize> {
        let key = (name_hash(name), name);
        self.entries
            .binary_search_by(|entry| (name_hash(entry.name()), entry.name()).cmp(&key))
    }

    fn get(&self, name: &str) -> Option<&Arc<E>> {
        self.position(name).ok().map(|at| &self.entries[at])
    }
}

/// Entries by name, in `BUCKETS` buckets. All daemons must use the same number, because sums are
/// exchanged per bucket.
#[derive(Debug, Eq, PartialEq)]
pub(crate) struct EntrySet<E, const BUCKETS: usize> {
    buckets: Vec<Arc<Bucket<E>>>,
    count: usize,
}

impl<E, const BUCKETS: usize> Clone for EntrySet<E, BUCKETS> {
    fn clone(&self) -> Self {
        EntrySet {
            buckets: self.buckets.clone(),
            count: self.count,
        }
    }
}

impl<E, const BUCKETS: usize> Default for EntrySet<E, BUCKETS> {
    fn default() -> Self {
        EntrySet {
            buckets: (0..BUCKETS).map(|_| Arc::default()).collect(),
            count: 0,
        }
    }
}

/// One entry that differs between two sets.
#[derive(Clone, Debug)]
pub(crate) struct EntryChange<E> {
    pub(crate) old: Option<Arc<E>>,
    pub(crate) new: Option<Arc<E>>,
}

impl<E: Entry + Clone, const BUCKETS: usize> EntrySet<E, BUCKETS> {
    pub(crate) fn len(&self) -> usize {
        self.count
    }

    pub(crate) fn get(&self, name: &str) -> Option<&Arc<E>> {
        self.buckets[Self::bucket_of(name)].get(name)
    }

    /// All entries, in unspecified order.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &Arc<E>> {
        self.buckets.iter().flat_map(|bucket| &bucket.entries)
    }

    /// Adds an entry and returns the one of the same name that it replaced.
    pub(crate) fn put(&mut self, entry: Arc<E>) -> Option<Arc<E>> {
        let replaced = self.remove(entry.name());
        self.count += 1;
        let bucket = Arc::make_mut(&mut self.buckets[Self::bucket_of(entry.name())]);
        bucket.sum.add(entry.sum());
        if let Err(at) = bucket.position(entry.name()) {
            bucket.entries.insert(at, entry);
        }
        replaced
    }

    /// Removes and returns an entry.
    pub(crate) fn remove(&mut self, name: &str) -> Option<Arc<E>> {
        let shared = &mut self.buckets[Self::bucket_of(name)];
        let at = shared.position(name).ok()?;
        let bucket = Arc::make_mut(shared);
        let entry = bucket.entries.remove(at);
        bucket.sum.subtract(entry.sum());
        self.count -= 1;
        Some(entry)
    }

    pub(crate) fn bucket_sum(&self, bucket: usize) -> Sum {
        self.buckets[bucket].sum
    }

    pub(crate) fn bucket(&self, bucket: usize) -> &[Arc<E>] {
        &self.buckets[bucket].entries
    }

    /// The entries that differ between two sets.
    pub(crate) fn changes(old: &Self, new: &Self) -> Vec<EntryChange<E>> {
        let both = old.buckets.iter().zip(&new.buckets);
        let differ = both.filter(|(old, new)| !Arc::ptr_eq(old, new) && old.sum != new.sum);
        differ
            .flat_map(|(old, new)| bucket_changes(old, new))
            .collect()
    }

    /// Number of the bucket for a name.
    pub(crate) fn bucket_of(name: &str) -> usize {
        name_hash(name) as usize % BUCKETS
    }
}

fn bucket_changes<E: Entry>(old: &Bucket<E>, new: &Bucket<E>) -> Vec<EntryChange<E>> {
    let removed = old
        .entries
        .iter()
        .filter(|entry| new.get(entry.name()).is_none());
    let removed = removed.map(|entry| EntryChange {
        old: Some(Arc::clone(entry)),
        new: None,
    });
    let put = new.entries.iter().map(|entry| EntryChange {
        old: old.get(entry.name()).cloned(),
        new: Some(Arc::clone(entry)),
    });
    let put = put.filter(|change| change.old != change.new);
    removed.chain(put).collect()
}

/// 32-bit FNV-1a hash of a name, identical at every daemon.
pub(crate) fn name_hash(name: &str) -> u32 {
    const OFFSET: u32 = 0x811c_9dc5;
    const PRIME: u32 = 0x0100_0193;
    name.bytes().fold(OFFSET, |hash, byte| {
        (hash ^ u32::from(byte)).wrapping_mul(PRIME)
    })
}
