//! The tree itself, kept flat: one entry a path. Differences, merges and
//! origins are then operations on sorted maps; the nested JSON form exists only
//! at the edges.

use std::collections::BTreeMap;

use serde_json::{Map, Value, json};

use crate::effective::Effective;
use crate::error::{Fault, SettingsError};
use crate::field::{field, wrong_type};
use crate::homes;
use crate::route::{ROUTES, Route};

const ROOT: &str = "root";
const NAME_LIMIT: usize = 63;

/// A checked tree of settings.
///
/// A key is the path of a level (`places.howrah`) with an empty object, or the
/// path of a field (`places.howrah.slots`) with its value.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Tree {
    entries: BTreeMap<String, Value>,
}

impl Tree {
    /// Parses and checks the nested JSON form.
    ///
    /// # Errors
    /// The first fault, with its path.
    pub fn parse(text: &str) -> Result<Tree, SettingsError> {
        let value: Value =
            serde_json::from_str(text).map_err(|e| SettingsError::NotJson(e.to_string()))?;
        Tree::from_json(&value)
    }

    /// Checks the nested JSON form.
    ///
    /// # Errors
    /// The first fault, with its path.
    pub fn from_json(value: &Value) -> Result<Tree, SettingsError> {
        let mut tree = Tree::default();
        let root = object(ROOT, value)?;
        only_keys(ROOT, root, &["settings", "places", "routes"])?;
        tree.read_fields(ROOT, root)?;
        for (name, place) in children(ROOT, root, "places")? {
            tree.read_place(&name, place)?;
        }
        for (name, route) in children(ROOT, root, "routes")? {
            tree.put(&format!("{ROUTES}{name}"), route.clone())?;
        }
        tree.check_consistent()?;
        Ok(tree)
    }

    /// Rebuilds a tree from its flat entries, with every check made again.
    ///
    /// # Errors
    /// The first fault, with its path.
    pub fn from_entries(entries: BTreeMap<String, Value>) -> Result<Tree, SettingsError> {
        let mut tree = Tree::default();
        for (path, value) in entries {
            tree.put(&path, value)?;
        }
        tree.check_consistent()?;
        Ok(tree)
    }

    /// The nested JSON form. Keys are sorted, so equal trees give equal text.
    pub fn to_json(&self) -> Value {
        let mut root = json!({"settings": {}, "places": {}});
        for (path, value) in &self.entries {
            if let Some(name) = path.strip_prefix(ROUTES) {
                root["routes"][name] = value.clone();
                continue;
            }
            let (level, name) = split_field(path);
            let at = level_mut(&mut root, level);
            if let Some(name) = name {
                at["settings"][name] = value.clone();
            }
        }
        root
    }

    /// The flat entries by path.
    pub fn entries(&self) -> &BTreeMap<String, Value> {
        &self.entries
    }

    /// The value set at exactly this path, not an inherited one.
    pub fn get(&self, path: &str) -> Option<&Value> {
        self.entries.get(path)
    }

    /// Sets one field, and adds its place and service where they are new.
    ///
    /// # Errors
    /// A path that leads to no field, or a value the field does not take.
    pub fn set(&mut self, path: &str, value: Value) -> Result<(), SettingsError> {
        let mut next = self.clone();
        next.put(path, value)?;
        next.check_consistent()?;
        *self = next;
        Ok(())
    }

    /// Removes one override, so that the field is inherited again.
    ///
    /// # Errors
    /// A path that leads to no field, or a tree that would contradict itself.
    pub fn unset(&mut self, path: &str) -> Result<Option<Value>, SettingsError> {
        check_path(path)?;
        let mut next = self.clone();
        let old = next.entries.remove(path);
        next.check_consistent()?;
        *self = next;
        Ok(old)
    }

    /// Names of the places, sorted.
    pub fn places(&self) -> Vec<&str> {
        self.names_below("places.")
    }

    /// Names of the services of one place, sorted.
    pub fn services(&self, place: &str) -> Vec<&str> {
        self.names_below(&format!("places.{place}.services."))
    }

    /// Whether any place has this service.
    pub fn knows_service(&self, service: &str) -> bool {
        self.places()
            .iter()
            .any(|place| self.entries.contains_key(&service_path(place, service)))
    }

    /// The levels that govern a service at a place, from the root down. A
    /// service that the place does not list is governed by the place.
    pub(crate) fn levels(place: &str, service: &str) -> [String; 3] {
        [
            ROOT.to_owned(),
            format!("places.{place}"),
            service_path(place, service),
        ]
    }

