//! A peer that speaks to a daemon by hand, so that it can be behind or ahead.

use futures_util::{SinkExt, StreamExt};
use lynxcleat_once::Incarnation;
use lynxcleat_policy::{AttemptId, CallKind, Elsewhere, Homes};
use lynxcleat_wire::{
    CallFrame, Envelope, Frame, Header, Hello, PROTOCOL_VERSION, RequestHead, SharedKey, Side,
    decode, encode,
};
use serde_bytes::ByteBuf;
use tokio::net::TcpStream;
use tokio_tungstenite::tungstenite::Message;
use tokio_tungstenite::{MaybeTlsStream, WebSocketStream};

use super::{KEY, Worker};

/// Time left to the calls of a peer, longer than any test waits.
const LEFT_US: u64 = 120_000_000;

/// A proved link to one daemon.
pub struct Peer {
    socket: WebSocketStream<MaybeTlsStream<TcpStream>>,
    generation: u64,
}

impl Peer {
    /// Dials a worker's daemon as one that has a generation of settings.
    pub async fn dial(worker: &Worker, generation: u64) -> Peer {
        let url = format!("ws://{}/mesh", worker.entry.mesh);
        let (socket, _) = tokio_tungstenite::connect_async(url).await.expect("a link");
        let mut peer = Peer { socket, generation };
        let ours = Hello {
            version: PROTOCOL_VERSION,
            deployment: worker.raw.deployment.clone(),
            host: "by-hand".to_owned(),
            place: "east".to_owned(),
            zone: "east-1".to_owned(),
            region: String::new(),
            service: "other".to_owned(),
            mesh: "127.0.0.1:1".to_owned(),
            incarnation: Incarnation(7),
            started_ms: 1,
            leaving: false,
            nonce: 11,
        };
        peer.send(Frame::Hello(Box::new(ours.clone()))).await;
        let Frame::Hello(theirs) = peer.next().await else {
            panic!("no hello");
        };
        assert!(matches!(peer.next().await, Frame::Proof(_)));
        let key = SharedKey::new(KEY.as_bytes()).expect("a key");
        let proof = key.prove(Side::Dialer, &ours, &theirs);
        peer.send(Frame::Proof(proof)).await;
        peer
    }

    pub async fn send(&mut self, frame: Frame) {
        let generation = self.generation;
        let bytes = encode(&Envelope { generation, frame }).expect("encoded");
        let sent = self.socket.send(Message::Binary(bytes.into())).await;
        sent.expect("sent");
    }

    pub async fn next(&mut self) -> Frame {
        loop {
            let message = self.socket.next().await.expect("open").expect("a message");
            if let Message::Binary(bytes) = message {
                return decode(&bytes).expect("a frame").frame;
            }
        }
    }

    /// Offers a call and returns what the daemon says of it.
    pub async fn offer(&mut self, number: u64, kind: CallKind, homes: Homes) -> Frame {
        let host = Header("host".to_owned(), ByteBuf::from(b"stock".to_vec()));
        let op = Header(
            "x-op".to_owned(),
            ByteBuf::from(format!("by-hand-{number}")),
        );
        let call = CallFrame {
            attempt: AttemptId(number),
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
            head: RequestHead {
                method: "GET".to_owned(),
                path: "/x/".to_owned(),
                headers: vec![host, op],
            },
            body: ByteBuf::new(),
        };
        self.send(Frame::Call(Box::new(call))).await;
        loop {
            let frame = self.next().await;
            if matches!(
                frame,
                Frame::Answer { .. } | Frame::Refused { .. } | Frame::Lost(_)
            ) {
                return frame;
            }
        }
    }
}
