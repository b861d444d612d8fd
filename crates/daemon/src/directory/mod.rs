//! What a daemon follows and keeps in a store of rows: the accepted settings, the
//! members of the deployment, the key that proves links, and its own member row.
//!
//! Nothing in the store runs out by itself, so rows say who there may be and links
//! say who lives. A row is written on a change only.

mod apply;
mod confirm;
mod departures;
mod dial;
mod follow;
mod history;
mod member;
mod neighbours;
mod operator;
mod operator_row;
mod publish;
mod quarantined;
mod spread;
pub(crate) mod state;
mod zones;

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use lynxcleat_policy::{Departure, ReportEffect, ReportedState, TargetReport, TargetReports};
use lynxcleat_store::{FeedRole, OwnedRow};

use crate::control;
use crate::core::Core;
use crate::life::{LeaveCause, Phase};
use crate::mesh::Link;
use crate::rollout;
use crate::sync::lock;

pub use departures::{Acknowledgement, take as take_departures};
pub use neighbours::end_neighbour;
pub use operator_row::{OperatorRow, OperatorRowError, ReadOperatorRow, WantedRollout};
pub use spread::{send_rows, take_rows};
pub use state::{
    AdjustedValue, Directory, DirectoryState, SettingsRow, StatusRows, TranslateError,
    TranslatedTree,
};
pub use zones::take_zones;

/// Longest wait for the member row before a report that a target is ready is answered: targets
/// wait a second at most.
const REPORT_WAIT: Duration = Duration::from_millis(400);

impl DirectoryState {
    /// What this daemon does about the store.
    fn role(&self, core: &Core) -> FeedRole {
        let rank = core.hosts.rank(&core.config.host);
        lock(&self.watch).role(rank)
    }

    /// Whether this daemon waits for changes of the settings at the store.
    pub fn follows_settings(&self, core: &Core) -> bool {
        self.role(core) != FeedRole::Listen
    }

    /// Whether this daemon polls the store for settings at the interval of watchers.
    pub fn watches_settings(&self, core: &Core) -> bool {
        self.role(core) == FeedRole::Watch
    }

    /// Time until this daemon has to ask the store for settings itself; zero if it is due.
    fn time_until_overdue(&self, core: &Core) -> Duration {
        let rank = core.hosts.rank(&core.config.host);
        let mut watch = lock(&self.watch);
        // The feed may hear of settings in force before the task that takes note of them does.
        watch.put_in_force(core.settings.number());
        watch.time_until_overdue(core.clock.since_start(), rank)
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

    /// The target says in an answer that it leaves: it gets no new calls, as if it had
    /// reported so.
    pub fn target_says_leaving(&self) {
        let Some(current) = self.half.with_reports(|reports| reports.current().cloned()) else {
            return self.set_leaving(LeaveCause::Answer, true);
        };
        let Some(target) = current else { return };
        self.half.with_reports(|reports| {
            let state = ReportedState::Draining;
            reports.mark_ended(&target.instance, target.started_ms, state)
        });
        departures::record_said(self, target.instance, target.started_ms);
        self.apply_target();
    }

    /// Puts what the target reports in force.
    fn apply_target(&self) {
        let open = self.half.with_reports(|reports| reports.ready().is_some());
        self.half.apply_limits();
        self.set_leaving(LeaveCause::Report, open == Some(false));
        rollout::apply_own(self);
        member::want_own(self);
    }
}

/// Age of this daemon's knowledge of the settings in the store; zero if no directory is followed.
pub fn settings_age(core: &Core) -> Duration {
    let directory = core.directory.as_ref();
    directory.map_or(Duration::ZERO, |directory| {
        directory.age(core.clock.since_start())
    })
}

/// Starts following the directory.
pub fn start(core: &Arc<Core>) {
    core.set_leaving(LeaveCause::Report, true);
    history::refresh(core);
    tokio::spawn(follow::settings(Arc::clone(core)));
    tokio::spawn(follow::members(Arc::clone(core)));
    tokio::spawn(neighbours::keep(Arc::clone(core)));
    tokio::spawn(spread::report_settings(Arc::clone(core)));
    tokio::spawn(publish::keep_own_row(Arc::clone(core)));
    tokio::spawn(quarantined::keep(Arc::clone(core)));
    rollout::start(core);
    control::start_load(core);
}

/// Takes a report of the target. Returns when what must last of it does, but no later than a
/// target waits for its acknowledgement.
pub async fn report(core: &Core, report: TargetReport) -> Acknowledgement {
    let departure = departures::of_report(core, &report);
    let mut reports = history::refresh(core);
    reports.push(report);
    let mut is_changed = false;
    for report in reports {
        is_changed |= apply::report(core, report).await;
    }
    match departure {
        Some(departure) if is_outlived(core, &departure) => Acknowledgement::Withheld,
        Some(departure) => departures::acknowledge(core, departure).await,
        None if is_changed => {
            let _ = tokio::time::timeout(REPORT_WAIT, own_row_settled(core)).await;
            Acknowledgement::Given
        }
        None => Acknowledgement::Given,
    }
}

/// Whether a departure was not put in force, since a later start under the same name is ready.
/// What is acknowledged binds, so it is not.
fn is_outlived(core: &Core, departure: &Departure) -> bool {
    let (instance, started_ms) = (departure.instance.as_str(), departure.started_ms);
    let outlives = |reports: &mut TargetReports| reports.outlives(instance, started_ms);
    core.half.with_reports(outlives) == Some(true)
}

async fn own_row_settled(core: &Core) {
    if let Some(directory) = &core.directory {
        let is_settled = || {
            let own = lock(&directory.own);
            own.as_ref().is_none_or(OwnedRow::is_settled)
        };
        directory.settled_when(is_settled).await;
    }
}

/// Tells a daemon at the other end of a new link what is known here of zones and departures.
pub fn greet(core: &Core, link: &Link) {
    zones::greet(core, link);
    departures::greet(core, link);
}
