//! Answers of once-only operations that are kept, and how long they may be.
//!
//! A call's answer may be kept in its home regions only. When these change, a daemon that
//! is outside from then on forgets the answer, and still knows that the operation ran.

use std::collections::HashMap;

use lynxcleat_policy::{CallKind, Homes};
use lynxcleat_wire::Answer;

use crate::core::Core;
use crate::homes;
use crate::settings_state::InForce;

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
    /// Whether a daemon here may keep the answer.
    pub fn is_allowed(&self, core: &Core) -> bool {
        let Some(in_force) = core.settings.current() else {
            return self.homes.is_anywhere();
        };
        let homes = in_force.homes_since(self.kind, &self.service, &self.homes);
        homes.is_anywhere() || homes.allows(&homes::own_region(core, &in_force))
    }

    /// The answer, ready to be kept.
    pub fn keep(&self, answer: Answer) -> Kept {
        Kept {
            answer,
            kind: self.kind,
            service: self.service.clone(),
        }
    }
}

/// Forgets the answers that must not be kept here under new settings.
pub fn forget_outside(core: &Core, in_force: &InForce) {
    if !in_force.has_homes {
        return;
    }
    let region = homes::own_region(core, in_force);
    let mut known: HashMap<(CallKind, String), bool> = HashMap::new();
    let mut may_keep = |kept: &Kept| {
        let key = (kept.kind, kept.service.clone());
        *known
            .entry(key)
            .or_insert_with(|| in_force.homes(kept.kind, &kept.service).allows(&region))
    };
    core.half.forget_answers(&mut may_keep);
    core.once.forget_answers(&mut may_keep);
}
