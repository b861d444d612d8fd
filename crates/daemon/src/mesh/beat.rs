//! Heartbeats on dialed links, and the loss of links that fall silent.
//!
//! A heartbeat is sent only on a link that has been quiet, and only if the
//! measuring budget grants it. Silence counts from a heartbeat that was sent, so
//! a budget that refuses heartbeats never loses a link. The interval grows with
//! the number of links, so that heartbeats keep to their share of the budget; the
//! price is that a dead peer without traffic is noticed later.

use std::sync::Arc;
use std::time::Duration;

use lynxcleat_policy::{Cost, Micros};
use lynxcleat_wire::Frame;

use super::link::Link;
use crate::control::Purpose;
use crate::core::Core;

/// Bytes of a heartbeat and its reply with their frames and TCP headers.
const BEAT_BYTES: usize = 2 * (32 + 52);
/// What a heartbeat and its reply cost.
const BEAT: Cost = Cost {
    messages: 2,
    bytes: BEAT_BYTES as u64,
    cpu_us: BEAT_CPU_US,
};
/// Part of the budget's bytes that heartbeats may take together.
const BEAT_SHARE: f64 = 0.4;
/// Processor time charged for a heartbeat and its reply, in microseconds.
const BEAT_CPU_US: u64 = 40;

/// Interval and silence before settings are in force, in microseconds.
const FIRST_INTERVAL_US: u64 = 1_000_000;
const FIRST_SILENCE_US: u64 = 3_000_000;

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
    let mut unanswered_since: Option<Micros> = None;
    loop {
        let (interval_us, silence_us) = intervals(core);
        let now = core.clock.now();
        let heard_at = link.heard_at();
        unanswered_since = unanswered_since.filter(|since| heard_at < *since);
        let quiet = now.saturating_sub(heard_at) >= interval_us;
        match unanswered_since {
            Some(since) if now.saturating_sub(since) >= silence_us => return,
            None if quiet && core.budget.ask(Purpose::Beat, BEAT) => {
                let _ = link.send(Frame::Beat);
                unanswered_since = Some(now);
            }
            _ => {}
        }
        // While an answer is awaited, the silence is looked at in time.
        let pause_us = match unanswered_since {
            Some(_) => interval_us.min(silence_us / 2),
            None => interval_us,
        };
        tokio::time::sleep(Duration::from_micros(pause_us)).await;
    }
}

/// Interval of heartbeats and longest silence, in microseconds.
fn intervals(core: &Core) -> (u64, u64) {
    let Some(in_force) = core.settings.current() else {
        return (FIRST_INTERVAL_US, FIRST_SILENCE_US);
    };
    let own = &in_force.own;
    let all_beats = (core.links.dialed() * BEAT_BYTES) as f64;
    let share = BEAT_SHARE * own.measure_bytes_per_s as f64;
    let needed_us = (all_beats / share * 1e6) as u64;
    let interval_us = needed_us.max(own.heartbeat_ms * 1_000);
    (interval_us, own.link_silence_ms * 1_000)
}
