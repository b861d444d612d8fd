//! Finding out what became of an operation, after its guard was lost or after
//! its guard itself could not tell.

use std::sync::Arc;

use lynxcleat_once::{FenceReply, Outcome, Recovery, RecoveryStatus, Ticket};
use lynxcleat_policy::Micros;
use lynxcleat_store::{Put, Txn, UnsettledRow, unsettled_key};
use lynxcleat_wire::Answer;
use serde_json::json;

use super::run::{OnceCall, call_keeping};
use super::state::OnceVerdict;
use crate::core::Core;
use crate::homes;
use crate::metrics::count;
use crate::route::fence_at;
use crate::sync::lock;

/// Hint for callers whose operation could not be settled yet.
const UNSETTLED_RETRY_AFTER_US: Micros = 1_000_000;
/// Hint for callers whose operation is settled as not run.
const SETTLED_RETRY_AFTER_US: Micros = 100_000;

/// The guard is gone: every target half of the service is asked to fence the
/// operation. What cannot be settled goes into the audit trail.
pub async fn recover(core: &Arc<Core>, ticket: &Ticket, call: &OnceCall) -> OnceVerdict {
    let outcome = ask_all(core, ticket, call).await;
    let kind = match &outcome {
        Outcome::Ran(_) => "recovered-ran",
        Outcome::NotRun => "recovered-not-run",
        Outcome::Unknown => "recovered-unknown",
    };
    count(&core.metrics.settled, kind);
    log::info!(call = call.call.name.as_str(), kind; "guard lost");
    match outcome {
        Outcome::Ran(answer) => OnceVerdict::Ran {
            answer,
            replayed: true,
        },
        Outcome::NotRun => OnceVerdict::Fenced {
            retry_after_us: SETTLED_RETRY_AFTER_US,
        },
        Outcome::Unknown => {
            report(core, ticket, call);
            OnceVerdict::Unknown {
                retry_after_us: UNSETTLED_RETRY_AFTER_US,
            }
        }
    }
}

/// Our own record says "unknown": the halves may know by now.
pub async fn settle_own(core: &Arc<Core>, ticket: &Ticket, call: &OnceCall) -> OnceVerdict {
    let verdict = recover(core, ticket, call).await;
    let keeping = call_keeping(&call.call, &call.service);
    let mut guard = lock(&core.once.guard);
    match &verdict {
        OnceVerdict::Ran { answer, .. } if homes::may_keep(core, &keeping) => {
            let kept = keeping.keep(answer.clone());
            guard.settled(ticket.op, Outcome::Ran(kept), answer.size());
        }
        OnceVerdict::Fenced { .. } => guard.settled(ticket.op, Outcome::NotRun, 0),
        _ => {}
    }
    verdict
}

async fn ask_all(core: &Arc<Core>, ticket: &Ticket, call: &OnceCall) -> Outcome<Answer> {
    let service = &call.service.name;
    let halves: Vec<String> = core
        .hosts
        .of_service(service)
        .into_iter()
        .map(|entry| entry.mesh)
        .collect();
    let all_known =
        lock(&core.once.roster).covers(service, ticket.minted_ms, core.once.list_lag_ms());
    let (sender, replies) = flume::unbounded();
    for mesh in &halves {
        let sender = sender.clone();
        let core = Arc::clone(core);
        let mesh = mesh.clone();
        let operation = core.once.operation(ticket);
        tokio::spawn(async move {
            let reply = fence_at(&core, &mesh, None, operation).await;
            let _ = sender.send((mesh, reply));
        });
    }
    drop(sender);
    let recovery = Recovery::new(halves, all_known);
    collect(core, call, recovery, replies).await
}

async fn collect(
    core: &Core,
    call: &OnceCall,
    mut recovery: Recovery<String>,
    replies: flume::Receiver<(String, FenceReply<Answer>)>,
) -> Outcome<Answer> {
    let until = core.clock.instant(call.call.deadline);
    let mut step = recovery.status();
    while step == RecoveryStatus::Waiting {
        step = match tokio::time::timeout_at(until, replies.recv_async()).await {
            Ok(Ok((mesh, reply))) => recovery.replied(&mesh, reply),
            _ => recovery.timed_out(),
        };
    }
    match step {
        RecoveryStatus::Done(outcome) => outcome,
        RecoveryStatus::Waiting => Outcome::Unknown,
    }
}

/// Writes an unsettled operation into the audit trail, for people to settle. Once
/// for each operation: its caller may ask again every second.
fn report(core: &Arc<Core>, ticket: &Ticket, call: &OnceCall) {
    if !core.once.is_first_report(ticket.op) {
        return;
    }
    let when_ms = core.clock.wall_ms();
    let text = core.once.key.sign(ticket);
    let operation = format!("{}-{:x}", ticket.op.incarnation, ticket.op.seq);
    let row = UnsettledRow {
        host: core.config.host.clone(),
        service: call.service.name.clone(),
        ticket: text,
        reason: "the guard is lost and not every target could be asked".to_owned(),
        when_ms,
    };
    let put = Put {
        key: unsettled_key(ticket.minted_ms, &operation),
        value: json!(row),
        ttl_ms: None,
    };
    let txn = Txn {
        checks: Vec::new(),
        puts: vec![put],
    };
    let platform = core.platform.clone();
    tokio::task::spawn_blocking(move || {
        if let Err(error) = platform.write(&txn) {
            log::error!(operation; "unsettled operation not written: {error}");
        }
    });
}
