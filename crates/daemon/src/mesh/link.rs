//! One end of a link: its queue of outgoing messages, and what waits on it.

use std::collections::HashMap;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use lynxcleat_policy::{
    AttemptId, Distance, Micros, Refusal, Settlement, TargetExitId, TargetLoad,
};
use lynxcleat_wire::{Answer, BodyChunkFrame, CallFrame, Frame, Hello, Side};
use thiserror::Error;
use tokio::sync::watch;

use super::queue::{Out, PieceOut, Queue};
use crate::answer_memory::HeldAnswer;
use crate::sync::lock;

/// Messages queued on a link before it counts as lost.
const QUEUE_LIMIT: usize = 8_192;

/// The link is lost, or was never made.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
#[error("the link is closed")]
pub struct LinkClosed;

/// What a call hears of one of its attempts.
#[derive(Debug)]
pub struct Signal {
    /// The attempt.
    pub attempt: AttemptId,
    /// What it is.
    pub kind: SignalKind,
}

/// What can happen to an attempt.
#[derive(Debug)]
pub enum SignalKind {
    /// The target answered.
    Answer {
        /// The answer.
        answer: Answer,
        /// Load of the target.
        figures: Option<TargetLoad>,
        /// Time held and served, in microseconds.
        there_us: u32,
        /// Time at usual speed, in microseconds.
        work_us: Option<u32>,
    },
    /// The call was not run.
    Refused {
        /// Why, and when to come back.
        refusal: Refusal,
        /// Load of the target.
        figures: Option<TargetLoad>,
    },
    /// So many bytes more of the body in pieces may be sent.
    Window(u64),
    /// The target's answer was lost.
    TargetLost {
        /// The end of the target, where that is why.
        end: Option<TargetExitId>,
    },
    /// The link was lost.
    LinkLost,
    /// Settling ended, with the answer where there is one.
    Settled(Settlement, Option<Answer>),
}

#[derive(Default)]
struct Pending {
    closed: bool,
    calls: HashMap<AttemptId, flume::Sender<Signal>>,
    asks: HashMap<u64, flume::Sender<Frame>>,
    next_ask: u64,
}

/// One end of a link.
pub struct Link {
    /// Number of the link in this daemon.
    pub id: u64,
    /// The other side.
    pub peer: Hello,
    /// How far away it is.
    pub distance: Distance,
    side: Side,
    out: flume::Sender<Out>,
    pieces: flume::Sender<PieceOut>,
    pending: Mutex<Pending>,
    heard_at: AtomicU64,
    /// Whether it may be silent: nothing was heard since there was reason to think so.
    doubted: AtomicBool,
    /// Whether a later incarnation of the other side has made itself known on another link.
    superseded: AtomicBool,
    /// Newest generation of settings that the other side told.
    generation: AtomicU64,
    /// What the other side said last of its target.
    peer_target: Mutex<PeerTarget>,
    closed: watch::Sender<bool>,
}

/// What a daemon says of its target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PeerTarget {
    /// Whether it takes no new calls.
    pub leaving: bool,
    /// Whether nothing listens at its address.
    pub down: bool,
}

impl Link {
    pub(super) fn new(
        id: u64,
        peer: Hello,
        distance: Distance,
        side: Side,
        now: Micros,
    ) -> (Self, Queue) {
        let (out, small) = flume::bounded(QUEUE_LIMIT);
        let (pieces, large) = flume::bounded(QUEUE_LIMIT);
        let peer_target = PeerTarget {
            leaving: peer.leaving,
            down: peer.down,
        };
        let link = Link {
            id,
            peer,
            peer_target: Mutex::new(peer_target),
            distance,
            side,
            out,
            pieces,
            pending: Mutex::default(),
            heard_at: AtomicU64::new(now),
            doubted: AtomicBool::new(false),
            superseded: AtomicBool::new(false),
            generation: AtomicU64::new(0),
            closed: watch::Sender::new(false),
        };
        (link, Queue::new(small, large))
    }

