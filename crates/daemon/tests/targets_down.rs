//! Targets ended one after the other while others of their service stood nearly idle, and calls
//! were refused all the same. The daemon beside a target that is down says at once and truly
//! that it did not run a call; the router took that for one of the few attempts of the call,
//! against the budget of further attempts, and went on choosing the target until it had
//! refused it five times.
//!
//! The line of such a call, with seven idle targets among those considered:
//!
//! ```text
//! call routed  verdict=not-run: Refused(TargetDown)  took_us=310
//! ```
//!
//! With three of ten targets down at a time, 5.6 to 11.4 % of the calls were refused.

mod support;

use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use support::{Plan, call_evenly};

/// Time after which the next target ends.
const NEXT: Duration = Duration::from_millis(700);
/// Time after which one that ended is back: three of them are down at a time.
const BACK: Duration = Duration::from_secs(2);
/// Calls a second: a tenth of what the targets that are up can serve.
const PER_S: u64 = 100;
/// Time for which they are sent.
const MEASURED: Duration = Duration::from_secs(8);
/// Share of the calls that have to be served, in per mille. The rest were in hand at an end.
const SERVED_PERMILLE: usize = 995;

#[test]
fn calls_go_on_to_the_targets_that_are_up() {
    let mut plan = Plan::new("targets-down");
    plan.workers = 10;
    plan.processes = true;
    plan.service = Duration::from_millis(10);
    let fleet = plan.start();
    let over = AtomicBool::new(false);
    let sent = thread::scope(|scope| {
        scope.spawn(|| {
            for turn in 0.. {
                thread::sleep(NEXT);
                if over.load(Ordering::Relaxed) {
                    return;
                }
                let worker = &fleet.workers[turn % fleet.workers.len()];
                worker.target.end(BACK);
            }
        });
        let sent = call_evenly(&fleet, PER_S, MEASURED);
        over.store(true, Ordering::Relaxed);
        sent
    });
    let served = sent.iter().filter(|call| call.is_served()).count();
    let others = sent.iter().filter(|call| !call.is_served());
    let others: Vec<_> = others.map(|call| (call.due, call.status)).collect();
    println!("{served} of {} served; {others:?}", sent.len());
    assert!(
        served * 1_000 >= sent.len() * SERVED_PERMILLE,
        "{served} of {} served; {others:?}",
        sent.len()
    );
}
