//! Finding out what became of an operation whose guard is gone.
//!
//! Every target half of the service is asked to fence it. One that ran it gives
//! its answer. Only if all were reached, all say "never here", and the asker
//! knows that these are all, was it not run.

use std::collections::HashSet;

use crate::fence::FenceReply;
use crate::guard::Outcome;

/// Where a recovery stands.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RecoveryStep<A> {
    /// Replies are missing.
    Waiting,
    /// It is over.
    Over(Outcome<A>),
}

/// One recovery; `H` names a half.
#[derive(Debug)]
pub struct Recovery<H> {
    missing: HashSet<H>,
    all_known: bool,
    doubt: bool,
}

impl<H: Eq + std::hash::Hash> Recovery<H> {
    /// A recovery that asks `halves`. `all_known` says whether these are all
    /// that were alive since the ticket was minted.
    pub fn new(halves: impl IntoIterator<Item = H>, all_known: bool) -> Self {
        Recovery {
            missing: halves.into_iter().collect(),
            all_known,
            doubt: false,
        }
    }

    /// Where it stands before any further reply.
    pub fn step<A>(&self) -> RecoveryStep<A> {
        if !self.missing.is_empty() {
            return RecoveryStep::Waiting;
        }
        let outcome = if self.all_known && !self.doubt {
            Outcome::NotRun
        } else {
            Outcome::Unknown
        };
        RecoveryStep::Over(outcome)
    }

    /// A half replied. A reply that was not waited for counts for nothing,
    /// unless it is an answer.
    pub fn replied<A>(&mut self, half: &H, reply: FenceReply<A>) -> RecoveryStep<A> {
        let waited = self.missing.remove(half);
        match reply {
            FenceReply::Ran(answer) => return RecoveryStep::Over(Outcome::Ran(answer)),
            FenceReply::Never => {}
            FenceReply::NeverSinceStart | FenceReply::Running | FenceReply::Unknown => {
                self.doubt |= waited;
            }
        }
        self.step()
    }

    /// A half cannot be reached.
    pub fn unreachable<A>(&mut self, half: &H) -> RecoveryStep<A> {
        if self.missing.remove(half) {
            self.doubt = true;
        }
        self.step()
    }

    /// The time for the recovery is over.
    pub fn give_up<A>(&mut self) -> RecoveryStep<A> {
        self.doubt |= !self.missing.is_empty();
        self.missing.clear();
        self.step()
    }
}
