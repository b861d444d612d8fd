//! From the bytes of a connection to a target to answers: heads, pieces of bodies, ends.
//!
//! There is no I/O here. However the bytes are split into reads, the same answers come out.
//! Whose answers they are is not decided here.

use hyper::body::Bytes;
use hyper::http::response::Parts;
use hyper::{StatusCode, Version};
use thiserror::Error;

use super::chunks::{Chunks, Step};
use super::head::{self, AnswerFraming, HeadEnd};
use super::input::Input;
use super::malformed::Malformed;

/// Interim answers before a final one at most.
const INTERIM_LIMIT: u32 = 16;

/// The head of a final answer.
#[derive(Debug)]
pub struct AnswerHead {
    /// Status, version and fields.
    pub parts: Parts,
    /// How the end of its body is found.
    pub framing: AnswerFraming,
    /// Whether the connection may be used again.
    pub persists: bool,
}

/// What comes next on a connection to a target.
#[derive(Debug)]
pub enum AnswerItem {
    /// A final answer begins.
    Head(Box<AnswerHead>),
    /// A piece of its body.
    Data(Bytes),
    /// Its body ends. An answer without a body ends too.
    End,
}

/// Why what a target sent is not a whole answer. Nothing behind it may be asked for.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum AnswerFault {
    /// It cannot be framed beyond doubt.
    #[error("{0}")]
    Malformed(#[from] Malformed),
    /// It has more interim answers before it than it may have.
    #[error("more than {INTERIM_LIMIT} interim answers")]
    TooManyInterim,
    /// It changes the protocol, which was not asked for.
    #[error("the protocol was switched without a request to do so")]
    Switched,
    /// The connection ended before it did.
    #[error("the connection ended before the answer did")]
    Cut,
}

#[derive(Debug)]
enum State {
    Head,
    Length(u64),
    Chunks(Chunks),
    UntilClose { is_closed: bool },
}

/// Takes the bytes of a connection to a target apart.
#[derive(Debug)]
pub struct Answers {
    input: Input,
    head: HeadEnd,
    state: State,
    interim: u32,
}

impl Default for Answers {
    fn default() -> Self {
        Answers {
            input: Input::new(),
            head: HeadEnd::default(),
            state: State::Head,
            interim: 0,
        }
    }
}

impl Answers {
    /// Where the next bytes are read to. Not empty after `next` found nothing.
    pub fn space(&mut self) -> &mut [u8] {
        self.input.space()
    }

    /// Bytes were read to where `space` said.
    pub fn filled(&mut self, bytes: usize) {
        self.input.filled(bytes);
    }

    /// Whether nothing was read that belongs to no answer so far.
    pub fn is_between_answers(&self) -> bool {
        matches!(self.state, State::Head) && self.input.is_empty() && self.interim == 0
    }

    /// Gives back the memory of the buffer where nothing waits in it.
    pub fn release(&mut self) {
        self.input.release();
    }

    /// The next item; `None` until more was read. `is_head` says whether the method that is
    /// answered is HEAD, whose answers have no bodies.
    ///
    /// # Errors
    /// What is no answer.
    pub fn next(&mut self, is_head: bool) -> Result<Option<AnswerItem>, AnswerFault> {
        match &self.state {
            State::Head => self.next_head(is_head),
            State::Length(0) | State::UntilClose { is_closed: true } if self.is_drained() => {
                Ok(Some(self.end_of_body()))
            }
            State::Length(left) => Ok(self.next_of_length(*left)),
            State::Chunks(_) => self.next_of_chunks(),
            State::UntilClose { .. } => Ok(self.input.take(usize::MAX).map(AnswerItem::Data)),
        }
    }

    /// The target closed its side of the connection.
    ///
    /// # Errors
    /// An answer that has not ended, other than one that ends with the connection.
    pub fn close(&mut self) -> Result<(), AnswerFault> {
        match &mut self.state {
            State::UntilClose { is_closed } => {
                *is_closed = true;
                Ok(())
            }
            _ => Err(AnswerFault::Cut),
        }
    }

    /// Whether the body that has begun ends here but for bytes that wait.
    fn is_drained(&self) -> bool {
        matches!(self.state, State::Length(_)) || self.input.is_empty()
    }

    fn next_head(&mut self, is_head: bool) -> Result<Option<AnswerItem>, AnswerFault> {
        loop {
            let Some(length) = self.head.find(self.input.bytes())? else {
                return Ok(None);
            };
            let (parts, persists) = head::read_answer(&self.input.bytes()[..length])?;
            self.input.skip(length);
            if parts.status == StatusCode::SWITCHING_PROTOCOLS {
                return Err(AnswerFault::Switched);
            }
            if !parts.status.is_informational() {
                return self.begin(parts, persists, is_head).map(Some);
            }
            self.interim += 1;
            if self.interim > INTERIM_LIMIT {
                return Err(AnswerFault::TooManyInterim);
            }
        }
    }

    fn begin(
        &mut self,
        parts: Parts,
        persists: bool,
        is_head: bool,
    ) -> Result<AnswerItem, AnswerFault> {
        let is_new = parts.version == Version::HTTP_11;
        let has_body = !is_head && head::may_have_body(parts.status);
        let stated = head::answer_framing(&parts.headers, is_new)?;
        let framing = match has_body {
            true => stated,
            false => AnswerFraming::Length(0),
        };
        // A body that may not be there comes all the same, perhaps.
        let is_doubtful = parts.status == StatusCode::NO_CONTENT && states_body(stated);
        self.interim = 0;
        self.state = match framing {
            AnswerFraming::Length(length) => State::Length(length),
            AnswerFraming::Chunked => State::Chunks(Chunks::new()),
            AnswerFraming::UntilClose => State::UntilClose { is_closed: false },
        };
        Ok(AnswerItem::Head(Box::new(AnswerHead {
            persists: persists && !is_doubtful && framing != AnswerFraming::UntilClose,
            parts,
            framing,
        })))
    }

    fn next_of_length(&mut self, left: u64) -> Option<AnswerItem> {
        let most = usize::try_from(left).unwrap_or(usize::MAX);
        let piece = self.input.take(most)?;
        self.state = State::Length(left - piece.len() as u64);
        Some(AnswerItem::Data(piece))
    }

    fn next_of_chunks(&mut self) -> Result<Option<AnswerItem>, AnswerFault> {
        while !self.input.is_empty() {
            let State::Chunks(chunks) = &mut self.state else {
                return Ok(None);
            };
            match chunks.step(self.input.bytes(), usize::MAX)? {
                Step::Passed { used } => self.input.skip(used),
                Step::Data { used } => return Ok(self.input.take(used).map(AnswerItem::Data)),
                Step::End { used } => {
                    self.input.skip(used);
                    return Ok(Some(self.end_of_body()));
                }
            }
        }
        Ok(None)
    }

    fn end_of_body(&mut self) -> AnswerItem {
        self.state = State::Head;
        AnswerItem::End
    }
}

/// Whether an answer's head says that a body follows.
fn states_body(framing: AnswerFraming) -> bool {
    matches!(framing, AnswerFraming::Chunked | AnswerFraming::Length(1..))
}
