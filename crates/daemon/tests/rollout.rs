//! An accepted configuration is in force everywhere within seconds and never
//! falls back, whatever the platform does.

mod support;

use std::time::{Duration, Instant};

use lynxcleat_settings::{Conflict, Effective, Tree};
use lynxcleat_standin::{PlatformFaults, wait_until};
use lynxcleat_store::{AcceptError, AcceptRequest, AuditEntry, accept, history};
use serde_json::json;
use support::{Fleet, PATIENCE, Plan, tree};

fn in_force_everywhere(fleet: &Fleet, generation: u64) -> bool {
    let running = fleet.workers.iter().filter(|w| w.daemon.is_some());
    running.fold(true, |all, worker| {
        let status = worker.status();
        all && status.is_some_and(|s| s.generation >= generation)
    })
}

fn edited(hold_limit: u64) -> Tree {
    tree(json!({"hold_limit": hold_limit}))
}

fn request(base: u64, tree: Tree, who: &str) -> AcceptRequest {
    AcceptRequest {
        tree,
        base,
        who: who.to_owned(),
        note: String::new(),
        change_id: format!("{who}-{base}"),
        when_ms: 1,
        outcome_timeout: Duration::from_secs(5),
    }
}

/// The audit trail, and that it holds every change of every generation once.
fn audit(fleet: &Fleet) -> Vec<AuditEntry> {
    let rows = fleet
        .client()
        .scan("audit/change/", "", 10_000)
        .expect("the trail");
    let entries: Vec<AuditEntry> = rows
        .into_iter()
        .map(|row| serde_json::from_value(row.value).expect("an entry"))
        .collect();
    let generations = history(&fleet.client(), 0, 1_000).expect("the history");
    for generation in generations {
        let of_it = entries
            .iter()
            .filter(|e| e.generation == generation.generation);
        assert_eq!(of_it.count(), generation.changes, "{generation:?}");
    }
    entries
}

#[test]
fn a_change_is_in_force_at_24_daemons_within_seconds() {
    let mut plan = Plan::new("rollout-24");
    plan.workers = 24;
    plan.tree = tree(json!({"poll_ms": 1_000, "host_list_ms": 300}));
    let fleet = plan.start();
    let mut longest = Duration::ZERO;
    for base in 1..=3 {
        let overrides = json!({"poll_ms": 1_000, "host_list_ms": 300, "hold_limit": 10 + base});
        let begun = Instant::now();
        fleet.accept(base, tree(overrides), &format!("change-{base}"));
        assert!(wait_until(PATIENCE, || in_force_everywhere(
            &fleet,
            base + 1
        )));
        longest = longest.max(begun.elapsed());
    }
    println!("longest of 3 changes at 24 daemons: {longest:?}");
    assert!(longest < Duration::from_secs(10), "{longest:?}");
}

#[test]
fn racing_operators_merge_by_path_or_conflict_and_the_trail_holds_each_change_once() {
    let mut plan = Plan::new("rollout-race");
    plan.workers = 1;
    let fleet = plan.start();
    let outcomes: Vec<_> = std::thread::scope(|scope| {
        let operators: Vec<_> = (0..8)
            .map(|n| {
                let client = fleet.client();
                scope.spawn(move || {
                    let mut mine = tree(json!({}));
                    let path = if n < 4 {
                        "root.slots"
                    } else {
                        "places.west.slots"
                    };
                    let path = if n == 7 { "places.east.slots" } else { path };
                    mine.set(path, json!(20 + n)).expect("a good edit");
                    accept(&client, &request(1, mine, &format!("operator-{n}")))
                })
            })
            .collect();
        operators
            .into_iter()
            .map(|o| o.join().expect("joined"))
            .collect()
    });
    let accepted = outcomes.iter().filter(|o| o.is_ok()).count();
    assert_eq!(accepted, 3, "one a path: {outcomes:?}");
    for refused in outcomes.iter().filter_map(|o| o.as_ref().err()) {
        let AcceptError::Conflict(conflict) = refused else {
            panic!("{refused}");
        };
        assert!(matches!(&**conflict, Conflict::SamePath { theirs, .. } if theirs.new.is_some()));
    }
    let changed = audit(&fleet).iter().filter(|e| e.generation > 1).count();
    assert_eq!(changed, 3);
    assert!(wait_until(PATIENCE, || in_force_everywhere(&fleet, 4)));
}

#[test]
fn a_lost_reply_is_settled_by_reading_back() {
    let mut plan = Plan::new("rollout-lost");
    plan.workers = 1;
    let fleet = plan.start();
    fleet.platform.set_faults(PlatformFaults {
        lose_replies: 2,
        stale_reads_ms: 300,
        ..PlatformFaults::default()
    });
    let first = accept(&fleet.client(), &request(1, edited(11), "lost"));
    assert_eq!(first.expect("accepted").generation, 2);
    let again = accept(&fleet.client(), &request(1, edited(11), "lost"));
    assert_eq!(again.expect("the same").generation, 2);
    assert!(wait_until(PATIENCE, || {
        history(&fleet.client(), 0, 10).is_ok_and(|h| h.len() == 2)
    }));
    fleet.platform.set_faults(PlatformFaults::default());
    assert_eq!(
        audit(&fleet).iter().filter(|e| e.generation == 2).count(),
        1
    );
}