    /// Sends a message that nothing waits for.
    ///
    /// # Errors
    /// A link that is closed, or so far behind that it counts as lost.
    pub fn send(&self, frame: Frame) -> Result<(), LinkClosed> {
        if lock(&self.pending).closed {
            return Err(LinkClosed);
        }
        let pushed = self.push(frame);
        self.lost_if_failed(pushed)
    }

    /// Sends an answer. What counts its memory is given back once it was written, or the link
    /// is lost.
    ///
    /// # Errors
    /// As [`Link::send`].
    pub(crate) fn send_answer(&self, answer: Frame, held: HeldAnswer) -> Result<(), LinkClosed> {
        if lock(&self.pending).closed {
            return Err(LinkClosed);
        }
        let pushed = self.out.try_send(Out::Frame(answer, Some(held)));
        self.lost_if_failed(pushed.map_err(|_| LinkClosed))
    }

    /// Sends a call; what becomes of it is told to `signals`.
    ///
    /// # Errors
    /// As [`Link::send`]; then nothing was sent.
    pub fn call(&self, call: CallFrame, signals: flume::Sender<Signal>) -> Result<(), LinkClosed> {
        let attempt = call.attempt;
        let mut pending = lock(&self.pending);
        if pending.closed {
            return Err(LinkClosed);
        }
        pending.calls.insert(attempt, signals);
        let pushed = self.push(Frame::Call(Box::new(call)));
        if pushed.is_err() {
            pending.calls.remove(&attempt);
        }
        drop(pending);
        self.lost_if_failed(pushed)
    }

    /// Sends a piece of a body, and waits until it left. A body sends one at a time, so
    /// that those of all bodies take turns.
    ///
    /// # Errors
    /// A link that is or becomes closed.
    pub async fn send_piece(&self, piece: BodyChunkFrame) -> Result<(), LinkClosed> {
        if self.is_closed() {
            return Err(LinkClosed);
        }
        let (out, left) = PieceOut::new(piece);
        self.pieces.try_send(out).map_err(|_| LinkClosed)?;
        tokio::select! {
            left = left.recv_async() => left.map_err(|_| LinkClosed),
            () = self.closed() => Err(LinkClosed),
        }
    }

    /// Stops waiting for a call, and says so to the other side.
    pub fn cancel(&self, attempt: AttemptId) {
        if lock(&self.pending).calls.remove(&attempt).is_some() {
            let _ = self.push(Frame::Cancel(attempt));
        }
    }

    /// Says to the other side that a call is not to be delivered any more. Its end is
    /// still waited for.
    pub fn withdraw(&self, attempt: AttemptId) {
        let _ = self.push(Frame::Cancel(attempt));
    }

    /// Sends an ask and waits for its reply. `make` gets the ask's number.
    ///
    /// # Errors
    /// A link that is or becomes closed.
    pub async fn ask(&self, make: impl FnOnce(u64) -> Frame) -> Result<Frame, LinkClosed> {
        let (reply, replied) = flume::bounded(1);
        {
            let mut pending = lock(&self.pending);
            if pending.closed {
                return Err(LinkClosed);
            }
            pending.next_ask += 1;
            let ask = pending.next_ask;
            pending.asks.insert(ask, reply);
            if let Err(closed) = self.push(make(ask)) {
                pending.asks.remove(&ask);
                return Err(closed);
            }
        }
        replied.recv_async().await.map_err(|_| LinkClosed)
    }

    /// Whether this end dialed.
    pub fn is_dialer(&self) -> bool {
        self.side == Side::Dialer
    }

    /// Whether the link is lost.
    pub fn is_closed(&self) -> bool {
        *self.closed.borrow()
    }

    /// Waits until the link is lost.
    pub async fn closed(&self) {
        let mut closed = self.closed.subscribe();
        let _ = closed.wait_for(|closed| *closed).await;
    }

    /// Sends what is queued, then closes.
    pub fn finish(&self) {
        let pushed = self.out.try_send(Out::Close);
        let _ = self.lost_if_failed(pushed.map_err(|_| LinkClosed));
    }

