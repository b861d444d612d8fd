//! Parts that rate limiters share: tokens that refill with time, and retry times that are spaced.

use crate::ids::Micros;

/// Upper bound of a retry delay.
const MAX_RETRY_US: Micros = 5_000_000;

/// Rate and size of a bucket.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BucketSize {
    /// Tokens added per microsecond.
    pub rate_per_us: f64,
    /// Maximum number of tokens.
    pub capacity: f64,
}

/// Tokens and when they were counted.
#[derive(Clone, Debug, Default)]
pub(crate) struct TokenBucket {
    tokens: f64,
    refilled_at: Micros,
}

impl TokenBucket {
    /// Creates a bucket that holds some tokens.
    pub fn new(tokens: f64, now: Micros) -> Self {
        TokenBucket {
            tokens,
            refilled_at: now,
        }
    }

    /// When tokens were counted last.
    pub fn refilled_at(&self) -> Micros {
        self.refilled_at
    }

    /// Tokens in the bucket.
    pub fn tokens_at(&self, now: Micros, size: BucketSize) -> f64 {
        let elapsed = now.saturating_sub(self.refilled_at) as f64;
        (self.tokens + elapsed * size.rate_per_us).min(size.capacity)
    }

    /// Adds tokens to those refilled by now, or takes some if negative.
    pub fn add(&mut self, now: Micros, size: BucketSize, tokens: f64) {
        self.tokens = (self.tokens_at(now, size) + tokens).min(size.capacity);
        self.refilled_at = now;
    }
}

/// Retry times of several callers, so that each finds a token.
#[derive(Clone, Debug, Default)]
pub(crate) struct RetrySpacing {
    /// Latest retry time reported so far; the next one is later.
    last_at: Micros,
}

impl RetrySpacing {
    /// Creates the spacing of retries after `now`.
    pub fn new(now: Micros) -> Self {
        RetrySpacing { last_at: now }
    }

    /// The next delay: not before `earliest`, and an interval after the last retry.
    pub fn next_after(&mut self, now: Micros, earliest: Micros, interval: Micros) -> Micros {
        let at = self.last_at.saturating_add(interval).max(earliest);
        let after = at.saturating_sub(now).min(MAX_RETRY_US);
        self.last_at = now + after;
        after
    }
}
