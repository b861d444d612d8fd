//! What a daemon knows of its directory.

use std::collections::HashMap;
use std::sync::atomic::AtomicBool;
use std::sync::{Arc, Mutex, OnceLock};
use std::time::Duration;

use lynxcleat_policy::{Departures, EvacuatedZones, Greetings, History, Micros};
use lynxcleat_settings::Tree;
use lynxcleat_store::{FeedLimits, Follower, KnowledgeReport, OwnedRow, RowStore, StoreWatch};
use lynxcleat_wire::SharedKey;
use thiserror::Error;
use tokio::sync::{Notify, watch};

use super::operator_row::ReadOperatorRow;
use crate::config::Config;
use crate::mesh::link::Link;
use crate::sync::lock;

/// Table of the members and the key.
pub(super) const TABLE: &str = "lynxcleat";

/// A link over which changes of the members are exchanged while either side wants it.
struct Neighbour {
    link: Arc<Link>,
    /// Whether this daemon selected the peer.
    is_wanted: bool,
    /// Whether the peer selected this daemon.
    is_wanted_by_peer: bool,
}

/// The links to neighbours, by number.
#[derive(Default)]
pub(super) struct Neighbours {
    links: Mutex<HashMap<u64, Neighbour>>,
}

impl Neighbours {
    /// Whether any link to a neighbour stands.
    pub(super) fn any(&self) -> bool {
        let links = lock(&self.links);
        links.values().any(|neighbour| !neighbour.link.is_closed())
    }

    /// The links that stand.
    pub(super) fn links(&self) -> Vec<Arc<Link>> {
        let mut links = lock(&self.links);
        links.retain(|_, neighbour| !neighbour.link.is_closed());
        let neighbours = links.values();
        neighbours
            .map(|neighbour| Arc::clone(&neighbour.link))
            .collect()
    }

    /// Whether a link is one to a neighbour.
    pub(super) fn has(&self, link: &Link) -> bool {
        lock(&self.links).contains_key(&link.id)
    }

    /// Whether this daemon wants the peer of a link as a neighbour.
    pub(super) fn is_wanted(&self, link: &Link) -> bool {
        let links = lock(&self.links);
        links
            .get(&link.id)
            .is_some_and(|neighbour| neighbour.is_wanted)
    }

    /// Records that this daemon wants the peer. Returns whether the link is a new neighbour.
    pub(super) fn mark_wanted(&self, link: &Arc<Link>) -> bool {
        self.update(link, |neighbour| neighbour.is_wanted = true)
    }

    /// Records that the peer wants this daemon. Returns whether the link is a new neighbour.
    pub(super) fn mark_wanted_by_peer(&self, link: &Arc<Link>) -> bool {
        self.update(link, |neighbour| neighbour.is_wanted_by_peer = true)
    }

    fn update(&self, link: &Arc<Link>, mark: impl FnOnce(&mut Neighbour)) -> bool {
        let mut links = lock(&self.links);
        let is_new = !links.contains_key(&link.id);
        mark(links.entry(link.id).or_insert_with(|| Neighbour {
            link: Arc::clone(link),
            is_wanted: false,
            is_wanted_by_peer: false,
        }));
        is_new
    }

    /// Clears the mark of neighbours whose link ids are not in `wanted`, and removes neighbours that
    /// neither side wants. Returns the links whose mark was cleared.
    pub(super) fn drop_unwanted(&self, wanted: &[u64]) -> Vec<Arc<Link>> {
        let mut links = lock(&self.links);
        let mut dropped = Vec::new();
        for (id, neighbour) in links.iter_mut() {
            if neighbour.is_wanted && !wanted.contains(id) {
                neighbour.is_wanted = false;
                dropped.push(Arc::clone(&neighbour.link));
            }
        }
        links.retain(|_, neighbour| neighbour.is_wanted || neighbour.is_wanted_by_peer);
        dropped
    }

    /// Records that the peer no longer wants this daemon.
    pub(super) fn clear_wanted_by_peer(&self, link: &Link) {
        let mut links = lock(&self.links);
        if let Some(neighbour) = links.get_mut(&link.id) {
            neighbour.is_wanted_by_peer = false;
        }
        links.retain(|_, neighbour| neighbour.is_wanted || neighbour.is_wanted_by_peer);
    }
}

/// A tree that was read from a row, with its number.
#[derive(Clone, Debug)]
pub struct TranslatedTree {
    /// Number of its generation.
    pub number: u64,
    /// The tree.
    pub tree: Tree,
    /// What is in force otherwise than it is written, of what was read anew.
    pub adjusted: Vec<AdjustedValue>,
}

/// A value that operators accepted and that the settings cannot hold as it is written.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AdjustedValue {
    /// Path of the setting.
    pub path: String,
    /// What is written.
    pub written: String,
    /// What is in force.
    pub served: String,
}

