//! The target's own health endpoint. It lags and sometimes misleads, so only one
//! thing is taken from it: that the target wishes to drain. Its load report is
//! not used, since every call passes us and our own count is exact.

use std::io::Read;
use std::net::SocketAddr;
use std::sync::Arc;

use lynxcleat_policy::Cost;
use serde::Deserialize;

use super::{Purpose, jittered};
use crate::core::Core;
use crate::life::LeaveCause;

/// Bytes charged for a poll: request, reply, and TCP's own.
const POLL_BYTES: usize = 800;
/// Processor time charged for a poll, in microseconds.
const POLL_CPU_US: u64 = 300;
/// Warm connections kept for each slot: one in use, one at rest.
const WARM_PER_SLOT: usize = 2;
/// Seconds that a poll may take.
const POLL_LIMIT_S: u64 = 1;
/// Bytes of an answer that are read at most.
const ANSWER_BYTES: u64 = 64 << 10;
/// Interval before settings are in force, in milliseconds.
const FIRST_INTERVAL_MS: u64 = 500;

/// Status of a target that wishes to drain.
const DRAINING: &str = "draining";

#[derive(Deserialize)]
struct Health {
    status: String,
}

/// Follows the endpoint until the daemon ends, and keeps the connections to the
/// target warm.
pub(super) async fn follow(core: Arc<Core>) {
    loop {
        keep_warm(&core).await;
        if let Some(address) = core.config.target_health
            && core
                .budget
                .ask(Purpose::Health, Cost::message(POLL_BYTES, POLL_CPU_US))
        {
            poll(&core, address).await;
        }
        tokio::time::sleep(jittered(interval_ms(&core))).await;
    }
}

async fn keep_warm(core: &Core) {
    core.half.pool.drop_old();
    if let Some(in_force) = core.settings.current() {
        let warm = WARM_PER_SLOT * in_force.own.slots as usize;
        core.half.pool.warm(warm).await;
    }
}

fn interval_ms(core: &Core) -> u64 {
    let in_force = core.settings.current();
    in_force.map_or(FIRST_INTERVAL_MS, |in_force| in_force.own.health_ms)
}

/// A target that drains leaves; one that is well again returns. An endpoint that
/// does not answer says nothing.
async fn poll(core: &Arc<Core>, address: SocketAddr) {
    let polled = tokio::task::spawn_blocking(move || read(address)).await;
    let Ok(Some(health)) = polled else { return };
    core.set_leaving(LeaveCause::Target, health.status == DRAINING);
}

fn read(address: SocketAddr) -> Option<Health> {
    let response = minreq::get(format!("http://{address}/health"))
        .with_timeout(POLL_LIMIT_S)
        .with_follow_redirects(false)
        .send_lazy()
        .ok()?;
    serde_json::from_reader(response.take(ANSWER_BYTES)).ok()
}
