//! How many calls a router offers to targets of a new version.
//!
//! No router knows what the others do. Each keeps the calls that it sends to the new version a
//! share of the calls that it saw delivered since it heard of the order, so that the sum over
//! all routers is that share at most, whatever is lost, held back or started again.

use std::collections::HashMap;

use crate::ids::TargetId;
use crate::service_time::CallKind;

/// Part of the allowed share that routers use. The rest is kept for the move at the end, which
/// begins before the deadline.
pub const CANARY_PART: f64 = 0.6;
/// Calls by which a kind may be ahead of its share, so that kinds that are rare at each router
/// are tried as well.
const KIND_AHEAD: f64 = 1.0;
/// Kinds that are told apart; further ones share a count.
const KINDS_LIMIT: usize = 256;

/// Targets of the new version that take the routers' share, so that they work under the load
/// of the old ones: `share` of `old` targets, but one at least.
pub fn canary_width(share: f64, old: usize) -> usize {
    ((share * old as f64) as usize).max(1)
}

/// What a rollout says of a router's targets.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RolloutTargets {
    /// Number of the order.
    pub order: u64,
    /// Targets that get the canary share, in the order that all routers share; the first
    /// `width` that are open are used.
    pub canaries: Vec<TargetId>,
    /// Targets that share the canary calls.
    pub width: usize,
    /// Share of the delivered calls that they are offered.
    pub share: f64,
    /// All targets of the new version: calls to them are marked, which tells their halves that
    /// the router knows of the order.
    pub new: Vec<TargetId>,
    /// Targets that get no calls.
    pub barred: Vec<TargetId>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Count {
    delivered: u64,
    canary: u64,
}

/// A router's count of the calls of one service since it heard of an order.
#[derive(Clone, Debug, Default)]
pub struct Exposure {
    all: Count,
    kinds: HashMap<CallKind, Count>,
}

impl Exposure {
    /// Whether one more call may be offered to the new version.
    pub fn may_offer(&self, share: f64, kind: CallKind) -> bool {
        let of_kind = self.kinds.get(&self.counted_as(kind));
        let of_kind = of_kind.copied().unwrap_or_default();
        let next = (self.all.canary + 1) as f64;
        let next_of_kind = (of_kind.canary + 1) as f64;
        next <= share * self.all.delivered as f64
            && next_of_kind <= share * of_kind.delivered as f64 + KIND_AHEAD
    }

    /// A call was offered to the new version.
    pub fn offered(&mut self, kind: CallKind) {
        self.all.canary += 1;
        self.kind(kind).canary += 1;
    }

    /// An offered call never reached its target.
    pub fn taken_back(&mut self, kind: CallKind) {
        self.all.canary = self.all.canary.saturating_sub(1);
        let kind = self.kind(kind);
        kind.canary = kind.canary.saturating_sub(1);
    }

    /// A call was delivered to a target of any version: it was answered, or its answer lost.
    pub fn delivered(&mut self, kind: CallKind) {
        self.all.delivered += 1;
        self.kind(kind).delivered += 1;
    }

    /// Calls offered to the new version that may have reached it.
    pub fn canary(&self) -> u64 {
        self.all.canary
    }

    fn kind(&mut self, kind: CallKind) -> &mut Count {
        let kind = self.counted_as(kind);
        self.kinds.entry(kind).or_default()
    }

    /// The kind under which calls of a kind are counted.
    fn counted_as(&self, kind: CallKind) -> CallKind {
        let is_new = !self.kinds.contains_key(&kind);
        let is_full = self.kinds.len() >= KINDS_LIMIT;
        match is_new && is_full {
            true => CallKind::default(),
            false => kind,
        }
    }
}
