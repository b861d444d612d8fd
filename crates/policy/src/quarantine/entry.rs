//! What is known against one fingerprint.

use serde::{Deserialize, Serialize};

use crate::fingerprint::Fingerprint;
use crate::ids::{Micros, TargetExitId};

/// Ends remembered of one suspect, those with the highest rank: as many as the highest limit
/// and the most chances that are allowed for.
const ENDS: usize = 16;
/// Ends remembered that count no more, of either kind, so that a daemon that was cut off does
/// not bring them back.
const EXCUSED: usize = 32;
/// Chances that are allowed for at most: by then a request that is served now and then would
/// have to meet some ten ends in a row.
const CHANCES: usize = 5;
const US_PER_MS: Micros = 1_000;

/// One end of a target under a request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SeenEnd {
    /// The end.
    #[serde(rename = "e")]
    pub end: TargetExitId,
    /// Its place in a row of ends: 1, or one more than the rank of an end that was known
    /// where the request was sent when it was sent.
    #[serde(rename = "r")]
    pub rank: u32,
    /// Which sender's request it was, for a content that several may send.
    #[serde(rename = "s", default, skip_serializing_if = "Option::is_none")]
    pub sender: Option<u64>,
}

/// What a daemon tells of one suspect.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SuspectNews {
    /// Its fingerprint.
    #[serde(rename = "f")]
    pub print: Fingerprint,
    /// Ends of targets under it.
    #[serde(rename = "e", default, skip_serializing_if = "Vec::is_empty")]
    pub ends: Vec<SeenEnd>,
    /// Ends that count no more, since a target served it afterwards.
    #[serde(rename = "c", default, skip_serializing_if = "Vec::is_empty")]
    pub survived: Vec<TargetExitId>,
    /// Ends that count no more, since an operator says so.
    #[serde(rename = "o", default, skip_serializing_if = "Vec::is_empty")]
    pub lifted: Vec<TargetExitId>,
    /// Time since the last end, in milliseconds.
    #[serde(rename = "a", default)]
    pub age_ms: u64,
}

