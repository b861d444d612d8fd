//! One connection to the target: a request at a time, and what comes back for it.

use std::io;
use std::mem::MaybeUninit;
use std::time::{Duration, Instant};

use futures_util::FutureExt;
use http_body_util::BodyExt;
use hyper::body::Bytes;
use lynxcleat_policy::{ResponseMatcher, ResponseNaming};
use socket2::SockRef;
use thiserror::Error;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{ReadHalf, WriteHalf};

use super::bodies::{BodyCut, PieceBody};
use super::pool::OpenPlace;
use crate::http1::{AnswerFault, AnswerItem, Answers};

/// Pause between a write and the time that is noted for it. On a host that has used up its
/// share of a processor, bytes leave and clocks move on only when it runs again; after a pause
/// both have. A call that is noted late keeps its room for longer, which does no harm.
const WRITTEN_PAUSE: Duration = Duration::from_millis(1);

const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

/// What is asked on a connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Asked {
    /// Nothing so far.
    Nothing,
    /// A call.
    Call,
    /// The target's load.
    Load,
}

/// What went over a connection so far, for the log.
#[derive(Clone, Copy, Debug)]
pub(super) struct ConnectionHistory {
    /// Number of the connection since the daemon started.
    pub number: u64,
    /// Requests that were written on it and answered.
    pub exchanges: u32,
    /// What the last of them asked.
    pub last: Asked,
    /// When that was answered, or the connection opened.
    pub since: Instant,
}

/// Why no answer came.
#[derive(Debug, Error)]
pub(super) enum ConnectionError {
    /// The connection had ended, and none of the request was written.
    #[error("not written: {0}")]
    NotWritten(io::Error),
    /// The connection failed.
    #[error("{0}")]
    Failed(#[from] io::Error),
    /// What came is no answer.
    #[error("{0}")]
    Fault(#[from] AnswerFault),
    /// An answer came that belongs to no request, or to another.
    #[error("an answer that cannot be matched with the request")]
    Unmatched,
    /// The body of the request did not come whole.
    #[error("the body of the request was cut")]
    BodyCut,
    /// The answer is larger than it may be.
    #[error("the answer has more than {limit} bytes")]
    TooLarge {
        /// The most that it may have.
        limit: usize,
    },
}

/// A request's body as it is written.
pub(super) enum TargetBody<'a> {
    /// It is written with the head.
    WithHead,
    /// It is here.
    Whole(&'a [u8]),
    /// It comes in pieces; `is_chunked` where its length is not known.
    Pieces {
        body: &'a mut PieceBody,
        is_chunked: bool,
    },
}

/// A request as it is written: its head, with the whole body where that is here.
pub(super) struct EncodedRequest<'a> {
    pub first: Vec<u8>,
    pub body: TargetBody<'a>,
    /// The method is HEAD.
    pub is_head: bool,
}

/// What a look at an idle connection finds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Rest {
    /// Nothing came.
    Quiet,
    /// Bytes came that nothing was asked for.
    Surplus,
    /// The connection ended.
    Ended,
}

/// A connection that takes one request at a time.
pub(super) struct Connection {
    /// What went over it.
    pub history: ConnectionHistory,
    /// Whose answers come on it.
    pub matcher: ResponseMatcher,
    /// When it was opened.
    pub opened: Instant,
    stream: TcpStream,
    answers: Answers,
    _place: OpenPlace,
}

impl Connection {
    /// Nothing was sent on it.
    pub(super) fn new(
        stream: TcpStream,
        number: u64,
        naming: ResponseNaming,
        place: OpenPlace,
    ) -> Self {
        let opened = Instant::now();
        Connection {
            history: ConnectionHistory {
                number,
                exchanges: 0,
                last: Asked::Nothing,
                since: opened,
            },
            opened,
            matcher: ResponseMatcher::new(naming),
            stream,
            answers: Answers::default(),
            _place: place,
        }
    }

    /// Whether nothing came between two requests, and the connection has not ended.
    pub(super) fn is_quiet(&self) -> bool {
        self.rest() == Rest::Quiet
    }

    /// Looks at the connection between two requests.
    pub(super) fn rest(&self) -> Rest {
        if !self.answers.is_between_answers() {
            return Rest::Surplus;
        }
        let mut byte = [MaybeUninit::uninit()];
        match SockRef::from(&self.stream).peek(&mut byte) {
            Ok(0) => Rest::Ended,
            Ok(_) => Rest::Surplus,
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => Rest::Quiet,
            Err(_) => Rest::Ended,
        }
    }

    /// An exchange ended with an answer.
    pub(super) fn answered(&mut self, asked: Asked) {
        self.history.exchanges += 1;
        self.history.last = asked;
        self.history.since = Instant::now();
        self.answers.release();
    }

