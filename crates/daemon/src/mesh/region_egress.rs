//! What this daemon sends to other regions, kept to its bound.

use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};

use lynxcleat_policy::{Distance, Micros, RegionBudget};

use crate::clock::Clock;
use crate::metrics::Metrics;
use crate::sync::lock;

/// Least time between two lines that say that the bytes are used up.
const LOG_INTERVAL_US: Micros = 1_000_000;

/// The bytes to other regions.
pub struct RegionEgress {
    clock: Clock,
    budget: Mutex<RegionBudget>,
    /// When a line last said that calls stay in the region.
    logged_at: AtomicU64,
}

impl RegionEgress {
    /// Without a bound.
    pub fn new(clock: Clock) -> Self {
        RegionEgress {
            clock,
            budget: Mutex::default(),
            logged_at: AtomicU64::new(0),
        }
    }

    /// Sets the bound in bytes a second; 0 for none.
    pub fn set_limit(&self, bytes_per_s: u64) {
        lock(&self.budget).set_limit(self.clock.now(), bytes_per_s);
    }

    /// A message of so many bytes is written to a daemon that is this far away.
    pub(super) fn written(&self, distance: Distance, bytes: usize) {
        if distance == Distance::OtherRegion {
            lock(&self.budget).charge(self.clock.now(), bytes as u64);
        }
    }

    /// How far away a call of this priority may be sent now.
    pub fn reach(&self, metrics: &Metrics, priority: u32) -> Distance {
        let now = self.clock.now();
        let reach = lock(&self.budget).max_distance(now, priority);
        if reach < Distance::OtherRegion {
            metrics.region_short.inc();
            self.log_short(now, priority);
        }
        reach
    }

    fn log_short(&self, now: Micros, priority: u32) {
        let logged_at = self.logged_at.load(Ordering::Relaxed);
        if now >= logged_at + LOG_INTERVAL_US {
            self.logged_at.store(now, Ordering::Relaxed);
            log::warn!(priority; "calls stay in the region: the bytes to others are used up");
        }
    }
}
