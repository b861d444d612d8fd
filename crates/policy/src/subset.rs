//! Which targets of a service a daemon keeps links to.
//!
//! A bounded subset keeps links, state and the cost of a choice constant while
//! the fleet grows. Nearest first; equally near targets are ordered by a
//! rendezvous hash of router and target, so that every router takes another
//! part and one target's loss moves only its own share. (Rendezvous hashing:
//! Thaler and Ravishankar, 1998.)

use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};

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

/// The `size` targets that `here` keeps links to, nearest first.
pub fn subset(here: Here<'_>, candidates: &[Candidate], size: usize) -> Vec<TargetId> {
    let mut ranked: Vec<(bool, u8, u64, TargetId)> = candidates
        .iter()
        .map(|candidate| {
            let weight = rendezvous(here.host, &candidate.host);
            let distance = distance(here, candidate);
            (candidate.evacuated, distance, weight, candidate.target)
        })
        .collect();
    ranked.sort_unstable();
    ranked.truncate(size);
    ranked.into_iter().map(|(_, _, _, target)| target).collect()
}

fn distance(here: Here<'_>, candidate: &Candidate) -> u8 {
    if candidate.zone == here.zone {
        0
    } else if candidate.place == here.place {
        1
    } else if candidate.region == here.region {
        2
    } else {
        3
    }
}

fn rendezvous(router: &str, target: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    (router, target).hash(&mut hasher);
    hasher.finish()
}
