//! Lookup of organisations by key, in time independent of the number of keys.

use std::collections::HashMap;
use std::sync::Arc;

use crate::organisation::{KeyDigest, NamedOrganisation, OrganisationSet};
use crate::tree::Tree;

/// Number of shards, selected by the first byte of a digest; successive tables share unchanged
/// shards.
const SHARDS: usize = 256;

/// Entries by the first eight bytes of the digest.
type Shard = HashMap<u64, Vec<(KeyDigest, Arc<NamedOrganisation>)>>;

/// Lookup table of the keys of a tree.
#[derive(Clone, Debug)]
pub struct KeyTable {
    organisations: OrganisationSet,
    shards: Vec<Arc<Shard>>,
}

impl Default for KeyTable {
    fn default() -> Self {
        KeyTable {
            organisations: OrganisationSet::default(),
            shards: vec![Arc::default(); SHARDS],
        }
    }
}

impl KeyTable {
    /// Builds the lookup table of a tree.
    pub fn of(tree: &Tree) -> Self {
        KeyTable::default().updated_for(tree)
    }

    /// Builds the table of another tree from this one; the cost depends only on the differences.
    pub fn updated_for(&self, tree: &Tree) -> Self {
        let mut next = self.clone();
        let changes = OrganisationSet::changes(&self.organisations, tree.organisation_set());
        // All removals precede the additions, because a key may move between organisations.
        for old in changes.iter().filter_map(|change| change.old.as_ref()) {
            next.remove(old);
        }
        for new in changes.iter().filter_map(|change| change.new.as_ref()) {
            next.put(new);
        }
        next.organisations = tree.organisation_set().clone();
        next
    }

    /// The organisation that holds a key.
    pub fn find(&self, key: &[u8]) -> Option<&Arc<NamedOrganisation>> {
        let digest = KeyDigest::of(key);
        let entries = self.shards[shard_of(&digest)].get(&prefix(&digest))?;
        let entry = entries.iter().find(|(known, _)| is_equal(known, &digest));
        entry.map(|(_, named)| named)
    }

    fn remove(&mut self, named: &NamedOrganisation) {
        for digest in &named.organisation.key_digests {
            let shard = Arc::make_mut(&mut self.shards[shard_of(digest)]);
            if let Some(entries) = shard.get_mut(&prefix(digest)) {
                entries.retain(|(known, _)| known != digest);
                if entries.is_empty() {
                    shard.remove(&prefix(digest));
                }
            }
        }
    }

    fn put(&mut self, named: &Arc<NamedOrganisation>) {
        for digest in &named.organisation.key_digests {
            let shard = Arc::make_mut(&mut self.shards[shard_of(digest)]);
            let entries = shard.entry(prefix(digest)).or_default();
            entries.push((*digest, Arc::clone(named)));
        }
    }
}

fn shard_of(digest: &KeyDigest) -> usize {
    usize::from(digest.bytes()[0]) % SHARDS
}

fn prefix(digest: &KeyDigest) -> u64 {
    let (first, _) = digest.bytes().split_at(size_of::<u64>());
    u64::from_le_bytes(first.try_into().expect("8 bytes"))
}

/// Constant-time comparison, to prevent timing attacks.
fn is_equal(one: &KeyDigest, other: &KeyDigest) -> bool {
    let pairs = one.bytes().iter().zip(other.bytes());
    pairs.fold(0, |differing, (a, b)| differing | (a ^ b)) == 0
}
