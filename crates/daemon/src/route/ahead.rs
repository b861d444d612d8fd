//! Bodies in pieces that are sent ahead of a slot: the router has all of such a body and sends
//! it as the target's half lets it come. It can send it elsewhere if the call is refused.

use std::sync::Arc;

use lynxcleat_policy::{AttemptId, SendWindow};
use lynxcleat_wire::BodyChunkFrame;
use serde_bytes::ByteBuf;
use tokio::task::JoinHandle;

use crate::core::Core;
use crate::mesh::{Link, PIECE_BYTES};

/// The sending of one body for one attempt; it ends when this is dropped.
pub(super) struct SentAhead {
    sending: JoinHandle<()>,
    grants: flume::Sender<u64>,
}

impl SentAhead {
    /// So many bytes more may be sent.
    pub(super) fn grant(&self, bytes: u64) {
        let _ = self.grants.send(bytes);
    }
}

impl Drop for SentAhead {
    fn drop(&mut self) {
        self.sending.abort();
    }
}

/// Starts sending a body. If the link is lost, its attempt hears so by itself.
pub(super) fn send(
    core: &Arc<Core>,
    link: Arc<Link>,
    attempt: AttemptId,
    body: ByteBuf,
) -> SentAhead {
    let core = Arc::clone(core);
    let (grants, granted) = flume::unbounded();
    let sending = tokio::spawn(async move {
        let mut window = SendWindow::default();
        let mut rest = &body[..];
        while !rest.is_empty() {
            if window.available() == 0 {
                let Ok(bytes) = granted.recv_async().await else {
                    return;
                };
                window.grant(bytes);
                continue;
            }
            let room = usize::try_from(window.available()).unwrap_or(usize::MAX);
            let (bytes, after) = rest.split_at(rest.len().min(PIECE_BYTES).min(room));
            let last = after.is_empty();
            window.try_send(bytes.len() as u64, last);
            let piece = BodyChunkFrame {
                attempt,
                bytes: ByteBuf::from(bytes.to_vec()),
                last,
            };
            if link.send_piece(piece).await.is_err() {
                return;
            }
            core.metrics.piece_bytes.inc_by(bytes.len() as u64);
            rest = after;
        }
    });
    SentAhead { sending, grants }
}
