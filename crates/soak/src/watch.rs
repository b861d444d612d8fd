//! What daemons say of themselves: the generation in force, and whether they serve.

use std::net::SocketAddr;
use std::time::Duration;

use http_body_util::{BodyExt, Empty};
use hyper::Request;
use hyper::body::Bytes;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use serde::Deserialize;
use tokio::net::TcpStream;

/// Longest time for an answer.
const LIMIT: Duration = Duration::from_millis(800);

/// A daemon's status, as far as it is needed here.
#[derive(Clone, Debug, Deserialize)]
pub struct Status {
    /// Its run.
    pub incarnation: String,
    /// Generation of settings in force; 0 before the first.
    pub generation: u64,
    /// Hosts it knows of.
    pub hosts: usize,
}

/// Asks a daemon for its status; nothing where it does not answer.
pub async fn status(ops: SocketAddr) -> Option<Status> {
    let (_, body) = get(ops, "/status", "ops").await?;
    serde_json::from_slice(&body).ok()
}

/// Whether a lookup through a daemon succeeds.
pub async fn serves(callers: SocketAddr) -> bool {
    let answer = get(callers, "/after", "stock").await;
    answer.is_some_and(|(status, _)| status == 200)
}

async fn get(address: SocketAddr, path: &str, host: &str) -> Option<(u16, Bytes)> {
    tokio::time::timeout(LIMIT, async {
        let stream = TcpStream::connect(address).await.ok()?;
        let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
        tokio::spawn(async move {
            let _ = connection.await;
        });
        let request = Request::get(path).header("host", host);
        let request = request.body(Empty::<Bytes>::new()).ok()?;
        let response = sender.send_request(request).await.ok()?;
        let status = response.status().as_u16();
        let body = response.into_body().collect().await.ok()?.to_bytes();
        Some((status, body))
    })
    .await
    .ok()?
}
