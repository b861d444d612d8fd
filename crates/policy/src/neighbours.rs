//! Which peers a daemon shares news of the members with, and its rank among them.
//!
//! A daemon looks for two neighbours in its own zone, and is a neighbour of all that chose
//! it. With two each, drawn by hash, the daemons of a zone hang together with near certainty
//! (random graphs in which each vertex chooses two are connected: Fenner and Frieze, 1982),
//! and news cross it in a few hops. A few daemons of each zone look for one in another zone
//! besides.

use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};

use crate::ids::TargetId;
use crate::subset::{Candidate, Here, subset};

/// Neighbours that a daemon looks for in its own zone.
pub const NEAR_NEIGHBOURS: usize = 2;
/// Neighbours that a few look for in another zone.
pub const FAR_NEIGHBOURS: usize = 1;
/// How many daemons of a zone do. Bytes between zones have a price; where half of a zone is
/// lost, all six are in one of 64 cases.
const FAR_KEEPERS: usize = 6;

/// The members in the order in which a daemon would have them as neighbours.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct NeighbourOrder {
    /// Those of its own zone.
    pub near: Vec<TargetId>,
    /// Those of other zones; none where others of the zone look for them.
    pub far: Vec<TargetId>,
}

/// The order of all other members for the daemon that stands `here`.
pub fn neighbours(here: Here<'_>, members: &[Candidate]) -> NeighbourOrder {
    let others = members.iter().filter(|member| member.host != here.host);
    let (near, far): (Vec<Candidate>, Vec<Candidate>) =
        others.cloned().partition(|member| member.zone == here.zone);
    let looks_far = rank(here.host, near.iter().map(|member| member.host.as_str())) < FAR_KEEPERS;
    NeighbourOrder {
        near: subset(here, &near, near.len()),
        far: match looks_far {
            true => subset(here, &far, far.len()),
            false => Vec::new(),
        },
    }
}

/// How many of `others` come before a host, in an order by hash that is the same for all
/// daemons and mixes the zones.
pub fn rank<'a>(host: &str, others: impl Iterator<Item = &'a str>) -> usize {
    let own = place_in_order(host);
    others.filter(|other| place_in_order(other) < own).count()
}

fn place_in_order(host: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    host.hash(&mut hasher);
    hasher.finish()
}
