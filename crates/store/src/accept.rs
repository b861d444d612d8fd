//! Acceptance of settings trees. One transaction moves the pointer to the next generation by
//! compare-and-set and writes the audit rows.
//!
//! The content is stored first, immutable under its digest, so the pointer never refers to a
//! missing tree. After a lost reply, the outcome is determined by searching for the change's
//! ID. While it is not found, the same transaction can be sent again safely, because it can
//! commit only on the pointer version it was built for. (The compare-and-set on an active
//! pointer, with the outcome read back and never guessed, follows the rollout paper listed
//! in docs/DESIGN-INDEX.md.)

use std::thread;
use std::time::{Duration, Instant};

use lynxcleat_settings::{Change, Conflict, Tree, diff, digest, merge};
use serde::de::DeserializeOwned;
use serde_json::json;

use crate::api::{NO_ROW, Put, Row, Txn, VersionCheck};
use crate::client::Platform;
use crate::error::{AcceptError, PlatformError};
use crate::rows::{AuditEntry, GenerationRow, Pointer, audit_key, generation_key, keys};

/// Maximum number of changed paths per generation. All must fit into one transaction.
const MAX_CHANGES: usize = 2_000;
/// Maximum number of compare-and-set attempts that may lose to concurrent changes.
const MAX_CAS_ATTEMPTS: u32 = 20;
/// Interval between attempts to read back a write's outcome or a current pointer.
const READ_BACK_INTERVAL: Duration = Duration::from_millis(200);
/// Number of generations per scan when searching for a change.
const HISTORY_PAGE_SIZE: usize = 200;

/// An operator's request to put a tree in force.
#[derive(Clone, Debug)]
pub struct AcceptRequest {
    /// The edited tree.
    pub tree: Tree,
    /// Generation on which the edit is based; 0 for the first tree.
    pub base: u64,
    /// Operator who makes the change.
    pub who: String,
    /// Operator's description of the change.
    pub note: String,
    /// Unique ID of the change. Requests are idempotent by this ID.
    pub change_id: String,
    /// Time on the operator's clock, in milliseconds since the Unix epoch.
    pub when_ms: u64,
    /// Time limit for resolving an unknown write outcome, and for waiting out stale reads.
    pub outcome_timeout: Duration,
}

/// A tree that was accepted.
#[derive(Clone, Debug, PartialEq)]
pub struct Accepted {
    /// Generation of the tree.
    pub generation: u64,
    /// Paths that changed from the previous generation.
    pub changes: Vec<Change>,
    /// Whether the edit was merged with other operators' changes.
    pub merged: bool,
}

struct Current {
    pointer_version: u64,
    generation: u64,
    tree: Tree,
}

/// Accepts a tree, merging it by path with changes that others made since its base.
///
/// # Errors
/// See [`AcceptError`]. Only `OutcomeUnknown` leaves it uncertain whether the change was
/// accepted.
pub fn accept(platform: &Platform, request: &AcceptRequest) -> Result<Accepted, AcceptError> {
    let mut lost_races = 0;
    loop {
        if let Some(row) = accepted_change(platform, &request.change_id, request.base)? {
            return Ok(previously_accepted(platform, request, row)?);
        }
        let current = read_at_least_base(platform, request)?;
        let (tree, merged) = merged_tree(platform, request, &current)?;
        let changes = diff(&current.tree, &tree);
        check_changes(&changes, current.generation)?;
        let (content, content_digest) = digest(&tree);
        platform.put_object(&content_digest, content.as_bytes())?;
        let txn = transaction(request, &current, &tree, &changes);
        if write_until_resolved(platform, request, &txn)? {
            return Ok(Accepted {
                generation: current.generation + 1,
                changes,
                merged,
            });
        }
        lost_races += 1;
        if lost_races == MAX_CAS_ATTEMPTS {
            return Err(AcceptError::Contended(lost_races));
        }
    }
}

/// Reads the generation in force and its tree. Generation 0 is the empty tree.
///
/// # Errors
/// Returns any platform failure.
pub fn read_tree(platform: &Platform) -> Result<(u64, Tree), PlatformError> {
    let current = read_current(platform)?;
    Ok((current.generation, current.tree))
}

/// Finds the generation that a change created among those after `after`.
///
/// # Errors
/// Returns any platform failure.
pub fn accepted_change(
    platform: &Platform,
    change_id: &str,
    after: u64,
) -> Result<Option<GenerationRow>, PlatformError> {
    let mut after = generation_key(after);
    loop {
        let rows = platform.scan(keys::GENERATIONS, &after, HISTORY_PAGE_SIZE)?;
        let Some(last) = rows.last() else {
            return Ok(None);
        };
        after = last.key.clone();
        for row in rows {
            let generation: GenerationRow = parse(row)?;
            if generation.change_id == change_id {
                return Ok(Some(generation));
            }
        }
    }
}

/// Reads up to `limit` generations after `after`, oldest first.
///
/// # Errors
/// Returns any platform failure.
pub fn history(
    platform: &Platform,
    after: u64,
    limit: usize,
) -> Result<Vec<GenerationRow>, PlatformError> {
    let rows = platform.scan(keys::GENERATIONS, &generation_key(after), limit)?;
    rows.into_iter().map(parse).collect()
}

fn read_current(platform: &Platform) -> Result<Current, PlatformError> {
    let Some(row) = platform.read_one(keys::POINTER)? else {
        return Ok(Current {
            pointer_version: NO_ROW,
            generation: 0,
            tree: Tree::default(),
        });
    };
    let pointer_version = row.version;
    let pointer: Pointer = parse(row)?;
    Ok(Current {
        pointer_version,
        generation: pointer.generation,
        tree: fetch_tree(platform, &pointer.digest)?,
    })
}

