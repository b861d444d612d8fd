//! The guard: one daemon's memory of the operations that it alone may run.
//!
//! A record is made before the call is sent on, and kept until no ticket for it
//! can be accepted any more. When the memory is full, new operations are
//! refused; nothing is forgotten early. `A` is whatever the shell stores as an
//! answer.

use std::collections::{BTreeSet, HashMap};

use crate::ticket::{Incarnation, OpId, Ticket};

/// What became of an operation.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome<A> {
    /// It ran, with this answer.
    Ran(A),
    /// It did not run; a new try with the same ticket may run it.
    NotRun,
    /// It may have run; it will not be sent again.
    Unknown,
}

/// What to do with a call that carries a ticket.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Begin<A> {
    /// First use: run it, then tell [`Guard::finished`].
    Run,
    /// It runs now; the shell waits for its end.
    Running,
    /// It ran; this is its answer.
    Ran(A),
    /// Its outcome is not known.
    Unknown,
    /// It was not run.
    Refused(GuardRefusal),
}

/// Why a guard does not run an operation.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum GuardRefusal {
    /// Another incarnation minted the ticket.
    NotMine,
    /// The memory is full; come back when records have expired.
    MemoryFull,
}

/// Bounds of a guard's memory.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct GuardLimits {
    /// Time in milliseconds for which a ticket may be used.
    pub retention_ms: u64,
    /// Records kept at most.
    pub entries: usize,
    /// Bytes of stored answers kept at most.
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

/// The records of one daemon's incarnation.
#[derive(Debug)]
pub struct Guard<A> {
    me: Incarnation,
    address: String,
    limits: GuardLimits,
    next_seq: u64,
    records: HashMap<OpId, Record<A>>,
    by_age: BTreeSet<(u64, OpId)>,
    bytes: usize,
}

impl<A: Clone> Guard<A> {
    /// A guard with no records; `address` is its mesh address.
    pub fn new(me: Incarnation, address: String, limits: GuardLimits) -> Self {
        Guard {
            me,
            address,
            limits,
            next_seq: 0,
            records: HashMap::new(),
            by_age: BTreeSet::new(),
            bytes: 0,
        }
    }

    /// Changes the bounds; records over a new bound stay.
    pub fn set_limits(&mut self, limits: GuardLimits) {
        self.limits = limits;
    }

    /// Mints a ticket. Costs no memory until the ticket is used.
    pub fn mint(&mut self, now_ms: u64) -> Ticket {
        self.next_seq += 1;
        Ticket {
            op: OpId {
                incarnation: self.me,
                seq: self.next_seq,
            },
            minted_ms: now_ms,
            guard: self.address.clone(),
        }
    }

    /// A call with this ticket arrived, here or passed on by another daemon.
    pub fn begin(&mut self, now_ms: u64, ticket: &Ticket) -> Begin<A> {
        self.expire(now_ms);
        if ticket.op.incarnation != self.me {
            return Begin::Refused(GuardRefusal::NotMine);
        }
        if let Some(record) = self.records.get(&ticket.op) {
            return match &record.state {
                State::Running => Begin::Running,
                State::Ran(answer, _) => Begin::Ran(answer.clone()),
                State::Unknown => Begin::Unknown,
            };
        }
        if self.is_expired(now_ms, ticket.minted_ms) {
            return Begin::Unknown;
        }
        if self.records.len() >= self.limits.entries || self.bytes >= self.limits.bytes {
            return Begin::Refused(GuardRefusal::MemoryFull);
        }
        let record = Record {
            minted_ms: ticket.minted_ms,
            state: State::Running,
        };
        self.records.insert(ticket.op, record);
        self.by_age.insert((ticket.minted_ms, ticket.op));
        Begin::Run
    }

    /// The run of an operation ended. `size` is what its answer weighs in bytes.
    pub fn finished(&mut self, op: OpId, outcome: Outcome<A>, size: usize) {
        match outcome {
            Outcome::Ran(answer) => {
                if self.set(op, State::Ran(answer, size)) {
                    self.bytes += size;
                }
            }
            Outcome::Unknown => {
                self.set(op, State::Unknown);
            }
            Outcome::NotRun => self.forget(op),
        }
    }

    /// An operation whose outcome was unknown has been settled after all.
    pub fn settled(&mut self, op: OpId, outcome: Outcome<A>, size: usize) {
        let state = self.records.get(&op).map(|record| &record.state);
        if matches!(state, Some(State::Unknown)) {
            self.finished(op, outcome, size);
        }
    }

    /// Forgets the answers that may not be kept any more. That their operations ran is
    /// still known, so that none runs again.
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

    /// Records kept.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether no record is kept.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    fn is_expired(&self, now_ms: u64, minted_ms: u64) -> bool {
        now_ms.saturating_sub(minted_ms) > self.limits.retention_ms
    }

    /// Forgets records whose tickets are refused from now on anyway.
    fn expire(&mut self, now_ms: u64) {
        while let Some((minted_ms, op)) = self.by_age.first().copied() {
            let state = self.records.get(&op).map(|record| &record.state);
            if matches!(state, Some(State::Running)) || !self.is_expired(now_ms, minted_ms) {
                return;
            }
            self.forget(op);
        }
    }

    fn set(&mut self, op: OpId, state: State<A>) -> bool {
        let Some(record) = self.records.get_mut(&op) else {
            return false;
        };
        record.state = state;
        true
    }

    fn forget(&mut self, op: OpId) {
        let Some(record) = self.records.remove(&op) else {
            return;
        };
        self.by_age.remove(&(record.minted_ms, op));
        if let State::Ran(_, size) = record.state {
            self.bytes -= size;
        }
    }
}
