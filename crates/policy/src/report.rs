//! Which incarnation of the target beside a daemon may be given calls, decided
//! from what the target reports of itself.
//!
//! Reports come late, twice and out of order. Three rules follow: a report counts
//! only if its sequence number is higher than any seen of that incarnation;
//! draining and gone are final for an incarnation; and an incarnation that was
//! replaced by a later one never comes back. A daemon that has heard nothing
//! since its own start gives its target no calls.
//!
//! Which of two incarnations is the later one, their reports do not tell: one that was held
//! back on its way can arrive when its sender is gone and another is in place. So a report of
//! another incarnation than the one in place has the target at the address asked who it is.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

/// Incarnations remembered as ended.
const ENDED_LIMIT: usize = 1_024;

/// What a target says it is doing.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ReportedState {
    /// It takes calls.
    Ready,
    /// It finishes what it has and takes no new calls.
    Draining,
    /// It is about to end.
    Gone,
}

/// One report of a target.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TargetReport {
    /// The target's incarnation.
    pub instance: String,
    /// Service that it runs; absent where the report does not say.
    pub service: Option<String>,
    /// Version of its software; absent where the report does not say.
    pub version: Option<String>,
    /// What it is doing.
    pub state: ReportedState,
    /// Order of its reports; absent where the report has no place in the order.
    pub sequence: Option<u64>,
    /// Calls it serves at once; absent where it does not say.
    pub slots: Option<u32>,
    /// How much longer it is slow from its start, in milliseconds.
    pub cold_ms: u64,
}

/// What a report changes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReportEffect {
    /// Nothing: it is old.
    Nothing,
    /// It is the newest of the target in place and says what is known, but for how long the
    /// target is cold.
    Newer,
    /// The target in place changed: another incarnation, or another state.
    Changed,
    /// Another incarnation than the one in place says that it is ready; see
    /// [`TargetReports::settle_rival`].
    Rival,
}

/// The target that is in place.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct InPlace {
    /// Its incarnation.
    pub instance: String,
    /// Its service; absent where it never said.
    pub service: Option<String>,
    /// Version of its software; absent where it never said.
    pub version: Option<String>,
    /// What it is doing.
    pub state: ReportedState,
    /// Calls it serves at once; absent where it does not say.
    pub slots: Option<u32>,
    sequence: u64,
}

/// All that a daemon knows from its target's reports.
#[derive(Debug, Default)]
pub struct TargetReports {
    in_place: Option<InPlace>,
    /// Report of another incarnation, until it is known which one stands at the address.
    rival: Option<TargetReport>,
    ended: HashMap<String, ReportedState>,
}

impl TargetReports {
    /// The target in place, whatever its state.
    pub fn in_place(&self) -> Option<&InPlace> {
        self.in_place.as_ref()
    }

    /// The incarnation that may be given calls.
    pub fn open(&self) -> Option<&InPlace> {
        let ready = |target: &&InPlace| target.state == ReportedState::Ready;
        self.in_place.as_ref().filter(ready)
    }

    /// An earlier run of this daemon left word that an incarnation ended.
    pub fn mark_ended(&mut self, instance: &str, state: ReportedState) -> ReportEffect {
        self.remember_ended(instance, state);
        let Some(target) = self.in_place.as_mut() else {
            return ReportEffect::Nothing;
        };
        if target.instance != instance || target.state != ReportedState::Ready {
            return ReportEffect::Nothing;
        }
        target.state = state;
        ReportEffect::Changed
    }

    /// The target at the address answered as another incarnation than the one in
    /// place: what is in place is no longer there.
    pub fn mark_replaced(&mut self, instance: &str) -> ReportEffect {
        self.mark_ended(instance, ReportedState::Gone)
    }

    /// Takes one report.
    pub fn take(&mut self, report: TargetReport) -> ReportEffect {
        match self.in_place.as_ref() {
            Some(target) if target.instance == report.instance => self.of_same(report),
            _ => self.of_another(report),
        }
    }

