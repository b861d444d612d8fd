//! For how long a connection may leave sent bytes unacknowledged before it counts as lost.
//!
//! Connections can fall silent for good without a word, and whatever is sent on them then
//! waits. TCP acknowledges within a round trip whatever the other process does, so a short
//! limit tells early. A link that loses packets, or one on which they queue, is late as
//! well, and making it again would only add to its load: each loss for silence doubles the
//! limit towards that peer, and calm halves it again.

use crate::ids::Micros;

/// Limit towards a peer to which no link was lost of late. TCP sends a lost packet again
/// after a few round trips where others follow it, and within 200 ms in any case.
const LEAST_US: Micros = 150_000;
/// Longest limit: callers do not wait for much longer.
const MOST_US: Micros = 1_000_000;
/// Time without a loss that halves the limit.
const CALM_US: Micros = 10_000_000;

/// The limit towards one peer.
#[derive(Clone, Copy, Debug)]
pub struct SilenceLimit {
    limit_us: Micros,
    lost_at: Micros,
}

impl Default for SilenceLimit {
    fn default() -> Self {
        SilenceLimit {
            limit_us: LEAST_US,
            lost_at: 0,
        }
    }
}

impl SilenceLimit {
    /// The limit now, in microseconds.
    pub fn limit_us(&self, now: Micros) -> Micros {
        let calm = now.saturating_sub(self.lost_at) / CALM_US;
        (self.limit_us >> calm.min(63)).max(LEAST_US)
    }

    /// A link to the peer was lost for silence.
    pub fn lost(&mut self, now: Micros) {
        self.limit_us = (self.limit_us(now) * 2).min(MOST_US);
        self.lost_at = now;
    }
}
