//! Finding the route of a request: of its host's routes, the one with the longest prefix of
//! the path. A tree without routes names the service by the first label of the host instead.
//!
//! Every prefix ends with a slash, so only the parts of a path up to a slash can be one. Each is
//! looked up by a hash that is carried on along the path; the time depends on the path and not
//! on the number of routes.

use std::sync::Arc;

use crate::route::{NamedRoute, Route};
use crate::route_set::{RouteChange, RouteSet};
use crate::tree::Tree;

/// Parts into which the entries are divided; tables that follow each other share equal ones.
const SHARDS: usize = 256;

/// Hash of a host and a prefix (FNV-1a, 64 bits).
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct PlaceHash(u64);

impl PlaceHash {
    /// The hash of a host, of which upper and lower case are the same, and no prefix.
    fn of_host(host: &str) -> Self {
        const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
        let host = host.bytes().map(|byte| byte.to_ascii_lowercase());
        let hash = host.fold(PlaceHash(OFFSET), PlaceHash::and);
        hash.and(0)
    }

    fn and(self, byte: u8) -> Self {
        const PRIME: u64 = 0x0100_0000_01b3;
        PlaceHash((self.0 ^ u64::from(byte)).wrapping_mul(PRIME))
    }

    fn of(route: &Route) -> Self {
        let host = PlaceHash::of_host(&route.host);
        route.prefix.bytes().fold(host, PlaceHash::and)
    }

    fn shard(self) -> usize {
        (self.0 ^ (self.0 >> 32)) as usize % SHARDS
    }
}

/// Sorted by hash and name.
type Shard = Vec<(PlaceHash, Arc<NamedRoute>)>;

/// The routes of a tree, ready to be looked up.
#[derive(Clone, Debug)]
pub struct RouteTable {
    routes: RouteSet,
    shards: Vec<Arc<Shard>>,
    /// Slashes in a prefix, at most.
    deepest: usize,
}

impl Default for RouteTable {
    fn default() -> Self {
        RouteTable {
            routes: RouteSet::default(),
            shards: vec![Arc::default(); SHARDS],
            deepest: 0,
        }
    }
}

impl RouteTable {
    /// The routes of a tree.
    pub fn of(tree: &Tree) -> Self {
        RouteTable::default().followed_by(tree)
    }

    /// The routes of a tree that took the place of this one's; costs what differs.
    pub fn followed_by(&self, tree: &Tree) -> Self {
        let mut next = self.clone();
        for change in RouteSet::changes(&self.routes, tree.route_set()) {
            next.take(change);
        }
        next.routes = tree.route_set().clone();
        next
    }

    /// Whether the tree has no routes.
    pub fn is_empty(&self) -> bool {
        self.routes.len() == 0
    }

    /// The routes whose calls have a number; more than one where names share it.
    pub fn of_kind(&self, kind: u32) -> &[Arc<NamedRoute>] {
        self.routes.of_kind(kind)
    }

    /// The routes that send a part of their traffic to a service.
    pub fn of_service<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Route> {
        let all = self.routes.iter().map(|named| &named.route);
        all.filter(move |route| route.parts.iter().any(|part| part.service == service))
    }

    /// The route of a request: of its host's routes, the one with the longest
    /// prefix of `path`. `host` is in lower case and without a port.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<NamedRoute>> {
        let mut hash = PlaceHash::of_host(host);
        let mut slashes = 0;
        let mut found = None;
        for (at, byte) in path.bytes().enumerate() {
            hash = hash.and(byte);
            if byte != b'/' {
                continue;
            }
            found = self.at(hash, host, &path[..=at]).or(found);
            slashes += 1;
            if slashes >= self.deepest {
                break;
            }
        }
        found
    }

    /// The first by name of the routes that have a host and a prefix.
    fn at(&self, hash: PlaceHash, host: &str, prefix: &str) -> Option<&Arc<NamedRoute>> {
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

    fn take(&mut self, change: RouteChange) {
        if let Some(old) = change.old {
            let hash = PlaceHash::of(&old.route);
            let shard = Arc::make_mut(&mut self.shards[hash.shard()]);
            shard.retain(|(other, named)| *other != hash || named.name != old.name);
        }
        if let Some(new) = change.new {
            let hash = PlaceHash::of(&new.route);
            let shard = Arc::make_mut(&mut self.shards[hash.shard()]);
            let at = shard.partition_point(|(other, named)| {
                (*other, named.name.as_str()) < (hash, new.name.as_str())
            });
            self.deepest = self.deepest.max(new.route.prefix.matches('/').count());
            shard.insert(at, (hash, new));
        }
    }
}
