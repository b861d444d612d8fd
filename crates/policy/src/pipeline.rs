//! Order of pipelined calls on one caller connection.
//!
//! Calls without side effects run concurrently. A call with side effects starts once all
//! calls before it are answered, and no call after it starts until it is answered itself.
//! Responses are sent in request order. A response that closes the connection is the last
//! one, and every call that was started gets its response.

use std::collections::VecDeque;

/// Limits of one connection.
#[derive(Clone, Copy, Debug)]
pub struct PipelineLimits {
    /// Maximum number of calls that were read and whose responses have not been sent; at
    /// least one is allowed.
    pub calls: usize,
    /// Bytes of buffered responses at which no further request is read. Counts responses
    /// that wait for earlier ones and those that the caller has not read yet.
    pub bytes: usize,
}

/// Index of a call on its connection, from 0, in request order.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct CallNumber(pub u64);

/// Properties of a request that determine the order of calls.
#[derive(Clone, Copy, Debug)]
pub struct RequestInfo {
    /// Whether the route in force declares the call as having side effects.
    pub has_effects: bool,
    /// Whether no further request may be read after this one.
    pub is_last: bool,
}

/// A response that is next in request order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ReadyResponse {
    /// The call that is answered.
    pub call: CallNumber,
    /// Whether the connection closes after this response.
    pub closes: bool,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Stage {
    Waiting,
    Started,
    Answered { bytes: usize },
}

#[derive(Debug)]
struct Call {
    has_effects: bool,
    stage: Stage,
}

/// Calls of one connection.
#[derive(Debug)]
pub struct Pipeline {
    limits: PipelineLimits,
    calls: VecDeque<Call>,
    /// Number of the first call in `calls`.
    first: u64,
    /// Bytes of responses that wait for earlier ones.
    buffered: usize,
    /// Whether no further request will be read.
    input_closed: bool,
    is_stopping: bool,
    is_closed: bool,
}

impl Pipeline {
    /// Creates the pipeline of a new connection.
    pub fn new(limits: PipelineLimits) -> Self {
        Pipeline {
            limits,
            calls: VecDeque::new(),
            first: 0,
            buffered: 0,
            input_closed: false,
            is_stopping: false,
            is_closed: false,
        }
    }

    /// Whether another request may be read, given the `unsent` bytes of responses that left
    /// the pipeline and that the caller has not read yet.
    pub fn can_read(&self, unsent: usize) -> bool {
        self.is_accepting() && !self.is_at_limit(unsent) && !self.has_waiting()
    }

    /// Whether a limit keeps further requests from being read.
    pub fn is_at_limit(&self, unsent: usize) -> bool {
        self.calls.len() >= self.limits.calls.max(1) || self.buffered + unsent >= self.limits.bytes
    }

    /// Whether no call is pending.
    pub fn is_idle(&self) -> bool {
        self.calls.is_empty()
    }

    /// Whether a call was started and is not answered yet.
    pub fn is_running(&self) -> bool {
        self.calls.iter().any(|call| call.stage == Stage::Started)
    }

    /// Whether no further response will be sent.
    pub fn is_closed(&self) -> bool {
        self.is_closed || self.calls.is_empty() && self.input_closed
    }

    /// Adds a request that was read after `can_read` allowed it.
    pub fn on_request(&mut self, request: RequestInfo) -> CallNumber {
        debug_assert!(self.is_accepting() && !self.has_waiting());
        self.input_closed |= request.is_last;
        self.calls.push_back(Call {
            has_effects: request.has_effects,
            stage: Stage::Waiting,
        });
        CallNumber(self.first + self.calls.len() as u64 - 1)
    }

    /// Returns the call to start now and marks it as started. To be called again after each
    /// response.
    pub fn start_next(&mut self) -> Option<CallNumber> {
        let (waiting, before) = self.calls.make_contiguous().split_last_mut()?;
        let is_free = before.iter().all(|call| match call.stage {
            Stage::Answered { .. } => true,
            Stage::Waiting | Stage::Started => !waiting.has_effects && !call.has_effects,
        });
        if waiting.stage != Stage::Waiting || !is_free {
            return None;
        }
        waiting.stage = Stage::Started;
        Some(CallNumber(self.first + before.len() as u64))
    }

    /// Records the response of a started call. With `ends_input`, no further request can be
    /// read, since the body of this one was not.
    pub fn on_response(&mut self, number: CallNumber, bytes: usize, ends_input: bool) {
        self.input_closed |= ends_input;
        let index = number.0.checked_sub(self.first);
        let call = index.and_then(|index| self.calls.get_mut(index as usize));
        if let Some(call) = call.filter(|call| call.stage == Stage::Started) {
            call.stage = Stage::Answered { bytes };
            self.buffered += bytes;
        }
    }

    /// Begins a graceful shutdown: no call starts any more beside or after one that was
    /// started, and the last response closes the connection. If no call is pending, one
    /// more request is accepted.
    pub fn begin_shutdown(&mut self) {
        self.is_stopping = true;
        if self.calls.len() > 1 {
            self.drop_waiting();
        }
    }

    /// Stops reading requests. Those already read are still answered.
    pub fn close_input(&mut self) {
        self.input_closed = true;
    }

    /// Removes and returns the response to be sent now, if the first call is answered.
    pub fn pop_ready(&mut self) -> Option<ReadyResponse> {
        let Some(Call {
            stage: Stage::Answered { bytes },
            ..
        }) = self.calls.front()
        else {
            return None;
        };
        self.buffered -= bytes;
        self.calls.pop_front();
        let call = CallNumber(self.first);
        self.first += 1;
        if self.is_stopping {
            self.drop_waiting();
        }
        let closes = self.calls.is_empty() && (self.is_stopping || self.input_closed);
        self.is_closed |= closes;
        Some(ReadyResponse { call, closes })
    }

    fn is_accepting(&self) -> bool {
        let is_ending = self.input_closed || self.is_closed;
        !is_ending && (!self.is_stopping || self.calls.is_empty())
    }

    fn has_waiting(&self) -> bool {
        let last = self.calls.back();
        last.is_some_and(|call| call.stage == Stage::Waiting)
    }

    /// Discards a request that was read and not started, as if it had not been read.
    fn drop_waiting(&mut self) {
        if self.has_waiting() {
            self.calls.pop_back();
        }
    }
}
