//! Handling of the outcomes of attempts.

use crate::event::{
    Action, AnswerStatus, NotRunReason, Refusal, RefusalReason, Settlement, UnknownReason, Verdict,
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
        status: AnswerStatus,
        load: Option<TargetLoad>,
        remote_us: u32,
    ) -> Vec<Action> {
        let Some(ended) = self.end_attempt(attempt) else {
            return Vec::new();
        };
        self.count_delivered(&ended);
        self.record_load(now, ended.target, load);
        if status == AnswerStatus::Failed {
            return match self.record_failed_answer(now, attempt, &ended) {
                true => self.retry(now, ended.call),
                false => self.finish(now, ended.call, Verdict::Answer { attempt }),
            };
        }
        if let Some(request) = self.request_of(ended.call) {
            self.request_failures.record_success(request);
        }
        let path_us = (now - ended.sent_at.min(now)).saturating_sub(Micros::from(remote_us));
        self.selector
            .record_success(now, ended.target, path_us as f64);
        self.finish(now, ended.call, Verdict::Answer { attempt })
    }

    /// Records that a target failed a call. If another target failed it before, the request is
    /// at fault: if such failures counted against the targets, repetitions of one bad request
    /// would eject healthy targets, and all other calls would be refused. Returns whether the
    /// call may be retried.
    pub(super) fn record_failed_answer(
        &mut self,
        now: Micros,
        attempt: AttemptId,
        ended: &Attempt,
    ) -> bool {
        let may_retry = self.may_retry_failed_lookup(now, ended.call);
        let call = self.calls.get_mut(&ended.call);
        let Some(call) = call.filter(|call| may_retry || call.failed.is_some()) else {
            let request = self.request_of(ended.call);
            self.record_failure(now, request, ended.target);
            return false;
        };
        if call.failed.replace(attempt).is_none() {
            call.first_failed_target = Some(ended.target);
            return may_retry;
        }
        let (first, request) = (call.first_failed_target.take(), call.request);
        for target in first.into_iter().chain([ended.target]) {
            self.record_request_failure(now, request, target);
            self.count_own_failure(target);
        }
        may_retry
    }

    pub(super) fn may_retry_failed_lookup(&self, now: Micros, id: CallId) -> bool {
        self.calls
            .get(&id)
            .is_some_and(|call| !call.has_effects && call.may_retry && now < call.deadline)
    }

    /// Counts an attempt that reached its target.
    pub(super) fn count_delivered(&mut self, ended: &Attempt) {
        if let Some(rollout) = &mut self.rollout {
            rollout.exposure.record_delivered(ended.kind);
        }
    }

    /// Uncounts an offer to the new version that never reached its target.
    pub(super) fn uncount_offer(&mut self, ended: &Attempt) {
        if let Some(rollout) = &mut self.rollout
            && rollout.targets.new.contains(&ended.target)
        {
            rollout.exposure.record_undelivered(ended.kind);
        }
    }

    pub(super) fn record_work(&mut self, attempt: AttemptId, work_us: Option<u32>) {
        let call = self.attempts.get(&attempt).map(|sent| sent.call);
        let kind = call
            .and_then(|call| self.calls.get(&call))
            .map(|call| call.kind);
        if let (Some(kind), Some(work_us)) = (kind, work_us) {
            self.selector.record_work(kind, f64::from(work_us));
        }
    }

    pub(super) fn refused(
        &mut self,
        now: Micros,
        attempt: AttemptId,
        refusal: Refusal,
        load: Option<TargetLoad>,
    ) -> Vec<Action> {
        let Some(ended) = self.end_attempt(attempt) else {
            return Vec::new();
        };
        match refusal.reason {
            RefusalReason::Shed => self.count_delivered(&ended),
            _ => self.uncount_offer(&ended),
        }
        self.record_load(now, ended.target, load);
        self.record_refusal(now, ended.target, refusal);
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
            RefusalReason::Shed => self.retry(now, ended.call),
            RefusalReason::TargetDown => self.send_past_unreachable(now, ended.call),
            _ => self.reroute(now, ended.call),
        }
    }

    pub(super) fn record_refusal(&mut self, now: Micros, target: TargetId, refusal: Refusal) {
        match refusal.reason {
            RefusalReason::TargetDown if self.is_down(target) => {
                self.selector.set_down(now, target, true);
            }
            RefusalReason::TargetDown | RefusalReason::WrongService => {
                self.selector.record_failure(now, target);
            }
            RefusalReason::Leaving => {
                self.with_target(target, |state| state.drain());
            }
            RefusalReason::Full | RefusalReason::Shed | RefusalReason::Cold => {
                let until = now + refusal.retry_after_us;
                self.with_target(target, |state| {
                    state.record_refusal(until);
                    state.end_trial();
                });
            }
            RefusalReason::Busy
            | RefusalReason::RateLimited
            | RefusalReason::TooLate
            | RefusalReason::Once
            | RefusalReason::OutsideHome
            | RefusalReason::Version
            | RefusalReason::Quarantined => {
                self.with_target(target, |state| state.end_trial());
            }
        }
    }

    /// Handles an answer that the target's daemon lost: the daemon is up, but the target ended
    /// the call early.
    pub(super) fn target_lost(&mut self, now: Micros, attempt: AttemptId) -> Vec<Action> {
        let Some(ended) = self.end_attempt(attempt) else {
            return Vec::new();
        };
        self.count_delivered(&ended);
        let request = self.request_of(ended.call);
        self.record_failure(now, request, ended.target);
        self.may_have_run(now, ended.call, UnknownReason::TargetLost)
    }

    pub(super) fn not_sent(&mut self, now: Micros, attempt: AttemptId) -> Vec<Action> {
        let Some(ended) = self.end_attempt(attempt) else {
            return Vec::new();
        };
        self.uncount_offer(&ended);
        self.selector.record_failure(now, ended.target);
        if let Some(call) = self.calls.get_mut(&ended.call) {
            call.last_refusal = NotRunReason::NoLink;
        }
        self.send_past_unreachable(now, ended.call)
    }

    fn is_down(&self, target: TargetId) -> bool {
        let state = self.selector.target(target);
        state.is_some_and(TargetState::is_down)
    }

    pub(super) fn link_lost(&mut self, now: Micros, attempt: AttemptId) -> Vec<Action> {
        let Some(sent) = self.attempts.get(&attempt) else {
            return Vec::new();
        };
        let (id, target) = (sent.call, sent.target);
        let has_effects = self.calls.get(&id).is_some_and(|call| call.has_effects);
        if has_effects {
            return vec![Action::Settle {
                call: id,
                attempt,
                target,
            }];
        }
        self.end_attempt(attempt);
        self.selector.record_failure(now, target);
        self.may_have_run(now, id, UnknownReason::LinkLost)
    }

    pub(super) fn settled(
        &mut self,
        now: Micros,
        attempt: AttemptId,
        settlement: Settlement,
    ) -> Vec<Action> {
        let Some(ended) = self.end_attempt(attempt) else {
            return Vec::new();
        };
        if settlement != Settlement::Unknown {
            // The link failed, which says nothing about the target.
            self.with_target(ended.target, TargetState::end_trial);
        }
        match settlement {
            Settlement::NeverRan => {
                if let Some(call) = self.calls.get_mut(&ended.call) {
                    call.last_refusal = NotRunReason::NoLink;
                }
                self.retry(now, ended.call)
            }
            Settlement::Ran => self.finish(now, ended.call, Verdict::Answer { attempt }),
            Settlement::Unknown => {
                self.selector.record_failure(now, ended.target);
                let reason = UnknownReason::LinkLost;
                self.finish(now, ended.call, Verdict::Unknown { reason })
            }
        }
    }

    /// Handles a call that may have run: a lookup is retried, a call with effects must not be.
    pub(super) fn may_have_run(
        &mut self,
        now: Micros,
        id: CallId,
        reason: UnknownReason,
    ) -> Vec<Action> {
        let Some(call) = self.calls.get_mut(&id) else {
            return Vec::new();
        };
        if call.has_effects {
            return self.finish(now, id, Verdict::Unknown { reason });
        }
        call.may_have_run = Some(reason);
        self.retry(now, id)
    }

    /// Ends a call at its deadline. A daemon refuses calls that cannot finish in time, so a call
    /// that is still in flight at its deadline counts as a failure of its target.
    pub(super) fn deadline_expired(&mut self, now: Micros, id: CallId) -> Vec<Action> {
        let Some((attempt, target)) = self.cancel_current(id) else {
            return self.give_up(now, id);
        };
        let request = self.request_of(id);
        self.record_failure(now, request, target);
        let reason = UnknownReason::Deadline;
        let mut actions = vec![Action::Cancel { attempt, target }];
        actions.extend(self.finish(now, id, Verdict::Unknown { reason }));
        actions
    }
}
