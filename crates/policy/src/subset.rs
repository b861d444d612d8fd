//! Which targets of a service a daemon keeps links to.
//!
//! A bounded subset keeps links, state and the cost of a choice constant while
//! the fleet grows. Nearest first; equally near targets are ordered by a
//! rendezvous hash of router and target, so that every router takes another
//! part and one target's loss moves only its own share. (Rendezvous hashing:
//! Thaler and Ravishankar, 1998.)

use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};

use crate::distance::Distance;
use crate::ids::TargetId;

/// Where a router stands.
#[derive(Clone, Copy, Debug)]
pub struct Here<'a> {
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
    /// Whether its zone is evacuated, so that it is taken only where there are no others.
    pub evacuated: bool,
}

/// Targets of other regions in a subset, at least: one may be lost and another still serves
/// when those of the own region are gone or full.
pub const OTHER_REGIONS_MIN: usize = 2;
/// Part of a subset, as a divisor, that other regions' targets take at most while the own
/// region has targets: each link between regions costs upkeep, and its calls cost the way.
const OTHER_REGIONS_PART: usize = 4;

/// The `size` targets that `here` keeps links to, nearest first. Some are of other regions,
/// and only some, unless the own region has none.
pub fn subset(here: Here<'_>, candidates: &[Candidate], size: usize) -> Vec<TargetId> {
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
    let most_others = size / OTHER_REGIONS_PART;
    let kept_free = OTHER_REGIONS_MIN.min(most_others).min(others.len());
    let near = own.len().min(size - kept_free);
    let far = most_others.min(size - near);
    let others = mixed(&others);
    let own = own.into_iter().take(near);
    own.chain(others.into_iter().take(far))
        .map(|candidate| candidate.target)
        .collect()
}

/// All targets, nearest first.
pub(crate) fn nearest_first(here: Here<'_>, candidates: &[Candidate]) -> Vec<TargetId> {
    let ranked = ranked(here, candidates).into_iter();
    ranked.map(|candidate| candidate.target).collect()
}

fn ranked<'a>(here: Here<'_>, candidates: &'a [Candidate]) -> Vec<&'a Candidate> {
    let mut ranked: Vec<&Candidate> = candidates.iter().collect();
    ranked.sort_by_cached_key(|candidate| {
        let weight = rendezvous(here.host, &candidate.host);
        let distance = here.distance(candidate);
        (candidate.evacuated, distance, weight, candidate.target)
    });
    ranked
}

/// The first of each region, then the others: where one region is lost, another serves.
fn mixed<'a>(ranked: &[&'a Candidate]) -> Vec<&'a Candidate> {
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

fn rendezvous(router: &str, target: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    (router, target).hash(&mut hasher);
    hasher.finish()
}
