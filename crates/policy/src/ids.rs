//! Identifiers used by the state machines in this crate. They are opaque to the state
//! machines; the code that drives them assigns their values.

use serde::{Deserialize, Serialize};

/// Microseconds since an origin that the driving code fixes when it starts.
pub type Micros = u64;

/// A call from a caller, unique within one run of a daemon.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct CallId(pub u64);

/// An attempt to run a call at one target, unique within one run of a daemon.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct AttemptId(pub u64);

/// An exit of a target while it was serving calls. The value is drawn at random, so that it is
/// unique in the deployment.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct TargetExitId(pub u64);

/// A target, numbered by the daemon.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct TargetId(pub u32);
