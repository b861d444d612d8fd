//! Request and response bodies of the platform's published HTTP protocol.
//!
//! `POST /table/read`, `/table/scan` and `/table/write` use JSON bodies; `PUT` and
//! `GET /objects/DIGEST` use raw bytes; `GET /hosts?after=N&limit=M` returns the
//! host list entries that changed since version N.

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Version of a row that does not exist.
pub const NO_ROW: u64 = 0;

/// One row of the table.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Row {
    /// Key of the row.
    pub key: String,
    /// Increases with every write of the row; [`NO_ROW`] if the row does not exist.
    pub version: u64,
    /// JSON value; null if the row does not exist.
    pub value: Value,
}

/// Body of a read by key.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ReadRequest {
    /// Keys to read.
    pub keys: Vec<String>,
}

/// Body of a scan in key order.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ScanRequest {
    /// Returns only keys with this prefix.
    pub prefix: String,
    /// Returns only keys greater than this one.
    pub after: String,
    /// Maximum number of rows to return.
    pub limit: usize,
}

/// Rows returned by a read or scan. A read by key also returns an entry, with version
/// [`NO_ROW`], for each key that does not exist.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ReadReply {
    /// Rows in the order of the request's keys, or in key order for a scan.
    pub rows: Vec<Row>,
}

/// A precondition of a transaction.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct VersionCheck {
    /// Key of the row.
    pub key: String,
    /// Version that the row must have; [`NO_ROW`] if it must not exist.
    pub version: u64,
}

/// A single write in a transaction.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Put {
    /// Key of the row.
    pub key: String,
    /// New value of the row.
    pub value: Value,
    /// Time to live in milliseconds, after which the platform deletes the row.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ttl_ms: Option<u64>,
}

/// An atomic transaction: all writes are applied if every check passes; otherwise none is.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Txn {
    /// Preconditions on row versions.
    pub checks: Vec<VersionCheck>,
    /// Writes to apply.
    pub puts: Vec<Put>,
}

/// Result of a transaction.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct TxnReply {
    /// Whether the writes were applied.
    pub committed: bool,
    /// Current state of the rows whose checks failed.
    pub conflicts: Vec<Row>,
}

/// State of a host as reported by the platform.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum HostState {
    /// The host is running, as far as the platform knows.
    Live,
    /// The host is scheduled for removal.
    Leaving,
    /// The host was removed.
    Gone,
}

/// An entry of the host list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HostEntry {
    /// Name of the host.
    pub host: String,
    /// Place of the host.
    pub place: String,
    /// Availability zone of the host.
    pub zone: String,
    /// Region of the host; empty if the deployment does not define regions.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub region: String,
    /// Service that the host's target provides.
    pub service: String,
    /// Software version of the host's target; empty if unknown.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub version: String,
    /// Mesh address of the host's daemon.
    pub mesh: String,
    /// Address of the operator endpoint of the host's daemon.
    pub ops: String,
    /// State reported by the platform.
    pub state: HostState,
}

/// A page of host list changes.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct HostPage {
    /// Version of the list that includes these changes.
    pub version: u64,
    /// Hosts whose entry changed.
    pub hosts: Vec<HostEntry>,
    /// Whether there are more changes after this page.
    pub more: bool,
}
