//! What a daemon hears from its peers at its start of departures that earlier runs of it
//! acknowledged.
//!
//! The store is read first: it has the key that links need, the daemon's row, and the members.
//! Then a few members are asked, which tell all departures that they hold on every new link.
//! Reports that the target is ready wait for that.

use std::sync::Arc;
use std::time::{Duration, Instant};

use lynxcleat_policy::{Coverage, HistoryState, TargetReport};
use lynxcleat_store::HostEntry;
use rand::seq::SliceRandom;
use tokio::task::JoinSet;

use super::state::DirectoryState;
use super::{apply, dial};
use crate::core::Core;
use crate::sync::lock;

/// Longest wait for peers, for those that are cut off.
const PEERS_WAIT: Duration = Duration::from_secs(1);
/// Peers that are asked at first. Where the others run, two of them answer within milliseconds.
const ASKED_FIRST: usize = 4;
/// Time after which more are asked: the first start as well, or are cut off.
const ASK_MORE_AFTER: Duration = Duration::from_millis(50);
/// Peers that are asked in all. Any two of them may be the ones that know.
const MAX_ASKED: usize = 16;

/// Waits until peers were heard.
pub(super) async fn known(core: &Core) {
    if let Some(directory) = &core.directory {
        let mut known = directory.history_known.subscribe();
        let _ = known.wait_for(|known| *known).await;
    }
}

/// Puts in force what may be concluded now from knowing of no departure. Returns the reports
/// that waited for it.
pub(super) fn refresh(core: &Core) -> Vec<TargetReport> {
    let Some(directory) = &core.directory else {
        return Vec::new();
    };
    let state = lock(&directory.history).state(core.clock.now());
    let deferred = core.half.with_reports(|reports| reports.set_history(state));
    deferred.unwrap_or_default()
}

/// Hears peers once the members are known.
pub(super) async fn learn(core: Arc<Core>) {
    let Some(directory) = &core.directory else {
        return;
    };
    if *directory.history_known.borrow() {
        return;
    }
    let begun = Instant::now();
    let members = members(&core);
    if members.is_empty() {
        lock(&directory.history).record_no_peers(core.clock.now());
    }
    let _ = tokio::time::timeout(PEERS_WAIT, ask(&core, directory, members)).await;
    end_wait(&core, directory, begun).await;
}

async fn end_wait(core: &Core, directory: &DirectoryState, begun: Instant) {
    let state = {
        let mut history = lock(&directory.history);
        history.end_wait();
        history.state(core.clock.now())
    };
    log::info!(
        is_complete = state == HistoryState::Complete,
        peers = lock(&directory.greetings).complete(),
        own = lock(&directory.departures).own().count(),
        waited_ms = begun.elapsed().as_millis() as u64;
        "history of departures"
    );
    for report in refresh(core) {
        apply::report(core, report).await;
    }
    directory.history_known.send_replace(true);
}

/// A peer told all departures that it holds.
pub(super) fn take_greeting(
    core: &Core,
    directory: &DirectoryState,
    host: &str,
    coverage: Coverage,
) {
    lock(&directory.history).record_peer(core.clock.now(), coverage);
    lock(&directory.greetings).record(host, coverage);
    directory.greeted.notify_waiters();
}

/// Makes links to members until enough of them have told what they hold, or no more are left.
async fn ask(core: &Arc<Core>, directory: &DirectoryState, members: Vec<HostEntry>) {
    let mut members = members.into_iter();
    let mut dials = JoinSet::new();
    let mut at_once = ASKED_FIRST;
    let more = tokio::time::sleep(ASK_MORE_AFTER);
    tokio::pin!(more);
    loop {
        let greeted = directory.greeted.notified();
        tokio::pin!(greeted);
        greeted.as_mut().enable();
        while lock(&directory.greetings).outstanding() < at_once
            && let Some(member) = members.next()
        {
            lock(&directory.greetings).ask(&member.host);
            dials.spawn(link_to(Arc::clone(core), member));
        }
        if lock(&directory.greetings).is_enough() {
            return;
        }
        tokio::select! {
            Some(Ok(Some(unreachable))) = dials.join_next() => {
                lock(&directory.greetings).record_unreachable(&unreachable);
            }
            () = greeted => {}
            () = &mut more, if at_once < MAX_ASKED => at_once = MAX_ASKED,
        }
    }
}

/// Makes a link. Returns the host's name if there is none.
async fn link_to(core: Arc<Core>, member: HostEntry) -> Option<String> {
    match dial::member(&core, &member).await {
        Some(_) => None,
        None => Some(member.host),
    }
}

/// Members to ask, of this zone and of others in turn, drawn at random: its neighbours may have
/// been killed together with this daemon.
fn members(core: &Core) -> Vec<HostEntry> {
    let mut others = core.hosts.all();
    others.retain(|entry| entry.host != core.config.host);
    others.shuffle(&mut rand::rng());
    let (near, far): (Vec<HostEntry>, Vec<HostEntry>) = others
        .into_iter()
        .partition(|entry| entry.zone == core.config.zone);
    let mut far = far.into_iter();
    let mut members = Vec::new();
    for member in near {
        members.push(member);
        members.extend(far.next());
    }
    members.extend(far);
    members.truncate(MAX_ASKED);
    members
}
