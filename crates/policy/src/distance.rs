//! Distance between a router and a target, and its cost.

use serde::{Deserialize, Serialize};

use crate::subset::{Candidate, Location};

/// Distance class of two hosts, nearest first.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Distance {
    /// The same availability zone.
    #[default]
    OwnZone,
    /// Different availability zones of the same place.
    OwnPlace,
    /// Different places of the same region.
    OwnRegion,
    /// Different regions.
    OtherRegion,
}

impl Distance {
    /// Name in logs, metrics and decision records.
    pub fn name(self) -> &'static str {
        match self {
            Distance::OwnZone => "own-zone",
            Distance::OwnPlace => "own-place",
            Distance::OwnRegion => "own-region",
            Distance::OtherRegion => "other-region",
        }
    }

    /// Whether both hosts are in the same availability zone.
    pub fn is_own_zone(&self) -> bool {
        *self == Distance::OwnZone
    }
}

impl Location<'_> {
    /// Distance from the router to a target.
    pub fn distance(&self, candidate: &Candidate) -> Distance {
        self.distance_to(&candidate.zone, &candidate.place, &candidate.region)
    }

    /// Distance from the router to a host in the given zone, place and region.
    pub fn distance_to(&self, zone: &str, place: &str, region: &str) -> Distance {
        if zone == self.zone {
            Distance::OwnZone
        } else if place == self.place {
            Distance::OwnPlace
        } else if region == self.region {
            Distance::OwnRegion
        } else {
            Distance::OtherRegion
        }
    }
}

/// Cost of sending a call to a distant target, in percent of the utility of a call that
/// meets its goal.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct DistanceCosts {
    /// Cost of another place.
    pub far_percent: u32,
    /// Cost of another region. Values below `far_percent` count as `far_percent`, since
    /// another region is another place as well.
    pub region_percent: u32,
}

impl DistanceCosts {
    /// No cost at any distance.
    pub const NONE: DistanceCosts = DistanceCosts {
        far_percent: 0,
        region_percent: 0,
    };

    /// Utility lost at a distance, as a fraction.
    pub fn cost(&self, distance: Distance) -> f64 {
        let percent = match distance {
            Distance::OwnZone | Distance::OwnPlace => 0,
            Distance::OwnRegion => self.far_percent,
            Distance::OtherRegion => self.region_percent.max(self.far_percent),
        };
        f64::from(percent) / 100.0
    }
}
