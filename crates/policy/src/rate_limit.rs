//! Keeps the calls to one target within the rate that it states.
//!
//! The rate counts for all daemons together. Every call to a target passes the target's own
//! daemon, so one token bucket there bounds the sum exactly, without agreement among daemons.
//! For calls not to be refused there, routers are told which share of their calls to offer:
//! the same share for all, estimated from the offers so far. The estimate can be wrong for a
//! while; the bucket cannot. Calls that would fare much worse elsewhere are offered in any
//! case, so they come first, and the share is what they leave.

use crate::decaying_count::DecayingCount;
use crate::ids::Micros;
use crate::target_notice::{OfferShare, RateLimit};
use crate::token_bucket::{BucketSize, RetrySpacing, TokenBucket};
use crate::urgency::{Urgency, UrgentOffers};

/// Lowest rate at which calls are delivered, per second. A target that states less still gets a
/// call now and then, because only its answers tell that the limit has ended.
const MIN_RATE_PER_S: f64 = 0.1;
/// Tokens that a bucket holds beyond [`BURST_S`]: arrivals are uneven, and a bucket of one
/// token would lose those that come while it is full.
const BURST_TOKENS: f64 = 3.0;
/// Time at the full rate that a bucket holds, in seconds.
const BURST_S: f64 = 0.5;
/// Calls that routers are asked to offer, as a multiple of the limit.
const OFFER_FACTOR: f64 = 1.1;
/// Part of them that is offered out of a share however many come in any case: the number of
/// those varies more.
const MIN_SAMPLED_PART: f64 = 0.5;
/// Further offers per second, because a multiple of a small limit is nearly none.
const EXTRA_OFFERS_PER_S: f64 = 0.5;
/// Offers over which the estimate of the demand averages.
const DEMAND_OFFERS: f64 = 16.0;
/// Bounds of the time over which it averages, in seconds.
const MIN_DEMAND_WINDOW_S: f64 = 1.0;
const MAX_DEMAND_WINDOW_S: f64 = 10.0;
/// Factor by which the share changes before all routers are told, and the least time between
/// two such messages. Routers that offer calls hear of it with each reply; the others would keep
/// a share that has long been too small.
const ANNOUNCED_FACTOR: f64 = 2.0;
const ANNOUNCE_PAUSE_US: Micros = 1_000_000;
/// Rounding error up to which a bucket counts as holding a token.
const TOKEN_TOLERANCE: f64 = 1e-6;
/// Microseconds in a second.
const SECOND_US: f64 = 1e6;

/// Token bucket of one target, and the estimate of the demand for it.
#[derive(Debug, Default)]
pub struct TargetRateLimiter {
    limit: Option<RateLimit>,
    bucket: TokenBucket,
    retries: RetrySpacing,
    demand: Demand,
    announced: Option<(Micros, OfferShare)>,
    urgent: UrgentOffers,
}

impl TargetRateLimiter {
    /// Sets the limit that the target states. A new bucket is empty, because the calls of the
    /// last moments, perhaps of an earlier run of the daemon, were not counted.
    pub fn set_limit(&mut self, now: Micros, limit: Option<RateLimit>) {
        let mut tokens = self.tokens_at(now);
        if self.limit.is_none() {
            tokens = 0.0;
            self.demand.assume_sampled(now);
            self.announced = None;
        }
        self.limit = limit;
        self.demand.set_window(now, self.demand_window_us());
        self.bucket = TokenBucket::new(tokens.min(self.size().capacity), now);
    }

    /// The limit in force.
    pub fn limit(&self) -> Option<RateLimit> {
        self.limit
    }

    /// Records the offer of a call out of a share of the router's calls; `None` if it is
    /// offered whatever the share.
    pub fn record_offer(&mut self, now: Micros, share: Option<OfferShare>, urgency: Urgency) {
        self.demand.record(now, share);
        if self.limit.is_some() {
            self.urgent.record(now, urgency);
        }
    }

    /// Whether a call may be delivered now.
    pub fn has_token(&self, now: Micros, urgency: Urgency) -> bool {
        let Some(rate) = self.rate() else { return true };
        self.tokens_at(now) + TOKEN_TOLERANCE >= self.threshold(now, rate, urgency)
    }

    /// Takes the token of a call that is delivered.
    pub fn take(&mut self, now: Micros) {
        if self.limit.is_some() {
            let size = self.size();
            self.bucket.add(now, size, -1.0);
        }
    }

    /// The earliest time, not before now, at which a call may be delivered if no other is
    /// delivered before it.
    pub fn next_token_at(&self, now: Micros, urgency: Urgency) -> Micros {
        let Some(rate) = self.rate() else { return now };
        let missing = self.threshold(now, rate, urgency) - self.tokens_at(now);
        if missing <= TOKEN_TOLERANCE {
            return now;
        }
        now + (missing / rate * SECOND_US).ceil() as Micros
    }

