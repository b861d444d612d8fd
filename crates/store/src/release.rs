//! Accepting a tree: one transaction moves the pointer from a generation to the
//! next by compare-and-set and writes the audit rows with it.
//!
//! The content is stored first, immutable under its digest, so a pointer never
//! names a tree that is not there. A lost reply is settled by reading back the
//! change's id; as long as it is not found, the same transaction may be sent
//! again, because it can take effect only on the pointer it was built for. (The
//! compare-and-set on an active pointer, with the outcome read back and never
//! guessed, follows the rollout paper listed in docs/DESIGN-INDEX.md.)

use std::thread;
use std::time::{Duration, Instant};

use lynxcleat_settings::{Change, Conflict, Tree, diff, digest, merge};
use serde::de::DeserializeOwned;
use serde_json::json;

use crate::api::{NO_ROW, Put, Row, Txn, VersionCheck};
use crate::client::Platform;
use crate::error::{AcceptError, PlatformError};
use crate::rows::{AuditEntry, GenerationRow, Pointer, audit_key, generation_key, keys};

/// Most changed paths of one generation: one transaction holds them all.
const CHANGES_LIMIT: usize = 2_000;
/// Times that a compare-and-set may lose to other operators.
const ROUNDS_LIMIT: u32 = 20;
/// Pause between two tries to read back the outcome of a write.
const READ_BACK_PAUSE: Duration = Duration::from_millis(200);
/// Generations read at once when looking for a change.
const HISTORY_PAGE: usize = 200;

/// An operator's wish to have a tree in force.
#[derive(Clone, Debug)]
pub struct AcceptRequest {
    /// The edited tree.
    pub tree: Tree,
    /// Generation that the edit started from; 0 for the first tree.
    pub base: u64,
    /// The operator.
    pub who: String,
    /// Why, in the operator's words.
    pub note: String,
    /// Id of the change, unique; a second request with it changes nothing.
    pub change_id: String,
    /// The operator's clock, in milliseconds since 1970.
    pub when_ms: u64,
    /// Time to settle an outcome that is not known.
    pub settle: Duration,
}

/// A tree that was accepted.
#[derive(Clone, Debug, PartialEq)]
pub struct Accepted {
    /// Its generation.
    pub generation: u64,
    /// Changed paths against the generation before.
    pub changes: Vec<Change>,
    /// Whether another operator's change was merged in.
    pub merged: bool,
}

struct Current {
    pointer_version: u64,
    generation: u64,
    tree: Tree,
}

/// Accepts a tree, merged by path with what others accepted since its base.
///
/// # Errors
/// See [`AcceptError`]; only `OutcomeUnknown` leaves open whether it took effect.
pub fn accept(platform: &Platform, request: &AcceptRequest) -> Result<Accepted, AcceptError> {
    let mut lost = 0;
    loop {
        if let Some(row) = accepted_change(platform, &request.change_id, request.base)? {
            return Ok(already(platform, request, row)?);
        }
        let current = read_recent(platform, request)?;
        let (tree, merged) = merged_tree(platform, request, &current)?;
        let changes = diff(&current.tree, &tree);
        check_changes(&changes, current.generation)?;
        let (content, content_digest) = digest(&tree);
        platform.put_object(&content_digest, content.as_bytes())?;
        let txn = transaction(request, &current, &tree, &changes);
        if write_settled(platform, request, &txn)? {
            return Ok(Accepted {
                generation: current.generation + 1,
                changes,
                merged,
            });
        }
        lost += 1;
        if lost == ROUNDS_LIMIT {
            return Err(AcceptError::Contended(lost));
        }
    }
}

/// Reads the generation in force and its tree; generation 0 is the empty tree.
///
/// # Errors
/// The platform's failure.
pub fn read_tree(platform: &Platform) -> Result<(u64, Tree), PlatformError> {
    let current = read_current(platform)?;
    Ok((current.generation, current.tree))
}

/// The generation that a change made, if it was accepted after `after`.
///
/// # Errors
/// The platform's failure.
pub fn accepted_change(
    platform: &Platform,
    change_id: &str,
    after: u64,
) -> Result<Option<GenerationRow>, PlatformError> {
    let mut after = generation_key(after);
    loop {
        let rows = platform.scan(keys::GENERATIONS, &after, HISTORY_PAGE)?;
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

/// Generations after `after`, oldest first.
///
/// # Errors
/// The platform's failure.
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
        tree: fetch(platform, &pointer.digest)?,
    })
}

/// Reads what is in force. A read that is older than the edit's base shows only
/// that the platform serves old rows for now, so it is made again for a while.
fn read_recent(platform: &Platform, request: &AcceptRequest) -> Result<Current, PlatformError> {
    let begun = Instant::now();
    loop {
        let current = read_current(platform)?;
        if current.generation >= request.base || begun.elapsed() >= request.settle {
            return Ok(current);
        }
        thread::sleep(READ_BACK_PAUSE);
    }
}

fn fetch(platform: &Platform, digest: &lynxcleat_settings::Digest) -> Result<Tree, PlatformError> {
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
    Ok(fetch(platform, &generation.digest)?)
}

fn check_changes(changes: &[Change], generation: u64) -> Result<(), AcceptError> {
    let found = changes.len();
    if found == 0 && generation > 0 {
        return Err(AcceptError::NoChange(generation));
    }
    if found > CHANGES_LIMIT {
        return Err(AcceptError::TooManyChanges {
            found,
            limit: CHANGES_LIMIT,
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

/// Writes, and settles a lost reply. True where the change is in force, false
/// where another change came first.
fn write_settled(
    platform: &Platform,
    request: &AcceptRequest,
    txn: &Txn,
) -> Result<bool, AcceptError> {
    let begun = Instant::now();
    let mut in_doubt: Option<PlatformError> = None;
    loop {
        match platform.write(txn) {
            Ok(reply) if reply.committed => return Ok(true),
            // A compare-and-set that fails after a lost reply may have been
            // beaten by its own first copy.
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
            && begun.elapsed() >= request.settle
        {
            return Err(AcceptError::OutcomeUnknown {
                change_id: request.change_id.clone(),
                source,
            });
        }
        thread::sleep(READ_BACK_PAUSE);
    }
}

fn already(
    platform: &Platform,
    request: &AcceptRequest,
    row: GenerationRow,
) -> Result<Accepted, PlatformError> {
    let prefix = format!("{}{:020}/", keys::AUDIT, row.generation);
    let rows = platform.scan(&prefix, "", CHANGES_LIMIT)?;
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