#[test]
fn with_the_platform_down_nothing_is_accepted_and_what_is_in_force_stays() {
    let fleet = Plan::new("rollout-down").start();
    fleet.platform.set_faults(PlatformFaults {
        down: true,
        ..PlatformFaults::default()
    });
    let refused = accept(&fleet.client(), &request(1, edited(11), "down"));
    assert!(
        matches!(refused, Err(AcceptError::Platform(_))),
        "{refused:?}"
    );
    std::thread::sleep(Duration::from_millis(500));
    assert!(
        fleet
            .workers
            .iter()
            .all(|w| w.status().is_some_and(|s| s.generation == 1))
    );
    assert_eq!(fleet.workers[0].get("/", &[]).status, 200);
    fleet.platform.set_faults(PlatformFaults::default());
    fleet.accept(1, edited(11), "up again");
    assert!(wait_until(PATIENCE, || in_force_everywhere(&fleet, 2)));
}

#[test]
fn a_daemon_that_starts_while_the_platform_is_down_learns_the_newest_from_its_peers() {
    let mut plan = Plan::new("rollout-seeds");
    plan.processes = true;
    plan.workers = 3;
    plan.seeds = true;
    let mut fleet = plan.start();
    fleet.accept(1, edited(11), "second");
    assert!(wait_until(PATIENCE, || in_force_everywhere(&fleet, 2)));
    fleet.platform.set_faults(PlatformFaults {
        down: true,
        ..PlatformFaults::default()
    });
    fleet.kill(2);
    fleet.restart(2);
    let restarted = &fleet.workers[2];
    let ready = || restarted.status().is_some_and(|s| s.generation == 2);
    assert!(wait_until(PATIENCE, ready));
}

#[test]
fn a_daemon_without_settings_serves_nothing_and_says_so() {
    let mut plan = Plan::new("rollout-none");
    plan.processes = true;
    plan.workers = 1;
    let mut fleet = plan.start();
    fleet.platform.set_faults(PlatformFaults {
        down: true,
        ..PlatformFaults::default()
    });
    fleet.kill(0);
    fleet.restart(0);
    let worker = &fleet.workers[0];
    assert!(wait_until(PATIENCE, || worker.status().is_some()));
    let reply = worker.get("/", &[]);
    assert_eq!((reply.status, &*reply.outcome()), (503, "not-run"));
    assert!(reply.header("retry-after").is_some());
}

#[test]
fn old_reads_and_a_woken_daemon_never_bring_an_older_generation_back() {
    let mut plan = Plan::new("rollout-stale");
    plan.processes = true;
    plan.workers = 3;
    let fleet = plan.start();
    fleet.signal(0, "-STOP");
    for base in 1..=4 {
        fleet.accept(base, edited(10 + base), &format!("change-{base}"));
    }
    let others = || {
        let mut rest = fleet.workers[1..].iter();
        rest.all(|w| w.status().is_some_and(|s| s.generation == 5))
    };
    assert!(wait_until(PATIENCE, others));
    // From now on the table is read as it was before the first of the changes.
    fleet.platform.set_faults(PlatformFaults {
        stale_reads_ms: 600_000,
        ..PlatformFaults::default()
    });
    fleet.signal(0, "-CONT");
    // The woken daemon can learn only from its peers; nobody may go back.
    fleet.workers[0].get("/", &[]);
    let mut highest = [1; 3];
    assert!(wait_until(PATIENCE, || {
        for (highest, worker) in highest.iter_mut().zip(&fleet.workers) {
            let seen = worker.status().map_or(*highest, |s| s.generation);
            assert!(seen >= *highest, "{} fell back", worker.host);
            *highest = seen;
        }
        highest.iter().all(|seen| *seen == 5)
    }));
}

#[test]
fn new_values_govern_calls_as_soon_as_they_are_in_force() {
    let mut plan = Plan::new("rollout-govern");
    plan.workers = 1;
    let fleet = plan.start();
    assert_eq!(fleet.workers[0].post(&[], &[b'x'; 2_000]).status, 200);
    let smaller = tree(json!({"body_limit_bytes": 1_000}));
    assert_eq!(
        Effective::of(&smaller, "east", "stock").body_limit_bytes,
        1_000
    );
    fleet.accept(1, smaller, "smaller");
    assert!(wait_until(PATIENCE, || in_force_everywhere(&fleet, 2)));
    assert_eq!(fleet.workers[0].post(&[], &[b'x'; 2_000]).status, 413);
}
