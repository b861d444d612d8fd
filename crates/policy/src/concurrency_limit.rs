//! Adaptive concurrency limit of a target, learned from service times.
//!
//! Some targets slow down when they are nearly full, so that running one more call lowers
//! the throughput. For each number of concurrent calls (a level), the mean slowdown
//! relative to an uncontended call is kept. The limit is the level with the highest
//! throughput, discounted where calls take much longer. A level without recent samples
//! counts as no slower than the level below it, so that it is tried again. A fraction of
//! the slots is usable at once, and each further level once the one below it has samples.

use crate::ids::Micros;

/// Minimum weight of one sample in a level's mean.
const MIN_SAMPLE_WEIGHT: f64 = 0.1;
/// Number of samples from which a level's mean is used.
const MIN_LEVEL_SAMPLES: f64 = 8.0;
/// Half-life of a level's samples.
const SAMPLE_HALF_LIFE_US: f64 = 60_000_000.0;

/// Exponent applied to the slowdown. An exponent of 1 would maximise throughput alone, and
/// run six calls at once where four give the same throughput and finish sooner.
const SLOWDOWN_EXPONENT: f64 = 1.25;

/// Fraction of the slots that is used before anything is known. A target that slows down
/// when nearly full delays every call it runs, and after many daemons restart all targets
/// are full. A slot left free for a moment costs only one call its place.
const INITIAL_FRACTION: f64 = 0.75;

/// Statistics of one number of concurrent calls.
#[derive(Clone, Copy, Debug, Default)]
struct Level {
    slowdown: f64,
    weight: f64,
    updated_at: Micros,
}

impl Level {
    fn weight(&self, now: Micros) -> f64 {
        let age_us = now.saturating_sub(self.updated_at) as f64;
        self.weight * (-age_us / SAMPLE_HALF_LIFE_US).exp2()
    }

    fn record(&mut self, now: Micros, slowdown: f64) {
        let weight = self.weight(now) + 1.0;
        self.slowdown += (slowdown - self.slowdown) * MIN_SAMPLE_WEIGHT.max(1.0 / weight);
        self.weight = weight;
        self.updated_at = now;
    }
}

/// Adaptive concurrency limit of one target.
#[derive(Clone, Debug, Default)]
pub struct ConcurrencyLimit {
    levels: Vec<Level>,
}

impl ConcurrencyLimit {
    /// Records that a call took `slowdown` times its uncontended service time while
    /// `running` calls ran, including itself.
    pub fn record(&mut self, now: Micros, running: u32, slowdown: f64) {
        let index = running.max(1) as usize - 1;
        if self.levels.len() <= index {
            self.levels.resize(index + 1, Level::default());
        }
        self.levels[index].record(now, slowdown);
    }

    /// Returns the number of calls, up to `slots`, that gives the highest throughput,
    /// preferring fewer calls where the throughput is nearly the same and calls finish
    /// sooner.
    pub fn limit(&self, now: Micros, slots: u32) -> u32 {
        let slowdowns = self.monotone_slowdowns(now, self.usable_levels(now, slots));
        let mut best = (0.0, slots);
        for (index, slowdown) in slowdowns.into_iter().enumerate() {
            let running = index as u32 + 1;
            let value = f64::from(running) / slowdown.max(1.0).powf(SLOWDOWN_EXPONENT);
            if value >= best.0 {
                best = (value, running);
            }
        }
        best.1
    }

    /// Number of levels that may be used: the known ones and the next one above, and in any
    /// case a fraction of the slots.
    fn usable_levels(&self, now: Micros, slots: u32) -> u32 {
        let is_known = |level: &Level| level.weight(now) >= MIN_LEVEL_SAMPLES;
        let known = self.levels.iter().rposition(is_known);
        let next = known.map_or(0, |index| index as u32 + 2);
        let initial = (f64::from(slots) * INITIAL_FRACTION).ceil() as u32;
        next.max(initial).min(slots)
    }

    /// Slowdown of each level, made non-decreasing in the number of calls by pooling
    /// adjacent violators (Ayer et al., 1955). An unknown level is as slow as the one below
    /// it.
    fn monotone_slowdowns(&self, now: Micros, slots: u32) -> Vec<f64> {
        let mut pools: Vec<Pool> = Vec::new();
        for index in 0..slots as usize {
            let level = self.levels.get(index).copied().unwrap_or_default();
            let weight = level.weight(now);
            if weight < MIN_LEVEL_SAMPLES {
                match pools.last_mut() {
                    Some(pool) => pool.levels += 1,
                    None => pools.push(Pool::new(1.0, 0.0)),
                }
                continue;
            }
            pools.push(Pool::new(level.slowdown, weight));
            while let [.., below, above] = pools.as_mut_slice()
                && below.slowdown > above.slowdown
            {
                below.merge(*above);
                pools.pop();
            }
        }
        let expand = |pool: Pool| std::iter::repeat_n(pool.slowdown, pool.levels);
        pools.into_iter().flat_map(expand).collect()
    }
}

#[derive(Clone, Copy, Debug)]
struct Pool {
    slowdown: f64,
    weight: f64,
    levels: usize,
}

impl Pool {
    fn new(slowdown: f64, weight: f64) -> Self {
        Pool {
            slowdown,
            weight,
            levels: 1,
        }
    }

    fn merge(&mut self, other: Pool) {
        let weight = self.weight + other.weight;
        self.slowdown = (self.slowdown * self.weight + other.slowdown * other.weight) / weight;
        self.weight = weight;
        self.levels += other.levels;
    }
}
