//! Calls at a fixed rate, each in a thread of its own: none waits for another.

use std::thread;
use std::time::{Duration, Instant};

use super::{Fleet, try_call};

/// What became of one call.
pub struct Sent {
    /// When it was due, since the first.
    pub due: Duration,
    /// Status of its answer; nothing where none came.
    pub status: Option<u16>,
}

impl Sent {
    /// Whether it was served.
    pub fn is_served(&self) -> bool {
        self.status == Some(200)
    }
}

/// Sends so many lookups a second for a time, to all daemons in turn, no two alike.
pub fn call_evenly(fleet: &Fleet, per_s: u64, time: Duration) -> Vec<Sent> {
    let begun = Instant::now();
    let count = time.as_millis() as u64 * per_s / 1_000;
    thread::scope(|scope| {
        let calls = (0..count).map(|number| {
            let due = Duration::from_millis(number * 1_000 / per_s);
            thread::sleep(due.saturating_sub(begun.elapsed()));
            scope.spawn(move || {
                let worker = &fleet.workers[number as usize % fleet.workers.len()];
                let path = format!("/records/other/{number}");
                let reply = try_call(&worker.callers, "GET", &path, &[("Host", "stock")], b"");
                let status = reply.ok().map(|reply| reply.status);
                Sent { due, status }
            })
        });
        let calls: Vec<_> = calls.collect();
        let ended = calls.into_iter().map(|call| call.join().expect("a call"));
        ended.collect()
    })
}
