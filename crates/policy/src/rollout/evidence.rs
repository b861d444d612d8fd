//! What target halves count while a rollout runs.
//!
//! Counters only grow, so that copies of them are merged by taking the larger, in any order
//! and as often as they come. Losing one makes the judgement slower, never looser.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::service_time::CallKind;

/// Kinds of calls that one half counts apart; calls of further kinds are not counted.
pub(super) const KINDS_LIMIT: usize = 16;
/// Classes of times in each doubling of a time.
const CLASSES_PER_DOUBLING: f64 = 2.0;
/// The highest class.
const LAST_CLASS: u8 = 80;

/// How a call that reached a target ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// It was answered, after this time at usual speed where that is known and the target
    /// was warm, in microseconds.
    Served(Option<u32>),
    /// The target failed it or lost its answer.
    Failed,
    /// It was cut off before an answer, after this time, in microseconds.
    Cut(u32),
}

/// The calls of one kind at one target.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Tally {
    /// Calls that were answered or failed.
    #[serde(rename = "c")]
    pub calls: u32,
    /// Those that failed.
    #[serde(rename = "f", default)]
    pub failed: u32,
    /// Answered calls by class of time; see [`time_class`].
    #[serde(rename = "t", default, skip_serializing_if = "BTreeMap::is_empty")]
    pub times: BTreeMap<u8, u32>,
    /// Calls that were cut off, by class of the time until then.
    #[serde(rename = "x", default, skip_serializing_if = "BTreeMap::is_empty")]
    pub cut: BTreeMap<u8, u32>,
}

impl Tally {
    fn count(&mut self, outcome: Outcome) {
        match outcome {
            Outcome::Cut(time_us) => {
                *self.cut.entry(time_class(time_us)).or_default() += 1;
                return;
            }
            Outcome::Failed => self.failed += 1,
            Outcome::Served(Some(time_us)) => {
                *self.times.entry(time_class(time_us)).or_default() += 1;
            }
            Outcome::Served(None) => {}
        }
        self.calls += 1;
    }

    /// Takes the calls and failures of another copy, but not its times.
    pub(super) fn merge_failures(&mut self, other: &Tally) {
        self.calls = self.calls.max(other.calls);
        self.failed = self.failed.max(other.failed);
    }

    /// Takes another copy, whichever is the later one.
    pub(super) fn merge(&mut self, other: &Tally) {
        self.merge_failures(other);
        merge_classes(&mut self.times, &other.times);
        merge_classes(&mut self.cut, &other.cut);
    }
}

fn merge_classes(ours: &mut BTreeMap<u8, u32>, theirs: &BTreeMap<u8, u32>) {
    for (class, count) in theirs {
        let known = ours.entry(*class).or_default();
        *known = (*known).max(*count);
    }
}

/// Class of a time in microseconds: two to each doubling.
pub(super) fn time_class(time_us: u32) -> u8 {
    let class = f64::from(time_us.max(1)).log2() * CLASSES_PER_DOUBLING;
    (class as u8).min(LAST_CLASS)
}

/// What the half of one target counted since it heard of an order.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct HalfEvidence {
    /// Service of the order.
    #[serde(rename = "s")]
    pub service: String,
    /// Number of the order.
    #[serde(rename = "o")]
    pub order: u64,
    /// Host of the target.
    #[serde(rename = "h")]
    pub host: String,
    /// This run of its daemon: a later one counts anew.
    #[serde(rename = "i")]
    pub incarnation: u64,
    /// Version of the target.
    #[serde(rename = "v")]
    pub version: String,
    /// Its calls by kind.
    #[serde(rename = "k")]
    pub kinds: BTreeMap<CallKind, Tally>,
}

impl HalfEvidence {
    /// Counts a call.
    pub fn count(&mut self, kind: CallKind, outcome: Outcome) {
        if self.kinds.contains_key(&kind) || self.kinds.len() < KINDS_LIMIT {
            self.kinds.entry(kind).or_default().count(outcome);
        }
    }

    /// Takes a copy of the same half's evidence, whichever is the later one.
    pub fn merge(&mut self, other: &HalfEvidence) {
        for (kind, tally) in other.kinds.iter().take(KINDS_LIMIT) {
            self.kinds.entry(*kind).or_default().merge(tally);
        }
    }
}
