//! A target half's memory of the operations that it let through, and of those
//! that must no longer run here.
//!
//! The memory is what makes recovery possible after a guard is lost: a half can
//! say "never here, and now fenced", or give the answer. It speaks only for the
//! time since it started, so it lets through no ticket minted before that.

use std::collections::{BTreeSet, HashMap};

use serde::{Deserialize, Serialize};

use crate::ticket::OpId;

/// An operation with the time for which it can be admitted at all.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Operation {
    /// The operation.
    #[serde(rename = "o")]
    pub op: OpId,
    /// When its name was minted, in milliseconds since 1970; absent where only the
    /// link that it comes on may ask about it, so that no clocks are compared.
    #[serde(rename = "m", default, skip_serializing_if = "Option::is_none")]
    pub minted_ms: Option<u64>,
    /// Time in milliseconds after minting for which it may run. A call whose
    /// caller cannot repeat it needs to be remembered only briefly.
    #[serde(rename = "k")]
    pub keep_ms: u64,
}

/// Whether an operation may go on to the target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// It may; tell the fence how it goes on.
    Pass,
    /// It may not, and was not run because of this offer.
    Refused(RefusedOnce),
}

/// Why an operation may not go on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RefusedOnce {
    /// It was fenced.
    Fenced,
    /// It is here already, pending, delivered or ended.
    Duplicate,
    /// Its ticket was minted before this half started, or expired.
    OutsideMemory,
    /// The memory is full.
    MemoryFull,
}

/// What a half says of an operation when it is asked to fence it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum FenceReply<A> {
    /// It never ran here and never will.
    Never,
    /// It never ran since this half started, which was after the ticket was
    /// minted; it never will from now on.
    NeverSinceStart,
    /// It ran, with this answer.
    Ran(A),
    /// It was delivered and has not ended.
    Running,
    /// It was delivered and its answer was lost, or it could not be fenced.
    Unknown,
}

impl<A> FenceReply<A> {
    /// The same with another form of the answer.
    pub fn map<B>(self, form: impl FnOnce(A) -> B) -> FenceReply<B> {
        match self {
            FenceReply::Never => FenceReply::Never,
            FenceReply::NeverSinceStart => FenceReply::NeverSinceStart,
            FenceReply::Ran(answer) => FenceReply::Ran(form(answer)),
            FenceReply::Running => FenceReply::Running,
            FenceReply::Unknown => FenceReply::Unknown,
        }
    }
}

/// Bounds of a half's memory.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FenceLimits {
    /// Time in milliseconds for which a ticket may be used.
    pub retention_ms: u64,
    /// Largest difference in milliseconds between two hosts' clocks.
    pub skew_ms: u64,
    /// Operations kept at most.
    pub entries: usize,
    /// Bytes of stored answers kept at most.
    pub bytes: usize,
}

#[derive(Clone, Debug)]
enum State<A> {
    Pending,
    Delivered,
    Ran(A, usize),
    Lost,
    Fenced,
}

#[derive(Clone, Debug)]
struct Record<A> {
    expiry_ms: u64,
    state: State<A>,
}

/// The memory of one target half.
#[derive(Debug)]
pub struct Fence<A> {
    started_ms: u64,
    limits: FenceLimits,
    ops: HashMap<OpId, Record<A>>,
    by_expiry: BTreeSet<(u64, OpId)>,
    bytes: usize,
}

impl<A: Clone> Fence<A> {
    /// The memory of a half that starts at `started_ms` (since 1970).
    pub fn new(started_ms: u64, limits: FenceLimits) -> Self {
        Fence {
            started_ms,
            limits,
            ops: HashMap::new(),
            by_expiry: BTreeSet::new(),
            bytes: 0,
        }
    }

    /// Changes the bounds; entries over a new bound stay.
    pub fn set_limits(&mut self, limits: FenceLimits) {
        self.limits = limits;
    }

    /// An operation arrived for the target.
    pub fn admit(&mut self, now_ms: u64, operation: Operation) -> Admission {
        let op = operation.op;
        self.expire(now_ms);
        match self.state(op) {
            Some(State::Fenced) => return Admission::Refused(RefusedOnce::Fenced),
            Some(_) => return Admission::Refused(RefusedOnce::Duplicate),
            None => {}
        }
        if !self.covers(operation.minted_ms) || self.is_expired(now_ms, operation) {
            return Admission::Refused(RefusedOnce::OutsideMemory);
        }
        if self.is_full() {
            return Admission::Refused(RefusedOnce::MemoryFull);
        }
        self.insert(now_ms, operation, State::Pending);
        Admission::Pass
    }

    /// A pending operation is being written to the target. False where it was
    /// fenced meanwhile: then it must not be written.
    #[must_use]
    pub fn deliver(&mut self, op: OpId) -> bool {
        match self.state_mut(op) {
            Some(state @ State::Pending) => {
                *state = State::Delivered;
                true
            }
            _ => false,
        }
    }

