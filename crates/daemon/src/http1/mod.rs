//! HTTP/1.1: serving it on one connection, with pipelined calls side by side, and taking the
//! answers of targets apart.
//!
//! It knows nothing of the daemon: what a request is and how it is answered is behind
//! [`Service`]. Which calls begin and which answer goes out next is decided by
//! [`lynxcleat_policy::Pipeline`].

mod answers;
mod body;
mod chunks;
mod connection;
mod date;
mod encode;
mod ending;
mod head;
mod input;
mod malformed;
mod output;
mod requests;
mod service;
mod stream;
mod waits;

pub use answers::{AnswerFault, AnswerHead, AnswerItem, Answers};
pub use body::{BodyError, BodyFeed, RequestBody};
pub use connection::{ConnectionError, ConnectionLimits, serve};
pub use date::imf_fixdate;
pub use head::{AnswerFraming, FIELDS_LIMIT, Framing, HEAD_BYTES, Head};
pub use malformed::Malformed;
pub use requests::{Item, Requests};
pub use service::Service;
pub use stream::CallerStream;
