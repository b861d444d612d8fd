//! The first messages of a link: hello and proof of either side.

use std::time::Duration;

use futures_util::{SinkExt, StreamExt};
use lynxcleat_wire::{CodecError, Envelope, Frame, Hello, HelloError, Side, decode, encode};
use socket2::SockRef;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::Message;
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;

use super::MESSAGE_LIMIT;
use crate::core::Core;
use crate::metrics::count;

/// Longest time from a connection to its proof.
const HANDSHAKE_LIMIT: Duration = Duration::from_secs(2);
/// Time after which a connection that does not come up is tried anew; it grows by half each time,
/// for hosts that are far away.
const FIRST_CONNECT_LIMIT: Duration = Duration::from_millis(150);

/// Time for which sent bytes may stay unacknowledged until the peer is known; then it
/// follows from [`lynxcleat_policy::AckTimeout`].
const UNACKNOWLEDGED_LIMIT: Duration = Duration::from_millis(1_000);

/// Bytes of a link's read and write buffers. They grow for larger messages; small
/// ones keep a daemon with hundreds of links small.
const BUFFER_BYTES: usize = 8 << 10;
/// Bytes that the system takes on a link before it has sent them, about. What it took goes
/// before every small message that is queued later, 13 ms on a link of 10 Mbit/s.
const UNSENT_BYTES: u32 = 16 << 10;

pub(super) type Socket = WebSocketStream<TcpStream>;

