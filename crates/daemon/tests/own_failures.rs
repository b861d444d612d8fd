//! A caller repeated an operation that no target could run. Each failure was charged to the
//! target that had run it, and five in a row eject one: after some twenty repetitions a daemon
//! had no target left, and refused the calls of all others while every target was well.

mod support;

use lynxcleat_standin::{BadRun, TargetFaults};
use rstest::rstest;
use serde_json::json;
use support::{Fleet, Plan, tree, try_call};

/// The path of the operation that no target can run.
const FAILS: &str = "/records/7";
/// Repetitions: enough to eject each of four targets by five failures in a row, twice over.
const REPETITIONS: usize = 40;
/// Calls of others afterwards.
const OTHERS: usize = 20;

fn fleet(name: &'static str, failure: BadRun) -> Fleet {
    let mut plan = Plan::new(name);
    plan.workers = 4;
    plan.tree = tree(json!({"eject_failures": 5, "eject_ms": 60_000}));
    let fleet = plan.start();
    for worker in &fleet.workers {
        worker.target.set_faults(TargetFaults {
            fails_on: FAILS.to_owned(),
            failure,
            ..TargetFaults::default()
        });
    }
    fleet
}

/// Sends a request to the first daemon, with so many milliseconds to go.
fn is_served(fleet: &Fleet, method: &str, path: &str, deadline_ms: &str) -> bool {
    let headers = [("Host", "stock"), ("Lynxcleat-Deadline-Ms", deadline_ms)];
    let reply = try_call(&fleet.workers[0].callers, method, path, &headers, b"one");
    reply.is_ok_and(|reply| reply.status == 200)
}

#[rstest]
#[case::answered("own-failures-answered", BadRun::Answered)]
#[case::dropped("own-failures-dropped", BadRun::Dropped)]
#[case::hung("own-failures-hung", BadRun::Hung)]
fn an_operation_that_fails_everywhere_ejects_no_target(
    #[case] name: &'static str,
    #[case] failure: BadRun,
) {
    let fleet = fleet(name, failure);
    for _ in 0..REPETITIONS {
        assert!(!is_served(&fleet, "POST", FAILS, "100"));
    }
    let others = (0..OTHERS).filter(|number| {
        let path = format!("/records/other/{number}");
        is_served(&fleet, "POST", &path, "2000")
    });
    assert_eq!(others.count(), OTHERS, "calls of others that were served");
}

/// Failures that a target brings about still speak against it, also those of one request.
#[test]
fn a_target_that_fails_what_others_run_is_ejected() {
    let fleet = fleet("own-failures-target", BadRun::Answered);
    let bad = &fleet.workers[0].target;
    bad.set_faults(TargetFaults {
        fail_fast: true,
        ..TargetFaults::default()
    });
    let served = (0..100).filter(|_| is_served(&fleet, "POST", "/records/8", "2000"));
    let served = served.count();
    let failed = bad.served();
    assert!((1..=5).contains(&failed), "{failed} calls at it");
    assert_eq!(served as u64, 100 - failed);
}
