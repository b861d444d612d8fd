//! A front before a target's HTTP server that spoils answers on the wire: surplus, without the
//! name of their call, or broken off. A server of a library cannot do that.
//!
//! It passes one request after the other, and reads each answer whole before it passes it on.

use std::io;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream};
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedWriteHalf;

use crate::sync::lock;

/// Header that names a call.
const CALL: &str = "lynxcleat-call";
/// End of a head.
const HEAD_END: &[u8] = b"\r\n\r\n";
/// One answer in so many is spoiled.
const EVERY: u64 = 3;
/// Latest surplus answer, in milliseconds.
const LATEST_MS: u64 = 80;
/// Bytes that are no answer.
const NO_ANSWER: &[u8] = b"no answer\r\n\r\n";

/// How some answers of a target are spoiled.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Stutter {
    /// They are not.
    #[default]
    Absent,
    /// Given twice, the second time late.
    TwiceLate,
    /// Given twice at once.
    TwiceAtOnce,
    /// Given twice, the second time late and without the name of the call.
    SecondNameless,
    /// The head is broken off.
    HeadCut,
    /// The answer is broken off behind its head, or at its very end.
    BodyCut,
    /// Bytes that are no answer follow, late.
    SurplusBytes,
}

/// The front of one target.
pub(crate) struct Front {
    /// Whether answers repeat the name of their call.
    names_calls: bool,
    stutter: Mutex<Stutter>,
    answers: AtomicU64,
}

/// How one answer is spoiled, and by how much.
#[derive(Clone, Copy)]
struct Spoiling {
    stutter: Stutter,
    drawn: u64,
}

impl Spoiling {
    fn late(self) -> Duration {
        Duration::from_millis(self.drawn % LATEST_MS)
    }

    /// A number below another.
    fn below(self, most: usize) -> usize {
        self.drawn as usize % most.max(1)
    }

    fn resets(self) -> bool {
        (self.drawn >> 16).is_multiple_of(2)
    }
}

impl Front {
    pub(crate) fn new(names_calls: bool) -> Self {
        Front {
            names_calls,
            stutter: Mutex::default(),
            answers: AtomicU64::new(0),
        }
    }

    pub(crate) fn set(&self, stutter: Stutter) {
        *lock(&self.stutter) = stutter;
    }

    fn draw(&self) -> Spoiling {
        let drawn = scattered(self.answers.fetch_add(1, Ordering::Relaxed));
        let stutter = match drawn.is_multiple_of(EVERY) {
            true => *lock(&self.stutter),
            false => Stutter::Absent,
        };
        let drawn = scattered(drawn);
        Spoiling { stutter, drawn }
    }

    /// Passes a connection on to the server until either ends it.
    pub(crate) async fn pass(self: Arc<Self>, outer: TcpStream, server: DuplexStream) {
        let (reader, writer) = outer.into_split();
        let (from_server, to_server) = tokio::io::split(server);
        let mut ends = Ends {
            requests: Messages::new(reader),
            to_server,
            answers: Messages::new(from_server),
            writer: Arc::new(tokio::sync::Mutex::new(writer)),
        };
        while let Ok(true) = self.pass_one(&mut ends).await {}
    }

    /// Passes a request and its answer. Returns whether the connection stays open.
    async fn pass_one<R, S, W>(&self, ends: &mut Ends<R, S, W>) -> io::Result<bool>
    where
        R: AsyncReadExt + Unpin,
        S: AsyncReadExt + Unpin,
        W: AsyncWriteExt + Unpin,
    {
        let request = ends.requests.next().await?;
        ends.to_server.write_all(&request.bytes()).await?;
        let answer = match ends.answers.next().await {
            Ok(answer) => answer,
            // The server broke off: so much of its answer goes on.
            Err(error) => {
                ends.write(&ends.answers.got).await?;
                return Err(error);
            }
        };
        let nameless = answer.bytes();
        let named = match request.header(CALL).filter(|_| self.names_calls) {
            Some(call) => answer.with(CALL, &call),
            None => nameless.clone(),
        };
        self.answer(ends, &answer, (named, nameless)).await
    }

