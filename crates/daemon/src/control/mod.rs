//! What a daemon does besides calls: following the settings, the host list and
//! its target's health, all within the budget of measuring.

pub(crate) mod budget;
mod health;
mod hosts;
mod load;
mod quarantine;

use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;

use crate::core::Core;
use crate::settings::poll;

pub use budget::{MeasureBudget, Purpose};
pub use load::{asks_for_load, start as start_load};

/// Part of an interval by which it varies, so that daemons do not poll in step.
const JITTER: f64 = 0.2;
/// Reads a second of one kind that all daemons together may make: a fifth of what
/// the platform takes.
const FLEET_READS_PER_S: u64 = 400;
/// Pause before asking again what the budget refused.
pub(crate) const REFUSED_PAUSE: Duration = Duration::from_millis(200);

/// Starts the control tasks of a daemon.
pub fn start(core: &Arc<Core>) {
    tokio::spawn(poll::follow(Arc::clone(core)));
    tokio::spawn(hosts::follow(Arc::clone(core)));
    tokio::spawn(health::follow(Arc::clone(core)));
    tokio::spawn(quarantine::keep(Arc::clone(core)));
    load::start(core);
}

/// An interval of polls in milliseconds: the configured one, or a longer one where
/// the fleet is so large that all daemons together would read too often.
pub(crate) fn fleet_interval_ms(core: &Core, configured_ms: u64) -> u64 {
    let shared_ms = core.hosts.len() as u64 * 1_000 / FLEET_READS_PER_S;
    configured_ms.max(shared_ms)
}

/// An interval in milliseconds, with jitter.
pub(crate) fn jittered(interval_ms: u64) -> Duration {
    let factor = rand::rng().random_range(1.0 - JITTER..1.0 + JITTER);
    Duration::from_millis(interval_ms).mul_f64(factor)
}
