//! Routes: which service serves a request, and on what terms.
//!
//! A route is chosen by the request's host and the longest prefix of its path. A
//! tree without routes names the service by the first label of the host instead.

use std::collections::HashMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::error::{Fault, SettingsError};
use crate::homes::names_region;
use crate::tree::Tree;

/// Path of a route in a tree, before its name.
pub(crate) const ROUTES: &str = "routes.";
/// Longest time limit of a route, in milliseconds.
const TIMEOUT_LIMIT_MS: u64 = 86_400_000;
/// Most attempts a route may allow.
const ATTEMPTS_LIMIT: u32 = 8;

/// Whether a call may run more than once.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RouteEffects {
    /// It may be sent again.
    None,
    /// It runs at most once.
    Once,
}

/// One part of a route's traffic.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RoutePart {
    /// The service that serves this part.
    pub service: String,
    /// Its share among the weights of the route.
    pub weight: u32,
}

/// One route.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Host that the request names.
    pub host: String,
    /// What its path begins with; starts and ends with a slash.
    pub prefix: String,
    /// Whether a call may run more than once.
    pub effects: RouteEffects,
    /// Longest time a call may take, in milliseconds.
    pub timeout_ms: u64,
    /// Time within which an answer is worth most, in milliseconds.
    pub goal_ms: u64,
    /// Targets that one call may be delivered to.
    pub attempts: u32,
    /// Rank among the calls of a service; 0 is the highest.
    pub priority: u32,
    /// Where its traffic goes.
    pub parts: Vec<RoutePart>,
    /// The only regions in which its calls may be served; anywhere where there are none.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub home_regions: Vec<String>,
    /// Whether bodies may be so large that they are passed on in pieces.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub large_bodies: bool,
}

impl Route {
    /// Reads and checks a route.
    pub(crate) fn parse(path: &str, value: &Value) -> Result<Route, SettingsError> {
        let form =
            |error: serde_json::Error| SettingsError::at(path, Fault::BadRoute(error.to_string()));
        let route = Route::deserialize(value).map_err(form)?;
        match route.fault() {
            Some(fault) => Err(SettingsError::at(path, fault)),
            None => Ok(route),
        }
    }

    fn fault(&self) -> Option<Fault> {
        let bounded = |found: u64, min, max, unit| {
            let outside = !(min..=max).contains(&found);
            outside.then_some(Fault::OutOfRange {
                found,
                min,
                max,
                unit,
            })
        };
        let prefix_fits = self.prefix.starts_with('/') && self.prefix.ends_with('/');
        if self.host.is_empty() {
            return Some(Fault::Inconsistent("a route needs a host"));
        }
        if !prefix_fits {
            let text = "a route's prefix starts and ends with a slash";
            return Some(Fault::Inconsistent(text));
        }
        if !self.home_regions.iter().all(|name| names_region(name)) {
            return Some(Fault::BadRegion);
        }
        if self.parts.iter().all(|part| part.weight == 0) {
            let text = "a route needs a part with a weight above 0";
            return Some(Fault::Inconsistent(text));
        }
        bounded(self.timeout_ms, 1, TIMEOUT_LIMIT_MS, "ms")
            .or_else(|| bounded(self.goal_ms, 1, TIMEOUT_LIMIT_MS, "ms"))
            .or_else(|| bounded(self.attempts.into(), 1, ATTEMPTS_LIMIT.into(), "attempts"))
    }
}

/// A route with its name.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct NamedRoute {
    /// Name in the tree.
    pub name: String,
    /// A number for its calls, which differs from those of other routes.
    pub kind: u32,
    /// The route.
    pub route: Route,
}

/// The routes of a tree, ready to be looked up.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    hosts: HashMap<String, Vec<Arc<NamedRoute>>>,
    kinds: HashMap<u32, Vec<Arc<NamedRoute>>>,
}

impl RouteTable {
    /// The routes of a tree.
    pub fn of(tree: &Tree) -> Self {
        let mut hosts: HashMap<String, Vec<Arc<NamedRoute>>> = HashMap::new();
        let mut kinds: HashMap<u32, Vec<Arc<NamedRoute>>> = HashMap::new();
        for (path, value) in tree.entries() {
            let Some(name) = path.strip_prefix(ROUTES) else {
                continue;
            };
            let route = Route::parse(path, value).expect("every route was checked when put");
            let host = route.host.to_ascii_lowercase();
            let name = name.to_owned();
            let kind = kind_of(&name);
            let named = Arc::new(NamedRoute { name, kind, route });
            kinds.entry(kind).or_default().push(Arc::clone(&named));
            hosts.entry(host).or_default().push(named);
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|named| std::cmp::Reverse(named.route.prefix.len()));
        }
        RouteTable { hosts, kinds }
    }

    /// Whether the tree has no routes.
    pub fn is_empty(&self) -> bool {
        self.hosts.is_empty()
    }

    /// The routes whose calls have a number; more than one where names share it.
    pub fn of_kind(&self, kind: u32) -> &[Arc<NamedRoute>] {
        self.kinds.get(&kind).map_or(&[], Vec::as_slice)
    }

    /// The routes that send a part of their traffic to a service.
    pub fn of_service<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Route> {
        let all = self.kinds.values().flatten().map(|named| &named.route);
        all.filter(move |route| route.parts.iter().any(|part| part.service == service))
    }

    /// The route of a request: of its host's routes, the one with the longest
    /// prefix of `path`. `host` is in lower case and without a port.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<NamedRoute>> {
        let routes = self.hosts.get(host)?;
        routes
            .iter()
            .find(|named| path.starts_with(&named.route.prefix))
    }
}

/// A number for a route's name, the same at every daemon (FNV-1a, 32 bits).
fn kind_of(name: &str) -> u32 {
    const OFFSET: u32 = 0x811c_9dc5;
    const PRIME: u32 = 0x0100_0193;
    name.bytes().fold(OFFSET, |hash, byte| {
        (hash ^ u32::from(byte)).wrapping_mul(PRIME)
    })
}
