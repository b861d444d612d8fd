//! A target's daemon, for whose routers the test speaks.

use lynxcleat_policy::{AttemptId, CallKind, Elsewhere, Homes, RefusalReason};
use lynxcleat_standin::wait_until;
use lynxcleat_wire::{BodyAnnouncement, BodyChunkFrame, CallFrame, Frame, Header, RequestHead};
use serde_json::json;

use super::{WINDOW, body, cut_by, plan, target};
use crate::support::{PATIENCE, Peer, Worker};

/// A router's link to a worker's daemon.
async fn dialed(worker: &Worker) -> Peer {
    let ours = Peer::hello(&worker.raw.deployment, "stock", "127.0.0.1:1");
    Peer::dial(&worker.entry.mesh, ours).await
}

fn call_in_pieces(attempt: AttemptId, length: u64) -> CallFrame {
    CallFrame {
        attempt,
        number: 1,
        notice: None,
        share: None,
        call: format!("call-{}", attempt.0),
        service: "stock".to_owned(),
        kind: CallKind::default(),
        priority: 0,
        nested: false,
        canary: false,
        homes: Homes::Anywhere,
        elsewhere: Elsewhere::Nowhere,
        goal_left_us: None,
        left_us: 10_000_000,
        operation: None,
        caller_service: None,
        organisation: None,
        head: RequestHead {
            method: "POST".to_owned(),
            path: "/up/".to_owned(),
            headers: vec![Header("host".to_owned(), b"stock".to_vec().into())],
        },
        body: Vec::new().into(),
        to_come: Some(BodyAnnouncement {
            length: Some(length),
            ahead: false,
        }),
    }
}

async fn send_piece(peer: &mut Peer, attempt: AttemptId, bytes: Vec<u8>, last: bool) {
    let bytes = bytes.into();
    let piece = BodyChunkFrame {
        attempt,
        bytes,
        last,
    };
    peer.send(Frame::Piece(piece)).await;
}

/// Waits until a window of so many bytes is open.
async fn window(peer: &mut Peer, wanted: usize) {
    let mut open = 0;
    while open < wanted {
        let bytes = |frame| match frame {
            Frame::Window { bytes, .. } => Some(bytes as usize),
            _ => None,
        };
        open += peer.receive_until(bytes).await;
    }
    assert_eq!(open, wanted);
}

/// How a call ended that a test's peer sent.
async fn end(peer: &mut Peer) -> Frame {
    let wanted = |frame| match frame {
        Frame::Answer { .. } | Frame::Refused { .. } | Frame::Lost(_) => Some(frame),
        _ => None,
    };
    peer.receive_until(wanted).await
}

#[test]
fn the_half_writes_nothing_before_the_first_piece_and_cuts_what_breaks_the_window() {
    let (address, seen) = target(|_| {});
    let fleet = plan("large-half", "stock", json!({})).start_with_target(&address);
    let worker = &fleet.workers[0];
    fleet.runtime.block_on(async {
        let mut peer = dialed(worker).await;
        // Withdrawn before the first piece: refused, and the target saw nothing.
        let attempt = AttemptId(1);
        let call = call_in_pieces(attempt, 200_000);
        peer.send(Frame::Call(Box::new(call))).await;
        window(&mut peer, WINDOW).await;
        peer.send(Frame::Cancel(attempt)).await;
        assert!(matches!(end(&mut peer).await, Frame::Refused { .. }));
        assert_eq!(seen.heads(), 0);
        // More than the window: cut, and the outcome is not known.
        let attempt = AttemptId(2);
        let call = call_in_pieces(attempt, 200_000);
        peer.send(Frame::Call(Box::new(call))).await;
        window(&mut peer, WINDOW).await;
        send_piece(&mut peer, attempt, body(1_000), false).await;
        assert!(wait_until(PATIENCE, || seen.heads() == 1));
        send_piece(&mut peer, attempt, body(100_000), false).await;
        assert!(matches!(end(&mut peer).await, Frame::Lost(_)));
    });
    assert!(seen.body().len() <= 1_000);
}

