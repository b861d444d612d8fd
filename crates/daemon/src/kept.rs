//! Answers of once-only operations that are kept, and how long they may be.
//!
//! A call's answer may be kept in its home regions only. When these change, a daemon that
//! is outside from then on forgets the answer, and still knows that the operation ran.

use lynxcleat_policy::{CallKind, Homes};
use lynxcleat_wire::Answer;

/// An answer with what decides on its home regions.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Kept {
    /// The answer.
    pub answer: Answer,
    /// What kind of call it answered.
    pub kind: CallKind,
    /// The service that gave it.
    pub service: String,
}

/// What decides whether the answer of a call may be kept here. It is asked while the memory
/// is locked, so that a change of the settings is either seen or forgets the answer after.
#[derive(Clone, Debug)]
pub struct Keeping {
    /// What kind of call it is.
    pub kind: CallKind,
    /// The service asked for.
    pub service: String,
    /// Home regions that the call came with.
    pub homes: Homes,
}

impl Keeping {
    /// The answer, ready to be kept.
    pub fn keep(&self, answer: Answer) -> Kept {
        Kept {
            answer,
            kind: self.kind,
            service: self.service.clone(),
        }
    }
}
