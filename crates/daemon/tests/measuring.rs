//! The work of measuring never exceeds the budget, counted on the wire.

mod support;

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use lynxcleat_standin::wait_until;
use lynxcleat_store::{HostEntry, HostState};
use serde_json::json;
use support::{Crossed, Plan, tree};

/// Passes connections on to `to` and notes every byte in either direction.
fn counting(to: &str) -> (String, Crossed) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
    let address = listener.local_addr().expect("address").to_string();
    let crossed = Crossed::default();
    let (to, noted) = (to.to_owned(), Arc::clone(&crossed));
    thread::spawn(move || {
        for near in listener.incoming().flatten() {
            let Ok(far) = TcpStream::connect(&to) else {
                continue;
            };
            for (from, into) in [(&near, &far), (&far, &near)] {
                let (Ok(from), Ok(into)) = (from.try_clone(), into.try_clone()) else {
                    continue;
                };
                let noted = Arc::clone(&noted);
                thread::spawn(move || pass(from, into, &noted));
            }
        }
    });
    (address, crossed)
}

fn pass(mut from: TcpStream, mut into: TcpStream, noted: &Crossed) {
    let mut part = [0; 4096];
    while let Ok(count) = from.read(&mut part) {
        if count == 0 || into.write_all(&part[..count]).is_err() {
            break;
        }
        noted
            .lock()
            .expect("not poisoned")
            .push((Instant::now(), count));
    }
    let _ = into.shutdown(std::net::Shutdown::Both);
}

/// The most bytes that crossed in any second.
fn busiest_second(crossed: &Crossed) -> usize {
    let all = crossed.lock().expect("not poisoned").clone();
    let starts = all.iter().map(|(at, _)| *at);
    let sums = starts.map(|start| {
        let until = start + Duration::from_secs(1);
        let within = all.iter().filter(|(at, _)| (start..until).contains(at));
        within.map(|(_, count)| count).sum()
    });
    sums.max().unwrap_or_default()
}

#[test]
fn polls_heartbeats_and_redials_stay_within_the_bytes_allowed_in_any_second() {
    const ALLOWED: usize = 6_000;
    let mut plan = Plan::new("measuring");
    plan.workers = 3;
    // It wants to poll far more often than the budget allows.
    plan.tree = tree(json!({
        "poll_ms": 50, "host_list_ms": 50, "health_ms": 50, "heartbeat_ms": 50,
        "link_silence_ms": 60_000, "measure_bytes_per_s": ALLOWED,
        "measure_messages_per_s": 40, "measure_cpu_us_per_s": 13_000,
    }));
    let mut fleet = plan.start_counted(counting);
    let (platform, health) = fleet.counted.take().expect("counted");
    // Two hosts on the list are dead: their links are tried again and again.
    for n in 0..2 {
        fleet.platform.put_host(HostEntry {
            host: format!("dead-{n}"),
            mesh: format!("127.0.0.1:{}", 1 + n),
            state: HostState::Live,
            ..fleet.workers[1].entry.clone()
        });
    }
    let worker = &fleet.workers[0];
    let begun = Instant::now();
    let mut calls = 0;
    while begun.elapsed() < Duration::from_secs(4) {
        calls += 1;
        assert_eq!(worker.get("/", &[]).status, 200);
    }
    assert!(
        calls > 100,
        "{calls} calls: a burst of figures that want to ride"
    );
    let most = busiest_second(&platform) + busiest_second(&health);
    let refused = worker.metric("lynxcleat_measure_refused_total");
    let spent = worker.metric("lynxcleat_measure_bytes_total");
    println!("busiest second {most} bytes of {ALLOWED}; refused {refused}; spent {spent}");
    assert!(most <= ALLOWED, "{most}");
    assert!(refused > 0.0, "it wanted more than it was allowed");
    let seconds = begun.elapsed().as_secs_f64() + 5.0;
    assert!(spent <= ALLOWED as f64 * seconds);
    let on_wire: usize = platform.lock().expect("ok").iter().map(|(_, n)| n).sum();
    assert!(
        spent >= on_wire as f64,
        "charged {spent}, on the wire {on_wire}"
    );
    assert!(wait_until(support::PATIENCE, || worker.status().is_some()));
}

/// Figures want to ride on every answer of a burst; a change of the settings must get
/// through all the same.
#[test]
fn a_burst_of_answers_leaves_room_for_the_polls() {
    let busy = |hold_limit| {
        tree(json!({
            "measure_bytes_per_s": 4_000, "measure_messages_per_s": 40, "hold_limit": hold_limit
        }))
    };
    let mut plan = Plan::new("measuring-burst");
    plan.workers = 1;
    plan.service = Duration::from_millis(1);
    plan.tree = busy(20);
    let fleet = plan.start();
    let worker = &fleet.workers[0];
    let over = std::sync::atomic::AtomicBool::new(false);
    thread::scope(|scope| {
        for _ in 0..4 {
            scope.spawn(|| {
                while !over.load(std::sync::atomic::Ordering::Relaxed) {
                    worker.get("/", &[]);
                }
            });
        }
        let busy_now = || worker.target.served() > 500;
        assert!(wait_until(support::PATIENCE, busy_now));
        fleet.accept(1, busy(21), "in a burst");
        let in_force = || worker.status().is_some_and(|s| s.generation == 2);
        let taken = wait_until(support::PATIENCE, in_force);
        over.store(true, std::sync::atomic::Ordering::Relaxed);
        assert!(taken, "the change waits for the end of the burst");
    });
}

/// A health endpoint whose answers never end, and the most bytes that were taken of one.
fn endless_health() -> (String, Arc<AtomicUsize>) {
    static PART: [u8; 64 << 10] = [b' '; 64 << 10];
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
    let address = listener.local_addr().expect("address").to_string();
    let taken = Arc::new(AtomicUsize::new(0));
    let counted = Arc::clone(&taken);
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let _ = stream.read(&mut [0; 4096]);
            let _ = stream.write_all(b"HTTP/1.1 200 OK\r\n\r\n");
            let mut written = 0;
            while stream.write_all(&PART).is_ok() {
                written += PART.len();
                counted.fetch_max(written, Ordering::Relaxed);
            }
        }
    });
    (address, taken)
}

/// A daemon took hundreds of megabytes of one answer.
#[test]
fn a_health_answer_without_end_is_read_up_to_a_bound() {
    /// With the buffers of the connection.
    const TAKEN_LIMIT: usize = 16 << 20;
    let mut plan = Plan::new("measuring-endless");
    plan.workers = 1;
    plan.processes = true;
    let mut fleet = plan.start();
    fleet.kill(0);
    let (address, taken) = endless_health();
    fleet.workers[0].raw.target_health = Some(address);
    fleet.restart(0);
    let is_polled = || taken.load(Ordering::Relaxed) > 0;
    assert!(wait_until(support::PATIENCE, is_polled));
    thread::sleep(Duration::from_secs(2));
    let taken = taken.load(Ordering::Relaxed);
    assert!(taken < TAKEN_LIMIT, "{taken} bytes");
}
