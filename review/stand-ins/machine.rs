//! One machine: the project's process, started as the deploy file says, and a worker beside it.

use std::fs;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStdin, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::base::{Message, Record, call, now, quote, unix_ms};

/// As in the deploy file.
const RUN: &str = "target/release/lynxcleat-sidecar";
const TEMPLATE: &str = "platform/settings.json.template";

/// A request that a worker began.
#[derive(Clone, Debug)]
pub struct Begun {
    pub at: Duration,
    pub id: String,
    pub machine: usize,
}

/// What all machines of a run share.
pub struct Site {
    pub root: PathBuf,
    pub folder: PathBuf,
    pub store: SocketAddr,
    /// Zones, each with its region.
    pub zones: Vec<(&'static str, &'static str)>,
    pub bounds: String,
    pub begun: Mutex<Vec<Begun>>,
    /// Ends of workers: when, at which machine, under which request.
    pub crashes: Mutex<Vec<(Duration, usize, String)>>,
    pub record: Record,
}

pub struct Machine {
    pub number: usize,
    pub node: String,
    pub ip: String,
    pub zone: usize,
    pub service: String,
    pub outbound: SocketAddr,
    pub control: SocketAddr,
    pub ready: SocketAddr,
    pub app: SocketAddr,
    daemon: Option<Child>,
    worker: Option<(Child, ChildStdin)>,
    pub worker_id: String,
    pub born: u64,
    sequence: u64,
    starts: u32,
}

/// A base of loopback addresses that is this run's own.
pub fn addresses() -> String {
    let process = std::process::id();
    format!("127.{}.{}", 20 + process % 200, process / 200 % 250)
}

fn free(ip: &str) -> SocketAddr {
    let listener = TcpListener::bind(format!("{ip}:0")).expect("a free port");
    listener.local_addr().expect("address")
}

impl Machine {
    pub fn new(number: usize, zone: usize, service: &str) -> Machine {
        let ip = format!("{}.{}", addresses(), number + 10);
        Machine {
            number,
            node: format!("sidecar-{number}"),
            zone,
            service: service.to_owned(),
            outbound: free(&ip),
            control: free(&ip),
            ready: free(&ip),
            app: free(&ip),
            ip,
            daemon: None,
            worker: None,
            worker_id: String::new(),
            born: 0,
            sequence: 0,
            starts: 0,
        }
    }

    /// Starts the process of the deploy file with the template filled in.
    pub fn start_daemon(&mut self, site: &Site) {
        let (zone, region) = site.zones[self.zone];
        let zones: Vec<String> = site
            .zones
            .iter()
            .map(|(zone, region)| format!("{}:{}", quote(zone), quote(region)))
            .collect();
        let first = self.starts == 0;
        self.starts += 1;
        let mesh = free(&self.ip).port().to_string();
        let mut text = fs::read_to_string(site.root.join(TEMPLATE)).expect("template");
        let gaps = [
            (
                "{{#bootstrap}}true{{/bootstrap}}{{^bootstrap}}false{{/bootstrap}}",
                first.to_string(),
            ),
            ("{{node}}", self.node.clone()),
            ("{{zone}}", zone.to_owned()),
            ("{{region}}", region.to_owned()),
            ("{{service}}", self.service.clone()),
            ("{{listen.outbound}}", self.outbound.to_string()),
            ("{{listen.control}}", self.control.to_string()),
            ("{{listen.ready}}", self.ready.to_string()),
            ("{{ip}}", self.ip.clone()),
            ("{{portRange.0}}", mesh_port(&self.ip, &mesh)),
            ("{{app}}", self.app.to_string()),
            ("{{provider.addr}}", site.store.to_string()),
            ("{{zones|json}}", format!("{{{}}}", zones.join(","))),
            ("{{bounds|json}}", site.bounds.clone()),
        ];
        for (gap, filling) in gaps {
            text = text.replace(gap, &filling);
        }
        assert!(!text.contains("{{"), "a gap is left: {text}");
        let file = site.folder.join(format!("{}.json", self.node));
        fs::write(&file, text).expect("settings");
        let log = site
            .folder
            .join(format!("{}-{}.log", self.node, self.starts));
        let out = fs::File::create(&log).expect("log");
        let err = out.try_clone().expect("log");
        let mut command = Command::new(site.root.join(RUN));
        command
            .current_dir(&site.root)
            .env_clear()
            .env("LYNXCLEAT_CONFIG", &file);
        for name in ["PATH", "HOME", "LANG"] {
            if let Ok(value) = std::env::var(name) {
                command.env(name, value);
            }
        }
        let daemon = command.stdin(Stdio::null()).stdout(out).stderr(err).spawn();
        self.daemon = Some(daemon.expect("the process of the deploy file"));
        site.record.line(&format!(
            "{} starts, process {}",
            self.node,
            self.daemon.as_ref().expect("it").id()
        ));
    }

    /// SIGKILL.
    pub fn kill_daemon(&mut self, site: &Site) {
        if let Some(mut daemon) = self.daemon.take() {
            let _ = daemon.kill();
            let _ = daemon.wait();
            site.record.say(&format!("{} is killed", self.node));
        }
    }

