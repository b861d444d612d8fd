//! Backoff between a router's attempts to establish a link that was lost or could not be
//! established.
//!
//! The first attempts come soon, since most daemons that end are back in less than a second
//! and their targets get no calls until their links are established. Later ones are rare,
//! since each takes a part of the measurement budget.

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use crate::ids::Micros;

/// Delay before the first attempt after a loss.
const INITIAL_DELAY_US: Micros = 50_000;
/// Maximum delay between attempts. A daemon that is gone for good is tried as long as it is
/// listed.
const MAX_DELAY_US: Micros = 2_000_000;
/// Delay before the measurement budget is asked again after it refused an attempt: a tenth of
/// the budget's one-second window.
const BUDGET_REFUSED_DELAY_US: Micros = 100_000;
/// Fraction of a delay that is random, so that daemons do not reconnect in lockstep.
const JITTER: f64 = 0.5;

/// Outcome of a link or of an attempt to establish one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReconnectEvent {
    /// An established link was lost.
    Lost,
    /// The link could not be established.
    Failed,
    /// The measurement budget did not allow an attempt.
    BudgetRefused,
}

/// Exponential backoff, with jitter, for one link.
#[derive(Debug)]
pub struct ReconnectBackoff {
    delay_us: Micros,
    rng: SmallRng,
}

impl ReconnectBackoff {
    /// Creates a backoff at its initial delay. `seed` determines the jitter.
    pub fn new(seed: u64) -> Self {
        ReconnectBackoff {
            delay_us: INITIAL_DELAY_US,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Returns the delay before the next step, in microseconds. A refusal by the budget says
    /// nothing about the peer, so it does not increase later delays.
    pub fn next_delay_us(&mut self, event: ReconnectEvent) -> Micros {
        let delay_us = match event {
            ReconnectEvent::BudgetRefused => BUDGET_REFUSED_DELAY_US,
            ReconnectEvent::Lost => {
                self.delay_us = INITIAL_DELAY_US;
                self.increase()
            }
            ReconnectEvent::Failed => self.increase(),
        };
        let factor = 1.0 - JITTER * self.rng.random::<f64>();
        (delay_us as f64 * factor) as Micros
    }

    /// Returns the current delay and doubles it for the next attempt, up to the maximum.
    fn increase(&mut self) -> Micros {
        let delay_us = self.delay_us;
        self.delay_us = (delay_us * 2).min(MAX_DELAY_US);
        delay_us
    }
}
