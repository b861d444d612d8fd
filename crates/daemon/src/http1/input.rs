//! The bytes that were read from a connection and not taken apart.

use hyper::body::Bytes;

use super::head::HEAD_BYTES;

/// Size of the buffer at first, in bytes: most messages fit.
const FIRST_BYTES: usize = 8 << 10;
/// Largest size of the buffer, in bytes: a head fits, and a body is read in pieces that are
/// large enough.
const MOST_BYTES: usize = 64 << 10;
const _: () = assert!(HEAD_BYTES < MOST_BYTES);

/// A buffer that grows up to a bound.
#[derive(Debug)]
pub(super) struct Input {
    buffer: Vec<u8>,
    begin: usize,
    end: usize,
}

impl Input {
    /// An empty buffer.
    pub(super) fn new() -> Self {
        Input {
            buffer: Vec::new(),
            begin: 0,
            end: 0,
        }
    }

    /// Where the next bytes are read to; empty while the buffer is full.
    pub(super) fn space(&mut self) -> &mut [u8] {
        if self.begin == self.end {
            (self.begin, self.end) = (0, 0);
        }
        if self.end == self.buffer.len() {
            self.make_space();
        }
        &mut self.buffer[self.end..]
    }

    /// Bytes were read to where `space` said.
    pub(super) fn filled(&mut self, bytes: usize) {
        self.end += bytes;
        debug_assert!(self.end <= self.buffer.len());
    }

    /// The bytes that wait.
    pub(super) fn bytes(&self) -> &[u8] {
        &self.buffer[self.begin..self.end]
    }

    /// Whether no bytes wait.
    pub(super) fn is_empty(&self) -> bool {
        self.begin == self.end
    }

    /// Drops the first bytes.
    pub(super) fn skip(&mut self, bytes: usize) {
        self.begin += bytes;
        debug_assert!(self.begin <= self.end);
    }

    /// A copy of at most `most` bytes, which wait no longer; nothing where there are none.
    pub(super) fn take(&mut self, most: usize) -> Option<Bytes> {
        let bytes = most.min(self.bytes().len());
        if bytes == 0 {
            return None;
        }
        let piece = Bytes::copy_from_slice(&self.bytes()[..bytes]);
        self.skip(bytes);
        Some(piece)
    }

    /// Gives back the memory of a buffer without bytes.
    pub(super) fn release(&mut self) {
        if self.is_empty() {
            *self = Input::new();
        }
    }

    fn make_space(&mut self) {
        if self.begin > 0 {
            self.buffer.copy_within(self.begin..self.end, 0);
            (self.begin, self.end) = (0, self.end - self.begin);
        } else if self.buffer.len() < MOST_BYTES {
            let larger = (self.buffer.len() * 2).clamp(FIRST_BYTES, MOST_BYTES);
            self.buffer.resize(larger, 0);
        }
    }
}
