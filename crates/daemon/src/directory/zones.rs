//! Availability zones that an operator evacuated: from where that is known, how it spreads
//! and what it changes here.
//!
//! Whoever follows the table of the settings reads it there. What is news goes on to every
//! daemon that a link leads to, and a new link begins with all that is known, so that one
//! that was cut off or has just started hears of it with its first link.

use std::sync::Arc;

use lynxcleat_policy::ZoneUpdate;
use lynxcleat_wire::Frame;

use super::state::DirectoryState;
use crate::core::Core;
use crate::life::LeaveCause;
use crate::mesh::Link;
use crate::sync::lock;

/// Takes what rows of the table of the settings say.
pub(super) fn take_rows(core: &Arc<Core>, directory: &DirectoryState, news: Vec<ZoneUpdate>) {
    take(core, directory, news, None);
}

/// Takes what another daemon knows.
pub fn take_zones(core: &Arc<Core>, link: &Link, news: Vec<ZoneUpdate>) {
    let Some(directory) = &core.directory else {
        return;
    };
    take(core, directory, news, Some(link.id));
}

/// Tells a daemon at the other end of a new link what is known here.
pub fn greet(core: &Core, link: &Link) {
    let Some(directory) = &core.directory else {
        return;
    };
    let known = lock(&directory.evacuations).updates();
    if !known.is_empty() {
        let _ = link.send(Frame::Zones(known));
    }
}

fn take(core: &Arc<Core>, directory: &DirectoryState, news: Vec<ZoneUpdate>, from: Option<u64>) {
    let newer: Vec<ZoneUpdate> = {
        let mut evacuations = lock(&directory.evacuations);
        news.into_iter()
            .filter(|news| evacuations.apply(news))
            .collect()
    };
    if newer.is_empty() {
        return;
    }
    for news in &newer {
        log::info!(
            zone = news.zone.as_str(),
            evacuated = news.evacuated,
            version = news.version,
            from_peer = from.is_some();
            "zone"
        );
    }
    pass_on(core, &newer, from);
    apply(core, directory);
}

fn pass_on(core: &Core, newer: &[ZoneUpdate], from: Option<u64>) {
    let frame = Frame::Zones(newer.to_vec());
    let links = core.links_for_news();
    for link in links.iter().filter(|link| Some(link.id) != from) {
        let _ = link.send(frame.clone());
    }
}

/// Puts what is known in force: for the own target, and for the choice of those of others.
fn apply(core: &Arc<Core>, directory: &DirectoryState) {
    let evacuated = lock(&directory.evacuations).is_evacuated(&core.config.zone);
    if !evacuated {
        core.half.doubt_warmth();
    }
    core.set_leaving(LeaveCause::Evacuation, evacuated);
    core.routers.refresh(core);
}
