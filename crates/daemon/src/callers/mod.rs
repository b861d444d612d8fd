//! The side towards callers: connections, requests, answers.
//!
//! HTTP is by [`crate::http1`]: calls without effects that are sent ahead run side by side,
//! slow requests are bounded in time, a caller that leaves cancels its calls, and a stop cuts
//! no request. hyper runs one call at a time, tiny_http bounds no slow sender.

mod answer;
mod body;
mod calls;
mod classify;
mod organisation;
mod pieces;
mod read_ahead;
pub(crate) mod room;
mod serve;
mod stall;

use std::sync::Arc;
use std::time::Duration;

pub use room::BodyRoom;

use lynxcleat_policy::PipelineLimits;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use crate::core::Core;
use crate::http1::{self, ConnectionLimits};
use crate::life::Phase;
use calls::Calls;

/// Whether the other end is on this host: the target, which calls on while it runs a
/// call.
fn is_from_own_host(stream: &TcpStream) -> bool {
    match (stream.peer_addr(), stream.local_addr()) {
        (Ok(peer), Ok(own)) => peer.ip() == own.ip(),
        _ => false,
    }
}

/// Longest time for the head of a request before settings are in force.
const FIRST_CALLER_LIMIT: Duration = Duration::from_secs(15);
/// Time for the first request of a connection that was made as the daemon closes.
const FIRST_REQUEST_GRACE: Duration = Duration::from_millis(250);
/// Calls in hand on a connection, and bytes of answers held, of those that were made before
/// settings were in force: as the settings have it by default.
const FIRST_PIPELINE: PipelineLimits = PipelineLimits {
    calls: 8,
    bytes: 1 << 20,
};
/// Pause after a failed accept, such as for want of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Accepts callers until the daemon closes.
pub async fn listen(core: Arc<Core>, listener: TcpListener) {
    let places = Arc::new(Semaphore::new(core.config.caller_connections));
    loop {
        let place = Arc::clone(&places)
            .acquire_owned()
            .await
            .expect("the semaphore is never closed");
        let accepted = tokio::select! {
            biased;
            accepted = listener.accept() => accepted,
            () = core.life.reached(Phase::Closing) => break,
        };
        match accepted {
            Ok((stream, _)) => spawn(&core, stream, Some(place)),
            Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
        }
    }
    take_rest(&core, listener);
}

/// Takes what waits in the listener's queue and closes it in the same breath:
/// a connection that is still in the queue when it closes is reset.
fn take_rest(core: &Arc<Core>, listener: TcpListener) {
    let Ok(listener) = listener.into_std() else {
        return;
    };
    let mut rest = Vec::new();
    while let Ok((stream, _)) = listener.accept() {
        rest.push(stream);
    }
    drop(listener);
    for stream in rest {
        let stream = stream
            .set_nonblocking(true)
            .and_then(|()| TcpStream::from_std(stream));
        if let Ok(stream) = stream {
            spawn(core, stream, None);
        }
    }
}

fn spawn(core: &Arc<Core>, stream: TcpStream, place: Option<OwnedSemaphorePermit>) {
    let core = Arc::clone(core);
    let busy = core.life.connections.enter();
    tokio::spawn(async move {
        connection(&core, stream).await;
        drop((place, busy));
    });
}

/// Serves one connection. On a stop, the requests in hand are finished first, and a
/// connection that was just made may still send its first.
async fn connection(core: &Arc<Core>, stream: TcpStream) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let limits = limits(core);
    let calls = Calls::new(Arc::clone(core), is_from_own_host(&stream));
    let closing = async {
        core.life.reached(Phase::Closing).await;
        let _ = tokio::time::timeout(FIRST_REQUEST_GRACE, calls.first()).await;
    };
    let stream = stall::Stall::new(stream, limits.idle);
    if let Err(error) = http1::serve(stream, &calls, limits, closing).await {
        log::debug!("caller's connection: {error}");
    }
}

/// Bounds of a connection. Its time limit is the longest for the head of a request, between
/// two, and for a caller to take some of its answer.
fn limits(core: &Core) -> ConnectionLimits {
    let Some(in_force) = core.settings.current() else {
        return ConnectionLimits {
            pipeline: FIRST_PIPELINE,
            idle: FIRST_CALLER_LIMIT,
        };
    };
    let own = &in_force.own;
    ConnectionLimits {
        pipeline: PipelineLimits {
            calls: own.pipeline_limit,
            bytes: own.pipeline_bytes,
        },
        idle: Duration::from_millis(own.caller_limit_ms),
    }
}
