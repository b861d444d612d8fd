//! The daemons of a run, each a process of its own, with the stand-ins around them.

use std::fs::File;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Duration;

use lynxcleat_settings::{SettingsError, Tree};
use lynxcleat_standin::{
    PlatformFaults, PlatformStandin, StandinError, TargetFaults, TargetOptions, TargetStandin,
};
use lynxcleat_store::{AcceptRequest, HostEntry, HostState, Platform, accept};
use rustix::process::{Pid, Signal, kill_process};
use serde_json::json;
use thiserror::Error;

use crate::plan::{PlatformTrouble, TargetTrouble};
use crate::proxy::Proxy;

/// Slots of a target, and the time that a call takes there.
const SLOTS: usize = 8;
const SERVICE: Duration = Duration::from_millis(4);
/// Writes whose answers are lost in one trouble of the platform.
const LOST_ANSWERS: u32 = 4;
/// Age of stale reads, and delay of a slow platform, in milliseconds.
const STALE_MS: u64 = 2_000;
const SLOW_MS: u64 = 300;
/// Calls a second that a target in need states.
const STATED_LIMIT: &str = "5";
/// Factor of a slow target.
const SLOW_FACTOR: u32 = 8;
/// Key that proves links; it protects nothing here.
const KEY: &str = "a key for the soak only";
/// First port of daemons, below those that the system gives to outgoing connections.
const FIRST_PORT: u16 = 10_000;
/// Ports of one host.
const PORTS_OF_ONE_HOST: u16 = 8;
/// Last number of the first run's IP number; tests of other kinds use lower ones.
const FIRST_OWN_IP: u8 = 50;

