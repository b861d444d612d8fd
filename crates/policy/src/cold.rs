//! How many calls a cold target is given.
//!
//! A target that has just started, or that lost what it keeps in memory, bears few calls a
//! second, and one that is given many more falls over and starts cold again. The bound holds
//! in every second, however a second is laid, so the deliveries of the last one are kept,
//! also while the target is warm: it may have turned cold under them. Within that second
//! callers' calls are spread evenly, since a call that came after a burst would find the
//! bound used up for longer than it can wait. A call counts from when it is sent, and takes
//! room already when it is let through: a busy daemon may send it later. Room is kept for
//! nested calls: another call has done its work already and fails without them.

use std::collections::VecDeque;

use crate::ids::Micros;

/// Time in which the bound holds, in microseconds: a second, and the time by which calls
/// that were sent apart may reach the target closer together, where its host has used up
/// its share of a processor.
const WINDOW_US: Micros = 1_200_000;
/// Parts of that time over which callers' calls are spread.
const STEPS: u32 = 8;
/// Part of the bound that is kept for nested calls at most, so that callers' calls, which
/// make the nested ones, go on.
const RESERVE_PART: f64 = 0.75;
/// Reports that a target sends in its first moments at most: while nobody listens it sends
/// another at once.
const FIRST_REPORTS: u64 = 5;
/// Age up to which a target is taken to have been given nothing by an earlier run of the
/// daemon, in microseconds: a daemon takes longer to start again.
const FRESH_US: Micros = 100_000;
/// Part of the bound after which the target is asked whether it is still warm.
const ASK_PART: u32 = 3;

/// What is known of whether the target is cold.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Known {
    /// It is warm from this time on.
    WarmFrom(Micros),
    /// It may be cold, and has not said for how long.
    Doubted,
}

/// The first report of a target that a run of the daemon heard.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FirstReport {
    /// How much longer the target was cold, in microseconds.
    pub left_us: Micros,
    /// Number of the report among those of its sender.
    pub sequence: u64,
}

/// The bound of one target.
#[derive(Debug)]
pub struct ColdBound {
    calls_per_s: u32,
    known: Known,
    /// Deliveries of the last second, the oldest first.
    delivered: Recent,
    /// Nested calls that were offered in the last second.
    nested_offers: Recent,
    /// Callers' calls among the deliveries.
    callers: Recent,
    /// Calls that were let through and are not sent yet, callers' calls and all.
    unsent_callers: u32,
    unsent: u32,
    /// Until then the deliveries of an earlier run of the daemon may count.
    past_unknown_until: Micros,
    /// What the first report said that this run of the daemon heard.
    first: Option<FirstReport>,
    /// Time for which a target is cold after its start, in microseconds; 0 if not known.
    cold_us: Micros,
    /// Deliveries since the target told for how long it is cold.
    since_told: u32,
}

impl Default for ColdBound {
    fn default() -> Self {
        ColdBound {
            calls_per_s: 0,
            known: Known::WarmFrom(0),
            delivered: Recent::default(),
            nested_offers: Recent::default(),
            callers: Recent::default(),
            unsent_callers: 0,
            unsent: 0,
            past_unknown_until: 0,
            first: None,
            cold_us: 0,
            since_told: 0,
        }
    }
}

impl ColdBound {
    /// Sets the calls that a cold target is given in any second at most, 0 for no bound, and
    /// the time for which a target is cold after its start, 0 where that is not known.
    pub fn set_limit(&mut self, calls_per_s: u32, cold_us: Micros) {
        self.calls_per_s = calls_per_s;
        self.cold_us = cold_us;
    }

    /// The daemon starts: what an earlier run delivered in the last second is not known, and
    /// is taken to have used up the bound.
    pub fn start(&mut self, now: Micros) {
        self.past_unknown_until = now + WINDOW_US;
    }

    /// The daemon heard the first report of its target.
    pub fn first_report(&mut self, first: FirstReport) {
        self.first = Some(first);
    }

    /// Whether the target had just started when this run of the daemon heard of it, so that
    /// no earlier run gave it calls.
    fn was_fresh(&self) -> bool {
        let just_started = |first: FirstReport| {
            first.sequence <= FIRST_REPORTS && first.left_us + FRESH_US >= self.cold_us
        };
        self.cold_us > 0 && self.first.is_some_and(just_started)
    }

    /// Another incarnation of the target is in place, which was given nothing yet and whose
    /// first report tells whether it is cold.
    pub fn replace(&mut self) {
        *self = ColdBound {
            calls_per_s: self.calls_per_s,
            cold_us: self.cold_us,
            unsent_callers: self.unsent_callers,
            unsent: self.unsent,
            ..ColdBound::default()
        };
    }

