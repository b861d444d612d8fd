//! Bodies in pieces: they arrive unchanged or not at all, nobody holds more of them than a
//! window, and a call moves until its body was begun.

mod support;

use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use lynxcleat_policy::{AttemptId, CallKind, Elsewhere, Homes, Refusal, RefusalReason};
use lynxcleat_standin::wait_until;
use lynxcleat_store::{HostEntry, HostState};
use lynxcleat_wire::{BodyToCome, CallFrame, Frame, Header, PieceFrame, RequestHead};
use rstest::rstest;
use serde_json::{Value, json};
use socket2::SockRef;
use support::{
    Fleet, PATIENCE, Peer, Plan, Reply, Worker, call, free_address, odd_target, own_ip, parse,
    read_path, tree_with_routes,
};
use tokio::net::TcpListener;

/// Window of the tests, in bytes.
const WINDOW: usize = 32 << 10;

/// A tree whose calls under `/up/` have large bodies and run once, and those under `/look/`
/// have large bodies and may run again. `overrides` at the root.
fn plan(name: &'static str, service: &str, overrides: Value) -> Plan {
    let route = |prefix: &str, effects: &str, large: bool| {
        json!({
            "host": "stock", "prefix": prefix, "effects": effects, "timeout_ms": 20_000,
            "goal_ms": 20_000, "attempts": 3, "priority": 0, "large_bodies": large,
            "parts": [{"service": service, "weight": 1}]
        })
    };
    let mut settings = json!({
        "body_limit_bytes": 64 << 20, "body_window_bytes": WINDOW, "reroute_limit": 3,
        "deadline_ms": 20_000, "link_silence_ms": 10_000, "once_retention_ms": 60_000
    });
    for (name, value) in overrides.as_object().expect("an object") {
        settings[name] = value.clone();
    }
    let mut plan = Plan::new(name);
    plan.tree = tree_with_routes(
        settings,
        json!({
            "up": route("/up/", "once", true),
            "look": route("/look/", "none", true),
            "rest": route("/", "once", false),
        }),
    );
    plan
}

/// A body that differs at every place.
fn body(length: usize) -> Vec<u8> {
    let letter = |nth: usize| b'a' + (nth / 7 + nth / 4_096) as u8 % 26;
    (0..length).map(letter).collect()
}

/// Opens a connection and sends the head of an upload; `more` are lines of it.
fn head(worker: &Worker, path: &str, more: &str) -> TcpStream {
    let mut stream = TcpStream::connect(&worker.callers).expect("connected");
    stream.set_read_timeout(Some(PATIENCE)).expect("set");
    let head = format!("POST {path} HTTP/1.1\r\nHost: stock\r\n{more}\r\n");
    stream.write_all(head.as_bytes()).expect("sent");
    stream
}

/// Reads one answer with a length from a connection that stays open.
fn read_answer(stream: &mut TcpStream) -> Reply {
    let mut got = Vec::new();
    let mut byte = [0];
    loop {
        assert_eq!(stream.read(&mut byte).expect("an answer"), 1, "it is whole");
        got.push(byte[0]);
        let reply = got.ends_with(b"\r\n\r\n").then(|| parse(&got)).flatten();
        let Some(reply) = reply else { continue };
        let length = reply.header("content-length").expect("a length");
        let mut rest = vec![0; length.parse().expect("a number")];
        stream.read_exact(&mut rest).expect("its body");
        return Reply {
            body: rest,
            ..reply
        };
    }
}

/// Reads until the other side ends the connection, and returns how much came.
fn read_to_end(stream: &mut TcpStream) -> Vec<u8> {
    let mut got = Vec::new();
    let _ = stream.read_to_end(&mut got);
    got
}

fn chunked(body: &[u8]) -> Vec<u8> {
    let mut framed = Vec::new();
    for chunk in body.chunks(10_000) {
        framed.extend_from_slice(format!("{:x}\r\n", chunk.len()).as_bytes());
        framed.extend_from_slice(chunk);
        framed.extend_from_slice(b"\r\n");
    }
    framed.extend_from_slice(b"0\r\n\r\n");
    framed
}

fn piece_bytes(worker: &Worker) -> usize {
    worker.metric("lynxcleat_piece_bytes_total") as usize
}

fn cut_by(worker: &Worker, by: &str) -> f64 {
    worker.metric(&format!("lynxcleat_bodies_cut_total{{kind=\"{by}\"}}"))
}

/// What a target of its own saw.
#[derive(Clone)]
struct Seen {
    heads: Arc<AtomicUsize>,
    bodies: flume::Receiver<Vec<u8>>,
}

impl Seen {
    /// The bytes that followed a head, until the connection ended.
    fn body(&self) -> Vec<u8> {
        self.bodies.recv_timeout(PATIENCE).expect("it ended")
    }

    fn heads(&self) -> usize {
        self.heads.load(Ordering::SeqCst)
    }
}