    /// An operation was definitely not run; a new offer may run it.
    pub fn not_run(&mut self, op: OpId) {
        if matches!(self.state(op), Some(State::Pending | State::Delivered)) {
            self.forget(op);
        }
    }

    /// The target answered; `size` is what the answer weighs in bytes.
    pub fn ran(&mut self, op: OpId, answer: A, size: usize) {
        if let Some(state @ State::Delivered) = self.state_mut(op) {
            *state = State::Ran(answer, size);
            self.bytes += size;
        }
    }

    /// The target's answer was lost.
    pub fn lost(&mut self, op: OpId) {
        if let Some(state @ State::Delivered) = self.state_mut(op) {
            *state = State::Lost;
        }
    }

    /// Forgets the answers that may not be kept any more. That their operations were
    /// delivered is still known, so that none runs again.
    pub fn forget_answers(&mut self, mut may_keep: impl FnMut(&A) -> bool) {
        for record in self.ops.values_mut() {
            if let State::Ran(answer, size) = &record.state
                && !may_keep(answer)
            {
                self.bytes -= size;
                record.state = State::Lost;
            }
        }
    }

    /// Fences an operation and says what became of it here.
    pub fn fence(&mut self, now_ms: u64, operation: Operation) -> FenceReply<A> {
        let Operation { op, minted_ms, .. } = operation;
        self.expire(now_ms);
        match self.state_mut(op) {
            Some(State::Delivered) => return FenceReply::Running,
            Some(State::Ran(answer, _)) => return FenceReply::Ran(answer.clone()),
            Some(State::Lost) => return FenceReply::Unknown,
            Some(State::Fenced) => return self.never(minted_ms),
            Some(state @ State::Pending) => {
                *state = State::Fenced;
                return self.never(minted_ms);
            }
            None => {}
        }
        if self.is_expired(now_ms, operation) {
            return FenceReply::Unknown;
        }
        if self.covers(minted_ms) {
            if self.is_full() {
                return FenceReply::Unknown;
            }
            self.insert(now_ms, operation, State::Fenced);
        }
        self.never(minted_ms)
    }

    /// Operations remembered.
    pub fn len(&self) -> usize {
        self.ops.len()
    }

    /// Whether nothing is remembered.
    pub fn is_empty(&self) -> bool {
        self.ops.is_empty()
    }

    /// Whether this half already ran when the ticket was minted, whatever the
    /// two clocks say.
    fn covers(&self, minted_ms: Option<u64>) -> bool {
        minted_ms.is_none_or(|minted_ms| minted_ms >= self.started_ms + self.limits.skew_ms)
    }

    fn never(&self, minted_ms: Option<u64>) -> FenceReply<A> {
        if self.covers(minted_ms) {
            FenceReply::Never
        } else {
            FenceReply::NeverSinceStart
        }
    }

    fn is_full(&self) -> bool {
        self.ops.len() >= self.limits.entries || self.bytes >= self.limits.bytes
    }

    fn keep_ms(&self, operation: Operation) -> u64 {
        operation.keep_ms.min(self.limits.retention_ms)
    }

    fn is_expired(&self, now_ms: u64, operation: Operation) -> bool {
        operation
            .minted_ms
            .is_some_and(|minted_ms| now_ms.saturating_sub(minted_ms) > self.keep_ms(operation))
    }

    /// Remembers the operation until no clock within the skew admits it.
    fn insert(&mut self, now_ms: u64, operation: Operation, state: State<A>) {
        let keep_ms = self.keep_ms(operation);
        let expiry_ms = match operation.minted_ms {
            Some(minted_ms) => minted_ms + keep_ms + 2 * self.limits.skew_ms,
            None => now_ms + keep_ms,
        };
        let record = Record { expiry_ms, state };
        self.ops.insert(operation.op, record);
        self.by_expiry.insert((expiry_ms, operation.op));
    }

    fn state(&self, op: OpId) -> Option<&State<A>> {
        self.ops.get(&op).map(|record| &record.state)
    }

    fn state_mut(&mut self, op: OpId) -> Option<&mut State<A>> {
        self.ops.get_mut(&op).map(|record| &mut record.state)
    }

    fn forget(&mut self, op: OpId) {
        let Some(record) = self.ops.remove(&op) else {
            return;
        };
        self.by_expiry.remove(&(record.expiry_ms, op));
        if let State::Ran(_, size) = record.state {
            self.bytes -= size;
        }
    }

    fn expire(&mut self, now_ms: u64) {
        while let Some((expiry_ms, op)) = self.by_expiry.first().copied() {
            if expiry_ms >= now_ms || !self.forget_ended(op) {
                return;
            }
        }
    }

    /// An operation that is still open keeps its entry, and so do those that
    /// expire after it; the next call tries again.
    fn forget_ended(&mut self, op: OpId) -> bool {
        let open = matches!(self.state(op), Some(State::Pending | State::Delivered));
        if !open {
            self.forget(op);
        }
        !open
    }
}
