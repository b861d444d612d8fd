//! Bodies in pieces that are sent ahead: the router has all of such a body and sends it with
//! the call, piece by piece, so that it holds up no small message. It can send it elsewhere if
//! the call is refused.

use std::sync::Arc;

use lynxcleat_policy::AttemptId;
use lynxcleat_wire::PieceFrame;
use serde_bytes::ByteBuf;
use tokio::task::JoinHandle;

use crate::core::Core;
use crate::mesh::{Link, PIECE_BYTES};

/// The sending of one body for one attempt; it ends when this is dropped.
pub(super) struct SentAhead(JoinHandle<()>);

impl Drop for SentAhead {
    fn drop(&mut self) {
        self.0.abort();
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
    SentAhead(tokio::spawn(async move {
        let count = body.len().div_ceil(PIECE_BYTES);
        for (nth, bytes) in body.chunks(PIECE_BYTES).enumerate() {
            let piece = PieceFrame {
                attempt,
                bytes: ByteBuf::from(bytes.to_vec()),
                last: nth + 1 == count,
            };
            if link.send_piece(piece).await.is_err() {
                return;
            }
            core.metrics.piece_bytes.inc_by(bytes.len() as u64);
        }
    }))
}
