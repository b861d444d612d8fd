//! What operators write beside the accepted settings, in rows of the same table.

use std::sync::Arc;

use lynxcleat_policy::{RolloutOrder, ZoneUpdate};
use lynxcleat_store::StoredRow;

use super::operator_row::{OperatorRow, WantedRollout};
use super::state::DirectoryState;
use super::zones;
use crate::core::Core;
use crate::rollout;

/// Takes news of the table of the settings.
pub(super) fn take_rows(core: &Arc<Core>, directory: &DirectoryState, rows: &[StoredRow]) {
    let mut zones = Vec::new();
    let mut orders = Vec::new();
    for row in rows {
        match read(directory, row) {
            Some(OperatorRow::Evacuation { zone }) => zones.push(ZoneUpdate {
                zone,
                version: row.version,
                evacuated: row.value.is_some(),
            }),
            Some(OperatorRow::Rollout { service, wanted }) => {
                orders.push(order(row, service, wanted));
            }
            None => {}
        }
    }
    zones::take_rows(core, directory, zones);
    rollout::take_orders(core, &orders);
}

fn read(directory: &DirectoryState, row: &StoredRow) -> Option<OperatorRow> {
    let read = &directory.directory.settings.read_operator_row;
    match read(&row.key, row.value.as_deref()) {
        Ok(found) => found,
        Err(error) => {
            log::error!(key = row.key.as_str(), version = row.version; "operator's row refused: {error}");
            None
        }
    }
}

fn order(row: &StoredRow, service: String, wanted: Option<WantedRollout>) -> RolloutOrder {
    RolloutOrder {
        service,
        number: row.version,
        time_limit_us: wanted
            .as_ref()
            .map_or(0, |wanted| wanted.within_ms.saturating_mul(1_000)),
        version: wanted.map(|wanted| wanted.target),
    }
}
