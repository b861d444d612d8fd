//! Requests that fail wherever they run.
//!
//! A caller that repeats a request which no target can run would get one target after the
//! other ejected, and with the last one all other calls refused. A failure of a request that
//! failed at another target before, and was served by none since, is its own.

use crate::fingerprint::Fingerprint;
use crate::ids::{Micros, TargetId};

/// Requests remembered: few fail at the same time where targets are well, and where many do
/// the targets that fail them are charged for the rest. They take some 3 KiB.
const REQUESTS: usize = 64;
/// Time for which a failure is remembered, in microseconds: callers that repeat a request do
/// so within seconds.
const REMEMBERED_US: Micros = 30_000_000;

#[derive(Clone, Copy, Debug)]
struct Failing {
    request: Fingerprint,
    /// Where it failed first.
    target: TargetId,
    /// Whether it failed at another target since.
    also_elsewhere: bool,
    last_at: Micros,
}

/// Requests that failed and were not served since.
#[derive(Debug, Default)]
pub(super) struct OwnFailures {
    failing: Vec<Failing>,
}

impl OwnFailures {
    /// Whether any is remembered, so that requests which are served need to be named.
    pub(super) fn any(&mut self, now: Micros) -> bool {
        self.forget_old(now);
        !self.failing.is_empty()
    }

    /// A request failed at a target. Returns whether that is its own doing, as far as is known
    /// now: the first target is charged.
    pub(super) fn failed(&mut self, now: Micros, request: Fingerprint, target: TargetId) -> bool {
        self.forget_old(now);
        let known = self.failing.iter_mut().find(|one| one.request == request);
        if let Some(known) = known {
            known.last_at = now;
            known.also_elsewhere |= known.target != target;
            return known.also_elsewhere;
        }
        if self.failing.len() >= REQUESTS {
            self.forget_oldest();
        }
        self.failing.push(Failing {
            request,
            target,
            also_elsewhere: false,
            last_at: now,
        });
        false
    }

    /// A target served a request, so that those which fail it do so by themselves.
    pub(super) fn served(&mut self, request: Fingerprint) {
        self.failing.retain(|one| one.request != request);
    }

    fn forget_old(&mut self, now: Micros) {
        self.failing
            .retain(|one| now.saturating_sub(one.last_at) < REMEMBERED_US);
    }

    fn forget_oldest(&mut self) {
        let oldest = self.failing.iter().enumerate();
        let oldest = oldest.min_by_key(|(_, one)| one.last_at);
        if let Some((at, _)) = oldest {
            self.failing.swap_remove(at);
        }
    }
}
