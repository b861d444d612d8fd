//! Whether a call should go on to another target rather than run at this one.
//!
//! How long a call takes is decided by how slow its target is when it begins, and a
//! target's own daemon knows that first. Of the other targets no more is known here than
//! what is usual among them; their daemons decide in turn.

use crate::chance::{Need, Prospect, worth};
use crate::ids::Micros;
use crate::slowness::{SlownessReading, UsualSlowness};

/// Time that a call loses when it is offered to another target, in microseconds.
const MOVE_US: f64 = 2_000.0;
/// What a call has to be worth more elsewhere, as a part of its worth, to be sent on.
const MOVE_WORTH: f64 = 0.05;

/// Whether a call is worth more at a usual target than at this one, which would run it at
/// once and was as slow as `reading` says.
pub fn is_better_elsewhere(
    now: Micros,
    need: &Need,
    reading: SlownessReading,
    usual: &UsualSlowness,
) -> bool {
    let here = Prospect::default();
    let there = Prospect {
        path_us: MOVE_US,
        ..Prospect::default()
    };
    let here = worth(need, &here, usual.expect(now, Some(reading)));
    let there = worth(need, &there, usual.expect(now, None));
    there > here + MOVE_WORTH
}
