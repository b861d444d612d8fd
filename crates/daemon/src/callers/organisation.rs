//! Authentication of callers by organisation key.

use std::sync::Arc;
use std::time::Duration;

use lynxcleat_settings::{CallerKeys, Effective, NamedOrganisation};

use super::answer::{KeyFault, Problem};
use super::classify::CallerKey;
use crate::core::Core;
use crate::directory::settings_age;
use crate::metrics::count;
use crate::settings::state::InForce;

/// Returns the organisation that makes a call, or `None` if keys are not required or if the call
/// has no key on a public route. A key that is present must be valid on public routes too.
///
/// # Errors
/// Fails if the key is missing or invalid, or if the settings are too stale to verify it.
pub(super) fn check(
    core: &Core,
    in_force: &InForce,
    effective: &Effective,
    key: &CallerKey,
    is_public: bool,
) -> Result<Option<Arc<NamedOrganisation>>, Problem> {
    if effective.caller_keys == CallerKeys::None {
        return Ok(None);
    }
    let found = match key {
        CallerKey::None if is_public => return Ok(None),
        CallerKey::None => Err(KeyFault::Missing),
        CallerKey::Malformed => Err(KeyFault::Malformed),
        CallerKey::One(key) => in_force.keys.find(key).ok_or(KeyFault::Unknown),
    };
    if is_in_doubt(core, effective) {
        count(&core.metrics.key_refusals, "in-doubt");
        return Err(Problem::KeysInDoubt);
    }
    match found {
        Ok(named) => Ok(Some(Arc::clone(named))),
        Err(fault) => {
            count(&core.metrics.key_refusals, fault.label());
            Err(Problem::NoKey(fault))
        }
    }
}

/// Whether the settings are too stale to exclude that a key was revoked.
fn is_in_doubt(core: &Core, effective: &Effective) -> bool {
    let limit = Duration::from_millis(effective.key_doubt_ms);
    !limit.is_zero() && settings_age(core) > limit
}
