//! The record that a target's daemon keeps of the operations that it admitted, and
//! of those that are fenced and must no longer run here.
//!
//! These records make recovery possible after a guard is lost: a target's daemon
//! either confirms that the operation never ran and is now fenced, or returns its
//! answer. The records cover only the time since the daemon started, so it admits
//! no ticket that was minted earlier.

use std::collections::{BTreeSet, HashMap};

use serde::{Deserialize, Serialize};

use crate::ticket::OpId;

/// An operation and the period in which it may be admitted.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Operation {
    /// Identifier of the operation.
    #[serde(rename = "o")]
    pub op: OpId,
    /// When the identifier was minted, in milliseconds since 1970. Absent if only the
    /// link that carries the operation may ask about it: no clocks are compared then.
    #[serde(rename = "m", default, skip_serializing_if = "Option::is_none")]
    pub minted_ms: Option<u64>,
    /// Time in milliseconds after minting during which it may run. A call that its
    /// caller cannot repeat needs to be recorded only briefly.
    #[serde(rename = "k")]
    pub validity_ms: u64,
}

/// Whether an operation may be forwarded to the target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// It may. The caller reports its progress to the [`Fence`].
    Admitted,
    /// It may not, and this request did not run it.
    Refused(FenceRefusal),
}

/// Why a [`Fence`] refuses an operation.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FenceRefusal {
    /// It was fenced.
    Fenced,
    /// It was admitted before: it is pending, delivered or has ended.
    Duplicate,
    /// Its ticket has expired, or was minted before this daemon started.
    OutsideMemory,
    /// The limit on records or on stored answers is reached.
    MemoryFull,
}

/// What a target's daemon replies when it is asked to fence an operation.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum FenceReply<A> {
    /// It never ran here, and never will.
    Never,
    /// It has not run since this daemon started, and never will. The daemon may have
    /// started after the ticket was minted, so an earlier incarnation may have run it.
    NeverSinceStart,
    /// It ran, with this answer.
    Ran(A),
    /// It was delivered to the target and has not ended.
    Running,
    /// It was delivered and its answer is not available, or it could not be fenced.
    Unknown,
}

impl<A> FenceReply<A> {
    /// Converts the answer, if there is one.
    pub fn map<B>(self, convert: impl FnOnce(A) -> B) -> FenceReply<B> {
        match self {
            FenceReply::Never => FenceReply::Never,
            FenceReply::NeverSinceStart => FenceReply::NeverSinceStart,
            FenceReply::Ran(answer) => FenceReply::Ran(convert(answer)),
            FenceReply::Running => FenceReply::Running,
            FenceReply::Unknown => FenceReply::Unknown,
        }
    }
}

/// Limits of a [`Fence`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FenceLimits {
    /// Time in milliseconds for which a ticket is valid.
    pub retention_ms: u64,
    /// Maximum difference in milliseconds between the clocks of two hosts.
    pub skew_ms: u64,
    /// Maximum number of recorded operations.
    pub entries: usize,
    /// Maximum total size of stored answers, in bytes.
    pub bytes: usize,
}

#[derive(Clone, Debug)]
enum State<A> {
    Pending,
    Delivered,
    Ran(A, usize),
    AnswerLost,
    Fenced,
}

#[derive(Clone, Debug)]
struct Record<A> {
    expiry_ms: u64,
    state: State<A>,
}

/// The operations that one target's daemon admitted or fenced.
#[derive(Debug)]
pub struct Fence<A> {
    started_ms: u64,
    limits: FenceLimits,
    ops: HashMap<OpId, Record<A>>,
    by_expiry: BTreeSet<(u64, OpId)>,
    bytes: usize,
}

impl<A: Clone> Fence<A> {
    /// Creates an empty record for a daemon that starts at `started_ms`, in milliseconds
    /// since 1970.
    pub fn new(started_ms: u64, limits: FenceLimits) -> Self {
        Fence {
            started_ms,
            limits,
            ops: HashMap::new(),
            by_expiry: BTreeSet::new(),
            bytes: 0,
        }
    }

    /// Changes the limits. Existing records stay, even above a new limit.
    pub fn set_limits(&mut self, limits: FenceLimits) {
        self.limits = limits;
    }

