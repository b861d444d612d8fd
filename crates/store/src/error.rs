//! Error types for platform calls and for accepting settings.

use lynxcleat_settings::{Conflict, SettingsError};
use thiserror::Error;

/// A failed call to the platform.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum PlatformError {
    /// The connection failed before anything was sent.
    #[error("cannot connect to the platform: {0}")]
    Unreachable(String),
    /// No complete reply was received; a write may have been applied.
    #[error("no complete reply from the platform: {0}")]
    NoReply(String),
    /// The platform reported that it is overloaded or failing; a write may have been applied.
    #[error("the platform is unavailable (HTTP status {0})")]
    Unavailable(u16),
    /// The platform rejected the request, and a retry would not help.
    #[error("the platform rejected the request (HTTP status {0})")]
    Refused(u16),
    /// The requested resource does not exist.
    #[error("{0} does not exist on the platform")]
    Missing(String),
    /// The reply does not conform to the published protocol.
    #[error("malformed platform reply at {path}: {reason}")]
    Malformed {
        /// Path of the invalid field within the reply.
        path: String,
        /// Deserialization error at that path.
        reason: String,
    },
    /// The reply is longer than any that the protocol allows; a write may have been applied.
    #[error("the platform's reply is longer than {0} bytes")]
    TooLarge(usize),
    /// The content does not match the digest under which it is stored.
    #[error("content of object {0} does not match its digest")]
    DigestMismatch(String),
    /// The stored tree is not valid for this version of the software.
    #[error("invalid stored settings tree: {0}")]
    BadTree(#[from] SettingsError),
}

impl PlatformError {
    /// Whether retrying the same request may succeed.
    pub fn is_transient(&self) -> bool {
        matches!(
            self,
            PlatformError::Unreachable(_)
                | PlatformError::NoReply(_)
                | PlatformError::Unavailable(_)
        )
    }

    /// Whether a write that failed with this error may nevertheless have been applied.
    pub fn may_have_applied(&self) -> bool {
        matches!(
            self,
            PlatformError::NoReply(_)
                | PlatformError::Unavailable(_)
                | PlatformError::Malformed { .. }
                | PlatformError::TooLarge(_)
        )
    }
}

/// Reason why a tree was not accepted.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum AcceptError {
    /// A platform call failed before anything was changed.
    #[error("nothing was changed: {0}")]
    Platform(#[from] PlatformError),
    /// The edit conflicts with another operator's change.
    #[error("nothing was changed: {0}")]
    Conflict(Box<Conflict>),
    /// The edit is based on a generation that was never accepted.
    #[error(
        "nothing was changed: unknown base generation {base}; generation {current} is in force"
    )]
    UnknownBase {
        /// Base generation named by the edit.
        base: u64,
        /// Generation in force.
        current: u64,
    },
    /// The tree is identical to the generation in force.
    #[error("nothing was changed: the tree is identical to generation {0}")]
    NoChange(u64),
    /// Concurrent changes by other operators won every compare-and-set attempt.
    #[error("nothing was changed: {0} other changes were accepted first; try again")]
    Contended(u32),
    /// The number of changed paths exceeds the limit of one transaction.
    #[error(
        "nothing was changed: {found} changed paths exceed the limit of {limit} per generation"
    )]
    TooManyChanges {
        /// Number of changed paths.
        found: usize,
        /// Maximum number of changed paths in one transaction.
        limit: usize,
    },
    /// The write may have been applied, and reading back the result from the platform failed.
    #[error(
        "unknown whether change {change_id} was accepted ({source}); check with `lynxcleat settings status --change {change_id}`"
    )]
    OutcomeUnknown {
        /// ID of the change.
        change_id: String,
        /// Last platform failure.
        source: PlatformError,
    },
}
