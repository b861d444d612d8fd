//! Token requests to bucket owners, and the responses to requests of other daemons.

use std::sync::Arc;
use std::time::Duration;

use lynxcleat_policy::{GrantRight, Granter, Micros, QuotaGrant, TokenRequest};
use lynxcleat_settings::NamedOrganisation;
use lynxcleat_wire::{Frame, QuotaRequest};

use super::owners;
use super::state::{SharedLease, limit_of};
use crate::core::Core;
use crate::mesh::{Link, Links};
use crate::metrics::count;
use crate::sync::lock;

/// Maximum number of other owners asked to forward a request when the owner does not respond.
const RELAYS_TRIED: usize = 4;
/// Time during which no requests are sent to a host that did not respond, in microseconds.
const HOST_BACKOFF_US: Micros = 500_000;
/// Timeout for the response of a host, connection setup included.
const ANSWER_LIMIT: Duration = Duration::from_millis(100);
/// Timeout for all hosts together, after which the local bucket is used; bounds how long calls wait. Covers
/// an owner and two relays that do not respond.
const ASK_LIMIT: Duration = Duration::from_millis(320);
/// Delay before a retry where no tokens were granted since no bucket was found.
const NO_BUCKET_RETRY_US: Micros = 50_000;

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
        lock(&lease.lease).apply_grant(now, grant);
        lease.answered.notify_waiters();
    });
}

async fn ask(core: &Arc<Core>, named: &NamedOrganisation, request: TokenRequest) -> QuotaGrant {
    let owners = owners::current(core);
    let order = owners.preference_order(&named.name);
    let (grant, outcome) = match order.split_first() {
        Some((owner, others)) => {
            let asked = ask_owner_or_relays(core, named, request, (owner, others));
            tokio::time::timeout(ASK_LIMIT, asked)
                .await
                .unwrap_or((None, "no-answer"))
        }
        None => (None, "own-bucket"),
    };
    count(&core.metrics.quota_asks, outcome);
    grant.unwrap_or_else(|| grant_alone(core, named, request))
}

/// Requests tokens from the owner, directly or through other owners, to avoid grants from a second
/// bucket during a partial partition. If no relay reaches the owner, the first one in preference
/// order that responded, this daemon included, grants from its own bucket. Returns the grant and
/// the outcome for the metrics; without a grant, the caller uses the bucket of this daemon.
async fn ask_owner_or_relays(
    core: &Arc<Core>,
    named: &NamedOrganisation,
    request: TokenRequest,
    (owner, others): (&str, &[&str]),
) -> (Option<QuotaGrant>, &'static str) {
    if owner == core.config.host {
        return (grant_here(core, named, request), "own-bucket");
    }
    if let AskOutcome::Granted(grant) = ask_host(core, owner, owner, named, request).await {
        return (Some(grant), "answered");
    }
    let mut fallbacks = Vec::new();
    for host in others.iter().take(RELAYS_TRIED) {
        if *host == core.config.host {
            fallbacks.push(*host);
            continue;
        }
        match ask_host(core, host, owner, named, request).await {
            AskOutcome::Granted(grant) => return (Some(grant), "forwarded"),
            AskOutcome::OwnerUnreachable => fallbacks.push(*host),
            AskOutcome::NoAnswer => {}
        }
    }
    match fallbacks.first() {
        Some(fallback) if *fallback == core.config.host => {
            (grant_here(core, named, request), "deputy")
        }
        Some(fallback) => match ask_host(core, fallback, fallback, named, request).await {
            AskOutcome::Granted(grant) => (Some(grant), "deputy"),
            _ => (None, "no-answer"),
        },
        None => (None, "no-answer"),
    }
}

/// Outcome of a token request to one host.
enum AskOutcome {
    Granted(QuotaGrant),
    /// The host responded but could not get a response from the owner.
    OwnerUnreachable,
    NoAnswer,
}

async fn ask_host(
    core: &Arc<Core>,
    host: &str,
    owner: &str,
    named: &NamedOrganisation,
    request: TokenRequest,
) -> AskOutcome {
    let now = core.clock.now();
    if core.quota.is_backed_off(host, now) {
        return AskOutcome::NoAnswer;
    }
    let asked = tokio::time::timeout(
        ANSWER_LIMIT,
        send_request(core, host, owner, named, request),
    )
    .await;
    match asked {
        Ok(Some(Frame::Quota {
            unreachable: false,
            tokens,
            retry_after_us,
            level,
            ..
        })) => AskOutcome::Granted(QuotaGrant {
            tokens,
            retry_after_us,
            level,
        }),
        Ok(Some(_)) => AskOutcome::OwnerUnreachable,
        Ok(None) | Err(_) => {
            core.quota.back_off(host, now + HOST_BACKOFF_US);
            AskOutcome::NoAnswer
        }
    }
}

async fn send_request(
    core: &Arc<Core>,
    host: &str,
    owner: &str,
    named: &NamedOrganisation,
    request: TokenRequest,
) -> Option<Frame> {
    let link = link_to(core, host).await?;
    let asked = link.ask(|ask| {
        Frame::AskQuota(QuotaRequest {
            ask,
            organisation: named.name.clone(),
            owner: owner.to_owned(),
            tokens: request.tokens,
            returned: request.returned,
            seen: request.seen,
        })
    });
    asked.await.ok()
}

