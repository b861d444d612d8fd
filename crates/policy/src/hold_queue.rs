//! Queue of calls that wait for a slot at one target.
//!
//! Nested calls are dispatched first, because another call occupies a slot while it waits
//! for them. Next come the calls that can still meet their goal, by priority and then by
//! goal, and last those that cannot, by priority and then by deadline.

use crate::elsewhere::Elsewhere;
use crate::ids::{CallId, Micros};
use crate::service_time::CallKind;
use crate::target_notice::OfferShare;

/// Attributes of a call besides its deadline.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct CallAttributes {
    /// Time after which the answer loses most of its value; `None` means the deadline.
    pub goal: Option<Micros>,
    /// Kind of the call.
    pub kind: CallKind,
    /// Priority; 0 is the highest.
    pub priority: u32,
    /// Whether the call was made by a target while it runs another call, which waits for
    /// this one.
    pub nested: bool,
    /// Where the router can offer the call if it is refused here.
    pub elsewhere: Elsewhere,
    /// Share of its calls out of which the router offered this one; `None` if it offers the
    /// call whatever the share.
    pub share: Option<OfferShare>,
}

/// Factor by which the time until the goal of a nested call is extended. What matters is
/// the answer to the outer call, whose goal is later and not known here. A refusal would
/// fail the outer call, which has already used its slot and done its work.
const NESTED_GOAL_FACTOR: u64 = 2;

impl CallAttributes {
    /// Returns the goal that applies to a call arriving now.
    pub fn effective_goal(&self, now: Micros) -> Option<Micros> {
        let goal = self.goal?;
        let left_us = goal.saturating_sub(now);
        Some(match self.nested {
            true => now + left_us * NESTED_GOAL_FACTOR,
            false => goal,
        })
    }
}

/// A queued call, or one that is about to be queued.
#[derive(Clone, Copy, Debug)]
pub struct HeldCall {
    /// Call id.
    pub call: CallId,
    /// Time after which the answer is of no use.
    pub deadline: Micros,
    /// Other attributes of the call.
    pub attributes: CallAttributes,
    /// Time at which the call was offered.
    pub offered_at: Micros,
    arrival: u64,
}

/// Divisor of the time until the goal: a call refused within the resulting time can be
/// retried and served nearly as soon as others.
const RETRY_TIME_DIVISOR: u64 = 4;

impl HeldCall {
    /// Returns whether the call comes from a caller that can still retry in time if it is
    /// refused now.
    pub fn can_retry_in_time(&self, now: Micros) -> bool {
        let total_us = self.goal().saturating_sub(self.offered_at);
        let waited_us = now.saturating_sub(self.offered_at);
        !self.attributes.nested && waited_us * RETRY_TIME_DIVISOR <= total_us
    }

    /// Time that was left until the goal of the call's route when it was offered, in
    /// microseconds.
    pub fn initial_goal_us(&self) -> f64 {
        let factor = if self.attributes.nested {
            NESTED_GOAL_FACTOR
        } else {
            1
        };
        let extended_us = self.goal().saturating_sub(self.offered_at);
        (extended_us / factor) as f64
    }

    /// Time after which the answer loses most of its value.
    pub fn goal(&self) -> Micros {
        self.attributes
            .goal
            .unwrap_or(self.deadline)
            .min(self.deadline)
    }
}

/// Sort key of queued calls; the lowest is dispatched first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct DispatchKey {
    /// Nested calls sort first, because the outer call occupies a slot while it waits.
    not_nested: bool,
    misses_goal: bool,
    priority: u32,
    due: Micros,
    arrival: u64,
}

/// Queue of the calls that wait for a slot at one target.
#[derive(Debug, Default)]
pub struct HoldQueue {
    calls: Vec<HeldCall>,
    arrivals: u64,
}

impl HoldQueue {
    /// Returns the number of queued calls.
    pub fn len(&self) -> usize {
        self.calls.len()
    }

    /// Returns whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

    /// Returns whether any queued call is nested; `None` if the queue is empty.
    pub fn has_nested(&self) -> Option<bool> {
        let any = self.calls.iter().any(|held| held.attributes.nested);
        (!self.calls.is_empty()).then_some(any)
    }

    /// Returns the attributes of the queued calls.
    pub fn attributes(&self) -> impl Iterator<Item = &CallAttributes> {
        self.calls.iter().map(|held| &held.attributes)
    }

    /// Returns whether the call is queued.
    pub fn contains(&self, call: CallId) -> bool {
        self.calls.iter().any(|held| held.call == call)
    }

    /// Creates the entry of an arriving call without queuing it.
    pub fn new_entry(
        &mut self,
        now: Micros,
        call: CallId,
        deadline: Micros,
        attributes: CallAttributes,
    ) -> HeldCall {
        self.arrivals += 1;
        let attributes = CallAttributes {
            goal: attributes.effective_goal(now),
            ..attributes
        };
        HeldCall {
            call,
            deadline,
            attributes,
            offered_at: now,
            arrival: self.arrivals,
        }
    }

    /// Queues a call.
    pub fn push(&mut self, held: HeldCall) {
        self.calls.push(held);
    }

    /// Removes a call from the queue.
    pub fn remove(&mut self, call: CallId) {
        self.calls.retain(|held| held.call != call);
    }

    /// Removes and returns the calls that can no longer finish before their deadline.
    pub fn take_infeasible(
        &mut self,
        now: Micros,
        service_us: impl Fn(CallKind) -> Micros,
    ) -> Vec<CallId> {
        let mut infeasible = Vec::new();
        self.calls.retain(|held| {
            let is_infeasible = now + service_us(held.attributes.kind) > held.deadline;
            if is_infeasible {
                infeasible.push(held.call);
            }
            !is_infeasible
        });
        infeasible
    }

    /// Returns the queued calls in dispatch order. `service_us` returns the current
    /// expected service time of a call kind.
    pub fn in_dispatch_order(
        &self,
        now: Micros,
        service_us: impl Fn(CallKind) -> Micros,
    ) -> Vec<HeldCall> {
        let mut calls = self.calls.clone();
        calls.sort_by_key(|held| dispatch_key(now, held, &service_us));
        calls
    }

    /// Returns the queued calls that would be dispatched before `candidate`.
    pub fn dispatched_before<'a>(
        &'a self,
        now: Micros,
        candidate: &HeldCall,
        service_us: &'a impl Fn(CallKind) -> Micros,
    ) -> impl Iterator<Item = &'a HeldCall> {
        let own_key = dispatch_key(now, candidate, service_us);
        self.calls
            .iter()
            .filter(move |held| dispatch_key(now, held, service_us) < own_key)
    }
}

fn dispatch_key(
    now: Micros,
    held: &HeldCall,
    service_us: impl Fn(CallKind) -> Micros,
) -> DispatchKey {
    let misses_goal = now + service_us(held.attributes.kind) > held.goal();
    DispatchKey {
        not_nested: !held.attributes.nested,
        misses_goal,
        priority: held.attributes.priority,
        due: if misses_goal {
            held.deadline
        } else {
            held.goal()
        },
        arrival: held.arrival,
    }
}
