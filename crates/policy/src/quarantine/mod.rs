//! Requests under which targets end, known by what they hold.
//!
//! A request that ends each target that runs it comes again, under a new name and at any
//! daemon. All requests that a target had in hand when it ended are suspect; those that only
//! shared the target with a bad one are served elsewhere, which clears them. One under which
//! `crash_limit` targets ended in a row, and that none survived, is quarantined: no daemon
//! offers it to a target for a while.
//!
//! An end follows another in the row only if it was known where the request was sent before it
//! was sent. Targets that fall together, with a rack or a zone, end at the same time, and a
//! request that many of them had in hand is no more suspect than any other. A popular request
//! is in hand at many ends that it does not bring about: each that it survived adds one to the
//! row that is needed.
//!
//! What is known merges in any order and any number of times: ends and cleared ends are sets,
//! and what one daemon tells another is added to them.

mod entry;

use std::cmp::Reverse;
use std::collections::HashMap;

use crate::fingerprint::{Fingerprint, RequestFingerprints};
use crate::ids::{Micros, TargetExitId};

use entry::Entry;
pub use entry::{SeenEnd, SuspectNews};

/// Suspects remembered: some hundred calls are lost when a few targets end at once, and each
/// is known by two fingerprints. They take some 60 KiB.
const ENTRIES: usize = 256;
/// Senders whose requests of one content have to end targets before the content is refused
/// whoever sends it.
const SENDERS: usize = 2;

/// When a request is quarantined, and for how long.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct QuarantineLimits {
    /// Targets that may end in a row under one request; 0 for any number.
    pub crash_limit: u32,
    /// Time for which it is refused then, in microseconds. Each further end doubles it.
    pub quarantine_us: Micros,
}

/// What is to be done with a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Standing {
    /// Nothing speaks against it.
    Clear,
    /// Targets ended while they had it in hand: it does not run beside another suspect, so
    /// that the next end tells which of them it was.
    Suspect,
    /// It is offered to no target.
    Quarantined {
        /// For how much longer, in microseconds.
        left_us: Micros,
    },
}

/// What an event changed.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Changed {
    /// What other daemons are to hear.
    pub news: Vec<SuspectNews>,
    /// What is quarantined since this event.
    pub quarantined: Vec<Fingerprint>,
    /// What is quarantined no more since this event.
    pub released: Vec<Fingerprint>,
}

impl Changed {
    /// Whether it changed nothing.
    pub fn is_empty(&self) -> bool {
        self.news.is_empty()
    }
}

/// A suspect as operators see it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Listed {
    /// Its fingerprint.
    pub print: Fingerprint,
    /// Targets that ended under it in a row.
    pub ends: u32,
    /// Senders under whose requests they ended; 0 for one sender's request.
    pub senders: usize,
    /// Time since the last of them, in microseconds.
    pub age_us: Micros,
    /// For how much longer it is quarantined; nothing where it is not.
    pub left_us: Option<Micros>,
}

/// The suspects that a daemon knows.
#[derive(Clone, Debug)]
pub struct Quarantine {
    limits: QuarantineLimits,
    entries: HashMap<Fingerprint, Entry>,
}

impl Quarantine {
    /// No suspects.
    pub fn new(limits: QuarantineLimits) -> Self {
        Quarantine {
            limits,
            entries: HashMap::new(),
        }
    }

    /// Changes the limits; they hold for what is known as well.
    pub fn set_limits(&mut self, limits: QuarantineLimits) {
        self.limits = limits;
    }

    /// Whether no request is suspect, so that none needs to be looked up.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// What is to be done with a request.
    pub fn standing(&self, now: Micros, prints: RequestFingerprints) -> Standing {
        let full = self.entries.get(&prints.full);
        let content = self.entries.get(&prints.content);
        let known = || [full, content].into_iter().flatten();
        let left_us = known().filter_map(|entry| self.left_us(now, entry)).max();
        match left_us {
            Some(left_us) => Standing::Quarantined { left_us },
            None if known().any(Entry::is_suspect) => Standing::Suspect,
            None => Standing::Clear,
        }
    }

    /// A target ended while it had a request in hand that was sent to it at some time.
    pub fn ended(
        &mut self,
        now: Micros,
        end: TargetExitId,
        prints: RequestFingerprints,
        sent_at: Micros,
    ) -> Changed {
        if self.limits.crash_limit == 0 {
            return Changed::default();
        }
        self.forget_old(now);
        let sender = Some(prints.full.0);
        let told = [(prints.full, None), (prints.content, sender)];
        let told = told.map(|(print, sender)| {
            let known = self.entries.get(&print);
            let rank = known.map_or(1, |entry| entry.rank_after(sent_at));
            SuspectNews {
                ends: vec![SeenEnd { end, rank, sender }],
                ..SuspectNews::of(print)
            }
        });
        self.take(now, &told)
    }

