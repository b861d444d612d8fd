//! The retry budget: further attempts are a share of first attempts, so that
//! retries cannot multiply load however many targets refuse.
//!
//! A small reserve lets a quiet service retry at all. The reserve is what the
//! share may be exceeded by, once.

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
