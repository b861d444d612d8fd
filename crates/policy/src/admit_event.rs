//! What happens at one target, and what its admission decides: the words that the admission
//! and its shell share.

use crate::cold::FirstReport;
use crate::distance::DistanceCosts;
use crate::event::Refusal;
use crate::hold::CallTerms;
use crate::ids::{CallId, Micros};
use crate::slowness::SlownessReading;

/// Limits of one target, from the settings.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AdmitLimits {
    /// Calls served at once.
    pub slots: u32,
    /// Calls held for a slot.
    pub hold_limit: u32,
    /// What the ways to other targets cost.
    pub prices: DistanceCosts,
    /// Price of asking the target for its load, in thousandths of what a call is worth.
    pub ask_price_permille: u32,
    /// Calls that a cold target is given in any second at most; 0 for no bound.
    pub cold_calls_per_s: u32,
    /// Time for which a target is cold after its start, in milliseconds; 0 if not known.
    pub cold_ms: u64,
}

/// What happens at a target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AdmitEvent {
    /// A call is offered, to be answered before `deadline`.
    Offer {
        /// The call.
        call: CallId,
        /// Latest useful time of its answer.
        deadline: Micros,
        /// What else it asks for.
        terms: CallTerms,
    },
    /// A delivered call was sent to the target by now.
    Sent {
        /// The call.
        call: CallId,
    },
    /// A delivered call ended.
    Done {
        /// The call.
        call: CallId,
        /// Service time where the target served it; absent where it failed.
        service_us: Option<u32>,
        /// How slow the target said it is, in percent; absent where it did not say.
        slowness_percent: Option<u32>,
    },
    /// The target said how slow it is, in percent, apart from an answer to a call.
    Slowness(u32),
    /// The time at which held calls are to be looked at again has come.
    Look,
    /// Another target of the service said how slow it is.
    PeerSlowness(SlownessReading),
    /// The router no longer wants the call.
    Withdraw {
        /// The call.
        call: CallId,
    },
    /// The target takes no new calls from now on.
    Leave,
    /// The target takes calls again.
    Return,
    /// The settings changed.
    SetLimits(AdmitLimits),
    /// The daemon starts; what an earlier run of it delivered is not known.
    Start,
    /// The first report of the target arrived since the daemon started.
    FirstReport(FirstReport),
    /// Another incarnation of the target is in place.
    Replaced,
    /// The target told how much longer it is cold.
    ColdTold {
        /// That time in microseconds; 0 if it is warm.
        left_us: Micros,
    },
    /// The target may have turned cold while it was given no calls.
    ColdDoubted,
}

/// What the shell has to do.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AdmitAction {
    /// Deliver the call to the target now.
    Deliver {
        /// The call.
        call: CallId,
    },
    /// Answer that the call was not run.
    Refuse {
        /// The call.
        call: CallId,
        /// Why, and when to come back.
        refusal: Refusal,
    },
}

/// When held calls are to be looked at again though nothing happened.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct NextLook {
    /// When.
    pub at: Micros,
    /// Whether a new reading of the target's load is of use then.
    pub needs_reading: bool,
}
