//! Bounds the time for which a caller may leave its answer untaken.
//!
//! A caller that does not read fills the socket's buffers; the write then waits for
//! ever, with the answer in memory. This wrapper ends such a connection.

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::{Sleep, sleep};

use crate::http1::CallerStream;

/// A stream whose writes fail after waiting for too long.
pub(super) struct Stall<S> {
    stream: S,
    limit: Duration,
    waiting: Option<Pin<Box<Sleep>>>,
}

impl<S> Stall<S> {
    /// Bounds every wait of a write on `stream` to `limit`.
    pub(super) fn new(stream: S, limit: Duration) -> Self {
        Stall {
            stream,
            limit,
            waiting: None,
        }
    }

    /// Passes on a write that ended; fails one that has waited for too long.
    fn bound<T>(
        &mut self,
        cx: &mut Context<'_>,
        write: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        if write.is_ready() {
            self.waiting = None;
            return write;
        }
        let limit = self.limit;
        let waiting = self.waiting.get_or_insert_with(|| Box::pin(sleep(limit)));
        ready!(waiting.as_mut().poll(cx));
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }
}

impl<S: CallerStream> CallerStream for Stall<S> {
    fn has_left(&self) -> bool {
        self.stream.has_left()
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Stall<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Stall<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let write = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.bound(cx, write)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let write = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.bound(cx, write)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
