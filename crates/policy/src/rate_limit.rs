//! Keeps the calls to one target within the rate that it states.
//!
//! The rate counts for all daemons together. Every call to a target passes the target's own
//! daemon, so one token bucket there bounds the sum exactly, without agreement among daemons.
//! For calls not to be refused there, routers are told which share of their calls to offer:
//! the same share for all, estimated from the offers so far. The estimate can be wrong for a
//! while; the bucket cannot. Calls that would fare much worse elsewhere are offered in any
//! case, so they come first, and the share is what they leave.

use crate::ids::Micros;
use crate::target_notice::{OfferShare, RateLimit};
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
/// Upper bound of the retry hint.
const MAX_RETRY_AFTER_US: Micros = 5_000_000;
/// Rounding error up to which a bucket counts as holding a token.
const TOKEN_TOLERANCE: f64 = 1e-6;
/// Microseconds in a second.
const SECOND_US: f64 = 1e6;

/// Token bucket of one target, and the estimate of the demand for it.
#[derive(Debug, Default)]
pub struct TargetRateLimiter {
    limit: Option<RateLimit>,
    tokens: f64,
    refilled_at: Micros,
    /// Latest retry time reported so far; the next one is later.
    last_retry_at: Micros,
    demand: Demand,
    announced: Option<(Micros, OfferShare)>,
    urgent: UrgentOffers,
}

impl TargetRateLimiter {
    /// Sets the limit that the target states. A new bucket is empty, because the calls of the
    /// last moments, perhaps of an earlier run of the daemon, were not counted.
    pub fn set_limit(&mut self, now: Micros, limit: Option<RateLimit>) {
        self.refill(now);
        if self.limit.is_none() {
            self.tokens = 0.0;
            self.demand.assume_sampled();
            self.announced = None;
        }
        self.limit = limit;
        self.tokens = self.tokens.min(self.capacity());
    }

    /// The limit in force.
    pub fn limit(&self) -> Option<RateLimit> {
        self.limit
    }

    /// Records the offer of a call out of a share of the router's calls; `None` if it is
    /// offered whatever the share.
    pub fn record_offer(&mut self, now: Micros, share: Option<OfferShare>, urgency: Urgency) {
        let window_s = self.demand_window_s();
        self.demand.record(now, window_s, share);
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
        self.refill(now);
        if self.limit.is_some() {
            self.tokens -= 1.0;
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
        let spaced_at = self.last_retry_at + self.interval_us();
        let at = self.next_token_at(now, urgency).max(spaced_at);
        let after_us = at.saturating_sub(now).min(MAX_RETRY_AFTER_US);
        self.last_retry_at = now + after_us;
        after_us
    }

    /// The share of their calls that routers should offer.
    pub fn offer_share(&self, now: Micros) -> OfferShare {
        let Some(rate) = self.rate() else {
            return OfferShare::ALL;
        };
        // The number of offers in a second varies by about its square root; fewer than the limit
        // would leave tokens unused.
        let wanted = rate * OFFER_FACTOR + rate.sqrt() + EXTRA_OFFERS_PER_S;
        let demand = self.demand.per_s(now, self.demand_window_s());
        let left = (wanted - demand.in_any_case).max(wanted * MIN_SAMPLED_PART);
        OfferShare::from_fraction(left / demand.sampled)
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

    fn capacity(&self) -> f64 {
        let rate = self.rate().unwrap_or(0.0);
        BURST_TOKENS + rate * BURST_S
    }

    /// Tokens that must be in the bucket for a call: one, and more for a less urgent call the
    /// more of the rate is wanted by more urgent ones.
    fn threshold(&self, now: Micros, rate: f64, urgency: Urgency) -> f64 {
        let reserved = (self.urgent.per_s_above(now, urgency) / rate).min(1.0);
        1.0 + (self.capacity() - 1.0) * reserved
    }

    fn tokens_at(&self, now: Micros) -> f64 {
        let elapsed_us = now.saturating_sub(self.refilled_at) as f64;
        let refilled = self.tokens + self.rate().unwrap_or(0.0) * elapsed_us / SECOND_US;
        refilled.min(self.capacity())
    }

    fn refill(&mut self, now: Micros) {
        self.tokens = self.tokens_at(now);
        self.refilled_at = now;
    }

    fn demand_window_s(&self) -> f64 {
        let rate = self.rate().unwrap_or(DEMAND_OFFERS);
        let window_s = DEMAND_OFFERS / (rate + EXTRA_OFFERS_PER_S);
        window_s.clamp(MIN_DEMAND_WINDOW_S, MAX_DEMAND_WINDOW_S)
    }
}

/// Calls per second that routers would offer, as averages with exponentially decaying weights.
#[derive(Clone, Copy, Debug, Default)]
struct Demand {
    /// Those that are offered out of a share, if it were all.
    sampled: f64,
    /// Those that are offered whatever the share.
    in_any_case: f64,
    recorded_at: Micros,
}

impl Demand {
    /// An offer out of a share of the calls stands for those that were not offered.
    fn record(&mut self, now: Micros, window_s: f64, share: Option<OfferShare>) {
        *self = self.per_s(now, window_s);
        match share {
            Some(share) => self.sampled += 1.0 / (share.fraction() * window_s),
            None => self.in_any_case += 1.0 / window_s,
        }
    }

    /// Without a limit, routers offered all calls, and will offer a share of them.
    fn assume_sampled(&mut self) {
        self.sampled += std::mem::take(&mut self.in_any_case);
    }

    fn per_s(&self, now: Micros, window_s: f64) -> Demand {
        let age_s = now.saturating_sub(self.recorded_at) as f64 / SECOND_US;
        let decay = (-age_s / window_s).exp();
        Demand {
            sampled: self.sampled * decay,
            in_any_case: self.in_any_case * decay,
            recorded_at: now,
        }
    }
}
