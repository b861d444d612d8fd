//! One run: traffic, the faults of a plan, the checks while it goes on, and the recovery.

use std::collections::HashMap;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use lynxcleat_standin::{Stutter, TargetFaults};
use rustix::process::Signal;
use tokio::task::JoinHandle;

use crate::callers::{self, Shared};
use crate::fleet::{self, Fleet, SoakError};
use crate::ledger::{Disturbed, Ledger, Violation};
use crate::plan::{Fault, Plan};
use crate::proxy::ProxyMode;
use crate::report::Report;
use crate::watch;

/// Pause between two looks at the plan and at the processes.
const TICK: Duration = Duration::from_millis(20);
/// Time after which another target listens in place of one that left.
const REPLACED_AFTER: Duration = Duration::from_millis(300);
/// Pause between two questions for a daemon's status.
const STATUS_PAUSE: Duration = Duration::from_millis(200);
/// Longest time for daemons to come up, and to recover after the last fault.
const UP_LIMIT: Duration = Duration::from_secs(20);
/// Time after a start in which a daemon counts as disturbed.
const START_TIME: Duration = Duration::from_secs(1);
/// Time for which callers go on after the last fault.
const AFTER: Duration = Duration::from_secs(1);
/// Time for targets to end what they still run.
const REST: Duration = Duration::from_millis(1_500);
/// Part of the hosts killed when most are, as a divisor: all but a third.
const SPARED: usize = 3;
/// Hold limit of the first change that an operator accepts; each change adds one.
const FIRST_CHANGE: u64 = 49;

/// What to run.
#[derive(Clone, Debug)]
pub struct SoakOptions {
    /// The seed of the plan and of the callers.
    pub seed: u64,
    /// How many hosts.
    pub hosts: usize,
    /// Callers for each host.
    pub callers: usize,
    /// How long faults strike.
    pub time: Duration,
    /// The daemon's program.
    pub program: PathBuf,
    /// Folder for settings files and logs.
    pub folder: PathBuf,
}

/// Runs a plan and tells what was seen.
///
/// # Errors
/// A run that could not be made; broken promises are part of the report.
pub async fn run(options: &SoakOptions) -> Result<Report, SoakError> {
    let fleet = Fleet::start(options.hosts, &options.program, &options.folder).await?;
    let mut run = Run::new(options, fleet);
    run.wait_up().await?;
    run.begin();
    run.strike().await;
    run.lift().await;
    run.recover().await;
    run.finish().await
}

/// What a host's process is held to.
#[derive(Clone, Copy, Debug, Default)]
struct Process {
    /// Until when it stays down after it ended.
    down_until: Duration,
    /// Until when it is paused.
    paused_until: Option<Duration>,
    /// Whether its end was asked for.
    is_ending: bool,
    /// Since when it does not run, or not evenly.
    disturbed_from: Option<Duration>,
}

struct Run<'a> {
    options: &'a SoakOptions,
    plan: Plan,
    fleet: Fleet,
    shared: Arc<Shared>,
    processes: Vec<Process>,
    newest: Arc<AtomicU64>,
    changes: u64,
    seen: Arc<Mutex<Vec<Violation>>>,
    tasks: Vec<JoinHandle<()>>,
    watches: Vec<JoinHandle<()>>,
}

impl<'a> Run<'a> {
    fn new(options: &'a SoakOptions, fleet: Fleet) -> Self {
        let daemons = fleet.hosts.iter().map(|host| host.callers).collect();
        let shared = Shared {
            daemons,
            begin: Instant::now(),
            end: options.time + AFTER,
            ledger: Mutex::default(),
            tickets: Mutex::default(),
        };
        Run {
            options,
            plan: Plan::new(options.seed, options.hosts, options.time),
            processes: vec![Process::default(); fleet.hosts.len()],
            fleet,
            shared: Arc::new(shared),
            newest: Arc::new(AtomicU64::new(1)),
            changes: 0,
            seen: Arc::default(),
            tasks: Vec::new(),
            watches: Vec::new(),
        }
    }

    async fn wait_up(&self) -> Result<(), SoakError> {
        let begun = Instant::now();
        for host in &self.fleet.hosts {
            let all = self.fleet.hosts.len();
            loop {
                let status = watch::status(host.ops).await;
                let knows_all = status.is_some_and(|status| status.hosts == all);
                if knows_all && watch::serves(host.callers).await {
                    break;
                }
                if begun.elapsed() > UP_LIMIT {
                    return Err(SoakError::NotUp(UP_LIMIT));
                }
                tokio::time::sleep(STATUS_PAUSE).await;
            }
        }
        Ok(())
    }

