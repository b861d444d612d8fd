//! Adaptive timeout after which a connection with unacknowledged bytes counts as lost.
//!
//! A connection can fail without any notification, and bytes sent on it then wait. TCP
//! acknowledges within a round trip whatever the other process does, so a short timeout
//! detects this early. A path that loses packets, or on which they queue, is late as well,
//! and reconnecting would only add to its load. Each loss by timeout therefore doubles the
//! timeout for that peer, and a period without a loss halves it again.

use crate::ids::Micros;

/// Timeout for a peer to which no link was lost recently. TCP retransmits a lost packet after
/// a few round trips if other packets follow it, and within 200 ms in any case.
const MIN_TIMEOUT_US: Micros = 150_000;
/// Maximum timeout: callers do not wait for much longer.
const MAX_TIMEOUT_US: Micros = 1_000_000;
/// Time without a loss after which the timeout is halved.
const HALVING_PERIOD_US: Micros = 10_000_000;

/// The acknowledgement timeout for one peer.
#[derive(Clone, Copy, Debug)]
pub struct AckTimeout {
    timeout_us: Micros,
    lost_at: Micros,
}

impl Default for AckTimeout {
    fn default() -> Self {
        AckTimeout {
            timeout_us: MIN_TIMEOUT_US,
            lost_at: 0,
        }
    }
}

impl AckTimeout {
    /// The current timeout in microseconds.
    pub fn timeout_us(&self, now: Micros) -> Micros {
        let halvings = now.saturating_sub(self.lost_at) / HALVING_PERIOD_US;
        (self.timeout_us >> halvings.min(63)).max(MIN_TIMEOUT_US)
    }

    /// Records that a link to the peer was lost by this timeout.
    pub fn record_loss(&mut self, now: Micros) {
        self.timeout_us = (self.timeout_us(now) * 2).min(MAX_TIMEOUT_US);
        self.lost_at = now;
    }
}
