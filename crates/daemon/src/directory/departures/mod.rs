//! Targets that leave: what their acknowledgement waits for, and how other daemons hear of it.
//!
//! The decisions are those of [`lynxcleat_policy::Departures`]. While the store answers, the mark
//! is in this daemon's row before the target is answered, and nothing else happens. Otherwise
//! peers are asked to hold it.

mod acknowledge;
mod spread;
mod store;

pub use acknowledge::Acknowledgement;
pub(super) use acknowledge::{acknowledge, of_report};
pub(super) use spread::record_said;
pub use spread::{greet, take};
