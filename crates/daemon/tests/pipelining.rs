//! Calls that are sent on a connection before the first of them is answered.

mod support;

use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use lynxcleat_daemon::http1::imf_fixdate;
use lynxcleat_standin::{TargetFaults, wait_until};
use rstest::rstest;
use serde_json::json;
use support::{
    Fleet, PATIENCE, Plan, Reply, Running, Worker, answer, odd_target, parse, read_path, tree,
};

/// Time for which a target holds a call, so that one that should wait for it would overtake
/// it if it did not.
const HELD: Duration = Duration::from_millis(200);

fn connect(worker: &Worker) -> TcpStream {
    let stream = TcpStream::connect(&worker.callers).expect("connect");
    let patience = Some(PATIENCE);
    stream.set_read_timeout(patience).expect("set");
    stream
}

fn get(path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nHost: stock\r\nLynxcleat-Deadline-Ms: 30000\r\n\r\n")
}

fn post(path: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "POST {path} HTTP/1.1\r\nHost: stock\r\nLynxcleat-Deadline-Ms: 30000\r\n\
         Content-Length: {length}\r\n\r\n{body}"
    )
}

/// Reads one answer.
fn read_answer(stream: &mut TcpStream) -> Reply {
    let mut got = Vec::new();
    let mut byte = [0];
    while !got.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).expect("a head");
        got.push(byte[0]);
    }
    let head = parse(&got).expect("a head");
    let length = head.header("content-length").map(|text| text.parse());
    let length: usize = length.transpose().expect("a number").unwrap_or(0);
    let mut body = vec![0; length];
    stream.read_exact(&mut body).expect("a body");
    got.extend_from_slice(&body);
    parse(&got).expect("an answer")
}

/// Nothing but an orderly end follows.
fn assert_end(stream: &mut TcpStream) {
    let mut rest = Vec::new();
    stream.read_to_end(&mut rest).expect("no reset");
    assert_eq!(String::from_utf8_lossy(&rest), "");
}

fn is_closing(reply: &Reply) -> bool {
    reply.header("connection").as_deref() == Some("close")
}

/// One daemon, and a target that serves no call until it is woken.
fn frozen(name: &'static str, settings: serde_json::Value) -> Fleet {
    let mut plan = Plan::new(name);
    plan.workers = 1;
    plan.tree = tree(settings);
    let fleet = plan.start();
    fleet.workers[0].target.set_faults(TargetFaults {
        frozen: true,
        ..TargetFaults::default()
    });
    fleet
}

fn wake(worker: &Worker) {
    worker.target.set_faults(TargetFaults::default());
}

fn await_in_flight(worker: &Worker, wanted: usize) {
    let is_so = || {
        let status = worker.status();
        status.is_some_and(|status| status.in_flight as usize == wanted)
    };
    assert!(wait_until(PATIENCE, is_so), "{:?}", worker.status());
}

#[test]
fn lookups_run_side_by_side_and_are_answered_in_order() {
    static SECOND: AtomicBool = AtomicBool::new(false);
    let target = odd_target(|mut stream, _| {
        while let Some(path) = read_path(&mut stream) {
            if path == "/second" {
                SECOND.store(true, Ordering::Relaxed);
            }
            let is_second = || SECOND.load(Ordering::Relaxed);
            assert!(path != "/first" || wait_until(PATIENCE, is_second));
            answer(&mut stream, &path);
        }
    });
    let fleet = Plan::new("pipelining-order").start_with_target(&target);
    let worker = &fleet.workers[0];
    let mut stream = connect(worker);
    let sent = [get("/first"), get("/second"), get("/third")].concat();
    stream.write_all(sent.as_bytes()).expect("written");
    for path in ["/first", "/second", "/third"] {
        let reply = read_answer(&mut stream);
        assert_eq!((reply.status, &*reply.body), (200, path.as_bytes()));
        assert!(!is_closing(&reply));
    }
    assert_eq!(worker.metric("lynxcleat_pipelined_calls_total"), 2.0);
}

/// What an odd target saw, in order.
type Events = Mutex<Vec<String>>;

fn log(events: &Events, event: &str, path: &str) {
    let mut events = events.lock().unwrap_or_else(PoisonError::into_inner);
    events.push(format!("{event} {path}"));
}

