//! What happens to a router, and what it decides: the words that routers, their
//! shells and the mesh share.

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
    /// No slot is free or the target is slow, and the call can be offered to another one.
    Busy,
    /// It could not finish before its deadline.
    TooLate,
    /// The target is cold and was given as many calls as it bears.
    Cold,
    /// The target takes no new calls.
    Leaving,
    /// The target could not be reached by its own daemon.
    TargetDown,
    /// The target itself said that it did not run the call.
    Shed,
    /// The operation was fenced, expired, or cannot be remembered.
    Once,
    /// The target belongs to another service.
    WrongService,
    /// The target stands outside the call's home regions.
    OutsideHome,
    /// The target has a version that gets no such call while a rollout goes on.
    Version,
    /// Targets ended under the same request, so that it is offered to none for a while.
    Quarantined,
}

/// A definite statement that a call was not run, with when to come back.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Refusal {
    /// Why it was not run.
    pub reason: RefusalReason,
    /// Time after which a new try makes sense.
    pub retry_after_us: Micros,
}

/// Why a caller is told that its call was not run.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum NotRunReason {
    /// No target of the service is known, open or left to try.
    NoTarget,
    /// No target in the call's home regions is known, open or left to try.
    NoHomeTarget,
    /// Targets refused and no further attempt is allowed.
    Refused(RefusalReason),
    /// The call was never sent before its deadline.
    Deadline,
    /// A target's link could not be had.
    NoLink,
    /// Targets ended under the same request, so that it is offered to none for a while.
    Quarantined,
}

/// Why a caller is told that the outcome is not known.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum UnknownReason {
    /// A target has the call and did not answer before the deadline.
    Deadline,
    /// The link to a target's daemon was lost and could not be settled.
    LinkLost,
    /// The target's daemon delivered the call and lost the target's answer.
    TargetLost,
}

/// What the caller of a call is told.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// The answer of this attempt.
    Answer {
        /// The attempt whose answer is passed on.
        attempt: AttemptId,
    },
    /// It was not run and never will be.
    NotRun {
        /// Why.
        reason: NotRunReason,
        /// When to come back.
        retry_after_us: Micros,
    },
    /// It may have run.
    Unknown {
        /// Why.
        reason: UnknownReason,
    },
}

/// What settling an attempt with a target's daemon brought.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Settlement {
    /// It never ran there and never will.
    NeverRan,
    /// It ran; the shell holds its answer under the attempt.
    Ran,
    /// It cannot be known.
    Unknown,
}

/// How an answer came about.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Source {
    /// The target served the call.
    Served,
    /// The target answered with a server error.
    Failed,
}

/// What happens to a router.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// Says where a call may be served: before it arrives, where that is not anywhere, and
    /// whenever it changes.
    Bound {
        /// The call.
        call: CallId,
        /// Its home regions.
        homes: Homes,
    },
    /// Says what a call holds, before an end of it that may be its own doing, or that shows
    /// that a failure was not.
    Named {
        /// The call.
        call: CallId,
        /// Fingerprint of all that it holds.
        request: Fingerprint,
    },
    /// A caller's call arrived.
    Arrived {
        /// The call.
        call: CallId,
        /// When its answer is no longer useful.
        deadline: Micros,
        /// Whether running it twice would do harm.
        effect: bool,
        /// Whether a further attempt is allowed at all: a retry of a call
        /// higher up the chain takes that right away.
        may_retry: bool,
        /// Targets it may be delivered to, where its route limits them further
        /// than the settings of its service.
        attempt_limit: Option<u32>,
        /// When its answer loses most of its worth, where its route says so.
        goal: Option<Micros>,
        /// What kind of call it is.
        kind: CallKind,
    },
    /// A target answered.
    Answered {
        /// The attempt.
        attempt: AttemptId,
        /// How the answer came about.
        source: Source,
        /// Load of the target, where the measuring budget let it ride along.
        figures: Option<TargetLoad>,
        /// Time at the target's daemon, held and served.
        there_us: u32,
        /// Time that the call would have taken at usual speed, where it is known.
        work_us: Option<u32>,
    },
    /// A target's daemon says that it did not run the call.
    Refused {
        /// The attempt.
        attempt: AttemptId,
        /// Why, and when to come back.
        refusal: Refusal,
        /// Load of the target, where the measuring budget let it ride along.
        figures: Option<TargetLoad>,
    },
    /// The target's daemon delivered the call and lost the target's answer.
    TargetLost {
        /// The attempt.
        attempt: AttemptId,
    },
    /// No link could be had; nothing was sent.
    NotSent {
        /// The attempt.
        attempt: AttemptId,
    },
    /// The link was lost after sending.
    LinkLost {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Settling ended.
    Settled {
        /// The attempt.
        attempt: AttemptId,
        /// What it brought.
        settlement: Settlement,
    },
    /// Targets ended under the same request: it goes nowhere else.
    Quarantined {
        /// The call.
        call: CallId,
        /// Time after which a new try makes sense.
        retry_after_us: Micros,
    },
    /// Some of a call's body was read and sent, so that it cannot be sent anywhere else.
    BodyBegun {
        /// The call.
        call: CallId,
    },
    /// A call's deadline is over.
    DeadlineOver {
        /// The call.
        call: CallId,
    },
    /// The caller went away.
    CallerGone {
        /// The call.
        call: CallId,
    },
    /// A target takes no new calls.
    TargetLeaving {
        /// The target.
        target: TargetId,
    },
    /// A target takes calls again.
    TargetBack {
        /// The target.
        target: TargetId,
    },
    /// A target's daemon says that nothing listens at the target's address, or something does
    /// again.
    TargetDown {
        /// The target.
        target: TargetId,
        /// Whether nothing does.
        down: bool,
    },
    /// The link to a target's daemon may be silent, or was heard from since.
    TargetDoubted {
        /// The target.
        target: TargetId,
        /// Whether it may be silent.
        doubted: bool,
    },
    /// The link to a target's daemon was made or lost.
    TargetLinked {
        /// The target.
        target: TargetId,
        /// Whether it stands.
        linked: bool,
    },
    /// A target's daemon is another incarnation than before.
    TargetReplaced {
        /// The target.
        target: TargetId,
    },
    /// A target's load came apart from an answer.
    FiguresSeen {
        /// The target.
        target: TargetId,
        /// Its load.
        figures: TargetLoad,
    },
}

/// What the shell has to do.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Action {
    /// Send the call to a target's daemon.
    Send {
        /// The call.
        call: CallId,
        /// Name of this attempt.
        attempt: AttemptId,
        /// Where to.
        target: TargetId,
        /// Where the call can be offered if the target's daemon refuses it.
        elsewhere: Elsewhere,
    },
    /// Ask the target's daemon what became of an attempt, and fence it there.
    Settle {
        /// The call.
        call: CallId,
        /// The attempt.
        attempt: AttemptId,
        /// Where it was sent.
        target: TargetId,
    },
    /// Tell the target's daemon that the attempt is no longer wanted.
    Cancel {
        /// The attempt.
        attempt: AttemptId,
        /// Where it was sent.
        target: TargetId,
    },
    /// Tell the target's daemon that the attempt is no longer wanted unless it was
    /// delivered already; its end is still to be heard.
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
