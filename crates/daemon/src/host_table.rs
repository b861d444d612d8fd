//! The hosts that there may be, as the host list or the members' table told last.

use std::collections::HashMap;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};

use lynxcleat_policy::{Candidate, TargetId, rank};
use lynxcleat_store::{HostEntry, HostPage, HostState};

use crate::sync::lock;

/// The host list as last seen.
#[derive(Default)]
pub struct HostTable {
    /// Version of the list that was taken last, where there is a list.
    pub version: AtomicU64,
    hosts: Mutex<HashMap<String, HostEntry>>,
}

impl HostTable {
    /// Hosts of a service that are not gone, sorted by name.
    pub fn of_service(&self, service: &str) -> Vec<HostEntry> {
        let hosts = lock(&self.hosts);
        let mut found: Vec<HostEntry> = hosts
            .values()
            .filter(|entry| entry.service == service)
            .cloned()
            .collect();
        found.sort_by(|a, b| a.host.cmp(&b.host));
        found
    }

    /// Every host that is not gone, sorted by name.
    pub fn all(&self) -> Vec<HostEntry> {
        let mut all: Vec<HostEntry> = lock(&self.hosts).values().cloned().collect();
        all.sort_by(|a, b| a.host.cmp(&b.host));
        all
    }

    /// How many live hosts come before one, in an order that is the same for all.
    pub fn rank(&self, host: &str) -> usize {
        let hosts = lock(&self.hosts);
        let live = hosts
            .values()
            .filter(|entry| entry.state == HostState::Live);
        rank(host, live.map(|entry| entry.host.as_str()))
    }

    /// One host.
    pub fn get(&self, host: &str) -> Option<HostEntry> {
        lock(&self.hosts).get(host).cloned()
    }

    /// Hosts that are not gone.
    pub fn len(&self) -> usize {
        lock(&self.hosts).len()
    }

    /// Takes a page. Returns the services of hosts that are gone.
    pub fn take(&self, page: HostPage) -> Vec<String> {
        self.version.store(page.version, Ordering::Relaxed);
        self.take_entries(page.hosts)
    }

    /// Takes changed entries. Returns the services of hosts that are gone.
    pub fn take_entries(&self, entries: Vec<HostEntry>) -> Vec<String> {
        let mut hosts = lock(&self.hosts);
        let mut gone = Vec::new();
        for entry in entries {
            if entry.state == HostState::Gone {
                hosts.remove(&entry.host);
                gone.push(entry.service);
            } else {
                hosts.insert(entry.host.clone(), entry);
            }
        }
        gone
    }
}

/// A host as one of those that a daemon may keep links to.
pub fn candidate(target: TargetId, entry: &HostEntry) -> Candidate {
    Candidate {
        target,
        host: entry.host.clone(),
        place: entry.place.clone(),
        zone: entry.zone.clone(),
        region: entry.region.clone(),
        evacuated: false,
    }
}
