//! Flow-control window of a streamed body, at the sender and at the receiver.
//!
//! The receiver opens the window and extends it as it releases bytes, so that neither side
//! ever buffers more of a body than its window.

use thiserror::Error;

/// Fraction of the window, as a divisor, that must be released before the sender is granted
/// more: one message covers several chunks.
const GRANT_DIVISOR: u64 = 4;

/// Reason for which a chunk is refused. The body is then aborted.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum BodyError {
    /// The chunk exceeds the window.
    #[error("chunk exceeds the flow-control window by {0} bytes")]
    BeyondWindow(u64),
    /// The chunk follows the last one.
    #[error("chunk received after the last chunk of the body")]
    AfterEnd,
    /// The body does not have its declared length.
    #[error("body length mismatch: received {received} bytes, declared {declared}")]
    LengthMismatch {
        /// Bytes received, including this chunk.
        received: u64,
        /// Declared length.
        declared: u64,
    },
}

/// The sender's side of a window.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct SendWindow {
    available: u64,
    ended: bool,
}

impl SendWindow {
    /// Adds bytes granted by the receiver.
    pub fn grant(&mut self, bytes: u64) {
        self.available = self.available.saturating_add(bytes);
    }

    /// Bytes that may be sent now.
    pub fn available(&self) -> u64 {
        if self.ended { 0 } else { self.available }
    }

    /// Reserves room for a chunk. Returns false if the chunk may not be sent.
    pub fn try_send(&mut self, bytes: u64, last: bool) -> bool {
        if self.ended || bytes > self.available {
            return false;
        }
        self.available -= bytes;
        self.ended = last;
        true
    }
}

/// The receiver's side of a window.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ReceiveWindow {
    /// Maximum number of bytes buffered, and the size of the first grant.
    window: u64,
    /// Length of the body, if its sender declared one.
    declared: Option<u64>,
    granted: u64,
    received: u64,
    released: u64,
    ended: bool,
}

impl ReceiveWindow {
    /// Creates a window that is still closed.
    pub fn new(window: u64, declared: Option<u64>) -> Self {
        ReceiveWindow {
            window,
            declared,
            granted: 0,
            received: 0,
            released: 0,
            ended: false,
        }
    }

    /// Opens the window. Returns the bytes to grant to the sender.
    pub fn open(&mut self) -> u64 {
        self.granted = self.window;
        self.window
    }

    /// Records a chunk that arrived.
    ///
    /// # Errors
    /// Returns an error if the chunk is not allowed; the window is then unchanged.
    pub fn receive(&mut self, bytes: u64, last: bool) -> Result<(), BodyError> {
        if self.ended {
            return Err(BodyError::AfterEnd);
        }
        let received = self.received.saturating_add(bytes);
        if received > self.granted {
            return Err(BodyError::BeyondWindow(received - self.granted));
        }
        let fits = |declared: u64| {
            if last {
                received == declared
            } else {
                received <= declared
            }
        };
        if let Some(declared) = self.declared.filter(|declared| !fits(*declared)) {
            return Err(BodyError::LengthMismatch { received, declared });
        }
        self.received = received;
        self.ended = last;
        Ok(())
    }

    /// Records received bytes that are no longer buffered. Returns the bytes to grant to the
    /// sender, once they are enough for a message.
    pub fn release(&mut self, bytes: u64) -> Option<u64> {
        self.released = self.released.saturating_add(bytes).min(self.received);
        let open_to = (self.released + self.window).min(self.declared.unwrap_or(u64::MAX));
        let more = open_to.saturating_sub(self.granted);
        let is_rest = self.declared == Some(open_to);
        let is_small = more < self.window / GRANT_DIVISOR && !is_rest;
        if self.ended || more == 0 || is_small {
            return None;
        }
        self.granted += more;
        Some(more)
    }

    /// Whether the last chunk was received.
    pub fn is_complete(&self) -> bool {
        self.ended
    }

    /// Bytes received.
    pub fn received(&self) -> u64 {
        self.received
    }
}
