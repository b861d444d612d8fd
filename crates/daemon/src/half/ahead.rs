//! Bodies that are sent ahead: their call is offered to the target once all of it is here, so
//! that it takes no slot while it crosses the link.

use std::sync::Arc;

use lynxcleat_policy::{Refusal, RefusalReason};
use lynxcleat_wire::CallFrame;

use super::bodies::{BodyCut, Expected};
use super::cut::note_cut;
use super::serve::BODY_RETRY_AFTER_US;
use crate::core::Core;
use crate::mesh::Link;

/// Expects the body of a call that is sent ahead. Nothing for other calls.
pub(super) fn expect(core: &Core, link: &Arc<Link>, call: &CallFrame) -> Option<Expected> {
    let to_come = call.to_come.filter(|to_come| to_come.ahead)?;
    let length = usize::try_from(to_come.length?).ok()?;
    let bodies = &core.half.bodies;
    Some(bodies.expect(link, call.attempt, (to_come, length)))
}

/// Waits for the body of a call that is sent ahead, and returns the call with it. The time that
/// this takes is part of the call's.
///
/// # Errors
/// A body that does not come, or is too large to be held. The call was not run.
pub(super) async fn collect(
    core: &Core,
    mut call: CallFrame,
    expected: Option<Expected>,
    (link, cancelled): (&Link, &flume::Receiver<()>),
) -> Result<CallFrame, Refusal> {
    let Some(expected) = expected else {
        return Ok(call);
    };
    let refused = |reason| Refusal {
        reason,
        retry_after_us: BODY_RETRY_AFTER_US,
    };
    if core.half.bodies.is_behind() && !call.elsewhere.is_nowhere() {
        return Err(refused(RefusalReason::Busy));
    }
    let length = call.to_come.and_then(|to_come| to_come.length).unwrap_or(0);
    let own = core
        .half
        .settings()
        .ok_or(refused(RefusalReason::TargetDown))?;
    let is_allowed = length <= own.body_limit_bytes as u64;
    let room = core.bodies.take(length as usize, own.body_memory_bytes);
    let _room = room
        .filter(|_| is_allowed)
        .ok_or(refused(RefusalReason::Full))?;
    let arrived = core.clock.now();
    let over = core.clock.instant(arrived + call.left_us);
    let (whole, ended_by) = tokio::select! {
        whole = expected.collect() => (whole, "sender"),
        _ = cancelled.recv_async() => (Err(BodyCut), "sender"),
        () = link.closed() => (Err(BodyCut), "link"),
        () = tokio::time::sleep_until(over) => (Err(BodyCut), "deadline"),
        never = core.half.bodies.go_on() => never,
    };
    call.body = whole.map_err(|BodyCut| {
        note_cut(core, (&call.call, link), &expected, ended_by);
        refused(RefusalReason::TooLate)
    })?;
    call.to_come = None;
    let took = core.clock.now().saturating_sub(arrived);
    call.left_us = call.left_us.saturating_sub(took);
    call.goal_left_us = call
        .goal_left_us
        .map(|left_us| left_us.saturating_sub(took));
    Ok(call)
}
