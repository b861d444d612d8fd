//! How much of the settings a daemon sends to peers that ask.

use std::time::Duration;

use crate::ids::Micros;

/// Bytes of settings sent in a second, to all peers together: two fifths of a link of 10 Mbit/s.
/// Those that were sent a copy send copies themselves, so that the fleet's rate doubles.
const BYTES_PER_S: u64 = 500_000;
/// Time by which sending may be ahead of the rate.
const AHEAD: Duration = Duration::from_millis(50);

/// Keeps the rate. It knows no clock: each call says what time it is.
#[derive(Clone, Copy, Debug, Default)]
pub struct CopyRate {
    /// When what was sent so far keeps to the rate.
    even_at: Micros,
}

impl CopyRate {
    /// How long a peer has to wait; nothing where it may be sent a part now.
    pub fn wait(&self, now: Micros) -> Option<Duration> {
        let ahead = Duration::from_micros(self.even_at.saturating_sub(now));
        (ahead > AHEAD).then_some(ahead)
    }

    /// A part was sent.
    pub fn sent(&mut self, now: Micros, bytes: usize) {
        let took = Duration::from_secs(bytes as u64) / BYTES_PER_S as u32;
        self.even_at = self.even_at.max(now) + took.as_micros() as Micros;
    }
}
