//! How much of all bodies in pieces may be on its way to one daemon at once.
//!
//! What is on its way waits in front of the daemon's narrowest link, and every small message
//! waits behind it. So the receiver lets come little at once, whoever sends it. The body that
//! came first goes first: where all went at once, an overload would have all come too late.
//! One that is larger than its window comes behind the others with each further window.

use std::collections::VecDeque;

use crate::ids::Micros;

/// Bytes that a sender is told of at a time: a message for a few pieces.
const GRANT_BYTES: u64 = 16 << 10;
/// Time after which bytes that were let come and did not come are taken for not on their way:
/// their sender waits for its caller, and others need not wait for it.
const STALE_US: Micros = 100_000;

/// Bytes that one body was let send.
#[derive(Clone, Copy, Debug)]
struct Grant<K> {
    body: K,
    left: u64,
    at: Micros,
}

/// The bytes on their way, and the bodies that wait for their turn.
#[derive(Clone, Debug)]
pub struct BodyMeter<K> {
    limit: u64,
    granted: VecDeque<Grant<K>>,
    waiting: VecDeque<(K, u64)>,
}

impl<K: Copy + Eq> BodyMeter<K> {
    /// Nothing is on its way, and at most `limit` bytes ever are.
    pub fn new(limit: u64) -> Self {
        BodyMeter {
            limit,
            granted: VecDeque::new(),
            waiting: VecDeque::new(),
        }
    }

    /// There is room for so many bytes more of a body. What it wanted before keeps its place.
    pub fn want(&mut self, body: K, bytes: u64) {
        match self.waiting.back_mut() {
            Some((known, wanted)) if *known == body => *wanted += bytes,
            _ => self.waiting.push_back((body, bytes)),
        }
    }

    /// Bytes of bodies that wait for their turn.
    pub fn backlog(&self) -> u64 {
        self.waiting.iter().map(|(_, wanted)| wanted).sum()
    }

    /// Bytes of a body arrived.
    pub fn arrived(&mut self, body: K, mut bytes: u64) {
        for grant in self.granted.iter_mut().filter(|grant| grant.body == body) {
            let used = grant.left.min(bytes);
            grant.left -= used;
            bytes -= used;
        }
        self.granted.retain(|grant| grant.left > 0);
    }

    /// Nothing more of a body comes.
    pub fn end(&mut self, body: K) {
        self.granted.retain(|grant| grant.body != body);
        self.waiting.retain(|(known, _)| *known != body);
    }

    /// The body that may send now, and how much.
    pub fn next(&mut self, now: Micros) -> Option<(K, u64)> {
        let place = self.first_in_turn(now)?;
        let (body, wanted) = self.waiting[place];
        let bytes = wanted.min(GRANT_BYTES);
        if self.on_the_way(now) + bytes > self.limit {
            return None;
        }
        match wanted > bytes {
            true => self.waiting[place].1 -= bytes,
            false => drop(self.waiting.remove(place)),
        }
        let grant = Grant {
            body,
            left: bytes,
            at: now,
        };
        self.granted.push_back(grant);
        Some((body, bytes))
    }

    /// The body that came first, but for those that do not send what they were let send.
    fn first_in_turn(&self, now: Micros) -> Option<usize> {
        let is_stale = |grant: &Grant<K>| now >= grant.at + STALE_US;
        let is_slow = |body: K| self.granted.iter().any(|g| g.body == body && is_stale(g));
        let prompt = self.waiting.iter().position(|(body, _)| !is_slow(*body));
        prompt.or((!self.waiting.is_empty()).then_some(0))
    }

    /// Bytes that may be on their way.
    pub fn on_the_way(&self, now: Micros) -> u64 {
        let is_fresh = |grant: &&Grant<K>| now < grant.at + STALE_US;
        let fresh = self.granted.iter().filter(is_fresh);
        fresh.map(|grant| grant.left).sum()
    }
}
