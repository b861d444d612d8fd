//! Callers: each keeps a connection to one daemon for as long as it holds, and calls one
//! after the other.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use http_body_util::{BodyExt, Full};
use hyper::body::Bytes;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use serde::Deserialize;
use tokio::net::TcpStream;

use crate::ledger::{CallRecord, Heard, Kind, Ledger};

/// Deadline that callers name, in milliseconds.
const DEADLINE_MS: u64 = 800;
/// Time after which a call counts as unanswered: the deadline, and what a busy machine adds.
const ANSWER_LIMIT: Duration = Duration::from_millis(DEADLINE_MS + 3_000);
/// Longest time to make a connection.
const CONNECT_LIMIT: Duration = Duration::from_secs(1);
/// Pause between two calls of a caller, in milliseconds.
const THINK_MS: (u64, u64) = (1, 30);
/// Tries of an operation whose outcome is not known.
const TRIES: usize = 3;
/// Service that is called.
const SERVICE: &str = "stock";

type Connection = SendRequest<Full<Bytes>>;

/// What callers share.
#[derive(Debug)]
pub struct Shared {
    /// Where each daemon takes calls, by number of its host.
    pub daemons: Vec<SocketAddr>,
    /// When traffic began.
    pub begin: Instant,
    /// When callers end.
    pub end: Duration,
    /// Where tries are recorded.
    pub ledger: Mutex<Ledger>,
    /// Tickets that answers brought.
    pub tickets: Mutex<Vec<String>>,
}

impl Shared {
    /// Time since traffic began.
    pub fn now(&self) -> Duration {
        self.begin.elapsed()
    }
}

#[derive(Debug)]
struct Call {
    op: String,
    kind: Kind,
    ticket: Option<String>,
}

#[derive(Deserialize)]
struct Echo {
    echo: String,
    path: String,
    body: String,
}

/// Calls a daemon until the end.
pub async fn call_on(shared: Arc<Shared>, number: usize, host: usize, seed: u64) {
    let mut caller = Caller {
        shared,
        host,
        connection: None,
        rng: SmallRng::seed_from_u64(seed ^ number as u64),
    };
    let mut next = 0;
    while caller.shared.now() < caller.shared.end {
        let op = format!("{number}-{next}");
        next += 1;
        caller.operate(op).await;
        let pause = caller.rng.random_range(THINK_MS.0..=THINK_MS.1);
        tokio::time::sleep(Duration::from_millis(pause)).await;
    }
}

struct Caller {
    shared: Arc<Shared>,
    host: usize,
    connection: Option<Connection>,
    rng: SmallRng,
}

impl Caller {
    /// One operation with its repetitions: under a ticket, an outcome that is not known is
    /// asked for again, at any daemon.
    async fn operate(&mut self, op: String) {
        let ticket = lock(&self.shared.tickets).pop();
        let (kind, ticket) = match self.rng.random_range(0..4) {
            0 | 1 => (Kind::Lookup, None),
            2 => (Kind::Plain, None),
            _ if ticket.is_some() => (Kind::Ticketed, ticket),
            _ => (Kind::Plain, None),
        };
        let call = Call { op, kind, ticket };
        let own = self.host;
        for _ in 0..TRIES {
            let heard = self.attempt(&call).await;
            let known = !matches!(heard, Heard::Unknown | Heard::Cut | Heard::Nothing);
            if known || kind == Kind::Plain {
                break;
            }
            let other = self.any_host();
            self.move_to(other);
        }
        self.move_to(own);
    }

    fn any_host(&mut self) -> usize {
        self.rng.random_range(0..self.shared.daemons.len())
    }

    fn move_to(&mut self, host: usize) {
        if host != self.host {
            self.host = host;
            self.connection = None;
        }
    }

    async fn attempt(&mut self, call: &Call) -> Heard {
        let sent = self.shared.now();
        let heard = match tokio::time::timeout(ANSWER_LIMIT, self.exchange(call)).await {
            Ok(heard) => heard,
            Err(_) => {
                self.connection = None;
                Heard::Nothing
            }
        };
        let record = CallRecord {
            op: call.op.clone(),
            kind: call.kind,
            host: self.host,
            sent,
            ended: self.shared.now(),
            heard: heard.clone(),
        };
        lock(&self.shared.ledger).calls.push(record);
        heard
    }

    async fn exchange(&mut self, call: &Call) -> Heard {
        let mut request = request(call);
        loop {
            let Some(mut connection) = self.take_connection().await else {
                return Heard::NotSent;
            };
            match connection.try_send_request(request).await {
                Ok(response) => return self.read(connection, response, call).await,
                // The daemon had closed it while it was idle: nothing was sent.
                Err(mut error) => match error.take_message() {
                    Some(unsent) => request = unsent,
                    None => return Heard::Cut,
                },
            }
        }
    }

    async fn take_connection(&mut self) -> Option<Connection> {
        if let Some(mut kept) = self.connection.take()
            && kept.ready().await.is_ok()
        {
            return Some(kept);
        }
        let address = self.shared.daemons[self.host];
        let connecting = TcpStream::connect(address);
        let stream = tokio::time::timeout(CONNECT_LIMIT, connecting).await;
        let stream = stream.ok()?.ok()?;
        let _ = stream.set_nodelay(true);
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
        tokio::spawn(async move {
            let _ = connection.await;
        });
        Some(sender)
    }

    async fn read(
        &mut self,
        connection: Connection,
        response: Response<hyper::body::Incoming>,
        call: &Call,
    ) -> Heard {
        let (head, body) = response.into_parts();
        let Ok(body) = body.collect().await else {
            return Heard::Cut;
        };
        if !connection.is_closed() {
            self.connection = Some(connection);
        }
        let text = |name: &str| head.headers.get(name).and_then(|value| value.to_str().ok());
        if let Some(ticket) = text("lynxcleat-ticket") {
            lock(&self.shared.tickets).push(ticket.to_owned());
        }
        match text("lynxcleat-outcome") {
            Some("not-run") => Heard::NotRun,
            Some("unknown") => Heard::Unknown,
            _ => Heard::Answered {
                success: head.status.is_success(),
                own: !head.status.is_success() || is_own(&body.to_bytes(), call),
            },
        }
    }
}

fn request(call: &Call) -> Request<Full<Bytes>> {
    let method = match call.kind {
        Kind::Lookup => "GET",
        Kind::Ticketed | Kind::Plain => "POST",
    };
    let mut request = Request::builder()
        .method(method)
        .uri(path(call))
        .header("host", SERVICE)
        .header("x-echo", &call.op)
        .header("x-op", &call.op)
        .header("lynxcleat-deadline-ms", DEADLINE_MS);
    if let Some(ticket) = &call.ticket {
        request = request.header("lynxcleat-ticket", ticket);
    }
    let body = Full::new(Bytes::from(body(call)));
    request.body(body).expect("a request of known parts")
}

fn path(call: &Call) -> String {
    format!("/items/{}", call.op)
}

fn body(call: &Call) -> String {
    match call.kind {
        Kind::Lookup => String::new(),
        Kind::Ticketed | Kind::Plain => format!("body of {}", call.op),
    }
}

fn is_own(answer: &[u8], call: &Call) -> bool {
    let Ok(echo) = serde_json::from_slice::<Echo>(answer) else {
        return false;
    };
    echo.echo == call.op && echo.path == path(call) && echo.body == body(call)
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner)
}
