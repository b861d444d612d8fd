//! Limits retries to a percentage of first attempts, so that they cannot multiply load however
//! many targets refuse.
//!
//! A small reserve lets a service with little traffic retry at all. The percentage may be
//! exceeded by the reserve once.

use std::collections::VecDeque;

use crate::ids::Micros;

/// Cost of one retry, in units of the balance.
const TOKEN: u64 = 100;
/// Retries that may be saved up.
const RESERVE_TOKENS: u64 = 10;

/// A token bucket of retries that is refilled by first attempts.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    percent: u64,
    /// Available retries, in hundredths of one.
    balance: u64,
}

impl RetryBudget {
    /// Creates a budget of `percent` retries for every hundred first attempts, with the whole
    /// reserve.
    pub fn new(percent: u32) -> Self {
        let mut budget = RetryBudget {
            percent: 0,
            balance: 0,
        };
        budget.set_percent(percent);
        budget.balance = budget.cap();
        budget
    }

    /// Changes the percentage. The balance is capped at the new reserve.
    pub fn set_percent(&mut self, percent: u32) {
        self.percent = u64::from(percent);
        self.balance = self.balance.min(self.cap());
    }

    /// Counts a first attempt.
    pub fn first_attempt(&mut self) {
        self.balance = (self.balance + self.percent).min(self.cap());
    }

    /// Takes one retry from the budget if one is available.
    pub fn take(&mut self) -> bool {
        if self.balance < TOKEN {
            return false;
        }
        self.balance -= TOKEN;
        true
    }

    fn cap(&self) -> u64 {
        if self.percent == 0 {
            0
        } else {
            RESERVE_TOKENS * TOKEN
        }
    }
}

/// A bound on retries within every window of time that many routers respect together without
/// coordination: each respects the percentage for its own calls and its part of the reserve,
/// so that their sum respects the bound.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RetryBound {
    /// Length of the window.
    pub window_us: Micros,
    /// Retries beyond the percentage that this router may send in a window.
    pub reserve: u32,
}

/// Number of slices in a window. The window advances by one slice at a time.
const SLICES: u64 = 20;

#[derive(Clone, Copy, Debug, Default)]
struct Slice {
    number: u64,
    first_attempts: u64,
    retries: u64,
}

/// Limits retries by the first attempts and retries counted in the last window.
#[derive(Clone, Debug)]
pub struct RetryWindow {
    bound: RetryBound,
    percent: u32,
    slices: VecDeque<Slice>,
}

impl RetryWindow {
    /// Creates a window without any attempts.
    pub fn new(bound: RetryBound, percent: u32) -> Self {
        RetryWindow {
            bound,
            percent,
            slices: VecDeque::new(),
        }
    }

    /// Changes the bound. Attempts already counted still count.
    pub fn set(&mut self, bound: RetryBound, percent: u32) {
        self.bound = bound;
        self.percent = percent;
    }

    /// Counts a first attempt.
    pub fn first_attempt(&mut self, now: Micros) {
        self.slice(now).first_attempts += 1;
    }

    /// Takes one retry if the bound allows it. First attempts of the current slice do not count
    /// towards the percentage yet, and retries count for one slice longer than the window, so
    /// that the bound holds wherever a window begins.
    pub fn take(&mut self, now: Micros) -> bool {
        let current = self.slice(now).number;
        let first_attempts: u64 = self
            .completed_slices(current)
            .map(|slice| slice.first_attempts)
            .sum();
        let retries: u64 = self.slices.iter().map(|slice| slice.retries).sum();
        let share = first_attempts * u64::from(self.percent) / 100;
        if retries >= share + u64::from(self.bound.reserve) {
            return false;
        }
        self.slice(now).retries += 1;
        true
    }

    /// The slices of the window before the current one.
    fn completed_slices(&self, current: u64) -> impl Iterator<Item = &Slice> {
        let in_window =
            move |slice: &&Slice| slice.number < current && slice.number + SLICES > current;
        self.slices.iter().filter(in_window)
    }

    /// Returns the current slice, and drops those older than the window by more than one slice.
    fn slice(&mut self, now: Micros) -> &mut Slice {
        let number = now * SLICES / self.bound.window_us.max(1);
        while self
            .slices
            .front()
            .is_some_and(|slice| slice.number + SLICES + 1 < number)
        {
            self.slices.pop_front();
        }
        if self.slices.back().is_none_or(|slice| slice.number < number) {
            self.slices.push_back(Slice {
                number,
                ..Slice::default()
            });
        }
        self.slices
            .back_mut()
            .expect("the current slice was pushed if it was missing")
    }
}

/// Limits on the retries of a router.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RetryParams {
    /// Retries in percent of first attempts.
    pub percent: u32,
    /// Bound within every window; if `None`, a token bucket is used.
    pub bound: Option<RetryBound>,
}

/// Limiter for the retries of a router, of either kind.
#[derive(Clone, Debug)]
pub enum RetryAllowance {
    /// Token bucket.
    Tokens(RetryBudget),
    /// Sliding window.
    Window(RetryWindow),
}

impl RetryAllowance {
    /// Creates an allowance of which nothing was taken.
    pub fn new(params: RetryParams) -> Self {
        match params.bound {
            Some(bound) => RetryAllowance::Window(RetryWindow::new(bound, params.percent)),
            None => RetryAllowance::Tokens(RetryBudget::new(params.percent)),
        }
    }

    /// Changes the limits. Retries already taken still count if the kind of limiter stays the
    /// same.
    pub fn set(&mut self, params: RetryParams) {
        match (&mut *self, params.bound) {
            (RetryAllowance::Tokens(budget), None) => budget.set_percent(params.percent),
            (RetryAllowance::Window(window), Some(bound)) => window.set(bound, params.percent),
            _ => *self = RetryAllowance::new(params),
        }
    }

    /// Counts a first attempt.
    pub fn first_attempt(&mut self, now: Micros) {
        match self {
            RetryAllowance::Tokens(budget) => budget.first_attempt(),
            RetryAllowance::Window(window) => window.first_attempt(now),
        }
    }

    /// Takes one retry if the limit allows it.
    pub fn take(&mut self, now: Micros) -> bool {
        match self {
            RetryAllowance::Tokens(budget) => budget.take(),
            RetryAllowance::Window(window) => window.take(now),
        }
    }
}
