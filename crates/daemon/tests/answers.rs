//! Every caller receives the complete answer to its own request, or is told that
//! there is none.

mod support;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

use lynxcleat_standin::TargetFaults;
use serde_json::json;
use support::{Plan, answer, each_gets_its_own, odd_target, raw, read_path, tree};

/// Keeps calls from reaching the default deadline of 2 s when the test process is not scheduled.
const LONG_DEADLINE: [(&str, &str); 1] = [("Lynxcleat-Deadline-Ms", "15000")];

#[test]
fn late_answers_after_a_time_out_reach_nobody_else() {
    let target = odd_target(|mut stream, nth| {
        while let Some(path) = read_path(&mut stream) {
            thread::sleep(Duration::from_millis(if nth % 2 == 0 { 150 } else { 1 }));
            answer(&mut stream, &path);
        }
    });
    let fleet = Plan::new("answers-late").start_with_target(&target);
    let own: usize = (0..5)
        .map(|_| each_gets_its_own(&fleet.workers[0].callers, "100"))
        .sum();
    assert!(own > 0, "some are in time");
}

#[test]
fn cut_oversized_and_garbled_answers_are_never_passed_on() {
    let mut plan = Plan::new("answers-cut");
    plan.tree = tree(json!({"body_limit_bytes": 1_000, "retry_percent": 0}));
    let target = odd_target(|mut stream, _| {
        while let Some(path) = read_path(&mut stream) {
            let text = match path.as_str() {
                "/cut" => "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf".to_owned(),
                "/chunk" => {
                    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n50\r\nhalf".to_owned()
                }
                "/garbled" => "nothing like HTTP\r\n\r\n".to_owned(),
                "/large" => format!(
                    "HTTP/1.1 200 OK\r\nContent-Length: 2000\r\n\r\n{}",
                    "x".repeat(2_000)
                ),
                _ => "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok".to_owned(),
            };
            let _ = stream.write_all(text.as_bytes());
            if path != "/good" {
                return;
            }
        }
    });
    let fleet = plan.start_with_target(&target);
    let worker = &fleet.workers[0];
    for path in ["/cut", "/chunk", "/garbled", "/large", "/nothing-more"] {
        let begun = Instant::now();
        let reply = worker.get(path, &[]);
        if path == "/nothing-more" {
            assert_eq!(reply.body, b"ok");
            continue;
        }
        assert_eq!(
            (reply.status, &*reply.outcome()),
            (504, "unknown"),
            "{path}"
        );
        assert!(begun.elapsed() < Duration::from_secs(1), "told at once");
    }
    assert_eq!(worker.get("/good", &[]).body, b"ok");
}

#[test]
fn a_lookup_whose_answer_was_cut_is_served_by_another_target() {
    let fleet = Plan::new("answers-elsewhere").start();
    let cut = TargetFaults {
        cut_answers: true,
        ..TargetFaults::default()
    };
    fleet.workers[0].target.set_faults(cut);
    for _ in 0..8 {
        let reply = fleet.workers[1].get("/items/1", &[("x-echo", "e")]);
        assert_eq!(reply.status, 200);
        assert_eq!(reply.json()["target"], "stock-1");
    }
}

#[test]
fn equal_requests_on_one_connection_and_on_many_get_an_answer_each() {
    let fleet = Plan::new("answers-equal").start();
    let mut stream = TcpStream::connect(&fleet.workers[0].callers).expect("connect");
    let one = "GET /same HTTP/1.1\r\nHost: stock\r\nX-Echo: e\r\n\r\n";
    let last = "GET /last HTTP/1.1\r\nHost: stock\r\nConnection: close\r\n\r\n";
    let pipelined = format!("{one}{one}{one}{last}");
    stream.write_all(pipelined.as_bytes()).expect("written");
    let mut got = String::new();
    stream.read_to_string(&mut got).expect("read");
    assert_eq!(got.matches("\"path\":\"/same\"").count(), 3);
    assert_eq!(got.matches("\"path\":\"/last\"").count(), 1);
    assert!(got.rfind("/same") < got.rfind("/last"), "in order");
}

