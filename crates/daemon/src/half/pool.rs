//! Connections to the target: kept open, bounded, and never used again after an
//! exchange that did not end cleanly.
//!
//! HTTP/1.1 does not say to which request an answer belongs. Calls and questions for the load
//! have connections of their own; a connection rests before it is used again, longest rested
//! first, and one that receives anything while it rests is closed. What comes later than that
//! is matched with the call by its name; see [`lynxcleat_policy::ResponseMatcher`].

use std::collections::VecDeque;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use lynxcleat_policy::{Micros, QueryConnections, ResponseNaming};
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::sync::Notify;

use super::connection::{Connection, Rest};
use super::ends::Ends;
use crate::answer_memory::AnswerMemory;
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

/// Why there is no connection to the target. Nothing was written.
#[derive(Debug, Error)]
pub enum PoolError {
    /// The connection cannot be opened.
    #[error("cannot connect: {0}")]
    Connect(#[from] std::io::Error),
    /// It took too long.
    #[error("no connection within {CONNECT_LIMIT:?}")]
    TooSlow,
}

/// What a connection is used for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Purpose {
    /// Calls.
    Calls,
    /// Questions for the load.
    Questions,
}

/// Which connection a question for the load goes over.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum QuestionConnection {
    /// One that is kept for other questions. A surplus answer to the question before may be taken for
    /// its own.
    Shared,
    /// One of its own.
    Single,
}

struct Idle {
    connection: Connection,
    since: Instant,
}

impl Idle {
    fn is_usable(&self) -> bool {
        self.since.elapsed() < IDLE_LIMIT && self.connection.is_quiet()
    }
}

/// Idle connections by use, each longest rested first.
#[derive(Default)]
struct IdleConnections {
    calls: VecDeque<Idle>,
    questions: VecDeque<Idle>,
    /// Whether those of questions are kept.
    queries: QueryConnections,
}

impl IdleConnections {
    fn of(&mut self, purpose: Purpose) -> &mut VecDeque<Idle> {
        match purpose {
            Purpose::Calls => &mut self.calls,
            Purpose::Questions => &mut self.questions,
        }
    }

    fn retain(&mut self, keep: impl Fn(&Idle) -> bool) {
        self.calls.retain(&keep);
        self.questions.retain(&keep);
    }

    /// Takes out those that are not to be used again.
    fn take_unfit(&mut self, purpose: Purpose) -> Vec<Idle> {
        let all = std::mem::take(self.of(purpose));
        let (usable, unfit): (Vec<Idle>, Vec<Idle>) = all.into_iter().partition(Idle::is_usable);
        *self.of(purpose) = usable.into();
        unfit
    }

    /// Closes one of the other purpose, or else one that rested and may not carry what is to be
    /// sent, the longest rested.
    fn make_room(&mut self, purpose: Purpose, is_fit: impl Fn(&Connection) -> bool) -> bool {
        let other = match purpose {
            Purpose::Calls => &mut self.questions,
            Purpose::Questions => &mut self.calls,
        };
        let is_closed = other.pop_front().is_some();
        is_closed || self.take_rested(purpose, |idle| !is_fit(idle)).is_some()
    }

    /// Takes out the longest rested of those that are fit.
    fn take_rested(
        &mut self,
        purpose: Purpose,
        is_fit: impl Fn(&Connection) -> bool,
    ) -> Option<Idle> {
        let idle = self.of(purpose);
        let is_ready = |idle: &Idle| idle.since.elapsed() >= REST && is_fit(&idle.connection);
        let at = idle.iter().position(is_ready)?;
        idle.remove(at)
    }
}

/// The connections to one target.
pub struct Pool {
    target: SocketAddr,
    naming: ResponseNaming,
    limit: AtomicUsize,
    open: Arc<AtomicUsize>,
    closed: Arc<Notify>,
    idle: Mutex<IdleConnections>,
    /// Connections opened so far.
    opened: AtomicU64,
    since: Instant,
    /// Memory of the answers that are read.
    pub(super) memory: AnswerMemory,
    /// Ends of the target.
    pub(super) ends: Ends,
}

