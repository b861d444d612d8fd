//! Bodies in pieces on their way to the target.
//!
//! Each has a window: what arrived and was not yet written to the target. A piece
//! counts until its bytes are let go of by the connection to the target, and the window
//! is opened further by as much. A body whose pieces stop before the last one is cut,
//! and so is the connection that it was written on.

use std::collections::HashMap;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use futures_util::StreamExt;
use hyper::body::{Body, Bytes, Frame as BodyFrame, SizeHint};
use lynxcleat_policy::{AttemptId, BodyCreditScheduler, Micros, ReceiveWindow};
use lynxcleat_wire::{BodyAnnouncement, BodyChunkFrame, Frame};
use serde_bytes::ByteBuf;
use thiserror::Error;

use crate::clock::Clock;
use crate::mesh::link::Link;
use crate::metrics::{Metrics, count};
use crate::sync::lock;

/// The pieces stopped before the last one.
#[derive(Clone, Copy, Debug, Error)]
#[error("the body was cut")]
pub(super) struct BodyCut;

/// Pieces of one attempt's body.
type Key = (u64, AttemptId);

/// Bytes of all bodies in pieces that are on their way to this daemon at once: a small message
/// waits behind them for 52 ms on a link of 10 Mbit/s, and they keep such a link busy over a
/// round trip of as long.
const ON_THE_WAY_BYTES: u64 = 64 << 10;
/// Bytes of bodies that wait for their turn, from which on a further body goes elsewhere if it
/// can: half a second on a link of 10 Mbit/s.
const BACKLOG_BYTES: u64 = 640 << 10;
/// Time between two looks at whether bodies that wait may send.
const LOOK_TIME: Duration = Duration::from_millis(50);

/// The bodies in pieces that are on their way.
pub struct Bodies {
    arriving: Arc<Mutex<HashMap<Key, Arriving>>>,
    turns: Arc<Turns>,
}

/// Lets bodies come in their turn.
struct Turns {
    clock: Clock,
    meter: Mutex<BodyCreditScheduler<Key>>,
    /// The links that bodies come on.
    links: Mutex<HashMap<Key, Arc<Link>>>,
}

impl Turns {
    /// There is room for more of a body.
    fn want(&self, key: Key, bytes: u64) {
        // Bytes of a body that ended may be let go of later.
        {
            let links = lock(&self.links);
            if links.contains_key(&key) {
                lock(&self.meter).request(key, bytes);
            }
        }
        self.go_on();
    }

    fn arrived(&self, key: Key, bytes: u64) {
        lock(&self.meter).on_received(key, bytes);
        self.go_on();
    }

    fn end(&self, key: Key) {
        {
            let mut links = lock(&self.links);
            links.remove(&key);
            lock(&self.meter).remove(key);
        }
        self.go_on();
    }

    /// Tells the bodies whose turn it is.
    fn go_on(&self) {
        loop {
            let next = lock(&self.meter).next_grant(self.clock.now());
            let Some((key, bytes)) = next else { return };
            let link = lock(&self.links).get(&key).cloned();
            let attempt = key.1;
            if let Some(link) = link {
                let _ = link.send(Frame::Window { attempt, bytes });
            }
        }
    }
}

struct Arriving {
    window: Arc<Window>,
    pieces: flume::Sender<Piece>,
}

struct Piece {
    bytes: Bytes,
    last: bool,
}

/// The window of one body, shared by all that hold pieces of it.
struct Window {
    clock: Clock,
    turns: Arc<Turns>,
    key: Key,
    state: Mutex<ReceiveWindow>,
    /// When the last piece arrived; 0 before.
    whole_at: AtomicU64,
    /// Whether some of the body may have been written to the target.
    begun: AtomicBool,
    /// Whether the connection to the target was given the last piece.
    handed_over: AtomicBool,
}

impl Window {
    fn open(&self) {
        let bytes = lock(&self.state).open();
        self.tell(bytes);
    }

    fn taken(&self, bytes: u64) {
        let more = lock(&self.state).release(bytes);
        if let Some(bytes) = more {
            self.tell(bytes);
        }
    }

    fn tell(&self, bytes: u64) {
        self.turns.want(self.key, bytes);
    }
}

/// The bytes of a piece; when they are dropped, the window is opened further.
struct Held {
    bytes: ByteBuf,
    window: Arc<Window>,
}

impl AsRef<[u8]> for Held {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.window.taken(self.bytes.len() as u64);
    }
}

impl Bodies {
    /// No body is on its way.
    pub fn new(clock: Clock) -> Self {
        Bodies {
            arriving: Arc::default(),
            turns: Arc::new(Turns {
                clock,
                meter: Mutex::new(BodyCreditScheduler::new(ON_THE_WAY_BYTES)),
                links: Mutex::default(),
            }),
        }
    }

    /// Whether so many bodies wait here that a further one is better sent elsewhere.
    pub(super) fn is_behind(&self) -> bool {
        lock(&self.turns.meter).backlog() >= BACKLOG_BYTES
    }

    /// Never ends: lets bodies go on whose turn comes since others do not use theirs.
    pub(super) async fn go_on(&self) -> ! {
        loop {
            tokio::time::sleep(LOOK_TIME).await;
            self.turns.go_on();
        }
    }

