//! Connections to the target: kept open, bounded, and never used again after an
//! exchange that did not end cleanly.
//!
//! HTTP/1.1 does not say to which request an answer belongs. A target that
//! answers twice would give its second answer to the next caller, so a connection
//! rests before it is used again, longest rested first, and one that receives
//! anything while it rests is closed. A second answer that comes later than that
//! can be told only if the target repeats our call header; see `exchange`.

use std::collections::VecDeque;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::sync::{Notify, watch};

use super::ends::Ends;
use super::exchange::TargetBody;
use super::watched::Watched;
use crate::sync::lock;

/// Longest time to open a connection to the target, which is on this host.
const CONNECT_LIMIT: Duration = Duration::from_secs(1);
/// An idle connection older than this is closed rather than used: the target may
/// be about to close it, and a call written then could not be told from one run.
const IDLE_LIMIT: Duration = Duration::from_secs(4);
/// Time that a connection rests after an answer before it is used again.
const REST: Duration = Duration::from_millis(3);

/// Looks at whether the target listens, and the pause before a connection that it took is
/// trusted: a process that ends closes its connections and its listener one after the other.
const LOOKS: u32 = 3;
const LOOK_PAUSE: Duration = Duration::from_millis(5);

/// What is asked on a connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Asked {
    /// Nothing so far.
    Nothing,
    /// A call.
    Call,
    /// The target's load.
    Load,
}

/// What went over a connection so far, for the log.
#[derive(Clone, Copy, Debug)]
pub(super) struct ConnectionHistory {
    /// Number of the connection since the daemon started.
    pub number: u64,
    /// Requests that were written on it and answered.
    pub exchanges: u32,
    /// What the last of them asked.
    pub last: Asked,
    /// When that was answered, or the connection opened.
    pub since: Instant,
}

impl ConnectionHistory {
    fn new(number: u64) -> Self {
        ConnectionHistory {
            number,
            exchanges: 0,
            last: Asked::Nothing,
            since: Instant::now(),
        }
    }

    /// An exchange ended with an answer.
    pub fn answered(&mut self, asked: Asked) {
        self.exchanges += 1;
        self.last = asked;
        self.since = Instant::now();
    }
}

/// A connection that takes one request at a time.
pub(super) struct Sender {
    /// What went over it.
    pub history: ConnectionHistory,
    /// Takes the request.
    pub http: SendRequest<TargetBody>,
    /// Hears when something is written on the connection.
    pub written: watch::Receiver<u64>,
}

