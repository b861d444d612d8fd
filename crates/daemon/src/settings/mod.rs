//! How settings come to be in force.
//!
//! News come with every message between daemons ([`catch_up`]), from the row of a store
//! ([`row`]) or from our own platform's pointer ([`poll`]). A daemon that is behind asks a peer
//! for what differs, part by part, and a daemon that has it sends no more than its rate allows
//! ([`serve`]); whom to ask and how much to send is decided by the policy crate. [`state`] holds what is in force, and
//! [`in_force`] tells the other parts of the daemon.

mod catch_up;
mod in_force;
pub(crate) mod poll;
mod row;
mod serve;
pub(crate) mod state;

pub use catch_up::heard_of;
pub use row::take_row;
pub use serve::answer;
