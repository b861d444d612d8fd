//! What one daemon believes of the rollout of a service, and what it does next.
//!
//! A rollout goes from running to moving, when old targets get no new calls, and ends as done
//! or reverted. An end that stands in the store is final. Before that, reverted outweighs
//! moving: whoever finds the version bad need ask nobody.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use super::evidence::HalfEvidence;
use super::judge::{Fault, Judge, Readiness};
use crate::ids::Micros;

/// Time before the deadline at which the move begins: calls in hand end within it, and the
/// status row is written. A longer one exposes more before the version is settled.
const MOVE_US: Micros = 1_600_000;
/// Part of the time of the whole rollout that the move takes at most, as a divisor.
const MOVE_PART: Micros = 5;
/// Last part of the time kept for the move, as a divisor: a version that was not found good
/// when it begins is reverted, so that the status row can be written before the deadline.
const LAST_PART: Micros = 3;
/// Time before the deadline, in microseconds, from which "done" may be written. It can't be
/// undone, so the new version is first watched under the whole load.
const FINISH_US: Micros = 800_000;
/// The same where some old targets could not be reached: they are waited for longer.
const WRITE_US: Micros = 250_000;
/// Part of the old targets, as a divisor, that must be there of the new version: fewer could
/// not bear the calls.
const LEAST_TARGETS: usize = 4;
/// Time from the move's beginning until halves of old targets refuse calls, in microseconds:
/// by then every router that a link leads to has heard of it and offers none.
const SPREAD_US: Micros = 200_000;
/// Longest time of a rollout, in microseconds: a day. A longer one counts as that.
const LONGEST_US: Micros = 86_400_000_000;
/// Time after the move began before which it does not end, in microseconds: by then halves of
/// old targets refuse calls, and have said whether they are idle.
const LEAST_MOVE_US: Micros = 600_000;
/// Hosts that are kept as idle at most.
const IDLE_LIMIT: usize = 4_096;
/// Services and versions that are kept at most; further orders are refused.
const SERVICES_LIMIT: usize = 256;
const BARRED_LIMIT: usize = 32;

/// An order to move a service to a version of its targets.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RolloutOrder {
    /// The service.
    pub service: String,
    /// The version; absent where an earlier order is taken back.
    pub target: Option<String>,
    /// Version that the store gave to the order's row; a later order has a higher one.
    pub number: u64,
    /// Time within which it is to be done, in microseconds.
    pub within_us: Micros,
}

/// Where a rollout stands.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
    /// The new version gets its share of the calls.
    Running,
    /// Old targets get no new calls and finish what they have.
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
    /// Too few calls were made to find it good in time.
    TooFewCalls,
    /// It was not good enough at the end, if not bad enough before.
    Doubtful,
    /// No target of that version takes calls.
    NoTargets,
    /// Far fewer targets of that version take calls than of the old ones.
    TooFewTargets,
    /// The order was taken back.
    TakenBack,
}

/// What daemons tell each other of a rollout.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RolloutNews {
    /// The service.
    #[serde(rename = "s")]
    pub service: String,
    /// Number of the order.
    #[serde(rename = "o")]
    pub number: u64,
    /// The new version.
    #[serde(rename = "t")]
    pub target: String,
    /// Time left until the deadline, in microseconds.
    #[serde(rename = "l")]
    pub left_us: Micros,
    /// Time of the whole rollout, in microseconds.
    #[serde(rename = "w")]
    pub within_us: Micros,
    /// Where it stands.
    #[serde(rename = "p")]
    pub phase: Phase,
    /// Whether that stands in the status row.
    #[serde(rename = "d", default, skip_serializing_if = "std::ops::Not::not")]
    pub stored: bool,
    /// Version of the status row as last seen; 0 where it was not.
    #[serde(rename = "n", default)]
    pub row: u64,
    /// Versions of orders that were not done, which get no calls either.
    #[serde(rename = "b", default, skip_serializing_if = "Vec::is_empty")]
    pub barred: Vec<String>,
    /// Versions that the calls are moved away from, as far as they were seen.
    #[serde(rename = "a", default, skip_serializing_if = "Vec::is_empty")]
    pub old: Vec<String>,
}

