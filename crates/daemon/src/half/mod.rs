//! The target half: every call to the target passes it.
//!
//! Peer side of a call's way: fence → slots and hold → deliver → answer. The
//! half knows the exact load, remembers once-only operations, and keeps the warm
//! connections to the target.

mod ahead;
mod bodies;
mod cut;
mod deliver;
mod down;
mod ends;
mod exchange;
mod notices;
mod pool;
mod serve;
pub(crate) mod state;
mod suspects;
mod target;
mod watched;

use lynxcleat_wire::Frame;

use crate::mesh::Link;

pub use down::start;
pub use pool::Pool;
pub use serve::{spawn_call, spawn_fence};
pub use state::{EarlierTarget, Half};

/// Sends on a link whose loss the other side notices by itself.
fn send(link: &Link, frame: Frame) {
    let _ = link.send(frame);
}
