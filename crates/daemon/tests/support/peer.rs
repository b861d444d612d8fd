//! A peer that speaks the messages itself, so that a test says what it sends and when.

use futures_util::{SinkExt, StreamExt};
use lynxcleat_once::Incarnation;
use lynxcleat_policy::{AttemptId, CallKind, Elsewhere, Homes};
use lynxcleat_wire::{
    CallFrame, Envelope, Frame, Header, Hello, PROTOCOL_VERSION, RequestHead, SharedKey, Side,
    decode, encode,
};
use serde_bytes::ByteBuf;
use tokio::net::{TcpListener, TcpStream};
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::Message;

use super::{KEY, Worker};

/// Time left to the calls of a peer, longer than any test waits.
const LEFT_US: u64 = 120_000_000;

/// A proved link.
pub struct Peer {
    socket: WebSocketStream<TcpStream>,
    /// Generation of settings that it says it has in force.
    generation: u64,
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
            region: String::new(),
            service: service.to_owned(),
            mesh: mesh.to_owned(),
            incarnation: Incarnation(7),
            started_ms: 0,
            leaving: false,
            down: false,
            nonce: 7,
        }
    }

    /// Dials a daemon, as one that routes to it.
    pub async fn dial(mesh: &str, ours: Hello) -> Peer {
        Peer::dial_while(mesh, ours, || ()).await
    }

    /// Dials a daemon, and has something happen once it has said who it is.
    pub async fn dial_while(mesh: &str, ours: Hello, happens: impl FnOnce()) -> Peer {
        let stream = TcpStream::connect(mesh).await.expect("connected");
        let url = format!("ws://{mesh}/mesh");
        let upgraded = tokio_tungstenite::client_async(url, stream).await;
        let (socket, _) = upgraded.expect("a web socket");
        let mut peer = Peer {
            socket,
            generation: 0,
        };
        peer.prove(Side::Dialer, ours, happens).await;
        peer
    }

    /// Takes the link of a daemon that routes here.
    pub async fn accept(listener: &TcpListener, ours: Hello) -> Peer {
        let (stream, _) = listener.accept().await.expect("a connection");
        let upgraded = tokio_tungstenite::accept_async(stream).await;
        let mut peer = Peer {
            socket: upgraded.expect("a web socket"),
            generation: 0,
        };
        peer.prove(Side::Acceptor, ours, || ()).await;
        peer
    }

    /// Dials a worker's daemon as one that has a generation of settings.
    pub async fn dial_with(worker: &Worker, generation: u64) -> Peer {
        let ours = Peer::hello(&worker.raw.deployment, "other", "127.0.0.1:1");
        let mut peer = Peer::dial(&worker.entry.mesh, ours).await;
        peer.generation = generation;
        peer
    }

    async fn prove(&mut self, side: Side, ours: Hello, happens: impl FnOnce()) {
        self.send(Frame::Hello(Box::new(ours.clone()))).await;
        let Frame::Hello(theirs) = self.receive().await else {
            panic!("a hello");
        };
        happens();
        let key = SharedKey::new(KEY.as_bytes()).expect("a key");
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
        let generation = self.generation;
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

    /// Offers a call and returns what the daemon says of it.
    pub async fn offer(&mut self, number: u64, kind: CallKind, homes: Homes) -> Frame {
        let call = Peer::lookup(number, kind, homes);
        self.send(Frame::Call(Box::new(call))).await;
        self.end().await
    }

    /// What the daemon says next of a call.
    pub async fn end(&mut self) -> Frame {
        self.receive_until(|frame| {
            let is_end = matches!(
                frame,
                Frame::Answer { .. } | Frame::Refused { .. } | Frame::Lost(_)
            );
            is_end.then_some(frame)
        })
        .await
    }

    /// A lookup, by its number.
    pub fn lookup(number: u64, kind: CallKind, homes: Homes) -> CallFrame {
        let host = Header("host".to_owned(), ByteBuf::from(b"stock".to_vec()));
        let op = Header(
            "x-op".to_owned(),
            ByteBuf::from(format!("by-hand-{number}")),
        );
        CallFrame {
            attempt: AttemptId(number),
            number: 1,
            notice: None,
            share: None,
            call: format!("by-hand-{number}"),
            service: "stock".to_owned(),
            kind,
            priority: 0,
            nested: false,
            canary: false,
            homes,
            elsewhere: Elsewhere::Nowhere,
            goal_left_us: None,
            left_us: LEFT_US,
            operation: None,
            caller_service: None,
            organisation: None,
            head: RequestHead {
                method: "GET".to_owned(),
                path: "/x/".to_owned(),
                headers: vec![host, op],
            },
            body: ByteBuf::new(),
            to_come: None,
        }
    }
}
