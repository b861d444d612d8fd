//! The bytes that a daemon sends to other regions are bounded.

mod support;

use lynxcleat_standin::{TargetFaults, wait_until};
use rstest::rstest;
use serde_json::json;
use support::{PATIENCE, Plan, Running, Worker, call, tree};

const CALLS: usize = 30;

fn metric(worker: &Worker, name: &str) -> u64 {
    let Some(Running::Here(daemon)) = &worker.daemon else {
        panic!("it runs in this process");
    };
    let metrics = daemon.metrics();
    let line = metrics.lines().find_map(|line| line.strip_prefix(name));
    line.map_or(0, |value| value.trim().parse().expect("a number"))
}

/// The own region has no target: calls go to the other one while there are bytes for it, and
/// the others are refused as not run.
#[rstest]
#[case::without_a_bound(0)]
#[case::less_than_a_call_in_a_second(2_000)]
fn calls_that_find_no_bytes_to_another_region_are_refused(#[case] bytes_per_s: u64) {
    let mut plan = Plan::new("regions");
    plan.regions = true;
    plan.tree = tree(json!({"region_send_bytes_per_s": bytes_per_s, "body_limit_bytes": 100_000}));
    let fleet = plan.start();
    let (home, other) = (&fleet.workers[0], &fleet.workers[1]);
    home.target.set_faults(TargetFaults {
        draining: true,
        ..TargetFaults::default()
    });
    let send = |number: usize| {
        let headers = [("Host", "stock"), ("x-echo", "e")];
        let path = format!("/items/{number}");
        call(&home.callers, "POST", &path, &headers, &[b'a'; 20_000])
    };
    let crosses = || {
        let before = other.target.served();
        send(0);
        other.target.served() > before
    };
    // A call may cross before that, while the link to the home target is being made.
    let is_left = || home.status().is_some_and(|status| status.leaving);
    assert!(wait_until(PATIENCE, is_left), "{}", fleet.describe());
    assert!(wait_until(PATIENCE, crosses), "{}", fleet.describe());
    let before = other.target.served();
    let statuses: Vec<u16> = (0..CALLS).map(|number| send(number).status).collect();
    let served = statuses.iter().filter(|status| **status == 200).count();
    let refused = statuses.iter().filter(|status| **status == 503).count();
    assert_eq!(served + refused, CALLS, "{statuses:?}");
    assert_eq!(other.target.served() - before, served as u64);
    let short = metric(home, "lynxcleat_region_short_total ");
    match bytes_per_s {
        0 => assert_eq!((refused, short), (0, 0)),
        _ => assert!(refused > 0 && short > 0, "{statuses:?}, {short}"),
    }
}
