//! What a daemon writes into the directory: its own member row, and the key where
//! there is none yet.

use std::sync::Arc;
use std::time::Duration;

use lynxcleat_store::{OwnedRow, RowStoreError, RowWrite, StoredRow};
use lynxcleat_wire::SharedKey;
use rand::RngExt;

use super::member;
use super::state::{DirectoryState, TABLE};
use crate::core::Core;
use crate::metrics::count;
use crate::sync::lock;

/// Key of the row that holds the key of links.
const KEY_ROW: &str = "key";
/// Bytes of a key that is made here.
const KEY_BYTES: usize = 32;
/// Pauses after a failed write: the first, and the longest.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
const LONGEST_PAUSE: Duration = Duration::from_secs(2);

/// Keeps this daemon's member row as it is wanted, until the daemon ends.
pub(super) async fn keep_own_row(core: Arc<Core>) {
    let Some(directory) = &core.directory else {
        return;
    };
    loop {
        directory.wanted.notified().await;
        let mut pause = FIRST_PAUSE;
        while let Some(write) = next_write(directory) {
            if let Err(error) = write_own(&core, directory, write).await {
                log::warn!("own member row: {error}");
                tokio::time::sleep(jittered(pause)).await;
                pause = (pause * 2).min(LONGEST_PAUSE);
            }
        }
        directory.settled.notify_waiters();
    }
}

fn next_write(directory: &DirectoryState) -> Option<RowWrite> {
    lock(&directory.own).as_ref().and_then(OwnedRow::next_write)
}

async fn write_own(
    core: &Core,
    directory: &DirectoryState,
    write: RowWrite,
) -> Result<(), RowStoreError> {
    count(&core.metrics.store_calls, "own-row");
    let value = write.value.clone();
    let written = directory.directory.store.write(write).await;
    let mut own = lock(&directory.own);
    let Some(own) = own.as_mut() else {
        return Ok(());
    };
    match written {
        Ok(version) => {
            member::record_own_stored(directory, &value);
            own.record_write(value, version);
        }
        Err(RowStoreError::Conflict { current: Some(row) }) => own.observe(&row),
        Err(RowStoreError::Conflict { current: None }) => own.observe_absent(),
        Err(error) => return Err(error),
    }
    Ok(())
}

/// Takes the key from news of the table.
pub(super) fn take_key(directory: &DirectoryState, news: &[StoredRow]) {
    let row = news.iter().find(|row| row.key == KEY_ROW);
    let Some(value) = row.and_then(|row| row.value.as_ref()) else {
        return;
    };
    match SharedKey::new(value) {
        Ok(key) => {
            // The row is written once, so a second key can only be the same.
            let _ = directory.key.set(key);
        }
        Err(error) => log::error!("key of links: {error}"),
    }
}

/// Makes a key if the store has none. Of several daemons that try, the first wins.
pub(super) async fn make_key_if_absent(core: &Core, directory: &DirectoryState) {
    while directory.key.get().is_none() {
        let value = rand::random::<[u8; KEY_BYTES]>().to_vec();
        let write = RowWrite {
            table: TABLE.to_owned(),
            key: KEY_ROW.to_owned(),
            expected: 0,
            value: value.clone(),
        };
        let row = |value| StoredRow {
            key: KEY_ROW.to_owned(),
            value: Some(value),
            version: 0,
        };
        count(&core.metrics.store_calls, "key");
        match directory.directory.store.write(write).await {
            Ok(_) => take_key(directory, &[row(value)]),
            Err(RowStoreError::Conflict { current: Some(row) }) => take_key(directory, &[row]),
            Err(error) => {
                log::warn!("key of links: {error}");
                tokio::time::sleep(jittered(FIRST_PAUSE)).await;
            }
        }
    }
}

pub(super) fn jittered(pause: Duration) -> Duration {
    pause.mul_f64(rand::rng().random_range(0.75..1.25))
}
