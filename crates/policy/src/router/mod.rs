//! The router half's decisions for the calls of one service: where to send a
//! call, whether to send it again, and what its caller is told.
//!
//! `not-run` is said only when every attempt ended in a definite refusal or was
//! never sent. A call with effects whose link was lost is settled with the
//! target's daemon before anything is said; a lookup may be sent again instead.
//! A call that is given up is answered at once.

mod outcomes;
mod own_failures;

use std::collections::HashMap;

use crate::chooser::{ChooseParams, Chooser, Considered, Wanted};
use crate::distance::Distance;
use crate::elsewhere::Elsewhere;
use crate::event::{Action, Event, NotRunReason, UnknownReason, Verdict};
use crate::fingerprint::Fingerprint;
use crate::homes::{HomeRegionFilter, Homes};
use crate::ids::{AttemptId, CallId, Micros, TargetId};
use crate::retry::{RetryAllowance, RetryParams};
use crate::rollout::{RolloutRouting, RolloutTargets};
use crate::service_time::CallKind;
use crate::target::TargetState;
use crate::target_load::TargetLoad;

use own_failures::OwnFailures;

/// Hint for callers when no target is known or open.
const NO_TARGET_RETRY_AFTER_US: Micros = 500_000;

/// Settings of one service's router.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RouterParams {
    /// Settings of the choice.
    pub choose: ChooseParams,
    /// Targets one call may be offered to.
    pub attempt_limit: u32,
    /// How many further attempts may be sent.
    pub further: RetryParams,
    /// Targets a call may be offered to once more after its daemon refused it, beyond
    /// the attempts: such an offer never reached a target.
    pub reroute_limit: u32,
}

/// What a router counts of its decisions.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct RouterCounts {
    /// Further attempts sent.
    pub retries: u64,
    /// Failures that requests brought about themselves, charged to no target.
    pub own_failures: u64,
}

#[derive(Debug)]
struct Call {
    deadline: Micros,
    effect: bool,
    may_retry: bool,
    attempt_limit: u32,
    goal: Micros,
    kind: CallKind,
    /// What it holds, where the shell said so.
    request: Option<Fingerprint>,
    tried: Vec<TargetId>,
    /// Offers that a target's daemon refused, so that they never reached a target.
    refusals: u32,
    /// Offers that found the target down, or no link to its daemon.
    unreached: u32,
    current: Option<AttemptId>,
    /// An earlier attempt of a lookup may have run.
    may_have_run: Option<UnknownReason>,
    /// An earlier attempt of a lookup ran and failed; the shell holds its answer.
    failed: Option<AttemptId>,
    /// The target of the first such attempt, until another target shows whose fault it was.
    doubted: Option<TargetId>,
    soonest_retry_us: Option<Micros>,
    last_refusal: NotRunReason,
    /// Present where it goes nowhere else since targets ended under the same request: when to
    /// come back.
    quarantined_us: Option<Micros>,
}

#[derive(Debug)]
struct Attempt {
    call: CallId,
    target: TargetId,
    kind: CallKind,
    sent_at: Micros,
}

/// The router of one service.
#[derive(Debug)]
pub struct Router {
    chooser: Chooser,
    attempt_limit: u32,
    reroute_limit: u32,
    further: RetryAllowance,
    calls: HashMap<CallId, Call>,
    bound: HomeRegionFilter,
    attempts: HashMap<AttemptId, Attempt>,
    next_attempt: u64,
    considered: Vec<Considered>,
    counts: RouterCounts,
    own_failures: OwnFailures,
    rollout: Option<RolloutRouting>,
}

impl Router {
    /// A router that knows no target. Attempts are numbered from `first_attempt`
    /// in steps of one, so the shell can keep several routers apart.
    pub fn new(params: RouterParams, seed: u64, first_attempt: u64) -> Self {
        Router {
            chooser: Chooser::new(params.choose, seed),
            attempt_limit: params.attempt_limit,
            reroute_limit: params.reroute_limit,
            further: RetryAllowance::new(params.further),
            calls: HashMap::new(),
            bound: HomeRegionFilter::default(),
            attempts: HashMap::new(),
            next_attempt: first_attempt,
            considered: Vec::new(),
            counts: RouterCounts::default(),
            own_failures: OwnFailures::default(),
            rollout: None,
        }
    }

