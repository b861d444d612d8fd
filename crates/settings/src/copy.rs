//! Incremental transfer of a tree: a source with a newer tree sends the parts that differ.
//!
//! A tree is divided into units: its levels, each bucket of its routes and each bucket of its
//! organisations. The receiver requests the changes since the tree that it has, identified by its
//! digest, and gets them in parts of bounded size. If the source does not know that tree, the
//! receiver sends the checksums of its units and gets the units that differ. Received parts are
//! kept if the receiver switches to another source or the source moves to another generation.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use serde_json::Value;
use thiserror::Error;

use crate::digest::Digest;
use crate::edit::TreeEdit;
use crate::entry_set::{Entry, EntrySet};
use crate::error::SettingsError;
use crate::organisation::{NamedOrganisation, Organisation};
use crate::route::{NamedRoute, Route};
use crate::tree::Tree;

/// Unit numbers: the levels, then the route buckets, then the organisation buckets.
const LEVELS_UNIT: u16 = 0;
const FIRST_ORGANISATION_UNIT: u16 = 1 + NamedRoute::BUCKETS as u16;
const UNIT_COUNT: u16 = FIRST_ORGANISATION_UNIT + NamedOrganisation::BUCKETS as u16;

/// Unit of a tree, decoded from its number.
enum Unit {
    /// The settings of all levels.
    Levels,
    /// A bucket of routes.
    Routes(u16),
    /// A bucket of organisations.
    Organisations(u16),
}

impl Unit {
    fn of(number: u16) -> Unit {
        match number {
            LEVELS_UNIT => Unit::Levels,
            bucket if bucket < FIRST_ORGANISATION_UNIT => Unit::Routes(bucket - 1),
            bucket => Unit::Organisations(bucket - FIRST_ORGANISATION_UNIT),
        }
    }
}

/// What the receiver of a copy already has.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CopyBase {
    /// A tree with this entries digest, plus the parts received since.
    Tree(Digest),
    /// Units with these checksums, starting at the first requested unit.
    Units(Vec<u64>),
}

/// Request for the next part of a tree.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CopyRequest {
    /// The first requested unit.
    pub first: u16,
    /// What the receiver already has.
    pub base: CopyBase,
}

/// Entry of a copied bucket.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct CopiedEntry<C> {
    /// Name of the entry.
    #[serde(rename = "n")]
    pub name: String,
    /// Content without the name.
    #[serde(rename = "c")]
    pub content: C,
}

/// A whole bucket, or the changes in a bucket.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct CopiedBucket<C> {
    /// Index of the bucket.
    #[serde(rename = "b")]
    pub number: u16,
    /// All entries, or the added and changed ones.
    #[serde(
        rename = "r",
        default = "Vec::new",
        skip_serializing_if = "Vec::is_empty"
    )]
    pub entries: Vec<CopiedEntry<C>>,
    /// Names of the removed entries; `None` if `entries` is the whole bucket.
    #[serde(rename = "d", default, skip_serializing_if = "Option::is_none")]
    pub removed: Option<Vec<String>>,
}

/// Units of a tree that differ from those of the receiver.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct TreePart {
    /// Nested JSON text of the levels, if they differ.
    #[serde(rename = "l", default, skip_serializing_if = "Option::is_none")]
    pub levels: Option<String>,
    /// Route buckets that differ.
    #[serde(rename = "b", default, skip_serializing_if = "Vec::is_empty")]
    pub buckets: Vec<CopiedBucket<Route>>,
    /// Organisation buckets that differ.
    #[serde(rename = "o", default, skip_serializing_if = "Vec::is_empty")]
    pub organisations: Vec<CopiedBucket<Organisation>>,
    /// The first unit that was not compared; `None` if all were.
    #[serde(rename = "n", default, skip_serializing_if = "Option::is_none")]
    pub next: Option<u16>,
}

impl Tree {
    /// Returns the first units from `first` on whose checksums differ from `sums`. No unit is added
    /// once the part has `limit` bytes, so only the last unit may exceed the limit.
    pub fn part_by_sums(&self, first: u16, sums: &[u64], limit: usize) -> TreePart {
        let sum = |unit: u16| sums.get(usize::from(unit - first));
        let differs = |unit| sum(unit).is_some_and(|sum| *sum != self.unit_sum(unit));
        self.part(None, first, limit, differs)
    }

