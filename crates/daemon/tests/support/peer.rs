//! A peer that speaks the messages itself, so that a test says what it sends and when.

use futures_util::{SinkExt, StreamExt};
use lynxcleat_once::Incarnation;
use lynxcleat_wire::{Envelope, Frame, Hello, PROTOCOL_VERSION, SharedKey, Side, decode, encode};
use tokio::net::{TcpListener, TcpStream};
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::Message;

/// A proved link.
pub struct Peer {
    socket: WebSocketStream<TcpStream>,
}

impl Peer {
    /// The hello of a peer whose target belongs to a service.
    pub fn hello(deployment: &str, service: &str, mesh: &str) -> Hello {
        Hello {
            version: PROTOCOL_VERSION,
            deployment: deployment.to_owned(),
            host: "peer".to_owned(),
            place: "east".to_owned(),
            zone: "east-1".to_owned(),
            service: service.to_owned(),
            mesh: mesh.to_owned(),
            incarnation: Incarnation(7),
            started_ms: 0,
            leaving: false,
            nonce: 7,
        }
    }

    /// Dials a daemon, as one that routes to it.
    pub async fn dial(mesh: &str, ours: Hello) -> Peer {
        let stream = TcpStream::connect(mesh).await.expect("connected");
        let url = format!("ws://{mesh}/mesh");
        let upgraded = tokio_tungstenite::client_async(url, stream).await;
        let (socket, _) = upgraded.expect("a web socket");
        let mut peer = Peer { socket };
        peer.prove(Side::Dialer, ours).await;
        peer
    }

    /// Takes the link of a daemon that routes here.
    pub async fn accept(listener: &TcpListener, ours: Hello) -> Peer {
        let (stream, _) = listener.accept().await.expect("a connection");
        let upgraded = tokio_tungstenite::accept_async(stream).await;
        let mut peer = Peer {
            socket: upgraded.expect("a web socket"),
        };
        peer.prove(Side::Acceptor, ours).await;
        peer
    }

    async fn prove(&mut self, side: Side, ours: Hello) {
        self.send(Frame::Hello(ours.clone())).await;
        let Frame::Hello(theirs) = self.receive().await else {
            panic!("a hello");
        };
        let key = SharedKey::new(super::KEY.as_bytes()).expect("a key");
        let proof = match side {
            Side::Dialer => key.prove(side, &ours, &theirs),
            Side::Acceptor => key.prove(side, &theirs, &ours),
        };
        self.send(Frame::Proof(proof)).await;
        let Frame::Proof(_) = self.receive().await else {
            panic!("a proof");
        };
    }

    /// Sends one message.
    pub async fn send(&mut self, frame: Frame) {
        let generation = 0;
        let bytes = encode(&Envelope { generation, frame }).expect("encodes");
        let sent = self.socket.send(Message::Binary(bytes.into())).await;
        sent.expect("sent");
    }

    /// The next message.
    pub async fn receive(&mut self) -> Frame {
        match self.socket.next().await {
            Some(Ok(Message::Binary(bytes))) => decode(&bytes).expect("decodes").frame,
            other => panic!("expected a message, got {other:?}"),
        }
    }

    /// The next message that `wanted` is about; the others are let go, and heartbeats are
    /// answered.
    pub async fn receive_until<T>(&mut self, wanted: impl Fn(Frame) -> Option<T>) -> T {
        loop {
            let frame = self.receive().await;
            if frame == Frame::Beat {
                self.send(Frame::Beat).await;
            }
            if let Some(found) = wanted(frame) {
                return found;
            }
        }
    }
}
