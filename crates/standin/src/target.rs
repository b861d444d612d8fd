//! A target's stand-in: slots, service time, a ledger of what it ran, and faults.
//!
//! The ledger is the oracle of the tests: it counts, by the value of the
//! `x-op` header, how often each operation really ran. The control port, apart
//! from the served one so that faults never reach it, has `GET /health`,
//! `GET /standin/ledger` and `POST /standin/faults`.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use serde_json::json;
use tiny_http::{Method, Request};

use crate::error::StandinError;
use crate::front::{Front, Stutter};
use crate::http::{Listening, json_body, respond_json, respond_status};
use crate::serving::{Call, Done, Notices, Serving};
use crate::sync::lock;

const CONTROL_WORKERS: usize = 2;
/// Pause between two looks at whether a frozen target has been woken.
const THAW_PAUSE: Duration = Duration::from_millis(5);
/// Time for which a request hangs that is to hang.
const HUNG: Duration = Duration::from_secs(1);

/// Options of a target.
#[derive(Clone, Debug)]
pub struct TargetOptions {
    /// Name in its answers.
    pub name: String,
    /// Address to serve on.
    pub address: String,
    /// Address of its control port.
    pub control: String,
    /// Calls served at once.
    pub slots: usize,
    /// Time that serving a call takes.
    pub service: Duration,
}

/// Faults of a target. All are off by default.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct TargetFaults {
    /// Service times are multiplied by this; 0 counts as 1.
    pub slow_factor: u32,
    /// Answers 500 at once to everything.
    pub fail_fast: bool,
    /// Answers 503 and says that nothing was run.
    pub shed: bool,
    /// Serves calls but answers none until switched off.
    pub frozen: bool,
    /// Runs calls and cuts the answers in the middle of their bodies.
    pub cut_answers: bool,
    /// Runs calls and closes the connection without an answer.
    pub drop_answers: bool,
    /// Says on its health endpoint that it drains.
    pub draining: bool,
    /// Path of requests that end it once it has run them, whose body and `authorization` are
    /// absent or say `ends`; a body may be filled up with dots. Nothing where it is empty.
    pub ends_on: String,
    /// Time in milliseconds after which it is back once it ended.
    pub back_ms: u64,
    /// Path of requests that fail here whatever else holds. Nothing where it is empty.
    pub fails_on: String,
    /// How they fail.
    pub failure: BadRun,
    /// What its answers state as its rate limit; nothing where it is empty.
    pub rate_limit: String,
    /// Says in its answers that it leaves.
    pub says_leaving: bool,
    /// Headers of requests whose values its answers repeat, and the headers of the answers.
    pub repeats: Vec<(String, String)>,
    /// Load that its health endpoint claims, instead of the true one.
    pub false_load: Option<u32>,
}

/// What a request does at a target that runs it.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum BadRun {
    /// It is answered with 500.
    #[default]
    Answered,
    /// Its connection is closed without an answer.
    Dropped,
    /// It is answered a second late, after the deadlines of callers who state one.
    Hung,
}

impl TargetFaults {
    fn notices(&self, call: &Call) -> Notices {
        let limit = (!self.rate_limit.is_empty())
            .then(|| ("lynxcleat-rate-limit".to_owned(), self.rate_limit.clone()));
        let leaving = self
            .says_leaving
            .then(|| ("lynxcleat-leaving".to_owned(), "1".to_owned()));
        let repeated = self.repeats.iter().filter_map(|(of, name)| {
            let value = call.header(of)?;
            Some((name.clone(), value.to_owned()))
        });
        limit.into_iter().chain(leaving).chain(repeated).collect()
    }

    /// How a request fails here; nothing where it does not.
    fn failure_of(&self, call: &Call) -> Option<BadRun> {
        let fails = !self.fails_on.is_empty() && call.parts.uri.path() == self.fails_on;
        fails.then_some(self.failure)
    }

    /// Whether a request ends the target: by its path, its body and its caller together.
    fn is_ended_by(&self, call: &Call) -> bool {
        let by_path = !self.ends_on.is_empty() && call.parts.uri.path() == self.ends_on;
        let by_body = call.body.is_empty() || says_ends(&call.body);
        let by_caller = call
            .header("authorization")
            .is_none_or(|name| name == "ends");
        by_path && by_body && by_caller
    }
}

/// Whether a body says `ends`, filled up with any number of dots.
fn says_ends(body: &[u8]) -> bool {
    let filling = body.strip_prefix(b"ends");
    filling.is_some_and(|filling| filling.iter().all(|byte| *byte == b'.'))
}

/// How often each operation ran.
pub type Ledger = HashMap<String, u32>;

struct State {
    name: String,
    slots: usize,
    service: Duration,
    faults: Mutex<TargetFaults>,
    ledger: Mutex<Ledger>,
    served: AtomicU64,
    /// Requests that end it, begun.
    ending: AtomicU64,
    in_flight: AtomicU32,
}

/// A running stand-in for a target.
pub struct TargetStandin {
    state: Arc<State>,
    serving: Serving,
    control: Listening,
    front: Option<Arc<Front>>,
}

impl TargetStandin {
    /// Starts it.
    ///
    /// # Errors
    /// An address that cannot be listened on.
    pub fn start(options: &TargetOptions) -> Result<Self, StandinError> {
        Self::start_behind(options, None)
    }

    /// Starts it behind a front that can spoil its answers on the wire, and that repeats the name
    /// of a call in the answer to it where `names_calls` says so.
    ///
    /// # Errors
    /// An address that cannot be listened on.
    pub fn start_fronted(options: &TargetOptions, names_calls: bool) -> Result<Self, StandinError> {
        Self::start_behind(options, Some(Arc::new(Front::new(names_calls))))
    }

