//! Targets that state in their answers the rate that they take, and that they leave: our own
//! interface, with real daemons.

mod support;

use std::thread;
use std::time::{Duration, Instant};

use lynxcleat_standin::{TargetFaults, wait_until};
use support::{Fleet, PATIENCE, Plan, tree};

/// A limit that a target states, in calls a second.
const LIMIT: f64 = 10.0;
/// Time for which calls are made.
const DRIVEN: Duration = Duration::from_secs(4);

fn stating(limit: &str) -> TargetFaults {
    TargetFaults {
        rate_limit: limit.to_owned(),
        ..TargetFaults::default()
    }
}

fn leaving() -> TargetFaults {
    TargetFaults {
        says_leaving: true,
        ..TargetFaults::default()
    }
}

fn fleet(name: &'static str) -> Fleet {
    let plan = Plan {
        workers: 3,
        tree: tree(serde_json::json!({})),
        ..Plan::new(name)
    };
    plan.start()
}

/// Calls at every daemon, one after the other, for a time; how many were not served.
fn drive(fleet: &Fleet, time: Duration) -> usize {
    let until = Instant::now() + time;
    let client = |worker: &support::Worker| {
        let mut refused = 0;
        while Instant::now() < until {
            refused += usize::from(worker.get("/a", &[]).status != 200);
            thread::sleep(Duration::from_millis(5));
        }
        refused
    };
    thread::scope(|scope| {
        let clients: Vec<_> = fleet
            .workers
            .iter()
            .map(|worker| scope.spawn(|| client(worker)))
            .collect();
        clients
            .into_iter()
            .map(|client| client.join().expect("client"))
            .sum()
    })
}

#[test]
fn a_target_that_states_a_limit_gets_no_more_from_all_daemons_together() {
    let fleet = fleet("rate-limit");
    drive(&fleet, DRIVEN / 4);
    let limited = &fleet.workers[1].target;
    limited.set_faults(stating(&LIMIT.to_string()));
    drive(&fleet, DRIVEN / 4);
    let (before, begun) = (limited.served(), Instant::now());
    let refused = drive(&fleet, DRIVEN);
    let got = (limited.served() - before) as f64;
    let most = LIMIT * begun.elapsed().as_secs_f64() * 1.5 + 5.0;
    assert!(got <= most, "{got} calls, {most} allowed");
    assert_eq!(refused, 0, "the other targets have room");
    let answer = fleet.workers[0].get("/a", &[]);
    assert_eq!(answer.header("lynxcleat-rate-limit"), None);
    limited.set_faults(TargetFaults::default());
    let before = limited.served();
    drive(&fleet, DRIVEN);
    let after = (limited.served() - before) as f64;
    assert!(after > 2.0 * most, "{after} calls after the limit ended");
}

#[test]
fn a_target_that_says_it_leaves_is_back_when_it_was_started_again() {
    let fleet = fleet("says-leaving");
    drive(&fleet, DRIVEN / 4);
    let target = &fleet.workers[1].target;
    target.set_faults(leaving());
    let left = || {
        fleet.workers[1]
            .status()
            .is_some_and(|status| status.leaving)
    };
    let heard = wait_until(PATIENCE, || {
        drive(&fleet, DRIVEN / 40);
        left()
    });
    assert!(heard, "it is left");
    drive(&fleet, DRIVEN / 8);
    let before = target.served();
    assert_eq!(drive(&fleet, DRIVEN / 2), 0);
    assert_eq!(target.served(), before);
    target.set_faults(TargetFaults::default());
    target.end(Duration::from_millis(600));
    let back = wait_until(PATIENCE, || {
        drive(&fleet, DRIVEN / 40);
        target.served() > before
    });
    assert!(back, "{}", fleet.describe());
}