    /// Like [`Tree::part_by_sums`], but returns the changes since `before`.
    pub fn part_since(&self, before: &Tree, first: u16, limit: usize) -> TreePart {
        let differs = |unit| before.unit_sum(unit) != self.unit_sum(unit);
        self.part(Some(before), first, limit, differs)
    }

    fn part(
        &self,
        before: Option<&Tree>,
        first: u16,
        limit: usize,
        differs: impl Fn(u16) -> bool,
    ) -> TreePart {
        let mut part = TreePart::default();
        let mut bytes = 0;
        for unit in (first..UNIT_COUNT).filter(|unit| differs(*unit)) {
            if bytes >= limit {
                part.next = Some(unit);
                break;
            }
            bytes += self.add_unit(before, Unit::of(unit), &mut part);
        }
        part
    }

    /// Adds a unit, or only its changes since `before`, to a part. Returns the size in bytes.
    fn add_unit(&self, before: Option<&Tree>, unit: Unit, part: &mut TreePart) -> usize {
        match unit {
            Unit::Levels => {
                let text = self.levels_json().to_string();
                part.levels.insert(text).len()
            }
            Unit::Routes(number) => {
                let (copied, bytes) = copy_bucket::<NamedRoute>(self, before, number);
                part.buckets.push(copied);
                bytes
            }
            Unit::Organisations(number) => {
                let (copied, bytes) = copy_bucket::<NamedOrganisation>(self, before, number);
                part.organisations.push(copied);
                bytes
            }
        }
    }

    fn unit_sum(&self, unit: u16) -> u64 {
        let sum = match Unit::of(unit) {
            Unit::Levels => self.levels_sum(),
            Unit::Routes(bucket) => self.route_set().bucket_sum(usize::from(bucket)),
            Unit::Organisations(bucket) => self.organisation_set().bucket_sum(usize::from(bucket)),
        };
        sum.low_bits()
    }

    fn unit_sums(&self, first: u16) -> Vec<u64> {
        (first..UNIT_COUNT)
            .map(|unit| self.unit_sum(unit))
            .collect()
    }
}

/// Copies a bucket, or only its changes since `before`. Returns the copy and its size in bytes.
fn copy_bucket<E: Entry>(
    tree: &Tree,
    before: Option<&Tree>,
    number: u16,
) -> (CopiedBucket<E::Content>, usize) {
    let now = E::set_of(tree).bucket(usize::from(number));
    let before = before.map(|before| E::set_of(before).bucket(usize::from(number)));
    let is_new = |entry: &&Arc<E>| before.is_none_or(|before| !before.contains(entry));
    let changed: Vec<&Arc<E>> = now.iter().filter(is_new).collect();
    let is_missing = |entry: &&Arc<E>| now.iter().all(|other| other.name() != entry.name());
    let removed = before.map(|before| {
        let missing = before.iter().filter(is_missing);
        missing.map(|entry| entry.name().to_owned()).collect()
    });
    let bytes = changed.iter().map(|entry| entry.metadata().bytes).sum();
    let copy = |entry: &Arc<E>| CopiedEntry {
        name: entry.name().to_owned(),
        content: entry.content().clone(),
    };
    let bucket = CopiedBucket {
        number,
        entries: changed.into_iter().map(copy).collect(),
        removed,
    };
    (bucket, bytes)
}

/// Reason why a part or the complete copy was rejected.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum CopyError {
    /// The content is invalid.
    #[error("{0}")]
    Refused(#[from] SettingsError),
    /// The levels are not valid JSON.
    #[error("the levels are not valid JSON: {0}")]
    InvalidJson(String),
    /// The bucket index is out of range, or an entry belongs to another bucket.
    #[error("bucket {0} is out of range or has an entry of another bucket")]
    Misplaced(u16),
    /// The digest still differs after all units were compared.
    #[error("digest mismatch: the copy has {found}, its source {expected}")]
    DigestMismatch {
        /// Digest of the copy.
        found: Digest,
        /// Digest announced by the source.
        expected: Digest,
    },
}

/// State of a copy after a part was applied.
#[derive(Clone, Debug, PartialEq)]
pub enum CopyProgress {
    /// More parts are needed.
    Incomplete,
    /// The complete, validated tree.
    Complete(Tree),
}

