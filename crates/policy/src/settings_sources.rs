//! Selects the peer to request newer settings from, and decides when to ask the store instead.

use std::collections::HashMap;
use std::time::Duration;

use crate::distance::Distance;
use crate::ids::Micros;

/// Time for which a peer is not asked again after it did not answer or gave an unusable answer.
const FAILURE_BACKOFF: Duration = Duration::from_secs(2);
/// Time without a received part after which the store is asked as well.
const STORE_FALLBACK_DELAY: Duration = Duration::from_secs(1);
/// Maximum pause before peers are considered again, since others may have the settings by then.
const MAX_PAUSE: Duration = Duration::from_millis(100);

/// A peer that settings can be requested from.
#[derive(Clone, Copy, Debug)]
pub struct SettingsSource {
    /// Identifier of the link to the peer.
    pub link: u64,
    /// Newest generation that the peer announced.
    pub generation: u64,
    /// Distance to the peer.
    pub distance: Distance,
}

/// The next step of fetching settings.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum NextSource {
    /// Ask the peer behind this link.
    Ask(u64),
    /// Select again after this pause.
    Pause(Duration),
    /// Ask the store, then continue with the peers.
    AskStore,
    /// No peer has the wanted generation.
    NoPeer,
}

/// Selects the peer to ask next while a daemon fetches newer settings.
#[derive(Debug)]
pub struct SettingsSourceSelector {
    /// Time before which a peer is not asked again, by link.
    backoff_until: HashMap<u64, Micros>,
    /// When a part was last received or the store was last asked.
    progressed_at: Micros,
}

impl SettingsSourceSelector {
    /// Creates a selector for a fetch that starts `now`.
    pub fn new(now: Micros) -> Self {
        SettingsSourceSelector {
            backoff_until: HashMap::new(),
            progressed_at: now,
        }
    }

    /// Returns the next step to obtain generation `wanted`. `draw`, a random number from 0 to 1,
    /// selects among equally near peers, so that daemons do not all ask the same one.
    pub fn next(
        &mut self,
        now: Micros,
        wanted: u64,
        peers: &[SettingsSource],
        draw: f64,
    ) -> NextSource {
        let eligible = eligible(wanted, peers);
        if eligible.is_empty() {
            return NextSource::NoPeer;
        }
        if now.saturating_sub(self.progressed_at) >= micros(STORE_FALLBACK_DELAY) {
            self.progressed_at = now;
            return NextSource::AskStore;
        }
        self.backoff_until.retain(|_, until| *until > now);
        let is_free = |peer: &&SettingsSource| !self.backoff_until.contains_key(&peer.link);
        let free: Vec<&SettingsSource> = eligible.iter().filter(is_free).collect();
        let Some(nearest) = free.iter().map(|peer| peer.distance).min() else {
            return NextSource::Pause(self.pause(now));
        };
        let nearest: Vec<&&SettingsSource> = free
            .iter()
            .filter(|peer| peer.distance == nearest)
            .collect();
        let index = (draw * nearest.len() as f64) as usize;
        NextSource::Ask(nearest[index.min(nearest.len() - 1)].link)
    }

    /// Records that a part was received.
    pub fn record_progress(&mut self, now: Micros) {
        self.progressed_at = now;
    }

    /// Does not ask a peer again for `after`, since it has no capacity until then.
    pub fn mark_busy(&mut self, now: Micros, link: u64, after: Duration) {
        self.backoff_until.insert(link, now + micros(after));
    }

    /// Backs off from a peer that did not answer in time or gave an unusable answer.
    pub fn mark_failed(&mut self, now: Micros, link: u64) {
        self.mark_busy(now, link, FAILURE_BACKOFF);
    }

    /// Time until the first peer may be asked again, bounded by `MAX_PAUSE`.
    fn pause(&self, now: Micros) -> Duration {
        let first = self.backoff_until.values().min().copied().unwrap_or(now);
        Duration::from_micros(first.saturating_sub(now)).min(MAX_PAUSE)
    }
}

/// Peers that have generation `wanted`. Those in other regions are returned only if none in the
/// own region has it, since traffic between regions is expensive.
fn eligible(wanted: u64, peers: &[SettingsSource]) -> Vec<SettingsSource> {
    let has_wanted = |peer: &&SettingsSource| peer.generation >= wanted;
    let available: Vec<SettingsSource> = peers.iter().filter(has_wanted).copied().collect();
    let is_near = |peer: &&SettingsSource| peer.distance < Distance::OtherRegion;
    let near: Vec<SettingsSource> = available.iter().filter(is_near).copied().collect();
    if near.is_empty() { available } else { near }
}

fn micros(time: Duration) -> Micros {
    time.as_micros() as Micros
}
