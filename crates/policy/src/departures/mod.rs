//! Departures: incarnations of targets that said that they leave, and that get no new calls for
//! the rest of their lives.
//!
//! The daemon of a target that leaves has to be believed by its own later runs, which start with
//! no memory. A departure is therefore acknowledged to the target only once something other than
//! that daemon's process holds it: the store, or other daemons. Daemons hold departures until they
//! see them in the store, pass them on to their neighbours and tell them on every new link, so
//! that a daemon that starts hears of those of its own target before it opens it; see
//! [`History`].

mod history;

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::report::ReportedState;

pub use history::{Coverage, Greetings, History, HistoryState};

/// Maximum number of departures held for one host. Late reports of several earlier incarnations
/// may arrive, but their targets are gone, so the latest few suffice.
const MAX_PER_HOST: usize = 4;
/// Maximum number of departures held for other hosts. A message with all of them takes about
/// 64 KiB.
const MAX_HELD: usize = 512;

/// An incarnation that leaves or has left.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Departure {
    /// Host of the target.
    #[serde(rename = "h")]
    pub host: String,
    /// Instance name of the target.
    #[serde(rename = "i")]
    pub instance: String,
    /// Start time, in milliseconds since 1970 by the target's clock, if reported.
    #[serde(rename = "b", default, skip_serializing_if = "Option::is_none")]
    pub started_ms: Option<u64>,
    /// Draining or gone.
    #[serde(rename = "s")]
    pub state: ReportedState,
}

impl Departure {
    /// Whether it is of an incarnation; a start time that is not known is taken for the same.
    pub fn is_of(&self, instance: &str, started_ms: Option<u64>) -> bool {
        let is_same_start = match (self.started_ms, started_ms) {
            (Some(one), Some(other)) => one == other,
            _ => true,
        };
        self.instance == instance && is_same_start
    }

    /// Whether both are of the same incarnation of one host's target.
    pub fn is_same(&self, other: &Departure) -> bool {
        self.host == other.host && self.is_of(&other.instance, other.started_ms)
    }
}

/// Result of recording a departure.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RecordOutcome {
    /// It was not known.
    Added,
    /// It was known.
    Known,
    /// It is not held: there are too many.
    Full,
}

#[derive(Clone, Debug)]
struct KnownDeparture {
    departure: Departure,
    is_stored: bool,
    /// Whether this daemon tries to store it for the daemon of its host.
    is_being_stored: bool,
}

/// The departures that a daemon knows of: those of its own target, and those of other hosts that
/// are not known to be in the store.
#[derive(Clone, Debug)]
pub struct Departures {
    own_host: String,
    by_host: BTreeMap<String, Vec<KnownDeparture>>,
}

impl Departures {
    /// Creates the state of the daemon of a host, which knows of no departure.
    pub fn new(own_host: &str) -> Self {
        Departures {
            own_host: own_host.to_owned(),
            by_host: BTreeMap::new(),
        }
    }

    /// Records a departure that may not be in the store.
    pub fn record(&mut self, departure: Departure) -> RecordOutcome {
        let is_own = departure.host == self.own_host;
        if !is_own && self.find(&departure).is_none() && self.held_for_others() >= MAX_HELD {
            return RecordOutcome::Full;
        }
        let known = self.by_host.entry(departure.host.clone()).or_default();
        if let Some(known) = known
            .iter_mut()
            .find(|known| known.departure.is_same(&departure))
        {
            known.departure.state = known.departure.state.or_later(departure.state);
            known.departure.started_ms = known.departure.started_ms.or(departure.started_ms);
            return RecordOutcome::Known;
        }
        if known.len() == MAX_PER_HOST {
            known.remove(0);
        }
        known.push(KnownDeparture {
            departure,
            is_stored: false,
            is_being_stored: false,
        });
        RecordOutcome::Added
    }

    /// Records that the store holds a departure. Those of other hosts are then forgotten: whoever
    /// needs them reads the store.
    pub fn record_stored(&mut self, departure: Departure) {
        if departure.host == self.own_host {
            self.record(departure.clone());
        }
        let Some(known) = self.by_host.get_mut(&departure.host) else {
            return;
        };
        for known in known
            .iter_mut()
            .filter(|known| known.departure.is_same(&departure))
        {
            known.is_stored = true;
        }
        if departure.host != self.own_host {
            known.retain(|known| !known.is_stored);
        }
        if known.is_empty() {
            self.by_host.remove(&departure.host);
        }
    }

    /// Begins to store a departure of another host. Returns false if that has begun before, or the
    /// departure is not held here.
    pub fn begin_storing(&mut self, departure: &Departure) -> bool {
        let known = self.by_host.get_mut(&departure.host);
        let mut known = known.into_iter().flatten();
        match known.find(|known| known.departure.is_same(departure)) {
            Some(known) => !std::mem::replace(&mut known.is_being_stored, true),
            None => false,
        }
    }

    /// Whether a departure is held here and not known to be in the store.
    pub fn is_unstored(&self, departure: &Departure) -> bool {
        self.find(departure).is_some_and(|known| !known.is_stored)
    }

    /// Whether the store is known to hold a departure of this daemon's own target.
    pub fn is_stored(&self, departure: &Departure) -> bool {
        self.find(departure).is_some_and(|known| known.is_stored)
    }

    /// The departures of this daemon's own target, in the order in which they became known.
    pub fn own(&self) -> impl Iterator<Item = &Departure> {
        let known = self.by_host.get(&self.own_host);
        known.into_iter().flatten().map(|known| &known.departure)
    }

    /// All departures that are not known to be in the store.
    pub fn unstored(&self) -> Vec<Departure> {
        let known = self.by_host.values().flatten();
        known
            .filter(|known| !known.is_stored)
            .map(|known| known.departure.clone())
            .collect()
    }

    fn find(&self, departure: &Departure) -> Option<&KnownDeparture> {
        let known = self.by_host.get(&departure.host)?;
        known
            .iter()
            .find(|known| known.departure.is_same(departure))
    }

    fn held_for_others(&self) -> usize {
        let others = self
            .by_host
            .iter()
            .filter(|(host, _)| **host != self.own_host);
        others.map(|(_, known)| known.len()).sum()
    }
}

/// Number of other daemons that must confirm that they hold a departure before it is
/// acknowledged without the store: two, so that one more kill does not lose it, or all that there
/// are.
pub fn needed_holders(linked_hosts: usize) -> usize {
    linked_hosts.clamp(1, 2)
}
