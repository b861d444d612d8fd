//! A measurement budget that serves refused requesters in order of refusal.
//!
//! Small, frequent requests nearly always find some of the budget free; a large, infrequent
//! one never would. A refused requester is therefore queued, and a request by another one is
//! granted only if the costs of all requesters queued before it could still be granted after
//! it.

use std::collections::VecDeque;

use crate::budget::{Budget, Cost, Limits};
use crate::ids::Micros;

/// Time for which a requester stays in the queue without repeating its request: more than
/// twice the interval at which refused polls retry (200 ms). A requester that gave up thus
/// blocks the others only briefly.
const QUEUE_TIMEOUT_US: Micros = 500_000;

/// A requester that was refused.
#[derive(Clone, Copy, Debug)]
struct Waiting<R> {
    requester: R,
    cost: Cost,
    requested_at: Micros,
}

/// A budget with a queue of the requesters that it refused. `R` identifies a requester.
#[derive(Clone, Debug)]
pub struct FairBudget<R> {
    budget: Budget,
    queue: VecDeque<Waiting<R>>,
}

impl<R: Copy + Eq> FairBudget<R> {
    /// Creates a budget from which nothing was spent, with an empty queue.
    pub fn new(limits: Limits) -> Self {
        FairBudget {
            budget: Budget::new(limits),
            queue: VecDeque::new(),
        }
    }

    /// The underlying budget, for its counters and limits.
    pub fn budget(&self) -> &Budget {
        &self.budget
    }

    /// Changes the limits. Costs granted in the last second still count.
    pub fn set_limits(&mut self, limits: Limits) {
        self.budget.set_limits(limits);
    }

    /// Grants `cost` as a whole, or refuses it as a whole and queues `requester`.
    pub fn try_spend(&mut self, now: Micros, requester: R, cost: Cost) -> bool {
        self.queue
            .retain(|waiting| now.saturating_sub(waiting.requested_at) < QUEUE_TIMEOUT_US);
        let before = self
            .queue
            .iter()
            .take_while(|waiting| waiting.requester != requester);
        let reserved = before.fold(Cost::default(), |sum, waiting| sum + waiting.cost);
        let granted = self.budget.try_spend_reserving(now, cost, reserved);
        match granted {
            true => self.queue.retain(|waiting| waiting.requester != requester),
            false => self.enqueue(now, requester, cost),
        }
        granted
    }

    /// Queues a requester, or updates its entry. A cost that exceeds the limits by itself can
    /// never be granted and is not queued.
    fn enqueue(&mut self, now: Micros, requester: R, cost: Cost) {
        if !cost.is_within(self.budget.limits()) {
            return;
        }
        let queued = self
            .queue
            .iter_mut()
            .find(|waiting| waiting.requester == requester);
        match queued {
            Some(queued) => {
                queued.cost = cost;
                queued.requested_at = now;
            }
            None => self.queue.push_back(Waiting {
                requester,
                cost,
                requested_at: now,
            }),
        }
    }
}
