//! A caller's daemon, for whose targets' daemons the test speaks.

use std::io::Write;
use std::thread;
use std::time::Duration;

use lynxcleat_policy::{AttemptId, Refusal, RefusalReason};
use lynxcleat_settings::{Tree, TreeCopy};
use lynxcleat_standin::wait_until;
use lynxcleat_wire::{BodyAnnouncement, BodyChunkFrame, CallFrame, Frame, SettingsRequest};
use serde_json::json;

use super::{body, head, piece_bytes, plan, read_answer};
use crate::support::{FakeHalf, PATIENCE, Peer, Reply, Worker, call, try_call};

async fn next_call(peer: &mut Peer) -> CallFrame {
    let wanted = |frame| match frame {
        Frame::Call(call) => Some(*call),
        _ => None,
    };
    peer.receive_until(wanted).await
}

async fn next_piece(peer: &mut Peer) -> BodyChunkFrame {
    let wanted = |frame| match frame {
        Frame::Piece(piece) => Some(piece),
        _ => None,
    };
    peer.receive_until(wanted).await
}

/// Starts an upload of a body in a thread; its answer comes back.
fn upload(worker: &Worker, sent: Vec<u8>) -> thread::JoinHandle<std::io::Result<Reply>> {
    let callers = worker.callers.clone();
    thread::spawn(move || try_call(&callers, "POST", "/up/", &[("Host", "stock")], &sent))
}

fn answer_of(attempt: AttemptId) -> Frame {
    Frame::Answer {
        attempt,
        answer: lynxcleat_wire::Answer {
            status: 200,
            headers: Vec::new(),
            body: b"done".to_vec().into(),
        },
        figures: None,
        there_us: 1,
        work_us: None,
    }
}

#[test]
fn nothing_is_sent_before_the_window_opens_nor_beyond_it() {
    let fleet = plan("large-window", "other", json!({})).start();
    let half = FakeHalf::add(&fleet, "other");
    let worker = &fleet.workers[0];
    let sent = body(100_000);
    let uploaded = upload(worker, sent.clone());
    fleet.runtime.block_on(async {
        let mut peer = half.linked().await;
        let call = next_call(&mut peer).await;
        let attempt = call.attempt;
        assert!(call.body.is_empty());
        assert_eq!(
            call.to_come,
            Some(BodyAnnouncement {
                length: Some(100_000),
                ahead: false
            })
        );
        // The daemon has every chance to send more: it answers a question meanwhile.
        let mut got = Vec::new();
        for granted in [0, 20_000, 20_000, 60_000] {
            let before = got.len();
            if granted > 0 {
                peer.send(Frame::Window {
                    attempt,
                    bytes: granted,
                })
                .await;
            }
            while got.len() < before + granted as usize {
                let piece = next_piece(&mut peer).await;
                got.extend_from_slice(&piece.bytes);
                assert_eq!(piece.last, got.len() == sent.len());
            }
            assert_eq!(got.len(), before + granted as usize);
            let asked =
                SettingsRequest::new(1, u64::MAX, &TreeCopy::of(&Tree::default()).request());
            peer.send(Frame::AskSettings(asked)).await;
            loop {
                match peer.receive().await {
                    Frame::Settings { .. } => break,
                    Frame::Piece(piece) => panic!("{} bytes beyond", piece.bytes.len()),
                    _ => {}
                }
            }
        }
        assert_eq!(got, sent);
        peer.send(answer_of(attempt)).await;
    });
    let reply = uploaded.join().expect("joined").expect("an answer");
    assert_eq!(reply.body, b"done");
    assert_eq!(piece_bytes(worker), 100_000);
}

/// Bytes of pieces that left a daemon whose writer waits. Each sender counts its piece once it
/// is written, on a busy machine later, so the count is read until it stands still.
fn all_counted(ops: &str) -> usize {
    let counted = || {
        let reply = call(ops, "GET", "/metrics", &[], b"");
        let text = String::from_utf8_lossy(&reply.body).into_owned();
        let mut lines = text.lines();
        let line = lines.find(|line| line.starts_with("lynxcleat_piece_bytes_total"));
        let value = line.and_then(|line| line.rsplit(' ').next()?.parse::<usize>().ok());
        value.expect("the metric")
    };
    let mut last = counted();
    let stands = wait_until(PATIENCE, || {
        thread::sleep(Duration::from_millis(200));
        let now = counted();
        std::mem::replace(&mut last, now) == now
    });
    assert!(stands, "{last} bytes and more");
    last
}

