//! One caller kept repeating a request that ended every target that ran it. Each repetition
//! came under a new name and at another daemon, and what one daemon had seen of it no other
//! knew: to all of them it was a new call, and it was offered to the next target that was
//! still up, twice for each repetition. The four targets of one service ended again and again
//! for as long as the caller went on, and each time four or five calls of others that shared
//! the target were lost with it.
//!
//! The lines of one such repetition, from three daemons:
//!
//! ```text
//! 9.351 vom-hall-1    call at the target  outcome=answer lost  in_flight=1
//! 9.397 jos-hall-2    call at the target  outcome=answer lost  in_flight=0
//! 9.398 bukuru-hall-4 call routed  verdict=unknown: TargetLost
//!       attempts: vom-hall-1 answer lost, jos-hall-2 answer lost
//! ```
//!
//! Counted at the targets, 10 ended in 11 seconds, 7 of them after three had. Here 60
//! repetitions end 85 targets as lookups and 60 as operations, and of requests that differ
//! from them by a letter, sent beside them, 2 of 30 are served.

mod support;

use std::thread;
use std::time::Duration;

use lynxcleat_standin::TargetFaults;
use rstest::rstest;
use serde_json::json;
use support::{Fleet, Plan, Reply, tree, try_call};

/// The path of the request that ends targets.
const ENDS: &str = "/records/7";
/// Targets that may end under one request before it is refused, as the settings say unless
/// they say otherwise.
const CRASH_LIMIT: u64 = 3;
/// Repetitions that may be under way when the last of these ends becomes known.
const UNDER_WAY: u64 = 3;
/// Time between two repetitions.
const REPEATED: Duration = Duration::from_millis(50);
/// Time after which a target that ended is back.
const BACK_MS: u64 = 200;

fn fleet(name: &'static str) -> Fleet {
    let mut plan = Plan::new(name);
    plan.workers = 6;
    plan.processes = true;
    plan.service = Duration::from_millis(10);
    plan.tree = tree(json!({"reroute_limit": 6, "retry_percent": 100}));
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

/// A request as one caller sends it.
#[derive(Clone, Copy)]
struct Sent<'a> {
    method: &'a str,
    path: &'a str,
    caller: &'a str,
    body: &'a str,
}

const BAD: Sent = Sent {
    method: "GET",
    path: ENDS,
    caller: "ends",
    body: "",
};

/// Sends a request to the daemon whose turn it is.
fn send(fleet: &Fleet, turn: usize, sent: Sent) -> std::io::Result<Reply> {
    let worker = &fleet.workers[turn % fleet.workers.len()];
    let headers = [("Host", "stock"), ("authorization", sent.caller)];
    let body = sent.body.as_bytes();
    try_call(&worker.callers, sent.method, sent.path, &headers, body)
}

fn repeat(fleet: &Fleet, sent: Sent, times: usize) -> Vec<Reply> {
    let replies = (0..times).map(|turn| {
        thread::sleep(REPEATED);
        send(fleet, turn, sent).expect("an answer")
    });
    replies.collect()
}

fn ends(fleet: &Fleet) -> u64 {
    fleet.workers.iter().map(|one| one.target.ends()).sum()
}

fn begun(fleet: &Fleet) -> u64 {
    fleet.workers.iter().map(|one| one.target.ending()).sum()
}

#[rstest]
#[case::lookup("GET", "")]
#[case::operation("POST", "ends")]
fn a_request_that_ends_its_targets_is_refused_by_all_after_three(
    #[case] method: &str,
    #[case] body: &str,
) {
    let fleet = fleet(if body.is_empty() {
        "crashing-lookup"
    } else {
        "crashing-operation"
    });
    let bad = Sent {
        method,
        body,
        ..BAD
    };
    let replies = repeat(&fleet, bad, 60);
    let (ends, begun) = (ends(&fleet), begun(&fleet));
    println!("{ends} targets ended, {begun} runs begun");
    assert!(
        begun <= CRASH_LIMIT + UNDER_WAY,
        "{begun} runs begun, {ends} targets ended"
    );
    let last = replies.last().expect("60 replies");
    assert_eq!(last.status, 503, "{}", last.head);
    assert_eq!(last.outcome(), "not-run");
}

/// Requests that differ from the one that ends targets in one thing only.
const OTHERS: [Sent<'static>; 4] = [
    Sent {
        path: "/records/8",
        ..BAD
    },
    Sent {
        caller: "somebody else",
        ..BAD
    },
    Sent {
        body: "endS",
        ..BAD
    },
    Sent {
        method: "POST",
        body: "another",
        ..BAD
    },
];

#[test]
fn requests_that_are_like_it_are_served() {
    let fleet = fleet("crashing-others");
    thread::scope(|scope| {
        let bad = scope.spawn(|| repeat(&fleet, BAD, 60));
        bad.join().expect("a caller");
        let others = OTHERS.map(|sent| {
            let fleet = &fleet;
            scope.spawn(move || repeat(fleet, sent, 30))
        });
        let again = scope.spawn(|| repeat(&fleet, BAD, 30));
        for (other, sent) in others.into_iter().zip(OTHERS) {
            let replies = other.join().expect("a caller");
            let good = replies.iter().filter(|reply| reply.status == 200).count();
            let path = sent.path;
            assert_eq!(
                good,
                replies.len(),
                "{} {path} of {}",
                sent.method,
                sent.caller
            );
        }
        again.join().expect("a caller");
    });
}