#[test]
fn a_call_with_effects_runs_alone_on_its_connection() {
    static EVENTS: Events = Mutex::new(Vec::new());
    let target = odd_target(|mut stream, _| {
        while let Some(path) = read_path(&mut stream) {
            log(&EVENTS, "begin", &path);
            thread::sleep(HELD);
            log(&EVENTS, "end", &path);
            answer(&mut stream, &path);
        }
    });
    let fleet = Plan::new("pipelining-effects").start_with_target(&target);
    let mut stream = connect(&fleet.workers[0]);
    let sent = [get("/before"), post("/effect", ""), get("/behind")].concat();
    stream.write_all(sent.as_bytes()).expect("written");
    for path in ["/before", "/effect", "/behind"] {
        assert_eq!(read_answer(&mut stream).body, path.as_bytes());
    }
    let events = EVENTS.lock().expect("events");
    let expected = [
        "begin /before",
        "end /before",
        "begin /effect",
        "end /effect",
        "begin /behind",
        "end /behind",
    ];
    assert_eq!(*events, expected);
}

#[test]
fn the_wait_for_its_turn_is_part_of_the_time_of_a_call() {
    static EVENTS: Events = Mutex::new(Vec::new());
    let target = odd_target(|mut stream, _| {
        while let Some(path) = read_path(&mut stream) {
            log(&EVENTS, "begin", &path);
            thread::sleep(HELD);
            answer(&mut stream, &path);
        }
    });
    let fleet = Plan::new("pipelining-wait").start_with_target(&target);
    let worker = &fleet.workers[0];
    let mut stream = connect(worker);
    let late = post("/late", "").replace("30000", &(HELD.as_millis() / 2).to_string());
    let sent = [get("/before"), late].concat();
    stream.write_all(sent.as_bytes()).expect("written");
    assert_eq!(read_answer(&mut stream).status, 200);
    let reply = read_answer(&mut stream);
    assert_eq!((reply.status, &*reply.outcome()), (503, "not-run"));
    assert_eq!(*EVENTS.lock().expect("events"), ["begin /before"]);
    // On a busy host the first call may begin some milliseconds after it was read; only the other
    // waits for a time of the order of the one before it.
    let waits = worker.metric("lynxcleat_turn_wait_seconds_count");
    let short = worker.metric("lynxcleat_turn_wait_seconds_bucket{le=\"0.064\"}");
    assert_eq!(waits - short, 1.0);
}

/// The route in force says what has effects, whatever the method says.
#[test]
fn the_route_decides_what_runs_alone() {
    static EVENTS: Events = Mutex::new(Vec::new());
    static SECOND: AtomicBool = AtomicBool::new(false);
    let target = odd_target(|mut stream, _| {
        while let Some(path) = read_path(&mut stream) {
            if path.starts_with("/once/") {
                log(&EVENTS, "begin", &path);
                thread::sleep(HELD);
                log(&EVENTS, "end", &path);
            }
            if path == "/free/2" {
                SECOND.store(true, Ordering::Relaxed);
            }
            let is_second = || SECOND.load(Ordering::Relaxed);
            assert!(path != "/free/1" || wait_until(PATIENCE, is_second));
            answer(&mut stream, &path);
        }
    });
    let route = |prefix: &str, effects: &str| {
        json!({
            "host": "stock", "prefix": prefix, "effects": effects, "timeout_ms": 20_000,
            "goal_ms": 10_000, "attempts": 1, "priority": 0,
            "parts": [{"service": "stock", "weight": 1}]
        })
    };
    let mut plan = Plan::new("pipelining-route");
    let mut routed = plan.tree.to_json();
    routed["routes"] = json!({"once": route("/once/", "once"), "free": route("/free/", "none")});
    plan.tree = lynxcleat_settings::Tree::from_json(&routed).expect("a good tree");
    let fleet = plan.start_with_target(&target);
    let mut stream = connect(&fleet.workers[0]);
    let sent = [
        get("/once/1"),
        get("/once/2"),
        post("/free/1", "x"),
        post("/free/2", "y"),
    ];
    let _ = stream.write_all(sent.concat().as_bytes());
    for path in ["/once/1", "/once/2", "/free/1", "/free/2"] {
        assert_eq!(read_answer(&mut stream).body, path.as_bytes());
    }
    let events = EVENTS.lock().expect("events");
    let expected = [
        "begin /once/1",
        "end /once/1",
        "begin /once/2",
        "end /once/2",
    ];
    assert_eq!(*events, expected);
}

