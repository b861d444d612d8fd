//! The ways in which a target can be chosen, by name.

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// How a target is chosen.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Policy {
    /// The greatest chance to be back within the call's goal, less the price of the
    /// way.
    GoalChance,
    /// The least expected finish time.
    ExpectedFinish,
    /// The fewer outstanding of two drawn at random.
    PowerOfTwo,
    /// The fewest outstanding of all.
    LeastInFlight,
    /// One after the other.
    RoundRobin,
    /// Any.
    Random,
}

/// A policy name that is not known.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("{0:?} is not a policy")]
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
