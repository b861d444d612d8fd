//! Load-balancing policies and their names in the settings.

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Load-balancing policy.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Policy {
    /// The target with the greatest probability of meeting the call's goal, less the cost
    /// of its distance.
    GoalChance,
    /// The target with the earliest expected finish time.
    ExpectedFinish,
    /// The target with fewer outstanding calls of two picked at random.
    PowerOfTwo,
    /// The target with the fewest outstanding calls.
    LeastInFlight,
    /// Each target in turn.
    RoundRobin,
    /// A target picked at random.
    Random,
}

/// Error returned for an unknown policy name.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("unknown load-balancing policy {0:?}")]
pub struct UnknownPolicy(pub String);

impl std::str::FromStr for Policy {
    type Err = UnknownPolicy;

    fn from_str(text: &str) -> Result<Self, UnknownPolicy> {
        match text {
            "goal-chance" => Ok(Policy::GoalChance),
            "expected-finish" => Ok(Policy::ExpectedFinish),
            "power-of-two" => Ok(Policy::PowerOfTwo),
            "least-in-flight" => Ok(Policy::LeastInFlight),
            "round-robin" => Ok(Policy::RoundRobin),
            "random" => Ok(Policy::Random),
            other => Err(UnknownPolicy(other.to_owned())),
        }
    }
}