    /// Starts traffic and the watch over generations.
    fn begin(&mut self) {
        let shared = Arc::get_mut(&mut self.shared).expect("nothing shares it yet");
        shared.begin = Instant::now();
        for number in 0..self.options.hosts * self.options.callers {
            let host = number % self.options.hosts;
            let shared = Arc::clone(&self.shared);
            let calling = callers::call_on(shared, number, host, self.options.seed);
            self.tasks.push(tokio::spawn(calling));
        }
        for (number, host) in self.fleet.hosts.iter().enumerate() {
            let watching = watch_generations(number, host.ops, Arc::clone(&self.seen));
            self.watches.push(tokio::spawn(watching));
        }
    }

    /// Carries out the plan, and keeps processes as it wants them.
    async fn strike(&mut self) {
        let steps = self.plan.steps.clone();
        let mut ends = Vec::new();
        let mut next = 0;
        while self.shared.now() < self.options.time {
            let now = self.shared.now();
            let (over, kept): (Vec<_>, Vec<_>) = ends.into_iter().partition(|(at, _)| *at <= now);
            ends = kept;
            for (_, fault) in over {
                self.end(fault);
            }
            while let Some(step) = steps.get(next).filter(|step| step.at <= now) {
                self.strike_one(step.fault, now + step.lasts);
                ends.push((now + step.lasts, step.fault));
                next += 1;
            }
            self.keep_processes();
            tokio::time::sleep(TICK).await;
        }
    }

    fn strike_one(&mut self, fault: Fault, until: Duration) {
        match fault {
            Fault::Target { host, trouble } => {
                let faults = fleet::target_faults(Some(trouble));
                self.fleet.hosts[host].target.set_faults(faults);
            }
            Fault::Stutters { host, stutter } => {
                self.fleet.hosts[host].target.set_stutter(stutter);
            }
            Fault::TargetEnds { host } => {
                let lasts = until.saturating_sub(self.shared.now());
                self.fleet.hosts[host].target.end(lasts);
            }
            Fault::TargetLeaves { host } => {
                let faults = TargetFaults {
                    says_leaving: true,
                    ..TargetFaults::default()
                };
                self.fleet.hosts[host].target.set_faults(faults);
            }
            Fault::Platform { trouble } => {
                let faults = fleet::platform_faults(Some(trouble));
                self.fleet.platform.set_faults(faults);
            }
            Fault::PlatformLink { host, mode } => self.fleet.hosts[host].platform_proxy.set(mode),
            Fault::MeshLink { host, mode } => self.fleet.hosts[host].mesh_proxy.set(mode),
            Fault::Terminate { host } => self.terminate(host, until),
            Fault::Kill { host } => self.kill(host, until),
            Fault::KillMost => {
                let spared = self.options.hosts / SPARED;
                for host in spared..self.options.hosts {
                    self.kill(host, until);
                }
            }
            Fault::Pause { host } => self.pause(host, until),
            Fault::Accept => self.accept(),
        }
    }

    fn end(&mut self, fault: Fault) {
        match fault {
            Fault::Target { host, .. } => {
                let faults = fleet::target_faults(None);
                self.fleet.hosts[host].target.set_faults(faults);
            }
            Fault::Stutters { host, .. } => {
                self.fleet.hosts[host].target.set_stutter(Stutter::Absent);
            }
            Fault::Platform { .. } => {
                let faults = fleet::platform_faults(None);
                self.fleet.platform.set_faults(faults);
            }
            Fault::PlatformLink { host, .. } => {
                self.fleet.hosts[host].platform_proxy.set(ProxyMode::Pass);
            }
            Fault::MeshLink { host, .. } => self.fleet.hosts[host].mesh_proxy.set(ProxyMode::Pass),
            Fault::TargetLeaves { host } => {
                let target = &self.fleet.hosts[host].target;
                target.set_faults(TargetFaults::default());
                target.end(REPLACED_AFTER);
            }
            Fault::TargetEnds { .. }
            | Fault::Terminate { .. }
            | Fault::Kill { .. }
            | Fault::KillMost
            | Fault::Pause { .. }
            | Fault::Accept => {}
        }
    }

    /// A second signal would end a stop that goes on, so none is sent.
    fn terminate(&mut self, host: usize, until: Duration) {
        let process = &mut self.processes[host];
        if process.is_ending {
            return;
        }
        process.is_ending = true;
        process.down_until = until;
        self.fleet.signal(host, Signal::TERM);
    }

    fn kill(&mut self, host: usize, until: Duration) {
        let now = self.shared.now();
        let process = &mut self.processes[host];
        process.is_ending = true;
        process.down_until = process.down_until.max(until);
        process.paused_until = None;
        process.disturbed_from.get_or_insert(now);
        self.fleet.kill(host);
    }

    fn pause(&mut self, host: usize, until: Duration) {
        let now = self.shared.now();
        let process = &mut self.processes[host];
        process.disturbed_from.get_or_insert(now);
        process.paused_until = Some(process.paused_until.map_or(until, |at| at.max(until)));
        self.fleet.signal(host, Signal::STOP);
    }

