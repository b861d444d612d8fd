//! Rate limit on calls to a cold target.
//!
//! A target that has just started, or that lost its in-memory state, can handle only a few
//! calls per second; with many more it fails and starts cold again. The limit holds in
//! every sliding window of one second, so the send times of the last second are kept, also
//! while the target is warm: it may have turned cold since they were sent. Within the
//! window, calls from callers are spread evenly, because a call arriving after a burst
//! would find the limit used up for longer than it can wait. A call counts from when it is
//! sent, but uses capacity from when it is admitted: a busy daemon may send it later.
//! Capacity is reserved for nested calls, because another call has already done its work
//! and fails without them.

use std::collections::VecDeque;

use crate::ids::Micros;

/// Window in which the limit holds, in microseconds: one second, plus the time by which
/// calls sent apart may reach the target closer together while its host is throttled for
/// having used up its CPU share.
const WINDOW_US: Micros = 1_200_000;
/// Number of parts of the window over which calls from callers are spread.
const PACING_STEPS: u32 = 8;
/// Maximum fraction of the limit that is reserved for nested calls. Calls from callers,
/// which make the nested ones, must still get through.
const MAX_RESERVED_FRACTION: f64 = 0.75;
/// Maximum number of reports that a target sends right after it starts: while nothing is
/// listening it sends another one at once.
const MAX_STARTUP_REPORTS: u64 = 5;
/// Time since the target's start, in microseconds, up to which it cannot have received
/// calls from an earlier run of the daemon, because a daemon takes longer than that to
/// restart.
const MAX_STARTUP_AGE_US: Micros = 100_000;
/// Divisor of the limit: after that many admitted calls the target is asked whether it is
/// still warm.
const PROBE_DIVISOR: u32 = 3;

/// What is known about whether the target is cold.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ColdState {
    /// The target is warm from this time on.
    WarmFrom(Micros),
    /// The target may be cold, and its remaining cold time is unknown.
    Uncertain,
}

/// First report of the target that this run of the daemon received.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FirstReport {
    /// Remaining cold time of the target, in microseconds.
    pub left_us: Micros,
    /// Sequence number of the report.
    pub sequence: u64,
}

/// Rate limiter for the cold starts of one target.
#[derive(Debug)]
pub struct ColdStartLimiter {
    calls_per_s: u32,
    state: ColdState,
    /// Send times in the last window.
    sent_times: RecentTimes,
    /// Offer times of nested calls in the last window.
    nested_offers: RecentTimes,
    /// Send times of calls from callers.
    caller_sent_times: RecentTimes,
    /// Calls admitted but not sent yet: those from callers, and all of them.
    unsent_caller_calls: u32,
    unsent: u32,
    /// Until this time, calls sent by an earlier run of the daemon may count towards the
    /// limit.
    history_unknown_until: Micros,
    /// First report received by this run of the daemon.
    first_report: Option<FirstReport>,
    /// Time for which a target is cold after it starts, in microseconds; 0 if unknown.
    cold_us: Micros,
    /// Calls admitted since the target last reported its remaining cold time.
    admitted_since_report: u32,
}

impl Default for ColdStartLimiter {
    fn default() -> Self {
        ColdStartLimiter {
            calls_per_s: 0,
            state: ColdState::WarmFrom(0),
            sent_times: RecentTimes::default(),
            nested_offers: RecentTimes::default(),
            caller_sent_times: RecentTimes::default(),
            unsent_caller_calls: 0,
            unsent: 0,
            history_unknown_until: 0,
            first_report: None,
            cold_us: 0,
            admitted_since_report: 0,
        }
    }
}

impl ColdStartLimiter {
    /// Sets the maximum number of calls to a cold target in any second (0 means unlimited),
    /// and the time for which a target is cold after it starts (0 if unknown).
    pub fn set_limit(&mut self, calls_per_s: u32, cold_us: Micros) {
        self.calls_per_s = calls_per_s;
        self.cold_us = cold_us;
    }

    /// Records a start of the daemon. What an earlier run sent within the last window is
    /// not known and is assumed to have used up the limit.
    pub fn record_daemon_start(&mut self, now: Micros) {
        self.history_unknown_until = now + WINDOW_US;
    }

    /// Records the first report that the daemon received from its target.
    pub fn record_first_report(&mut self, first: FirstReport) {
        self.first_report = Some(first);
    }

    /// Whether the target had just started when this run of the daemon received its first
    /// report, so that no earlier run sent it calls.
    fn had_just_started(&self) -> bool {
        let is_startup_report = |first: FirstReport| {
            first.sequence <= MAX_STARTUP_REPORTS
                && first.left_us + MAX_STARTUP_AGE_US >= self.cold_us
        };
        self.cold_us > 0 && self.first_report.is_some_and(is_startup_report)
    }

    /// Resets the limiter for another incarnation of the target, which has received no
    /// calls yet and whose first report tells whether it is cold.
    pub fn reset(&mut self) {
        *self = ColdStartLimiter {
            calls_per_s: self.calls_per_s,
            cold_us: self.cold_us,
            unsent_caller_calls: self.unsent_caller_calls,
            unsent: self.unsent,
            ..ColdStartLimiter::default()
        };
    }

    /// Records the remaining cold time that the target reported, in microseconds; 0 if it
    /// is warm.
    pub fn set_cold_left(&mut self, now: Micros, left_us: Micros) {
        self.state = ColdState::WarmFrom(now + left_us);
        self.admitted_since_report = 0;
    }

