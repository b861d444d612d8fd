//! The daemon's clock. Decisions use time since the start, which never jumps back;
//! wall time is read once and carried forward, so it never goes back within an
//! incarnation either.
//!
//! The time for which the host was suspended counts: deadlines, silence and age go by for
//! everybody else meanwhile. The steady clock leaves it out, and with it wall time would be
//! behind for good after the first suspension.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use lynxcleat_policy::Micros;
use rustix::time::{ClockId, clock_gettime};

/// Reads a clock that never goes back and counts suspensions.
pub type ReadTime = fn() -> Duration;

/// Time since the daemon's start, and wall time derived from it.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    read: ReadTime,
    start: Duration,
    steady_start: Instant,
    wall_at_start_ms: u64,
}

impl Clock {
    /// Starts now, by the time since the host's start.
    pub fn start() -> Self {
        Clock::start_by(since_boot)
    }

    /// Starts now, by another clock.
    pub fn start_by(read: ReadTime) -> Self {
        let wall = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Clock {
            read,
            start: read(),
            steady_start: Instant::now(),
            wall_at_start_ms: wall.as_millis() as u64,
        }
    }

    /// Microseconds since the start.
    pub fn now(&self) -> Micros {
        self.since_start().as_micros() as Micros
    }

    /// Time since the start.
    pub fn since_start(&self) -> Duration {
        (self.read)().saturating_sub(self.start)
    }

    /// Milliseconds since 1970.
    pub fn wall_ms(&self) -> u64 {
        self.wall_at_start_ms + self.now() / 1_000
    }

    /// The moment that `at` stands for, unless the host is suspended before; now where it is
    /// over.
    pub fn instant(&self, at: Micros) -> tokio::time::Instant {
        let left_us = at.saturating_sub(self.now());
        tokio::time::Instant::now() + Duration::from_micros(left_us)
    }

    /// How long the host was suspended since the start.
    pub fn suspended(&self) -> Duration {
        self.since_start()
            .saturating_sub(self.steady_start.elapsed())
    }
}

/// Time since the host was started, suspensions included.
pub fn since_boot() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let nanos = u32::try_from(time.tv_nsec).unwrap_or(0);
    Duration::new(seconds, nanos)
}
