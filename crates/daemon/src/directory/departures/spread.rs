//! Passing departures on, from neighbour to neighbour and on every new link.

use std::sync::Arc;

use lynxcleat_policy::{Departure, RecordOutcome, ReportEffect, ReportedState, TargetReport};
use lynxcleat_wire::{DeparturesFrame, Frame};

use super::store;
use crate::core::Core;
use crate::directory::state::DirectoryState;
use crate::directory::{history, member};
use crate::mesh::Link;
use crate::sync::lock;

/// The target says in an answer that it leaves. That is no report to acknowledge; peers are told
/// all the same.
pub fn record_said(core: &Core, instance: String, started_ms: Option<u64>) {
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
        pass_on(core, vec![departure], None);
    }
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
        pass_on(core, news, Some(link.id));
    }
    if let Some(ask) = frame.ask.filter(|_| holds_all) {
        let _ = link.send(Frame::DeparturesHeld { ask });
        for departure in asked {
            if lock(&directory.departures).begin_storing(&departure) {
                store::spawn(core, departure);
            }
        }
    }
}

/// Records departures. Returns those that are news, and whether all are known here or stored.
fn record(directory: &DirectoryState, departures: Vec<Departure>) -> (Vec<Departure>, bool) {
    let mut news = Vec::new();
    let mut holds_all = true;
    for departure in departures {
        if member::is_stored(directory, &departure) {
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
fn pass_on(core: &Core, news: Vec<Departure>, from: Option<u64>) {
    let frame = Frame::Departures(DeparturesFrame {
        ask: None,
        coverage: None,
        departures: news,
    });
    for link in core
        .neighbour_links()
        .iter()
        .filter(|link| Some(link.id) != from)
    {
        let _ = link.send(frame.clone());
    }
}
