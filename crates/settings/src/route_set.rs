//! The routes of a tree by name, in buckets that trees share where they are equal.
//!
//! A copy of a set costs a pointer for each bucket, and a change of one route one bucket. Sets
//! are compared by the sums of their buckets, so that equal parts are not looked at.

use std::sync::Arc;

use crate::route::{NamedRoute, kind_of};
use crate::sum::Sum;

/// Buckets of a set. All daemons have the same number, since sums travel by bucket: 2 KiB in
/// one question, and 55 routes in the bucket of one that changed among 14,000.
pub(crate) const BUCKETS: usize = 256;

#[derive(Clone, Debug, Default, Eq, PartialEq)]
struct Bucket {
    sum: Sum,
    /// Sorted by kind and name.
    routes: Vec<Arc<NamedRoute>>,
}

impl Bucket {
    fn position(&self, name: &str) -> Result<usize, usize> {
        let key = (kind_of(name), name);
        self.routes
            .binary_search_by(|named| (named.kind, named.name.as_str()).cmp(&key))
    }
}

/// The routes of a tree.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct RouteSet {
    buckets: Vec<Arc<Bucket>>,
    count: usize,
    with_homes: usize,
}

impl Default for RouteSet {
    fn default() -> Self {
        RouteSet {
            buckets: vec![Arc::default(); BUCKETS],
            count: 0,
            with_homes: 0,
        }
    }
}

/// One route that differs between two sets.
#[derive(Clone, Debug)]
pub(crate) struct RouteChange {
    pub(crate) old: Option<Arc<NamedRoute>>,
    pub(crate) new: Option<Arc<NamedRoute>>,
}

impl RouteSet {
    pub(crate) fn len(&self) -> usize {
        self.count
    }

    /// Whether some route names home regions.
    pub(crate) fn any_homes(&self) -> bool {
        self.with_homes > 0
    }

    pub(crate) fn get(&self, name: &str) -> Option<&Arc<NamedRoute>> {
        let bucket = &self.buckets[bucket_of(name)];
        bucket.position(name).ok().map(|at| &bucket.routes[at])
    }

    /// The routes with a number; more than one where names share it.
    pub(crate) fn of_kind(&self, kind: u32) -> &[Arc<NamedRoute>] {
        let routes = &self.buckets[kind as usize % BUCKETS].routes;
        let begin = routes.partition_point(|named| named.kind < kind);
        let end = routes.partition_point(|named| named.kind <= kind);
        &routes[begin..end]
    }

    /// All routes, in no order that means anything.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &Arc<NamedRoute>> {
        self.buckets.iter().flat_map(|bucket| &bucket.routes)
    }

    /// Puts a route in the place of the one of its name.
    pub(crate) fn put(&mut self, route: Arc<NamedRoute>) {
        self.remove(&route.name);
        self.count += 1;
        self.with_homes += usize::from(has_homes(&route));
        let bucket = Arc::make_mut(&mut self.buckets[bucket_of(&route.name)]);
        bucket.sum.add(route.sum);
        if let Err(at) = bucket.position(&route.name) {
            bucket.routes.insert(at, route);
        }
    }

    /// Removes a route. Returns it where it was there.
    pub(crate) fn remove(&mut self, name: &str) -> Option<Arc<NamedRoute>> {
        let shared = &mut self.buckets[bucket_of(name)];
        let at = shared.position(name).ok()?;
        let bucket = Arc::make_mut(shared);
        let route = bucket.routes.remove(at);
        bucket.sum.subtract(route.sum);
        self.count -= 1;
        self.with_homes -= usize::from(has_homes(&route));
        Some(route)
    }

    pub(crate) fn bucket_sum(&self, bucket: usize) -> Sum {
        self.buckets[bucket].sum
    }

    pub(crate) fn bucket(&self, bucket: usize) -> &[Arc<NamedRoute>] {
        &self.buckets[bucket].routes
    }

    /// The routes that differ, bucket by bucket.
    pub(crate) fn changes(old: &RouteSet, new: &RouteSet) -> Vec<RouteChange> {
        let both = old.buckets.iter().zip(&new.buckets);
        let differ = both.filter(|(old, new)| !Arc::ptr_eq(old, new) && old.sum != new.sum);
        differ
            .flat_map(|(old, new)| bucket_changes(old, new))
            .collect()
    }
}

/// Number of the bucket for a route's name.
pub(crate) fn bucket_of(name: &str) -> usize {
    kind_of(name) as usize % BUCKETS
}

fn has_homes(named: &NamedRoute) -> bool {
    !named.route.home_regions.is_empty()
}

fn bucket_changes(old: &Bucket, new: &Bucket) -> Vec<RouteChange> {
    let find = |bucket: &Bucket, name: &str| {
        let at = bucket.position(name).ok()?;
        Some(Arc::clone(&bucket.routes[at]))
    };
    let removed = old
        .routes
        .iter()
        .filter(|named| find(new, &named.name).is_none());
    let removed = removed.map(|named| RouteChange {
        old: Some(Arc::clone(named)),
        new: None,
    });
    let put = new.routes.iter().map(|named| RouteChange {
        old: find(old, &named.name),
        new: Some(Arc::clone(named)),
    });
    let put = put.filter(|change| change.old != change.new);
    removed.chain(put).collect()
}
