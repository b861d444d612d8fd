//! A connection that tells when something is written on it.
//!
//! A request that is handed to the HTTP library is written by another task, on a busy host
//! much later. Whoever counts calls by the time at which they reach the target waits for the
//! writing.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::watch;

/// A TCP stream with a count of its writes.
pub(super) struct Watched {
    stream: TcpStream,
    writes: watch::Sender<u64>,
}

impl Watched {
    /// Watches a stream; the receiver hears of each write.
    pub(super) fn new(stream: TcpStream) -> (Self, watch::Receiver<u64>) {
        let (writes, written) = watch::channel(0);
        (Watched { stream, writes }, written)
    }
}

impl AsyncRead for Watched {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for Watched {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.tell_if_written(&written);
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.tell_if_written(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

impl Watched {
    fn tell_if_written(&self, written: &Poll<io::Result<usize>>) {
        if matches!(written, Poll::Ready(Ok(_))) {
            self.writes.send_modify(|writes| *writes += 1);
        }
    }
}
