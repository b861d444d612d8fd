//! Decides which incarnation of the target next to a daemon may receive calls, from the reports
//! that targets send about themselves.
//!
//! Reports can be delayed, duplicated and reordered. An incarnation is identified by the instance
//! name and the start time, because a target may restart under the same name. Three rules apply:
//! a report that a target is ready counts only if its sequence number is higher than any seen from
//! that incarnation; draining and gone are final for an incarnation, whatever their sequence
//! number; and an incarnation that was replaced by a later one never becomes current again. A
//! daemon that has received no report since it started gives its target no calls.
//!
//! Start times are read from clocks that may be set back. So an incarnation that started earlier
//! under the name of the current one becomes current if it goes on reporting while the current one
//! is silent.
//!
//! Reports alone do not tell which of two incarnations is the later one: a delayed report can
//! arrive when its sender is gone and has been replaced. On a report of an incarnation other than
//! the current one, the daemon therefore asks the target at the address for its instance name.
//!
//! A daemon that has just started may not know of a departure that an earlier run of it
//! acknowledged; see [`crate::History`]. Until its peers told it, reports that a target is ready
//! are deferred. If nobody remembers, the target itself is asked whether it accepts calls.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use crate::departures::HistoryState;
use crate::ids::Micros;
use crate::repeated_reports::RepeatedReports;

/// Maximum number of ended incarnations stored.
const MAX_ENDED: usize = 1_024;
/// Maximum number of deferred reports: one of each incarnation.
const MAX_DEFERRED: usize = 4;

/// Lifecycle state that a target reports.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ReportedState {
    /// The target accepts calls.
    Ready,
    /// The target finishes its calls and accepts no new ones.
    Draining,
    /// The target is about to exit.
    Gone,
}

impl ReportedState {
    /// The later of two states in the order ready, draining, gone.
    pub fn or_later(self, other: ReportedState) -> ReportedState {
        use ReportedState::{Draining, Gone, Ready};
        match (self, other) {
            (Gone, _) | (_, Gone) => Gone,
            (Draining, _) | (_, Draining) => Draining,
            (Ready, Ready) => Ready,
        }
    }
}

/// Report of a target.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TargetReport {
    /// Instance name of the target.
    pub instance: String,
    /// Start time, in milliseconds since 1970 by the target's clock, if reported.
    pub started_ms: Option<u64>,
    /// Service of the target, if reported.
    pub service: Option<String>,
    /// Software version of the target, if reported.
    pub version: Option<String>,
    /// Lifecycle state.
    pub state: ReportedState,
    /// Sequence number among the reports of the incarnation; absent for unordered reports.
    pub sequence: Option<u64>,
    /// Maximum number of concurrent calls, if reported.
    pub slots: Option<u32>,
    /// Remaining time for which the target is slow after its start, in milliseconds.
    pub cold_ms: u64,
}

/// Effect of a report.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReportEffect {
    /// The report is outdated and has no effect.
    Ignored,
    /// The report is the latest of the current target. Nothing changed except possibly the
    /// remaining cold time.
    Refreshed,
    /// The current target changed: another incarnation, state or number of slots.
    Changed,
    /// An incarnation other than the current one reports that it is ready; see
    /// [`TargetReports::resolve_conflict`].
    Conflict,
    /// The report is kept until it is known which departures were acknowledged before; see
    /// [`TargetReports::set_history`].
    Deferred,
    /// The report may be older than a departure that nobody remembers; see
    /// [`TargetReports::resolve_unproven`].
    Unproven,
}

/// What the target at the address answers when it is asked whether it accepts calls.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum TargetAnswer {
    /// It states its instance name, if it has one, and whether it accepts calls.
    Told {
        /// Instance name.
        instance: Option<String>,
        /// Whether it is healthy and not leaving.
        accepts: bool,
    },
    /// It did not answer.
    Silent,
    /// It offers no way to ask.
    CannotBeAsked,
}

/// Incarnation that is taken to be at the target's address.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CurrentTarget {
    /// Instance name.
    pub instance: String,
    /// Start time, in milliseconds since 1970 by the target's clock, if reported.
    pub started_ms: Option<u64>,
    /// Service, if reported.
    pub service: Option<String>,
    /// Software version, if reported.
    pub version: Option<String>,
    /// Lifecycle state.
    pub state: ReportedState,
    /// Maximum number of concurrent calls, if reported.
    pub slots: Option<u32>,
    sequence: u64,
}