impl SuspectNews {
    /// Nothing yet of a fingerprint.
    pub fn of(print: Fingerprint) -> Self {
        SuspectNews {
            print,
            ends: Vec::new(),
            survived: Vec::new(),
            lifted: Vec::new(),
            age_ms: 0,
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct KnownEnd {
    seen: SeenEnd,
    known_at: Micros,
}

/// What is known against one fingerprint.
#[derive(Clone, Debug)]
pub(super) struct Entry {
    /// Ends that count.
    ends: Vec<KnownEnd>,
    /// Ends that count no more, oldest first: a target served the request afterwards.
    survived: Vec<TargetExitId>,
    /// The same, since an operator said so.
    lifted: Vec<TargetExitId>,
    /// When the last end was, or since when there is none.
    last_at: Micros,
    /// Age of the last end when the daemon's clock began, where it is older than that.
    before_us: Micros,
}

impl Entry {
    /// Nothing yet, of the age that is told: what ended long ago is not remembered anew by
    /// each daemon that hears of it.
    pub(super) fn new(now: Micros, told: &SuspectNews) -> Self {
        let mut entry = Entry {
            ends: Vec::new(),
            survived: Vec::new(),
            lifted: Vec::new(),
            last_at: now,
            before_us: 0,
        };
        entry.set_age(now, told.age_ms.saturating_mul(US_PER_MS));
        entry
    }

    /// Whether an end counts.
    pub(super) fn is_suspect(&self) -> bool {
        !self.ends.is_empty()
    }

    /// The longest row of ends. Its members may have been cleared, so it is no longer than
    /// there are ends that count.
    pub(super) fn row(&self) -> u32 {
        let highest = self.ends.iter().map(|known| known.seen.rank).max();
        highest.unwrap_or(0).min(self.live_ends().len() as u32)
    }

    /// Rank of an end under a request that was sent at some time.
    pub(super) fn rank_after(&self, sent_at: Micros) -> u32 {
        let before = self.ends.iter().filter(|known| known.known_at <= sent_at);
        let highest = before.map(|known| known.seen.rank).max().unwrap_or(0);
        highest.min(self.row()) + 1
    }

    /// Ends in a row that chance has to be allowed for beyond the limit: a request that is
    /// served now and then meets ends that it does not bring about.
    pub(super) fn chances(&self) -> u32 {
        self.survived.len().min(CHANCES) as u32
    }

    /// Ends that count, each once.
    pub(super) fn live_ends(&self) -> Vec<TargetExitId> {
        let mut ends: Vec<TargetExitId> = self.ends.iter().map(|known| known.seen.end).collect();
        ends.sort_unstable();
        ends.dedup();
        ends
    }

    /// Senders under whose requests targets ended; 0 where it is one sender's request.
    pub(super) fn senders(&self) -> usize {
        let senders = self.ends.iter().filter_map(|known| known.seen.sender);
        let mut senders: Vec<u64> = senders.collect();
        senders.sort_unstable();
        senders.dedup();
        senders.len()
    }

    pub(super) fn last_at(&self) -> Micros {
        self.last_at
    }

    /// Time since the last end.
    pub(super) fn age_us(&self, now: Micros) -> Micros {
        now.saturating_sub(self.last_at) + self.before_us
    }

    pub(super) fn news(&self, now: Micros, print: Fingerprint) -> SuspectNews {
        SuspectNews {
            print,
            ends: self.ends.iter().map(|known| known.seen).collect(),
            survived: self.survived.clone(),
            lifted: self.lifted.clone(),
            age_ms: self.age_us(now) / US_PER_MS,
        }
    }

    /// Takes what is told. Returns whether something of it was not known.
    pub(super) fn take(&mut self, now: Micros, news: &SuspectNews) -> bool {
        let mut is_news = false;
        for end in &news.survived {
            is_news |= excuse(&mut self.survived, *end);
        }
        for end in &news.lifted {
            is_news |= excuse(&mut self.lifted, *end);
        }
        let (survived, lifted) = (&self.survived, &self.lifted);
        self.ends.retain(|known| {
            let end = known.seen.end;
            !survived.contains(&end) && !lifted.contains(&end)
        });
        let known_before = self.is_suspect().then(|| self.age_us(now));
        let mut has_end = false;
        for seen in &news.ends {
            has_end |= self.add(now, *seen);
        }
        if has_end {
            let told_us = news.age_ms.saturating_mul(US_PER_MS);
            self.set_age(now, known_before.unwrap_or(told_us).min(told_us));
        }
        is_news || has_end
    }

    fn add(&mut self, now: Micros, seen: SeenEnd) -> bool {
        let is_known = self.ends.iter().any(|known| known.seen == seen);
        let is_excused = self.survived.contains(&seen.end) || self.lifted.contains(&seen.end);
        if is_known || is_excused {
            return false;
        }
        if self.ends.len() >= ENDS {
            let ranks = self.ends.iter().enumerate();
            let lowest = ranks.min_by_key(|(_, known)| known.seen.rank);
            match lowest.map(|(at, known)| (at, known.seen.rank)) {
                Some((at, rank)) if rank < seen.rank => self.ends.remove(at),
                _ => return false,
            };
        }
        let known_at = now;
        self.ends.push(KnownEnd { seen, known_at });
        true
    }

    fn set_age(&mut self, now: Micros, age_us: Micros) {
        self.last_at = now.saturating_sub(age_us);
        self.before_us = age_us.saturating_sub(now);
    }
}

/// Adds an end to those that count no more. Returns whether that is news.
fn excuse(excused: &mut Vec<TargetExitId>, end: TargetExitId) -> bool {
    if excused.contains(&end) {
        return false;
    }
    excused.push(end);
    if excused.len() > EXCUSED {
        excused.remove(0);
    }
    true
}
