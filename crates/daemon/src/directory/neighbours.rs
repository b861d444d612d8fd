//! The neighbours of a daemon: the few peers with which it shares what the store says of
//! the members.
//!
//! [`lynxcleat_policy::neighbours`] selects the peers that a daemon wants as neighbours; a peer that
//! wants this daemon is a neighbour as well. A neighbour that neither side wants is dropped: the
//! selection changes with every member that becomes known while a fleet starts.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use lynxcleat_policy::{
    Candidate, Cost, OTHER_REGION_NEIGHBOURS, OTHER_ZONE_NEIGHBOURS, SAME_ZONE_NEIGHBOURS,
    TargetId, neighbours,
};
use lynxcleat_store::{HostEntry, HostState};
use lynxcleat_wire::Frame;

use super::{dial, spread};
use crate::control::Purpose;
use crate::core::Core;
use crate::host_table::candidate;
use crate::mesh::Link;
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
    let Some(directory) = &core.directory else {
        return;
    };
    let mut unreached = Unreached::new();
    loop {
        if core.shared_key().is_some() {
            unreached.retain(|_, tried| tried.elapsed() < PASSED_OVER);
            let wanted = wanted(&core);
            let groups = [
                (&wanted.near, SAME_ZONE_NEIGHBOURS),
                (&wanted.far, OTHER_ZONE_NEIGHBOURS),
                (&wanted.regions, OTHER_REGION_NEIGHBOURS),
            ];
            let mut kept = Vec::new();
            for (members, count) in groups {
                kept.extend(keep_some(&core, members, count, &mut unreached).await);
            }
            // Members discovered since may rank before those already linked.
            for link in directory.neighbours.drop_unwanted(&kept) {
                let _ = link.send(Frame::EndNeighbour);
            }
        }
        tokio::time::sleep(LOOK_PAUSE).await;
    }
}

/// Handles a peer's notice that it no longer wants this daemon as a neighbour.
pub fn end_neighbour(core: &Core, link: &Link) {
    if let Some(directory) = &core.directory {
        directory.neighbours.clear_wanted_by_peer(link);
    }
}

/// Maintains links to the first `count` reachable members and returns the link ids.
async fn keep_some(
    core: &Arc<Core>,
    members: &[HostEntry],
    count: usize,
    unreached: &mut Unreached,
) -> Vec<u64> {
    let mut standing = Vec::new();
    for member in members {
        if standing.len() == count {
            break;
        }
        if unreached.contains_key(&member.host) {
            continue;
        }
        match link_to(core, member).await {
            Some(link) => {
                standing.push(link.id);
                join(core, &link);
            }
            None => {
                unreached.insert(member.host.clone(), Instant::now());
            }
        }
    }
    standing
}

/// The link to a member, made if there is none and the measuring budget allows it.
async fn link_to(core: &Arc<Core>, member: &HostEntry) -> Option<Arc<Link>> {
    let is_live = core.links.live(&member.mesh).is_some();
    match is_live || core.budget.ask(Purpose::Redial, LINK) {
        true => dial::member(core, member).await,
        false => None,
    }
}

/// A new neighbour is told what is known here, and answers with what it knows besides.
fn join(core: &Core, link: &Arc<Link>) {
    let Some(directory) = &core.directory else {
        return;
    };
    if directory.neighbours.mark_wanted(link) {
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
        near: entries(order.same_zone),
        far: entries(order.other_zones),
        regions: entries(order.other_regions),
    }
}
