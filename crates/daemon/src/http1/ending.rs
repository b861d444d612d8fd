//! The orderly end of a connection.
//!
//! A socket that is closed with unread bytes resets the connection, which may destroy answers
//! that the caller has not taken yet. So the sending side is closed first, and what the
//! caller still sends is thrown away until it closes too, within bounds.

use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};

use super::stream::CallerStream;

/// Longest time for a caller to close after its last answer: a slow round trip or two.
const LINGER_TIME: Duration = Duration::from_millis(500);
/// Bytes thrown away at most: more than a caller has under way that stops sending when it
/// reads the answer.
const LINGER_BYTES: usize = 4 << 20;
const PIECE_BYTES: usize = 16 << 10;

/// Ends a connection. The caller may still send something where `may_send`.
pub(super) async fn end<S: CallerStream>(stream: &mut S, may_send: bool) {
    if stream.shutdown().await.is_err() || !may_send {
        return;
    }
    let _ = tokio::time::timeout(LINGER_TIME, discard(stream)).await;
}

async fn discard<S: CallerStream>(stream: &mut S) {
    let mut piece = vec![0; PIECE_BYTES];
    let mut left = LINGER_BYTES;
    while left > 0 {
        match stream.read(&mut piece).await {
            Ok(0) | Err(_) => return,
            Ok(bytes) => left = left.saturating_sub(bytes),
        }
    }
}