    fn accept(&mut self) {
        let base = self.newest.load(Ordering::Relaxed);
        let hold_limit = FIRST_CHANGE + self.changes;
        self.changes += 1;
        let url = self.fleet.platform.url();
        let newest = Arc::clone(&self.newest);
        self.tasks.push(tokio::spawn(async move {
            if let Some(generation) = fleet::accept_change(url, base, hold_limit).await {
                newest.fetch_max(generation, Ordering::Relaxed);
            }
        }));
    }

    /// Wakes what was paused for long enough, starts what was down for long enough, and
    /// notes what ended by itself.
    fn keep_processes(&mut self) {
        let now = self.shared.now();
        for host in 0..self.processes.len() {
            if self.processes[host]
                .paused_until
                .is_some_and(|at| at <= now)
            {
                self.resume(host);
            }
            if self.fleet.runs(host) {
                continue;
            }
            let process = &mut self.processes[host];
            if !process.is_ending {
                process.is_ending = true;
                process.disturbed_from.get_or_insert(now);
                lock(&self.seen).push(Violation::Ended { host });
            }
            if process.down_until <= now && self.fleet.start_daemon(host).is_ok() {
                process.is_ending = false;
                self.undisturbed(host, now + START_TIME);
            }
        }
    }

    fn resume(&mut self, host: usize) {
        self.processes[host].paused_until = None;
        self.fleet.signal(host, Signal::CONT);
        self.undisturbed(host, self.shared.now());
    }

    fn undisturbed(&mut self, host: usize, to: Duration) {
        if let Some(from) = self.processes[host].disturbed_from.take() {
            let disturbed = Disturbed { host, from, to };
            lock(&self.shared.ledger).disturbed.push(disturbed);
        }
    }

    /// Ends every fault.
    async fn lift(&mut self) {
        self.fleet.platform.set_faults(fleet::platform_faults(None));
        for host in 0..self.fleet.hosts.len() {
            let here = &self.fleet.hosts[host];
            here.target.set_faults(fleet::target_faults(None));
            here.target.set_stutter(Stutter::Absent);
            here.mesh_proxy.set(ProxyMode::Pass);
            here.platform_proxy.set(ProxyMode::Pass);
            self.processes[host].down_until = Duration::ZERO;
            if self.processes[host].paused_until.is_some() {
                self.resume(host);
            }
        }
        while self.shared.now() < self.shared.end {
            self.keep_processes();
            tokio::time::sleep(TICK).await;
        }
    }

    /// Waits until every daemon serves with the newest settings.
    async fn recover(&mut self) {
        let begun = Instant::now();
        let newest = self.newest.load(Ordering::Relaxed);
        let mut waiting: Vec<usize> = (0..self.fleet.hosts.len()).collect();
        while !waiting.is_empty() && begun.elapsed() < UP_LIMIT {
            self.keep_processes();
            let mut missing = Vec::new();
            for host in waiting {
                let here = &self.fleet.hosts[host];
                let status = watch::status(here.ops).await;
                let is_newest = status.is_some_and(|status| status.generation >= newest);
                if !is_newest || !watch::serves(here.callers).await {
                    missing.push(host);
                }
            }
            waiting = missing;
            tokio::time::sleep(STATUS_PAUSE).await;
        }
        for host in waiting {
            let status = watch::status(self.fleet.hosts[host].ops).await;
            let what = format!("wanted generation {newest} and an answer; it says {status:?}");
            lock(&self.seen).push(Violation::NotRecovered { host, what });
        }
    }

    async fn finish(mut self) -> Result<Report, SoakError> {
        for task in std::mem::take(&mut self.tasks) {
            let _ = task.await;
        }
        for task in &self.watches {
            task.abort();
        }
        tokio::time::sleep(REST).await;
        let now = self.shared.now();
        for host in 0..self.processes.len() {
            self.undisturbed(host, now);
        }
        let runs = self.runs();
        let ledger: Ledger = lock(&self.shared.ledger).clone();
        let mut violations = lock(&self.seen).clone();
        violations.extend(ledger.judge(&runs));
        Ok(Report::new(self.plan, &ledger, violations))
    }

    /// How often each operation ran over all targets.
    fn runs(&self) -> HashMap<String, u32> {
        let mut runs = HashMap::new();
        for host in &self.fleet.hosts {
            for (op, count) in host.target.ledger() {
                *runs.entry(op).or_insert(0) += count;
            }
        }
        runs
    }
}

/// Watches that the generation in force never falls within one run of a daemon.
async fn watch_generations(
    host: usize,
    ops: std::net::SocketAddr,
    seen: Arc<Mutex<Vec<Violation>>>,
) {
    let mut last: Option<watch::Status> = None;
    loop {
        tokio::time::sleep(STATUS_PAUSE).await;
        let Some(status) = watch::status(ops).await else {
            continue;
        };
        let same_run = last
            .as_ref()
            .filter(|last| last.incarnation == status.incarnation);
        if let Some(before) = same_run
            && status.generation < before.generation
        {
            lock(&seen).push(Violation::FellBack {
                host,
                from: before.generation,
                to: status.generation,
            });
        }
        last = Some(status);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
