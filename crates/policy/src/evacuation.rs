//! Which availability zones are evacuated: their targets are given no new calls.
//!
//! News come from the store and from other daemons, late, twice and in any order. Each
//! carries the version that the store gave to the change, and for each zone the newest
//! version counts; so daemons that heard the same news believe the same, whatever the order.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Zones that are kept at most; news of further ones are refused.
const ZONES_LIMIT: usize = 256;

/// A change of one zone.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ZoneNews {
    /// The zone.
    #[serde(rename = "z")]
    pub zone: String,
    /// Version that the store gave to the change.
    #[serde(rename = "n")]
    pub version: u64,
    /// Whether the zone is evacuated since then.
    #[serde(rename = "e")]
    pub evacuated: bool,
}

/// What is known of all zones.
#[derive(Clone, Debug, Default)]
pub struct Evacuations {
    zones: BTreeMap<String, ZoneNews>,
}

impl Evacuations {
    /// Takes news. Returns whether they are newer than what was known of the zone.
    pub fn take(&mut self, news: &ZoneNews) -> bool {
        let known = self.zones.get(&news.zone);
        let is_newer = known.is_none_or(|known| known.version < news.version);
        let has_room = known.is_some() || self.zones.len() < ZONES_LIMIT;
        if !is_newer || !has_room {
            return false;
        }
        self.zones.insert(news.zone.clone(), news.clone());
        true
    }

    /// Whether a zone is evacuated.
    pub fn is_evacuated(&self, zone: &str) -> bool {
        self.zones.get(zone).is_some_and(|news| news.evacuated)
    }

    /// The newest news of every zone, for other daemons.
    pub fn all(&self) -> Vec<ZoneNews> {
        self.zones.values().cloned().collect()
    }

    /// Names of the zones that are evacuated.
    pub fn evacuated(&self) -> Vec<String> {
        let evacuated = self.zones.values().filter(|news| news.evacuated);
        evacuated.map(|news| news.zone.clone()).collect()
    }
}
