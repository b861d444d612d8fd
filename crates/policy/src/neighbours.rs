//! Selects the peers that a daemon exchanges membership gossip with, and ranks hosts.
//!
//! A daemon connects to two neighbours in its own zone, and is a neighbour of every daemon
//! that selected it. With two each, drawn by hash, the daemons of a zone form a connected
//! graph with near certainty (random graphs in which each vertex chooses two are connected:
//! Fenner and Frieze, 1982), and an update crosses it in a few hops. In addition, a few
//! daemons of each zone connect to one in another zone of their region, and a few of each
//! region to one in the next region. The regions form a ring, so that updates reach all of
//! them even if one host or one path between regions is lost.

use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};

use crate::distance::Distance;
use crate::ids::TargetId;
use crate::subset::{Candidate, Location, nearest_first};

/// Number of neighbours that a daemon connects to in its own zone.
pub const SAME_ZONE_NEIGHBOURS: usize = 2;
/// Number of neighbours in another zone, for daemons that connect to other zones.
pub const OTHER_ZONE_NEIGHBOURS: usize = 1;
/// Number of neighbours in the next region, for daemons that connect to other regions.
pub const OTHER_REGION_NEIGHBOURS: usize = 1;
/// Number of daemons per zone that connect to other zones. Traffic between zones is charged
/// for; if half of the daemons of a zone fail, all six are among them with probability 1/64.
const CROSS_ZONE_DAEMONS: usize = 6;
/// Number of daemons per region that connect to other regions. Traffic between regions costs
/// more than between zones; if half of the daemons of a region fail, all four are among them
/// with probability 1/16, and the other direction of the ring remains.
const CROSS_REGION_DAEMONS: usize = 4;

/// The members that a daemon may select as neighbours, most preferred first.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct NeighbourOrder {
    /// Members in the daemon's own zone.
    pub same_zone: Vec<TargetId>,
    /// Members in other zones of the region. Empty if other daemons of the zone connect to
    /// them.
    pub other_zones: Vec<TargetId>,
    /// Members in the next region, then in the regions after it. Empty if other daemons of
    /// the region connect to them.
    pub other_regions: Vec<TargetId>,
}

/// Orders all other members as neighbours for the daemon at `here`.
pub fn neighbours(here: Location<'_>, members: &[Candidate]) -> NeighbourOrder {
    let others = members.iter().filter(|member| member.host != here.host);
    let (own, foreign): (Vec<Candidate>, Vec<Candidate>) = others
        .cloned()
        .partition(|member| here.distance(member) < Distance::OtherRegion);
    let connects_regions = is_among_first(here.host, &own, CROSS_REGION_DAEMONS);
    let (same_zone, other_zones): (Vec<Candidate>, Vec<Candidate>) = own
        .into_iter()
        .partition(|member| here.distance(member).is_own_zone());
    let connects_zones = is_among_first(here.host, &same_zone, CROSS_ZONE_DAEMONS);
    NeighbourOrder {
        same_zone: nearest_first(here, &same_zone),
        other_zones: match connects_zones {
            true => nearest_first(here, &other_zones),
            false => Vec::new(),
        },
        other_regions: match connects_regions {
            true => ring_order(here, &foreign),
            false => Vec::new(),
        },
    }
}

/// Whether a host is among the `count` lowest ranks of itself and `others`.
fn is_among_first(host: &str, others: &[Candidate], count: usize) -> bool {
    rank(host, others.iter().map(|member| member.host.as_str())) < count
}

/// Orders members of other regions by the position of their regions in the ring, starting
/// after the own region.
fn ring_order(here: Location<'_>, foreign: &[Candidate]) -> Vec<TargetId> {
    let mut regions: Vec<&str> = foreign
        .iter()
        .map(|member| member.region.as_str())
        .collect();
    regions.sort_unstable();
    regions.dedup();
    let next = regions.partition_point(|region| *region < here.region);
    regions.rotate_left(next);
    let members = |region: &str| {
        let of_region = foreign.iter().filter(|member| member.region == region);
        let of_region: Vec<Candidate> = of_region.cloned().collect();
        nearest_first(here, &of_region)
    };
    regions.into_iter().flat_map(members).collect()
}

/// Returns how many of `others` sort before `host`. The order is by hash: it is the same on
/// all daemons and mixes the zones.
pub fn rank<'a>(host: &str, others: impl Iterator<Item = &'a str>) -> usize {
    let own = host_hash(host);
    others.filter(|other| host_hash(other) < own).count()
}

fn host_hash(host: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    host.hash(&mut hasher);
    hasher.finish()
}
