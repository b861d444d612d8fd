//! Reading the body of a caller's call, bounded in time, length and memory.

use std::time::Duration;

use http_body_util::BodyExt;
use hyper::body::{Body, Bytes, Frame};
use lynxcleat_settings::Effective;
use serde_bytes::ByteBuf;

use super::answer::Problem;
use super::room::Taken;

/// Bytes of a body that are read and thrown away, so that its caller can use its connection
/// again after an answer that came before the end of the body.
const DISCARD_BYTES: usize = 1 << 20;
/// Time for that. A connection that ends with unread bytes may take an answer with it that
/// is on its way, so a caller that sends more has this time to read the answer.
const DISCARD_TIME: Duration = Duration::from_secs(2);

/// A body that is read piece by piece, and of which a rest may be left.
pub(super) struct CallerBody<B> {
    body: B,
    /// Whether the caller sends the body only when it is told to go on.
    waits: bool,
    /// Whether something was read, so that the caller was told to go on.
    is_read: bool,
}

impl<B> CallerBody<B>
where
    B: Body<Data = Bytes> + Unpin,
{
    /// A body of which nothing was read. `waits` says that its caller expects to be told
    /// before it sends it.
    pub(super) fn new(body: B, waits: bool) -> Self {
        CallerBody {
            body,
            waits,
            is_read: false,
        }
    }

    /// What the caller sends next; nothing at the end.
    pub(super) async fn frame(&mut self) -> Option<Result<Frame<Bytes>, B::Error>> {
        self.is_read = true;
        self.body.frame().await
    }

    /// Whether all of it was read.
    pub(super) fn is_end(&self) -> bool {
        self.body.is_end_stream()
    }

    /// Leaves the caller's connection in a state that both sides know: the rest is read and
    /// thrown away within a bound, else the connection ends after the answer. A caller that
    /// was not told to send the body sends none, and its connection ends.
    pub(super) fn discard(self)
    where
        B: Send + 'static,
        B::Error: Send,
    {
        if self.is_end() || (self.waits && !self.is_read) {
            return;
        }
        tokio::spawn(async move {
            let _ = tokio::time::timeout(DISCARD_TIME, read_away(self.body)).await;
        });
    }
}

/// Reads a body and throws it away. One that is too long is not read to its end and never
/// returns.
async fn read_away<B>(mut body: B)
where
    B: Body<Data = Bytes> + Unpin,
{
    let mut left = DISCARD_BYTES;
    while let Some(Ok(frame)) = body.frame().await {
        let length = frame.data_ref().map_or(0, Bytes::len);
        let Some(rest) = left.checked_sub(length) else {
            return std::future::pending().await;
        };
        left = rest;
    }
}

/// Reads a body whole. `room` holds the room for its stated length; what comes of a body
/// without one takes more.
pub(super) async fn read<B>(
    body: B,
    effective: &Effective,
    room: &mut Taken<'_>,
) -> Result<ByteBuf, Problem>
where
    B: Body<Data = Bytes> + Unpin,
{
    let time = Duration::from_millis(effective.caller_limit_ms);
    let whole = tokio::time::timeout(time, read_frames(body, effective, room)).await;
    whole.unwrap_or(Err(Problem::TooSlow))
}

async fn read_frames<B>(
    mut body: B,
    effective: &Effective,
    room: &mut Taken<'_>,
) -> Result<ByteBuf, Problem>
where
    B: Body<Data = Bytes> + Unpin,
{
    let limit = effective.body_limit_bytes;
    let is_stated = body.size_hint().exact().is_some();
    let mut whole = ByteBuf::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| Problem::Bad("the body was not sent whole"))?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if whole.len() + data.len() > limit {
            return Err(Problem::TooLarge { limit });
        }
        if !is_stated && !room.grow(data.len(), effective.body_memory_bytes) {
            return Err(Problem::NoRoom);
        }
        whole.extend_from_slice(&data);
    }
    Ok(whole)
}
