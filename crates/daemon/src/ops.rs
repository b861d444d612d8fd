//! The operators' endpoint: metrics, health, status, explanations, suspect requests, drain.
//!
//! Served by tiny_http on an address of its own that callers cannot reach. It is
//! outside the path of calls, so its lack of time-outs costs a thread at worst.

use std::io::Read;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;

use lynxcleat_policy::{Fingerprint, ParseFingerprintError, RateLimit};
use serde::{Deserialize, Serialize};
use serde_json::json;
use thiserror::Error;
use tiny_http::{Header, Method, Request, Response, Server};

use crate::core::Core;
use crate::half::TargetBelief;
use crate::life::{LeaveCause, Phase};
use crate::rollout::RolloutState;

/// Newest calls listed where none is named.
const NEWEST: usize = 20;

/// Largest order to let a request run again, in bytes.
const LIFT_BYTES: u64 = 4 << 10;

/// An operator's order to let a request run again.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Lift {
    /// Its fingerprint, in hexadecimal.
    pub request: String,
    /// The operator.
    pub who: String,
}

/// Why such an order cannot be taken.
#[derive(Debug, Error)]
enum LiftError {
    /// It did not come.
    #[error("the order cannot be read: {0}")]
    Read(#[from] std::io::Error),
    /// It is not JSON of the expected form.
    #[error("not an order: {0}")]
    Form(#[from] serde_json::Error),
    /// It names no request.
    #[error(transparent)]
    Request(#[from] ParseFingerprintError),
}

/// What became of such an order.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Lifted {
    /// Whether the request was suspect.
    pub was_suspect: bool,
}

/// The operators' endpoint cannot be served.
#[derive(Debug, Error)]
#[error("cannot listen on {address} for operators: {reason}")]
pub struct OpsError {
    address: SocketAddr,
    reason: String,
}

/// What a daemon says of itself.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Status {
    /// Its host.
    pub host: String,
    /// Its place.
    pub place: String,
    /// Its availability zone.
    pub zone: String,
    /// Region of the host; empty where the deployment names none.
    pub region: String,
    /// Service of its target.
    pub service: String,
    /// Its incarnation, in hexadecimal.
    pub incarnation: String,
    /// When it started, in milliseconds since 1970.
    pub started_ms: u64,
    /// Generation of settings in force; 0 before the first.
    pub generation: u64,
    /// Newest generation that a peer told of; above the one in force while it is behind.
    #[serde(default)]
    pub newest_generation: u64,
    /// Routes of the generation in force.
    #[serde(default)]
    pub routes: usize,
    /// Digest of that generation.
    pub digest: Option<String>,
    /// Whether its target takes no new calls.
    pub leaving: bool,
    /// Whether nothing listens at its target's address.
    #[serde(default)]
    pub target_down: bool,
    /// Whether its target is cold or may be.
    #[serde(default)]
    pub cold: bool,
    /// Calls in 1,000 s that its target says it takes from all daemons together.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub limit_per_1000_s: Option<u64>,
    /// Whether its target says in its answers that it leaves.
    #[serde(default)]
    pub says_leaving: bool,
    /// What it believes of its target by the target's own words.
    #[serde(default)]
    pub target: TargetBelief,
    /// Availability zones that are evacuated, as far as it knows.
    #[serde(default)]
    pub evacuated_zones: Vec<String>,
    /// Rollouts, as far as it knows.
    #[serde(default)]
    pub rollouts: Vec<RolloutState>,
    /// Whether it is stopping.
    pub stopping: bool,
    /// Calls at its target.
    pub in_flight: u32,
    /// Calls held for its target.
    pub held: u32,
    /// Links to other daemons.
    pub links: usize,
    /// Hosts it knows of.
    pub hosts: usize,
}

impl Status {
    /// Calls a second that its target says it takes from all daemons together.
    pub fn limit_per_s(&self) -> Option<f64> {
        let calls_per_1000_s = self.limit_per_1000_s?;
        Some(RateLimit { calls_per_1000_s }.per_s())
    }
}

/// A listening endpoint that is not served yet.
pub struct Ops {
    server: Arc<Server>,
    address: SocketAddr,
}

impl Ops {
    /// Listens.
    ///
    /// # Errors
    /// An address that cannot be listened on.
    pub fn listen(address: SocketAddr) -> Result<Self, OpsError> {
        let failed = |reason| OpsError { address, reason };
        let server = Server::http(address).map_err(|error| failed(error.to_string()))?;
        let bound = server
            .server_addr()
            .to_ip()
            .ok_or_else(|| failed("not an IP address".to_owned()))?;
        Ok(Ops {
            server: Arc::new(server),
            address: bound,
        })
    }

