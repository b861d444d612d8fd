//! Routing table: selects the route of the request's host with the longest matching path prefix.
//! In a tree without routes, the first label of the host names the service instead.
//!
//! Every prefix ends with a slash, so a path is tested only at its slashes. Each candidate is
//! looked up by a hash that is updated incrementally along the path; the cost depends on the length
//! of the path, not on the number of routes.

use std::sync::Arc;

use crate::route::{NamedRoute, Route};
use crate::route_set::{RouteChange, RouteSet};
use crate::tree::Tree;

/// Number of shards, selected by the hash; successive tables share unchanged shards.
const SHARDS: usize = 256;

/// 64-bit FNV-1a hash of a host and a path prefix.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct PrefixHash(u64);

impl PrefixHash {
    /// Hash of a host, ignoring ASCII case, and of a separator.
    fn of_host(host: &str) -> Self {
        const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
        let host = host.bytes().map(|byte| byte.to_ascii_lowercase());
        let hash = host.fold(PrefixHash(OFFSET), PrefixHash::with_byte);
        hash.with_byte(0)
    }

    fn with_byte(self, byte: u8) -> Self {
        const PRIME: u64 = 0x0100_0000_01b3;
        PrefixHash((self.0 ^ u64::from(byte)).wrapping_mul(PRIME))
    }

    fn of(route: &Route) -> Self {
        let host = PrefixHash::of_host(&route.host);
        route.prefix.bytes().fold(host, PrefixHash::with_byte)
    }

    fn shard(self) -> usize {
        (self.0 ^ (self.0 >> 32)) as usize % SHARDS
    }
}

/// Sorted by hash and name.
type Shard = Vec<(PrefixHash, Arc<NamedRoute>)>;

/// Lookup table of the routes of a tree.
#[derive(Clone, Debug)]
pub struct RouteTable {
    routes: RouteSet,
    shards: Vec<Arc<Shard>>,
    /// Upper bound of the number of slashes in a prefix; lookups stop after as many.
    max_slashes: usize,
}

impl Default for RouteTable {
    fn default() -> Self {
        RouteTable {
            routes: RouteSet::default(),
            shards: vec![Arc::default(); SHARDS],
            max_slashes: 0,
        }
    }
}

impl RouteTable {
    /// Builds the lookup table of a tree.
    pub fn of(tree: &Tree) -> Self {
        RouteTable::default().updated_for(tree)
    }

    /// Builds the table of another tree from this one; the cost depends only on the differences.
    pub fn updated_for(&self, tree: &Tree) -> Self {
        let mut next = self.clone();
        for change in RouteSet::changes(&self.routes, tree.route_set()) {
            next.apply(change);
        }
        next.routes = tree.route_set().clone();
        next
    }

    /// Whether the tree has no routes.
    pub fn is_empty(&self) -> bool {
        self.routes.len() == 0
    }

    /// The routes with the call kind `kind`; several if the hashes of their names collide.
    pub fn of_kind(&self, kind: u32) -> &[Arc<NamedRoute>] {
        self.routes.of_kind(kind)
    }

    /// The routes that have a part, of any weight, for a service.
    pub fn of_service<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Route> {
        let all = self.routes.iter().map(|named| &named.route);
        all.filter(move |route| route.parts.iter().any(|part| part.service == service))
    }

    /// Finds the route of `host` with the longest prefix of `path`. The host must not include a
    /// port; ASCII case is ignored.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<NamedRoute>> {
        let mut hash = PrefixHash::of_host(host);
        let mut slashes = 0;
        let mut found = None;
        for (at, byte) in path.bytes().enumerate() {
            hash = hash.with_byte(byte);
            if byte != b'/' {
                continue;
            }
            found = self.find_exact(hash, host, &path[..=at]).or(found);
            slashes += 1;
            if slashes >= self.max_slashes {
                break;
            }
        }
        found
    }

    /// The route with exactly this host and prefix; if there are several, the first by name.
    fn find_exact(&self, hash: PrefixHash, host: &str, prefix: &str) -> Option<&Arc<NamedRoute>> {
        let shard = &self.shards[hash.shard()];
        let begin = shard.partition_point(|(other, _)| *other < hash);
        let same = shard[begin..]
            .iter()
            .take_while(|(other, _)| *other == hash);
        let mut routes = same.map(|(_, named)| named);
        routes.find(|named| {
            named.route.prefix == prefix && named.route.host.eq_ignore_ascii_case(host)
        })
    }

    fn apply(&mut self, change: RouteChange) {
        if let Some(old) = change.old {
            let hash = PrefixHash::of(&old.route);
            let shard = Arc::make_mut(&mut self.shards[hash.shard()]);
            shard.retain(|(other, named)| *other != hash || named.name != old.name);
        }
        if let Some(new) = change.new {
            let hash = PrefixHash::of(&new.route);
            let shard = Arc::make_mut(&mut self.shards[hash.shard()]);
            let at = shard.partition_point(|(other, named)| {
                (*other, named.name.as_str()) < (hash, new.name.as_str())
            });
            self.max_slashes = self.max_slashes.max(new.route.prefix.matches('/').count());
            shard.insert(at, (hash, new));
        }
    }
}