#[test]
fn a_caller_that_goes_away_has_its_lookup_cancelled() {
    let mut plan = Plan::new("answers-gone");
    plan.workers = 1;
    plan.slots = 1;
    plan.tree = tree(json!({"slots": 1}));
    let fleet = plan.start();
    let worker = &fleet.workers[0];
    worker.target.set_faults(TargetFaults {
        frozen: true,
        ..TargetFaults::default()
    });
    let mut stream = TcpStream::connect(&worker.callers).expect("connect");
    let request = "GET /gone HTTP/1.1\r\nHost: stock\r\nLynxcleat-Deadline-Ms: 30000\r\n\r\n";
    stream.write_all(request.as_bytes()).expect("written");
    let in_flight = |wanted| {
        lynxcleat_standin::wait_until(support::PATIENCE, || {
            worker.status().is_some_and(|s| s.in_flight == wanted)
        })
    };
    assert!(in_flight(1));
    drop(stream);
    assert!(in_flight(0), "its slot is free long before its deadline");
    worker.target.set_faults(TargetFaults::default());
}

/// Found by a day on the users' platform: calls with effects that were held when their
/// callers left were delivered up to half a second later.
#[test]
fn a_call_with_effects_that_is_held_when_its_caller_goes_away_is_not_delivered() {
    let mut plan = Plan::new("answers-gone-held");
    plan.workers = 1;
    plan.slots = 1;
    plan.tree = tree(json!({"slots": 1}));
    let fleet = plan.start();
    let worker = &fleet.workers[0];
    worker.target.set_faults(TargetFaults {
        frozen: true,
        ..TargetFaults::default()
    });
    let post = || {
        let mut stream = TcpStream::connect(&worker.callers).expect("connect");
        let request = "POST /gone HTTP/1.1\r\nHost: stock\r\nContent-Length: 0\r\n\
                       Lynxcleat-Deadline-Ms: 30000\r\n\r\n";
        stream.write_all(request.as_bytes()).expect("written");
        stream
    };
    let status = |fits: fn(&lynxcleat_daemon::Status) -> bool| {
        lynxcleat_standin::wait_until(support::PATIENCE, || {
            worker.status().is_some_and(|status| fits(&status))
        })
    };
    let first = post();
    assert!(status(|status| status.in_flight == 1));
    let second = post();
    assert!(status(|status| status.held == 1));
    drop(second);
    assert!(status(|status| status.held == 0), "withdrawn");
    drop(first);
    worker.target.set_faults(TargetFaults::default());
    assert!(
        status(|status| status.in_flight == 0),
        "the first ran to its end"
    );
    assert_eq!(worker.target.served(), 1);
}

#[test]
fn slow_senders_are_bounded_in_time() {
    let mut plan = Plan::new("answers-slow");
    plan.workers = 1;
    plan.tree = tree(json!({"caller_limit_ms": 300}));
    let fleet = plan.start();
    let address = &fleet.workers[0].callers;
    let begun = Instant::now();
    let mut half_head = TcpStream::connect(address).expect("connect");
    half_head
        .write_all(b"GET / HTTP/1.1\r\nHo")
        .expect("written");
    let mut rest = Vec::new();
    let _ = half_head.read_to_end(&mut rest);
    let half_body =
        b"POST / HTTP/1.1\r\nHost: stock\r\nConnection: close\r\nContent-Length: 9\r\n\r\nabc";
    let reply = raw(address, half_body).expect("an answer");
    assert_eq!((reply.status, &*reply.outcome()), (408, "not-run"));
    assert!(begun.elapsed() < Duration::from_secs(10));
    assert_eq!(fleet.workers[0].target.served(), 0);
}

