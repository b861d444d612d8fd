//! Whom to ask for newer settings, and when to ask the store instead.

use std::collections::HashMap;
use std::time::Duration;

use crate::distance::Distance;
use crate::ids::Micros;

/// Time for which a peer is passed over that did not answer, or answered something useless.
const FAILED_PAUSE: Duration = Duration::from_secs(2);
/// Time without any part after which the store is asked as well.
const STORE_AFTER: Duration = Duration::from_secs(1);
/// Longest pause before the peers are looked at again: others may have the settings by then.
const LONGEST_PAUSE: Duration = Duration::from_millis(100);

/// A peer that could be asked.
#[derive(Clone, Copy, Debug)]
pub struct SettingsSource {
    /// Number of the link to it.
    pub link: u64,
    /// Newest generation that it told of.
    pub generation: u64,
    /// How far away it is.
    pub distance: Distance,
}

/// What to do next.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum NextSource {
    /// Ask the peer behind this link.
    Ask(u64),
    /// Look again after a while.
    Pause(Duration),
    /// Ask the store, and go on.
    AskStore,
    /// No peer has what is wanted.
    Nobody,
}

/// What is known of the peers that were asked while a daemon catches up.
#[derive(Debug)]
pub struct SettingsSources {
    /// Until when a peer is not asked.
    passed_over: HashMap<u64, Micros>,
    /// When a part came last, or the store was asked.
    progressed_at: Micros,
}

impl SettingsSources {
    /// Catching up begins.
    pub fn new(now: Micros) -> Self {
        SettingsSources {
            passed_over: HashMap::new(),
            progressed_at: now,
        }
    }

    /// What to do to have generation `wanted`. `draw`, from 0 to 1, picks among equals, so that
    /// not all daemons ask the same.
    pub fn next(
        &mut self,
        now: Micros,
        wanted: u64,
        peers: &[SettingsSource],
        draw: f64,
    ) -> NextSource {
        let able = reachable(wanted, peers);
        if able.is_empty() {
            return NextSource::Nobody;
        }
        if now.saturating_sub(self.progressed_at) >= micros(STORE_AFTER) {
            self.progressed_at = now;
            return NextSource::AskStore;
        }
        self.passed_over.retain(|_, until| *until > now);
        let is_free = |peer: &&SettingsSource| !self.passed_over.contains_key(&peer.link);
        let free: Vec<&SettingsSource> = able.iter().filter(is_free).collect();
        let Some(nearest) = free.iter().map(|peer| peer.distance).min() else {
            return NextSource::Pause(self.pause(now));
        };
        let nearest: Vec<&&SettingsSource> = free
            .iter()
            .filter(|peer| peer.distance == nearest)
            .collect();
        let at = (draw * nearest.len() as f64) as usize;
        NextSource::Ask(nearest[at.min(nearest.len() - 1)].link)
    }

    /// A part came.
    pub fn progressed(&mut self, now: Micros) {
        self.progressed_at = now;
    }

    /// A peer has no room before some time is over.
    pub fn busy(&mut self, now: Micros, link: u64, after: Duration) {
        self.passed_over.insert(link, now + micros(after));
    }

    /// A peer did not answer in time, or with something useless.
    pub fn failed(&mut self, now: Micros, link: u64) {
        self.busy(now, link, FAILED_PAUSE);
    }

    fn pause(&self, now: Micros) -> Duration {
        let first = self.passed_over.values().min().copied().unwrap_or(now);
        Duration::from_micros(first.saturating_sub(now)).min(LONGEST_PAUSE)
    }
}

/// The peers that have a generation: those of this region where any has it, since what crosses
/// regions is dear.
fn reachable(wanted: u64, peers: &[SettingsSource]) -> Vec<SettingsSource> {
    let has_it = |peer: &&SettingsSource| peer.generation >= wanted;
    let able: Vec<SettingsSource> = peers.iter().filter(has_it).copied().collect();
    let is_near = |peer: &&SettingsSource| peer.distance < Distance::OtherRegion;
    let near: Vec<SettingsSource> = able.iter().filter(is_near).copied().collect();
    if near.is_empty() { able } else { near }
}

fn micros(time: Duration) -> Micros {
    time.as_micros() as Micros
}
