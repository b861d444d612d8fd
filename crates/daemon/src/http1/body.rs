//! The body of a caller's request, fed by its connection as it arrives.
//!
//! The connection hands over pieces up to a bound and reads no further until some were
//! taken. A body that is dropped before its end is thrown away by the connection, within a
//! bound, or the connection ends after the answer.

use std::collections::VecDeque;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard};
use std::task::{Context, Poll, Waker};

use hyper::body::{Body, Bytes, Frame, SizeHint};
use thiserror::Error;

use crate::sync::lock;

/// Bytes of a body that wait for the call to take them: what a connection reads at once.
const HELD_BYTES: usize = 64 << 10;

/// Why a body ends early.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum BodyError {
    /// The connection ended, or what came is not framed as it should be.
    #[error("the body was not sent whole")]
    Cut,
}

/// The body of a request: its pieces in order, without its trailers.
#[derive(Debug)]
pub struct RequestBody {
    /// Bytes still to come, where the head states the length.
    left: Option<u64>,
    source: Source,
}

#[derive(Debug)]
enum Source {
    Whole(Bytes),
    Fed(Arc<Mutex<Shared>>),
}

/// The connection's side of a body. Dropped before the end, it cuts the body.
#[derive(Debug)]
pub struct BodyFeed {
    shared: Arc<Mutex<Shared>>,
}

#[derive(Debug, Default)]
struct Shared {
    pieces: VecDeque<Bytes>,
    held: usize,
    end: End,
    /// The call has asked for a piece: a caller that expects `100 Continue` may go on.
    is_wanted: bool,
    is_abandoned: bool,
    call: Option<Waker>,
    connection: Option<Waker>,
}

#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum End {
    #[default]
    Open,
    Whole,
    Cut,
}

impl RequestBody {
    /// A body that has arrived whole.
    pub fn whole(bytes: Bytes) -> Self {
        RequestBody {
            left: Some(bytes.len() as u64),
            source: Source::Whole(bytes),
        }
    }

    /// A body that is fed, with its stated length.
    pub fn fed(length: Option<u64>) -> (BodyFeed, Self) {
        let shared = Arc::new(Mutex::new(Shared::default()));
        let feed = BodyFeed {
            shared: Arc::clone(&shared),
        };
        let body = RequestBody {
            left: length,
            source: Source::Fed(shared),
        };
        (feed, body)
    }
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let polled = match &mut self.source {
            Source::Whole(bytes) if bytes.is_empty() => Poll::Ready(None),
            Source::Whole(bytes) => Poll::Ready(Some(Ok(std::mem::take(bytes)))),
            Source::Fed(shared) => lock(shared).poll_piece(cx),
        };
        let Poll::Ready(Some(Ok(piece))) = polled else {
            return polled.map(|piece| piece.map(|piece| piece.map(Frame::data)));
        };
        let taken = piece.len() as u64;
        self.left = self.left.map(|left| left.saturating_sub(taken));
        Poll::Ready(Some(Ok(Frame::data(piece))))
    }

    fn is_end_stream(&self) -> bool {
        match &self.source {
            Source::Whole(bytes) => bytes.is_empty(),
            Source::Fed(shared) => {
                let shared = lock(shared);
                shared.pieces.is_empty() && (shared.end == End::Whole || self.left == Some(0))
            }
        }
    }

    fn size_hint(&self) -> SizeHint {
        self.left
            .map_or_else(SizeHint::default, SizeHint::with_exact)
    }
}

impl Drop for RequestBody {
    fn drop(&mut self) {
        if let Source::Fed(shared) = &self.source {
            lock(shared).abandon();
        }
    }
}

impl Shared {
    fn poll_piece(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, BodyError>>> {
        if let Some(piece) = self.pieces.pop_front() {
            self.held -= piece.len();
            wake(&mut self.connection);
            return Poll::Ready(Some(Ok(piece)));
        }
        match self.end {
            End::Whole => Poll::Ready(None),
            End::Cut => Poll::Ready(Some(Err(BodyError::Cut))),
            End::Open => {
                if !self.is_wanted {
                    self.is_wanted = true;
                    wake(&mut self.connection);
                }
                self.call = Some(cx.waker().clone());
                Poll::Pending
            }
        }
    }

    fn abandon(&mut self) {
        self.is_abandoned = true;
        self.pieces.clear();
        self.held = 0;
        wake(&mut self.connection);
    }
}

impl BodyFeed {
    /// Bytes that may be pushed now; the connection is woken when there is more room. What
    /// nobody takes any more has room for ever.
    pub fn room(&self, cx: &Context<'_>) -> usize {
        let mut shared = self.shared();
        shared.connection = Some(cx.waker().clone());
        HELD_BYTES.saturating_sub(shared.held)
    }

    /// Hands over a piece.
    pub fn push(&self, piece: Bytes) {
        let mut shared = self.shared();
        if shared.is_abandoned {
            return;
        }
        shared.held += piece.len();
        shared.pieces.push_back(piece);
        wake(&mut shared.call);
    }

    /// All of the body was handed over.
    pub fn finish(self) {
        let mut shared = self.shared();
        shared.end = End::Whole;
        wake(&mut shared.call);
    }

    /// Whether the call has waited for a piece.
    pub fn is_wanted(&self) -> bool {
        self.shared().is_wanted
    }

    fn shared(&self) -> MutexGuard<'_, Shared> {
        lock(&self.shared)
    }
}

impl Drop for BodyFeed {
    fn drop(&mut self) {
        let mut shared = self.shared();
        if shared.end == End::Open {
            shared.end = End::Cut;
        }
        wake(&mut shared.call);
    }
}

fn wake(waker: &mut Option<Waker>) {
    if let Some(waker) = waker.take() {
        waker.wake();
    }
}
