//! Bodies of the platform's HTTP interface, as its published protocol has them.
//!
//! `POST /table/read`, `/table/scan` and `/table/write` take and give JSON;
//! `PUT` and `GET /objects/DIGEST` take and give bytes; `GET
//! /hosts?after=N&limit=M` gives what changed in the host list since version N.

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Version of a row that does not exist.
pub const NO_ROW: u64 = 0;

/// One row of the table.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Row {
    /// Its key.
    pub key: String,
    /// Rises with every write of the row; [`NO_ROW`] where there is none.
    pub version: u64,
    /// Its value; null where there is none.
    pub value: Value,
}

/// Reads rows by key.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ReadRequest {
    /// The keys.
    pub keys: Vec<String>,
}

/// Reads rows in the order of their keys.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ScanRequest {
    /// Only keys that start so.
    pub prefix: String,
    /// Only keys after this one.
    pub after: String,
    /// Rows at most.
    pub limit: usize,
}

/// The rows read, a key without a row included for reads by key.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ReadReply {
    /// The rows.
    pub rows: Vec<Row>,
}

/// A condition of a transaction.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct VersionCheck {
    /// The row.
    pub key: String,
    /// Version it must have; [`NO_ROW`] where it must not exist.
    pub version: u64,
}

/// A write of a transaction.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Put {
    /// The row.
    pub key: String,
    /// Its new value.
    pub value: Value,
    /// Time in milliseconds after which the platform drops the row.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ttl_ms: Option<u64>,
}

/// All writes take effect if all conditions hold, or none does.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Txn {
    /// Conditions.
    pub checks: Vec<VersionCheck>,
    /// Writes.
    pub puts: Vec<Put>,
}

/// What became of a transaction.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct TxnReply {
    /// Whether the writes took effect.
    pub committed: bool,
    /// Rows whose condition failed, as they are.
    pub conflicts: Vec<Row>,
}

/// What the platform says of a host.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum HostState {
    /// It lives, as far as the platform knows.
    Live,
    /// It will be taken away.
    Leaving,
    /// It was taken away.
    Gone,
}

/// One host of the list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HostEntry {
    /// Name of the host.
    pub host: String,
    /// Its place.
    pub place: String,
    /// Its availability zone.
    pub zone: String,
    /// Its region; empty where the deployment names none.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub region: String,
    /// Service of its target.
    pub service: String,
    /// Version of the software that its target runs; empty where that is not known.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub version: String,
    /// Address of its daemon's mesh.
    pub mesh: String,
    /// Address of its daemon's operators' endpoint.
    pub ops: String,
    /// What the platform says of it.
    pub state: HostState,
}

/// What changed in the host list.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct HostPage {
    /// Version of the list after these changes.
    pub version: u64,
    /// Hosts whose entry changed.
    pub hosts: Vec<HostEntry>,
    /// Whether more changes follow.
    pub more: bool,
}
