//! Rollouts: what operators order, what daemons tell each other of it, and what it changes
//! for routers, halves and the status row.
//!
//! Without an order none of this does anything: a call sees one flag.

mod division;
mod own;
mod reach;
mod spread;
pub(crate) mod state;
mod status;
mod work;

use std::sync::Arc;
use std::sync::atomic::Ordering;

use crate::core::Core;

use state::state;

pub use own::apply_own;
pub use spread::{greet, take_evidence, take_idle, take_news, take_orders};
pub use state::{RolloutState, RolloutStates};
pub use work::start;

/// Something changed in the rollout of a service: it is put in force here.
fn changed(core: &Arc<Core>, service: &str) {
    core.rollouts.any.store(true, Ordering::Relaxed);
    log_state(core, service);
    apply_own(core);
    core.routers.refresh(core);
    work::count(core, service);
    core.rollouts.wanted.notify_one();
}

fn log_state(core: &Core, service: &str) {
    let now = core.clock.now();
    let state = core
        .rollouts
        .with(|known| known.get(service).map(|known| state(now, known)));
    let Some(state) = state else { return };
    log::info!(
        service,
        target_version = state.target.as_str(),
        order = state.order,
        phase:? = state.phase,
        stored = state.stored,
        left_ms = state.left_ms,
        calls = state.calls,
        bad = state.bad,
        failed = state.failed;
        "rollout"
    );
}