async fn link_to(core: &Arc<Core>, host: &str) -> Option<Arc<Link>> {
    let entry = core.hosts.get(host)?;
    match core.links.live(&entry.mesh) {
        Some(link) => Some(link),
        None => Links::dial(core, &entry.mesh).await.ok(),
    }
}

/// Answers a token request of another daemon or forwards it: to the owner that it names, or to one
/// that is preferred to this daemon and in reach. The order of preference rules out cycles.
pub fn answer(core: &Arc<Core>, link: &Arc<Link>, ask: QuotaRequest) {
    let owner = match ask.owner == core.config.host {
        true => match granter(core, &ask.organisation) {
            Granter::There(preferred) if !is_probe(&ask) => preferred,
            granter => {
                let reply = answer_here(core, &ask, &granter);
                let _ = link.send(reply);
                return;
            }
        },
        false => ask.owner.clone(),
    };
    let entry = core.hosts.get(&owner);
    let owner_link = entry.and_then(|entry| core.links.live(&entry.mesh));
    let link = Arc::clone(link);
    tokio::spawn(async move {
        let request = QuotaRequest { owner, ..ask };
        let reply = forward(owner_link, &request).await;
        let _ = link.send(reply);
    });
}

/// Whether a request asks only whether this daemon is in reach.
fn is_probe(ask: &QuotaRequest) -> bool {
    ask.tokens == 0 && ask.returned == 0
}

fn granter(core: &Core, organisation: &str) -> Granter {
    let owners = owners::current(core);
    let now = core.clock.now();
    let mut reach = lock(&core.quota.reach);
    reach.set_owners(&owners, now);
    reach.granter(&owners, organisation, &core.config.host, now)
}

fn answer_here(core: &Core, ask: &QuotaRequest, granter: &Granter) -> Frame {
    if is_probe(ask) {
        return reply_with(ask, QuotaGrant::default());
    }
    let Granter::Here(right) = granter else {
        return unreachable(ask);
    };
    let in_force = core.settings.current();
    let tree = in_force.as_ref().map(|in_force| &in_force.generation.tree);
    let named = tree.and_then(|tree| tree.organisation(&ask.organisation));
    let grant = match named {
        Some(named) => {
            let request = TokenRequest {
                tokens: ask.tokens,
                returned: ask.returned,
                seen: ask.seen,
            };
            grant_locally(core, named, *right, request)
        }
        // The two daemons have different generations of the settings.
        None => QuotaGrant::default(),
    };
    reply_with(ask, grant)
}

fn reply_with(ask: &QuotaRequest, grant: QuotaGrant) -> Frame {
    Frame::Quota {
        ask: ask.ask,
        tokens: grant.tokens,
        retry_after_us: grant.retry_after_us,
        unreachable: false,
        level: grant.level,
    }
}

fn unreachable(ask: &QuotaRequest) -> Frame {
    Frame::Quota {
        ask: ask.ask,
        tokens: 0,
        retry_after_us: 0,
        unreachable: true,
        level: None,
    }
}

/// Forwards a request to the owner. Reports the owner as unreachable if there is no link to it or
/// no response in time.
async fn forward(owner_link: Option<Arc<Link>>, request: &QuotaRequest) -> Frame {
    let Some(link) = owner_link else {
        return unreachable(request);
    };
    let answered = link.ask(|ask| {
        Frame::AskQuota(QuotaRequest {
            ask,
            ..request.clone()
        })
    });
    match tokio::time::timeout(ANSWER_LIMIT / 2, answered).await {
        Ok(Ok(Frame::Quota {
            tokens,
            retry_after_us,
            unreachable,
            level,
            ..
        })) => Frame::Quota {
            ask: request.ask,
            tokens,
            retry_after_us,
            unreachable,
            level,
        },
        _ => unreachable(request),
    }
}

/// Grants from the bucket of this daemon, if it is the one to grant.
fn grant_here(core: &Core, named: &NamedOrganisation, request: TokenRequest) -> Option<QuotaGrant> {
    match granter(core, &named.name) {
        Granter::Here(right) => Some(grant_locally(core, named, right, request)),
        Granter::There(_) | Granter::Unknown => None,
    }
}

/// Grants the part of a daemon that found no bucket, since it heard of one last.
fn grant_alone(core: &Core, named: &NamedOrganisation, request: TokenRequest) -> QuotaGrant {
    let now = core.clock.now();
    let seen = request.seen;
    let since = seen.map(|seen| now.saturating_sub(seen.age_us));
    let right = GrantRight::alone(core.hosts.len(), since);
    let grant = grant_locally(core, named, right, request);
    QuotaGrant {
        retry_after_us: grant.retry_after_us.max(NO_BUCKET_RETRY_US),
        level: None,
        ..grant
    }
}

fn grant_locally(
    core: &Core,
    named: &NamedOrganisation,
    right: GrantRight,
    request: TokenRequest,
) -> QuotaGrant {
    let Some(limit) = limit_of(&named.organisation) else {
        return QuotaGrant {
            tokens: request.tokens,
            retry_after_us: 0,
            level: None,
        };
    };
    core.quota.grant(&named.name, limit, right, request)
}