    /// The address listened on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Serves in a thread of its own until [`OpsHandle::stop`].
    pub fn serve(self, core: Arc<Core>) -> OpsHandle {
        let server = Arc::clone(&self.server);
        let thread = thread::spawn(move || {
            while let Ok(request) = server.recv() {
                answer(&core, request);
            }
        });
        OpsHandle {
            server: self.server,
            thread,
        }
    }
}

/// A served endpoint.
pub struct OpsHandle {
    server: Arc<Server>,
    thread: thread::JoinHandle<()>,
}

impl OpsHandle {
    /// Ends serving.
    pub fn stop(self) {
        self.server.unblock();
        let _ = self.thread.join();
    }
}

/// What the daemon says of itself.
pub fn status(core: &Core) -> Status {
    let in_force = core.settings.current();
    let figures = core.half.figures();
    Status {
        host: core.config.host.clone(),
        place: core.config.place.clone(),
        zone: core.config.zone.clone(),
        region: core.config.region.clone(),
        service: core.config.service.clone(),
        incarnation: core.me.incarnation.to_string(),
        started_ms: core.me.started_ms,
        generation: core.settings.number(),
        newest_generation: core.settings.wanted().max(core.settings.number()),
        routes: in_force
            .as_ref()
            .map_or(0, |known| known.generation.tree.route_count()),
        digest: in_force.map(|in_force| in_force.generation.digest.to_string()),
        leaving: core.half.is_leaving(),
        target_down: core.half.pool.is_down(),
        cold: core.half.is_cold(),
        limit_per_1000_s: core.half.rate_limit().map(|limit| limit.calls_per_1000_s),
        says_leaving: core.half.says_leaving(),
        target: core.half.belief(),
        evacuated_zones: core.evacuated_zones(),
        rollouts: core.rollouts.status(core.clock.now()),
        stopping: core.life.phase() > Phase::Serving,
        in_flight: figures.in_flight,
        held: figures.held,
        links: core.links.all().len(),
        hosts: core.hosts.len(),
    }
}

fn answer(core: &Core, request: Request) {
    let url = request.url().to_owned();
    let (path, query) = url.split_once('?').unwrap_or((&url, ""));
    match (request.method(), path) {
        (Method::Get, "/metrics") => metrics(core, request),
        (Method::Get, "/health") => health(core, request),
        (Method::Get, "/status") => respond(request, 200, &json!(status(core))),
        (Method::Get, "/explain") => explain(core, request, query),
        (Method::Get, "/quarantine") => respond(request, 200, &json!(core.quarantine.listed())),
        (Method::Post, "/quarantine/lift") => lift(core, request),
        (Method::Post, "/drain") => drain(core, request, true),
        (Method::Post, "/undrain") => drain(core, request, false),
        _ => respond(request, 404, &json!({"error": "no such path"})),
    }
}

/// Whether the daemon can serve calls at all.
fn health(core: &Core, request: Request) {
    let generation = core.settings.number();
    let ready = generation > 0;
    let status = if ready { 200 } else { 503 };
    respond(
        request,
        status,
        &json!({"ready": ready, "generation": generation}),
    );
}

fn drain(core: &Core, request: Request, stands: bool) {
    core.set_leaving(LeaveCause::Operator, stands);
    respond(request, 200, &json!({"leaving": core.half.is_leaving()}));
}

fn explain(core: &Core, request: Request, query: &str) {
    let Some(call) = query.strip_prefix("call=") else {
        return respond(request, 200, &json!(core.explain.newest(NEWEST)));
    };
    match core.explain.find(call) {
        Some(trace) => respond(request, 200, &json!(trace)),
        None => respond(request, 404, &json!({"error": "no trace of that call"})),
    }
}

/// Lets a request run again. The body is an order of a few hundred bytes.
fn lift(core: &Core, mut request: Request) {
    match read_lift(&mut request) {
        Ok((print, who)) => {
            let was_suspect = core.quarantine.lift(print, &who);
            respond(request, 200, &json!(Lifted { was_suspect }));
        }
        Err(error) => respond(request, 400, &json!({"error": error.to_string()})),
    }
}

fn read_lift(request: &mut Request) -> Result<(Fingerprint, String), LiftError> {
    let mut body = Vec::new();
    request
        .as_reader()
        .take(LIFT_BYTES)
        .read_to_end(&mut body)?;
    let order: Lift = serde_json::from_slice(&body)?;
    Ok((order.request.parse()?, order.who))
}

fn metrics(core: &Core, request: Request) {
    let figures = core.half.figures();
    let suspects = core.quarantine.listed();
    let refused = suspects.iter().filter(|one| one.left_ms.is_some());
    core.metrics.quarantined.set(refused.count() as i64);
    core.metrics.suspects.set(suspects.len() as i64);
    core.metrics.in_flight.set(i64::from(figures.in_flight));
    core.metrics.held.set(i64::from(figures.held));
    core.metrics.once_records.set(core.once.records() as i64);
    core.budget.show(&core.metrics);
    let unlogged = &core.metrics.unlogged;
    unlogged.inc_by(core.explain.unlogged().saturating_sub(unlogged.get()));
    let text = core.metrics.text();
    let kind = "application/openmetrics-text; version=1.0.0; charset=utf-8";
    let header = Header::from_bytes("content-type", kind).expect("a plain header");
    let _ = request.respond(Response::from_string(text).with_header(header));
}

fn respond(request: Request, status: u16, value: &serde_json::Value) {
    let header = Header::from_bytes("content-type", "application/json").expect("a plain header");
    let response = Response::from_string(value.to_string())
        .with_status_code(status)
        .with_header(header);
    let _ = request.respond(response);
}
