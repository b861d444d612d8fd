//! Telling the daemons that route here when the target goes down and when it is back.
//!
//! Only this daemon can find out, since all calls of the target pass it. While calls come they
//! show both; while none do, since the routers know that it is down, it is looked at.

use std::sync::Arc;
use std::time::{Duration, Instant};

use lynxcleat_wire::Frame;

use crate::core::Core;

/// Part of the time since the target went down after which it is looked at again, as a
/// divisor: it is found again within so small a part of its outage.
const PAUSE_PART: u32 = 8;
/// Shortest pause between two looks: a process takes longer than that to start.
const LEAST_PAUSE: Duration = Duration::from_millis(20);
/// Longest pause: a look costs a few system calls on this host.
const MOST_PAUSE: Duration = Duration::from_secs(1);
/// Least time from a return to the next word of an outage: a target that goes down and up by
/// turns brings few messages, and routers learn by refusals meanwhile.
const TELL_PAUSE: Duration = Duration::from_millis(200);

/// Starts following whether the target listens.
pub fn start(core: &Arc<Core>) {
    tokio::spawn(follow(Arc::clone(core)));
}

async fn follow(core: Arc<Core>) {
    let mut down = core.half.pool.ends.watch();
    while down.wait_for(|down| *down).await.is_ok() {
        let since = Instant::now();
        log::info!("target down");
        tell(&core, true);
        look_until_back(&core, since).await;
        // The process is a new one: what it keeps in memory is gone.
        core.half.doubt_warmth();
        core.half.forget_nameless(&core);
        let down_ms = u64::try_from(since.elapsed().as_millis()).unwrap_or(u64::MAX);
        log::info!(down_ms; "target back");
        tell(&core, false);
        tokio::time::sleep(TELL_PAUSE).await;
    }
}

async fn look_until_back(core: &Core, since: Instant) {
    while core.half.pool.is_down() {
        let pause = (since.elapsed() / PAUSE_PART).clamp(LEAST_PAUSE, MOST_PAUSE);
        tokio::time::sleep(pause).await;
        core.half.pool.look().await;
    }
}

fn tell(core: &Core, down: bool) {
    core.metrics.target_down.set(i64::from(down));
    core.links.announce(&Frame::Down(down));
}
