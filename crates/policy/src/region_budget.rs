//! The bytes that one daemon may send to other regions.
//!
//! What is shared between regions is bounded for all traffic together. When a daemon's part is
//! short, its calls stay in the region, the least urgent first; what keeps the daemons
//! together, and answers to calls that were let across, always go and are counted.

use crate::distance::Distance;
use crate::ids::Micros;

/// Time whose bytes may be saved up, or owed, in seconds: longer bursts fill the way for
/// others, and a longer debt would keep calls at home after the way is free again.
const SAVED_S: f64 = 1.0;
/// Part of the saved bytes that is kept back from calls by their priority, so that the most urgent
/// still find room; lower priorities are as the last.
const KEPT_BACK: [f64; 4] = [0.0, 0.25, 0.5, 0.75];

/// A bucket of bytes to other regions.
#[derive(Clone, Debug, Default)]
pub struct RegionBudget {
    /// No bound where it is 0.
    bytes_per_s: f64,
    level: f64,
    at: Micros,
}

impl RegionBudget {
    /// Sets the bound in bytes a second; 0 for none. A bound that is new begins with all that
    /// may be saved.
    pub fn set_limit(&mut self, now: Micros, bytes_per_s: u64) {
        self.refill(now);
        let was_bounded = self.bytes_per_s > 0.0;
        self.bytes_per_s = bytes_per_s as f64;
        self.level = match was_bounded {
            true => self.level.clamp(-self.saved(), self.saved()),
            false => self.saved(),
        };
    }

    /// Bytes went to another region.
    pub fn charge(&mut self, now: Micros, bytes: u64) {
        self.refill(now);
        self.level = (self.level - bytes as f64).max(-self.saved());
    }

    /// How far away a call of this priority may be sent now; 0 is the most urgent.
    pub fn reach(&mut self, now: Micros, priority: u32) -> Distance {
        if self.bytes_per_s == 0.0 {
            return Distance::OtherRegion;
        }
        self.refill(now);
        let priority = (priority as usize).min(KEPT_BACK.len() - 1);
        match self.level > KEPT_BACK[priority] * self.saved() {
            true => Distance::OtherRegion,
            false => Distance::OwnRegion,
        }
    }

    fn saved(&self) -> f64 {
        self.bytes_per_s * SAVED_S
    }

    fn refill(&mut self, now: Micros) {
        let passed_s = now.saturating_sub(self.at) as f64 / 1e6;
        self.level = (self.level + passed_s * self.bytes_per_s).min(self.saved());
        self.at = self.at.max(now);
    }
}
