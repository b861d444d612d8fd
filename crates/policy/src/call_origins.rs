//! Learns which kinds of calls are made by targets while they run a call of their own.
//!
//! Callers may share a host with a target, so the address that a call comes from does not
//! tell who made it. Calls of a kind that targets make originate only at hosts of one
//! service's targets; a kind seen at the hosts of several services' targets is made by
//! callers.

use std::collections::HashMap;

use crate::service_time::CallKind;

/// Maximum number of kinds tracked. Nothing is learned about kinds beyond it.
const MAX_KINDS: usize = 256;

#[derive(Clone, Debug)]
enum Origin {
    /// All calls originated at hosts of this service's targets.
    OneService(String),
    /// Calls originated at hosts of several services' targets.
    SeveralServices,
}

/// Where the calls of each kind originated.
#[derive(Clone, Debug, Default)]
pub struct CallOrigins {
    kinds: HashMap<CallKind, Origin>,
}

impl CallOrigins {
    /// Records that a call of `kind` originated at the host of a target of `service`.
    pub fn record(&mut self, kind: CallKind, service: &str) {
        let has_room = self.kinds.len() < MAX_KINDS;
        match self.kinds.get_mut(&kind) {
            Some(Origin::OneService(known)) if known == service => {}
            Some(origin) => *origin = Origin::SeveralServices,
            None if has_room => {
                self.kinds
                    .insert(kind, Origin::OneService(service.to_owned()));
            }
            None => {}
        }
    }

    /// Whether calls of this kind are known to be made by callers.
    pub fn is_from_callers(&self, kind: CallKind) -> bool {
        matches!(self.kinds.get(&kind), Some(Origin::SeveralServices))
    }
}
