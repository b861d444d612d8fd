//! The chunks of a body (RFC 9112, section 7.1), a byte at a time but for their data.

use super::head::HEAD_BYTES;
use super::malformed::Malformed;

/// Largest line with the size of a chunk: its extensions mean nothing here.
const SIZE_LINE_BYTES: usize = 256;
/// Digits of a chunk's size at most: a size with more does not fit in 64 bits.
const SIZE_DIGITS: usize = 16;

/// What a step over the input found; `used` bytes of it are done with.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Step {
    /// Bytes that hold no data.
    Passed { used: usize },
    /// Data.
    Data { used: usize },
    /// The end of the body.
    End { used: usize },
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum State {
    Size,
    Extension,
    SizeLineFeed,
    Data,
    DataReturn,
    DataLineFeed,
    TrailerStart,
    Trailer,
    TrailerLineFeed,
    LastLineFeed,
}

/// Reads chunks.
#[derive(Debug)]
pub(super) struct Chunks {
    state: State,
    left: u64,
    digits: usize,
    /// Bytes of the line or of the trailers so far.
    line: usize,
}

impl Chunks {
    pub(super) fn new() -> Self {
        Chunks {
            state: State::Size,
            left: 0,
            digits: 0,
            line: 0,
        }
    }

    /// One step over `input`, which is not empty, with at most `room` bytes of data.
    pub(super) fn step(&mut self, input: &[u8], room: usize) -> Result<Step, Malformed> {
        if self.state == State::Data {
            return Ok(self.data(input, room));
        }
        for (at, byte) in input.iter().enumerate() {
            let used = at + 1;
            if self.take(*byte)? {
                return Ok(Step::End { used });
            }
            if self.state == State::Data {
                return Ok(Step::Passed { used });
            }
        }
        Ok(Step::Passed { used: input.len() })
    }

    fn data(&mut self, input: &[u8], room: usize) -> Step {
        let left = usize::try_from(self.left).unwrap_or(usize::MAX);
        let used = input.len().min(left).min(room);
        self.left -= used as u64;
        if self.left == 0 {
            self.state = State::DataReturn;
        }
        Step::Data { used }
    }

    /// Takes a byte that is no data. True where the body ends with it.
    fn take(&mut self, byte: u8) -> Result<bool, Malformed> {
        self.state = match (self.state, byte) {
            (State::Size, b'\r') if self.digits > 0 => State::SizeLineFeed,
            (State::Size, b';') if self.digits > 0 => State::Extension,
            (State::Size, digit) => self.digit(digit)?,
            (State::Extension, b'\r') => State::SizeLineFeed,
            (State::Extension, byte) if is_text(byte) => self.extension()?,
            (State::SizeLineFeed, b'\n') => self.chunk(),
            (State::DataReturn, b'\r') => State::DataLineFeed,
            (State::DataLineFeed, b'\n') => State::Size,
            (State::TrailerStart, b'\r') => State::LastLineFeed,
            (State::LastLineFeed, b'\n') => return Ok(true),
            (State::Trailer, b'\r') => State::TrailerLineFeed,
            (State::TrailerLineFeed, b'\n') => State::TrailerStart,
            (State::TrailerStart | State::Trailer, byte) if is_text(byte) => self.trailer()?,
            (State::TrailerStart | State::Trailer | State::TrailerLineFeed, _) => {
                return Err(Malformed::Trailers);
            }
            _ => return Err(Malformed::Chunk),
        };
        Ok(false)
    }

    fn digit(&mut self, byte: u8) -> Result<State, Malformed> {
        let digit = char::from(byte).to_digit(16).ok_or(Malformed::Chunk)?;
        self.digits += 1;
        if self.digits > SIZE_DIGITS {
            return Err(Malformed::Chunk);
        }
        self.left = self.left << 4 | u64::from(digit);
        Ok(State::Size)
    }

    fn extension(&mut self) -> Result<State, Malformed> {
        self.line += 1;
        match self.line > SIZE_LINE_BYTES {
            true => Err(Malformed::Chunk),
            false => Ok(State::Extension),
        }
    }

    /// The line with the size is over.
    fn chunk(&mut self) -> State {
        (self.digits, self.line) = (0, 0);
        match self.left {
            0 => State::TrailerStart,
            _ => State::Data,
        }
    }

    fn trailer(&mut self) -> Result<State, Malformed> {
        self.line += 1;
        match self.line > HEAD_BYTES {
            true => Err(Malformed::Trailers),
            false => Ok(State::Trailer),
        }
    }
}

/// Whether a byte may stand in an extension or a trailer.
fn is_text(byte: u8) -> bool {
    byte == b'\t' || byte >= b' ' && byte != 0x7f
}
