//! What a load run counts and measures.

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

const HIGHEST_US: u64 = 120_000_000;
const DIGITS: u8 = 3;

/// Outcomes of the calls of a run.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Counts {
    /// Calls started.
    pub calls: u64,
    /// Calls with the target's answer.
    pub answered: u64,
    /// Answers with a server error of the target.
    pub server_errors: u64,
    /// Calls told that they were not run, after the caller's own repetitions.
    pub refused_not_run: u64,
    /// Calls told that their outcome is not known.
    pub unknown: u64,
    /// Calls whose connection failed.
    pub failed: u64,
    /// Answers that belong to another call.
    pub wrong_answers: u64,
    /// Repetitions by callers.
    pub repeated: u64,
    /// Calls answered within their deadline.
    pub in_time: u64,
}

/// Latencies of the answered calls, from their scheduled times.
#[derive(Clone, Debug)]
pub struct Latency(Histogram<u64>);

impl Default for Latency {
    fn default() -> Self {
        let histogram = Histogram::new_with_bounds(1, HIGHEST_US, DIGITS);
        Latency(histogram.expect("the bounds are good"))
    }
}

impl Latency {
    /// Takes one latency, in microseconds.
    pub fn record(&mut self, us: u64) {
        self.0.saturating_record(us.clamp(1, HIGHEST_US));
    }

    /// Takes all latencies of another.
    pub fn add(&mut self, other: &Latency) {
        let added = self.0.add(&other.0);
        added.expect("both have the same bounds");
    }

    /// The latency that a share of calls stays within, in milliseconds.
    pub fn quantile_ms(&self, quantile: f64) -> f64 {
        self.0.value_at_quantile(quantile) as f64 / 1_000.0
    }

    /// Latencies taken.
    pub fn len(&self) -> u64 {
        self.0.len()
    }

    /// Whether none was taken.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

/// One run.
#[derive(Clone, Debug, Default)]
pub struct LoadReport {
    /// Outcomes.
    pub counts: Counts,
    /// Latencies of answered calls.
    pub latency: Latency,
    /// Times until a call was told that it was not run.
    pub refusal: Latency,
}

impl LoadReport {
    /// Takes up another run.
    pub fn add(&mut self, other: &LoadReport) {
        let (mine, theirs) = (&mut self.counts, &other.counts);
        mine.calls += theirs.calls;
        mine.answered += theirs.answered;
        mine.server_errors += theirs.server_errors;
        mine.refused_not_run += theirs.refused_not_run;
        mine.unknown += theirs.unknown;
        mine.failed += theirs.failed;
        mine.wrong_answers += theirs.wrong_answers;
        mine.repeated += theirs.repeated;
        mine.in_time += theirs.in_time;
        self.latency.add(&other.latency);
        self.refusal.add(&other.refusal);
    }
}
