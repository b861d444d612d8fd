//! Flow-control credit shared by all streamed bodies that are sent to one daemon.
//!
//! Bytes in flight queue in front of the daemon's slowest link, and every small message
//! queues behind them. The receiver therefore grants only a little credit at once, across
//! all senders. Bodies are served in order of arrival: if all of them shared an overloaded
//! link, they would all arrive too late. A body larger than its window queues behind the
//! others for each further window.

use std::collections::VecDeque;

use crate::ids::Micros;

/// Largest grant, in bytes: one message covers several chunks.
const GRANT_BYTES: u64 = 16 << 10;
/// Age in microseconds at which granted bytes that have not arrived no longer count as in
/// flight: their sender is waiting for its caller, and other bodies need not wait for it.
const STALE_US: Micros = 100_000;

/// Credit granted to one body.
#[derive(Clone, Copy, Debug)]
struct Grant<K> {
    body: K,
    /// Granted bytes that have not arrived.
    left: u64,
    at: Micros,
}

/// Grants credit to bodies up to a limit of bytes in flight.
#[derive(Clone, Debug)]
pub struct BodyCreditScheduler<K> {
    limit: u64,
    granted: VecDeque<Grant<K>>,
    waiting: VecDeque<(K, u64)>,
}

impl<K: Copy + Eq> BodyCreditScheduler<K> {
    /// Creates a scheduler that allows at most `limit` bytes in flight.
    pub fn new(limit: u64) -> Self {
        BodyCreditScheduler {
            limit,
            granted: VecDeque::new(),
            waiting: VecDeque::new(),
        }
    }

    /// Requests credit for `bytes` more of a body. Its earlier requests keep their position.
    pub fn request(&mut self, body: K, bytes: u64) {
        match self.waiting.back_mut() {
            Some((known, requested)) if *known == body => *requested += bytes,
            _ => self.waiting.push_back((body, bytes)),
        }
    }

    /// Requested bytes that have not been granted.
    pub fn backlog(&self) -> u64 {
        self.waiting.iter().map(|(_, requested)| requested).sum()
    }

    /// Records bytes of a body that arrived.
    pub fn on_received(&mut self, body: K, mut bytes: u64) {
        for grant in self.granted.iter_mut().filter(|grant| grant.body == body) {
            let used = grant.left.min(bytes);
            grant.left -= used;
            bytes -= used;
        }
        self.granted.retain(|grant| grant.left > 0);
    }

    /// Removes a body that sends nothing more.
    pub fn remove(&mut self, body: K) {
        self.granted.retain(|grant| grant.body != body);
        self.waiting.retain(|(known, _)| *known != body);
    }

    /// Grants credit to the next body, if the limit allows. Returns the body and the number
    /// of bytes granted.
    pub fn next_grant(&mut self, now: Micros) -> Option<(K, u64)> {
        let index = self.next_index(now)?;
        let (body, requested) = self.waiting[index];
        let bytes = requested.min(GRANT_BYTES);
        if self.in_flight(now) + bytes > self.limit {
            return None;
        }
        match requested > bytes {
            true => self.waiting[index].1 -= bytes,
            false => drop(self.waiting.remove(index)),
        }
        let grant = Grant {
            body,
            left: bytes,
            at: now,
        };
        self.granted.push_back(grant);
        Some((body, bytes))
    }

    /// The oldest request of a body without a stale grant; without one, the oldest request.
    fn next_index(&self, now: Micros) -> Option<usize> {
        let is_stale = |grant: &Grant<K>| now >= grant.at + STALE_US;
        let is_stalled = |body: K| self.granted.iter().any(|g| g.body == body && is_stale(g));
        let active = self.waiting.iter().position(|(body, _)| !is_stalled(*body));
        active.or((!self.waiting.is_empty()).then_some(0))
    }

    /// Bytes granted that may still be in flight.
    pub fn in_flight(&self, now: Micros) -> u64 {
        let is_fresh = |grant: &&Grant<K>| now < grant.at + STALE_US;
        let fresh = self.granted.iter().filter(is_fresh);
        fresh.map(|grant| grant.left).sum()
    }
}
