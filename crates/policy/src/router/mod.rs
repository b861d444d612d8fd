//! Routing decisions for the calls of one service: where to send a call, whether to send it
//! again, and what its caller is told.
//!
//! A caller is told `not-run` only if every attempt ended in a definite refusal or was never
//! sent. If the link of a call with effects is lost, its outcome is first resolved with the
//! target's daemon; a lookup may be sent again instead. A call without any target left is
//! answered at once.

mod outcomes;
mod request_failures;

use std::collections::HashMap;

use crate::distance::Distance;
use crate::elsewhere::Elsewhere;
use crate::event::{Action, Event, NotRunReason, UnknownReason, Verdict};
use crate::fingerprint::Fingerprint;
use crate::homes::{HomeRegionFilter, Homes};
use crate::ids::{AttemptId, CallId, Micros, TargetId};
use crate::retry::{RetryAllowance, RetryParams};
use crate::rollout::{RolloutRouting, RolloutTargets};
use crate::selector::{ScoredTarget, SelectionParams, SelectionRequest, TargetSelector};
use crate::service_time::CallKind;
use crate::target::TargetState;
use crate::target_load::TargetLoad;
use crate::target_notice::OfferShare;

use request_failures::RequestFailures;

/// Retry hint for callers if no target is known or available.
const NO_TARGET_RETRY_AFTER_US: Micros = 500_000;

/// Settings of one service's router.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RouterParams {
    /// Settings of target selection.
    pub selection: SelectionParams,
    /// Maximum number of targets that one call may be delivered to.
    pub attempt_limit: u32,
    /// Budget for further attempts.
    pub retry_budget: RetryParams,
    /// Maximum number of further offers of a call after refusals by targets' daemons. They do
    /// not count as attempts, because a refused offer never reached a target.
    pub reroute_limit: u32,
}

/// Counters of a router's decisions.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct RouterCounts {
    /// Further attempts sent.
    pub retries: u64,
    /// Failures that were caused by the request and count against no target.
    pub own_failures: u64,
}

#[derive(Debug)]
struct Call {
    deadline: Micros,
    has_effects: bool,
    may_retry: bool,
    attempt_limit: u32,
    goal: Micros,
    kind: CallKind,
    /// Fingerprint of its request, if reported.
    request: Option<Fingerprint>,
    tried: Vec<TargetId>,
    /// Offers that a target's daemon refused, which never reached a target.
    refusals: u32,
    /// Offers that found the target down, or no link to its daemon.
    unreached: u32,
    current: Option<AttemptId>,
    /// Set if an earlier attempt of a lookup may have run.
    may_have_run: Option<UnknownReason>,
    /// An earlier attempt of a lookup that ran and failed; the I/O layer holds its answer.
    failed: Option<AttemptId>,
    /// The target of the first failed attempt, until a second target shows whether the target
    /// or the request was at fault.
    first_failed_target: Option<TargetId>,
    soonest_retry_us: Option<Micros>,
    last_refusal: NotRunReason,
    /// Retry delay, if targets terminated while running the same request so that no further
    /// attempt is made.
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
    selector: TargetSelector,
    attempt_limit: u32,
    reroute_limit: u32,
    retry_budget: RetryAllowance,
    calls: HashMap<CallId, Call>,
    home_calls: HomeRegionFilter,
    attempts: HashMap<AttemptId, Attempt>,
    next_attempt: u64,
    scored_targets: Vec<ScoredTarget>,
    counts: RouterCounts,
    request_failures: RequestFailures,
    rollout: Option<RolloutRouting>,
}

impl Router {
    /// Creates a router without targets. Attempt ids count up from `first_attempt`, so that
    /// several routers can use disjoint ranges.
    pub fn new(params: RouterParams, seed: u64, first_attempt: u64) -> Self {
        Router {
            selector: TargetSelector::new(params.selection, seed),
            attempt_limit: params.attempt_limit,
            reroute_limit: params.reroute_limit,
            retry_budget: RetryAllowance::new(params.retry_budget),
            calls: HashMap::new(),
            home_calls: HomeRegionFilter::default(),
            attempts: HashMap::new(),
            next_attempt: first_attempt,
            scored_targets: Vec::new(),
            counts: RouterCounts::default(),
            request_failures: RequestFailures::default(),
            rollout: None,
        }
    }

    /// Changes the settings; pending calls continue.
    pub fn set_params(&mut self, params: RouterParams) {
        self.selector.set_params(params.selection);
        self.attempt_limit = params.attempt_limit;
        self.reroute_limit = params.reroute_limit;
        self.retry_budget.set(params.retry_budget);
    }

