//! Following the accepted generation on our own platform, by polling the pointer.
//!
//! The poll slows down as the fleet grows, so that all daemons together stay
//! within a share of the platform's reads; generations that ride on messages
//! between daemons keep the spread fast all the same.

use std::sync::Arc;
use std::time::Duration;

use lynxcleat_policy::Cost;
use lynxcleat_settings::{Generation, OfferError};
use lynxcleat_store::{PlatformError, Pointer, keys};
use thiserror::Error;

use super::catch_up::copy_from;
use crate::control::{Purpose, REFUSED_PAUSE, fleet_interval_ms, jittered};
use crate::core::Core;
use crate::mesh::Links;
use crate::metrics::count;

/// Bytes charged for a poll: request, reply, and TCP's own.
const POLL_BYTES: usize = 1_200;
/// Processor time charged for a poll, in microseconds.
const POLL_CPU_US: u64 = 400;
/// Interval of polls before settings are in force, in milliseconds.
const FIRST_POLL_MS: u64 = 300;
/// Longest wait for a peer's copy of the tree.
const PEER_LIMIT: Duration = Duration::from_secs(10);

/// Why a generation could not be taken up.
#[derive(Debug, Error)]
enum TakeError {
    #[error("{0}")]
    Platform(#[from] PlatformError),
    #[error("{0}")]
    Offer(#[from] OfferError),
}

/// Polls the pointer until the daemon ends.
pub(crate) async fn follow(core: Arc<Core>) {
    loop {
        if core.settings.current().is_none() {
            ask_seeds(&core).await;
        }
        let cost = Cost::message(POLL_BYTES, POLL_CPU_US);
        if core.budget.ask(Purpose::Settings, cost) {
            poll(&core).await;
            tokio::time::sleep(jittered(interval_ms(&core))).await;
        } else {
            tokio::time::sleep(REFUSED_PAUSE).await;
        }
    }
}

fn interval_ms(core: &Core) -> u64 {
    match core.settings.current() {
        Some(in_force) => fleet_interval_ms(core, in_force.own.poll_ms),
        None => FIRST_POLL_MS,
    }
}

async fn poll(core: &Arc<Core>) {
    let polling = Arc::clone(core);
    let polled = tokio::task::spawn_blocking(move || take_from_platform(&polling)).await;
    match polled {
        Ok(Ok(true)) => core.apply_settings(),
        Ok(Ok(false)) | Err(_) => {}
        Ok(Err(error)) => {
            let kind = "pointer";
            count(&core.metrics.platform_failures, kind);
            log::warn!("settings: {error}");
        }
    }
}

/// Reads the pointer, and the tree where it is newer than ours. An old read of
/// the pointer cannot lower what is in force.
fn take_from_platform(core: &Core) -> Result<bool, TakeError> {
    let Some(row) = core.platform.read_one(keys::POINTER)? else {
        return Ok(false);
    };
    let pointer: Pointer =
        serde_json::from_value(row.value).map_err(|error| PlatformError::Malformed {
            path: keys::POINTER.to_owned(),
            reason: error.to_string(),
        })?;
    if pointer.generation <= core.settings.number() {
        return Ok(false);
    }
    let content = core.platform.get_object(&pointer.digest)?;
    let text = String::from_utf8_lossy(&content).into_owned();
    let generation = Generation::check(pointer.generation, pointer.digest, text)?;
    Ok(core.settings.offer(generation)?)
}

/// Asks every seed at once and takes the newest tree that any of them has.
async fn ask_seeds(core: &Arc<Core>) {
    let asked: Vec<_> = core
        .config
        .seeds
        .iter()
        .filter(|seed| **seed != core.me.mesh.to_string())
        .map(|seed| {
            let core = Arc::clone(core);
            let seed = seed.clone();
            tokio::spawn(async move {
                let link = Links::dial(&core, &seed).await.ok()?;
                let copied = copy_from(&core, &link);
                tokio::time::timeout(PEER_LIMIT, copied).await.ok()?
            })
        })
        .collect();
    let mut copies = Vec::new();
    for seed in asked {
        copies.extend(seed.await.ok().flatten());
    }
    copies.sort_by_key(|generation| std::cmp::Reverse(generation.number));
    for generation in copies {
        match core.settings.offer(generation) {
            Ok(true) => core.apply_settings(),
            Ok(false) => {}
            Err(error) => log::error!("settings refused: {error}"),
        }
    }
}
