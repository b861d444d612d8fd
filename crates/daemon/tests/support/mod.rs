//! A small fleet for the tests: stand-ins in this process, daemons in this
//! process or as processes of their own.
#![allow(dead_code, unused_imports)]

mod caller;
mod evenly;
mod fake_half;
mod http;
mod odd;
mod peer;

use std::collections::HashMap;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU16, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use lynxcleat_daemon::{Config, Daemon, Environment, RawConfig, ReadTime, Status, since_boot};
use lynxcleat_settings::Tree;
use lynxcleat_standin::{PlatformStandin, TargetOptions, TargetStandin, wait_until};
use lynxcleat_store::{AcceptRequest, Accepted, HostEntry, HostState, Platform, accept};
use serde_json::{Value, json};
use tokio::runtime::Runtime;

pub use caller::{KeptCaller, read_reply};
pub use evenly::{Sent, call_evenly};
pub use fake_half::FakeHalf;
pub use http::{Reply, call, parse, raw, try_call};
pub use odd::{HeaderSink, answer, each_gets_its_own, odd_target, read_call, read_path};
pub use peer::Peer;

pub const KEY: &str = "a key for the tests only";
pub const PATIENCE: Duration = Duration::from_secs(15);

/// A tree with one service `stock` at place `east`, with `overrides` at the root.
pub fn tree(overrides: Value) -> Tree {
    tree_with_routes(overrides, json!({}))
}

/// Such a tree with routes.
pub fn tree_with_routes(overrides: Value, routes: Value) -> Tree {
    let mut settings = json!({
        "clock_skew_ms": 0, "list_lag_ms": 0, "poll_ms": 200, "host_list_ms": 100,
        "health_ms": 100, "heartbeat_ms": 100, "link_silence_ms": 400,
        "stop_linger_ms": 200, "measure_bytes_per_s": 1_000_000, "measure_messages_per_s": 10_000,
        "measure_cpu_us_per_s": 1_000_000
    });
    for (name, value) in overrides.as_object().expect("an object") {
        settings[name] = value.clone();
    }
    let tree = json!({
        "settings": settings,
        "places": {"east": {"services": {"stock": {}, "other": {}}}, "west": {"services": {"stock": {}}}},
        "routes": routes
    });
    Tree::from_json(&tree).expect("a good tree")
}

/// The daemon of one worker.
pub enum Running {
    Here(Daemon),
    Process(Child),
}

pub struct Worker {
    pub host: String,
    pub target: TargetStandin,
    pub daemon: Option<Running>,
    pub entry: HostEntry,
    pub callers: String,
    pub raw: RawConfig,
}

pub struct Fleet {
    pub runtime: Runtime,
    pub platform: PlatformStandin,
    pub workers: Vec<Worker>,
    folder: PathBuf,
    ip: String,
    /// Counters between worker 0 and the platform, and its target's health.
    pub counted: Option<(Crossed, Crossed)>,
    counter: Option<Counter>,
    key: String,
    read_time: ReadTime,
}

/// Bytes that crossed a counter, with their times.
pub type Crossed = Arc<Mutex<Vec<(Instant, usize)>>>;

/// Makes a counter in front of an address.
pub type Counter = fn(&str) -> (String, Crossed);

/// How a fleet is made.
pub struct Plan {
    pub name: &'static str,
    pub tree: Tree,
    pub workers: usize,
    pub slots: usize,
    pub service: Duration,
    pub processes: bool,
    pub seeds: bool,
    /// Whether each place is a region of its own.
    pub regions: bool,
    /// Reads the time that daemons in this process go by.
    pub read_time: ReadTime,
}

impl Plan {
    pub fn new(name: &'static str) -> Self {
        Plan {
            name,
            tree: tree(json!({})),
            workers: 2,
            slots: 12,
            service: Duration::from_millis(2),
            processes: false,
            seeds: false,
            regions: false,
            read_time: since_boot,
        }
    }

    pub fn start(self) -> Fleet {
        let mut fleet = self.start_empty();
        for number in 0..self.workers {
            fleet.add(number, &self, None);
        }
        fleet.wait_ready();
        fleet
    }