    /// Changes the settings; calls in hand go on.
    pub fn set_params(&mut self, params: RouterParams) {
        self.chooser.set_params(params.choose);
        self.attempt_limit = params.attempt_limit;
        self.reroute_limit = params.reroute_limit;
        self.further.set(params.further);
    }

    /// The targets and what is known of them.
    pub fn chooser(&self) -> &Chooser {
        &self.chooser
    }

    /// Makes these the targets, each with its path time in microseconds.
    pub fn set_targets(&mut self, now: Micros, targets: &[(TargetId, f64)]) {
        self.chooser.set_targets(now, targets);
    }

    /// Says in which regions the targets stand, for calls with home regions.
    pub fn set_regions(&mut self, regions: Vec<(TargetId, String)>) {
        self.bound.set_regions(regions);
    }

    /// Whether a call with these home regions may be sent somewhere now.
    pub fn any_open(&self, now: Micros, homes: &Homes) -> bool {
        if homes.is_anywhere() {
            return self.chooser.any_open(now);
        }
        let outside = self.bound.targets_outside(homes, self.chooser.targets());
        self.chooser.elsewhere(now, &outside) != Elsewhere::Nowhere
    }

    /// Says how far away targets are, so that sending a call there has its price.
    pub fn set_distances(&mut self, distances: &[(TargetId, Distance)]) {
        self.chooser.set_distances(distances);
    }

    /// Says how far away the targets of the next choices may be.
    pub fn set_reach(&mut self, reach: Distance) {
        self.chooser.set_reach(reach);
    }

    /// Says how a rollout divides the targets; nothing where none goes on. What was offered
    /// to the new version since the order counts on.
    pub fn set_rollout(&mut self, targets: Option<RolloutTargets>) {
        let before = self.rollout.take();
        self.rollout = targets.map(|targets| {
            let same = before.filter(|before| before.targets.order == targets.order);
            let exposure = same.map(|before| before.exposure);
            RolloutRouting {
                targets,
                exposure: exposure.unwrap_or_default(),
            }
        });
        let lane = self.rollout.as_ref().map(RolloutRouting::default_lane);
        self.chooser.set_lane(lane.unwrap_or_default());
    }

    /// Whether a target has the version that a rollout moves calls to.
    pub fn is_new(&self, target: TargetId) -> bool {
        let rollout = self.rollout.as_ref();
        rollout.is_some_and(|rollout| rollout.targets.new.contains(&target))
    }

    /// Calls that were offered to the new version and may have reached it.
    pub fn canary_calls(&self) -> u64 {
        let rollout = self.rollout.as_ref();
        rollout.map_or(0, |rollout| rollout.exposure.canary_calls())
    }

    /// Targets scored for the last choice, for explanations.
    pub fn considered(&self) -> &[Considered] {
        &self.considered
    }

    /// What was counted since the router was made.
    pub fn counts(&self) -> RouterCounts {
        self.counts
    }

    /// Whether some request failed lately, so that those which are served have to be named too.
    pub fn any_failing(&mut self, now: Micros) -> bool {
        self.own_failures.any(now)
    }

    /// Calls in hand.
    pub fn calls(&self) -> usize {
        self.calls.len()
    }

