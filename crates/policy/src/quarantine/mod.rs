//! Quarantine of requests during which targets repeatedly exit, identified by fingerprint.
//!
//! A request that makes every target that runs it exit is retried under new identifiers and
//! through any daemon. All requests that were in flight to a target when it exited become
//! suspect; those that only shared the target with the faulty one are served elsewhere, which
//! clears them. A request during which `crash_limit` targets exited consecutively, without any
//! target serving it, is quarantined: no daemon offers it to a target for a while.
//!
//! An exit extends the run of an earlier one only if the sending daemon knew the earlier one
//! before it sent the request. Targets that fail together, such as those of a rack or zone, exit
//! at the same time, and a request that was in flight to many of them is no more suspect than any
//! other. A frequent request is in flight during many exits that it does not cause, so each exit
//! cleared by a successful response adds one to the required number.
//!
//! The state is a conflict-free replicated data type: exits and cleared exits are sets, merged by
//! union, so that updates may arrive in any order and more than once.

mod entry;

use std::cmp::Reverse;
use std::collections::HashMap;

use crate::fingerprint::{Fingerprint, RequestFingerprints};
use crate::ids::{Micros, TargetExitId};

use entry::Entry;
pub use entry::{ObservedExit, SuspectUpdate};

/// Maximum number of stored suspects, about 60 KiB. When a few targets exit at once, about a
/// hundred calls are lost, each with two fingerprints.
const MAX_ENTRIES: usize = 256;
/// Number of senders whose requests of the same content must coincide with exits before the
/// content is quarantined for all senders.
const MIN_SENDERS: usize = 2;

/// Conditions and duration of a quarantine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct QuarantineLimits {
    /// Number of consecutive target exits at which a request is quarantined; 0 disables the
    /// quarantine.
    pub crash_limit: u32,
    /// Duration of the first quarantine, in microseconds. Each further exit doubles it.
    pub quarantine_us: Micros,
}

/// Whether and how a request may be offered to targets.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QuarantineStatus {
    /// No exit counts against the request.
    Clear,
    /// Targets exited while the request was in flight. It does not run concurrently with another
    /// suspect, so that the next exit can be attributed to one of them.
    Suspect,
    /// The request is not offered to any target.
    Quarantined {
        /// Remaining time, in microseconds.
        remaining_us: Micros,
    },
}

/// Result of an event.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct QuarantineChange {
    /// Updates to send to other daemons.
    pub updates: Vec<SuspectUpdate>,
    /// Fingerprints that this event quarantined.
    pub quarantined: Vec<Fingerprint>,
    /// Fingerprints whose quarantine this event ended.
    pub released: Vec<Fingerprint>,
}

impl QuarantineChange {
    /// Whether the event changed nothing.
    pub fn is_empty(&self) -> bool {
        self.updates.is_empty()
    }
}

/// Summary of a suspect for operators.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SuspectSummary {
    /// Fingerprint of the suspect.
    pub fingerprint: Fingerprint,
    /// Number of consecutive target exits.
    pub consecutive_exits: u32,
    /// Number of distinct senders; 0 for the fingerprint of a single sender's request.
    pub senders: usize,
    /// Time since the last exit, in microseconds.
    pub age_us: Micros,
    /// Remaining time of its quarantine; `None` if it is not quarantined.
    pub remaining_us: Option<Micros>,
}

/// Suspects known to a daemon.
#[derive(Clone, Debug)]
pub struct Quarantine {
    limits: QuarantineLimits,
    entries: HashMap<Fingerprint, Entry>,
}

impl Quarantine {
    /// Creates a quarantine without suspects.
    pub fn new(limits: QuarantineLimits) -> Self {
        Quarantine {
            limits,
            entries: HashMap::new(),
        }
    }

    /// Sets the limits; they also apply to known suspects.
    pub fn set_limits(&mut self, limits: QuarantineLimits) {
        self.limits = limits;
    }

