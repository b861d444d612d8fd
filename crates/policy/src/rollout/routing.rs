//! How a router divides calls between its targets during a rollout.

use super::exposure::{Exposure, RolloutTargets};
use crate::ids::{Micros, TargetId};
use crate::selector::{ScoredTarget, SelectionRequest, TargetFilter, TargetSelector};

/// How a rollout divides the targets, and the calls that this router offered to the new version.
#[derive(Debug)]
pub(crate) struct RolloutRouting {
    pub(crate) targets: RolloutTargets,
    pub(crate) exposure: Exposure,
}

impl RolloutRouting {
    /// Targets for a call outside the canary share.
    pub(crate) fn default_lane(&self) -> TargetFilter {
        let mut skipped = self.targets.excluded.clone();
        skipped.extend(&self.targets.canaries);
        TargetFilter::Excluding(skipped)
    }

    /// Chooses among the canary targets if the share allows and one is available, otherwise
    /// among the other targets.
    pub(crate) fn choose(
        &mut self,
        now: Micros,
        wanted: SelectionRequest<'_>,
        chooser: &mut TargetSelector,
        considered: &mut Vec<ScoredTarget>,
    ) -> Option<TargetId> {
        if self.exposure.may_offer(self.targets.share, wanted.kind) {
            chooser.set_filter(TargetFilter::Only(self.available_canaries(now, chooser)));
            let chosen = chooser.select(now, wanted, considered);
            chooser.set_filter(self.default_lane());
            if chosen.is_some() {
                self.exposure.record_offered(wanted.kind);
                return chosen;
            }
        }
        chooser.select(now, wanted, considered)
    }

    fn available_canaries(&self, now: Micros, chooser: &TargetSelector) -> Vec<TargetId> {
        let is_available = |target: &TargetId| {
            let state = chooser.target(*target);
            state.is_some_and(|state| state.is_available(now))
        };
        let canaries = self.targets.canaries.iter().copied();
        canaries
            .filter(is_available)
            .take(self.targets.canary_count)
            .collect()
    }
}
