//! Uploads that end every target that runs them. Without a stated length, or longer than the
//! window, they were passed on in pieces, and nothing named them to the quarantine.

mod support;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use lynxcleat_daemon::SuspectState;
use lynxcleat_standin::{TargetFaults, wait_until};
use rstest::rstest;
use serde_json::json;
use support::{Fleet, PATIENCE, Plan, Reply, parse, raw, tree_with_routes, try_call};

/// The path of the upload that ends targets.
const ENDS: &str = "/up/7";
/// Targets that may end under one request before it is refused, as the settings say unless
/// they say otherwise.
const CRASH_LIMIT: u64 = 3;
/// The first end is that of an upload whose body was not read before.
const UNREAD: u64 = 1;
/// Repetitions that may be under way when the last of these ends becomes known.
const UNDER_WAY: u64 = 3;
/// Time between two repetitions.
const REPEATED: Duration = Duration::from_millis(50);
/// Time after which a target that ended is back.
const BACK_MS: u64 = 200;
/// Longest body that is sent with its call, in bytes.
const WHOLE: usize = 4 << 10;
/// Longest body that is read before a target is chosen, in bytes.
const WINDOW: usize = 32 << 10;
/// Time for which a caller may be silent.
const CALLER_LIMIT_MS: u64 = 600;

fn fleet(name: &'static str) -> Fleet {
    let mut plan = Plan::new(name);
    plan.workers = 6;
    plan.processes = true;
    plan.service = Duration::from_millis(10);
    let settings = json!({
        "reroute_limit": 6, "retry_percent": 100, "body_whole_bytes": WHOLE,
        "body_window_bytes": WINDOW, "caller_limit_ms": CALLER_LIMIT_MS
    });
    let uploads = json!({
        "host": "stock", "prefix": "/up/", "effects": "once", "timeout_ms": 5_000,
        "goal_ms": 5_000, "attempts": 3, "priority": 0, "large_bodies": true,
        "parts": [{"service": "stock", "weight": 1}]
    });
    plan.tree = tree_with_routes(settings, json!({"up": uploads}));
    let fleet = plan.start();
    for worker in &fleet.workers {
        worker.target.set_faults(TargetFaults {
            ends_on: ENDS.to_owned(),
            back_ms: BACK_MS,
            ..TargetFaults::default()
        });
    }
    fleet
}

/// Whether a body comes in chunks or with its length.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Framing {
    Chunks,
    Length,
}

/// An upload as one caller sends it.
#[derive(Clone, Debug)]
struct Sent {
    path: &'static str,
    caller: &'static str,
    body: Vec<u8>,
    framing: Framing,
}

/// An upload that ends targets: its body says so, and is filled up with dots.
fn bad(length: usize, framing: Framing) -> Sent {
    let mut body = b"ends".to_vec();
    body.resize(length.max(body.len()), b'.');
    Sent {
        path: ENDS,
        caller: "ends",
        body,
        framing,
    }
}

fn head(sent: &Sent) -> String {
    let (path, caller) = (sent.path, sent.caller);
    let framing = match sent.framing {
        Framing::Chunks => "Transfer-Encoding: chunked".to_owned(),
        Framing::Length => format!("Content-Length: {}", sent.body.len()),
    };
    format!(
        "POST {path} HTTP/1.1\r\nHost: stock\r\nConnection: close\r\n\
         authorization: {caller}\r\n{framing}\r\n\r\n"
    )
}

/// Frames a body, in chunks of the given length if it has no stated one.
fn framed(sent: &Sent, chunk_bytes: usize) -> Vec<u8> {
    if sent.framing == Framing::Length {
        return sent.body.clone();
    }
    let mut framed = Vec::new();
    for chunk in sent.body.chunks(chunk_bytes) {
        framed.extend_from_slice(format!("{:x}\r\n", chunk.len()).as_bytes());
        framed.extend_from_slice(chunk);
        framed.extend_from_slice(b"\r\n");
    }
    framed.extend_from_slice(b"0\r\n\r\n");
    framed
}

