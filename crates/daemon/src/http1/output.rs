//! Answers on their way to the caller.

use std::collections::VecDeque;
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use hyper::body::{Buf, Bytes};
use tokio::io::AsyncWrite;

/// Pieces that one write takes at most.
const PIECES: usize = 16;

/// Bytes to write, in order.
#[derive(Debug, Default)]
pub(super) struct Output {
    pieces: VecDeque<Bytes>,
    unsent: usize,
}

impl Output {
    /// Adds a piece.
    pub(super) fn push(&mut self, piece: Bytes) {
        if !piece.is_empty() {
            self.unsent += piece.len();
            self.pieces.push_back(piece);
        }
    }

    /// Bytes that were not written yet.
    pub(super) fn unsent(&self) -> usize {
        self.unsent
    }

    /// Writes all.
    pub(super) fn poll_write<S: AsyncWrite + Unpin>(
        &mut self,
        stream: &mut S,
        cx: &mut Context<'_>,
    ) -> Poll<io::Result<()>> {
        while self.unsent > 0 {
            let written = ready!(self.poll_once(stream, cx))?;
            if written == 0 {
                return Poll::Ready(Err(io::ErrorKind::WriteZero.into()));
            }
            self.advance(written);
        }
        Poll::Ready(Ok(()))
    }

    fn poll_once<S: AsyncWrite + Unpin>(
        &self,
        stream: &mut S,
        cx: &mut Context<'_>,
    ) -> Poll<io::Result<usize>> {
        if let [only] = self.pieces.as_slices().0 {
            return Pin::new(stream).poll_write(cx, only);
        }
        let mut slices = [IoSlice::new(&[]); PIECES];
        let count = self.pieces.len().min(PIECES);
        for (slice, piece) in slices.iter_mut().zip(&self.pieces) {
            *slice = IoSlice::new(piece);
        }
        Pin::new(stream).poll_write_vectored(cx, &slices[..count])
    }

    fn advance(&mut self, mut written: usize) {
        self.unsent -= written;
        while let Some(first) = self.pieces.front_mut() {
            if written < first.len() {
                first.advance(written);
                return;
            }
            written -= first.len();
            self.pieces.pop_front();
        }
    }
}
