//! What calls of one kind take at a target of usual speed, learned from answers.
//!
//! A service time is divided by the slowness of its target at that time, so that a
//! crowded neighbour does not make a kind of call look longer than it is.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

/// A kind of call: those that are alike in the time they take, such as the calls of
/// one route.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct CallKind(pub u32);

/// Weight of one sample in the running means.
const WEIGHT: f64 = 0.05;
/// Samples that count for more, until the mean has settled.
const FIRST_SAMPLES: u32 = 20;
/// Part of the mean that is assumed as deviation before enough was seen.
const FIRST_DEVIATION: f64 = 0.4;
/// Part of the time until its goal that a call is assumed to take before any call ended:
/// operators set goals that most calls make though they meet a queue or a slow target.
const ASSUMED_PART: f64 = 1.0 / 3.0;
/// Kinds that are told apart; further ones share what is known of all.
const KINDS_LIMIT: usize = 256;

/// Mean and mean deviation of one kind's times.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Work {
    /// Mean in microseconds.
    pub mean_us: f64,
    /// Mean absolute deviation in microseconds.
    pub deviation_us: f64,
    samples: u32,
}

impl Work {
    fn first(sample_us: f64) -> Self {
        Work {
            mean_us: sample_us,
            deviation_us: sample_us * FIRST_DEVIATION,
            samples: 1,
        }
    }

    /// What is assumed of a call with this time until its goal, in microseconds.
    fn assumed(goal_us: f64) -> Self {
        Work {
            samples: 0,
            ..Work::first(goal_us * ASSUMED_PART)
        }
    }

    /// Calls that it was learned from.
    pub fn samples(&self) -> u32 {
        self.samples
    }

    fn learn(&mut self, sample_us: f64) {
        self.samples = self.samples.saturating_add(1);
        let weight = match self.samples {
            samples if samples < FIRST_SAMPLES => 1.0 / f64::from(samples),
            _ => WEIGHT,
        };
        let apart = (sample_us - self.mean_us).abs();
        self.mean_us += weight * (sample_us - self.mean_us);
        let weight = weight.min(1.0 / f64::from(FIRST_SAMPLES));
        self.deviation_us += weight * (apart - self.deviation_us);
    }
}

/// The times of all kinds that were seen.
#[derive(Clone, Debug, Default)]
pub struct Works {
    kinds: HashMap<CallKind, Work>,
    all: Option<Work>,
}

impl Works {
    /// Takes the time of one call, in microseconds at usual speed.
    pub fn learn(&mut self, kind: CallKind, sample_us: f64) {
        match &mut self.all {
            Some(all) => all.learn(sample_us),
            None => self.all = Some(Work::first(sample_us)),
        }
        let room = self.kinds.len() < KINDS_LIMIT;
        match self.kinds.get_mut(&kind) {
            Some(work) => work.learn(sample_us),
            None if room => {
                self.kinds.insert(kind, Work::first(sample_us));
            }
            None => {}
        }
    }

    /// What a call of this kind takes, where the kind was seen.
    pub fn of_kind(&self, kind: CallKind) -> Option<Work> {
        self.kinds.get(&kind).copied()
    }

    /// What a call of this kind takes; what all take where the kind was not seen.
    pub fn of(&self, kind: CallKind) -> Option<Work> {
        self.kinds.get(&kind).copied().or(self.all)
    }

    /// What a call of this kind takes, or, while no call ended, what is assumed of one with
    /// this time until its goal, in microseconds.
    pub fn of_or_assumed(&self, kind: CallKind, goal_us: f64) -> Work {
        self.of(kind).unwrap_or_else(|| Work::assumed(goal_us))
    }
}
