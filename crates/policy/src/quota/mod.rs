//! Fleet-wide call quotas of organisations.
//!
//! One daemon owns the token bucket of an organisation ([`QuotaBucket`]), selected from the members
//! by rendezvous hashing ([`BucketOwners`]). The other daemons lease tokens from it and prefetch
//! them at high call rates ([`QuotaLease`]), so that most calls do not wait for a round trip. How
//! much of a limit an owner grants follows from the owners that it reaches ([`OwnerReach`]).

mod bucket;
mod lease;
mod owners;
mod reach;

pub use bucket::{BucketLevel, QuotaBucket, QuotaGrant, QuotaLimit, SeenLevel};
pub use lease::{LeaseOutcome, QuotaLease, TokenRequest};
pub use owners::{BucketOwners, owner_count};
pub use reach::{GrantRight, Granter, OwnerReach};