/// A target that reads a head, does what `first` says, and reads until the end.
fn target(first: impl Fn(&mut TcpStream) + Send + Sync + 'static) -> (String, Seen) {
    let (sender, bodies) = flume::unbounded();
    let heads = Arc::new(AtomicUsize::new(0));
    let counted = Arc::clone(&heads);
    let address = odd_target(move |mut stream, _| {
        if read_path(&mut stream).is_none() {
            return;
        }
        counted.fetch_add(1, Ordering::SeqCst);
        first(&mut stream);
        let _ = sender.send(read_to_end(&mut stream));
    });
    (address, Seen { heads, bodies })
}

#[rstest]
#[case::operation("/up/")]
#[case::lookup("/look/")]
fn whole_bodies_of_either_framing_arrive_unchanged(#[case] path: &'static str) {
    let fleet = plan("large-whole", "stock", json!({})).start();
    let worker = &fleet.workers[0];
    let callers: Vec<_> = (0..6)
        .map(|nth| {
            let address = worker.callers.clone();
            thread::spawn(move || {
                // Read whole and sent ahead, or read as the window opens.
                let length = if nth < 2 { WINDOW } else { 200_000 };
                let sent = body(length + nth * 10_007);
                let (more, framed) = match nth % 2 {
                    0 => (format!("Content-Length: {}", sent.len()), sent.clone()),
                    _ => ("Transfer-Encoding: chunked".to_owned(), chunked(&sent)),
                };
                let head = format!(
                    "POST {path} HTTP/1.1\r\nHost: stock\r\nConnection: close\r\n{more}\r\n\r\n"
                );
                let request = [head.as_bytes(), &framed].concat();
                let reply = support::raw(&address, &request).expect("an answer");
                assert_eq!(reply.status, 200, "{}", reply.head);
                assert_eq!(
                    reply.json()["body"],
                    String::from_utf8_lossy(&sent).as_ref()
                );
                sent.len()
            })
        })
        .collect();
    let sent: usize = callers
        .into_iter()
        .map(|c| c.join().expect("checked"))
        .sum();
    assert_eq!(piece_bytes(worker), sent, "they went in pieces");
    let served: u64 = fleet.workers.iter().map(|w| w.target.served()).sum();
    assert_eq!(served, 6, "once each");
    assert_eq!(worker.metric("lynxcleat_bodies_in_pieces"), 0.0);
}

#[test]
fn small_bodies_other_routes_and_tickets_pass_whole() {
    let fleet = plan(
        "large-small",
        "stock",
        json!({"body_whole_bytes": 16 << 10}),
    )
    .start();
    let worker = &fleet.workers[0];
    let ticket = worker.ticket();
    let ticket = [("Host", "stock"), ("Lynxcleat-Ticket", ticket.as_str())];
    let host = [("Host", "stock")];
    for (path, headers, length) in [
        ("/up/1", &host[..], 16 << 10),
        ("/other", &host[..], 100_000),
        ("/up/2", &ticket[..], 100_000),
    ] {
        let sent = body(length);
        let reply = call(&worker.callers, "POST", path, headers, &sent);
        assert_eq!(
            reply.json()["body"],
            String::from_utf8_lossy(&sent).as_ref()
        );
    }
    assert_eq!(piece_bytes(worker), 0);
    call(
        &worker.callers,
        "POST",
        "/up/3",
        &host,
        &body((16 << 10) + 1),
    );
    assert_eq!(piece_bytes(worker), (16 << 10) + 1);
}

/// What the system holds of a connection is not bounded by the window, so the body is much
/// larger than that.
#[test]
fn a_target_that_does_not_read_holds_its_caller_back() {
    const LENGTH: usize = 48 << 20;
    let (go_on, told) = flume::bounded::<()>(0);
    let (address, seen) = target(move |_| {
        let _ = told.recv();
    });
    let fleet = plan("large-slow", "stock", json!({})).start_with_target(&address);
    let worker = &fleet.workers[0];
    let stream = head(worker, "/up/", &format!("Content-Length: {LENGTH}\r\n"));
    let mut sending = stream.try_clone().expect("a clone");
    let sender = thread::spawn(move || {
        let sent = body(LENGTH);
        let _ = sending.write_all(&sent);
        sent
    });
    let mut before = 0;
    let stands = wait_until(PATIENCE, || {
        thread::sleep(Duration::from_millis(200));
        let now = piece_bytes(worker);
        let stands = now > 0 && now == before;
        before = now;
        stands
    });
    assert!(stands, "nothing more is read");
    assert!(before < LENGTH / 2, "{before}");
    // A small call to the same target passes meanwhile: it is offered and delivered.
    let small = thread::spawn({
        let callers = worker.callers.clone();
        move || support::try_call(&callers, "POST", "/other", &[("Host", "stock")], b"small")
    });
    assert!(wait_until(PATIENCE, || seen.heads() == 2), "it arrived");
    drop(go_on);
    // All of it arrives once the target reads; it never answers, so its calls end by hand.
    let sent = sender.join().expect("sent");
    assert!(wait_until(PATIENCE, || piece_bytes(worker) == LENGTH));
    stream.shutdown(Shutdown::Both).expect("shut");
    drop(fleet);
    let got = [seen.body(), seen.body()];
    assert!(got.contains(&sent), "unchanged");
    assert!(got.contains(&b"small".to_vec()));
    drop(small);
}

