//! What a connection needs of its stream.

use futures_util::FutureExt;
use tokio::io::{AsyncRead, AsyncWrite, DuplexStream, Interest};
use tokio::net::TcpStream;

/// A caller's stream.
pub trait CallerStream: AsyncRead + AsyncWrite + Unpin {
    /// Whether the caller is known to have gone, though bytes it sent wait to be read.
    fn has_left(&self) -> bool;
}

impl CallerStream for TcpStream {
    fn has_left(&self) -> bool {
        let interest = Interest::READABLE | Interest::ERROR;
        let ready = self.ready(interest).now_or_never();
        match ready {
            Some(Ok(ready)) => ready.is_read_closed() || ready.is_error(),
            Some(Err(_)) => true,
            None => false,
        }
    }
}

impl CallerStream for DuplexStream {
    fn has_left(&self) -> bool {
        false
    }
}
