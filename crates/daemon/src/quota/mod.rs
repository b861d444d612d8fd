//! Enforcement of organisation quotas with tokens leased from the daemon that owns the bucket.
//!
//! The decisions are made in [`lynxcleat_policy`]. A daemon that reaches no owner of the bucket
//! falls back to a local bucket with a small share of the limit.

mod ask;
mod owners;
pub(crate) mod state;
mod take;

pub use ask::answer;
pub use owners::start;
pub use take::take;
