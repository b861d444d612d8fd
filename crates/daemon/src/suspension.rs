//! Noticing that the host was suspended, and doubting what may have changed meanwhile.
//!
//! Time that went by shows in the daemon's clock, so what was in hand is judged by its deadline
//! as ever. Timers do not run on while a host is suspended; what they would have done is done
//! here.

use std::sync::Arc;
use std::time::Duration;

use crate::core::Core;

/// Time between two looks: callers that the host left waiting are few within it.
const LOOK_EVERY: Duration = Duration::from_millis(200);
/// Shortest suspension that is noticed: below it, no link or deadline is in doubt, and the two
/// clocks differ by some microseconds by themselves.
const LEAST: Duration = Duration::from_millis(50);

/// Looks for suspensions until the daemon ends.
pub async fn follow(core: Arc<Core>) {
    let mut known = core.clock.suspended();
    loop {
        tokio::time::sleep(LOOK_EVERY).await;
        let now = core.clock.suspended();
        if now >= known + LEAST {
            wake(&core, now - known);
        }
        known = known.max(now);
    }
}

fn wake(core: &Core, suspended: Duration) {
    let suspended_ms = u64::try_from(suspended.as_millis()).unwrap_or(u64::MAX);
    log::warn!(suspended_ms; "host was suspended");
    core.metrics.suspensions.inc();
    core.links.doubt_all(core);
    core.half.pool.drop_idle();
    core.half.doubt_warmth();
    core.half.look();
    if let Some(directory) = &core.directory {
        directory.doubt_feeds();
    }
}
