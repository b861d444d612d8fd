//! Rate-limited sampling of events, such as decisions for the log. Failures take precedence
//! over successes, and the total per second is bounded.

use crate::ids::Micros;

const SECOND_US: Micros = 1_000_000;

/// Limits of a sampler.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SampleRates {
    /// Maximum number of events per second.
    pub lines_per_s: u32,
    /// Maximum number of successes per second, counted towards `lines_per_s`.
    pub successes_per_s: u32,
    /// One in this many successes is sampled.
    pub success_every: u32,
}

/// Selects the events to be written.
#[derive(Clone, Debug)]
pub struct Sampler {
    rates: SampleRates,
    second: u64,
    lines: u32,
    successes: u32,
    successes_seen: u64,
    dropped_failures: u64,
}

impl Sampler {
    /// Creates a sampler with the given limits.
    pub fn new(rates: SampleRates) -> Self {
        Sampler {
            rates,
            second: 0,
            lines: 0,
            successes: 0,
            successes_seen: 0,
            dropped_failures: 0,
        }
    }

    /// Whether to write an event that occurs now.
    pub fn sample(&mut self, now: Micros, success: bool) -> bool {
        self.start_second(now);
        if success && !self.sample_success() {
            return false;
        }
        if self.lines >= self.rates.lines_per_s {
            self.dropped_failures += 1;
            return false;
        }
        self.lines += 1;
        self.successes += u32::from(success);
        true
    }

    /// Number of failures dropped over the rate limit since the sampler was created.
    pub fn dropped_failures(&self) -> u64 {
        self.dropped_failures
    }

    fn sample_success(&mut self) -> bool {
        self.successes_seen += 1;
        let every = u64::from(self.rates.success_every.max(1));
        let sampled = self.successes_seen.is_multiple_of(every);
        let within_limit = self.lines < self.rates.lines_per_s;
        sampled && within_limit && self.successes < self.rates.successes_per_s
    }

    /// Resets the counts when a new second begins.
    fn start_second(&mut self, now: Micros) {
        let second = now / SECOND_US;
        if second != self.second {
            self.second = second;
            self.lines = 0;
            self.successes = 0;
        }
    }
}
