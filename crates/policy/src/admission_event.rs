//! Input events, actions and limits of the admission controller.

use crate::cold_start::FirstReport;
use crate::distance::DistanceCosts;
use crate::event::Refusal;
use crate::hold_queue::CallAttributes;
use crate::ids::{CallId, Micros};
use crate::slowness::SlownessReading;
use crate::target_notice::RateLimit;

/// Limits of one target, taken from the settings.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AdmissionLimits {
    /// Maximum number of concurrent calls.
    pub slots: u32,
    /// Maximum number of queued calls.
    pub hold_limit: u32,
    /// Cost of routing a call to a target in another place or region.
    pub prices: DistanceCosts,
    /// Cost of probing the target for its load, in thousandths of the value of a call.
    pub ask_price_permille: u32,
    /// Maximum number of calls delivered to a cold target in any second; 0 means unlimited.
    pub cold_calls_per_s: u32,
    /// Time for which a target is cold after it starts, in milliseconds; 0 if unknown.
    pub cold_ms: u64,
}

/// Input event of the admission controller.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AdmissionEvent {
    /// A call is offered.
    Offer {
        /// Call id.
        call: CallId,
        /// Time after which the answer is of no use.
        deadline: Micros,
        /// Other attributes of the call.
        attributes: CallAttributes,
    },
    /// A delivered call has been sent to the target.
    Sent {
        /// Call id.
        call: CallId,
    },
    /// A delivered call ended.
    Done {
        /// Call id.
        call: CallId,
        /// Service time; `None` if the call failed.
        service_us: Option<u32>,
        /// Slowness that the target reported with the answer, in percent; `None` if it
        /// reported none.
        slowness_percent: Option<u32>,
    },
    /// The target reported its slowness, in percent, outside an answer.
    Slowness(u32),
    /// The time returned by `next_recheck` has come.
    Recheck,
    /// Another target of the service reported its slowness.
    PeerSlowness(SlownessReading),
    /// The router no longer needs the call.
    Withdraw {
        /// Call id.
        call: CallId,
    },
    /// The target accepts no new calls from now on.
    Leave,
    /// The target accepts calls again.
    Rejoin,
    /// The settings changed.
    SetLimits(AdmissionLimits),
    /// The daemon has started. It does not know what its previous run delivered.
    DaemonStarted,
    /// The first report of the target since the daemon started has arrived.
    FirstReport(FirstReport),
    /// The target has been replaced by another incarnation.
    Replaced,
    /// The target states another rate limit, or none any more.
    RateLimit(Option<RateLimit>),
    /// The target reported its remaining cold time.
    ColdReported {
        /// Remaining time in microseconds; 0 if the target is warm.
        left_us: Micros,
    },
    /// The target may have turned cold while it received no calls.
    ColdUncertain,
}

/// Action for the caller of the admission controller to perform.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AdmissionAction {
    /// Deliver the call to the target now.
    Deliver {
        /// Call id.
        call: CallId,
    },
    /// Report that the call was not run.
    Refuse {
        /// Call id.
        call: CallId,
        /// Reason and retry hint.
        refusal: Refusal,
    },
}

/// When queued calls must be reconsidered even if no event occurs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct NextRecheck {
    /// Time of the recheck.
    pub at: Micros,
    /// Whether a new load reading of the target would help at that time.
    pub needs_reading: bool,
}