impl CurrentTarget {
    /// Whether this is another incarnation than `before`.
    pub fn is_other_than(&self, before: &CurrentTarget) -> bool {
        let starts = self.started_ms.zip(before.started_ms);
        self.instance != before.instance || starts.is_some_and(|(now, before)| now != before)
    }
}

/// Incarnation that is draining or gone, or was replaced.
#[derive(Clone, Copy, Debug)]
struct EndedIncarnation {
    started_ms: Option<u64>,
    state: ReportedState,
}

/// State derived from the reports of a daemon's target.
#[derive(Debug, Default)]
pub struct TargetReports {
    current: Option<CurrentTarget>,
    /// Report of another incarnation, until it is known which one is at the address.
    conflicting: Option<TargetReport>,
    /// What may be concluded from knowing of no departure.
    history: HistoryState,
    /// Reports of ready incarnations, until the history is known.
    deferred: Vec<TargetReport>,
    /// Report of a ready incarnation, until the target was asked.
    unproven: Option<TargetReport>,
    /// Ready reports of an incarnation that does not confirm them when it is asked.
    repeated: RepeatedReports,
    /// Last ended incarnation of each instance name.
    ended: HashMap<String, EndedIncarnation>,
    /// Reports with the name of the current incarnation and an earlier start, since its last report.
    earlier_start: Option<EarlierStart>,
}

/// Reports of an incarnation that seems to have started before the current one of its name.
#[derive(Clone, Copy, Debug)]
struct EarlierStart {
    started_ms: Option<u64>,
    sequence: u64,
}

impl TargetReports {
    /// Current incarnation, in any state.
    pub fn current(&self) -> Option<&CurrentTarget> {
        self.current.as_ref()
    }

    /// Current incarnation if it may receive calls.
    pub fn ready(&self) -> Option<&CurrentTarget> {
        let is_ready = |target: &&CurrentTarget| target.state == ReportedState::Ready;
        self.current.as_ref().filter(is_ready)
    }

    /// Applies a stored record of an earlier run of this daemon that an incarnation ended.
    pub fn mark_ended(
        &mut self,
        instance: &str,
        started_ms: Option<u64>,
        state: ReportedState,
    ) -> ReportEffect {
        self.record_ended(instance, started_ms, state);
        let Some(target) = self.current.as_mut() else {
            return ReportEffect::Ignored;
        };
        let is_same = target.instance == instance && !is_later_start(target.started_ms, started_ms);
        if !is_same || target.state != ReportedState::Ready {
            return ReportEffect::Ignored;
        }
        target.state = state;
        ReportEffect::Changed
    }

    /// Marks an incarnation as gone because the target at the address answered as another one.
    pub fn mark_replaced(&mut self, instance: &str) -> ReportEffect {
        let current = self.current.as_ref();
        let named = current.filter(|target| target.instance == instance);
        let started_ms = named.and_then(|target| target.started_ms);
        self.mark_ended(instance, started_ms, ReportedState::Gone)
    }

    /// Sets what may be concluded from knowing of no departure. Returns the reports that were
    /// deferred and are to be applied now.
    pub fn set_history(&mut self, history: HistoryState) -> Vec<TargetReport> {
        self.history = history;
        match history {
            HistoryState::Awaited => Vec::new(),
            HistoryState::Complete | HistoryState::Incomplete => std::mem::take(&mut self.deferred),
        }
    }

    /// Applies a report.
    pub fn apply(&mut self, report: TargetReport) -> ReportEffect {
        match self.current.as_ref() {
            Some(target) if target.instance != report.instance => self.apply_from_other(report),
            Some(target) if is_later_start(target.started_ms, report.started_ms) => {
                self.apply_from_earlier_start(report)
            }
            // A restart under the same name: sequence numbers start over, and the final state of
            // the previous incarnation does not apply. Otherwise the new incarnation received
            // calls after its drain was acknowledged.
            Some(target) if is_later_start(report.started_ms, target.started_ms) => {
                let ended = self.ended_state(&report);
                match self.hold_back(&report) {
                    Some(effect) => effect,
                    None => self.set_current(report, ended),
                }
            }
            Some(_) => self.apply_from_current(report),
            None => self.apply_from_other(report),
        }
    }

