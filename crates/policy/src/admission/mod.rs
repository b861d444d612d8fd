//! Admission control for one target: an exact in-flight count, a short queue ordered by
//! deadline, and early refusal of calls that cannot finish in time.
//!
//! Every call to a target passes through the target's own daemon, so the in-flight count is
//! exact and does not depend on load reports. A call that cannot succeed is refused on
//! arrival rather than when its deadline approaches: the router can still offer it to
//! another target, and a caller that learns of the refusal early can retry at the right
//! time.

mod rates;

use std::collections::HashMap;

use crate::admission_event::{AdmissionAction, AdmissionEvent, AdmissionLimits, NextRecheck};
use crate::cold_start::ColdStartLimiter;
use crate::concurrency_limit::ConcurrencyLimit;
use crate::elsewhere::Elsewhere;
use crate::event::{Refusal, RefusalReason};
use crate::hold_queue::{CallAttributes, HeldCall, HoldQueue};
use crate::ids::{CallId, Micros};
use crate::rate_limit::TargetRateLimiter;
use crate::service_time::{CallKind, ServiceTimes};
use crate::slow_period::SlowPeriodModel;
use crate::slowness::{SlownessDistribution, SlownessReading};
use crate::start_decision::{StartDecision, StartRequest, TargetConditions};
use crate::target_load::TargetLoad;
use crate::urgency::Urgency;
use crate::utility::{CallTiming, remaining_us};

/// Minimum weight of one sample in the moving average of the service time.
const MIN_SERVICE_TIME_WEIGHT: f64 = 0.125;
/// Age at which the moving average keeps half of its weight. After a pause the next sample
/// counts for more; otherwise one slow call would be remembered for as long as the target
/// is avoided because of it.
const SERVICE_TIME_HALF_LIFE_US: f64 = 500_000.0;
/// Half-life of the refusal and delivery counts from which the pressure is computed.
const PRESSURE_HALF_LIFE_US: f64 = 500_000.0;
/// Upper bound of the retry hint.
const MAX_RETRY_AFTER_US: Micros = 5_000_000;
/// Retry hint while no service time is known.
const INITIAL_RETRY_AFTER_US: Micros = 50_000;
/// Retry hint for calls refused because the target is leaving.
const LEAVING_RETRY_AFTER_US: Micros = 1_000_000;

/// Rechecks per mean length of a slow spell: the end of a spell is noticed within an eighth
/// of it.
const RECHECKS_PER_SPELL: f64 = 8.0;
/// Minimum time between two rechecks.
const MIN_RECHECK_DELAY_US: Micros = 5_000;
/// Fraction of the slots up to which a target counts as uncontended. Service times without
/// contention are learned only below it.
const UNCONTENDED_FRACTION: f64 = 0.5;
/// Samples of a call kind that are recorded regardless of the number of running calls.
const UNCONDITIONAL_SAMPLES: u32 = 8;
/// Maximum relative difference between two slowness readings for which the slowness counts
/// as steady over the time between them.
const STEADY_SLOWNESS_TOLERANCE: f64 = 0.2;

/// A call that has been delivered to the target.
#[derive(Clone, Copy, Debug)]
struct InFlight {
    kind: CallKind,
    /// Number of running calls at delivery, including this one. Like the slowness at that
    /// moment, it determines how long the call takes.
    running: u32,
    /// Slowness expected at delivery.
    slowness: Option<f64>,
    nested: bool,
    sent: bool,
}

/// Admission controller of one target.
#[derive(Debug)]
pub struct AdmissionController {
    limits: AdmissionLimits,
    leaving: bool,
    in_flight: HashMap<CallId, InFlight>,
    queue: HoldQueue,
    service_us: u32,
    service_time_updated_at: Micros,
    service_times: ServiceTimes,
    concurrency_limit: ConcurrencyLimit,
    slowness: Option<SlownessReading>,
    usual_slowness: SlownessDistribution,
    spells: SlowPeriodModel,
    cold_start: ColdStartLimiter,
    rate_limit: TargetRateLimiter,
    recent_refusals: f64,
    recent_deliveries: f64,
    counts_updated_at: Micros,
}

