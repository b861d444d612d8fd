//! Detection of requests that fail at every target.
//!
//! If such failures counted against targets, a caller that repeats a request which no target
//! can serve would eject one target after the other until all other calls are refused. A
//! request that failed at two targets and was served by none since is therefore taken to cause
//! its failures itself.

use crate::fingerprint::Fingerprint;
use crate::ids::{Micros, TargetId};

/// Maximum number of requests tracked, some 3 KiB. Few requests fail at the same time if the
/// targets are healthy; if many fail, those not tracked count against their targets.
const MAX_REQUESTS: usize = 64;
/// How long a failure is tracked, in microseconds. Callers that repeat a request do so within
/// seconds.
const RETENTION_US: Micros = 30_000_000;

#[derive(Clone, Copy, Debug)]
struct FailingRequest {
    request: Fingerprint,
    /// Where it failed first.
    target: TargetId,
    /// Whether it has failed at another target since.
    failed_elsewhere: bool,
    last_at: Micros,
}

/// Requests that failed and were not served since.
#[derive(Debug, Default)]
pub(super) struct RequestFailures {
    failing: Vec<FailingRequest>,
}

impl RequestFailures {
    /// Whether any request is tracked, so that served requests need a fingerprint.
    pub(super) fn any(&mut self, now: Micros) -> bool {
        self.remove_expired(now);
        !self.failing.is_empty()
    }

    /// Records that a request failed at a target. Returns whether the request has failed at
    /// more than one target; the first failure counts against its target.
    pub(super) fn record_failure(
        &mut self,
        now: Micros,
        request: Fingerprint,
        target: TargetId,
    ) -> bool {
        self.remove_expired(now);
        let known = self.failing.iter_mut().find(|one| one.request == request);
        if let Some(known) = known {
            known.last_at = now;
            known.failed_elsewhere |= known.target != target;
            return known.failed_elsewhere;
        }
        if self.failing.len() >= MAX_REQUESTS {
            self.remove_oldest();
        }
        self.failing.push(FailingRequest {
            request,
            target,
            failed_elsewhere: false,
            last_at: now,
        });
        false
    }

    /// Records that a target served a request. Targets that fail it are at fault themselves.
    pub(super) fn record_success(&mut self, request: Fingerprint) {
        self.failing.retain(|one| one.request != request);
    }

    fn remove_expired(&mut self, now: Micros) {
        self.failing
            .retain(|one| now.saturating_sub(one.last_at) < RETENTION_US);
    }

    fn remove_oldest(&mut self) {
        let oldest = self.failing.iter().enumerate();
        let oldest = oldest.min_by_key(|(_, one)| one.last_at);
        if let Some((at, _)) = oldest {
            self.failing.swap_remove(at);
        }
    }
}
