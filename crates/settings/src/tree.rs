//! The settings tree, stored flat with one entry per path. Diffs, merges and origins are then
//! operations on sorted maps; the nested JSON form is only used for input and output.
//!
//! Successive versions of a tree share unchanged data: the levels, and buckets of routes and
//! organisations.

use std::collections::BTreeMap;
use std::sync::{Arc, OnceLock};

use serde_json::{Map, Value, json};
use sha2::{Digest as _, Sha256};

use crate::checksum::Checksum;
use crate::digest::Digest;
use crate::effective::Effective;
use crate::entry_set::{Entry, EntrySet};
use crate::error::{Fault, SettingsError};
use crate::field::{field, wrong_type};
use crate::home_regions;
use crate::organisation::{self, NamedOrganisation, OrganisationSet};
use crate::route::NamedRoute;
use crate::route_set::RouteSet;

const ROOT: &str = "root";
const MAX_NAME_LEN: usize = 63;
/// Maximum number of routes in a tree. A daemon uses about 0.7 KiB of memory per route.
const MAX_ROUTES: u64 = 50_000;
/// Maximum number of organisations in a tree.
const MAX_ORGANISATIONS: u64 = 50_000;

/// The settings of all levels, and their checksum, computed on first use.
#[derive(Clone, Debug, Default)]
struct Levels {
    entries: BTreeMap<String, Value>,
    sum: OnceLock<Checksum>,
}

/// A validated settings tree.
///
/// The levels map the path of a level (`places.howrah`) to an empty object, and the path of a
/// field (`places.howrah.slots`) to its value. Routes and organisations are stored separately, by
/// name.
#[derive(Clone, Debug, Default)]
pub struct Tree {
    levels: Arc<Levels>,
    routes: RouteSet,
    organisations: OrganisationSet,
}

impl PartialEq for Tree {
    fn eq(&self, other: &Self) -> bool {
        self.has_same_levels(other)
            && self.routes == other.routes
            && self.organisations == other.organisations
    }
}

impl Tree {
    /// Parses and validates the nested JSON form.
    ///
    /// # Errors
    /// The first validation error, with its path.
    pub fn parse(text: &str) -> Result<Tree, SettingsError> {
        let value: Value =
            serde_json::from_str(text).map_err(|e| SettingsError::NotJson(e.to_string()))?;
        Tree::from_json(&value)
    }

    /// Validates the nested JSON form.
    ///
    /// # Errors
    /// The first validation error, with its path.
    pub fn from_json(value: &Value) -> Result<Tree, SettingsError> {
        let mut tree = Tree::levels_from_json(value)?;
        let root = expect_object(ROOT, value)?;
        for (name, route) in child_values(ROOT, root, "routes")? {
            tree.put_entry::<NamedRoute>(&name, route)?;
        }
        for (name, organisation) in child_values(ROOT, root, "organisations")? {
            tree.put_entry::<NamedOrganisation>(&name, organisation)?;
        }
        tree.check_consistent()?;
        Ok(tree)
    }

    /// Parses only the levels of the nested JSON form, without checking the constraints between
    /// fields.
    pub(crate) fn levels_from_json(value: &Value) -> Result<Tree, SettingsError> {
        let mut tree = Tree::default();
        let root = expect_object(ROOT, value)?;
        check_known_keys(
            ROOT,
            root,
            &["settings", "places", "routes", "organisations"],
        )?;
        tree.parse_fields(ROOT, root)?;
        for (name, place) in child_values(ROOT, root, "places")? {
            tree.parse_place(&name, place)?;
        }
        Ok(tree)
    }

    /// Builds a tree from flat level entries and the routes and organisations of another tree.
    /// Validates the whole tree again.
    ///
    /// # Errors
    /// The first validation error, with its path.
    pub(crate) fn from_entries(
        entries: BTreeMap<String, Value>,
        named_entries: &Tree,
    ) -> Result<Tree, SettingsError> {
        let mut tree = Tree::default();
        for (path, value) in entries {
            tree.set_unchecked(&path, value)?;
        }
        tree.routes = named_entries.routes.clone();
        tree.organisations = named_entries.organisations.clone();
        tree.check_consistent()?;
        Ok(tree)
    }

    /// The nested JSON form. Keys are sorted, so equal trees serialize to equal text.
    pub fn to_json(&self) -> Value {
        let mut root = self.levels_json();
        if self.routes.len() > 0 {
            root["routes"] = entries_json(&self.routes);
        }
        if self.organisations.len() > 0 {
            root["organisations"] = entries_json(&self.organisations);
        }
        root
    }

