//! Diff of two trees and three-way merge of two edits of one base.
//!
//! Trees are merged by path: edits of different paths are combined, and a path set to different
//! values is a conflict that reports both. A merge by path does not detect that two edits
//! contradict each other in meaning, so the whole merged tree is validated again.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use serde_json::Value;
use thiserror::Error;

use crate::edit::TreeEdit;
use crate::entry_set::{Entry, EntryChange, EntrySet};
use crate::error::SettingsError;
use crate::organisation::NamedOrganisation;
use crate::route::NamedRoute;
use crate::tree::Tree;

/// A path whose value differs between two trees.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Change {
    /// Path of the field or level.
    pub path: String,
    /// Value in the old tree; `None` if the path was not set.
    pub old: Option<Value>,
    /// Value in the new tree; `None` if the path is not set.
    pub new: Option<Value>,
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = |value: &Option<Value>| match value {
            Some(value) => value.to_string(),
            None => "(inherited)".to_owned(),
        };
        write!(
            f,
            "{}: {} -> {}",
            self.path,
            text(&self.old),
            text(&self.new)
        )
    }
}

/// Reason why two edits of one base cannot be merged.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum Conflict {
    /// Both edits changed the same path to different values.
    #[error("both edits change {}; already accepted: {theirs}; yours: {mine}", mine.path)]
    SamePath {
        /// The accepted change.
        theirs: Box<Change>,
        /// The rejected change.
        mine: Box<Change>,
    },
    /// One edit removed a level in which the other edit set a field.
    #[error("{path} is set in a place or service that the other edit removed")]
    LevelRemoved {
        /// Path of the field whose level is missing.
        path: String,
    },
    /// The merged tree is invalid.
    #[error("the merged tree is invalid: {0}")]
    Refused(#[from] SettingsError),
}

/// Returns the changes from `old` to `new`, sorted by path.
pub fn diff(old: &Tree, new: &Tree) -> Vec<Change> {
    let mut changes = diff_levels(old, new);
    changes.extend(diff_entries::<NamedRoute>(old, new));
    changes.extend(diff_entries::<NamedOrganisation>(old, new));
    changes.sort_by(|one, other| one.path.cmp(&other.path));
    changes
}

fn diff_levels(old: &Tree, new: &Tree) -> Vec<Change> {
    let paths: BTreeSet<&String> = old.entries().keys().chain(new.entries().keys()).collect();
    paths
        .into_iter()
        .filter(|path| old.get(path) != new.get(path))
        .map(|path| Change {
            path: path.clone(),
            old: old.get(path).cloned(),
            new: new.get(path).cloned(),
        })
        .collect()
}

fn diff_entries<E: Entry>(old: &Tree, new: &Tree) -> Vec<Change> {
    let changes = EntrySet::changes(E::set_of(old), E::set_of(new)).into_iter();
    let change = |change: EntryChange<E>| {
        let json = |entry: &Arc<E>| entry.to_json();
        let entry = change.new.as_ref().or(change.old.as_ref())?;
        Some(Change {
            path: format!("{}{}", E::PATH_PREFIX, entry.name()),
            old: change.old.as_ref().map(json),
            new: change.new.as_ref().map(json),
        })
    };
    changes.filter_map(change).collect()
}

/// Adds or replaces the entry with content `new`, or removes it if `new` is `None`.
fn apply_entry_change<E: Entry>(
    edit: &mut TreeEdit,
    name: &str,
    new: Option<&Value>,
) -> Result<(), SettingsError> {
    match new {
        Some(value) => edit.put_entry(E::parse(name, value)?),
        None => edit.remove::<E>(name),
    }
    Ok(())
}

/// Applies the changes from `base` to `mine` to `theirs`.
///
/// # Errors
/// Fails with a [`Conflict`] if the edits cannot be merged.
pub fn merge(base: &Tree, theirs: &Tree, mine: &Tree) -> Result<Tree, Conflict> {
    let their_changes: BTreeMap<String, Change> = diff(base, theirs)
        .into_iter()
        .map(|change| (change.path.clone(), change))
        .collect();
    let mut entries = theirs.entries().clone();
    let mut named_entries = TreeEdit::of(theirs);
    for change in diff(base, mine) {
        if let Some(other) = their_changes.get(&change.path)
            && other.new != change.new
        {
            return Err(Conflict::SamePath {
                theirs: Box::new(other.clone()),
                mine: Box::new(change),
            });
        }
        if let Some(name) = change.path.strip_prefix(NamedRoute::PATH_PREFIX) {
            apply_entry_change::<NamedRoute>(&mut named_entries, name, change.new.as_ref())?;
        } else if let Some(name) = change.path.strip_prefix(NamedOrganisation::PATH_PREFIX) {
            apply_entry_change::<NamedOrganisation>(&mut named_entries, name, change.new.as_ref())?;
        } else if let Some(value) = change.new {
            entries.insert(change.path, value);
        } else {
            entries.remove(&change.path);
        }
    }
    check_levels(&entries)?;
    Ok(Tree::from_entries(entries, named_entries.tree())?)
}

/// Checks that every path below a place or service has that level in the tree.
fn check_levels(entries: &BTreeMap<String, Value>) -> Result<(), Conflict> {
    for path in entries.keys().filter(|path| path.starts_with("places.")) {
        let parts: Vec<&str> = path.split('.').collect();
        let place = parts[..2].join(".");
        let service = (parts.len() > 3).then(|| parts[..4].join("."));
        let complete = entries.contains_key(&place)
            && service.is_none_or(|level| entries.contains_key(&level));
        if !complete {
            return Err(Conflict::LevelRemoved { path: path.clone() });
        }
    }
    Ok(())
}