impl AdmissionController {
    /// Creates the controller of an idle target.
    pub fn new(limits: AdmissionLimits) -> Self {
        AdmissionController {
            limits,
            leaving: false,
            in_flight: HashMap::new(),
            queue: HoldQueue::default(),
            service_us: 0,
            service_time_updated_at: 0,
            service_times: ServiceTimes::default(),
            concurrency_limit: ConcurrencyLimit::default(),
            slowness: None,
            usual_slowness: SlownessDistribution::default(),
            spells: SlowPeriodModel::default(),
            cold_start: ColdStartLimiter::default(),
            rate_limit: TargetRateLimiter::default(),
            recent_refusals: 0.0,
            recent_deliveries: 0.0,
            counts_updated_at: 0,
        }
    }

    /// Handles one event and returns the resulting actions.
    pub fn on(&mut self, now: Micros, event: AdmissionEvent) -> Vec<AdmissionAction> {
        let mut actions = Vec::new();
        match event {
            AdmissionEvent::Offer {
                call,
                deadline,
                attributes,
            } => {
                self.cold_start.record_offer(now, attributes.nested);
                let urgency = Urgency::from(&attributes);
                self.rate_limit.record_offer(now, attributes.share, urgency);
                let held = self.queue.new_entry(now, call, deadline, attributes);
                actions.extend(self.offer(now, held));
            }
            AdmissionEvent::Sent { call } => self.mark_sent(now, call),
            AdmissionEvent::Done {
                call,
                service_us,
                slowness_percent,
            } => self.end_call(now, call, service_us, slowness_percent),
            AdmissionEvent::Slowness(percent) => {
                self.record_slowness(now, percent);
            }
            AdmissionEvent::Recheck => {}
            AdmissionEvent::PeerSlowness(reading) => self.usual_slowness.record(reading),
            AdmissionEvent::Withdraw { call } => self.queue.remove(call),
            AdmissionEvent::Leave => self.leaving = true,
            AdmissionEvent::Rejoin => self.leaving = false,
            AdmissionEvent::SetLimits(limits) => {
                self.limits = limits;
                self.cold_start
                    .set_limit(limits.cold_calls_per_s, limits.cold_ms * 1_000);
            }
            AdmissionEvent::DaemonStarted => self.cold_start.record_daemon_start(now),
            AdmissionEvent::FirstReport(first) => self.cold_start.record_first_report(first),
            AdmissionEvent::Replaced => {
                self.cold_start.reset();
                self.rate_limit.set_limit(now, None);
            }
            AdmissionEvent::RateLimit(limit) => self.rate_limit.set_limit(now, limit),
            AdmissionEvent::ColdReported { left_us } => self.cold_start.set_cold_left(now, left_us),
            AdmissionEvent::ColdUncertain => self.cold_start.mark_uncertain(),
        }
        self.dispatch_held(now, &mut actions);
        self.update_counts(now, &actions);
        actions
    }

    /// Returns the current load.
    pub fn figures(&self, now: Micros) -> TargetLoad {
        let reading = self.slowness.unwrap_or(SlownessReading {
            factor: 0.0,
            at: now,
        });
        let age_us = now.saturating_sub(reading.at);
        TargetLoad {
            in_flight: self.in_flight.len() as u32,
            held: self.queue.len() as u32,
            slots: self.advertised_slots(now),
            service_us: self.service_us,
            slowness_percent: (reading.factor * 100.0) as u32,
            slowness_age_ms: u32::try_from(age_us / 1_000).unwrap_or(u32::MAX),
            notice: None,
        }
    }

    /// Returns whether the call is queued, in which case withdrawing it means that it never
    /// ran.
    pub fn is_held(&self, call: CallId) -> bool {
        self.queue.contains(call)
    }