    /// Whether there are no entries, so that no request needs to be looked up.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Status of a request.
    pub fn status(&self, now: Micros, fingerprints: RequestFingerprints) -> QuarantineStatus {
        let full = self.entries.get(&fingerprints.full);
        let content = self.entries.get(&fingerprints.content);
        let known = || [full, content].into_iter().flatten();
        let remaining_us = known()
            .filter_map(|entry| self.remaining_us(now, entry))
            .max();
        match remaining_us {
            Some(remaining_us) => QuarantineStatus::Quarantined { remaining_us },
            None if known().any(Entry::is_suspect) => QuarantineStatus::Suspect,
            None => QuarantineStatus::Clear,
        }
    }

    /// Records that a target exited while a request, sent at the given time, was in flight to it.
    pub fn record_exit(
        &mut self,
        now: Micros,
        exit: TargetExitId,
        fingerprints: RequestFingerprints,
        sent_at: Micros,
    ) -> QuarantineChange {
        if self.limits.crash_limit == 0 {
            return QuarantineChange::default();
        }
        self.remove_expired(now);
        let sender = Some(fingerprints.full.0);
        let suspects = [(fingerprints.full, None), (fingerprints.content, sender)];
        let updates = suspects.map(|(fingerprint, sender)| {
            let known = self.entries.get(&fingerprint);
            let rank = known.map_or(1, |entry| entry.next_rank(sent_at));
            SuspectUpdate {
                exits: vec![ObservedExit { exit, rank, sender }],
                ..SuspectUpdate::new(fingerprint)
            }
        });
        self.merge(now, &updates)
    }

    /// Records that a target served a request. This clears the exits of its two fingerprints;
    /// fingerprints of other senders with the same content are unaffected.
    pub fn record_served(
        &mut self,
        now: Micros,
        fingerprints: RequestFingerprints,
    ) -> QuarantineChange {
        let fingerprints = [fingerprints.full, fingerprints.content];
        let updates = fingerprints.iter().filter_map(|fingerprint| {
            let cleared = self.counted_exits(*fingerprint)?;
            Some(SuspectUpdate {
                cleared,
                ..SuspectUpdate::new(*fingerprint)
            })
        });
        let updates: Vec<SuspectUpdate> = updates.collect();
        self.merge(now, &updates)
    }

    /// Lifts the quarantine of a fingerprint on behalf of an operator.
    pub fn lift(&mut self, now: Micros, fingerprint: Fingerprint) -> QuarantineChange {
        let lifted = self.counted_exits(fingerprint).into_iter();
        let updates = lifted.map(|lifted| SuspectUpdate {
            lifted,
            ..SuspectUpdate::new(fingerprint)
        });
        let updates: Vec<SuspectUpdate> = updates.collect();
        self.merge(now, &updates)
    }

    /// Exits that count against a fingerprint; `None` if there are none.
    fn counted_exits(&self, fingerprint: Fingerprint) -> Option<Vec<TargetExitId>> {
        let entry = self.entries.get(&fingerprint)?;
        entry.is_suspect().then(|| entry.counted_exits())
    }

    /// Merges updates of another daemon. The change contains those that were new here.
    pub fn merge(&mut self, now: Micros, updates: &[SuspectUpdate]) -> QuarantineChange {
        let mut change = QuarantineChange::default();
        for update in updates {
            let before = self.is_quarantined(now, update.fingerprint);
            let entry = self.entries.entry(update.fingerprint);
            if !entry
                .or_insert_with(|| Entry::new(now, update))
                .merge(now, update)
            {
                continue;
            }
            change.updates.push(update.clone());
            match (before, self.is_quarantined(now, update.fingerprint)) {
                (false, true) => change.quarantined.push(update.fingerprint),
                (true, false) => change.released.push(update.fingerprint),
                _ => {}
            }
        }
        self.enforce_capacity();
        change
    }

    /// State of all entries, for a newly connected daemon.
    pub fn snapshot(&self, now: Micros) -> Vec<SuspectUpdate> {
        let entries = self.entries.iter();
        entries
            .map(|(fingerprint, entry)| entry.to_update(now, *fingerprint))
            .collect()
    }

