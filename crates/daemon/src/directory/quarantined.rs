//! Rows with what is quarantined, in the table of the members, so that every daemon hears of
//! them as it hears of members.
//!
//! Nothing in the store runs out by itself. The rows are a fixed number of places by
//! fingerprint, and whoever writes to one drops what is out of date.

use std::sync::Arc;
use std::time::Duration;

use lynxcleat_policy::Fingerprint;
use lynxcleat_store::{RowStoreError, RowWrite, StoredRow};
use serde::{Deserialize, Serialize};

use super::publish::jittered;
use super::state::{DirectoryState, TABLE};
use crate::core::Core;
use crate::metrics::count;
use crate::quarantine::{KEPT_MS, QuarantineState, StoredSuspect};
use crate::sync::lock;

/// Keys of these rows, before the number of the place.
const QUARANTINE: &str = "quarantine/";
/// Places: as many rows there are at most.
const PLACES: u64 = 32;
/// Suspects in one place at most, the latest.
const SUSPECTS: usize = 4;
/// Pauses after a failed write: the first, and the longest.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
const LONGEST_PAUSE: Duration = Duration::from_secs(5);

/// One place.
#[derive(Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
struct Place {
    suspects: Vec<StoredSuspect>,
}

/// Takes what news of the table say of quarantines.
pub(super) fn take(core: &Core, news: &[StoredRow]) {
    for row in news.iter().filter(|row| row.key.starts_with(QUARANTINE)) {
        for suspect in &place(row).suspects {
            core.quarantine.take_stored(suspect);
        }
    }
}

/// Keeps the rows as they are wanted, until the daemon ends.
pub(super) async fn keep(core: Arc<Core>) {
    let Some(directory) = &core.directory else {
        return;
    };
    let mut pause = FIRST_PAUSE;
    loop {
        let print = core.quarantine.next_unsaved().await;
        match save(&core, directory, print).await {
            Ok(()) => {
                core.quarantine.saved(print);
                pause = FIRST_PAUSE;
            }
            Err(error) => {
                log::warn!(request:% = print; "quarantine not stored: {error}");
                tokio::time::sleep(jittered(pause)).await;
                pause = (pause * 2).min(LONGEST_PAUSE);
            }
        }
    }
}

/// Writes one place, unless it stands there as it is wanted.
async fn save(
    core: &Core,
    directory: &DirectoryState,
    print: Fingerprint,
) -> Result<(), RowStoreError> {
    let key = format!("{QUARANTINE}{:02}", print.0 % PLACES);
    let known = lock(&directory.members).replica().row(&key).cloned();
    let mut current = known;
    loop {
        let before = current.as_ref().map(place).unwrap_or_default();
        let wanted = wanted(&core.quarantine, &before, print, core.clock.wall_ms());
        if wanted == before {
            return Ok(());
        }
        let write = RowWrite {
            table: TABLE.to_owned(),
            key: key.clone(),
            expected: current.as_ref().map_or(0, |row| row.version),
            value: serde_json::to_vec(&wanted).expect("a place encodes"),
        };
        count(&core.metrics.store_calls, "quarantine");
        match directory.store().write(write).await {
            Ok(_) => return Ok(()),
            Err(RowStoreError::Conflict { current: now }) => current = now,
            Err(error) => return Err(error),
        }
    }
}

/// What a place is to hold: what it holds, with this fingerprint as it stands now.
fn wanted(quarantine: &QuarantineState, before: &Place, print: Fingerprint, wall_ms: u64) -> Place {
    let request = print.to_string();
    let others = before.suspects.iter().filter(|one| one.request != request);
    let others = others.filter(|one| wall_ms.saturating_sub(one.at_ms) < KEPT_MS);
    let mut suspects: Vec<StoredSuspect> = others.cloned().collect();
    suspects.extend(quarantine.to_store(print));
    suspects.sort_by_key(|one| one.at_ms);
    let surplus = suspects.len().saturating_sub(SUSPECTS);
    suspects.drain(..surplus);
    Place { suspects }
}

/// What a row holds; one that cannot be read holds nothing, and is written anew.
fn place(row: &StoredRow) -> Place {
    let value = row.value.as_deref().unwrap_or(b"{\"suspects\":[]}");
    serde_json::from_slice(value).unwrap_or_else(|error| {
        log::error!(key = row.key.as_str(), version = row.version; "quarantine row: {error}");
        Place::default()
    })
}
