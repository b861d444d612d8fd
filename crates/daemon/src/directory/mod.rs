//! What a daemon follows and keeps in a store of rows: the accepted settings, the
//! members of the deployment, the key that proves links, and its own member row.
//!
//! Nothing in the store runs out by itself, so rows say who there may be and links
//! say who lives. A row is written on a change only.

mod confirm;
mod follow;
mod member;
mod neighbours;
mod operator;
mod publish;
mod quarantined;
mod spread;
mod zones;

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::time::Duration;

use lynxcleat_policy::{Evacuations, Micros, ReportEffect, TargetReport};
use lynxcleat_settings::Tree;
use lynxcleat_store::{Duty, Follower, OwnRow, RowStore, Standing, duty};
use lynxcleat_wire::SharedKey;
use thiserror::Error;
use tokio::sync::{Notify, watch};

use crate::control;
use crate::core::Core;
use crate::life::{LeaveCause, Phase};
use crate::mesh::Link;
use crate::rollout;
use crate::sync::lock;

use neighbours::Neighbours;
pub use operator::{OperatorRow, OperatorRowError, ReadOperatorRow, WantedRollout};
pub use spread::{send_rows, take_rows};
pub use zones::{greet, take_zones};

/// Table of the members and the key.
const TABLE: &str = "lynxcleat";
/// Longest wait for the member row before a report is answered: targets wait a
/// second at most.
const REPORT_WAIT: Duration = Duration::from_millis(400);

/// A tree that was read from a row, with its number.
#[derive(Clone, Debug)]
pub struct TranslatedTree {
    /// Number of its generation.
    pub number: u64,
    /// The tree.
    pub tree: Tree,
}

/// Why a row's value is no tree of settings.
#[derive(Debug, Error)]
#[error("the settings cannot be read: {0}")]
pub struct TranslateError(#[source] pub Box<dyn std::error::Error + Send + Sync>);

/// Reads the value of a settings row.
pub type ReadSettings = Arc<dyn Fn(&[u8]) -> Result<TranslatedTree, TranslateError> + Send + Sync>;

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
    directory: Directory,
    /// The key that proves links, once it is known.
    pub key: OnceLock<SharedKey>,
    members_read: AtomicBool,
    own: Mutex<Option<OwnRow>>,
    /// The members' table as far as it is known.
    members: Mutex<Follower>,
    /// The table of the settings, where this daemon follows it.
    settings: Mutex<Follower>,
    /// When the store last answered somebody who follows it, as far as is known here, by
    /// this daemon's clock; the start of the daemon before that.
    heard_at: AtomicU64,
    neighbours: Neighbours,
    evacuations: Mutex<Evacuations>,
    /// Ends a wait for changes: there is reason to think that it would bring none.
    doubted: watch::Sender<u64>,
    wanted: Notify,
    settled: Notify,
}

impl DirectoryState {
    /// Nothing is known yet.
    pub fn new(directory: Directory) -> Self {
        DirectoryState {
            directory,
            key: OnceLock::new(),
            members_read: AtomicBool::new(false),
            members: Mutex::default(),
            settings: Mutex::default(),
            heard_at: AtomicU64::new(0),
            neighbours: Neighbours::default(),
            evacuations: Mutex::default(),
            own: Mutex::default(),
            doubted: watch::Sender::new(0),
            wanted: Notify::new(),
            settled: Notify::new(),
        }
    }

    /// What this daemon does next about a table; `watch` is the time between two looks of a
    /// watcher.
    fn duty(&self, core: &Core, watch: Duration) -> Duty {
        duty(
            Standing {
                rank: core.hosts.rank(&core.config.host),
                has_peers: self.neighbours.any(),
                silence: self.silence(core),
            },
            watch,
        )
    }

    /// Whether this daemon waits for changes of the settings at the store.
    pub fn follows_settings(&self, core: &Core) -> bool {
        matches!(self.duty(core, follow::SETTINGS_WATCH), Duty::Follow { .. })
    }

