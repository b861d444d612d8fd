//! The served side of a target's stand-in: connections by hyper, calls by one
//! thread a slot.
//!
//! Not by tiny_http: with a few dozen keep-alive connections opened at once, its
//! pool leaves some of them unread until others close. Calls run in threads of
//! their own because the runtime's timers are a millisecond coarse.

use std::convert::Infallible;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::thread;

use http_body_util::{BodyExt, Full, Limited, StreamBody};
use hyper::body::{Bytes, Frame, Incoming};
use hyper::http::request::Parts;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::runtime::{Builder, Runtime};

use crate::error::StandinError;

/// Largest body that is read.
const BODY_LIMIT: usize = 128 << 20;
/// Threads that read and write connections.
const CONNECTION_THREADS: usize = 2;

/// A call as it arrived.
pub struct Call {
    pub parts: Parts,
    pub body: Bytes,
}

impl Call {
    /// A header's text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.parts.headers.get(name)?.to_str().ok()
    }
}

/// What becomes of a call.
pub enum Done {
    /// A whole answer.
    Answer(Vec<u8>),
    /// A status and no body.
    Status(u16),
    /// The call was not run, and the target says so.
    Shed,
    /// Half of the answer, then the end of the connection.
    Cut(Vec<u8>),
    /// The end of the connection.
    Drop,
}

type Body = http_body_util::combinators::BoxBody<Bytes, CutShort>;
type Work = (Call, flume::Sender<Done>);

/// The answer ends here on purpose.
#[derive(Debug, thiserror::Error)]
#[error("the answer is cut short")]
struct CutShort;

/// A listening target.
pub struct Serving {
    address: SocketAddr,
    runtime: Option<Runtime>,
}

impl Serving {
    /// Listens on `address` and answers with `slots` threads.
    pub fn start<F>(address: &str, slots: usize, answer: F) -> Result<Self, StandinError>
    where
        F: Fn(&Call) -> Done + Send + Sync + 'static,
    {
        let failed = |error: std::io::Error| StandinError::Listen {
            address: address.to_owned(),
            reason: error.to_string(),
        };
        let listener = TcpListener::bind(address).map_err(failed)?;
        listener.set_nonblocking(true).map_err(failed)?;
        let bound = listener.local_addr().map_err(failed)?;
        let runtime = Builder::new_multi_thread()
            .worker_threads(CONNECTION_THREADS)
            .enable_all()
            .build()
            .map_err(failed)?;
        let work = start_slots(slots, answer);
        runtime.spawn(accept(listener, work));
        Ok(Serving {
            address: bound,
            runtime: Some(runtime),
        })
    }

    /// The address listened on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for Serving {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

/// Threads end when the last connection has let go of the queue.
fn start_slots<F>(slots: usize, answer: F) -> flume::Sender<Work>
where
    F: Fn(&Call) -> Done + Send + Sync + 'static,
{
    let (work, queue) = flume::unbounded::<Work>();
    let answer = Arc::new(answer);
    for _ in 0..slots {
        let (queue, answer) = (queue.clone(), Arc::clone(&answer));
        thread::spawn(move || {
            while let Ok((call, reply)) = queue.recv() {
                let _ = reply.send(answer(&call));
            }
        });
    }
    work
}

async fn accept(listener: TcpListener, work: flume::Sender<Work>) {
    let Ok(listener) = tokio::net::TcpListener::from_std(listener) else {
        return;
    };
    while let Ok((stream, _)) = listener.accept().await {
        let _ = stream.set_nodelay(true);
        let work = work.clone();
        tokio::spawn(async move {
            let service = service_fn(|request| serve(request, work.clone()));
            let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            let _ = connection.await;
        });
    }
}

async fn serve(
    request: Request<Incoming>,
    work: flume::Sender<Work>,
) -> Result<Response<Body>, CutShort> {
    let (parts, body) = request.into_parts();
    let body = Limited::new(body, BODY_LIMIT).collect().await;
    let body = body.map_err(|_| CutShort)?.to_bytes();
    let (reply, done) = flume::bounded(1);
    let call = Call { parts, body };
    work.send((call, reply)).map_err(|_| CutShort)?;
    match done.recv_async().await.unwrap_or(Done::Drop) {
        Done::Answer(answer) => Ok(Response::new(whole(answer))),
        Done::Status(status) => Ok(with_status(status)),
        Done::Shed => {
            let mut response = with_status(503);
            let not_run = hyper::header::HeaderValue::from_static("not-run");
            response.headers_mut().insert("lynxcleat-outcome", not_run);
            Ok(response)
        }
        Done::Cut(answer) => Ok(cut(&answer)),
        Done::Drop => Err(CutShort),
    }
}

fn whole(bytes: Vec<u8>) -> Body {
    let full = Full::new(Bytes::from(bytes));
    full.map_err(|never: Infallible| match never {}).boxed()
}

fn with_status(status: u16) -> Response<Body> {
    let mut response = Response::new(whole(Vec::new()));
    *response.status_mut() = StatusCode::from_u16(status).expect("a plain status");
    response
}

/// Promises the whole answer and sends half of it.
fn cut(answer: &[u8]) -> Response<Body> {
    let half = Bytes::copy_from_slice(&answer[..answer.len() / 2]);
    let parts = [Ok(Frame::data(half)), Err(CutShort)];
    let body = StreamBody::new(Pieces(parts.into_iter()));
    let mut response = Response::new(BodyExt::boxed(body));
    let length = hyper::header::HeaderValue::from(answer.len());
    response
        .headers_mut()
        .insert(hyper::header::CONTENT_LENGTH, length);
    response
}

/// Two pieces of a body, as a stream.
struct Pieces(std::array::IntoIter<Result<Frame<Bytes>, CutShort>, 2>);

impl futures_util::Stream for Pieces {
    type Item = Result<Frame<Bytes>, CutShort>;

    fn poll_next(
        mut self: std::pin::Pin<&mut Self>,
        _: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<Self::Item>> {
        std::task::Poll::Ready(self.0.next())
    }
}
