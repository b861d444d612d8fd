//! One test for every fault that was found.

mod support;

use std::time::Duration;

use lynxcleat_standin::wait_until;
use serde_json::json;
use support::{PATIENCE, Plan, answer, each_gets_its_own, odd_target, read_path, tree};

/// The second answer on a connection was given to the next caller: connections
/// were used again at once, before the second answer could be noticed.
#[test]
fn a_target_that_answers_twice_confuses_nobody() {
    let target = odd_target(|mut stream, _| {
        while let Some(path) = read_path(&mut stream) {
            answer(&mut stream, &path);
            answer(&mut stream, "the second answer to somebody");
        }
    });
    let fleet = Plan::new("answers-twice").start_with_target(&target);
    for _ in 0..5 {
        each_gets_its_own(&fleet.workers[0].callers, "2000");
    }
}

/// A key was remembered by its guard for ever, with a ticket that had expired: after
/// the retention its calls ended `unknown` until the daemon was restarted.
#[test]
fn a_key_may_be_used_anew_after_its_retention() {
    let mut plan = Plan::new("regression-retention");
    plan.workers = 1;
    plan.service = Duration::from_millis(1);
    plan.tree = tree(json!({"once_retention_ms": 1_000}));
    let fleet = plan.start();
    let headers = [("Idempotency-Key", "k"), ("x-op", "k")];
    let worker = &fleet.workers[0];
    assert_eq!(worker.post(&headers, b"one").outcome(), "run");
    assert_eq!(worker.post(&headers, b"one").outcome(), "run");
    assert_eq!(fleet.ledger()["k"], 1, "within the retention it runs once");
    let anew = || {
        worker.post(&headers, b"one");
        fleet.ledger()["k"] == 2
    };
    assert!(wait_until(PATIENCE, anew));
}
