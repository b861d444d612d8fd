//! Typed clients of the platform's table, object store and host list, and the
//! accepting of settings on top of them.
//!
//! The platform is the only thing that lasts. It has outages, its reads may be
//! old, its host list lags, and the reply to a write may be lost after the write
//! took effect; every function here says which of these it can tell apart.

mod api;
mod client;
mod error;
mod release;
mod rows;

pub use api::{
    HostEntry, HostPage, HostState, NO_ROW, Put, ReadReply, ReadRequest, Row, ScanRequest, Txn,
    TxnReply, VersionCheck,
};
pub use client::{Platform, PlatformBuilder};
pub use error::{AcceptError, PlatformError};
pub use release::{AcceptRequest, Accepted, accept, accepted_change, history, read_tree};
pub use rows::{
    AuditEntry, ClaimRow, GenerationRow, Pointer, UnsettledRow, audit_key, claim_key,
    generation_key, keys, unsettled_key,
};