    /// Writes the first of a request: all that the socket takes at once.
    ///
    /// # Errors
    /// `NotWritten` where nothing could be written.
    pub(super) async fn begin<'a, 'b>(
        &'a mut self,
        request: &'a mut EncodedRequest<'b>,
    ) -> Result<Begun<'a, 'b>, ConnectionError> {
        let (reading, mut writing) = self.stream.split();
        let written = writing.write(&request.first).await;
        let written = written.map_err(ConnectionError::NotWritten)?;
        Ok(Begun {
            reader: Reader {
                stream: reading,
                answers: &mut self.answers,
                is_head: request.is_head,
            },
            writer: Writer {
                stream: writing,
                first: &request.first[written..],
                body: &mut request.body,
            },
            matcher: &mut self.matcher,
            history: &self.history,
        })
    }
}

/// An exchange of which something was written.
pub(super) struct Begun<'a, 'b> {
    pub reader: Reader<'a>,
    pub writer: Writer<'a, 'b>,
    pub matcher: &'a mut ResponseMatcher,
    pub history: &'a ConnectionHistory,
}

/// How much of a request was written when its answer was there.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Written {
    /// All of it.
    Whole,
    /// Not all of it yet.
    Partly,
    /// Not all of it, and the connection failed. The end of the connection that was read then
    /// may have been a reset, which is reported only once.
    Failed,
}

/// Reads while the rest of the request is written. `sends` is called once the first of it has
/// left.
///
/// # Errors
/// What `read` fails with, and a body that did not come whole.
pub(super) async fn read_while_writing<T>(
    read: impl Future<Output = Result<T, ConnectionError>>,
    writer: Writer<'_, '_>,
    sends: impl Fn(),
) -> Result<(T, Written), ConnectionError> {
    let written = writer.write_rest();
    let noted = tokio::time::sleep(WRITTEN_PAUSE);
    tokio::pin!(read, written, noted);
    let (mut written_so_far, mut is_over, mut is_noted) = (Written::Partly, false, false);
    loop {
        tokio::select! {
            biased;
            read = &mut read => {
                if !is_noted {
                    sends();
                }
                // The answer may be there before the writing was looked at once.
                if !is_over && let Some(done) = written.as_mut().now_or_never() {
                    written_so_far = outcome(&done);
                }
                return read.map(|read| (read, written_so_far));
            }
            done = &mut written, if !is_over => {
                is_over = true;
                written_so_far = outcome(&done);
                if let Err(WriteError::BodyCut) = done {
                    return Err(ConnectionError::BodyCut);
                }
            }
            () = &mut noted, if !is_noted => {
                is_noted = true;
                sends();
            }
        }
    }
}

/// How much was written. A target that answers early may close before it has all of the request.
fn outcome(done: &Result<(), WriteError>) -> Written {
    match done {
        Ok(()) => Written::Whole,
        Err(WriteError::BodyCut) => Written::Partly,
        Err(WriteError::Failed(error)) => {
            log::debug!("request cut: {error}");
            Written::Failed
        }
    }
}

/// Reads what the target sends on a connection.
pub(super) struct Reader<'a> {
    stream: ReadHalf<'a>,
    answers: &'a mut Answers,
    is_head: bool,
}

impl Reader<'_> {
    /// The next item of the answers that come.
    ///
    /// # Errors
    /// The end of the connection, and what is no answer.
    pub(super) async fn next(&mut self) -> Result<AnswerItem, ConnectionError> {
        loop {
            if let Some(item) = self.answers.next(self.is_head)? {
                return Ok(item);
            }
            let bytes = self.stream.read(self.answers.space()).await?;
            self.answers.filled(bytes);
            if bytes == 0 {
                self.answers.close()?;
            }
        }
    }
}

/// Writes the rest of a request.
pub(super) struct Writer<'a, 'b> {
    stream: WriteHalf<'a>,
    first: &'a [u8],
    body: &'a mut TargetBody<'b>,
}

impl Writer<'_, '_> {
    async fn write_rest(mut self) -> Result<(), WriteError> {
        let stream = &mut self.stream;
        stream.write_all(self.first).await?;
        let (body, is_chunked) = match self.body {
            TargetBody::WithHead => return Ok(()),
            TargetBody::Whole(body) => return Ok(stream.write_all(body).await?),
            TargetBody::Pieces { body, is_chunked } => (body, *is_chunked),
        };
        while let Some(frame) = body.frame().await {
            let data = frame.map_err(|BodyCut| WriteError::BodyCut)?;
            let Ok(data) = data.into_data() else { continue };
            match is_chunked {
                true => write_chunk(stream, &data).await?,
                false => stream.write_all(&data).await?,
            }
        }
        if is_chunked {
            stream.write_all(LAST_CHUNK).await?;
        }
        Ok(())
    }
}

async fn write_chunk(stream: &mut WriteHalf<'_>, data: &Bytes) -> io::Result<()> {
    if data.is_empty() {
        return Ok(());
    }
    let size = format!("{:x}\r\n", data.len());
    stream.write_all(size.as_bytes()).await?;
    stream.write_all(data).await?;
    stream.write_all(b"\r\n").await
}

/// Why the rest of a request was not written.
#[derive(Debug, Error)]
enum WriteError {
    /// The connection failed.
    #[error("{0}")]
    Failed(#[from] io::Error),
    /// The body did not come whole.
    #[error("the body of the request was cut")]
    BodyCut,
}
