//! The routes of a tree by name.

use std::sync::Arc;

use crate::entry_set::{EntryChange, EntrySet};
use crate::route::NamedRoute;
use crate::sum::Sum;

/// Number of buckets of a set: 2 KiB of sums per request, and about 55 routes per bucket with
/// 14,000 routes.
pub(crate) const BUCKETS: usize = 256;

type Routes = EntrySet<NamedRoute, BUCKETS>;

/// One route that differs between two sets.
pub(crate) type RouteChange = EntryChange<NamedRoute>;

/// The routes of a tree.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(crate) struct RouteSet {
    routes: Routes,
    with_homes: usize,
}

impl RouteSet {
    pub(crate) fn len(&self) -> usize {
        self.routes.len()
    }

    /// Whether some route names home regions.
    pub(crate) fn any_homes(&self) -> bool {
        self.with_homes > 0
    }

    pub(crate) fn get(&self, name: &str) -> Option<&Arc<NamedRoute>> {
        self.routes.get(name)
    }

    /// The routes with a number; more than one where names share it.
    pub(crate) fn of_kind(&self, kind: u32) -> &[Arc<NamedRoute>] {
        let routes = self.routes.bucket(kind as usize % BUCKETS);
        let begin = routes.partition_point(|named| named.kind < kind);
        let end = routes.partition_point(|named| named.kind <= kind);
        &routes[begin..end]
    }

    /// All routes, in no order that means anything.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &Arc<NamedRoute>> {
        self.routes.iter()
    }

    /// Puts a route in the place of the one of its name.
    pub(crate) fn put(&mut self, route: Arc<NamedRoute>) {
        self.with_homes += usize::from(has_homes(&route));
        if let Some(replaced) = self.routes.put(route) {
            self.with_homes -= usize::from(has_homes(&replaced));
        }
    }

    /// Removes a route. Returns it where it was there.
    pub(crate) fn remove(&mut self, name: &str) -> Option<Arc<NamedRoute>> {
        let route = self.routes.remove(name)?;
        self.with_homes -= usize::from(has_homes(&route));
        Some(route)
    }

    pub(crate) fn bucket_sum(&self, bucket: usize) -> Sum {
        self.routes.bucket_sum(bucket)
    }

    pub(crate) fn bucket(&self, bucket: usize) -> &[Arc<NamedRoute>] {
        self.routes.bucket(bucket)
    }

    /// The routes that differ, bucket by bucket.
    pub(crate) fn changes(old: &RouteSet, new: &RouteSet) -> Vec<RouteChange> {
        Routes::changes(&old.routes, &new.routes)
    }
}

/// Number of the bucket for a route's name.
pub(crate) fn bucket_of(name: &str) -> usize {
    Routes::bucket_of(name)
}

fn has_homes(named: &NamedRoute) -> bool {
    !named.route.home_regions.is_empty()
}
