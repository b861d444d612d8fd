//! Numbered generations of the settings. The number of a daemon's active generation never
//! decreases.
//!
//! The platform and peers offer generations in any order and repeatedly. Content is verified
//! against its digest, so its sender does not need to be trusted, and an older generation never
//! replaces a newer one.

use thiserror::Error;

use crate::digest::Digest;
use crate::error::SettingsError;
use crate::tree::Tree;

/// An accepted settings tree and its generation number.
#[derive(Clone, Debug, PartialEq)]
pub struct Generation {
    /// Generation number, starting at 1.
    pub number: u64,
    /// Digest of the content: of the stored text, or of the entries if the store keeps them in a
    /// format of its own.
    pub digest: Digest,
    /// The validated tree.
    pub tree: Tree,
}

/// Why an offered generation was rejected.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum OfferError {
    /// The text does not match the digest that it was offered with.
    #[error("generation {number}: the content does not match its digest")]
    DigestMismatch {
        /// Number of the offered generation.
        number: u64,
    },
    /// The active generation has the same number but a different digest: two pointers to the
    /// accepted generation disagree.
    #[error("generation {number} is already active with a different digest")]
    ConflictingDigest {
        /// Number of the offered generation.
        number: u64,
    },
    /// The tree is invalid according to this version of the program.
    #[error("generation {number} rejected: {error}")]
    Refused {
        /// Number of the offered generation.
        number: u64,
        /// The validation error.
        error: SettingsError,
    },
}

impl Generation {
    /// Verifies the digest of offered content, parses it and validates the tree.
    ///
    /// # Errors
    /// The content does not match its digest, or the tree is invalid.
    pub fn check(number: u64, digest: Digest, text: String) -> Result<Self, OfferError> {
        if Digest::of(text.as_bytes()) != digest {
            return Err(OfferError::DigestMismatch { number });
        }
        let tree = Tree::parse(&text).map_err(|error| OfferError::Refused { number, error })?;
        Ok(Generation {
            number,
            digest,
            tree,
        })
    }

    /// Creates a generation from a tree that is not stored as text.
    pub fn from_tree(number: u64, tree: Tree) -> Self {
        Generation {
            number,
            digest: tree.entries_digest(),
            tree,
        }
    }

    /// Whether `self` replaces `current`.
    ///
    /// # Errors
    /// The two have the same number but different digests.
    pub fn supersedes(&self, current: Option<&Generation>) -> Result<bool, OfferError> {
        let Some(current) = current else {
            return Ok(true);
        };
        if self.number == current.number && self.digest != current.digest {
            return Err(OfferError::ConflictingDigest {
                number: self.number,
            });
        }
        Ok(self.number > current.number)
    }
}
