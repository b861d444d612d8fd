//! Which old targets can be reached while calls move away from them.
//!
//! An old target that says nothing may be dead, or only not linked to from here. The daemons
//! that write the end first make a link to each such host; one to which none can be made is
//! not waited for as long as the others.

use std::sync::Arc;

use super::state::{Tries, Try};
use crate::core::Core;
use crate::mesh::Links;
use crate::sync::lock;

/// Members by rank that reach for old targets; the others leave the end to them.
const REACHING: usize = 4;

/// Whether a host without a link cannot be reached, as far as was tried for an order. Begins
/// to try where that was not done.
pub(super) fn is_unreachable(core: &Arc<Core>, order: u64, host: &str, mesh: &str) -> bool {
    if core.hosts.rank(&core.config.host) >= REACHING {
        return false;
    }
    let mut tries = lock(&core.rollouts.reach.tries);
    if tries.order != order {
        *tries = Tries {
            order,
            ..Tries::default()
        };
    }
    if let Some(known) = tries.hosts.get(host) {
        return *known == Try::Failed;
    }
    tries.hosts.insert(host.to_owned(), Try::Begun);
    drop(tries);
    tokio::spawn(reach(
        Arc::clone(core),
        order,
        host.to_owned(),
        mesh.to_owned(),
    ));
    false
}

async fn reach(core: Arc<Core>, order: u64, host: String, mesh: String) {
    let dialed = Links::dial(&core, &mesh).await;
    let is_reached = dialed.is_ok_and(|link| link.peer.host == host);
    log::info!(host = host.as_str(), order, reached = is_reached; "old target looked for");
    let mut tries = lock(&core.rollouts.reach.tries);
    if tries.order != order {
        return;
    }
    match is_reached {
        // A link that is lost later is looked for again.
        true => tries.hosts.remove(&host),
        false => tries.hosts.insert(host, Try::Failed),
    };
}
