//! Starting and stopping a daemon.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

use lynxcleat_once::Incarnation;
use lynxcleat_policy::TargetReport;
use lynxcleat_store::{HostEntry, HostState, Platform};
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

use crate::callers::{self, BodyRoom};
use crate::clock::{Clock, ReadTime, since_boot};
use crate::config::Config;
use crate::control::{self, MeasureBudget};
use crate::core::{Core, Identity};
use crate::dialect::Dialect;
use crate::directory::{self, Acknowledgement, Directory, DirectoryState};
use crate::dispatch::HANDLERS;
use crate::explain::Explain;
use crate::half::{self, Half, Pool};
use crate::host_table::HostTable;
use crate::life::{LeaveCause, Life, Phase, StopReport};
use crate::mesh::RegionEgress;
use crate::mesh::{self, Links};
use crate::metrics::Metrics;
use crate::once::{self, Once};
use crate::ops::{Ops, OpsError, OpsHandle, Status, status};
use crate::quarantine::{self, QuarantineState};
use crate::quota;
use crate::quota::state::QuotaState;
use crate::rollout::RolloutStates;
use crate::route::Routers;
use crate::settings::state::SettingsState;
use crate::suspension;

/// Seconds that one request to the platform may take.
const PLATFORM_LIMIT_S: u64 = 2;
/// Requests sent for one read; the control tasks come back anyway.
const PLATFORM_TRIES: usize = 1;
/// Part of the lingering of a stop during which the target still takes calls that must end
/// before the limit of the stop. In the rest the routers hear that it takes none.
const STOP_SERVING_PART: f64 = 0.9;
/// Times for a stop before settings are in force, in milliseconds.
const STOP_LINGER_MS: u64 = 100;
const STOP_LIMIT_MS: u64 = 5_000;

/// Why a daemon cannot start.
#[derive(Debug, Error)]
pub enum StartError {
    /// An address cannot be listened on.
    #[error("cannot listen on {address} for {side}: {error}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// Who it is for.
        side: &'static str,
        /// What the system says.
        error: std::io::Error,
    },
    /// The operators' endpoint cannot be served.
    #[error("{0}")]
    Ops(#[from] OpsError),
}

/// What a daemon runs among: the interface of its callers and targets, and where
/// it finds settings, key and members.
pub struct Environment {
    /// Names that callers and targets use.
    pub dialect: Dialect,
    /// The directory; without one, the product's own platform is polled.
    pub directory: Option<Directory>,
    /// Reads the time that decisions go by.
    pub read_time: ReadTime,
}

impl Default for Environment {
    fn default() -> Self {
        Environment {
            dialect: Dialect::own(),
            directory: None,
            read_time: since_boot,
        }
    }
}

/// A running daemon.
pub struct Daemon {
    core: Arc<Core>,
    ops: OpsHandle,
    listeners: Listeners,
}

/// The tasks that own the listeners; each ends once the daemon closes.
struct Listeners {
    callers: JoinHandle<()>,
    mesh: JoinHandle<()>,
}

impl Daemon {
    /// Listens on every address and starts. It serves calls as soon as it has a
    /// generation of settings in force.
    ///
    /// # Errors
    /// An address that cannot be listened on.
    pub async fn start(config: Config) -> Result<Daemon, StartError> {
        Daemon::start_in(config, Environment::default()).await
    }

    /// Starts in another environment than the product's own.
    ///
    /// # Errors
    /// An address that cannot be listened on.
    pub async fn start_in(config: Config, environment: Environment) -> Result<Daemon, StartError> {
        let callers_listener = listen(config.callers, "callers").await?;
        let mesh_listener = listen(config.mesh, "daemons").await?;
        let ops = Ops::listen(config.ops)?;
        let clock = Clock::start_by(environment.read_time);
        let me = Identity {
            incarnation: Incarnation(rand::random()),
            started_ms: clock.wall_ms(),
            callers: bound(&callers_listener, config.callers),
            mesh: bound(&mesh_listener, config.mesh),
            ops: ops.address(),
        };
        let core = Arc::new(build(config, environment, me, clock));
        quarantine::spread::start(&core);
        quota::start(&core);
        half::start(&core);
        tokio::spawn(suspension::follow(Arc::clone(&core)));
        match core.directory {
            Some(_) => directory::start(&core),
            None => {
                once::start_claims(&core);
                control::start(&core);
            }
        }
        let listeners = Listeners {
            callers: tokio::spawn(callers::listen(Arc::clone(&core), callers_listener)),
            mesh: tokio::spawn(mesh::listen(Arc::clone(&core), mesh_listener)),
        };
        let ops = ops.serve(Arc::clone(&core));
        log::info!(
            host = core.config.host.as_str(),
            incarnation:% = core.me.incarnation,
            callers:% = core.me.callers,
            mesh:% = core.me.mesh,
            ops:% = core.me.ops;
            "daemon started"
        );
        Ok(Daemon {
            core,
            ops,
            listeners,
        })
    }

    /// Who it is, with the addresses that it listens on.
    pub fn identity(&self) -> &Identity {
        &self.core.me
    }

    /// A handle for reports and readiness that outlives a move of the daemon.
    pub fn side(&self) -> Side {
        Side(Arc::clone(&self.core))
    }

    /// What it says of itself.
    pub fn status(&self) -> Status {
        status(&self.core)
    }

    /// Its metrics, as Prometheus text.
    pub fn metrics(&self) -> String {
        self.core.budget.show(&self.core.metrics);
        self.core.metrics.text()
    }