#[test]
fn all_calls_of_a_caller_that_leaves_are_cancelled() {
    let fleet = frozen("pipelining-gone", json!({}));
    let worker = &fleet.workers[0];
    let mut stream = connect(worker);
    let sent = get("/gone").repeat(3);
    stream.write_all(sent.as_bytes()).expect("written");
    await_in_flight(worker, 3);
    drop(stream);
    await_in_flight(worker, 0);
    wake(worker);
}

/// The connection is not read any more, so its end is not read either.
#[test]
fn a_caller_that_leaves_is_noticed_while_its_connection_is_not_read() {
    let fleet = frozen("pipelining-gone-unread", json!({"pipeline_limit": 2}));
    let worker = &fleet.workers[0];
    let mut stream = connect(worker);
    let sent = get("/gone").repeat(2_000);
    stream.write_all(sent.as_bytes()).expect("written");
    await_in_flight(worker, 2);
    drop(stream);
    await_in_flight(worker, 0);
    wake(worker);
    assert_eq!(worker.get("/", &[]).status, 200);
}

/// As it always was: a caller that sends nothing more counts as gone while a call of it is in
/// hand.
#[test]
fn a_caller_that_closes_its_sending_side_counts_as_gone() {
    let fleet = frozen("pipelining-half", json!({}));
    let worker = &fleet.workers[0];
    let mut stream = connect(worker);
    let sent = get("/half").repeat(2);
    stream.write_all(sent.as_bytes()).expect("written");
    await_in_flight(worker, 2);
    stream.shutdown(Shutdown::Write).expect("shut down");
    await_in_flight(worker, 0);
    wake(worker);
}

#[test]
fn a_stop_answers_every_call_that_was_begun_and_begins_no_other() {
    let mut fleet = frozen("pipelining-stop", json!({}));
    let Some(Running::Here(daemon)) = fleet.workers[0].daemon.take() else {
        unreachable!("the fleet was started");
    };
    let worker = &fleet.workers[0];
    let mut stream = connect(worker);
    let sent = get("/stop").repeat(3);
    stream.write_all(sent.as_bytes()).expect("written");
    await_in_flight(worker, 3);
    thread::scope(|scope| {
        let stopping = scope.spawn(|| fleet.runtime.block_on(daemon.stop()));
        let has_begun = || {
            let mut other = connect(worker);
            let own = get("/.lynxcleat/tickets?count=1");
            other.write_all(own.as_bytes()).expect("written");
            is_closing(&read_answer(&mut other))
        };
        assert!(wait_until(PATIENCE, has_begun));
        let more = [get("/late"), post("/late", "late")].concat();
        stream.write_all(more.as_bytes()).expect("written");
        wake(worker);
        let replies: Vec<Reply> = (0..3).map(|_| read_answer(&mut stream)).collect();
        assert!(replies.iter().all(|reply| reply.status == 200));
        let closing: Vec<bool> = replies.iter().map(is_closing).collect();
        assert_eq!(closing, [false, false, true], "the last one only");
        assert_end(&mut stream);
        drop(stream);
        let report = stopping.join().expect("stopped");
        assert_eq!(report, lynxcleat_daemon::StopReport::default());
    });
    assert_eq!(worker.target.served(), 3, "the others count as not read");
}

#[test]
fn no_more_calls_are_in_hand_than_may_be() {
    let fleet = frozen("pipelining-bound", json!({"pipeline_limit": 2}));
    let worker = &fleet.workers[0];
    let mut stream = connect(worker);
    let sent = get("/bound").repeat(5);
    stream.write_all(sent.as_bytes()).expect("written");
    let at_bound = || worker.metric("lynxcleat_pipelines_at_bound_total") > 0.0;
    assert!(wait_until(PATIENCE, at_bound));
    await_in_flight(worker, 2);
    assert_eq!(worker.metric("lynxcleat_pipelined_calls_total"), 1.0);
    wake(worker);
    for _ in 0..5 {
        assert_eq!(read_answer(&mut stream).status, 200);
    }
}

