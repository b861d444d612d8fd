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
    let (acknowledgement, by, holders) = match stored_within(directory, &departure).await {
        true => (Acknowledgement::Given, "store", 0),
        false => held_by_others(core, directory, &departure, begun).await,
    };
    count(&core.metrics.departure_answers, by);
    log::info!(
        instance = departure.instance.as_str(),
        started_ms:? = departure.started_ms,
        state:? = departure.state,
        by,
        holders,
        waited_ms = begun.elapsed().as_millis() as u64;
        "departure answered"
    );
    acknowledgement
}

async fn stored_within(directory: &DirectoryState, departure: &Departure) -> bool {
    let stored = async {
        loop {
            let settled = directory.settled.notified();
            tokio::pin!(settled);
            settled.as_mut().enable();
            if lock(&directory.departures).is_stored(departure) {
                return;
            }
            settled.await;
        }
    };
    tokio::time::timeout(STORE_WAIT, stored).await.is_ok()
}

/// Asks peers to hold a departure, and waits for them or the store. Returns the answer for the
/// target, what gave it, and the number of peers that hold the departure.
async fn held_by_others(
    core: &Core,
    directory: &DirectoryState,
    departure: &Departure,
    begun: Instant,
) -> (Acknowledgement, &'static str, usize) {
    let mut asks = ask_peers(core, directory, departure);
    let needed = needed_holders(asks.len());
    let mut holders = 0;
    loop {
        let settled = directory.settled.notified();
        tokio::pin!(settled);
        settled.as_mut().enable();
        if lock(&directory.departures).is_stored(departure) {
            return (Acknowledgement::Given, "store", holders);
        }
        let is_over = asks.is_empty() || begun.elapsed() >= PEERS_WAIT;
        if holders >= needed && is_over {
            return (Acknowledgement::Given, "peers", holders);
        }
        if begun.elapsed() >= ANSWER_LIMIT {
            return (Acknowledgement::Withheld, "nobody", holders);
        }
        let next_look = match begun.elapsed() < PEERS_WAIT {
            true => begun + PEERS_WAIT,
            false => begun + ANSWER_LIMIT,
        };
        tokio::select! {
            Some(held) = asks.join_next() => holders += usize::from(held.unwrap_or(false)),
            () = settled => {}
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
