//! Accepts links from other daemons.

use std::sync::Arc;
use std::time::Duration;

use lynxcleat_wire::Side;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;

use super::handshake;
use crate::core::Core;
use crate::life::Phase;

/// Connections that have not proved the key yet, at most.
const UNPROVED_LIMIT: usize = 64;
/// Pause after a failed accept, such as for want of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Accepts links until the daemon has closed.
pub async fn listen(core: Arc<Core>, listener: TcpListener) {
    let unproved = Arc::new(Semaphore::new(UNPROVED_LIMIT));
    loop {
        let next = async {
            let permit = Arc::clone(&unproved)
                .acquire_owned()
                .await
                .expect("the semaphore is never closed");
            (listener.accept().await, permit)
        };
        let (accepted, permit) = tokio::select! {
            next = next => next,
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
    let from = stream.peer_addr();
    match handshake::accept(core, stream).await {
        Ok((socket, hello)) => {
            core.links.start(core, socket, hello, Side::Acceptor);
        }
        Err(error) => {
            let from = from.map_or_else(|_| String::new(), |from| from.to_string());
            handshake::count_refused(core, &from, &error);
        }
    }
}
