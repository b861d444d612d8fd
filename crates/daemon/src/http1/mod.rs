//! Serving HTTP/1.1 on one connection, with pipelined calls side by side.
//!
//! It knows nothing of the daemon: what a request is and how it is answered is behind
//! [`Service`]. Which calls begin and which answer goes out next is decided by
//! [`lynxcleat_policy::Pipeline`].

mod body;
mod chunks;
mod connection;
mod date;
mod encode;
mod ending;
mod head;
mod malformed;
mod output;
mod requests;
mod service;
mod stream;
mod waits;

pub use body::{BodyError, BodyFeed, RequestBody};
pub use connection::{ConnectionError, ConnectionLimits, serve};
pub use date::imf_fixdate;
pub use head::{FIELDS_LIMIT, Framing, HEAD_BYTES, Head};
pub use malformed::Malformed;
pub use requests::{Item, Requests};
pub use service::Service;
pub use stream::CallerStream;
