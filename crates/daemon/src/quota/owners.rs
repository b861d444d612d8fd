//! Tracking of the bucket owners, and the links between them.

use std::sync::Arc;
use std::time::Duration;

use lynxcleat_policy::BucketOwners;
use lynxcleat_store::HostState;

use super::state::limit_of;
use crate::core::Core;

/// Interval between refreshes of the owners.
const REFRESH_INTERVAL: Duration = Duration::from_millis(500);

/// Starts the periodic refresh of the bucket owners.
pub fn start(core: &Arc<Core>) {
    let core = Arc::clone(core);
    tokio::spawn(async move {
        loop {
            refresh(&core).await;
            tokio::time::sleep(REFRESH_INTERVAL).await;
        }
    });
}

async fn refresh(core: &Arc<Core>) {
    let Some(in_force) = core.settings.current() else {
        return;
    };
    let tree = &in_force.generation.tree;
    let mut all = tree.organisations();
    if !all.any(|named| limit_of(&named.organisation).is_some()) {
        return;
    }
    let owners = update(core);
    log_grants(core, &owners);
    core.quota.retain(|name| tree.organisation(name).is_some());
}

/// Logs which buckets granted tokens since the last refresh, so that the logs of several daemons
/// together tell who granted how much of a limit. The first owner's grants are only logged at this
/// level if it refused some.
fn log_grants(core: &Core, owners: &BucketOwners) {
    for (organisation, tally) in core.quota.take_tallies() {
        let first = owners.preference_order(&organisation).first().copied();
        let is_first = first == Some(core.config.host.as_str());
        let level = match is_first && tally.refused == 0 {
            true => log::Level::Debug,
            false => log::Level::Info,
        };
        let left = tally.level.map(|level| level.token_parts / 1_000);
        log::log!(
            level,
            organisation:% = organisation,
            owner:? = first,
            granted = tally.granted,
            refused = tally.refused,
            share = tally.share,
            left:? = left;
            "quota tokens granted"
        );
    }
}

/// Selects the bucket owners from the live members and stores them.
fn update(core: &Core) -> Arc<BucketOwners> {
    let members = core.hosts.all();
    let live = members
        .iter()
        .filter(|entry| entry.state == HostState::Live);
    let owners = BucketOwners::from_members(live.map(|entry| entry.host.as_str()));
    core.quota.set_bucket_owners(owners)
}

/// Bucket owners as of the last refresh; selected now if there was none.
pub(super) fn current(core: &Core) -> Arc<BucketOwners> {
    let owners = core.quota.bucket_owners();
    match owners.hosts().is_empty() {
        true => update(core),
        false => owners,
    }
}
