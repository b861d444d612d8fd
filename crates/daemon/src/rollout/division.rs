//! How a rollout divides the targets of a service for the routers.

use std::collections::HashMap;
use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};

use lynxcleat_policy::{
    AdmittedCalls, CANARY_SHARE_FACTOR, Candidate, Location, Phase, Rollout, RolloutTargets,
    TargetId, canary_target_count, subset_with_homes,
};
use lynxcleat_settings::Effective;
use lynxcleat_store::{HostEntry, HostState};

/// Canary targets that every router keeps links to beyond its own subset: those that take the
/// share, and the next ones in case they are set aside.
const CANARY_LINKS: usize = 4;

/// What the targets of a service may get, by host.
pub struct Division {
    order: u64,
    admits: HashMap<String, AdmittedCalls>,
    /// Hosts of the new version in the order that all routers share, without those that were
    /// set aside.
    canaries: Vec<String>,
    /// Hosts of the new version.
    new: Vec<String>,
    share: f64,
    old: usize,
}

impl Division {
    /// How a rollout divides the listed targets.
    pub(super) fn new(rollout: &Rollout, listed: &[HostEntry], effective: &Effective) -> Self {
        let old = old_targets(rollout, listed);
        let any_other = any_other(rollout, listed);
        let set_aside = rollout.analysis().excluded_hosts();
        let admits = listed.iter().map(|entry| {
            let admits = match rollout.admitted_calls(&entry.version, any_other) {
                AdmittedCalls::Canary if set_aside.contains(&entry.host) => AdmittedCalls::None,
                admits => admits,
            };
            (entry.host.clone(), admits)
        });
        let admits: HashMap<String, AdmittedCalls> = admits.collect();
        let mut canaries: Vec<String> = admits
            .iter()
            .filter(|(_, admits)| **admits == AdmittedCalls::Canary)
            .map(|(host, _)| host.clone())
            .collect();
        canaries.sort_by_key(|host| place_in_order(rollout.number(), host));
        let new = listed
            .iter()
            .filter(|entry| entry.version == rollout.version());
        Division {
            new: new.map(|entry| entry.host.clone()).collect(),
            order: rollout.number(),
            admits,
            canaries,
            share: f64::from(effective.canary_percent) / 100.0 * CANARY_SHARE_FACTOR,
            old,
        }
    }

    /// The targets that a router keeps links to: its subset of each part, with those of home
    /// regions, so that links stand when the calls move.
    pub fn wanted(
        &self,
        here: Location<'_>,
        candidates: &[Candidate],
        size: usize,
        regions: &[String],
    ) -> Vec<TargetId> {
        let mut wanted = Vec::new();
        for part in [
            AdmittedCalls::All,
            AdmittedCalls::Canary,
            AdmittedCalls::None,
        ] {
            let of_part = |candidate: &&Candidate| self.admits(&candidate.host) == part;
            let part: Vec<Candidate> = candidates.iter().filter(of_part).cloned().collect();
            wanted.extend(subset_with_homes(here, &part, size, regions));
        }
        for target in ids(&self.canaries, candidates)
            .into_iter()
            .take(CANARY_LINKS)
        {
            if !wanted.contains(&target) {
                wanted.push(target);
            }
        }
        wanted
    }

    /// What the router is told.
    pub fn targets(&self, candidates: &[Candidate], wanted: &[TargetId]) -> RolloutTargets {
        let canaries = ids(&self.canaries, candidates);
        let barred = candidates
            .iter()
            .filter(|candidate| self.admits(&candidate.host) == AdmittedCalls::None);
        RolloutTargets {
            order: self.order,
            canaries: canaries
                .into_iter()
                .filter(|target| wanted.contains(target))
                .collect(),
            new: ids(&self.new, candidates),
            canary_count: canary_target_count(self.share, self.old),
            share: self.share,
            excluded: barred.map(|candidate| candidate.target).collect(),
        }
    }

    fn admits(&self, host: &str) -> AdmittedCalls {
        self.admits.get(host).copied().unwrap_or(AdmittedCalls::All)
    }
}

/// The targets on these hosts, in their order.
fn ids(hosts: &[String], candidates: &[Candidate]) -> Vec<TargetId> {
    let id = |host: &String| {
        let found = candidates.iter().find(|candidate| candidate.host == *host);
        found.map(|candidate| candidate.target)
    };
    hosts.iter().filter_map(id).collect()
}

/// Whether targets are known that can take the calls of those that a rollout bars or spares.
pub(super) fn any_other(rollout: &Rollout, listed: &[HostEntry]) -> bool {
    let is_new =
        |entry: &HostEntry| entry.state == HostState::Live && entry.version == rollout.version();
    match rollout.phase() {
        Phase::Done => listed.iter().any(is_new),
        Phase::Running | Phase::Moving | Phase::Reverted => old_targets(rollout, listed) > 0,
    }
}

/// Targets of old versions that take calls.
pub(super) fn old_targets(rollout: &Rollout, listed: &[HostEntry]) -> usize {
    let is_old =
        |entry: &&HostEntry| entry.state == HostState::Live && rollout.is_old(&entry.version);
    listed.iter().filter(is_old).count()
}

/// Place of a host among the targets of an order: another for each order, the same for all
/// daemons.
pub(super) fn place_in_order(order: u64, host: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    (order, host).hash(&mut hasher);
    hasher.finish()
}
