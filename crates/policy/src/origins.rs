//! Which kinds of calls are made by targets while they run a call of their own.
//!
//! Callers may share a host with a target, so that the address from which a call comes does
//! not tell. The calls that targets make of one kind begin beside targets of one service;
//! a kind that was seen to begin beside targets of several services is made by callers.

use std::collections::HashMap;

use crate::service_time::CallKind;

/// Kinds that are told apart; of further ones nothing is known.
const KINDS_LIMIT: usize = 256;

#[derive(Clone, Debug)]
enum Origin {
    /// All calls began beside targets of this service.
    One(String),
    Several,
}

/// Where the calls of each kind began.
#[derive(Clone, Debug, Default)]
pub struct Origins {
    kinds: HashMap<CallKind, Origin>,
}

impl Origins {
    /// A call of a kind began at the host of a target of `service`.
    pub fn learn(&mut self, kind: CallKind, service: &str) {
        let has_room = self.kinds.len() < KINDS_LIMIT;
        match self.kinds.get_mut(&kind) {
            Some(Origin::One(known)) if known == service => {}
            Some(origin) => *origin = Origin::Several,
            None if has_room => {
                self.kinds.insert(kind, Origin::One(service.to_owned()));
            }
            None => {}
        }
    }

    /// Whether callers make calls of this kind, as far as was seen.
    pub fn is_from_callers(&self, kind: CallKind) -> bool {
        matches!(self.kinds.get(&kind), Some(Origin::Several))
    }
}