    /// A fleet whose first daemon reaches the platform and its target's health
    /// endpoint through counters.
    pub fn start_counted(self, counter: Counter) -> Fleet {
        let mut fleet = self.start_empty();
        fleet.counter = Some(counter);
        for number in 0..self.workers {
            fleet.add(number, &self, None);
        }
        fleet.wait_ready();
        fleet
    }

    /// One daemon in front of a target that is not a stand-in.
    pub fn start_with_target(self, address: &str) -> Fleet {
        let mut fleet = self.start_empty();
        fleet.add(0, &self, Some(address));
        fleet.wait_ready();
        fleet
    }

    fn start_empty(&self) -> Fleet {
        let platform = PlatformStandin::start("127.0.0.1:0").expect("platform");
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(self.name);
        std::fs::create_dir_all(&folder).expect("folder");
        let fleet = Fleet {
            runtime: Runtime::new().expect("runtime"),
            platform,
            workers: Vec::new(),
            folder,
            ip: own_ip(),
            counted: None,
            counter: None,
            key: KEY.to_owned(),
            read_time: self.read_time,
        };
        fleet.accept(0, self.tree.clone(), "first");
        fleet
    }
}

impl Fleet {
    fn add_named(
        &mut self,
        host: &str,
        service: &str,
        number: usize,
        plan: &Plan,
        other_target: Option<&str>,
    ) {
        let host = host.to_owned();
        let target = TargetStandin::start(&TargetOptions {
            name: host.clone(),
            address: "127.0.0.1:0".to_owned(),
            control: "127.0.0.1:0".to_owned(),
            slots: plan.slots,
            service: plan.service,
        })
        .expect("target");
        let place = if number.is_multiple_of(2) {
            "east"
        } else {
            "west"
        };
        let seeds = match plan.seeds {
            true => self.workers.iter().map(|w| w.entry.mesh.clone()).collect(),
            false => Vec::new(),
        };
        let mut raw = RawConfig {
            deployment: format!("test-{}", self.ip),
            host: host.clone(),
            place: place.to_owned(),
            zone: format!("{place}-1"),
            region: match plan.regions {
                true => place.to_owned(),
                false => String::new(),
            },
            service: service.to_owned(),
            callers: free_address(&self.ip),
            mesh: free_address(&self.ip),
            ops: free_address(&self.ip),
            target: other_target.map_or_else(|| target.address(), str::to_owned),
            target_health: Some(target.control()),
            platform: self.platform.url(),
            shared_key_file: None,
            shared_key: Some(self.key.clone()),
            seeds,
            threads: None,
            caller_connections: None,
            log_level: Some("info".to_owned()),
            first_start: false,
            settings_in_force_ms: None,
        };
        if let Some(counter) = self.counter.take() {
            let (platform, crossed) = counter(raw.platform.trim_start_matches("http://"));
            let (health, health_crossed) = counter(&target.control());
            raw.platform = format!("http://{platform}");
            raw.target_health = Some(health);
            self.counted = Some((crossed, health_crossed));
        }
        let entry = HostEntry {
            host: host.clone(),
            place: place.to_owned(),
            zone: raw.zone.clone(),
            region: raw.region.clone(),
            version: String::new(),
            service: raw.service.clone(),
            mesh: raw.mesh.clone(),
            ops: raw.ops.clone(),
            state: HostState::Live,
        };
        let mut worker = Worker {
            host,
            target,
            daemon: None,
            callers: raw.callers.clone(),
            entry,
            raw,
        };
        let daemon = match plan.processes {
            true => Running::Process(self.spawn(&worker)),
            false => Running::Here(self.start_here(&worker)),
        };
        worker.daemon = Some(daemon);
        self.platform.put_host(worker.entry.clone());
        self.workers.push(worker);
    }

    /// Adds a daemon whose target belongs to another service. Returns its number.
    pub fn add_outsider(&mut self, name: &str) -> usize {
        let mut plan = Plan::new("outsider");
        plan.processes = true;
        let number = self.workers.len();
        self.add_named(name, "other", number, &plan, None);
        self.wait_ready();
        number
    }

