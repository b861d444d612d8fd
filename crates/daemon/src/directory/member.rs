//! The row of one member, and what news of members change here.

use std::net::{AddrParseError, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::Ordering;

use lynxcleat_policy::{Departure, ReportEffect, ReportedState, TargetReports};
use lynxcleat_store::{HostEntry, HostState, OwnedRow, RowWrite, StoredRow};
use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::confirm;
use super::state::{DirectoryState, TABLE};
use crate::core::Core;
use crate::half::EarlierTarget;
use crate::sync::lock;

/// Keys of member rows, before the host's name.
const MEMBER: &str = "member/";

/// A member as its row tells it.
#[derive(Debug, Deserialize, Serialize)]
struct Member {
    #[serde(flatten)]
    entry: HostEntry,
    /// Name of its target.
    instance: String,
    /// When its target started, in milliseconds since 1970, where it said so.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    started_ms: Option<u64>,
    /// Other incarnations of its target that leave or have left. Late reports of them may still
    /// arrive.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    departed: Vec<Departed>,
}

/// An incarnation that leaves or has left.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct Departed {
    instance: String,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    started_ms: Option<u64>,
    state: ReportedState,
}

impl From<&Departure> for Departed {
    fn from(departure: &Departure) -> Self {
        Departed {
            instance: departure.instance.clone(),
            started_ms: departure.started_ms,
            state: departure.state,
        }
    }
}

impl Member {
    /// All departures that the row tells of.
    fn departures(&self) -> Vec<Departure> {
        let current = match self.entry.state {
            HostState::Live => None,
            HostState::Leaving => Some(ReportedState::Draining),
            HostState::Gone => Some(ReportedState::Gone),
        };
        let current = current.map(|state| Departed {
            instance: self.instance.clone(),
            started_ms: self.started_ms,
            state,
        });
        let departed = current.into_iter().chain(self.departed.iter().cloned());
        departed
            .map(|departed| Departure {
                host: self.entry.host.clone(),
                instance: departed.instance,
                started_ms: departed.started_ms,
                state: departed.state,
            })
            .collect()
    }

    fn tells_of(&self, departure: &Departure) -> bool {
        let departures = self.departures();
        departures.iter().any(|known| known.is_same(departure))
    }
}

/// The row of this daemon, of which nothing is known yet.
pub(super) fn own_row(core: &Core) -> OwnedRow {
    OwnedRow::new(TABLE, &format!("{MEMBER}{}", core.config.host))
}

/// Asks for what the target reported last to stand in this daemon's row.
pub(super) fn want_own(core: &Core) {
    let Some(directory) = &core.directory else {
        return;
    };
    let Some(member) = own_member(core, directory) else {
        return;
    };
    let value = serde_json::to_vec(&member).expect("a member encodes");
    let mut own = lock(&directory.own);
    own.get_or_insert_with(|| own_row(core)).set_desired(value);
    drop(own);
    directory.wanted.notify_one();
}

fn own_member(core: &Core, directory: &DirectoryState) -> Option<Member> {
    let target = core
        .half
        .with_reports(|reports| reports.current().cloned())??;
    let entry = HostEntry {
        host: core.config.host.clone(),
        place: core.config.place.clone(),
        zone: core.config.zone.clone(),
        region: core.config.region.clone(),
        service: core.half.service(core),
        version: target.version.unwrap_or_default(),
        mesh: core.me.mesh.to_string(),
        ops: core.me.ops.to_string(),
        state: host_state(target.state),
    };
    let departures = lock(&directory.departures);
    let others = departures
        .own()
        .filter(|departure| !departure.is_of(&target.instance, target.started_ms));
    Some(Member {
        entry,
        departed: others.map(Departed::from).collect(),
        instance: target.instance,
        started_ms: target.started_ms,
    })
}

/// Whether the row of a host tells of a departure, as far as it is known here.
pub(super) fn is_stored(directory: &DirectoryState, departure: &Departure) -> bool {
    let members = lock(&directory.members);
    let row = members
        .replica()
        .row(&format!("{MEMBER}{}", departure.host));
    row.and_then(read)
        .is_some_and(|member| member.tells_of(departure))
}

/// The write that adds a departure to the row of its host; nothing where no row is known. The
/// host's own daemon finds its row changed, and goes on from there.
pub(super) fn write_with(directory: &DirectoryState, departure: &Departure) -> Option<RowWrite> {
    let members = lock(&directory.members);
    let key = format!("{MEMBER}{}", departure.host);
    let row = members.replica().row(&key)?;
    let mut member = read(row)?;
    if departure.is_of(&member.instance, member.started_ms) {
        member.entry.state = host_state(departure.state);
    } else {
        member.departed.push(Departed::from(departure));
    }
    Some(RowWrite {
        table: TABLE.to_owned(),
        key,
        expected: row.version,
        value: serde_json::to_vec(&member).expect("a member encodes"),
    })
}

/// Records the departures that a value of this daemon's own row tells of, which the store holds.
pub(super) fn record_own_stored(directory: &DirectoryState, value: &[u8]) {
    if let Ok(member) = serde_json::from_slice::<Member>(value) {
        record_stored(directory, &member);
    }
}

