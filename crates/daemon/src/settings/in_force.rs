//! What a new generation of settings changes in each part of a daemon.

use std::sync::Arc;

use lynxcleat_wire::Frame;

use crate::core::Core;
use crate::homes;

impl Core {
    /// Puts the values of the generation in force into every machine.
    pub fn apply_settings(self: &Arc<Self>) {
        let Some(in_force) = self.settings.current() else {
            return;
        };
        homes::check_own_region(self, &in_force);
        homes::forget_outside(self, &in_force);
        self.half.apply(&in_force.own);
        self.once.apply(&in_force.own);
        self.budget.apply(&in_force.own);
        self.quarantine.apply(&in_force.own);
        self.region_egress
            .set_limit(in_force.own.region_send_bytes_per_s);
        self.routers.apply(self, &in_force);
        let generation = in_force.generation.number;
        self.settings.put_in_force(generation);
        self.metrics.generation.set(generation as i64);
        for link in self.links_for_news() {
            let _ = link.send(Frame::Beat);
        }
        log::info!(generation, digest:% = in_force.generation.digest; "settings in force");
    }
}
