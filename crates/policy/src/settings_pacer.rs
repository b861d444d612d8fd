//! Paces the settings that a daemon sends to peers that request them.

use std::time::Duration;

use crate::ids::Micros;

/// Bytes of settings sent per second to all peers together: two fifths of a 10 Mbit/s link.
/// Peers that received a copy send copies themselves, so the rate of the fleet doubles as
/// copies spread.
const BYTES_PER_S: u64 = 500_000;
/// Time by which sending may run ahead of the rate.
const MAX_AHEAD: Duration = Duration::from_millis(50);

/// Limits the rate at which settings are sent. It reads no clock: each call passes the time.
#[derive(Clone, Copy, Debug, Default)]
pub struct SettingsPacer {
    /// When the bytes sent so far will be on schedule.
    on_schedule_at: Micros,
}

impl SettingsPacer {
    /// Time for which a peer has to wait; `None` if a part may be sent now.
    pub fn delay(&self, now: Micros) -> Option<Duration> {
        let ahead = Duration::from_micros(self.on_schedule_at.saturating_sub(now));
        (ahead > MAX_AHEAD).then_some(ahead)
    }

    /// Records that a part of `bytes` was sent.
    pub fn record_sent(&mut self, now: Micros, bytes: usize) {
        let took = Duration::from_secs(bytes as u64) / BYTES_PER_S as u32;
        self.on_schedule_at = self.on_schedule_at.max(now) + took.as_micros() as Micros;
    }
}