/// Which calls a target of some version may get.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admits {
    /// Any.
    All,
    /// Those that a router counts as a part of its canary share.
    Canary,
    /// None.
    Nothing,
}

/// What a daemon knows of the members of the service.
#[derive(Clone, Debug, Default)]
pub struct Members {
    /// Versions of targets that take calls, with their number.
    pub versions: BTreeMap<String, usize>,
    /// Whether every other target than those of the new version is idle, or can't be reached.
    pub old_idle: bool,
    /// Whether any of them was only passed over since it can't be reached.
    pub any_unheard: bool,
}

/// What a daemon does next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Step {
    /// The move begins: it is told to all.
    Move,
    /// It is over: that is told to all, and written.
    Revert(Cause),
    /// It may be written that it is done; that counts once it stands there.
    Finish,
}

/// What news changed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Taken {
    /// Nothing.
    Nothing,
    /// A deadline or the version of the status row, which is no news for others.
    Detail,
    /// The order or the phase.
    News,
}

/// The rollout of one service.
#[derive(Clone, Debug)]
pub struct Rollout {
    service: String,
    number: u64,
    target: String,
    deadline: Micros,
    within_us: Micros,
    phase: Phase,
    stored: bool,
    row: u64,
    barred: BTreeSet<String>,
    /// Versions of old targets, as seen while it went on.
    old: BTreeSet<String>,
    judge: Judge,
    idle: BTreeSet<String>,
    /// When the phase began, as far as is known here.
    since: Micros,
}

