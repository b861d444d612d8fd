//! Target selection and admission by latency goal, slowness and priority.

mod admission;
mod choice;

use lynxcleat_policy::{CallAttributes, CallKind, DistanceCosts, TargetId};

const MS: u64 = 1_000;
/// Other places and regions have a cost.
const COSTS: DistanceCosts = DistanceCosts {
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