    /// The nested JSON form without routes and organisations.
    pub(crate) fn levels_json(&self) -> Value {
        let mut root = json!({"settings": {}, "places": {}});
        for (path, value) in &self.levels.entries {
            let (level, name) = split_field(path);
            let target = level_mut(&mut root, level);
            if let Some(name) = name {
                target["settings"][name] = value.clone();
            }
        }
        root
    }

    /// The flat entries of the levels by path, without routes and organisations.
    pub(crate) fn entries(&self) -> &BTreeMap<String, Value> {
        &self.levels.entries
    }

    /// Finds a route by name.
    pub fn route(&self, name: &str) -> Option<&NamedRoute> {
        self.routes.get(name).map(|named| &**named)
    }

    /// All routes, in unspecified order.
    pub fn routes(&self) -> impl Iterator<Item = &NamedRoute> {
        self.routes.iter().map(|named| &**named)
    }

    /// Number of routes.
    pub fn route_count(&self) -> usize {
        self.routes.len()
    }

    /// Finds an organisation by name.
    pub fn organisation(&self, name: &str) -> Option<&NamedOrganisation> {
        self.organisations.get(name).map(|named| &**named)
    }

    /// All organisations, in unspecified order.
    pub fn organisations(&self) -> impl Iterator<Item = &NamedOrganisation> {
        self.organisations.iter().map(|named| &**named)
    }

    pub(crate) fn organisation_set(&self) -> &OrganisationSet {
        &self.organisations
    }

    pub(crate) fn organisation_set_mut(&mut self) -> &mut OrganisationSet {
        &mut self.organisations
    }

    pub(crate) fn route_set(&self) -> &RouteSet {
        &self.routes
    }

    pub(crate) fn route_set_mut(&mut self) -> &mut RouteSet {
        &mut self.routes
    }

    /// Whether all levels have the same settings in both trees.
    pub fn has_same_levels(&self, other: &Tree) -> bool {
        let is_shared = Arc::ptr_eq(&self.levels, &other.levels);
        is_shared || self.levels.entries == other.levels.entries
    }

    /// Digest of all entries, independent of their text representation. It is computed from the
    /// checksums of the levels, routes and organisations, without visiting each route or
    /// organisation.
    pub fn entries_digest(&self) -> Digest {
        let sums = [
            self.levels_sum(),
            self.routes.sum(),
            self.organisations.sum(),
        ];
        let hasher = sums.iter().fold(Sha256::new(), |hasher, sum| {
            hasher.chain_update(sum.to_bytes())
        });
        Digest::from_hex(hex::encode(hasher.finalize()))
    }

    pub(crate) fn levels_sum(&self) -> Checksum {
        let sum = || Checksum::of(ROOT, self.levels_json().to_string().as_bytes());
        *self.levels.sum.get_or_init(sum)
    }

    pub(crate) fn share_levels_of(&mut self, other: &Tree) {
        self.levels = Arc::clone(&other.levels);
    }

    /// The value set at this path; inherited values are not considered.
    pub fn get(&self, path: &str) -> Option<&Value> {
        self.levels.entries.get(path)
    }

    /// Sets a field, route or organisation. Adds the place and service of a field if they are
    /// missing.
    ///
    /// # Errors
    /// The path or the value is invalid, or the tree would be inconsistent.
    pub fn set(&mut self, path: &str, value: Value) -> Result<(), SettingsError> {
        let mut next = self.clone();
        next.set_unchecked(path, value)?;
        next.check_consistent()?;
        *self = next;
        Ok(())
    }

    /// Removes a field, so that its value is inherited again, or a route or organisation. Returns
    /// the old value.
    ///
    /// # Errors
    /// The path is invalid, or the tree would be inconsistent.
    pub fn unset(&mut self, path: &str) -> Result<Option<Value>, SettingsError> {
        check_path(path)?;
        let mut next = self.clone();
        let old = if let Some(name) = path.strip_prefix(NamedRoute::PATH_PREFIX) {
            next.routes.remove(name).map(|named| named.to_json())
        } else if let Some(name) = path.strip_prefix(NamedOrganisation::PATH_PREFIX) {
            next.organisations.remove(name).map(|named| named.to_json())
        } else {
            next.levels_mut().remove(path)
        };
        next.check_consistent()?;
        *self = next;
        Ok(old)
    }

    /// Names of the places, in ascending order.
    pub fn places(&self) -> Vec<&str> {
        self.child_names("places.")
    }

    /// Names of the services of a place, in ascending order.
    pub fn services(&self, place: &str) -> Vec<&str> {
        self.child_names(&format!("places.{place}.services."))
    }

