//! Which incarnation of the target beside a daemon may be given calls, decided
//! from what the target reports of itself.
//!
//! Reports come late, twice and out of order. Three rules follow: a report counts
//! only if its sequence number is higher than any seen of that incarnation (a name, and the
//! time of its start: a target may start again under the name that it had);
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
    /// The target's name.
    pub instance: String,
    /// When it started, in milliseconds since 1970 by its own clock; absent where it does not
    /// say.
    pub started_ms: Option<u64>,
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
    /// Its name.
    pub instance: String,
    /// When it started; absent where it never said.
    pub started_ms: Option<u64>,
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

impl InPlace {
    /// Whether it is another incarnation than the one that was in place before.
    pub fn is_other_than(&self, before: &InPlace) -> bool {
        self.instance != before.instance || is_later(self.started_ms, before.started_ms)
    }
}

/// An incarnation that ended.
#[derive(Clone, Copy, Debug)]
struct Ended {
    started_ms: Option<u64>,
    state: ReportedState,
}

/// All that a daemon knows from its target's reports.
#[derive(Debug, Default)]
pub struct TargetReports {
    in_place: Option<InPlace>,
    /// Report of another incarnation, until it is known which one stands at the address.
    rival: Option<TargetReport>,
    /// By name, of the last incarnation of that name that ended.
    ended: HashMap<String, Ended>,
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
    pub fn mark_ended(
        &mut self,
        instance: &str,
        started_ms: Option<u64>,
        state: ReportedState,
    ) -> ReportEffect {
        self.remember_ended(instance, started_ms, state);
        let Some(target) = self.in_place.as_mut() else {
            return ReportEffect::Nothing;
        };
        let is_meant = target.instance == instance && !is_later(target.started_ms, started_ms);
        if !is_meant || target.state != ReportedState::Ready {
            return ReportEffect::Nothing;
        }
        target.state = state;
        ReportEffect::Changed
    }

    /// The target at the address answered as another incarnation than the one in
    /// place: what is in place is no longer there.
    pub fn mark_replaced(&mut self, instance: &str) -> ReportEffect {
        let in_place = self.in_place.as_ref();
        let named = in_place.filter(|target| target.instance == instance);
        let started_ms = named.and_then(|target| target.started_ms);
        self.mark_ended(instance, started_ms, ReportedState::Gone)
    }

    /// Takes one report.
    pub fn take(&mut self, report: TargetReport) -> ReportEffect {
        match self.in_place.as_ref() {
            Some(target) if target.instance != report.instance => self.of_another(report),
            Some(target) if is_later(target.started_ms, report.started_ms) => ReportEffect::Nothing,
            // Its reports are numbered anew, and what the former one said binds it no more.
            // Without this, a target whose drain was acknowledged was given calls.
            Some(target) if is_later(report.started_ms, target.started_ms) => {
                self.place(report, None)
            }
            Some(_) => self.of_same(report),
            None => self.of_another(report),
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
        target.started_ms = target.started_ms.or(report.started_ms);
        let was = target.state;
        let slots = report.slots.or(target.slots);
        let same = later(was, report.state) == was && slots == target.slots;
        if same {
            return ReportEffect::Newer;
        }
        target.slots = slots;
        target.state = later(was, report.state);
        let (instance, started_ms, state) =
            (target.instance.clone(), target.started_ms, target.state);
        if state != ReportedState::Ready {
            self.remember_ended(&instance, started_ms, state);
        }
        ReportEffect::Changed
    }

    fn of_another(&mut self, report: TargetReport) -> ReportEffect {
        let ended = self.ended_state(&report);
        let stands = self.in_place.is_some();
        if stands && ended.is_some() {
            return ReportEffect::Nothing;
        }
        if stands && report.state != ReportedState::Ready {
            self.remember_ended(&report.instance, report.started_ms, report.state);
            return ReportEffect::Nothing;
        }
        if self.open().is_some() {
            self.rival = Some(report);
            return ReportEffect::Rival;
        }
        if let Some(before) = self.in_place.take() {
            self.remember_ended(&before.instance, before.started_ms, ReportedState::Gone);
        }
        self.place(report, ended)
    }

    /// The target at the address said that it is the incarnation that an earlier run of this
    /// daemon left word of, and that it is well. It is taken as in place before it reports
    /// again.
    pub fn confirm(&mut self, report: TargetReport) -> ReportEffect {
        if self.in_place.is_some() || self.ended_state(&report).is_some() {
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
        if self.ended_state(&rival).is_some() {
            return ReportEffect::Nothing;
        }
        if let Some(before) = self.in_place.take()
            && at_address.is_some()
        {
            self.remember_ended(&before.instance, before.started_ms, ReportedState::Gone);
        }
        self.place(rival, None)
    }

    /// Puts the sender of a report in place.
    fn place(&mut self, report: TargetReport, ended: Option<ReportedState>) -> ReportEffect {
        let state = ended.map_or(report.state, |ended| later(ended, report.state));
        if state != ReportedState::Ready {
            self.remember_ended(&report.instance, report.started_ms, state);
        }
        self.in_place = Some(InPlace {
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

    /// How the sender of a report ended; nothing where it did not, or started again since.
    fn ended_state(&self, report: &TargetReport) -> Option<ReportedState> {
        let ended = self.ended.get(&report.instance)?;
        let started_again = is_later(report.started_ms, ended.started_ms);
        (!started_again).then_some(ended.state)
    }

    fn remember_ended(&mut self, instance: &str, started_ms: Option<u64>, state: ReportedState) {
        if self.ended.len() >= ENDED_LIMIT && !self.ended.contains_key(instance) {
            return;
        }
        let ended = Ended { started_ms, state };
        let known = self.ended.entry(instance.to_owned()).or_insert(ended);
        if is_later(known.started_ms, started_ms) {
            return;
        }
        *known = match is_later(started_ms, known.started_ms) {
            true => ended,
            false => Ended {
                started_ms: known.started_ms.or(started_ms),
                state: later(known.state, state),
            },
        };
    }
}

/// Whether one start is known to come after another of the same target.
fn is_later(one: Option<u64>, other: Option<u64>) -> bool {
    matches!((one, other), (Some(one), Some(other)) if one > other)
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
