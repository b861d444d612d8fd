//! Content digest of a tree, which is its key in the store. The content stored under a digest
//! never changes, so a receiver can verify any copy of it.

use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};

use crate::tree::Tree;

/// SHA-256 of a tree's canonical text, in lower-case hexadecimal.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct Digest(String);

impl Digest {
    /// Computes the digest of `bytes`.
    pub fn of(bytes: &[u8]) -> Digest {
        Digest(hex::encode(Sha256::digest(bytes)))
    }

    /// Wraps a digest received from elsewhere. The text is not validated, because it is only
    /// compared with computed digests.
    pub fn from_hex(text: impl Into<String>) -> Digest {
        Digest(text.into())
    }

    /// The digest as hexadecimal text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Returns the canonical text of a tree and the digest of that text.
pub fn digest(tree: &Tree) -> (String, Digest) {
    let text = tree.to_json().to_string();
    let digest = Digest::of(text.as_bytes());
    (text, digest)
}