/// Why there is no connection to the target. Nothing was written.
#[derive(Debug, Error)]
pub enum PoolError {
    /// The connection cannot be opened.
    #[error("cannot connect: {0}")]
    Connect(#[from] std::io::Error),
    /// The HTTP connection cannot be set up.
    #[error("cannot set up: {0}")]
    SetUp(#[from] hyper::Error),
    /// It took too long.
    #[error("no connection within {CONNECT_LIMIT:?}")]
    TooSlow,
}

struct Idle {
    sender: Sender,
    since: Instant,
}

/// The connections to one target.
pub struct Pool {
    target: SocketAddr,
    limit: AtomicUsize,
    open: Arc<AtomicUsize>,
    closed: Arc<Notify>,
    idle: Mutex<VecDeque<Idle>>,
    /// Connections opened so far.
    opened: AtomicU64,
    /// Ends of the target.
    pub(super) ends: Ends,
}

impl Pool {
    /// No connections yet.
    pub fn new(target: SocketAddr) -> Self {
        Pool {
            target,
            limit: AtomicUsize::new(1),
            open: Arc::default(),
            closed: Arc::default(),
            idle: Mutex::default(),
            opened: AtomicU64::new(0),
            ends: Ends::default(),
        }
    }

    /// Sets the most connections that may be open.
    pub fn set_limit(&self, limit: usize) {
        self.limit.store(limit.max(1), Ordering::Relaxed);
    }

    /// Connections that are open.
    pub fn open(&self) -> usize {
        self.open.load(Ordering::Relaxed)
    }

    /// Opens connections until `count` are open, so that a burst finds them warm.
    pub async fn warm(&self, count: usize) {
        while self.open() < count {
            let Some(place) = self.reserve() else { return };
            match self.connect(place).await {
                Ok(sender) => self.put_back(sender),
                Err(_) => return,
            }
        }
    }

    /// Closes all idle connections: there is reason to think that they are silent.
    pub fn drop_idle(&self) {
        lock(&self.idle).clear();
    }

    /// Closes idle connections that have grown old.
    pub fn drop_old(&self) {
        lock(&self.idle).retain(|idle| idle.since.elapsed() < IDLE_LIMIT);
    }

    /// A connection that is ready for a request: the one that rested longest, or
    /// a new one.
    pub(super) async fn take(&self) -> Result<Sender, PoolError> {
        tokio::time::timeout(CONNECT_LIMIT, self.take_any())
            .await
            .unwrap_or(Err(PoolError::TooSlow))
    }

    async fn take_any(&self) -> Result<Sender, PoolError> {
        loop {
            while let Some(mut idle) = self.pop_rested() {
                let fresh = idle.since.elapsed() < IDLE_LIMIT;
                if fresh && idle.sender.http.ready().await.is_ok() {
                    return Ok(idle.sender);
                }
            }
            if let Some(place) = self.reserve() {
                return self.connect(place).await;
            }
            let closed = self.closed.notified();
            let _ = tokio::time::timeout(REST, closed).await;
        }
    }

    /// Whether nothing listens at the target's address. A connection that it takes all the
    /// same is kept, in place of the one whose loss is the reason to ask.
    pub(super) async fn is_refused(&self) -> bool {
        for _ in 0..LOOKS {
            let Some(place) = self.reserve() else {
                return false;
            };
            match tokio::time::timeout(CONNECT_LIMIT, self.connect(place)).await {
                Ok(Ok(sender)) => {
                    tokio::time::sleep(LOOK_PAUSE).await;
                    if !sender.http.is_closed() {
                        self.put_back(sender);
                        return false;
                    }
                }
                Ok(Err(PoolError::Connect(error))) => {
                    return error.kind() == ErrorKind::ConnectionRefused;
                }
                Ok(Err(_)) | Err(_) => return false,
            }
        }
        false
    }

    /// Whether nothing listens at the target's address, as was found last.
    pub fn is_down(&self) -> bool {
        self.ends.is_down()
    }

    /// Tries whether something listens at the target's address again. A connection that it
    /// takes is kept.
    pub(super) async fn look(&self) {
        let Some(place) = self.reserve() else { return };
        if let Ok(Ok(sender)) = tokio::time::timeout(CONNECT_LIMIT, self.connect(place)).await {
            self.put_back(sender);
        }
    }

    /// Keeps a connection whose last exchange ended cleanly.
    pub(super) fn put_back(&self, sender: Sender) {
        if !sender.http.is_closed() {
            let since = Instant::now();
            lock(&self.idle).push_back(Idle { sender, since });
        }
    }

    fn pop_rested(&self) -> Option<Idle> {
        let mut idle = lock(&self.idle);
        let rested = idle.front()?.since.elapsed() >= REST;
        if rested { idle.pop_front() } else { None }
    }

    async fn connect(&self, place: OpenPlace) -> Result<Sender, PoolError> {
        let stream = TcpStream::connect(self.target).await;
        let stream = stream.inspect_err(|error| self.note_failed(error))?;
        self.ends.listens();
        stream.set_nodelay(true)?;
        let (stream, written) = Watched::new(stream);
        let (http, connection) = http1::handshake(TokioIo::new(stream)).await?;
        tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!("connection to the target: {error}");
            }
            drop(place);
        });
        let history = ConnectionHistory::new(self.opened.fetch_add(1, Ordering::Relaxed));
        Ok(Sender {
            history,
            http,
            written,
        })
    }

    /// A target that takes no further connection may refuse one while it serves others; one
    /// that ended has none.
    fn note_failed(&self, error: &std::io::Error) {
        let is_only_one = self.open() <= 1;
        if error.kind() == ErrorKind::ConnectionRefused && is_only_one {
            self.ends.refused();
        }
    }

    /// Counts one more open connection, if the limit allows it.
    fn reserve(&self) -> Option<OpenPlace> {
        let limit = self.limit.load(Ordering::Relaxed);
        let counted = self
            .open
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, |open| {
                (open < limit).then_some(open + 1)
            });
        counted.ok()?;
        Some(OpenPlace {
            open: Arc::clone(&self.open),
            closed: Arc::clone(&self.closed),
        })
    }
}

/// One open connection, counted until it is dropped.
struct OpenPlace {
    open: Arc<AtomicUsize>,
    closed: Arc<Notify>,
}

impl Drop for OpenPlace {
    fn drop(&mut self) {
        self.open.fetch_sub(1, Ordering::AcqRel);
        self.closed.notify_waiters();
    }
}
