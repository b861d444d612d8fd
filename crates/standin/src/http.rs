//! What both stand-ins need around tiny_http.

use std::io::Read;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::{self, JoinHandle};

use serde::Serialize;
use serde::de::DeserializeOwned;
use tiny_http::{Header, Request, Response, Server};

use crate::error::StandinError;

/// Largest body that a stand-in reads.
const BODY_LIMIT: u64 = 128 << 20;

/// A listening server with its worker threads.
pub struct Listening {
    server: Arc<Server>,
    address: SocketAddr,
    workers: Vec<JoinHandle<()>>,
}

impl Listening {
    /// Listens on `address` and answers with `threads` workers.
    pub fn start<F>(address: &str, threads: usize, answer: F) -> Result<Self, StandinError>
    where
        F: Fn(Request) + Send + Sync + 'static,
    {
        let failed = |reason: String| StandinError::Listen {
            address: address.to_owned(),
            reason,
        };
        let server = Server::http(address).map_err(|error| failed(error.to_string()))?;
        let bound = server
            .server_addr()
            .to_ip()
            .ok_or_else(|| failed("not an IP address".to_owned()))?;
        let server = Arc::new(server);
        let answer = Arc::new(answer);
        let workers = (0..threads)
            .map(|_| {
                let server = Arc::clone(&server);
                let answer = Arc::clone(&answer);
                thread::spawn(move || {
                    while let Ok(request) = server.recv() {
                        answer(request);
                    }
                })
            })
            .collect();
        Ok(Listening {
            server,
            address: bound,
            workers,
        })
    }

    /// The address listened on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for Listening {
    fn drop(&mut self) {
        for _ in &self.workers {
            self.server.unblock();
        }
        for worker in self.workers.drain(..) {
            let _ = worker.join();
        }
    }
}

/// Reads a request's whole body.
pub fn body(request: &mut Request) -> Vec<u8> {
    let mut body = Vec::new();
    let _ = request.as_reader().take(BODY_LIMIT).read_to_end(&mut body);
    body
}

/// Reads a request's JSON body.
pub fn json_body<T: DeserializeOwned>(request: &mut Request) -> Option<T> {
    serde_json::from_slice(&body(request)).ok()
}

/// Answers with JSON. A peer that went away is no fault of ours.
pub fn respond_json(request: Request, value: &impl Serialize) {
    let body = serde_json::to_vec(value).expect("the reply types encode");
    let header = Header::from_bytes("content-type", "application/json").expect("a plain header");
    let _ = request.respond(Response::from_data(body).with_header(header));
}

/// Answers with a status and no body.
pub fn respond_status(request: Request, status: u16) {
    let _ = request.respond(Response::empty(status));
}