    /// Returns whether the target is leaving and accepts no new calls.
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Returns the number of running and queued calls.
    pub fn load(&self) -> usize {
        self.in_flight.len() + self.queue.len()
    }

    /// Maximum number of calls run concurrently. A target that does not report its slowness
    /// gets all its slots, since nothing can be learned about it.
    fn max_concurrency(&self, now: Micros) -> u32 {
        match self.slowness {
            Some(_) => self.concurrency_limit.limit(now, self.limits.slots),
            None => self.limits.slots,
        }
    }

    /// Number of slots reported to routers. For a cold target it is capped to what the
    /// cold-start limit sustains.
    fn advertised_slots(&self, now: Micros) -> u32 {
        let limit = self.max_concurrency(now);
        let cold = self
            .cold_start
            .sustained_concurrency(now, Micros::from(self.service_us));
        cold.map_or(limit, |cold| cold.min(limit))
    }

    /// Returns whether the target is cold or may be.
    pub fn is_cold(&self, now: Micros) -> bool {
        self.cold_start.is_cold(now)
    }

    /// Returns how much longer the target is cold by its own last word, in microseconds; `None`
    /// if that word no longer holds.
    pub fn cold_left(&self, now: Micros) -> Option<Micros> {
        self.cold_start.cold_left(now)
    }

    /// Returns whether the target may have turned cold while no report was received.
    pub fn is_cold_uncertain(&self) -> bool {
        self.cold_start.is_uncertain()
    }

    /// Returns whether the target should be asked for its remaining cold time.
    pub fn needs_cold_report(&self) -> bool {
        self.cold_start.needs_report()
    }

    /// Delivers, refuses or queues the call. Queuing it yields no action.
    fn offer(&mut self, now: Micros, held: HeldCall) -> Option<AdmissionAction> {
        let call = held.call;
        if self.leaving {
            return Some(refuse(call, RefusalReason::Leaving, LEAVING_RETRY_AFTER_US));
        }
        let wait = self.expected_wait(now, &held);
        let blocked_by = self.blocking_limit(now, &held);
        if blocked_by.is_none() && self.has_free_slot(now) {
            match self.decide(now, &held) {
                StartDecision::Now => return Some(self.deliver(now, held)),
                StartDecision::Reroute => return Some(self.redirect(now, &held)),
                StartDecision::Reject => return Some(self.refuse_until_spell_ends(call)),
                StartDecision::Defer => {}
            }
        }
        if self.queue.len() >= self.limits.hold_limit as usize {
            return Some(refuse(call, RefusalReason::Full, self.retry_after(wait)));
        }
        let finish = now + wait + self.expected_service_us(now, held.attributes.kind);
        if finish > held.goal() {
            let reason = blocked_by.unwrap_or(RefusalReason::TooLate);
            return Some(self.refuse_for(now, reason, &held, wait));
        }
        let can_redirect =
            held.attributes.elsewhere == Elsewhere::Near && held.attributes.goal.is_some();
        if can_redirect && !(blocked_by.is_none() && self.has_free_slot(now)) {
            let reason = blocked_by.unwrap_or(RefusalReason::Busy);
            return Some(refuse(call, reason, self.retry_after(wait)));
        }
        self.queue.push(held);
        None
    }

    /// Decides what to do with a call while a slot is free.
    fn decide(&self, now: Micros, held: &HeldCall) -> StartDecision {
        let choice = self.choice(now, held.deadline, &held.attributes, held.initial_goal_us());
        let Some((outlook, choice)) = self.outlook(now).zip(choice) else {
            return StartDecision::Now;
        };
        outlook.decide(&StartRequest {
            can_retry: held.can_retry_in_time(now),
            ..choice
        })
    }

    /// Refuses a call so that its router offers it to another target.
    fn redirect(&self, now: Micros, held: &HeldCall) -> AdmissionAction {
        let after = self.expected_service_us(now, held.attributes.kind);
        refuse(held.call, RefusalReason::Busy, self.retry_after(after))
    }