    /// What the other side said last of its target.
    pub fn peer_target(&self) -> PeerTarget {
        *lock(&self.peer_target)
    }

    /// The other side says something new of its target.
    pub fn note_peer_target(&self, change: impl FnOnce(&mut PeerTarget)) {
        change(&mut lock(&self.peer_target));
    }

    /// Whether what the other side says of its target is out of date: a later incarnation of it
    /// has made itself known. Answers to calls are still those of the calls.
    pub fn is_superseded(&self) -> bool {
        self.superseded.load(Ordering::Relaxed)
    }

    /// Another link was made. Where it leads to a later incarnation of the same host, what still
    /// arrives on this one was said before that incarnation started.
    pub(super) fn note_other(&self, other: &Link) {
        let (earlier, later) = (&self.peer, &other.peer);
        let is_later = later.host == earlier.host
            && later.incarnation != earlier.incarnation
            && later.started_ms >= earlier.started_ms;
        if is_later {
            self.superseded.store(true, Ordering::Relaxed);
        }
    }

    /// Newest generation of settings that the other side told.
    pub fn generation(&self) -> u64 {
        self.generation.load(Ordering::Relaxed)
    }

    pub fn tell_generation(&self, generation: u64) {
        self.generation.fetch_max(generation, Ordering::Relaxed);
    }

    /// Something arrived. Returns whether that ends a doubt.
    pub(super) fn heard(&self, now: Micros) -> bool {
        self.heard_at.store(now, Ordering::Relaxed);
        self.doubted.swap(false, Ordering::Relaxed)
    }

    /// The link may be silent.
    pub(super) fn doubt(&self) {
        self.doubted.store(true, Ordering::Relaxed);
    }

    /// When something arrived last.
    pub fn heard_at(&self) -> Micros {
        self.heard_at.load(Ordering::Relaxed)
    }

    /// Gives a signal to the call that waits for it. False where none does.
    pub fn signal(&self, attempt: AttemptId, kind: SignalKind) -> bool {
        let waiting = lock(&self.pending).calls.remove(&attempt);
        waiting.is_some_and(|signals| signals.send(Signal { attempt, kind }).is_ok())
    }

    /// Tells the call that waits for an attempt's end that it may send more of its body.
    /// False where none waits.
    pub fn open_window(&self, attempt: AttemptId, bytes: u64) -> bool {
        let waiting = lock(&self.pending).calls.get(&attempt).cloned();
        let kind = SignalKind::Window(bytes);
        waiting.is_some_and(|signals| signals.send(Signal { attempt, kind }).is_ok())
    }

    /// Gives a reply to the ask that waits for it. False where none does.
    pub fn reply(&self, ask: u64, frame: Frame) -> bool {
        let waiting = lock(&self.pending).asks.remove(&ask);
        waiting.is_some_and(|reply| reply.send(frame).is_ok())
    }

    /// Marks the link lost and tells everything that waits on it.
    pub(super) fn close(&self) {
        let (calls, asks) = {
            let mut pending = lock(&self.pending);
            pending.closed = true;
            let calls = std::mem::take(&mut pending.calls);
            (calls, std::mem::take(&mut pending.asks))
        };
        drop(asks);
        for (attempt, signals) in calls {
            let kind = SignalKind::LinkLost;
            let _ = signals.send(Signal { attempt, kind });
        }
        self.closed.send_replace(true);
    }

    /// A link whose queue is full counts as lost: a message that was dropped
    /// without a word would leave the other side waiting.
    fn lost_if_failed(&self, pushed: Result<(), LinkClosed>) -> Result<(), LinkClosed> {
        if pushed.is_err() {
            self.close();
        }
        pushed
    }

    fn push(&self, frame: Frame) -> Result<(), LinkClosed> {
        let pushed = self.out.try_send(Out::Frame(frame, None));
        pushed.map_err(|_| LinkClosed)
    }
}
