//! Plain HTTP over a socket, so that tests see and send every byte.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

use serde_json::Value;

/// An HTTP answer.
#[derive(Clone, Debug)]
pub struct Reply {
    pub status: u16,
    pub head: String,
    pub body: Vec<u8>,
}

impl Reply {
    pub fn header(&self, name: &str) -> Option<String> {
        self.head.lines().find_map(|line| {
            let (key, value) = line.split_once(':')?;
            key.eq_ignore_ascii_case(name)
                .then(|| value.trim().to_owned())
        })
    }

    pub fn outcome(&self) -> String {
        self.header("lynxcleat-outcome").unwrap_or_default()
    }

    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).expect("JSON")
    }
}

pub fn call(
    address: &str,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> Reply {
    try_call(address, method, path, headers, body).expect("an answer")
}

pub fn try_call(
    address: &str,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> std::io::Result<Reply> {
    let mut text = format!("{method} {path} HTTP/1.1\r\nConnection: close\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    let has_host = headers.iter().any(|(name, _)| *name == "Host");
    if !has_host {
        text.push_str("Host: x\r\n");
    }
    if !body.is_empty() {
        text.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    raw(address, &bytes)
}

/// Sends bytes and reads until the other side closes.
pub fn raw(address: &str, bytes: &[u8]) -> std::io::Result<Reply> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_read_timeout(Some(Duration::from_secs(40)))?;
    stream.write_all(bytes)?;
    let mut got = Vec::new();
    stream.read_to_end(&mut got)?;
    parse(&got).ok_or_else(|| std::io::ErrorKind::UnexpectedEof.into())
}

/// Splits an answer; a body shorter than promised is an error.
pub fn parse(bytes: &[u8]) -> Option<Reply> {
    let end = bytes.windows(4).position(|four| four == b"\r\n\r\n")?;
    let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let reply = Reply {
        status,
        head,
        body: bytes[end + 4..].to_vec(),
    };
    let promised = reply
        .header("content-length")
        .and_then(|n| n.parse::<usize>().ok());
    match promised {
        Some(length) if reply.body.len() < length && !reply.body.is_empty() => None,
        _ => Some(reply),
    }
}