/// Why a run could not be made.
#[derive(Debug, Error)]
pub enum SoakError {
    /// A file or a process.
    #[error("{what}: {error}")]
    Io {
        /// What was to be done.
        what: &'static str,
        /// What the system says.
        error: io::Error,
    },
    /// A stand-in.
    #[error("stand-in: {0}")]
    Standin(#[from] StandinError),
    /// The tree of settings.
    #[error("settings: {0}")]
    Settings(#[from] SettingsError),
    /// The first tree was not accepted.
    #[error("the first settings were not accepted: {0}")]
    NotAccepted(String),
    /// The daemons did not come up.
    #[error("the daemons did not come up within {0:?}")]
    NotUp(Duration),
}

/// Wraps an error of the system.
pub fn io_error(what: &'static str) -> impl FnOnce(io::Error) -> SoakError {
    move |error| SoakError::Io { what, error }
}

/// One host: a target, and the daemon beside it.
pub struct Host {
    /// Where its daemon takes calls.
    pub callers: SocketAddr,
    /// Where its daemon answers operators.
    pub ops: SocketAddr,
    /// The target.
    pub target: TargetStandin,
    /// Before the daemon's mesh address.
    pub mesh_proxy: Proxy,
    /// Between the daemon and the platform.
    pub platform_proxy: Proxy,
    settings: PathBuf,
    process: Option<Child>,
}

/// All hosts, and the platform.
pub struct Fleet {
    /// The hosts.
    pub hosts: Vec<Host>,
    /// The platform.
    pub platform: Arc<PlatformStandin>,
    ip: Ipv4Addr,
    program: PathBuf,
    folder: PathBuf,
}

impl Fleet {
    /// Starts stand-ins, proxies and daemons; `program` is the daemon, `folder` takes
    /// settings files and logs.
    ///
    /// # Errors
    /// Addresses, files or processes that the system refuses.
    pub async fn start(count: usize, program: &Path, folder: &Path) -> Result<Self, SoakError> {
        std::fs::create_dir_all(folder).map_err(io_error("folder"))?;
        let platform = PlatformStandin::start("127.0.0.1:0")?;
        let mut fleet = Fleet {
            hosts: Vec::new(),
            platform: Arc::new(platform),
            ip: own_ip(),
            program: program.to_owned(),
            folder: folder.to_owned(),
        };
        accept_first(fleet.platform.url()).await?;
        for number in 0..count {
            let host = fleet.make_host(number).await?;
            fleet.hosts.push(host);
        }
        for number in 0..count {
            fleet.start_daemon(number)?;
        }
        Ok(fleet)
    }

    async fn make_host(&self, number: usize) -> Result<Host, SoakError> {
        let name = format!("stock-{number}");
        let options = TargetOptions {
            name: name.clone(),
            address: "127.0.0.1:0".to_owned(),
            control: "127.0.0.1:0".to_owned(),
            slots: SLOTS,
            service: SERVICE,
        };
        let names_calls = number.is_multiple_of(2);
        let target = TargetStandin::start_fronted(&options, names_calls)?;
        let address = |part: u16| {
            let port = FIRST_PORT + PORTS_OF_ONE_HOST * number as u16 + part;
            SocketAddr::from((self.ip, port))
        };
        let platform_url = self.platform.url();
        let platform_address = platform_url.trim_start_matches("http://");
        let platform_address: SocketAddr = platform_address
            .parse()
            .expect("the stand-in listens on an IP number");
        let proxy = |server| async move { Proxy::start(server).await.map_err(io_error("proxy")) };
        let mesh_proxy = proxy(address(1)).await?;
        let platform_proxy = proxy(platform_address).await?;
        let place = ["east", "west"][number % 2];
        let file = json!({
            "deployment": "soak", "host": name, "place": place, "zone": format!("{place}-1"),
            "service": "stock", "callers": address(0), "mesh": address(1), "ops": address(2),
            "target": target.address(), "target_health": target.control(),
            "platform": format!("http://{}", platform_proxy.address),
            "shared_key": KEY, "threads": 1, "log_level": "info"
        });
        let settings = self.folder.join(format!("{name}.json"));
        std::fs::write(&settings, file.to_string()).map_err(io_error("settings file"))?;
        self.platform.put_host(HostEntry {
            host: name,
            place: place.to_owned(),
            zone: format!("{place}-1"),
            region: String::new(),
            service: "stock".to_owned(),
            mesh: mesh_proxy.address.to_string(),
            ops: address(2).to_string(),
            version: String::new(),
            state: HostState::Live,
        });
        Ok(Host {
            callers: address(0),
            ops: address(2),
            target,
            mesh_proxy,
            platform_proxy,
            settings,
            process: None,
        })
    }

    /// Starts a daemon that does not run; its log is appended to.
    ///
    /// # Errors
    /// The log or the process that the system refuses.
    pub fn start_daemon(&mut self, host: usize) -> Result<(), SoakError> {
        let host = &mut self.hosts[host];
        if host.process.is_some() {
            return Ok(());
        }
        let log = File::options()
            .create(true)
            .append(true)
            .open(host.settings.with_extension("log"))
            .map_err(io_error("log file"))?;
        let copy = log.try_clone().map_err(io_error("log file"))?;
        let process = Command::new(&self.program)
            .arg("--config")
            .arg(&host.settings)
            .stdout(Stdio::from(log))
            .stderr(Stdio::from(copy))
            .spawn()
            .map_err(io_error("daemon"))?;
        host.process = Some(process);
        Ok(())
    }

    /// Sends a signal to a daemon that runs.
    pub fn signal(&self, host: usize, signal: Signal) {
        let process = self.hosts[host].process.as_ref();
        if let Some(pid) = process.and_then(|process| Pid::from_raw(process.id() as i32)) {
            // One that ended just now is as good as one that got the signal.
            let _ = kill_process(pid, signal);
        }
    }

    /// Whether a daemon's process runs.
    pub fn runs(&mut self, host: usize) -> bool {
        let host = &mut self.hosts[host];
        let ended = match &mut host.process {
            Some(process) => matches!(process.try_wait(), Ok(Some(_)) | Err(_)),
            None => true,
        };
        if ended {
            host.process = None;
        }
        !ended
    }

    /// Kills a daemon and waits for its end.
    pub fn kill(&mut self, host: usize) {
        if let Some(mut process) = self.hosts[host].process.take() {
            let _ = process.kill();
            let _ = process.wait();
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for host in 0..self.hosts.len() {
            self.kill(host);
        }
    }
}

/// Runs made so far by this process.
static RUNS: AtomicU8 = AtomicU8::new(0);

/// An IP number that no other run uses at the same time.
fn own_ip() -> Ipv4Addr {
    let process = std::process::id();
    let run = RUNS.fetch_add(1, Ordering::Relaxed);
    let [second, third] = [16 + process % 200, process / 200 % 250];
    Ipv4Addr::new(127, second as u8, third as u8, FIRST_OWN_IP + run % 200)
}

/// The settings of a run, with a hold limit that tells generations apart.
fn tree(hold_limit: u64) -> Result<Tree, SettingsError> {
    Tree::from_json(&json!({
        "settings": {
            "clock_skew_ms": 0, "list_lag_ms": 0, "poll_ms": 200, "host_list_ms": 200,
            "health_ms": 100, "heartbeat_ms": 200, "link_silence_ms": 800,
            "stop_linger_ms": 400, "hold_limit": hold_limit,
            "measure_bytes_per_s": 100_000, "measure_messages_per_s": 2_000,
            "measure_cpu_us_per_s": 200_000
        },
        "places": {
            "east": {"services": {"stock": {}}},
            "west": {"services": {"stock": {}}}
        }
    }))
}

fn request(base: u64, hold_limit: u64) -> Result<AcceptRequest, SettingsError> {
    Ok(AcceptRequest {
        tree: tree(hold_limit)?,
        base,
        who: "soak".to_owned(),
        note: String::new(),
        change_id: format!("soak-{hold_limit}"),
        when_ms: 1,
        outcome_timeout: Duration::from_secs(2),
    })
}

async fn accept_first(url: String) -> Result<(), SoakError> {
    let request = request(0, 48)?;
    let accepting = tokio::task::spawn_blocking(move || {
        let client = Platform::builder(url).timeout_s(2).build();
        accept(&client, &request).map_err(|error| error.to_string())
    });
    let accepted = accepting.await.map_err(|error| error.to_string());
    accepted
        .and_then(|accepted| accepted)
        .map(drop)
        .map_err(SoakError::NotAccepted)
}

/// Accepts a change on top of a generation. Returns the new generation, or nothing where
/// the platform's trouble kept it from being accepted.
pub async fn accept_change(url: String, base: u64, hold_limit: u64) -> Option<u64> {
    let request = request(base, hold_limit).ok()?;
    let accepting = tokio::task::spawn_blocking(move || {
        let client = Platform::builder(url).timeout_s(2).build();
        accept(&client, &request).ok()
    });
    Some(accepting.await.ok()??.generation)
}

/// The stand-in's words for a target's trouble.
pub fn target_faults(trouble: Option<TargetTrouble>) -> TargetFaults {
    let mut faults = TargetFaults::default();
    match trouble {
        None => {}
        Some(TargetTrouble::Slow) => faults.slow_factor = SLOW_FACTOR,
        Some(TargetTrouble::FailFast) => faults.fail_fast = true,
        Some(TargetTrouble::Shed) => faults.shed = true,
        Some(TargetTrouble::Frozen) => faults.frozen = true,
        Some(TargetTrouble::CutAnswers) => faults.cut_answers = true,
        Some(TargetTrouble::DropAnswers) => faults.drop_answers = true,
        Some(TargetTrouble::Draining) => faults.draining = true,
        Some(TargetTrouble::RateLimited) => faults.rate_limit = STATED_LIMIT.to_owned(),
    }
    faults
}

/// The stand-in's words for the platform's trouble.
pub fn platform_faults(trouble: Option<PlatformTrouble>) -> PlatformFaults {
    let mut faults = PlatformFaults::default();
    match trouble {
        None => {}
        Some(PlatformTrouble::Down) => faults.down = true,
        Some(PlatformTrouble::Slow) => faults.delay_ms = SLOW_MS,
        Some(PlatformTrouble::LostAnswers) => faults.lose_replies = LOST_ANSWERS,
        Some(PlatformTrouble::StaleReads) => faults.stale_reads_ms = STALE_MS,
    }
    faults
}
