//! Counts whose weight decays exponentially with age, from which recent rates are estimated.

use crate::ids::Micros;

/// A decaying count.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct DecayingCount {
    count: f64,
    at: Micros,
}

impl DecayingCount {
    /// The count now, if its weight decays to 1/e within `window_us`.
    pub fn value(&self, now: Micros, window_us: f64) -> f64 {
        let age_us = now.saturating_sub(self.at) as f64;
        self.count * (-age_us / window_us).exp()
    }

    /// Adds to the count.
    pub fn add(&mut self, now: Micros, window_us: f64, amount: f64) {
        self.count = self.value(now, window_us) + amount;
        self.at = now;
    }
}
