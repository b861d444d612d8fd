//! Copying a tree part by part: the side that has a newer one sends the parts that differ.
//!
//! A tree is divided into units: its levels, and each bucket of its routes and of its
//! organisations. The side that wants a newer tree names the one that it has, and is sent what
//! changed since, a bounded number of bytes at a time; where the other side does not know that
//! tree, it states the sums of its units, and is sent those that differ. What it has got stays,
//! whichever side sends the rest and whatever generation that side has by then.

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

/// Unit of the levels, followed by the units of the route buckets and of the organisation buckets.
const LEVELS: u16 = 0;
const FIRST_ORGANISATION_UNIT: u16 = 1 + NamedRoute::BUCKETS as u16;
const UNITS: u16 = FIRST_ORGANISATION_UNIT + NamedOrganisation::BUCKETS as u16;

/// Content of a unit, by its number.
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
            LEVELS => Unit::Levels,
            bucket if bucket < FIRST_ORGANISATION_UNIT => Unit::Routes(bucket - 1),
            bucket => Unit::Organisations(bucket - FIRST_ORGANISATION_UNIT),
        }
    }
}

/// What the side that wants a tree has.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CopyBase {
    /// A tree with this digest of its entries, and the parts that it was sent since.
    Tree(Digest),
    /// Units with these sums, from the first that is wanted on.
    Units(Vec<u64>),
}

/// What is wanted next.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CopyAsk {
    /// The first unit that is wanted.
    pub first: u16,
    /// What is there already.
    pub base: CopyBase,
}

/// An entry of a copied bucket.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct CopiedEntry<C> {
    /// Its name.
    #[serde(rename = "n")]
    pub name: String,
    /// Its content, without the name.
    #[serde(rename = "c")]
    pub content: C,
}

/// One bucket, or what changed in it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct CopiedBucket<C> {
    /// Its number.
    #[serde(rename = "b")]
    pub number: u16,
    /// Its entries, or those that changed.
    #[serde(
        rename = "r",
        default = "Vec::new",
        skip_serializing_if = "Vec::is_empty"
    )]
    pub entries: Vec<CopiedEntry<C>>,
    /// Names of the removed entries; absent if `entries` is the whole bucket.
    #[serde(rename = "d", default, skip_serializing_if = "Option::is_none")]
    pub removed: Option<Vec<String>>,
}

/// Units of a tree that differ from what the other side has.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct TreePart {
    /// Nested JSON text of the levels, where they differ.
    #[serde(rename = "l", default, skip_serializing_if = "Option::is_none")]
    pub levels: Option<String>,
    /// Route buckets that differ.
    #[serde(rename = "b", default, skip_serializing_if = "Vec::is_empty")]
    pub buckets: Vec<CopiedBucket<Route>>,
    /// Organisation buckets that differ.
    #[serde(rename = "o", default, skip_serializing_if = "Vec::is_empty")]
    pub organisations: Vec<CopiedBucket<Organisation>>,
    /// The unit from which on nothing was compared; absent where all was.
    #[serde(rename = "n", default, skip_serializing_if = "Option::is_none")]
    pub next: Option<u16>,
}

impl Tree {
    /// The first units that differ from some others by their sums, with no more bytes than
    /// `limit` before the last of them.
    pub fn part_by_sums(&self, first: u16, sums: &[u64], limit: usize) -> TreePart {
        let sum = |unit: u16| sums.get(usize::from(unit - first));
        let differs = |unit| sum(unit).is_some_and(|sum| *sum != self.unit_sum(unit));
        self.part(None, first, limit, differs)
    }