/// Once it is whole, an operation runs to its end, so that its outcome is known; before,
/// the loss of its link ends it.
#[test]
fn the_loss_of_a_link_ends_a_body_that_is_not_whole() {
    let (address, seen) = target(|_| {});
    let fleet = plan("large-half-link", "stock", json!({})).start_with_target(&address);
    let worker = &fleet.workers[0];
    fleet.runtime.block_on(async {
        let mut peer = dialed(worker).await;
        let attempt = AttemptId(1);
        let call = call_in_pieces(attempt, 200_000);
        peer.send(Frame::Call(Box::new(call))).await;
        let opened = |frame| matches!(frame, Frame::Window { .. }).then_some(());
        peer.receive_until(opened).await;
        send_piece(&mut peer, attempt, body(5_000), false).await;
        assert!(wait_until(PATIENCE, || seen.heads() == 1));
    });
    assert!(seen.body().len() <= 5_000);
    assert!(wait_until(PATIENCE, || cut_by(worker, "link") == 1.0));
}

#[test]
fn a_body_that_was_sent_ahead_is_offered_to_the_target_only_when_it_is_whole() {
    let (address, seen) = target(|_| {});
    let fleet = plan("large-half-ahead", "stock", json!({})).start_with_target(&address);
    let worker = &fleet.workers[0];
    fleet.runtime.block_on(async {
        let mut peer = dialed(worker).await;
        for (attempt, whole) in [(AttemptId(1), false), (AttemptId(2), true)] {
            let mut call = call_in_pieces(attempt, 20_000);
            call.to_come = Some(BodyAnnouncement {
                length: Some(20_000),
                ahead: true,
            });
            peer.send(Frame::Call(Box::new(call))).await;
            window(&mut peer, 20_000).await;
            send_piece(&mut peer, attempt, body(8_000), false).await;
            if whole {
                send_piece(&mut peer, attempt, body(12_000), true).await;
                assert!(wait_until(PATIENCE, || seen.heads() == 1));
            } else {
                // A body that is longer than was said is no body of this call.
                send_piece(&mut peer, attempt, body(12_001), true).await;
                assert!(matches!(end(&mut peer).await, Frame::Refused { .. }));
                assert_eq!(seen.heads(), 0);
            }
        }
    });
    assert_eq!(seen.body(), [body(8_000), body(12_000)].concat());
    assert_eq!(cut_by(worker, "sender"), 1.0);
}

/// Small calls wait behind what is on its way through the link, whoever sends it.
#[test]
fn all_bodies_on_their_way_to_one_daemon_are_bounded_together_and_too_many_go_elsewhere() {
    const LENGTH: u64 = 200_000;
    let (address, _seen) = target(|_| {});
    let overrides = json!({"body_window_bytes": 1 << 20});
    let fleet = plan("large-bounded", "stock", overrides).start_with_target(&address);
    let worker = &fleet.workers[0];
    fleet.runtime.block_on(async {
        let mut peer = dialed(worker).await;
        let offered = |nth: u64, elsewhere| {
            let mut call = call_in_pieces(AttemptId(nth), LENGTH);
            call.elsewhere = elsewhere;
            call.to_come = Some(BodyAnnouncement {
                length: Some(LENGTH),
                ahead: true,
            });
            Frame::Call(Box::new(call))
        };
        // Those that cannot go elsewhere wait here; of the others some are sent away.
        for nth in 1..=25 {
            let elsewhere = match nth {
                1..=5 => Elsewhere::Nowhere,
                _ => Elsewhere::Near,
            };
            peer.send(offered(nth, elsewhere)).await;
        }
        let mut open = 0;
        let refused = async {
            loop {
                match peer.receive().await {
                    Frame::Window { bytes, .. } => open += bytes,
                    Frame::Refused {
                        attempt, refusal, ..
                    } => return (attempt, refusal.reason),
                    _ => {}
                }
            }
        };
        let refused = tokio::time::timeout(PATIENCE, refused).await;
        let (attempt, reason) = refused.expect("one is sent away");
        assert!(attempt > AttemptId(5), "{attempt:?}");
        assert_eq!(reason, RefusalReason::Busy);
        // What does not come within a while is let come anew, so this is not the bound itself.
        assert!(open < 500_000, "{open} let come at once");
    });
}
