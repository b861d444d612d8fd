//! What the stand-ins share: time, a record, JSON, base64, and HTTP/1.1 over blocking sockets.

use std::fs::File;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Mutex, OnceLock};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

static START: OnceLock<Instant> = OnceLock::new();

/// Time since the run began.
pub fn now() -> Duration {
    START.get_or_init(Instant::now).elapsed()
}

pub fn ms(time: Duration) -> u64 {
    time.as_millis() as u64
}

pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .expect("a date")
        .as_millis() as u64
}

/// What was sent, answered and run, one line each.
pub struct Record(Mutex<File>);

impl Record {
    pub fn create(path: &str) -> Self {
        Record(Mutex::new(File::create(path).expect("record")))
    }

    pub fn line(&self, text: &str) {
        let mut file = self.0.lock().expect("lock");
        let _ = writeln!(file, "{:>7} ms  {text}", ms(now()));
    }

    /// A line that is printed too.
    pub fn say(&self, text: &str) {
        println!("{:>7} ms  {text}", ms(now()));
        self.line(text);
    }
}

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Json> {
        let bytes = text.as_bytes();
        let mut at = 0;
        let value = value(bytes, &mut at)?;
        Some(value)
    }

    pub fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Json::Table(entries) => entries
                .iter()
                .find(|(key, _)| key == name)
                .map(|(_, value)| value),
            _ => None,
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> u64 {
        match self {
            Json::Number(number) => *number as u64,
            _ => 0,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(list) => list,
            _ => &[],
        }
    }
}

fn space(bytes: &[u8], at: &mut usize) {
    while bytes.get(*at).is_some_and(u8::is_ascii_whitespace) {
        *at += 1;
    }
}

fn value(bytes: &[u8], at: &mut usize) -> Option<Json> {
    space(bytes, at);
    match *bytes.get(*at)? {
        b'{' => {
            *at += 1;
            let mut entries = Vec::new();
            loop {
                space(bytes, at);
                match bytes.get(*at)? {
                    b'}' => {
                        *at += 1;
                        return Some(Json::Table(entries));
                    }
                    b',' => *at += 1,
                    _ => {
                        let key = string(bytes, at)?;
                        space(bytes, at);
                        if *bytes.get(*at)? != b':' {
                            return None;
                        }
                        *at += 1;
                        entries.push((key, value(bytes, at)?));
                    }
                }
            }
        }
        b'[' => {
            *at += 1;
            let mut list = Vec::new();
            loop {
                space(bytes, at);
                match bytes.get(*at)? {
                    b']' => {
                        *at += 1;
                        return Some(Json::List(list));
                    }
                    b',' => *at += 1,
                    _ => list.push(value(bytes, at)?),
                }
            }
        }
        b'"' => string(bytes, at).map(Json::Text),
        b't' => {
            *at += 4;
            Some(Json::Bool(true))
        }
        b'f' => {
            *at += 5;
            Some(Json::Bool(false))
        }
        b'n' => {
            *at += 4;
            Some(Json::Null)
        }
        _ => {
            let from = *at;
            while bytes
                .get(*at)
                .is_some_and(|byte| b"+-.eE0123456789".contains(byte))
            {
                *at += 1;
            }
            std::str::from_utf8(&bytes[from..*at])
                .ok()?
                .parse()
                .ok()
                .map(Json::Number)
        }
    }
}

fn string(bytes: &[u8], at: &mut usize) -> Option<String> {
    if *bytes.get(*at)? != b'"' {
        return None;
    }
    *at += 1;
    let mut out = Vec::new();
    loop {
        let byte = *bytes.get(*at)?;
        *at += 1;
        match byte {
            b'"' => return String::from_utf8(out).ok(),
            b'\\' => {
                let next = *bytes.get(*at)?;
                *at += 1;
                match next {
                    b'n' => out.push(b'\n'),
                    b't' => out.push(b'\t'),
                    b'r' => out.push(b'\r'),
                    b'b' => out.push(8),
                    b'f' => out.push(12),
                    b'u' => {
                        let digits = std::str::from_utf8(bytes.get(*at..*at + 4)?).ok()?;
                        *at += 4;
                        let code = u32::from_str_radix(digits, 16).ok()?;
                        let mut buffer = [0; 4];
                        let sign = char::from_u32(code).unwrap_or('?');
                        out.extend_from_slice(sign.encode_utf8(&mut buffer).as_bytes());
                    }
                    other => out.push(other),
                }
            }
            other => out.push(other),
        }
    }
}