/// Why a row's value is no tree of settings.
#[derive(Debug, Error)]
#[error("the settings cannot be read: {0}")]
pub struct TranslateError(#[source] pub Box<dyn std::error::Error + Send + Sync>);

/// Reads the value of a settings row. It is given the tree in force, so that what did not change
/// is taken from there.
pub type ReadSettings =
    Arc<dyn Fn(&[u8], Option<&Tree>) -> Result<TranslatedTree, TranslateError> + Send + Sync>;

/// What operators write: the row that holds the accepted settings, and rows beside it.
#[derive(Clone)]
pub struct SettingsRow {
    /// Its table.
    pub table: String,
    /// Its key.
    pub key: String,
    /// Reads its value.
    pub read: ReadSettings,
    /// Reads the other rows of the same table.
    pub read_operator_row: ReadOperatorRow,
}

/// Rows in which daemons say where rollouts stand.
#[derive(Clone)]
pub struct StatusRows {
    /// Their table.
    pub table: String,
    /// Their keys, before the service's name.
    pub key_prefix: String,
}

/// Where a daemon finds settings, key and members.
#[derive(Clone)]
pub struct Directory {
    /// The store.
    pub store: Arc<dyn RowStore>,
    /// The row of the accepted settings.
    pub settings: SettingsRow,
    /// Where the status of rollouts is written.
    pub rollout_status: StatusRows,
}

/// A daemon's dealings with its directory.
pub struct DirectoryState {
    pub(super) directory: Directory,
    /// The key that proves links, once it is known.
    pub key: OnceLock<SharedKey>,
    pub(super) members_read: AtomicBool,
    pub(super) own: Mutex<Option<OwnedRow>>,
    /// The members' table as far as it is known.
    pub(super) members: Mutex<Follower>,
    /// The table of the settings, where this daemon follows it.
    pub(super) settings: Mutex<Follower>,
    /// How old this daemon's knowledge of the settings in the store is.
    pub(super) watch: Mutex<StoreWatch>,
    pub(super) neighbours: Neighbours,
    pub(super) evacuations: Mutex<EvacuatedZones>,
    /// Incarnations of targets that leave, of this host and of others.
    pub(super) departures: Mutex<Departures>,
    /// How far back all departures are known.
    pub(super) history: Mutex<History>,
    /// What peers told of that since the start.
    pub(super) greetings: Mutex<Greetings>,
    /// Told when a peer has greeted this daemon.
    pub(super) greeted: Notify,
    /// Whether the wait for greetings of peers is over.
    pub(super) history_known: watch::Sender<bool>,
    /// Ends a wait for changes: there is reason to think that it would bring none.
    pub(super) doubted: watch::Sender<u64>,
    pub(super) wanted: Notify,
    pub(super) settled: Notify,
}

impl DirectoryState {
    /// Nothing is known yet to the daemon of a host that starts at `now`.
    pub fn new(directory: Directory, config: &Config, now: Micros) -> Self {
        let first_start = config.first_start;
        let history = match first_start {
            true => History::of_first_start(now),
            false => History::awaited(now),
        };
        DirectoryState {
            directory,
            key: OnceLock::new(),
            members_read: AtomicBool::new(false),
            members: Mutex::default(),
            settings: Mutex::default(),
            watch: Mutex::new(StoreWatch::new(FeedLimits::within(
                config.settings_in_force,
            ))),
            neighbours: Neighbours::default(),
            evacuations: Mutex::default(),
            departures: Mutex::new(Departures::new(&config.host)),
            history: Mutex::new(history),
            greetings: Mutex::default(),
            greeted: Notify::new(),
            history_known: watch::Sender::new(first_start),
            own: Mutex::default(),
            doubted: watch::Sender::new(0),
            wanted: Notify::new(),
            settled: Notify::new(),
        }
    }

    /// Whether a link is one to a neighbour, over which news pass.
    pub fn is_neighbour(&self, link: &Link) -> bool {
        self.neighbours.has(link)
    }

    /// Age of this daemon's knowledge of the settings in the store.
    pub fn age(&self, now: Duration) -> Duration {
        lock(&self.watch).age(now)
    }

    /// A peer knew the settings `age` ago, and has generation `theirs` in force; `in_force` is in
    /// force here.
    pub fn record_report(&self, now: Duration, age: Duration, theirs: u64, in_force: u64) {
        let report = KnowledgeReport {
            as_of: now.saturating_sub(age),
            generation: theirs,
        };
        lock(&self.watch).record_report(report, in_force);
    }

    /// Availability zones that are evacuated, as far as is known here.
    pub fn evacuated_zones(&self) -> Vec<String> {
        lock(&self.evacuations).evacuated()
    }

    /// The store.
    pub fn store(&self) -> &Arc<dyn RowStore> {
        &self.directory.store
    }

    /// Reads the value of the row that holds the settings.
    pub fn settings_reader(&self) -> ReadSettings {
        Arc::clone(&self.directory.settings.read)
    }

    /// Where the status of rollouts is written.
    pub fn rollout_status(&self) -> &StatusRows {
        &self.directory.rollout_status
    }

    /// Links to the neighbours that stand.
    pub fn neighbour_links(&self) -> Vec<Arc<Link>> {
        self.neighbours.links()
    }

    /// Waits until something holds that news of this daemon's own row may change.
    pub(super) async fn settled_when(&self, holds: impl Fn() -> bool) {
        loop {
            let settled = self.settled.notified();
            tokio::pin!(settled);
            settled.as_mut().enable();
            if holds() {
                return;
            }
            settled.await;
        }
    }

    /// Something shows that the feeds may be stuck behind a connection that says
    /// nothing more, or that no peer can tell what is new: the store is asked anew.
    pub fn doubt_feeds(&self) {
        self.doubted.send_modify(|count| *count += 1);
    }
}
