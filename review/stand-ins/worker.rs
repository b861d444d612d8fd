//! A worker as a process of its own. It tells what it does on its standard output, one line
//! each: `begin`, `end` and `health` with the time, `ready` once it listens.
//!
//! Words on its standard input: `leave` (its health check says that it leaves), `stop` (it ends).

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::base::{Message, read_message, respond};

pub struct Worker {
    id: String,
    slots: usize,
    work: Duration,
    /// A request with this in its path ends the process as soon as it begins.
    ends_on: String,
    leaves: AtomicBool,
    running: Mutex<usize>,
    freed: Condvar,
}

/// Flags `--NAME VALUE`.
pub fn flags(args: &[String]) -> HashMap<String, String> {
    args.chunks(2)
        .filter_map(|pair| {
            Some((
                pair.first()?.trim_start_matches("--").to_owned(),
                pair.get(1)?.clone(),
            ))
        })
        .collect()
}

pub fn run(args: &[String]) {
    let flags = flags(args);
    let text = |name: &str| flags.get(name).cloned().unwrap_or_default();
    let worker = Arc::new(Worker {
        id: text("id"),
        slots: text("slots").parse().expect("slots"),
        work: Duration::from_millis(text("work-ms").parse().expect("work")),
        ends_on: text("ends-on"),
        leaves: AtomicBool::new(false),
        running: Mutex::new(0),
        freed: Condvar::new(),
    });
    let listener = TcpListener::bind(text("addr")).expect("worker");
    say("ready");
    let listening = Arc::clone(&worker);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let worker = Arc::clone(&listening);
            thread::spawn(move || serve(stream, &worker));
        }
    });
    for word in std::io::stdin().lock().lines().map_while(Result::ok) {
        match word.as_str() {
            "leave" => worker.leaves.store(true, Ordering::SeqCst),
            _ => break,
        }
    }
    std::process::exit(0);
}

fn say(text: &str) {
    let mut out = std::io::stdout().lock();
    let _ = writeln!(out, "{text}");
    let _ = out.flush();
}

fn serve(stream: TcpStream, worker: &Worker) {
    let _ = stream.set_nodelay(true);
    let Ok(mut out) = stream.try_clone() else {
        return;
    };
    let mut input = BufReader::new(stream);
    while let Some(request) = read_message(&mut input) {
        if !answer(&request, worker, &mut out) {
            return;
        }
    }
}

fn answer(request: &Message, worker: &Worker, out: &mut TcpStream) -> bool {
    let own = format!("X-Instance-Id: {}\r\n", worker.id);
    let [method, path, _] = &request.first;
    if path == "/health" {
        let running = *worker.running.lock().expect("lock");
        let load = format!("X-Server-Load: {running},0,{},100\r\n", worker.slots);
        let status = match worker.leaves.load(Ordering::SeqCst) {
            true => "503 Service Unavailable",
            false => "200 OK",
        };
        return respond(out, status, &(own + &load), "");
    }
    let header = |name: &str| request.header(name).unwrap_or_default().to_owned();
    let id = header("x-request-id");
    if request
        .header("x-target-instance")
        .is_some_and(|meant| meant != worker.id)
    {
        return respond(out, "421 Misdirected Request", &own, "");
    }
    let until =
        Instant::now() + Duration::from_millis(header("x-deadline-ms").parse().unwrap_or(1_000));
    {
        let mut running = worker.running.lock().expect("lock");
        while *running >= worker.slots {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                let echo = format!("X-Request-Id: {id}\r\nX-Not-Executed: 1\r\n");
                return respond(out, "503 Service Unavailable", &echo, "");
            }
            running = worker.freed.wait_timeout(running, left).expect("lock").0;
        }
        *running += 1;
    }
    say(&format!(
        "begin {id} {method} {path} tenant={} body={}",
        header("x-tenant"),
        request.body.len()
    ));
    if !worker.ends_on.is_empty() && path.contains(&worker.ends_on) {
        say(&format!("crash {id}"));
        std::process::abort();
    }
    thread::sleep(
        worker
            .work
            .min(until.saturating_duration_since(Instant::now())),
    );
    say(&format!("end {id}"));
    let running = {
        let mut running = worker.running.lock().expect("lock");
        *running -= 1;
        *running
    };
    worker.freed.notify_one();
    let headers = format!(
        "X-Request-Id: {id}\r\nX-Response-Stamp: {}.{id}\r\nX-Server-Load: {running},0,{},100\r\n",
        worker.id, worker.slots
    );
    respond(out, "200 OK", &headers, "the worker's bytes")
}