    /// Adds a daemon in this process whose target belongs to another service.
    pub fn add_other(&mut self, number: usize) {
        self.add_named(
            &format!("other-{number}"),
            "other",
            number,
            &Plan::new("other"),
            None,
        );
    }

    /// A daemon with another key, which is on the list. It is not of the fleet.
    pub fn add_stranger(&mut self, key: &str) -> Worker {
        let mut plan = Plan::new("stranger");
        plan.processes = false;
        self.key = key.to_owned();
        let number = self.workers.len();
        self.add_named("stranger", "stock", number, &plan, None);
        self.key = KEY.to_owned();
        self.workers.pop().expect("just added")
    }

    /// Adds a worker of the service `stock`.
    pub fn add(&mut self, number: usize, plan: &Plan, other_target: Option<&str>) {
        let host = format!("stock-{number}");
        self.add_named(&host, "stock", number, plan, other_target);
    }

    pub fn start_here(&self, worker: &Worker) -> Daemon {
        let config = Config::resolve(worker.raw.clone(), Path::new(".")).expect("config");
        let environment = Environment {
            read_time: self.read_time,
            ..Environment::default()
        };
        let starting = Daemon::start_in(config, environment);
        let started = self.runtime.block_on(starting);
        started.expect("daemon")
    }

    pub fn spawn(&self, worker: &Worker) -> Child {
        let raw = &worker.raw;
        let file = self.folder.join(format!("{}.json", worker.host));
        let text = json!({
            "deployment": raw.deployment, "host": raw.host, "place": raw.place,
            "zone": raw.zone, "region": raw.region, "service": raw.service, "callers": raw.callers,
            "mesh": raw.mesh, "ops": raw.ops, "target": raw.target,
            "target_health": raw.target_health, "platform": raw.platform,
            "shared_key": raw.shared_key, "seeds": raw.seeds, "log_level": "warn"
        });
        std::fs::write(&file, text.to_string()).expect("settings file");
        let log = std::fs::File::create(file.with_extension("log")).expect("log file");
        Command::new(env!("CARGO_BIN_EXE_lynxcleatd"))
            .arg("--config")
            .arg(&file)
            .stderr(Stdio::from(log))
            .spawn()
            .expect("lynxcleatd")
    }

    /// Waits until every daemon has settings, knows every host, and answers.
    pub fn wait_ready(&self) {
        for worker in self.workers.iter().filter(|w| w.daemon.is_some()) {
            let ready = wait_until(PATIENCE, || {
                worker
                    .status()
                    .is_some_and(|s| s.generation > 0 && s.hosts == self.workers.len())
            });
            let status = worker.status();
            assert!(ready, "{} is not ready: {status:?}", worker.host);
        }
    }

    pub fn client(&self) -> Platform {
        Platform::builder(self.platform.url()).timeout_s(2).build()
    }

    pub fn accept(&self, base: u64, tree: Tree, change_id: &str) -> Accepted {
        let request = AcceptRequest {
            tree,
            base,
            who: "tester".to_owned(),
            note: String::new(),
            change_id: change_id.to_owned(),
            when_ms: 1,
            outcome_timeout: Duration::from_secs(5),
        };
        accept(&self.client(), &request).expect("accepted")
    }

    /// Runs of each operation over all targets.
    pub fn ledger(&self) -> HashMap<String, u32> {
        let mut runs = HashMap::new();
        for worker in &self.workers {
            for (op, count) in worker.target.ledger() {
                *runs.entry(op).or_insert(0) += count;
            }
        }
        runs
    }

    /// What every daemon says of itself and of its newest calls.
    pub fn describe(&self) -> String {
        let mut text = String::new();
        for worker in &self.workers {
            let newest = try_call(&worker.entry.ops, "GET", "/explain", &[], b"");
            let newest = newest.map(|reply| {
                String::from_utf8_lossy(&reply.body[..reply.body.len().min(400)]).into_owned()
            });
            text.push_str(&format!(
                "{} served {} {:?}\n  {newest:?}\n",
                worker.host,
                worker.target.served(),
                worker.status()
            ));
        }
        text
    }

