//! A host was suspended for seconds. Its daemon went by a clock that stands still meanwhile, so
//! to it no time had passed: calls whose deadlines were over for everybody else were still sent
//! to the target when it woke, and wall time was behind for good.

mod support;

use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

use lynxcleat_daemon::{Clock, since_boot};
use lynxcleat_standin::{TargetFaults, wait_until};
use support::{Fleet, PATIENCE, Plan, call};

/// How long the host of the test was suspended so far, in milliseconds.
static SUSPENDED_MS: AtomicU64 = AtomicU64::new(0);
/// The same for the clock that is tested by itself.
static ALONE_MS: AtomicU64 = AtomicU64::new(0);

fn shifted_by(suspended: &AtomicU64) -> Duration {
    since_boot() + Duration::from_millis(suspended.load(Ordering::Relaxed))
}

fn read_time() -> Duration {
    shifted_by(&SUSPENDED_MS)
}

fn read_time_alone() -> Duration {
    shifted_by(&ALONE_MS)
}

#[test]
fn the_clock_counts_a_suspension() {
    let clock = Clock::start_by(read_time_alone);
    let (now, wall_ms) = (clock.now(), clock.wall_ms());
    let due = now + 6_000_000;
    ALONE_MS.fetch_add(5_000, Ordering::Relaxed);
    assert!(clock.now() >= now + 5_000_000);
    assert!(clock.wall_ms() >= wall_ms + 5_000);
    assert!(clock.suspended() >= Duration::from_millis(4_990));
    let left = clock
        .instant(due)
        .duration_since(tokio::time::Instant::now());
    assert!(left <= Duration::from_secs(1), "{left:?}");
    assert!(clock.instant(now) <= tokio::time::Instant::now(), "over");
}

fn suspensions(fleet: &Fleet) -> String {
    let ops = &fleet.workers[0].entry.ops;
    let metrics = call(ops, "GET", "/metrics", &[], b"");
    let text = String::from_utf8(metrics.body).expect("text");
    let line = text
        .lines()
        .find(|line| line.starts_with("lynxcleat_suspensions_total"));
    line.unwrap_or_default().to_owned()
}

/// One call has the only slot, another waits for it, and the host is suspended until both are
/// over.
#[test]
fn a_call_that_was_over_before_the_host_woke_is_not_run() {
    let mut plan = Plan::new("suspension");
    plan.workers = 1;
    plan.slots = 1;
    plan.read_time = read_time;
    plan.tree = support::tree(serde_json::json!({"slots": 1, "deadline_ms": 8_000}));
    let fleet = plan.start();
    let target = &fleet.workers[0].target;
    target.set_faults(TargetFaults {
        frozen: true,
        ..TargetFaults::default()
    });
    thread::scope(|scope| {
        let first = scope.spawn(|| fleet.workers[0].get("/first", &[]));
        assert!(wait_until(PATIENCE, || target.served() == 1));
        let held = scope.spawn(|| fleet.workers[0].get("/held", &[]));
        let is_held = || fleet.workers[0].status().is_some_and(|s| s.held == 1);
        assert!(wait_until(PATIENCE, is_held));
        SUSPENDED_MS.fetch_add(20_000, Ordering::Relaxed);
        let noticed = "lynxcleat_suspensions_total 1";
        assert!(wait_until(PATIENCE, || suspensions(&fleet) == noticed));
        target.set_faults(TargetFaults::default());
        let statuses = [first, held].map(|call| call.join().expect("a caller").status);
        assert_ne!(statuses[1], 200);
        assert_eq!(target.served(), 1, "{statuses:?}");
    });
    let serves = || fleet.workers[0].get("/after", &[]).status == 200;
    assert!(wait_until(PATIENCE, serves), "it goes on");
}