    /// Whether any place has this service.
    pub fn has_service(&self, service: &str) -> bool {
        self.places()
            .iter()
            .any(|place| self.get(&service_path(place, service)).is_some())
    }

    /// Paths of the levels that apply to a service in a place, from the root down. A service that
    /// the place does not list inherits the settings of the place.
    pub(crate) fn level_paths(place: &str, service: &str) -> [String; 3] {
        [
            ROOT.to_owned(),
            format!("places.{place}"),
            service_path(place, service),
        ]
    }

    fn child_names<'a>(&'a self, prefix: &str) -> Vec<&'a str> {
        let descendants = self.entries().range(prefix.to_owned()..);
        descendants
            .map_while(|(path, _)| path.strip_prefix(prefix))
            .filter(|rest| !rest.contains('.'))
            .collect()
    }

    fn parse_place(&mut self, name: &str, value: &Value) -> Result<(), SettingsError> {
        let path = format!("places.{name}");
        let place = expect_object(&path, value)?;
        check_known_keys(&path, place, &["settings", "services"])?;
        self.add_level(&path)?;
        self.parse_fields(&path, place)?;
        for (service, value) in child_values(&path, place, "services")? {
            let path = service_path(name, &service);
            let level = expect_object(&path, value)?;
            check_known_keys(&path, level, &["settings"])?;
            self.add_level(&path)?;
            self.parse_fields(&path, level)?;
        }
        Ok(())
    }

    fn parse_fields(
        &mut self,
        path: &str,
        level: &Map<String, Value>,
    ) -> Result<(), SettingsError> {
        let Some(value) = level.get("settings") else {
            return Ok(());
        };
        for (name, value) in expect_object(&format!("{path}.settings"), value)? {
            self.set_unchecked(&format!("{path}.{name}"), value.clone())?;
        }
        Ok(())
    }

    /// Sets one entry without checking constraints between fields.
    fn set_unchecked(&mut self, path: &str, value: Value) -> Result<(), SettingsError> {
        if let Some(name) = path.strip_prefix(NamedRoute::PATH_PREFIX) {
            return self.put_entry::<NamedRoute>(name, &value);
        }
        if let Some(name) = path.strip_prefix(NamedOrganisation::PATH_PREFIX) {
            return self.put_entry::<NamedOrganisation>(name, &value);
        }
        let (level, name) = split_field(path);
        let Some(name) = name else {
            return self.add_level(level);
        };
        let spec = field(name).ok_or_else(|| SettingsError::at(path, Fault::UnknownField))?;
        spec.check(&value)
            .map_err(|fault| SettingsError::at(path, fault))?;
        self.add_level(level)?;
        let normalized = spec.normalize(value);
        self.levels_mut().insert(path.to_owned(), normalized);
        Ok(())
    }

    /// Mutable access to the entries of the levels; resets their cached checksum.
    fn levels_mut(&mut self) -> &mut BTreeMap<String, Value> {
        let levels = Arc::make_mut(&mut self.levels);
        levels.sum = OnceLock::new();
        &mut levels.entries
    }

    fn put_entry<E: Entry>(&mut self, name: &str, value: &Value) -> Result<(), SettingsError> {
        let entry = E::parse(name, value)?;
        E::set_of_mut(self).put(Arc::new(entry));
        Ok(())
    }

    fn add_level(&mut self, path: &str) -> Result<(), SettingsError> {
        let parts: Vec<&str> = path.split('.').collect();
        let names = match parts.as_slice() {
            [ROOT] => return Ok(()),
            ["places", place] => vec![*place],
            ["places", place, "services", service] => vec![*place, *service],
            _ => return Err(SettingsError::at(path, Fault::BadPath)),
        };
        if !names.iter().all(|name| is_valid_name(name)) {
            return Err(SettingsError::at(path, Fault::BadName));
        }
        let place = format!("places.{}", names[0]);
        let entries = self.levels_mut();
        entries.entry(place).or_insert_with(|| json!({}));
        entries.entry(path.to_owned()).or_insert_with(|| json!({}));
        Ok(())
    }

    fn check_consistent(&self) -> Result<(), SettingsError> {
        self.check_size()?;
        self.check_levels()?;
        organisation::check_keys(&self.organisations)?;
        home_regions::check(self)
    }

    /// Checks that the number of routes and organisations fits in the memory of every daemon.
    pub(crate) fn check_size(&self) -> Result<(), SettingsError> {
        let counts = [
            (self.routes.len(), MAX_ROUTES, "routes"),
            (self.organisations.len(), MAX_ORGANISATIONS, "organisations"),
        ];
        let mut errors = counts.into_iter().filter_map(|(found, max, unit)| {
            let fault = Fault::check_range(found as u64, 0..=max, unit)?;
            Some(SettingsError::at(unit, fault))
        });
        errors.next().map_or(Ok(()), Err)
    }

    /// Checks the constraints between fields at every level.
    pub(crate) fn check_levels(&self) -> Result<(), SettingsError> {
        let mut levels = vec![(String::new(), String::new())];
        for place in self.places() {
            levels.push((place.to_owned(), String::new()));
            let services = self.services(place).into_iter();
            levels.extend(services.map(|service| (place.to_owned(), service.to_owned())));
        }
        for (place, service) in levels {
            Effective::of(self, &place, &service).check(&place, &service)?;
        }
        Ok(())
    }
}

