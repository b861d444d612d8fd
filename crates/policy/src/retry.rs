//! The retry budget: further attempts are a share of first attempts, so that
//! retries cannot multiply load however many targets refuse.
//!
//! A small reserve lets a quiet service retry at all. The reserve is what the
//! share may be exceeded by, once.

use std::collections::VecDeque;

use crate::ids::Micros;

const TOKEN: u64 = 100;
const RESERVE_TOKENS: u64 = 10;

/// A budget of further attempts.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    percent: u64,
    /// Hundredths of one attempt.
    balance: u64,
}

impl RetryBudget {
    /// A budget of `percent` further attempts for every hundred first attempts.
    pub fn new(percent: u32) -> Self {
        let mut budget = RetryBudget {
            percent: 0,
            balance: 0,
        };
        budget.set_percent(percent);
        budget.balance = budget.cap();
        budget
    }

    /// Changes the share; the balance stays within the new reserve.
    pub fn set_percent(&mut self, percent: u32) {
        self.percent = u64::from(percent);
        self.balance = self.balance.min(self.cap());
    }

    /// Counts a first attempt.
    pub fn first_attempt(&mut self) {
        self.balance = (self.balance + self.percent).min(self.cap());
    }

    /// Takes one further attempt from the budget, if there is one.
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

/// A bound on further attempts within any window of time, which many routers keep
/// together without asking each other: each keeps to the share for its own calls and to
/// its part of the reserve, so that the sum keeps to the bound.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RetryBound {
    /// Length of the window.
    pub window_us: Micros,
    /// Further attempts beyond the share that this router may send in a window.
    pub reserve: u32,
}

/// Parts into which a window is cut: its edge moves by one of them at a time.
const SLICES: u64 = 20;

#[derive(Clone, Copy, Debug, Default)]
struct Slice {
    number: u64,
    first: u64,
    further: u64,
}

/// What was sent in the last window.
#[derive(Clone, Debug)]
pub struct RetryWindow {
    bound: RetryBound,
    percent: u32,
    slices: VecDeque<Slice>,
}

impl RetryWindow {
    /// A window in which nothing was sent.
    pub fn new(bound: RetryBound, percent: u32) -> Self {
        RetryWindow {
            bound,
            percent,
            slices: VecDeque::new(),
        }
    }

    /// Changes the bound; what was sent still counts.
    pub fn set(&mut self, bound: RetryBound, percent: u32) {
        self.bound = bound;
        self.percent = percent;
    }

    /// Counts a first attempt.
    pub fn first_attempt(&mut self, now: Micros) {
        self.slice(now).first += 1;
    }

    /// Takes one further attempt, if the bound allows it. Calls of the running slice do
    /// not add to the share yet, and further attempts count for one slice longer than
    /// the window, so that the bound holds wherever a window begins.
    pub fn take(&mut self, now: Micros) -> bool {
        let running = self.slice(now).number;
        let first: u64 = self.ended(running).map(|slice| slice.first).sum();
        let further: u64 = self.slices.iter().map(|slice| slice.further).sum();
        let share = first * u64::from(self.percent) / 100;
        if further >= share + u64::from(self.bound.reserve) {
            return false;
        }
        self.slice(now).further += 1;
        true
    }

    fn ended(&self, running: u64) -> impl Iterator<Item = &Slice> {
        let in_window =
            move |slice: &&Slice| slice.number < running && slice.number + SLICES > running;
        self.slices.iter().filter(in_window)
    }

    /// The running slice. Those that are older than the window and one slice are
    /// forgotten.
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
            .expect("one was pushed where there was none")
    }
}

/// How many further attempts a router may send.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FurtherParams {
    /// As a share of first ones.
    pub percent: u32,
    /// Bound in any window, where there is one; else a bucket of tokens.
    pub bound: Option<RetryBound>,
}

/// A router's allowance of further attempts, of either kind.
#[derive(Clone, Debug)]
pub enum FurtherAttempts {
    /// A bucket of tokens.
    Tokens(RetryBudget),
    /// A window.
    Window(RetryWindow),
}

impl FurtherAttempts {
    /// An allowance of which nothing was taken.
    pub fn new(params: FurtherParams) -> Self {
        match params.bound {
            Some(bound) => FurtherAttempts::Window(RetryWindow::new(bound, params.percent)),
            None => FurtherAttempts::Tokens(RetryBudget::new(params.percent)),
        }
    }

    /// Changes the allowance; what was taken still counts where the kind stays.
    pub fn set(&mut self, params: FurtherParams) {
        match (&mut *self, params.bound) {
            (FurtherAttempts::Tokens(budget), None) => budget.set_percent(params.percent),
            (FurtherAttempts::Window(window), Some(bound)) => window.set(bound, params.percent),
            _ => *self = FurtherAttempts::new(params),
        }
    }

    /// Counts a first attempt.
    pub fn first_attempt(&mut self, now: Micros) {
        match self {
            FurtherAttempts::Tokens(budget) => budget.first_attempt(),
            FurtherAttempts::Window(window) => window.first_attempt(now),
        }
    }

    /// Takes one further attempt, if there is one.
    pub fn take(&mut self, now: Micros) -> bool {
        match self {
            FurtherAttempts::Tokens(budget) => budget.take(),
            FurtherAttempts::Window(window) => window.take(now),
        }
    }
}