#[test]
fn no_more_bytes_of_answers_are_held_than_may_be() {
    static OPEN: AtomicBool = AtomicBool::new(false);
    static SEEN: Events = Mutex::new(Vec::new());
    let target = odd_target(|mut stream, _| {
        while let Some(path) = read_path(&mut stream) {
            log(&SEEN, "begin", &path);
            let is_open = || OPEN.load(Ordering::Relaxed);
            assert!(path != "/held" || wait_until(PATIENCE, is_open));
            answer(&mut stream, &"x".repeat(5_000));
        }
    });
    let mut plan = Plan::new("pipelining-bytes");
    plan.tree = tree(json!({"pipeline_bytes": 4_096}));
    let fleet = plan.start_with_target(&target);
    let worker = &fleet.workers[0];
    let mut stream = connect(worker);
    let sent = [get("/held"), get("/large")].concat();
    stream.write_all(sent.as_bytes()).expect("written");
    let answered = || worker.metric("lynxcleat_call_seconds_count") == 1.0;
    assert!(wait_until(PATIENCE, answered), "the large answer is held");
    stream
        .write_all(get("/unread").as_bytes())
        .expect("written");
    let at_bound = || worker.metric("lynxcleat_pipelines_at_bound_total") == 1.0;
    assert!(wait_until(PATIENCE, at_bound));
    // Side by side, they come to the target in any order.
    let both_begun = || SEEN.lock().expect("seen").len() >= 2;
    assert!(wait_until(PATIENCE, both_begun), "both come to the target");
    let mut seen = SEEN.lock().expect("seen").clone();
    seen.sort();
    assert_eq!(seen, ["begin /held", "begin /large"]);
    OPEN.store(true, Ordering::Relaxed);
    for _ in 0..3 {
        assert_eq!(read_answer(&mut stream).body.len(), 5_000);
    }
}

#[rstest]
#[case::head("GET / HTTP/1.1\r\nHost : stock\r\n\r\n", 400, "field")]
#[case::large("GET / HTTP/1.1\r\nX: {}\r\n\r\n", 431, "head-too-large")]
fn what_cannot_be_framed_is_refused_after_the_answers_before_it(
    #[case] malformed: &str,
    #[case] status: u16,
    #[case] reason: &str,
) {
    let fleet = frozen("pipelining-malformed", json!({}));
    let worker = &fleet.workers[0];
    let mut stream = connect(worker);
    let malformed = malformed.replace("{}", &"x".repeat(33 << 10));
    let sent = [get("/good"), get("/good"), malformed, get("/behind")].concat();
    stream.write_all(sent.as_bytes()).expect("written");
    let refused = format!("lynxcleat_malformed_requests_total{{kind=\"{reason}\"");
    let is_refused = || worker.metric(&refused) == 1.0;
    assert!(wait_until(PATIENCE, is_refused));
    await_in_flight(worker, 2);
    wake(worker);
    for _ in 0..2 {
        let reply = read_answer(&mut stream);
        assert_eq!((reply.status, is_closing(&reply)), (200, false));
    }
    let reply = read_answer(&mut stream);
    assert_eq!((reply.status, is_closing(&reply)), (status, true));
    assert_end(&mut stream);
    assert_eq!(worker.target.served(), 2);
}

#[test]
fn a_malformed_chunk_ends_the_connection_after_the_answer() {
    let mut plan = Plan::new("pipelining-chunk");
    plan.workers = 1;
    let fleet = plan.start();
    let mut stream = connect(&fleet.workers[0]);
    let sent = "POST /x HTTP/1.1\r\nHost: stock\r\nTransfer-Encoding: chunked\r\n\r\n\
                5\r\nabcdeX\r\n0\r\n\r\nGET /smuggled HTTP/1.1\r\nHost: stock\r\n\r\n";
    stream.write_all(sent.as_bytes()).expect("written");
    let reply = read_answer(&mut stream);
    assert_eq!((reply.status, is_closing(&reply)), (400, true));
    assert_end(&mut stream);
    assert_eq!(fleet.workers[0].target.served(), 0);
}

/// A caller that still sends when it is refused would find its connection reset, and the
/// answer gone, if the connection were closed with its bytes unread.
#[test]
fn an_answer_before_the_end_of_the_body_is_not_lost_to_a_reset() {
    let mut plan = Plan::new("pipelining-early");
    plan.workers = 1;
    let fleet = plan.start();
    let mut stream = connect(&fleet.workers[0]);
    let head = "POST /x HTTP/1.1\r\nHost: stock\r\nContent-Length: 50000000\r\n\r\n";
    stream.write_all(head.as_bytes()).expect("written");
    // It goes on to send well after the answer is out.
    let answered = || fleet.workers[0].metric("lynxcleat_calls_total") > 0.0;
    assert!(wait_until(PATIENCE, answered));
    stream.write_all(&vec![b'x'; 1 << 20]).expect("taken");
    let reply = read_answer(&mut stream);
    assert_eq!((reply.status, is_closing(&reply)), (413, true));
    assert_end(&mut stream);
}

