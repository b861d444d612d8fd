//! Progressive rollouts: move a service's calls to targets of another version, and back if
//! that version is bad.
//!
//! Each router limits the exposure of its own calls (`exposure`, `routing`). The daemons of
//! the targets count outcomes (`evidence`), which every daemon analyses (`analysis`), and a
//! state machine decides on the next step (`phase`).

mod analysis;
mod evidence;
mod exposure;
mod phase;
mod routing;

pub use analysis::{CanaryAnalysis, Fault, ObservedCalls, Readiness};
pub use evidence::{CallCounts, Outcome, TargetEvidence};
pub use exposure::{CANARY_SHARE_FACTOR, Exposure, RolloutTargets, canary_target_count};
pub use phase::{
    AdmittedCalls, Cause, MemberSummary, Phase, Rollout, RolloutChange, RolloutOrder,
    RolloutUpdate, Rollouts, Step,
};
pub(crate) use routing::RolloutRouting;
