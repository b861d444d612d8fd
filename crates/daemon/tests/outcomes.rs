//! `not-run` is true and a once-only operation runs at most once, with daemons as
//! processes that are killed, frozen and replaced. The oracle is the targets' own
//! ledger.

mod support;

use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use lynxcleat_standin::{PlatformFaults, TargetFaults, wait_until};
use serde_json::json;
use support::{Fleet, PATIENCE, Plan, Reply, tree, try_call};

const SERVICE: Duration = Duration::from_millis(400);
const SETTLE: Duration = Duration::from_secs(4);

fn processes(name: &'static str) -> Fleet {
    let mut plan = Plan::new(name);
    plan.processes = true;
    plan.workers = 3;
    plan.service = SERVICE;
    plan.start()
}

/// A call under a ticket or a key, in a thread of its own.
fn take(
    address: &str,
    op: &str,
    name: &str,
    value: &str,
    deadline_ms: u64,
) -> JoinHandle<std::io::Result<Reply>> {
    let deadline = deadline_ms.to_string();
    let texts = [address, op, name, value, &deadline].map(str::to_owned);
    thread::spawn(move || {
        let [address, op, name, value, deadline] = texts;
        let headers = [
            ("Host", "stock"),
            ("x-op", &*op),
            (&*name, &*value),
            ("Lynxcleat-Deadline-Ms", &*deadline),
        ];
        try_call(&address, "POST", "/take", &headers, b"one")
    })
}

const TICKET: &str = "lynxcleat-ticket";
const KEY: &str = "idempotency-key";

/// Waits until a first call has reached some target, and says which.
fn serving(fleet: &Fleet) -> usize {
    let mut found = None;
    wait_until(PATIENCE, || {
        found = fleet.workers.iter().position(|w| w.target.served() > 0);
        found.is_some()
    });
    found.expect("a call at a target")
}

/// Repeats a call until it is told that it ran, or definitely did not, or for as
/// long as a caller might.
fn settle(fleet: &Fleet, at: usize, op: &str, name: &str, value: &str) -> Reply {
    let mut last = None;
    wait_until(SETTLE, || {
        let taken = take(&fleet.workers[at].callers, op, name, value, 3_000);
        let reply = taken.join().expect("a caller").expect("an answer");
        let settled = reply.outcome() != "unknown";
        last = Some(reply);
        settled
    });
    last.expect("an answer")
}

#[test]
fn a_repeated_ticket_gets_the_stored_answer_at_any_daemon_while_running_and_after() {
    let fleet = processes("outcomes-repeat");
    let ticket = fleet.workers[0].ticket();
    let callers: Vec<_> = fleet
        .workers
        .iter()
        .map(|w| take(&w.callers, "a", TICKET, &ticket, 3_000))
        .collect();
    let mut bodies = Vec::new();
    for caller in callers {
        let reply = caller.join().expect("a caller").expect("an answer");
        assert_eq!((reply.status, &*reply.outcome()), (200, "run"));
        bodies.push(reply.body);
    }
    let later = settle(&fleet, 2, "a", TICKET, &ticket);
    assert_eq!(later.header("lynxcleat-replayed").as_deref(), Some("1"));
    bodies.push(later.body);
    assert!(bodies.windows(2).all(|pair| pair[0] == pair[1]));
    assert_eq!(fleet.ledger()["a"], 1);
}

#[test]
fn two_claimants_of_one_key_run_it_once() {
    let fleet = processes("outcomes-claimants");
    let callers: Vec<_> = (0..9)
        .map(|n| take(&fleet.workers[n % 3].callers, "k", KEY, "tyre-17", 3_000))
        .collect();
    for caller in callers {
        let reply = caller.join().expect("a caller").expect("an answer");
        assert_eq!(
            (reply.status, &*reply.outcome()),
            (200, "run"),
            "{}",
            reply.head
        );
    }
    assert_eq!(fleet.ledger()["k"], 1);
}

#[test]
fn with_the_platform_down_keys_are_refused_and_tickets_run() {
    let fleet = processes("outcomes-platform-down");
    fleet.platform.set_faults(PlatformFaults {
        down: true,
        ..PlatformFaults::default()
    });
    let taken = take(&fleet.workers[0].callers, "k", KEY, "key", 3_000);
    let reply = taken.join().expect("a caller").expect("an answer");
    assert_eq!((reply.status, &*reply.outcome()), (503, "not-run"));
    assert!(reply.header("retry-after").is_some());
    let ticket = fleet.workers[1].ticket();
    let reply = settle(&fleet, 0, "t", TICKET, &ticket);
    assert_eq!((reply.status, &*reply.outcome()), (200, "run"));
    assert!(!fleet.ledger().contains_key("k"));
    fleet.platform.set_faults(PlatformFaults::default());
    let reply = settle(&fleet, 0, "k", KEY, "key");
    assert_eq!(reply.outcome(), "run");
    assert_eq!(fleet.ledger()["k"], 1);
}

