//! Where a call can go that the daemon of its target refuses.

use serde::{Deserialize, Serialize};

use crate::distance::{Distance, WayPrices};

/// Where a call can be offered if the daemon of its target refuses it.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub enum Elsewhere {
    /// Nowhere.
    #[default]
    #[serde(rename = "0")]
    Nowhere,
    /// At targets of other regions only, at the price of the way.
    #[serde(rename = "r")]
    OtherRegion,
    /// At far targets only, at the price of the way; some are in the region of its router.
    #[serde(rename = "f")]
    Far,
    /// At a near target.
    #[serde(rename = "n")]
    Near,
}

impl Elsewhere {
    /// Where there are targets of which the nearest is this far away.
    pub(crate) fn at(nearest: Option<Distance>) -> Self {
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

    /// What the way there costs, as a part of a call's worth; nothing where there is no
    /// way.
    pub(crate) fn price(self, prices: WayPrices) -> Option<f64> {
        match self {
            Elsewhere::Nowhere => None,
            Elsewhere::OtherRegion => Some(prices.of(Distance::OtherRegion)),
            Elsewhere::Far => Some(prices.of(Distance::OwnRegion)),
            Elsewhere::Near => Some(0.0),
        }
    }
}
