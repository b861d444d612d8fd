//! Messages between daemons, which are delayed, duplicated, or lost during a partition.

use lynxcleat_policy::RolloutUpdate;
use rand::RngExt;

use super::{Message, Simulation};
use crate::{MS, SERVICE};

impl Simulation {
    pub(super) fn is_partitioned(&self, daemon: usize) -> bool {
        let partition = self.daemons[daemon].partition;
        partition.is_some_and(|(from, to)| (from..to).contains(&self.now))
    }

    pub(super) fn store_answers(&self, daemon: usize) -> bool {
        let outage = self.disturbance.store_outage;
        !self.is_partitioned(daemon)
            && !outage.is_some_and(|(from, to)| (from..to).contains(&self.now))
    }

    /// Sends a message to all other daemons but partitioned ones, sometimes twice.
    pub(super) fn broadcast(&mut self, from: usize, message: &Message) {
        if self.is_partitioned(from) {
            return;
        }
        for to in 0..self.daemons.len() {
            if to == from || self.is_partitioned(to) {
                continue;
            }
            let delay = self.rng.random_range(1..40) * MS;
            self.send(to, delay, message.clone());
            if self.rng.random_bool(0.1) {
                let later = self.rng.random_range(1..900) * MS;
                self.send(to, later, message.clone());
            }
        }
    }

    pub(super) fn update_of(&self, daemon: usize) -> Option<RolloutUpdate> {
        let known = self.daemons[daemon].rollouts.get(SERVICE)?;
        Some(known.to_update(self.now))
    }

    pub(super) fn announce_update(&mut self, from: usize) {
        if let Some(update) = self.update_of(from) {
            self.broadcast(from, &Message::Update(update));
        }
    }

    /// Exchanges updates in both directions over new links to all other daemons.
    pub(super) fn exchange_updates(&mut self, daemon: usize) {
        let others: Vec<usize> = (0..self.daemons.len())
            .filter(|other| *other != daemon)
            .collect();
        for other in others {
            if let Some(update) = self.update_of(other) {
                self.send(daemon, 5 * MS, Message::Update(update));
            }
            if let Some(update) = self.update_of(daemon) {
                self.send(other, 5 * MS, Message::Update(update));
            }
        }
    }
}
