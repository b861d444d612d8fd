//! Why recent calls went where they went: a bounded ring of traces.

use std::collections::VecDeque;
use std::sync::Mutex;

use lynxcleat_policy::{Distance, Micros, SampleRates, Sampler};
use serde::{Deserialize, Serialize};

use crate::sync::lock;

/// Traces kept.
const TRACES: usize = 1_024;

/// A target that was scored, and its score.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ScoredHost {
    /// The target's host.
    pub host: String,
    /// Its score under the policy; the lowest wins.
    pub score: f64,
    /// Calls expected at it.
    #[serde(default)]
    pub load: f64,
    /// Its slowness as it told last, as a factor; 0 where it never did.
    #[serde(default)]
    pub slowness: f64,
    /// Age of that, in microseconds.
    #[serde(default)]
    pub slowness_age_us: u64,
    /// How far away it is.
    #[serde(default, skip_serializing_if = "Distance::is_own_zone")]
    pub distance: Distance,
    /// Calls a second that it says it takes from all daemons together.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub limit_per_s: Option<f64>,
}

impl ScoredHost {
    /// How far away it is and its rate limit, in words that end a line; empty within the
    /// router's zone and without a limit.
    pub fn remarks(&self) -> String {
        let way = match self.distance {
            Distance::OwnZone => String::new(),
            distance => format!(", {}", distance.name()),
        };
        let limit = self
            .limit_per_s
            .map(|limit| format!(", states {limit} calls/s"));
        way + &limit.unwrap_or_default()
    }
}

/// One attempt of a call.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct AttemptTrace {
    /// The target's host.
    pub host: String,
    /// Targets scored for this attempt.
    pub considered: Vec<ScoredHost>,
    /// Targets that were not offered this call, since others use up the rates that they state.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub passed_over: Vec<String>,
    /// When it was sent, in microseconds since the call arrived.
    pub sent_us: u64,
    /// How it ended; absent while it is out.
    pub result: Option<String>,
}

/// One call.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Trace {
    /// Name of the call, as its answer carries it.
    pub call: String,
    /// The service asked for.
    pub service: String,
    /// Generation of settings the call was pinned to.
    pub generation: u64,
    /// The only regions in which it may be served; none for any.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub homes: Vec<String>,
    /// Fingerprint of what it holds, where a target ended under it; else empty.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub request: String,
    /// Its attempts.
    pub attempts: Vec<AttemptTrace>,
    /// Whether it ran and its answer is no failure.
    #[serde(default)]
    pub success: bool,
    /// What its caller was told.
    pub verdict: String,
    /// Time from arrival to answer, in microseconds.
    pub took_us: u64,
}

/// Lines about calls that one daemon logs: failures first, and no more than these.
const LOG_RATES: SampleRates = SampleRates {
    lines_per_s: 20,
    successes_per_s: 2,
    success_every: 50,
};

/// The ring, and what of it is logged.
pub struct Explain {
    ring: Mutex<VecDeque<Trace>>,
    sampler: Mutex<Sampler>,
}

impl Default for Explain {
    fn default() -> Self {
        Explain {
            ring: Mutex::default(),
            sampler: Mutex::new(Sampler::new(LOG_RATES)),
        }
    }
}

impl Explain {
    /// Keeps a trace, and drops the oldest where the ring is full.
    pub fn keep(&self, trace: Trace) {
        let mut ring = lock(&self.ring);
        if ring.len() == TRACES {
            ring.pop_front();
        }
        ring.push_back(trace);
    }

    /// Whether a decision about a call is to be logged.
    pub fn logs(&self, now: Micros, success: bool) -> bool {
        lock(&self.sampler).sample(now, success)
    }

    /// Failures that were not logged, for there were too many.
    pub fn unlogged(&self) -> u64 {
        lock(&self.sampler).dropped_failures()
    }

    /// The trace of a call, if it is still kept.
    pub fn find(&self, call: &str) -> Option<Trace> {
        let ring = lock(&self.ring);
        ring.iter().rev().find(|trace| trace.call == call).cloned()
    }

    /// The newest traces, newest first.
    pub fn newest(&self, count: usize) -> Vec<Trace> {
        lock(&self.ring).iter().rev().take(count).cloned().collect()
    }
}