pub fn quote(text: &str) -> String {
    let mut out = String::from("\"");
    for sign in text.chars() {
        match sign {
            '"' => out.push_str("\\\""),
            '\\' => out.push_str("\\\\"),
            '\n' => out.push_str("\\n"),
            sign if (sign as u32) < 32 => out.push_str(&format!("\\u{:04x}", sign as u32)),
            sign => out.push(sign),
        }
    }
    out + "\""
}

pub fn base64(bytes: &[u8]) -> String {
    const SIGNS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for part in bytes.chunks(3) {
        let group = (u32::from(part[0]) << 16)
            | (u32::from(*part.get(1).unwrap_or(&0)) << 8)
            | u32::from(*part.get(2).unwrap_or(&0));
        for place in 0..4 {
            if place <= part.len() {
                out.push(SIGNS[(group >> (18 - 6 * place) & 63) as usize] as char);
            } else {
                out.push('=');
            }
        }
    }
    out
}

/// A request or an answer that arrived whole.
#[derive(Clone, Debug)]
pub struct Message {
    /// The three parts of its first line.
    pub first: [String; 3],
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        self.first[1].parse().unwrap_or(0)
    }
}

/// Reads one message; nothing where the connection ends or fails before its end.
pub fn read_message(from: &mut BufReader<TcpStream>) -> Option<Message> {
    let first = line(from)?;
    let mut parts = first.splitn(3, ' ').map(str::to_owned);
    let first = [
        parts.next()?,
        parts.next()?,
        parts.next().unwrap_or_default(),
    ];
    let mut headers = Vec::new();
    loop {
        let line = line(from)?;
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':')?;
        headers.push((name.to_owned(), value.trim().to_owned()));
    }
    let mut message = Message {
        first,
        headers,
        body: Vec::new(),
    };
    let chunked = message
        .header("transfer-encoding")
        .is_some_and(|coding| coding.eq_ignore_ascii_case("chunked"));
    if chunked {
        loop {
            let size = line(from)?;
            let size = usize::from_str_radix(size.split(';').next()?.trim(), 16).ok()?;
            let mut chunk = vec![0; size];
            from.read_exact(&mut chunk).ok()?;
            message.body.extend_from_slice(&chunk);
            line(from)?;
            if size == 0 {
                break;
            }
        }
    } else if let Some(length) = message.header("content-length") {
        let mut body = vec![0; length.parse().ok()?];
        from.read_exact(&mut body).ok()?;
        message.body = body;
    }
    Some(message)
}

fn line(from: &mut BufReader<TcpStream>) -> Option<String> {
    let mut bytes = Vec::new();
    from.read_until(b'\n', &mut bytes).ok()?;
    if !bytes.ends_with(b"\r\n") {
        return None;
    }
    bytes.truncate(bytes.len() - 2);
    Some(String::from_utf8_lossy(&bytes).into_owned())
}

pub fn respond(to: &mut TcpStream, status: &str, headers: &str, body: &str) -> bool {
    let text = format!(
        "HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n{body}",
        body.len()
    );
    to.write_all(text.as_bytes()).is_ok()
}

pub fn connect(to: SocketAddr, limit: Duration) -> Option<BufReader<TcpStream>> {
    let stream = TcpStream::connect_timeout(&to, limit).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    Some(BufReader::new(stream))
}

/// One call on a connection of its own.
pub fn call(
    to: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
    limit: Duration,
) -> Option<Message> {
    let mut stream = connect(to, limit)?;
    let text = format!(
        "{method} {path} HTTP/1.1\r\nHost: {to}\r\nContent-Type: application/json\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    );
    stream.get_mut().write_all(text.as_bytes()).ok()?;
    read_message(&mut stream)
}
