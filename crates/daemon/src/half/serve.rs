//! One call's way through the target half.

use std::sync::atomic::AtomicU64;
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use lynxcleat_once::{Admission, FenceRefusal, FenceReply, Operation};
use lynxcleat_policy::{
    AdmissionEvent, AttemptId, BodyCoverage, CallAttributes, CallId, Micros, Refusal,
    RefusalReason, RequestFingerprints, TargetExitId,
};
use lynxcleat_settings::Effective;
use lynxcleat_wire::{Answer, CallFrame, Frame};

use super::ahead;
use super::exchange::CountedAnswer;
use super::send;
use super::state::{Go, Half};
use crate::control::asks_for_load;
use crate::core::Core;
use crate::kept::Keeping;
use crate::mesh::Link;
use crate::metrics::count;
use crate::quarantine;
use crate::sync::lock;

/// Number of distinct priorities of an organisation or a route; higher values are clamped.
const PRIORITY_LEVELS: u32 = 1 << 16;
/// Longest wait before an ask about a running operation is answered "running".
const FENCE_WAIT: Duration = Duration::from_millis(250);
/// Hint for callers whose operation cannot be admitted here.
pub(super) const ONCE_RETRY_AFTER_US: Micros = 500_000;
/// Hint for callers while the target cannot be reached.
pub(super) const DOWN_RETRY_AFTER_US: Micros = 250_000;
/// Hint for callers whose call could outlast the daemon, which stops.
pub(super) const STOPPING_RETRY_AFTER_US: Micros = 250_000;
/// Hint for callers whose call waited at a target that leaves now.
pub(super) const LEAVING_RETRY_AFTER_US: Micros = 1_000_000;
/// Hint for callers before settings are in force.
pub(super) const NOT_READY_RETRY_AFTER_US: Micros = 500_000;
/// Hint for callers whose call came to a target outside its home regions: its router hears
/// of the change by then.
pub(super) const OUTSIDE_RETRY_AFTER_US: Micros = 500_000;
/// Time past the deadline for which the answer of an operation is awaited, so
/// that its outcome can still be told later.
pub(super) const OUTCOME_WAIT_US: Micros = 30_000_000;

/// Part of the time left for which a call with a goal is held: one that has waited
/// for longer will hardly be served, and its caller can use the rest of its time.
const HELD_PART: f64 = 0.45;

/// Part of the time left until a call's goal that is spent at most on asking its target for
/// its load, as a divisor; then the call is offered to it all the same.
const ASK_PART: u64 = 20;

/// Hint for callers whose body did not come, or had no room here.
pub(super) const BODY_RETRY_AFTER_US: Micros = 200_000;

/// How a call ended at the half.
pub(super) enum Ended {
    /// The answer, and the time at usual speed where it is known.
    Answer(CountedAnswer, Option<u32>),
    Refused(Refusal),
    /// Its answer was lost, where the target ended under it by which end.
    Lost(Option<TargetExitId>),
    /// The sender no longer wants to know.
    Unwanted,
}

/// A call at the half.
pub(super) struct Incoming<'a> {
    pub(super) core: &'a Core,
    pub(super) half: &'a Half,
    pub(super) id: CallId,
    pub(super) deadline: Micros,
    pub(super) settings: Arc<Effective>,
    pub(super) cancelled: flume::Receiver<()>,
    pub(super) link: &'a Arc<Link>,
    /// When the connection to the target was opened that the call is written on, in microseconds.
    pub(super) connected_at: AtomicU64,
}

/// Serves a call that arrived on a link, in a task of its own.
pub fn spawn_call(core: &Arc<Core>, link: &Arc<Link>, call: CallFrame) {
    let core = Arc::clone(core);
    let link = Arc::clone(link);
    let (cancel, cancelled) = flume::bounded(1);
    let key = (link.id, call.attempt);
    lock(&core.half.cancels).insert(key, cancel);
    let ahead = ahead::expect(&core, &link, &call);
    let busy = core.life.target_calls.enter();
    tokio::spawn(async move {
        let (attempt, number) = (call.attempt, call.number);
        let name = call.call.clone();
        let whole = ahead::collect(&core, call, ahead, (&link, &cancelled)).await;
        // The time of a body on the link is the link's: the router learns it as such.
        let arrived = core.clock.now();
        let ended = match whole {
            Ok(call) => serve(&core, &link, call, cancelled).await,
            Err(refusal) => Ended::Refused(refusal),
        };
        log_ended(&core, &link, &name, &ended);
        lock(&core.half.cancels).remove(&key);
        reply(&core, &link, attempt, arrived, for_sender(number, ended));
        drop(busy);
    });
}

