//! Batched changes to a tree, validated together at the end.

use std::sync::Arc;

use serde_json::Value;

use crate::entry_set::Entry;
use crate::error::SettingsError;
use crate::home_regions;
use crate::organisation::{self, NamedOrganisation, Organisation};
use crate::route::{NamedRoute, Route};
use crate::tree::Tree;

/// Builder that applies changes to a tree and validates the result. Unchanged parts are shared
/// with the original tree and are not validated again.
#[derive(Clone, Debug)]
pub struct TreeEdit {
    base: Tree,
    tree: Tree,
}

impl TreeEdit {
    /// Starts an edit of `tree` without changes.
    pub fn of(tree: &Tree) -> Self {
        TreeEdit {
            base: tree.clone(),
            tree: tree.clone(),
        }
    }

    /// The tree with the changes so far. Constraints between its parts are not checked yet.
    pub(crate) fn tree(&self) -> &Tree {
        &self.tree
    }

    /// Adds a route, replacing any of the same name.
    ///
    /// # Errors
    /// Fails if the name or the route is invalid.
    pub fn put_route(&mut self, name: &str, route: Route) -> Result<(), SettingsError> {
        self.put::<NamedRoute>(name, route)
    }

    /// Removes a route, if present.
    pub fn remove_route(&mut self, name: &str) {
        self.remove::<NamedRoute>(name);
    }

    /// Replaces all routes. If several have the same name, the last one takes effect.
    pub fn set_routes(&mut self, routes: &[Arc<NamedRoute>]) {
        self.tree.route_set_mut().replace_all(routes);
    }

    /// Adds an organisation, replacing any of the same name.
    ///
    /// # Errors
    /// Fails if the name or the organisation is invalid.
    pub fn put_organisation(
        &mut self,
        name: &str,
        organisation: Organisation,
    ) -> Result<(), SettingsError> {
        self.put::<NamedOrganisation>(name, organisation)
    }

    /// Removes an organisation, if present.
    pub fn remove_organisation(&mut self, name: &str) {
        self.remove::<NamedOrganisation>(name);
    }

    /// Replaces all organisations. If several have the same name, the last one takes effect.
    pub fn set_organisations(&mut self, organisations: &[Arc<NamedOrganisation>]) {
        self.tree.organisation_set_mut().replace_all(organisations);
    }

    pub(crate) fn put<E: Entry>(
        &mut self,
        name: &str,
        content: E::Content,
    ) -> Result<(), SettingsError> {
        self.put_entry(E::try_new(name, content)?);
        Ok(())
    }

    pub(crate) fn put_entry<E: Entry>(&mut self, entry: E) {
        E::set_of_mut(&mut self.tree).put(Arc::new(entry));
    }

    pub(crate) fn remove<E: Entry>(&mut self, name: &str) {
        E::set_of_mut(&mut self.tree).remove(name);
    }

    /// Replaces the settings of all levels with those of the nested JSON form.
    ///
    /// # Errors
    /// Fails with the first fault and its path.
    pub fn set_levels(&mut self, nested: &Value) -> Result<(), SettingsError> {
        let levels = Tree::levels_from_json(nested)?;
        self.tree.share_levels_of(&levels);
        Ok(())
    }

    /// Validates the changes and returns the resulting tree.
    ///
    /// # Errors
    /// Fails if the changes contradict each other or the rest of the tree.
    pub fn finish(mut self) -> Result<Tree, SettingsError> {
        self.tree.check_size()?;
        match self.tree.has_same_levels(&self.base) {
            true => self.tree.share_levels_of(&self.base),
            false => self.tree.check_levels()?,
        }
        home_regions::check(&self.tree)?;
        if self.tree.organisation_set() != self.base.organisation_set() {
            organisation::check_keys(self.tree.organisation_set())?;
        }
        Ok(self.tree)
    }
}
