//! Differences between two trees, and the merge of two edits of one base.
//!
//! The merge goes by path: edits of different paths both stand, and the same
//! path set to different values is a conflict that shows both. A merge by path
//! cannot see that two edits contradict in meaning, so the merged tree is
//! checked again as a whole.

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

/// One path whose value differs between two trees.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Change {
    /// Path of the field or level.
    pub path: String,
    /// Value before; absent where the path was not set.
    pub old: Option<Value>,
    /// Value after; absent where the path is no longer set.
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

/// Why two edits of one base cannot both stand.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum Conflict {
    /// Both edits changed the same path to different values.
    #[error("both edits change {}; already accepted: {theirs}; yours: {mine}", mine.path)]
    SamePath {
        /// The change already accepted.
        theirs: Box<Change>,
        /// The change refused.
        mine: Box<Change>,
    },
    /// One edit removed a level in which the other set a field.
    #[error("{path} is set in a place or service that the other edit removed")]
    LevelRemoved {
        /// The path left without its level.
        path: String,
    },
    /// The merged tree does not pass the checks.
    #[error("the merged tree is refused: {0}")]
    Refused(#[from] SettingsError),
}

/// The changes that lead from `old` to `new`, sorted by path.
pub fn diff(old: &Tree, new: &Tree) -> Vec<Change> {
    let mut changes = level_changes(old, new);
    changes.extend(entry_changes::<NamedRoute>(old, new));
    changes.extend(entry_changes::<NamedOrganisation>(old, new));
    changes.sort_by(|one, other| one.path.cmp(&other.path));
    changes
}

fn level_changes(old: &Tree, new: &Tree) -> Vec<Change> {
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

fn entry_changes<E: Entry>(old: &Tree, new: &Tree) -> Vec<Change> {
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

/// Puts the entry with content `new`, or removes it if `new` is absent.
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

/// Puts the edit `base` → `mine` on top of `theirs`.
///
/// # Errors
/// A [`Conflict`] where both edits cannot stand.
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

/// Every entry below a place or service needs that level to be present.
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
