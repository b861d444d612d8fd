//! Where a call can be rerouted when the daemon of its target refuses it.

use serde::{Deserialize, Serialize};

use crate::distance::{Distance, DistanceCosts};

/// Distance class of the targets to which a refused call can be rerouted.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub enum Elsewhere {
    /// There is no other target.
    #[default]
    #[serde(rename = "0")]
    Nowhere,
    /// Only targets in other regions, at the cost of that distance.
    #[serde(rename = "r")]
    OtherRegion,
    /// Only distant targets, at the cost of that distance; at least one is in the router's
    /// own region.
    #[serde(rename = "f")]
    Far,
    /// At least one target in the router's own place.
    #[serde(rename = "n")]
    Near,
}

impl Elsewhere {
    /// Classifies the remaining targets by the distance of the nearest one.
    pub(crate) fn from_nearest(nearest: Option<Distance>) -> Self {
        match nearest {
            None => Elsewhere::Nowhere,
            Some(Distance::OwnZone | Distance::OwnPlace) => Elsewhere::Near,
            Some(Distance::OwnRegion) => Elsewhere::Far,
            Some(Distance::OtherRegion) => Elsewhere::OtherRegion,
        }
    }

    /// Whether there is no other target.
    pub fn is_nowhere(&self) -> bool {
        *self == Elsewhere::Nowhere
    }

    /// Utility lost by rerouting the call; `None` where there is no other target.
    pub(crate) fn cost(self, costs: DistanceCosts) -> Option<f64> {
        match self {
            Elsewhere::Nowhere => None,
            Elsewhere::OtherRegion => Some(costs.cost(Distance::OtherRegion)),
            Elsewhere::Far => Some(costs.cost(Distance::OwnRegion)),
            Elsewhere::Near => Some(0.0),
        }
    }
}