    /// The target tells how much longer it is cold, in microseconds; 0 if it is warm.
    pub fn told(&mut self, now: Micros, left_us: Micros) {
        self.known = Known::WarmFrom(now + left_us);
        self.since_told = 0;
    }

    /// The target may have turned cold while nothing was heard of it.
    pub fn doubt(&mut self) {
        self.known = Known::Doubted;
    }

    /// Whether the target counts as cold.
    pub fn is_cold(&self, now: Micros) -> bool {
        self.calls_per_s > 0
            && match self.known {
                Known::WarmFrom(at) => now < at,
                Known::Doubted => true,
            }
    }

    /// Whether the target is to be asked how much longer it is cold: it may be, or enough
    /// calls were delivered since it told that they would be too many if it had turned cold
    /// since then.
    pub fn wants_reading(&self) -> bool {
        let enough = self.calls_per_s / ASK_PART;
        self.calls_per_s > 0 && (self.known == Known::Doubted || self.since_told >= enough)
    }

    /// A call was offered.
    pub fn offered(&mut self, now: Micros, nested: bool) {
        if self.calls_per_s > 0 && nested {
            self.nested_offers.push(now);
        }
    }

    /// A call is let through.
    pub fn let_through(&mut self, nested: bool) {
        self.since_told = self.since_told.saturating_add(1);
        self.unsent += 1;
        self.unsent_callers += u32::from(!nested);
    }

    /// A call that was let through was sent by now, or may have been.
    pub fn sent(&mut self, now: Micros, nested: bool) {
        self.unsent = self.unsent.saturating_sub(1);
        self.unsent_callers = self.unsent_callers.saturating_sub(u32::from(!nested));
        if self.calls_per_s == 0 {
            return;
        }
        self.delivered.push(now);
        if !nested {
            self.callers.push(now);
        }
    }

    /// Whether a call may be delivered now.
    pub fn has_room(&self, now: Micros, nested: bool) -> bool {
        !self.is_cold(now) || self.room_at(now, nested) <= now
    }

    /// When a call may be delivered if no other is before, as far as is known now; no
    /// earlier than now.
    pub fn room_at(&self, now: Micros, nested: bool) -> Micros {
        if !self.is_cold(now) {
            return now;
        }
        let bound = self.calls_per_s;
        let left = bound.saturating_sub(self.unsent);
        let all = self.delivered.room_at(now, WINDOW_US, left);
        let any = match self.was_fresh() {
            true => all,
            false => all.max(self.past_unknown_until),
        };
        if nested {
            return any;
        }
        let callers = bound - self.reserve(now);
        let step = callers.div_ceil(STEPS).max(1);
        let step_us = WINDOW_US / Micros::from(STEPS);
        let left = |limit: u32| limit.saturating_sub(self.unsent_callers);
        any.max(self.callers.room_at(now, WINDOW_US, left(callers)))
            .max(self.callers.room_at(now, step_us, left(step)))
    }

    /// Calls that the target runs at once while it is cold, where one takes `service_us`:
    /// by Little's law. Nothing where it is not cold.
    pub fn at_once(&self, now: Micros, service_us: Micros) -> Option<u32> {
        let per_call = service_us as f64 / WINDOW_US as f64;
        let at_once = f64::from(self.calls_per_s) * per_call;
        self.is_cold(now).then_some((at_once.ceil() as u32).max(1))
    }

    /// Time between two calls that are delivered evenly while the target is cold.
    pub fn pace_us(&self, now: Micros) -> Micros {
        match self.is_cold(now) {
            true => WINDOW_US / Micros::from(self.calls_per_s),
            false => 0,
        }
    }

    /// Calls of the bound that are kept for nested ones: as many as were offered of late.
    fn reserve(&self, now: Micros) -> u32 {
        let offered = self.nested_offers.count(now, WINDOW_US);
        let most = f64::from(self.calls_per_s) * RESERVE_PART;
        offered.min(most as u32)
    }
}

/// Times within the last [`WINDOW_US`], the oldest first.
#[derive(Debug, Default)]
struct Recent {
    times: VecDeque<Micros>,
}

impl Recent {
    fn push(&mut self, now: Micros) {
        while self.times.front().is_some_and(|at| at + WINDOW_US <= now) {
            self.times.pop_front();
        }
        self.times.push_back(now);
    }

    fn count(&self, now: Micros, window_us: Micros) -> u32 {
        let recent = self.times.iter().rev();
        recent.take_while(|at| *at + window_us > now).count() as u32
    }

    /// When fewer than `limit` lie within a window that ends then; after the window where
    /// there is none, as far as is known now.
    fn room_at(&self, now: Micros, window_us: Micros, limit: u32) -> Micros {
        let Some(limit) = (limit as usize).checked_sub(1) else {
            return now + window_us;
        };
        let newest_too_many = self.times.iter().rev().nth(limit);
        newest_too_many.map_or(now, |at| (at + window_us).max(now))
    }
}
