//! How a router divides calls between its targets during a rollout.

use super::exposure::{Exposure, RolloutTargets};
use crate::chooser::{Chooser, Considered, Lane, Wanted};
use crate::ids::{Micros, TargetId};

/// How a rollout divides the targets, and the calls that this router offered to the new version.
#[derive(Debug)]
pub(crate) struct RolloutRouting {
    pub(crate) targets: RolloutTargets,
    pub(crate) exposure: Exposure,
}

impl RolloutRouting {
    /// Targets for a call outside the canary share.
    pub(crate) fn default_lane(&self) -> Lane {
        let mut skipped = self.targets.excluded.clone();
        skipped.extend(&self.targets.canaries);
        Lane::Without(skipped)
    }

    /// Chooses among the canary targets if the share allows and one is available, otherwise
    /// among the other targets.
    pub(crate) fn choose(
        &mut self,
        now: Micros,
        wanted: Wanted<'_>,
        chooser: &mut Chooser,
        considered: &mut Vec<Considered>,
    ) -> Option<TargetId> {
        if self.exposure.may_offer(self.targets.share, wanted.kind) {
            chooser.set_lane(Lane::Only(self.available_canaries(now, chooser)));
            let chosen = chooser.choose(now, wanted, considered);
            chooser.set_lane(self.default_lane());
            if chosen.is_some() {
                self.exposure.record_offered(wanted.kind);
                return chosen;
            }
        }
        chooser.choose(now, wanted, considered)
    }

    fn available_canaries(&self, now: Micros, chooser: &Chooser) -> Vec<TargetId> {
        let is_available = |target: &TargetId| {
            let state = chooser.target(*target);
            state.is_some_and(|state| state.available(now))
        };
        let canaries = self.targets.canaries.iter().copied();
        canaries
            .filter(is_available)
            .take(self.targets.canary_count)
            .collect()
    }
}
