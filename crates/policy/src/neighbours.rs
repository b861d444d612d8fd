//! Which peers a daemon shares news of the members with, and its rank among them.
//!
//! A daemon looks for two neighbours in its own zone, and is a neighbour of all that chose
//! it. With two each, drawn by hash, the daemons of a zone hang together with near certainty
//! (random graphs in which each vertex chooses two are connected: Fenner and Frieze, 1982),
//! and news cross it in a few hops. A few daemons of each zone look for one in another zone
//! of their region besides, and a few of each region for one in the next region: the regions
//! make a ring, so that news reach all of them also where one host or one way is lost.

use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};

use crate::distance::Distance;
use crate::ids::TargetId;
use crate::subset::{Candidate, Here, nearest_first};

/// Neighbours that a daemon looks for in its own zone.
pub const NEAR_NEIGHBOURS: usize = 2;
/// Neighbours that a few look for in another zone.
pub const FAR_NEIGHBOURS: usize = 1;
/// Neighbours that a few look for in the next region.
pub const REGION_NEIGHBOURS: usize = 1;
/// How many daemons of a zone look beyond it. Bytes between zones have a price; if half of the
/// daemons of a zone fail, all six are among them with probability 1/64.
const FAR_KEEPERS: usize = 6;
/// How many daemons of a region look beyond it. Bytes between regions have a higher price;
/// if half of the daemons of a region fail, all four are among them with probability 1/16,
/// and the way round the ring is left.
const REGION_KEEPERS: usize = 4;

/// The members in the order in which a daemon would have them as neighbours.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct NeighbourOrder {
    /// Those of its own zone.
    pub near: Vec<TargetId>,
    /// Those of other zones of its region; none where others of the zone look for them.
    pub far: Vec<TargetId>,
    /// Those of the next region, and of others after it; none where others of the region look
    /// for them.
    pub regions: Vec<TargetId>,
}

/// The order of all other members for the daemon that stands `here`.
pub fn neighbours(here: Here<'_>, members: &[Candidate]) -> NeighbourOrder {
    let others = members.iter().filter(|member| member.host != here.host);
    let (own, foreign): (Vec<Candidate>, Vec<Candidate>) = others
        .cloned()
        .partition(|member| here.distance(member) < Distance::OtherRegion);
    let looks_beyond = keeps(here.host, &own, REGION_KEEPERS);
    let (near, far): (Vec<Candidate>, Vec<Candidate>) = own
        .into_iter()
        .partition(|member| here.distance(member).is_own_zone());
    let looks_far = keeps(here.host, &near, FAR_KEEPERS);
    NeighbourOrder {
        near: nearest_first(here, &near),
        far: match looks_far {
            true => nearest_first(here, &far),
            false => Vec::new(),
        },
        regions: match looks_beyond {
            true => in_ring(here, &foreign),
            false => Vec::new(),
        },
    }
}

/// Whether a host is among the first `count` of itself and `others`.
fn keeps(host: &str, others: &[Candidate], count: usize) -> bool {
    rank(host, others.iter().map(|member| member.host.as_str())) < count
}

/// Members of other regions by their regions' order in the ring after the own one.
fn in_ring(here: Here<'_>, foreign: &[Candidate]) -> Vec<TargetId> {
    let mut regions: Vec<&str> = foreign
        .iter()
        .map(|member| member.region.as_str())
        .collect();
    regions.sort_unstable();
    regions.dedup();
    let after = regions.partition_point(|region| *region < here.region);
    regions.rotate_left(after);
    let members = |region: &str| {
        let of_region = foreign.iter().filter(|member| member.region == region);
        let of_region: Vec<Candidate> = of_region.cloned().collect();
        nearest_first(here, &of_region)
    };
    regions.into_iter().flat_map(members).collect()
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
