//! Heartbeats on dialed links, and the loss of links that fall silent.
//!
//! A heartbeat is sent only on a link that has been quiet, and only if the
//! measuring budget grants it. Silence counts from a heartbeat that was sent, so
//! a budget that refuses heartbeats never loses a link.

use std::sync::Arc;
use std::time::Duration;

use lynxcleat_policy::Cost;
use lynxcleat_wire::Frame;

use super::link::Link;
use crate::core::Core;

/// Bytes of a heartbeat and its reply with their frames and TCP headers.
const BEAT_BYTES: usize = 2 * (32 + 52);
/// Processor time charged for a heartbeat and its reply, in microseconds.
const BEAT_CPU_US: u64 = 40;

/// Starts the heartbeats of a link.
pub(super) fn start(core: &Arc<Core>, link: &Arc<Link>) {
    let core = Arc::clone(core);
    let link = Arc::clone(link);
    tokio::spawn(async move {
        tokio::select! {
            () = beat(&core, &link) => {
                log::warn!(peer = link.peer.host.as_str(); "link lost: silent");
                core.links.remove(&core, &link);
            }
            () = link.closed() => {}
        }
    });
}

/// Returns when the link has been silent for too long.
async fn beat(core: &Core, link: &Link) {
    let mut unanswered_since = None;
    loop {
        let (interval_us, silence_us) = intervals(core);
        let now = core.clock.now();
        let quiet_us = now.saturating_sub(link.heard_at());
        if quiet_us < interval_us {
            unanswered_since = None;
        } else if let Some(since) = unanswered_since
            && now.saturating_sub(since) >= silence_us
        {
            return;
        } else if core.budget.ask(Cost::message(BEAT_BYTES, BEAT_CPU_US)) {
            let _ = link.send(Frame::Beat);
            unanswered_since.get_or_insert(now);
        }
        tokio::time::sleep(Duration::from_micros(interval_us)).await;
    }
}

/// Interval of heartbeats and longest silence, in microseconds.
fn intervals(core: &Core) -> (u64, u64) {
    match core.settings.current() {
        Some(in_force) => {
            let own = &in_force.own;
            (own.heartbeat_ms * 1_000, own.link_silence_ms * 1_000)
        }
        None => (1_000_000, 3_000_000),
    }
}
