//! Which targets of a service may have been alive since a ticket was minted.
//!
//! A recovery may say `not-run` only if every half that could have run the
//! operation was asked. The host list lags, and may not be readable for a while, so a
//! host that left it recently, or one that is not on it yet, could be such a half.

use std::collections::HashMap;

/// One daemon's record of what it read of the host list, and of the halves of each
/// service that are gone.
#[derive(Debug, Default)]
pub struct Roster {
    /// When the first and the last whole reading of the list began.
    read_ms: Option<(u64, u64)>,
    gone_ms: HashMap<String, u64>,
}

impl Roster {
    /// The record of a daemon that has not read the list.
    pub fn new() -> Self {
        Roster::default()
    }

    /// The whole list was read; the reading began at `begun_ms` (since 1970).
    pub fn listed(&mut self, begun_ms: u64) {
        let first = self.read_ms.map_or(begun_ms, |(first, _)| first);
        self.read_ms = Some((first, begun_ms));
    }

    /// A host of `service` left the list, or came back as another incarnation.
    pub fn gone(&mut self, now_ms: u64, service: &str) {
        self.gone_ms.insert(service.to_owned(), now_ms);
    }

    /// Whether the list as it was read last holds every half of `service` that was alive
    /// at any time since `minted_ms`. `lag_ms` is the longest that the list lags.
    pub fn covers(&self, service: &str, minted_ms: u64, lag_ms: u64) -> bool {
        let Some((first_ms, last_ms)) = self.read_ms else {
            return false;
        };
        let watched = first_ms + lag_ms <= minted_ms;
        let listed = last_ms >= minted_ms + lag_ms;
        let none_gone = self
            .gone_ms
            .get(service)
            .is_none_or(|gone| gone + lag_ms < minted_ms);
        watched && listed && none_gone
    }
}