/// The rest is due on that connection; other bytes must not follow.
#[rstest]
#[case::by_length(false)]
#[case::chunked(true)]
fn an_answer_before_the_end_is_passed_on_at_once_and_its_connection_not_used_again(
    #[case] is_chunked: bool,
) {
    const LENGTH: usize = 400_000;
    let (address, seen) = target(|stream| support::answer(stream, "early"));
    let fleet = plan("large-early", "stock", json!({})).start_with_target(&address);
    let worker = &fleet.workers[0];
    let sent = body(LENGTH);
    let (more, framed) = match is_chunked {
        true => ("Transfer-Encoding: chunked\r\n".to_owned(), chunked(&sent)),
        false => (format!("Content-Length: {LENGTH}\r\n"), sent.clone()),
    };
    let mut stream = head(worker, "/up/", &more);
    stream.write_all(&framed[..100_000]).expect("sent");
    let reply = read_answer(&mut stream);
    assert_eq!((reply.status, &reply.body[..]), (200, &b"early"[..]));
    let got = seen.body();
    assert!(
        is_chunked || sent.starts_with(&got),
        "the body's bytes only"
    );
    assert!(got.len() < LENGTH, "it is not taken for whole");
    assert!(!got.ends_with(b"0\r\n\r\n"), "nor by its chunks");
    // The caller sends the rest, which is thrown away, and its connection serves on.
    stream.write_all(&framed[100_000..]).expect("sent");
    let next = "POST /other HTTP/1.1\r\nHost: stock\r\nContent-Length: 2\r\n\r\nhi";
    stream.write_all(next.as_bytes()).expect("sent");
    assert_eq!(read_answer(&mut stream).body, b"early");
    assert_eq!(seen.heads(), 2);
}

#[test]
fn a_target_that_dies_in_the_middle_leaves_the_outcome_unknown_and_is_not_tried_again() {
    let (address, seen) = target(|stream| {
        let mut some = [0; 20_000];
        stream.read_exact(&mut some).expect("some of it");
        stream.shutdown(Shutdown::Both).expect("shut");
    });
    for path in ["/up/", "/look/"] {
        let fleet = plan("large-dies", "stock", json!({})).start_with_target(&address);
        let worker = &fleet.workers[0];
        let heads = seen.heads();
        let mut stream = head(worker, path, "Content-Length: 10000000\r\n");
        stream.write_all(&body(100_000)).expect("sent");
        let reply = read_answer(&mut stream);
        assert_eq!(
            (reply.status, reply.outcome().as_str()),
            (504, "unknown"),
            "{path}"
        );
        assert_eq!(seen.heads(), heads + 1);
        assert_eq!(cut_by(worker, "target"), 1.0);
    }
}

#[test]
fn a_caller_that_leaves_in_the_middle_ends_the_targets_connection() {
    const LENGTH: usize = 500_000;
    let (address, seen) = target(|_| {});
    let fleet = plan("large-leaves", "stock", json!({})).start_with_target(&address);
    let worker = &fleet.workers[0];
    for (more, framed) in [
        (format!("Content-Length: {LENGTH}\r\n"), body(100_000)),
        (
            "Transfer-Encoding: chunked\r\n".to_owned(),
            chunked(&body(100_000))[..90_000].to_vec(),
        ),
    ] {
        let mut stream = head(worker, "/up/", &more);
        let all_sent = piece_bytes(worker) + 80_000;
        stream.write_all(&framed).expect("sent");
        assert!(wait_until(PATIENCE, || piece_bytes(worker) >= all_sent));
        drop(stream);
        let got = seen.body();
        assert!(got.len() < LENGTH);
        assert!(!got.ends_with(b"0\r\n\r\n"), "it is not taken for whole");
    }
    assert!(wait_until(PATIENCE, || cut_by(worker, "sender") == 2.0));
}

