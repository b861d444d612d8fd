//! Admission at the target: exact slots, a short hold queue ordered by
//! deadline, and refusal at once of what cannot finish in time.
//!
//! Every call to a target passes its own daemon, so the number in flight here
//! is exact and needs no report. A call is refused when it arrives rather than
//! when its deadline nears: the router can still offer it elsewhere, and a
//! caller that is told early can come back at the right time.

use std::collections::{BTreeMap, HashMap, HashSet};

use crate::event::{Refusal, RefusalReason};
use crate::figures::Figures;
use crate::ids::{CallId, Micros};

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

/// Limits of one target, from the settings.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AdmitLimits {
    /// Calls served at once.
    pub slots: u32,
    /// Calls held for a slot.
    pub hold_limit: u32,
}

/// What happens at a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AdmitEvent {
    /// A call is offered, to be answered before `deadline`.
    Offer {
        /// The call.
        call: CallId,
        /// Latest useful time of its answer.
        deadline: Micros,
    },
    /// A delivered call ended.
    Done {
        /// The call.
        call: CallId,
        /// Service time where the target served it; absent where it failed.
        service_us: Option<u32>,
        /// How slow the target said it is, in percent; absent where it did not say.
        slowness_percent: Option<u32>,
    },
    /// The router no longer wants the call.
    Withdraw {
        /// The call.
        call: CallId,
    },
    /// The target takes no new calls from now on.
    Leave,
    /// The target takes calls again.
    Return,
    /// The settings changed.
    SetLimits(AdmitLimits),
}

/// What the shell has to do.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AdmitAction {
    /// Deliver the call to the target now.
    Deliver {
        /// The call.
        call: CallId,
    },
    /// Answer that the call was not run.
    Refuse {
        /// The call.
        call: CallId,
        /// Why, and when to come back.
        refusal: Refusal,
    },
}

/// Admission of one target.
#[derive(Debug)]
pub struct Admit {
    limits: AdmitLimits,
    leaving: bool,
    in_flight: HashSet<CallId>,
    held: BTreeMap<(Micros, u64), CallId>,
    held_keys: HashMap<CallId, (Micros, u64)>,
    next_seq: u64,
    service_us: u32,
    service_at: Micros,
    refused: f64,
    delivered: f64,
    counted_at: Micros,
    /// The target's slowness in percent as it said last, and when.
    slowness: Option<(u32, Micros)>,
}

impl Admit {
    /// An idle target.
    pub fn new(limits: AdmitLimits) -> Self {
        Admit {
            limits,
            leaving: false,
            in_flight: HashSet::new(),
            held: BTreeMap::new(),
            held_keys: HashMap::new(),
            next_seq: 0,
            service_us: 0,
            service_at: 0,
            refused: 0.0,
            delivered: 0.0,
            counted_at: 0,
            slowness: None,
        }
    }

    /// Takes one event and says what to do.
    pub fn on(&mut self, now: Micros, event: AdmitEvent) -> Vec<AdmitAction> {
        let mut actions = Vec::new();
        match event {
            AdmitEvent::Offer { call, deadline } => {
                actions.extend(self.offer(now, call, deadline));
            }
            AdmitEvent::Done {
                call,
                service_us,
                slowness_percent,
            } => {
                self.in_flight.remove(&call);
                if let Some(percent) = slowness_percent {
                    self.slowness = Some((percent, now));
                }
                self.learn(now, service_us);
            }
            AdmitEvent::Withdraw { call } => {
                self.unhold(call);
            }
            AdmitEvent::Leave => self.leaving = true,
            AdmitEvent::Return => self.leaving = false,
            AdmitEvent::SetLimits(limits) => self.limits = limits,
        }
        self.fill(now, &mut actions);
        self.count(now, &actions);
        actions
    }

    /// The load at this moment.
    pub fn figures(&self, now: Micros) -> Figures {
        let (slowness_percent, read_at) = self.slowness.unwrap_or((0, now));
        let age_us = now.saturating_sub(read_at);
        Figures {
            slowness_percent,
            slowness_age_ms: u32::try_from(age_us / 1_000).unwrap_or(u32::MAX),
            in_flight: self.in_flight.len() as u32,
            held: self.held.len() as u32,
            slots: self.limits.slots,
            service_us: self.service_us,
        }
    }

    /// Whether the call is held, so that withdrawing it means it never ran.
    pub fn is_held(&self, call: CallId) -> bool {
        self.held_keys.contains_key(&call)
    }

    /// Whether the target takes no new calls.
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Calls served and held.
    pub fn load(&self) -> usize {
        self.in_flight.len() + self.held.len()
    }

    /// Delivers, refuses, or holds the call; holding it takes no action.
    fn offer(&mut self, now: Micros, call: CallId, deadline: Micros) -> Option<AdmitAction> {
        if self.leaving {
            return Some(refuse(call, RefusalReason::Leaving, LEAVING_RETRY_AFTER_US));
        }
        if self.has_free_slot() && self.held.is_empty() {
            self.in_flight.insert(call);
            return Some(AdmitAction::Deliver { call });
        }
        let wait = self.expected_wait(deadline);
        if self.held.len() >= self.limits.hold_limit as usize {
            return Some(refuse(call, RefusalReason::Full, self.retry_after(wait)));
        }
        if now + wait + Micros::from(self.service_us) > deadline {
            return Some(refuse(call, RefusalReason::TooLate, self.retry_after(wait)));
        }
        self.hold(call, deadline);
        None
    }

    fn has_free_slot(&self) -> bool {
        self.in_flight.len() < self.limits.slots as usize
    }

    /// Time until a slot is free for a call with this deadline: those held with
    /// an earlier deadline go first.
    fn expected_wait(&self, deadline: Micros) -> Micros {
        let ahead = self.held.range(..(deadline, u64::MAX)).count() as u64 + 1;
        ahead * Micros::from(self.service_us) / Micros::from(self.limits.slots)
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

    fn hold(&mut self, call: CallId, deadline: Micros) {
        let key = (deadline, self.next_seq);
        self.next_seq += 1;
        self.held.insert(key, call);
        self.held_keys.insert(call, key);
    }

    fn unhold(&mut self, call: CallId) {
        if let Some(key) = self.held_keys.remove(&call) {
            self.held.remove(&key);
        }
    }

    /// Gives free slots to held calls that can still finish in time.
    fn fill(&mut self, now: Micros, actions: &mut Vec<AdmitAction>) {
        while self.has_free_slot() {
            let Some(((deadline, _), call)) = self.held.pop_first() else {
                return;
            };
            self.held_keys.remove(&call);
            if now + Micros::from(self.service_us) > deadline {
                let after = self.retry_after(0);
                actions.push(refuse(call, RefusalReason::TooLate, after));
                continue;
            }
            self.in_flight.insert(call);
            actions.push(AdmitAction::Deliver { call });
        }
    }

    /// A failure says nothing about the time that serving takes, so a target
    /// that fails fast never looks fast.
    fn learn(&mut self, now: Micros, service_us: Option<u32>) {
        let Some(sample) = service_us else { return };
        let sample = f64::from(sample.max(1));
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
