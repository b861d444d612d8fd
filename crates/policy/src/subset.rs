//! Selects the subset of a service's targets that a daemon keeps links to.
//!
//! A bounded subset keeps the number of links, the state and the cost of a choice constant
//! while the fleet grows. Targets are ordered by distance; equally distant ones by a
//! rendezvous hash of router and target, so that each router selects a different part and
//! the loss of one target moves only that target's share. (Rendezvous hashing: Thaler and
//! Ravishankar, 1998.)

use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};

use crate::distance::Distance;
use crate::ids::TargetId;

/// Location of a router.
#[derive(Clone, Copy, Debug)]
pub struct Location<'a> {
    /// Name of the router's host.
    pub host: &'a str,
    /// The router's place.
    pub place: &'a str,
    /// The router's availability zone.
    pub zone: &'a str,
    /// The router's region.
    pub region: &'a str,
}

/// One target of a service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Candidate {
    /// The target.
    pub target: TargetId,
    /// Name of its host.
    pub host: String,
    /// Its place.
    pub place: String,
    /// Its availability zone.
    pub zone: String,
    /// Its region.
    pub region: String,
    /// Whether its zone is evacuated. Such targets are ordered last, so that they are selected
    /// only where there are no others.
    pub evacuated: bool,
}

/// Minimum number of targets from other regions in a subset. With two, one may be lost and
/// another still serves when the targets of the own region are gone or full.
pub const MIN_OTHER_REGION_TARGETS: usize = 2;
/// Divisor of the subset size that gives the maximum number of targets from other regions
/// while the own region has targets. Each link between regions costs upkeep, and a call over
/// it pays for the longer path.
const OTHER_REGION_DIVISOR: usize = 4;

/// Returns the at most `size` targets that a router at `here` keeps links to, nearest first.
/// A bounded part of them is in other regions, unless the own region has no target outside
/// evacuated zones: then the nearest of all regions are selected.
pub fn subset(here: Location<'_>, candidates: &[Candidate], size: usize) -> Vec<TargetId> {
    let ranked = ranked(here, candidates);
    let (own, others): (Vec<&Candidate>, Vec<&Candidate>) = ranked
        .into_iter()
        .partition(|candidate| here.distance(candidate) < Distance::OtherRegion);
    if !own.iter().any(|candidate| !candidate.evacuated) {
        return nearest_first(here, candidates)
            .into_iter()
            .take(size)
            .collect();
    }
    let max_others = size / OTHER_REGION_DIVISOR;
    let reserved = MIN_OTHER_REGION_TARGETS.min(max_others).min(others.len());
    let own_count = own.len().min(size - reserved);
    let other_count = max_others.min(size - own_count);
    let others = one_per_region_first(&others);
    let own = own.into_iter().take(own_count);
    own.chain(others.into_iter().take(other_count))
        .map(|candidate| candidate.target)
        .collect()
}

/// All targets, nearest first.
pub(crate) fn nearest_first(here: Location<'_>, candidates: &[Candidate]) -> Vec<TargetId> {
    let ranked = ranked(here, candidates).into_iter();
    ranked.map(|candidate| candidate.target).collect()
}

fn ranked<'a>(here: Location<'_>, candidates: &'a [Candidate]) -> Vec<&'a Candidate> {
    let mut ranked: Vec<&Candidate> = candidates.iter().collect();
    ranked.sort_by_cached_key(|candidate| {
        let weight = rendezvous_hash(here.host, &candidate.host);
        let distance = here.distance(candidate);
        (candidate.evacuated, distance, weight, candidate.target)
    });
    ranked
}

/// Moves the first target of each region to the front, so that a subset covers several
/// regions and another one serves if one is lost.
fn one_per_region_first<'a>(ranked: &[&'a Candidate]) -> Vec<&'a Candidate> {
    let mut seen: Vec<&str> = Vec::new();
    let (mut first, rest): (Vec<&Candidate>, Vec<&Candidate>) =
        ranked.iter().partition(|candidate| {
            let is_first = !candidate.evacuated && !seen.contains(&candidate.region.as_str());
            if is_first {
                seen.push(&candidate.region);
            }
            is_first
        });
    first.extend(rest);
    first
}

fn rendezvous_hash(router: &str, target: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    (router, target).hash(&mut hasher);
    hasher.finish()
}
