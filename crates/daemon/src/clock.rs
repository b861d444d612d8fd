//! The daemon's clock. Decisions use time since the start, which never jumps;
//! wall time is read once and carried forward, so it never goes back within an
//! incarnation either.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use lynxcleat_policy::Micros;

/// Time since the daemon's start, and wall time derived from it.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    wall_at_start_ms: u64,
}

impl Clock {
    /// Starts now.
    pub fn start() -> Self {
        let wall = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Clock {
            start: Instant::now(),
            wall_at_start_ms: wall.as_millis() as u64,
        }
    }

    /// Microseconds since the start.
    pub fn now(&self) -> Micros {
        self.start.elapsed().as_micros() as Micros
    }

    /// Milliseconds since 1970.
    pub fn wall_ms(&self) -> u64 {
        self.wall_at_start_ms + self.now() / 1_000
    }

    /// The moment that `at` stands for.
    pub fn instant(&self, at: Micros) -> tokio::time::Instant {
        tokio::time::Instant::from_std(self.start + Duration::from_micros(at))
    }
}