    /// Decides whether an operation that arrived for the target may run, and records it
    /// as pending if so.
    pub fn admit(&mut self, now_ms: u64, operation: Operation) -> Admission {
        let op = operation.op;
        self.remove_expired(now_ms);
        match self.state(op) {
            Some(State::Fenced) => return Admission::Refused(FenceRefusal::Fenced),
            Some(_) => return Admission::Refused(FenceRefusal::Duplicate),
            None => {}
        }
        if !self.covers(operation.minted_ms) || self.is_expired(now_ms, operation) {
            return Admission::Refused(FenceRefusal::OutsideMemory);
        }
        if self.is_full() {
            return Admission::Refused(FenceRefusal::MemoryFull);
        }
        self.insert(now_ms, operation, State::Pending);
        Admission::Admitted
    }

    /// Records that a pending operation is about to be written to the target. Returns
    /// false if it was fenced in the meantime; it must not be written then.
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

    /// Records that an operation definitely did not run. A later request may run it.
    pub fn not_run(&mut self, op: OpId) {
        if matches!(self.state(op), Some(State::Pending | State::Delivered)) {
            self.remove(op);
        }
    }

    /// Records the target's answer, which takes `size` bytes.
    pub fn ran(&mut self, op: OpId, answer: A, size: usize) {
        if let Some(state @ State::Delivered) = self.state_mut(op) {
            *state = State::Ran(answer, size);
            self.bytes += size;
        }
    }

    /// Records that the target's answer was lost.
    pub fn lost(&mut self, op: OpId) {
        if let Some(state @ State::Delivered) = self.state_mut(op) {
            *state = State::AnswerLost;
        }
    }

    /// Drops the answers that may no longer be stored. Their operations stay recorded as
    /// delivered, so that none runs again.
    pub fn forget_answers(&mut self, mut may_keep: impl FnMut(&A) -> bool) {
        for record in self.ops.values_mut() {
            if let State::Ran(answer, size) = &record.state
                && !may_keep(answer)
            {
                self.bytes -= size;
                record.state = State::AnswerLost;
            }
        }
    }

    /// Fences an operation unless it was already delivered, and returns what is known of it.
    pub fn fence(&mut self, now_ms: u64, operation: Operation) -> FenceReply<A> {
        let Operation { op, minted_ms, .. } = operation;
        self.remove_expired(now_ms);
        match self.state_mut(op) {
            Some(State::Delivered) => return FenceReply::Running,
            Some(State::Ran(answer, _)) => return FenceReply::Ran(answer.clone()),
            Some(State::AnswerLost) => return FenceReply::Unknown,
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

    /// Number of recorded operations.
    pub fn len(&self) -> usize {
        self.ops.len()
    }

    /// Whether no operation is recorded.
    pub fn is_empty(&self) -> bool {
        self.ops.is_empty()
    }

    /// Whether this daemon was certainly running when the ticket was minted, given the
    /// maximum clock skew between the two hosts.
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

    fn validity_ms(&self, operation: Operation) -> u64 {
        operation.validity_ms.min(self.limits.retention_ms)
    }

    fn is_expired(&self, now_ms: u64, operation: Operation) -> bool {
        operation
            .minted_ms
            .is_some_and(|minted_ms| now_ms.saturating_sub(minted_ms) > self.validity_ms(operation))
    }

    /// Records the operation until no daemon whose clock is within the skew admits it.
    fn insert(&mut self, now_ms: u64, operation: Operation, state: State<A>) {
        let validity_ms = self.validity_ms(operation);
        let expiry_ms = match operation.minted_ms {
            Some(minted_ms) => minted_ms + validity_ms + 2 * self.limits.skew_ms,
            None => now_ms + validity_ms,
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

    fn remove(&mut self, op: OpId) {
        let Some(record) = self.ops.remove(&op) else {
            return;
        };
        self.by_expiry.remove(&(record.expiry_ms, op));
        if let State::Ran(_, size) = record.state {
            self.bytes -= size;
        }
    }

    fn remove_expired(&mut self, now_ms: u64) {
        while let Some((expiry_ms, op)) = self.by_expiry.first().copied() {
            if expiry_ms >= now_ms || !self.remove_if_ended(op) {
                return;
            }
        }
    }

    /// Removes an operation unless it is in progress, and returns whether it did. An
    /// operation in progress also delays the removal of those that expire after it, until
    /// a later call.
    fn remove_if_ended(&mut self, op: OpId) -> bool {
        let in_progress = matches!(self.state(op), Some(State::Pending | State::Delivered));
        if !in_progress {
            self.remove(op);
        }
        !in_progress
    }
}