/// Its target reads nothing more, so that the connection is not read either.
#[test]
fn a_caller_that_leaves_while_nothing_of_it_is_taken_is_noticed() {
    const CALLERS: usize = 6;
    let (release, held) = flume::bounded::<()>(0);
    let (address, _) = target(move |_| {
        let _ = held.recv_timeout(3 * PATIENCE);
    });
    let fleet = plan("large-stalled", "stock", json!({})).start_with_target(&address);
    let worker = &fleet.workers[0];
    let in_flight = || worker.metric("lynxcleat_in_flight");
    let callers: Vec<TcpStream> = (0..CALLERS)
        .map(|_| {
            let deadline = format!("Lynxcleat-Deadline-Ms: {}\r\n", 3 * PATIENCE.as_millis());
            let more = format!("Content-Length: 20000000\r\n{deadline}");
            let stream = head(worker, "/look/", &more);
            stream.set_nonblocking(true).expect("set");
            // Its end is a reset: behind unsent bytes no other end arrives.
            let reset = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
            reset.expect("set");
            stream
        })
        .collect();
    // Until the windows are full and nothing more is taken.
    let piece = body(10_000);
    let mut sent = 0;
    let stalls = || {
        let before = sent;
        for mut stream in &callers {
            while let Ok(bytes) = stream.write(&piece) {
                sent += bytes;
            }
        }
        sent > 0 && sent == before
    };
    assert!(wait_until(PATIENCE, stalls));
    assert!(in_flight() > 0.0);
    drop(callers);
    assert!(wait_until(PATIENCE, || in_flight() == 0.0));
    drop(release);
}

#[rstest]
#[case::before_anything(0, 408, "not-run", 0)]
#[case::in_the_middle(50_000, 504, "unknown", 1)]
fn a_caller_that_stops_sending_is_given_up(
    #[case] sent: usize,
    #[case] status: u16,
    #[case] outcome: &str,
    #[case] heads: usize,
) {
    let (address, seen) = target(|_| {});
    let fleet = plan("large-stops", "stock", json!({"caller_limit_ms": 400}));
    let fleet = fleet.start_with_target(&address);
    let worker = &fleet.workers[0];
    let mut stream = head(worker, "/up/", "Content-Length: 500000\r\n");
    stream.write_all(&body(sent)).expect("sent");
    let reply = read_answer(&mut stream);
    assert_eq!((reply.status, reply.outcome().as_str()), (status, outcome));
    assert_eq!(seen.heads(), heads);
    assert_eq!(cut_by(worker, "slow-caller"), 1.0);
}

#[test]
fn a_body_that_goes_on_past_the_deadline_is_cut() {
    let (address, seen) = target(|_| {});
    let fleet = plan("large-deadline", "stock", json!({})).start_with_target(&address);
    let worker = &fleet.workers[0];
    let more = "Content-Length: 500000\r\nLynxcleat-Deadline-Ms: 400\r\n";
    let mut stream = head(worker, "/up/", more);
    stream.write_all(&body(50_000)).expect("sent");
    let reply = read_answer(&mut stream);
    assert_eq!((reply.status, reply.outcome().as_str()), (504, "unknown"));
    assert!(seen.body().len() <= 50_000);
}

#[test]
fn a_chunked_body_beyond_the_limit_is_cut() {
    let (address, seen) = target(|_| {});
    let fleet = plan("large-limit", "stock", json!({"body_limit_bytes": 100_000}));
    let fleet = fleet.start_with_target(&address);
    let mut stream = head(&fleet.workers[0], "/up/", "Transfer-Encoding: chunked\r\n");
    stream.write_all(&chunked(&body(200_000))).expect("sent");
    let reply = read_answer(&mut stream);
    assert_eq!((reply.status, reply.outcome().as_str()), (504, "unknown"));
    assert!(!seen.body().ends_with(b"0\r\n\r\n"));
}

#[test]
fn a_caller_that_waits_is_told_to_go_on_only_when_a_target_has_room() {
    let expects = "Content-Length: 100000\r\nExpect: 100-continue\r\n";
    let nowhere = plan("large-expect-none", "other", json!({})).start();
    let mut stream = head(&nowhere.workers[0], "/up/", expects);
    let got = String::from_utf8_lossy(&read_to_end(&mut stream)).into_owned();
    assert!(got.starts_with("HTTP/1.1 503"), "{got}");
    assert!(!got.contains("100 Continue"), "{got}");
    let fleet = plan("large-expect", "stock", json!({})).start();
    let mut stream = head(&fleet.workers[0], "/up/", expects);
    let mut told = [0; 25];
    stream.read_exact(&mut told).expect("told");
    assert_eq!(&told, b"HTTP/1.1 100 Continue\r\n\r\n");
    let sent = body(100_000);
    stream.write_all(&sent).expect("sent");
    let reply = read_answer(&mut stream);
    assert_eq!(
        reply.json()["body"],
        String::from_utf8_lossy(&sent).as_ref()
    );
}

/// A body that nobody takes is read and thrown away, so the answer arrives and the
/// connection serves on.
#[test]
fn a_refusal_before_the_body_leaves_the_connection_usable() {
    let fleet = plan("large-refused", "other", json!({})).start();
    let mut stream = head(&fleet.workers[0], "/up/", "Content-Length: 300000\r\n");
    let reply = read_answer(&mut stream);
    assert_eq!((reply.status, reply.outcome().as_str()), (503, "not-run"));
    stream.write_all(&body(300_000)).expect("sent");
    stream
        .write_all(b"GET /other HTTP/1.1\r\nHost: stock\r\n\r\n")
        .expect("sent");
    assert_eq!(read_answer(&mut stream).outcome(), "not-run");
}

