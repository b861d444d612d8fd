//! Processor time of a call's HTTP on one connection, by hyper and by `http1`: the head is
//! read, a ready answer is written. All runs on one thread, so time is processor time. The
//! other side, which writes requests and reads answers, is the same for both.

use std::convert::Infallible;
use std::future::{Ready, pending, ready};
use std::hint::black_box;
use std::time::Duration;

use criterion::{Criterion, Throughput, criterion_group, criterion_main};
use http_body_util::Full;
use hyper::body::{Bytes, Incoming};
use hyper::http::request::Parts;
use hyper::service::service_fn;
use hyper::{HeaderMap, Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use lynxcleat_daemon::http1::{self, ConnectionLimits, Malformed, RequestBody, Service};
use lynxcleat_policy::PipelineLimits;
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream};
use tokio::runtime::Builder;

const REQUEST: &[u8] = b"GET /profiles/8812?full=1 HTTP/1.1\r\nHost: pricebook.example\r\n\
    User-Agent: app/5.2\r\nAccept: application/json\r\nLynxcleat-Call: 38b6512b3b40cc34\r\n\
    Lynxcleat-Deadline-Ms: 2500\r\nCookie: session=0123456789abcdef0123456789abcdef\r\n\r\n";
const BODY: &[u8] = &[b'x'; 600];
/// Calls sent ahead.
const AHEAD: usize = 4;
const BUFFER_BYTES: usize = 64 << 10;
const LIMIT: Duration = Duration::from_secs(15);

fn answer(headers: &HeaderMap) -> Response<Bytes> {
    black_box(headers.len());
    let mut answer = Response::new(Bytes::from_static(BODY));
    let headers = answer.headers_mut();
    for (name, value) in [
        ("content-type", "application/json"),
        ("lynxcleat-call", "38b6512b3b40cc34"),
        ("x-signature", "c2lnbmF0dXJlIG9mIHRoZSBhbnN3ZXI"),
    ] {
        headers.insert(name, value.parse().expect("a value"));
    }
    answer
}

struct Answers;

impl Service for Answers {
    type Checked = Parts;
    type Answering = Ready<Response<Bytes>>;

    fn check(&self, parts: Parts) -> Parts {
        parts
    }

    fn has_effects(&self, _: &Parts) -> bool {
        false
    }

    fn begin(&self, parts: Parts, _: RequestBody, _: bool) -> Self::Answering {
        ready(answer(&parts.headers))
    }

    fn refuse(&self, _: Malformed) -> Self::Answering {
        ready(Response::new(Bytes::new()))
    }

    fn note_malformed(&self, _: Malformed) {}

    fn note_bound(&self) {}

    fn is_stopping(&self) -> bool {
        false
    }
}

async fn by_http1(stream: DuplexStream) {
    let limits = ConnectionLimits {
        pipeline: PipelineLimits {
            calls: 8,
            bytes: 1 << 20,
        },
        idle: LIMIT,
    };
    let _ = http1::serve(stream, &Answers, limits, pending()).await;
}

async fn by_hyper(stream: DuplexStream) {
    let service = service_fn(|request: Request<Incoming>| {
        let answer = answer(request.headers()).map(Full::new);
        ready(Ok::<_, Infallible>(answer))
    });
    let served = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(LIMIT)
        .max_header_size(http1::HEAD_BYTES)
        .max_headers(http1::FIELDS_LIMIT)
        .serve_connection(TokioIo::new(stream), service);
    let _ = served.await;
}

/// The caller's side, and the size of an answer.
struct Caller {
    stream: DuplexStream,
    answer_bytes: usize,
    got: Vec<u8>,
}

impl Caller {
    async fn new(mut stream: DuplexStream) -> Self {
        stream.write_all(REQUEST).await.expect("written");
        let mut got = vec![0; BUFFER_BYTES];
        let answer_bytes = stream.read(&mut got).await.expect("an answer");
        Caller {
            stream,
            answer_bytes,
            got,
        }
    }

    async fn call(&mut self, sent: &[u8], calls: usize) {
        self.stream.write_all(sent).await.expect("written");
        let expected = &mut self.got[..self.answer_bytes * calls];
        self.stream.read_exact(expected).await.expect("answers");
    }
}

fn bench<F: Future<Output = ()> + Send + 'static>(
    criterion: &mut Criterion,
    name: &str,
    serve: fn(DuplexStream) -> F,
) {
    let mut builder = Builder::new_current_thread();
    let runtime = builder.enable_all().build().expect("a runtime");
    let mut caller = runtime.block_on(async {
        let (near, far) = tokio::io::duplex(BUFFER_BYTES);
        tokio::spawn(serve(far));
        Caller::new(near).await
    });
    let mut group = criterion.benchmark_group(name);
    for calls in [1, AHEAD] {
        let sent = REQUEST.repeat(calls);
        group.throughput(Throughput::Elements(calls as u64));
        group.bench_function(format!("{calls} ahead"), |bencher| {
            bencher.iter(|| runtime.block_on(caller.call(&sent, calls)));
        });
    }
    group.finish();
}

fn connections(criterion: &mut Criterion) {
    bench(criterion, "hyper", by_hyper);
    bench(criterion, "http1", by_http1);
}

criterion_group!(benches, connections);
criterion_main!(benches);
