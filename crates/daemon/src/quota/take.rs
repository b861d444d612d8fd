//! Taking a quota token for a call.

use std::sync::Arc;

use lynxcleat_policy::{LeaseOutcome, Micros};
use lynxcleat_settings::NamedOrganisation;
use thiserror::Error;

use super::ask;
use super::state::{SharedLease, limit_of};
use crate::core::Core;
use crate::sync::lock;

/// The organisation has used up its quota.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
#[error("quota exceeded; retry after {retry_after_us} us")]
pub struct OverQuota {
    /// Delay before a retry.
    pub retry_after_us: Micros,
}

/// Quota token of a call; empty if its organisation is unlimited.
pub struct Token<'a>(Option<(&'a Core, Arc<SharedLease>)>);

impl Token<'_> {
    /// Returns the token of a call that no target ran.
    pub fn return_to_lease(self) {
        if let Some((core, lease)) = self.0 {
            lock(&lease.lease).return_token(core.clock.now());
        }
    }
}

/// Takes a token for a call, waiting for a response of the bucket owner if the lease has none.
///
/// # Errors
/// Fails if the organisation has used up its quota.
pub async fn take<'a>(
    core: &'a Arc<Core>,
    organisation: Option<&Arc<NamedOrganisation>>,
) -> Result<Token<'a>, OverQuota> {
    let Some(named) = organisation.filter(|named| limit_of(&named.organisation).is_some()) else {
        return Ok(Token(None));
    };
    let lease = core.quota.lease(&named.name);
    lock(&lease.lease).record_call(core.clock.now());
    match wait_for_token(core, named, &lease).await {
        Ok(()) => Ok(Token(Some((core, lease)))),
        Err(over) => {
            core.metrics.quota_refusals.inc();
            Err(over)
        }
    }
}

async fn wait_for_token(
    core: &Arc<Core>,
    named: &Arc<NamedOrganisation>,
    lease: &Arc<SharedLease>,
) -> Result<(), OverQuota> {
    loop {
        // Registered before the lease is checked, so that no notification is missed.
        let answered = lease.answered.notified();
        tokio::pin!(answered);
        answered.as_mut().enable();
        let step = lock(&lease.lease).take(core.clock.now());
        if let LeaseOutcome::Taken {
            request: Some(request),
        }
        | LeaseOutcome::Wait {
            request: Some(request),
        } = step
        {
            ask::spawn(core, Arc::clone(named), Arc::clone(lease), request);
        }
        match step {
            LeaseOutcome::Taken { .. } => return Ok(()),
            LeaseOutcome::Limited { retry_after_us } => return Err(OverQuota { retry_after_us }),
            LeaseOutcome::Wait { .. } => answered.await,
        }
    }
}
