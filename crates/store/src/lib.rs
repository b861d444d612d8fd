//! Typed clients of the platform's table, object store and host list, and the settings
//! acceptance protocol built on them.
//!
//! The platform holds the only persistent state. It may have outages, serve stale reads,
//! lag behind in its host list, or lose the reply to a write that it has applied. Each
//! function documents which of these cases it can distinguish.

mod accept;
mod api;
mod client;
mod error;
mod feed_role;
mod follower;
mod owned_row;
mod row_store;
mod rows;
mod stand_in;
mod store_watch;
mod table_replica;

pub use accept::{AcceptRequest, Accepted, accept, accepted_change, history, read_tree};
pub use api::{
    HostEntry, HostPage, HostState, NO_ROW, Put, ReadReply, ReadRequest, Row, ScanRequest, Txn,
    TxnReply, VersionCheck,
};
pub use client::{Platform, PlatformBuilder};
pub use error::{AcceptError, PlatformError};
pub use feed_role::{FeedLimits, FeedRole, feed_role};
pub use follower::{FeedRequest, Follower};
pub use owned_row::OwnedRow;
pub use row_store::{
    ResponseProgress, RowStore, RowStoreError, RowVersion, RowWrite, StoreFuture, StoredRow,
    VersionedRows,
};
pub use rows::{
    AuditEntry, ClaimRow, GenerationRow, Pointer, UnsettledRow, audit_key, claim_key,
    generation_key, keys, unsettled_key,
};
pub use stand_in::{StandIn, WatcherPoll};
pub use store_watch::{KnowledgeReport, StoreWatch};
pub use table_replica::{
    DeltaOutcome, KeyReply, KeyRequest, Missing, RowDelta, RowDigest, TableReplica, fnv1a,
};