    /// A target ran a request to its end. What is known against it counts no more; what is
    /// known against the same content from other senders stands by itself.
    pub fn survived(&mut self, now: Micros, prints: RequestFingerprints) -> Changed {
        let prints = [prints.full, prints.content];
        let news = prints.iter().filter_map(|print| {
            let survived = self.live_ends(*print)?;
            Some(SuspectNews {
                survived,
                ..SuspectNews::of(*print)
            })
        });
        let news: Vec<SuspectNews> = news.collect();
        self.take(now, &news)
    }

    /// An operator says that a request may run again.
    pub fn lift(&mut self, now: Micros, print: Fingerprint) -> Changed {
        let lifted = self.live_ends(print).into_iter();
        let news = lifted.map(|lifted| SuspectNews {
            lifted,
            ..SuspectNews::of(print)
        });
        let news: Vec<SuspectNews> = news.collect();
        self.take(now, &news)
    }

    /// Ends that count against a fingerprint; nothing where none does.
    fn live_ends(&self, print: Fingerprint) -> Option<Vec<TargetExitId>> {
        let entry = self.entries.get(&print)?;
        entry.is_suspect().then(|| entry.live_ends())
    }

    /// Takes what another daemon knows. What was not known here is returned as news.
    pub fn take(&mut self, now: Micros, told: &[SuspectNews]) -> Changed {
        let mut changed = Changed::default();
        for news in told {
            let before = self.is_quarantined(now, news.print);
            let entry = self.entries.entry(news.print);
            if !entry
                .or_insert_with(|| Entry::new(now, news))
                .take(now, news)
            {
                continue;
            }
            changed.news.push(news.clone());
            match (before, self.is_quarantined(now, news.print)) {
                (false, true) => changed.quarantined.push(news.print),
                (true, false) => changed.released.push(news.print),
                _ => {}
            }
        }
        self.keep_bound();
        changed
    }

    /// All that is known, for a daemon that may know nothing of it.
    pub fn all(&self, now: Micros) -> Vec<SuspectNews> {
        let entries = self.entries.iter();
        entries
            .map(|(print, entry)| entry.news(now, *print))
            .collect()
    }

    /// What is known of one request.
    pub fn news_of(&self, now: Micros, prints: RequestFingerprints) -> Vec<SuspectNews> {
        let prints = [prints.full, prints.content];
        let known = |print: &Fingerprint| Some(self.entries.get(print)?.news(now, *print));
        prints.iter().filter_map(known).collect()
    }

    /// What is known of one fingerprint.
    pub fn news_of_print(&self, now: Micros, print: Fingerprint) -> Option<SuspectNews> {
        Some(self.entries.get(&print)?.news(now, print))
    }

    /// Whether a fingerprint is quarantined.
    pub fn is_quarantined(&self, now: Micros, print: Fingerprint) -> bool {
        let entry = self.entries.get(&print);
        entry.is_some_and(|entry| self.left_us(now, entry).is_some())
    }

    /// Every suspect, the quarantined ones first, then by the number of ends.
    pub fn listed(&self, now: Micros) -> Vec<Listed> {
        let suspects = self.entries.iter().filter(|(_, entry)| entry.is_suspect());
        let mut listed: Vec<Listed> = suspects
            .map(|(print, entry)| Listed {
                print: *print,
                ends: entry.row(),
                senders: entry.senders(),
                age_us: entry.age_us(now),
                left_us: self.left_us(now, entry),
            })
            .collect();
        listed.sort_by_key(|one| (one.left_us.is_none(), Reverse(one.ends), one.print));
        listed
    }

    /// Forgets what ended too long ago to be told from chance.
    pub fn forget_old(&mut self, now: Micros) {
        let limits = self.limits;
        self.entries
            .retain(|_, entry| entry.age_us(now) < 2 * quarantine_us(limits, entry));
    }

    /// For how much longer a suspect is refused; nothing where it is not.
    fn left_us(&self, now: Micros, entry: &Entry) -> Option<Micros> {
        let limit = self.limits.crash_limit;
        let is_one_sender = entry.senders() > 0 && entry.senders() < SENDERS;
        if limit == 0 || entry.row() < limit + entry.chances() || is_one_sender {
            return None;
        }
        let until = quarantine_us(self.limits, entry);
        until
            .checked_sub(entry.age_us(now))
            .filter(|left| *left > 0)
    }

    /// Forgets those with the fewest ends, the oldest of them first.
    fn keep_bound(&mut self) {
        while self.entries.len() > ENTRIES {
            let weight = |entry: &Entry| (entry.row(), entry.last_at());
            let least = self.entries.iter().min_by_key(|(_, entry)| weight(entry));
            let Some(print) = least.map(|(print, _)| *print) else {
                return;
            };
            self.entries.remove(&print);
        }
    }
}

/// How long a request is refused after its last end: a trial follows, and one that ends a
/// target again is refused for twice as long.
fn quarantine_us(limits: QuarantineLimits, entry: &Entry) -> Micros {
    /// Doublings at most: 32 times the first quarantine, some hours.
    const DOUBLINGS: u32 = 5;
    let needed = limits.crash_limit + entry.chances();
    let beyond = entry.row().saturating_sub(needed);
    limits.quarantine_us << beyond.min(DOUBLINGS)
}