/// A target's daemon that the test speaks for, of the service `service`.
struct FakeHalf {
    listener: TcpListener,
    deployment: String,
    service: &'static str,
    mesh: String,
}

impl FakeHalf {
    fn add(fleet: &Fleet, service: &'static str) -> Self {
        let mesh = free_address(&own_ip());
        let listener = fleet.runtime.block_on(TcpListener::bind(&mesh));
        fleet.platform.put_host(HostEntry {
            host: "peer".to_owned(),
            place: "east".to_owned(),
            zone: "east-1".to_owned(),
            region: String::new(),
            version: String::new(),
            service: service.to_owned(),
            mesh: mesh.clone(),
            ops: mesh.clone(),
            state: HostState::Live,
        });
        let known = || {
            fleet.workers[0]
                .status()
                .is_some_and(|s| s.hosts > fleet.workers.len())
        };
        assert!(wait_until(PATIENCE, known));
        FakeHalf {
            listener: listener.expect("bound"),
            deployment: fleet.workers[0].raw.deployment.clone(),
            service,
            mesh,
        }
    }

    async fn linked(&self) -> Peer {
        let ours = Peer::hello(&self.deployment, self.service, &self.mesh);
        Peer::accept(&self.listener, ours).await
    }
}

async fn next_call(peer: &mut Peer) -> CallFrame {
    let wanted = |frame| match frame {
        Frame::Call(call) => Some(*call),
        _ => None,
    };
    peer.receive_until(wanted).await
}

async fn next_piece(peer: &mut Peer) -> PieceFrame {
    let wanted = |frame| match frame {
        Frame::Piece(piece) => Some(piece),
        _ => None,
    };
    peer.receive_until(wanted).await
}

/// Starts an upload of a body in a thread; its answer comes back.
fn upload(worker: &Worker, sent: Vec<u8>) -> thread::JoinHandle<std::io::Result<Reply>> {
    let callers = worker.callers.clone();
    thread::spawn(move || support::try_call(&callers, "POST", "/up/", &[("Host", "stock")], &sent))
}

fn answer_of(attempt: AttemptId) -> Frame {
    Frame::Answer {
        attempt,
        answer: lynxcleat_wire::Answer {
            status: 200,
            headers: Vec::new(),
            body: b"done".to_vec().into(),
        },
        figures: None,
        there_us: 1,
        work_us: None,
    }
}

#[test]
fn nothing_is_sent_before_the_window_opens_nor_beyond_it() {
    let fleet = plan("large-window", "other", json!({})).start();
    let half = FakeHalf::add(&fleet, "other");
    let worker = &fleet.workers[0];
    let sent = body(100_000);
    let uploaded = upload(worker, sent.clone());
    fleet.runtime.block_on(async {
        let mut peer = half.linked().await;
        let call = next_call(&mut peer).await;
        let attempt = call.attempt;
        assert!(call.body.is_empty());
        assert_eq!(
            call.to_come,
            Some(BodyToCome {
                length: Some(100_000),
                ahead: false
            })
        );
        // The daemon has every chance to send more: it answers a question meanwhile.
        let mut got = Vec::new();
        for granted in [0, 20_000, 20_000, 60_000] {
            let before = got.len();
            if granted > 0 {
                peer.send(Frame::Window {
                    attempt,
                    bytes: granted,
                })
                .await;
            }
            while got.len() < before + granted as usize {
                let piece = next_piece(&mut peer).await;
                got.extend_from_slice(&piece.bytes);
                assert_eq!(piece.last, got.len() == sent.len());
            }
            assert_eq!(got.len(), before + granted as usize);
            peer.send(Frame::FetchTree {
                ask: 1,
                limit: Some(0),
            })
            .await;
            loop {
                match peer.receive().await {
                    Frame::Tree { .. } => break,
                    Frame::Piece(piece) => panic!("{} bytes beyond", piece.bytes.len()),
                    _ => {}
                }
            }
        }
        assert_eq!(got, sent);
        peer.send(answer_of(attempt)).await;
    });
    let reply = uploaded.join().expect("joined").expect("an answer");
    assert_eq!(reply.body, b"done");
    assert_eq!(piece_bytes(worker), 100_000);
}

