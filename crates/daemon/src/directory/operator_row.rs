//! What operators write beside the accepted settings, as it is read from one row.

use std::sync::Arc;

use thiserror::Error;

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
