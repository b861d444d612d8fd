//! Routes: which service serves a request, and on what terms.

use serde::{Deserialize, Serialize};

use crate::entry_set::{Entry, EntryMetadata, EntrySet};
use crate::error::{Fault, SettingsError};
use crate::home_regions::is_valid_region_name;
use crate::tree::{Tree, is_valid_name};

/// Longest time limit of a route, in milliseconds.
const TIMEOUT_LIMIT_MS: u64 = 86_400_000;
/// Most attempts a route may allow.
const ATTEMPTS_LIMIT: u64 = 8;
/// Longest host of a route, in bytes: the longest name that DNS allows.
const HOST_BYTES: u64 = 253;
/// Longest prefix of a route, in bytes.
const PREFIX_BYTES: u64 = 2_048;

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
    /// Whether its calls are accepted without an organisation key.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub public: bool,
}

impl Route {
    fn fault(&self) -> Option<Fault> {
        let prefix_fits = self.prefix.starts_with('/') && self.prefix.ends_with('/');
        if self.host.is_empty() {
            return Some(Fault::Inconsistent("a route needs a host"));
        }
        if !prefix_fits {
            let text = "a route's prefix starts and ends with a slash";
            return Some(Fault::Inconsistent(text));
        }
        if !self
            .home_regions
            .iter()
            .all(|name| is_valid_region_name(name))
        {
            return Some(Fault::BadRegion);
        }
        if self.parts.iter().all(|part| part.weight == 0) {
            let text = "a route needs a part with a weight above 0";
            return Some(Fault::Inconsistent(text));
        }
        let length = |text: &str| text.len() as u64;
        Fault::check_range(length(&self.host), 1..=HOST_BYTES, "bytes")
            .or_else(|| Fault::check_range(length(&self.prefix), 1..=PREFIX_BYTES, "bytes"))
            .or_else(|| Fault::check_range(self.timeout_ms, 1..=TIMEOUT_LIMIT_MS, "ms"))
            .or_else(|| Fault::check_range(self.goal_ms, 1..=TIMEOUT_LIMIT_MS, "ms"))
            .or_else(|| Fault::check_range(self.attempts.into(), 1..=ATTEMPTS_LIMIT, "attempts"))
    }
}

/// A route with its name, checked.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct NamedRoute {
    /// Name in the tree.
    pub name: String,
    /// A number for its calls, which differs from those of other routes.
    pub kind: u32,
    /// The route.
    pub route: Route,
    metadata: EntryMetadata,
}

impl NamedRoute {
    /// Checks a route and its name.
    ///
    /// # Errors
    /// A bad name, or the first fault of the route.
    pub fn new(name: &str, route: Route) -> Result<Self, SettingsError> {
        let fault = match is_valid_name(name) {
            true => route.fault(),
            false => Some(Fault::BadName),
        };
        if let Some(fault) = fault {
            return Err(SettingsError::at(
                format!("{}{name}", Self::PATH_PREFIX),
                fault,
            ));
        }
        let metadata = EntryMetadata::of(name, &route);
        Ok(NamedRoute {
            name: name.to_owned(),
            kind: metadata.hash,
            route,
            metadata,
        })
    }
}

impl Entry for NamedRoute {
    type Content = Route;
    const PATH_PREFIX: &'static str = "routes.";
    /// 2 KiB of sums per request, and about 55 routes per bucket with 14,000 routes.
    const BUCKETS: usize = 256;

    fn try_new(name: &str, route: Route) -> Result<Self, SettingsError> {
        NamedRoute::new(name, route)
    }

    fn parse_fault(reason: String) -> Fault {
        Fault::BadRoute(reason)
    }

    fn name(&self) -> &str {
        &self.name
    }

    fn content(&self) -> &Route {
        &self.route
    }

    fn metadata(&self) -> &EntryMetadata {
        &self.metadata
    }

    fn has_homes(&self) -> bool {
        !self.route.home_regions.is_empty()
    }

    fn set_of(tree: &Tree) -> &EntrySet<Self> {
        tree.route_set()
    }

    fn set_of_mut(tree: &mut Tree) -> &mut EntrySet<Self> {
        tree.route_set_mut()
    }
}
