//! One test for every fault that was found.

mod support;

use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use lynxcleat_standin::{PlatformFaults, wait_until};
use lynxcleat_store::HostEntry;
use serde_json::json;
use support::{
    PATIENCE, Plan, answer, call, each_gets_its_own, odd_target, read_call, read_path, tree,
    try_call,
};

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

/// Found by the recorded day of trinacria-desks (inc-d6d7): the address of a host that was
/// gone went to a host of another service. Routers took its daemon for the old one, and it
/// refused every call that they sent, for the rest of the day.
#[test]
fn a_host_at_the_address_of_one_that_is_gone_gets_none_of_its_calls() {
    let mut plan = Plan::new("regression-address");
    plan.workers = 2;
    plan.processes = true;
    let mut fleet = plan.start();
    let other = fleet.add_outsider("other-1");
    let gone = HostEntry {
        host: "stock-gone".to_owned(),
        service: "stock".to_owned(),
        ..fleet.workers[other].entry.clone()
    };
    fleet.platform.put_host(gone);
    let worker = &fleet.workers[0];
    let is_listed = || worker.status().is_some_and(|status| status.hosts == 4);
    assert!(wait_until(PATIENCE, is_listed));
    for _ in 0..60 {
        assert_eq!(worker.get("/items/1", &[]).status, 200);
    }
    let refused = fleet.workers[other].metric("lynxcleat_target_refusals");
    assert_eq!(refused, 0.0, "calls for another service");
}

/// Found by the soak (seed 3): a daemon that started while the platform was down had read
/// no host list, took the empty one for all there is, and said "not run" of an operation
/// that had run at a host it did not know.
#[test]
fn a_daemon_that_knows_no_hosts_vouches_for_none() {
    let mut plan = Plan::new("regression-no-hosts");
    plan.workers = 3;
    plan.processes = true;
    plan.seeds = true;
    plan.service = Duration::from_millis(300);
    let mut fleet = plan.start();
    fleet.platform.set_faults(PlatformFaults {
        down: true,
        ..PlatformFaults::default()
    });
    fleet.kill(2);
    fleet.restart(2);
    let has_settings = || fleet.workers[2].status().is_some_and(|s| s.generation > 0);
    assert!(wait_until(PATIENCE, has_settings), "settings from a seed");
    assert_eq!(fleet.workers[2].status().expect("a status").hosts, 0);
    let ticket = fleet.workers[0].ticket();
    let headers = [("Lynxcleat-Ticket", ticket.as_str()), ("x-op", "a")];
    std::thread::scope(|scope| {
        let guard = fleet.workers[0].callers.clone();
        scope.spawn(move || {
            let mut all = vec![("Host", "stock")];
            all.extend_from_slice(&headers);
            // The guard is killed under it.
            let _ = try_call(&guard, "POST", "/take", &all, b"one");
        });
        let runs = || {
            fleet
                .workers
                .iter()
                .any(|worker| worker.target.served() > 0)
        };
        assert!(wait_until(PATIENCE, runs), "a call at a target");
        for number in [0, 1] {
            fleet.signal(number, "-KILL");
        }
    });
    assert!(wait_until(PATIENCE, || fleet.ledger().contains_key("a")));
    let reply = fleet.workers[2].post(&headers, b"one");
    assert_eq!(reply.outcome(), "unknown", "{}", reply.head);
}

/// A daemon said that its settings were in force as soon as it had read them, before its
/// parts had them: on a busy host the first calls after a start were refused, "not run:
/// Refused(TargetDown)" after 88 us, of a target that was up.
#[test]
fn settings_are_in_force_only_when_every_part_has_them() {
    let mut plan = Plan::new("regression-in-force");
    plan.workers = 0;
    let mut fleet = plan.start();
    let mut builder = tokio::runtime::Builder::new_multi_thread();
    fleet.runtime = builder
        .worker_threads(1)
        .enable_all()
        .build()
        .expect("a runtime");
    fleet.platform.set_faults(PlatformFaults {
        delay_ms: 400,
        ..PlatformFaults::default()
    });
    fleet.add(0, &Plan::new("regression-in-force"), None);
    let worker = &fleet.workers[0];
    let (hold, held) = flume::bounded::<()>(0);
    let (release, released) = flume::bounded::<()>(0);
    // The settings are read beside the runtime, which has no thread left to pass them on.
    fleet.runtime.spawn(async move {
        hold.send(()).expect("the test waits");
        let _ = released.recv();
    });
    held.recv().expect("the runtime is held");
    let has_settings = || worker.status().is_some_and(|status| status.generation > 0);
    let said_early = wait_until(Duration::from_secs(2), has_settings);
    let health = call(&worker.entry.ops, "GET", "/health", &[], b"");
    // What comes into force now was read while the runtime was held.
    fleet.platform.set_faults(PlatformFaults {
        down: true,
        ..PlatformFaults::default()
    });
    drop(release);
    assert!(wait_until(PATIENCE, has_settings), "settings were read");
    assert!(!said_early, "no part had the settings yet");
    assert_eq!(health.status, 503, "no call can be served yet");
    assert_eq!(worker.get("/items/1", &[]).status, 200);
}

/// A connection was closed where the whole answer was there before the writing of the request was
/// looked at.
#[test]
fn a_connection_whose_answer_comes_at_once_is_used_again() {
    let closed = Arc::new(AtomicUsize::new(0));
    let count = Arc::clone(&closed);
    let target = odd_target(move |mut stream, _| {
        while let Some((_, call)) = read_call(&mut stream) {
            let head = format!("HTTP/1.1 200 OK\r\nLynxcleat-Call: {call}\r\n");
            let _ = stream.write_all((head + "Content-Length: 2\r\n\r\nok").as_bytes());
        }
        count.fetch_add(1, Ordering::Relaxed);
    });
    let fleet = Plan::new("answers-at-once").start_with_target(&target);
    for _ in 0..300 {
        assert_eq!(fleet.workers[0].get("/items/1", &[]).status, 200);
        // The connection rests meanwhile.
        thread::sleep(Duration::from_millis(4));
    }
    assert_eq!(closed.load(Ordering::Relaxed), 0, "connections closed");
}