/// Reads the generation in force. A generation older than the edit's base means that the
/// platform returned stale rows, so the read is repeated until `outcome_timeout`.
fn read_at_least_base(
    platform: &Platform,
    request: &AcceptRequest,
) -> Result<Current, PlatformError> {
    let started = Instant::now();
    loop {
        let current = read_current(platform)?;
        if current.generation >= request.base || started.elapsed() >= request.outcome_timeout {
            return Ok(current);
        }
        thread::sleep(READ_BACK_INTERVAL);
    }
}

fn fetch_tree(
    platform: &Platform,
    digest: &lynxcleat_settings::Digest,
) -> Result<Tree, PlatformError> {
    let content = platform.get_object(digest)?;
    Ok(Tree::parse(&String::from_utf8_lossy(&content))?)
}

fn merged_tree(
    platform: &Platform,
    request: &AcceptRequest,
    current: &Current,
) -> Result<(Tree, bool), AcceptError> {
    if request.base == current.generation {
        return Ok((request.tree.clone(), false));
    }
    let base = base_tree(platform, request.base, current.generation)?;
    let tree = merge(&base, &current.tree, &request.tree)
        .map_err(|conflict: Conflict| AcceptError::Conflict(Box::new(conflict)))?;
    Ok((tree, true))
}

fn base_tree(platform: &Platform, base: u64, current: u64) -> Result<Tree, AcceptError> {
    if base == 0 {
        return Ok(Tree::default());
    }
    let unknown = AcceptError::UnknownBase { base, current };
    if base > current {
        return Err(unknown);
    }
    let row = platform.read_one(&generation_key(base))?.ok_or(unknown)?;
    let generation: GenerationRow = parse(row)?;
    Ok(fetch_tree(platform, &generation.digest)?)
}

fn check_changes(changes: &[Change], generation: u64) -> Result<(), AcceptError> {
    let found = changes.len();
    if found == 0 && generation > 0 {
        return Err(AcceptError::NoChange(generation));
    }
    if found > MAX_CHANGES {
        return Err(AcceptError::TooManyChanges {
            found,
            limit: MAX_CHANGES,
        });
    }
    Ok(())
}

fn transaction(request: &AcceptRequest, current: &Current, tree: &Tree, changes: &[Change]) -> Txn {
    let generation = current.generation + 1;
    let (_, digest) = digest(tree);
    let row = GenerationRow {
        generation,
        digest: digest.clone(),
        change_id: request.change_id.clone(),
        who: request.who.clone(),
        when_ms: request.when_ms,
        note: request.note.clone(),
        changes: changes.len(),
    };
    let pointer = Pointer {
        generation,
        digest: digest.clone(),
    };
    let mut puts = vec![
        put(keys::POINTER.to_owned(), json!(pointer)),
        put(generation_key(generation), json!(row)),
    ];
    for (index, change) in changes.iter().enumerate() {
        let entry = AuditEntry {
            generation,
            change_id: request.change_id.clone(),
            who: request.who.clone(),
            when_ms: request.when_ms,
            digest: digest.clone(),
            change: change.clone(),
        };
        puts.push(put(audit_key(generation, index), json!(entry)));
    }
    Txn {
        checks: vec![VersionCheck {
            key: keys::POINTER.to_owned(),
            version: current.pointer_version,
        }],
        puts,
    }
}

fn put(key: String, value: serde_json::Value) -> Put {
    Put {
        key,
        value,
        ttl_ms: None,
    }
}

/// Sends the transaction and resolves a lost reply. Returns whether the change was accepted;
/// `false` means that another change was accepted first.
fn write_until_resolved(
    platform: &Platform,
    request: &AcceptRequest,
    txn: &Txn,
) -> Result<bool, AcceptError> {
    let started = Instant::now();
    let mut in_doubt: Option<PlatformError> = None;
    loop {
        match platform.write(txn) {
            Ok(reply) if reply.committed => return Ok(true),
            // After a lost reply, the compare-and-set may have failed because an earlier
            // attempt of this same transaction was applied.
            Ok(_) if in_doubt.is_none() => return Ok(false),
            Ok(_) => match accepted_change(platform, &request.change_id, request.base) {
                Ok(found) => return Ok(found.is_some()),
                Err(error) => in_doubt = Some(error),
            },
            Err(error) if error.may_have_applied() => in_doubt = Some(error),
            Err(error) if in_doubt.is_none() => return Err(error.into()),
            Err(error) => in_doubt = Some(error),
        }
        if let Some(source) = in_doubt.clone()
            && started.elapsed() >= request.outcome_timeout
        {
            return Err(AcceptError::OutcomeUnknown {
                change_id: request.change_id.clone(),
                source,
            });
        }
        thread::sleep(READ_BACK_INTERVAL);
    }
}

fn previously_accepted(
    platform: &Platform,
    request: &AcceptRequest,
    row: GenerationRow,
) -> Result<Accepted, PlatformError> {
    let prefix = format!("{}{:020}/", keys::AUDIT, row.generation);
    let rows = platform.scan(&prefix, "", MAX_CHANGES)?;
    let changes: Result<Vec<AuditEntry>, PlatformError> = rows.into_iter().map(parse).collect();
    Ok(Accepted {
        generation: row.generation,
        changes: changes?.into_iter().map(|entry| entry.change).collect(),
        merged: row.generation != request.base + 1,
    })
}

fn parse<T: DeserializeOwned>(row: Row) -> Result<T, PlatformError> {
    serde_path_to_error::deserialize(row.value).map_err(|error| PlatformError::Malformed {
        path: format!("{}: {}", row.key, error.path()),
        reason: error.inner().to_string(),
    })
}
