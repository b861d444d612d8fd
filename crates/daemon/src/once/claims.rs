//! Claims of plain idempotency keys in the platform's table.
//!
//! Only an insert-if-absent decides which ticket a key runs under. Claims that
//! wait are written together, so that a burst costs few of the table's writes. A
//! lost reply is settled by reading the rows back: what stands there decides.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use lynxcleat_once::Ticket;
use lynxcleat_store::{
    ClaimRow, NO_ROW, Platform, PlatformError, Put, Row, Txn, VersionCheck, claim_key,
};
use serde_json::json;

use super::claimed::{ClaimError, Claimed, QUEUE_LIMIT, Wanted};
use crate::core::Core;
use crate::sync::lock;

/// Claims written in one transaction at most.
const BATCH_LIMIT: usize = 64;
/// Least time between two transactions of one daemon, which bounds its share of
/// the table's writes.
const BATCH_PAUSE: Duration = Duration::from_millis(20);
/// Keys whose ticket is remembered without asking the table.
const KNOWN_LIMIT: usize = 10_000;

/// Starts the writer of claims.
pub fn start(core: &Arc<Core>) {
    let (sender, wanted) = flume::bounded(QUEUE_LIMIT);
    if core.once.claims.queue.set(sender).is_err() {
        return;
    }
    let core = Arc::clone(core);
    tokio::spawn(async move {
        while let Ok(first) = wanted.recv_async().await {
            let mut batch = vec![first];
            batch.extend(wanted.drain().take(BATCH_LIMIT - 1));
            let platform = core.platform.clone();
            let retention_ms = core.once.retention_ms();
            let written = tokio::task::spawn_blocking(move || {
                write_batch(&platform, batch, retention_ms);
            });
            let _ = written.await;
            tokio::time::sleep(BATCH_PAUSE).await;
        }
    });
}

/// The ticket of a key, claimed for a fresh one of ours if it has none.
///
/// # Errors
/// A claim that could not be made; nothing was run.
pub async fn claim(core: &Arc<Core>, service: &str, key: &str) -> Result<Claimed, ClaimError> {
    let row_key = claim_key(service, key);
    if let Some(known) = known(core, &row_key) {
        return Ok(known);
    }
    let own = core.once.mint();
    let (reply, replied) = flume::bounded(1);
    let wanted = Wanted {
        row_key: row_key.clone(),
        ticket_text: core.once.key.sign(&own),
        reply,
    };
    let queue = core.once.claims.queue.get().ok_or(ClaimError::Busy)?;
    queue.try_send(wanted).map_err(|_| ClaimError::Busy)?;
    let row = replied
        .recv_async()
        .await
        .unwrap_or(Err(ClaimError::Busy))?;
    let claimed = read(core, row)?;
    remember(core, row_key, &claimed);
    Ok(claimed)
}

/// Replaces the ticket of a key, whose old one is fenced everywhere, by a fresh
/// one of ours.
///
/// # Errors
/// A row that changed meanwhile, or the platform's failure.
pub async fn replace(
    core: &Arc<Core>,
    service: &str,
    key: &str,
    version: u64,
) -> Result<Ticket, ClaimError> {
    let row_key = claim_key(service, key);
    let own = core.once.mint();
    let text = core.once.key.sign(&own);
    let txn = Txn {
        checks: vec![VersionCheck {
            key: row_key.clone(),
            version,
        }],
        puts: vec![put(&row_key, &text, core.once.retention_ms())],
    };
    lock(&core.once.claims.known).remove(&row_key);
    let platform = core.platform.clone();
    let written = tokio::task::spawn_blocking(move || platform.write(&txn)).await;
    match written {
        Ok(Ok(reply)) if reply.committed => Ok(own),
        Ok(Ok(_)) | Err(_) => Err(ClaimError::Replaced),
        Ok(Err(error)) => Err(error.into()),
    }
}

/// A claim of ours that is remembered. One whose ticket has expired is forgotten:
/// its row expires too, and the key may then be claimed anew.
fn known(core: &Core, row_key: &str) -> Option<Claimed> {
    let mut known = lock(&core.once.claims.known);
    let claimed = known.get(row_key)?.clone();
    let age_ms = core
        .clock
        .wall_ms()
        .saturating_sub(claimed.ticket.minted_ms);
    if age_ms > core.once.retention_ms() {
        known.remove(row_key);
        return None;
    }
    Some(claimed)
}

