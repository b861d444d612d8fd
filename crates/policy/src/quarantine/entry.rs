//! State of one suspect fingerprint.

use serde::{Deserialize, Serialize};

use crate::fingerprint::Fingerprint;
use crate::ids::{Micros, TargetExitId};

/// Maximum number of exits stored per suspect; those with the highest rank are kept. It covers
/// the highest configurable `crash_limit` plus [`MAX_ALLOWANCE`].
const MAX_EXITS: usize = 16;
/// Maximum number of cleared exits and of lifted exits stored per suspect. They are stored so
/// that a daemon that was disconnected does not add the exits again.
const MAX_CLEARED: usize = 32;
/// Maximum of [`Entry::coincidence_allowance`]. With this allowance, a request that is served
/// now and then would have to coincide with about ten consecutive exits to be quarantined.
const MAX_ALLOWANCE: usize = 5;
const US_PER_MS: Micros = 1_000;

/// Exit of a target while a request was in flight to it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ObservedExit {
    /// Identifier of the exit.
    #[serde(rename = "e")]
    pub exit: TargetExitId,
    /// Position in a run of consecutive exits: one more than the highest rank that the sending
    /// daemon knew when it sent the request, and 1 if it knew none.
    #[serde(rename = "r")]
    pub rank: u32,
    /// Sender of the request; set only for content fingerprints, which several senders can share.
    #[serde(rename = "s", default, skip_serializing_if = "Option::is_none")]
    pub sender: Option<u64>,
}

/// State of one suspect, as exchanged between daemons.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SuspectUpdate {
    /// Fingerprint of the suspect.
    #[serde(rename = "f")]
    pub fingerprint: Fingerprint,
    /// Exits attributed to it.
    #[serde(rename = "e", default, skip_serializing_if = "Vec::is_empty")]
    pub exits: Vec<ObservedExit>,
    /// Exits that no longer count because a target served the request afterwards.
    #[serde(rename = "c", default, skip_serializing_if = "Vec::is_empty")]
    pub cleared: Vec<TargetExitId>,
    /// Exits that no longer count because an operator lifted the quarantine.
    #[serde(rename = "o", default, skip_serializing_if = "Vec::is_empty")]
    pub lifted: Vec<TargetExitId>,
    /// Time since the last exit, in milliseconds.
    #[serde(rename = "a", default)]
    pub age_ms: u64,
}

