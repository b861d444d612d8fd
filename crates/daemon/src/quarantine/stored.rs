//! What is quarantined, as it is stored: a deployment that loses all its daemons at once would
//! have as many targets end again before it knew.

use lynxcleat_policy::{Fingerprint, ObservedExit, SuspectUpdate};
use serde::{Deserialize, Serialize};

use super::{Origin, QuarantineState};
use crate::sync::lock;

/// Time for which what is stored is kept, in milliseconds: longer than the longest quarantine
/// of usual settings.
pub const KEPT_MS: u64 = 24 * 3_600_000;

/// A quarantined request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoredSuspect {
    /// Its fingerprint, in hexadecimal.
    pub request: String,
    /// Ends of targets under it.
    pub ends: Vec<ObservedExit>,
    /// When the last of them was, in milliseconds since 1970 by the clock of whoever stored it.
    pub at_ms: u64,
}

impl QuarantineState {
    /// Waits until something has to be stored or is to be taken away, and returns it.
    pub async fn next_unsaved(&self) -> Fingerprint {
        loop {
            let wanted = self.unsaved_wanted.notified();
            let next = lock(&self.unsaved).first().copied();
            match next {
                Some(print) => return print,
                None => wanted.await,
            }
        }
    }

    /// What was unsaved stands in the store as it is wanted.
    pub fn saved(&self, print: Fingerprint) {
        lock(&self.unsaved).remove(&print);
    }

    /// What is to be stored of a fingerprint; nothing where it is not quarantined.
    pub fn to_store(&self, print: Fingerprint) -> Option<StoredSuspect> {
        let now = self.clock.now();
        let known = lock(&self.known);
        if !known.is_quarantined(now, print) {
            return None;
        }
        let news = known.suspect_update(now, print)?;
        Some(StoredSuspect {
            request: print.to_string(),
            ends: news.exits,
            at_ms: self.clock.wall_ms().saturating_sub(news.age_ms),
        })
    }

    /// Takes what is stored. Clocks differ and jump: an age is never below 0.
    pub fn take_stored(&self, stored: &StoredSuspect) {
        let print = match stored.request.parse::<Fingerprint>() {
            Ok(print) => print,
            Err(error) => {
                log::error!("stored quarantine: {error}");
                return;
            }
        };
        let news = SuspectUpdate {
            exits: stored.ends.clone(),
            age_ms: self.clock.wall_ms().saturating_sub(stored.at_ms),
            ..SuspectUpdate::new(print)
        };
        self.take(&[news], Origin::Store);
    }
}
