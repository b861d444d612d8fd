//! Keeping track of the bucket owners that this owner reaches.

use std::io::ErrorKind;
use std::sync::Arc;
use std::time::Duration;

use lynxcleat_policy::{BucketOwners, Micros};
use lynxcleat_wire::{Frame, QuotaRequest};
use rand::seq::IteratorRandom;

use super::owners;
use super::state::limit_of;
use crate::core::Core;
use crate::mesh::{HandshakeError, Link, Links};
use crate::sync::lock;

/// Interval between probes of the owners.
const PROBE_INTERVAL: Duration = Duration::from_millis(150);
/// Time without a message after which an owner is probed by way of others, in microseconds.
const RELAY_AFTER_US: Micros = 250_000;
/// Timeout of a probe by way of another owner.
const RELAY_LIMIT: Duration = Duration::from_millis(100);
/// Other owners by way of which an owner is probed at once.
const RELAYS_TRIED: usize = 2;

/// Starts the probes of the bucket owners.
pub(super) fn start(core: &Arc<Core>) {
    let core = Arc::clone(core);
    tokio::spawn(async move {
        loop {
            probe_owners(&core);
            tokio::time::sleep(PROBE_INTERVAL).await;
        }
    });
}

fn probe_owners(core: &Arc<Core>) {
    let Some(organisation) = limited_organisation(core) else {
        return;
    };
    let owners = owners::current(core);
    if !owners.contains(&core.config.host) {
        return;
    }
    lock(&core.quota.reach).set_owners(&owners, core.clock.now());
    for host in owners.hosts() {
        if *host != core.config.host {
            probe(core, host);
            probe_by_relays(core, &owners, host, &organisation);
        }
    }
}

/// Name of an organisation that has a limit.
fn limited_organisation(core: &Core) -> Option<String> {
    let in_force = core.settings.current()?;
    let mut all = in_force.generation.tree.organisations();
    let limited = all.find(|named| limit_of(&named.organisation).is_some())?;
    Some(limited.name.clone())
}

/// Notes what was heard on the link to an owner, and sends something that it replies to.
fn probe(core: &Arc<Core>, host: &str) {
    let Some(entry) = core.hosts.get(host) else {
        return;
    };
    if let Some(link) = core.links.live(&entry.mesh) {
        lock(&core.quota.reach).record_answer(host, link.heard_at());
        let _ = link.send(Frame::Beat);
        return;
    }
    let core = Arc::clone(core);
    let host = host.to_owned();
    tokio::spawn(async move {
        let failed = Links::dial(&core, &entry.mesh).await.err();
        if failed.is_some_and(|failed| is_refused(&failed.error)) {
            lock(&core.quota.reach).record_refusal(&host, core.clock.now());
        }
    });
}

fn is_refused(error: &HandshakeError) -> bool {
    matches!(error, HandshakeError::Io(error) if error.kind() == ErrorKind::ConnectionRefused)
}

/// Asks an owner that is silent for no tokens by way of others: what it grants to those that reach
/// it so counts as long as any way leads to it.
fn probe_by_relays(core: &Arc<Core>, owners: &BucketOwners, host: &str, organisation: &str) {
    let asked_at = core.clock.now();
    for relay in relays_to(core, owners, host, asked_at) {
        let ask = QuotaRequest {
            ask: 0,
            organisation: organisation.to_owned(),
            owner: host.to_owned(),
            tokens: 0,
            returned: 0,
            seen: None,
        };
        let core = Arc::clone(core);
        tokio::spawn(async move {
            if is_answered(&relay, &ask).await {
                lock(&core.quota.reach).record_answer(&ask.owner, asked_at);
            }
        });
    }
}

/// Links to a few random owners that are heard, if the given one is not.
fn relays_to(core: &Core, owners: &BucketOwners, host: &str, now: Micros) -> Vec<Arc<Link>> {
    let reach = lock(&core.quota.reach);
    let is_heard = |host: &str| reach.is_heard_within(host, now, RELAY_AFTER_US);
    if is_heard(host) {
        return Vec::new();
    }
    let heard = owners.hosts().iter().filter(|relay| is_heard(relay));
    let entries = heard.filter_map(|relay| core.hosts.get(relay));
    let links = entries.filter_map(|entry| core.links.live(&entry.mesh));
    links.sample(&mut rand::rng(), RELAYS_TRIED)
}

async fn is_answered(relay: &Link, request: &QuotaRequest) -> bool {
    let asked = relay.ask(|ask| {
        Frame::AskQuota(QuotaRequest {
            ask,
            ..request.clone()
        })
    });
    matches!(
        tokio::time::timeout(RELAY_LIMIT, asked).await,
        Ok(Ok(Frame::Quota {
            unreachable: false,
            ..
        }))
    )
}
