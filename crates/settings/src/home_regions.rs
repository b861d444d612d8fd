//! Home regions: the regions in which calls may be served, and their validation against the
//! regions of the places.
//!
//! An empty list allows any region. A call must satisfy both the list of its route and the
//! effective list of its service, so it may be served in the regions that are in both.

use std::collections::{BTreeMap, BTreeSet};

use serde_json::Value;

use crate::entry_set::Entry;
use crate::error::{Fault, SettingsError};
use crate::route::{NamedRoute, Route};
use crate::tree::{Tree, service_path};

const REGION: &str = "region";
const HOME_REGIONS: &str = "home_regions";
/// Maximum length of a region's name, in bytes; bounded because calls carry the name.
const MAX_REGION_NAME_LEN: usize = 63;

pub(crate) fn is_valid_region_name(text: &str) -> bool {
    let has_valid_chars = !text.chars().any(|c| c.is_whitespace() || c.is_control());
    has_valid_chars && (1..=MAX_REGION_NAME_LEN).contains(&text.len())
}

impl Tree {
    /// The region of a place; empty if none is set.
    pub fn region(&self, place: &str) -> &str {
        let value = self.effective_value(place, "", REGION);
        value.and_then(Value::as_str).unwrap_or_default()
    }

    /// The effective home regions of a service in a place; empty if any region is allowed.
    pub fn home_regions(&self, place: &str, service: &str) -> Vec<String> {
        let value = self.effective_value(place, service, HOME_REGIONS);
        value.map(string_list).unwrap_or_default()
    }

    /// Whether any level or route restricts the home regions.
    pub fn has_home_regions(&self) -> bool {
        let mut lists = self
            .entries()
            .iter()
            .filter(|(path, _)| is_home_regions_path(path));
        self.route_set().any_homes() || lists.any(|(_, list)| !string_list(list).is_empty())
    }

    fn effective_value(&self, place: &str, service: &str, name: &str) -> Option<&Value> {
        let levels = Tree::level_paths(place, service);
        let mut levels = levels.iter().rev();
        levels.find_map(|level| self.get(&format!("{level}.{name}")))
    }
}

/// Validates the regions and home regions of a tree.
pub(crate) fn check(tree: &Tree) -> Result<(), SettingsError> {
    check_region_levels(tree)?;
    if !tree.has_home_regions() {
        return Ok(());
    }
    let known = place_regions(tree);
    for (path, value) in tree
        .entries()
        .iter()
        .filter(|(path, _)| is_home_regions_path(path))
    {
        check_known(path, &string_list(value), &known)?;
    }
    let service_regions = ServiceRegions::of(tree);
    let mut routes: Vec<&NamedRoute> = tree.routes().collect();
    routes.sort_by_key(|named| &named.name);
    for named in routes {
        let path = format!("{}{}", NamedRoute::PATH_PREFIX, named.name);
        check_known(&path, &named.route.home_regions, &known)?;
        check_route(tree, &path, &named.route, &service_regions)?;
    }
    Ok(())
}

/// Rejects a region that is set for a service: a service is in the region of its place.
fn check_region_levels(tree: &Tree) -> Result<(), SettingsError> {
    let is_wrong = |path: &&String| {
        let parts: Vec<&str> = path.split('.').collect();
        matches!(
            parts.as_slice(),
            ["places", _, "services", _, name] if *name == REGION
        )
    };
    match tree.entries().keys().find(is_wrong) {
        Some(path) => {
            let text = "a service is in the region of its place and cannot set its own";
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
                known: join_names(known),
            };
            Err(SettingsError::at(path, fault))
        }
        None => Ok(()),
    }
}

/// Whichever place a call of the route enters at, the home regions of the route and of its
/// service must overlap, and a place in these regions must have one of the route's services.
fn check_route(
    tree: &Tree,
    path: &str,
    route: &Route,
    service_regions: &ServiceRegions,
) -> Result<(), SettingsError> {
    let mut unserved = None;
    let mut is_served = false;
    for part in route.parts.iter().filter(|part| part.weight > 0) {
        for (inherited, place) in service_regions.distinct_home_regions(tree, &part.service) {
            let Some(homes) = allowed_regions(&route.home_regions, &inherited) else {
                is_served = true;
                continue;
            };
            if homes.is_empty() {
                let fault = Fault::NoCommonHome {
                    route: join_names(&route.home_regions),
                    inherited: join_names(&inherited),
                    level: service_path(&place, &part.service),
                };
                return Err(SettingsError::at(path, fault));
            }
            is_served |= service_regions.is_in_any(&part.service, &homes);
            unserved = Some(join_names(&homes));
        }
    }
    match unserved {
        Some(homes) if !is_served => Err(SettingsError::at(path, Fault::NowhereServed { homes })),
        _ => Ok(()),
    }
}

/// The regions that satisfy both lists; `None` if both are empty and so allow any region.
fn allowed_regions(route: &[String], inherited: &[String]) -> Option<BTreeSet<String>> {
    let set = |names: &[String]| names.iter().cloned().collect::<BTreeSet<String>>();
    match (route.is_empty(), inherited.is_empty()) {
        (true, true) => None,
        (true, false) => Some(set(inherited)),
        (false, true) => Some(set(route)),
        (false, false) => Some(&set(route) & &set(inherited)),
    }
}

/// The regions in which each service can be served, according to the tree.
struct ServiceRegions {
    /// By service: the regions of the places that have it, where its effective home regions
    /// allow the place's region.
    regions: BTreeMap<String, BTreeSet<String>>,
}

impl ServiceRegions {
    fn of(tree: &Tree) -> Self {
        let mut regions: BTreeMap<String, BTreeSet<String>> = BTreeMap::new();
        for place in tree.places() {
            let region = tree.region(place).to_owned();
            for service in tree.services(place) {
                let homes = tree.home_regions(place, service);
                if homes.is_empty() || homes.contains(&region) {
                    let service_regions = regions.entry(service.to_owned()).or_default();
                    service_regions.insert(region.clone());
                }
            }
        }
        ServiceRegions { regions }
    }

    fn is_in_any(&self, service: &str, homes: &BTreeSet<String>) -> bool {
        let regions = self.regions.get(service);
        regions.is_some_and(|regions| !regions.is_disjoint(homes))
    }

    /// The distinct lists of effective home regions of a service, each with one place where it
    /// applies.
    fn distinct_home_regions(&self, tree: &Tree, service: &str) -> BTreeMap<Vec<String>, String> {
        let mut found = BTreeMap::new();
        for place in tree.places() {
            let homes = tree.home_regions(place, service);
            found.entry(homes).or_insert_with(|| place.to_owned());
        }
        found
    }
}

fn place_regions(tree: &Tree) -> BTreeSet<String> {
    let all = tree.places().into_iter().map(|place| tree.region(place));
    all.filter(|region| !region.is_empty())
        .map(str::to_owned)
        .collect()
}

fn is_home_regions_path(path: &str) -> bool {
    path.ends_with(".home_regions")
}

fn string_list(list: &Value) -> Vec<String> {
    let all = list.as_array().into_iter().flatten();
    all.filter_map(|name| name.as_str().map(str::to_owned))
        .collect()
}

fn join_names<'a>(names: impl IntoIterator<Item = &'a String>) -> String {
    let names: Vec<&str> = names.into_iter().map(String::as_str).collect();
    names.join(", ")
}
