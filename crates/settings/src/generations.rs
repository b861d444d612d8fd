//! The generation in force at one daemon. It only ever rises.
//!
//! Offers come from the platform and from peers, in any order and any number of
//! times. Content is checked against its digest, so it does not matter who
//! brought it; an older generation is never taken, whoever brings it.

use thiserror::Error;

use crate::digest::Digest;
use crate::error::SettingsError;
use crate::tree::Tree;

/// One accepted tree.
#[derive(Clone, Debug, PartialEq)]
pub struct Generation {
    /// Its number, from 1.
    pub number: u64,
    /// Digest by which its content is known: of the text under which it is stored, or of its
    /// entries where they are read from a store that has a form of its own.
    pub digest: Digest,
    /// The tree.
    pub tree: Tree,
}

/// Why an offered generation was not taken.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum OfferError {
    /// The text has another digest than the one it was offered under.
    #[error("generation {number}: the content does not match its digest")]
    WrongDigest {
        /// Number offered.
        number: u64,
    },
    /// The number is in force with other content: two pointers disagree.
    #[error("generation {number} is in force with another digest")]
    Disagrees {
        /// Number offered.
        number: u64,
    },
    /// The tree does not pass this version's checks.
    #[error("generation {number} is refused: {error}")]
    Refused {
        /// Number offered.
        number: u64,
        /// The fault.
        error: SettingsError,
    },
}

impl Generation {
    /// Checks offered content.
    ///
    /// # Errors
    /// Content that does not match its digest or does not pass the checks.
    pub fn check(number: u64, digest: Digest, text: String) -> Result<Self, OfferError> {
        if Digest::of(text.as_bytes()) != digest {
            return Err(OfferError::WrongDigest { number });
        }
        let tree = Tree::parse(&text).map_err(|error| OfferError::Refused { number, error })?;
        Ok(Generation {
            number,
            digest,
            tree,
        })
    }

    /// A tree that no text is stored of.
    pub fn of_tree(number: u64, tree: Tree) -> Self {
        Generation {
            number,
            digest: tree.entries_digest(),
            tree,
        }
    }

    /// Whether `self` takes the place of `current`.
    ///
    /// # Errors
    /// The same number with other content.
    pub fn succeeds(&self, current: Option<&Generation>) -> Result<bool, OfferError> {
        let Some(current) = current else {
            return Ok(true);
        };
        if self.number == current.number && self.digest != current.digest {
            return Err(OfferError::Disagrees {
                number: self.number,
            });
        }
        Ok(self.number > current.number)
    }
}