    fn of_same(&mut self, report: TargetReport) -> ReportEffect {
        let Some(target) = self.in_place.as_mut() else {
            return ReportEffect::Nothing;
        };
        if report
            .sequence
            .is_some_and(|number| number <= target.sequence)
        {
            return ReportEffect::Nothing;
        }
        target.sequence = report.sequence.unwrap_or(target.sequence);
        let was = target.state;
        let slots = report.slots.or(target.slots);
        let same = later(was, report.state) == was && slots == target.slots;
        if same {
            return ReportEffect::Newer;
        }
        target.slots = slots;
        target.state = later(was, report.state);
        let (instance, state) = (target.instance.clone(), target.state);
        if state != ReportedState::Ready {
            self.remember_ended(&instance, state);
        }
        ReportEffect::Changed
    }

    fn of_another(&mut self, report: TargetReport) -> ReportEffect {
        let ended = self.ended.get(&report.instance).copied();
        let stands = self.in_place.is_some();
        if stands && ended.is_some() {
            return ReportEffect::Nothing;
        }
        if stands && report.state != ReportedState::Ready {
            self.remember_ended(&report.instance, report.state);
            return ReportEffect::Nothing;
        }
        if self.open().is_some() {
            self.rival = Some(report);
            return ReportEffect::Rival;
        }
        if let Some(before) = self.in_place.take() {
            self.remember_ended(&before.instance, ReportedState::Gone);
        }
        self.place(report, ended)
    }

    /// The target at the address said that it is the incarnation that an earlier run of this
    /// daemon left word of, and that it is well. It is taken as in place before it reports
    /// again.
    pub fn confirm(&mut self, report: TargetReport) -> ReportEffect {
        if self.in_place.is_some() || self.ended.contains_key(&report.instance) {
            return ReportEffect::Nothing;
        }
        self.place(report, None)
    }

    /// The target at the address said which incarnation it is, or gave no answer; that
    /// decides whether the one whose report came last takes the place. Without an answer it
    /// does, since the one in place does not show that it is there, but the latter may come
    /// back.
    pub fn settle_rival(&mut self, at_address: Option<&str>) -> ReportEffect {
        let Some(rival) = self.rival.take() else {
            return ReportEffect::Nothing;
        };
        if at_address.is_some_and(|instance| instance != rival.instance) {
            return ReportEffect::Nothing;
        }
        let ended = self.ended.get(&rival.instance).copied();
        if ended.is_some() {
            return ReportEffect::Nothing;
        }
        if let Some(before) = self.in_place.take()
            && at_address.is_some()
        {
            self.remember_ended(&before.instance, ReportedState::Gone);
        }
        self.place(rival, None)
    }

    /// Puts the sender of a report in place.
    fn place(&mut self, report: TargetReport, ended: Option<ReportedState>) -> ReportEffect {
        let state = ended.map_or(report.state, |ended| later(ended, report.state));
        if state != ReportedState::Ready {
            self.remember_ended(&report.instance, state);
        }
        self.in_place = Some(InPlace {
            instance: report.instance,
            service: report.service,
            version: report.version,
            state,
            slots: report.slots,
            sequence: report.sequence.unwrap_or(0),
        });
        ReportEffect::Changed
    }

    fn remember_ended(&mut self, instance: &str, state: ReportedState) {
        if self.ended.len() >= ENDED_LIMIT && !self.ended.contains_key(instance) {
            return;
        }
        let known = self.ended.entry(instance.to_owned()).or_insert(state);
        *known = later(*known, state);
    }
}

/// The state that is further on a target's way from ready to gone.
fn later(one: ReportedState, other: ReportedState) -> ReportedState {
    use ReportedState::{Draining, Gone, Ready};
    match (one, other) {
        (Gone, _) | (_, Gone) => Gone,
        (Draining, _) | (_, Draining) => Draining,
        (Ready, Ready) => Ready,
    }
}
