//! What a target says of itself in its answers besides its load: the rate of calls that it
//! accepts from all daemons together, and that it is leaving.
//!
//! Answers can overtake each other, so the order in which they arrive does not tell which was
//! written last. An answer to a call that was sent after a value was heard was written after it.

use serde::{Deserialize, Serialize};

use crate::ids::Micros;

/// Calls per 1,000 seconds in one call per second.
const PER_1000_S: f64 = 1_000.0;

/// Rate limit that a target states.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct RateLimit {
    /// Calls per 1,000 seconds.
    #[serde(rename = "r")]
    pub calls_per_1000_s: u64,
}

impl RateLimit {
    /// Creates a limit from calls per second; `None` if the number is negative or not finite.
    pub fn from_per_s(calls_per_s: f64) -> Option<Self> {
        let is_limit = calls_per_s.is_finite() && calls_per_s >= 0.0;
        is_limit.then_some(RateLimit {
            calls_per_1000_s: (calls_per_s * PER_1000_S) as u64,
        })
    }

    /// Calls per second.
    pub fn per_s(self) -> f64 {
        self.calls_per_1000_s as f64 / PER_1000_S
    }
}

/// A limit and when it was first heard.
#[derive(Clone, Copy, Debug)]
struct HeardLimit {
    limit: RateLimit,
    heard_at: Micros,
}

/// The limit that the answers of one incarnation of a target state.
#[derive(Clone, Copy, Debug, Default)]
pub struct StatedLimit {
    heard: Option<HeardLimit>,
}

impl StatedLimit {
    /// The limit in force.
    pub fn current(&self) -> Option<RateLimit> {
        self.heard.map(|heard| heard.limit)
    }

    /// When the limit in force was heard first.
    pub fn heard_at(&self) -> Option<Micros> {
        self.heard.map(|heard| heard.heard_at)
    }

    /// Records the limit of an answer to a call that was sent at `sent_at`. Returns whether the
    /// limit changed. An answer that was possibly written before the current limit does not
    /// raise or end it.
    pub fn record(&mut self, now: Micros, sent_at: Micros, stated: Option<RateLimit>) -> bool {
        let relaxes = match (self.current(), stated) {
            (None, None) => return false,
            (Some(current), Some(stated)) if current == stated => return false,
            (Some(current), Some(stated)) => stated > current,
            (Some(_), None) => true,
            (None, Some(_)) => false,
        };
        let is_later = self.heard.is_none_or(|heard| sent_at >= heard.heard_at);
        if relaxes && !is_later {
            return false;
        }
        self.heard = stated.map(|limit| HeardLimit {
            limit,
            heard_at: now,
        });
        true
    }
}

/// Parts in a whole share.
const WHOLE_PERMILLE: u32 = 1_000;

/// Share of a router's calls for which a target may be selected.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct OfferShare {
    permille: u32,
}

impl OfferShare {
    /// All calls.
    pub const ALL: OfferShare = OfferShare {
        permille: WHOLE_PERMILLE,
    };

    /// Creates a share from a fraction. The smallest share is one thousandth, so that a target
    /// is never forgotten.
    pub fn from_fraction(fraction: f64) -> Self {
        let permille = fraction * f64::from(WHOLE_PERMILLE);
        OfferShare {
            permille: (permille.max(0.0) as u32).clamp(1, WHOLE_PERMILLE),
        }
    }

    /// The share as a fraction.
    pub fn fraction(self) -> f64 {
        f64::from(self.permille.clamp(1, WHOLE_PERMILLE)) / f64::from(WHOLE_PERMILLE)
    }

    /// Whether it is all calls.
    pub fn is_all(&self) -> bool {
        self.permille >= WHOLE_PERMILLE
    }
}

impl Default for OfferShare {
    fn default() -> Self {
        OfferShare::ALL
    }
}

/// What a target's daemon tells of the statements of its target, and what a router that heard it
/// tells the daemon of a later run.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct TargetNotice {
    /// Fingerprint of the incarnation that the statements are of; 0 for a target without a name.
    #[serde(rename = "i", default)]
    pub incarnation: u64,
    /// Limit that it states.
    #[serde(rename = "l", default, skip_serializing_if = "Option::is_none")]
    pub limit: Option<RateLimit>,
    /// Share of their calls that routers should offer.
    #[serde(rename = "o", default, skip_serializing_if = "OfferShare::is_all")]
    pub share: OfferShare,
    /// Whether it states that it is leaving.
    #[serde(rename = "g", default, skip_serializing_if = "std::ops::Not::not")]
    pub leaving: bool,
}

impl TargetNotice {
    /// Whether nothing is stated.
    pub fn is_blank(&self) -> bool {
        self.limit.is_none() && !self.leaving
    }
}