    /// Refuses a call so that its caller retries when the slow spell should be over.
    fn refuse_until_spell_ends(&self, call: CallId) -> AdmissionAction {
        let wait = self.spells.mean_slow_us() as Micros;
        refuse(call, RefusalReason::TooLate, self.retry_after(wait))
    }

    /// Returns whether the target should be probed for its load before the call is offered
    /// to it, i.e. whether the reading is worth more than the probe costs.
    pub fn should_probe(&self, now: Micros, deadline: Micros, attributes: &CallAttributes) -> bool {
        let Some(outlook) = self.outlook(now) else {
            return attributes.goal.is_some();
        };
        let initial_goal_us = remaining_us(now, attributes.goal.unwrap_or(deadline));
        let attributes = CallAttributes {
            goal: attributes.effective_goal(now),
            ..*attributes
        };
        let Some(choice) = self.choice(now, deadline, &attributes, initial_goal_us) else {
            return false;
        };
        let price = f64::from(self.limits.ask_price_permille) / 1_000.0;
        outlook.load_query_gain(&choice) > price
    }

    /// What is known about the target; `None` until it has reported its slowness.
    fn outlook(&self, now: Micros) -> Option<TargetConditions<'_>> {
        Some(TargetConditions {
            now,
            reading: self.slowness?,
            service_slowness: &self.usual_slowness,
            slow_periods: &self.spells,
        })
    }

    /// What is known about a call; `None` if it has no goal. `initial_goal_us` is the time
    /// that was left until its goal when it arrived.
    fn choice(
        &self,
        now: Micros,
        deadline: Micros,
        attributes: &CallAttributes,
        initial_goal_us: f64,
    ) -> Option<StartRequest> {
        let timing = CallTiming {
            goal_remaining_us: remaining_us(now, attributes.goal?.min(deadline)),
            deadline_remaining_us: remaining_us(now, deadline),
            work: self
                .service_times
                .estimate_or_assumed(attributes.kind, initial_goal_us),
        };
        Some(StartRequest {
            timing,
            elsewhere: attributes.elsewhere,
            distance_costs: self.limits.prices,
            can_retry: false,
        })
    }

    fn deliver(&mut self, now: Micros, held: HeldCall) -> AdmissionAction {
        let call = held.call;
        let in_flight = InFlight {
            kind: held.attributes.kind,
            running: self.in_flight.len() as u32 + 1,
            slowness: self.expected_slowness(now),
            nested: held.attributes.nested,
            sent: false,
        };
        self.cold_start.record_admission(held.attributes.nested);
        self.rate_limit.take(now);
        self.in_flight.insert(call, in_flight);
        AdmissionAction::Deliver { call }
    }

    fn has_free_slot(&self, now: Micros) -> bool {
        self.in_flight.len() < self.max_concurrency(now) as usize
    }

    /// Time until a slot is free for a call. Queued calls that are dispatched before it
    /// take slots first, including the free ones.
    fn expected_wait(&self, now: Micros, held: &HeldCall) -> Micros {
        let service_us = |kind| self.expected_service_us(now, kind);
        let limit = self.max_concurrency(now).max(1);
        let ahead = self.queue.dispatched_before(now, held, &service_us);
        let ahead: Vec<Micros> = ahead
            .map(|other| service_us(other.attributes.kind))
            .collect();
        let capacity_at = self
            .cold_start
            .next_capacity_at(now, held.attributes.nested);
        let cold_us =
            (capacity_at - now) + self.cold_start.interval_us(now) * ahead.len() as Micros;
        let limited_us = cold_us.max(self.token_wait(now, held, ahead.len()));
        if ahead.len() + self.in_flight.len() < limit as usize {
            return limited_us;
        }
        let ahead_us: Micros = ahead.into_iter().sum();
        let slot_us = (ahead_us + Micros::from(self.service_us)) / Micros::from(limit);
        slot_us.max(limited_us)
    }

    /// Expected service time of a call of this kind if a slot is free: started now or after
    /// the slow spell, whichever ends first. For a target that does not report its
    /// slowness, the recent mean over all kinds is used.
    fn expected_service_us(&self, now: Micros, kind: CallKind) -> Micros {
        let (Some(work), Some(factor)) = (
            self.service_times.estimate(kind),
            self.expected_slowness(now),
        ) else {
            return Micros::from(self.service_us);
        };
        let at_once = work.mean_us * factor;
        let after_spell = work.mean_us * self.spells.baseline() + self.spells.mean_slow_us();
        at_once.min(after_spell) as Micros
    }

    /// Returns when queued calls must be reconsidered even if no event occurs, because they
    /// wait for a limit on the rate of calls or for the end of a slow spell. `None` if no queued
    /// call waits for either.
    pub fn next_recheck(&self, now: Micros) -> Option<NextRecheck> {
        if self.queue.is_empty() || !self.has_free_slot(now) {
            return None;
        }
        let cold_at = self
            .queue
            .has_nested()
            .map(|nested| self.cold_start.next_capacity_at(now, nested));
        let urgencies = self.queue.attributes().map(Urgency::from);
        let token_at = urgencies
            .map(|urgency| self.rate_limit.next_token_at(now, urgency))
            .min();
        let capacity_at = cold_at.max(token_at);
        if let Some(at) = capacity_at.filter(|at| *at > now) {
            return Some(NextRecheck {
                at,
                needs_reading: false,
            });
        }
        let read_at = self.slowness.map_or(now, |reading| reading.at);
        let step_us = (self.spells.mean_slow_us() / RECHECKS_PER_SPELL) as Micros;
        Some(NextRecheck {
            at: (read_at + step_us).max(now + MIN_RECHECK_DELAY_US),
            needs_reading: true,
        })
    }

    fn expected_slowness(&self, now: Micros) -> Option<f64> {
        self.slowness?;
        let likely = self.usual_slowness.predict(now, self.slowness);
        Some(
            likely
                .map(|likely| likely.factor * likely.probability)
                .sum(),
        )
    }

    /// Retry hint for a refused call: the time until a slot should be free, scaled by the
    /// recent ratio of refusals to deliveries. If all refused callers retried for the same
    /// slot, handling them would cost more than the calls that run.
    fn retry_after(&self, wait: Micros) -> Micros {
        if self.service_us == 0 {
            return INITIAL_RETRY_AFTER_US;
        }
        let pressure = self.recent_refusals / self.recent_deliveries.max(1.0);
        let slot_us = (wait + Micros::from(self.service_us)) as f64;
        let after_us = slot_us * (1.0 + pressure);
        (after_us as Micros).min(MAX_RETRY_AFTER_US)
    }

    /// Updates the refusal and delivery counts.
    fn update_counts(&mut self, now: Micros, actions: &[AdmissionAction]) {
        let age_us = now.saturating_sub(self.counts_updated_at) as f64;
        let decay = (-age_us / PRESSURE_HALF_LIFE_US).exp2();
        self.counts_updated_at = now;
        self.recent_refusals *= decay;
        self.recent_deliveries *= decay;
        for action in actions {
            match action {
                AdmissionAction::Deliver { .. } => self.recent_deliveries += 1.0,
                AdmissionAction::Refuse { .. } => self.recent_refusals += 1.0,
            }
        }
    }

    /// Refuses queued calls that can no longer finish in time and dispatches the others to
    /// free slots.
    fn dispatch_held(&mut self, now: Micros, actions: &mut Vec<AdmissionAction>) {
        if self.queue.is_empty() {
            return;
        }
        let mut queue = std::mem::take(&mut self.queue);
        let infeasible = queue.take_infeasible(now, |kind| self.expected_service_us(now, kind));
        self.queue = queue;
        for call in infeasible {
            let after = self.retry_after(0);
            actions.push(refuse(call, RefusalReason::TooLate, after));
        }
        self.refuse_beyond_rate(now, actions);
        let service_us = |kind| self.expected_service_us(now, kind);
        for held in self.queue.in_dispatch_order(now, service_us) {
            if !self.has_free_slot(now) {
                return;
            }
            if self.blocking_limit(now, &held).is_some() {
                continue;
            }
            let action = match self.decide(now, &held) {
                StartDecision::Defer => continue,
                StartDecision::Now => self.deliver(now, held),
                StartDecision::Reroute => self.redirect(now, &held),
                StartDecision::Reject => self.refuse_until_spell_ends(held.call),
            };
            self.queue.remove(held.call);
            actions.push(action);
        }
    }

    fn mark_sent(&mut self, now: Micros, call: CallId) {
        let Some(delivered) = self.in_flight.get_mut(&call) else {
            return;
        };
        if !std::mem::replace(&mut delivered.sent, true) {
            self.cold_start.record_sent(now, delivered.nested);
        }
    }

    fn end_call(
        &mut self,
        now: Micros,
        call: CallId,
        service_us: Option<u32>,
        slowness_percent: Option<u32>,
    ) {
        self.mark_sent(now, call);
        let ended = self.in_flight.remove(&call);
        let factor = slowness_percent.map(|percent| self.record_slowness(now, percent));
        let Some(service_us) = service_us else { return };
        self.record_service_time(now, service_us);
        if let (Some(ended), Some(factor)) = (ended, factor) {
            self.record_kind_sample(now, ended, f64::from(service_us), factor);
        }
    }

    /// Records a reading and returns its factor.
    fn record_slowness(&mut self, now: Micros, percent: u32) -> f64 {
        let factor = f64::from(percent.max(1)) / 100.0;
        let reading = SlownessReading { factor, at: now };
        self.slowness = Some(reading);
        self.usual_slowness.record_own(reading);
        self.spells.record(reading);
        factor
    }

    /// Failed calls are not recorded: they say nothing about the service time, and a target
    /// that fails fast must not look fast.
    fn record_service_time(&mut self, now: Micros, service_us: u32) {
        let sample = f64::from(service_us.max(1));
        let age_us = now.saturating_sub(self.service_time_updated_at) as f64;
        let retained = (-age_us / SERVICE_TIME_HALF_LIFE_US).exp2();
        let weight = match self.service_us {
            0 => 1.0,
            _ => MIN_SERVICE_TIME_WEIGHT.max(1.0 - retained),
        };
        let mean = f64::from(self.service_us);
        self.service_us = (mean + (sample - mean) * weight).max(1.0) as u32;
        self.service_time_updated_at = now;
    }

    /// Learns the uncontended service time of a call kind, and the slowdown at the number
    /// of calls running, from calls during which the slowness was steady.
    fn record_kind_sample(&mut self, now: Micros, ended: InFlight, service_us: f64, factor: f64) {
        let before = ended.slowness.unwrap_or(factor);
        if (before - factor).abs() > factor * STEADY_SLOWNESS_TOLERANCE {
            return;
        }
        let sample_us = service_us / factor;
        let running = ended.running;
        let uncontended = f64::from(running) <= f64::from(self.limits.slots) * UNCONTENDED_FRACTION;
        let known = self.service_times.kind_estimate(ended.kind);
        if let Some(work) = known {
            self.concurrency_limit
                .record(now, running, sample_us / work.mean_us);
        }
        if uncontended || known.is_none_or(|work| work.samples() < UNCONDITIONAL_SAMPLES) {
            self.service_times.record(ended.kind, sample_us);
        }
    }
}

fn refuse(call: CallId, reason: RefusalReason, retry_after_us: Micros) -> AdmissionAction {
    AdmissionAction::Refuse {
        call,
        refusal: Refusal {
            reason,
            retry_after_us,
        },
    }
}
