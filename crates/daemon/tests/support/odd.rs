//! Targets that behave oddly.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

use super::PATIENCE;
use super::http::try_call;

/// A target that keeps the head of the last request and answers with nothing.
pub struct HeaderSink {
    pub address: String,
    heads: flume::Receiver<String>,
}

impl HeaderSink {
    pub fn start() -> Self {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("bind");
        let address = listener.local_addr().expect("address").to_string();
        let (sender, heads) = flume::unbounded();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let sender = sender.clone();
                std::thread::spawn(move || answer_heads(stream, &sender));
            }
        });
        HeaderSink { address, heads }
    }

    pub fn head(&self) -> String {
        self.heads.recv_timeout(PATIENCE).expect("a request")
    }
}

fn answer_heads(mut stream: TcpStream, heads: &flume::Sender<String>) {
    let mut got = Vec::new();
    let mut part = [0; 4096];
    while let Ok(count) = stream.read(&mut part) {
        if count == 0 {
            return;
        }
        got.extend_from_slice(&part[..count]);
        if got.ends_with(b"\r\n\r\n") {
            let _ = heads.send(String::from_utf8_lossy(&got).into_owned());
            got.clear();
            let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        }
    }
}

/// A target that does with each connection what `behave` says; it is given the
/// connection and the number of the connection.
pub fn odd_target(behave: impl Fn(TcpStream, usize) + Send + Sync + 'static) -> String {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("bind");
    let address = listener.local_addr().expect("address").to_string();
    let behave = std::sync::Arc::new(behave);
    std::thread::spawn(move || {
        for (nth, stream) in listener.incoming().flatten().enumerate() {
            let behave = std::sync::Arc::clone(&behave);
            std::thread::spawn(move || behave(stream, nth));
        }
    });
    address
}

/// Reads one request's head and returns its path.
pub fn read_path(stream: &mut TcpStream) -> Option<String> {
    read_call(stream).map(|(path, _)| path)
}

/// Reads one request's head and returns its path and the name of its call.
pub fn read_call(stream: &mut TcpStream) -> Option<(String, String)> {
    let mut got = Vec::new();
    let mut byte = [0];
    while !got.ends_with(b"\r\n\r\n") {
        if stream.read(&mut byte).ok()? == 0 {
            return None;
        }
        got.push(byte[0]);
    }
    let head = String::from_utf8_lossy(&got).into_owned();
    let path = head.split(' ').nth(1)?.to_owned();
    let call = head.lines().find_map(|line| {
        let (name, value) = line.split_once(':')?;
        let is_call = name.eq_ignore_ascii_case("lynxcleat-call");
        is_call.then(|| value.trim().to_owned())
    });
    Some((path, call.unwrap_or_default()))
}

pub fn answer(stream: &mut TcpStream, body: &str) {
    let length = body.len();
    let text = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{body}");
    let _ = stream.write_all(text.as_bytes());
}

/// Asks for many paths at once and checks that each gets its own or an error.
pub fn each_gets_its_own(address: &str, deadline_ms: &str) -> usize {
    let callers: Vec<_> = (0..40)
        .map(|nth| {
            let (address, deadline) = (address.to_owned(), deadline_ms.to_owned());
            std::thread::spawn(move || {
                let path = format!("/of/{nth}");
                let headers = [("Host", "stock"), ("Lynxcleat-Deadline-Ms", &*deadline)];
                let reply = try_call(&address, "GET", &path, &headers, b"").expect("an answer");
                let own = reply.status == 200;
                if own {
                    assert_eq!(String::from_utf8_lossy(&reply.body), path);
                } else {
                    assert_ne!(reply.outcome(), "run", "{}", reply.head);
                }
                own
            })
        })
        .collect();
    let own = callers
        .into_iter()
        .map(|caller| caller.join().expect("checked"));
    own.filter(|own| *own).count()
}
