//! Passing on what the store says of the members, from neighbour to neighbour.
//!
//! What comes from a neighbour is taken if it is news, and passed on to the others. A
//! neighbour that knows less is told the rest, and one that knows more is asked, so that
//! two that exchanged messages know the same. Nothing is passed on that the store did not
//! say: rows carry its versions.

use std::sync::Arc;
use std::time::Duration;

use lynxcleat_store::{
    DeltaOutcome, Follower, KeyReply, KeyRequest, Missing, RowDelta, RowDigest, RowVersion,
    StoredRow, WatcherPoll,
};
use lynxcleat_wire::{
    Frame, RowDigestFrame, RowFrame, RowKeysFrame, RowsFrame, RowsRequest, WatcherPollFrame,
};
use serde_bytes::ByteBuf;

use super::state::DirectoryState;
use super::{member, publish, quarantined};
use crate::core::Core;
use crate::mesh::Link;
use crate::metrics::count;
use crate::sync::lock;

/// Takes changes of members from a neighbour.
pub fn take_rows(core: &Arc<Core>, link: &Arc<Link>, frame: RowsFrame) {
    let Some(directory) = &core.directory else {
        return;
    };
    let is_new = frame.wanted && directory.neighbours.mark_wanted_by_peer(link);
    let age = Duration::from_millis(frame.age_ms);
    let now = core.clock.since_start();
    // This message or an earlier one carried the generation.
    directory.record_report(now, age, link.generation(), core.settings.number());
    if let Some(poll) = frame.poll {
        take_poll(core, directory, poll);
    }
    let theirs = frame.through;
    let (before, taken, through) = {
        let mut members = lock(&directory.members);
        let before = members.through();
        let taken = take_frame(&mut members, frame);
        (before, taken, members.through())
    };
    let is_due = through >= theirs && lock(&directory.watch).take_report();
    let has_news = !taken.changed.is_empty();
    publish::take_key(directory, &taken.changed);
    quarantined::take(core, &taken.changed);
    member::take(core, directory, taken.changed);
    if has_news || through > before || is_due {
        tell(core, directory, before, Some(link.id));
    }
    if let Some(missing) = taken.missing {
        count(&core.metrics.rows_missing, missing_kind(&missing));
        let _ = link.send(Frame::AskRows(rows_ask(missing)));
    } else if through > theirs || is_new {
        // A new neighbour also hears of the generation of settings, with any message.
        send(core, directory, link, theirs);
    }
}

fn take_frame(members: &mut Follower, mut frame: RowsFrame) -> DeltaOutcome {
    let Some(keys) = frame.keys.take() else {
        return members.apply_delta(delta(frame));
    };
    let reply = KeyReply {
        delta: delta(frame),
        buckets: keys.buckets.into_vec(),
        keys: keys.keys,
    };
    DeltaOutcome {
        changed: members.apply_key_reply(reply),
        missing: None,
    }
}

fn missing_kind(missing: &Missing) -> &'static str {
    match missing {
        Missing::Changes { .. } => "changes",
        Missing::Removals(_) => "removals",
    }
}

/// Builds the request to a neighbour for missing changes or removals.
fn rows_ask(missing: Missing) -> RowsRequest {
    match missing {
        Missing::Changes { after } => RowsRequest {
            after,
            sums: Vec::new(),
        },
        Missing::Removals(ask) => RowsRequest {
            after: ask.after,
            sums: ask.sums,
        },
    }
}

/// Answers a neighbour's request for the changes after a version and, if it sent bucket sums, for
/// the keys in the buckets that differ.
pub fn send_rows(core: &Core, link: &Link, ask: &RowsRequest) {
    let Some(directory) = &core.directory else {
        return;
    };
    if ask.sums.is_empty() {
        return send(core, directory, link, ask.after);
    }
    let reply = lock(&directory.members).replica().key_reply(&KeyRequest {
        after: ask.after,
        sums: ask.sums.clone(),
    });
    let keys = RowKeysFrame {
        buckets: ByteBuf::from(reply.buckets),
        keys: reply.keys,
    };
    let rows = RowsFrame {
        keys: Some(keys),
        ..frame(core, directory, reply.delta)
    };
    send_frame(directory, link, rows);
}