fn record_stored(directory: &DirectoryState, member: &Member) {
    let mut departures = lock(&directory.departures);
    for departure in member.departures() {
        departures.record_stored(departure);
    }
}

fn read(row: &StoredRow) -> Option<Member> {
    serde_json::from_slice(row.value.as_ref()?).ok()
}

fn host_state(state: ReportedState) -> HostState {
    match state {
        ReportedState::Ready => HostState::Live,
        ReportedState::Draining => HostState::Leaving,
        ReportedState::Gone => HostState::Gone,
    }
}

/// Takes news of members.
pub(super) fn take(core: &Arc<Core>, directory: &DirectoryState, news: Vec<StoredRow>) {
    if news.is_empty() {
        return;
    }
    for service in put_entries(core, directory, &news) {
        core.once.half_gone(&service);
    }
    core.routers.refresh(core);
}

/// Puts what the rows of the news say now into the host table. They are taken from the copy
/// while it is locked: news come from the store and from neighbours at the same time, and
/// the later ones must stand. Returns the services of hosts that are gone.
fn put_entries(core: &Arc<Core>, directory: &DirectoryState, news: &[StoredRow]) -> Vec<String> {
    let members = lock(&directory.members);
    let mut entries = Vec::new();
    for row in news
        .iter()
        .filter_map(|row| members.replica().row(&row.key))
    {
        let Some(host) = row.key.strip_prefix(MEMBER) else {
            continue;
        };
        if host == core.config.host {
            take_own(core, directory, row);
        } else if let Some(member) = read(row) {
            record_stored(directory, &member);
        }
        entries.extend(entry(core, host, row));
    }
    // The first reading brings all members at once; one line with their number follows it.
    if directory.members_read.load(Ordering::Relaxed) {
        entries.iter().for_each(log_member);
    }
    core.hosts.take_entries(entries)
}

fn log_member(entry: &HostEntry) {
    log::info!(
        host = entry.host.as_str(),
        service = entry.service.as_str(),
        zone = entry.zone.as_str(),
        region = entry.region.as_str(),
        version = entry.version.as_str(),
        state:? = entry.state;
        "member"
    );
}

/// The entry that a row stands for; a row that is gone or cannot be read stands
/// for a host that is gone.
fn entry(core: &Core, host: &str, row: &StoredRow) -> Option<HostEntry> {
    let member = match &row.value {
        None => None,
        Some(value) => match usable_entry(value) {
            Ok(entry) => Some(entry),
            Err(error) => {
                log::error!(host, version = row.version; "member row: {error}");
                return None;
            }
        },
    };
    member.or_else(|| {
        let known = core.hosts.get(host)?;
        Some(HostEntry {
            state: HostState::Gone,
            ..known
        })
    })
}

/// Why a member row names no daemon that could be called.
#[derive(Debug, Error)]
enum MemberError {
    #[error("{0}")]
    Form(#[from] serde_json::Error),
    #[error("{text:?} is no address: {error}")]
    Address { text: String, error: AddrParseError },
}

/// The entry that a member row stands for. Others may write to the table: one that names no
/// address leaves the entry before it as it is.
fn usable_entry(value: &[u8]) -> Result<HostEntry, MemberError> {
    let entry = serde_json::from_slice::<Member>(value)?.entry;
    for text in [&entry.mesh, &entry.ops] {
        let parsed = text.parse::<SocketAddr>();
        parsed.map_err(|error| MemberError::Address {
            text: text.clone(),
            error,
        })?;
    }
    Ok(entry)
}

/// An earlier run of this daemon left word that its target takes calls. Nothing is known of
/// it here before it reports, so it is asked.
fn confirm_own(core: &Arc<Core>, member: Member) {
    let knows_none = |reports: &mut TargetReports| reports.current().is_none();
    if core.half.with_reports(knows_none) == Some(true) {
        let core = Arc::clone(core);
        let earlier = EarlierTarget {
            instance: member.instance,
            started_ms: member.started_ms,
            service: member.entry.service,
            version: member.entry.version,
        };
        tokio::spawn(confirm::target(core, earlier));
    }
}

/// An earlier run of this daemon may have left word that its target ended.
fn take_own(core: &Arc<Core>, directory: &DirectoryState, row: &StoredRow) {
    let mut own = lock(&directory.own);
    own.get_or_insert_with(|| own_row(core)).observe(row);
    drop(own);
    directory.settled.notify_waiters();
    let Some(member) = read(row) else {
        return want_own(core);
    };
    log::info!(
        instance = member.instance.as_str(),
        started_ms:? = member.started_ms,
        state:? = member.entry.state,
        version = row.version;
        "own member row read"
    );
    record_stored(directory, &member);
    let mut is_changed = false;
    for departure in member.departures() {
        let effect = core.half.with_reports(|reports| {
            reports.mark_ended(&departure.instance, departure.started_ms, departure.state)
        });
        is_changed |= effect == Some(ReportEffect::Changed);
    }
    if is_changed {
        core.apply_target();
    }
    // Another writer may have changed the row: what is known here is put back.
    want_own(core);
    if member.entry.state == HostState::Live {
        confirm_own(core, member);
    }
}
