//! Token bucket of one organisation, held by a single daemon for the whole fleet.

use crate::ids::Micros;
use crate::token_bucket::{BucketSize, RetrySpacing, TokenBucket};

/// Rate limit of an organisation.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct QuotaLimit {
    /// Calls per 1,000 seconds.
    pub rate_per_1000_s: u64,
    /// Calls allowed at once in excess of the rate.
    pub burst: u64,
}

/// The 1,000-second period of a rate, in microseconds.
const RATE_PERIOD_US: f64 = 1e9;
/// Initial fill of a bucket, as time at the full rate. Kept short because the previous owner may
/// have leased out its whole burst just before.
const INITIAL_FILL_US: f64 = 500_000.0;
/// Minimum initial number of tokens, capped by the burst.
const MIN_INITIAL_TOKENS: f64 = 5.0;

impl QuotaLimit {
    /// Tokens added per microsecond.
    fn rate_per_us(&self) -> f64 {
        self.rate_per_1000_s as f64 / RATE_PERIOD_US
    }

    /// Maximum number of tokens in a bucket; at least one, so that a zero burst still admits calls.
    fn capacity(&self) -> f64 {
        (self.burst as f64).max(1.0)
    }
}

/// Response of a bucket to a request for tokens.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct QuotaGrant {
    /// Tokens granted, one per call.
    pub tokens: u32,
    /// Delay until another token may be available, if fewer were granted than requested.
    pub retry_after_us: Micros,
}

/// Token bucket of one organisation.
#[derive(Clone, Debug)]
pub struct QuotaBucket {
    bucket: TokenBucket,
    retries: RetrySpacing,
}

impl QuotaBucket {
    /// Creates the bucket of a daemon that takes over the given share of the limit.
    pub fn new(limit: QuotaLimit, share: f64, now: Micros) -> Self {
        let initial = (limit.rate_per_us() * INITIAL_FILL_US).max(MIN_INITIAL_TOKENS);
        QuotaBucket {
            bucket: TokenBucket::new(initial.min(limit.capacity()) * share, now),
            retries: RetrySpacing::new(now),
        }
    }

    /// Grants tokens and accepts returned unused ones; `share` is the fraction of the limit that
    /// this daemon may grant.
    pub fn grant(
        &mut self,
        now: Micros,
        limit: QuotaLimit,
        share: f64,
        wanted: u32,
        returned: u32,
    ) -> QuotaGrant {
        let size = BucketSize {
            rate_per_us: limit.rate_per_us() * share,
            capacity: limit.capacity(),
        };
        self.bucket.add(now, size, f64::from(returned));
        let available = self.bucket.tokens_at(now, size).max(0.0);
        let tokens = (available as u32).min(wanted);
        self.bucket.add(now, size, -f64::from(tokens));
        let retry_after_us = match tokens < wanted {
            true => self.next_retry_after(now, size),
            false => 0,
        };
        QuotaGrant {
            tokens,
            retry_after_us,
        }
    }

    /// Spaces the retries of refused callers at the token rate.
    fn next_retry_after(&mut self, now: Micros, size: BucketSize) -> Micros {
        let missing = (1.0 - self.bucket.tokens_at(now, size)).max(0.0);
        let first_token_us = (missing / size.rate_per_us) as Micros;
        let interval_us = (1.0 / size.rate_per_us) as Micros;
        let earliest = now.saturating_add(first_token_us);
        self.retries.next_after(now, earliest, interval_us)
    }
}
