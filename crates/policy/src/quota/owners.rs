//! Selection of the daemons that own quota buckets.

use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};

/// Minimum number of daemons among which buckets are distributed.
const MIN_OWNERS: usize = 8;

/// Number of bucket owners among the given number of members. Every daemon links to every owner,
/// so the square root bounds the links of daemons and owners alike.
pub fn owner_count(members: usize) -> usize {
    let root = (members as f64).sqrt().ceil() as usize;
    root.max(MIN_OWNERS).min(members)
}

/// The daemons that own buckets.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct BucketOwners {
    hosts: Vec<String>,
}

impl BucketOwners {
    /// Selects the owners from the members by hash; all daemons select the same ones.
    pub fn from_members<'a>(members: impl Iterator<Item = &'a str>) -> Self {
        let mut hosts: Vec<&str> = members.collect();
        hosts.sort_by_cached_key(|host| hash_of(&[host]));
        hosts.truncate(owner_count(hosts.len()));
        BucketOwners {
            hosts: hosts.into_iter().map(str::to_owned).collect(),
        }
    }

    /// Hosts of the owners.
    pub fn hosts(&self) -> &[String] {
        &self.hosts
    }

    /// Whether a host is an owner.
    pub fn contains(&self, host: &str) -> bool {
        self.hosts.iter().any(|owner| owner == host)
    }

    /// Owners in the order of preference for an organisation.
    pub fn preference_order(&self, organisation: &str) -> Vec<&str> {
        let mut order: Vec<&str> = self.hosts.iter().map(String::as_str).collect();
        order.sort_by_cached_key(|host| hash_of(&[organisation, host]));
        order
    }
}

fn hash_of(parts: &[&str]) -> u64 {
    let mut hasher = DefaultHasher::new();
    parts.hash(&mut hasher);
    hasher.finish()
}
