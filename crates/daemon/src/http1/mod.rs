//! Serving HTTP/1.1 on one connection, with pipelined calls side by side.
//!
//! It knows nothing of the daemon. Which calls begin and which answer goes out next is decided
//! by [`lynxcleat_policy::Pipeline`].

mod body;
mod chunks;
mod head;
mod malformed;
mod requests;

pub use body::{BodyError, BodyFeed, RequestBody};
pub use head::{FIELDS_LIMIT, Framing, HEAD_BYTES, Head};
pub use malformed::Malformed;
pub use requests::{Item, Requests};
