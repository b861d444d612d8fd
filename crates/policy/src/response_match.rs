//! Matches the responses on a connection to a target with the requests sent on it.
//!
//! HTTP/1.1 does not say which request a response answers, and a target may answer a request
//! twice. A response that repeats the name of its call shows which call it belongs to; any
//! other is accepted only where nothing else was asked on the connection.

use std::collections::HashSet;
use std::hash::{DefaultHasher, Hash, Hasher};

use crate::ids::Micros;

/// Calls that a connection carries. The names of all of them are remembered, since a surplus
/// response may come however late.
const CALL_LIMIT: usize = 1_024;
/// Surplus responses that are discarded while one call waits for its own.
const SURPLUS_LIMIT: u32 = 8;
/// Time after an unexpected response to a load query for which each query gets a connection of
/// its own, in microseconds.
const SINGLE_QUERY_US: Micros = 60_000_000;

/// Whether targets repeat the name of a call in the response to it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ResponseNaming {
    /// They always do.
    Required,
    /// Some do.
    Optional,
}

/// The name of a call that a response carries.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ResponseName<'a> {
    /// It names no call.
    Absent,
    /// It names one.
    Call(&'a [u8]),
    /// It names more than one.
    Ambiguous,
}

/// What a response is to the call that waits on its connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ResponseMatch {
    /// It answers the call.
    Own {
        /// Whether the connection may carry another call.
        reusable: bool,
    },
    /// It is a further response to an earlier request. The call's own may follow it.
    Surplus,
    /// It cannot be attributed, so that nothing on this connection can be trusted.
    Unmatched,
}

/// The requests of one connection, as far as responses are matched with them.
#[derive(Clone, Debug)]
pub struct ResponseMatcher {
    naming: ResponseNaming,
    /// Hashes of the names of the calls before the current one.
    earlier: HashSet<u64>,
    current: Option<u64>,
    /// Whether a response here may have had no body though its head states one.
    has_head_request: bool,
    surplus: u32,
}

impl ResponseMatcher {
    /// A connection on which nothing was sent.
    pub fn new(naming: ResponseNaming) -> Self {
        ResponseMatcher {
            naming,
            earlier: HashSet::new(),
            current: None,
            has_head_request: false,
            surplus: 0,
        }
    }

    /// Whether a call may be sent on the connection. Two attempts of a call have the same name,
    /// so that a surplus response to the first would pass for one to the second.
    pub fn may_send(&self, call: &str) -> bool {
        let call = hash(call.as_bytes());
        self.current != Some(call) && !self.earlier.contains(&call)
    }

    /// A call is sent.
    pub fn on_request(&mut self, call: &str, is_head: bool) {
        if let Some(earlier) = self.current.replace(hash(call.as_bytes())) {
            self.earlier.insert(earlier);
        }
        self.has_head_request |= is_head;
        self.surplus = 0;
    }

    /// The head of a response arrived while the last call waits.
    pub fn on_response(&mut self, name: ResponseName<'_>) -> ResponseMatch {
        let is_first = self.earlier.is_empty();
        match name {
            ResponseName::Call(name) if self.is_current(name) => ResponseMatch::Own {
                reusable: self.surplus == 0 && self.earlier.len() + 1 < CALL_LIMIT,
            },
            ResponseName::Call(name) if self.is_earlier(name) => self.surplus(),
            ResponseName::Absent if self.naming == ResponseNaming::Required && !is_first => {
                self.surplus()
            }
            ResponseName::Absent if self.naming == ResponseNaming::Optional && is_first => {
                ResponseMatch::Own { reusable: false }
            }
            _ => ResponseMatch::Unmatched,
        }
    }

    /// The method that a surplus response answers is unknown, and with it whether it has a body,
    /// where one of the requests was HEAD.
    fn surplus(&mut self) -> ResponseMatch {
        self.surplus += 1;
        match self.has_head_request || self.surplus > SURPLUS_LIMIT {
            true => ResponseMatch::Unmatched,
            false => ResponseMatch::Surplus,
        }
    }

    fn is_current(&self, name: &[u8]) -> bool {
        self.current == Some(hash(name))
    }

    fn is_earlier(&self, name: &[u8]) -> bool {
        self.earlier.contains(&hash(name))
    }
}

fn hash(name: &[u8]) -> u64 {
    let mut hasher = DefaultHasher::new();
    name.hash(&mut hasher);
    hasher.finish()
}

/// Whether the connection of a load query may carry the next one. Responses to load queries
/// name nothing, so a second response to one would pass for the response to the next.
#[derive(Clone, Copy, Debug, Default)]
pub struct QueryConnections {
    single_until: Micros,
}

impl QueryConnections {
    /// Something arrived on a connection for load queries that nothing was asked for.
    pub fn on_surplus(&mut self, now: Micros) {
        self.single_until = now.saturating_add(SINGLE_QUERY_US);
    }

    /// Whether a connection on which a query was answered may carry another.
    pub fn is_reusable(&self, now: Micros) -> bool {
        now >= self.single_until
    }
}
