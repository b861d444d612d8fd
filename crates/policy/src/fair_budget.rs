//! A budget of measuring that serves whoever was refused first.
//!
//! Small pieces of work come often and always find some room; a large one that comes
//! seldom never would. So who is refused gets a place in a queue, and what others ask for
//! is granted only if all that stand before them could still be granted after it.

use std::collections::VecDeque;

use crate::budget::{Budget, Cost, Limits};
use crate::ids::Micros;

/// Time for which a place is kept without being asked for again: more than twice the
/// pause after which the polls come back (200 ms), so that who no longer wants anything
/// holds up nobody for long.
const PLACE_KEPT_US: Micros = 500_000;

/// Somebody who was refused.
#[derive(Clone, Copy, Debug)]
struct Waiting<W> {
    who: W,
    cost: Cost,
    asked_at: Micros,
}

/// A budget with a queue of those that it refused; `W` names who asks.
#[derive(Clone, Debug)]
pub struct FairBudget<W> {
    budget: Budget,
    queue: VecDeque<Waiting<W>>,
}

impl<W: Copy + Eq> FairBudget<W> {
    /// A budget with nothing spent and nobody waiting.
    pub fn new(limits: Limits) -> Self {
        FairBudget {
            budget: Budget::new(limits),
            queue: VecDeque::new(),
        }
    }

    /// The budget, for what was spent and refused.
    pub fn budget(&self) -> &Budget {
        &self.budget
    }

    /// Changes the limits. What was granted in the last second still counts.
    pub fn set_limits(&mut self, limits: Limits) {
        self.budget.set_limits(limits);
    }

    /// Grants `cost` whole, or refuses it whole and keeps a place for `who`.
    pub fn ask(&mut self, now: Micros, who: W, cost: Cost) -> bool {
        self.queue
            .retain(|waiting| now.saturating_sub(waiting.asked_at) < PLACE_KEPT_US);
        let before = self.queue.iter().take_while(|waiting| waiting.who != who);
        let room = before.fold(Cost::default(), |sum, waiting| sum + waiting.cost);
        let granted = self.budget.ask_leaving(now, cost, room);
        match granted {
            true => self.queue.retain(|waiting| waiting.who != who),
            false => self.keep_place(now, who, cost),
        }
        granted
    }

    /// What exceeds the limits by itself can never be granted and gets no place.
    fn keep_place(&mut self, now: Micros, who: W, cost: Cost) {
        if !cost.is_within(self.budget.limits()) {
            return;
        }
        let place = self.queue.iter_mut().find(|waiting| waiting.who == who);
        match place {
            Some(place) => {
                place.cost = cost;
                place.asked_at = now;
            }
            None => self.queue.push_back(Waiting {
                who,
                cost,
                asked_at: now,
            }),
        }
    }
}