    /// Time between two deliveries; 0 without a limit.
    pub fn interval_us(&self) -> Micros {
        self.rate().map_or(0, |rate| (SECOND_US / rate) as Micros)
    }

    /// Retry hint for a refused call that has no other target. The hints of several callers are
    /// spaced at the rate, so that each finds a token.
    pub fn next_retry_after(&mut self, now: Micros, urgency: Urgency) -> Micros {
        let earliest = self.next_token_at(now, urgency);
        self.retries.next_after(now, earliest, self.interval_us())
    }

    /// The share of their calls that routers should offer.
    pub fn offer_share(&self, now: Micros) -> OfferShare {
        let Some(rate) = self.rate() else {
            return OfferShare::ALL;
        };
        // The number of offers in a second varies by about its square root; fewer than the limit
        // would leave tokens unused.
        let wanted = rate * OFFER_FACTOR + rate.sqrt() + EXTRA_OFFERS_PER_S;
        let in_any_case = self.demand.per_s(now, &self.demand.in_any_case);
        let left = (wanted - in_any_case).max(wanted * MIN_SAMPLED_PART);
        OfferShare::from_fraction(left / self.demand.per_s(now, &self.demand.sampled))
    }

    /// The share, if all routers should be told of it now.
    pub fn share_to_announce(&mut self, now: Micros) -> Option<OfferShare> {
        self.limit?;
        let share = self.offer_share(now);
        let is_due = self.announced.is_none_or(|(at, told)| {
            let factor = share.fraction() / told.fraction();
            let has_changed = !(1.0 / ANNOUNCED_FACTOR..ANNOUNCED_FACTOR).contains(&factor);
            now >= at + ANNOUNCE_PAUSE_US && has_changed
        });
        if !is_due {
            return None;
        }
        self.announced = Some((now, share));
        Some(share)
    }

    fn rate(&self) -> Option<f64> {
        self.limit.map(|limit| limit.per_s().max(MIN_RATE_PER_S))
    }

    fn size(&self) -> BucketSize {
        let rate = self.rate().unwrap_or(0.0);
        BucketSize {
            rate_per_us: rate / SECOND_US,
            capacity: BURST_TOKENS + rate * BURST_S,
        }
    }

    /// Tokens that must be in the bucket for a call: one, and more for a less urgent call the
    /// more of the rate is wanted by more urgent ones.
    fn threshold(&self, now: Micros, rate: f64, urgency: Urgency) -> f64 {
        let reserved = (self.urgent.per_s_above(now, urgency) / rate).min(1.0);
        1.0 + (self.size().capacity - 1.0) * reserved
    }

    fn tokens_at(&self, now: Micros) -> f64 {
        self.bucket.tokens_at(now, self.size())
    }

    fn demand_window_us(&self) -> f64 {
        let rate = self.rate().unwrap_or(DEMAND_OFFERS);
        let window_s = DEMAND_OFFERS / (rate + EXTRA_OFFERS_PER_S);
        window_s.clamp(MIN_DEMAND_WINDOW_S, MAX_DEMAND_WINDOW_S) * SECOND_US
    }
}

/// Calls that routers would offer.
#[derive(Debug)]
struct Demand {
    /// Time over which the rates average, in microseconds.
    window_us: f64,
    /// Calls that are offered out of a share, if it were all.
    sampled: DecayingCount,
    /// Calls that are offered whatever the share.
    in_any_case: DecayingCount,
}

impl Default for Demand {
    fn default() -> Self {
        Demand {
            window_us: MIN_DEMAND_WINDOW_S * SECOND_US,
            sampled: DecayingCount::default(),
            in_any_case: DecayingCount::default(),
        }
    }
}

impl Demand {
    /// An offer out of a share of the calls stands for those that were not offered.
    fn record(&mut self, now: Micros, share: Option<OfferShare>) {
        match share {
            Some(share) => self
                .sampled
                .add(now, self.window_us, 1.0 / share.fraction()),
            None => self.in_any_case.add(now, self.window_us, 1.0),
        }
    }

    /// Changes the window and keeps the rates.
    fn set_window(&mut self, now: Micros, window_us: f64) {
        let before_us = std::mem::replace(&mut self.window_us, window_us);
        for calls in [&mut self.sampled, &mut self.in_any_case] {
            let count = std::mem::take(calls).value(now, before_us);
            calls.add(now, window_us, count * window_us / before_us);
        }
    }

    /// Without a limit, routers offered all calls, and will offer a share of them.
    fn assume_sampled(&mut self, now: Micros) {
        let offered = std::mem::take(&mut self.in_any_case).value(now, self.window_us);
        self.sampled.add(now, self.window_us, offered);
    }

    fn per_s(&self, now: Micros, calls: &DecayingCount) -> f64 {
        calls.value(now, self.window_us) * SECOND_US / self.window_us
    }
}
