//! Routes: which services handle a request, and its limits and priority.

use serde::{Deserialize, Serialize};

use crate::entry_set::{Entry, EntryMetadata, EntrySet};
use crate::error::{Fault, SettingsError};
use crate::home_regions::is_valid_region_name;
use crate::tree::{Tree, is_valid_name};

/// Maximum timeout and latency goal of a route, in milliseconds.
pub const MAX_TIMEOUT_MS: u64 = 86_400_000;
/// Maximum number of attempts of a route.
pub const MAX_ATTEMPTS: u64 = 8;
/// Maximum length of a route's host, in bytes: the limit of DNS names.
const MAX_HOST_BYTES: u64 = 253;
/// Maximum length of a route's prefix, in bytes.
const MAX_PREFIX_BYTES: u64 = 2_048;

/// Whether a call may be executed more than once.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RouteEffects {
    /// The call has no side effects and may be retried.
    None,
    /// The call has side effects and is executed at most once.
    Once,
}

/// A weighted share of a route's traffic.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RoutePart {
    /// Service that handles this share.
    pub service: String,
    /// Weight relative to the other parts of the route.
    pub weight: u32,
}

/// Matching rule, limits and destinations of a class of requests.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Host of the request, without a port; ASCII case is ignored.
    pub host: String,
    /// Prefix of the request path; starts and ends with a slash.
    pub prefix: String,
    /// Whether a call may be executed more than once.
    pub effects: RouteEffects,
    /// Timeout of a call, in milliseconds.
    pub timeout_ms: u64,
    /// Latency goal in milliseconds; a response within it has its full value.
    pub goal_ms: u64,
    /// Maximum number of targets that a call may be sent to.
    pub attempts: u32,
    /// Priority among the calls of a service; 0 is the highest.
    pub priority: u32,
    /// Services that share the traffic.
    pub parts: Vec<RoutePart>,
    /// Regions in which its calls may be served; empty for no restriction.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub home_regions: Vec<String>,
    /// Whether bodies may be large enough to be streamed.
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
            return Some(Fault::Inconsistent("a route must have a host"));
        }
        if !prefix_fits {
            let text = "a route's prefix must start and end with a slash";
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
            let text = "a route must have a part with a weight above 0";
            return Some(Fault::Inconsistent(text));
        }
        let length = |text: &str| text.len() as u64;
        Fault::check_range(length(&self.host), 1..=MAX_HOST_BYTES, "bytes")
            .or_else(|| Fault::check_range(length(&self.prefix), 1..=MAX_PREFIX_BYTES, "bytes"))
            .or_else(|| Fault::check_range(self.timeout_ms, 1..=MAX_TIMEOUT_MS, "ms"))
            .or_else(|| Fault::check_range(self.goal_ms, 1..=MAX_TIMEOUT_MS, "ms"))
            .or_else(|| Fault::check_range(self.attempts.into(), 1..=MAX_ATTEMPTS, "attempts"))
    }
}

/// A validated route with its name.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct NamedRoute {
    /// Name in the tree.
    pub name: String,
    /// Call kind of its calls: the hash of the name, which routes may share if hashes collide.
    pub kind: u32,
    /// The route.
    pub route: Route,
    metadata: EntryMetadata,
}

impl NamedRoute {
    /// Checks a route and its name.
    ///
    /// # Errors
    /// Fails with the first fault of the name or of the route.
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
    /// Takes 2 KiB of checksums per request, with about 55 routes per bucket with 14,000 routes.
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
