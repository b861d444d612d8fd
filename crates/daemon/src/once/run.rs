//! The once-only guard filter: first use, repetition, passing on to the guard.

use std::sync::Arc;

use lynxcleat_once::{BeginResult, GuardRefusal, OpId, Outcome, Ticket};
use lynxcleat_policy::{AttemptId, Elsewhere, Micros, NotRunReason, RefusalReason};
use lynxcleat_wire::{CallFrame, Frame, GuardedVerdict};

use super::claimed::{ClaimError, Claimed};
use super::state::OnceVerdict;
use super::{claims, recover};
use crate::core::Core;
use crate::homes;
use crate::kept::Keeping;
use crate::mesh::{Link, Links};
use crate::route::{Outbound, RouteVerdict, ServiceRouter, run as route};
use crate::sync::lock;

/// Hint for callers whose operation still runs.
const RUNNING_RETRY_AFTER_US: Micros = 500_000;
/// Time past a caller's deadline for the run's own end to be told.
const END_GRACE_US: Micros = 50_000;
/// Hint for callers while the memory of operations is full.
const FULL_RETRY_AFTER_US: Micros = 5_000_000;

/// A call that must run at most once.
#[derive(Clone)]
pub struct OnceCall {
    /// The call.
    pub call: Outbound,
    /// Router of its service.
    pub service: Arc<ServiceRouter>,
}

/// Runs a call under a ticket, here or at the guard that minted it.
pub async fn run(core: &Arc<Core>, ticket: Ticket, call: OnceCall) -> OnceVerdict {
    if ticket.op.incarnation == core.me.incarnation {
        return run_here(core, ticket, call).await;
    }
    match pass_on(core, &ticket, &call).await {
        Some(verdict) => verdict,
        None => recover::recover(core, &ticket, &call).await,
    }
}

/// Runs a call under a plain key: the ticket that the table has for the key
/// decides which guard runs it.
pub async fn run_keyed(core: &Arc<Core>, key: String, call: OnceCall) -> OnceVerdict {
    let service = call.service.name.clone();
    // A claim that is written too late binds the key to a ticket that was never
    // used; the caller's next try runs under it.
    let until = core.clock.instant(call.call.deadline);
    let claiming = tokio::time::timeout_at(until, claims::claim(core, &service, &key));
    let claimed = match claiming.await.unwrap_or(Err(ClaimError::TooSlow)) {
        Ok(claimed) => claimed,
        Err(error) => {
            log::warn!(call = call.call.name.as_str(); "claim: {error}");
            let retry_after_us = error.retry_after_us();
            return OnceVerdict::NoClaim { retry_after_us };
        }
    };
    let Claimed { ticket, version } = claimed;
    let verdict = run(core, ticket.clone(), call.clone()).await;
    if !matches!(verdict, OnceVerdict::Fenced { .. }) {
        return verdict;
    }
    // The key may run under a ticket of ours now.
    match claims::replace(core, &service, &key, version).await {
        Ok(own) => run(core, own, call).await,
        Err(_) => verdict,
    }
}

async fn run_here(core: &Arc<Core>, ticket: Ticket, call: OnceCall) -> OnceVerdict {
    let (sender, ended) = flume::bounded(1);
    let begin = {
        let mut waiting = lock(&core.once.waiting);
        let begin = lock(&core.once.guard).begin(core.clock.wall_ms(), &ticket);
        if matches!(begin, BeginResult::Run | BeginResult::Running) {
            waiting.entry(ticket.op).or_default().push(sender);
        }
        begin
    };
    match begin {
        BeginResult::Run => {
            start(core, &ticket, &call);
            wait_for_end(core, &call, ended).await
        }
        BeginResult::Running => wait_for_end(core, &call, ended).await,
        BeginResult::Ran(kept) => OnceVerdict::Ran {
            answer: kept.answer,
            replayed: true,
        },
        BeginResult::Unknown => recover::settle_own(core, &ticket, &call).await,
        BeginResult::Refused(GuardRefusal::MemoryFull) => OnceVerdict::MemoryFull {
            retry_after_us: FULL_RETRY_AFTER_US,
        },
        BeginResult::Refused(GuardRefusal::WrongIncarnation) => OnceVerdict::Unknown {
            retry_after_us: RUNNING_RETRY_AFTER_US,
        },
    }
}