/// Why a link was not made.
#[derive(Debug, Error)]
pub enum HandshakeError {
    /// The connection failed.
    #[error("connection: {0}")]
    Io(#[from] std::io::Error),
    /// The web socket failed.
    #[error("web socket: {0}")]
    Socket(#[from] Box<tokio_tungstenite::tungstenite::Error>),
    /// A message cannot be read.
    #[error("{0}")]
    Codec(#[from] CodecError),
    /// The other side may not speak to us.
    #[error("{0}")]
    Hello(#[from] HelloError),
    /// The other side closed the connection.
    #[error("closed by the other side")]
    Closed,
    /// The shared key is not known yet.
    #[error("the shared key is not known yet")]
    NoKey,
    /// This daemon ends and makes no links any more.
    #[error("the daemon is ending")]
    Ending,
    /// It took too long.
    #[error("took longer than {HANDSHAKE_LIMIT:?}")]
    TooSlow,
}

/// Counts a link that was not made. A side that may not speak to us is worth a
/// warning; a host that is down is not.
pub(super) fn count_refused(core: &Core, other: &str, error: &HandshakeError) {
    let kind = match error {
        HandshakeError::Hello(_) => "hello",
        HandshakeError::Codec(_) => "malformed",
        HandshakeError::TooSlow => "slow",
        HandshakeError::NoKey => "no-key",
        HandshakeError::Ending => "ending",
        HandshakeError::Io(_) | HandshakeError::Socket(_) | HandshakeError::Closed => "connection",
    };
    count(&core.metrics.links_refused, kind);
    let level = match error {
        HandshakeError::Hello(_) | HandshakeError::Codec(_) => log::Level::Warn,
        _ => log::Level::Debug,
    };
    log::log!(level, other, kind; "no link: {error}");
}

pub(super) fn socket_config() -> WebSocketConfig {
    WebSocketConfig::default()
        .read_buffer_size(BUFFER_BYTES)
        .write_buffer_size(BUFFER_BYTES)
        .max_message_size(Some(MESSAGE_LIMIT))
        .max_frame_size(Some(MESSAGE_LIMIT))
}

/// Makes a link's connection send what is written at once, and give up a peer that
/// acknowledges nothing.
///
/// # Errors
/// What the system says.
pub fn prepare(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    if let Err(error) = socket.set_tcp_notsent_lowat(UNSENT_BYTES) {
        log::debug!("TCP_NOTSENT_LOWAT: {error}");
    }
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_LIMIT))
}

/// Sets how long a link may leave sent bytes unacknowledged.
pub(super) fn limit_silence(socket: &Socket, limit: Duration) {
    let stream = SockRef::from(socket.get_ref());
    if let Err(error) = stream.set_tcp_user_timeout(Some(limit)) {
        log::debug!("TCP_USER_TIMEOUT: {error}");
    }
}

/// Opens a connection. The system repeats an opening packet that was lost after a second; a host
/// that has just started, or whose queue was full, is reached sooner by a new connection.
///
/// # Errors
/// What the system says.
pub async fn connect(address: &str) -> std::io::Result<TcpStream> {
    let mut limit = FIRST_CONNECT_LIMIT;
    loop {
        match tokio::time::timeout(limit, TcpStream::connect(address)).await {
            Ok(connected) => return connected,
            Err(_) => limit = limit * 3 / 2,
        }
    }
}

/// Opens a link's connection and proves both sides.
pub(super) async fn dial(core: &Core, mesh: &str) -> Result<(Socket, Hello), HandshakeError> {
    within_limit(async {
        let stream = connect(mesh).await?;
        prepare(&stream)?;
        let url = format!("ws://{mesh}/mesh");
        let config = Some(socket_config());
        let (mut socket, _) = tokio_tungstenite::client_async_with_config(url, stream, config)
            .await
            .map_err(Box::new)?;
        let theirs = prove_as_dialer(core, &mut socket).await?;
        Ok((socket, theirs))
    })
    .await
}

/// Takes a link's connection and proves both sides.
pub(super) async fn accept(
    core: &Core,
    stream: TcpStream,
) -> Result<(Socket, Hello), HandshakeError> {
    within_limit(async {
        prepare(&stream)?;
        let config = Some(socket_config());
        let mut socket = tokio_tungstenite::accept_async_with_config(stream, config)
            .await
            .map_err(Box::new)?;
        let theirs = prove_as_acceptor(core, &mut socket).await?;
        Ok((socket, theirs))
    })
    .await
}

async fn within_limit<T>(
    work: impl Future<Output = Result<T, HandshakeError>>,
) -> Result<T, HandshakeError> {
    tokio::time::timeout(HANDSHAKE_LIMIT, work)
        .await
        .unwrap_or(Err(HandshakeError::TooSlow))
}

async fn prove_as_dialer(core: &Core, socket: &mut Socket) -> Result<Hello, HandshakeError> {
    let ours = core.hello();
    let key = core.shared_key().ok_or(HandshakeError::NoKey)?;
    send(core, socket, Frame::Hello(Box::new(ours.clone()))).await?;
    let theirs = receive_hello(socket).await?;
    ours.check(&theirs)?;
    let Frame::Proof(proof) = receive(socket).await? else {
        return Err(HelloError::OutOfOrder.into());
    };
    key.check(Side::Acceptor, &ours, &theirs, &proof)?;
    let proof = key.prove(Side::Dialer, &ours, &theirs);
    send(core, socket, Frame::Proof(proof)).await?;
    Ok(theirs)
}

async fn prove_as_acceptor(core: &Core, socket: &mut Socket) -> Result<Hello, HandshakeError> {
    let ours = core.hello();
    let key = core.shared_key().ok_or(HandshakeError::NoKey)?;
    let theirs = receive_hello(socket).await?;
    ours.check(&theirs)?;
    send(core, socket, Frame::Hello(Box::new(ours.clone()))).await?;
    let proof = key.prove(Side::Acceptor, &theirs, &ours);
    send(core, socket, Frame::Proof(proof)).await?;
    let Frame::Proof(proof) = receive(socket).await? else {
        return Err(HelloError::OutOfOrder.into());
    };
    key.check(Side::Dialer, &theirs, &ours, &proof)?;
    Ok(theirs)
}

async fn receive_hello(socket: &mut Socket) -> Result<Hello, HandshakeError> {
    match receive(socket).await? {
        Frame::Hello(hello) => Ok(*hello),
        _ => Err(HelloError::OutOfOrder.into()),
    }
}

async fn send(core: &Core, socket: &mut Socket, frame: Frame) -> Result<(), HandshakeError> {
    let generation = core.settings.number();
    let bytes = encode(&Envelope { generation, frame })?;
    socket
        .send(Message::Binary(bytes.into()))
        .await
        .map_err(Box::new)?;
    Ok(())
}

async fn receive(socket: &mut Socket) -> Result<Frame, HandshakeError> {
    match socket.next().await {
        Some(Ok(Message::Binary(bytes))) => Ok(decode(&bytes)?.frame),
        Some(Ok(Message::Close(_))) | None => Err(HandshakeError::Closed),
        Some(Ok(_)) => Err(HelloError::OutOfOrder.into()),
        Some(Err(error)) => Err(Box::new(error).into()),
    }
}
