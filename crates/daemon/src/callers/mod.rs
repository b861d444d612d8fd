//! The side towards callers: connections, requests, answers.
//!
//! HTTP is by hyper rather than tiny_http here, and the docs say why: a caller's
//! slow request must be bounded in time, a caller that goes away must cancel its
//! call, and a stop must not cut a connection under a request. tiny_http offers
//! none of the three. It serves the operators' endpoint.

mod answer;
mod body;
mod classify;
mod pieces;
mod room;
mod serve;
mod stall;

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

pub use room::BodyRoom;

use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore};

use crate::core::Core;
use crate::life::Phase;

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
/// Largest head of a request, in bytes.
const HEAD_BYTES: usize = 32 << 10;
/// Bytes read from a caller at once, at most: what of a large body is in memory beside its
/// window.
const READ_BYTES: usize = 64 << 10;
/// Headers of a request at most.
const HEADERS_LIMIT: usize = 100;
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

/// Serves one connection. On a stop, the request in hand is finished first, and a
/// connection that was just made may still send its first.
async fn connection(core: &Arc<Core>, stream: TcpStream) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let limit = caller_limit(core);
    let nested = is_from_own_host(&stream);
    let first = Notify::new();
    let service = service_fn(|request| {
        first.notify_one();
        let core = Arc::clone(core);
        async move { Ok::<_, Infallible>(serve::serve(&core, request, nested).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limit)
        .max_header_size(HEAD_BYTES)
        .max_headers(HEADERS_LIMIT)
        .max_buf_size(READ_BYTES)
        .serve_connection(TokioIo::new(stall::Stall::new(stream, limit)), service);
    tokio::pin!(connection);
    let closing = async {
        core.life.reached(Phase::Closing).await;
        let _ = tokio::time::timeout(FIRST_REQUEST_GRACE, first.notified()).await;
    };
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        () = closing => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = ended {
        log::debug!("caller's connection: {error}");
    }
}

/// Longest time for the head of a request, between two, and for a caller to take
/// some of its answer.
fn caller_limit(core: &Core) -> Duration {
    let in_force = core.settings.current();
    in_force.map_or(FIRST_CALLER_LIMIT, |in_force| {
        Duration::from_millis(in_force.own.caller_limit_ms)
    })
}
