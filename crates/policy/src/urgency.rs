//! How urgent calls are compared to others at the same target, and how many of each urgency
//! are offered.

use std::collections::BTreeMap;

use crate::decaying_count::DecayingCount;
use crate::hold_queue::CallAttributes;
use crate::ids::Micros;

/// Time over which the rate of offers averages, in microseconds: a second, so that a count is a
/// rate per second.
const WINDOW_US: f64 = 1e6;
/// Maximum number of urgencies tracked; the least urgent beyond it are not.
const MAX_TRACKED: usize = 64;

/// Rank of a call among those that want the same token; the lowest comes first. Nested calls
/// come before all others, because another call has already done its work and waits for them.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Urgency {
    not_nested: bool,
    priority: u32,
}

impl From<&CallAttributes> for Urgency {
    fn from(attributes: &CallAttributes) -> Self {
        Urgency {
            not_nested: !attributes.nested,
            priority: attributes.priority,
        }
    }
}

/// Rates of offers by urgency.
#[derive(Debug, Default)]
pub struct UrgentOffers {
    counts: BTreeMap<Urgency, DecayingCount>,
}

impl UrgentOffers {
    /// Records an offer.
    pub fn record(&mut self, now: Micros, urgency: Urgency) {
        let known = self.counts.entry(urgency).or_default();
        known.add(now, WINDOW_US, 1.0);
        if self.counts.len() > MAX_TRACKED {
            self.counts.pop_last();
        }
    }

    /// Offers per second of calls that are more urgent.
    pub fn per_s_above(&self, now: Micros, urgency: Urgency) -> f64 {
        let above = self.counts.range(..urgency);
        above.map(|(_, count)| count.value(now, WINDOW_US)).sum()
    }
}
