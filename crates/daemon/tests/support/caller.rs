//! A caller that keeps its connection and takes an answer only where its framing says that it
//! is whole.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::time::Duration;

use super::http::Reply;

/// Longest wait for bytes.
const LIMIT: Duration = Duration::from_secs(40);

/// Sends one request after the other.
pub struct KeptCaller {
    address: String,
    connection: Option<BufReader<TcpStream>>,
}

impl KeptCaller {
    pub fn new(address: &str) -> Self {
        KeptCaller {
            address: address.to_owned(),
            connection: None,
        }
    }

    /// Sends a request without a body. Returns its answer, or why that is not whole.
    pub fn call(&mut self, method: &str, path: &str) -> io::Result<Reply> {
        let head = format!("{method} {path} HTTP/1.1\r\nHost: stock\r\nContent-Length: 0\r\n\r\n");
        let mut connection = match self.connection.take() {
            Some(connection) => connection,
            None => self.connect()?,
        };
        connection.get_mut().write_all(head.as_bytes())?;
        let reply = read_reply(&mut connection, method == "HEAD")?;
        let closes = reply.header("connection").as_deref() == Some("close");
        match closes {
            true => assert_ended(&mut connection),
            false => self.connection = Some(connection),
        }
        Ok(reply)
    }

    fn connect(&self) -> io::Result<BufReader<TcpStream>> {
        let stream = TcpStream::connect(&self.address)?;
        stream.set_read_timeout(Some(LIMIT))?;
        Ok(BufReader::new(stream))
    }
}

/// A connection whose end was announced ends, without a byte more.
fn assert_ended(connection: &mut BufReader<TcpStream>) {
    let mut rest = Vec::new();
    let _ = connection.read_to_end(&mut rest);
    assert_eq!(String::from_utf8_lossy(&rest), "", "behind the last answer");
}

/// Reads one whole answer: a body has a length or chunks.
pub fn read_reply(connection: &mut impl BufRead, is_head: bool) -> io::Result<Reply> {
    let mut head = String::new();
    loop {
        let line = read_line(connection)?;
        if line.is_empty() {
            break;
        }
        head.push_str(&line);
        head.push_str("\r\n");
    }
    let head = head.trim_end().to_owned();
    let first = head.strip_prefix("HTTP/1.1 ").ok_or_else(not_http)?;
    let status = first.get(..3).and_then(|code| code.parse().ok());
    let mut reply = Reply {
        status: status.ok_or_else(not_http)?,
        head,
        body: Vec::new(),
    };
    if is_head || matches!(reply.status, 204 | 304) {
        return Ok(reply);
    }
    reply.body = read_body(connection, &reply)?;
    Ok(reply)
}

fn read_body(connection: &mut impl BufRead, reply: &Reply) -> io::Result<Vec<u8>> {
    if reply.header("transfer-encoding").as_deref() == Some("chunked") {
        return read_chunks(connection);
    }
    let length = reply.header("content-length").ok_or_else(not_http)?;
    let length = length.parse().map_err(|_| not_http())?;
    read_exactly(connection, length)
}

fn read_chunks(connection: &mut impl BufRead) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let size = read_line(connection)?;
        let size = usize::from_str_radix(&size, 16).map_err(|_| not_http())?;
        body.extend(read_exactly(connection, size)?);
        if !read_line(connection)?.is_empty() {
            return Err(not_http());
        }
        if size == 0 {
            return Ok(body);
        }
    }
}

fn read_exactly(connection: &mut impl BufRead, length: usize) -> io::Result<Vec<u8>> {
    let mut bytes = vec![0; length];
    connection.read_exact(&mut bytes)?;
    Ok(bytes)
}

fn read_line(connection: &mut impl BufRead) -> io::Result<String> {
    let mut line = Vec::new();
    connection.read_until(b'\n', &mut line)?;
    let line = line.strip_suffix(b"\r\n");
    let line = line.ok_or(io::ErrorKind::UnexpectedEof)?;
    Ok(String::from_utf8_lossy(line).into_owned())
}

fn not_http() -> io::Error {
    io::ErrorKind::InvalidData.into()
}