/// Tells all neighbours but one of the changes after a version.
pub(super) fn tell(
    core: &Core,
    directory: &DirectoryState,
    after: RowVersion,
    except: Option<u64>,
) {
    let links = directory.neighbours.links();
    let delta = lock(&directory.members).replica().delta_after(after);
    let frame = frame(core, directory, delta);
    for link in links.iter().filter(|link| Some(link.id) != except) {
        send_frame(directory, link, frame.clone());
    }
}

/// Tells one neighbour of the changes after a version.
pub(super) fn send(core: &Core, directory: &DirectoryState, link: &Link, after: RowVersion) {
    let delta = lock(&directory.members).replica().delta_after(after);
    send_frame(directory, link, frame(core, directory, delta));
}

fn send_frame(directory: &DirectoryState, link: &Link, frame: RowsFrame) {
    let wanted = directory.neighbours.is_wanted(link);
    let _ = link.send(Frame::Rows(RowsFrame { wanted, ..frame }));
}

/// A peer knows of a poll of the store; see [`StoreWatch`](lynxcleat_store::StoreWatch).
fn take_poll(core: &Core, directory: &DirectoryState, poll: WatcherPollFrame) {
    let age = Duration::from_millis(poll.age_ms);
    let poll = WatcherPoll {
        rank: poll.rank as usize,
        at: core.clock.since_start().saturating_sub(age),
    };
    let own = core.hosts.rank(&core.config.host);
    if lock(&directory.watch).record_poll(own, poll) {
        log::info!(rank = poll.rank, own; "store watched by a member before this one");
    }
}

fn poll_frame(core: &Core, directory: &DirectoryState) -> Option<WatcherPollFrame> {
    let now = core.clock.since_start();
    let poll = lock(&directory.watch).first_poll(now)?;
    let age = now.saturating_sub(poll.at);
    Some(WatcherPollFrame {
        rank: poll.rank as u32,
        age_ms: age.as_millis() as u64,
    })
}

/// The store said at some time what is in force here now; neighbours hear of it if they were told
/// long enough ago.
pub(super) fn record_response(core: &Core, directory: &DirectoryState, at: Duration) {
    let rank = core.hosts.rank(&core.config.host);
    lock(&directory.watch).record_response(at, rank);
    report_if_due(core, directory);
}

/// Takes note of each generation that is in force here, since what peers said of it counts from
/// then on, until the daemon ends.
pub(super) async fn report_settings(core: Arc<Core>) {
    let Some(directory) = &core.directory else {
        return;
    };
    let mut raised = core.settings.subscribe();
    while raised.changed().await.is_ok() {
        let generation = *raised.borrow_and_update();
        lock(&directory.watch).put_in_force(generation);
        report_if_due(&core, directory);
    }
}

fn report_if_due(core: &Core, directory: &DirectoryState) {
    let is_due = lock(&directory.watch).take_report();
    if is_due {
        let through = lock(&directory.members).through();
        tell(core, directory, through, None);
    }
}

/// The store said what changed of the members after `before`; neighbours hear of it.
pub(super) fn pass_on(core: &Core, directory: &DirectoryState, before: RowVersion) {
    let through = lock(&directory.members).through();
    if through > before {
        tell(core, directory, before, None);
    }
}

fn frame(core: &Core, directory: &DirectoryState, delta: RowDelta) -> RowsFrame {
    let age = directory.age(core.clock.since_start());
    RowsFrame {
        after: delta.after,
        through: delta.through,
        wanted: false,
        age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
        poll: poll_frame(core, directory),
        rows: delta.rows.into_iter().map(row_frame).collect(),
        digest: delta.digest.map(|digest| RowDigestFrame {
            through: digest.through,
            sum: digest.sum,
        }),
        keys: None,
    }
}

fn row_frame(row: StoredRow) -> RowFrame {
    RowFrame {
        key: row.key,
        value: row.value.map(ByteBuf::from),
        version: row.version,
    }
}

fn delta(frame: RowsFrame) -> RowDelta {
    let row = |row: RowFrame| StoredRow {
        key: row.key,
        value: row.value.map(ByteBuf::into_vec),
        version: row.version,
    };
    RowDelta {
        after: frame.after,
        through: frame.through,
        rows: frame.rows.into_iter().map(row).collect(),
        digest: frame.digest.map(|digest| RowDigest {
            through: digest.through,
            sum: digest.sum,
        }),
    }
}
