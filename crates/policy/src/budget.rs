//! The measurement budget: a sliding-window rate limit for probes, reports, polls and
//! heartbeats. Each must be granted by the budget before it is sent.
//!
//! The limits must not be exceeded in any second, so the budget keeps a log of the grants of
//! the last second. A token bucket of rate r with a burst would allow up to twice r in some
//! second. The log holds one entry per grant and is bounded by the limit on messages.

use std::collections::VecDeque;
use std::ops::{Add, Sub};

use crate::ids::Micros;

const WINDOW_US: Micros = 1_000_000;

/// Cost of one measurement operation.
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
    /// Cost of one message of `bytes` and `cpu_us` of processor time.
    pub fn message(bytes: usize, cpu_us: u64) -> Cost {
        Cost {
            messages: 1,
            bytes: bytes as u64,
            cpu_us,
        }
    }

    /// Whether this cost exceeds none of the limits.
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

/// Maximum cost granted within any one second.
pub type Limits = Cost;

/// Limits the cost of measurement over every window of one second.
#[derive(Clone, Debug)]
pub struct Budget {
    limits: Limits,
    grants: VecDeque<(Micros, Cost)>,
    in_window: Cost,
    spent: Cost,
    refused: u64,
}

impl Budget {
    /// Creates a budget from which nothing was spent.
    pub fn new(limits: Limits) -> Self {
        Budget {
            limits,
            grants: VecDeque::new(),
            in_window: Cost::default(),
            spent: Cost::default(),
            refused: 0,
        }
    }

    /// Changes the limits. Costs granted in the last second still count.
    pub fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
    }

    /// Grants or refuses `cost` as a whole. A time before the last grant counts as the time of
    /// that grant.
    pub fn try_spend(&mut self, now: Micros, cost: Cost) -> bool {
        self.try_spend_reserving(now, cost, Cost::default())
    }

    /// Grants `cost` only if `reserved` could still be granted after it.
    pub fn try_spend_reserving(&mut self, now: Micros, cost: Cost, reserved: Cost) -> bool {
        let now = self.grants.back().map_or(now, |(last, _)| now.max(*last));
        self.expire(now);
        let next = self.in_window + cost;
        if !(next + reserved).is_within(self.limits) {
            self.refused += 1;
            return false;
        }
        self.in_window = next;
        self.spent = self.spent + cost;
        self.grants.push_back((now, cost));
        true
    }

    /// Total cost granted since the budget was created.
    pub fn spent(&self) -> Cost {
        self.spent
    }

    /// Number of requests refused since the budget was created.
    pub fn refused(&self) -> u64 {
        self.refused
    }

    /// The limits in force.
    pub fn limits(&self) -> Limits {
        self.limits
    }

    /// Removes grants that have left the window.
    fn expire(&mut self, now: Micros) {
        while let Some((at, cost)) = self.grants.front().copied() {
            if now - at < WINDOW_US {
                return;
            }
            self.in_window = self.in_window - cost;
            self.grants.pop_front();
        }
    }
}
