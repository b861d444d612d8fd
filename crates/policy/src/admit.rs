//! Admission at the target: exact slots, a short hold queue ordered by
//! deadline, and refusal at once of what cannot finish in time.
//!
//! Every call to a target passes its own daemon, so the number in flight here
//! is exact and needs no report. A call is refused when it arrives rather than
//! when its deadline nears: the router can still offer it elsewhere, and a
//! caller that is told early can come back at the right time.

use std::collections::HashMap;

use crate::admit_event::{AdmitAction, AdmitEvent, AdmitLimits, NextLook};
use crate::cold::ColdBound;
use crate::elsewhere::Elsewhere;
use crate::event::{Refusal, RefusalReason};
use crate::hold::{CallTerms, Held, Hold};
use crate::ids::{CallId, Micros};
use crate::limit::LearnedLimit;
use crate::slow_period::SlowPeriodModel;
use crate::slowness::{SlownessDistribution, SlownessReading};
use crate::start_decision::{StartDecision, StartRequest, TargetConditions};
use crate::target_load::TargetLoad;
use crate::utility::{CallTiming, remaining_us};
use crate::work::{CallKind, Works};

/// Least weight of one service time in the running mean.
const SERVICE_WEIGHT: f64 = 0.125;
/// Age at which half of the running mean is still believed: after a pause the
/// next service time counts for more, or one slow call would be remembered for as
/// long as the target is avoided because of it.
const SERVICE_HALF_LIFE_US: f64 = 500_000.0;
/// Age at which a refusal or a delivery counts half in the pressure.
const PRESSURE_HALF_LIFE_US: f64 = 500_000.0;
/// Longest time after which a refused caller is told to come back.
const RETRY_AFTER_MAX_US: Micros = 5_000_000;
/// Hint for callers while no service time is known.
const FIRST_RETRY_AFTER_US: Micros = 50_000;
/// Hint for callers refused because the target leaves.
const LEAVING_RETRY_AFTER_US: Micros = 1_000_000;

/// Looks at a target in a spell of mean length: a spell is noticed to be over within an
/// eighth of it.
const LOOKS_PER_SPELL: f64 = 8.0;
/// Least time between two looks, in microseconds.
const LOOK_LEAST_US: Micros = 5_000;
/// Part of the slots up to which a target counts as not crowded: what calls take
/// alone is learned there.
const ALONE_PART: f64 = 0.5;
/// Samples of a kind that are taken whatever the number of calls running.
const FIRST_SAMPLES: u32 = 8;
/// Largest difference between two readings of slowness for which the time between
/// them counts as even.
const EVEN_PART: f64 = 0.2;

/// A call that the target runs.
#[derive(Clone, Copy, Debug)]
struct InFlight {
    kind: CallKind,
    /// Calls running when it was delivered, itself among them. They decide how long it
    /// takes, as the slowness at that moment does.
    running: u32,
    /// Slowness known when it was delivered.
    slowness: Option<f64>,
    nested: bool,
    sent: bool,
}

/// Admission of one target.
#[derive(Debug)]
pub struct Admit {
    limits: AdmitLimits,
    leaving: bool,
    in_flight: HashMap<CallId, InFlight>,
    hold: Hold,
    service_us: u32,
    service_at: Micros,
    works: Works,
    learned_limit: LearnedLimit,
    slowness: Option<SlownessReading>,
    usual_slowness: SlownessDistribution,
    spells: SlowPeriodModel,
    cold: ColdBound,
    refused: f64,
    delivered: f64,
    counted_at: Micros,
}

impl Admit {
    /// An idle target.
    pub fn new(limits: AdmitLimits) -> Self {
        Admit {
            limits,
            leaving: false,
            in_flight: HashMap::new(),
            hold: Hold::default(),
            service_us: 0,
            service_at: 0,
            works: Works::default(),
            learned_limit: LearnedLimit::default(),
            slowness: None,
            usual_slowness: SlownessDistribution::default(),
            spells: SlowPeriodModel::default(),
            cold: ColdBound::default(),
            refused: 0.0,
            delivered: 0.0,
            counted_at: 0,
        }
    }

