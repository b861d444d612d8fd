//! A tree in the making: another one with changes, checked when it is finished.

use std::sync::Arc;

use serde_json::Value;

use crate::error::SettingsError;
use crate::homes;
use crate::organisation::{self, NamedOrganisation, Organisation};
use crate::route::{NamedRoute, Route};
use crate::tree::Tree;

/// Changes of a tree that become one together. What they leave as it was is neither checked
/// again nor copied.
#[derive(Clone, Debug)]
pub struct TreeEdit {
    before: Tree,
    tree: Tree,
}

impl TreeEdit {
    /// No change of a tree yet.
    pub fn of(tree: &Tree) -> Self {
        TreeEdit {
            before: tree.clone(),
            tree: tree.clone(),
        }
    }

    /// The tree as it is now, of which what depends on each other is not checked.
    pub(crate) fn tree(&self) -> &Tree {
        &self.tree
    }

    /// Puts a route in the place of the one of its name.
    ///
    /// # Errors
    /// A bad name, or a fault of the route.
    pub fn put_route(&mut self, name: &str, route: Route) -> Result<(), SettingsError> {
        let named = NamedRoute::new(name, route)?;
        self.tree.share_route(Arc::new(named));
        Ok(())
    }

    /// Puts a route that was checked, where the one of its name differs.
    pub fn put_named(&mut self, named: &Arc<NamedRoute>) {
        if self.tree.route(&named.name) != Some(&**named) {
            self.tree.share_route(Arc::clone(named));
        }
    }

    /// How many routes there are.
    pub fn route_count(&self) -> usize {
        self.tree.route_count()
    }

    /// Removes the routes that are not to be kept.
    pub fn retain_routes(&mut self, keep: impl Fn(&NamedRoute) -> bool) {
        let gone: Vec<String> = self
            .tree
            .routes()
            .filter(|named| !keep(named))
            .map(|named| named.name.clone())
            .collect();
        for name in gone {
            self.tree.remove_route(&name);
        }
    }

    /// Removes a route, if it is there.
    pub fn remove_route(&mut self, name: &str) {
        self.tree.remove_route(name);
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
        let named = NamedOrganisation::new(name, organisation)?;
        self.tree.share_organisation(Arc::new(named));
        Ok(())
    }

    /// Adds an organisation that is already checked, unless an equal one is present.
    pub fn put_named_organisation(&mut self, named: &Arc<NamedOrganisation>) {
        if self.tree.organisation(&named.name) != Some(&**named) {
            self.tree.share_organisation(Arc::clone(named));
        }
    }

    /// Number of organisations.
    pub fn organisation_count(&self) -> usize {
        self.tree.organisation_count()
    }

    /// Removes the organisations for which `keep` is false.
    pub fn retain_organisations(&mut self, keep: impl Fn(&NamedOrganisation) -> bool) {
        let gone: Vec<String> = self
            .tree
            .organisations()
            .filter(|named| !keep(named))
            .map(|named| named.name.clone())
            .collect();
        for name in gone {
            self.tree.remove_organisation(&name);
        }
    }

    /// Removes an organisation, if present.
    pub fn remove_organisation(&mut self, name: &str) {
        self.tree.remove_organisation(name);
    }

    /// Puts the settings of all levels in the place of the present ones, in their nested JSON
    /// form.
    ///
    /// # Errors
    /// The first fault, with its path.
    pub fn set_levels(&mut self, nested: &Value) -> Result<(), SettingsError> {
        let levels = Tree::levels_from_json(nested)?;
        self.tree.take_levels(&levels);
        Ok(())
    }

    /// The tree with all changes.
    ///
    /// # Errors
    /// Changes that contradict each other or the rest.
    pub fn finish(mut self) -> Result<Tree, SettingsError> {
        self.tree.check_size()?;
        match self.tree.has_levels_of(&self.before) {
            true => self.tree.take_levels(&self.before),
            false => self.tree.check_levels()?,
        }
        homes::check(&self.tree)?;
        if self.tree.organisation_set() != self.before.organisation_set() {
            organisation::check_keys(self.tree.organisation_set())?;
        }
        Ok(self.tree)
    }
}