/// Sends an upload to the daemon whose turn it is. Its chunks differ from one sending to the
/// next.
fn send(fleet: &Fleet, turn: usize, sent: &Sent) -> std::io::Result<Reply> {
    let worker = &fleet.workers[turn % fleet.workers.len()];
    let request = [head(sent).into_bytes(), framed(sent, 1_000 + 7 * turn)].concat();
    raw(&worker.callers, &request)
}

fn repeat(fleet: &Fleet, sent: &Sent, times: usize) -> Vec<std::io::Result<Reply>> {
    let replies = (0..times).map(|turn| {
        thread::sleep(REPEATED);
        send(fleet, turn, sent)
    });
    replies.collect()
}

fn begun(fleet: &Fleet) -> u64 {
    fleet.workers.iter().map(|one| one.target.ending()).sum()
}

fn ends(fleet: &Fleet) -> u64 {
    fleet.workers.iter().map(|one| one.target.ends()).sum()
}

/// Whether every daemon refuses an upload without asking a target.
fn all_refuse(fleet: &Fleet, sent: &Sent) -> bool {
    (0..fleet.workers.len()).all(|turn| {
        let reply = send(fleet, turn, sent);
        reply.is_ok_and(|reply| reply.status == 503 && reply.json()["title"] == "quarantined")
    })
}

#[rstest]
#[case::of_a_few_bytes("crashing-upload-few", 4, Framing::Chunks)]
#[case::sent_ahead("crashing-upload-ahead", 20_000, Framing::Chunks)]
#[case::beyond_the_window("crashing-upload-window", 100_000, Framing::Chunks)]
#[case::beyond_the_window_with_a_length("crashing-upload-length", 100_000, Framing::Length)]
fn an_upload_that_ends_its_targets_is_refused_by_all_after_four(
    #[case] name: &'static str,
    #[case] length: usize,
    #[case] framing: Framing,
) {
    let fleet = fleet(name);
    let bad = bad(length, framing);
    repeat(&fleet, &bad, 60);
    let (ends, begun) = (ends(&fleet), begun(&fleet));
    println!("{ends} targets ended, {begun} runs begun");
    assert!(
        begun <= CRASH_LIMIT + UNREAD + UNDER_WAY,
        "{begun} runs begun, {ends} targets ended"
    );
    assert!(begun >= CRASH_LIMIT, "{begun} runs begun");
    assert!(all_refuse(&fleet, &bad));
}

/// Uploads that differ from the one that ends targets in one thing only.
fn others() -> [Sent; 6] {
    let bad = bad(20_000, Framing::Chunks);
    let ending_with = |last: u8| {
        let mut body = bad.body.clone();
        body.pop();
        body.push(last);
        body
    };
    let path = "/up/8";
    let caller = "somebody else";
    let shorter = bad.body[..bad.body.len() - 1].to_vec();
    [
        Sent {
            path,
            ..bad.clone()
        },
        Sent {
            caller,
            ..bad.clone()
        },
        Sent {
            body: ending_with(b'!'),
            ..bad.clone()
        },
        Sent {
            body: ending_with(b'?'),
            framing: Framing::Length,
            ..bad.clone()
        },
        Sent {
            body: [&shorter[..], &[b'!'; 80_000]].concat(),
            ..bad.clone()
        },
        Sent {
            body: [&shorter[..], &[b'!'; 80_000]].concat(),
            framing: Framing::Length,
            ..bad
        },
    ]
}

#[test]
fn uploads_that_are_like_it_are_served() {
    let fleet = fleet("crashing-upload-others");
    let bad = bad(20_000, Framing::Chunks);
    repeat(&fleet, &bad, 30);
    assert!(all_refuse(&fleet, &bad));
    thread::sleep(Duration::from_millis(2 * BACK_MS));
    for other in others() {
        for reply in repeat(&fleet, &other, 12) {
            let reply = reply.expect("an answer");
            let whole = String::from_utf8_lossy(&other.body);
            assert_eq!(reply.status, 200, "{}: {}", head(&other), reply.head);
            assert_eq!(reply.json()["body"], whole.as_ref(), "{}", head(&other));
        }
    }
}

