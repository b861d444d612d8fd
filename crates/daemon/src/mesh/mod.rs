//! Links between daemons.
//!
//! A link carries messages both ways and is made by the daemon that routes to
//! the other. It is a pair of tasks around one web socket, with a bounded queue
//! of outgoing messages. What waits for a reply on a link hears at once when the
//! link is lost.

mod beat;
mod dial;
mod fragments;
pub(crate) mod handlers;
mod handshake;
pub(crate) mod link;
pub(crate) mod links;
mod listener;
mod pump;
mod queue;
pub(crate) mod region_egress;

pub use handlers::Handlers;
pub use handshake::{HandshakeError, connect as connect_soon, prepare as prepare_connection};
pub use link::{Link, Signal, SignalKind};
pub use links::Links;
pub use listener::listen;
pub use region_egress::RegionEgress;

/// Largest piece of a body, in bytes: a small message that waits behind one waits for 7 ms on
/// a link of 10 Mbit/s, and the head of each piece is less than a hundredth of it.
pub(crate) const PIECE_BYTES: usize = 8 << 10;

/// Largest message, in bytes: the largest body that settings allow, and a head.
pub(crate) const MESSAGE_LIMIT: usize = (64 << 20) + (1 << 20);
