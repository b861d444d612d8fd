//! Enforcement of organisation quotas with tokens leased from the daemon that owns the bucket.
//!
//! The decisions are made in [`lynxcleat_policy`]. A daemon that reaches no owner of the bucket
//! falls back to a local bucket with a small share of the limit.

mod ask;
mod owners;
mod reach;
pub(crate) mod state;
mod take;

pub use ask::answer;
pub use take::{Token, take};

use std::sync::Arc;

use crate::core::Core;

/// Starts the selection of the bucket owners, and the probes between them.
pub fn start(core: &Arc<Core>) {
    owners::start(core);
    reach::start(core);
}
