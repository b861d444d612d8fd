//! Small stand-ins for the platform and for targets, with faults on demand.
//!
//! They exist for tests, for the newcomer's embedded run and for load runs. They
//! speak the same HTTP as the real things and keep everything in memory.

mod error;
mod front;
mod http;
mod platform;
mod serving;
mod sync;
mod table;
mod target;

pub use error::StandinError;
pub use front::Stutter;
pub use platform::{PlatformCounts, PlatformFaults, PlatformStandin};
pub use target::{BadRun, Ledger, TargetFaults, TargetOptions, TargetStandin, wait_until};
