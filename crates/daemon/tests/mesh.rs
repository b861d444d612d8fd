//! Links: who may make one, and that a bad one harms no other.

mod support;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

use lynxcleat_once::Incarnation;
use lynxcleat_standin::wait_until;
use lynxcleat_store::{HostEntry, HostState};
use lynxcleat_wire::{Answer, Frame, Hello};
use rstest::rstest;
use serde_bytes::ByteBuf;
use socket2::{Domain, Socket, Type};
use support::{PATIENCE, Peer, Plan, Running, Worker, call, free_address, own_ip, try_call};
use tokio::net::TcpListener;

/// A host that loses power or is cut off says nothing. Calls that were sent to it waited for
/// the heartbeat to be missed, and so did those that were sent after them. A loopback
/// connection is always acknowledged, so the test sees to the setting; days with
/// `node_kill` (power) show what it does.
#[test]
fn a_connection_whose_peer_acknowledges_nothing_is_given_up_within_a_second() {
    let runtime = tokio::runtime::Runtime::new().expect("a runtime");
    runtime.block_on(async {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0")
            .await
            .expect("bound");
        let address = listener.local_addr().expect("its address");
        let stream = tokio::net::TcpStream::connect(address)
            .await
            .expect("connected");
        lynxcleat_daemon::prepare_connection(&stream).expect("prepared");
        let socket = socket2::SockRef::from(&stream);
        let limit = socket.tcp_user_timeout().expect("the limit");
        assert!(
            limit.is_some_and(|limit| limit <= Duration::from_secs(1)),
            "{limit:?}"
        );
        assert!(socket.tcp_nodelay().expect("the flag"));
    });
}

/// A host that has just started, or is busy, loses the opening packet of a connection, and the system
/// repeats it after a second: starts waited that long for peers that were up again.
#[test]
fn a_link_to_a_host_that_lost_the_opening_packet_is_opened_anew_before_the_system_repeats_it() {
    let runtime = tokio::runtime::Runtime::new().expect("a runtime");
    runtime.block_on(async {
        let listener = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        let any: std::net::SocketAddr = "127.0.0.1:0".parse().expect("an address");
        listener.bind(&any.into()).expect("bound");
        listener.listen(0).expect("listens");
        let bound = listener.local_addr().expect("its address");
        let address = bound.as_socket().expect("an IP address").to_string();
        // The queue takes one connection; the next opening packets are dropped.
        let _first = tokio::net::TcpStream::connect(&address)
            .await
            .expect("queued");
        let plain = tokio::net::TcpStream::connect(&address);
        let anew = lynxcleat_daemon::connect_soon(&address);
        let empties = async {
            tokio::time::sleep(Duration::from_millis(300)).await;
            listener.accept().expect("accepted");
            std::future::pending::<()>().await;
        };
        let is_first = tokio::select! {
            _ = plain => false,
            anew = anew => anew.is_ok(),
            () = empties => false,
        };
        assert!(is_first);
    });
}

#[test]
fn a_daemon_with_another_key_gets_no_link_and_no_calls() {
    let mut fleet = Plan::new("mesh-key").start();
    let stranger = fleet.add_stranger("a key that is not the tests' own");
    let knows = || fleet.workers[0].status().is_some_and(|s| s.hosts == 3);
    assert!(wait_until(PATIENCE, knows));
    for _ in 0..20 {
        let reply = fleet.workers[0].get("/", &[]);
        assert_eq!(reply.status, 200);
        assert_ne!(reply.json()["target"], "stranger");
    }
    let refused = || fleet.workers[0].metric("lynxcleat_links_refused_total{kind=\"hello\"}") > 0.0;
    assert!(
        wait_until(PATIENCE, || {
            stranger.get("/", &[]);
            refused()
        }),
        "the refusal is counted"
    );
    let served = fleet.workers.iter().map(|w| w.target.served());
    assert_eq!(
        served.sum::<u64>(),
        20,
        "the stranger's calls went nowhere else"
    );
    if let Some(Running::Here(daemon)) = stranger.daemon {
        fleet.runtime.block_on(daemon.stop());
    }
}

#[test]
fn malformed_and_unproved_connections_are_closed_and_harm_no_other() {
    let fleet = Plan::new("mesh-malformed").start();
    let worker = &fleet.workers[0];
    assert_eq!(worker.get("/", &[]).status, 200);
    let links = worker.status().expect("a status").links;
    let upgrade = "GET /mesh HTTP/1.1\r\nHost: x\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n\
        Sec-WebSocket-Version: 13\r\nSec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n";
    let garbage: [&[u8]; 4] = [
        b"\x82\x85\x00\x00\x00\x00hello",
        b"\x81\x85\x00\x00\x00\x00hello",
        b"\x82\xff\xff\xff\xff\xff\xff\xff\xff\xff\x00\x00\x00\x00",
        b"nothing of a web socket at all",
    ];
    for bytes in garbage {
        let mut stream = TcpStream::connect(&worker.entry.mesh).expect("connect");
        stream
            .set_read_timeout(Some(Duration::from_secs(10)))
            .expect("set");
        stream.write_all(upgrade.as_bytes()).expect("written");
        let mut answer = [0; 512];
        assert!(stream.read(&mut answer).expect("an answer") > 0);
        let _ = stream.write_all(bytes);
        let mut rest = Vec::new();
        let closed = stream.read_to_end(&mut rest);
        assert!(
            closed.is_ok()
                || closed.is_err_and(|e| e.kind() == std::io::ErrorKind::ConnectionReset)
        );
    }
    assert_eq!(worker.status().expect("a status").links, links);
    assert_eq!(worker.get("/", &[]).status, 200);
}