/// Answers an ask about an operation, and fences it.
pub fn spawn_fence(core: &Arc<Core>, link: &Arc<Link>, ask: u64, operation: Operation) {
    let core = Arc::clone(core);
    let link = Arc::clone(link);
    tokio::spawn(async move {
        let reply = fence(&core.half, operation).await;
        send(&link, Frame::Fenced { ask, reply });
    });
}

/// Fences an operation; one that runs is waited for a little.
async fn fence(half: &Half, operation: Operation) -> FenceReply<Answer> {
    let mut ended = half.ended.subscribe();
    let wait = tokio::time::sleep(FENCE_WAIT);
    tokio::pin!(wait);
    loop {
        ended.mark_unchanged();
        let reply = half.fence_now(operation);
        if reply != FenceReply::Running {
            return reply;
        }
        tokio::select! {
            changed = ended.changed() => if changed.is_err() { return reply },
            () = &mut wait => return reply,
        }
    }
}

/// Refusals for a rate limit are news to daemons that do not number their attempts.
fn for_sender(number: u32, ended: Ended) -> Ended {
    match ended {
        Ended::Refused(refusal) if number == 0 => Ended::Refused(Refusal {
            reason: refusal.reason.or_known_before(),
            ..refusal
        }),
        ended => ended,
    }
}

fn reply(core: &Core, link: &Link, attempt: AttemptId, arrived: Micros, ended: Ended) {
    let there_us = core.clock.now().saturating_sub(arrived);
    let there_us = u32::try_from(there_us).unwrap_or(u32::MAX);
    let frame = match ended {
        Ended::Answer(counted, work_us) => {
            let CountedAnswer { answer, held } = counted;
            let frame = Frame::Answer {
                attempt,
                answer,
                figures: core.half.figures_to_send(core),
                there_us,
                work_us,
            };
            let _ = link.send_answer(frame, held);
            return;
        }
        Ended::Refused(refusal) => {
            count_refusal(core, refusal.reason);
            Frame::Refused {
                attempt,
                refusal,
                figures: core.half.figures_to_send(core),
            }
        }
        Ended::Lost(None) => Frame::Lost(attempt),
        Ended::Lost(Some(end)) => Frame::Ended { attempt, end },
        Ended::Unwanted => return,
    };
    send(link, frame);
}

/// One line for a call that was not run, or whose answer was lost, with the load that
/// decided it.
fn log_ended(core: &Core, link: &Link, call: &str, ended: &Ended) {
    let outcome = match ended {
        Ended::Answer(..) | Ended::Unwanted => return,
        Ended::Refused(refusal) => format!("refused: {:?}", refusal.reason),
        Ended::Lost(None) => "answer lost".to_owned(),
        Ended::Lost(Some(_)) => "target ended".to_owned(),
    };
    if is_told(ended) || !core.explain.logs(core.clock.now(), is_ordinary(ended)) {
        return;
    }
    let figures = core.half.figures();
    log::info!(
        call,
        from = link.peer.host.as_str(),
        outcome = outcome.as_str(),
        in_flight = figures.in_flight,
        held = figures.held,
        limit = figures.slots,
        service_us = figures.service_us,
        slowness_percent = figures.slowness_percent,
        slowness_age_ms = figures.slowness_age_ms;
        "call at the target"
    );
}

/// Whether an end is no failure: a busy target's call goes on to an idle one. Its lines are
/// as many as those of successes, and must not take the place of those of failures.
fn is_ordinary(ended: &Ended) -> bool {
    let Ended::Refused(refusal) = ended else {
        return false;
    };
    matches!(
        refusal.reason,
        RefusalReason::Busy | RefusalReason::Cold | RefusalReason::RateLimited
    )
}

/// Whether a line of its own told of it.
fn is_told(ended: &Ended) -> bool {
    matches!(ended, Ended::Refused(refusal) if refusal.reason == RefusalReason::OutsideHome)
}

