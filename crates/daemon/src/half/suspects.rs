//! Suspect requests at the target: quarantined ones are refused, and the others run one at a
//! time, so that an end of the target speaks against one of them only.

use std::time::Duration;

use lynxcleat_policy::{Micros, QuarantineStatus, Refusal, RefusalReason};
use tokio::sync::{Mutex, MutexGuard};

use crate::quarantine::Request;

/// Part of the time left for which a suspect waits for the one before it, as a divisor: time
/// is left to be served elsewhere.
const WAIT_PART: u64 = 3;
/// Hint for callers whose suspect call found no turn.
const BUSY_RETRY_AFTER_US: Micros = 200_000;

/// The turn of suspects at the target.
#[derive(Default)]
pub(super) struct Suspects {
    turn: Mutex<()>,
}

impl Suspects {
    /// Waits until a request may run. What is returned is held while it runs, where it has to
    /// be the only suspect there.
    ///
    /// # Errors
    /// A request that is quarantined, or whose time is needed elsewhere. It was not run.
    pub(super) async fn enter(
        &self,
        request: Option<Request<'_>>,
        left_us: Micros,
    ) -> Result<Option<MutexGuard<'_, ()>>, Refusal> {
        let Some(request) = request else {
            return Ok(None);
        };
        if !is_suspect(&request)? {
            return Ok(None);
        }
        let limit = Duration::from_micros(left_us / WAIT_PART);
        let Ok(turn) = tokio::time::timeout(limit, self.turn.lock()).await else {
            return Err(Refusal {
                reason: RefusalReason::Busy,
                retry_after_us: BUSY_RETRY_AFTER_US,
            });
        };
        // The one before it may have told what it is.
        Ok(is_suspect(&request)?.then_some(turn))
    }

    /// Whether a suspect runs, so that an end of the target says nothing about others.
    pub(super) fn any_runs(&self) -> bool {
        self.turn.try_lock().is_err()
    }
}

/// Why a request is not run, where it is quarantined.
pub(super) fn refusal(request: &Request<'_>) -> Option<Refusal> {
    is_suspect(request).err()
}

/// Whether a request has to wait for its turn.
///
/// # Errors
/// A request that is quarantined.
fn is_suspect(request: &Request<'_>) -> Result<bool, Refusal> {
    match request.standing() {
        QuarantineStatus::Clear => Ok(false),
        QuarantineStatus::Suspect => Ok(true),
        QuarantineStatus::Quarantined { remaining_us } => Err(Refusal {
            reason: RefusalReason::Quarantined,
            retry_after_us: remaining_us,
        }),
    }
}