/// Receiver of an incremental copy.
#[derive(Clone, Debug)]
pub struct TreeCopy {
    edit: TreeEdit,
    /// Entries digest of the initial tree, while all parts belong to one generation.
    base: Option<Digest>,
    next: u16,
    /// Generation that the units before `next` were compared with.
    generation: Option<u64>,
}

impl TreeCopy {
    /// Starts a copy from a tree that is already present.
    pub fn of(tree: &Tree) -> Self {
        let is_empty = *tree == Tree::default();
        TreeCopy {
            edit: TreeEdit::of(tree),
            base: (!is_empty).then(|| tree.entries_digest()),
            next: LEVELS_UNIT,
            generation: None,
        }
    }

    /// The request for the next part.
    pub fn request(&self) -> CopyRequest {
        let units = || CopyBase::Units(self.edit.tree().unit_sums(self.next));
        CopyRequest {
            first: self.next,
            base: self.base.clone().map_or_else(units, CopyBase::Tree),
        }
    }

    /// Requests parts by checksums from now on, because a source does not know the initial tree.
    pub fn discard_base(&mut self) {
        self.base = None;
    }

    /// Applies a part of a generation whose tree has the entries digest `expected`.
    ///
    /// # Errors
    /// Fails if the part is invalid or the complete tree differs from that of the source. The copy
    /// must be discarded then.
    pub fn apply(
        &mut self,
        generation: u64,
        expected: &Digest,
        part: TreePart,
    ) -> Result<CopyProgress, CopyError> {
        if let Some(levels) = part.levels {
            let nested: Value = serde_json::from_str(&levels)
                .map_err(|error| CopyError::InvalidJson(error.to_string()))?;
            self.edit.set_levels(&nested)?;
        }
        for bucket in part.buckets {
            self.apply_bucket::<NamedRoute>(bucket)?;
        }
        for bucket in part.organisations {
            self.apply_bucket::<NamedOrganisation>(bucket)?;
        }
        let before = self.generation.replace(generation);
        if before.is_some_and(|before| before != generation) {
            return Ok(self.restart_comparison());
        }
        if let Some(next) = part.next {
            self.next = next;
            return Ok(CopyProgress::Incomplete);
        }
        match self.complete(expected) {
            Err(CopyError::DigestMismatch { .. }) if self.base.is_some() => {
                Ok(self.restart_comparison())
            }
            result => result,
        }
    }

    /// Restarts the comparison at the first unit, because any unit may differ: either the parts
    /// belong to several generations, or they did not apply to the initial tree.
    fn restart_comparison(&mut self) -> CopyProgress {
        self.base = None;
        self.next = LEVELS_UNIT;
        CopyProgress::Incomplete
    }

    fn apply_bucket<E: Entry>(
        &mut self,
        bucket: CopiedBucket<E::Content>,
    ) -> Result<(), CopyError> {
        let number = usize::from(bucket.number);
        let is_in_bucket =
            |copied: &CopiedEntry<E::Content>| EntrySet::<E>::bucket_of(&copied.name) == number;
        if number >= E::BUCKETS || !bucket.entries.iter().all(is_in_bucket) {
            return Err(CopyError::Misplaced(bucket.number));
        }
        let present = E::set_of(self.edit.tree()).bucket(number);
        for name in removed_names(present, &bucket) {
            self.edit.remove::<E>(&name);
        }
        for copied in bucket.entries {
            let present = E::set_of(self.edit.tree()).get(&copied.name);
            if present.is_none_or(|entry| *entry.content() != copied.content) {
                self.edit.put::<E>(&copied.name, copied.content)?;
            }
        }
        Ok(())
    }

    fn complete(&self, expected: &Digest) -> Result<CopyProgress, CopyError> {
        let found = self.edit.tree().entries_digest();
        if found != *expected {
            return Err(CopyError::DigestMismatch {
                found,
                expected: expected.clone(),
            });
        }
        Ok(CopyProgress::Complete(self.edit.clone().finish()?))
    }
}

/// Names of the `present` entries that applying a copied bucket removes.
fn removed_names<E: Entry>(present: &[Arc<E>], bucket: &CopiedBucket<E::Content>) -> Vec<String> {
    if let Some(removed) = &bucket.removed {
        return removed.clone();
    }
    let is_copied = |name: &str| bucket.entries.iter().any(|copied| copied.name == name);
    let names = present.iter().map(|entry| entry.name());
    names
        .filter(|name| !is_copied(name))
        .map(str::to_owned)
        .collect()
}