#[test]
fn a_connection_is_kept_when_little_of_a_body_is_left() {
    let mut plan = Plan::new("pipelining-rest");
    plan.workers = 1;
    let fleet = plan.start();
    let mut stream = connect(&fleet.workers[0]);
    let head = "POST /x HTTP/1.1\r\nHost: nosuch\r\nContent-Length: 10\r\n\r\n";
    stream.write_all(head.as_bytes()).expect("written");
    let reply = read_answer(&mut stream);
    assert_eq!((reply.status, is_closing(&reply)), (404, false));
    let rest = format!("0123456789{}", get("/next"));
    stream.write_all(rest.as_bytes()).expect("written");
    let reply = read_answer(&mut stream);
    assert_eq!(reply.status, 200);
    assert_eq!(reply.json()["path"], "/next");
}

#[test]
fn a_caller_that_asks_is_told_to_send_its_body() {
    let fleet = Plan::new("pipelining-continue").start();
    let mut stream = connect(&fleet.workers[0]);
    let head =
        "POST /x HTTP/1.1\r\nHost: stock\r\nContent-Length: 5\r\nExpect: 100-continue\r\n\r\n";
    let sent = [&get("/before"), head].concat();
    stream.write_all(sent.as_bytes()).expect("written");
    assert_eq!(read_answer(&mut stream).json()["path"], "/before");
    assert_eq!(read_answer(&mut stream).status, 100);
    stream.write_all(b"abcde").expect("written");
    assert_eq!(read_answer(&mut stream).json()["body"], "abcde");
    // Refused before its body was asked for, it must not be taken to follow.
    let refused = head.replace("stock", "nosuch");
    stream.write_all(refused.as_bytes()).expect("written");
    let reply = read_answer(&mut stream);
    assert_eq!((reply.status, is_closing(&reply)), (404, true));
    assert_end(&mut stream);
}

#[rstest]
#[case::old("GET /x HTTP/1.0\r\nHost: stock\r\n\r\n", "HTTP/1.0 ", "close")]
#[case::old_kept(
    "GET /x HTTP/1.0\r\nHost: stock\r\nConnection: keep-alive\r\n\r\n",
    "HTTP/1.0 ",
    "keep-alive"
)]
#[case::closed(
    "GET /x HTTP/1.1\r\nHost: stock\r\nConnection: Close\r\n\r\n",
    "HTTP/1.1 ",
    "close"
)]
fn a_connection_lasts_as_its_caller_says(
    #[case] request: &str,
    #[case] version: &str,
    #[case] connection: &str,
) {
    let fleet = Plan::new("pipelining-version").start();
    let mut stream = connect(&fleet.workers[0]);
    stream.write_all(request.as_bytes()).expect("written");
    let reply = read_answer(&mut stream);
    assert!(reply.head.starts_with(version), "{}", reply.head);
    assert_eq!(reply.header("connection").as_deref(), Some(connection));
    assert!(reply.header("date").is_some());
    if connection == "close" {
        assert_end(&mut stream);
        return;
    }
    stream.write_all(request.as_bytes()).expect("written");
    assert_eq!(read_answer(&mut stream).status, 200);
}

/// With nothing in hand, a connection ends after the time for the next request.
#[test]
fn a_connection_without_requests_ends() {
    let mut plan = Plan::new("pipelining-idle");
    plan.workers = 1;
    plan.tree = tree(json!({"caller_limit_ms": 300}));
    let fleet = plan.start();
    let mut stream = connect(&fleet.workers[0]);
    for _ in 0..3 {
        stream.write_all(get("/x").as_bytes()).expect("written");
        assert_eq!(read_answer(&mut stream).status, 200);
    }
    let mut byte = [0];
    match stream.read(&mut byte) {
        Ok(bytes) => assert_eq!(bytes, 0),
        Err(error) => assert_eq!(error.kind(), ErrorKind::ConnectionReset),
    }
}

#[rstest]
#[case(0, "Thu, 01 Jan 1970 00:00:00 GMT")]
#[case(784_111_777, "Sun, 06 Nov 1994 08:49:37 GMT")]
#[case(951_782_400, "Tue, 29 Feb 2000 00:00:00 GMT")]
#[case(1_709_251_199, "Thu, 29 Feb 2024 23:59:59 GMT")]
#[case(4_107_542_400, "Mon, 01 Mar 2100 00:00:00 GMT")]
fn dates_are_in_the_form_of_http(#[case] unix_s: u64, #[case] text: &str) {
    assert_eq!(imf_fixdate(unix_s), text);
}
