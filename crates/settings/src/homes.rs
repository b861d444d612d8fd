//! Home regions of a tree: the regions of its places, and what is said of both.
//!
//! A list without names means any region. A route's own list and the one that its
//! service inherits hold together, so that a call may be served in the regions that
//! stand in both.

use std::collections::{BTreeMap, BTreeSet};

use serde_json::Value;

use crate::entry_set::Entry;
use crate::error::{Fault, SettingsError};
use crate::route::{NamedRoute, Route};
use crate::tree::{Tree, service_path};

const REGION: &str = "region";
const HOMES: &str = "home_regions";
/// Longest name of a region, in bytes: it rides on calls.
const REGION_LIMIT: usize = 63;

/// Whether a text can name a region.
pub(crate) fn names_region(text: &str) -> bool {
    let is_clean = !text.chars().any(|c| c.is_whitespace() || c.is_control());
    is_clean && (1..=REGION_LIMIT).contains(&text.len())
}

impl Tree {
    /// The region in which a place stands; empty where it is not known.
    pub fn region(&self, place: &str) -> &str {
        let value = self.inherited(place, "", REGION);
        value.and_then(Value::as_str).unwrap_or_default()
    }

    /// The home regions in force for a service at a place; none for any region.
    pub fn home_regions(&self, place: &str, service: &str) -> Vec<String> {
        let value = self.inherited(place, service, HOMES);
        value.map(names).unwrap_or_default()
    }

    /// Whether some level or route names home regions.
    pub fn has_home_regions(&self) -> bool {
        let mut lists = self.entries().iter().filter(|(path, _)| is_list(path));
        self.route_set().any_homes() || lists.any(|(_, list)| !names(list).is_empty())
    }

    fn inherited(&self, place: &str, service: &str, name: &str) -> Option<&Value> {
        let levels = Tree::levels(place, service);
        let mut levels = levels.iter().rev();
        levels.find_map(|level| self.get(&format!("{level}.{name}")))
    }
}

/// Checks what the tree says of regions.
pub(crate) fn check(tree: &Tree) -> Result<(), SettingsError> {
    check_levels(tree)?;
    if !tree.has_home_regions() {
        return Ok(());
    }
    let known = regions(tree);
    for (path, value) in tree.entries().iter().filter(|(path, _)| is_list(path)) {
        check_known(path, &names(value), &known)?;
    }
    let stands = Stands::of(tree);
    let mut routes: Vec<&NamedRoute> = tree.routes().collect();
    routes.sort_by_key(|named| &named.name);
    for named in routes {
        let path = format!("{}{}", NamedRoute::PATH_PREFIX, named.name);
        check_known(&path, &named.route.home_regions, &known)?;
        check_route(tree, &path, &named.route, &stands)?;
    }
    Ok(())
}

/// A service stands in the region of its place.
fn check_levels(tree: &Tree) -> Result<(), SettingsError> {
    let is_wrong = |path: &&String| {
        let parts: Vec<&str> = path.split('.').collect();
        matches!(
            parts.as_slice(),
            ["places", _, "services", _, name] if *name == REGION
        )
    };
    match tree.entries().keys().find(is_wrong) {
        Some(path) => {
            let text = "a service stands in the region of its place";
            Err(SettingsError::at(path, Fault::Inconsistent(text)))
        }
        None => Ok(()),
    }
}

fn check_known(
    path: &str,
    found: &[String],
    known: &BTreeSet<String>,
) -> Result<(), SettingsError> {
    match found.iter().find(|name| !known.contains(*name)) {
        Some(name) => {
            let fault = Fault::UnknownRegion {
                found: name.clone(),
                known: joined(known),
            };
            Err(SettingsError::at(path, fault))
        }
        None => Ok(()),
    }
}

/// Wherever a call on the route comes in, there must be regions left for it, and one of
/// its services must be at a place in them.
fn check_route(
    tree: &Tree,
    path: &str,
    route: &Route,
    stands: &Stands,
) -> Result<(), SettingsError> {
    let mut nowhere = None;
    let mut is_served = false;
    for part in route.parts.iter().filter(|part| part.weight > 0) {
        for (inherited, place) in stands.inherited(tree, &part.service) {
            let Some(homes) = both(&route.home_regions, &inherited) else {
                is_served = true;
                continue;
            };
            if homes.is_empty() {
                let fault = Fault::NoCommonHome {
                    route: joined(&route.home_regions),
                    inherited: joined(&inherited),
                    level: service_path(&place, &part.service),
                };
                return Err(SettingsError::at(path, fault));
            }
            is_served |= stands.is_in(&part.service, &homes);
            nowhere = Some(joined(&homes));
        }
    }
    match nowhere {
        Some(homes) if !is_served => Err(SettingsError::at(path, Fault::NowhereServed { homes })),
        _ => Ok(()),
    }
}

/// The regions in both lists; `None` where neither names any.
fn both(route: &[String], inherited: &[String]) -> Option<BTreeSet<String>> {
    let set = |names: &[String]| names.iter().cloned().collect::<BTreeSet<String>>();
    match (route.is_empty(), inherited.is_empty()) {
        (true, true) => None,
        (true, false) => Some(set(inherited)),
        (false, true) => Some(set(route)),
        (false, false) => Some(&set(route) & &set(inherited)),
    }
}

/// Where services are, as far as the tree says.
struct Stands {
    /// For each service, the regions of the places that have it and may serve it.
    regions: BTreeMap<String, BTreeSet<String>>,
}

impl Stands {
    fn of(tree: &Tree) -> Self {
        let mut regions: BTreeMap<String, BTreeSet<String>> = BTreeMap::new();
        for place in tree.places() {
            let region = tree.region(place).to_owned();
            for service in tree.services(place) {
                let homes = tree.home_regions(place, service);
                if homes.is_empty() || homes.contains(&region) {
                    let of_service = regions.entry(service.to_owned()).or_default();
                    of_service.insert(region.clone());
                }
            }
        }
        Stands { regions }
    }

    fn is_in(&self, service: &str, homes: &BTreeSet<String>) -> bool {
        let regions = self.regions.get(service);
        regions.is_some_and(|regions| !regions.is_disjoint(homes))
    }

    /// The different home regions in force for a service, each with a place where they are.
    fn inherited(&self, tree: &Tree, service: &str) -> BTreeMap<Vec<String>, String> {
        let mut found = BTreeMap::new();
        for place in tree.places() {
            let homes = tree.home_regions(place, service);
            found.entry(homes).or_insert_with(|| place.to_owned());
        }
        found
    }
}

fn regions(tree: &Tree) -> BTreeSet<String> {
    let all = tree.places().into_iter().map(|place| tree.region(place));
    all.filter(|region| !region.is_empty())
        .map(str::to_owned)
        .collect()
}

fn is_list(path: &str) -> bool {
    path.ends_with(".home_regions")
}

fn names(list: &Value) -> Vec<String> {
    let all = list.as_array().into_iter().flatten();
    all.filter_map(|name| name.as_str().map(str::to_owned))
        .collect()
}

fn joined<'a>(names: impl IntoIterator<Item = &'a String>) -> String {
    let names: Vec<&str> = names.into_iter().map(String::as_str).collect();
    names.join(", ")
}