    pub fn kill(&mut self, number: usize) {
        if let Some(Running::Process(mut child)) = self.workers[number].daemon.take() {
            child.kill().expect("kill");
            child.wait().expect("wait");
        }
    }

    pub fn signal(&self, number: usize, name: &str) {
        if let Some(Running::Process(child)) = &self.workers[number].daemon {
            let pid = child.id().to_string();
            let sent = Command::new("kill").args([name, &pid]).status();
            assert!(sent.expect("kill").success());
            if name == "-STOP" {
                let stands = wait_until(PATIENCE, || stands_still(child.id()));
                assert!(stands, "it is stopped");
            }
        }
    }

    pub fn restart(&mut self, number: usize) {
        let child = self.spawn(&self.workers[number]);
        self.workers[number].daemon = Some(Running::Process(child));
    }
}

/// Whether every thread of a process is stopped: the signal is delivered after `kill` ended,
/// and later on a busy machine.
fn stands_still(process: u32) -> bool {
    let tasks = std::fs::read_dir(format!("/proc/{process}/task")).expect("its threads");
    let mut states = tasks.flatten().map(|task| {
        let stat = std::fs::read_to_string(task.path().join("stat")).unwrap_or_default();
        let after_name = stat.rsplit(')').next().unwrap_or_default().trim_start();
        after_name.starts_with('T')
    });
    states.all(|stopped| stopped)
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for worker in &mut self.workers {
            if let Some(Running::Process(child)) = &mut worker.daemon {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
    }
}

impl Worker {
    pub fn status(&self) -> Option<Status> {
        let reply = try_call(&self.entry.ops, "GET", "/status", &[], b"").ok()?;
        serde_json::from_slice(&reply.body).ok()
    }

    /// Value of a metric's line that starts with `name`.
    pub fn metric(&self, name: &str) -> f64 {
        let reply = call(&self.entry.ops, "GET", "/metrics", &[], b"");
        let text = String::from_utf8_lossy(&reply.body).into_owned();
        text.lines()
            .filter(|line| line.starts_with(name))
            .filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok())
            .sum()
    }

    pub fn get(&self, path: &str, headers: &[(&str, &str)]) -> Reply {
        let mut all = vec![("Host", "stock")];
        all.extend_from_slice(headers);
        call(&self.callers, "GET", path, &all, b"")
    }

    pub fn post(&self, headers: &[(&str, &str)], body: &[u8]) -> Reply {
        let mut all = vec![("Host", "stock")];
        all.extend_from_slice(headers);
        call(&self.callers, "POST", "/take", &all, body)
    }

    pub fn ticket(&self) -> String {
        let reply = call(
            &self.callers,
            "GET",
            "/.lynxcleat/tickets?count=1",
            &[("Host", "stock")],
            b"",
        );
        let value: Value = serde_json::from_slice(&reply.body).expect("tickets");
        value["tickets"][0].as_str().expect("a ticket").to_owned()
    }
}

/// Fleets made so far by this process.
static FLEETS: AtomicU32 = AtomicU32::new(0);

/// An IP number of this machine that no other fleet uses, so that ports cannot
/// collide with those of other tests.
pub fn own_ip() -> String {
    let fleet = FLEETS.fetch_add(1, Ordering::Relaxed);
    let process = std::process::id();
    format!(
        "127.{}.{}.{}",
        16 + process % 200,
        process / 200 % 250,
        1 + fleet
    )
}

/// Ports handed out so far by this process.
static PORTS: AtomicU16 = AtomicU16::new(0);

/// An address that nobody else uses: the IP number is the fleet's own, and the port
/// lies below those that the system gives to outgoing connections, one of which could
/// otherwise take it between now and its use.
pub fn free_address(ip: &str) -> String {
    const FIRST: u16 = 10_000;
    const COUNT: u16 = 20_000;
    let port = FIRST + PORTS.fetch_add(1, Ordering::Relaxed) % COUNT;
    format!("{ip}:{port}")
}
