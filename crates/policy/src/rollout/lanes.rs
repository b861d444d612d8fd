//! How a router divides its targets while a rollout goes on.

use super::exposure::{Exposure, RolloutTargets};
use crate::ids::{Micros, TargetId};
use crate::selector::{ScoredTarget, SelectionRequest, TargetFilter, TargetSelector};

/// A rollout of the service, and what this router offered to the new version.
#[derive(Debug)]
pub(crate) struct RolloutLanes {
    pub(crate) targets: RolloutTargets,
    pub(crate) exposure: Exposure,
}

impl RolloutLanes {
    /// Targets for a call that the share leaves no room for.
    pub(crate) fn usual(&self) -> TargetFilter {
        let mut without = self.targets.barred.clone();
        without.extend(&self.targets.canaries);
        TargetFilter::Excluding(without)
    }

    /// Chooses among the canary targets where the share has room and one is open, and else
    /// among the others.
    pub(crate) fn choose(
        &mut self,
        now: Micros,
        wanted: SelectionRequest<'_>,
        chooser: &mut TargetSelector,
        considered: &mut Vec<ScoredTarget>,
    ) -> Option<TargetId> {
        if self.exposure.may_offer(self.targets.share, wanted.kind) {
            chooser.set_filter(TargetFilter::Only(self.open_canaries(now, chooser)));
            let chosen = chooser.select(now, wanted, considered);
            chooser.set_filter(self.usual());
            if chosen.is_some() {
                self.exposure.offered(wanted.kind);
                return chosen;
            }
        }
        chooser.select(now, wanted, considered)
    }

    fn open_canaries(&self, now: Micros, chooser: &TargetSelector) -> Vec<TargetId> {
        let is_open = |target: &TargetId| {
            let state = chooser.target(*target);
            state.is_some_and(|state| state.is_available(now))
        };
        let canaries = self.targets.canaries.iter().copied();
        canaries.filter(is_open).take(self.targets.width).collect()
    }
}