impl SuspectUpdate {
    /// Creates an update without exits.
    pub fn new(fingerprint: Fingerprint) -> Self {
        SuspectUpdate {
            fingerprint,
            exits: Vec::new(),
            cleared: Vec::new(),
            lifted: Vec::new(),
            age_ms: 0,
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct KnownExit {
    observed: ObservedExit,
    known_at: Micros,
}

/// State of one suspect fingerprint.
#[derive(Clone, Debug)]
pub(super) struct Entry {
    /// Exits that count.
    exits: Vec<KnownExit>,
    /// Exits that no longer count because a target served the request afterwards, oldest first.
    cleared: Vec<TargetExitId>,
    /// Exits that no longer count because an operator lifted the quarantine, oldest first.
    lifted: Vec<TargetExitId>,
    /// Time of the last exit; if there is none, the age in the first update.
    last_exit_at: Micros,
    /// Part of the age that lies before the origin of the daemon's clock.
    age_before_origin_us: Micros,
}

impl Entry {
    /// Creates an entry without exits, of the age in the update. If it started at age zero, each
    /// daemon that receives an old entry would store it for the full period again.
    pub(super) fn new(now: Micros, update: &SuspectUpdate) -> Self {
        let mut entry = Entry {
            exits: Vec::new(),
            cleared: Vec::new(),
            lifted: Vec::new(),
            last_exit_at: now,
            age_before_origin_us: 0,
        };
        entry.set_age(now, update.age_ms.saturating_mul(US_PER_MS));
        entry
    }

    /// Whether any exit counts.
    pub(super) fn is_suspect(&self) -> bool {
        !self.exits.is_empty()
    }

    /// Length of the longest run of consecutive exits, capped by the number of exits that count,
    /// because exits within the run may have been cleared.
    pub(super) fn consecutive_exits(&self) -> u32 {
        let highest = self.exits.iter().map(|known| known.observed.rank).max();
        highest.unwrap_or(0).min(self.counted_exits().len() as u32)
    }

    /// Rank of an exit during a request that was sent at the given time.
    pub(super) fn next_rank(&self, sent_at: Micros) -> u32 {
        let before = self.exits.iter().filter(|known| known.known_at <= sent_at);
        let highest = before.map(|known| known.observed.rank).max().unwrap_or(0);
        highest.min(self.consecutive_exits()) + 1
    }

    /// Consecutive exits required beyond the limit: a request that is served now and then is also
    /// in flight during exits that it does not cause.
    pub(super) fn coincidence_allowance(&self) -> u32 {
        self.cleared.len().min(MAX_ALLOWANCE) as u32
    }

    /// Exits that count, without duplicates.
    pub(super) fn counted_exits(&self) -> Vec<TargetExitId> {
        let mut exits: Vec<TargetExitId> =
            self.exits.iter().map(|known| known.observed.exit).collect();
        exits.sort_unstable();
        exits.dedup();
        exits
    }

    /// Number of distinct senders whose requests were in flight during the exits; 0 for the
    /// fingerprint of a single sender's request.
    pub(super) fn sender_count(&self) -> usize {
        let senders = self.exits.iter().filter_map(|known| known.observed.sender);
        let mut senders: Vec<u64> = senders.collect();
        senders.sort_unstable();
        senders.dedup();
        senders.len()
    }

    pub(super) fn last_exit_at(&self) -> Micros {
        self.last_exit_at
    }

    /// Time since the last exit.
    pub(super) fn age_us(&self, now: Micros) -> Micros {
        now.saturating_sub(self.last_exit_at) + self.age_before_origin_us
    }

    pub(super) fn to_update(&self, now: Micros, fingerprint: Fingerprint) -> SuspectUpdate {
        SuspectUpdate {
            fingerprint,
            exits: self.exits.iter().map(|known| known.observed).collect(),
            cleared: self.cleared.clone(),
            lifted: self.lifted.clone(),
            age_ms: self.age_us(now) / US_PER_MS,
        }
    }

    /// Merges an update. Returns whether it changed the entry.
    pub(super) fn merge(&mut self, now: Micros, update: &SuspectUpdate) -> bool {
        let mut is_changed = false;
        for exit in &update.cleared {
            is_changed |= insert_bounded(&mut self.cleared, *exit);
        }
        for exit in &update.lifted {
            is_changed |= insert_bounded(&mut self.lifted, *exit);
        }
        let (cleared, lifted) = (&self.cleared, &self.lifted);
        self.exits.retain(|known| {
            let exit = known.observed.exit;
            !cleared.contains(&exit) && !lifted.contains(&exit)
        });
        let age_before = self.is_suspect().then(|| self.age_us(now));
        let mut is_exit_added = false;
        for observed in &update.exits {
            is_exit_added |= self.add(now, *observed);
        }
        if is_exit_added {
            let update_age = update.age_ms.saturating_mul(US_PER_MS);
            self.set_age(now, age_before.unwrap_or(update_age).min(update_age));
        }
        is_changed || is_exit_added
    }

    fn add(&mut self, now: Micros, observed: ObservedExit) -> bool {
        let is_known = self.exits.iter().any(|known| known.observed == observed);
        let is_discounted =
            self.cleared.contains(&observed.exit) || self.lifted.contains(&observed.exit);
        if is_known || is_discounted {
            return false;
        }
        if self.exits.len() >= MAX_EXITS {
            let ranks = self.exits.iter().enumerate();
            let lowest = ranks.min_by_key(|(_, known)| known.observed.rank);
            match lowest.map(|(at, known)| (at, known.observed.rank)) {
                Some((at, rank)) if rank < observed.rank => self.exits.remove(at),
                _ => return false,
            };
        }
        let known_at = now;
        self.exits.push(KnownExit { observed, known_at });
        true
    }

    fn set_age(&mut self, now: Micros, age_us: Micros) {
        self.last_exit_at = now.saturating_sub(age_us);
        self.age_before_origin_us = age_us.saturating_sub(now);
    }
}

/// Adds an exit to a list of at most [`MAX_CLEARED`], dropping the oldest one. Returns whether it
/// was absent.
fn insert_bounded(exits: &mut Vec<TargetExitId>, exit: TargetExitId) -> bool {
    if exits.contains(&exit) {
        return false;
    }
    exits.push(exit);
    if exits.len() > MAX_CLEARED {
        exits.remove(0);
    }
    true
}
