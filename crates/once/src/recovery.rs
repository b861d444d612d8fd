//! Recovery of the outcome of an operation whose guard was lost.
//!
//! The daemon of every target of the service is asked to fence the operation. One that
//! ran it returns its answer. The operation counts as not run only if all of them were
//! reached, all reply [`FenceReply::Never`], and no other target could have run it.

use std::collections::HashSet;

use crate::fence::FenceReply;
use crate::guard::Outcome;

/// Progress of a recovery.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RecoveryStatus<A> {
    /// Some replies are outstanding.
    Waiting,
    /// It ended with this outcome.
    Done(Outcome<A>),
}

/// The recovery of one operation; `T` identifies a target's daemon.
#[derive(Debug)]
pub struct Recovery<T> {
    outstanding: HashSet<T>,
    targets_complete: bool,
    inconclusive: bool,
}

impl<T: Eq + std::hash::Hash> Recovery<T> {
    /// Creates a recovery that asks `targets`. `targets_complete` states whether these
    /// include every target that was alive at any time since the ticket was minted.
    pub fn new(targets: impl IntoIterator<Item = T>, targets_complete: bool) -> Self {
        Recovery {
            outstanding: targets.into_iter().collect(),
            targets_complete,
            inconclusive: false,
        }
    }

    /// Returns the outcome once no reply is outstanding.
    pub fn status<A>(&self) -> RecoveryStatus<A> {
        if !self.outstanding.is_empty() {
            return RecoveryStatus::Waiting;
        }
        let outcome = if self.targets_complete && !self.inconclusive {
            Outcome::NotRun
        } else {
            Outcome::Unknown
        };
        RecoveryStatus::Done(outcome)
    }

    /// Records a reply. A reply that is not outstanding is ignored, unless it carries
    /// the operation's answer.
    pub fn replied<A>(&mut self, target: &T, reply: FenceReply<A>) -> RecoveryStatus<A> {
        let was_outstanding = self.outstanding.remove(target);
        match reply {
            FenceReply::Ran(answer) => return RecoveryStatus::Done(Outcome::Ran(answer)),
            FenceReply::Never => {}
            FenceReply::NeverSinceStart | FenceReply::Running | FenceReply::Unknown => {
                self.inconclusive |= was_outstanding;
            }
        }
        self.status()
    }

    /// Records that a target's daemon cannot be reached.
    pub fn unreachable<A>(&mut self, target: &T) -> RecoveryStatus<A> {
        if self.outstanding.remove(target) {
            self.inconclusive = true;
        }
        self.status()
    }

    /// Ends the recovery at its deadline, without the outstanding replies.
    pub fn timed_out<A>(&mut self) -> RecoveryStatus<A> {
        self.inconclusive |= !self.outstanding.is_empty();
        self.outstanding.clear();
        self.status()
    }
}
