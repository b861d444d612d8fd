//! Whether a call should go on to another target rather than run at this one.
//!
//! How long a call takes is decided by how slow its target is when it begins, and a
//! target's own daemon knows that first. Of the other targets no more is known here than
//! what is usual among them; their daemons decide in turn.

use serde::{Deserialize, Serialize};

use crate::chance::{Need, Prospect, worth};
use crate::ids::Micros;
use crate::slowness::{SlownessReading, UsualSlowness};

/// Time that a call loses when it is offered to another target, in microseconds.
const MOVE_US: f64 = 2_000.0;
/// What a call has to be worth more elsewhere, as a part of its worth, to be sent on.
const MOVE_WORTH: f64 = 0.05;

/// Where a call can be offered if the daemon of its target refuses it.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub enum Elsewhere {
    /// Nowhere.
    #[default]
    #[serde(rename = "0")]
    Nowhere,
    /// At far targets only, at the price of the way.
    #[serde(rename = "f")]
    Far,
    /// At a near target.
    #[serde(rename = "n")]
    Near,
}

impl Elsewhere {
    /// Whether there is no other target.
    pub fn is_nowhere(&self) -> bool {
        *self == Elsewhere::Nowhere
    }

    /// What the way there costs, as a part of a call's worth; nothing where there is no
    /// way.
    fn price(self, far_price: f64) -> Option<f64> {
        match self {
            Elsewhere::Nowhere => None,
            Elsewhere::Far => Some(far_price),
            Elsewhere::Near => Some(0.0),
        }
    }
}

/// A call that could be run here at once, or be sent on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Choice {
    /// What is known of the call.
    pub need: Need,
    /// Where else it can go.
    pub elsewhere: Elsewhere,
    /// What the way to a far target costs, as a part of a call's worth.
    pub far_price: f64,
}

/// Whether a call is worth more at a usual target than at this one, which would run it at
/// once and was as slow as `reading` says.
pub fn is_better_elsewhere(
    now: Micros,
    choice: &Choice,
    reading: SlownessReading,
    usual: &UsualSlowness,
) -> bool {
    let Some(price) = choice.elsewhere.price(choice.far_price) else {
        return false;
    };
    let need = &choice.need;
    let here = Prospect::default();
    let there = Prospect {
        path_us: MOVE_US,
        ..Prospect::default()
    };
    let here = worth(need, &here, usual.expect(now, Some(reading)));
    let there = worth(need, &there, usual.expect(now, None));
    there > here + MOVE_WORTH + price
}
