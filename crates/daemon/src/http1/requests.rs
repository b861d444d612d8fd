//! From the bytes of a connection to requests: heads, pieces of bodies, ends.
//!
//! There is no I/O here. However the bytes are split into reads, the same requests come out.

use hyper::body::Bytes;

use super::chunks::{Chunks, Step};
use super::head::{self, Framing, Head, HeadEnd};
use super::input::Input;
use super::malformed::Malformed;

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
    input: Input,
    head: HeadEnd,
    state: State,
}

impl Default for Requests {
    fn default() -> Self {
        Requests {
            input: Input::new(),
            head: HeadEnd::default(),
            state: State::Head,
        }
    }
}

impl Requests {
    /// Where the next bytes are read to; empty while the buffer is full.
    pub fn space(&mut self) -> &mut [u8] {
        self.input.space()
    }

    /// Bytes were read to where `space` said.
    pub fn filled(&mut self, bytes: usize) {
        self.input.filled(bytes);
    }

    /// Whether bytes wait that were read and not taken apart.
    pub fn has_input(&self) -> bool {
        !self.input.is_empty()
    }

    /// Whether a body has begun and not ended.
    pub fn is_in_body(&self) -> bool {
        !matches!(self.state, State::Head)
    }

    /// Whether the body that has begun was read whole.
    pub fn has_whole_body(&self) -> bool {
        let read = self.input.bytes().len() as u64;
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
        let Some(length) = self.head.find(self.input.bytes())? else {
            return Ok(None);
        };
        let head = head::read(&self.input.bytes()[..length])?;
        self.input.skip(length);
        self.state = match head.framing {
            Framing::Length(length) => State::Length(length),
            Framing::Chunked => State::Chunks(Chunks::new()),
        };
        Ok(Some(Item::Head(Box::new(head))))
    }

    /// Skips empty lines before a request, which some callers send after a body (RFC 9112,
    /// section 2.2).
    fn skip_empty_lines(&mut self) {
        while self.input.bytes().starts_with(b"\r\n") {
            self.input.skip(2);
            self.head = HeadEnd::default();
        }
    }

    fn next_of_length(&mut self, left: u64, room: usize) -> Option<Item> {
        let most = usize::try_from(left).unwrap_or(usize::MAX).min(room);
        let piece = self.input.take(most)?;
        self.state = State::Length(left - piece.len() as u64);
        Some(Item::Data(piece))
    }

    fn next_of_chunks(&mut self, room: usize) -> Result<Option<Item>, Malformed> {
        while !self.input.is_empty() {
            let State::Chunks(chunks) = &mut self.state else {
                return Ok(None);
            };
            match chunks.step(self.input.bytes(), room)? {
                Step::Passed { used } => self.input.skip(used),
                Step::Data { used } => return Ok(self.input.take(used).map(Item::Data)),
                Step::End { used } => {
                    self.input.skip(used);
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
}
