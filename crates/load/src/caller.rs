//! A caller: keep-alive connections, one call, and the check that its answer is
//! its own.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};

use http_body_util::{BodyExt, Full};
use hyper::body::Bytes;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use serde::Deserialize;
use tokio::net::TcpStream;

/// Where a call goes.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Destination {
    /// Address of a daemon, or of a target for direct calls.
    pub address: SocketAddr,
    /// Service asked for.
    pub service: String,
}

/// One call.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    pub id: u64,
    pub deadline_ms: u64,
    pub ticket: Option<String>,
    pub key: Option<String>,
}

/// How one try of a call ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Ended {
    Answered { status: u16, own: bool },
    NotRun { retry_after_ms: u64 },
    Unknown,
    Failed,
}

type Sender = SendRequest<Full<Bytes>>;

/// Keep-alive connections of callers, and tickets that answers brought.
#[derive(Default)]
pub struct Connections {
    idle: Mutex<HashMap<SocketAddr, Vec<Sender>>>,
    tickets: Mutex<Vec<String>>,
}

#[derive(Deserialize)]
struct Echo {
    echo: String,
    path: String,
    body: String,
}

impl Connections {
    /// A ticket that an earlier answer brought.
    pub(crate) fn take_ticket(&self) -> Option<String> {
        lock(&self.tickets).pop()
    }

    /// Makes one try of a call.
    pub(crate) async fn call(&self, to: &Destination, call: &Call) -> Ended {
        match self.exchange(to, call).await {
            Ok(ended) => ended,
            Err(_) => Ended::Failed,
        }
    }

    async fn exchange(&self, to: &Destination, call: &Call) -> Result<Ended, CallError> {
        let mut request = build(to, call)?;
        let response = loop {
            let (mut sender, fresh) = self.sender(to.address).await?;
            match sender.try_send_request(request).await {
                Ok(response) => break (sender, response),
                Err(mut error) => match error.take_message() {
                    Some(unsent) if !fresh => request = unsent,
                    _ => return Err(error.into_error().into()),
                },
            }
        };
        let (sender, response) = response;
        let (parts, body) = response.into_parts();
        let body = body.collect().await?.to_bytes();
        if !sender.is_closed() {
            let mut idle = lock(&self.idle);
            idle.entry(to.address).or_default().push(sender);
        }
        let response = Response::from_parts(parts, body);
        self.keep_ticket(&response);
        Ok(judge(&response, call))
    }

    async fn sender(&self, address: SocketAddr) -> Result<(Sender, bool), CallError> {
        loop {
            let idle = lock(&self.idle).get_mut(&address).and_then(Vec::pop);
            match idle {
                Some(mut sender) => {
                    if sender.ready().await.is_ok() {
                        return Ok((sender, false));
                    }
                }
                None => return Ok((connect(address).await?, true)),
            }
        }
    }

    fn keep_ticket<T>(&self, response: &Response<T>) {
        if let Some(ticket) = text(response, "lynxcleat-ticket") {
            let mut tickets = lock(&self.tickets);
            if tickets.len() < 1_000 {
                tickets.push(ticket.to_owned());
            }
        }
    }
}

/// Why a try failed on the network.
#[derive(Debug, thiserror::Error)]
enum CallError {
    #[error("{0}")]
    Io(#[from] std::io::Error),
    #[error("{0}")]
    Http(#[from] hyper::Error),
    #[error("{0}")]
    Request(#[from] hyper::http::Error),
}

async fn connect(address: SocketAddr) -> Result<Sender, CallError> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    tokio::spawn(async move {
        let _ = connection.await;
    });
    Ok(sender)
}

fn build(to: &Destination, call: &Call) -> Result<Request<Full<Bytes>>, CallError> {
    let effect = call.ticket.is_some() || call.key.is_some();
    let (method, body) = if effect {
        ("POST", format!("body of {}", call.id))
    } else {
        ("GET", String::new())
    };
    let mut request = Request::builder()
        .method(method)
        .uri(path(call.id))
        .header("host", &to.service)
        .header("x-echo", call.id)
        .header("lynxcleat-deadline-ms", call.deadline_ms);
    if let Some(ticket) = &call.ticket {
        request = request.header("lynxcleat-ticket", ticket);
    }
    if let Some(key) = &call.key {
        request = request.header("idempotency-key", key);
    }
    if effect {
        request = request.header("x-op", call.id);
    }
    Ok(request.body(Full::new(Bytes::from(body)))?)
}

fn path(id: u64) -> String {
    format!("/items/{id}?of={id}")
}

fn judge(response: &Response<Bytes>, call: &Call) -> Ended {
    match text(response, "lynxcleat-outcome") {
        Some("not-run") => Ended::NotRun {
            retry_after_ms: text(response, "lynxcleat-retry-after-ms")
                .and_then(|ms| ms.parse().ok())
                .unwrap_or_default(),
        },
        Some("unknown") => Ended::Unknown,
        _ => Ended::Answered {
            status: response.status().as_u16(),
            own: is_own(response, call),
        },
    }
}

/// A target's stand-in echoes what identifies the request.
fn is_own(response: &Response<Bytes>, call: &Call) -> bool {
    if response.status().is_server_error() {
        return true;
    }
    let Ok(echo) = serde_json::from_slice::<Echo>(response.body()) else {
        return false;
    };
    let effect = call.ticket.is_some() || call.key.is_some();
    let body = if effect {
        format!("body of {}", call.id)
    } else {
        String::new()
    };
    echo.echo == call.id.to_string() && echo.path == path(call.id) && echo.body == body
}

fn text<'a, T>(response: &'a Response<T>, name: &str) -> Option<&'a str> {
    response.headers().get(name)?.to_str().ok()
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
