//! Which decisions are written to the log: failures before successes, and no more lines
//! a second than allowed.

use crate::ids::Micros;

const SECOND_US: Micros = 1_000_000;

/// How much is written.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SampleRates {
    /// Lines a second at most.
    pub lines_per_s: u32,
    /// Of these, lines about successes.
    pub successes_per_s: u32,
    /// One of so many successes is written.
    pub success_every: u32,
}

/// Picks the decisions that are written.
#[derive(Clone, Debug)]
pub struct Sampler {
    rates: SampleRates,
    second: u64,
    lines: u32,
    successes: u32,
    seen: u64,
    dropped: u64,
}

impl Sampler {
    /// A sampler that has seen nothing.
    pub fn new(rates: SampleRates) -> Self {
        Sampler {
            rates,
            second: 0,
            lines: 0,
            successes: 0,
            seen: 0,
            dropped: 0,
        }
    }

    /// Whether a decision is written.
    pub fn take(&mut self, now: Micros, success: bool) -> bool {
        self.roll(now);
        if success && !self.takes_success() {
            return false;
        }
        if self.lines >= self.rates.lines_per_s {
            self.dropped += 1;
            return false;
        }
        self.lines += 1;
        self.successes += u32::from(success);
        true
    }

    /// Failures that were not written, since the sampler was made.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }

    fn takes_success(&mut self) -> bool {
        self.seen += 1;
        let every = u64::from(self.rates.success_every.max(1));
        let sampled = self.seen.is_multiple_of(every);
        let room = self.lines < self.rates.lines_per_s;
        sampled && room && self.successes < self.rates.successes_per_s
    }

    fn roll(&mut self, now: Micros) {
        let second = now / SECOND_US;
        if second != self.second {
            self.second = second;
            self.lines = 0;
            self.successes = 0;
        }
    }
}
