//! Passing on a caller's body piece by piece, as the target's half opens its window.

use std::time::Duration;

use hyper::body::{Body, Bytes};
use lynxcleat_policy::{AttemptId, SendWindow};
use lynxcleat_settings::Effective;
use lynxcleat_wire::BodyChunkFrame;
use serde_bytes::ByteBuf;

use super::body::CallerBody;
use crate::core::Core;
use crate::mesh::PIECE_BYTES;
use crate::metrics::count;
use crate::route::{Opened, UploadReader};

/// How the reading of a body ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum BodyEnd {
    /// All of it was sent.
    Whole,
    /// Its caller went away or broke the framing.
    CallerLeft,
    /// Its caller sent nothing for too long.
    TooSlow,
    /// It has more bytes than the settings allow.
    TooLarge,
    /// The link to the target's daemon was lost.
    LinkLost,
    /// The call ended before its body.
    CallEnded,
}

impl BodyEnd {
    /// Who cut the body, for metrics and logs; nothing where nobody did, or where the
    /// target's half notes it.
    fn cut_by(self) -> Option<&'static str> {
        match self {
            BodyEnd::Whole | BodyEnd::CallEnded => None,
            BodyEnd::CallerLeft => Some("caller"),
            BodyEnd::TooSlow => Some("slow-caller"),
            BodyEnd::TooLarge => Some("too-large"),
            BodyEnd::LinkLost => Some("link"),
        }
    }
}

/// Reads a body and sends it, until all is sent or the call ended.
pub(super) async fn send<B>(
    core: &Core,
    call: &str,
    body: &mut CallerBody<B>,
    effective: &Effective,
    reader: UploadReader,
) -> BodyEnd
where
    B: Body<Data = Bytes> + Unpin,
{
    core.metrics.bodies_in_pieces.inc();
    let _in_hand = InHand(core);
    let mut sending = Sending {
        core,
        body,
        reader,
        limit: effective.body_limit_bytes,
        silence: Duration::from_millis(effective.caller_limit_ms),
        window: SendWindow::default(),
        to: None,
        rest: Bytes::new(),
        read: 0,
        sent: 0,
        is_read: false,
    };
    let end = sending.run().await;
    sending.note(call, end);
    end
}

/// Counts a body while it is read.
struct InHand<'a>(&'a Core);

impl Drop for InHand<'_> {
    fn drop(&mut self) {
        self.0.metrics.bodies_in_pieces.dec();
    }
}

struct Sending<'a, B> {
    core: &'a Core,
    body: &'a mut CallerBody<B>,
    reader: UploadReader,
    limit: usize,
    silence: Duration,
    window: SendWindow,
    /// Where the pieces go.
    to: Option<Opened>,
    /// What was read and not sent.
    rest: Bytes,
    read: usize,
    sent: u64,
    /// Whether nothing more is to be read.
    is_read: bool,
}

impl<B> Sending<'_, B>
where
    B: Body<Data = Bytes> + Unpin,
{
    async fn run(&mut self) -> BodyEnd {
        loop {
            if let Err(end) = self.wait_for_room().await {
                return end;
            }
            if self.rest.is_empty()
                && !self.is_read
                && let Err(end) = self.read().await
            {
                self.withdraw();
                return end;
            }
            self.hear_all();
            if self.window.available() == 0 {
                continue;
            }
            match self.send_piece().await {
                Ok(true) => return BodyEnd::Whole,
                Ok(false) => {}
                Err(end) => return end,
            }
        }
    }

    /// Nothing is read from the caller while nothing may be sent.
    async fn wait_for_room(&mut self) -> Result<(), BodyEnd> {
        self.hear_all();
        while self.window.available() == 0 {
            let opened = self.reader.opened.recv_async().await;
            self.hear(opened.map_err(|_| BodyEnd::CallEnded)?);
        }
        Ok(())
    }

    fn hear_all(&mut self) {
        while let Ok(opened) = self.reader.opened.try_recv() {
            self.hear(opened);
        }
    }

    /// A window for another attempt takes the place of one that was refused.
    fn hear(&mut self, opened: Opened) {
        if self.attempt() != Some(opened.attempt) {
            self.window = SendWindow::default();
        }
        self.window.grant(opened.bytes);
        self.to = Some(opened);
    }

    fn attempt(&self) -> Option<AttemptId> {
        self.to.as_ref().map(|to| to.attempt)
    }

    /// Reads what the caller sends next.
    async fn read(&mut self) -> Result<(), BodyEnd> {
        let next = tokio::time::timeout(self.silence, self.body.frame()).await;
        let frame = match next.map_err(|_| BodyEnd::TooSlow)? {
            None => {
                self.is_read = true;
                return Ok(());
            }
            Some(frame) => frame.map_err(|_| BodyEnd::CallerLeft)?,
        };
        if let Ok(data) = frame.into_data() {
            self.read += data.len();
            self.rest = data;
        }
        if self.read > self.limit {
            return Err(BodyEnd::TooLarge);
        }
        self.is_read = self.body.is_end();
        Ok(())
    }

    /// Sends one piece. Returns whether it was the last one.
    async fn send_piece(&mut self) -> Result<bool, BodyEnd> {
        let room = usize::try_from(self.window.available()).unwrap_or(usize::MAX);
        let length = self.rest.len().min(PIECE_BYTES).min(room);
        let last = self.is_read && length == self.rest.len();
        if length == 0 && !last {
            return Ok(false);
        }
        let Some(to) = &self.to else {
            return Ok(false);
        };
        // The attempt ended while its piece was read: the piece waits for the next window.
        if !self.reader.begin(to.attempt) {
            self.window = SendWindow::default();
            return Ok(false);
        }
        let bytes = self.rest.split_to(length);
        let is_allowed = self.window.try_send(length as u64, last);
        debug_assert!(is_allowed, "the piece is within the window");
        let piece = BodyChunkFrame {
            attempt: to.attempt,
            bytes: ByteBuf::from(bytes.to_vec()),
            last,
        };
        let sent = to.link.send_piece(piece).await;
        sent.map_err(|_| BodyEnd::LinkLost)?;
        self.sent += length as u64;
        self.core.metrics.piece_bytes.inc_by(length as u64);
        Ok(last)
    }

    /// The body cannot be had whole: the target's half closes the connection on which it
    /// wrote some of it.
    fn withdraw(&self) {
        self.reader.give_up();
        if let Some(to) = &self.to {
            to.link.withdraw(to.attempt);
        }
    }

    fn note(&self, call: &str, end: BodyEnd) {
        let Some(by) = end.cut_by() else { return };
        count(&self.core.metrics.bodies_cut, by);
        if self.core.explain.logs(self.core.clock.now(), false) {
            let to = self.to.as_ref();
            let to = to.map_or("", |to| to.link.peer.host.as_str());
            let (bytes, ended_by) = (self.sent, by);
            log::info!(call, to, bytes, ended_by; "body cut");
        }
    }
}
