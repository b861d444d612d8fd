//! Rows stored in the platform's table, and their keys.

use lynxcleat_settings::{Change, Digest};
use serde::{Deserialize, Serialize};

/// Fixed keys and prefixes.
pub mod keys {
    /// Key of the [`super::Pointer`] row.
    pub const POINTER: &str = "settings/pointer";
    /// Prefix of [`super::GenerationRow`].
    pub const GENERATIONS: &str = "settings/generation/";
    /// Prefix of [`super::AuditEntry`].
    pub const AUDIT: &str = "audit/change/";
    /// Prefix of [`super::UnsettledRow`].
    pub const UNSETTLED: &str = "audit/unsettled/";
    /// Prefix of quarantined requests, followed by the request fingerprint.
    pub const QUARANTINE: &str = "quarantine/";
    /// Prefix of [`super::ClaimRow`].
    pub const CLAIMS: &str = "once/claim/";
}

/// Pointer to the generation in force. This row alone determines which generation that is.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Pointer {
    /// Generation number.
    pub generation: u64,
    /// Digest of the generation's tree.
    pub digest: Digest,
}

/// Record of an accepted generation. Written in the same transaction as the pointer and never
/// changed.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct GenerationRow {
    /// Generation number.
    pub generation: u64,
    /// Digest of the generation's tree.
    pub digest: Digest,
    /// ID of the change that created the generation.
    pub change_id: String,
    /// Operator who made the change.
    pub who: String,
    /// Time on the operator's clock, in milliseconds since the Unix epoch.
    pub when_ms: u64,
    /// Operator's description of the change.
    pub note: String,
    /// Number of changed paths.
    pub changes: usize,
}

/// Audit record of one changed path.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct AuditEntry {
    /// Generation that the change created.
    pub generation: u64,
    /// ID of the change.
    pub change_id: String,
    /// Operator who made the change.
    pub who: String,
    /// Time on the operator's clock, in milliseconds since the Unix epoch.
    pub when_ms: u64,
    /// Digest of the tree after the change.
    pub digest: Digest,
    /// Changed path with its old and new values.
    pub change: Change,
}

/// An operation whose outcome could not be determined.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct UnsettledRow {
    /// Host of the daemon that reports the operation.
    pub host: String,
    /// Service that the operation was sent to.
    pub service: String,
    /// Ticket of the operation.
    pub ticket: String,
    /// Reason why the outcome could not be determined.
    pub reason: String,
    /// Time on the daemon's clock, in milliseconds since the Unix epoch.
    pub when_ms: u64,
}

/// Ticket assigned to an idempotency key that was sent without a ticket.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ClaimRow {
    /// Ticket in text form.
    pub ticket: String,
}

/// Key of a [`GenerationRow`]. The number is zero-padded so that keys sort in numeric order.
pub fn generation_key(generation: u64) -> String {
    format!("{}{generation:020}", keys::GENERATIONS)
}

/// Key of the [`AuditEntry`] of one changed path.
pub fn audit_key(generation: u64, index: usize) -> String {
    format!("{}{generation:020}/{index:05}", keys::AUDIT)
}

/// Key of an [`UnsettledRow`].
pub fn unsettled_key(when_ms: u64, operation: &str) -> String {
    format!("{}{when_ms:020}/{operation}", keys::UNSETTLED)
}

/// Key of the [`ClaimRow`] of an idempotency key. The idempotency key is hashed.
pub fn claim_key(service: &str, key: &str) -> String {
    format!("{}{service}/{}", keys::CLAIMS, Digest::of(key.as_bytes()))
}
