//! Messages as the fragments in which they are sent.
//!
//! A socket's buffer takes each fragment whole, and keeps the size that it once had. Sent in one
//! fragment, the largest message would stay allocated on every link that it went over.

use hyper::body::Bytes;
use tokio_tungstenite::tungstenite::Message;
use tokio_tungstenite::tungstenite::protocol::frame::Frame;
use tokio_tungstenite::tungstenite::protocol::frame::coding::{Data, OpCode};

/// Size of a fragment, in bytes. A message that is no larger is sent whole.
const FRAGMENT_BYTES: usize = 64 << 10;

/// The fragments of a message, in order.
pub(super) fn fragments(mut message: Bytes) -> impl Iterator<Item = Message> {
    let mut next = Some(Data::Binary);
    std::iter::from_fn(move || {
        let data = next.take()?;
        let fragment = message.split_to(message.len().min(FRAGMENT_BYTES));
        let is_last = message.is_empty();
        if !is_last {
            next = Some(Data::Continue);
        }
        let frame = Frame::message(fragment, OpCode::Data(data), is_last);
        Some(Message::Frame(frame))
    })
}
