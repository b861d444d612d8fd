//! Which targets of a service may have been alive since a ticket was minted.
//!
//! A recovery may say `not-run` only if every half that could have run the
//! operation was asked. The host list lags, so a host that left it recently, or
//! one that is not on it yet, could be such a half.

use std::collections::HashMap;

/// One daemon's record of the halves of each service that are gone.
#[derive(Debug)]
pub struct Roster {
    started_ms: u64,
    gone_ms: HashMap<String, u64>,
}

impl Roster {
    /// A record that starts at `started_ms` (since 1970).
    pub fn new(started_ms: u64) -> Self {
        Roster {
            started_ms,
            gone_ms: HashMap::new(),
        }
    }

    /// A host of `service` left the list, or came back as another incarnation.
    pub fn gone(&mut self, now_ms: u64, service: &str) {
        self.gone_ms.insert(service.to_owned(), now_ms);
    }

    /// Whether the present list holds every half of `service` that was alive at
    /// any time since `minted_ms`. `lag_ms` is the longest that the list lags.
    pub fn covers(&self, now_ms: u64, service: &str, minted_ms: u64, lag_ms: u64) -> bool {
        let watched = self.started_ms + lag_ms <= minted_ms;
        let listed = now_ms >= minted_ms + lag_ms;
        let none_gone = self
            .gone_ms
            .get(service)
            .is_none_or(|gone| gone + lag_ms < minted_ms);
        watched && listed && none_gone
    }
}
