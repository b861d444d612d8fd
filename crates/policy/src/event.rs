//! Events that drive a [`Router`](crate::Router), and the actions that it returns.

use serde::{Deserialize, Serialize};

use crate::elsewhere::Elsewhere;
use crate::fingerprint::Fingerprint;
use crate::homes::Homes;
use crate::ids::{AttemptId, CallId, Micros, TargetId};
use crate::service_time::CallKind;
use crate::target_load::TargetLoad;

/// Why a target's daemon did not run a call.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RefusalReason {
    /// No slot is free and the hold queue is full.
    Full,
    /// No slot is free or the target is slow, and the call can be offered to another target.
    Busy,
    /// The call could not finish before its deadline.
    TooLate,
    /// The target is still warming up and has as many calls as it can take.
    Cold,
    /// The target has as many calls as the rate that it states allows.
    RateLimited,
    /// The target is draining and takes no new calls.
    Leaving,
    /// The target's own daemon could not reach it.
    TargetDown,
    /// The target itself reported that it did not run the call.
    Shed,
    /// The operation was fenced, has expired, or cannot be recorded.
    Once,
    /// The target belongs to another service.
    WrongService,
    /// The target is outside the call's home regions.
    OutsideHome,
    /// The target runs a version that does not take this call during a rollout.
    Version,
    /// Targets terminated while running the same request, so it is temporarily offered to none.
    Quarantined,
}

impl RefusalReason {
    /// The reason for a daemon of an earlier build, which does not know all.
    pub fn or_known_before(self) -> Self {
        match self {
            RefusalReason::RateLimited => RefusalReason::Full,
            known => known,
        }
    }
}

/// A definite statement that a call was not run, with a retry hint.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Refusal {
    /// Why it was not run.
    pub reason: RefusalReason,
    /// Delay after which a retry may succeed.
    pub retry_after_us: Micros,
}

/// Why a caller is told that its call was not run.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum NotRunReason {
    /// No target of the service is known, available or untried.
    NoTarget,
    /// No target in the call's home regions is known, available or untried.
    NoHomeTarget,
    /// Targets refused the call and no further attempt is allowed.
    Refused(RefusalReason),
    /// The deadline expired before the call was sent.
    Deadline,
    /// No link to a target's daemon could be established.
    NoLink,
    /// Targets terminated while running the same request, so it is temporarily offered to none.
    Quarantined,
    /// The daemon is stopping, and no target has the call.
    Stopping,
}

/// Why a caller is told that the outcome is not known.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum UnknownReason {
    /// A target has the call and did not answer before the deadline.
    Deadline,
    /// The link to a target's daemon was lost and the attempt's outcome could not be resolved.
    LinkLost,
    /// The target's daemon delivered the call and lost the target's answer.
    TargetLost,
}

/// What the caller of a call is told.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// The answer of this attempt.
    Answer {
        /// The attempt whose answer is forwarded.
        attempt: AttemptId,
    },
    /// The call was not run and never will be.
    NotRun {
        /// Why.
        reason: NotRunReason,
        /// Delay after which a retry may succeed.
        retry_after_us: Micros,
    },
    /// The call may have run.
    Unknown {
        /// Why.
        reason: UnknownReason,
    },
}

/// The outcome of an attempt as resolved with the target's daemon after a lost link.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Settlement {
    /// It never ran there and never will.
    NeverRan,
    /// It ran; the I/O layer holds its answer under the attempt's id.
    Ran,
    /// The outcome cannot be determined.
    Unknown,
}

/// Whether an answer is a success or a server error.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AnswerStatus {
    /// The target served the call.
    Served,
    /// The target answered with a server error.
    Failed,
}

