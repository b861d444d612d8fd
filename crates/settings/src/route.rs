//! Routes: which service serves a request, and on what terms.

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::entry_set::{Entry, name_hash};
use crate::error::{Fault, SettingsError};
use crate::homes::names_region;
use crate::sum::Sum;
use crate::tree::valid_name;

/// Path of a route in a tree, before its name.
pub(crate) const ROUTES: &str = "routes.";
/// Longest time limit of a route, in milliseconds.
const TIMEOUT_LIMIT_MS: u64 = 86_400_000;
/// Most attempts a route may allow.
const ATTEMPTS_LIMIT: u32 = 8;
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
    /// Reads a route, whose fields are not checked yet.
    pub(crate) fn parse(path: &str, value: &Value) -> Result<Route, SettingsError> {
        Route::deserialize(value)
            .map_err(|error| SettingsError::at(path, Fault::BadRoute(error.to_string())))
    }

    /// Its form in JSON.
    pub(crate) fn to_json(&self) -> Value {
        serde_json::to_value(self).expect("a route has no keys but texts")
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
        bounded(self.host.len() as u64, 1, HOST_BYTES, "bytes")
            .or_else(|| bounded(self.prefix.len() as u64, 1, PREFIX_BYTES, "bytes"))
            .or_else(|| bounded(self.timeout_ms, 1, TIMEOUT_LIMIT_MS, "ms"))
            .or_else(|| bounded(self.goal_ms, 1, TIMEOUT_LIMIT_MS, "ms"))
            .or_else(|| bounded(self.attempts.into(), 1, ATTEMPTS_LIMIT.into(), "attempts"))
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
    /// Sum over name and route.
    sum: Sum,
    /// Length of its JSON form, in bytes.
    bytes: usize,
}

impl NamedRoute {
    /// Checks a route and its name.
    ///
    /// # Errors
    /// A bad name, or the first fault of the route.
    pub fn new(name: &str, route: Route) -> Result<Self, SettingsError> {
        let fault = match valid_name(name) {
            true => route.fault(),
            false => Some(Fault::BadName),
        };
        if let Some(fault) = fault {
            return Err(SettingsError::at(format!("{ROUTES}{name}"), fault));
        }
        let json = serde_json::to_vec(&route).expect("a route has no keys but texts");
        Ok(NamedRoute {
            name: name.to_owned(),
            kind: name_hash(name),
            sum: Sum::of(name, &json),
            bytes: json.len(),
            route,
        })
    }
}

impl Entry for NamedRoute {
    fn name(&self) -> &str {
        &self.name
    }

    fn sum(&self) -> Sum {
        self.sum
    }

    fn bytes(&self) -> usize {
        self.bytes
    }
}
