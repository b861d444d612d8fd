//! Token requests to bucket owners, and the responses to requests of other daemons.

use std::sync::Arc;
use std::time::Duration;

use lynxcleat_policy::{QuotaGrant, TokenRequest};
use lynxcleat_settings::NamedOrganisation;
use lynxcleat_wire::{Frame, QuotaAsk};

use super::owners;
use super::state::{SharedLease, limit_of};
use crate::core::Core;
use crate::mesh::{Link, Links};
use crate::metrics::count;
use crate::sync::lock;

/// Owners tried before the daemon falls back to its local bucket.
const OWNERS_TRIED: usize = 2;
/// Timeout for the response of an owner, connection setup included; bounds how long calls wait.
const ANSWER_LIMIT: Duration = Duration::from_millis(100);

/// Requests tokens in a background task and notifies the calls that wait for them.
pub(super) fn spawn(
    core: &Arc<Core>,
    named: Arc<NamedOrganisation>,
    lease: Arc<SharedLease>,
    request: TokenRequest,
) {
    let core = Arc::clone(core);
    tokio::spawn(async move {
        let grant = ask(&core, &named, request).await;
        let now = core.clock.now();
        lock(&lease.lease).apply_grant(now, grant.tokens, grant.retry_after_us);
        lease.answered.notify_waiters();
    });
}

async fn ask(core: &Arc<Core>, named: &NamedOrganisation, request: TokenRequest) -> QuotaGrant {
    let owners = owners::current(core);
    let order = owners.preference_order(&named.name);
    for host in order.into_iter().take(OWNERS_TRIED) {
        if host == core.config.host {
            break;
        }
        let asked = tokio::time::timeout(ANSWER_LIMIT, ask_owner(core, host, named, request));
        match asked.await {
            Ok(Some(grant)) => {
                count(&core.metrics.quota_asks, "answered");
                return grant;
            }
            Ok(None) => count(&core.metrics.quota_asks, "no-link"),
            Err(_) => count(&core.metrics.quota_asks, "no-answer"),
        }
    }
    count(&core.metrics.quota_asks, "own-bucket");
    grant_locally(core, named, (request.tokens, request.returned))
}

async fn ask_owner(
    core: &Arc<Core>,
    host: &str,
    named: &NamedOrganisation,
    request: TokenRequest,
) -> Option<QuotaGrant> {
    let link = link_to(core, host).await?;
    let asked = link.ask(|ask| {
        Frame::AskQuota(QuotaAsk {
            ask,
            organisation: named.name.clone(),
            tokens: request.tokens,
            returned: request.returned,
        })
    });
    match asked.await {
        Ok(Frame::Quota {
            tokens,
            retry_after_us,
            ..
        }) => Some(QuotaGrant {
            tokens,
            retry_after_us,
        }),
        _ => None,
    }
}

async fn link_to(core: &Arc<Core>, host: &str) -> Option<Arc<Link>> {
    let entry = core.hosts.get(host)?;
    match core.links.live(&entry.mesh) {
        Some(link) => Some(link),
        None => Links::dial(core, &entry.mesh).await.ok(),
    }
}

/// Answers a token request of another daemon.
pub fn answer(core: &Core, link: &Link, ask: QuotaAsk) {
    let in_force = core.settings.current();
    let tree = in_force.as_ref().map(|in_force| &in_force.generation.tree);
    let named = tree.and_then(|tree| tree.organisation(&ask.organisation));
    let grant = match named {
        Some(named) => grant_locally(core, named, (ask.tokens, ask.returned)),
        // The two daemons have different generations of the settings.
        None => QuotaGrant::default(),
    };
    let _ = link.send(Frame::Quota {
        ask: ask.ask,
        tokens: grant.tokens,
        retry_after_us: grant.retry_after_us,
    });
}

fn grant_locally(core: &Core, named: &NamedOrganisation, wanted: (u32, u32)) -> QuotaGrant {
    let Some(limit) = limit_of(&named.organisation) else {
        return QuotaGrant {
            tokens: wanted.0,
            retry_after_us: 0,
        };
    };
    let share = owners::share(core);
    core.quota.grant(&named.name, limit, share, wanted)
}
