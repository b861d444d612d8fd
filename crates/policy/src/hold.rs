//! Calls held for a slot at one target, and which of them is next.
//!
//! Nested calls go first, since another call holds a slot while it waits for them. Of
//! the others, those that can still make their goal go first: by rank, then by goal.
//! Those that cannot go after them, by rank, then by deadline.

use crate::elsewhere::Elsewhere;
use crate::ids::{CallId, Micros};
use crate::work::CallKind;

/// What a call asks for besides its deadline.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct CallTerms {
    /// When its answer loses most of its worth; its deadline where absent.
    pub goal: Option<Micros>,
    /// What kind of call it is.
    pub kind: CallKind,
    /// Its rank; 0 is the highest.
    pub priority: u32,
    /// Whether a target makes it while it runs a call of its own, which waits for it.
    pub nested: bool,
    /// Where its router can offer it if it is refused here.
    pub elsewhere: Elsewhere,
}

/// How many times the time until its goal a nested call may take. What counts is the answer
/// to the call that waits for it, whose goal is not known here and is longer; a refusal
/// would fail that call, which has taken its slot and its work already.
const NESTED_PATIENCE: u64 = 2;

impl CallTerms {
    /// When the answer of a call that arrives now loses most of its worth.
    pub fn goal_of(&self, now: Micros) -> Option<Micros> {
        let goal = self.goal?;
        let left_us = goal.saturating_sub(now);
        Some(match self.nested {
            true => now + left_us * NESTED_PATIENCE,
            false => goal,
        })
    }
}

/// A call that is held.
#[derive(Clone, Copy, Debug)]
pub struct Held {
    /// The call.
    pub call: CallId,
    /// When its answer is no longer useful.
    pub deadline: Micros,
    /// What else it asks for.
    pub terms: CallTerms,
    /// When it was offered.
    pub offered_at: Micros,
    arrival: u64,
}

/// Part of the time until its goal in which a caller that is refused can come back and be
/// served nearly as soon as others.
const COME_BACK_PART: u64 = 4;

impl Held {
    /// Whether it is made by a caller that can come back in time if it is refused now.
    pub fn can_come_back(&self, now: Micros) -> bool {
        let whole_us = self.goal().saturating_sub(self.offered_at);
        let waited_us = now.saturating_sub(self.offered_at);
        !self.terms.nested && waited_us * COME_BACK_PART <= whole_us
    }

    /// Time until the goal of its route when it was offered, in microseconds.
    pub fn whole_us(&self) -> f64 {
        let patience = if self.terms.nested {
            NESTED_PATIENCE
        } else {
            1
        };
        let whole_us = self.goal().saturating_sub(self.offered_at);
        (whole_us / patience) as f64
    }

    /// When its answer loses most of its worth.
    pub fn goal(&self) -> Micros {
        self.terms.goal.unwrap_or(self.deadline).min(self.deadline)
    }
}

/// Order among held calls; the least is next.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Turn {
    /// A nested call first: another call holds a slot for it.
    not_nested: bool,
    late: bool,
    priority: u32,
    due: Micros,
    arrival: u64,
}

/// The calls held at one target.
#[derive(Debug, Default)]
pub struct Hold {
    held: Vec<Held>,
    arrivals: u64,
}

impl Hold {
    /// How many are held.
    pub fn len(&self) -> usize {
        self.held.len()
    }

    /// Whether none is.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    /// Whether any held call is a nested one; nothing where none is held.
    pub fn any_nested(&self) -> Option<bool> {
        let any = self.held.iter().any(|held| held.terms.nested);
        (!self.held.is_empty()).then_some(any)
    }

    /// Whether a call is held.
    pub fn contains(&self, call: CallId) -> bool {
        self.held.iter().any(|held| held.call == call)
    }

    /// Makes a call that arrives now and could be held.
    pub fn candidate(
        &mut self,
        now: Micros,
        call: CallId,
        deadline: Micros,
        terms: CallTerms,
    ) -> Held {
        self.arrivals += 1;
        let terms = CallTerms {
            goal: terms.goal_of(now),
            ..terms
        };
        Held {
            call,
            deadline,
            terms,
            offered_at: now,
            arrival: self.arrivals,
        }
    }

    /// Holds a call.
    pub fn push(&mut self, held: Held) {
        self.held.push(held);
    }

    /// Holds a call no longer.
    pub fn remove(&mut self, call: CallId) {
        self.held.retain(|held| held.call != call);
    }

    /// Takes out the calls that cannot finish before their deadline any more.
    pub fn take_hopeless(
        &mut self,
        now: Micros,
        service_us: impl Fn(CallKind) -> Micros,
    ) -> Vec<CallId> {
        let mut hopeless = Vec::new();
        self.held.retain(|held| {
            let is_hopeless = now + service_us(held.terms.kind) > held.deadline;
            if is_hopeless {
                hopeless.push(held.call);
            }
            !is_hopeless
        });
        hopeless
    }

    /// The held calls in the order in which they are next, where `service_us` says how long
    /// a call would take now.
    pub fn in_turn(&self, now: Micros, service_us: impl Fn(CallKind) -> Micros) -> Vec<Held> {
        let mut held = self.held.clone();
        held.sort_by_key(|held| turn(now, held, &service_us));
        held
    }

    /// Those that would be next before `candidate`.
    pub fn ahead<'a>(
        &'a self,
        now: Micros,
        candidate: &Held,
        service_us: &'a impl Fn(CallKind) -> Micros,
    ) -> impl Iterator<Item = &'a Held> {
        let own = turn(now, candidate, service_us);
        self.held
            .iter()
            .filter(move |held| turn(now, held, service_us) < own)
    }
}

fn turn(now: Micros, held: &Held, service_us: impl Fn(CallKind) -> Micros) -> Turn {
    let late = now + service_us(held.terms.kind) > held.goal();
    Turn {
        not_nested: !held.terms.nested,
        late,
        priority: held.terms.priority,
        due: if late { held.deadline } else { held.goal() },
        arrival: held.arrival,
    }
}
