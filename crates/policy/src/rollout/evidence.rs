//! The outcomes of calls that the daemon of each target counts during a rollout.
//!
//! Counters only grow, so copies are merged by taking the maximum, in any order and any number
//! of times. A lost copy delays the analysis but never makes it less strict.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::service_time::CallKind;

/// Maximum number of kinds of calls counted per target; calls of further kinds are ignored.
pub(super) const MAX_KINDS: usize = 16;
/// Histogram buckets for each doubling of the latency.
const BUCKETS_PER_DOUBLING: f64 = 2.0;
const MAX_BUCKET: u8 = 80;

/// How a call that reached a target ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// It was answered. The latency in microseconds, scaled to the target's usual speed, is
    /// present where it is known and the target was warm.
    Served(Option<u32>),
    /// The target failed it or lost its answer.
    Failed,
    /// It was cancelled or its deadline passed before an answer, after this time in
    /// microseconds.
    Aborted(u32),
}

/// The calls of one kind at one target.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct CallCounts {
    /// Calls that were answered or failed.
    #[serde(rename = "c")]
    pub calls: u32,
    /// Those that failed.
    #[serde(rename = "f", default)]
    pub failed: u32,
    /// Answered calls by latency; see [`latency_bucket`].
    #[serde(rename = "t", default, skip_serializing_if = "BTreeMap::is_empty")]
    pub latencies: BTreeMap<u8, u32>,
    /// Calls that were aborted, by the time until then in the same buckets.
    #[serde(rename = "x", default, skip_serializing_if = "BTreeMap::is_empty")]
    pub aborted: BTreeMap<u8, u32>,
}

impl CallCounts {
    fn count(&mut self, outcome: Outcome) {
        match outcome {
            Outcome::Aborted(latency_us) => {
                *self.aborted.entry(latency_bucket(latency_us)).or_default() += 1;
                return;
            }
            Outcome::Failed => self.failed += 1,
            Outcome::Served(Some(latency_us)) => {
                *self
                    .latencies
                    .entry(latency_bucket(latency_us))
                    .or_default() += 1;
            }
            Outcome::Served(None) => {}
        }
        self.calls += 1;
    }

    /// Merges the calls and failures of another copy, but not its histograms.
    pub(super) fn merge_totals(&mut self, other: &CallCounts) {
        self.calls = self.calls.max(other.calls);
        self.failed = self.failed.max(other.failed);
    }

    /// Merges another copy, older or newer.
    pub(super) fn merge(&mut self, other: &CallCounts) {
        self.merge_totals(other);
        merge_buckets(&mut self.latencies, &other.latencies);
        merge_buckets(&mut self.aborted, &other.aborted);
    }
}

fn merge_buckets(ours: &mut BTreeMap<u8, u32>, theirs: &BTreeMap<u8, u32>) {
    for (bucket, count) in theirs {
        let ours = ours.entry(*bucket).or_default();
        *ours = (*ours).max(*count);
    }
}

/// Index of the histogram bucket of a latency in microseconds, on a logarithmic scale.
pub(super) fn latency_bucket(latency_us: u32) -> u8 {
    let bucket = f64::from(latency_us.max(1)).log2() * BUCKETS_PER_DOUBLING;
    (bucket as u8).min(MAX_BUCKET)
}

/// Calls of one target since its daemon received an order.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct TargetEvidence {
    /// Service of the order.
    #[serde(rename = "s")]
    pub service: String,
    /// Number of the order.
    #[serde(rename = "o")]
    pub order: u64,
    /// Host of the target.
    #[serde(rename = "h")]
    pub host: String,
    /// Incarnation of its daemon; a restarted one counts from zero.
    #[serde(rename = "i")]
    pub incarnation: u64,
    /// Version of the target.
    #[serde(rename = "v")]
    pub version: String,
    /// Its calls by kind.
    #[serde(rename = "k")]
    pub kinds: BTreeMap<CallKind, CallCounts>,
}

impl TargetEvidence {
    /// Counts a call.
    pub fn count(&mut self, kind: CallKind, outcome: Outcome) {
        if self.kinds.contains_key(&kind) || self.kinds.len() < MAX_KINDS {
            self.kinds.entry(kind).or_default().count(outcome);
        }
    }

    /// Merges another copy of the same target's evidence, older or newer.
    pub fn merge(&mut self, other: &TargetEvidence) {
        for (kind, counts) in other.kinds.iter().take(MAX_KINDS) {
            self.kinds.entry(*kind).or_default().merge(counts);
        }
    }
}