/// Runs the operation in a task of its own, so that it goes on when its caller
/// goes away.
fn start(core: &Arc<Core>, ticket: &Ticket, call: &OnceCall) {
    let core = Arc::clone(core);
    let op = ticket.op;
    let service = Arc::clone(&call.service);
    let mut outbound = call.call.clone();
    outbound.operation = Some(core.once.operation(ticket));
    let busy = core.life.calls.enter();
    tokio::spawn(async move {
        let keeping = call_keeping(&outbound, &service);
        let verdict = route(&core, &service, outbound).await;
        finish(&core, op, verdict, &keeping);
        drop(busy);
    });
}

/// What decides whether a call's answer may be kept.
pub(super) fn call_keeping(call: &Outbound, service: &ServiceRouter) -> Keeping {
    Keeping {
        kind: call.kind,
        service: service.name.clone(),
        homes: call.homes.clone(),
    }
}

/// Records the outcome and tells everyone who waits for it. The first waiter is
/// the one for whom it ran. A guard that must not keep the answer asks the targets'
/// daemons when the operation is repeated.
fn finish(core: &Core, op: OpId, verdict: RouteVerdict, keeping: &Keeping) {
    let (outcome, size, told) = match verdict {
        RouteVerdict::Answer(answer) => {
            let told = OnceVerdict::Ran {
                answer: answer.clone(),
                replayed: false,
            };
            let size = answer.size();
            (Outcome::Ran(keeping.keep(answer)), size, told)
        }
        RouteVerdict::NotRun {
            reason,
            retry_after_us,
        } => {
            let told = OnceVerdict::NotRun {
                reason,
                retry_after_us,
            };
            (Outcome::NotRun, 0, told)
        }
        RouteVerdict::Unknown { .. } => {
            let retry_after_us = RUNNING_RETRY_AFTER_US;
            (Outcome::Unknown, 0, OnceVerdict::Unknown { retry_after_us })
        }
    };
    let mut waiting = lock(&core.once.waiting);
    let mut guard = lock(&core.once.guard);
    match outcome {
        Outcome::Ran(_) if !homes::may_keep(core, keeping) => {
            guard.finished(op, Outcome::Unknown, 0)
        }
        outcome => guard.finished(op, outcome, size),
    }
    drop(guard);
    for (nth, waiter) in waiting.remove(&op).into_iter().flatten().enumerate() {
        let _ = waiter.send(told.clone().for_waiter(nth));
    }
}

impl OnceVerdict {
    fn for_waiter(mut self, nth: usize) -> Self {
        if let OnceVerdict::Ran { replayed, .. } = &mut self {
            *replayed = nth > 0;
        }
        self
    }
}

async fn wait_for_end(
    core: &Core,
    call: &OnceCall,
    ended: flume::Receiver<OnceVerdict>,
) -> OnceVerdict {
    // The run itself ends shortly after its own deadline, which may be later
    // than that of a caller who repeats it.
    let until = core.clock.instant(call.call.deadline + END_GRACE_US);
    match tokio::time::timeout_at(until, ended.recv_async()).await {
        Ok(Ok(verdict)) => verdict,
        _ => OnceVerdict::Unknown {
            retry_after_us: RUNNING_RETRY_AFTER_US,
        },
    }
}

/// Passes a call on to the guard. `None` where the guard is lost.
async fn pass_on(core: &Arc<Core>, ticket: &Ticket, call: &OnceCall) -> Option<OnceVerdict> {
    let link = Links::dial(core, &ticket.guard).await.ok()?;
    if link.peer.incarnation != ticket.op.incarnation {
        return None;
    }
    let frame = call_frame(core, call);
    let ticket = ticket.clone();
    let asked = link.ask(|ask| Frame::Guarded {
        ask,
        ticket,
        call: Box::new(frame),
    });
    let until = core.clock.instant(call.call.deadline + 2 * END_GRACE_US);
    let reply = match tokio::time::timeout_at(until, asked).await {
        Ok(Ok(Frame::GuardedReply { verdict, .. })) => verdict,
        Ok(_) => return None,
        Err(_) => GuardedVerdict::Unknown,
    };
    match reply {
        GuardedVerdict::Ran { answer, replayed } => Some(OnceVerdict::Ran { answer, replayed }),
        GuardedVerdict::NotRun {
            reason,
            retry_after_us,
        } => Some(OnceVerdict::NotRun {
            reason,
            retry_after_us,
        }),
        GuardedVerdict::Unknown => Some(OnceVerdict::Unknown {
            retry_after_us: RUNNING_RETRY_AFTER_US,
        }),
        GuardedVerdict::MemoryFull => Some(OnceVerdict::MemoryFull {
            retry_after_us: FULL_RETRY_AFTER_US,
        }),
        GuardedVerdict::NotMine => None,
    }
}