    fn start_behind(
        options: &TargetOptions,
        front: Option<Arc<Front>>,
    ) -> Result<Self, StandinError> {
        let state = Arc::new(State {
            name: options.name.clone(),
            slots: options.slots,
            service: options.service,
            faults: Mutex::default(),
            ledger: Mutex::default(),
            served: AtomicU64::new(0),
            ending: AtomicU64::new(0),
            in_flight: AtomicU32::new(0),
        });
        let answering = Arc::clone(&state);
        let answer = move |call: &Call| answering.serve(call);
        let serving = Serving::start(&options.address, options.slots, front.clone(), answer)?;
        let controlled = Arc::clone(&state);
        let control = Listening::start(&options.control, CONTROL_WORKERS, move |request| {
            controlled.control(request);
        })?;
        Ok(TargetStandin {
            state,
            serving,
            control,
            front,
        })
    }

    /// Address it serves on.
    pub fn address(&self) -> String {
        self.serving.address().to_string()
    }

    /// Address of its control port.
    pub fn control(&self) -> String {
        self.control.address().to_string()
    }

    /// Changes its faults.
    pub fn set_faults(&self, faults: TargetFaults) {
        *lock(&self.state.faults) = faults;
    }

    /// Changes how its answers are spoiled on the wire, where it has a front.
    pub fn set_stutter(&self, stutter: Stutter) {
        if let Some(front) = &self.front {
            front.set(stutter);
        }
    }

    /// How often each operation ran here.
    pub fn ledger(&self) -> Ledger {
        lock(&self.state.ledger).clone()
    }

    /// Ends it as a crash would; it is back after this time.
    pub fn end(&self, back_after: Duration) {
        self.serving.end(back_after);
    }

    /// How often it ended.
    pub fn ends(&self) -> u64 {
        self.serving.ends()
    }

    /// Requests that end it which it began.
    pub fn ending(&self) -> u64 {
        self.state.ending.load(Ordering::Relaxed)
    }

    /// Calls that reached it, served or not.
    pub fn served(&self) -> u64 {
        self.state.served.load(Ordering::Relaxed)
    }
}

impl Drop for TargetStandin {
    fn drop(&mut self) {
        lock(&self.state.faults).frozen = false;
    }
}

impl State {
    /// Serves one call in the thread of a slot.
    fn serve(&self, call: &Call) -> (Done, Notices) {
        self.served.fetch_add(1, Ordering::Relaxed);
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        let faults = lock(&self.faults).clone();
        let done = if faults.fail_fast {
            Done::Status(500)
        } else if faults.shed {
            Done::Shed
        } else {
            self.run(call, &faults)
        };
        self.in_flight.fetch_sub(1, Ordering::Relaxed);
        (done, faults.notices(call))
    }

    fn run(&self, call: &Call, faults: &TargetFaults) -> Done {
        let ends = faults.is_ended_by(call);
        if ends {
            self.ending.fetch_add(1, Ordering::Relaxed);
        }
        thread::sleep(self.service * faults.slow_factor.max(1));
        if let Some(op) = call.header("x-op") {
            *lock(&self.ledger).entry(op.to_owned()).or_default() += 1;
        }
        if ends {
            return Done::End(Duration::from_millis(faults.back_ms));
        }
        let failure = faults.failure_of(call);
        while lock(&self.faults).frozen {
            thread::sleep(THAW_PAUSE);
        }
        match failure {
            Some(BadRun::Answered) => return Done::Status(500),
            Some(BadRun::Dropped) => return Done::Drop,
            Some(BadRun::Hung) => thread::sleep(HUNG),
            None => {}
        }
        let answer = self.answer(call);
        match (faults.drop_answers, faults.cut_answers) {
            (true, _) => Done::Drop,
            (_, true) => Done::Cut(answer),
            _ => Done::Answer(answer),
        }
    }

    /// Echoes what identifies the request, so that a caller can tell its own
    /// answer from any other.
    fn answer(&self, call: &Call) -> Vec<u8> {
        let answer = json!({
            "target": self.name,
            "method": call.parts.method.as_str(),
            "path": call.parts.uri.to_string(),
            "echo": call.header("x-echo").unwrap_or_default(),
            "body": String::from_utf8_lossy(&call.body),
        });
        answer.to_string().into_bytes()
    }

    fn control(&self, mut request: Request) {
        let path = request.url().to_owned();
        match (request.method().clone(), path.as_str()) {
            (Method::Get, "/health") => {
                let faults = lock(&self.faults).clone();
                let load = self.in_flight.load(Ordering::Relaxed);
                let status = if faults.draining { "draining" } else { "ok" };
                let health = json!({
                    "status": status,
                    "load": faults.false_load.unwrap_or(load),
                    "slots": self.slots,
                });
                respond_json(request, &health);
            }
            (Method::Get, "/standin/ledger") => {
                let ledger = lock(&self.ledger).clone();
                respond_json(request, &ledger);
            }
            (Method::Post, "/standin/faults") => {
                let Some(faults) = json_body(&mut request) else {
                    return respond_status(request, 400);
                };
                *lock(&self.faults) = faults;
                respond_status(request, 204);
            }
            _ => respond_status(request, 404),
        }
    }
}

/// Waits until `done` holds, for as long as `limit`. For tests and scripts.
pub fn wait_until(limit: Duration, mut done: impl FnMut() -> bool) -> bool {
    let begun = Instant::now();
    while !done() {
        if begun.elapsed() > limit {
            return false;
        }
        thread::sleep(THAW_PAUSE);
    }
    true
}
