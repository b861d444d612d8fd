//! Reading the body of a caller's call, bounded in time, length and memory.

use std::time::Duration;

use http_body_util::BodyExt;
use hyper::body::Body;
use lynxcleat_settings::Effective;
use serde_bytes::ByteBuf;

use super::answer::Problem;
use super::room::Taken;
use crate::http1::RequestBody;

/// Reads a body whole. `room` holds the room for its stated length; what comes of a body
/// without one takes more.
pub(super) async fn read(
    body: RequestBody,
    effective: &Effective,
    room: &mut Taken<'_>,
) -> Result<ByteBuf, Problem> {
    let time = Duration::from_millis(effective.caller_limit_ms);
    let whole = tokio::time::timeout(time, read_frames(body, effective, room)).await;
    whole.unwrap_or(Err(Problem::TooSlow))
}

async fn read_frames(
    mut body: RequestBody,
    effective: &Effective,
    room: &mut Taken<'_>,
) -> Result<ByteBuf, Problem> {
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