#[test]
fn callers_reach_neither_the_mesh_nor_the_operators_endpoints() {
    let fleet = Plan::new("mesh-outside").start();
    let worker = &fleet.workers[0];
    for path in ["/metrics", "/status", "/drain", "/mesh"] {
        // They are paths of the service like any other, for its target to answer.
        let reply = worker.get(path, &[]);
        assert_eq!(reply.json()["path"], path);
    }
    let upgrade = [("Connection", "Upgrade"), ("Upgrade", "websocket")];
    assert_eq!(
        worker.get("/mesh", &upgrade).status,
        200,
        "no upgrade is made"
    );
    assert!(!worker.status().expect("a status").leaving);
}

/// The hello of a daemon says whether its target takes calls. A change after the hello and
/// before the link stood was told to the other links only: a router never heard that a target
/// took calls again, and sent it none for as long as the link stood.
#[test]
fn a_change_of_a_target_during_the_making_of_a_link_is_told_on_it() {
    let fleet = Plan::new("mesh-meanwhile").start();
    let worker = &fleet.workers[0];
    let drain = |path: &str| {
        assert_eq!(call(&worker.entry.ops, "POST", path, &[], b"").status, 200);
    };
    for (path, leaves) in [("/drain", true), ("/undrain", false)] {
        let said = fleet.runtime.block_on(async {
            let ours = Peer::hello(&worker.raw.deployment, "other", "127.0.0.1:1");
            let mut peer = Peer::dial_while(&worker.entry.mesh, ours, || drain(path)).await;
            let said = peer.receive_until(|frame| match frame {
                Frame::Leaving(leaving) => Some(leaving),
                _ => None,
            });
            tokio::time::timeout(PATIENCE, said).await
        });
        assert_eq!(said, Ok(leaves), "after {path}");
    }
}

/// A caller of a worker's daemon gets the answer of a peer's target.
async fn reach(worker: &Worker, peer: &mut Peer) {
    let callers = worker.callers.clone();
    let caller =
        std::thread::spawn(move || try_call(&callers, "GET", "/", &[("Host", "stock")], b""));
    let answered = tokio::time::timeout(PATIENCE, async {
        let attempt = peer.receive_until(|frame| match frame {
            Frame::Call(call) => Some(call.attempt),
            _ => None,
        });
        let attempt = attempt.await;
        let answer = Answer {
            status: 200,
            headers: Vec::new(),
            body: ByteBuf::new(),
        };
        peer.send(Frame::Answer {
            attempt,
            answer,
            figures: None,
            there_us: 1,
            work_us: None,
        })
        .await;
    });
    let answered = answered.await;
    let reply = caller.join().expect("it ends").map(|reply| reply.status);
    assert!(answered.is_ok(), "not called; the caller got {reply:?}");
    assert_eq!(reply.ok(), Some(200));
}

/// What a daemon that has ended said last arrived on a link of its own making, after its next
/// incarnation had made itself known: calls went past a target that takes them.
#[rstest]
#[case::leaving(Frame::Leaving(true))]
#[case::down(Frame::Down(true))]
fn late_words_of_an_earlier_incarnation_do_not_keep_calls_from_its_target(#[case] late: Frame) {
    let mut plan = Plan::new("mesh-incarnations");
    plan.workers = 1;
    let fleet = plan.start();
    let worker = &fleet.workers[0];
    let mesh = free_address(&own_ip());
    let deployment = &worker.raw.deployment;
    let hello = |incarnation| Hello {
        incarnation: Incarnation(incarnation),
        ..Peer::hello(deployment, "stock", &mesh)
    };
    fleet.runtime.block_on(async {
        let listener = TcpListener::bind(&mesh).await.expect("bound");
        let listed = HostEntry {
            host: "peer".to_owned(),
            mesh: mesh.clone(),
            ops: mesh.clone(),
            state: HostState::Live,
            ..worker.entry.clone()
        };
        fleet.platform.put_host(listed);
        // Links are made for services that are called.
        let own = call(&worker.callers, "GET", "/", &[("Host", "stock")], b"");
        assert_eq!(own.status, 200);
        let earlier = Peer::accept(&listener, hello(7)).await;
        let mut own_link = Peer::dial(&worker.entry.mesh, hello(7)).await;
        drop(earlier);
        let mut later = Peer::accept(&listener, hello(8)).await;
        // The worker's own target takes no calls, so that the peer's gets them.
        let drained = call(&worker.entry.ops, "POST", "/drain", &[], b"");
        assert_eq!(drained.status, 200);
        reach(worker, &mut later).await;
        own_link.send(late).await;
        // A reply to the heartbeat shows that what was sent before it was read.
        own_link.send(Frame::Beat).await;
        own_link
            .receive_until(|frame| (frame == Frame::Beat).then_some(()))
            .await;
        reach(worker, &mut later).await;
    });
}