    /// Takes one event and says what to do.
    pub fn on(&mut self, now: Micros, event: AdmitEvent) -> Vec<AdmitAction> {
        let mut actions = Vec::new();
        match event {
            AdmitEvent::Offer {
                call,
                deadline,
                terms,
            } => {
                self.cold.offered(now, terms.nested);
                let held = self.hold.candidate(now, call, deadline, terms);
                actions.extend(self.offer(now, held));
            }
            AdmitEvent::Sent { call } => self.sent(now, call),
            AdmitEvent::Done {
                call,
                service_us,
                slowness_percent,
            } => self.done(now, call, service_us, slowness_percent),
            AdmitEvent::Slowness(percent) => {
                self.learn_slowness(now, percent);
            }
            AdmitEvent::Look => {}
            AdmitEvent::PeerSlowness(reading) => self.usual_slowness.record(reading),
            AdmitEvent::Withdraw { call } => self.hold.remove(call),
            AdmitEvent::Leave => self.leaving = true,
            AdmitEvent::Return => self.leaving = false,
            AdmitEvent::SetLimits(limits) => {
                self.limits = limits;
                self.cold
                    .set_limit(limits.cold_calls_per_s, limits.cold_ms * 1_000);
            }
            AdmitEvent::Start => self.cold.start(now),
            AdmitEvent::FirstReport(first) => self.cold.first_report(first),
            AdmitEvent::Replaced => self.cold.replace(),
            AdmitEvent::ColdTold { left_us } => self.cold.told(now, left_us),
            AdmitEvent::ColdDoubted => self.cold.doubt(),
        }
        self.fill(now, &mut actions);
        self.count(now, &actions);
        actions
    }

    /// The load at this moment.
    pub fn figures(&self, now: Micros) -> TargetLoad {
        let reading = self.slowness.unwrap_or(SlownessReading {
            factor: 0.0,
            at: now,
        });
        let age_us = now.saturating_sub(reading.at);
        TargetLoad {
            in_flight: self.in_flight.len() as u32,
            held: self.hold.len() as u32,
            slots: self.at_once(now),
            service_us: self.service_us,
            slowness_percent: (reading.factor * 100.0) as u32,
            slowness_age_ms: u32::try_from(age_us / 1_000).unwrap_or(u32::MAX),
        }
    }

    /// Whether the call is held, so that withdrawing it means it never ran.
    pub fn is_held(&self, call: CallId) -> bool {
        self.hold.contains(call)
    }

    /// Whether the target takes no new calls.
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Calls served and held.
    pub fn load(&self) -> usize {
        self.in_flight.len() + self.hold.len()
    }

    /// Calls that are run at once: all slots of a target that does not tell its slowness,
    /// since nothing is learned of it.
    fn limit(&self, now: Micros) -> u32 {
        match self.slowness {
            Some(_) => self.learned_limit.limit(now, self.limits.slots),
            None => self.limits.slots,
        }
    }

    /// Calls that the target serves at once as routers are told: of a cold target, as many as
    /// its bound leaves.
    fn at_once(&self, now: Micros) -> u32 {
        let limit = self.limit(now);
        let cold = self.cold.at_once(now, Micros::from(self.service_us));
        cold.map_or(limit, |cold| cold.min(limit))
    }

    /// Whether the target is cold or may be.
    pub fn is_cold(&self, now: Micros) -> bool {
        self.cold.is_cold(now)
    }

    /// Whether the target is to be asked how much longer it is cold.
    pub fn wants_cold_reading(&self) -> bool {
        self.cold.wants_reading()
    }

