//! How a router divides its targets while a rollout goes on.

use super::exposure::{Exposure, RolloutTargets};
use crate::chooser::{Chooser, Considered, Lane, Wanted};
use crate::ids::{Micros, TargetId};

/// A rollout of the service, and what this router offered to the new version.
#[derive(Debug)]
pub(crate) struct RolloutLanes {
    pub(crate) targets: RolloutTargets,
    pub(crate) exposure: Exposure,
}

impl RolloutLanes {
    /// Targets for a call that the share leaves no room for.
    pub(crate) fn usual(&self) -> Lane {
        let mut without = self.targets.barred.clone();
        without.extend(&self.targets.canaries);
        Lane::Without(without)
    }

    /// Chooses among the canary targets where the share has room and one is open, and else
    /// among the others.
    pub(crate) fn choose(
        &mut self,
        now: Micros,
        wanted: Wanted<'_>,
        chooser: &mut Chooser,
        considered: &mut Vec<Considered>,
    ) -> Option<TargetId> {
        if self.exposure.may_offer(self.targets.share, wanted.kind) {
            chooser.set_lane(Lane::Only(self.open_canaries(now, chooser)));
            let chosen = chooser.choose(now, wanted, considered);
            chooser.set_lane(self.usual());
            if chosen.is_some() {
                self.exposure.offered(wanted.kind);
                return chosen;
            }
        }
        chooser.choose(now, wanted, considered)
    }

    fn open_canaries(&self, now: Micros, chooser: &Chooser) -> Vec<TargetId> {
        let is_open = |target: &TargetId| {
            let state = chooser.target(*target);
            state.is_some_and(|state| state.available(now))
        };
        let canaries = self.targets.canaries.iter().copied();
        canaries.filter(is_open).take(self.targets.width).collect()
    }
}