fn call_frame(core: &Core, call: &OnceCall) -> CallFrame {
    let outbound = &call.call;
    CallFrame {
        attempt: AttemptId(0),
        number: 1,
        notice: None,
        share: None,
        call: outbound.name.clone(),
        service: call.service.name.clone(),
        kind: outbound.kind,
        priority: outbound.priority,
        nested: outbound.nested,
        homes: outbound.homes.clone(),
        canary: false,
        elsewhere: Elsewhere::Nowhere,
        goal_left_us: None,
        left_us: outbound.deadline.saturating_sub(core.clock.now()),
        operation: None,
        caller_service: None,
        organisation: outbound.organisation.clone(),
        head: outbound.head.clone(),
        body: outbound.body.clone(),
        to_come: None,
    }
}

/// Runs a call that another daemon passed on to this guard.
pub fn spawn_guarded(
    core: &Arc<Core>,
    link: &Arc<Link>,
    ask: u64,
    ticket: Ticket,
    frame: CallFrame,
) {
    let core = Arc::clone(core);
    let link = Arc::clone(link);
    let busy = core.life.calls.enter();
    tokio::spawn(async move {
        let number = frame.number;
        let verdict = for_sender(number, guarded(&core, ticket, frame).await);
        let _ = link.send(Frame::GuardedReply { ask, verdict });
        drop(busy);
    });
}

/// What the daemon that passed a call on is told; one of an earlier build does not know every
/// reason.
fn for_sender(number: u32, verdict: GuardedVerdict) -> GuardedVerdict {
    match verdict {
        GuardedVerdict::NotRun {
            reason: NotRunReason::Refused(reason),
            retry_after_us,
        } if number == 0 => GuardedVerdict::NotRun {
            reason: NotRunReason::Refused(reason.or_known_before()),
            retry_after_us,
        },
        verdict => verdict,
    }
}

async fn guarded(core: &Arc<Core>, ticket: Ticket, frame: CallFrame) -> GuardedVerdict {
    if ticket.op.incarnation != core.me.incarnation {
        return GuardedVerdict::NotMine;
    }
    let in_force = core.settings.current();
    let effective = in_force.as_ref().and_then(|f| f.service(&frame.service));
    let (Some(in_force), Some(effective)) = (in_force, effective) else {
        return GuardedVerdict::NotRun {
            reason: NotRunReason::NoTarget,
            retry_after_us: RUNNING_RETRY_AFTER_US,
        };
    };
    let call = OnceCall {
        service: core.routers.get(core, &frame.service, &effective),
        call: Outbound {
            id: core.new_call_id(),
            name: frame.call,
            deadline: core.clock.now() + frame.left_us,
            operation: None,
            may_retry: true,
            attempt_limit: None,
            goal: None,
            kind: frame.kind,
            priority: frame.priority,
            homes: in_force
                .homes(frame.kind, &frame.service)
                .intersection(&frame.homes),
            nested: frame.nested,
            caller_service: None,
            organisation: frame.organisation,
            generation: in_force.generation.number,
            head: frame.head,
            body: frame.body,
            ahead: false,
            upload: None,
        },
    };
    match run_here(core, ticket, call).await {
        OnceVerdict::Ran { answer, replayed } => GuardedVerdict::Ran { answer, replayed },
        OnceVerdict::NotRun {
            reason,
            retry_after_us,
        } => GuardedVerdict::NotRun {
            reason,
            retry_after_us,
        },
        OnceVerdict::MemoryFull { .. } => GuardedVerdict::MemoryFull,
        OnceVerdict::Fenced { retry_after_us } => GuardedVerdict::NotRun {
            reason: NotRunReason::Refused(RefusalReason::Once),
            retry_after_us,
        },
        OnceVerdict::Unknown { .. } | OnceVerdict::NoClaim { .. } => GuardedVerdict::Unknown,
    }
}
