//! Claims of plain keys: those that wait, those known, and why there is none.

use std::collections::HashMap;
use std::sync::{Mutex, OnceLock};

use lynxcleat_once::{Ticket, TicketError};
use lynxcleat_policy::Micros;
use lynxcleat_store::{PlatformError, Row};
use thiserror::Error;

/// Claims that may wait.
pub(super) const QUEUE_LIMIT: usize = 1_024;
/// Hint for callers while the platform cannot be reached.
const DOWN_RETRY_AFTER_US: Micros = 2_000_000;
/// Hint for callers while too many claims wait.
const BUSY_RETRY_AFTER_US: Micros = 500_000;

/// A key's ticket, and the version of its row.
#[derive(Clone, Debug)]
pub struct Claimed {
    /// The ticket.
    pub ticket: Ticket,
    /// Version of the row that holds it.
    pub version: u64,
}

/// Why a key has no ticket. Its call was not run.
#[derive(Clone, Debug, Error)]
pub enum ClaimError {
    /// The platform failed.
    #[error("{0}")]
    Platform(#[from] PlatformError),
    /// Too many claims wait.
    #[error("{QUEUE_LIMIT} claims wait already")]
    Busy,
    /// The platform took longer than the caller waits.
    #[error("the platform took longer than the call's deadline")]
    TooSlow,
    /// The row of the key does not hold a ticket of this deployment.
    #[error("the claim's row: {0}")]
    BadRow(#[from] TicketError),
    /// Another daemon replaced the claim first.
    #[error("another daemon replaced the claim")]
    Replaced,
}

impl ClaimError {
    /// When to come back.
    pub fn retry_after_us(&self) -> Micros {
        match self {
            ClaimError::Platform(_) | ClaimError::BadRow(_) | ClaimError::TooSlow => {
                DOWN_RETRY_AFTER_US
            }
            ClaimError::Busy | ClaimError::Replaced => BUSY_RETRY_AFTER_US,
        }
    }
}

/// A claim that waits.
pub(super) struct Wanted {
    pub(super) row_key: String,
    pub(super) ticket_text: String,
    pub(super) reply: flume::Sender<Result<Row, ClaimError>>,
}

/// Claims that wait, and those known.
#[derive(Default)]
pub struct Claims {
    pub(super) queue: OnceLock<flume::Sender<Wanted>>,
    pub(super) known: Mutex<HashMap<String, Claimed>>,
}