/// Remembers our own claims only: another guard's ticket may be replaced.
fn remember(core: &Core, row_key: String, claimed: &Claimed) {
    if claimed.ticket.op.incarnation != core.me.incarnation {
        return;
    }
    let mut known = lock(&core.once.claims.known);
    if known.len() >= KNOWN_LIMIT {
        known.clear();
    }
    known.insert(row_key, claimed.clone());
}

fn read(core: &Core, row: Row) -> Result<Claimed, ClaimError> {
    let claim: ClaimRow =
        serde_json::from_value(row.value).map_err(|error| PlatformError::Malformed {
            path: row.key,
            reason: error.to_string(),
        })?;
    Ok(Claimed {
        ticket: core.once.key.verify(&claim.ticket)?,
        version: row.version,
    })
}

/// Claims what is free, and reads what is not. Two claims of one key in a batch
/// go into two transactions.
fn write_batch(platform: &Platform, batch: Vec<Wanted>, retention_ms: u64) {
    let mut first: HashMap<String, Wanted> = HashMap::new();
    let mut repeated = Vec::new();
    for wanted in batch {
        match first.contains_key(&wanted.row_key) {
            true => repeated.push(wanted),
            false => {
                first.insert(wanted.row_key.clone(), wanted);
            }
        }
    }
    write_distinct(platform, first, retention_ms);
    if !repeated.is_empty() {
        write_batch(platform, repeated, retention_ms);
    }
}

fn write_distinct(platform: &Platform, mut open: HashMap<String, Wanted>, retention_ms: u64) {
    let mut outcome = Ok(());
    while !open.is_empty() {
        let txn = Txn {
            checks: open.keys().map(|key| absent(key)).collect(),
            puts: open
                .values()
                .map(|wanted| put(&wanted.row_key, &wanted.ticket_text, retention_ms))
                .collect(),
        };
        match platform.write(&txn) {
            Ok(reply) if reply.committed => return tell_committed(open),
            Ok(reply) => {
                for row in reply.conflicts {
                    if let Some(wanted) = open.remove(&row.key) {
                        let _ = wanted.reply.send(Ok(row));
                    }
                }
            }
            Err(error) if error.may_have_applied() => break,
            Err(error) => {
                outcome = Err(error);
                break;
            }
        }
    }
    read_back(platform, open, outcome);
}

/// All that were open are ours now. Their rows' versions are not known, and not
/// needed: only a claim of another guard is ever replaced.
fn tell_committed(open: HashMap<String, Wanted>) {
    for (key, wanted) in open {
        let row = Row {
            key,
            version: NO_ROW,
            value: claim_value(&wanted.ticket_text),
        };
        let _ = wanted.reply.send(Ok(row));
    }
}

/// After a lost reply, what stands in the table decides.
fn read_back(
    platform: &Platform,
    mut open: HashMap<String, Wanted>,
    outcome: Result<(), PlatformError>,
) {
    if open.is_empty() {
        return;
    }
    let keys: Vec<String> = open.keys().cloned().collect();
    let rows = outcome.and_then(|()| platform.read(&keys));
    for row in rows.iter().flatten() {
        if row.version != NO_ROW
            && let Some(wanted) = open.remove(&row.key)
        {
            let _ = wanted.reply.send(Ok(row.clone()));
        }
    }
    let error = match rows {
        Ok(_) => PlatformError::NoReply("the claim is not in the table".to_owned()),
        Err(error) => error,
    };
    for wanted in open.into_values() {
        let _ = wanted.reply.send(Err(error.clone().into()));
    }
}

fn absent(key: &str) -> VersionCheck {
    VersionCheck {
        key: key.to_owned(),
        version: NO_ROW,
    }
}

fn put(row_key: &str, ticket_text: &str, retention_ms: u64) -> Put {
    Put {
        key: row_key.to_owned(),
        value: claim_value(ticket_text),
        ttl_ms: Some(retention_ms),
    }
}

fn claim_value(ticket_text: &str) -> serde_json::Value {
    json!(ClaimRow {
        ticket: ticket_text.to_owned(),
    })
}