    async fn answer<R, S, W>(
        &self,
        ends: &Ends<R, S, W>,
        answer: &Message,
        (named, nameless): (Vec<u8>, Vec<u8>),
    ) -> io::Result<bool> {
        let spoiling = self.draw();
        let kept = match spoiling.stutter {
            Stutter::HeadCut => spoiling.below(named.len() - answer.body.len()),
            Stutter::BodyCut => named.len() - 1 - spoiling.below(answer.body.len()),
            _ => named.len(),
        };
        ends.write(&named[..kept]).await?;
        match spoiling.stutter {
            Stutter::Absent => {}
            Stutter::TwiceAtOnce => ends.write(&named).await?,
            Stutter::TwiceLate => ends.write_late(spoiling.late(), named),
            Stutter::SecondNameless => ends.write_late(spoiling.late(), nameless),
            Stutter::SurplusBytes => ends.write_late(spoiling.late(), NO_ANSWER.to_vec()),
            Stutter::HeadCut | Stutter::BodyCut => {
                if spoiling.resets() {
                    ends.writer.lock().await.as_ref().set_zero_linger()?;
                }
                return Ok(false);
            }
        }
        Ok(true)
    }
}

/// Numbers that follow each other, far apart.
fn scattered(number: u64) -> u64 {
    let mixed = number.wrapping_add(1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    (mixed ^ (mixed >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9) >> 24
}

/// Both ends of a connection.
struct Ends<R, S, W> {
    requests: Messages<R>,
    to_server: W,
    answers: Messages<S>,
    writer: Arc<tokio::sync::Mutex<OwnedWriteHalf>>,
}

impl<R, S, W> Ends<R, S, W> {
    async fn write(&self, bytes: &[u8]) -> io::Result<()> {
        self.writer.lock().await.write_all(bytes).await
    }

    fn write_late(&self, late: Duration, bytes: Vec<u8>) {
        let writer = Arc::clone(&self.writer);
        tokio::spawn(async move {
            tokio::time::sleep(late).await;
            let _ = writer.lock().await.write_all(&bytes).await;
        });
    }
}

/// A message as it arrived; a body in chunks keeps its coding.
struct Message {
    head: Vec<u8>,
    body: Vec<u8>,
}

impl Message {
    fn bytes(&self) -> Vec<u8> {
        [&self.head[..], &self.body].concat()
    }

    /// Its bytes with a further header.
    fn with(&self, name: &str, value: &str) -> Vec<u8> {
        let lines = &self.head[..self.head.len() - 2];
        let header = format!("{name}: {value}\r\n\r\n");
        [lines, header.as_bytes(), &self.body].concat()
    }

    fn header(&self, name: &str) -> Option<String> {
        header(&self.head, name)
    }
}

/// The value of a header of a head.
fn header(head: &[u8], name: &str) -> Option<String> {
    let text = String::from_utf8_lossy(head);
    text.lines().find_map(|line| {
        let (found, value) = line.split_once(':')?;
        let is_named = found.eq_ignore_ascii_case(name);
        is_named.then(|| value.trim().to_owned())
    })
}

/// Reads messages one after the other.
struct Messages<R> {
    reader: R,
    /// Bytes of the message that is being read.
    got: Vec<u8>,
}

impl<R: AsyncReadExt + Unpin> Messages<R> {
    fn new(reader: R) -> Self {
        Messages {
            reader,
            got: Vec::new(),
        }
    }

    async fn more(&mut self) -> io::Result<()> {
        match self.reader.read_buf(&mut self.got).await? {
            0 => Err(io::ErrorKind::UnexpectedEof.into()),
            _ => Ok(()),
        }
    }

    /// Position behind an end mark, from a position on.
    async fn end_of(&mut self, mark: &[u8], from: usize) -> io::Result<usize> {
        loop {
            let mut windows = self.got[from..].windows(mark.len());
            if let Some(at) = windows.position(|bytes| bytes == mark) {
                return Ok(from + at + mark.len());
            }
            self.more().await?;
        }
    }

    async fn next(&mut self) -> io::Result<Message> {
        let head = self.end_of(HEAD_END, 0).await?;
        let length = header(&self.got[..head], "content-length");
        let end = match length.and_then(|length| length.parse::<usize>().ok()) {
            Some(length) => head + length,
            None if header(&self.got[..head], "transfer-encoding").is_some() => {
                self.end_of_chunks(head).await?
            }
            None => head,
        };
        while self.got.len() < end {
            self.more().await?;
        }
        let mut bytes: Vec<u8> = self.got.drain(..end).collect();
        let body = bytes.split_off(head);
        Ok(Message { head: bytes, body })
    }

    async fn end_of_chunks(&mut self, begin: usize) -> io::Result<usize> {
        let mut at = begin;
        loop {
            let line = self.end_of(b"\r\n", at).await?;
            let size = String::from_utf8_lossy(&self.got[at..line]);
            let size = usize::from_str_radix(size.trim(), 16);
            let size = size.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            at = line + size + 2;
            while self.got.len() < at {
                self.more().await?;
            }
            if size == 0 {
                return Ok(at);
            }
        }
    }
}
