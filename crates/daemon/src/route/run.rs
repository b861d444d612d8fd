//! One call's way through the router: choose → forward → answer, repeated as the
//! router's decisions say.
//!
//! The call's own task feeds the decisions with what it hears of its attempts
//! and carries out what they say. If the task is dropped because the caller went
//! away, what is out is cancelled.

use std::sync::{Arc, OnceLock};

use lynxcleat_once::Operation;
use lynxcleat_policy::{
    Action, AnswerStatus, AttemptId, BodyCoverage, CallId, CallKind, Event, Homes, Micros,
    NotRunReason, OfferShare, QuarantineStatus, RequestFingerprints, TargetExitId, TargetId,
    UnknownReason, Verdict,
};
use lynxcleat_wire::{Answer, CallingOrganisation, RequestHead};
use serde_bytes::ByteBuf;
use tokio::time::Instant;

use super::ahead::SentAhead;
use super::service::ServiceRouter;
use super::settle;
use super::upload::Upload;
use crate::core::Core;
use crate::explain::Trace;
use crate::mesh::{Signal, SignalKind};
use crate::quarantine;

/// Time past the deadline for a target's daemon to say that a call was not run.
const DEADLINE_GRACE_US: Micros = 5_000;

/// A call that is ready to be sent to a target.
#[derive(Clone)]
pub struct Outbound {
    /// Number of the call at this daemon.
    pub id: CallId,
    /// Name of the call, for logs and explanations.
    pub name: String,
    /// When its answer is no longer useful.
    pub deadline: Micros,
    /// Present for a call with effects.
    pub operation: Option<Operation>,
    /// Whether a further attempt is allowed.
    pub may_retry: bool,
    /// Targets it may be delivered to, where its route limits them.
    pub attempt_limit: Option<u32>,
    /// When its answer loses most of its worth, where its route says so.
    pub goal: Option<Micros>,
    /// What kind of call it is.
    pub kind: CallKind,
    /// Its rank; 0 is the highest.
    pub priority: u32,
    /// Where it may be served, as the generation says that it is pinned to.
    pub homes: Homes,
    /// Whether a target makes it while it runs a call of its own.
    pub nested: bool,
    /// Service of the host where it began, where targets want to know it.
    pub caller_service: Option<String>,
    /// The calling organisation, if its key was checked.
    pub organisation: Option<CallingOrganisation>,
    /// Generation of settings it is pinned to.
    pub generation: u64,
    /// Head of the request.
    pub head: RequestHead,
    /// Body of the request; empty where it comes in pieces.
    pub body: ByteBuf,
    /// Whether the body is sent in pieces, ahead of a slot at the target.
    pub ahead: bool,
    /// Present where the body is read once the target has a slot.
    pub upload: Option<Upload>,
}

