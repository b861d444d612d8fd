//! The budget of measuring. It is asked before every probe, report, poll and
//! heartbeat, and what it refuses is not sent.
//!
//! The promise is "never exceeds", so the budget keeps the grants of the last
//! second and not a token bucket: a bucket of rate r with a burst lets up to
//! twice r through in some second. The price is one entry a grant, bounded by
//! the limit of messages.

use std::collections::VecDeque;
use std::ops::{Add, Sub};

use crate::ids::Micros;

const WINDOW_US: Micros = 1_000_000;

/// What one piece of measuring costs.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Cost {
    /// Messages sent or received.
    pub messages: u64,
    /// Bytes sent and received.
    pub bytes: u64,
    /// Processor time in microseconds.
    pub cpu_us: u64,
}

impl Cost {
    /// One message of `bytes`, with the processor time it is charged for.
    pub fn message(bytes: usize, cpu_us: u64) -> Cost {
        Cost {
            messages: 1,
            bytes: bytes as u64,
            cpu_us,
        }
    }

    /// Whether it exceeds none of the limits.
    pub fn is_within(self, limits: Limits) -> bool {
        self.messages <= limits.messages
            && self.bytes <= limits.bytes
            && self.cpu_us <= limits.cpu_us
    }
}

impl Add for Cost {
    type Output = Cost;

    fn add(self, other: Cost) -> Cost {
        Cost {
            messages: self.messages + other.messages,
            bytes: self.bytes + other.bytes,
            cpu_us: self.cpu_us + other.cpu_us,
        }
    }
}

impl Sub for Cost {
    type Output = Cost;

    fn sub(self, other: Cost) -> Cost {
        Cost {
            messages: self.messages - other.messages,
            bytes: self.bytes - other.bytes,
            cpu_us: self.cpu_us - other.cpu_us,
        }
    }
}

/// What may be spent in any one second.
pub type Limits = Cost;

/// A budget of measuring work over any window of one second.
#[derive(Clone, Debug)]
pub struct Budget {
    limits: Limits,
    grants: VecDeque<(Micros, Cost)>,
    in_window: Cost,
    spent: Cost,
    refused: u64,
}

impl Budget {
    /// A budget with nothing spent.
    pub fn new(limits: Limits) -> Self {
        Budget {
            limits,
            grants: VecDeque::new(),
            in_window: Cost::default(),
            spent: Cost::default(),
            refused: 0,
        }
    }

    /// Changes the limits. What was granted in the last second still counts.
    pub fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
    }

    /// Grants `cost` whole, or refuses it whole. A time before the last grant
    /// counts as the time of that grant.
    pub fn ask(&mut self, now: Micros, cost: Cost) -> bool {
        self.ask_leaving(now, cost, Cost::default())
    }

    /// Grants `cost` only if `room` could still be granted after it.
    pub fn ask_leaving(&mut self, now: Micros, cost: Cost, room: Cost) -> bool {
        let now = self.grants.back().map_or(now, |(last, _)| now.max(*last));
        self.forget(now);
        let next = self.in_window + cost;
        if !(next + room).is_within(self.limits) {
            self.refused += 1;
            return false;
        }
        self.in_window = next;
        self.spent = self.spent + cost;
        self.grants.push_back((now, cost));
        true
    }

    /// All that was granted since the budget was made.
    pub fn spent(&self) -> Cost {
        self.spent
    }

    /// Asks refused since the budget was made.
    pub fn refused(&self) -> u64 {
        self.refused
    }

    /// The limits in force.
    pub fn limits(&self) -> Limits {
        self.limits
    }

    fn forget(&mut self, now: Micros) {
        while let Some((at, cost)) = self.grants.front().copied() {
            if now - at < WINDOW_US {
                return;
            }
            self.in_window = self.in_window - cost;
            self.grants.pop_front();
        }
    }
}