    pub fn is_ready(&self) -> bool {
        let answer = call(
            self.ready,
            "GET",
            "/lynxcleat/ready",
            "",
            Duration::from_secs(1),
        );
        answer.is_some_and(|answer| answer.status() == 200)
    }

    /// Starts a new incarnation of the worker.
    pub fn start_worker(&mut self, site: &Arc<Site>, id: &str, work_ms: u64, ends_on: &str) {
        id.clone_into(&mut self.worker_id);
        self.born = unix_ms();
        self.sequence = 0;
        let own = std::env::current_exe().expect("own program");
        let mut child = Command::new(own)
            .args([
                "worker",
                "--addr",
                &self.app.to_string(),
                "--id",
                id,
                "--slots",
                "6",
            ])
            .args(["--work-ms", &work_ms.to_string(), "--ends-on", ends_on])
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .expect("a worker");
        let input = child.stdin.take().expect("stdin");
        let mut lines = BufReader::new(child.stdout.take().expect("stdout"));
        let mut first = String::new();
        lines.read_line(&mut first).expect("the worker listens");
        let (site, machine, node, id) = (
            Arc::clone(site),
            self.number,
            self.node.clone(),
            id.to_owned(),
        );
        thread::spawn(move || {
            for line in lines.lines().map_while(Result::ok) {
                let at = now();
                site.record.line(&format!("worker {id} at {node}: {line}"));
                let words: Vec<&str> = line.split(' ').collect();
                match words.as_slice() {
                    ["begin", request, ..] => site.begun.lock().expect("lock").push(Begun {
                        at,
                        id: (*request).to_owned(),
                        machine,
                    }),
                    ["crash", request] => site.crashes.lock().expect("lock").push((
                        at,
                        machine,
                        (*request).to_owned(),
                    )),
                    _ => {}
                }
            }
        });
        self.worker = Some((child, input));
    }

    /// Whether the worker's process still runs.
    pub fn worker_runs(&mut self) -> bool {
        self.worker
            .as_mut()
            .is_some_and(|(child, _)| matches!(child.try_wait(), Ok(None)))
    }

    pub fn tell_worker(&mut self, word: &str) {
        if let Some((_, input)) = &mut self.worker {
            let _ = writeln!(input, "{word}");
        }
    }

    /// The body of the next heartbeat; `seq` rises with each.
    pub fn heartbeat(&mut self, site: &Site, state: &str) -> (String, String) {
        self.sequence += 1;
        let zone = site.zones[self.zone].0;
        let body = format!(
            "{{\"born\":{},\"addr\":\"{}\",\"info\":{{\"service\":{},\"version\":\"v1\",\"zone\":{},\"slots\":6}},\"status\":{{\"state\":\"{state}\",\"seq\":{},\"coldLeft\":\"0ms\"}}}}",
            self.born,
            self.app,
            quote(&self.service),
            quote(zone),
            self.sequence
        );
        (
            format!("/lynxcleat/instances/{}/heartbeat", self.worker_id),
            body,
        )
    }

    pub fn deregister(&self) -> Option<Message> {
        let path = format!("/lynxcleat/instances/{}/deregister", self.worker_id);
        let body = format!("{{\"born\":{}}}", self.born);
        call(self.control, "POST", &path, &body, Duration::from_secs(1))
    }

    pub fn metrics(&self) -> String {
        let to = format!("{}:9100", self.ip).parse().expect("address");
        let answer = call(to, "GET", "/metrics", "", Duration::from_secs(1));
        answer.map_or_else(String::new, |answer| {
            String::from_utf8_lossy(&answer.body).into_owned()
        })
    }
}

/// The port for links stays the same over restarts, as `portRange` does.
fn mesh_port(ip: &str, fresh: &str) -> String {
    static PORTS: Mutex<Vec<(String, String)>> = Mutex::new(Vec::new());
    let mut ports = PORTS.lock().expect("lock");
    if let Some((_, port)) = ports.iter().find(|(known, _)| known == ip) {
        return port.clone();
    }
    ports.push((ip.to_owned(), fresh.to_owned()));
    fresh.to_owned()
}

impl Drop for Machine {
    fn drop(&mut self) {
        self.end();
    }
}

impl Machine {
    /// Ends both processes, by their ids.
    pub fn end(&mut self) {
        if let Some(mut daemon) = self.daemon.take() {
            let _ = daemon.kill();
            let _ = daemon.wait();
        }
        if let Some((mut worker, _)) = self.worker.take() {
            let _ = worker.kill();
            let _ = worker.wait();
        }
    }
}

/// The root of the repository, from which the deploy file's commands run.
pub fn root() -> PathBuf {
    let root = std::env::var("REVIEW_ROOT")
        .map_or_else(|_| std::env::current_dir().expect("folder"), PathBuf::from);
    assert!(Path::new(&root).join(RUN).exists(), "{RUN} is not built");
    root
}
