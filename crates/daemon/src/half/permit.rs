//! Whether a call may still go to the target.
//!
//! What a decision took as true may change while the call waits: for its turn, a slot, a
//! connection, or the first piece of its body. So one function answers from what stands now. It is
//! asked when a call arrives, whenever something changes while it waits, after each wait, and
//! right before its first bytes are written.

use lynxcleat_policy::{Micros, Refusal, RefusalReason};
use lynxcleat_wire::CallFrame;

use super::serve::{
    Incoming, LEAVING_RETRY_AFTER_US, NOT_READY_RETRY_AFTER_US, OUTSIDE_RETRY_AFTER_US,
    STOPPING_RETRY_AFTER_US,
};
use super::suspects;
use crate::homes;
use crate::quarantine;

/// What a call that is written now is written with.
pub(super) struct Permit {
    /// The incarnation of the target in place, where it has a name.
    pub instance: Option<String>,
    /// Time until the call's deadline.
    pub left_us: Micros,
}

impl Incoming<'_> {
    /// Why the call may not be served here, as far as the target's state does not matter: its
    /// service, its home regions, the version of the target, and its request.
    pub(super) fn misplaced(
        &self,
        call: &CallFrame,
        request: Option<quarantine::Request<'_>>,
    ) -> Option<Refusal> {
        let refused = |reason, retry_after_us| {
            Some(Refusal {
                reason,
                retry_after_us,
            })
        };
        if let Some(refusal) = request.and_then(|request| suspects::refusal(&request)) {
            return Some(refusal);
        }
        if call.service != self.half.service(self.core) {
            return refused(RefusalReason::WrongService, NOT_READY_RETRY_AFTER_US);
        }
        if !homes::may_serve(self.core, self.link, call) {
            homes::log_refused(self.core, self.link, call);
            return refused(RefusalReason::OutsideHome, OUTSIDE_RETRY_AFTER_US);
        }
        if !self.core.rollouts.admits(call.canary) {
            return refused(RefusalReason::Version, NOT_READY_RETRY_AFTER_US);
        }
        None
    }

    /// What the call is written with if it is written now.
    ///
    /// # Errors
    /// Why it may not go to the target any more. None of it was written.
    pub(super) fn permit(
        &self,
        call: &CallFrame,
        request: Option<quarantine::Request<'_>>,
    ) -> Result<Permit, Refusal> {
        if let Some(refusal) = self.misplaced(call, request) {
            return Err(refusal);
        }
        let leaving = Refusal {
            reason: RefusalReason::Leaving,
            retry_after_us: LEAVING_RETRY_AFTER_US,
        };
        let life = &self.core.life;
        if life.is_target_leaving() {
            return Err(leaving);
        }
        if life.leaves_for_stop() && !life.outlasts(self.deadline) {
            return Err(Refusal {
                reason: RefusalReason::Busy,
                retry_after_us: STOPPING_RETRY_AFTER_US,
            });
        }
        let instance = self.half.instance_for_call().ok_or(leaving)?;
        let left_us = self.deadline.saturating_sub(self.core.clock.now());
        match left_us {
            0 => Err(self.too_late()),
            left_us => Ok(Permit { instance, left_us }),
        }
    }

    /// Returns once something changes for which the call may not go to the target any more.
    pub(super) async fn forbidden(
        &self,
        call: &CallFrame,
        request: Option<quarantine::Request<'_>>,
    ) -> Refusal {
        let mut raised = self.core.settings.subscribe();
        let mut target = self.half.changes();
        loop {
            if let Err(refusal) = self.permit(call, request) {
                return refusal;
            }
            let changed = tokio::select! {
                changed = raised.changed() => changed,
                changed = target.changed() => changed,
            };
            if changed.is_err() {
                return std::future::pending().await;
            }
        }
    }
}
