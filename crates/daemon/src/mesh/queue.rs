//! What a link has to send: small messages, and pieces of bodies behind them.

use lynxcleat_wire::{BodyChunkFrame, Frame};

use crate::answer_memory::HeldAnswer;

/// Small messages sent in a row before a piece that waits has its turn: bodies go on
/// however many small messages there are.
const SMALL_IN_A_ROW: u32 = 64;

/// What the writer of a link is told.
pub(super) enum Out {
    /// Send this. What counts the memory of an answer is given back once it was written.
    Frame(Frame, Option<HeldAnswer>),
    /// Send all that came before, then close.
    Close,
}

/// A piece, and who waits until it left.
pub(super) struct PieceOut {
    pub piece: BodyChunkFrame,
    pub left: flume::Sender<()>,
}

impl PieceOut {
    /// A piece with a receiver that hears when it left.
    pub(super) fn new(piece: BodyChunkFrame) -> (Self, flume::Receiver<()>) {
        let (left, is_left) = flume::bounded(1);
        (PieceOut { piece, left }, is_left)
    }
}

/// What is sent next.
pub(super) enum Next {
    /// A small message, or the end.
    Small(Out),
    /// A piece of a body.
    Piece(PieceOut),
}

/// The writer's end of a link's queues. Each body has one piece in it at most, so that
/// bodies take turns.
pub(super) struct Queue {
    small: flume::Receiver<Out>,
    pieces: flume::Receiver<PieceOut>,
    small_in_a_row: u32,
}

impl Queue {
    pub(super) fn new(small: flume::Receiver<Out>, pieces: flume::Receiver<PieceOut>) -> Self {
        Queue {
            small,
            pieces,
            small_in_a_row: 0,
        }
    }

    /// What is to be sent next; nothing where nobody can send any more.
    pub(super) async fn next(&mut self) -> Option<Next> {
        if self.small_in_a_row >= SMALL_IN_A_ROW
            && let Ok(piece) = self.pieces.try_recv()
        {
            return Some(self.piece(piece));
        }
        tokio::select! {
            biased;
            out = self.small.recv_async() => {
                self.small_in_a_row = self.small_in_a_row.saturating_add(1);
                out.ok().map(Next::Small)
            }
            Ok(piece) = self.pieces.recv_async() => Some(self.piece(piece)),
        }
    }

    /// Whether no small message waits.
    pub(super) fn has_no_small(&self) -> bool {
        self.small.is_empty()
    }

    fn piece(&mut self, piece: PieceOut) -> Next {
        self.small_in_a_row = 0;
        Next::Piece(piece)
    }
}

impl Drop for Queue {
    /// The channel would keep what nobody writes any more for as long as its link is known.
    fn drop(&mut self) {
        self.small.drain();
        self.pieces.drain();
    }
}