    fn names_below<'a>(&'a self, prefix: &str) -> Vec<&'a str> {
        self.entries
            .keys()
            .filter_map(|path| path.strip_prefix(prefix))
            .filter(|rest| !rest.contains('.'))
            .collect()
    }

    fn read_place(&mut self, name: &str, value: &Value) -> Result<(), SettingsError> {
        let path = format!("places.{name}");
        let place = object(&path, value)?;
        only_keys(&path, place, &["settings", "services"])?;
        self.add_level(&path)?;
        self.read_fields(&path, place)?;
        for (service, value) in children(&path, place, "services")? {
            let path = service_path(name, &service);
            let level = object(&path, value)?;
            only_keys(&path, level, &["settings"])?;
            self.add_level(&path)?;
            self.read_fields(&path, level)?;
        }
        Ok(())
    }

    fn read_fields(&mut self, path: &str, level: &Map<String, Value>) -> Result<(), SettingsError> {
        let Some(value) = level.get("settings") else {
            return Ok(());
        };
        for (name, value) in object(&format!("{path}.settings"), value)? {
            self.put(&format!("{path}.{name}"), value.clone())?;
        }
        Ok(())
    }

    fn put(&mut self, path: &str, value: Value) -> Result<(), SettingsError> {
        if let Some(name) = path.strip_prefix(ROUTES) {
            return self.put_route(path, name, value);
        }
        let (level, name) = split_field(path);
        let Some(name) = name else {
            return self.add_level(level);
        };
        let spec = field(name).ok_or_else(|| SettingsError::at(path, Fault::UnknownField))?;
        spec.check(&value)
            .map_err(|fault| SettingsError::at(path, fault))?;
        self.add_level(level)?;
        self.entries.insert(path.to_owned(), spec.normal(value));
        Ok(())
    }

    fn put_route(&mut self, path: &str, name: &str, value: Value) -> Result<(), SettingsError> {
        if !valid_name(name) {
            return Err(SettingsError::at(path, Fault::BadName));
        }
        Route::parse(path, &value)?;
        self.entries.insert(path.to_owned(), value);
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
        if !names.iter().all(|name| valid_name(name)) {
            return Err(SettingsError::at(path, Fault::BadName));
        }
        let place = format!("places.{}", names[0]);
        self.entries.entry(place).or_insert_with(|| json!({}));
        self.entries
            .entry(path.to_owned())
            .or_insert_with(|| json!({}));
        Ok(())
    }

    /// Checks fields that depend on each other wherever they come together.
    fn check_consistent(&self) -> Result<(), SettingsError> {
        let mut levels = vec![(String::new(), String::new())];
        for place in self.places() {
            levels.push((place.to_owned(), String::new()));
            let services = self.services(place).into_iter();
            levels.extend(services.map(|service| (place.to_owned(), service.to_owned())));
        }
        for (place, service) in levels {
            Effective::of(self, &place, &service).check(&place, &service)?;
        }
        homes::check(self)
    }
}

/// Whether `name` can name a place or a service: it must stand in a host name.
pub fn valid_name(name: &str) -> bool {
    let starts_well = name.starts_with(|c: char| c.is_ascii_lowercase());
    let chars_fit = name
        .chars()
        .all(|c| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-');
    starts_well && chars_fit && name.len() <= NAME_LIMIT
}

pub(crate) fn service_path(place: &str, service: &str) -> String {
    format!("places.{place}.services.{service}")
}

/// Splits a path into its level and its field. Names of levels follow
/// `places` and `services`, so what stands elsewhere after a level is a field.
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
    if path.starts_with(ROUTES) {
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
            entry(services, service, json!({"settings": {}}))
        }
        _ => root,
    }
}

fn place_mut<'a>(root: &'a mut Value, place: &str) -> &'a mut Value {
    entry(
        &mut root["places"],
        place,
        json!({"settings": {}, "services": {}}),
    )
}

fn entry<'a>(parent: &'a mut Value, name: &str, empty: Value) -> &'a mut Value {
    if parent.get(name).is_none() {
        parent[name] = empty;
    }
    &mut parent[name]
}

fn object<'a>(path: &str, value: &'a Value) -> Result<&'a Map<String, Value>, SettingsError> {
    value
        .as_object()
        .ok_or_else(|| SettingsError::at(path, wrong_type("an object", value)))
}

fn only_keys(path: &str, level: &Map<String, Value>, known: &[&str]) -> Result<(), SettingsError> {
    match level.keys().find(|key| !known.contains(&key.as_str())) {
        Some(key) => Err(SettingsError::at(
            format!("{path}.{key}"),
            Fault::UnknownKey,
        )),
        None => Ok(()),
    }
}

fn children<'a>(
    path: &str,
    level: &'a Map<String, Value>,
    key: &str,
) -> Result<Vec<(String, &'a Value)>, SettingsError> {
    let Some(value) = level.get(key) else {
        return Ok(Vec::new());
    };
    let map = object(&format!("{path}.{key}"), value)?;
    Ok(map
        .iter()
        .map(|(name, value)| (name.clone(), value))
        .collect())
}
