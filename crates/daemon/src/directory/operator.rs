//! What operators write beside the accepted settings, in rows of the same table.

use std::sync::Arc;

use lynxcleat_policy::{RolloutOrder, ZoneNews};
use lynxcleat_store::StoredRow;
use thiserror::Error;

use super::{DirectoryState, zones};
use crate::core::Core;
use crate::rollout;

/// What one row asks for while it is there.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum OperatorRow {
    /// The targets of an availability zone get no new calls.
    Evacuation {
        /// The zone.
        zone: String,
    },
    /// A service is moved to a version of its targets.
    Rollout {
        /// The service.
        service: String,
        /// What is asked for; absent where the row was removed.
        wanted: Option<WantedRollout>,
    },
}

/// What the row of a rollout asks for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WantedRollout {
    /// The version.
    pub target: String,
    /// Time within which it is to be done, in milliseconds.
    pub within_ms: u64,
}

/// Why a row changes nothing though its key says what it is.
#[derive(Debug, Error)]
pub enum OperatorRowError {
    /// It names a zone that the deployment has not.
    #[error("there is no availability zone {0:?}")]
    UnknownZone(String),
    /// Its value cannot be read.
    #[error("{0}")]
    Value(#[source] Box<dyn std::error::Error + Send + Sync>),
}

/// Reads a row by its key and its value, which is absent where the row was removed; nothing
/// for a row of another kind.
pub type ReadOperatorRow =
    Arc<dyn Fn(&str, Option<&[u8]>) -> Result<Option<OperatorRow>, OperatorRowError> + Send + Sync>;

/// Takes news of the table of the settings.
pub(super) fn take_rows(core: &Arc<Core>, directory: &DirectoryState, rows: &[StoredRow]) {
    let mut zones = Vec::new();
    let mut orders = Vec::new();
    for row in rows {
        match read(directory, row) {
            Some(OperatorRow::Evacuation { zone }) => zones.push(ZoneNews {
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
        within_us: wanted
            .as_ref()
            .map_or(0, |wanted| wanted.within_ms.saturating_mul(1_000)),
        target: wanted.map(|wanted| wanted.target),
    }
}
