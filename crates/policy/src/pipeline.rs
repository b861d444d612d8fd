//! What one connection of a caller does next with the calls sent on it.
//!
//! Calls without effects run side by side. One with effects begins when all before it are
//! answered, and nothing behind it begins before it is. Answers go out in the order of the
//! requests. An answer that closes the connection is the last one, and no call that was
//! begun loses its answer.

use std::collections::VecDeque;

/// How much one connection may have in hand.
#[derive(Clone, Copy, Debug)]
pub struct PipelineLimits {
    /// Calls that were read and whose answers have not gone out; one at least.
    pub calls: usize,
    /// Bytes of answers that wait for their turn or for the caller to take them, above
    /// which nothing more is read.
    pub bytes: usize,
}

/// Number of a call on its connection, from 0, in the order of the requests.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct CallNumber(pub u64);

/// A request as far as the order of the calls depends on it.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// Whether the route in force says that the call has effects.
    pub has_effects: bool,
    /// Whether nothing behind it may be read.
    pub is_last: bool,
}

/// An answer whose turn it is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct NextOut {
    /// The call that it answers.
    pub call: CallNumber,
    /// Whether the connection ends with it.
    pub closes: bool,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Stage {
    Waiting,
    Begun,
    Answered { bytes: usize },
}

#[derive(Debug)]
struct Call {
    has_effects: bool,
    stage: Stage,
}

/// The calls of one connection.
#[derive(Debug)]
pub struct Pipeline {
    limits: PipelineLimits,
    calls: VecDeque<Call>,
    /// Number of the first of them.
    first: u64,
    held: usize,
    /// The last request was read.
    is_read: bool,
    is_stopping: bool,
    is_closed: bool,
}

impl Pipeline {
    /// A connection on which nothing was sent.
    pub fn new(limits: PipelineLimits) -> Self {
        Pipeline {
            limits,
            calls: VecDeque::new(),
            first: 0,
            held: 0,
            is_read: false,
            is_stopping: false,
            is_closed: false,
        }
    }

    /// Whether another request may be read, with `unsent` bytes of answers that went out
    /// and that the caller has not taken.
    pub fn may_read(&self, unsent: usize) -> bool {
        self.may_go_on() && !self.is_at_bound(unsent) && !self.has_waiting()
    }

    /// Whether nothing is read since too much is in hand.
    pub fn is_at_bound(&self, unsent: usize) -> bool {
        self.calls.len() >= self.limits.calls.max(1) || self.held + unsent >= self.limits.bytes
    }

    /// Whether nothing is in hand.
    pub fn is_idle(&self) -> bool {
        self.calls.is_empty()
    }

    /// Whether a call was begun and is not answered.
    pub fn is_running(&self) -> bool {
        self.calls.iter().any(|call| call.stage == Stage::Begun)
    }

    /// Whether no answer will go out any more.
    pub fn is_closed(&self) -> bool {
        self.is_closed || self.calls.is_empty() && self.is_read
    }

    /// A request was read, which `may_read` allowed.
    pub fn arrived(&mut self, arrival: Arrival) -> CallNumber {
        debug_assert!(self.may_go_on() && !self.has_waiting());
        self.is_read |= arrival.is_last;
        self.calls.push_back(Call {
            has_effects: arrival.has_effects,
            stage: Stage::Waiting,
        });
        CallNumber(self.first + self.calls.len() as u64 - 1)
    }

    /// The call to begin now, which counts as begun. Asked again after each answer.
    pub fn begin(&mut self) -> Option<CallNumber> {
        let (waiting, before) = self.calls.make_contiguous().split_last_mut()?;
        let is_free = before.iter().all(|call| match call.stage {
            Stage::Answered { .. } => true,
            Stage::Waiting | Stage::Begun => !waiting.has_effects && !call.has_effects,
        });
        if waiting.stage != Stage::Waiting || !is_free {
            return None;
        }
        waiting.stage = Stage::Begun;
        Some(CallNumber(self.first + before.len() as u64))
    }

    /// A call that was begun has its answer. With `ends`, nothing behind it can be read, as
    /// its body was not.
    pub fn answered(&mut self, number: CallNumber, bytes: usize, ends: bool) {
        self.is_read |= ends;
        let nth = number.0.checked_sub(self.first);
        let call = nth.and_then(|nth| self.calls.get_mut(nth as usize));
        if let Some(call) = call.filter(|call| call.stage == Stage::Begun) {
            call.stage = Stage::Answered { bytes };
            self.held += bytes;
        }
    }

    /// A stop begins: nothing begins any more beside or behind a call that was begun, and
    /// the answer of the last one closes. With none in hand one more is taken.
    pub fn stop(&mut self) {
        self.is_stopping = true;
        if self.calls.len() > 1 {
            self.drop_waiting();
        }
    }

    /// Nothing more is read; what was is answered.
    pub fn end(&mut self) {
        self.is_read = true;
    }

    /// The answer that goes out now, if its call is answered; it counts as gone out.
    pub fn next_out(&mut self) -> Option<NextOut> {
        let Some(Call {
            stage: Stage::Answered { bytes },
            ..
        }) = self.calls.front()
        else {
            return None;
        };
        self.held -= bytes;
        self.calls.pop_front();
        let call = CallNumber(self.first);
        self.first += 1;
        if self.is_stopping {
            self.drop_waiting();
        }
        let closes = self.calls.is_empty() && (self.is_stopping || self.is_read);
        self.is_closed |= closes;
        Some(NextOut { call, closes })
    }

    fn may_go_on(&self) -> bool {
        let is_ending = self.is_read || self.is_closed;
        !is_ending && (!self.is_stopping || self.calls.is_empty())
    }

    fn has_waiting(&self) -> bool {
        let last = self.calls.back();
        last.is_some_and(|call| call.stage == Stage::Waiting)
    }

    /// A request that was read and not begun counts as not read.
    fn drop_waiting(&mut self) {
        if self.has_waiting() {
            self.calls.pop_back();
        }
    }
}