#[test]
fn a_claim_whose_reply_was_lost_runs_once() {
    let fleet = processes("outcomes-claim-lost");
    fleet.platform.set_faults(PlatformFaults {
        lose_replies: 1,
        ..PlatformFaults::default()
    });
    let reply = settle(&fleet, 0, "k", KEY, "key");
    assert_eq!(reply.outcome(), "run");
    let again = settle(&fleet, 1, "k", KEY, "key");
    assert_eq!(again.body, reply.body);
    assert_eq!(fleet.ledger()["k"], 1);
}

#[test]
fn a_killed_guard_leaves_its_operation_run_once_and_its_answer_found() {
    let mut fleet = processes("outcomes-guard-killed");
    let ticket = fleet.workers[0].ticket();
    // The guard's own target takes no calls, so that only the guard is lost.
    support::call(&fleet.workers[0].entry.ops, "POST", "/drain", &[], b"");
    let taken = take(&fleet.workers[0].callers, "g", TICKET, &ticket, 3_000);
    let at = serving(&fleet);
    assert_ne!(at, 0);
    fleet.kill(0);
    assert!(
        taken.join().expect("a caller").is_err(),
        "its connection broke"
    );
    // The half of the lost daemon cannot be asked; the one that ran it answers.
    let reply = settle(&fleet, 2, "g", TICKET, &ticket);
    assert_eq!(reply.outcome(), "run");
    assert_eq!(reply.json()["target"], format!("stock-{at}"));
    assert_eq!(fleet.ledger()["g"], 1);
}

#[test]
fn an_operation_of_a_killed_guard_that_never_ran_stays_unknown_while_a_half_is_missing() {
    let mut fleet = processes("outcomes-never-ran");
    let ticket = fleet.workers[0].ticket();
    fleet.kill(0);
    let begun = Instant::now();
    let taken = take(&fleet.workers[1].callers, "n", TICKET, &ticket, 3_000);
    let reply = taken.join().expect("a caller").expect("an answer");
    assert_eq!((reply.status, &*reply.outcome()), (504, "unknown"));
    assert!(reply.header("retry-after").is_some());
    assert!(begun.elapsed() < Duration::from_secs(2), "told at once");
    let unsettled = || {
        let rows = fleet.client().scan("audit/unsettled/", "", 10);
        rows.is_ok_and(|rows| rows.len() == 1)
    };
    assert!(wait_until(PATIENCE, unsettled), "it is in the audit trail");
    assert!(fleet.ledger().is_empty());
}

#[test]
fn a_key_of_a_lost_guard_runs_under_a_new_ticket_once_every_half_has_fenced_the_old_one() {
    let mut fleet = processes("outcomes-key-moves");
    // A fourth daemon guards the key and has no target of the service.
    let guard = fleet.add_outsider("outsider");
    fleet.workers[1].target.set_faults(TargetFaults::default());
    fleet.platform.set_faults(PlatformFaults::default());
    // Nothing can run it yet: every target refuses.
    for worker in &fleet.workers[..3] {
        support::call(&worker.entry.ops, "POST", "/drain", &[], b"");
    }
    let taken = take(&fleet.workers[guard].callers, "m", KEY, "moved", 1_000);
    let reply = taken.join().expect("a caller").expect("an answer");
    assert_eq!(reply.outcome(), "not-run");
    for worker in &fleet.workers[..3] {
        support::call(&worker.entry.ops, "POST", "/undrain", &[], b"");
    }
    fleet.kill(guard);
    let reply = settle(&fleet, 1, "m", KEY, "moved");
    assert_eq!((reply.status, &*reply.outcome()), (200, "run"));
    let again = settle(&fleet, 2, "m", KEY, "moved");
    assert_eq!(again.body, reply.body);
    assert_eq!(fleet.ledger()["m"], 1);
}

#[test]
fn a_frozen_guard_that_wakes_runs_nothing_that_others_settled() {
    let fleet = processes("outcomes-frozen");
    let ticket = fleet.workers[0].ticket();
    fleet.signal(0, "-STOP");
    let taken = take(&fleet.workers[0].callers, "f", TICKET, &ticket, 8_000);
    let first = take(&fleet.workers[1].callers, "f", TICKET, &ticket, 2_000);
    let reply = first.join().expect("a caller").expect("an answer");
    assert_eq!(
        reply.outcome(),
        "unknown",
        "the guard's own half is frozen too"
    );
    assert!(fleet.ledger().is_empty());
    fleet.signal(0, "-CONT");
    let woken = taken.join().expect("a caller").expect("an answer");
    let settled = settle(&fleet, 2, "f", TICKET, &ticket);
    let runs = fleet.ledger().get("f").copied().unwrap_or(0);
    assert!(runs <= 1);
    assert_eq!(
        runs == 1,
        settled.outcome() == "run",
        "{} {}",
        woken.head,
        settled.head
    );
}