    /// Delivers, refuses, or holds the call; holding it takes no action.
    fn offer(&mut self, now: Micros, held: Held) -> Option<AdmitAction> {
        let call = held.call;
        if self.leaving {
            return Some(refuse(call, RefusalReason::Leaving, LEAVING_RETRY_AFTER_US));
        }
        let wait = self.expected_wait(now, &held);
        let has_cold_room = self.cold.has_room(now, held.terms.nested);
        let no_room = match has_cold_room {
            true => RefusalReason::Busy,
            false => RefusalReason::Cold,
        };
        if has_cold_room && self.has_free_slot(now) {
            match self.begin(now, &held) {
                StartDecision::Now => return Some(self.deliver(now, held)),
                StartDecision::Reroute => return Some(self.send_on(now, &held)),
                StartDecision::Reject => return Some(self.send_back(call)),
                StartDecision::Defer => {}
            }
        }
        if self.hold.len() >= self.limits.hold_limit as usize {
            return Some(refuse(call, RefusalReason::Full, self.retry_after(wait)));
        }
        let finish = now + wait + self.expected_service_us(now, held.terms.kind);
        if finish > held.goal() {
            let reason = match has_cold_room {
                true => RefusalReason::TooLate,
                false => RefusalReason::Cold,
            };
            return Some(refuse(call, reason, self.retry_after(wait)));
        }
        let can_move = held.terms.elsewhere == Elsewhere::Near && held.terms.goal.is_some();
        if can_move && !(has_cold_room && self.has_free_slot(now)) {
            return Some(refuse(call, no_room, self.retry_after(wait)));
        }
        self.hold.push(held);
        None
    }

    /// What is best for a call while a slot is free.
    fn begin(&self, now: Micros, held: &Held) -> StartDecision {
        let choice = self.choice(now, held.deadline, &held.terms, held.whole_us());
        let Some((outlook, choice)) = self.outlook(now).zip(choice) else {
            return StartDecision::Now;
        };
        outlook.decide(&StartRequest {
            can_retry: held.can_come_back(now),
            ..choice
        })
    }

    /// Refuses a call so that its router offers it to another target.
    fn send_on(&self, now: Micros, held: &Held) -> AdmitAction {
        let after = self.expected_service_us(now, held.terms.kind);
        refuse(held.call, RefusalReason::Busy, self.retry_after(after))
    }

    /// Refuses a call so that its caller comes back when a slow spell should be over.
    fn send_back(&self, call: CallId) -> AdmitAction {
        let wait = self.spells.mean_slow_us() as Micros;
        refuse(call, RefusalReason::TooLate, self.retry_after(wait))
    }

    /// Whether the target should be asked for its load before a call is offered to it: that
    /// is worth more than the question costs.
    pub fn should_ask(&self, now: Micros, deadline: Micros, terms: &CallTerms) -> bool {
        let Some(outlook) = self.outlook(now) else {
            return terms.goal.is_some();
        };
        let whole_us = remaining_us(now, terms.goal.unwrap_or(deadline));
        let terms = CallTerms {
            goal: terms.goal_of(now),
            ..*terms
        };
        let Some(choice) = self.choice(now, deadline, &terms, whole_us) else {
            return false;
        };
        let price = f64::from(self.limits.ask_price_permille) / 1_000.0;
        outlook.load_query_gain(&choice) > price
    }

