//! Whether the host list holds every target that was alive since a ticket was minted.
//!
//! A recovery may report `not-run` only if the daemon of every target that could have run
//! the operation was asked. The host list lags, and may be unreadable for a while, so a
//! host that left it recently, or is not on it yet, may have run the operation.

use std::collections::HashMap;

/// When one daemon read the host list, and when targets of each service left it.
#[derive(Debug, Default)]
pub struct HostListHistory {
    /// When the first and the last complete read of the list started.
    first_and_last_read_ms: Option<(u64, u64)>,
    /// When a target of a service last left the list or was replaced.
    last_departure_ms: HashMap<String, u64>,
}

impl HostListHistory {
    /// Creates the history of a daemon that has not read the list.
    pub fn new() -> Self {
        HostListHistory::default()
    }

    /// Records a complete read of the list that started at `started_ms`, in milliseconds
    /// since 1970.
    pub fn record_read(&mut self, started_ms: u64) {
        let first = self
            .first_and_last_read_ms
            .map_or(started_ms, |(first, _)| first);
        self.first_and_last_read_ms = Some((first, started_ms));
    }

    /// Records that a host of `service` left the list, or came back as another incarnation.
    pub fn record_departure(&mut self, now_ms: u64, service: &str) {
        self.last_departure_ms.insert(service.to_owned(), now_ms);
    }

    /// Whether the list as last read holds every target of `service` that was alive at any
    /// time since `minted_ms`. `lag_ms` is the maximum lag of the list.
    pub fn covers(&self, service: &str, minted_ms: u64, lag_ms: u64) -> bool {
        let Some((first_ms, last_ms)) = self.first_and_last_read_ms else {
            return false;
        };
        let read_before = first_ms + lag_ms <= minted_ms;
        let read_since = last_ms >= minted_ms + lag_ms;
        let no_departure = self
            .last_departure_ms
            .get(service)
            .is_none_or(|departed_ms| departed_ms + lag_ms < minted_ms);
        read_before && read_since && no_departure
    }
}