    /// The same for what changed since another tree.
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
        for unit in (first..UNITS).filter(|unit| differs(*unit)) {
            if bytes >= limit {
                part.next = Some(unit);
                break;
            }
            bytes += self.copy_unit(before, Unit::of(unit), &mut part);
        }
        part
    }

    /// Adds a unit to a part, or only its changes since `before`. Returns the size in bytes.
    fn copy_unit(&self, before: Option<&Tree>, unit: Unit, part: &mut TreePart) -> usize {
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
        sum.short()
    }

    fn unit_sums(&self, first: u16) -> Vec<u64> {
        (first..UNITS).map(|unit| self.unit_sum(unit)).collect()
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

/// Why a part was not taken, or the whole is not what it should be.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum CopyError {
    /// Its content does not pass the checks.
    #[error("{0}")]
    Refused(#[from] SettingsError),
    /// The levels are not JSON.
    #[error("the levels are not JSON: {0}")]
    NotJson(String),
    /// A bucket that no tree has, or an entry in a bucket that is not its own.
    #[error("an entry or bucket out of place in bucket {0}")]
    Misplaced(u16),
    /// All units were compared and the whole still has another digest.
    #[error("the copy has digest {found}, its source {stated}")]
    Differs {
        /// Digest of the copy.
        found: Digest,
        /// Digest that the source stated.
        stated: Digest,
    },
}

/// Where a copy stands.
#[derive(Clone, Debug, PartialEq)]
pub enum CopyStep {
    /// More units are to be compared.
    More,
    /// The whole tree, checked.
    Whole(Tree),
}

/// A copy in the making.
#[derive(Clone, Debug)]
pub struct TreeCopy {
    edit: TreeEdit,
    /// Digest of the tree that it began with, while all parts are of one generation.
    base: Option<Digest>,
    next: u16,
    /// Generation with which the units before `next` were compared.
    generation: Option<u64>,
}

impl TreeCopy {
    /// Begins with a tree that is there already.
    pub fn of(tree: &Tree) -> Self {
        let is_empty = *tree == Tree::default();
        TreeCopy {
            edit: TreeEdit::of(tree),
            base: (!is_empty).then(|| tree.entries_digest()),
            next: LEVELS,
            generation: None,
        }
    }

    /// What to ask of a source.
    pub fn ask(&self) -> CopyAsk {
        let units = || CopyBase::Units(self.edit.tree().unit_sums(self.next));
        CopyAsk {
            first: self.next,
            base: self.base.clone().map_or_else(units, CopyBase::Tree),
        }
    }

    /// A source does not know the tree that this copy began with: the units are compared.
    pub fn base_is_unknown(&mut self) {
        self.base = None;
    }

    /// Takes a part of a generation whose tree has the entries' digest `stated`.
    ///
    /// # Errors
    /// A part that cannot be taken, or a whole that is not what its source has; the copy is of
    /// no use then.
    pub fn take(
        &mut self,
        generation: u64,
        stated: &Digest,
        part: TreePart,
    ) -> Result<CopyStep, CopyError> {
        if let Some(levels) = part.levels {
            let nested: Value = serde_json::from_str(&levels)
                .map_err(|error| CopyError::NotJson(error.to_string()))?;
            self.edit.set_levels(&nested)?;
        }
        for bucket in part.buckets {
            self.take_bucket::<NamedRoute>(bucket)?;
        }
        for bucket in part.organisations {
            self.take_bucket::<NamedOrganisation>(bucket)?;
        }
        let before = self.generation.replace(generation);
        if before.is_some_and(|before| before != generation) {
            return Ok(self.compare_units());
        }
        if let Some(next) = part.next {
            self.next = next;
            return Ok(CopyStep::More);
        }
        match self.whole(stated) {
            Err(CopyError::Differs { .. }) if self.base.is_some() => Ok(self.compare_units()),
            whole => whole,
        }
    }

    /// Any unit may differ: parts are of several generations, or did not fit the tree that the
    /// copy began with.
    fn compare_units(&mut self) -> CopyStep {
        self.base = None;
        self.next = LEVELS;
        CopyStep::More
    }

    fn take_bucket<E: Entry>(&mut self, bucket: CopiedBucket<E::Content>) -> Result<(), CopyError> {
        let number = usize::from(bucket.number);
        let is_own =
            |copied: &CopiedEntry<E::Content>| EntrySet::<E>::bucket_of(&copied.name) == number;
        if number >= E::BUCKETS || !bucket.entries.iter().all(is_own) {
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

    fn whole(&self, stated: &Digest) -> Result<CopyStep, CopyError> {
        let found = self.edit.tree().entries_digest();
        if found != *stated {
            return Err(CopyError::Differs {
                found,
                stated: stated.clone(),
            });
        }
        Ok(CopyStep::Whole(self.edit.clone().finish()?))
    }
}

/// Names of the present entries that a copied bucket removes.
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
