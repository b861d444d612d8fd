//! Copy-on-write set of the named entries of a tree, divided into hash buckets.
//!
//! Cloning a set copies one pointer per bucket, and changing an entry copies one bucket. Sets are
//! compared by the checksums of their buckets, so that equal buckets are skipped.

use std::collections::HashSet;
use std::sync::Arc;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::checksum::Checksum;
use crate::error::{Fault, SettingsError};
use crate::tree::Tree;

/// A named entry of a tree: a route or an organisation.
pub(crate) trait Entry: Clone + Eq {
    /// Content without the name.
    type Content: Clone + DeserializeOwned + PartialEq + Serialize;
    /// Prefix of the entry paths in a tree, up to the name.
    const PATH_PREFIX: &'static str;
    /// Number of buckets. All daemons must use the same number, because checksums are exchanged
    /// per bucket.
    const BUCKETS: usize;

    /// Creates an entry if its name and content are valid.
    fn try_new(name: &str, content: Self::Content) -> Result<Self, SettingsError>;
    /// Fault for a value that cannot be deserialized as content.
    fn parse_fault(reason: String) -> Fault;
    /// Name, unique within a set.
    fn name(&self) -> &str;
    /// Content without the name.
    fn content(&self) -> &Self::Content;
    /// Values derived from the name and the content.
    fn metadata(&self) -> &EntryMetadata;
    /// Whether the content names home regions.
    fn has_homes(&self) -> bool {
        false
    }
    /// All entries of this type in a tree.
    fn set_of(tree: &Tree) -> &EntrySet<Self>;
    /// Mutable access to all entries of this type in a tree.
    fn set_of_mut(tree: &mut Tree) -> &mut EntrySet<Self>;

    /// Creates an entry from the JSON form of its content.
    fn parse(name: &str, value: &Value) -> Result<Self, SettingsError> {
        let content = Self::Content::deserialize(value).map_err(|error| {
            let path = format!("{}{name}", Self::PATH_PREFIX);
            SettingsError::at(path, Self::parse_fault(error.to_string()))
        })?;
        Self::try_new(name, content)
    }

    /// JSON form of the content.
    fn to_json(&self) -> Value {
        serde_json::to_value(self.content()).expect("content has string keys")
    }
}

/// Values derived from the name and content of an entry.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct EntryMetadata {
    /// Hash of the name.
    pub(crate) hash: u32,
    /// Checksum of name and content.
    pub(crate) sum: Checksum,
    /// Length of the content's JSON form, in bytes.
    pub(crate) bytes: usize,
}

impl EntryMetadata {
    pub(crate) fn of(name: &str, content: &impl Serialize) -> Self {
        let json = serde_json::to_vec(content).expect("content has string keys");
        EntryMetadata {
            hash: name_hash(name),
            sum: Checksum::of(name, &json),
            bytes: json.len(),
        }
    }
}

#[derive(Clone, Debug, Eq, PartialEq)]
struct Bucket<E> {
    sum: Checksum,
    /// Sorted by the hash of the name, then by name.
    entries: Vec<Arc<E>>,
    /// Number of entries that name home regions.
    with_homes: usize,
}

impl<E> Default for Bucket<E> {
    fn default() -> Self {
        Bucket {
            sum: Checksum::default(),
            entries: Vec::new(),
            with_homes: 0,
        }
    }
}

impl<E: Entry> Bucket<E> {
    fn position(&self, name: &str) -> Result<usize, usize> {
        let key = (name_hash(name), name);
        self.entries
            .binary_search_by(|entry| (entry.metadata().hash, entry.name()).cmp(&key))
    }

    fn get(&self, name: &str) -> Option<&Arc<E>> {
        self.position(name).ok().map(|at| &self.entries[at])
    }
}

/// Entries by name.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct EntrySet<E> {
    buckets: Vec<Arc<Bucket<E>>>,
    count: usize,
    sum: Checksum,
}