#[test]
fn a_killed_target_daemon_leaves_an_operation_unknown_at_once_and_run_once() {
    let mut fleet = processes("outcomes-half-killed");
    let ticket = fleet.workers[0].ticket();
    support::call(&fleet.workers[0].entry.ops, "POST", "/drain", &[], b"");
    let begun = Instant::now();
    let taken = take(&fleet.workers[0].callers, "h", TICKET, &ticket, 8_000);
    let at = serving(&fleet);
    fleet.kill(at);
    let reply = taken.join().expect("a caller").expect("an answer");
    assert_eq!((reply.status, &*reply.outcome()), (504, "unknown"));
    assert!(
        begun.elapsed() < Duration::from_secs(4),
        "long before the deadline"
    );
    fleet.restart(at);
    fleet.wait_ready();
    let again = take(&fleet.workers[0].callers, "h", TICKET, &ticket, 2_000);
    let reply = again.join().expect("a caller").expect("an answer");
    assert_eq!(
        reply.outcome(),
        "unknown",
        "the new incarnation cannot vouch"
    );
    let ran = || fleet.ledger().contains_key("h");
    assert!(wait_until(PATIENCE, ran), "the target ran it all the same");
    assert_eq!(fleet.ledger()["h"], 1);
}

#[test]
fn a_host_replaced_at_its_address_is_not_taken_for_the_old_one() {
    let mut fleet = processes("outcomes-replaced");
    let ticket = fleet.workers[0].ticket();
    let reply = settle(&fleet, 0, "r", TICKET, &ticket);
    assert_eq!(reply.outcome(), "run");
    fleet.kill(0);
    fleet.restart(0);
    fleet.wait_ready();
    let again = settle(&fleet, 0, "r", TICKET, &ticket);
    // The half that ran it may be the replaced one; then nobody can tell.
    assert!(again.outcome() != "run" || again.body == reply.body);
    assert_ne!(again.outcome(), "not-run");
    assert_eq!(fleet.ledger()["r"], 1);
}

#[test]
fn a_full_memory_refuses_new_operations_and_still_answers_old_ones() {
    let mut plan = Plan::new("outcomes-full");
    plan.tree = tree(json!({"once_memory_entries": 16}));
    plan.workers = 1;
    let fleet = plan.start();
    let worker = &fleet.workers[0];
    let first = worker.ticket();
    let reply = settle(&fleet, 0, "first", TICKET, &first);
    for n in 1..16 {
        let ticket = worker.ticket();
        let op = format!("op-{n}");
        assert_eq!(settle(&fleet, 0, &op, TICKET, &ticket).outcome(), "run");
    }
    let refused = settle(&fleet, 0, "too-many", TICKET, &worker.ticket());
    assert_eq!((refused.status, &*refused.outcome()), (503, "not-run"));
    assert_eq!(settle(&fleet, 0, "first", TICKET, &first).body, reply.body);
    let ledger = fleet.ledger();
    assert_eq!((ledger.len(), ledger["first"]), (16, 1));
}

#[test]
fn calls_with_effects_and_no_name_are_refused_where_the_settings_say_so() {
    let mut plan = Plan::new("outcomes-required");
    plan.tree = tree(json!({"once": "required"}));
    let fleet = plan.start();
    let reply = fleet.workers[0].post(&[], b"one");
    assert_eq!((reply.status, &*reply.outcome()), (428, "not-run"));
}

#[test]
fn two_faults_together_guard_killed_while_the_platform_is_down() {
    let mut fleet = processes("outcomes-two-faults");
    let ticket = fleet.workers[0].ticket();
    support::call(&fleet.workers[0].entry.ops, "POST", "/drain", &[], b"");
    let taken = take(&fleet.workers[0].callers, "d", TICKET, &ticket, 3_000);
    let at = serving(&fleet);
    fleet.platform.set_faults(PlatformFaults {
        down: true,
        ..PlatformFaults::default()
    });
    fleet.kill(0);
    assert!(taken.join().expect("a caller").is_err());
    let other = if at == 1 { 2 } else { 1 };
    let reply = settle(&fleet, other, "d", TICKET, &ticket);
    assert_eq!(reply.outcome(), "run", "the half that ran it answers");
    assert_eq!(fleet.ledger()["d"], 1);
}

#[test]
fn two_faults_together_target_cut_while_its_daemon_is_frozen() {
    let fleet = processes("outcomes-cut-frozen");
    let ticket = fleet.workers[0].ticket();
    support::call(&fleet.workers[0].entry.ops, "POST", "/drain", &[], b"");
    let taken = take(&fleet.workers[0].callers, "c", TICKET, &ticket, 2_000);
    let at = serving(&fleet);
    fleet.workers[at].target.set_faults(TargetFaults {
        drop_answers: true,
        ..TargetFaults::default()
    });
    fleet.signal(at, "-STOP");
    let reply = taken.join().expect("a caller").expect("an answer");
    assert_eq!(reply.outcome(), "unknown");
    fleet.signal(at, "-CONT");
    let again = take(&fleet.workers[0].callers, "c", TICKET, &ticket, 2_000);
    let again = again.join().expect("a caller").expect("an answer");
    assert_ne!(again.outcome(), "not-run");
    assert_eq!(fleet.ledger()["c"], 1);
}
