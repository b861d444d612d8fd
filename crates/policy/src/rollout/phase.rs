//! The rollout state machine that each daemon runs for a service.
//!
//! A rollout goes from running to moving, in which old targets get no new calls, and ends as
//! done or reverted. An end that is recorded in the status row is final. Before that, reverted
//! takes precedence over moving, so a daemon that finds the version bad can revert without
//! agreement from the others.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use super::analysis::{CanaryAnalysis, Fault, Readiness};
use super::evidence::TargetEvidence;
use crate::ids::Micros;

/// Time before the deadline at which the move begins, so that calls in flight end and the
/// status row is written in time. A longer one exposes more calls to a version that is not yet
/// settled.
const MOVE_LEAD_US: Micros = 1_600_000;
/// Limits the lead of the move to one part in this many of the rollout's time limit.
const MOVE_LEAD_DIVISOR: Micros = 5;
/// The last part of the move's lead, as a divisor. A version that was not found good when it
/// begins is reverted, so that the status row can be written before the deadline.
const REVERT_LEAD_DIVISOR: Micros = 3;
/// Time before the deadline, in microseconds, from which "done" may be written. It can't be
/// undone, so the new version is first observed under the whole load.
const DONE_LEAD_US: Micros = 800_000;
/// The same where some old targets could not be reached, which are waited for longer.
const UNREACHABLE_DONE_LEAD_US: Micros = 250_000;
/// The new version must have at least one target for this many old ones; fewer could not
/// carry the load.
const MIN_TARGETS_DIVISOR: usize = 4;
/// Time from the beginning of the move until old targets refuse calls, in microseconds. By
/// then every router with a link to them has received the update and offers them none.
const PROPAGATION_US: Micros = 200_000;
/// Upper bound of a rollout's time limit, in microseconds: one day. Longer limits are clamped.
const MAX_ROLLOUT_US: Micros = 86_400_000_000;
/// Minimum duration of the move, in microseconds. By then old targets refuse calls and have
/// reported whether they are idle.
const MIN_MOVE_US: Micros = 600_000;
/// Maximum number of hosts remembered as idle.
const MAX_IDLE_HOSTS: usize = 4_096;
/// Maximum number of services with a rollout; orders for further services are dropped.
const MAX_SERVICES: usize = 256;
/// Maximum number of versions in each of a rollout's version lists.
const MAX_VERSIONS: usize = 32;

/// An order to move a service to a version of its targets.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RolloutOrder {
    /// The service.
    pub service: String,
    /// The version to move to; absent where an earlier order is withdrawn.
    pub version: Option<String>,
    /// Version that the store gave to the order's row; a later order has a higher one.
    pub number: u64,
    /// Time within which the rollout must be completed, in microseconds.
    pub time_limit_us: Micros,
}

/// State of a rollout.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
    /// The new version gets its canary share of the calls.
    Running,
    /// Old targets get no new calls and finish those in flight.
    Moving,
    /// All calls go to the new version.
    Done,
    /// All calls go to the old versions.
    Reverted,
}

/// Why a rollout was reverted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Cause {
    /// The version is bad.
    Bad(Fault),
    /// It got too few calls before the deadline to be found good.
    TooFewCalls,
    /// At the deadline it was neither bad enough to be rejected nor good enough to pass.
    Doubtful,
    /// No target of that version takes calls.
    NoTargets,
    /// Far fewer targets of that version than of the old ones take calls.
    TooFewTargets,
    /// The order was withdrawn.
    TakenBack,
}

/// State of a rollout as daemons exchange it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RolloutUpdate {
    /// The service.
    #[serde(rename = "s")]
    pub service: String,
    /// Number of the order.
    #[serde(rename = "o")]
    pub number: u64,
    /// The new version.
    #[serde(rename = "t")]
    pub version: String,
    /// Time left until the deadline, in microseconds.
    #[serde(rename = "l")]
    pub remaining_us: Micros,
    /// Time limit of the whole rollout, in microseconds.
    #[serde(rename = "w")]
    pub time_limit_us: Micros,
    /// Phase of the rollout.
    #[serde(rename = "p")]
    pub phase: Phase,
    /// Whether the phase is recorded in the status row.
    #[serde(rename = "d", default, skip_serializing_if = "std::ops::Not::not")]
    pub stored: bool,
    /// Last known version of the status row; 0 where none was read.
    #[serde(rename = "n", default)]
    pub row_version: u64,
    /// Versions of earlier orders that were not completed; they get no calls.
    #[serde(rename = "b", default, skip_serializing_if = "Vec::is_empty")]
    pub excluded: Vec<String>,
    /// Known versions that calls are moved away from.
    #[serde(rename = "a", default, skip_serializing_if = "Vec::is_empty")]
    pub old: Vec<String>,
}

