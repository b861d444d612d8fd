//! The status rows: what of a rollout stands in the store.
//!
//! Any daemon may write one. Those with a lower rank try first, so that one write is the rule,
//! and the condition on the row's version settles what two write. The end that stands first
//! is what everyone follows.

use std::sync::Arc;
use std::time::Duration;

use lynxcleat_policy::{Micros, Phase, RolloutChange};
use lynxcleat_store::{RowStoreError, RowWrite, StoredRow};
use serde::{Deserialize, Serialize};

use super::state::{State, Writing};
use super::{changed, spread};
use crate::core::Core;
use crate::directory::state::DirectoryState;
use crate::metrics::count;
use crate::sync::lock;

/// Time by which a daemon waits longer than the one before it in rank, and the longest.
const RANK_PAUSE_US: Micros = 80_000;
const RANK_PAUSE_LIMIT_US: Micros = 2_000_000;
/// Pause after a failed call to the store, and the longest.
const FIRST_PAUSE: Duration = Duration::from_millis(150);
const LONGEST_PAUSE: Duration = Duration::from_secs(2);

/// The value of a status row.
#[derive(Debug, Deserialize, Serialize)]
struct StatusRow {
    state: State,
    target: String,
    /// Number of the order.
    #[serde(default)]
    order: u64,
}

/// Asks for a state to stand in the status row; the write begins when it is this daemon's
/// turn.
pub(super) fn want(core: &Arc<Core>, service: &str, order: u64, state: State) {
    let now = core.clock.now();
    let service = service.to_owned();
    let wish = (order, state);
    {
        let mut writes = lock(&core.rollouts.writes);
        let new = Writing {
            order: wish.0,
            state,
            since: now,
            busy: false,
        };
        let writing = writes.entry(service.clone()).or_insert(new);
        if writing.busy {
            return;
        }
        if (writing.order, writing.state) != wish {
            *writing = new;
        }
        let rank = core.hosts.rank(&core.config.host) as Micros;
        let turn = (rank * RANK_PAUSE_US).min(RANK_PAUSE_LIMIT_US);
        if now < writing.since + turn {
            return;
        }
        writing.busy = true;
    }
    tokio::spawn(write(Arc::clone(core), service, wish.0, state));
}

async fn write(core: Arc<Core>, service: String, order: u64, state: State) {
    let mut pause = FIRST_PAUSE;
    while let Some(write) = next_write(&core, &service, order, state) {
        let Some(directory) = &core.directory else {
            return;
        };
        count(&core.metrics.store_calls, "rollout-status");
        let value = write.value.clone();
        match directory.store().write(write).await {
            Ok(version) => {
                take_value(&core, &service, &value, version);
                continue;
            }
            Err(RowStoreError::Conflict { current: Some(row) }) => take_row(&core, &service, &row),
            Err(RowStoreError::Conflict { current: None }) => see_row(&core, &service, 0),
            Err(error) => {
                log::warn!(service = service.as_str(), state:? = state; "status of a rollout: {error}");
            }
        }
        tokio::time::sleep(pause).await;
        pause = (pause * 2).min(LONGEST_PAUSE);
    }
    lock(&core.rollouts.writes).remove(&service);
}

/// The write that is needed, if what is wanted still is.
fn next_write(core: &Core, service: &str, order: u64, state: State) -> Option<RowWrite> {
    let status = core.directory.as_ref()?.rollout_status();
    core.rollouts.with(|known| {
        let rollout = known.get(service)?;
        let is_wanted = match (state, rollout.phase()) {
            (State::Running, Phase::Running) | (State::Reverted, Phase::Reverted) => {
                !rollout.is_stored()
            }
            (State::Done, Phase::Moving) => true,
            _ => false,
        };
        if rollout.number() != order || !is_wanted {
            return None;
        }
        let row = StatusRow {
            state,
            target: rollout.version().to_owned(),
            order,
        };
        Some(RowWrite {
            table: status.table.clone(),
            key: format!("{}{service}", status.key_prefix),
            expected: rollout.row_version(),
            value: serde_json::to_vec(&row).expect("a status encodes"),
        })
    })
}

/// Reads the status row of a service, until the store answers.
pub(super) fn read_soon(core: &Arc<Core>, service: &str) {
    let core = Arc::clone(core);
    let service = service.to_owned();
    tokio::spawn(async move {
        let Some(directory) = &core.directory else {
            return;
        };
        let mut pause = FIRST_PAUSE;
        while let Err(error) = read(&core, directory, &service).await {
            log::warn!(service = service.as_str(); "status of a rollout: {error}");
            tokio::time::sleep(pause).await;
            pause = (pause * 2).min(LONGEST_PAUSE);
        }
    });
}

async fn read(
    core: &Arc<Core>,
    directory: &DirectoryState,
    service: &str,
) -> Result<(), RowStoreError> {
    let status = directory.rollout_status();
    let key = format!("{}{service}", status.key_prefix);
    count(&core.metrics.store_calls, "rollout-status-read");
    let table = directory.store().read(&status.table).await?;
    if let Some(row) = table.rows.iter().find(|row| row.key == key) {
        take_row(core, service, row);
    }
    Ok(())
}

/// A status row as the store tells it.
fn take_row(core: &Arc<Core>, service: &str, row: &StoredRow) {
    match &row.value {
        Some(value) => take_value(core, service, value, row.version),
        None => see_row(core, service, 0),
    }
}

fn take_value(core: &Arc<Core>, service: &str, value: &[u8], version: u64) {
    let row: StatusRow = match serde_json::from_slice(value) {
        Ok(row) => row,
        Err(error) => {
            // What cannot be read is written over.
            log::error!(service, version; "status of a rollout: {error}");
            see_row(core, service, version);
            return;
        }
    };
    let phase = match row.state {
        State::Running => Phase::Running,
        State::Done => Phase::Done,
        State::Reverted => Phase::Reverted,
    };
    let taken = core.rollouts.with(|known| {
        let rollout = known.get_mut(service)?;
        if row.order != rollout.number() {
            match row.order < rollout.number() {
                true => rollout.record_row_version(version),
                false => rollout.mark_superseded(),
            }
            return None;
        }
        Some(rollout.record_stored(phase, version))
    });
    if taken == Some(RolloutChange::Relay) {
        changed(core, service);
        spread::pass_on(core, service, None);
    }
}

fn see_row(core: &Core, service: &str, version: u64) {
    core.rollouts.with(|known| {
        if let Some(rollout) = known.get_mut(service) {
            rollout.record_row_version(version);
        }
    });
}
