//! Following the host list. It lags: a host that is missing is not proved gone,
//! and one that is listed is not proved alive, so links decide about the living
//! and the list only about who there may be.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use lynxcleat_policy::Cost;
use lynxcleat_store::{HostPage, HostState};

use super::{Purpose, REFUSED_PAUSE, fleet_interval_ms, jittered};
use crate::core::Core;
use crate::life::LeaveCause;
use crate::metrics::count;

/// Bytes charged for a page without entries: request, reply, and TCP's own.
const PAGE_BYTES: usize = 1_000;
/// Bytes charged for one entry.
const ENTRY_BYTES: usize = 300;
/// Entries asked for while nothing is known to have changed.
const FIRST_PAGE: usize = 2;
/// Entries of one page at most.
const PAGE_LIMIT: usize = 64;
/// Processor time charged for a page, in microseconds.
const PAGE_CPU_US: u64 = 400;
/// Interval before settings are in force, in milliseconds.
const FIRST_INTERVAL_MS: u64 = 300;

/// Follows the list until the daemon ends. Most polls find nothing, so a small
/// page is asked for, and larger ones only when more follows.
pub(super) async fn follow(core: Arc<Core>) {
    let mut more = false;
    let mut begun_ms = core.clock.wall_ms();
    loop {
        let limit = if more { page_limit(&core) } else { FIRST_PAGE };
        let cost = Cost::message(PAGE_BYTES + limit * ENTRY_BYTES, PAGE_CPU_US);
        if !core.budget.ask(Purpose::Hosts, cost) {
            tokio::time::sleep(REFUSED_PAUSE).await;
            continue;
        }
        if !more {
            begun_ms = core.clock.wall_ms();
        }
        let polled = poll(&core, limit).await;
        if polled == Some(false) {
            core.once.hosts_listed(begun_ms);
        }
        more = polled == Some(true);
        if !more {
            tokio::time::sleep(jittered(interval_ms(&core))).await;
        }
    }
}

/// Entries asked for at once: a page must fit into half of the budget.
fn page_limit(core: &Core) -> usize {
    let half = (core.budget.bytes_allowed() / 2) as usize;
    (half.saturating_sub(PAGE_BYTES) / ENTRY_BYTES).clamp(1, PAGE_LIMIT)
}

fn interval_ms(core: &Core) -> u64 {
    let in_force = core.settings.current();
    in_force.map_or(FIRST_INTERVAL_MS, |in_force| {
        fleet_interval_ms(core, in_force.own.host_list_ms)
    })
}

/// Reads a page; returns whether more follow, and nothing where it could not be read.
async fn poll(core: &Arc<Core>, limit: usize) -> Option<bool> {
    let platform = core.platform.clone();
    let after = core.hosts.version.load(Ordering::Relaxed);
    let polled = tokio::task::spawn_blocking(move || platform.hosts(after, limit)).await;
    let page = match polled {
        Ok(Ok(page)) => page,
        Ok(Err(error)) => {
            let kind = "hosts";
            count(&core.metrics.platform_failures, kind);
            log::warn!("host list: {error}");
            return None;
        }
        Err(_) => return None,
    };
    let more = page.more;
    if !page.hosts.is_empty() {
        take(core, page);
    }
    Some(more)
}

fn take(core: &Arc<Core>, page: HostPage) {
    for service in core.hosts.take(page) {
        core.once.half_gone(&service);
    }
    leave_if_listed(core);
    core.routers.refresh(core);
}

/// The list may know first that this host is to be taken away.
fn leave_if_listed(core: &Core) {
    let own = core.hosts.get(&core.config.host);
    if let Some(entry) = own {
        core.set_leaving(LeaveCause::List, entry.state == HostState::Leaving);
    }
}