/// JSON object that maps the name of each entry to its content.
fn entries_json<E: Entry>(entries: &EntrySet<E>) -> Value {
    let entries = entries.iter();
    let entries = entries.map(|entry| (entry.name().to_owned(), entry.to_json()));
    Value::Object(entries.collect())
}

/// Whether `name` is a valid name of a place or service. Names must be valid host name labels.
pub fn is_valid_name(name: &str) -> bool {
    let starts_with_letter = name.starts_with(|c: char| c.is_ascii_lowercase());
    let chars_are_valid = name
        .chars()
        .all(|c| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-');
    starts_with_letter && chars_are_valid && name.len() <= MAX_NAME_LEN
}

pub(crate) fn service_path(place: &str, service: &str) -> String {
    format!("places.{place}.services.{service}")
}

/// Splits a path into its level and its field. Names of levels only follow `places` and
/// `services`, so the last part of any other path is a field.
fn split_field(path: &str) -> (&str, Option<&str>) {
    let parts = path.split('.').count();
    let is_level = match parts {
        1 => path == ROOT,
        2 => !path.starts_with("root."),
        4 => path.split('.').nth(2) == Some("services"),
        _ => false,
    };
    if is_level {
        return (path, None);
    }
    match path.rsplit_once('.') {
        Some((level, name)) => (level, Some(name)),
        None => (path, None),
    }
}

fn check_path(path: &str) -> Result<(), SettingsError> {
    if path.starts_with(NamedRoute::PATH_PREFIX) || path.starts_with(NamedOrganisation::PATH_PREFIX)
    {
        return Ok(());
    }
    match split_field(path) {
        (_, Some(name)) if field(name).is_some() => Ok(()),
        (_, Some(_)) => Err(SettingsError::at(path, Fault::UnknownField)),
        (_, None) => Err(SettingsError::at(path, Fault::BadPath)),
    }
}

fn level_mut<'a>(root: &'a mut Value, level: &str) -> &'a mut Value {
    let parts: Vec<&str> = level.split('.').collect();
    match parts.as_slice() {
        ["places", place] => place_mut(root, place),
        ["places", place, "services", service] => {
            let services = &mut place_mut(root, place)["services"];
            get_or_insert(services, service, json!({"settings": {}}))
        }
        _ => root,
    }
}

fn place_mut<'a>(root: &'a mut Value, place: &str) -> &'a mut Value {
    get_or_insert(
        &mut root["places"],
        place,
        json!({"settings": {}, "services": {}}),
    )
}

fn get_or_insert<'a>(parent: &'a mut Value, name: &str, empty: Value) -> &'a mut Value {
    if parent.get(name).is_none() {
        parent[name] = empty;
    }
    &mut parent[name]
}

fn expect_object<'a>(
    path: &str,
    value: &'a Value,
) -> Result<&'a Map<String, Value>, SettingsError> {
    value
        .as_object()
        .ok_or_else(|| SettingsError::at(path, wrong_type("an object", value)))
}

fn check_known_keys(
    path: &str,
    level: &Map<String, Value>,
    known: &[&str],
) -> Result<(), SettingsError> {
    match level.keys().find(|key| !known.contains(&key.as_str())) {
        Some(key) => Err(SettingsError::at(
            format!("{path}.{key}"),
            Fault::UnknownKey,
        )),
        None => Ok(()),
    }
}

fn child_values<'a>(
    path: &str,
    level: &'a Map<String, Value>,
    key: &str,
) -> Result<Vec<(String, &'a Value)>, SettingsError> {
    let Some(value) = level.get(key) else {
        return Ok(Vec::new());
    };
    let map = expect_object(&format!("{path}.{key}"), value)?;
    Ok(map
        .iter()
        .map(|(name, value)| (name.clone(), value))
        .collect())
}