    /// Takes one event and says what to do.
    pub fn on(&mut self, now: Micros, event: Event) -> Vec<Action> {
        match event {
            Event::Bound { call, homes } => {
                self.bound.set_homes(call, homes);
                Vec::new()
            }
            Event::Named { call, request } => {
                if let Some(call) = self.calls.get_mut(&call) {
                    call.request = Some(request);
                }
                Vec::new()
            }
            Event::Arrived {
                call,
                deadline,
                effect,
                may_retry,
                attempt_limit,
                goal,
                kind,
            } => {
                let limit = attempt_limit.unwrap_or(u32::MAX).min(self.attempt_limit);
                self.further.first_attempt(now);
                let arrived = Call {
                    deadline,
                    effect,
                    may_retry,
                    attempt_limit: limit,
                    goal: goal.unwrap_or(deadline).min(deadline),
                    kind,
                    request: None,
                    tried: Vec::new(),
                    refusals: 0,
                    unreached: 0,
                    current: None,
                    may_have_run: None,
                    failed: None,
                    doubted: None,
                    soonest_retry_us: None,
                    last_refusal: NotRunReason::NoTarget,
                    quarantined_us: None,
                };
                self.calls.insert(call, arrived);
                self.attempt(now, call)
            }
            Event::Answered {
                attempt,
                source,
                figures,
                there_us,
                work_us,
            } => {
                self.learn_work(attempt, work_us);
                self.answered(now, attempt, source, figures, there_us)
            }
            Event::Refused {
                attempt,
                refusal,
                figures,
            } => self.refused(now, attempt, refusal, figures),
            Event::TargetLost { attempt } => self.target_lost(now, attempt),
            Event::NotSent { attempt } => self.not_sent(now, attempt),
            Event::LinkLost { attempt } => self.link_lost(now, attempt),
            Event::Settled {
                attempt,
                settlement,
            } => self.settled(now, attempt, settlement),
            Event::BodyBegun { call } => self.body_begun(call),
            Event::Quarantined {
                call,
                retry_after_us,
            } => self.quarantined(call, retry_after_us),
            Event::DeadlineOver { call } => self.deadline_over(now, call),
            Event::CallerGone { call } => self.caller_gone(now, call),
            Event::TargetLeaving { target } => self.target_event(target, |state| state.leave()),
            Event::TargetBack { target } => self.target_event(target, |state| state.rejoin(now)),
            Event::TargetLinked { target, linked } => {
                self.target_event(target, |state| state.set_linked(linked))
            }
            Event::TargetDown { target, down } => {
                self.chooser.set_down(now, target, down);
                Vec::new()
            }
            Event::TargetDoubted { target, doubted } => {
                self.target_event(target, |state| state.set_doubted(doubted))
            }
            Event::TargetReplaced { target } => {
                self.target_event(target, |state| state.replaced(now))
            }
            Event::FiguresSeen { target, figures } => {
                self.learn(now, target, Some(figures));
                Vec::new()
            }
        }
    }

    /// Sends the call to the best target not yet tried, or gives it up.
    fn attempt(&mut self, now: Micros, id: CallId) -> Vec<Action> {
        let Some(call) = self.calls.get_mut(&id) else {
            return Vec::new();
        };
        if now >= call.deadline {
            call.last_refusal = NotRunReason::Deadline;
            return self.give_up(now, id);
        }
        let targets = self.chooser.targets();
        let passed_over = self.bound.excluded(id, &call.tried, targets);
        let wanted = Wanted {
            tried: &passed_over,
            goal: call.goal,
            deadline: call.deadline,
            kind: call.kind,
        };
        // A call that a canary refuses or fails has to have somewhere else to go.
        let may_be_canary = call.may_retry && call.tried.is_empty();
        let chosen = match self.rollout.as_mut().filter(|_| may_be_canary) {
            None => self.chooser.choose(now, wanted, &mut self.considered),
            Some(rollout) => rollout.choose(now, wanted, &mut self.chooser, &mut self.considered),
        };
        let Some(target) = chosen else {
            return self.give_up(now, id);
        };
        let attempt = AttemptId(self.next_attempt);
        self.next_attempt += 1;
        drop(passed_over);
        call.tried.push(target);
        call.current = Some(attempt);
        self.attempts.insert(
            attempt,
            Attempt {
                call: id,
                target,
                kind: call.kind,
                sent_at: now,
            },
        );
        let can_move = call.may_retry && call.refusals < self.reroute_limit;
        let elsewhere = match can_move {
            true => {
                let targets = self.chooser.targets();
                let passed_over = self.bound.excluded(id, &call.tried, targets);
                self.chooser.elsewhere(now, &passed_over)
            }
            false => Elsewhere::Nowhere,
        };
        vec![Action::Send {
            call: id,
            attempt,
            target,
            elsewhere,
        }]
    }

