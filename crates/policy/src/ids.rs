//! Names of the things that the machines speak of. The machines never look
//! inside them; the shells decide what they stand for.

use serde::{Deserialize, Serialize};

/// Microseconds since a moment that the shell fixes when it starts.
pub type Micros = u64;

/// One call of a caller, unique within a daemon's incarnation.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct CallId(pub u64);

/// One offer of a call to one target, unique within a daemon's incarnation.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct AttemptId(pub u64);

/// One end of a target under calls, unique in the deployment: the shell draws it at random.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct EndId(pub u64);

/// A target as the shell numbers it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct TargetId(pub u32);
