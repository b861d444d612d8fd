//! Targets that leave: what their acknowledgement waits for, and how other daemons hear of it.
//!
//! The decisions are those of [`lynxcleat_policy::Departures`]. While the store answers, the mark
//! is in this daemon's row before the target is answered, and nothing else happens. Otherwise
//! peers are asked to hold it.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use lynxcleat_policy::{
    Departure, RecordOutcome, ReportEffect, ReportedState, TargetReport, needed_holders,
};
use lynxcleat_wire::{DeparturesFrame, Frame};
use rand::seq::SliceRandom;
use tokio::task::JoinSet;
use tokio::time::Instant;

use super::state::DirectoryState;
use super::{history, member};
use crate::core::Core;
use crate::mesh::Link;
use crate::metrics::count;
use crate::sync::lock;

/// Time for which the store alone is waited for.
const STORE_WAIT: Duration = Duration::from_millis(100);
/// Time after which peers that have not confirmed are waited for no longer, if enough have.
const PEERS_WAIT: Duration = Duration::from_millis(400);
/// Longest time until a report is answered: targets wait a second.
const ANSWER_LIMIT: Duration = Duration::from_millis(800);
/// Longest pause before a peer stores a departure, and between its later tries.
const FIRST_STORE_PAUSE: Duration = Duration::from_millis(1_000);
const LONGEST_STORE_PAUSE: Duration = Duration::from_secs(8);
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
pub(super) fn of_report(core: &Core, report: &TargetReport) -> Option<Departure> {
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

/// The target says in an answer that it leaves. That is no report to acknowledge; peers are told
/// all the same.
pub(super) fn record_said(core: &Core, instance: String, started_ms: Option<u64>) {
    let Some(directory) = &core.directory else {
        return;
    };
    let departure = Departure {
        host: core.config.host.clone(),
        instance,
        started_ms,
        state: ReportedState::Draining,
    };
    if lock(&directory.departures).record(departure.clone()) == RecordOutcome::Added {
        pass_on(directory, core, vec![departure], None);
    }
}

/// Waits until something other than this process knows a departure.
pub(super) async fn acknowledge(core: &Core, departure: Departure) -> Acknowledgement {
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

/// Tells a daemon at the other end of a new link all departures that are held here, and how far
/// back they are known.
pub fn greet(core: &Core, link: &Link) {
    let Some(directory) = &core.directory else {
        return;
    };
    if link.peer.host == core.config.host {
        return;
    }
    let frame = DeparturesFrame {
        ask: None,
        coverage: Some(lock(&directory.history).coverage(core.clock.now())),
        departures: lock(&directory.departures).unstored(),
    };
    let _ = link.send(Frame::Departures(frame));
}

/// Takes what another daemon knows.
pub fn take(core: &Arc<Core>, link: &Arc<Link>, frame: DeparturesFrame) {
    let Some(directory) = &core.directory else {
        return;
    };
    let asked = match frame.ask {
        Some(_) => frame.departures.clone(),
        None => Vec::new(),
    };
    let (news, holds_all) = record(directory, frame.departures);
    for departure in &news {
        log::info!(
            host = departure.host.as_str(),
            instance = departure.instance.as_str(),
            state:? = departure.state,
            peer = link.peer.host.as_str();
            "departure"
        );
        if departure.host == core.config.host {
            apply_own(core, departure);
        }
    }
    if let Some(coverage) = frame.coverage {
        history::take_greeting(core, directory, &link.peer.host, coverage);
    }
    if !news.is_empty() {
        pass_on(directory, core, news, Some(link.id));
    }
    if let Some(ask) = frame.ask.filter(|_| holds_all) {
        let _ = link.send(Frame::DeparturesHeld { ask });
        for departure in asked {
            if lock(&directory.departures).begin_storing(&departure) {
                tokio::spawn(store(Arc::clone(core), departure));
            }
        }
    }
}

/// Stores a departure for the daemon of its host, which the store may turn away. Of the peers that
/// were asked, the first that reaches the store does it, and the others see it there.
async fn store(core: Arc<Core>, departure: Departure) {
    let Some(directory) = &core.directory else {
        return;
    };
    let mut pause = FIRST_STORE_PAUSE;
    loop {
        tokio::time::sleep(pause.mul_f64(rand::random_range(0.1..1.0))).await;
        if !lock(&directory.departures).is_unstored(&departure) {
            return;
        }
        if let Some(write) = member::write_with(directory, &departure) {
            count(&core.metrics.store_calls, "departure");
            match directory.store().write(write).await {
                Ok(_) => {
                    log::info!(host = departure.host.as_str(), instance = departure.instance.as_str(); "departure stored for its host");
                    return lock(&directory.departures).record_stored(departure);
                }
                Err(error) => log::debug!("departure of {}: {error}", departure.host),
            }
        }
        pause = (pause * 2).min(LONGEST_STORE_PAUSE);
    }
}

/// Records departures. Returns those that are news, and whether all are known here or stored.
fn record(directory: &DirectoryState, departures: Vec<Departure>) -> (Vec<Departure>, bool) {
    let mut news = Vec::new();
    let mut holds_all = true;
    for departure in departures {
        if member::stored_departures(directory, &departure.host).contains(&departure) {
            continue;
        }
        match lock(&directory.departures).record(departure.clone()) {
            RecordOutcome::Added => news.push(departure),
            RecordOutcome::Known => {}
            RecordOutcome::Full => holds_all = false,
        }
    }
    (news, holds_all)
}

/// An earlier run of this daemon acknowledged that an incarnation of its target leaves.
fn apply_own(core: &Core, departure: &Departure) {
    let report = TargetReport {
        instance: departure.instance.clone(),
        started_ms: departure.started_ms,
        service: None,
        version: None,
        state: departure.state,
        sequence: None,
        slots: None,
        cold_ms: 0,
    };
    let effect = core
        .half
        .change_reports(core, |reports| reports.apply(report));
    match effect {
        ReportEffect::Changed => core.apply_target(),
        _ => member::want_own(core),
    }
}

/// Passes news on to neighbours, which do the same.
fn pass_on(directory: &DirectoryState, core: &Core, news: Vec<Departure>, from: Option<u64>) {
    let frame = Frame::Departures(DeparturesFrame {
        ask: None,
        coverage: None,
        departures: news,
    });
    let neighbours = directory.neighbour_links();
    let links = match neighbours.is_empty() {
        true => core.links.all(),
        false => neighbours,
    };
    for link in links.iter().filter(|link| Some(link.id) != from) {
        let _ = link.send(frame.clone());
    }
}
