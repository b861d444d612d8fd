//! How far a target is from a router, and what the way there costs.

use serde::{Deserialize, Serialize};

use crate::subset::{Candidate, Location};

/// How far it is from one host to another; the nearest first.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Distance {
    /// Within an availability zone.
    #[default]
    OwnZone,
    /// Between the zones of a place.
    OwnPlace,
    /// Between the places of a region.
    OwnRegion,
    /// Between two regions.
    OtherRegion,
}

impl Distance {
    /// Its name in logs, metrics and explanations.
    pub fn name(self) -> &'static str {
        match self {
            Distance::OwnZone => "own-zone",
            Distance::OwnPlace => "own-place",
            Distance::OwnRegion => "own-region",
            Distance::OtherRegion => "other-region",
        }
    }

    /// Whether it is within a zone.
    pub fn is_own_zone(&self) -> bool {
        *self == Distance::OwnZone
    }
}

impl Location<'_> {
    /// How far a target is from here.
    pub fn distance(&self, candidate: &Candidate) -> Distance {
        self.distance_to(&candidate.zone, &candidate.place, &candidate.region)
    }

    /// How far a host is from here that stands in this zone, place and region.
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

/// What ways cost, in percent of what a call is worth.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct WayPrices {
    /// To another place.
    pub far_percent: u32,
    /// To another region; at least as much as to another place, since it is one.
    pub region_percent: u32,
}

impl WayPrices {
    /// No way costs anything.
    pub const NONE: WayPrices = WayPrices {
        far_percent: 0,
        region_percent: 0,
    };

    /// The price of a way, as a part of a call's worth.
    pub fn of(&self, distance: Distance) -> f64 {
        let percent = match distance {
            Distance::OwnZone | Distance::OwnPlace => 0,
            Distance::OwnRegion => self.far_percent,
            Distance::OtherRegion => self.region_percent.max(self.far_percent),
        };
        f64::from(percent) / 100.0
    }
}
