//! One bound over the memory of all answers of its target that a daemon reads, or has read and
//! not yet written.
//!
//! Every answer may hold a small allowance without waiting for large ones. What an answer holds
//! beyond it comes from a pool that all share. Where the pool is full, one answer at a time goes
//! on in a reserve as large as the largest answer, and all that it took goes back; the others
//! wait in the order in which they asked.
//!
//! Allowances, pool and reserve together are the bound: the reserve is the size of the largest
//! answer, the allowances are one for each answer that can be read at a time, and the pool is
//! what is left. Where too little is left, allowances shrink to [`MIN_ALLOWANCE_BYTES`], and
//! that much an answer is held beyond the bound at most. More answers than can be read at a time
//! may be held, since those that were read wait to be written: small ones wait for each other
//! where together they hold as much as all allowances.
//!
//! The answer in the reserve never waits, and whoever waits first moves into the reserve when
//! it ends. So nobody waits longer than those that asked before take to end. An answer that
//! stalls in the reserve delays others up to the deadline of its own call while it is read, and
//! until its link takes it or counts as lost while it is written.

use std::collections::{HashMap, VecDeque};

/// Most that an answer may hold without asking, in bytes.
pub const MAX_ALLOWANCE_BYTES: u64 = 64 << 10;
/// What an answer may hold without asking however tight memory is, in bytes.
pub const MIN_ALLOWANCE_BYTES: u64 = 4 << 10;

/// What the bound follows from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AnswerMemoryLimits {
    /// Bytes that all answers may hold.
    pub total_bytes: u64,
    /// Size of the largest answer.
    pub answer_bytes: u64,
    /// Answers that can be read at a time.
    pub answers: u64,
}

impl AnswerMemoryLimits {
    /// Bytes that an answer may hold without asking.
    pub fn allowance_bytes(&self) -> u64 {
        let spare = self.total_bytes.saturating_sub(self.answer_bytes);
        let share = spare / self.answers.max(1);
        share.clamp(MIN_ALLOWANCE_BYTES, MAX_ALLOWANCE_BYTES)
    }

    /// Bytes of the pool that answers share beyond their allowances.
    pub fn pool_bytes(&self) -> u64 {
        let taken = self.allowances_bytes().saturating_add(self.answer_bytes);
        self.total_bytes.saturating_sub(taken)
    }

    /// Bytes that all allowances have together.
    pub fn allowances_bytes(&self) -> u64 {
        self.answers.saturating_mul(self.allowance_bytes())
    }

    /// Most bytes that all answers hold together.
    pub fn bound_bytes(&self) -> u64 {
        let fixed = self.allowances_bytes().saturating_add(self.answer_bytes);
        fixed.saturating_add(self.pool_bytes())
    }
}

/// What one answer holds.
#[derive(Clone, Copy, Debug, Default)]
struct Held {
    bytes: u64,
    /// How much of it is of the allowances.
    allowance_bytes: u64,
    /// How much of it is the pool's.
    pool_bytes: u64,
}

/// Memory of the answers that are read, each known by a number.
#[derive(Clone, Debug)]
pub struct AnswerMemory {
    limits: AnswerMemoryLimits,
    answers: HashMap<u64, Held>,
    allowances_used: u64,
    pool_used: u64,
    /// The answer that goes on in the reserve.
    in_reserve: Option<u64>,
    waiting: VecDeque<(u64, u64)>,
}

impl AnswerMemory {
    /// No answer is read.
    pub fn new(limits: AnswerMemoryLimits) -> Self {
        AnswerMemory {
            limits,
            answers: HashMap::new(),
            allowances_used: 0,
            pool_used: 0,
            in_reserve: None,
            waiting: VecDeque::new(),
        }
    }

    /// Sets the limits. What answers hold stays theirs; `next_grant` tells who may go on.
    pub fn set_limits(&mut self, limits: AnswerMemoryLimits) {
        self.limits = limits;
    }

