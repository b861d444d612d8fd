//! A target that is leaving receives no new requests after a few seconds, however
//! the leaving is told, and a planned stop cuts nothing off.

mod support;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use lynxcleat_standin::{PlatformFaults, TargetFaults, wait_until};
use lynxcleat_store::HostState;
use rstest::rstest;
use serde_json::json;
use support::{Fleet, PATIENCE, Plan, Running, call, tree};

/// What tells that worker 0's target leaves.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Told {
    Target,
    List,
    Operator,
}

/// Calls every daemon in turn until told to end; returns the answers that were
/// not a good one.
fn keep_calling(fleet: &Fleet, over: &Arc<AtomicBool>) -> Vec<thread::JoinHandle<Vec<String>>> {
    let workers = fleet.workers.iter();
    workers
        .map(|worker| {
            let (address, over) = (worker.callers.clone(), Arc::clone(over));
            thread::spawn(move || {
                let mut bad = Vec::new();
                while !over.load(Ordering::Relaxed) {
                    let headers = [("Host", "stock"), ("x-echo", "e")];
                    match support::try_call(&address, "GET", "/items/1", &headers, b"") {
                        Ok(reply) if reply.status == 200 => {}
                        Ok(reply) => bad.push(reply.head),
                        Err(error) => bad.push(error.to_string()),
                    }
                }
                bad
            })
        })
        .collect()
}

#[rstest]
#[case::by_the_target(Told::Target)]
#[case::by_the_list(Told::List)]
#[case::by_an_operator(Told::Operator)]
fn a_leaving_target_gets_no_new_calls_and_nobody_notices(#[case] told: Told) {
    let mut plan = Plan::new("leaving");
    plan.workers = 3;
    let fleet = plan.start();
    // The list lags, and the endpoint claims the load of an idle target.
    fleet.platform.set_faults(PlatformFaults {
        list_lag_ms: if told == Told::List { 0 } else { 10_000 },
        ..PlatformFaults::default()
    });
    let over = Arc::new(AtomicBool::new(false));
    let callers = keep_calling(&fleet, &over);
    let leaving = &fleet.workers[0];
    assert!(
        wait_until(PATIENCE, || leaving.target.served() > 20),
        "{}",
        fleet.describe()
    );
    let begun = Instant::now();
    match told {
        Told::Target => leaving.target.set_faults(TargetFaults {
            draining: true,
            false_load: Some(0),
            ..TargetFaults::default()
        }),
        Told::List => {
            let mut entry = leaving.entry.clone();
            entry.state = HostState::Leaving;
            fleet.platform.put_host(entry);
        }
        _ => {
            call(&leaving.entry.ops, "POST", "/drain", &[], b"");
        }
    }
    let last = last_new_call(&fleet, begun);
    println!("{told:?}: last new call after {last:?}");
    assert!(last < Duration::from_secs(3), "{last:?}");
    let others: u64 = fleet.workers[1..].iter().map(|w| w.target.served()).sum();
    assert!(wait_until(PATIENCE, || {
        fleet.workers[1..]
            .iter()
            .map(|w| w.target.served())
            .sum::<u64>()
            > others + 20
    }));
    over.store(true, Ordering::Relaxed);
    for caller in callers {
        assert_eq!(caller.join().expect("a caller"), Vec::<String>::new());
    }
}

/// Time from `begun` to the last call that reached worker 0's target, found by
/// waiting until its count stands still for a second.
fn last_new_call(fleet: &Fleet, begun: Instant) -> Duration {
    let target = &fleet.workers[0].target;
    let mut last = (target.served(), begun.elapsed());
    wait_until(PATIENCE, || {
        let served = target.served();
        if served != last.0 {
            last = (served, begun.elapsed());
        }
        begun.elapsed() > last.1 + Duration::from_secs(1)
    });
    last.1
}

#[test]
fn a_target_that_is_well_again_takes_calls_again() {
    let fleet = Plan::new("leaving-back").start();
    let worker = &fleet.workers[0];
    worker.target.set_faults(TargetFaults {
        draining: true,
        ..TargetFaults::default()
    });
    let leaving = |wanted| {
        wait_until(PATIENCE, || {
            worker.status().is_some_and(|s| s.leaving == wanted)
        })
    };
    assert!(leaving(true));
    for _ in 0..10 {
        let reply = worker.get("/", &[("x-echo", "e")]);
        assert_eq!(reply.json()["target"], "stock-1");
    }
    worker.target.set_faults(TargetFaults::default());
    assert!(leaving(false));
    let served = worker.target.served();
    assert!(wait_until(PATIENCE, || {
        worker.get("/", &[]);
        worker.target.served() > served
    }));
}

