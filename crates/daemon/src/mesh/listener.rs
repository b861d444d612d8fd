//! Accepts links from other daemons.

use std::sync::Arc;
use std::time::Duration;

use lynxcleat_wire::Side;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;

use super::handshake::{self, HandshakeError};
use crate::core::Core;
use crate::life::Phase;
use crate::metrics::KindLabels;

/// Connections that have not proved the key yet, at most.
const UNPROVED_LIMIT: usize = 64;
/// Pause after a failed accept, such as for want of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Accepts links until the daemon has closed.
pub async fn listen(core: Arc<Core>, listener: TcpListener) {
    let unproved = Arc::new(Semaphore::new(UNPROVED_LIMIT));
    loop {
        let permit = Arc::clone(&unproved)
            .acquire_owned()
            .await
            .expect("the semaphore is never closed");
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = core.life.reached(Phase::Closing) => return,
        };
        let Ok((stream, _)) = accepted else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let core = Arc::clone(&core);
        tokio::spawn(async move {
            take(&core, stream).await;
            drop(permit);
        });
    }
}

async fn take(core: &Arc<Core>, stream: TcpStream) {
    let from = stream.peer_addr().ok();
    match handshake::accept(core, stream).await {
        Ok((socket, hello)) => {
            core.links.start(core, socket, hello, Side::Acceptor);
        }
        Err(error) => {
            let kind = refused_kind(&error);
            core.metrics
                .links_refused
                .get_or_create(&KindLabels { kind })
                .inc();
            log::warn!(from:? = from, kind; "link refused: {error}");
        }
    }
}

fn refused_kind(error: &HandshakeError) -> &'static str {
    match error {
        HandshakeError::Hello(_) => "hello",
        HandshakeError::Codec(_) => "malformed",
        HandshakeError::TooSlow => "slow",
        HandshakeError::Io(_) | HandshakeError::Socket(_) | HandshakeError::Closed => "connection",
    }
}