#[test]
fn a_caller_that_does_not_take_its_answer_is_cut_off() {
    let mut plan = Plan::new("answers-untaken");
    plan.workers = 1;
    plan.tree = tree(json!({"caller_limit_ms": 300, "body_limit_bytes": 50_000_000}));
    let fleet = plan.start();
    let body = vec![b'x'; 40_000_000];
    let head = format!(
        "POST / HTTP/1.1\r\nHost: stock\r\nLynxcleat-Deadline-Ms: 20000\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    let mut stream = TcpStream::connect(&fleet.workers[0].callers).expect("connect");
    stream.write_all(head.as_bytes()).expect("written");
    stream.write_all(&body).expect("written");
    // It waits far longer than it may, then takes what the buffers hold.
    let answered = || fleet.workers[0].metric("lynxcleat_calls_total") > 0.0;
    assert!(lynxcleat_standin::wait_until(support::PATIENCE, answered));
    thread::sleep(Duration::from_millis(1_500));
    let mut got = Vec::new();
    let _ = stream.read_to_end(&mut got);
    assert!(got.len() < body.len(), "it got all {} bytes", got.len());
}

#[test]
fn bodies_in_hand_are_bounded_all_together() {
    let mut plan = Plan::new("answers-room");
    plan.workers = 1;
    plan.tree = tree(json!({"body_limit_bytes": 60_000, "body_memory_bytes": 100_000}));
    plan.service = Duration::from_millis(300);
    let fleet = plan.start();
    let outcomes: Vec<(u16, String)> = thread::scope(|scope| {
        let callers: Vec<_> = (0..4)
            .map(|_| scope.spawn(|| fleet.workers[0].post(&LONG_DEADLINE, &[b'x'; 45_000])))
            .collect();
        let replies = callers
            .into_iter()
            .map(|caller| caller.join().expect("joined"));
        replies
            .map(|reply| (reply.status, reply.outcome()))
            .collect()
    });
    let ran = outcomes.iter().filter(|(status, _)| *status == 200).count();
    let refused = outcomes
        .iter()
        .filter(|(status, told)| (*status, &**told) == (503, "not-run"));
    assert_eq!((ran, refused.count()), (2, 2), "{outcomes:?}");
    assert_eq!(fleet.workers[0].target.served(), 2);
    assert_eq!(
        fleet.workers[0]
            .post(&LONG_DEADLINE, &[b'x'; 45_000])
            .status,
        200,
        "room again"
    );
}

/// Found by reading: a body of unknown length took room for the largest body allowed, so
/// that one caller who had sent a head alone kept all others out.
#[test]
fn a_body_of_unknown_length_takes_room_for_what_has_come() {
    let mut plan = Plan::new("answers-chunked-room");
    plan.workers = 1;
    plan.tree = tree(json!({"body_limit_bytes": 90_000, "body_memory_bytes": 100_000}));
    let fleet = plan.start();
    let worker = &fleet.workers[0];
    let mut slow = std::net::TcpStream::connect(&worker.callers).expect("connected");
    let (deadline, ms) = LONG_DEADLINE[0];
    let head = format!(
        "POST /take HTTP/1.1\r\nHost: stock\r\n{deadline}: {ms}\r\n\
         Transfer-Encoding: chunked\r\n\r\n"
    );
    slow.write_all(head.as_bytes()).expect("written");
    slow.write_all(b"5\r\nfirst\r\n").expect("written");
    thread::sleep(Duration::from_millis(200));
    for _ in 0..3 {
        assert_eq!(worker.post(&LONG_DEADLINE, &[b'x'; 45_000]).status, 200);
    }
    slow.write_all(b"0\r\n\r\n").expect("written");
    let mut got = [0; 12];
    slow.read_exact(&mut got).expect("an answer");
    assert_eq!(&got, b"HTTP/1.1 200");
}

#[test]
fn bodies_of_unknown_length_are_bounded_all_together_as_they_come() {
    let mut plan = Plan::new("answers-chunked-bound");
    plan.workers = 1;
    plan.tree = tree(json!({"body_limit_bytes": 90_000, "body_memory_bytes": 100_000}));
    let fleet = plan.start();
    let callers = &fleet.workers[0].callers;
    let chunk = |bytes: usize| format!("{bytes:x}\r\n{}\r\n", "x".repeat(bytes));
    let begin = |bytes: usize| {
        let mut stream = std::net::TcpStream::connect(callers).expect("connected");
        let head = "POST /take HTTP/1.1\r\nHost: stock\r\nTransfer-Encoding: chunked\r\n\r\n";
        stream.write_all(head.as_bytes()).expect("written");
        stream.write_all(chunk(bytes).as_bytes()).expect("written");
        thread::sleep(Duration::from_millis(200));
        stream
    };
    let _first = begin(60_000);
    let mut second = begin(60_000);
    let mut got = [0; 12];
    second.read_exact(&mut got).expect("an answer");
    assert_eq!(&got, b"HTTP/1.1 503", "no room for it");
}