/// Which calls a target of some version may get.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AdmittedCalls {
    /// Any.
    All,
    /// Those that a router counts towards its canary share.
    Canary,
    /// None.
    None,
}

/// What a daemon knows of the targets of the service.
#[derive(Clone, Debug, Default)]
pub struct MemberSummary {
    /// Number of targets that take calls, by version.
    pub targets_by_version: BTreeMap<String, usize>,
    /// Whether every target of another version than the new one is idle or unreachable.
    pub all_old_idle: bool,
    /// Whether any of them was skipped because it is unreachable.
    pub any_unreachable: bool,
}

/// What a daemon does next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Step {
    /// Begin the move and announce it to all daemons.
    Move,
    /// Revert, announce it to all daemons and write it to the status row.
    Revert(Cause),
    /// Write "done" to the status row; it takes effect once the write succeeds.
    Finish,
}

/// What applying an update or an order changed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RolloutChange {
    /// Nothing.
    None,
    /// The deadline or the version of the status row, which other daemons need not be sent.
    Local,
    /// The order, the phase or the final set of old versions; relayed to other daemons.
    Relay,
}

/// The rollout of one service.
#[derive(Clone, Debug)]
pub struct Rollout {
    service: String,
    number: u64,
    version: String,
    deadline: Micros,
    time_limit_us: Micros,
    phase: Phase,
    stored: bool,
    row_version: u64,
    excluded: BTreeSet<String>,
    /// Versions of old targets seen during the rollout.
    old: BTreeSet<String>,
    analysis: CanaryAnalysis,
    idle: BTreeSet<String>,
    /// When this daemon entered the phase or learned of it.
    phase_started: Micros,
}

impl Rollout {
    fn new(now: Micros, update: &RolloutUpdate) -> Self {
        Rollout {
            service: update.service.clone(),
            number: update.number,
            version: update.version.clone(),
            deadline: now + update.remaining_us.min(MAX_ROLLOUT_US),
            time_limit_us: update.time_limit_us.min(MAX_ROLLOUT_US),
            phase: update.phase,
            stored: update.stored,
            row_version: update.row_version,
            excluded: update.excluded.iter().take(MAX_VERSIONS).cloned().collect(),
            old: update.old.iter().take(MAX_VERSIONS).cloned().collect(),
            analysis: CanaryAnalysis::default(),
            idle: BTreeSet::new(),
            phase_started: now,
        }
    }

    /// The service.
    pub fn service(&self) -> &str {
        &self.service
    }

    /// Number of the order.
    pub fn number(&self) -> u64 {
        self.number
    }

    /// The version that calls are moved to.
    pub fn version(&self) -> &str {
        &self.version
    }

    /// The current phase.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Whether the phase is recorded in the status row, which does not tell moving from
    /// running.
    pub fn is_stored(&self) -> bool {
        self.stored
    }

    /// Last known version of the status row; 0 where none was read.
    pub fn row_version(&self) -> u64 {
        self.row_version
    }

    /// Whether the rollout is still running or moving, so that evidence is analysed.
    pub fn is_active(&self) -> bool {
        self.phase <= Phase::Moving
    }

    /// The analysis of the evidence.
    pub fn analysis(&self) -> &CanaryAnalysis {
        &self.analysis
    }

    /// The update to send to other daemons.
    pub fn to_update(&self, now: Micros) -> RolloutUpdate {
        RolloutUpdate {
            service: self.service.clone(),
            number: self.number,
            version: self.version.clone(),
            remaining_us: self.deadline.saturating_sub(now),
            time_limit_us: self.time_limit_us,
            phase: self.phase,
            stored: self.stored,
            row_version: self.row_version,
            excluded: self.excluded.iter().cloned().collect(),
            old: self.old.iter().cloned().collect(),
        }
    }

    /// Which calls a target of a version may get. `any_other` says whether targets are known
    /// that can take its calls instead: of old versions, or of the new one in phase done.
    /// Without any, the calls cannot be divided.
    pub fn admitted_calls(&self, version: &str, any_other: bool) -> AdmittedCalls {
        let is_new = version == self.version;
        match self.phase {
            _ if self.excluded.contains(version) => AdmittedCalls::None,
            Phase::Running if is_new && any_other => AdmittedCalls::Canary,
            Phase::Running => AdmittedCalls::All,
            Phase::Moving if is_new => AdmittedCalls::All,
            Phase::Moving => AdmittedCalls::None,
            Phase::Done if any_other && self.old.contains(version) => AdmittedCalls::None,
            Phase::Done => AdmittedCalls::All,
            Phase::Reverted if is_new => AdmittedCalls::None,
            Phase::Reverted => AdmittedCalls::All,
        }
    }