    /// Its entry in the host list.
    pub fn host_entry(&self, state: HostState) -> HostEntry {
        let config = &self.core.config;
        HostEntry {
            host: config.host.clone(),
            place: config.place.clone(),
            zone: config.zone.clone(),
            region: config.region.clone(),
            service: config.service.clone(),
            version: String::new(),
            mesh: self.core.me.mesh.to_string(),
            ops: self.core.me.ops.to_string(),
            state,
        }
    }

    /// A view of what is in hand, which outlives a stop that is given up.
    pub fn in_hand(&self) -> InHand {
        InHand(Arc::clone(&self.core))
    }

    /// Waits until a generation of at least `number` is in force.
    pub async fn in_force(&self, number: u64) {
        let mut raised = self.core.settings.subscribe();
        let _ = raised.wait_for(|current| *current >= number).await;
    }

    /// Stops as planned: nothing in hand is cut off before the limit in the
    /// settings, and what cannot end by then is answered. Returns what was cut off.
    pub async fn stop(self) -> StopReport {
        let in_hand = self.in_hand();
        let core = &self.core;
        let (linger, limit) = stop_times(core);
        log::info!("stopping");
        core.life.begin_stop(core.clock.now(), limit);
        core.life.enter(Phase::Lingering);
        let finished = tokio::time::timeout(limit, finish(core, linger, self.listeners)).await;
        core.life.enter(Phase::Closing);
        let report = match finished {
            Ok(()) => StopReport::default(),
            Err(_) => in_hand.report(),
        };
        self.ops.stop();
        log::info!(
            calls_cut = report.calls_cut,
            target_calls_cut = report.target_calls_cut;
            "stopped"
        );
        report
    }
}

/// The side of a daemon towards its own target and whoever asks whether it is
/// ready.
#[derive(Clone)]
pub struct Side(Arc<Core>);

impl Side {
    /// Takes a report of the target; it returns when what must last of it does, or after the
    /// time that a target waits for its answer.
    pub async fn report(&self, report: TargetReport) -> Acknowledgement {
        directory::report(&self.0, report).await
    }

    /// Whether callers should be sent here.
    pub fn is_ready(&self) -> bool {
        self.0.is_ready()
    }
}

/// What a daemon has in hand.
pub struct InHand(Arc<Core>);

impl InHand {
    /// What would be cut off if the daemon ended now.
    pub fn report(&self) -> StopReport {
        StopReport {
            calls_cut: self.0.life.calls.count(),
            target_calls_cut: self.0.life.target_calls.count(),
        }
    }
}

/// Lingers, then closes the listener and finishes what is in hand. The target takes calls
/// for the first part of that: it does not stop itself, and what it gets then ends in time.
/// Links close last, after all that they carry is written.
async fn finish(core: &Arc<Core>, linger: Duration, listeners: Listeners) {
    let serving = linger.mul_f64(STOP_SERVING_PART);
    tokio::time::sleep(serving).await;
    core.set_leaving(LeaveCause::Stop, true);
    tokio::time::sleep(linger - serving).await;
    core.life.enter(Phase::Closing);
    let _ = listeners.callers.await;
    // Its address may be listened on again as soon as the stop is over.
    let _ = listeners.mesh.await;
    core.life.connections.idle().await;
    core.life.calls.idle().await;
    core.life.target_calls.idle().await;
    core.links.finish();
    core.life.writers.idle().await;
}

fn stop_times(core: &Core) -> (Duration, Duration) {
    let (linger_ms, limit_ms) = match core.settings.current() {
        Some(in_force) => (in_force.own.stop_linger_ms, in_force.own.stop_limit_ms),
        None => (STOP_LINGER_MS, STOP_LIMIT_MS),
    };
    (
        Duration::from_millis(linger_ms),
        Duration::from_millis(limit_ms),
    )
}

fn build(config: Config, environment: Environment, me: Identity, clock: Clock) -> Core {
    let target_reports = environment.directory.is_some();
    let platform = Platform::builder(config.platform.clone())
        .timeout_s(PLATFORM_LIMIT_S)
        .max_attempts(PLATFORM_TRIES)
        .build();
    Core {
        settings: SettingsState::new(&config.place, &config.service),
        quarantine: QuarantineState::new(clock),
        handlers: HANDLERS,
        links: Links::default(),
        hosts: HostTable::default(),
        routers: Routers::default(),
        half: Half::new(
            clock,
            me.started_ms,
            Pool::new(config.target, environment.dialect.response_naming),
            target_reports,
        ),
        once: Once::new(
            clock,
            me.incarnation,
            me.mesh.to_string(),
            config.shared_key.as_ref(),
        ),
        quota: QuotaState::new(clock),
        region_egress: RegionEgress::new(clock),
        budget: MeasureBudget::new(clock),
        metrics: Metrics::default(),
        explain: Explain::default(),
        platform,
        life: Life::default(),
        bodies: BodyRoom::default(),
        calls: AtomicU64::new(1),
        rollouts: RolloutStates::default(),
        dialect: environment.dialect,
        directory: environment
            .directory
            .map(|directory| DirectoryState::new(directory, &config, clock.now())),
        config,
        me,
        clock,
    }
}

async fn listen(address: SocketAddr, side: &'static str) -> Result<TcpListener, StartError> {
    TcpListener::bind(address)
        .await
        .map_err(|error| StartError::Listen {
            address,
            side,
            error,
        })
}

fn bound(listener: &TcpListener, configured: SocketAddr) -> SocketAddr {
    listener.local_addr().unwrap_or(configured)
}
