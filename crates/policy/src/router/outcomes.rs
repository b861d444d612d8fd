//! What the ends of attempts say of calls and targets.

use crate::event::{
    Action, NotRunReason, Refusal, RefusalReason, Settlement, Source, UnknownReason, Verdict,
};
use crate::ids::{AttemptId, CallId, Micros, TargetId};
use crate::router::{Attempt, Router};
use crate::target::TargetState;
use crate::target_load::TargetLoad;

impl Router {
    pub(super) fn answered(
        &mut self,
        now: Micros,
        attempt: AttemptId,
        source: Source,
        figures: Option<TargetLoad>,
        there_us: u32,
    ) -> Vec<Action> {
        let Some(ended) = self.end(attempt) else {
            return Vec::new();
        };
        self.count_delivered(&ended);
        self.learn(now, ended.target, figures);
        if source == Source::Failed {
            return match self.run_and_failed(now, attempt, &ended) {
                true => self.attempt_elsewhere(now, ended.call),
                false => self.finish(now, ended.call, Verdict::Answer { attempt }),
            };
        }
        if let Some(request) = self.request_of(ended.call) {
            self.own_failures.served(request);
        }
        let path_us = (now - ended.sent_at.min(now)).saturating_sub(Micros::from(there_us));
        self.chooser.served(now, ended.target, path_us as f64);
        self.finish(now, ended.call, Verdict::Answer { attempt })
    }

    /// A target failed a call. Where another failed it before, the request brings its failure
    /// about: charged to the targets, repetitions of one bad request would eject healthy ones,
    /// and all other calls would be refused. Returns whether the call may go elsewhere.
    pub(super) fn run_and_failed(
        &mut self,
        now: Micros,
        attempt: AttemptId,
        ended: &Attempt,
    ) -> bool {
        let goes_on = self.failed_lookup_goes_elsewhere(now, ended.call);
        let call = self.calls.get_mut(&ended.call);
        let Some(call) = call.filter(|call| goes_on || call.failed.is_some()) else {
            let request = self.request_of(ended.call);
            self.charge_target(now, request, ended.target);
            return false;
        };
        if call.failed.replace(attempt).is_none() {
            call.doubted = Some(ended.target);
            return goes_on;
        }
        let (first, request) = (call.doubted.take(), call.request);
        for target in first.into_iter().chain([ended.target]) {
            self.remember_failure(now, request, target);
            self.excuse(target);
        }
        goes_on
    }

    pub(super) fn failed_lookup_goes_elsewhere(&self, now: Micros, id: CallId) -> bool {
        self.calls
            .get(&id)
            .is_some_and(|call| !call.effect && call.may_retry && now < call.deadline)
    }

    /// An attempt reached its target.
    pub(super) fn count_delivered(&mut self, ended: &Attempt) {
        if let Some(rollout) = &mut self.rollout {
            rollout.exposure.record_delivered(ended.kind);
        }
    }

    /// An attempt never reached its target.
    pub(super) fn take_back(&mut self, ended: &Attempt) {
        if let Some(rollout) = &mut self.rollout
            && rollout.targets.new.contains(&ended.target)
        {
            rollout.exposure.record_undelivered(ended.kind);
        }
    }

    pub(super) fn learn_work(&mut self, attempt: AttemptId, work_us: Option<u32>) {
        let call = self.attempts.get(&attempt).map(|sent| sent.call);
        let kind = call
            .and_then(|call| self.calls.get(&call))
            .map(|call| call.kind);
        if let (Some(kind), Some(work_us)) = (kind, work_us) {
            self.chooser.learn_work(kind, f64::from(work_us));
        }
    }

    pub(super) fn refused(
        &mut self,
        now: Micros,
        attempt: AttemptId,
        refusal: Refusal,
        figures: Option<TargetLoad>,
    ) -> Vec<Action> {
        let Some(ended) = self.end(attempt) else {
            return Vec::new();
        };
        match refusal.reason {
            RefusalReason::Shed => self.count_delivered(&ended),
            _ => self.take_back(&ended),
        }
        self.learn(now, ended.target, figures);
        self.learn_refusal(now, ended.target, refusal);
        if let Some(call) = self.calls.get_mut(&ended.call) {
            call.last_refusal = NotRunReason::Refused(refusal.reason);
            let soonest = call.soonest_retry_us.unwrap_or(Micros::MAX);
            call.soonest_retry_us = Some(soonest.min(refusal.retry_after_us));
        }
        match refusal.reason {
            RefusalReason::Quarantined => {
                self.quarantined(ended.call, refusal.retry_after_us);
                self.give_up(now, ended.call)
            }
            RefusalReason::Shed => self.attempt_elsewhere(now, ended.call),
            RefusalReason::TargetDown => self.pass_on(now, ended.call),
            _ => self.reroute(now, ended.call),
        }
    }