    /// Time since the store last answered somebody who follows it, as far as is known here.
    fn silence(&self, core: &Core) -> Duration {
        let heard_at = self.heard_at.load(Ordering::Relaxed);
        Duration::from_micros(core.clock.now().saturating_sub(heard_at))
    }

    /// Whether a link is one to a neighbour, over which news pass.
    pub fn is_neighbour(&self, link: &Link) -> bool {
        self.neighbours.has(link)
    }

    /// The store answered at some time. Returns by how much that is later than what was
    /// known.
    fn hear(&self, at: Micros) -> Duration {
        let before = self.heard_at.fetch_max(at, Ordering::Relaxed);
        Duration::from_micros(at.saturating_sub(before))
    }

    /// Availability zones that are evacuated, as far as is known here.
    pub fn evacuated_zones(&self) -> Vec<String> {
        lock(&self.evacuations).evacuated()
    }

    /// The store.
    pub fn store(&self) -> &Arc<dyn RowStore> {
        &self.directory.store
    }

    /// Where the status of rollouts is written.
    pub fn rollout_status(&self) -> &StatusRows {
        &self.directory.rollout_status
    }

    /// Links to the neighbours that stand.
    pub fn neighbour_links(&self) -> Vec<Arc<Link>> {
        self.neighbours.links()
    }

    /// Something shows that the feeds may be stuck behind a connection that says
    /// nothing more, or that no peer can tell what is new: the store is asked anew.
    pub fn doubt_feeds(&self) {
        self.doubted.send_modify(|count| *count += 1);
    }
}

impl Core {
    /// Whether callers should be sent here: settings, key and members are known,
    /// and no stop goes on.
    pub fn is_ready(&self) -> bool {
        let knows_members = self
            .directory
            .as_ref()
            .is_none_or(|directory| directory.members_read.load(Ordering::Relaxed));
        self.settings.number() > 0
            && knows_members
            && self.shared_key().is_some()
            && self.life.phase() == Phase::Serving
    }

    /// Another incarnation answered at the target's address than the one that a
    /// call was meant for.
    pub fn target_replaced(&self, meant: Option<&str>) {
        let Some(meant) = meant else { return };
        let effect = self
            .half
            .with_reports(|reports| reports.mark_replaced(meant));
        log::warn!(instance = meant; "the target was replaced");
        if effect == Some(ReportEffect::Changed) {
            self.apply_target();
        }
    }

    /// Puts what the target reports in force.
    fn apply_target(&self) {
        let open = self.half.with_reports(|reports| reports.open().is_some());
        self.half.apply_limits();
        self.set_leaving(LeaveCause::Report, open == Some(false));
        rollout::apply_own(self);
        member::want_own(self);
    }
}

/// Starts following the directory.
pub fn start(core: &Arc<Core>) {
    core.set_leaving(LeaveCause::Report, true);
    tokio::spawn(follow::settings(Arc::clone(core)));
    tokio::spawn(follow::members(Arc::clone(core)));
    tokio::spawn(neighbours::keep(Arc::clone(core)));
    tokio::spawn(publish::keep_own_row(Arc::clone(core)));
    tokio::spawn(quarantined::keep(Arc::clone(core)));
    rollout::start(core);
    control::start_load(core);
}

/// Takes a report of the target. Returns when what must last of it is in the
/// store, but no later than a target waits for its acknowledgement.
pub async fn report(core: &Core, report: TargetReport) {
    let instance = report.instance.clone();
    let state = report.state;
    let sequence = report.sequence;
    let cold_ms = report.cold_ms;
    let taken = core.half.take_report(core, report).await;
    if taken != ReportEffect::Changed {
        return;
    }
    log::info!(instance = instance.as_str(), state:? = state, sequence:?, cold_ms; "target reported");
    core.apply_target();
    let _ = tokio::time::timeout(REPORT_WAIT, own_row_settled(core)).await;
}

async fn own_row_settled(core: &Core) {
    let Some(directory) = &core.directory else {
        return;
    };
    loop {
        let settled = directory.settled.notified();
        tokio::pin!(settled);
        settled.as_mut().enable();
        if lock(&directory.own).as_ref().is_none_or(OwnRow::is_settled) {
            return;
        }
        settled.await;
    }
}