/// Bytes of pieces that left a daemon whose writer waits. Each sender counts its piece once it
/// is written, on a busy machine later, so the count is read until it stands still.
fn all_counted(ops: &str) -> usize {
    let counted = || {
        let reply = call(ops, "GET", "/metrics", &[], b"");
        let text = String::from_utf8_lossy(&reply.body).into_owned();
        let mut lines = text.lines();
        let line = lines.find(|line| line.starts_with("lynxcleat_piece_bytes_total"));
        let value = line.and_then(|line| line.rsplit(' ').next()?.parse::<usize>().ok());
        value.expect("the metric")
    };
    let mut last = counted();
    let stands = wait_until(PATIENCE, || {
        thread::sleep(Duration::from_millis(200));
        let now = counted();
        std::mem::replace(&mut last, now) == now
    });
    assert!(stands, "{last} bytes and more");
    last
}

/// The writer of a link that is behind has a piece of each body at most, and what is small
/// goes first.
#[test]
fn small_messages_pass_the_pieces_of_bodies() {
    // So many that a piece always waits.
    const UPLOADS: usize = 24;
    const LENGTH: usize = 4 << 20;
    let fleet = plan("large-order", "other", json!({})).start();
    let half = FakeHalf::add(&fleet, "other");
    let worker = &fleet.workers[0];
    let uploads: Vec<_> = (0..UPLOADS).map(|_| upload(worker, body(LENGTH))).collect();
    fleet.runtime.block_on(async {
        let mut peer = half.linked().await;
        let mut attempts = Vec::new();
        for _ in 0..UPLOADS {
            attempts.push(next_call(&mut peer).await.attempt);
        }
        for attempt in attempts.clone() {
            let bytes = LENGTH as u64;
            peer.send(Frame::Window { attempt, bytes }).await;
        }
        // Until the connection is full, the peer reads; then the daemon's writer waits.
        let mut got = 0;
        while got < 1 << 20 {
            got += next_piece(&mut peer).await.bytes.len();
        }
        let ops = worker.entry.ops.clone();
        let left = tokio::task::spawn_blocking(move || {
            let reply = call(&ops, "POST", "/drain", &[], b"");
            assert_eq!(reply.status, 200);
            all_counted(&ops)
        });
        let left = left.await.expect("told");
        // What left before is in order; of the rest the message waits for one at most.
        loop {
            match peer.receive().await {
                Frame::Piece(piece) => got += piece.bytes.len(),
                Frame::Leaving(true) => break,
                _ => {}
            }
        }
        assert!(got <= left + (16 << 10), "{got} before it, {left} had left");
        assert!(left < UPLOADS * LENGTH / 2, "bodies were under way: {left}");
    });
    drop(uploads);
}

#[test]
fn a_call_that_is_refused_before_its_body_goes_to_another_target_whole() {
    let fleet = plan("large-moves", "stock", json!({})).start();
    let half = FakeHalf::add(&fleet, "stock");
    let worker = &fleet.workers[0];
    let refusing = fleet.runtime.spawn(async move {
        let mut peer = half.linked().await;
        loop {
            let call = next_call(&mut peer).await;
            let (attempt, bytes) = (call.attempt, 10_000);
            // Even a window that was opened is no beginning where nothing was sent.
            if call.head.path.ends_with("opened") {
                peer.send(Frame::Window { attempt, bytes }).await;
            }
            let refusal = Refusal {
                reason: RefusalReason::Busy,
                retry_after_us: 1_000,
            };
            peer.send(Frame::Refused {
                attempt,
                refusal,
                figures: None,
            })
            .await;
            if call.head.path.ends_with("opened") {
                return;
            }
        }
    });
    let linked = || {
        worker.get("/other", &[]);
        worker.status().is_some_and(|status| status.links >= 4)
    };
    assert!(wait_until(PATIENCE, linked));
    for nth in 0..60 {
        let sent = body(50_000 + nth);
        let path = if nth < 20 { "/up/plain" } else { "/up/opened" };
        let more = format!("Content-Length: {}\r\n", sent.len());
        let mut stream = head(worker, path, &more);
        // The body follows late, so that the refusal comes before it.
        thread::sleep(Duration::from_millis(10));
        stream.write_all(&sent).expect("sent");
        let reply = read_answer(&mut stream);
        let told = String::from_utf8_lossy(&reply.body);
        assert_eq!(reply.status, 200, "{nth}: {told}");
        assert_eq!(
            reply.json()["body"],
            String::from_utf8_lossy(&sent).as_ref()
        );
        if refusing.is_finished() {
            return;
        }
    }
    panic!("no call was offered to the peer");
}

#[test]
fn a_link_that_is_lost_in_the_middle_leaves_the_outcome_unknown() {
    let fleet = plan("large-link", "other", json!({})).start();
    let half = FakeHalf::add(&fleet, "other");
    let uploaded = upload(&fleet.workers[0], body(100_000));
    fleet.runtime.block_on(async {
        let mut peer = half.linked().await;
        let attempt = next_call(&mut peer).await.attempt;
        peer.send(Frame::Window {
            attempt,
            bytes: 30_000,
        })
        .await;
        next_piece(&mut peer).await;
    });
    drop(half);
    let reply = uploaded.join().expect("joined").expect("an answer");
    assert_eq!((reply.status, reply.outcome().as_str()), (504, "unknown"));
}