    /// Tries elsewhere within the attempt limit and the retry budget.
    fn attempt_elsewhere(&mut self, now: Micros, id: CallId) -> Vec<Action> {
        let Some(call) = self.calls.get_mut(&id) else {
            return Vec::new();
        };
        call.current = None;
        let never_ran = call.refusals + call.unreached;
        let delivered = call.tried.len().saturating_sub(never_ran as usize);
        let allowed = call.may_retry && delivered < call.attempt_limit as usize;
        if !allowed || !self.further.take(now) {
            return self.give_up(now, id);
        }
        let actions = self.attempt(now, id);
        if matches!(actions.first(), Some(Action::Send { .. })) {
            self.counts.retries += 1;
        }
        actions
    }

    /// Offers a call elsewhere that its target's daemon refused.
    fn reroute(&mut self, now: Micros, id: CallId) -> Vec<Action> {
        let limit = self.reroute_limit;
        let Some(call) = self.calls.get_mut(&id) else {
            return Vec::new();
        };
        if call.refusals >= limit || !call.may_retry {
            return self.attempt_elsewhere(now, id);
        }
        call.refusals += 1;
        call.current = None;
        self.attempt(now, id)
    }

    /// Offers a call elsewhere that found its target down, or no link to its daemon, until none
    /// is left that is not known to be. Counted as attempts, such offers left 11 % of the calls
    /// refused while seven of ten targets stood idle.
    fn pass_on(&mut self, now: Micros, id: CallId) -> Vec<Action> {
        let Some(call) = self.calls.get_mut(&id) else {
            return Vec::new();
        };
        call.current = None;
        if !call.may_retry {
            return self.give_up(now, id);
        }
        call.unreached += 1;
        self.attempt(now, id)
    }

    /// Answers a call that no attempt is out for.
    fn give_up(&mut self, now: Micros, id: CallId) -> Vec<Action> {
        let is_bound = self.bound.remove(id);
        let Some(mut call) = self.calls.remove(&id) else {
            return Vec::new();
        };
        self.charge(now, &call);
        if is_bound && call.last_refusal == NotRunReason::NoTarget {
            call.last_refusal = NotRunReason::NoHomeTarget;
        }
        if let Some(retry_after_us) = call.quarantined_us {
            call.last_refusal = NotRunReason::Quarantined;
            call.soonest_retry_us = Some(retry_after_us);
        }
        let verdict = match (call.failed, call.may_have_run) {
            (Some(attempt), _) => Verdict::Answer { attempt },
            (None, Some(reason)) => Verdict::Unknown { reason },
            (None, None) => Verdict::NotRun {
                reason: call.last_refusal,
                retry_after_us: call.soonest_retry_us.unwrap_or(NO_TARGET_RETRY_AFTER_US),
            },
        };
        vec![Action::Finish { call: id, verdict }]
    }

    fn finish(&mut self, now: Micros, id: CallId, verdict: Verdict) -> Vec<Action> {
        self.bound.remove(id);
        let Some(call) = self.calls.remove(&id) else {
            return Vec::new();
        };
        self.charge(now, &call);
        vec![Action::Finish { call: id, verdict }]
    }

    /// A call ended that one target failed, and that no other did: that was the target's
    /// fault, as far as can be known.
    fn charge(&mut self, now: Micros, call: &Call) {
        if let Some(target) = call.doubted {
            self.charge_target(now, call.request, target);
        }
    }

