//! What the fake targets state in their answers, and how routers hear of it.

use lynxcleat_policy::{AdmissionEvent, Event, Micros, TargetId, TargetLoad, TargetNotice};

use super::{FakeService, What};

/// Time between two looks at whether routers should hear of a changed share.
const NOTICES_PAUSE_US: Micros = 200_000;
impl FakeService {
    /// Takes what an answer of a target says of it, to a call sent at `sent_at`.
    pub(super) fn hear(&mut self, target: usize, sent_at: Micros) {
        let now = self.now;
        let state = &mut self.targets[target];
        let mut begun = state.fake.limits.iter().rev();
        let limit = begun
            .find(|(from, _)| *from <= now)
            .and_then(|(_, limit)| *limit);
        let had_limit = state.stated.current().is_some();
        let leaves = now >= state.fake.leaves_at && !state.leaving;
        state.leaving |= leaves;
        let changed = state.stated.record(now, sent_at, limit);
        if changed {
            self.admit(target, AdmissionEvent::RateLimit(limit));
        }
        if leaves {
            self.admit(target, AdmissionEvent::Leave);
        }
        if leaves || (changed && had_limit != limit.is_some()) {
            let path_us = self.targets[target].fake.path_us;
            self.at(now + path_us, What::Told { target });
        }
    }

    /// Every router hears of a share that changed much.
    pub(super) fn announce_shares(&mut self) {
        for target in 0..self.targets.len() {
            if self.targets[target]
                .admit
                .share_to_announce(self.now)
                .is_some()
            {
                self.tell_routers(target);
            }
        }
        if self.now < self.options.end {
            self.at(self.now + NOTICES_PAUSE_US, What::Notices);
        }
    }

    /// Every router hears that a limit of a target began or ended, or that it leaves.
    pub(super) fn tell_routers(&mut self, target: usize) {
        let id = TargetId(target as u32);
        let load = self.load_of(target);
        let leaving = self.targets[target].leaving;
        for router in &mut self.routers {
            router.on(self.now, Event::LoadReported { target: id, load });
            if leaving {
                router.on(self.now, Event::TargetDraining { target: id });
            }
        }
    }

    /// The load of a target as its daemon tells it.
    pub(super) fn load_of(&self, target: usize) -> TargetLoad {
        let state = &self.targets[target];
        let notice = TargetNotice {
            limit: state.stated.current(),
            share: state.admit.offer_share(self.now),
            leaving: state.leaving,
            ..TargetNotice::default()
        };
        let states_any = !state.fake.limits.is_empty();
        TargetLoad {
            notice: states_any.then_some(notice),
            ..state.admit.figures(self.now)
        }
    }
}
