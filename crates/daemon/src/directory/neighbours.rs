//! The neighbours of a daemon: the few peers with which it shares what the store says of
//! the members.
//!
//! Whom it looks for is decided by [`lynxcleat_policy::neighbours`]; whoever sends news is a
//! neighbour as well.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use lynxcleat_policy::{
    Candidate, Cost, FAR_NEIGHBOURS, NEAR_NEIGHBOURS, REGION_NEIGHBOURS, TargetId, neighbours,
};
use lynxcleat_store::{HostEntry, HostState};

use super::spread;
use crate::control::Purpose;
use crate::core::Core;
use crate::host_table::candidate;
use crate::mesh::{Link, Links};
use crate::sync::lock;

/// Pause between two looks at whether the links stand.
const LOOK_PAUSE: Duration = Duration::from_millis(500);
/// Time for which a member that could not be reached is passed over.
const PASSED_OVER: Duration = Duration::from_secs(4);
/// What making a link costs, as for the links to targets.
const LINK: Cost = Cost {
    messages: 1,
    bytes: 2_000,
    cpu_us: 500,
};

/// Members that could not be reached, with the time of the try.
type Unreached = HashMap<String, Instant>;

/// Keeps links to neighbours until the daemon ends.
pub(super) async fn keep(core: Arc<Core>) {
    let mut unreached = Unreached::new();
    loop {
        if core.shared_key().is_some() {
            unreached.retain(|_, tried| tried.elapsed() < PASSED_OVER);
            let wanted = wanted(&core);
            keep_some(&core, &wanted.near, NEAR_NEIGHBOURS, &mut unreached).await;
            keep_some(&core, &wanted.far, FAR_NEIGHBOURS, &mut unreached).await;
            keep_some(&core, &wanted.regions, REGION_NEIGHBOURS, &mut unreached).await;
        }
        tokio::time::sleep(LOOK_PAUSE).await;
    }
}

/// Sees to it that links to the first `count` members that can be reached stand.
async fn keep_some(
    core: &Arc<Core>,
    members: &[HostEntry],
    count: usize,
    unreached: &mut Unreached,
) {
    let mut standing = 0;
    for member in members {
        if standing == count {
            return;
        }
        if unreached.contains_key(&member.host) {
            continue;
        }
        match link_to(core, member).await {
            Some(link) => {
                standing += 1;
                join(core, &link);
            }
            None => {
                unreached.insert(member.host.clone(), Instant::now());
            }
        }
    }
}

async fn link_to(core: &Arc<Core>, member: &HostEntry) -> Option<Arc<Link>> {
    let live = core.links.live(&member.mesh);
    let link = match live {
        Some(link) => link,
        None if core.budget.ask(Purpose::Redial, LINK) => {
            match Links::dial(core, &member.mesh).await {
                Ok(link) => link,
                Err(error) => {
                    log::debug!("no link to a neighbour: {error}");
                    return None;
                }
            }
        }
        None => return None,
    };
    (link.peer.host == member.host).then_some(link)
}

/// A new neighbour is told what is known here, and answers with what it knows besides.
fn join(core: &Core, link: &Arc<Link>) {
    let Some(directory) = &core.directory else {
        return;
    };
    if directory.neighbours.add(link) {
        let through = lock(&directory.members).through();
        spread::send(core, directory, link, through);
    }
}

/// The members that this daemon looks for, in their order.
struct Wanted {
    /// Of this zone.
    near: Vec<HostEntry>,
    /// Of other zones of this region.
    far: Vec<HostEntry>,
    /// Of other regions.
    regions: Vec<HostEntry>,
}

fn wanted(core: &Core) -> Wanted {
    let mut members = core.hosts.all();
    members.retain(|entry| entry.state == HostState::Live);
    let candidates: Vec<Candidate> = members
        .iter()
        .enumerate()
        .map(|(number, entry)| candidate(TargetId(number as u32), entry))
        .collect();
    let order = neighbours(core.here(), &candidates);
    let entries = |targets: Vec<TargetId>| {
        let targets = targets.into_iter();
        targets
            .map(|target| members[target.0 as usize].clone())
            .collect()
    };
    Wanted {
        near: entries(order.near),
        far: entries(order.far),
        regions: entries(order.regions),
    }
}