/// What the caller is told.
#[derive(Clone, Debug, PartialEq)]
pub enum RouteVerdict {
    /// The target's answer.
    Answer(Answer),
    /// It was not run.
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

/// Routes a call and returns what its caller is told.
pub async fn run(core: &Arc<Core>, service: &Arc<ServiceRouter>, call: Outbound) -> RouteVerdict {
    run_until_gone(core, service, call, std::future::pending()).await
}

/// Routes a call. When `gone` says that its caller went away, the call is not sent
/// anywhere any more, and what was delivered goes on.
pub async fn run_until_gone(
    core: &Arc<Core>,
    service: &Arc<ServiceRouter>,
    call: Outbound,
    gone: impl Future<Output = ()>,
) -> RouteVerdict {
    let deadline = core.clock.instant(call.deadline);
    tokio::select! {
        _ = tokio::time::timeout_at(deadline, service.ready(core, &call.homes)) => {}
        () = core.withdrawal() => {}
    }
    let (sender, signals) = flume::unbounded();
    let prints = call.upload.as_ref().and_then(|upload| upload.prints);
    let mut in_hand = InHand {
        core,
        service,
        trace: Trace {
            call: call.name.clone(),
            service: service.name.clone(),
            generation: call.generation,
            homes: call.homes.names().to_vec(),
            ..Trace::default()
        },
        began: core.clock.now(),
        homes_of: call.generation,
        call,
        sender,
        attempts: Vec::new(),
        answer: None,
        share: None,
        prints: prints.map_or_else(OnceLock::new, OnceLock::from),
        finished: false,
    };
    let verdict = in_hand.drive(signals, gone).await;
    in_hand.finished = true;
    in_hand.keep_trace(&verdict);
    verdict
}

fn organisation_name(organisation: &Option<CallingOrganisation>) -> Option<&str> {
    organisation.as_ref().map(|calling| calling.name.as_str())
}

/// An attempt that was made.
pub(super) struct OutAttempt {
    pub(super) attempt: AttemptId,
    pub(super) target: TargetId,
    pub(super) sent_at: Micros,
    pub(super) link: Option<Arc<crate::mesh::Link>>,
    pub(super) ahead: Option<SentAhead>,
}

/// A call in hand.
pub(super) struct InHand<'a> {
    pub(super) core: &'a Arc<Core>,
    pub(super) service: &'a Arc<ServiceRouter>,
    pub(super) call: Outbound,
    pub(super) began: Micros,
    /// Generation of settings that its home regions are of.
    pub(super) homes_of: u64,
    pub(super) sender: flume::Sender<Signal>,
    pub(super) attempts: Vec<OutAttempt>,
    pub(super) answer: Option<(AttemptId, Answer)>,
    /// Share of the calls out of which the newest attempt is offered, if that decided.
    pub(super) share: Option<OfferShare>,
    pub(super) trace: Trace,
    pub(super) prints: OnceLock<RequestFingerprints>,
    pub(super) finished: bool,
}

