//! Following the accepted generation: by polling the pointer, and from peers.
//!
//! The poll slows down as the fleet grows, so that all daemons together stay
//! within a share of the platform's reads; generations that ride on messages
//! between daemons keep the spread fast all the same.

use std::sync::Arc;
use std::time::{Duration, Instant};

use lynxcleat_policy::Cost;
use lynxcleat_settings::{Digest, Generation, OfferError};
use lynxcleat_store::{PlatformError, Pointer, keys};
use lynxcleat_wire::{Frame, TreeCopy};
use rand::seq::IteratorRandom;
use thiserror::Error;

use super::{Purpose, REFUSED_PAUSE, fleet_interval_ms, jittered};
use crate::core::Core;
use crate::mesh::{Link, Links};
use crate::metrics::count;

/// Bytes charged for a poll: request, reply, and TCP's own.
const POLL_BYTES: usize = 1_200;
/// Processor time charged for a poll, in microseconds.
const POLL_CPU_US: u64 = 400;
/// Interval of polls before settings are in force, in milliseconds.
const FIRST_POLL_MS: u64 = 300;
/// Time for which the feed is waited for before it is doubted: it brings a change to
/// all daemons within a few milliseconds of each other.
const FEED_FIRST: Duration = Duration::from_millis(250);
/// Time for which the directory is waited for after that, before a peer is asked: its answer
/// costs less than a copy that crosses places.
const DIRECTORY_FIRST: Duration = Duration::from_millis(350);
/// Time over which daemons that do not follow the directory ask their peers for a tree:
/// those that have it grow in number meanwhile.
const PEER_SPREAD_MS: u64 = 40;
/// Largest tree that is asked of a peer before the directory, in bytes: a hundred copies of
/// it take a link of 20 Mbit/s for a second.
const SMALL_TREE_BYTES: u64 = 24 << 10;
/// Longest wait for such a copy.
const SMALL_COPY_LIMIT: Duration = Duration::from_millis(400);
/// Longest wait for a peer's copy of the tree.
const PEER_LIMIT: Duration = Duration::from_secs(2);

/// Why a generation could not be taken up.
#[derive(Debug, Error)]
enum TakeError {
    #[error("{0}")]
    Platform(#[from] PlatformError),
    #[error("{0}")]
    Offer(#[from] OfferError),
}

/// Polls the pointer until the daemon ends.
pub(super) async fn follow(core: Arc<Core>) {
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

/// A peer's message carries a newer generation: waits for the directory where this daemon
/// follows it, and asks a peer for the tree.
pub fn fetch_from_peer(core: &Arc<Core>, link: &Arc<Link>, theirs: u64) {
    core.metrics
        .newest_generation
        .set((theirs as i64).max(core.metrics.newest_generation.get()));
    if !core.settings.begin_fetch(theirs) {
        return;
    }
    log::info!(peer = link.peer.host.as_str(), generation = theirs, in_force = core.settings.number(); "newer settings heard of");
    let core = Arc::clone(core);
    let link = Arc::clone(link);
    tokio::spawn(async move {
        fetch_newer(&core, &link, theirs).await;
        core.settings.end_fetch();
    });
}

async fn fetch_newer(core: &Arc<Core>, link: &Arc<Link>, theirs: u64) {
    if let Some(directory) = &core.directory {
        if directory.follows_settings(core) {
            tokio::time::sleep(FEED_FIRST).await;
        } else {
            tokio::time::sleep(jittered(PEER_SPREAD_MS)).await;
            let source = source(core, link, theirs);
            if let Some(copy) = fetch(core, &source, Some(SMALL_TREE_BYTES), SMALL_COPY_LIMIT).await
            {
                take_copy(core, &source, copy);
            }
        }
        if theirs > core.settings.number() {
            directory.doubt_feeds();
            tokio::time::sleep(DIRECTORY_FIRST).await;
        }
    }
    if theirs > core.settings.number()
        && let Some(copy) = fetch(core, link, None, PEER_LIMIT).await
    {
        take_copy(core, link, copy);
    }
}

/// A peer to ask for a generation: one of this zone, where any told of it, drawn so that
/// not all ask the same.
fn source(core: &Core, link: &Arc<Link>, theirs: u64) -> Arc<Link> {
    let all = core.links.all();
    let near = all.iter().filter(|other| {
        other.peer.zone == core.config.zone
            && other.peer.host != core.config.host
            && other.generation() >= theirs
    });
    near.choose(&mut rand::rng()).unwrap_or(link).clone()
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
                let copy = fetch(&core, &link, None, PEER_LIMIT).await?;
                Some((link, copy))
            })
        })
        .collect();
    let mut copies = Vec::new();
    for seed in asked {
        copies.extend(seed.await.ok().flatten());
    }
    copies.sort_by_key(|(_, copy)| std::cmp::Reverse(copy.generation));
    for (link, copy) in copies {
        take_copy(core, &link, copy);
    }
}

/// The tree in force at a peer, if its text has no more bytes than `limit` and comes in time.
async fn fetch(
    core: &Core,
    link: &Link,
    limit: Option<u64>,
    in_time: Duration,
) -> Option<TreeCopy> {
    let begun = Instant::now();
    let asked = link.ask(|ask| Frame::FetchTree { ask, limit });
    let (outcome, copy) = match tokio::time::timeout(in_time, asked).await {
        Ok(Ok(Frame::Tree { copy, .. })) if copy.is_some() => ("taken", copy),
        Ok(Ok(_)) => ("none", None),
        Ok(Err(_)) => ("lost", None),
        Err(_) => ("late", None),
    };
    count(&core.metrics.settings_asks, outcome);
    log::info!(
        peer = link.peer.host.as_str(),
        outcome,
        generation = copy.as_ref().map_or(0, |copy| copy.generation),
        bytes = copy.as_ref().map_or(0, |copy| copy.text.len()),
        ms = begun.elapsed().as_millis() as u64;
        "settings asked of a peer"
    );
    copy
}

fn take_copy(core: &Arc<Core>, link: &Link, copy: TreeCopy) {
    let digest = Digest::from_hex(copy.digest);
    let taken = Generation::check(copy.generation, digest, copy.text)
        .and_then(|generation| core.settings.offer(generation));
    match taken {
        Ok(true) => core.apply_settings(),
        Ok(false) => {}
        Err(error) => log::error!(peer = link.peer.host.as_str(); "settings refused: {error}"),
    }
}
