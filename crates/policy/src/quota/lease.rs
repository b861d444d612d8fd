//! Tokens of an organisation leased by one daemon.

use super::bucket::{BucketLevel, QuotaGrant, SeenLevel};
use crate::ids::Micros;

/// Period of expected calls for which tokens are prefetched.
const PREFETCH_US: f64 = 250_000.0;
/// Time after which unused tokens expire and are returned to the bucket.
const LEASE_US: Micros = 1_000_000;
/// Time constant of the moving average of the call rate.
const RATE_WINDOW_US: f64 = 1_000_000.0;
/// Maximum time for which a refusal by the bucket is cached; calls within it are refused without
/// another request.
const REFUSAL_CACHE_US: Micros = 50_000;
/// Maximum number of tokens per request.
const MAX_REQUESTED_TOKENS: f64 = 100_000.0;

/// Request to the daemon that owns the bucket.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TokenRequest {
    /// Tokens requested.
    pub tokens: u32,
    /// Unused tokens returned.
    pub returned: u32,
    /// What the sender heard last of a bucket.
    pub seen: Option<SeenLevel>,
}

/// Outcome of taking a token for a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LeaseOutcome {
    /// The call has a token.
    Taken {
        /// Prefetch request to send, if any.
        request: Option<TokenRequest>,
    },
    /// The call waits for the response to a request.
    Wait {
        /// Request to send; absent if one is already pending.
        request: Option<TokenRequest>,
    },
    /// The organisation is over its quota.
    Limited {
        /// Delay before a retry.
        retry_after_us: Micros,
    },
}

/// Lease of tokens of one organisation at one daemon.
#[derive(Clone, Debug, Default)]
pub struct QuotaLease {
    tokens: u32,
    expires_at: Micros,
    /// Unused tokens to return with the next request.
    returned: u32,
    /// Whether a request is pending.
    is_request_pending: bool,
    /// Calls waiting for its response.
    waiting: u32,
    /// Moving average of calls per microsecond.
    rate: f64,
    last_call_at: Micros,
    limited_until: Micros,
    retry_after_us: Micros,
    /// Level that the last response told, and when.
    level: Option<(BucketLevel, Micros)>,
}

impl QuotaLease {
    /// Records the arrival of a call for the rate average; called once per call.
    pub fn record_call(&mut self, now: Micros) {
        let elapsed = now.saturating_sub(self.last_call_at) as f64;
        self.rate = self.rate * (-elapsed / RATE_WINDOW_US).exp() + 1.0 / RATE_WINDOW_US;
        self.last_call_at = now;
    }

    /// Takes a token for a call.
    pub fn take(&mut self, now: Micros) -> LeaseOutcome {
        if now >= self.expires_at {
            self.returned = self.returned.saturating_add(self.tokens);
            self.tokens = 0;
        }
        if self.tokens > 0 {
            self.tokens -= 1;
            return LeaseOutcome::Taken {
                request: self.prefetch(now),
            };
        }
        if now < self.limited_until {
            return LeaseOutcome::Limited {
                retry_after_us: self.retry_after_us,
            };
        }
        self.waiting += 1;
        let request =
            (!self.is_request_pending).then(|| self.request(now, 1 + self.expected_calls()));
        LeaseOutcome::Wait { request }
    }

    /// Applies the response of the bucket.
    pub fn apply_grant(&mut self, now: Micros, grant: QuotaGrant) {
        let QuotaGrant {
            tokens,
            retry_after_us,
            level,
        } = grant;
        self.is_request_pending = false;
        self.level = level.map(|level| (level, now)).or(self.level);
        self.tokens = self.tokens.saturating_add(tokens);
        self.expires_at = now + LEASE_US;
        if tokens < self.waiting {
            self.retry_after_us = retry_after_us;
            self.limited_until = now + retry_after_us.min(REFUSAL_CACHE_US);
        }
        self.waiting = 0;
    }

    /// Returns the token of a call that no target ran.
    pub fn return_token(&mut self, now: Micros) {
        if now < self.expires_at {
            self.tokens += 1;
        } else {
            self.returned = self.returned.saturating_add(1);
        }
    }

    /// Number of calls expected within the prefetch period.
    fn expected_calls(&self) -> u32 {
        (self.rate * PREFETCH_US).min(MAX_REQUESTED_TOKENS) as u32
    }

    fn prefetch(&mut self, now: Micros) -> Option<TokenRequest> {
        let expected = self.expected_calls();
        let is_due = self.tokens < expected / 2 && now >= self.limited_until;
        (is_due && !self.is_request_pending).then(|| self.request(now, expected - self.tokens))
    }

    fn request(&mut self, now: Micros, tokens: u32) -> TokenRequest {
        self.is_request_pending = true;
        let seen = self.level.map(|(level, at)| SeenLevel {
            level,
            age_us: now.saturating_sub(at),
        });
        TokenRequest {
            tokens,
            returned: std::mem::take(&mut self.returned),
            seen,
        }
    }
}