    /// Asks for `bytes` more for an answer. True where it holds them from now on; otherwise it
    /// waits until `next_grant` names it.
    pub fn grow(&mut self, answer: u64, bytes: u64) -> bool {
        let is_granted = self.fits_allowance(answer, bytes)
            || self.in_reserve == Some(answer)
            || self.waiting.is_empty() && self.may_go_on(answer, bytes);
        match is_granted {
            true => self.hold(answer, bytes),
            false => self.waiting.push_back((answer, bytes)),
        }
        is_granted
    }

    /// An answer waits no longer. What it holds stays its own.
    pub fn cancel(&mut self, answer: u64) {
        self.waiting.retain(|(waiting, _)| *waiting != answer);
    }

    /// An answer gives back all that it holds.
    pub fn remove(&mut self, answer: u64) {
        self.cancel(answer);
        if self.in_reserve == Some(answer) {
            self.in_reserve = None;
        }
        let held = self.answers.remove(&answer).unwrap_or_default();
        self.allowances_used -= held.allowance_bytes;
        self.pool_used -= held.pool_bytes;
    }

    /// The next answer that waited and now holds what it asked for. To be asked until there is
    /// none whenever limits were set, or an answer was removed or waits no longer.
    pub fn next_grant(&mut self) -> Option<u64> {
        let place = self.next_place()?;
        let (answer, bytes) = self.waiting.remove(place)?;
        self.hold(answer, bytes);
        Some(answer)
    }

    /// Place of the next that may go on: the first within its allowance, or the first of all.
    fn next_place(&mut self) -> Option<usize> {
        let (answer, bytes) = *self.waiting.front()?;
        let mut waiting = self.waiting.iter();
        let small = waiting.position(|(answer, bytes)| self.fits_allowance(*answer, *bytes));
        if small.is_some() {
            return small;
        }
        self.may_go_on(answer, bytes).then_some(0)
    }

    /// Bytes that all answers hold.
    pub fn held_bytes(&self) -> u64 {
        self.answers.values().map(|held| held.bytes).sum()
    }

    /// Answers that wait.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    fn held(&self, answer: u64) -> Held {
        self.answers.get(&answer).copied().unwrap_or_default()
    }

    fn fits_allowance(&self, answer: u64, bytes: u64) -> bool {
        self.pool_bytes_of(answer, bytes) == 0 && self.fits_allowances(bytes)
    }

    /// Whether all allowances together have room for `bytes` more.
    fn fits_allowances(&self, bytes: u64) -> bool {
        let used = self.allowances_used.saturating_add(bytes);
        used <= self.limits.allowances_bytes()
    }

    /// How much of `bytes` more is beyond the allowance.
    fn pool_bytes_of(&self, answer: u64, bytes: u64) -> u64 {
        let held = self.held(answer).bytes;
        let allowed = self.limits.allowance_bytes().saturating_sub(held);
        bytes.saturating_sub(allowed)
    }

    /// Whether the pool or the reserve, which it then moves into, takes `bytes` more.
    fn may_go_on(&mut self, answer: u64, bytes: u64) -> bool {
        let pool_bytes = self.pool_bytes_of(answer, bytes);
        let used = self.pool_used.saturating_add(pool_bytes);
        if used <= self.limits.pool_bytes() && self.fits_allowances(bytes - pool_bytes) {
            return true;
        }
        let is_free = self.in_reserve.is_none();
        if is_free {
            self.move_to_reserve(answer);
        }
        is_free
    }

    fn move_to_reserve(&mut self, answer: u64) {
        self.in_reserve = Some(answer);
        let held = self.answers.entry(answer).or_default();
        self.allowances_used -= held.allowance_bytes;
        self.pool_used -= held.pool_bytes;
        held.allowance_bytes = 0;
        held.pool_bytes = 0;
    }

    fn hold(&mut self, answer: u64, bytes: u64) {
        let is_in_reserve = self.in_reserve == Some(answer);
        let pool_bytes = self.pool_bytes_of(answer, bytes);
        let held = self.answers.entry(answer).or_default();
        held.bytes += bytes;
        if is_in_reserve {
            return;
        }
        held.allowance_bytes += bytes - pool_bytes;
        held.pool_bytes += pool_bytes;
        self.allowances_used += bytes - pool_bytes;
        self.pool_used += pool_bytes;
    }
}