impl InHand<'_> {
    async fn drive(
        &mut self,
        signals: flume::Receiver<Signal>,
        gone: impl Future<Output = ()>,
    ) -> RouteVerdict {
        let arrived = Event::Arrived {
            call: self.call.id,
            deadline: self.call.deadline,
            has_effects: self.call.operation.is_some(),
            may_retry: self.call.may_retry,
            attempt_limit: self.call.attempt_limit,
            goal: self.call.goal,
            kind: self.call.kind,
        };
        // A request that ended targets comes again under a new name. Offered as a new call, one
        // caller's repetitions ended 27 to 30 targets in 7 s; refused here, 3.
        if let Some(retry_after_us) = self.quarantined() {
            let reason = NotRunReason::Quarantined;
            self.core.metrics.quarantine_refusals.inc();
            self.trace.request = self.request_name();
            return RouteVerdict::NotRun {
                reason,
                retry_after_us,
            };
        }
        if !self.call.homes.is_anywhere() {
            self.bind();
        }
        if let Some(verdict) = self.feed(arrived) {
            return verdict;
        }
        let over = tokio::time::sleep_until(self.answered_by());
        let withdrawal = self.core.withdrawal();
        tokio::pin!(over, gone, withdrawal);
        let (mut is_gone, mut is_withdrawn) = (false, false);
        loop {
            let event = tokio::select! {
                biased;
                Ok(signal) = signals.recv_async() => match self.event(signal) {
                    Some(event) => event,
                    None => continue,
                },
                () = &mut gone, if !is_gone => {
                    is_gone = true;
                    Event::CallerDisconnected { call: self.call.id }
                }
                () = &mut withdrawal, if !is_withdrawn => {
                    is_withdrawn = true;
                    over.as_mut().reset(self.answered_by());
                    Event::Stopping { call: self.call.id }
                }
                () = &mut over => {
                    self.name_to_router();
                    Event::DeadlineExpired { call: self.call.id }
                }
            };
            self.hold_begun_body();
            self.hold_if_quarantined();
            if let Some(verdict) = self.feed(event) {
                return verdict;
            }
        }
    }

    /// When the call is answered at the latest: a little after its deadline, or earlier where the
    /// daemon stops.
    fn answered_by(&self) -> Instant {
        let over = self.call.deadline + DEADLINE_GRACE_US;
        let times = self.core.life.stop_times();
        let by = times.map_or(over, |times| over.min(times.answer_at));
        self.core.clock.instant(by)
    }

    /// Says that the call may not move, where some of its body was sent. What is fed next
    /// may end the attempt, so its body is begun now or not for this attempt.
    fn hold_begun_body(&mut self) {
        let call = self.call.id;
        if self.call.upload.as_ref().is_some_and(Upload::take_back) {
            self.decide(Event::BodyStarted { call });
        }
    }

    /// Says that the call goes nowhere else, where its request was quarantined meanwhile.
    fn hold_if_quarantined(&mut self) {
        let call = self.call.id;
        if let Some(retry_after_us) = self.quarantined() {
            self.decide(Event::Quarantined {
                call,
                retry_after_us,
            });
        }
    }

    /// For how much longer the request is offered to no target.
    fn quarantined(&self) -> Option<Micros> {
        match self.request()?.standing() {
            QuarantineStatus::Quarantined { remaining_us } => Some(remaining_us),
            QuarantineStatus::Clear | QuarantineStatus::Suspect => None,
        }
    }

    /// The call as the quarantine knows it. A body that is passed on in pieces is named only
    /// where its beginning was read before.
    pub(super) fn request(&self) -> Option<quarantine::Request<'_>> {
        let request = self.request_as_read();
        request.coverage.identifies_request().then_some(request)
    }

    /// The call with what was read of its body.
    fn request_as_read(&self) -> quarantine::Request<'_> {
        let call = &self.call;
        quarantine::Request {
            quarantine: &self.core.quarantine,
            dialect: &self.core.dialect,
            call: &call.name,
            head: &call.head,
            body: &call.body,
            coverage: self.coverage(),
            caller_service: call.caller_service.as_deref(),
            organisation: organisation_name(&call.organisation),
            prints: &self.prints,
        }
    }

    fn coverage(&self) -> BodyCoverage {
        match &self.call.upload {
            None => BodyCoverage::Whole,
            Some(upload) if upload.prints.is_some() => BodyCoverage::Beginning {
                length: upload.to_come.length,
            },
            Some(_) => BodyCoverage::Nothing,
        }
    }

    /// Feeds the decisions until they ask for nothing more at once.
    fn feed(&mut self, event: Event) -> Option<RouteVerdict> {
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            self.follow_homes();
            for action in self.decide(event) {
                match action {
                    Action::Send {
                        attempt,
                        target,
                        elsewhere,
                        ..
                    } => events.extend(self.send(attempt, target, elsewhere)),
                    Action::Settle {
                        attempt, target, ..
                    } => self.settle(attempt, target),
                    Action::Cancel { attempt, .. } => self.cancel(attempt),
                    Action::Withdraw { attempt, .. } => self.withdraw(attempt),
                    Action::Finish { verdict, .. } => return Some(self.verdict(verdict)),
                }
            }
        }
        None
    }

    /// A change of the settings binds a call that moves on.
    fn follow_homes(&mut self) {
        if self.core.settings.number() == self.homes_of {
            return;
        }
        let Some(in_force) = self.core.settings.current() else {
            return;
        };
        self.homes_of = in_force.generation.number;
        let (kind, service) = (self.call.kind, &self.service.name);
        let homes = in_force.homes_since(kind, service, &self.call.homes);
        if homes != self.call.homes {
            self.trace.homes = homes.names().to_vec();
            self.call.homes = homes;
            self.bind();
        }
    }

    /// Tells the decisions where the call may be served.
    fn bind(&mut self) {
        let (call, homes) = (self.call.id, self.call.homes.clone());
        self.decide(Event::HomesSet { call, homes });
    }

    /// Asks the target's daemon what became of an attempt whose link was lost.
    fn settle(&mut self, attempt: AttemptId, target: TargetId) {
        let Some(operation) = self.call.operation else {
            return;
        };
        let lost = self.out(attempt).and_then(|out| out.link.clone());
        let sender = self.sender.clone();
        let core = Arc::clone(self.core);
        let deadline = self.call.deadline;
        let mesh = self.service.mesh(target);
        tokio::spawn(async move {
            let (settlement, answer) = settle::settle(&core, mesh, lost, operation, deadline).await;
            let kind = SignalKind::Settled(settlement, answer);
            let _ = sender.send(Signal { attempt, kind });
        });
    }

    /// What a signal means to the decisions; nothing where they need not know.
    fn event(&mut self, signal: Signal) -> Option<Event> {
        let attempt = signal.attempt;
        Some(match signal.kind {
            SignalKind::Window(bytes) => {
                self.open_window(attempt, bytes);
                return None;
            }
            SignalKind::Answer {
                answer,
                figures,
                there_us,
                work_us,
            } => {
                let source = if answer.status >= 500 {
                    self.note("failed");
                    AnswerStatus::Failed
                } else {
                    self.note("served");
                    AnswerStatus::Served
                };
                if source == AnswerStatus::Failed || self.service.any_failing() {
                    self.name_to_router();
                }
                self.answer = Some((attempt, answer));
                if let Some(request) = self.request() {
                    request.survived();
                }
                self.tell_half(attempt, figures);
                Event::Answered {
                    attempt,
                    status: source,
                    load: figures,
                    remote_us: there_us,
                    work_us,
                }
            }
            SignalKind::Refused { refusal, figures } => {
                self.stop_sending(attempt);
                self.note(&format!("refused: {:?}", refusal.reason));
                self.tell_half(attempt, figures);
                Event::Refused {
                    attempt,
                    refusal,
                    load: figures,
                }
            }
            SignalKind::TargetLost { end } => {
                self.note(if end.is_some() {
                    "target ended"
                } else {
                    "answer lost"
                });
                match end {
                    Some(end) => self.target_ended(attempt, end),
                    None => self.name_to_router(),
                }
                Event::TargetLost { attempt }
            }
            SignalKind::LinkLost => {
                self.note("link lost");
                Event::LinkLost { attempt }
            }
            SignalKind::Settled(settlement, answer) => {
                self.note(&format!("link lost, settled: {settlement:?}"));
                if let Some(answer) = answer {
                    self.answer = Some((attempt, answer));
                }
                Event::Settled {
                    attempt,
                    settlement,
                }
            }
        })
    }

    /// Notes the request under which a target ended: it may come again under another name. One
    /// whose body was not read is noted too, so that bodies are read before they are passed on.
    fn target_ended(&mut self, attempt: AttemptId, end: TargetExitId) {
        let Some(sent_at) = self.out(attempt).map(|out| out.sent_at) else {
            return;
        };
        let request = self.request_as_read();
        request.ended(end, sent_at);
        let name = request.prints().full.to_string();
        self.trace.request = name;
    }

    /// Says what the request holds, so that what it fails by itself is charged to no target.
    fn name_to_router(&mut self) {
        let call = self.call.id;
        let Some(request) = self.request().map(|request| request.prints().full) else {
            return;
        };
        self.decide(Event::Fingerprinted { call, request });
    }

    fn verdict(&mut self, verdict: Verdict) -> RouteVerdict {
        match verdict {
            Verdict::Answer { attempt } => match self.answer.take() {
                Some((of, answer)) if of == attempt => RouteVerdict::Answer(answer),
                _ => RouteVerdict::Unknown {
                    reason: UnknownReason::TargetLost,
                },
            },
            Verdict::NotRun {
                reason,
                retry_after_us,
            } => RouteVerdict::NotRun {
                reason,
                retry_after_us,
            },
            Verdict::Unknown { reason } => RouteVerdict::Unknown { reason },
        }
    }
}

impl Drop for InHand<'_> {
    fn drop(&mut self) {
        if self.finished {
            return;
        }
        let call = self.call.id;
        for action in self.decide(Event::CallerDisconnected { call }) {
            if let Action::Cancel { attempt, .. } = action {
                self.cancel(attempt);
            }
        }
    }
}
