//! What all parts of one daemon share.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use lynxcleat_once::Incarnation;
use lynxcleat_policy::{CallId, Distance, Location};
use lynxcleat_store::Platform;
use lynxcleat_wire::{Frame, Hello, PROTOCOL_VERSION, SharedKey};

use crate::callers::room::BodyRoom;
use crate::clock::Clock;
use crate::config::Config;
use crate::control::budget::MeasureBudget;
use crate::dialect::Dialect;
use crate::directory::state::DirectoryState;
use crate::explain::Explain;
use crate::half::state::Half;
use crate::host_table::HostTable;
use crate::life::{LeaveCause, Life};
use crate::mesh::handlers::Handlers;
use crate::mesh::link::Link;
use crate::mesh::links::Links;
use crate::mesh::region_egress::RegionEgress;
use crate::metrics::Metrics;
use crate::once::state::Once;
use crate::quarantine::QuarantineState;
use crate::quota::state::QuotaState;
use crate::rollout::state::RolloutStates;
use crate::route::service::Routers;
use crate::settings::state::SettingsState;

/// Who this daemon is. Addresses are the bound ones, not the configured ones.
#[derive(Clone, Debug)]
pub struct Identity {
    /// This run of the daemon.
    pub incarnation: Incarnation,
    /// When it started, in milliseconds since 1970.
    pub started_ms: u64,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for other daemons.
    pub mesh: SocketAddr,
    /// Address for operators.
    pub ops: SocketAddr,
}

/// The shared parts of a daemon.
pub struct Core {
    /// Its checked configuration.
    pub config: Config,
    /// Names that callers and targets use.
    pub dialect: Dialect,
    /// What it knows of rollouts.
    pub rollouts: RolloutStates,
    /// What it follows in the directory and keeps there, where there is one.
    pub directory: Option<DirectoryState>,
    /// Who it is.
    pub me: Identity,
    /// Its clock.
    pub clock: Clock,
    /// The generation of settings in force.
    pub settings: SettingsState,
    /// Requests under which targets end.
    pub quarantine: QuarantineState,
    /// Who is told what happens on links.
    pub handlers: Handlers,
    /// Its links to other daemons.
    pub links: Links,
    /// The host list as last seen.
    pub hosts: HostTable,
    /// Routers by service.
    pub routers: Routers,
    /// The target half.
    pub half: Half,
    /// Guard, tickets and claims.
    pub once: Once,
    /// Quota leases and buckets of organisations.
    pub quota: QuotaState,
    /// What it sends to other regions.
    pub region_egress: RegionEgress,
    /// The budget of measuring.
    pub budget: MeasureBudget,
    /// Its metrics.
    pub metrics: Metrics,
    /// Explanations of recent calls.
    pub explain: Explain,
    /// Client of the platform.
    pub platform: Platform,
    /// Its way from start to stop.
    pub life: Life,
    /// Memory for callers' bodies.
    pub bodies: BodyRoom,
    /// Calls numbered so far.
    pub calls: AtomicU64,
}

impl Core {
    /// The hello that this daemon sends on a new link.
    pub fn hello(&self) -> Hello {
        Hello {
            version: PROTOCOL_VERSION,
            deployment: self.config.deployment.clone(),
            host: self.config.host.clone(),
            place: self.config.place.clone(),
            zone: self.config.zone.clone(),
            region: self.config.region.clone(),
            service: self.half.service(self),
            mesh: self.me.mesh.to_string(),
            incarnation: self.me.incarnation,
            started_ms: self.me.started_ms,
            leaving: self.half.is_leaving(),
            down: self.half.pool.is_down(),
            nonce: rand::random(),
        }
    }

    /// The key that proves links; nothing before it is known.
    pub fn shared_key(&self) -> Option<SharedKey> {
        match (&self.config.shared_key, &self.directory) {
            (Some(key), _) => Some(key.clone()),
            (None, Some(directory)) => directory.key.get().cloned(),
            (None, None) => None,
        }
    }

    /// Availability zones that are evacuated, as far as is known here.
    pub fn evacuated_zones(&self) -> Vec<String> {
        let directory = self.directory.as_ref();
        directory.map_or_else(Vec::new, DirectoryState::evacuated_zones)
    }

    /// Links over which news of settings and zones go out: all within the region, and those to
    /// neighbours in others, so that news cross a few times only. Without neighbours, all.
    pub fn links_for_news(&self) -> Vec<Arc<Link>> {
        let mut links = self.links.all();
        if let Some(directory) = &self.directory {
            links.retain(|link| {
                link.distance < Distance::OtherRegion || directory.is_neighbour(link)
            });
        }
        links
    }

    /// Links over which news pass from neighbour to neighbour: those to neighbours, or all where
    /// none stands. Each daemon passes on what is news to it, so that all hear of it.
    pub fn neighbour_links(&self) -> Vec<Arc<Link>> {
        let directory = self.directory.as_ref();
        let neighbours = directory.map_or_else(Vec::new, DirectoryState::neighbour_links);
        match neighbours.is_empty() {
            true => self.links.all(),
            false => neighbours,
        }
    }

    /// A number for a new call.
    pub fn new_call_id(&self) -> CallId {
        CallId(self.calls.fetch_add(1, Ordering::Relaxed))
    }

    /// Name of a call, unique among all daemons and their incarnations.
    pub fn call_name(&self, id: CallId) -> String {
        format!("{}-{:x}", self.me.incarnation, id.0)
    }

    /// Where this daemon stands.
    pub fn here(&self) -> Location<'_> {
        Location {
            host: &self.config.host,
            place: &self.config.place,
            zone: &self.config.zone,
            region: &self.config.region,
        }
    }

    /// Waits until a stop withdraws the calls that no target has.
    pub async fn withdrawal(&self) {
        let times = self.life.stop_begun().await;
        tokio::time::sleep_until(self.clock.instant(times.withdraw_at)).await;
    }

    /// Waits until a stop answers what is still in hand.
    pub async fn last_answers(&self) {
        let times = self.life.stop_begun().await;
        tokio::time::sleep_until(self.clock.instant(times.answer_at)).await;
    }

    /// Adds or takes away a cause for this daemon's target to leave, and tells
    /// every peer where that changes something.
    pub fn set_leaving(&self, cause: LeaveCause, stands: bool) {
        let leaving = self.life.set_cause(cause, stands);
        if self.half.set_leaving(leaving) {
            log::info!(leaving, cause:? = cause; "target leaving");
            self.links.announce(&Frame::Leaving(leaving));
        }
    }
}