    /// The targets and their state.
    pub fn selector(&self) -> &TargetSelector {
        &self.selector
    }

    /// Replaces the set of targets, given with their path times in microseconds.
    pub fn set_targets(&mut self, now: Micros, targets: &[(TargetId, f64)]) {
        self.selector.set_targets(now, targets);
    }

    /// Sets the regions of the targets, for calls with home regions.
    pub fn set_regions(&mut self, regions: Vec<(TargetId, String)>) {
        self.home_calls.set_regions(regions);
    }

    /// Whether a call with these home regions can be sent somewhere now.
    pub fn any_available(&self, now: Micros, homes: &Homes) -> bool {
        if homes.is_anywhere() {
            return self.selector.any_available(now);
        }
        let outside = self
            .home_calls
            .targets_outside(homes, self.selector.targets());
        self.selector.elsewhere(now, &outside) != Elsewhere::Nowhere
    }

    /// Sets how far away targets are, which determines the cost of sending calls there.
    pub fn set_distances(&mut self, distances: &[(TargetId, Distance)]) {
        self.selector.set_distances(distances);
    }

    /// Limits how far away the targets of the next calls may be.
    pub fn set_max_distance(&mut self, max_distance: Distance) {
        self.selector.set_max_distance(max_distance);
    }

    /// Sets how a rollout divides the targets, or `None` if there is no rollout. The count of
    /// calls offered to the new version continues as long as the rollout order is the same.
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
        let filter = self.rollout.as_ref().map(RolloutRouting::default_lane);
        self.selector.set_filter(filter.unwrap_or_default());
    }

    /// Whether a target runs the version that a rollout moves calls to.
    pub fn is_new_version(&self, target: TargetId) -> bool {
        let rollout = self.rollout.as_ref();
        rollout.is_some_and(|rollout| rollout.targets.new.contains(&target))
    }

    /// Number of calls that were offered to the new version and may have reached it.
    pub fn canary_calls(&self) -> u64 {
        let rollout = self.rollout.as_ref();
        rollout.map_or(0, |rollout| rollout.exposure.canary_calls())
    }

    /// Targets scored for the last selection, for the `explain` output.
    pub fn scored_targets(&self) -> &[ScoredTarget] {
        &self.scored_targets
    }

    /// Targets that the last call was not offered to for their rate limits.
    pub fn passed_over(&self) -> &[TargetId] {
        self.selector.passed_over()
    }

    /// Share of the calls out of which the last selected target was offered its call, if that
    /// was what decided.
    pub fn selected_share(&self) -> Option<OfferShare> {
        self.selector.selected_share()
    }

    /// Counters since the router was created.
    pub fn counts(&self) -> RouterCounts {
        self.counts
    }

    /// Whether some request failed recently, so that served requests need a fingerprint too.
    pub fn has_failing_requests(&mut self, now: Micros) -> bool {
        self.request_failures.any(now)
    }

    /// Number of pending calls.
    pub fn pending_calls(&self) -> usize {
        self.calls.len()
    }

    /// Handles one event and returns the resulting actions.
    pub fn on(&mut self, now: Micros, event: Event) -> Vec<Action> {
        match event {
            Event::HomesSet { call, homes } => {
                self.home_calls.set_homes(call, homes);
                Vec::new()
            }
            Event::Fingerprinted { call, request } => {
                if let Some(call) = self.calls.get_mut(&call) {
                    call.request = Some(request);
                }
                Vec::new()
            }
            Event::Arrived {
                call,
                deadline,
                has_effects,
                may_retry,
                attempt_limit,
                goal,
                kind,
            } => {
                let limit = attempt_limit.unwrap_or(u32::MAX).min(self.attempt_limit);
                self.retry_budget.first_attempt(now);
                let arrived = Call {
                    deadline,
                    has_effects,
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
                    first_failed_target: None,
                    soonest_retry_us: None,
                    last_refusal: NotRunReason::NoTarget,
                    quarantined_us: None,
                };
                self.calls.insert(call, arrived);
                self.send(now, call)
            }
            Event::Answered {
                attempt,
                status,
                load,
                remote_us,
                work_us,
            } => {
                self.record_work(attempt, work_us);
                self.answered(now, attempt, status, load, remote_us)
            }
            Event::Refused {
                attempt,
                refusal,
                load,
            } => self.refused(now, attempt, refusal, load),
            Event::TargetLost { attempt } => self.target_lost(now, attempt),
            Event::NotSent { attempt } => self.not_sent(now, attempt),
            Event::LinkLost { attempt } => self.link_lost(now, attempt),
            Event::Settled {
                attempt,
                settlement,
            } => self.settled(now, attempt, settlement),
            Event::BodyStarted { call } => self.body_started(call),
            Event::Quarantined {
                call,
                retry_after_us,
            } => self.quarantined(call, retry_after_us),
            Event::Stopping { call } => self.stopping(call),
            Event::DeadlineExpired { call } => self.deadline_expired(now, call),
            Event::CallerDisconnected { call } => self.caller_disconnected(now, call),
            Event::TargetDraining { target } => self.target_event(target, |state| state.drain()),
            Event::TargetResumed { target } => self.target_event(target, |state| state.resume(now)),
            Event::TargetLinked { target, linked } => {
                self.target_event(target, |state| state.set_linked(linked))
            }
            Event::TargetDown { target, down } => {
                self.selector.set_down(now, target, down);
                Vec::new()
            }
            Event::TargetSuspected { target, suspected } => {
                self.target_event(target, |state| state.set_suspected(suspected))
            }
            Event::TargetReplaced { target } => self.target_event(target, |state| state.reset(now)),
            Event::LoadReported { target, load } => {
                self.record_load(now, target, Some(load));
                Vec::new()
            }
        }
    }

    /// Sends the call to the best target not yet tried, or ends the call if there is none.
    fn send(&mut self, now: Micros, id: CallId) -> Vec<Action> {
        let Some(call) = self.calls.get_mut(&id) else {
            return Vec::new();
        };
        if now >= call.deadline {
            call.last_refusal = NotRunReason::Deadline;
            return self.give_up(now, id);
        }
        let targets = self.selector.targets();
        let excluded = self.home_calls.excluded(id, &call.tried, targets);
        let request = SelectionRequest {
            excluded: &excluded,
            goal: call.goal,
            deadline: call.deadline,
            kind: call.kind,
        };
        // A call that a canary refuses or fails must have another target to go to.
        let may_be_canary = call.may_retry && call.tried.is_empty();
        let selected = match self.rollout.as_mut().filter(|_| may_be_canary) {
            None => self.selector.select(now, request, &mut self.scored_targets),
            Some(rollout) => {
                rollout.choose(now, request, &mut self.selector, &mut self.scored_targets)
            }
        };
        let Some(target) = selected else {
            return self.give_up(now, id);
        };
        let attempt = AttemptId(self.next_attempt);
        self.next_attempt += 1;
        drop(excluded);
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
                let targets = self.selector.targets();
                let excluded = self.home_calls.excluded(id, &call.tried, targets);
                self.selector.elsewhere_unlimited(now, &excluded)
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

    /// Sends the call to another target within the attempt limit and the retry budget.
    fn retry(&mut self, now: Micros, id: CallId) -> Vec<Action> {
        let Some(call) = self.calls.get_mut(&id) else {
            return Vec::new();
        };
        call.current = None;
        let undelivered = call.refusals + call.unreached;
        let delivered = call.tried.len().saturating_sub(undelivered as usize);
        let allowed = call.may_retry && delivered < call.attempt_limit as usize;
        if !allowed || !self.retry_budget.take(now) {
            return self.give_up(now, id);
        }
        let actions = self.send(now, id);
        if matches!(actions.first(), Some(Action::Send { .. })) {
            self.counts.retries += 1;
        }
        actions
    }

    /// Offers a call to another target after the target's daemon refused it.
    fn reroute(&mut self, now: Micros, id: CallId) -> Vec<Action> {
        let limit = self.reroute_limit;
        let Some(call) = self.calls.get_mut(&id) else {
            return Vec::new();
        };
        if call.refusals >= limit || !call.may_retry {
            return self.retry(now, id);
        }
        call.refusals += 1;
        call.current = None;
        self.send(now, id)
    }

    /// Offers a call to another target after its target was down or no link to the daemon
    /// could be established, until every target that is not known to be down was tried. Such
    /// offers do not count as attempts: when they did, 11 % of the calls were refused while
    /// seven of ten targets were idle.
    fn send_past_unreachable(&mut self, now: Micros, id: CallId) -> Vec<Action> {
        let Some(call) = self.calls.get_mut(&id) else {
            return Vec::new();
        };
        call.current = None;
        if !call.may_retry {
            return self.give_up(now, id);
        }
        call.unreached += 1;
        self.send(now, id)
    }

    /// Ends a call that has no attempt in flight.
    fn give_up(&mut self, now: Micros, id: CallId) -> Vec<Action> {
        let has_homes = self.home_calls.remove(id);
        let Some(mut call) = self.calls.remove(&id) else {
            return Vec::new();
        };
        self.record_first_failure(now, &call);
        if has_homes && call.last_refusal == NotRunReason::NoTarget {
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
        self.home_calls.remove(id);
        let Some(call) = self.calls.remove(&id) else {
            return Vec::new();
        };
        self.record_first_failure(now, &call);
        vec![Action::Finish { call: id, verdict }]
    }

    /// Records the failure of an ended call that failed at one target only. As far as can be
    /// known, the target was at fault.
    fn record_first_failure(&mut self, now: Micros, call: &Call) {
        if let Some(target) = call.first_failed_target {
            self.record_failure(now, call.request, target);
        }
    }

    /// Records a failure of a request at a target. It counts against the target unless the
    /// request failed at another target before. When it counted against every target, 40
    /// repetitions of one bad operation left a daemon no target for other calls: 0 of 20 were
    /// served, compared to 20 of 20 now.
    fn record_failure(&mut self, now: Micros, request: Option<Fingerprint>, target: TargetId) {
        match self.record_request_failure(now, request, target) {
            true => self.count_own_failure(target),
            false => self.selector.record_failure(now, target),
        }
    }

    /// Records a failure of a request, if its fingerprint is known. Returns whether the request
    /// is at fault.
    fn record_request_failure(
        &mut self,
        now: Micros,
        request: Option<Fingerprint>,
        target: TargetId,
    ) -> bool {
        request.is_some_and(|request| self.request_failures.record_failure(now, request, target))
    }

    fn count_own_failure(&mut self, target: TargetId) {
        self.counts.own_failures += 1;
        self.with_target(target, TargetState::end_trial);
    }

    fn request_of(&self, call: CallId) -> Option<Fingerprint> {
        self.calls.get(&call)?.request
    }

    /// Removes an attempt that ended. Returns `None` for late events of a removed attempt,
    /// which are ignored.
    fn end_attempt(&mut self, attempt: AttemptId) -> Option<Attempt> {
        let ended = self.attempts.remove(&attempt)?;
        if let Some(state) = self.selector.target_mut(ended.target) {
            state.record_end();
        }
        Some(ended)
    }

    /// Prevents further attempts; an attempt in flight continues.
    fn quarantined(&mut self, id: CallId, retry_after_us: Micros) -> Vec<Action> {
        if let Some(call) = self.calls.get_mut(&id) {
            call.may_retry = false;
            call.quarantined_us = Some(retry_after_us);
        }
        Vec::new()
    }

    /// Prevents further attempts: the body cannot be sent a second time.
    fn body_started(&mut self, id: CallId) -> Vec<Action> {
        if let Some(call) = self.calls.get_mut(&id) {
            call.may_retry = false;
        }
        Vec::new()
    }

    fn caller_disconnected(&mut self, now: Micros, id: CallId) -> Vec<Action> {
        if let Some(call) = self.calls.get_mut(&id)
            && call.has_effects
        {
            call.may_retry = false;
            return self.withdraw_current(id);
        }
        let cancelled = self.cancel_current(id);
        self.home_calls.remove(id);
        if let Some(call) = self.calls.remove(&id) {
            self.record_first_failure(now, &call);
        }
        let Some((attempt, target)) = cancelled else {
            return Vec::new();
        };
        self.with_target(target, |state| state.end_trial());
        vec![Action::Cancel { attempt, target }]
    }

    /// Prevents further attempts, and withdraws a call with effects. A lookup cannot be withdrawn:
    /// its target would break it off, although its answer may be nearly there.
    fn stopping(&mut self, id: CallId) -> Vec<Action> {
        let Some(call) = self.calls.get_mut(&id) else {
            return Vec::new();
        };
        call.may_retry = false;
        match call.has_effects {
            true => self.withdraw_current(id),
            false => Vec::new(),
        }
    }

    /// Withdraws a call with effects that nobody waits for. If it was already delivered, it
    /// continues so that its outcome is known; otherwise it is not delivered.
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
        let ended = self.end_attempt(attempt)?;
        Some((attempt, ended.target))
    }

    fn record_load(&mut self, now: Micros, target: TargetId, load: Option<TargetLoad>) {
        if let Some(load) = load {
            self.selector.record_load(now, target, load);
        }
    }

    /// Updates the state of a target. This triggers no action for pending calls.
    fn target_event(
        &mut self,
        target: TargetId,
        change: impl FnOnce(&mut TargetState),
    ) -> Vec<Action> {
        self.with_target(target, change);
        Vec::new()
    }

    fn with_target(&mut self, target: TargetId, change: impl FnOnce(&mut TargetState)) {
        if let Some(state) = self.selector.target_mut(target) {
            change(state);
        }
    }
}