    /// Applies a report of an incarnation with the name of the current one and an earlier start: a
    /// late one, or one of a later start under a clock that was set back. Two that follow each other
    /// show the latter.
    fn apply_from_earlier_start(&mut self, report: TargetReport) -> ReportEffect {
        let Some(sequence) = report.sequence else {
            return ReportEffect::Ignored;
        };
        let before = self.earlier_start.replace(EarlierStart {
            started_ms: report.started_ms,
            sequence,
        });
        let follows = before.is_some_and(|before| {
            before.started_ms == report.started_ms && before.sequence < sequence
        });
        if !follows {
            return ReportEffect::Ignored;
        }
        // Nothing says that the present one ended: its reports may have been delayed.
        let ended = self.ended_state(&report);
        self.set_current(report, ended)
    }

    /// Whether a departure under the name of the current incarnation is not in force, since it
    /// started later and is ready.
    pub fn outlives(&self, instance: &str, started_ms: Option<u64>) -> bool {
        self.ready().is_some_and(|target| {
            target.instance == instance && is_later_start(target.started_ms, started_ms)
        })
    }

    fn apply_from_current(&mut self, report: TargetReport) -> ReportEffect {
        let Some(target) = self.current.as_mut() else {
            return ReportEffect::Ignored;
        };
        let before = target.state;
        let state = before.or_later(report.state);
        let is_late = report
            .sequence
            .is_some_and(|sequence| sequence <= target.sequence);
        let services = (report.service.as_ref()).zip(target.service.as_ref());
        let is_other_service = services.is_some_and(|(reported, known)| reported != known);
        if state == before && (is_late || is_other_service) {
            return ReportEffect::Ignored;
        }
        self.earlier_start = None;
        target.sequence = report.sequence.unwrap_or(0).max(target.sequence);
        target.started_ms = target.started_ms.or(report.started_ms);
        let slots = report.slots.or(target.slots);
        let is_same = state == before && slots == target.slots;
        if is_same {
            return ReportEffect::Refreshed;
        }
        target.slots = slots;
        target.state = state;
        let (instance, started_ms, state) =
            (target.instance.clone(), target.started_ms, target.state);
        if state != ReportedState::Ready {
            self.record_ended(&instance, started_ms, state);
        }
        ReportEffect::Changed
    }

    fn apply_from_other(&mut self, report: TargetReport) -> ReportEffect {
        let ended = self.ended_state(&report);
        let has_current = self.current.is_some();
        if has_current && ended.is_some() {
            return ReportEffect::Ignored;
        }
        if has_current && report.state != ReportedState::Ready {
            self.record_ended(&report.instance, report.started_ms, report.state);
            return ReportEffect::Ignored;
        }
        if ended.is_none()
            && let Some(effect) = self.hold_back(&report)
        {
            return effect;
        }
        if self.ready().is_some() {
            self.conflicting = Some(report);
            return ReportEffect::Conflict;
        }
        if let Some(before) = self.current.take() {
            self.record_ended(&before.instance, before.started_ms, ReportedState::Gone);
        }
        self.set_current(report, ended)
    }

    /// Keeps a report back that an incarnation is ready, if the incarnation may have left.
    fn hold_back(&mut self, report: &TargetReport) -> Option<ReportEffect> {
        if report.state != ReportedState::Ready {
            return None;
        }
        match self.history {
            HistoryState::Complete => None,
            HistoryState::Awaited => {
                self.defer(report);
                Some(ReportEffect::Deferred)
            }
            HistoryState::Incomplete => {
                self.unproven = Some(report.clone());
                Some(ReportEffect::Unproven)
            }
        }
    }

    /// Keeps the latest report of each incarnation.
    fn defer(&mut self, report: &TargetReport) {
        let is_same = |kept: &TargetReport| {
            (&kept.instance, kept.started_ms) == (&report.instance, report.started_ms)
        };
        match self.deferred.iter().position(is_same) {
            Some(at) if report.sequence > self.deferred[at].sequence => {
                self.deferred[at] = report.clone();
            }
            None if self.deferred.len() < MAX_DEFERRED => self.deferred.push(report.clone()),
            _ => {}
        }
    }