impl Pool {
    /// No connections yet.
    pub fn new(target: SocketAddr, naming: ResponseNaming) -> Self {
        Pool {
            target,
            naming,
            limit: AtomicUsize::new(1),
            open: Arc::default(),
            closed: Arc::default(),
            idle: Mutex::default(),
            opened: AtomicU64::new(0),
            since: Instant::now(),
            memory: AnswerMemory::default(),
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
                Ok(connection) => self.put_back(connection, Purpose::Calls),
                Err(_) => return,
            }
        }
    }

    /// Closes all idle connections: there is reason to think that they are silent.
    pub fn drop_idle(&self) {
        lock(&self.idle).retain(|_| false);
    }

    /// Closes idle connections that have grown old, ended, or received something.
    pub fn drop_old(&self) {
        for purpose in [Purpose::Calls, Purpose::Questions] {
            let unfit = lock(&self.idle).take_unfit(purpose);
            for idle in unfit {
                self.note_surplus(&idle.connection, purpose);
            }
        }
    }

    /// A connection that is ready for a call: the one that rested longest of those on which the
    /// answer to it can be told from others, or a new one.
    pub(super) async fn take_for_call(&self, call: &str) -> Result<Connection, PoolError> {
        let is_fit = |connection: &Connection| connection.matcher.may_send(call);
        self.take(Purpose::Calls, is_fit).await
    }

    /// A connection that is ready for a question.
    pub(super) async fn take_for_question(&self) -> Result<Connection, PoolError> {
        self.take(Purpose::Questions, |_| true).await
    }

    async fn take(
        &self,
        purpose: Purpose,
        is_fit: impl Fn(&Connection) -> bool,
    ) -> Result<Connection, PoolError> {
        tokio::time::timeout(CONNECT_LIMIT, self.take_any(purpose, is_fit))
            .await
            .unwrap_or(Err(PoolError::TooSlow))
    }

    /// A new connection.
    pub(super) async fn take_new(&self, purpose: Purpose) -> Result<Connection, PoolError> {
        tokio::time::timeout(CONNECT_LIMIT, self.connect_in_turn(purpose))
            .await
            .unwrap_or(Err(PoolError::TooSlow))
    }

    async fn connect_in_turn(&self, purpose: Purpose) -> Result<Connection, PoolError> {
        loop {
            if let Some(place) = self.reserve() {
                return self.connect(place).await;
            }
            self.wait_for_room(purpose, |_| false).await;
        }
    }

    async fn take_any(
        &self,
        purpose: Purpose,
        is_fit: impl Fn(&Connection) -> bool,
    ) -> Result<Connection, PoolError> {
        let next = || lock(&self.idle).take_rested(purpose, &is_fit);
        loop {
            while let Some(idle) = next() {
                if idle.is_usable() {
                    return Ok(idle.connection);
                }
                self.note_surplus(&idle.connection, purpose);
            }
            if let Some(place) = self.reserve() {
                return self.connect(place).await;
            }
            self.wait_for_room(purpose, &is_fit).await;
        }
    }

    /// Closes an idle connection of the other purpose, or waits until one is closed or rested.
    async fn wait_for_room(&self, purpose: Purpose, is_fit: impl Fn(&Connection) -> bool) {
        let closed = self.closed.notified();
        if !lock(&self.idle).make_room(purpose, is_fit) {
            let _ = tokio::time::timeout(REST, closed).await;
        }
    }

    /// Logs what came on an idle connection that is not used again.
    fn note_surplus(&self, connection: &Connection, purpose: Purpose) {
        if connection.rest() != Rest::Surplus {
            return;
        }
        if purpose == Purpose::Questions {
            let mut idle = lock(&self.idle);
            idle.queries.on_surplus(self.now());
            idle.questions.clear();
        }
        let history = &connection.history;
        log::warn!(
            connection = history.number,
            exchanges = history.exchanges,
            asked_before:? = history.last,
            idle_ms = history.since.elapsed().as_millis() as u64;
            "the target sent something that was not asked for"
        );
    }

    fn now(&self) -> Micros {
        Micros::try_from(self.since.elapsed().as_micros()).unwrap_or(Micros::MAX)
    }

    /// Whether nothing listens at the target's address. A connection that it takes all the
    /// same is kept, in place of the one whose loss is the reason to ask.
    pub(super) async fn is_refused(&self) -> bool {
        for _ in 0..LOOKS {
            let Some(place) = self.reserve() else {
                return false;
            };
            match tokio::time::timeout(CONNECT_LIMIT, self.connect(place)).await {
                Ok(Ok(connection)) => {
                    tokio::time::sleep(LOOK_PAUSE).await;
                    if connection.rest() != Rest::Ended {
                        self.put_back(connection, Purpose::Calls);
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
        let connected = tokio::time::timeout(CONNECT_LIMIT, self.connect(place)).await;
        if let Ok(Ok(connection)) = connected {
            self.put_back(connection, Purpose::Calls);
        }
    }

    /// Keeps a connection whose last exchange ended cleanly.
    pub(super) fn put_back(&self, connection: Connection, purpose: Purpose) {
        let mut idle = lock(&self.idle);
        if purpose == Purpose::Questions && !idle.queries.is_reusable(self.now()) {
            return;
        }
        let since = Instant::now();
        idle.of(purpose).push_back(Idle { connection, since });
    }

    async fn connect(&self, place: OpenPlace) -> Result<Connection, PoolError> {
        let stream = TcpStream::connect(self.target).await;
        let stream = stream.inspect_err(|error| self.note_failed(error))?;
        self.ends.listens();
        stream.set_nodelay(true)?;
        let number = self.opened.fetch_add(1, Ordering::Relaxed);
        Ok(Connection::new(stream, number, self.naming, place))
    }

    /// A target that takes no further connection may refuse one while it serves others; one
    /// that ended has none.
    fn note_failed(&self, error: &std::io::Error) {
        lock(&self.idle).retain(|idle| idle.connection.rest() != Rest::Ended);
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
pub(super) struct OpenPlace {
    open: Arc<AtomicUsize>,
    closed: Arc<Notify>,
}

impl Drop for OpenPlace {
    fn drop(&mut self) {
        self.open.fetch_sub(1, Ordering::AcqRel);
        self.closed.notify_waiters();
    }
}
