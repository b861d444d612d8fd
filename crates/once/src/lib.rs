//! At-most-once execution of operations, as state machines without I/O.
//!
//! A *ticket* identifies the daemon incarnation that minted it. Only that
//! incarnation, the operation's *guard*, may run the operation. Each target's
//! daemon records the operations that it admitted, and fences those that must no
//! longer run. The request path needs no clock synchronisation, lease or consensus.
//! Correctness depends on clocks only when an outcome is recovered after its guard
//! was lost, and then only on their agreement within a configured skew.

mod fence;
mod guard;
mod host_list_history;
mod recovery;
mod ticket;

pub use fence::{Admission, Fence, FenceLimits, FenceRefusal, FenceReply, Operation};
pub use guard::{BeginResult, Guard, GuardLimits, GuardRefusal, Outcome};
pub use host_list_history::HostListHistory;
pub use recovery::{Recovery, RecoveryStatus};
pub use ticket::{Incarnation, OpId, Ticket, TicketError, TicketKey};