    /// Whether the daemon of a target of a version refuses all calls now.
    pub fn refuses_all(&self, now: Micros, version: &str, any_other: bool) -> bool {
        let is_propagating =
            self.phase == Phase::Moving && now < self.phase_started + PROPAGATION_US;
        let waits = is_propagating && self.is_old(version);
        !waits && self.admitted_calls(version, any_other) == AdmittedCalls::None
    }

    /// Whether calls are moved away from a version.
    pub fn is_old(&self, version: &str) -> bool {
        version != self.version && !self.excluded.contains(version)
    }

    /// Adds the evidence of one target.
    pub fn add_evidence(&mut self, now: Micros, evidence: &TargetEvidence) {
        let is_this_order = evidence.order == self.number && evidence.service == self.service;
        if is_this_order && self.is_active() {
            let is_new = evidence.version == self.version;
            self.analysis.add_evidence(now, evidence, is_new);
        }
    }

    /// Records that an old target has no calls in flight and takes none. Returns whether that
    /// was not known before.
    pub fn record_idle(&mut self, number: u64, host: &str) -> bool {
        let has_room = self.idle.len() < MAX_IDLE_HOSTS;
        number == self.number && has_room && self.idle.insert(host.to_owned())
    }

    /// Hosts of old targets that reported being idle.
    pub fn idle_hosts(&self) -> &BTreeSet<String> {
        &self.idle
    }

    /// Merges an update for the same order.
    fn apply_same_order(&mut self, now: Micros, update: &RolloutUpdate) -> RolloutChange {
        let deadline = now + update.remaining_us.min(MAX_ROLLOUT_US);
        let is_local = deadline < self.deadline || update.row_version > self.row_version;
        self.deadline = self.deadline.min(deadline);
        self.row_version = self.row_version.max(update.row_version);
        let old_count = self.old.len();
        let room = MAX_VERSIONS.saturating_sub(old_count);
        self.old.extend(update.old.iter().take(room).cloned());
        let has_grown = self.old.len() > old_count && !self.is_active();
        if precedence(update.phase, update.stored) > precedence(self.phase, self.stored) {
            self.phase = update.phase;
            self.stored = update.stored;
            self.phase_started = now;
            return RolloutChange::Relay;
        }
        if update.phase == self.phase && update.stored && !self.stored {
            self.stored = true;
            return RolloutChange::Relay;
        }
        // After the end, the set of old versions decides which targets get calls.
        if has_grown {
            return RolloutChange::Relay;
        }
        if is_local {
            RolloutChange::Local
        } else {
            RolloutChange::None
        }
    }

    /// Decides what to do next, after a change of the members or as time passes.
    pub fn step(&mut self, now: Micros, members: &MemberSummary) -> Option<Step> {
        if !self.is_active() {
            return None;
        }
        self.record_old_versions(members);
        let targets = members
            .targets_by_version
            .get(&self.version)
            .copied()
            .unwrap_or(0);
        if let Some(fault) = self.analysis.fault(targets) {
            return Some(self.revert(Cause::Bad(fault)));
        }
        match self.phase {
            Phase::Running => self.step_running(now, members, targets),
            Phase::Moving => self.may_finish(now, members).then_some(Step::Finish),
            Phase::Done | Phase::Reverted => None,
        }
    }

    fn record_old_versions(&mut self, members: &MemberSummary) {
        let versions = members.targets_by_version.keys();
        let old: Vec<String> = versions
            .filter(|version| self.is_old(version))
            .cloned()
            .collect();
        self.old.extend(old);
    }

    fn step_running(
        &mut self,
        now: Micros,
        members: &MemberSummary,
        targets: usize,
    ) -> Option<Step> {
        let old = members.targets_by_version.iter();
        let old = old.filter(|(version, _)| self.is_old(version));
        let old: usize = old.map(|(_, count)| count).sum();
        let lead_us = MOVE_LEAD_US.min(self.time_limit_us / MOVE_LEAD_DIVISOR);
        if now + lead_us < self.deadline {
            return None;
        }
        let cause = match self.analysis.readiness() {
            _ if targets == 0 => Cause::NoTargets,
            _ if targets * MIN_TARGETS_DIVISOR < old => Cause::TooFewTargets,
            Readiness::Good => return Some(self.begin_move(now)),
            // Nothing else can serve the calls.
            Readiness::TooFew if old == 0 => return Some(self.begin_move(now)),
            Readiness::TooFew => Cause::TooFewCalls,
            Readiness::Doubtful => Cause::Doubtful,
        };
        let is_revert_due = now + lead_us / REVERT_LEAD_DIVISOR >= self.deadline;
        is_revert_due.then(|| self.revert(cause))
    }

    fn begin_move(&mut self, now: Micros) -> Step {
        self.phase = Phase::Moving;
        self.phase_started = now;
        self.stored = false;
        Step::Move
    }