impl Rollout {
    fn new(now: Micros, news: &RolloutNews) -> Self {
        Rollout {
            service: news.service.clone(),
            number: news.number,
            target: news.target.clone(),
            deadline: now + news.left_us.min(LONGEST_US),
            within_us: news.within_us.min(LONGEST_US),
            phase: news.phase,
            stored: news.stored,
            row: news.row,
            barred: news.barred.iter().take(BARRED_LIMIT).cloned().collect(),
            old: news.old.iter().take(BARRED_LIMIT).cloned().collect(),
            judge: Judge::default(),
            idle: BTreeSet::new(),
            since: now,
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

    /// The version that the calls are moved to.
    pub fn version(&self) -> &str {
        &self.target
    }

    /// Where it stands.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Whether the phase stands in the status row, as far as the row tells phases apart.
    pub fn is_stored(&self) -> bool {
        self.stored
    }

    /// Version of the status row as last seen; 0 where it was not.
    pub fn row(&self) -> u64 {
        self.row
    }

    /// Whether evidence is still weighed.
    pub fn is_open(&self) -> bool {
        self.phase <= Phase::Moving
    }

    /// What the evidence says.
    pub fn judge(&self) -> &Judge {
        &self.judge
    }

    /// What is told to others.
    pub fn news(&self, now: Micros) -> RolloutNews {
        RolloutNews {
            service: self.service.clone(),
            number: self.number,
            target: self.target.clone(),
            left_us: self.deadline.saturating_sub(now),
            within_us: self.within_us,
            phase: self.phase,
            stored: self.stored,
            row: self.row,
            barred: self.barred.iter().cloned().collect(),
            old: self.old.iter().cloned().collect(),
        }
    }

    /// What a target of a version may get, where `any_other` says whether targets are known
    /// that can take its calls: of old versions, or of the new one when all is done. Without
    /// any there is nothing to share the calls with.
    pub fn admits(&self, version: &str, any_other: bool) -> Admits {
        let is_new = version == self.target;
        match self.phase {
            _ if self.barred.contains(version) => Admits::Nothing,
            Phase::Running if is_new && any_other => Admits::Canary,
            Phase::Running => Admits::All,
            Phase::Moving if is_new => Admits::All,
            Phase::Moving => Admits::Nothing,
            Phase::Done if any_other && self.old.contains(version) => Admits::Nothing,
            Phase::Done => Admits::All,
            Phase::Reverted if is_new => Admits::Nothing,
            Phase::Reverted => Admits::All,
        }
    }

    /// Whether the half of a target of a version refuses all calls now.
    pub fn closes(&self, now: Micros, version: &str, any_other: bool) -> bool {
        let is_spreading = self.phase == Phase::Moving && now < self.since + SPREAD_US;
        let waits = is_spreading && self.is_old(version);
        !waits && self.admits(version, any_other) == Admits::Nothing
    }

    /// Whether a version is one that the calls are moved away from.
    pub fn is_old(&self, version: &str) -> bool {
        version != self.target && !self.barred.contains(version)
    }

    /// Takes what a half counted.
    pub fn take_evidence(&mut self, now: Micros, evidence: &HalfEvidence) {
        let of_this = evidence.order == self.number && evidence.service == self.service;
        if of_this && self.is_open() {
            let is_new = evidence.version == self.target;
            self.judge.take(now, evidence, is_new);
        }
    }

    /// The half of an old target has no call in hand and takes none. Returns whether that is
    /// news.
    pub fn take_idle(&mut self, number: u64, host: &str) -> bool {
        let has_room = self.idle.len() < IDLE_LIMIT;
        number == self.number && has_room && self.idle.insert(host.to_owned())
    }

    /// Hosts of old targets that said that they are idle.
    pub fn idle(&self) -> &BTreeSet<String> {
        &self.idle
    }

    /// Takes news of the same order.
    fn take_same(&mut self, now: Micros, news: &RolloutNews) -> Taken {
        let deadline = now + news.left_us.min(LONGEST_US);
        let is_detail = deadline < self.deadline || news.row > self.row;
        self.deadline = self.deadline.min(deadline);
        self.row = self.row.max(news.row);
        let known = self.old.len();
        let room = BARRED_LIMIT.saturating_sub(known);
        self.old.extend(news.old.iter().take(room).cloned());
        let has_grown = self.old.len() > known && !self.is_open();
        if weight(news.phase, news.stored) > weight(self.phase, self.stored) {
            self.phase = news.phase;
            self.stored = news.stored;
            self.since = now;
            return Taken::News;
        }
        if news.phase == self.phase && news.stored && !self.stored {
            self.stored = true;
            return Taken::News;
        }
        // After the end, the versions that were seen as old decide what is served.
        if has_grown {
            return Taken::News;
        }
        if is_detail {
            Taken::Detail
        } else {
            Taken::Nothing
        }
    }

    /// What is known of the members changed, or time passed.
    pub fn step(&mut self, now: Micros, members: &Members) -> Option<Step> {
        if !self.is_open() {
            return None;
        }
        self.learn_old(members);
        let targets = members.versions.get(&self.target).copied().unwrap_or(0);
        if let Some(fault) = self.judge.fault(targets) {
            return Some(self.revert(Cause::Bad(fault)));
        }
        match self.phase {
            Phase::Running => self.step_running(now, members, targets),
            Phase::Moving => self.may_finish(now, members).then_some(Step::Finish),
            Phase::Done | Phase::Reverted => None,
        }
    }

    fn learn_old(&mut self, members: &Members) {
        let versions = members.versions.keys();
        let old: Vec<String> = versions
            .filter(|version| self.is_old(version))
            .cloned()
            .collect();
        self.old.extend(old);
    }

    fn step_running(&mut self, now: Micros, members: &Members, targets: usize) -> Option<Step> {
        let old = members.versions.iter();
        let old = old.filter(|(version, _)| self.is_old(version));
        let old: usize = old.map(|(_, count)| count).sum();
        let move_us = MOVE_US.min(self.within_us / MOVE_PART);
        if now + move_us < self.deadline {
            return None;
        }
        let cause = match self.judge.readiness() {
            _ if targets == 0 => Cause::NoTargets,
            _ if targets * LEAST_TARGETS < old => Cause::TooFewTargets,
            Readiness::Good => return Some(self.begin_move(now)),
            // Nothing else can serve the calls.
            Readiness::TooFew if old == 0 => return Some(self.begin_move(now)),
            Readiness::TooFew => Cause::TooFewCalls,
            Readiness::Doubtful => Cause::Doubtful,
        };
        let is_last = now + move_us / LAST_PART >= self.deadline;
        is_last.then(|| self.revert(cause))
    }

    fn begin_move(&mut self, now: Micros) -> Step {
        self.phase = Phase::Moving;
        self.since = now;
        self.stored = false;
        Step::Move
    }

    fn revert(&mut self, cause: Cause) -> Step {
        self.phase = Phase::Reverted;
        self.stored = false;
        Step::Revert(cause)
    }

    /// Old targets that cannot be reached are waited for as long as there is time.
    fn may_finish(&self, now: Micros, members: &Members) -> bool {
        let kept_us = if members.any_unheard {
            WRITE_US
        } else {
            FINISH_US
        };
        let has_spread = now >= self.since + LEAST_MOVE_US;
        members.old_idle && has_spread && now + kept_us >= self.deadline
    }

    /// The status row was written, or seen, with this phase for this order.
    pub fn stored(&mut self, phase: Phase, row: u64) -> Taken {
        self.row = row;
        if weight(phase, true) <= weight(self.phase, self.stored) {
            let is_told = phase == self.phase && !self.stored;
            self.stored |= is_told;
            return if is_told { Taken::News } else { Taken::Detail };
        }
        self.phase = phase;
        self.stored = true;
        Taken::News
    }

    /// Another version of the status row was seen, that of another order.
    pub fn seen_row(&mut self, row: u64) {
        self.row = row;
    }

    /// The status row tells of a later order: nothing is written there for this one.
    pub fn superseded(&mut self) {
        self.stored = true;
    }
}

/// How much a belief weighs. The row tells only ends from what is not over.
fn weight(phase: Phase, stored: bool) -> u8 {
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
    /// Takes an order that was read from its row.
    pub fn take_order(&mut self, now: Micros, order: &RolloutOrder) -> Taken {
        let known = self.services.get(&order.service);
        let (target, number, phase) = match (&order.target, known) {
            (Some(target), _) => (target.clone(), order.number, Phase::Running),
            // It keeps its number: should it stand as done in the status row, that holds.
            (None, Some(known)) if known.is_open() && known.number < order.number => {
                (known.target.clone(), known.number, Phase::Reverted)
            }
            (None, _) => return Taken::Nothing,
        };
        let news = RolloutNews {
            service: order.service.clone(),
            number,
            target,
            left_us: order.within_us,
            within_us: order.within_us,
            phase,
            stored: false,
            row: known.map_or(0, Rollout::row),
            barred: Vec::new(),
            old: Vec::new(),
        };
        self.take(now, &news)
    }

    /// Takes what another daemon knows.
    pub fn take(&mut self, now: Micros, news: &RolloutNews) -> Taken {
        let is_full = self.services.len() >= SERVICES_LIMIT;
        let next = match self.services.get_mut(&news.service) {
            Some(known) if known.number > news.number => return Taken::Nothing,
            Some(known) if known.number == news.number => return known.take_same(now, news),
            Some(known) => {
                let mut next = Rollout::new(now, news);
                next.barred.extend(known.left_over(&next.target));
                next.barred.remove(&next.target);
                next
            }
            None if is_full => return Taken::Nothing,
            None => Rollout::new(now, news),
        };
        self.services.insert(news.service.clone(), next);
        Taken::News
    }

    /// The rollout of a service.
    pub fn of(&self, service: &str) -> Option<&Rollout> {
        self.services.get(service)
    }

    /// The rollout of a service, to be changed.
    pub fn of_mut(&mut self, service: &str) -> Option<&mut Rollout> {
        self.services.get_mut(service)
    }

    /// All of them.
    pub fn all(&self) -> impl Iterator<Item = &Rollout> {
        self.services.values()
    }
}

impl Rollout {
    /// Versions that get no calls during a later rollout to `next`: those that were not done.
    fn left_over(&self, next: &str) -> Vec<String> {
        let mut left: Vec<String> = self.barred.iter().cloned().collect();
        if self.phase != Phase::Done {
            left.push(self.target.clone());
        }
        left.retain(|version| version != next);
        left
    }
}