    /// What is known of the target; nothing before it told how slow it is.
    fn outlook(&self, now: Micros) -> Option<TargetConditions<'_>> {
        Some(TargetConditions {
            now,
            reading: self.slowness?,
            service_slowness: &self.usual_slowness,
            slow_periods: &self.spells,
        })
    }

    /// What is known of a call; nothing for one without a goal. It had `whole_us` until its
    /// goal when it came.
    fn choice(
        &self,
        now: Micros,
        deadline: Micros,
        terms: &CallTerms,
        whole_us: f64,
    ) -> Option<StartRequest> {
        let timing = CallTiming {
            goal_remaining_us: remaining_us(now, terms.goal?.min(deadline)),
            deadline_remaining_us: remaining_us(now, deadline),
            work: self.works.of_or_assumed(terms.kind, whole_us),
        };
        Some(StartRequest {
            timing,
            elsewhere: terms.elsewhere,
            distance_costs: self.limits.prices,
            can_retry: false,
        })
    }

    fn deliver(&mut self, now: Micros, held: Held) -> AdmitAction {
        let call = held.call;
        let in_flight = InFlight {
            kind: held.terms.kind,
            running: self.in_flight.len() as u32 + 1,
            slowness: self.expected_slowness(now),
            nested: held.terms.nested,
            sent: false,
        };
        self.cold.let_through(held.terms.nested);
        self.in_flight.insert(call, in_flight);
        AdmitAction::Deliver { call }
    }

    fn has_free_slot(&self, now: Micros) -> bool {
        self.in_flight.len() < self.limit(now) as usize
    }

    /// Time until a slot is free for a call: those that are next before it go first, the
    /// first of them to the slots that are free.
    fn expected_wait(&self, now: Micros, held: &Held) -> Micros {
        let service_us = |kind| self.expected_service_us(now, kind);
        let limit = self.limit(now).max(1);
        let ahead = self.hold.ahead(now, held, &service_us);
        let ahead: Vec<Micros> = ahead.map(|other| service_us(other.terms.kind)).collect();
        let room_at = self.cold.room_at(now, held.terms.nested);
        let cold_us = (room_at - now) + self.cold.pace_us(now) * ahead.len() as Micros;
        if ahead.len() + self.in_flight.len() < limit as usize {
            return cold_us;
        }
        let ahead_us: Micros = ahead.into_iter().sum();
        let slot_us = (ahead_us + Micros::from(self.service_us)) / Micros::from(limit);
        slot_us.max(cold_us)
    }

    /// Time that a call of a kind should take from now on if a slot is free: at once, or
    /// after a slow spell, whichever ends first. Where the target does not tell its
    /// slowness, what calls took of late stands for all kinds.
    fn expected_service_us(&self, now: Micros, kind: CallKind) -> Micros {
        let (Some(work), Some(factor)) = (self.works.of(kind), self.expected_slowness(now)) else {
            return Micros::from(self.service_us);
        };
        let at_once = work.mean_us * factor;
        let after_spell = work.mean_us * self.spells.baseline() + self.spells.mean_slow_us();
        at_once.min(after_spell) as Micros
    }

    /// When held calls are to be looked at again though nothing has happened: they wait for
    /// room at a cold target, or for the end of a slow spell. Nothing where none does.
    pub fn next_look(&self, now: Micros) -> Option<NextLook> {
        if self.hold.is_empty() || !self.has_free_slot(now) {
            return None;
        }
        let room_at = self
            .hold
            .any_nested()
            .map(|nested| self.cold.room_at(now, nested));
        if let Some(at) = room_at.filter(|at| *at > now) {
            return Some(NextLook {
                at,
                needs_reading: false,
            });
        }
        let read_at = self.slowness.map_or(now, |reading| reading.at);
        let step_us = (self.spells.mean_slow_us() / LOOKS_PER_SPELL) as Micros;
        Some(NextLook {
            at: (read_at + step_us).max(now + LOOK_LEAST_US),
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

    /// When a refused caller should come back: when a slot should be free, and the
    /// later the more were refused of late for each that was delivered. Callers who
    /// all came back for the same slot would cost more than the calls that run.
    fn retry_after(&self, wait: Micros) -> Micros {
        if self.service_us == 0 {
            return FIRST_RETRY_AFTER_US;
        }
        let pressure = self.refused / self.delivered.max(1.0);
        let slot_us = (wait + Micros::from(self.service_us)) as f64;
        let after_us = slot_us * (1.0 + pressure);
        (after_us as Micros).min(RETRY_AFTER_MAX_US)
    }

    /// Counts what was decided, for the pressure.
    fn count(&mut self, now: Micros, actions: &[AdmitAction]) {
        let age_us = now.saturating_sub(self.counted_at) as f64;
        let kept = (-age_us / PRESSURE_HALF_LIFE_US).exp2();
        self.counted_at = now;
        self.refused *= kept;
        self.delivered *= kept;
        for action in actions {
            match action {
                AdmitAction::Deliver { .. } => self.delivered += 1.0,
                AdmitAction::Refuse { .. } => self.refused += 1.0,
            }
        }
    }

    /// Refuses held calls that can no longer finish in time, and gives free slots to
    /// the others.
    fn fill(&mut self, now: Micros, actions: &mut Vec<AdmitAction>) {
        if self.hold.is_empty() {
            return;
        }
        let mut hold = std::mem::take(&mut self.hold);
        let hopeless = hold.take_hopeless(now, |kind| self.expected_service_us(now, kind));
        self.hold = hold;
        for call in hopeless {
            let after = self.retry_after(0);
            actions.push(refuse(call, RefusalReason::TooLate, after));
        }
        let service_us = |kind| self.expected_service_us(now, kind);
        for held in self.hold.in_turn(now, service_us) {
            if !self.has_free_slot(now) {
                return;
            }
            if !self.cold.has_room(now, held.terms.nested) {
                continue;
            }
            let action = match self.begin(now, &held) {
                StartDecision::Defer => continue,
                StartDecision::Now => self.deliver(now, held),
                StartDecision::Reroute => self.send_on(now, &held),
                StartDecision::Reject => self.send_back(held.call),
            };
            self.hold.remove(held.call);
            actions.push(action);
        }
    }

    fn sent(&mut self, now: Micros, call: CallId) {
        let Some(delivered) = self.in_flight.get_mut(&call) else {
            return;
        };
        if !std::mem::replace(&mut delivered.sent, true) {
            self.cold.sent(now, delivered.nested);
        }
    }

    fn done(
        &mut self,
        now: Micros,
        call: CallId,
        service_us: Option<u32>,
        slowness_percent: Option<u32>,
    ) {
        self.sent(now, call);
        let ended = self.in_flight.remove(&call);
        let factor = slowness_percent.map(|percent| self.learn_slowness(now, percent));
        let Some(service_us) = service_us else { return };
        self.learn_service(now, service_us);
        if let (Some(ended), Some(factor)) = (ended, factor) {
            self.learn_work(now, ended, f64::from(service_us), factor);
        }
    }

    /// Takes a reading and returns its factor.
    fn learn_slowness(&mut self, now: Micros, percent: u32) -> f64 {
        let factor = f64::from(percent.max(1)) / 100.0;
        let reading = SlownessReading { factor, at: now };
        self.slowness = Some(reading);
        self.usual_slowness.record_own(reading);
        self.spells.record(reading);
        factor
    }

    /// A failure says nothing about the time that serving takes, so a target
    /// that fails fast never looks fast.
    fn learn_service(&mut self, now: Micros, service_us: u32) {
        let sample = f64::from(service_us.max(1));
        let age_us = now.saturating_sub(self.service_at) as f64;
        let believed = (-age_us / SERVICE_HALF_LIFE_US).exp2();
        let weight = match self.service_us {
            0 => 1.0,
            _ => SERVICE_WEIGHT.max(1.0 - believed),
        };
        let mean = f64::from(self.service_us);
        self.service_us = (mean + (sample - mean) * weight).max(1.0) as u32;
        self.service_at = now;
    }

    /// Learns what a kind of call takes alone, and how much longer it takes beside
    /// others, from times over which the slowness was even.
    fn learn_work(&mut self, now: Micros, ended: InFlight, service_us: f64, factor: f64) {
        let before = ended.slowness.unwrap_or(factor);
        if (before - factor).abs() > factor * EVEN_PART {
            return;
        }
        let usual_us = service_us / factor;
        let running = ended.running;
        let alone = f64::from(running) <= f64::from(self.limits.slots) * ALONE_PART;
        let known = self.works.of_kind(ended.kind);
        if let Some(work) = known {
            self.learned_limit
                .learn(now, running, usual_us / work.mean_us);
        }
        if alone || known.is_none_or(|work| work.samples() < FIRST_SAMPLES) {
            self.works.learn(ended.kind, usual_us);
        }
    }
}

fn refuse(call: CallId, reason: RefusalReason, retry_after_us: Micros) -> AdmitAction {
    AdmitAction::Refuse {
        call,
        refusal: Refusal {
            reason,
            retry_after_us,
        },
    }
}