/// Its router still has all of it.
#[test]
fn a_body_that_was_sent_ahead_goes_to_another_target_after_a_refusal() {
    let fleet = plan("large-ahead", "stock", json!({})).start();
    let half = FakeHalf::add(&fleet, "stock");
    let worker = &fleet.workers[0];
    let (refused, is_refused) = flume::unbounded();
    fleet.runtime.spawn(async move {
        let mut peer = half.linked().await;
        loop {
            let call = next_call(&mut peer).await;
            let attempt = call.attempt;
            if call.to_come.is_some_and(|to_come| to_come.ahead) {
                let bytes = 30_000;
                peer.send(Frame::Window { attempt, bytes }).await;
                while !next_piece(&mut peer).await.last {}
                let _ = refused.send(());
            }
            let refusal = Refusal {
                reason: RefusalReason::Busy,
                retry_after_us: 1_000,
            };
            let figures = None;
            peer.send(Frame::Refused {
                attempt,
                refusal,
                figures,
            })
            .await;
        }
    });
    let linked = || {
        worker.get("/other", &[]);
        worker.status().is_some_and(|status| status.links >= 4)
    };
    assert!(wait_until(PATIENCE, linked));
    for nth in 0..60 {
        let sent = body(20_000 + nth);
        let reply = upload(worker, sent.clone()).join().expect("joined");
        let reply = reply.expect("an answer");
        let told = String::from_utf8_lossy(&reply.body);
        assert_eq!(reply.status, 200, "{nth}: {told}");
        assert_eq!(
            reply.json()["body"],
            String::from_utf8_lossy(&sent).as_ref()
        );
        if is_refused.try_recv().is_ok() {
            return;
        }
    }
    panic!("no call was offered to the peer");
}

#[test]
fn a_body_that_was_sent_ahead_is_offered_to_the_target_only_when_it_is_whole() {
    let (address, seen) = target(|_| {});
    let fleet = plan("large-half-ahead", "stock", json!({})).start_with_target(&address);
    let worker = &fleet.workers[0];
    fleet.runtime.block_on(async {
        let ours = Peer::hello(&worker.raw.deployment, "stock", "127.0.0.1:1");
        let mut peer = Peer::dial(&worker.entry.mesh, ours).await;
        for (attempt, whole) in [(AttemptId(1), false), (AttemptId(2), true)] {
            let mut call = call_in_pieces(attempt, 20_000);
            call.to_come = Some(BodyToCome {
                length: Some(20_000),
                ahead: true,
            });
            peer.send(Frame::Call(Box::new(call))).await;
            window(&mut peer, 20_000).await;
            send_piece(&mut peer, attempt, body(8_000), false).await;
            if whole {
                send_piece(&mut peer, attempt, body(12_000), true).await;
                assert!(wait_until(PATIENCE, || seen.heads() == 1));
            } else {
                // A body that is longer than was said is no body of this call.
                send_piece(&mut peer, attempt, body(12_001), true).await;
                assert!(matches!(end(&mut peer).await, Frame::Refused { .. }));
                assert_eq!(seen.heads(), 0);
            }
        }
    });
    assert_eq!(seen.body(), [body(8_000), body(12_000)].concat());
    assert_eq!(cut_by(worker, "sender"), 1.0);
}

/// Small calls wait behind what is on its way through the link, whoever sends it.
#[test]
fn all_bodies_on_their_way_to_one_daemon_are_bounded_together_and_too_many_go_elsewhere() {
    const LENGTH: u64 = 200_000;
    let (address, _seen) = target(|_| {});
    let overrides = json!({"body_window_bytes": 1 << 20});
    let fleet = plan("large-bounded", "stock", overrides).start_with_target(&address);
    let worker = &fleet.workers[0];
    fleet.runtime.block_on(async {
        let ours = Peer::hello(&worker.raw.deployment, "stock", "127.0.0.1:1");
        let mut peer = Peer::dial(&worker.entry.mesh, ours).await;
        let offered = |nth: u64, elsewhere| {
            let mut call = call_in_pieces(AttemptId(nth), LENGTH);
            call.elsewhere = elsewhere;
            call.to_come = Some(BodyToCome {
                length: Some(LENGTH),
                ahead: true,
            });
            Frame::Call(Box::new(call))
        };
        // Those that cannot go elsewhere wait here; of the others some are sent away.
        for nth in 1..=25 {
            let elsewhere = match nth {
                1..=5 => Elsewhere::Nowhere,
                _ => Elsewhere::Near,
            };
            peer.send(offered(nth, elsewhere)).await;
        }
        let mut open = 0;
        let refused = async {
            loop {
                match peer.receive().await {
                    Frame::Window { bytes, .. } => open += bytes,
                    Frame::Refused {
                        attempt, refusal, ..
                    } => return (attempt, refusal.reason),
                    _ => {}
                }
            }
        };
        let refused = tokio::time::timeout(PATIENCE, refused).await;
        let (attempt, reason) = refused.expect("one is sent away");
        assert!(attempt > AttemptId(5), "{attempt:?}");
        assert_eq!(reason, RefusalReason::Busy);
        // What does not come within a while is let come anew, so this is not the bound itself.
        assert!(open < 500_000, "{open} let come at once");
    });
}