    fn revert(&mut self, cause: Cause) -> Step {
        self.phase = Phase::Reverted;
        self.stored = false;
        Step::Revert(cause)
    }

    /// Whether "done" may be written. Unreachable old targets are waited for as long as the
    /// deadline allows.
    fn may_finish(&self, now: Micros, members: &MemberSummary) -> bool {
        let lead_us = if members.any_unreachable {
            UNREACHABLE_DONE_LEAD_US
        } else {
            DONE_LEAD_US
        };
        let has_propagated = now >= self.phase_started + MIN_MOVE_US;
        members.all_old_idle && has_propagated && now + lead_us >= self.deadline
    }

    /// Records that the status row has this phase for this order, as written or read.
    pub fn record_stored(&mut self, phase: Phase, row_version: u64) -> RolloutChange {
        self.row_version = row_version;
        if precedence(phase, true) <= precedence(self.phase, self.stored) {
            let is_newly_stored = phase == self.phase && !self.stored;
            self.stored |= is_newly_stored;
            return if is_newly_stored {
                RolloutChange::Relay
            } else {
                RolloutChange::Local
            };
        }
        self.phase = phase;
        self.stored = true;
        RolloutChange::Relay
    }

    /// Records the version of a status row that has no phase for this order: it is missing,
    /// unreadable or of an earlier order.
    pub fn record_row_version(&mut self, row_version: u64) {
        self.row_version = row_version;
    }

    /// Records that the status row belongs to a later order, so that nothing is written for
    /// this one.
    pub fn mark_superseded(&mut self) {
        self.stored = true;
    }
}

/// Which of two states of the same order wins when they are merged. The status row only tells
/// ended rollouts from active ones.
fn precedence(phase: Phase, stored: bool) -> u8 {
    match (phase, stored) {
        (Phase::Running, _) => 0,
        (Phase::Moving, _) => 1,
        (Phase::Done | Phase::Reverted, false) => 2,
        (Phase::Done | Phase::Reverted, true) => 3,
    }
}

/// The rollouts of all services, as one daemon knows them.
#[derive(Clone, Debug, Default)]
pub struct Rollouts {
    services: BTreeMap<String, Rollout>,
}

impl Rollouts {
    /// Applies an order read from its row.
    pub fn apply_order(&mut self, now: Micros, order: &RolloutOrder) -> RolloutChange {
        let known = self.services.get(&order.service);
        let (version, number, phase) = match (&order.version, known) {
            (Some(version), _) => (version.clone(), order.number, Phase::Running),
            // A withdrawn order keeps its number, so that "done" in the status row still wins.
            (None, Some(known)) if known.is_active() && known.number < order.number => {
                (known.version.clone(), known.number, Phase::Reverted)
            }
            (None, _) => return RolloutChange::None,
        };
        let update = RolloutUpdate {
            service: order.service.clone(),
            number,
            version,
            remaining_us: order.time_limit_us,
            time_limit_us: order.time_limit_us,
            phase,
            stored: false,
            row_version: known.map_or(0, Rollout::row_version),
            excluded: Vec::new(),
            old: Vec::new(),
        };
        self.apply_update(now, &update)
    }

    /// Applies an update from another daemon.
    pub fn apply_update(&mut self, now: Micros, update: &RolloutUpdate) -> RolloutChange {
        let is_full = self.services.len() >= MAX_SERVICES;
        let next = match self.services.get_mut(&update.service) {
            Some(known) if known.number > update.number => return RolloutChange::None,
            Some(known) if known.number == update.number => {
                return known.apply_same_order(now, update);
            }
            Some(known) => {
                let mut next = Rollout::new(now, update);
                next.excluded
                    .extend(known.unfinished_versions(&next.version));
                next.excluded.remove(&next.version);
                next
            }
            None if is_full => return RolloutChange::None,
            None => Rollout::new(now, update),
        };
        self.services.insert(update.service.clone(), next);
        RolloutChange::Relay
    }

    /// The rollout of a service.
    pub fn get(&self, service: &str) -> Option<&Rollout> {
        self.services.get(service)
    }

    /// The rollout of a service, mutably.
    pub fn get_mut(&mut self, service: &str) -> Option<&mut Rollout> {
        self.services.get_mut(service)
    }

    /// The rollouts of all services.
    pub fn all(&self) -> impl Iterator<Item = &Rollout> {
        self.services.values()
    }
}

impl Rollout {
    /// Versions that get no calls during a later rollout to `next`: the excluded ones, and this
    /// rollout's own version unless it was completed.
    fn unfinished_versions(&self, next: &str) -> Vec<String> {
        let mut versions: Vec<String> = self.excluded.iter().cloned().collect();
        if self.phase != Phase::Done {
            versions.push(self.version.clone());
        }
        versions.retain(|version| version != next);
        versions
    }
}
