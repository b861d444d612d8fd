//! Tracks which availability zones are evacuated. Targets in an evacuated zone get no new
//! calls.
//!
//! Updates come from the store and from other daemons; they may be late, repeated and out of
//! order. Each carries the version that the store gave to the change, and for each zone the
//! highest version wins, so daemons that received the same updates in any order agree.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Maximum number of zones tracked. Updates of further zones are rejected.
const MAX_ZONES: usize = 256;

/// A change of one zone.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ZoneUpdate {
    /// Name of the zone.
    #[serde(rename = "z")]
    pub zone: String,
    /// Version that the store gave to the change.
    #[serde(rename = "n")]
    pub version: u64,
    /// Whether the zone is evacuated as of this version.
    #[serde(rename = "e")]
    pub evacuated: bool,
}

/// The latest update of each zone.
#[derive(Clone, Debug, Default)]
pub struct EvacuatedZones {
    zones: BTreeMap<String, ZoneUpdate>,
}

impl EvacuatedZones {
    /// Applies an update. Returns whether it was newer than the known state of its zone and
    /// was stored.
    pub fn apply(&mut self, update: &ZoneUpdate) -> bool {
        let known = self.zones.get(&update.zone);
        let is_newer = known.is_none_or(|known| known.version < update.version);
        let has_room = known.is_some() || self.zones.len() < MAX_ZONES;
        if !is_newer || !has_room {
            return false;
        }
        self.zones.insert(update.zone.clone(), update.clone());
        true
    }

    /// Whether a zone is evacuated.
    pub fn is_evacuated(&self, zone: &str) -> bool {
        self.zones.get(zone).is_some_and(|update| update.evacuated)
    }

    /// The latest update of every zone, to send to other daemons.
    pub fn updates(&self) -> Vec<ZoneUpdate> {
        self.zones.values().cloned().collect()
    }

    /// Names of the evacuated zones.
    pub fn evacuated(&self) -> Vec<String> {
        let evacuated = self.zones.values().filter(|update| update.evacuated);
        evacuated.map(|update| update.zone.clone()).collect()
    }
}
