//! Typed clients of the platform's table, object store and host list, and the
//! accepting of settings on top of them.
//!
//! The platform is the only thing that lasts. It has outages, its reads may be
//! old, its host list lags, and the reply to a write may be lost after the write
//! took effect; every function here says which of these it can tell apart.

mod api;
mod client;
mod error;
mod follower;
mod own_row;
mod release;
mod row_copy;
mod row_store;
mod rows;
mod standby;

pub use api::{
    HostEntry, HostPage, HostState, NO_ROW, Put, ReadReply, ReadRequest, Row, ScanRequest, Txn,
    TxnReply, VersionCheck,
};
pub use client::{Platform, PlatformBuilder};
pub use error::{AcceptError, PlatformError};
pub use follower::{Ask, Follower};
pub use own_row::OwnRow;
pub use release::{AcceptRequest, Accepted, accept, accepted_change, history, read_tree};
pub use row_copy::{DeltaTaken, KeyAsk, KeyReply, Missing, RowCopy, RowDelta, RowDigest};
pub use row_store::{
    Answering, RowStore, RowStoreError, RowVersion, RowWrite, RowsAt, StoreCall, StoredRow,
};
pub use rows::{
    AuditEntry, ClaimRow, GenerationRow, Pointer, UnsettledRow, audit_key, claim_key,
    generation_key, keys, unsettled_key,
};
pub use standby::{Duty, Standing, duty};
