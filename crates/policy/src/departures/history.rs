//! What a daemon may conclude from hearing of no departure.
//!
//! A daemon that starts knows of no departure, and neither do its peers if all of them were
//! killed at the same moment. Each daemon therefore tracks for how long back it knows of every
//! departure: since its own start, or since longer if a peer that says so told it all that it
//! holds. While that is shorter than reports can be late, a report that a target is ready may be
//! older than an acknowledged departure that nobody remembers, and the target itself is asked.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::ids::Micros;

/// Longest time for which a report is assumed to be delayed.
const MAX_REPORT_DELAY_US: Micros = 600_000_000;
/// Number of peers with complete knowledge after which a start waits for no further ones. One
/// alone may have been cut off until now.
const ENOUGH_COMPLETE: usize = 2;
/// Number of peers after which a start waits for no further ones, whatever they know. Those that
/// ran all along answer at once, so the ones still awaited start themselves, or are cut off.
const ENOUGH_STATED: usize = 6;

/// For how long back all departures are known, in microseconds.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct Coverage {
    us: Micros,
}

impl Coverage {
    /// Since the deployment started.
    pub const ALWAYS: Coverage = Coverage { us: Micros::MAX };

    /// Since a time span ago, in microseconds.
    pub fn of_us(us: Micros) -> Self {
        Coverage { us }
    }

    /// Whether it reaches further back than reports are late.
    pub fn is_complete(self) -> bool {
        self.us >= MAX_REPORT_DELAY_US
    }
}

/// What may be concluded from hearing of no departure of a target.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum HistoryState {
    /// The target's departure was not acknowledged.
    #[default]
    Complete,
    /// Nothing yet: peers are being asked.
    Awaited,
    /// Nothing: nobody remembers long enough.
    Incomplete,
}

/// How far back a daemon knows of departures.
#[derive(Clone, Copy, Debug)]
pub struct History {
    started_at: Micros,
    /// Coverage that a peer stated, and when.
    told: Option<(Coverage, Micros)>,
    is_awaited: bool,
}

impl History {
    /// A daemon started at `now` and waits for what its peers tell.
    pub fn awaited(now: Micros) -> Self {
        History {
            started_at: now,
            told: None,
            is_awaited: true,
        }
    }

    /// The deployment started at `now`, this daemon with it, so that there is nothing to know.
    pub fn of_first_start(now: Micros) -> Self {
        History {
            started_at: now,
            told: Some((Coverage::ALWAYS, now)),
            is_awaited: false,
        }
    }

    /// A peer stated its coverage and all departures that it holds.
    pub fn record_peer(&mut self, now: Micros, theirs: Coverage) {
        if theirs > self.coverage(now) {
            self.told = Some((theirs, now));
        }
    }

    /// There are no peers, so that nobody but the store held departures.
    pub fn record_no_peers(&mut self, now: Micros) {
        self.record_peer(now, Coverage::ALWAYS);
    }

    /// Waits no longer for peers.
    pub fn end_wait(&mut self) {
        self.is_awaited = false;
    }

    /// For how long back all departures are known.
    pub fn coverage(&self, now: Micros) -> Coverage {
        let own = Coverage::of_us(now.saturating_sub(self.started_at));
        let told = self.told.map(|(coverage, at)| {
            let us = coverage.us.saturating_add(now.saturating_sub(at));
            Coverage { us }
        });
        own.max(told.unwrap_or(own))
    }

    /// What may be concluded now.
    pub fn state(&self, now: Micros) -> HistoryState {
        if self.is_awaited {
            HistoryState::Awaited
        } else if self.coverage(now).is_complete() {
            HistoryState::Complete
        } else {
            HistoryState::Incomplete
        }
    }
}

/// The peers that a daemon asks at its start, and what they stated.
#[derive(Clone, Debug, Default)]
pub struct Greetings {
    /// By host; nothing until it stated its coverage.
    asked: BTreeMap<String, Option<Coverage>>,
}

impl Greetings {
    /// A host is asked.
    pub fn ask(&mut self, host: &str) {
        self.asked.entry(host.to_owned()).or_default();
    }

    /// A host cannot be reached: it does not run, or is cut off.
    pub fn record_unreachable(&mut self, host: &str) {
        if self.asked.get(host) == Some(&None) {
            self.asked.remove(host);
        }
    }

    /// A host stated its coverage and all departures that it holds.
    pub fn record(&mut self, host: &str, coverage: Coverage) {
        self.asked.insert(host.to_owned(), Some(coverage));
    }

    /// Hosts that were asked and have stated nothing yet.
    pub fn outstanding(&self) -> usize {
        let asked = self.asked.values();
        asked.filter(|coverage| coverage.is_none()).count()
    }

    /// Hosts that stated complete knowledge.
    pub fn complete(&self) -> usize {
        let stated = self.asked.values().flatten();
        stated.filter(|coverage| coverage.is_complete()).count()
    }

    /// Hosts that stated for how long back they know all departures.
    fn stated(&self) -> usize {
        self.asked.len() - self.outstanding()
    }

    /// Whether to wait for no further hosts.
    pub fn is_enough(&self) -> bool {
        self.complete() >= ENOUGH_COMPLETE
            || self.stated() >= ENOUGH_STATED
            || self.outstanding() == 0
    }
}
