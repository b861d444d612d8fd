//! Token bucket for the bytes that one daemon sends to other regions.
//!
//! The bandwidth between regions is bounded for all traffic together. When a daemon's bucket
//! runs low, its calls stay in the region, the least urgent first. Traffic that maintains
//! the mesh, and answers to calls that were already sent to another region, always go and are
//! charged to the bucket.

use crate::distance::Distance;
use crate::ids::Micros;

/// Capacity of the bucket, and its maximum debt, in seconds at the configured rate. Longer
/// bursts would fill the path for others, and a larger debt would keep calls in the region
/// after the path is free again.
const CAPACITY_S: f64 = 1.0;
/// Fraction of the capacity that calls of each priority must leave unused, so that the most
/// urgent calls still find bytes. Priorities beyond the table use its last entry.
const RESERVED_BY_PRIORITY: [f64; 4] = [0.0, 0.25, 0.5, 0.75];

/// A token bucket for bytes sent to other regions.
#[derive(Clone, Debug, Default)]
pub struct RegionBudget {
    /// Refill rate; 0 for no limit.
    bytes_per_s: f64,
    /// Bytes that may be sent now; negative for a debt.
    available: f64,
    refilled_at: Micros,
}

impl RegionBudget {
    /// Sets the limit in bytes per second; 0 for none. A bucket that had no limit starts full.
    pub fn set_limit(&mut self, now: Micros, bytes_per_s: u64) {
        self.refill(now);
        let was_limited = self.bytes_per_s > 0.0;
        self.bytes_per_s = bytes_per_s as f64;
        self.available = match was_limited {
            true => self.available.clamp(-self.capacity(), self.capacity()),
            false => self.capacity(),
        };
    }

    /// Charges bytes that were sent to another region.
    pub fn charge(&mut self, now: Micros, bytes: u64) {
        self.refill(now);
        self.available = (self.available - bytes as f64).max(-self.capacity());
    }

    /// The maximum distance to which a call of this priority may be sent now; priority 0 is
    /// the most urgent.
    pub fn max_distance(&mut self, now: Micros, priority: u32) -> Distance {
        if self.bytes_per_s == 0.0 {
            return Distance::OtherRegion;
        }
        self.refill(now);
        let priority = (priority as usize).min(RESERVED_BY_PRIORITY.len() - 1);
        match self.available > RESERVED_BY_PRIORITY[priority] * self.capacity() {
            true => Distance::OtherRegion,
            false => Distance::OwnRegion,
        }
    }

    fn capacity(&self) -> f64 {
        self.bytes_per_s * CAPACITY_S
    }

    fn refill(&mut self, now: Micros) {
        let elapsed_s = now.saturating_sub(self.refilled_at) as f64 / 1e6;
        self.available = (self.available + elapsed_s * self.bytes_per_s).min(self.capacity());
        self.refilled_at = self.refilled_at.max(now);
    }
}
