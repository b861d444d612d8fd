//! Pure decisions that make an operation run at most once.
//!
//! A *ticket* names the daemon incarnation that minted it, and only that
//! incarnation, the operation's *guard*, may ever have it run. Target halves
//! remember what they let through and fence what must no longer run. No clock,
//! lease or agreement stands in the path of a request; clocks matter only when
//! an outcome is recovered after its guard was lost, and then only to within a
//! stated skew.

mod fence;
mod guard;
mod recovery;
mod roster;
mod ticket;

pub use fence::{Admission, Fence, FenceLimits, FenceReply, Operation, RefusedOnce};
pub use guard::{Begin, Guard, GuardLimits, GuardRefusal, Outcome};
pub use recovery::{Recovery, RecoveryStep};
pub use roster::Roster;
pub use ticket::{Incarnation, OpId, Ticket, TicketError, TicketKey};
