//! The digest under which a tree's content is stored. Content is immutable
//! under its digest, so any copy can be checked by whoever receives it.

use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};

use crate::tree::Tree;

/// SHA-256 of a tree's canonical text, in lower-case hexadecimal.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct Digest(String);

impl Digest {
    /// The digest of any bytes.
    pub fn of(bytes: &[u8]) -> Digest {
        Digest(hex::encode(Sha256::digest(bytes)))
    }

    /// A digest that somebody states. It is compared, never trusted, so any text
    /// will do.
    pub fn from_hex(text: impl Into<String>) -> Digest {
        Digest(text.into())
    }

    /// The hexadecimal text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// The canonical text of a tree and its digest.
pub fn digest(tree: &Tree) -> (String, Digest) {
    let text = tree.to_json().to_string();
    let digest = Digest::of(text.as_bytes());
    (text, digest)
}