    /// State of the entries of one request.
    pub fn request_updates(
        &self,
        now: Micros,
        fingerprints: RequestFingerprints,
    ) -> Vec<SuspectUpdate> {
        let fingerprints = [fingerprints.full, fingerprints.content];
        let update = |fingerprint: &Fingerprint| {
            Some(self.entries.get(fingerprint)?.to_update(now, *fingerprint))
        };
        fingerprints.iter().filter_map(update).collect()
    }

    /// State of the entry of one fingerprint.
    pub fn suspect_update(&self, now: Micros, fingerprint: Fingerprint) -> Option<SuspectUpdate> {
        Some(self.entries.get(&fingerprint)?.to_update(now, fingerprint))
    }

    /// Whether a fingerprint is quarantined.
    pub fn is_quarantined(&self, now: Micros, fingerprint: Fingerprint) -> bool {
        let entry = self.entries.get(&fingerprint);
        entry.is_some_and(|entry| self.remaining_us(now, entry).is_some())
    }

    /// Summaries of all suspects: the quarantined ones first, then by the number of exits.
    pub fn suspects(&self, now: Micros) -> Vec<SuspectSummary> {
        let suspects = self.entries.iter().filter(|(_, entry)| entry.is_suspect());
        let mut summaries: Vec<SuspectSummary> = suspects
            .map(|(fingerprint, entry)| SuspectSummary {
                fingerprint: *fingerprint,
                consecutive_exits: entry.consecutive_exits(),
                senders: entry.sender_count(),
                age_us: entry.age_us(now),
                remaining_us: self.remaining_us(now, entry),
            })
            .collect();
        summaries.sort_by_key(|summary| {
            (
                summary.remaining_us.is_none(),
                Reverse(summary.consecutive_exits),
                summary.fingerprint,
            )
        });
        summaries
    }

    /// Removes entries whose last exit is too old to be distinguished from coincidence: twice the
    /// duration of their quarantine.
    pub fn remove_expired(&mut self, now: Micros) {
        let limits = self.limits;
        self.entries
            .retain(|_, entry| entry.age_us(now) < 2 * quarantine_us(limits, entry));
    }

    /// Remaining time of a quarantine; `None` if the suspect is not quarantined.
    fn remaining_us(&self, now: Micros, entry: &Entry) -> Option<Micros> {
        let limit = self.limits.crash_limit;
        let has_too_few_senders = entry.sender_count() > 0 && entry.sender_count() < MIN_SENDERS;
        if limit == 0
            || entry.consecutive_exits() < limit + entry.coincidence_allowance()
            || has_too_few_senders
        {
            return None;
        }
        let duration = quarantine_us(self.limits, entry);
        duration
            .checked_sub(entry.age_us(now))
            .filter(|remaining| *remaining > 0)
    }

    /// Removes the entries with the fewest consecutive exits, oldest first, down to the maximum.
    fn enforce_capacity(&mut self) {
        while self.entries.len() > MAX_ENTRIES {
            let weight = |entry: &Entry| (entry.consecutive_exits(), entry.last_exit_at());
            let least = self.entries.iter().min_by_key(|(_, entry)| weight(entry));
            let Some(fingerprint) = least.map(|(fingerprint, _)| *fingerprint) else {
                return;
            };
            self.entries.remove(&fingerprint);
        }
    }
}

/// Duration of a quarantine after the last exit. Afterwards the request is tried again; if a
/// target exits again, the duration doubles.
fn quarantine_us(limits: QuarantineLimits, entry: &Entry) -> Micros {
    /// Maximum number of doublings: 32 times the first quarantine, a few hours.
    const MAX_DOUBLINGS: u32 = 5;
    let required = limits.crash_limit + entry.coincidence_allowance();
    let excess = entry.consecutive_exits().saturating_sub(required);
    limits.quarantine_us << excess.min(MAX_DOUBLINGS)
}
