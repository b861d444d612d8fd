//! Answers that another daemon passes on from its target.

mod support;

use std::thread;

use lynxcleat_wire::{Answer, Frame, Header};
use rstest::rstest;
use serde_bytes::ByteBuf;
use support::{FakeHalf, Peer, Plan, try_call};

/// Header that targets put on their answers.
const STAMP: &str = "x-stamp";

async fn answer_next(peer: &mut Peer, status: u16) {
    let wanted = |frame| match frame {
        Frame::Call(call) => Some(call.attempt),
        _ => None,
    };
    let attempt = peer.receive_until(wanted).await;
    let stamp = Header(STAMP.to_owned(), ByteBuf::from(b"of the target".to_vec()));
    let answer = Answer {
        status,
        headers: vec![stamp],
        body: b"of the target".to_vec().into(),
    };
    peer.send(Frame::Answer {
        attempt,
        answer,
        figures: None,
        there_us: 1,
        work_us: None,
    })
    .await;
}

/// Guards against answers whose status is none: callers got 502 with the stamp and the body of the
/// target.
#[rstest]
#[case::zeros(0, 504)]
#[case::below(99, 504)]
#[case::switching(101, 504)]
#[case::above(1_000, 504)]
#[case::success(200, 200)]
#[case::failure(500, 500)]
#[case::largest(999, 999)]
fn a_status_that_is_none_is_passed_on_to_no_caller(#[case] status: u16, #[case] told: u16) {
    let fleet = Plan::new("peer-status").start();
    let half = FakeHalf::add(&fleet, "other");
    let callers = fleet.workers[0].callers.clone();
    let called = thread::spawn(move || try_call(&callers, "POST", "/", &[("Host", "other")], b""));
    fleet.runtime.block_on(async {
        let mut peer = half.linked().await;
        answer_next(&mut peer, status).await;
    });
    let reply = called.join().expect("a caller").expect("an answer");
    assert_eq!(reply.status, told);
    let is_of_target = reply.header(STAMP).is_some();
    assert_eq!(is_of_target, told == status, "{}", reply.head);
}