    /// Resolves an unproven report, given what the target at the address answered. The sender
    /// becomes current if it confirms that it accepts calls, or if it keeps on reporting for
    /// longer than late reports arrive: a health answer can be wrong.
    pub fn resolve_unproven(&mut self, now: Micros, answer: &TargetAnswer) -> ReportEffect {
        let Some(report) = self.unproven.take() else {
            return ReportEffect::Ignored;
        };
        let is_proven = match answer {
            TargetAnswer::Told {
                instance: Some(instance),
                ..
            } if *instance != report.instance => return ReportEffect::Ignored,
            TargetAnswer::Told { accepts: true, .. } | TargetAnswer::CannotBeAsked => true,
            TargetAnswer::Told { accepts: false, .. } | TargetAnswer::Silent => {
                self.repeated.record(now, &report)
            }
        };
        match is_proven {
            true => self.replace_current(report),
            false => ReportEffect::Ignored,
        }
    }

    /// Makes the sender of a report current in place of the present incarnation, unless the
    /// sender ended meanwhile.
    fn replace_current(&mut self, report: TargetReport) -> ReportEffect {
        if self.ended_state(&report).is_some() {
            return ReportEffect::Ignored;
        }
        if let Some(before) = self.current.take() {
            self.record_ended(&before.instance, before.started_ms, ReportedState::Gone);
        }
        self.set_current(report, None)
    }

    /// Makes an incarnation current before its first report, when it is recorded as ready by an
    /// earlier run of this daemon and the target confirmed its instance name and health.
    pub fn confirm(&mut self, report: TargetReport) -> ReportEffect {
        let is_awaited = self.history == HistoryState::Awaited;
        if is_awaited || self.current.is_some() || self.ended_state(&report).is_some() {
            return ReportEffect::Ignored;
        }
        self.set_current(report, None)
    }

    /// Resolves a conflict, given the instance name that the target at the address answered with,
    /// or `None` if it did not answer. Unless it ended meanwhile, the conflicting incarnation
    /// becomes current if it is the one that answered. It also does without an answer, as the
    /// current one gave no sign of life; the latter is then not marked as gone and can become
    /// current again.
    pub fn resolve_conflict(&mut self, at_address: Option<&str>) -> ReportEffect {
        let Some(conflicting) = self.conflicting.take() else {
            return ReportEffect::Ignored;
        };
        if at_address.is_some_and(|instance| instance != conflicting.instance) {
            return ReportEffect::Ignored;
        }
        if self.ended_state(&conflicting).is_some() {
            return ReportEffect::Ignored;
        }
        if let Some(before) = self.current.take()
            && at_address.is_some()
        {
            self.record_ended(&before.instance, before.started_ms, ReportedState::Gone);
        }
        self.set_current(conflicting, None)
    }

    /// Makes the sender of a report the current incarnation.
    fn set_current(&mut self, report: TargetReport, ended: Option<ReportedState>) -> ReportEffect {
        let state = ended.map_or(report.state, |ended| ended.or_later(report.state));
        if state != ReportedState::Ready {
            self.record_ended(&report.instance, report.started_ms, state);
        }
        self.earlier_start = None;
        self.current = Some(CurrentTarget {
            instance: report.instance,
            started_ms: report.started_ms,
            service: report.service,
            version: report.version,
            state,
            slots: report.slots,
            sequence: report.sequence.unwrap_or(0),
        });
        ReportEffect::Changed
    }

    /// Final state of the sender of a report; `None` if it did not end or has restarted since.
    fn ended_state(&self, report: &TargetReport) -> Option<ReportedState> {
        let ended = self.ended.get(&report.instance)?;
        let has_restarted = is_later_start(report.started_ms, ended.started_ms);
        (!has_restarted).then_some(ended.state)
    }

    fn record_ended(&mut self, instance: &str, started_ms: Option<u64>, state: ReportedState) {
        if self.ended.len() >= MAX_ENDED && !self.ended.contains_key(instance) {
            return;
        }
        let ended = EndedIncarnation { started_ms, state };
        let known = self.ended.entry(instance.to_owned()).or_insert(ended);
        if is_later_start(known.started_ms, started_ms) {
            return;
        }
        *known = match is_later_start(started_ms, known.started_ms) {
            true => ended,
            false => EndedIncarnation {
                started_ms: known.started_ms.or(started_ms),
                state: known.state.or_later(state),
            },
        };
    }
}

/// Whether the first of two starts under one name is known to be later than the second.
fn is_later_start(first: Option<u64>, second: Option<u64>) -> bool {
    matches!((first, second), (Some(first), Some(second)) if first > second)
}