    pub(super) fn learn_refusal(&mut self, now: Micros, target: TargetId, refusal: Refusal) {
        match refusal.reason {
            RefusalReason::TargetDown if self.is_down(target) => {
                self.chooser.set_down(now, target, true);
            }
            RefusalReason::TargetDown | RefusalReason::WrongService => {
                self.chooser.failed(now, target);
            }
            RefusalReason::Leaving => {
                self.with_target(target, |state| state.leave());
            }
            RefusalReason::Full | RefusalReason::Shed | RefusalReason::Cold => {
                let until = now + refusal.retry_after_us;
                self.with_target(target, |state| {
                    state.refused(until);
                    state.trial_told_nothing();
                });
            }
            RefusalReason::Busy
            | RefusalReason::TooLate
            | RefusalReason::Once
            | RefusalReason::OutsideHome
            | RefusalReason::Version
            | RefusalReason::Quarantined => {
                self.with_target(target, |state| state.trial_told_nothing());
            }
        }
    }

    /// The target's daemon lives but the target cut the call short.
    pub(super) fn target_lost(&mut self, now: Micros, attempt: AttemptId) -> Vec<Action> {
        let Some(ended) = self.end(attempt) else {
            return Vec::new();
        };
        self.count_delivered(&ended);
        let request = self.request_of(ended.call);
        self.charge_target(now, request, ended.target);
        self.may_have_run(now, ended.call, UnknownReason::TargetLost)
    }

    pub(super) fn not_sent(&mut self, now: Micros, attempt: AttemptId) -> Vec<Action> {
        let Some(ended) = self.end(attempt) else {
            return Vec::new();
        };
        self.take_back(&ended);
        self.chooser.failed(now, ended.target);
        if let Some(call) = self.calls.get_mut(&ended.call) {
            call.last_refusal = NotRunReason::NoLink;
        }
        self.pass_on(now, ended.call)
    }

    fn is_down(&self, target: TargetId) -> bool {
        let state = self.chooser.target(target);
        state.is_some_and(TargetState::is_down)
    }

    pub(super) fn link_lost(&mut self, now: Micros, attempt: AttemptId) -> Vec<Action> {
        let Some(sent) = self.attempts.get(&attempt) else {
            return Vec::new();
        };
        let (id, target) = (sent.call, sent.target);
        let effect = self.calls.get(&id).is_some_and(|call| call.effect);
        if effect {
            return vec![Action::Settle {
                call: id,
                attempt,
                target,
            }];
        }
        self.end(attempt);
        self.chooser.failed(now, target);
        self.may_have_run(now, id, UnknownReason::LinkLost)
    }

    pub(super) fn settled(
        &mut self,
        now: Micros,
        attempt: AttemptId,
        settlement: Settlement,
    ) -> Vec<Action> {
        let Some(ended) = self.end(attempt) else {
            return Vec::new();
        };
        match settlement {
            Settlement::NeverRan => {
                if let Some(call) = self.calls.get_mut(&ended.call) {
                    call.last_refusal = NotRunReason::NoLink;
                }
                self.attempt_elsewhere(now, ended.call)
            }
            Settlement::Ran => self.finish(now, ended.call, Verdict::Answer { attempt }),
            Settlement::Unknown => {
                self.chooser.failed(now, ended.target);
                let reason = UnknownReason::LinkLost;
                self.finish(now, ended.call, Verdict::Unknown { reason })
            }
        }
    }

    /// A call that may have run: a lookup goes elsewhere, an effect must not.
    pub(super) fn may_have_run(
        &mut self,
        now: Micros,
        id: CallId,
        reason: UnknownReason,
    ) -> Vec<Action> {
        let Some(call) = self.calls.get_mut(&id) else {
            return Vec::new();
        };
        if call.effect {
            return self.finish(now, id, Verdict::Unknown { reason });
        }
        call.may_have_run = Some(reason);
        self.attempt_elsewhere(now, id)
    }

    /// A daemon refuses what cannot finish in time, so a call that is still out
    /// at its deadline speaks against its target.
    pub(super) fn deadline_over(&mut self, now: Micros, id: CallId) -> Vec<Action> {
        let Some((attempt, target)) = self.cancel_current(id) else {
            return self.give_up(now, id);
        };
        let request = self.request_of(id);
        self.charge_target(now, request, target);
        let reason = UnknownReason::Deadline;
        let mut actions = vec![Action::Cancel { attempt, target }];
        actions.extend(self.finish(now, id, Verdict::Unknown { reason }));
        actions
    }
}
