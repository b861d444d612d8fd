//! The guard: one daemon incarnation's record of the operations that only it may run.
//!
//! An operation is recorded before its call is forwarded, and stays recorded until no
//! ticket for it can be accepted any more. When the limits are reached, new operations
//! are refused; no record is removed early. `A` is the type of a stored answer.

use std::collections::{BTreeSet, HashMap};

use crate::ticket::{Incarnation, OpId, Ticket};

/// The outcome of an operation.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome<A> {
    /// It ran, with this answer.
    Ran(A),
    /// It did not run. A retry with the same ticket may run it.
    NotRun,
    /// It may have run, so it will not be sent again.
    Unknown,
}

/// How to handle a call that carries a ticket.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum BeginResult<A> {
    /// First use of the ticket: run the operation, then call [`Guard::finished`].
    Run,
    /// It is running; the caller waits until it ends.
    Running,
    /// It ran, with this answer.
    Ran(A),
    /// Its outcome is unknown.
    Unknown,
    /// This call did not run it.
    Refused(GuardRefusal),
}

/// Why a [`Guard`] refuses an operation.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum GuardRefusal {
    /// Another incarnation minted the ticket.
    WrongIncarnation,
    /// The limit on records or on stored answers is reached; retry after records have expired.
    MemoryFull,
}

/// Limits of a [`Guard`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct GuardLimits {
    /// Time in milliseconds for which a ticket is valid.
    pub retention_ms: u64,
    /// Maximum number of records.
    pub entries: usize,
    /// Maximum total size of stored answers, in bytes.
    pub bytes: usize,
}

#[derive(Clone, Debug)]
enum State<A> {
    Running,
    Ran(A, usize),
    Unknown,
}

#[derive(Clone, Debug)]
struct Record<A> {
    minted_ms: u64,
    state: State<A>,
}

/// The operations of one daemon incarnation.
#[derive(Debug)]
pub struct Guard<A> {
    incarnation: Incarnation,
    address: String,
    limits: GuardLimits,
    last_seq: u64,
    records: HashMap<OpId, Record<A>>,
    by_age: BTreeSet<(u64, OpId)>,
    bytes: usize,
}

impl<A: Clone> Guard<A> {
    /// Creates a guard with no records; `address` is its mesh address.
    pub fn new(incarnation: Incarnation, address: String, limits: GuardLimits) -> Self {
        Guard {
            incarnation,
            address,
            limits,
            last_seq: 0,
            records: HashMap::new(),
            by_age: BTreeSet::new(),
            bytes: 0,
        }
    }

    /// Changes the limits. Existing records stay, even above a new limit.
    pub fn set_limits(&mut self, limits: GuardLimits) {
        self.limits = limits;
    }

    /// Mints a ticket. Nothing is recorded until the ticket is used.
    pub fn mint(&mut self, now_ms: u64) -> Ticket {
        self.last_seq += 1;
        Ticket {
            op: OpId {
                incarnation: self.incarnation,
                seq: self.last_seq,
            },
            minted_ms: now_ms,
            guard: self.address.clone(),
        }
    }

    /// Handles a call with this ticket, received from a caller or forwarded by another daemon.
    pub fn begin(&mut self, now_ms: u64, ticket: &Ticket) -> BeginResult<A> {
        self.remove_expired(now_ms);
        if ticket.op.incarnation != self.incarnation {
            return BeginResult::Refused(GuardRefusal::WrongIncarnation);
        }
        if let Some(record) = self.records.get(&ticket.op) {
            return match &record.state {
                State::Running => BeginResult::Running,
                State::Ran(answer, _) => BeginResult::Ran(answer.clone()),
                State::Unknown => BeginResult::Unknown,
            };
        }
        if self.is_expired(now_ms, ticket.minted_ms) {
            return BeginResult::Unknown;
        }
        if self.records.len() >= self.limits.entries || self.bytes >= self.limits.bytes {
            return BeginResult::Refused(GuardRefusal::MemoryFull);
        }
        let record = Record {
            minted_ms: ticket.minted_ms,
            state: State::Running,
        };
        self.records.insert(ticket.op, record);
        self.by_age.insert((ticket.minted_ms, ticket.op));
        BeginResult::Run
    }

    /// Records the outcome of a running operation, whose answer takes `size` bytes.
    pub fn finished(&mut self, op: OpId, outcome: Outcome<A>, size: usize) {
        match outcome {
            Outcome::Ran(answer) => {
                if self.set_state(op, State::Ran(answer, size)) {
                    self.bytes += size;
                }
            }
            Outcome::Unknown => {
                self.set_state(op, State::Unknown);
            }
            Outcome::NotRun => self.remove(op),
        }
    }

    /// Records an outcome that was found later for an operation whose outcome was unknown.
    pub fn settled(&mut self, op: OpId, outcome: Outcome<A>, size: usize) {
        let state = self.records.get(&op).map(|record| &record.state);
        if matches!(state, Some(State::Unknown)) {
            self.finished(op, outcome, size);
        }
    }

    /// Drops the answers that may no longer be stored. Their operations stay recorded with
    /// an unknown outcome, so that none runs again.
    pub fn forget_answers(&mut self, mut may_keep: impl FnMut(&A) -> bool) {
        for record in self.records.values_mut() {
            if let State::Ran(answer, size) = &record.state
                && !may_keep(answer)
            {
                self.bytes -= size;
                record.state = State::Unknown;
            }
        }
    }

    /// Number of records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    fn is_expired(&self, now_ms: u64, minted_ms: u64) -> bool {
        now_ms.saturating_sub(minted_ms) > self.limits.retention_ms
    }

    /// Removes the records of expired tickets, which [`Guard::begin`] no longer runs.
    fn remove_expired(&mut self, now_ms: u64) {
        while let Some((minted_ms, op)) = self.by_age.first().copied() {
            let state = self.records.get(&op).map(|record| &record.state);
            if matches!(state, Some(State::Running)) || !self.is_expired(now_ms, minted_ms) {
                return;
            }
            self.remove(op);
        }
    }

    fn set_state(&mut self, op: OpId, state: State<A>) -> bool {
        let Some(record) = self.records.get_mut(&op) else {
            return false;
        };
        record.state = state;
        true
    }

    fn remove(&mut self, op: OpId) {
        let Some(record) = self.records.remove(&op) else {
            return;
        };
        self.by_age.remove(&(record.minted_ms, op));
        if let State::Ran(_, size) = record.state {
            self.bytes -= size;
        }
    }
}