impl<E: Entry> Default for EntrySet<E> {
    fn default() -> Self {
        EntrySet {
            buckets: (0..E::BUCKETS).map(|_| Arc::default()).collect(),
            count: 0,
            sum: Checksum::default(),
        }
    }
}

/// One entry that differs between two sets.
#[derive(Clone, Debug)]
pub(crate) struct EntryChange<E> {
    pub(crate) old: Option<Arc<E>>,
    pub(crate) new: Option<Arc<E>>,
}

impl<E: Entry> EntrySet<E> {
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

    /// Adds an entry, replacing any of the same name.
    pub(crate) fn put(&mut self, entry: Arc<E>) {
        self.remove(entry.name());
        self.count += 1;
        self.sum.add(entry.metadata().sum);
        let bucket = Arc::make_mut(&mut self.buckets[Self::bucket_of(entry.name())]);
        bucket.sum.add(entry.metadata().sum);
        bucket.with_homes += usize::from(entry.has_homes());
        if let Err(at) = bucket.position(entry.name()) {
            bucket.entries.insert(at, entry);
        }
    }

    /// Removes and returns an entry.
    pub(crate) fn remove(&mut self, name: &str) -> Option<Arc<E>> {
        let shared = &mut self.buckets[Self::bucket_of(name)];
        let at = shared.position(name).ok()?;
        let bucket = Arc::make_mut(shared);
        let entry = bucket.entries.remove(at);
        bucket.sum.subtract(entry.metadata().sum);
        bucket.with_homes -= usize::from(entry.has_homes());
        self.count -= 1;
        self.sum.subtract(entry.metadata().sum);
        Some(entry)
    }

    /// Replaces all entries. Buckets whose entries are unchanged stay shared. If several entries
    /// have the same name, the last one takes effect.
    pub(crate) fn replace_all(&mut self, entries: &[Arc<E>]) {
        for entry in entries {
            if self.get(entry.name()) != Some(entry) {
                self.put(Arc::clone(entry));
            }
        }
        let names: HashSet<&str> = entries.iter().map(|entry| entry.name()).collect();
        if names.len() == self.count {
            return;
        }
        let obsolete = self.iter().filter(|entry| !names.contains(entry.name()));
        let obsolete: Vec<Arc<E>> = obsolete.cloned().collect();
        for entry in obsolete {
            self.remove(entry.name());
        }
    }

    /// Whether any entry names home regions.
    pub(crate) fn any_homes(&self) -> bool {
        self.buckets.iter().any(|bucket| bucket.with_homes > 0)
    }

    /// Checksum of all entries.
    pub(crate) fn sum(&self) -> Checksum {
        self.sum
    }

    pub(crate) fn bucket_sum(&self, bucket: usize) -> Checksum {
        self.buckets[bucket].sum
    }

    pub(crate) fn bucket(&self, bucket: usize) -> &[Arc<E>] {
        &self.buckets[bucket].entries
    }

    /// The entries that differ between two sets.
    pub(crate) fn changes(old: &Self, new: &Self) -> Vec<EntryChange<E>> {
        let both = old.buckets.iter().zip(&new.buckets);
        let differing = both.filter(|(old, new)| !Arc::ptr_eq(old, new) && old.sum != new.sum);
        differing
            .flat_map(|(old, new)| bucket_changes(old, new))
            .collect()
    }

    /// Entries of the bucket for names with the given hash.
    pub(crate) fn bucket_by_hash(&self, hash: u32) -> &[Arc<E>] {
        self.bucket(hash as usize % E::BUCKETS)
    }

    /// Index of the bucket for a name.
    pub(crate) fn bucket_of(name: &str) -> usize {
        name_hash(name) as usize % E::BUCKETS
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

/// 32-bit FNV-1a hash of a name. All daemons must compute the same hash, because buckets are
/// exchanged by number.
fn name_hash(name: &str) -> u32 {
    const OFFSET: u32 = 0x811c_9dc5;
    const PRIME: u32 = 0x0100_0193;
    name.bytes().fold(OFFSET, |hash, byte| {
        (hash ^ u32::from(byte)).wrapping_mul(PRIME)
    })
}