/// An input of a router.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// Sets the regions in which a call may be served. Sent before [`Event::Arrived`] if the
    /// call is restricted, and again whenever the restriction changes.
    HomesSet {
        /// The call.
        call: CallId,
        /// Its home regions.
        homes: Homes,
    },
    /// Sets the fingerprint of a call's request. Sent before a failure that the request itself
    /// may have caused, and before a success that shows that earlier failures had another cause.
    Fingerprinted {
        /// The call.
        call: CallId,
        /// Fingerprint of the whole request.
        request: Fingerprint,
    },
    /// A caller's call arrived.
    Arrived {
        /// The call.
        call: CallId,
        /// When its answer is no longer useful.
        deadline: Micros,
        /// Whether running it twice would do harm.
        has_effects: bool,
        /// Whether further attempts are allowed. They are not if this call belongs to a retry
        /// of a call higher up the call chain.
        may_retry: bool,
        /// Maximum number of targets it may be delivered to, if its route sets a lower
        /// limit than its service.
        attempt_limit: Option<u32>,
        /// When its answer loses most of its value, if its route sets a goal.
        goal: Option<Micros>,
        /// What kind of call it is.
        kind: CallKind,
    },
    /// A target answered.
    Answered {
        /// The attempt.
        attempt: AttemptId,
        /// Whether the target served or failed the call.
        status: AnswerStatus,
        /// Load of the target, if the measurement budget allowed the answer to carry it.
        load: Option<TargetLoad>,
        /// Time between the call's arrival at the target's daemon and its answer, both held
        /// and served.
        remote_us: u32,
        /// Time that the call would have taken at usual speed, if known.
        work_us: Option<u32>,
    },
    /// A target's daemon did not run the call.
    Refused {
        /// The attempt.
        attempt: AttemptId,
        /// Why, and when to retry.
        refusal: Refusal,
        /// Load of the target, if the measurement budget allowed the refusal to carry it.
        load: Option<TargetLoad>,
    },
    /// The target's daemon delivered the call and lost the target's answer.
    TargetLost {
        /// The attempt.
        attempt: AttemptId,
    },
    /// No link could be established; nothing was sent.
    NotSent {
        /// The attempt.
        attempt: AttemptId,
    },
    /// The link was lost after sending.
    LinkLost {
        /// The attempt.
        attempt: AttemptId,
    },
    /// The outcome of an attempt was resolved with the target's daemon, or could not be.
    Settled {
        /// The attempt.
        attempt: AttemptId,
        /// The resolved outcome.
        settlement: Settlement,
    },
    /// Targets terminated while running the same request: no further attempt is made.
    Quarantined {
        /// The call.
        call: CallId,
        /// Delay after which a retry may succeed.
        retry_after_us: Micros,
    },
    /// Part of a call's body was read and sent, so the call cannot be sent anywhere else.
    BodyStarted {
        /// The call.
        call: CallId,
    },
    /// The daemon is stopping and will not wait for the call much longer: no further attempt is
    /// made, and a call with effects that no target has is withdrawn.
    Stopping {
        /// The call.
        call: CallId,
    },
    /// A call's deadline expired.
    DeadlineExpired {
        /// The call.
        call: CallId,
    },
    /// The caller disconnected.
    CallerDisconnected {
        /// The call.
        call: CallId,
    },
    /// A target is draining: it takes no new calls.
    TargetDraining {
        /// The target.
        target: TargetId,
    },
    /// A target that was draining takes calls again.
    TargetResumed {
        /// The target.
        target: TargetId,
    },
    /// A target's daemon reports that nothing listens at the target's address, or that
    /// something does again.
    TargetDown {
        /// The target.
        target: TargetId,
        /// Whether the target is down.
        down: bool,
    },
    /// The link to a target's daemon may be silent, or has carried data since.
    TargetSuspected {
        /// The target.
        target: TargetId,
        /// Whether the link may be silent.
        suspected: bool,
    },
    /// The link to a target's daemon was established or lost.
    TargetLinked {
        /// The target.
        target: TargetId,
        /// Whether the link is up.
        linked: bool,
    },
    /// A target's daemon was replaced by another incarnation.
    TargetReplaced {
        /// The target.
        target: TargetId,
    },
    /// A target's load was reported separately from any answer.
    LoadReported {
        /// The target.
        target: TargetId,
        /// Its load.
        load: TargetLoad,
    },
}

/// An instruction of a router to the I/O layer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Action {
    /// Send the call to a target's daemon.
    Send {
        /// The call.
        call: CallId,
        /// Id of this attempt.
        attempt: AttemptId,
        /// The target.
        target: TargetId,
        /// Where the call can be offered if the target's daemon refuses it.
        elsewhere: Elsewhere,
    },
    /// Ask the target's daemon for the outcome of an attempt, and fence the attempt there.
    Settle {
        /// The call.
        call: CallId,
        /// The attempt.
        attempt: AttemptId,
        /// Where it was sent.
        target: TargetId,
    },
    /// Tell the target's daemon that the attempt is no longer needed.
    Cancel {
        /// The attempt.
        attempt: AttemptId,
        /// Where it was sent.
        target: TargetId,
    },
    /// Tell the target's daemon to drop the attempt unless it was already delivered. The
    /// outcome is still reported.
    Withdraw {
        /// The attempt.
        attempt: AttemptId,
        /// Where it was sent.
        target: TargetId,
    },
    /// Answer the caller.
    Finish {
        /// The call.
        call: CallId,
        /// What it is told.
        verdict: Verdict,
    },
}
