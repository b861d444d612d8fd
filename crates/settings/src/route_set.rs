//! Set of the routes of a tree.

use std::sync::Arc;

use crate::entry_set::{EntryChange, EntrySet};
use crate::route::NamedRoute;

/// The routes of a tree, by name.
pub(crate) type RouteSet = EntrySet<NamedRoute>;

/// One route that differs between two sets.
pub(crate) type RouteChange = EntryChange<NamedRoute>;

impl RouteSet {
    /// The routes with the call kind `kind`; several if the hashes of their names collide.
    pub(crate) fn of_kind(&self, kind: u32) -> &[Arc<NamedRoute>] {
        let routes = self.bucket_by_hash(kind);
        let begin = routes.partition_point(|named| named.kind < kind);
        let end = routes.partition_point(|named| named.kind <= kind);
        &routes[begin..end]
    }
}
