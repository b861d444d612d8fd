//! Typed failures of the platform and of accepting settings.

use lynxcleat_settings::{Conflict, SettingsError};
use thiserror::Error;

/// A call to the platform that failed.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum PlatformError {
    /// Nothing was sent.
    #[error("the platform cannot be reached: {0}")]
    Unreachable(String),
    /// No whole reply came; a write may have taken effect.
    #[error("no reply from the platform: {0}")]
    NoReply(String),
    /// The platform says that it cannot serve now; a write may have taken effect.
    #[error("the platform answers status {0}")]
    Unavailable(u16),
    /// The platform refuses the request as it is.
    #[error("the platform refuses the request with status {0}")]
    Refused(u16),
    /// What was asked for does not exist.
    #[error("{0} does not exist on the platform")]
    Missing(String),
    /// The reply does not have the published form.
    #[error("reply of an unexpected form at {path}: {reason}")]
    Malformed {
        /// Path within the reply.
        path: String,
        /// What is wrong there.
        reason: String,
    },
    /// Content does not match the digest it is stored under.
    #[error("object {0} has other content than its digest says")]
    WrongDigest(String),
    /// The stored tree is not one that this version takes.
    #[error("the stored tree is refused: {0}")]
    BadTree(#[from] SettingsError),
}

impl PlatformError {
    /// Whether the same request may succeed a moment later.
    pub fn is_transient(&self) -> bool {
        matches!(
            self,
            PlatformError::Unreachable(_)
                | PlatformError::NoReply(_)
                | PlatformError::Unavailable(_)
        )
    }

    /// Whether a write that failed so may have taken effect all the same.
    pub fn may_have_applied(&self) -> bool {
        matches!(
            self,
            PlatformError::NoReply(_)
                | PlatformError::Unavailable(_)
                | PlatformError::Malformed { .. }
        )
    }
}

/// Why a tree was not accepted.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum AcceptError {
    /// The platform failed before anything was changed.
    #[error("nothing was changed: {0}")]
    Platform(#[from] PlatformError),
    /// Another operator's change stands in the way.
    #[error("nothing was changed: {0}")]
    Conflict(Box<Conflict>),
    /// The edit says that it is based on a generation never accepted.
    #[error("nothing was changed: base generation {base} is not known; {current} is in force")]
    UnknownBase {
        /// The base that the edit names.
        base: u64,
        /// The generation in force.
        current: u64,
    },
    /// The edit changes nothing.
    #[error("nothing was changed: the tree equals generation {0}")]
    NoChange(u64),
    /// Other operators kept accepting first.
    #[error("nothing was changed: {0} other changes were accepted first; try again")]
    Contended(u32),
    /// Too many changed paths for one transaction.
    #[error("nothing was changed: {found} changed paths; one generation takes {limit}")]
    TooManyChanges {
        /// Paths changed.
        found: usize,
        /// Most that one transaction takes.
        limit: usize,
    },
    /// The write may have taken effect, and the platform could not be read back.
    #[error(
        "not known whether change {change_id} was accepted ({source}); ask with `lynxcleat settings status --change {change_id}`"
    )]
    OutcomeUnknown {
        /// Id of the change.
        change_id: String,
        /// The failure.
        source: PlatformError,
    },
}
