//! Token bucket of one organisation, held by a single daemon for the whole fleet.
//!
//! A bucket is lost with its daemon, and another daemon starts a new one. Each grant tells its
//! receiver how many tokens were left, and each request tells the bucket what the sender heard last
//! of another one. A new bucket so takes up where the lost one was, and one that was out of reach
//! learns what the other granted meanwhile.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use super::lease::TokenRequest;
use super::reach::GrantRight;
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
/// Time for which grants are remembered, to tell what a report of another bucket does not include.
const GRANT_MEMORY_US: Micros = 2_000_000;
/// Times at which standing in began that are closer than this are the same beginning.
const STAND_IN_GAP_US: Micros = 100_000;
/// Parts of a token in which levels are told.
const PARTS_PER_TOKEN: f64 = 1_000.0;

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

/// Level of a bucket after a grant.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct BucketLevel {
    /// Random number of the bucket.
    #[serde(rename = "i")]
    pub bucket: u64,
    /// Thousandths of tokens left.
    #[serde(rename = "l")]
    pub token_parts: i64,
}

/// What a daemon heard last of the bucket that granted it tokens.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SeenLevel {
    /// The level.
    #[serde(rename = "v")]
    pub level: BucketLevel,
    /// Time since then.
    #[serde(rename = "a")]
    pub age_us: Micros,
}

/// Response of a bucket to a request for tokens.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct QuotaGrant {
    /// Tokens granted, one per call.
    pub tokens: u32,
    /// Delay until another token may be available, if fewer were granted than requested.
    pub retry_after_us: Micros,
    /// Level of the bucket after the grant; absent without a bucket.
    pub level: Option<BucketLevel>,
}

/// Token bucket of one organisation.
#[derive(Clone, Debug)]
pub struct QuotaBucket {
    id: u64,
    bucket: TokenBucket,
    retries: RetrySpacing,
    /// Whether nothing was granted yet, so that the initial fill is only a guess.
    is_new: bool,
    /// Recent grants, with their times.
    grants: VecDeque<(Micros, u32)>,
    /// Since when this bucket stands in for others; its older tokens are void.
    since: Option<Micros>,
}

impl QuotaBucket {
    /// Creates the bucket of a daemon that takes over with the given right, with a random number.
    pub fn new(id: u64, limit: QuotaLimit, right: GrantRight, now: Micros) -> Self {
        let share = right.share;
        let initial = (limit.rate_per_us() * INITIAL_FILL_US).max(MIN_INITIAL_TOKENS);
        QuotaBucket {
            id,
            bucket: TokenBucket::new(initial.min(limit.capacity()) * share, now),
            retries: RetrySpacing::new(now),
            is_new: true,
            grants: VecDeque::new(),
            since: None,
        }
    }

    /// Grants tokens and accepts returned unused ones.
    pub fn grant(
        &mut self,
        now: Micros,
        limit: QuotaLimit,
        right: GrantRight,
        request: TokenRequest,
    ) -> QuotaGrant {
        let wanted = request.tokens;
        let size = BucketSize {
            rate_per_us: limit.rate_per_us() * right.share,
            capacity: (limit.capacity() * right.share).max(1.0),
        };
        self.begin_standing_in(right.since, size);
        if let Some(seen) = request.seen {
            self.take_over(now, size, seen);
        }
        self.bucket.add(now, size, f64::from(request.returned));
        let available = self.bucket.tokens_at(now, size).max(0.0);
        let tokens = (available as u32).min(wanted);
        self.bucket.add(now, size, -f64::from(tokens));
        self.record_grant(now, tokens);
        let retry_after_us = match tokens < wanted {
            true => self.next_retry_after(now, size),
            false => 0,
        };
        let left = self.bucket.tokens_at(now, size);
        QuotaGrant {
            tokens,
            retry_after_us,
            level: Some(BucketLevel {
                bucket: self.id,
                token_parts: (left * PARTS_PER_TOKEN) as i64,
            }),
        }
    }

    /// A bucket that begins to stand in for silent ones is empty: they may have granted the burst
    /// before they noticed.
    fn begin_standing_in(&mut self, since: Option<Micros>, size: BucketSize) {
        let begins = match (since, self.since) {
            (Some(since), Some(before)) => since > before + STAND_IN_GAP_US,
            (Some(_), None) => true,
            (None, _) => false,
        };
        if let Some(since) = since.filter(|_| begins) {
            let counted_at = match self.is_new {
                true => since,
                false => since.max(self.bucket.refilled_at()),
            };
            let level = self.bucket.tokens_at(counted_at, size).min(0.0);
            self.bucket = TokenBucket::new(level, counted_at);
            self.is_new = false;
        }
        if begins || since.is_none() {
            self.since = since;
        }
    }

    /// Lowers the level to what another bucket had left, refilled since, less what this one granted
    /// meanwhile. A new bucket starts with that.
    fn take_over(&mut self, now: Micros, size: BucketSize, seen: SeenLevel) {
        let is_remembered = self.is_new || seen.age_us <= GRANT_MEMORY_US;
        if seen.level.bucket == self.id || !is_remembered {
            return;
        }
        let level = self.level_since(now, size, seen);
        let own = self.bucket.tokens_at(now, size);
        if self.is_new || level < own {
            self.bucket.add(now, size, level - own);
        }
    }

    /// The level that another bucket would have now if it had made the grants of this one since it
    /// was seen.
    fn level_since(&self, now: Micros, size: BucketSize, seen: SeenLevel) -> f64 {
        let seen_at = now.saturating_sub(seen.age_us);
        let left = seen.level.token_parts as f64 / PARTS_PER_TOKEN;
        let mut other = TokenBucket::new(left, seen_at);
        for (at, tokens) in self.grants.iter().filter(|(at, _)| *at >= seen_at) {
            other.add(*at, size, -f64::from(*tokens));
        }
        other.tokens_at(now, size)
    }

    fn record_grant(&mut self, now: Micros, tokens: u32) {
        self.is_new = false;
        let oldest = now.saturating_sub(GRANT_MEMORY_US);
        while self.grants.front().is_some_and(|(at, _)| *at < oldest) {
            self.grants.pop_front();
        }
        if tokens > 0 {
            self.grants.push_back((now, tokens));
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
