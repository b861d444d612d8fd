//! How much of a body in pieces may be on its way: the two ends of its window.
//!
//! The receiver opens the window and opens it further by what it has got rid of, so
//! neither side ever holds more of a body than its window.

use thiserror::Error;

/// Part of the window, as a divisor, that must be free again before the sender is told:
/// one message for several pieces.
const TELL_PART: u64 = 4;

/// Why a piece is not taken. The body is cut then.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum BodyFault {
    /// More came than the window allows.
    #[error("{0} bytes beyond the window")]
    BeyondWindow(u64),
    /// Something came after the last piece.
    #[error("a piece after the last one")]
    AfterEnd,
    /// The pieces are not together as long as was said.
    #[error("{found} bytes where {stated} were stated")]
    Length {
        /// Bytes that came, with this piece.
        found: u64,
        /// Length that was stated.
        stated: u64,
    },
}

/// The sender's end.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct SendWindow {
    room: u64,
    ended: bool,
}

impl SendWindow {
    /// The receiver opened the window by so many bytes more.
    pub fn grant(&mut self, bytes: u64) {
        self.room = self.room.saturating_add(bytes);
    }

    /// Bytes that may be sent now.
    pub fn room(&self) -> u64 {
        if self.ended { 0 } else { self.room }
    }

    /// Takes room for a piece. False where it may not be sent.
    pub fn send(&mut self, bytes: u64, last: bool) -> bool {
        if self.ended || bytes > self.room {
            return false;
        }
        self.room -= bytes;
        self.ended = last;
        true
    }
}

/// The receiver's end.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ReceiveWindow {
    /// Largest number of bytes held, and bytes that the sender is told of at first.
    window: u64,
    /// Length of the body, where its sender stated it.
    stated: Option<u64>,
    granted: u64,
    arrived: u64,
    taken: u64,
    ended: bool,
}

impl ReceiveWindow {
    /// A window that is not open yet.
    pub fn new(window: u64, stated: Option<u64>) -> Self {
        ReceiveWindow {
            window,
            stated,
            granted: 0,
            arrived: 0,
            taken: 0,
            ended: false,
        }
    }

    /// Opens it. Returns the bytes that the sender is told of.
    pub fn open(&mut self) -> u64 {
        self.granted = self.window;
        self.window
    }

    /// A piece arrived.
    ///
    /// # Errors
    /// A piece that may not be taken; it changes nothing.
    pub fn arrived(&mut self, bytes: u64, last: bool) -> Result<(), BodyFault> {
        if self.ended {
            return Err(BodyFault::AfterEnd);
        }
        let found = self.arrived.saturating_add(bytes);
        if found > self.granted {
            return Err(BodyFault::BeyondWindow(found - self.granted));
        }
        let fits = |stated: u64| {
            if last {
                found == stated
            } else {
                found <= stated
            }
        };
        if let Some(stated) = self.stated.filter(|stated| !fits(*stated)) {
            return Err(BodyFault::Length { found, stated });
        }
        self.arrived = found;
        self.ended = last;
        Ok(())
    }

    /// So many bytes that arrived are held no longer. Returns the bytes by which the
    /// window is opened further, where that is worth a message.
    pub fn taken(&mut self, bytes: u64) -> Option<u64> {
        self.taken = self.taken.saturating_add(bytes).min(self.arrived);
        let open_to = (self.taken + self.window).min(self.stated.unwrap_or(u64::MAX));
        let more = open_to.saturating_sub(self.granted);
        let is_rest = self.stated == Some(open_to);
        let is_little = more < self.window / TELL_PART && !is_rest;
        if self.ended || more == 0 || is_little {
            return None;
        }
        self.granted += more;
        Some(more)
    }

    /// Whether the last piece arrived.
    pub fn is_whole(&self) -> bool {
        self.ended
    }

    /// Bytes that arrived.
    pub fn bytes(&self) -> u64 {
        self.arrived
    }
}
