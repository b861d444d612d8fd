//! Limits how many calls a router offers to targets of a new version.
//!
//! Routers do not coordinate. Each limits the calls that it sends to the new version to a share
//! of the calls that it saw delivered since it received the order. The sum over all routers is
//! then at most that share, even when messages are lost or delayed or daemons restart.

use std::collections::HashMap;

use crate::ids::TargetId;
use crate::service_time::CallKind;

/// Part of the allowed share that routers use. The rest is reserved for the move at the end,
/// which begins before the deadline.
pub const CANARY_SHARE_FACTOR: f64 = 0.6;
/// Calls by which a kind may exceed its share, so that kinds that are rare at each router reach
/// the new version as well.
const KIND_ALLOWANCE: f64 = 1.0;
/// Maximum number of kinds counted separately; further ones share one count.
const MAX_KINDS: usize = 256;

/// Number of targets of the new version that get the canary share: `share` of the `old`
/// targets, but at least one, so that each works under the load of an old one.
pub fn canary_target_count(share: f64, old: usize) -> usize {
    ((share * old as f64) as usize).max(1)
}

/// How a rollout divides a router's targets.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RolloutTargets {
    /// Number of the order.
    pub order: u64,
    /// Targets that may get the canary share, in an order that is the same at all routers; the
    /// first `canary_count` available ones are used.
    pub canaries: Vec<TargetId>,
    /// Number of targets among which the canary calls are divided.
    pub canary_count: usize,
    /// Share of the delivered calls that the canaries are offered.
    pub share: f64,
    /// All targets of the new version. Calls to them are marked, so that their daemons know
    /// that the router has received the order.
    pub new: Vec<TargetId>,
    /// Targets that get no calls.
    pub excluded: Vec<TargetId>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Count {
    delivered: u64,
    canary: u64,
}

/// A router's count of the calls of one service since it received an order.
#[derive(Clone, Debug, Default)]
pub struct Exposure {
    all: Count,
    kinds: HashMap<CallKind, Count>,
}

impl Exposure {
    /// Whether one more call of a kind may be offered to the new version.
    pub fn may_offer(&self, share: f64, kind: CallKind) -> bool {
        let of_kind = self.kinds.get(&self.counting_kind(kind));
        let of_kind = of_kind.copied().unwrap_or_default();
        let next = (self.all.canary + 1) as f64;
        let next_of_kind = (of_kind.canary + 1) as f64;
        next <= share * self.all.delivered as f64
            && next_of_kind <= share * of_kind.delivered as f64 + KIND_ALLOWANCE
    }

    /// Records that a call was offered to the new version.
    pub fn record_offered(&mut self, kind: CallKind) {
        self.all.canary += 1;
        self.count_mut(kind).canary += 1;
    }

    /// Records that an offered call never reached its target.
    pub fn record_undelivered(&mut self, kind: CallKind) {
        self.all.canary = self.all.canary.saturating_sub(1);
        let of_kind = self.count_mut(kind);
        of_kind.canary = of_kind.canary.saturating_sub(1);
    }

    /// Records that a call was delivered to a target of any version, whether it was answered
    /// or its answer was lost.
    pub fn record_delivered(&mut self, kind: CallKind) {
        self.all.delivered += 1;
        self.count_mut(kind).delivered += 1;
    }

    /// Calls offered to the new version that may have reached it.
    pub fn canary_calls(&self) -> u64 {
        self.all.canary
    }

    fn count_mut(&mut self, kind: CallKind) -> &mut Count {
        let kind = self.counting_kind(kind);
        self.kinds.entry(kind).or_default()
    }

    /// The kind under which calls of a kind are counted.
    fn counting_kind(&self, kind: CallKind) -> CallKind {
        let is_new = !self.kinds.contains_key(&kind);
        let is_full = self.kinds.len() >= MAX_KINDS;
        match is_new && is_full {
            true => CallKind::default(),
            false => kind,
        }
    }
}