/// The writer of a link that is behind has a piece of each body at most, and what is small
/// goes first.
#[test]
fn small_messages_pass_the_pieces_of_bodies() {
    // So many that a piece always waits.
    const UPLOADS: usize = 24;
    const LENGTH: usize = 4 << 20;
    let fleet = plan("large-order", "other", json!({})).start();
    let half = FakeHalf::add(&fleet, "other");
    let worker = &fleet.workers[0];
    let uploads: Vec<_> = (0..UPLOADS).map(|_| upload(worker, body(LENGTH))).collect();
    fleet.runtime.block_on(async {
        let mut peer = half.linked().await;
        let mut attempts = Vec::new();
        for _ in 0..UPLOADS {
            attempts.push(next_call(&mut peer).await.attempt);
        }
        for attempt in attempts.clone() {
            let bytes = LENGTH as u64;
            peer.send(Frame::Window { attempt, bytes }).await;
        }
        // Until the connection is full, the peer reads; then the daemon's writer waits.
        let mut got = 0;
        while got < 1 << 20 {
            got += next_piece(&mut peer).await.bytes.len();
        }
        let ops = worker.entry.ops.clone();
        let left = tokio::task::spawn_blocking(move || {
            let reply = call(&ops, "POST", "/drain", &[], b"");
            assert_eq!(reply.status, 200);
            all_counted(&ops)
        });
        let left = left.await.expect("told");
        // What left before is in order; of the rest the message waits for one at most.
        loop {
            match peer.receive().await {
                Frame::Piece(piece) => got += piece.bytes.len(),
                Frame::Leaving(true) => break,
                _ => {}
            }
        }
        assert!(got <= left + (16 << 10), "{got} before it, {left} had left");
        assert!(left < UPLOADS * LENGTH / 2, "bodies were under way: {left}");
    });
    drop(uploads);
}

#[test]
fn a_call_that_is_refused_before_its_body_goes_to_another_target_whole() {
    let fleet = plan("large-moves", "stock", json!({})).start();
    let half = FakeHalf::add(&fleet, "stock");
    let worker = &fleet.workers[0];
    let refusing = fleet.runtime.spawn(async move {
        let mut peer = half.linked().await;
        loop {
            let call = next_call(&mut peer).await;
            let (attempt, bytes) = (call.attempt, 10_000);
            // Even a window that was opened is no beginning where nothing was sent.
            if call.head.path.ends_with("opened") {
                peer.send(Frame::Window { attempt, bytes }).await;
            }
            let refusal = Refusal {
                reason: RefusalReason::Busy,
                retry_after_us: 1_000,
            };
            peer.send(Frame::Refused {
                attempt,
                refusal,
                figures: None,
            })
            .await;
            if call.head.path.ends_with("opened") {
                return;
            }
        }
    });
    let linked = || {
        worker.get("/other", &[]);
        worker.status().is_some_and(|status| status.links >= 4)
    };
    assert!(wait_until(PATIENCE, linked));
    for nth in 0..60 {
        let sent = body(50_000 + nth);
        let path = if nth < 20 { "/up/plain" } else { "/up/opened" };
        let more = format!("Content-Length: {}\r\n", sent.len());
        let mut stream = head(worker, path, &more);
        // The body follows late, so that the refusal comes before it.
        thread::sleep(Duration::from_millis(10));
        stream.write_all(&sent).expect("sent");
        let reply = read_answer(&mut stream);
        let told = String::from_utf8_lossy(&reply.body);
        assert_eq!(reply.status, 200, "{nth}: {told}");
        assert_eq!(
            reply.json()["body"],
            String::from_utf8_lossy(&sent).as_ref()
        );
        if refusing.is_finished() {
            return;
        }
    }
    panic!("no call was offered to the peer");
}

#[test]
fn a_link_that_is_lost_in_the_middle_leaves_the_outcome_unknown() {
    let fleet = plan("large-link", "other", json!({})).start();
    let half = FakeHalf::add(&fleet, "other");
    let uploaded = upload(&fleet.workers[0], body(100_000));
    fleet.runtime.block_on(async {
        let mut peer = half.linked().await;
        let attempt = next_call(&mut peer).await.attempt;
        peer.send(Frame::Window {
            attempt,
            bytes: 30_000,
        })
        .await;
        next_piece(&mut peer).await;
    });
    drop(half);
    let reply = uploaded.join().expect("joined").expect("an answer");
    assert_eq!((reply.status, reply.outcome().as_str()), (504, "unknown"));
}

/// Its router still has all of it.
#[test]
fn a_body_that_was_sent_ahead_goes_to_another_target_after_a_refusal() {
    let fleet = plan("large-ahead", "stock", json!({})).start();
    let half = FakeHalf::add(&fleet, "stock");
    let worker = &fleet.workers[0];
    let (refused, is_refused) = flume::unbounded();
    fleet.runtime.spawn(async move {
        let mut peer = half.linked().await;
        loop {
            let call = next_call(&mut peer).await;
            let attempt = call.attempt;
            if call.to_come.is_some_and(|to_come| to_come.ahead) {
                let bytes = 30_000;
                peer.send(Frame::Window { attempt, bytes }).await;
                while !next_piece(&mut peer).await.last {}
                let _ = refused.send(());
            }
            let refusal = Refusal {
                reason: RefusalReason::Busy,
                retry_after_us: 1_000,
            };
            let figures = None;
            peer.send(Frame::Refused {
                attempt,
                refusal,
                figures,
            })
            .await;
        }
    });
    let linked = || {
        worker.get("/other", &[]);
        worker.status().is_some_and(|status| status.links >= 4)
    };
    assert!(wait_until(PATIENCE, linked));
    for nth in 0..60 {
        let sent = body(20_000 + nth);
        let reply = upload(worker, sent.clone()).join().expect("joined");
        let reply = reply.expect("an answer");
        let told = String::from_utf8_lossy(&reply.body);
        assert_eq!(reply.status, 200, "{nth}: {told}");
        assert_eq!(
            reply.json()["body"],
            String::from_utf8_lossy(&sent).as_ref()
        );
        if is_refused.try_recv().is_ok() {
            return;
        }
    }
    panic!("no call was offered to the peer");
}
