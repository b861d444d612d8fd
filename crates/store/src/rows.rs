//! The rows that the system keeps in the table, and their keys.

use lynxcleat_settings::{Change, Digest};
use serde::{Deserialize, Serialize};

/// Fixed keys and prefixes.
pub mod keys {
    /// The pointer to the generation in force.
    pub const POINTER: &str = "settings/pointer";
    /// Prefix of [`super::GenerationRow`].
    pub const GENERATIONS: &str = "settings/generation/";
    /// Prefix of [`super::AuditEntry`].
    pub const AUDIT: &str = "audit/change/";
    /// Prefix of [`super::UnsettledRow`].
    pub const UNSETTLED: &str = "audit/unsettled/";
    /// Prefix of requests that are quarantined, by fingerprint.
    pub const QUARANTINE: &str = "quarantine/";
    /// Prefix of [`super::ClaimRow`].
    pub const CLAIMS: &str = "once/claim/";
}

/// The generation in force. The only row that decides it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Pointer {
    /// Number of the generation.
    pub generation: u64,
    /// Digest of its tree.
    pub digest: Digest,
}

/// How a generation came about. Written with the pointer, never changed.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct GenerationRow {
    /// Number of the generation.
    pub generation: u64,
    /// Digest of its tree.
    pub digest: Digest,
    /// Id of the change that made it.
    pub change_id: String,
    /// The operator.
    pub who: String,
    /// The operator's clock, in milliseconds since 1970.
    pub when_ms: u64,
    /// Why, in the operator's words.
    pub note: String,
    /// Number of changed paths.
    pub changes: usize,
}

/// One changed path in the audit trail.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct AuditEntry {
    /// Generation that the change made.
    pub generation: u64,
    /// Id of the change.
    pub change_id: String,
    /// The operator.
    pub who: String,
    /// The operator's clock, in milliseconds since 1970.
    pub when_ms: u64,
    /// Digest of the tree after the change.
    pub digest: Digest,
    /// The path with its old and new value.
    pub change: Change,
}

/// An operation whose outcome the system could not settle.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct UnsettledRow {
    /// The daemon that reports it.
    pub host: String,
    /// Service of the operation.
    pub service: String,
    /// The operation's ticket.
    pub ticket: String,
    /// Why it could not be settled.
    pub reason: String,
    /// The daemon's clock, in milliseconds since 1970.
    pub when_ms: u64,
}

/// The ticket under which a plain idempotency key runs.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ClaimRow {
    /// Text of the ticket.
    pub ticket: String,
}

/// Key of a generation; numbers are padded so that keys sort as numbers do.
pub fn generation_key(generation: u64) -> String {
    format!("{}{generation:020}", keys::GENERATIONS)
}

/// Key of one changed path of a generation.
pub fn audit_key(generation: u64, index: usize) -> String {
    format!("{}{generation:020}/{index:05}", keys::AUDIT)
}

/// Key of an unsettled operation.
pub fn unsettled_key(when_ms: u64, operation: &str) -> String {
    format!("{}{when_ms:020}/{operation}", keys::UNSETTLED)
}

/// Key of the claim of an idempotency key.
pub fn claim_key(service: &str, key: &str) -> String {
    format!("{}{service}/{}", keys::CLAIMS, Digest::of(key.as_bytes()))
}
