//! HTTP/1.1 for stand-ins: blocking, one message at a time.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A request or an answer.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut found = self.headers.iter();
        found
            .find(|(known, _)| known.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }

    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or_default()
    }

    /// Status of an answer.
    pub fn status(&self) -> u16 {
        self.target().parse().unwrap_or(0)
    }
}

/// A connection with what was read beyond the last message.
pub struct Connection {
    pub stream: TcpStream,
    rest: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Connection {
            stream,
            rest: Vec::new(),
        }
    }

    fn more(&mut self) -> io::Result<()> {
        let mut buffer = [0; 64 << 10];
        let bytes = self.stream.read(&mut buffer)?;
        if bytes == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        self.rest.extend_from_slice(&buffer[..bytes]);
        Ok(())
    }

    /// Reads a head; its body follows.
    pub fn head(&mut self) -> io::Result<Message> {
        loop {
            if let Some(end) = self.rest.windows(4).position(|part| part == b"\r\n\r\n") {
                let head = String::from_utf8_lossy(&self.rest[..end]).into_owned();
                self.rest.drain(..end + 4);
                let mut lines = head.split("\r\n");
                let first = lines.next().unwrap_or_default().to_owned();
                let split = |line: &str| {
                    let (name, value) = line.split_once(':')?;
                    Some((name.trim().to_owned(), value.trim().to_owned()))
                };
                let headers = lines.filter_map(split).collect();
                return Ok(Message {
                    first,
                    headers,
                    body: Vec::new(),
                });
            }
            self.more()?;
        }
    }

    /// Reads the body that belongs to a head.
    pub fn body(&mut self, head: &Message) -> io::Result<Vec<u8>> {
        if head.header("transfer-encoding").is_some() {
            return self.chunks();
        }
        let length = head
            .header("content-length")
            .and_then(|text| text.parse().ok())
            .unwrap_or(0);
        self.bytes(length)
    }

    fn bytes(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.rest.len() < length {
            self.more()?;
        }
        Ok(self.rest.drain(..length).collect())
    }

    fn chunks(&mut self) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        loop {
            let line = self.line()?;
            let size = usize::from_str_radix(line.split(';').next().unwrap_or("").trim(), 16)
                .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            body.extend(self.bytes(size)?);
            if size == 0 {
                while !self.line()?.is_empty() {}
                return Ok(body);
            }
            self.bytes(2)?;
        }
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.rest.windows(2).position(|part| part == b"\r\n") {
                let line = String::from_utf8_lossy(&self.rest[..end]).into_owned();
                self.rest.drain(..end + 2);
                return Ok(line);
            }
            self.more()?;
        }
    }

    /// Reads a whole message.
    pub fn message(&mut self) -> io::Result<Message> {
        let mut message = self.head()?;
        message.body = self.body(&message)?;
        Ok(message)
    }

    pub fn answer(&mut self, status: u16, headers: &[(&str, &str)], body: &[u8]) -> io::Result<()> {
        let mut text = format!("HTTP/1.1 {status} {}\r\n", reason(status));
        for (name, value) in headers {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        text.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
        let mut bytes = text.into_bytes();
        bytes.extend_from_slice(body);
        self.stream.write_all(&bytes)
    }
}

fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        410 => "Gone",
        412 => "Precondition Failed",
        421 => "Misdirected Request",
        503 => "Service Unavailable",
        _ => "Other",
    }
}

/// One request on a connection of its own, and its whole answer.
pub fn call(
    address: SocketAddr,
    (method, target): (&str, &str),
    headers: &[(&str, &str)],
    body: &[u8],
    limit: Duration,
) -> io::Result<Message> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(limit))?;
    let mut connection = Connection::new(stream);
    connection
        .stream
        .write_all(&request((method, target), headers, body))?;
    connection.message()
}

/// A request with a stated length where it has a body or may have one.
pub fn request((method, target): (&str, &str), headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("{method} {target} HTTP/1.1\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    if method != "GET" {
        text.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}