fn call_in_pieces(attempt: AttemptId, length: u64) -> CallFrame {
    CallFrame {
        attempt,
        call: format!("call-{}", attempt.0),
        service: "stock".to_owned(),
        kind: CallKind::default(),
        priority: 0,
        nested: false,
        canary: false,
        homes: Homes::Anywhere,
        elsewhere: Elsewhere::Nowhere,
        goal_left_us: None,
        left_us: 10_000_000,
        operation: None,
        caller_service: None,
        head: RequestHead {
            method: "POST".to_owned(),
            path: "/up/".to_owned(),
            headers: vec![Header("host".to_owned(), b"stock".to_vec().into())],
        },
        body: Vec::new().into(),
        to_come: Some(BodyToCome {
            length: Some(length),
            ahead: false,
        }),
    }
}

async fn send_piece(peer: &mut Peer, attempt: AttemptId, bytes: Vec<u8>, last: bool) {
    let bytes = bytes.into();
    let piece = PieceFrame {
        attempt,
        bytes,
        last,
    };
    peer.send(Frame::Piece(piece)).await;
}

/// Waits until a window of so many bytes is open.
async fn window(peer: &mut Peer, wanted: usize) {
    let mut open = 0;
    while open < wanted {
        let bytes = |frame| match frame {
            Frame::Window { bytes, .. } => Some(bytes as usize),
            _ => None,
        };
        open += peer.receive_until(bytes).await;
    }
    assert_eq!(open, wanted);
}

/// How a call ended that a test's peer sent.
async fn end(peer: &mut Peer) -> Frame {
    let wanted = |frame| match frame {
        Frame::Answer { .. } | Frame::Refused { .. } | Frame::Lost(_) => Some(frame),
        _ => None,
    };
    peer.receive_until(wanted).await
}

#[test]
fn the_half_writes_nothing_before_the_first_piece_and_cuts_what_breaks_the_window() {
    let (address, seen) = target(|_| {});
    let fleet = plan("large-half", "stock", json!({})).start_with_target(&address);
    let worker = &fleet.workers[0];
    fleet.runtime.block_on(async {
        let ours = Peer::hello(&worker.raw.deployment, "stock", "127.0.0.1:1");
        let mut peer = Peer::dial(&worker.entry.mesh, ours).await;
        // Withdrawn before the first piece: refused, and the target saw nothing.
        let attempt = AttemptId(1);
        let call = call_in_pieces(attempt, 200_000);
        peer.send(Frame::Call(Box::new(call))).await;
        window(&mut peer, WINDOW).await;
        peer.send(Frame::Cancel(attempt)).await;
        assert!(matches!(end(&mut peer).await, Frame::Refused { .. }));
        assert_eq!(seen.heads(), 0);
        // More than the window: cut, and the outcome is not known.
        let attempt = AttemptId(2);
        let call = call_in_pieces(attempt, 200_000);
        peer.send(Frame::Call(Box::new(call))).await;
        window(&mut peer, WINDOW).await;
        send_piece(&mut peer, attempt, body(1_000), false).await;
        assert!(wait_until(PATIENCE, || seen.heads() == 1));
        send_piece(&mut peer, attempt, body(100_000), false).await;
        assert!(matches!(end(&mut peer).await, Frame::Lost(_)));
    });
    assert!(seen.body().len() <= 1_000);
}

/// Once it is whole, an operation runs to its end, so that its outcome is known; before,
/// the loss of its link ends it.
#[test]
fn the_loss_of_a_link_ends_a_body_that_is_not_whole() {
    let (address, seen) = target(|_| {});
    let fleet = plan("large-half-link", "stock", json!({})).start_with_target(&address);
    let worker = &fleet.workers[0];
    fleet.runtime.block_on(async {
        let ours = Peer::hello(&worker.raw.deployment, "stock", "127.0.0.1:1");
        let mut peer = Peer::dial(&worker.entry.mesh, ours).await;
        let attempt = AttemptId(1);
        let call = call_in_pieces(attempt, 200_000);
        peer.send(Frame::Call(Box::new(call))).await;
        let opened = |frame| matches!(frame, Frame::Window { .. }).then_some(());
        peer.receive_until(opened).await;
        send_piece(&mut peer, attempt, body(5_000), false).await;
        assert!(wait_until(PATIENCE, || seen.heads() == 1));
    });
    assert!(seen.body().len() <= 5_000);
    assert!(wait_until(PATIENCE, || cut_by(worker, "link") == 1.0));
}
