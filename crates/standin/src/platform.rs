//! The platform's stand-in: table, objects and host list over HTTP.
//!
//! `POST /standin/faults` changes its faults while it runs.

use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use lynxcleat_store::{HostEntry, ReadReply, ReadRequest, ScanRequest, Txn};
use serde::{Deserialize, Serialize};
use tiny_http::{Method, Request, Response};

use crate::error::StandinError;
use crate::http::{Listening, body, json_body, respond_json, respond_status};
use crate::sync::lock;
use crate::table::{Hosts, Objects, Table};

const WORKERS: usize = 16;

/// Faults of the platform. All are off by default.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// Answers 503 to everything.
    pub down: bool,
    /// Delay before every answer, in milliseconds.
    pub delay_ms: u64,
    /// Writes that take effect and whose reply is lost, counted down.
    pub lose_replies: u32,
    /// Age of what reads return, in milliseconds.
    pub stale_reads_ms: u64,
    /// Lag of the host list, in milliseconds.
    pub list_lag_ms: u64,
}

/// Requests that the platform answered.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct PlatformCounts {
    /// Reads of the table, the objects and the list.
    pub reads: u64,
    /// Transactions and objects written.
    pub writes: u64,
}

#[derive(Default)]
struct State {
    faults: Mutex<PlatformFaults>,
    counts: Mutex<PlatformCounts>,
    table: Mutex<Table>,
    objects: Mutex<Objects>,
    hosts: Mutex<Hosts>,
}

/// A running stand-in for the platform.
pub struct PlatformStandin {
    state: Arc<State>,
    listening: Listening,
}

impl PlatformStandin {
    /// Starts it on `address`; port 0 takes any free port.
    ///
    /// # Errors
    /// An address that cannot be listened on.
    pub fn start(address: &str) -> Result<Self, StandinError> {
        let state = Arc::new(State::default());
        let answering = Arc::clone(&state);
        let listening =
            Listening::start(address, WORKERS, move |request| answering.answer(request))?;
        Ok(PlatformStandin { state, listening })
    }

    /// Its URL.
    pub fn url(&self) -> String {
        format!("http://{}", self.listening.address())
    }

    /// Changes its faults.
    pub fn set_faults(&self, faults: PlatformFaults) {
        *lock(&self.state.faults) = faults;
    }

    /// Changes a host's entry in the list.
    pub fn put_host(&self, entry: HostEntry) {
        lock(&self.state.hosts).put(entry);
    }

    /// Requests answered so far.
    pub fn counts(&self) -> PlatformCounts {
        *lock(&self.state.counts)
    }
}

impl State {
    fn answer(&self, request: Request) {
        if request.url().starts_with("/standin/") {
            return self.control(request);
        }
        let faults = lock(&self.faults).clone();
        thread::sleep(Duration::from_millis(faults.delay_ms));
        if faults.down {
            return respond_status(request, 503);
        }
        let path = request.url().to_owned();
        match (request.method().clone(), path.as_str()) {
            (Method::Post, "/table/read") => self.read(request, &faults),
            (Method::Post, "/table/scan") => self.scan(request, &faults),
            (Method::Post, "/table/write") => self.write(request),
            (Method::Get, path) if path.starts_with("/hosts?after=") => {
                self.list(request, path, &faults);
            }
            (Method::Get, path) if path.starts_with("/objects/") => self.get(request, path),
            (Method::Put, path) if path.starts_with("/objects/") => self.put(request, path),
            _ => respond_status(request, 404),
        }
    }

    fn read(&self, mut request: Request, faults: &PlatformFaults) {
        lock(&self.counts).reads += 1;
        let Some(wanted) = json_body::<ReadRequest>(&mut request) else {
            return respond_status(request, 400);
        };
        let age = Duration::from_millis(faults.stale_reads_ms);
        let table = lock(&self.table);
        let rows = wanted.keys.iter().map(|key| table.read(key, age)).collect();
        drop(table);
        respond_json(request, &ReadReply { rows });
    }

    fn scan(&self, mut request: Request, faults: &PlatformFaults) {
        lock(&self.counts).reads += 1;
        let Some(wanted) = json_body::<ScanRequest>(&mut request) else {
            return respond_status(request, 400);
        };
        let age = Duration::from_millis(faults.stale_reads_ms);
        let rows = lock(&self.table).scan(&wanted.prefix, &wanted.after, wanted.limit, age);
        respond_json(request, &ReadReply { rows });
    }

    fn write(&self, mut request: Request) {
        lock(&self.counts).writes += 1;
        let Some(txn) = json_body::<Txn>(&mut request) else {
            return respond_status(request, 400);
        };
        let reply = lock(&self.table).write(txn);
        if self.take_lost_reply() {
            drop(request.into_writer());
            return;
        }
        respond_json(request, &reply);
    }

    fn take_lost_reply(&self) -> bool {
        let mut faults = lock(&self.faults);
        let lose = faults.lose_replies > 0;
        faults.lose_replies = faults.lose_replies.saturating_sub(1);
        lose
    }

    fn list(&self, request: Request, path: &str, faults: &PlatformFaults) {
        lock(&self.counts).reads += 1;
        let Some((after, limit)) = page_asked(path) else {
            return respond_status(request, 400);
        };
        let lag = Duration::from_millis(faults.list_lag_ms);
        let page = lock(&self.hosts).page(after, limit, lag);
        respond_json(request, &page);
    }

    fn get(&self, request: Request, path: &str) {
        lock(&self.counts).reads += 1;
        let found = lock(&self.objects).get(path.trim_start_matches("/objects/"));
        match found {
            Some(content) => {
                let _ = request.respond(Response::from_data(content));
            }
            None => respond_status(request, 404),
        }
    }

    fn put(&self, mut request: Request, path: &str) {
        lock(&self.counts).writes += 1;
        let content = body(&mut request);
        lock(&self.objects).put(path.trim_start_matches("/objects/"), content);
        respond_status(request, 204);
    }

    fn control(&self, mut request: Request) {
        let path = request.url().to_owned();
        match (request.method().clone(), path.as_str()) {
            (Method::Post, "/standin/faults") => {
                let Some(faults) = json_body(&mut request) else {
                    return respond_status(request, 400);
                };
                *lock(&self.faults) = faults;
                respond_status(request, 204);
            }
            (Method::Post, "/standin/hosts") => {
                let Some(entry) = json_body(&mut request) else {
                    return respond_status(request, 400);
                };
                lock(&self.hosts).put(entry);
                respond_status(request, 204);
            }
            (Method::Get, "/standin/counts") => {
                let counts = *lock(&self.counts);
                respond_json(request, &counts);
            }
            _ => respond_status(request, 404),
        }
    }
}

/// Version and limit of `/hosts?after=N&limit=M`.
fn page_asked(path: &str) -> Option<(u64, usize)> {
    let (after, limit) = path.strip_prefix("/hosts?after=")?.split_once("&limit=")?;
    Some((after.parse().ok()?, limit.parse().ok()?))
}
