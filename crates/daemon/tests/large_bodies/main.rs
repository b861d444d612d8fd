//! Bodies in pieces: they arrive unchanged or not at all, nobody holds more of them than a
//! window, and a call moves until its body was begun.

#[path = "../support/mod.rs"]
mod support;

mod callers;
mod half;
mod router;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use serde_json::{Value, json};

use crate::support::{
    PATIENCE, Plan, Reply, Worker, odd_target, parse, read_path, tree_with_routes,
};

/// Window of the tests, in bytes.
const WINDOW: usize = 32 << 10;

/// A tree whose calls under `/up/` have large bodies and run once, and those under `/look/`
/// have large bodies and may run again. `overrides` at the root.
fn plan(name: &'static str, service: &str, overrides: Value) -> Plan {
    let route = |prefix: &str, effects: &str, large: bool| {
        json!({
            "host": "stock", "prefix": prefix, "effects": effects, "timeout_ms": 20_000,
            "goal_ms": 20_000, "attempts": 3, "priority": 0, "large_bodies": large,
            "parts": [{"service": service, "weight": 1}]
        })
    };
    let mut settings = json!({
        "body_limit_bytes": 64 << 20, "body_window_bytes": WINDOW, "reroute_limit": 3,
        "deadline_ms": 20_000, "link_silence_ms": 10_000, "once_retention_ms": 60_000
    });
    for (name, value) in overrides.as_object().expect("an object") {
        settings[name] = value.clone();
    }
    let mut plan = Plan::new(name);
    plan.tree = tree_with_routes(
        settings,
        json!({
            "up": route("/up/", "once", true),
            "look": route("/look/", "none", true),
            "rest": route("/", "once", false),
        }),
    );
    plan
}

/// A body that differs at every place.
fn body(length: usize) -> Vec<u8> {
    let letter = |nth: usize| b'a' + (nth / 7 + nth / 4_096) as u8 % 26;
    (0..length).map(letter).collect()
}

/// Opens a connection and sends the head of an upload; `more` are lines of it.
fn head(worker: &Worker, path: &str, more: &str) -> TcpStream {
    let mut stream = TcpStream::connect(&worker.callers).expect("connected");
    stream.set_read_timeout(Some(PATIENCE)).expect("set");
    let head = format!("POST {path} HTTP/1.1\r\nHost: stock\r\n{more}\r\n");
    stream.write_all(head.as_bytes()).expect("sent");
    stream
}

/// Reads one answer with a length from a connection that stays open.
fn read_answer(stream: &mut TcpStream) -> Reply {
    let mut got = Vec::new();
    let mut byte = [0];
    loop {
        assert_eq!(stream.read(&mut byte).expect("an answer"), 1, "it is whole");
        got.push(byte[0]);
        let reply = got.ends_with(b"\r\n\r\n").then(|| parse(&got)).flatten();
        let Some(reply) = reply else { continue };
        let length = reply.header("content-length").expect("a length");
        let mut rest = vec![0; length.parse().expect("a number")];
        stream.read_exact(&mut rest).expect("its body");
        return Reply {
            body: rest,
            ..reply
        };
    }
}

/// Reads until the other side ends the connection, and returns how much came.
fn read_to_end(stream: &mut TcpStream) -> Vec<u8> {
    let mut got = Vec::new();
    let _ = stream.read_to_end(&mut got);
    got
}

fn chunked(body: &[u8]) -> Vec<u8> {
    let mut framed = Vec::new();
    for chunk in body.chunks(10_000) {
        framed.extend_from_slice(format!("{:x}\r\n", chunk.len()).as_bytes());
        framed.extend_from_slice(chunk);
        framed.extend_from_slice(b"\r\n");
    }
    framed.extend_from_slice(b"0\r\n\r\n");
    framed
}

fn piece_bytes(worker: &Worker) -> usize {
    worker.metric("lynxcleat_piece_bytes_total") as usize
}

fn cut_by(worker: &Worker, by: &str) -> f64 {
    worker.metric(&format!("lynxcleat_bodies_cut_total{{kind=\"{by}\"}}"))
}

/// What a target of its own saw.
#[derive(Clone)]
struct Seen {
    heads: Arc<AtomicUsize>,
    bodies: flume::Receiver<Vec<u8>>,
}

impl Seen {
    /// The bytes that followed a head, until the connection ended.
    fn body(&self) -> Vec<u8> {
        self.bodies.recv_timeout(PATIENCE).expect("it ended")
    }

    fn heads(&self) -> usize {
        self.heads.load(Ordering::SeqCst)
    }
}

/// A target that reads a head, does what `first` says, and reads until the end.
fn target(first: impl Fn(&mut TcpStream) + Send + Sync + 'static) -> (String, Seen) {
    let (sender, bodies) = flume::unbounded();
    let heads = Arc::new(AtomicUsize::new(0));
    let counted = Arc::clone(&heads);
    let address = odd_target(move |mut stream, _| {
        if read_path(&mut stream).is_none() {
            return;
        }
        counted.fetch_add(1, Ordering::SeqCst);
        first(&mut stream);
        let _ = sender.send(read_to_end(&mut stream));
    });
    (address, Seen { heads, bodies })
}
