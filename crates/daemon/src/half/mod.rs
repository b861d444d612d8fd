//! The target half: every call to the target passes it.
//!
//! Peer side of a call's way: fence → slots and hold → deliver → answer. The
//! half knows the exact load, remembers once-only operations, and keeps the warm
//! connections to the target.

mod ahead;
mod belief;
mod bodies;
mod connection;
mod cut;
mod deliver;
mod down;
mod ends;
mod exchange;
mod notices;
mod permit;
mod pool;
mod reading;
mod request;
mod serve;
pub(crate) mod state;
mod suspects;
mod target;

use std::sync::Arc;

use lynxcleat_wire::Frame;

use crate::core::Core;
use crate::mesh::Link;

pub use belief::TargetBelief;
pub use pool::Pool;
pub use serve::{spawn_call, spawn_fence};
pub use state::{EarlierTarget, Half};

/// Starts following whether the target listens, and what it states.
pub fn start(core: &Arc<Core>) {
    down::start(core);
    notices::start(core);
}

/// Tells a router on a new link what may have changed since this daemon said hello on it. What
/// changes meanwhile is told again: it may have been told before this.
pub fn greet(core: &Core, link: &Link) {
    if link.is_dialer() {
        return;
    }
    loop {
        let (leaving, down) = (core.half.is_leaving(), core.half.pool.is_down());
        send(link, Frame::Leaving(leaving));
        send(link, Frame::Down(down));
        if (leaving, down) == (core.half.is_leaving(), core.half.pool.is_down()) {
            break;
        }
    }
    let figures = core.half.figures();
    if figures.notice.is_some() {
        send(link, Frame::Load(figures));
    }
}

/// Sends on a link whose loss the other side notices by itself.
fn send(link: &Link, frame: Frame) {
    let _ = link.send(frame);
}