    /// Expects the body of an attempt. Nothing comes before its window is opened.
    pub(super) fn expect(
        &self,
        link: &Arc<Link>,
        attempt: AttemptId,
        (to_come, window): (BodyAnnouncement, usize),
    ) -> Expected {
        let (pieces, arrived) = flume::unbounded();
        let key = (link.id, attempt);
        lock(&self.turns.links).insert(key, Arc::clone(link));
        let window = Arc::new(Window {
            clock: self.turns.clock,
            turns: Arc::clone(&self.turns),
            key,
            state: Mutex::new(ReceiveWindow::new(window as u64, to_come.length)),
            whole_at: AtomicU64::new(0),
            begun: AtomicBool::new(false),
            handed_over: AtomicBool::new(false),
        });
        let arriving = Arriving {
            window: Arc::clone(&window),
            pieces,
        };
        lock(&self.arriving).insert(key, arriving);
        Expected {
            arriving: Arc::clone(&self.arriving),
            key,
            length: to_come.length,
            window,
            arrived,
        }
    }

    /// A piece arrived. One that may not come cuts its body.
    pub fn take_piece(&self, metrics: &Metrics, link: &Link, piece: BodyChunkFrame) {
        let key = (link.id, piece.attempt);
        let mut arriving = lock(&self.arriving);
        let Some(body) = arriving.get(&key) else {
            drop(arriving);
            count(&metrics.dropped_answers, "piece");
            return;
        };
        let arrived = lock(&body.window.state).receive(piece.bytes.len() as u64, piece.last);
        if let Err(fault) = arrived {
            arriving.remove(&key);
            drop(arriving);
            log::warn!(from = link.peer.host.as_str(); "piece of a body refused: {fault}");
            return;
        }
        if piece.last {
            let now = body.window.clock.now().max(1);
            body.window.whole_at.store(now, Ordering::Release);
        }
        self.turns.arrived(key, piece.bytes.len() as u64);
        let held = Held {
            bytes: piece.bytes,
            window: Arc::clone(&body.window),
        };
        let _ = body.pieces.send(Piece {
            bytes: Bytes::from_owner(held),
            last: piece.last,
        });
    }
}

/// A body that is expected, until the exchange with the target ends.
pub(super) struct Expected {
    arriving: Arc<Mutex<HashMap<Key, Arriving>>>,
    key: Key,
    length: Option<u64>,
    window: Arc<Window>,
    arrived: flume::Receiver<Piece>,
}

impl Expected {
    /// Opens the window and waits for all of it.
    ///
    /// # Errors
    /// A body that does not come whole.
    pub(super) async fn collect(&self) -> Result<ByteBuf, BodyCut> {
        self.window.open();
        let mut whole = ByteBuf::new();
        loop {
            let piece = self.arrived.recv_async().await.map_err(|_| BodyCut)?;
            whole.extend_from_slice(&piece.bytes);
            if piece.last {
                return Ok(whole);
            }
        }
    }

    /// Opens the window and waits for the first piece: before it is there, nothing is
    /// written to the target.
    ///
    /// # Errors
    /// A body that does not come.
    pub(super) async fn begin(&self) -> Result<PieceBody, BodyCut> {
        self.window.open();
        let first = self.arrived.recv_async().await.map_err(|_| BodyCut)?;
        Ok(PieceBody {
            first: Some(first),
            rest: self.arrived.clone().into_stream(),
            length: self.length,
            window: Arc::clone(&self.window),
            ended: false,
        })
    }

    /// From now on, some of it may be at the target.
    pub(super) fn set_begun(&self) {
        self.window.begun.store(true, Ordering::Release);
    }

    /// Whether some of it may be at the target.
    pub(super) fn is_begun(&self) -> bool {
        self.window.begun.load(Ordering::Acquire)
    }

    /// When the last piece arrived.
    pub(super) fn whole_at(&self) -> Option<Micros> {
        let at = self.window.whole_at.load(Ordering::Acquire);
        (at > 0).then_some(at)
    }

    /// Whether the connection to the target was given all of it.
    pub(super) fn is_handed_over(&self) -> bool {
        self.window.handed_over.load(Ordering::Acquire)
    }

    /// Bytes that arrived.
    pub(super) fn bytes(&self) -> u64 {
        lock(&self.window.state).received()
    }
}

impl Drop for Expected {
    fn drop(&mut self) {
        lock(&self.arriving).remove(&self.key);
        self.window.turns.end(self.key);
    }
}

/// A body as the connection to the target reads it.
pub(super) struct PieceBody {
    first: Option<Piece>,
    rest: flume::r#async::RecvStream<'static, Piece>,
    length: Option<u64>,
    window: Arc<Window>,
    ended: bool,
}

impl Body for PieceBody {
    type Data = Bytes;
    type Error = BodyCut;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<BodyFrame<Bytes>, BodyCut>>> {
        if self.ended {
            return Poll::Ready(None);
        }
        let next = match self.first.take() {
            Some(first) => Some(first),
            None => ready!(self.rest.poll_next_unpin(context)),
        };
        let Some(piece) = next else {
            return Poll::Ready(Some(Err(BodyCut)));
        };
        if piece.last {
            self.ended = true;
            self.window.handed_over.store(true, Ordering::Release);
        }
        Poll::Ready(Some(Ok(BodyFrame::data(piece.bytes))))
    }

    fn is_end_stream(&self) -> bool {
        self.ended
    }

    fn size_hint(&self) -> SizeHint {
        self.length
            .map_or_else(SizeHint::default, SizeHint::with_exact)
    }
}
