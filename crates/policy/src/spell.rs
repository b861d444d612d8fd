//! How long a target stays slow, and how long it stays usual.
//!
//! A target beside crowded neighbours is slow for a spell and then usual again. Both are
//! taken as memoryless; their mean lengths are learned from the target's own readings: the
//! time for which it was seen in one state, by the number of times that this ended. A
//! spell that goes on adds time without an end, so a target that stays slow soon counts as
//! one whose spells are long.

use crate::slowness::{BELIEF_HALF_LIFE_US, SlownessReading};

/// How many times slower than at its own usual speed a target counts as slow: calls take half
/// as long again.
pub const SLOW_RATIO: f64 = 1.5;
/// Time in which the usual speed of a target comes half of the way to what it tells, where
/// that is slower: many spells of the first length. A target that has just started is slow
/// for seconds; that is its usual speed then, and nothing to wait out.
const BASELINE_HALF_LIFE_US: f64 = 2_000_000.0;
/// Mean time in either state before any was seen, in microseconds: as long as a reading is
/// believed.
const FIRST_LENGTH_US: f64 = BELIEF_HALF_LIFE_US;
/// Time in one state after which half of what was seen of it before still counts, in
/// microseconds: some spells of the first length.
const MEMORY_US: f64 = 1_000_000.0;
/// Longest time between two equal readings for which the state is taken to have lasted;
/// over a longer one the target may have gone to and fro, in microseconds.
const SAME_LIMIT_US: f64 = 200_000.0;
/// How many times slower a slow target is before any was seen.
const FIRST_SLOW_RATIO: f64 = 3.0;
/// Weight of one slow reading in the mean ratio.
const RATIO_WEIGHT: f64 = 0.05;

/// Time seen in one state, and how often it ended.
#[derive(Clone, Copy, Debug, Default)]
struct Stay {
    seen_us: f64,
    ends: f64,
}

impl Stay {
    /// Takes the time between two readings, of which the first was of this state. A state
    /// that ended meanwhile lasted for half of that time, or for its mean length where the
    /// readings are far apart: to pass over ends that were seen late would make spells look
    /// longer than they are.
    fn learn(&mut self, gap_us: f64, ended: bool) {
        let (seen_us, ends) = match ended {
            true => ((gap_us / 2.0).min(self.mean_us()), 1.0),
            false if gap_us > SAME_LIMIT_US => return,
            false => (gap_us, 0.0),
        };
        let kept = (-seen_us / MEMORY_US).exp2();
        self.seen_us = self.seen_us * kept + seen_us;
        self.ends = self.ends * kept + ends;
    }

    fn mean_us(&self) -> f64 {
        (FIRST_LENGTH_US + self.seen_us) / (1.0 + self.ends)
    }
}

/// How one target goes to and fro between usual and slow.
#[derive(Clone, Debug)]
pub struct Spells {
    slow: Stay,
    usual: Stay,
    slow_ratio: f64,
    /// Factor at its usual speed.
    baseline: f64,
    last: Option<SlownessReading>,
}

impl Default for Spells {
    fn default() -> Self {
        Spells {
            slow: Stay::default(),
            usual: Stay::default(),
            slow_ratio: FIRST_SLOW_RATIO,
            baseline: 1.0,
            last: None,
        }
    }
}

impl Spells {
    /// Takes a reading of the target.
    pub fn learn(&mut self, reading: SlownessReading) {
        let Some(last) = self.last.replace(reading) else {
            self.baseline = reading.factor;
            return;
        };
        let gap_us = reading.at.saturating_sub(last.at) as f64;
        let was_slow = self.is_slow(last);
        self.learn_baseline(reading.factor, gap_us);
        let is_slow = self.is_slow(reading);
        if is_slow {
            let ratio = reading.factor / self.baseline;
            self.slow_ratio += RATIO_WEIGHT * (ratio - self.slow_ratio);
        }
        let stay = match was_slow {
            true => &mut self.slow,
            false => &mut self.usual,
        };
        stay.learn(gap_us, was_slow != is_slow);
    }

    /// The usual speed falls to what is told at once, since a target is never faster than
    /// its usual speed, and rises slowly.
    fn learn_baseline(&mut self, factor: f64, gap_us: f64) {
        if factor <= self.baseline {
            self.baseline = factor;
            return;
        }
        let kept = (-gap_us.min(SAME_LIMIT_US) / BASELINE_HALF_LIFE_US).exp2();
        self.baseline = factor + (self.baseline - factor) * kept;
    }

    /// Whether the target was slower than at its usual speed.
    pub fn is_slow(&self, reading: SlownessReading) -> bool {
        reading.factor >= self.baseline * SLOW_RATIO
    }

    /// Factor of the target at its usual speed.
    pub fn baseline(&self) -> f64 {
        self.baseline
    }

    /// Mean time for which a slow target stays slow, in microseconds, however long it was
    /// slow already.
    pub fn slow_us(&self) -> f64 {
        self.slow.mean_us()
    }

    /// Mean factor of the target while it is slow.
    pub fn slow_factor(&self) -> f64 {
        self.baseline * self.slow_ratio
    }

    /// The chance that a target that was usual some time ago is slow now.
    pub fn chance_turned_slow(&self, age_us: f64) -> f64 {
        let (share, kept) = self.share_and_kept(age_us);
        share * (1.0 - kept)
    }

    /// The chance that a target that was slow some time ago is slow now.
    pub fn chance_still_slow(&self, age_us: f64) -> f64 {
        let (share, kept) = self.share_and_kept(age_us);
        share + (1.0 - share) * kept
    }

    /// The share of time for which the target is slow, and how much of what a reading told
    /// beyond that still holds after some time.
    fn share_and_kept(&self, age_us: f64) -> (f64, f64) {
        let to_slow = 1.0 / self.usual.mean_us();
        let to_usual = 1.0 / self.slow.mean_us();
        let either = to_slow + to_usual;
        (to_slow / either, (-either * age_us).exp())
    }
}
