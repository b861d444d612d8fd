//! The served side of a target's stand-in: connections by hyper, calls by one
//! thread a slot.
//!
//! Not by tiny_http: with a few dozen keep-alive connections opened at once, its
//! pool leaves some of them unread until others close. Calls run in threads of
//! their own because the runtime's timers are a millisecond coarse.

use std::convert::Infallible;
use std::net::{Shutdown, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use http_body_util::{BodyExt, Full, Limited, StreamBody};
use hyper::body::{Bytes, Frame, Incoming};
use hyper::http::request::Parts;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::runtime::{Builder, Runtime};

use crate::error::StandinError;
use crate::front::Front;
use crate::sync::lock;

/// Largest body that is read.
const BODY_LIMIT: usize = 128 << 20;
/// Bytes between a front and the server that are in transit at most.
const FRONT_BYTES: usize = 64 << 10;
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

/// What the target states in an answer, as headers.
pub type Notices = Vec<(String, String)>;

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
    /// The end of the target with all that it has in hand; it is back after this time.
    End(Duration),
}

type Body = http_body_util::combinators::BoxBody<Bytes, CutShort>;
type Work = (Call, flume::Sender<(Done, Notices)>);

/// The answer ends here on purpose.
#[derive(Debug, thiserror::Error)]
#[error("the answer is cut short")]
struct CutShort;

/// Longest time for which a target that ended tries to listen at its address again.
const RETURN_LIMIT: Duration = Duration::from_secs(5);
/// Pause between two tries.
const RETURN_PAUSE: Duration = Duration::from_millis(10);

/// A listening target.
pub struct Serving {
    address: SocketAddr,
    life: Arc<Life>,
}

/// What ends and returns.
struct Life {
    address: SocketAddr,
    work: flume::Sender<Work>,
    front: Option<Arc<Front>>,
    running: Mutex<Option<Running>>,
    ends: AtomicU64,
}

/// A target that listens.
struct Running {
    runtime: Runtime,
    /// The same socket as the one that connections are accepted from.
    listener: TcpListener,
}

impl Serving {
    /// Listens on `address` and answers with `slots` threads, behind a front where there is one.
    pub fn start<F>(
        address: &str,
        slots: usize,
        front: Option<Arc<Front>>,
        answer: F,
    ) -> Result<Self, StandinError>
    where
        F: Fn(&Call) -> (Done, Notices) + Send + Sync + 'static,
    {
        let failed = |error: std::io::Error| StandinError::Listen {
            address: address.to_owned(),
            reason: error.to_string(),
        };
        let listener = TcpListener::bind(address).map_err(failed)?;
        let bound = listener.local_addr().map_err(failed)?;
        let life = Arc::new(Life {
            address: bound,
            work: start_slots(slots, answer),
            front,
            running: Mutex::default(),
            ends: AtomicU64::new(0),
        });
        life.serve(listener).map_err(failed)?;
        Ok(Serving {
            address: bound,
            life,
        })
    }

    /// Ends the target: its connections close, and nothing listens at its address until it
    /// is back after this time.
    pub fn end(&self, back_after: Duration) {
        self.life.end(back_after);
    }

    /// How often it ended.
    pub fn ends(&self) -> u64 {
        self.life.ends.load(Ordering::Relaxed)
    }

    /// The address listened on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for Serving {
    fn drop(&mut self) {
        self.life.stop();
    }
}

impl Life {
    fn serve(self: &Arc<Self>, listener: TcpListener) -> std::io::Result<()> {
        listener.set_nonblocking(true)?;
        let accepted = listener.try_clone()?;
        let runtime = Builder::new_multi_thread()
            .worker_threads(CONNECTION_THREADS)
            .enable_all()
            .build()?;
        runtime.spawn(accept(accepted, Arc::clone(self)));
        *lock(&self.running) = Some(Running { runtime, listener });
        Ok(())
    }

    /// Returns whether there was something to stop. Nothing listens from then on, and the
    /// connections close next, in the order in which a process that ends closes them.
    fn stop(&self) -> bool {
        let Some(running) = lock(&self.running).take() else {
            return false;
        };
        let _ = SockRef::from(&running.listener).shutdown(Shutdown::Both);
        running.runtime.shutdown_background();
        true
    }

    /// One that ended already does not end again.
    fn end(self: &Arc<Self>, back_after: Duration) {
        if !self.stop() {
            return;
        }
        self.ends.fetch_add(1, Ordering::Relaxed);
        let life = Arc::downgrade(self);
        thread::spawn(move || {
            thread::sleep(back_after);
            for _ in 0..RETURN_LIMIT.as_millis() / RETURN_PAUSE.as_millis() {
                let Some(life) = life.upgrade() else { return };
                let listener = TcpListener::bind(life.address);
                if listener.and_then(|listener| life.serve(listener)).is_ok() {
                    return;
                }
                drop(life);
                thread::sleep(RETURN_PAUSE);
            }
        });
    }
}

/// Threads end when the last connection has let go of the queue.
fn start_slots<F>(slots: usize, answer: F) -> flume::Sender<Work>
where
    F: Fn(&Call) -> (Done, Notices) + Send + Sync + 'static,
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

async fn accept(listener: TcpListener, life: Arc<Life>) {
    let Ok(listener) = tokio::net::TcpListener::from_std(listener) else {
        return;
    };
    while let Ok((stream, _)) = listener.accept().await {
        let _ = stream.set_nodelay(true);
        let life = Arc::clone(&life);
        match life.front.clone() {
            Some(front) => {
                let (outer, inner) = tokio::io::duplex(FRONT_BYTES);
                tokio::spawn(front.pass(stream, outer));
                tokio::spawn(serve_connection(inner, life));
            }
            None => {
                tokio::spawn(serve_connection(stream, life));
            }
        }
    }
}

async fn serve_connection(stream: impl AsyncRead + AsyncWrite + Unpin, life: Arc<Life>) {
    let service = service_fn(|request| serve(request, &life));
    let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    let _ = connection.await;
}

async fn serve(request: Request<Incoming>, life: &Arc<Life>) -> Result<Response<Body>, CutShort> {
    let (parts, body) = request.into_parts();
    let body = Limited::new(body, BODY_LIMIT).collect().await;
    let body = body.map_err(|_| CutShort)?.to_bytes();
    let (reply, done) = flume::bounded(1);
    let call = Call { parts, body };
    life.work.send((call, reply)).map_err(|_| CutShort)?;
    let (done, notices) = done
        .recv_async()
        .await
        .unwrap_or((Done::Drop, Notices::new()));
    let mut response = respond(done, life)?;
    for (name, value) in notices {
        let name = hyper::header::HeaderName::from_bytes(name.as_bytes());
        let value = hyper::header::HeaderValue::from_str(&value);
        if let (Ok(name), Ok(value)) = (name, value) {
            response.headers_mut().insert(name, value);
        }
    }
    Ok(response)
}

fn respond(done: Done, life: &Arc<Life>) -> Result<Response<Body>, CutShort> {
    match done {
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
        Done::End(back_after) => {
            life.end(back_after);
            Err(CutShort)
        }
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