/// The operators' page says that `/drain` lasts as long as the process: a daemon that was killed
/// gives its target calls again until it is said once more.
#[test]
fn an_operators_drain_lasts_as_long_as_the_daemons_process() {
    let mut fleet = Plan {
        processes: true,
        ..Plan::new("leaving-drain-killed")
    }
    .start();
    let drain = |fleet: &Fleet| call(&fleet.workers[0].entry.ops, "POST", "/drain", &[], b"");
    let gets_none = |fleet: &Fleet| {
        let replies = (0..10).map(|_| fleet.workers[0].get("/", &[("x-echo", "e")]));
        replies
            .map(|reply| reply.json())
            .all(|body| body["target"] != "stock-0")
    };
    let gets_some = |fleet: &Fleet| wait_until(PATIENCE, || !gets_none(fleet));
    assert!(gets_some(&fleet));
    drain(&fleet);
    assert!(wait_until(PATIENCE, || gets_none(&fleet)));
    fleet.kill(0);
    fleet.restart(0);
    fleet.wait_ready();
    assert!(gets_some(&fleet), "{}", fleet.describe());
    drain(&fleet);
    assert!(wait_until(PATIENCE, || gets_none(&fleet)));
}

/// A caller on one keep-alive connection, that reconnects where it is told to.
/// Returns good answers and what else it met.
fn keep_alive_caller(address: &str, pause: Duration, over: &AtomicBool) -> (usize, Vec<String>) {
    let mut good = 0;
    let mut bad = Vec::new();
    // After its stop the daemon's address refuses connections; a caller then goes
    // to another daemon, which is its business and not a cut call.
    while let Ok(mut stream) = TcpStream::connect(address) {
        loop {
            // One more call is made after the end is told, on the open connection.
            let last = over.load(Ordering::Relaxed);
            match one_call(&mut stream) {
                Ok(closes) => {
                    good += 1;
                    if last {
                        return (good, bad);
                    }
                    if closes {
                        break;
                    }
                    thread::sleep(pause);
                }
                Err(error) => {
                    bad.push(error);
                    return (good, bad);
                }
            }
        }
    }
    (good, bad)
}

/// Makes one call on an open connection. Returns whether it closes after it.
fn one_call(stream: &mut TcpStream) -> Result<bool, String> {
    let request = b"GET /items/1 HTTP/1.1\r\nHost: stock\r\nX-Echo: e\r\n\r\n";
    stream
        .write_all(request)
        .map_err(|e| format!("write: {e}"))?;
    let mut got = Vec::new();
    let mut part = [0; 4096];
    loop {
        let count = stream.read(&mut part).map_err(|e| format!("read: {e}"))?;
        if count == 0 {
            return Err(format!("closed after {} bytes", got.len()));
        }
        got.extend_from_slice(&part[..count]);
        let Some(reply) = support::parse(&got) else {
            continue;
        };
        let length = reply.header("content-length").unwrap_or_default();
        if reply.body.len().to_string() != length {
            continue;
        }
        if reply.status != 200 {
            return Err(reply.head);
        }
        return Ok(reply.header("connection").as_deref() == Some("close"));
    }
}

#[rstest]
#[case::by_signal(true)]
#[case::embedded(false)]
fn a_planned_stop_under_load_cuts_nothing_off(#[case] process: bool) {
    let mut plan = Plan::new(if process { "stop-signal" } else { "stop-here" });
    plan.workers = 3;
    plan.processes = process;
    plan.service = Duration::from_millis(20);
    let mut fleet = plan.start();
    let over = Arc::new(AtomicBool::new(false));
    let callers: Vec<_> = (0..24)
        .map(|n| {
            let address = fleet.workers[n % 3].callers.clone();
            let over = Arc::clone(&over);
            // Every other caller pauses between its calls, with its connection idle.
            let pause = Duration::from_millis(100 * (n as u64 % 2));
            thread::spawn(move || keep_alive_caller(&address, pause, &over))
        })
        .collect();
    assert!(wait_until(PATIENCE, || fleet.workers[0].target.served() > 20));
    let served_at_stop = fleet.workers[0].target.served();
    match fleet.workers[0].daemon.take() {
        Some(Running::Process(mut child)) => {
            let pid = child.id().to_string();
            let kill = std::process::Command::new("kill")
                .args(["-TERM", &pid])
                .status();
            assert!(kill.expect("kill").success());
            assert!(
                child.wait().expect("its end").success(),
                "it says that it cut something"
            );
        }
        Some(Running::Here(daemon)) => {
            let report = fleet.runtime.block_on(daemon.stop());
            assert_eq!(report, lynxcleat_daemon::StopReport::default());
        }
        None => unreachable!("the fleet was started"),
    }
    let served_at_end = fleet.workers[0].target.served();
    over.store(true, Ordering::Relaxed);
    let mut answered = 0;
    for caller in callers {
        let (good, bad) = caller.join().expect("a caller");
        assert_eq!(bad, Vec::<String>::new());
        answered += good;
    }
    assert!(answered > 60, "{answered}");
    println!("served during the stop: {}", served_at_end - served_at_stop);
}

