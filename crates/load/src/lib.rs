//! Open-loop load against real processes, and policy rounds in virtual time.
//!
//! The load is open-loop: calls start when a seeded schedule says so, whatever
//! became of those before, and latency counts from the scheduled time. A slow
//! system therefore cannot hide behind callers that wait for it.

mod caller;
mod open_loop;
mod report;
mod rounds;
mod service;
mod spread;

pub use caller::{Connections, Destination};
pub use open_loop::{LoadError, LoadOptions, Mix, run};
pub use report::{Counts, Latency, LoadReport};
pub use rounds::{Balancer, Case, CaseReport, Deployment, cases, run_case, steady};
pub use service::{FakeService, FakeTarget, Measured, ServiceOptions};
pub use spread::{Lost, SpreadReport, spread};
