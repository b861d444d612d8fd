//! Copying a tree part by part: the side that has a newer one sends the parts that differ.
//!
//! A tree is divided into units: its levels, and each bucket of its routes. The side that wants
//! a newer tree names the one that it has, and is sent what changed since, a bounded number of
//! bytes at a time; where the other side does not know that tree, it states the sums of its
//! units, and is sent those that differ. What it has got stays, whichever side sends the rest
//! and whatever generation that side has by then.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use serde_json::Value;
use thiserror::Error;

use crate::digest::Digest;
use crate::edit::TreeEdit;
use crate::error::SettingsError;
use crate::route::{NamedRoute, Route};
use crate::route_set::{BUCKETS, bucket_of};
use crate::tree::Tree;

/// Unit of the levels; those of the buckets follow.
const LEVELS: u16 = 0;
const UNITS: u16 = 1 + BUCKETS as u16;

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

/// A route on its way.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct CopiedRoute {
    /// Its name.
    #[serde(rename = "n")]
    pub name: String,
    /// The route.
    #[serde(rename = "r")]
    pub route: Route,
}

/// One bucket, or what changed in it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct CopiedBucket {
    /// Its number.
    #[serde(rename = "b")]
    pub number: u16,
    /// Its routes, or those that changed.
    #[serde(rename = "r", default, skip_serializing_if = "Vec::is_empty")]
    pub routes: Vec<CopiedRoute>,
    /// Names of the routes that were removed; absent where `routes` are all of the bucket.
    #[serde(rename = "d", default, skip_serializing_if = "Option::is_none")]
    pub removed: Option<Vec<String>>,
}

/// Units of a tree that differ from what the other side has.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct TreePart {
    /// Nested JSON text of the levels, where they differ.
    #[serde(rename = "l", default, skip_serializing_if = "Option::is_none")]
    pub levels: Option<String>,
    /// Buckets that differ.
    #[serde(rename = "b", default, skip_serializing_if = "Vec::is_empty")]
    pub buckets: Vec<CopiedBucket>,
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
        self.part(first, limit, differs, |bucket| self.whole_bucket(bucket))
    }

    /// The same for what changed since another tree.
    pub fn part_since(&self, before: &Tree, first: u16, limit: usize) -> TreePart {
        let differs = |unit| before.unit_sum(unit) != self.unit_sum(unit);
        self.part(first, limit, differs, |bucket| {
            self.changed_bucket(before, bucket)
        })
    }

    fn part(
        &self,
        first: u16,
        limit: usize,
        differs: impl Fn(u16) -> bool,
        copy: impl Fn(u16) -> (CopiedBucket, usize),
    ) -> TreePart {
        let mut part = TreePart::default();
        let mut bytes = 0;
        for unit in (first..UNITS).filter(|unit| differs(*unit)) {
            if bytes >= limit {
                part.next = Some(unit);
                break;
            }
            if unit == LEVELS {
                let text = self.levels_json().to_string();
                bytes += text.len();
                part.levels = Some(text);
            } else {
                let (copied, size) = copy(unit - 1);
                bytes += size;
                part.buckets.push(copied);
            }
        }
        part
    }

    fn unit_sum(&self, unit: u16) -> u64 {
        match unit {
            LEVELS => self.levels_sum().short(),
            bucket => self.route_set().bucket_sum(usize::from(bucket) - 1).short(),
        }
    }

    fn unit_sums(&self, first: u16) -> Vec<u64> {
        (first..UNITS).map(|unit| self.unit_sum(unit)).collect()
    }

    /// A bucket with all its routes, and its size in bytes.
    fn whole_bucket(&self, number: u16) -> (CopiedBucket, usize) {
        let routes = self.route_set().bucket(usize::from(number));
        copied(number, routes.iter(), None)
    }

    /// What changed in a bucket, and its size in bytes.
    fn changed_bucket(&self, before: &Tree, number: u16) -> (CopiedBucket, usize) {
        let [old, new] = [before, self].map(|tree| tree.route_set().bucket(usize::from(number)));
        let changed = new
            .iter()
            .filter(|named| before.route(&named.name) != Some(&***named));
        let removed = old
            .iter()
            .filter(|named| self.route(&named.name).is_none())
            .map(|named| named.name.clone())
            .collect();
        copied(number, changed, Some(removed))
    }
}

fn copied<'a>(
    number: u16,
    routes: impl Iterator<Item = &'a Arc<NamedRoute>>,
    removed: Option<Vec<String>>,
) -> (CopiedBucket, usize) {
    let mut bytes = 0;
    let copy = |named: &Arc<NamedRoute>| {
        bytes += named.bytes;
        CopiedRoute {
            name: named.name.clone(),
            route: named.route.clone(),
        }
    };
    let routes = routes.map(copy).collect();
    let bucket = CopiedBucket {
        number,
        routes,
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
    /// A bucket that no tree has, or a route in a bucket that is not its own.
    #[error("a route or bucket out of place in bucket {0}")]
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
            self.take_bucket(bucket)?;
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

    fn take_bucket(&mut self, bucket: CopiedBucket) -> Result<(), CopyError> {
        let number = usize::from(bucket.number);
        let is_own = |copied: &CopiedRoute| bucket_of(&copied.name) == number;
        if number >= BUCKETS || !bucket.routes.iter().all(is_own) {
            return Err(CopyError::Misplaced(bucket.number));
        }
        let removed = match bucket.removed {
            Some(removed) => removed,
            None => self.absent(number, &bucket.routes),
        };
        for name in removed {
            self.edit.remove_route(&name);
        }
        for copied in bucket.routes {
            let present = self.edit.tree().route(&copied.name);
            if present.is_none_or(|named| named.route != copied.route) {
                self.edit.put_route(&copied.name, copied.route)?;
            }
        }
        Ok(())
    }

    /// Names of the routes of a bucket that are not among these.
    fn absent(&self, bucket: usize, routes: &[CopiedRoute]) -> Vec<String> {
        let present = self.edit.tree().route_set().bucket(bucket);
        let is_absent = |name: &String| routes.iter().all(|copied| copied.name != *name);
        let names = present.iter().map(|named| &named.name);
        names.filter(|name| is_absent(name)).cloned().collect()
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
