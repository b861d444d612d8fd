//! Reading the body of a caller's call, bounded in time, length and memory.

use std::time::Duration;

use http_body_util::BodyExt;
use hyper::body::{Body, Bytes, Frame};
use lynxcleat_settings::Effective;
use serde_bytes::ByteBuf;

use super::answer::Problem;
use super::room::Taken;

/// A body that is read piece by piece, and of which a rest may be left.
pub(super) struct CallerBody<B> {
    body: B,
    /// What was put back, to be read again.
    put_back: Option<Bytes>,
}

impl<B> CallerBody<B>
where
    B: Body<Data = Bytes> + Unpin,
{
    /// A body of which nothing was read.
    pub(super) fn new(body: B) -> Self {
        CallerBody {
            body,
            put_back: None,
        }
    }

    /// Its length, if its caller stated it.
    pub(super) fn length(&self) -> Option<u64> {
        self.body.size_hint().exact()
    }

    /// Puts back all that was read, to be read again.
    pub(super) fn put_back(&mut self, read: Bytes) {
        self.put_back = Some(read);
    }

    /// What the caller sends next; nothing at the end.
    pub(super) async fn frame(&mut self) -> Option<Result<Frame<Bytes>, B::Error>> {
        match self.put_back.take() {
            Some(read) => Some(Ok(Frame::data(read))),
            None => self.body.frame().await,
        }
    }

    /// Whether all of it was read.
    pub(super) fn is_end(&self) -> bool {
        self.put_back.is_none() && self.body.is_end_stream()
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
