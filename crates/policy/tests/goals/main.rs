//! Goals, slowness and ranks: what is chosen, held and refused.

mod admission;
mod choice;

use lynxcleat_policy::{CallAttributes, CallKind, TargetId, WayPrices};

const MS: u64 = 1_000;
/// Ways to other places have a price.
const PRICES: WayPrices = WayPrices {
    far_percent: 20,
    region_percent: 90,
};
const KIND: CallKind = CallKind(1);
const NEAR: TargetId = TargetId(0);
const FAR: TargetId = TargetId(1);

fn terms(goal: u64, priority: u32) -> CallAttributes {
    CallAttributes {
        goal: Some(goal),
        kind: KIND,
        priority,
        ..CallAttributes::default()
    }
}
