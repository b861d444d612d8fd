//! Reading the beginning of a body that is passed on in pieces before its target is chosen.
//!
//! A request that ended its targets is known by its body, and must be known before a target has
//! any of it. So while some request is suspect, a body is read up to its window, as one of that
//! stated length always is. A body that ends there goes on whole; of a longer one the beginning
//! is what names the request.

use std::time::Duration;

use hyper::body::{Body, Bytes};
use lynxcleat_policy::BodyCoverage;
use lynxcleat_settings::Effective;
use serde_bytes::ByteBuf;
use tokio::time::Instant;

use super::answer::Problem;
use super::body::CallerBody;

/// What was read of a body.
pub(super) enum ReadAhead {
    /// All of it.
    Whole(ByteBuf),
    /// The beginning of a longer one, as long as the window. The body yields it again.
    Part(Bytes, BodyCoverage),
}

/// Reads a body up to its end, or until there is more of it than the window takes.
///
/// # Errors
/// A caller that goes away, is silent for too long, or sends until the deadline or beyond the
/// longest body.
pub(super) async fn read_ahead<B>(
    body: &mut CallerBody<B>,
    effective: &Effective,
    deadline: Instant,
) -> Result<ReadAhead, Problem>
where
    B: Body<Data = Bytes> + Unpin,
{
    let window = effective.body_window_bytes;
    let length = body.length();
    let reading = read_beyond(body, effective, window);
    let read = tokio::time::timeout_at(deadline, reading).await;
    let read = read.unwrap_or(Err(Problem::TooSlow))?;
    match BodyCoverage::of_read(read.len(), window, length) {
        BodyCoverage::Whole => Ok(ReadAhead::Whole(ByteBuf::from(read))),
        coverage => {
            let read = Bytes::from(read);
            body.put_back(read.clone());
            Ok(ReadAhead::Part(read.slice(..window), coverage))
        }
    }
}

/// Reads until there are more than `window` bytes, or all.
async fn read_beyond<B>(
    body: &mut CallerBody<B>,
    effective: &Effective,
    window: usize,
) -> Result<Vec<u8>, Problem>
where
    B: Body<Data = Bytes> + Unpin,
{
    let limit = effective.body_limit_bytes;
    let silence = Duration::from_millis(effective.caller_limit_ms);
    let mut read = Vec::new();
    while read.len() <= window {
        let next = tokio::time::timeout(silence, body.frame()).await;
        let Some(frame) = next.map_err(|_| Problem::TooSlow)? else {
            break;
        };
        let frame = frame.map_err(|_| Problem::Bad("the body was not sent whole"))?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if read.len() + data.len() > limit {
            return Err(Problem::TooLarge { limit });
        }
        read.extend_from_slice(&data);
    }
    Ok(read)
}