/// A daemon stops, its target does not: until the daemon has to see to what is in hand, the
/// target takes calls. Where daemons restart one after the other, a service of few targets
/// would otherwise be without any.
#[test]
fn a_target_takes_calls_while_the_stop_of_its_daemon_lingers() {
    let mut plan = Plan::new("stop-serving");
    plan.processes = true;
    plan.workers = 1;
    plan.tree = tree(json!({"stop_linger_ms": 6_000}));
    let mut fleet = plan.start();
    fleet.signal(0, "-TERM");
    let stopping = || fleet.workers[0].status().is_some_and(|s| s.stopping);
    assert!(wait_until(PATIENCE, stopping));
    for _ in 0..10 {
        let reply = fleet.workers[0].get("/items/1", &[]);
        assert_eq!(reply.status, 200, "{}", reply.head);
        thread::sleep(Duration::from_millis(50));
    }
    let leaving = || fleet.workers[0].status().is_none_or(|s| s.leaving);
    assert!(wait_until(PATIENCE, leaving), "it leaves before the end");
    let Some(Running::Process(mut child)) = fleet.workers[0].daemon.take() else {
        unreachable!("the fleet was started");
    };
    assert!(child.wait().expect("its end").success(), "nothing was cut");
}

/// What a stopping daemon takes must end before it does, or the stop would cut it off.
#[test]
fn a_call_that_could_outlast_a_stop_is_not_taken_any_more() {
    let mut plan = Plan::new("stop-outlasted");
    plan.processes = true;
    plan.workers = 1;
    plan.tree = tree(json!({"stop_linger_ms": 6_000, "stop_limit_ms": 12_000}));
    let fleet = plan.start();
    let ask = |fleet: &Fleet, deadline_ms| {
        let headers = [("Lynxcleat-Deadline-Ms", deadline_ms)];
        fleet.workers[0].get("/items/1", &headers).status
    };
    assert_eq!(ask(&fleet, "29000"), 200);
    fleet.signal(0, "-TERM");
    let stopping = || fleet.workers[0].status().is_some_and(|s| s.stopping);
    assert!(wait_until(PATIENCE, stopping));
    assert_eq!(ask(&fleet, "29000"), 503, "it could take longer");
    assert_eq!(ask(&fleet, "500"), 200, "this one ends before");
    fleet.signal(0, "-KILL");
}

#[test]
fn an_interrupt_ends_a_stop_at_once_and_says_what_was_cut() {
    let mut plan = Plan::new("stop-interrupted");
    plan.processes = true;
    plan.workers = 1;
    plan.tree = tree(json!({"stop_linger_ms": 10_000, "deadline_ms": 20_000}));
    let mut fleet = plan.start();
    fleet.workers[0].target.set_faults(TargetFaults {
        frozen: true,
        ..TargetFaults::default()
    });
    let address = fleet.workers[0].callers.clone();
    let caller =
        thread::spawn(move || support::try_call(&address, "GET", "/", &[("Host", "stock")], b""));
    assert!(wait_until(PATIENCE, || fleet.workers[0].target.served() > 0));
    fleet.signal(0, "-TERM");
    let stopping = || fleet.workers[0].status().is_some_and(|s| s.stopping);
    assert!(wait_until(PATIENCE, stopping));
    let begun = Instant::now();
    fleet.signal(0, "-INT");
    let Some(Running::Process(mut child)) = fleet.workers[0].daemon.take() else {
        unreachable!("the fleet was started");
    };
    let status = child.wait().expect("its end");
    assert_eq!(status.code(), Some(3), "it says that it cut something");
    assert!(begun.elapsed() < Duration::from_secs(5));
    assert!(caller.join().expect("a caller").is_err());
    fleet.workers[0].target.set_faults(TargetFaults::default());
}

/// Guards against stops that end with calls in hand unanswered: calls that wait for a slot, those
/// that a target has, and those that are taken late. A second SIGTERM changes nothing.
#[test]
fn calls_that_a_stop_cannot_finish_are_answered_before_it_ends() {
    let mut plan = Plan::new("stop-answers");
    plan.processes = true;
    plan.workers = 1;
    plan.tree = tree(json!({
        "stop_linger_ms": 2_000, "stop_limit_ms": 5_000, "deadline_ms": 20_000, "slots": 1
    }));
    let fleet = plan.start();
    let worker = &fleet.workers[0];
    worker.target.set_faults(TargetFaults {
        frozen: true,
        ..TargetFaults::default()
    });
    let post = || {
        let address = worker.callers.clone();
        thread::spawn(move || {
            support::try_call(&address, "POST", "/", &[("Host", "stock")], b"one")
                .map_or(0, |reply| reply.status)
        })
    };
    let running = post();
    assert!(wait_until(PATIENCE, || worker.target.served() == 1));
    let mut waiting = vec![post(), post(), post()];
    let held = || worker.status().is_some_and(|status| status.held == 3);
    assert!(wait_until(PATIENCE, held), "they wait for the slot");
    fleet.signal(0, "-TERM");
    let stopping = || worker.status().is_some_and(|s| s.stopping);
    assert!(wait_until(PATIENCE, stopping));
    waiting.push(post());
    fleet.signal(0, "-TERM");
    for caller in waiting {
        let status = caller.join().expect("a caller");
        assert_eq!(status, 503, "no target has it");
    }
    let status = running.join().expect("a caller");
    assert_eq!(status, 504, "a target has it");
    assert_eq!(worker.target.served(), 1);
    worker.target.set_faults(TargetFaults::default());
}
