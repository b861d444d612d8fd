//! What daemons tell each other: late, twice, or not at all while one is cut off.

use lynxcleat_policy::RolloutNews;
use rand::RngExt;

use super::{Message, World};
use crate::{MS, SERVICE};

impl World {
    pub(super) fn is_cut(&self, daemon: usize) -> bool {
        let cut = self.daemons[daemon].cut;
        cut.is_some_and(|(from, to)| (from..to).contains(&self.now))
    }

    pub(super) fn store_answers(&self, daemon: usize) -> bool {
        let silent = self.trouble.store_silent;
        !self.is_cut(daemon) && !silent.is_some_and(|(from, to)| (from..to).contains(&self.now))
    }

    /// Tells all others, now and then twice; who is cut off hears nothing.
    pub(super) fn tell(&mut self, from: usize, message: &Message) {
        if self.is_cut(from) {
            return;
        }
        for to in 0..self.daemons.len() {
            if to == from || self.is_cut(to) {
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

    pub(super) fn news_of(&self, daemon: usize) -> Option<RolloutNews> {
        let known = self.daemons[daemon].rollouts.of(SERVICE)?;
        Some(known.news(self.now))
    }

    pub(super) fn tell_news(&mut self, from: usize) {
        if let Some(news) = self.news_of(from) {
            self.tell(from, &Message::News(news));
        }
    }

    /// A link is new: both ends say what they know.
    pub(super) fn greet(&mut self, daemon: usize) {
        let others: Vec<usize> = (0..self.daemons.len())
            .filter(|other| *other != daemon)
            .collect();
        for other in others {
            if let Some(news) = self.news_of(other) {
                self.send(daemon, 5 * MS, Message::News(news));
            }
            if let Some(news) = self.news_of(daemon) {
                self.send(other, 5 * MS, Message::News(news));
            }
        }
    }
}
