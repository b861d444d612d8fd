//! The two tasks of a link: one writes what is queued, one reads what comes.

use std::io::ErrorKind;
use std::sync::Arc;

use futures_util::stream::{SplitSink, SplitStream};
use futures_util::{SinkExt, StreamExt};
use lynxcleat_wire::{CodecError, Envelope, Frame, decode, encode};
use thiserror::Error;
use tokio_tungstenite::tungstenite::{self, Message};

use super::fragments::fragments;
use super::handshake::Socket;
use super::link::Link;
use super::queue::{Next, Out, Queue};
use crate::core::Core;
use crate::metrics::MeshLabels;

/// Why a link ended, where it was not closed in order.
#[derive(Debug, Error)]
enum PumpError {
    #[error("{0}")]
    Codec(#[from] CodecError),
    #[error("web socket: {0}")]
    Socket(#[from] Box<tungstenite::Error>),
    #[error("a message that is not binary")]
    NotBinary,
}

impl PumpError {
    /// Whether the other side acknowledged nothing for too long.
    fn is_silence(&self) -> bool {
        let PumpError::Socket(error) = self else {
            return false;
        };
        matches!(error.as_ref(), tungstenite::Error::Io(error) if error.kind() == ErrorKind::TimedOut)
    }
}

/// Starts the tasks of a link over a web socket.
pub(super) fn start(core: &Arc<Core>, link: &Arc<Link>, socket: Socket, queue: Queue) {
    let (sink, stream) = socket.split();
    let writing = (Arc::clone(core), Arc::clone(link));
    let busy = core.life.writers.enter();
    tokio::spawn(async move {
        let (core, link) = writing;
        if let Err(error) = write(&core, &link, sink, queue).await {
            if error.is_silence() {
                core.links.lost_for_silence(&core, &link);
            }
            log::debug!(peer = link.peer.host.as_str(); "link write: {error}");
        }
        core.links.remove(&core, &link);
        drop(busy);
    });
    let reading = (Arc::clone(core), Arc::clone(link));
    tokio::spawn(async move {
        let (core, link) = reading;
        if let Err(error) = read(&core, &link, stream).await {
            if error.is_silence() {
                core.links.lost_for_silence(&core, &link);
            }
            log::info!(peer = link.peer.host.as_str(); "link lost: {error}");
        }
        core.links.remove(&core, &link);
    });
}

/// Starts the one task of a link's end within this process: what `queue` holds
/// arrives at `far`.
pub(super) fn start_to_self(core: &Arc<Core>, far: &Arc<Link>, mut queue: Queue) {
    let core = Arc::clone(core);
    let far = Arc::clone(far);
    tokio::spawn(async move {
        loop {
            match queue.next().await {
                Some(Next::Small(Out::Frame(frame, _held))) => {
                    (core.handlers.frame)(&core, &far, frame);
                }
                Some(Next::Piece(out)) => {
                    (core.handlers.frame)(&core, &far, Frame::Piece(out.piece));
                    let _ = out.left.send(());
                }
                Some(Next::Small(Out::Close)) | None => break,
            }
        }
        core.links.remove(&core, &far);
    });
}

async fn write(
    core: &Core,
    link: &Link,
    mut sink: SplitSink<Socket, Message>,
    mut queue: Queue,
) -> Result<(), PumpError> {
    loop {
        let next = tokio::select! {
            next = queue.next() => next,
            () = link.closed() => return Ok(()),
        };
        let (frame, held, left) = match next {
            Some(Next::Small(Out::Frame(frame, held))) => (frame, held, None),
            Some(Next::Piece(out)) => (Frame::Piece(out.piece), None, Some(out.left)),
            Some(Next::Small(Out::Close)) | None => {
                sink.close().await.map_err(Box::new)?;
                return Ok(());
            }
        };
        let bytes = encode_counted(core, link, frame)?;
        for fragment in fragments(bytes.into()) {
            sink.feed(fragment).await.map_err(Box::new)?;
        }
        drop(held);
        // A piece leaves before the next is taken, so that small messages pass the rest.
        if left.is_some() || queue.has_no_small() {
            sink.flush().await.map_err(Box::new)?;
        }
        if let Some(left) = left {
            let _ = left.send(());
        }
    }
}

fn encode_counted(core: &Core, link: &Link, frame: Frame) -> Result<Vec<u8>, PumpError> {
    let labels = MeshLabels {
        kind: kind(&frame),
        distance: link.distance.name(),
    };
    let generation = core.settings.number();
    let bytes = encode(&Envelope { generation, frame })?;
    core.region_egress.written(link.distance, bytes.len());
    core.metrics.mesh_frames.get_or_create(&labels).inc();
    core.metrics
        .mesh_bytes
        .get_or_create(&labels)
        .inc_by(bytes.len() as u64);
    Ok(bytes)
}

async fn read(
    core: &Arc<Core>,
    link: &Arc<Link>,
    mut stream: SplitStream<Socket>,
) -> Result<(), PumpError> {
    loop {
        let message = tokio::select! {
            message = stream.next() => message,
            () = link.closed() => return Ok(()),
        };
        if link.heard(core.clock.now()) {
            core.routers.doubted(core, &link.peer.host, false);
        }
        match message {
            Some(Ok(Message::Binary(bytes))) => {
                let envelope = decode(&bytes)?;
                (core.handlers.generation)(core, link, envelope.generation);
                (core.handlers.frame)(core, link, envelope.frame);
            }
            Some(Ok(Message::Ping(_) | Message::Pong(_))) => {}
            Some(Ok(Message::Close(_))) | None => return Ok(()),
            Some(Ok(_)) => return Err(PumpError::NotBinary),
            Some(Err(error)) => return Err(Box::new(error).into()),
        }
    }
}

/// Name of a message's kind, for the metrics.
fn kind(frame: &Frame) -> &'static str {
    match frame {
        Frame::Hello(_) | Frame::Proof(_) => "hello",
        Frame::Beat => "beat",
        Frame::Leaving(_) => "leaving",
        Frame::Down(_) => "down",
        Frame::Call(_) => "call",
        Frame::Window { .. } => "window",
        Frame::Piece(_) => "piece",
        Frame::Load(_) => "load",
        Frame::Cancel(_) => "cancel",
        Frame::Answer { .. } => "answer",
        Frame::Refused { .. } => "refused",
        Frame::Lost(_) | Frame::Ended { .. } => "lost",
        Frame::Fence { .. } | Frame::Fenced { .. } => "fence",
        Frame::Guarded { .. } | Frame::GuardedReply { .. } => "guarded",
        Frame::AskSettings(_) | Frame::Settings { .. } => "settings",
        Frame::Zones(_) => "zones",
        Frame::Rollouts(_) => "rollouts",
        Frame::RolloutEvidence(_) => "rollout-evidence",
        Frame::RolloutIdle(_) => "rollout-idle",
        Frame::Suspects(_) => "suspects",
        Frame::AskQuota(_) | Frame::Quota { .. } => "quota",
        Frame::Rows(_) | Frame::AskRows(_) | Frame::EndNeighbour => "rows",
        Frame::Departures(_) | Frame::DeparturesHeld { .. } => "departures",
    }
}