    /// A request failed at a target, which is charged for it unless the request failed
    /// elsewhere before. Charged to all of them, 40 repetitions of one bad operation left a
    /// daemon no target for other calls, 0 of 20 served; now 20 of 20.
    fn charge_target(&mut self, now: Micros, request: Option<Fingerprint>, target: TargetId) {
        match self.remember_failure(now, request, target) {
            true => self.excuse(target),
            false => self.chooser.failed(now, target),
        }
    }

    /// Remembers a failure of a request that was named. Returns whether it is its own doing.
    fn remember_failure(
        &mut self,
        now: Micros,
        request: Option<Fingerprint>,
        target: TargetId,
    ) -> bool {
        request.is_some_and(|request| self.own_failures.failed(now, request, target))
    }

    fn excuse(&mut self, target: TargetId) {
        self.counts.own_failures += 1;
        self.with_target(target, TargetState::trial_told_nothing);
    }

    fn request_of(&self, call: CallId) -> Option<Fingerprint> {
        self.calls.get(&call)?.request
    }

    /// Ends an attempt; a late word about one that is over counts for nothing.
    fn end(&mut self, attempt: AttemptId) -> Option<Attempt> {
        let ended = self.attempts.remove(&attempt)?;
        if let Some(state) = self.chooser.target_mut(ended.target) {
            state.ended();
        }
        Some(ended)
    }

    /// What is out for it goes on.
    fn quarantined(&mut self, id: CallId, retry_after_us: Micros) -> Vec<Action> {
        if let Some(call) = self.calls.get_mut(&id) {
            call.may_retry = false;
            call.quarantined_us = Some(retry_after_us);
        }
        Vec::new()
    }

    /// The rest of the body goes where its beginning went, or nowhere.
    fn body_begun(&mut self, id: CallId) -> Vec<Action> {
        if let Some(call) = self.calls.get_mut(&id) {
            call.may_retry = false;
        }
        Vec::new()
    }

    fn caller_gone(&mut self, now: Micros, id: CallId) -> Vec<Action> {
        if let Some(call) = self.calls.get_mut(&id)
            && call.effect
        {
            call.may_retry = false;
            return self.withdraw_current(id);
        }
        let cancelled = self.cancel_current(id);
        self.bound.remove(id);
        if let Some(call) = self.calls.remove(&id) {
            self.charge(now, &call);
        }
        let Some((attempt, target)) = cancelled else {
            return Vec::new();
        };
        self.with_target(target, |state| state.trial_told_nothing());
        vec![Action::Cancel { attempt, target }]
    }

    /// A call with effects whose caller is gone goes on where it was delivered, so
    /// that its outcome is known, and is not delivered where it was not.
    fn withdraw_current(&mut self, id: CallId) -> Vec<Action> {
        let attempt = self.calls.get(&id).and_then(|call| call.current);
        let sent = attempt.and_then(|attempt| Some((attempt, self.attempts.get(&attempt)?)));
        let withdraw = sent.map(|(attempt, sent)| Action::Withdraw {
            attempt,
            target: sent.target,
        });
        withdraw.into_iter().collect()
    }

    fn cancel_current(&mut self, id: CallId) -> Option<(AttemptId, TargetId)> {
        let attempt = self.calls.get(&id)?.current?;
        let ended = self.end(attempt)?;
        Some((attempt, ended.target))
    }

    fn learn(&mut self, now: Micros, target: TargetId, figures: Option<TargetLoad>) {
        if let Some(figures) = figures {
            self.chooser.learn(now, target, figures);
        }
    }

    /// What is seen of a target decides on no call by itself.
    fn target_event(
        &mut self,
        target: TargetId,
        change: impl FnOnce(&mut TargetState),
    ) -> Vec<Action> {
        self.with_target(target, change);
        Vec::new()
    }

    fn with_target(&mut self, target: TargetId, change: impl FnOnce(&mut TargetState)) {
        if let Some(state) = self.chooser.target_mut(target) {
            change(state);
        }
    }
}
