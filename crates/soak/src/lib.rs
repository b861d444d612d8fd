//! A fault soak: real daemons as separate processes on this machine, disturbed from
//! outside, and checked while they run by what callers and targets see.
//!
//! A seed makes a [`Plan`] of faults: signals to processes, a loopback proxy between
//! daemons and before the platform, and faults of the stand-ins. Callers keep their
//! connections and call on through all of it. The [`Ledger`] holds each caller's answer
//! against what the targets ran. Times on a real machine differ from run to run, so a seed
//! repeats the faults and the calls, not every interleaving.

mod callers;
mod fleet;
mod ledger;
mod plan;
mod proxy;
mod report;
mod run;
mod watch;

pub use fleet::SoakError;
pub use ledger::{CallRecord, Disturbed, Heard, Kind, Ledger, Violation};
pub use plan::{Fault, Plan, PlatformTrouble, Step, TargetTrouble};
pub use proxy::{Proxy, ProxyMode};
pub use report::{Report, Second, plot};
pub use run::{SoakOptions, run};