fn count_refusal(core: &Core, reason: RefusalReason) {
    let kind = match reason {
        RefusalReason::Full => "full",
        RefusalReason::Busy => "busy",
        RefusalReason::TooLate => "too-late",
        RefusalReason::Cold => "cold",
        RefusalReason::RateLimited => "rate-limited",
        RefusalReason::Leaving => "leaving",
        RefusalReason::TargetDown => "target-down",
        RefusalReason::Shed => "shed",
        RefusalReason::Once => "once",
        RefusalReason::WrongService => "wrong-service",
        RefusalReason::OutsideHome => "outside-home",
        RefusalReason::Version => "version",
        RefusalReason::Quarantined => "quarantined",
    };
    count(&core.metrics.target_refusals, kind);
}

async fn serve(
    core: &Core,
    link: &Arc<Link>,
    call: CallFrame,
    cancelled: flume::Receiver<()>,
) -> Ended {
    let half = &core.half;
    let Some(settings) = half.settings() else {
        return refused(RefusalReason::TargetDown, NOT_READY_RETRY_AFTER_US);
    };
    if let Some(notice) = call.notice {
        half.learn_notice(core, notice);
    }
    let deadline = core.clock.now() + call.left_us;
    let incoming = Incoming {
        core,
        half,
        id: half.new_call(),
        deadline,
        settings,
        cancelled,
        link,
        connected_at: AtomicU64::new(0),
    };
    if let Some(refusal) = incoming.misplaced(&call, None) {
        return Ended::Refused(refusal);
    }
    if !core.life.outlasts(deadline) {
        return refused(RefusalReason::Busy, STOPPING_RETRY_AFTER_US);
    }
    match call.operation {
        None => incoming.take_slot_and_run(call).await,
        Some(operation) => incoming.run_once(operation, call).await,
    }
}

pub(super) fn refused(reason: RefusalReason, retry_after_us: Micros) -> Ended {
    Ended::Refused(Refusal {
        reason,
        retry_after_us,
    })
}