/// The same body is the same request, whether its length is stated or not.
#[rstest]
#[case::first_in_chunks("crashing-upload-chunks", Framing::Chunks, Framing::Length)]
#[case::first_with_a_length("crashing-upload-stated", Framing::Length, Framing::Chunks)]
fn an_upload_that_is_framed_anew_is_refused_too(
    #[case] name: &'static str,
    #[case] first: Framing,
    #[case] then: Framing,
) {
    let fleet = fleet(name);
    repeat(&fleet, &bad(20_000, first), 30);
    let before = begun(&fleet);
    assert!(all_refuse(&fleet, &bad(20_000, then)));
    assert_eq!(begun(&fleet), before);
}

/// Ends of targets until one is noted: an end that leaves the target's address listening for some
/// milliseconds longer than its connections is taken for a lost answer.
fn make_something_suspect(fleet: &Fleet) {
    let ended = Sent {
        path: ENDS,
        ..bad(4, Framing::Length)
    };
    let is_known = |turn: usize| {
        let ops = &fleet.workers[turn].entry.ops;
        let reply = try_call(ops, "GET", "/quarantine", &[], b"").expect("a list");
        let listed: Vec<SuspectState> = serde_json::from_slice(&reply.body).expect("suspects");
        !listed.is_empty()
    };
    let is_noted = (0..3).any(|_| {
        let reply = send(fleet, 0, &ended);
        println!("{reply:?}, {} ends", ends(fleet));
        wait_until(Duration::from_secs(1), || is_known(0))
    });
    assert!(is_noted, "no end was noted");
    for turn in 0..fleet.workers.len() {
        assert!(wait_until(PATIENCE, || is_known(turn)), "daemon {turn}");
    }
    thread::sleep(Duration::from_millis(2 * BACK_MS));
}

#[test]
fn an_upload_that_comes_slowly_is_served_while_something_is_suspect() {
    let fleet = fleet("crashing-upload-slow");
    make_something_suspect(&fleet);
    let sent = Sent {
        path: "/up/slow",
        ..bad(12_000, Framing::Chunks)
    };
    let mut stream = TcpStream::connect(&fleet.workers[1].callers).expect("connected");
    stream.set_read_timeout(Some(PATIENCE)).expect("set");
    stream.write_all(head(&sent).as_bytes()).expect("sent");
    for part in framed(&sent, 2_000).chunks(3_000) {
        thread::sleep(Duration::from_millis(CALLER_LIMIT_MS / 3));
        stream.write_all(part).expect("sent");
    }
    let mut got = Vec::new();
    stream.read_to_end(&mut got).expect("an answer");
    let reply = parse(&got).expect("it is whole");
    assert_eq!(reply.status, 200, "{}", reply.head);
}

/// A target that had some of it might have run it: its caller would hear that this is unknown.
#[test]
fn an_upload_that_stops_while_something_is_suspect_was_not_run() {
    let fleet = fleet("crashing-upload-stops");
    make_something_suspect(&fleet);
    let sent = Sent {
        path: "/up/stops",
        ..bad(12_000, Framing::Chunks)
    };
    let begun = &framed(&sent, 2_000)[..6_000];
    let request = [head(&sent).as_bytes(), begun].concat();
    let reply = raw(&fleet.workers[1].callers, &request).expect("an answer");
    assert_eq!(
        (reply.status, reply.outcome().as_str()),
        (408, "not-run"),
        "{}",
        reply.head
    );
}

#[test]
fn an_upload_is_read_no_longer_than_its_deadline_while_something_is_suspect() {
    let fleet = fleet("crashing-upload-deadline");
    make_something_suspect(&fleet);
    let sent = Sent {
        path: "/up/late",
        ..bad(12_000, Framing::Chunks)
    };
    let head = head(&sent).replacen("\r\n\r\n", "\r\nLynxcleat-Deadline-Ms: 300\r\n\r\n", 1);
    let begun = &framed(&sent, 2_000)[..6_000];
    let served = || -> u64 { fleet.workers.iter().map(|one| one.target.served()).sum() };
    let before = served();
    let reply = raw(
        &fleet.workers[1].callers,
        &[head.as_bytes(), begun].concat(),
    );
    let reply = reply.expect("an answer");
    assert_eq!(reply.outcome(), "not-run", "{}", reply.head);
    assert_eq!(served(), before);
}
