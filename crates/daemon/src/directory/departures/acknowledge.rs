//! The answer to a target that reports that it leaves.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use lynxcleat_policy::{Departure, ReportedState, TargetReport, needed_holders};
use lynxcleat_wire::{DeparturesFrame, Frame};
use rand::seq::SliceRandom;
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::core::Core;
use crate::directory::member;
use crate::directory::state::DirectoryState;
use crate::mesh::Link;
use crate::metrics::count;
use crate::sync::lock;

/// Time for which the store alone is waited for.
const STORE_WAIT: Duration = Duration::from_millis(100);
/// Time after which peers that have not confirmed are waited for no longer, if enough have.
const PEERS_WAIT: Duration = Duration::from_millis(400);
/// Longest time until a report is answered: targets wait a second.
const ANSWER_LIMIT: Duration = Duration::from_millis(800);
/// Maximum number of peers that are asked to hold a departure.
const MAX_ASKED: usize = 8;

/// Whether a report was acknowledged.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Acknowledgement {
    /// It was. If the target leaves, that outlasts this process.
    Given,
    /// The target leaves and is given no new calls here, but nothing else knows it.
    Withheld,
}

/// What knows a departure besides this process.
enum Holder {
    Store,
    /// So many peers.
    Peers(usize),
    Nobody,
}

impl Holder {
    fn name(&self) -> &'static str {
        match self {
            Holder::Store => "store",
            Holder::Peers(_) => "peers",
            Holder::Nobody => "nobody",
        }
    }

    fn peers(&self) -> usize {
        match self {
            Holder::Peers(peers) => *peers,
            Holder::Store | Holder::Nobody => 0,
        }
    }
}

/// What a report says of a target that leaves; nothing where it is ready.
pub fn of_report(core: &Core, report: &TargetReport) -> Option<Departure> {
    if report.state == ReportedState::Ready {
        return None;
    }
    let known_start = core.half.with_reports(|reports| {
        let current = reports.current()?;
        let is_same = current.instance == report.instance;
        is_same.then_some(current.started_ms).flatten()
    });
    Some(Departure {
        host: core.config.host.clone(),
        instance: report.instance.clone(),
        started_ms: report.started_ms.or(known_start.flatten()),
        state: report.state,
    })
}

/// Waits until something other than this process knows a departure.
pub async fn acknowledge(core: &Core, departure: Departure) -> Acknowledgement {
    let Some(directory) = &core.directory else {
        return Acknowledgement::Given;
    };
    lock(&directory.departures).record(departure.clone());
    member::want_own(core);
    let begun = Instant::now();
    let holder = match tokio::time::timeout(STORE_WAIT, stored(directory, &departure)).await {
        Ok(()) => Holder::Store,
        Err(_) => held_by_others(core, directory, &departure, begun).await,
    };
    count(&core.metrics.departure_answers, holder.name());
    log::info!(
        instance = departure.instance.as_str(),
        started_ms:? = departure.started_ms,
        state:? = departure.state,
        by = holder.name(),
        peers = holder.peers(),
        waited_ms = begun.elapsed().as_millis() as u64;
        "departure answered"
    );
    match holder {
        Holder::Store | Holder::Peers(_) => Acknowledgement::Given,
        Holder::Nobody => Acknowledgement::Withheld,
    }
}

async fn stored(directory: &DirectoryState, departure: &Departure) {
    let is_stored = || lock(&directory.departures).is_stored(departure);
    directory.settled_when(is_stored).await;
}

/// Asks peers to hold a departure, and waits for them or the store.
async fn held_by_others(
    core: &Core,
    directory: &DirectoryState,
    departure: &Departure,
    begun: Instant,
) -> Holder {
    let mut asks = ask_peers(core, directory, departure);
    let needed = needed_holders(asks.len());
    let mut peers = 0;
    loop {
        let is_over = asks.is_empty() || begun.elapsed() >= PEERS_WAIT;
        if peers >= needed && is_over {
            return Holder::Peers(peers);
        }
        if begun.elapsed() >= ANSWER_LIMIT {
            return Holder::Nobody;
        }
        let next_look = match begun.elapsed() < PEERS_WAIT {
            true => begun + PEERS_WAIT,
            false => begun + ANSWER_LIMIT,
        };
        tokio::select! {
            Some(held) = asks.join_next() => peers += usize::from(held.unwrap_or(false)),
            () = stored(directory, departure) => return Holder::Store,
            () = tokio::time::sleep_until(next_look) => {}
        }
    }
}

/// Asks some peers, one link each; each task returns whether its peer holds the departure.
fn ask_peers(core: &Core, directory: &DirectoryState, departure: &Departure) -> JoinSet<bool> {
    let mut asks = JoinSet::new();
    for link in peers(core, directory) {
        let departure = departure.clone();
        asks.spawn(async move {
            let ask = |ask| {
                Frame::Departures(DeparturesFrame {
                    ask: Some(ask),
                    coverage: None,
                    departures: vec![departure],
                })
            };
            link.ask(ask).await.is_ok()
        });
    }
    asks
}

/// Links to different hosts: those to neighbours, which pass news on, and others.
fn peers(core: &Core, directory: &DirectoryState) -> Vec<Arc<Link>> {
    let neighbours = directory.neighbour_links();
    let mut others = core.links.all();
    others.shuffle(&mut rand::rng());
    let mut hosts = HashSet::new();
    let links = neighbours.into_iter().chain(others);
    links
        .filter(|link| link.peer.host != core.config.host && !link.is_closed())
        .filter(|link| hosts.insert(link.peer.host.clone()))
        .take(MAX_ASKED)
        .collect()
}