impl Incoming<'_> {
    /// Fence: remembers the operation before it can run, and forgets it only
    /// when it definitely did not.
    async fn run_once(&self, operation: Operation, call: CallFrame) -> Ended {
        let wall_ms = self.core.clock.wall_ms();
        let admission = lock(&self.half.fence).admit(wall_ms, operation);
        if let Admission::Refused(why) = admission {
            return self.refuse_once(why, &call);
        }
        let op = operation.op;
        let keeping = Keeping {
            kind: call.kind,
            service: call.service.clone(),
            homes: call.homes.clone(),
        };
        let ended = self.take_slot_and_run(call).await;
        match &ended {
            Ended::Answer(counted, _) => {
                let answer = &counted.answer;
                self.half.record_ran(self.core, op, answer, &keeping);
            }
            Ended::Refused(_) | Ended::Unwanted => lock(&self.half.fence).not_run(op),
            Ended::Lost(_) => lock(&self.half.fence).lost(op),
        }
        self.half.tell_ended();
        ended
    }

    fn refuse_once(&self, why: FenceRefusal, call: &CallFrame) -> Ended {
        log::info!(call = call.call.as_str(), why:? = why; "operation refused");
        // It may have run for an earlier offer, so this is no "not run".
        if why == FenceRefusal::Duplicate {
            return Ended::Lost(None);
        }
        refused(RefusalReason::Once, ONCE_RETRY_AFTER_US)
    }

    /// A suspect waits for its turn before it takes a slot.
    async fn take_slot_and_run(&self, call: CallFrame) -> Ended {
        let prints = OnceLock::new();
        let request = self.known_as(&call, &prints);
        let left_us = self.deadline.saturating_sub(self.core.clock.now());
        let turn = tokio::select! {
            turn = self.half.suspects.enter(request, left_us) => turn,
            _ = self.cancelled.recv_async() => Err(self.too_late()),
            () = self.link.closed() => Err(self.too_late()),
        };
        let _turn = match turn {
            Ok(turn) => turn,
            Err(refusal) => return Ended::Refused(refusal),
        };
        match self.take_slot(&call, request).await {
            Go::Refuse(refusal) => Ended::Refused(refusal),
            Go::Deliver => self.deliver_if_permitted(&call, request).await,
        }
    }

    /// Delivers a call that has a slot, unless something changed for which it may not go to the
    /// target any more.
    async fn deliver_if_permitted(
        &self,
        call: &CallFrame,
        request: Option<quarantine::Request<'_>>,
    ) -> Ended {
        if let Err(refusal) = self.permit(call, request) {
            self.done(None);
            return Ended::Refused(refusal);
        }
        let suspect = request.filter(|_| self.core.quarantine.any());
        let suspect = suspect.map(|request| request.prints());
        let ended = self.deliver(call, request).await;
        if let (Ended::Answer(..), Some(prints)) = (&ended, suspect) {
            self.core.quarantine.survived(&call.call, prints);
        }
        ended
    }

    /// A call as the quarantine knows it. A body that comes in pieces is not here to be named:
    /// its router looks at its beginning.
    fn known_as<'b>(
        &'b self,
        call: &'b CallFrame,
        prints: &'b OnceLock<RequestFingerprints>,
    ) -> Option<quarantine::Request<'b>> {
        call.to_come.is_none().then(|| quarantine::Request {
            quarantine: &self.core.quarantine,
            dialect: &self.core.dialect,
            call: &call.call,
            head: &call.head,
            body: &call.body,
            coverage: BodyCoverage::Whole,
            caller_service: call.caller_service.as_deref(),
            organisation: call
                .organisation
                .as_ref()
                .map(|calling| calling.name.as_str()),
            prints,
        })
    }

    /// Slots and hold: waits for a slot until the deadline, a cancellation, or
    /// the loss of the link that the call came on.
    async fn take_slot(&self, call: &CallFrame, request: Option<quarantine::Request<'_>>) -> Go {
        let terms = self.terms(call);
        self.ask_if_worth_it(&terms).await;
        let now = self.core.clock.now();
        let (sender, receiver) = flume::bounded(1);
        lock(&self.half.waiting).insert(self.id, sender);
        self.half.admit(AdmissionEvent::Offer {
            call: self.id,
            deadline: self.deadline,
            attributes: terms,
        });
        if let Ok(go) = receiver.try_recv() {
            return go;
        }
        let held_until = match call.goal_left_us {
            Some(_) => now + (self.deadline.saturating_sub(now) as f64 * HELD_PART) as Micros,
            None => self.deadline,
        };
        tokio::select! {
            Ok(go) = receiver.recv_async() => return go,
            refusal = self.forbidden(call, request) => return self.withdraw(&receiver, refusal),
            _ = self.cancelled.recv_async() => {}
            () = self.link.closed() => {}
            () = tokio::time::sleep_until(self.core.clock.instant(held_until)) => {}
        }
        self.withdraw(&receiver, self.too_late())
    }

    fn terms(&self, call: &CallFrame) -> CallAttributes {
        let now = self.core.clock.now();
        CallAttributes {
            goal: call.goal_left_us.map(|left_us| now + left_us),
            kind: call.kind,
            priority: combined_priority(call),
            nested: self.half.is_nested(call),
            elsewhere: call.elsewhere,
            share: call.share,
        }
    }

    /// Asks the target for its load before a call is offered to it, where what is known of
    /// it is so old that this is worth the question.
    async fn ask_if_worth_it(&self, terms: &CallAttributes) {
        let Some(goal) = terms.goal else { return };
        if asks_for_load(self.core, &self.settings) && self.half.should_ask(self.deadline, terms) {
            let path = &self.settings.load_path;
            let left_us = goal.saturating_sub(self.core.clock.now());
            let limit = Duration::from_micros(left_us / ASK_PART);
            self.half.ask_load(self.core, path, limit).await;
        }
    }

    /// Gives up the wait. A slot that was given meanwhile is given back.
    fn withdraw(&self, receiver: &flume::Receiver<Go>, refusal: Refusal) -> Go {
        self.half.admit(AdmissionEvent::Withdraw { call: self.id });
        lock(&self.half.waiting).remove(&self.id);
        if let Ok(Go::Deliver) = receiver.try_recv() {
            self.done(None);
        }
        Go::Refuse(refusal)
    }

    /// A call that was given up before it had a slot. Its router may wait for word of it.
    pub(super) fn too_late(&self) -> Refusal {
        Refusal {
            reason: RefusalReason::TooLate,
            retry_after_us: Micros::from(self.half.figures().service_us),
        }
    }
}

/// Priority of a call among those of a service: by organisation first, then by route.
fn combined_priority(call: &CallFrame) -> u32 {
    let organisation = call.organisation.as_ref();
    let organisation_priority =
        organisation.map_or(0, |calling| calling.priority.min(PRIORITY_LEVELS - 1));
    organisation_priority * PRIORITY_LEVELS + call.priority.min(PRIORITY_LEVELS - 1)
}
