//! From the bytes of a connection to requests: heads, pieces of bodies, ends.
//!
//! There is no I/O here. However the bytes are split into reads, the same requests come out.

use hyper::body::Bytes;

use super::chunks::{Chunks, Step};
use super::head::{self, Framing, HEAD_BYTES, Head, HeadEnd};
use super::malformed::Malformed;

/// Buffer of a connection at first, in bytes: most requests fit.
const FIRST_BYTES: usize = 8 << 10;
/// Largest buffer of a connection, in bytes: a head fits, and a body is read in pieces that
/// are large enough.
const MOST_BYTES: usize = 64 << 10;
const _: () = assert!(HEAD_BYTES < MOST_BYTES);

/// What comes next on a connection.
#[derive(Debug)]
pub enum Item {
    /// A request begins.
    Head(Box<Head>),
    /// A piece of its body.
    Data(Bytes),
    /// Its body ends. A request without a body ends too.
    End,
}

#[derive(Debug)]
enum State {
    Head,
    Length(u64),
    Chunks(Chunks),
}

/// Takes a connection's bytes apart.
#[derive(Debug)]
pub struct Requests {
    buffer: Vec<u8>,
    begin: usize,
    end: usize,
    head: HeadEnd,
    state: State,
}

impl Default for Requests {
    fn default() -> Self {
        Requests {
            buffer: vec![0; FIRST_BYTES],
            begin: 0,
            end: 0,
            head: HeadEnd::default(),
            state: State::Head,
        }
    }
}

impl Requests {
    /// Where the next bytes are read to; empty while the buffer is full.
    pub fn space(&mut self) -> &mut [u8] {
        if self.begin == self.end {
            (self.begin, self.end) = (0, 0);
        }
        if self.end == self.buffer.len() {
            self.make_space();
        }
        &mut self.buffer[self.end..]
    }

    /// Bytes were read to where `space` said.
    pub fn filled(&mut self, bytes: usize) {
        self.end += bytes;
        debug_assert!(self.end <= self.buffer.len());
    }

    /// Whether bytes wait that were read and not taken apart.
    pub fn has_input(&self) -> bool {
        self.begin < self.end
    }

    /// Whether a body has begun and not ended.
    pub fn is_in_body(&self) -> bool {
        !matches!(self.state, State::Head)
    }

    /// Whether the body that has begun was read whole.
    pub fn has_whole_body(&self) -> bool {
        let read = (self.end - self.begin) as u64;
        self.left_of_body().is_some_and(|left| left <= read)
    }

    /// Bytes of the body that were not taken apart yet, where its length is stated.
    pub fn left_of_body(&self) -> Option<u64> {
        match self.state {
            State::Head => Some(0),
            State::Length(left) => Some(left),
            State::Chunks(_) => None,
        }
    }

    /// The next item, with at most `room` bytes of a body; `None` until more was read.
    ///
    /// # Errors
    /// What cannot be framed beyond doubt. Nothing behind it may be asked for.
    pub fn next(&mut self, room: usize) -> Result<Option<Item>, Malformed> {
        match &self.state {
            State::Head => self.next_head(),
            State::Length(0) => Ok(Some(self.end_of_body())),
            State::Length(left) => Ok(self.next_of_length(*left, room)),
            State::Chunks(_) => self.next_of_chunks(room),
        }
    }

    fn next_head(&mut self) -> Result<Option<Item>, Malformed> {
        self.skip_empty_lines();
        let Some(length) = self.head.find(&self.buffer[self.begin..self.end])? else {
            return Ok(None);
        };
        let head = head::read(&self.buffer[self.begin..self.begin + length])?;
        self.begin += length;
        self.state = match head.framing {
            Framing::Length(length) => State::Length(length),
            Framing::Chunked => State::Chunks(Chunks::new()),
        };
        Ok(Some(Item::Head(Box::new(head))))
    }

    /// Skips empty lines before a request, which some callers send after a body (RFC 9112,
    /// section 2.2).
    fn skip_empty_lines(&mut self) {
        while self.buffer[self.begin..self.end].starts_with(b"\r\n") {
            self.begin += 2;
            self.head = HeadEnd::default();
        }
    }

    fn next_of_length(&mut self, left: u64, room: usize) -> Option<Item> {
        let most = usize::try_from(left).unwrap_or(usize::MAX).min(room);
        let piece = self.take(most)?;
        self.state = State::Length(left - piece.len() as u64);
        Some(Item::Data(piece))
    }

    fn next_of_chunks(&mut self, room: usize) -> Result<Option<Item>, Malformed> {
        while self.begin < self.end {
            let State::Chunks(chunks) = &mut self.state else {
                return Ok(None);
            };
            match chunks.step(&self.buffer[self.begin..self.end], room)? {
                Step::Passed { used } => self.begin += used,
                Step::Data { used } => return Ok(self.take(used).map(Item::Data)),
                Step::End { used } => {
                    self.begin += used;
                    return Ok(Some(self.end_of_body()));
                }
            }
        }
        Ok(None)
    }

    fn end_of_body(&mut self) -> Item {
        self.state = State::Head;
        Item::End
    }

    /// At most `most` bytes of what was read.
    fn take(&mut self, most: usize) -> Option<Bytes> {
        let bytes = most.min(self.end - self.begin);
        if bytes == 0 {
            return None;
        }
        let piece = Bytes::copy_from_slice(&self.buffer[self.begin..self.begin + bytes]);
        self.begin += bytes;
        Some(piece)
    }

    fn make_space(&mut self) {
        if self.begin > 0 {
            self.buffer.copy_within(self.begin..self.end, 0);
            (self.begin, self.end) = (0, self.end - self.begin);
        } else if self.buffer.len() < MOST_BYTES {
            let larger = (self.buffer.len() * 2).min(MOST_BYTES);
            self.buffer.resize(larger, 0);
        }
    }
}
