//! Once-only operations: tickets, the guard, claims of plain keys, and recovery.

mod claimed;
mod claims;
mod recover;
mod run;
pub(crate) mod state;

pub use claims::start as start_claims;
pub use run::{OnceCall, run, run_keyed, spawn_guarded};
pub use state::{Once, OnceVerdict};
