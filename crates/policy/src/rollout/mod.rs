//! Progressive rollouts: moving a service's calls to targets of another version, and back
//! where that version is bad.
//!
//! *Exposure* is bounded by each router for its own calls, *evidence* is counted by target
//! halves, the *judge* weighs it, and the *phase* machine says what a daemon does about it.

mod evidence;
mod exposure;
mod judge;
mod lanes;
mod phase;

pub use evidence::{HalfEvidence, Outcome, Tally};
pub use exposure::{CANARY_PART, Exposure, RolloutTargets, canary_width};
pub use judge::{Fault, Judge, Readiness};
pub(crate) use lanes::RolloutLanes;
pub use phase::{
    Admits, Cause, Members, Phase, Rollout, RolloutNews, RolloutOrder, Rollouts, Step, Taken,
};