    /// Records that the target may have turned cold while no report was received.
    pub fn mark_uncertain(&mut self) {
        self.state = ColdState::Uncertain;
    }

    /// Returns whether the target counts as cold.
    pub fn is_cold(&self, now: Micros) -> bool {
        self.calls_per_s > 0
            && match self.state {
                ColdState::WarmFrom(at) => now < at,
                ColdState::Uncertain => true,
            }
    }

    /// Returns how much longer the target is cold by its own last word, in microseconds; `None`
    /// if that word no longer holds.
    pub fn cold_left(&self, now: Micros) -> Option<Micros> {
        match self.state {
            ColdState::WarmFrom(at) => Some(at.saturating_sub(now)),
            ColdState::Uncertain => None,
        }
    }

    /// Returns whether the target may have turned cold while no report was received.
    pub fn is_uncertain(&self) -> bool {
        self.calls_per_s > 0 && self.state == ColdState::Uncertain
    }

    /// Returns whether the target should be asked for its remaining cold time: either it
    /// may be cold, or so many calls were admitted since its last report that they would be
    /// too many if it had turned cold in the meantime.
    pub fn needs_report(&self) -> bool {
        let threshold = self.calls_per_s / PROBE_DIVISOR;
        self.calls_per_s > 0
            && (self.state == ColdState::Uncertain || self.admitted_since_report >= threshold)
    }

    /// Records the offer of a call.
    pub fn record_offer(&mut self, now: Micros, nested: bool) {
        if self.calls_per_s > 0 && nested {
            self.nested_offers.push(now);
        }
    }

    /// Records that a call is admitted.
    pub fn record_admission(&mut self, nested: bool) {
        self.admitted_since_report = self.admitted_since_report.saturating_add(1);
        self.unsent += 1;
        self.unsent_caller_calls += u32::from(!nested);
    }

    /// Records that an admitted call has been sent, or may have been.
    pub fn record_sent(&mut self, now: Micros, nested: bool) {
        self.unsent = self.unsent.saturating_sub(1);
        self.unsent_caller_calls = self.unsent_caller_calls.saturating_sub(u32::from(!nested));
        if self.calls_per_s == 0 {
            return;
        }
        self.sent_times.push(now);
        if !nested {
            self.caller_sent_times.push(now);
        }
    }

    /// Returns whether a call may be delivered now.
    pub fn has_capacity(&self, now: Micros, nested: bool) -> bool {
        !self.is_cold(now) || self.next_capacity_at(now, nested) <= now
    }

    /// Returns the earliest time, not before now, at which a call may be delivered as far as
    /// is known now, if no other is delivered before it.
    pub fn next_capacity_at(&self, now: Micros, nested: bool) -> Micros {
        if !self.is_cold(now) {
            return now;
        }
        let limit = self.calls_per_s;
        let left = limit.saturating_sub(self.unsent);
        let window_at = self.sent_times.earliest_below(now, WINDOW_US, left);
        let any_at = match self.had_just_started() {
            true => window_at,
            false => window_at.max(self.history_unknown_until),
        };
        if nested {
            return any_at;
        }
        let caller_limit = limit - self.reserved(now);
        let step_limit = caller_limit.div_ceil(PACING_STEPS).max(1);
        let step_us = WINDOW_US / Micros::from(PACING_STEPS);
        let left = |limit: u32| limit.saturating_sub(self.unsent_caller_calls);
        any_at
            .max(
                self.caller_sent_times
                    .earliest_below(now, WINDOW_US, left(caller_limit)),
            )
            .max(
                self.caller_sent_times
                    .earliest_below(now, step_us, left(step_limit)),
            )
    }

    /// Returns the number of concurrent calls that the limit sustains by Little's law if
    /// each takes `service_us`, or `None` if the target is not cold.
    pub fn sustained_concurrency(&self, now: Micros, service_us: Micros) -> Option<u32> {
        let per_call = service_us as f64 / WINDOW_US as f64;
        let concurrency = f64::from(self.calls_per_s) * per_call;
        self.is_cold(now)
            .then_some((concurrency.ceil() as u32).max(1))
    }

    /// Returns the interval between evenly spaced calls while the target is cold; 0 if it
    /// is not.
    pub fn interval_us(&self, now: Micros) -> Micros {
        match self.is_cold(now) {
            true => WINDOW_US / Micros::from(self.calls_per_s),
            false => 0,
        }
    }

    /// Capacity reserved for nested calls: the number offered in the last window, up to a
    /// maximum.
    fn reserved(&self, now: Micros) -> u32 {
        let offers = self.nested_offers.count(now, WINDOW_US);
        let max_reserved = f64::from(self.calls_per_s) * MAX_RESERVED_FRACTION;
        offers.min(max_reserved as u32)
    }
}

/// Event times within the last [`WINDOW_US`], oldest first.
#[derive(Debug, Default)]
struct RecentTimes {
    times: VecDeque<Micros>,
}

impl RecentTimes {
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

    /// Returns the earliest time at which fewer than `limit` events lie within the window
    /// that ends then, as far as is known now. If `limit` is 0, returns the end of a whole
    /// window from now.
    fn earliest_below(&self, now: Micros, window_us: Micros, limit: u32) -> Micros {
        let Some(limit) = (limit as usize).checked_sub(1) else {
            return now + window_us;
        };
        let blocking = self.times.iter().rev().nth(limit);
        blocking.map_or(now, |at| (at + window_us).max(now))
    }
}
