//! The window of a body in pieces, at both ends.

use std::collections::VecDeque;

use lynxcleat_policy::{BodyFault, ReceiveWindow, SendWindow};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use rstest::rstest;

/// What happens between the two ends; the network keeps the order of each direction.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// The sender sends so many bytes, if it may.
    Send(u64),
    /// The sender sends its last piece, if it may.
    Last(u64),
    /// The oldest piece arrives.
    Arrive,
    /// The receiver lets go of so many bytes.
    Take(u64),
    /// The oldest grant arrives.
    Grant,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (1..700_u64).prop_map(Step::Send),
        1 => (0..700_u64).prop_map(Step::Last),
        4 => Just(Step::Arrive),
        4 => (1..900_u64).prop_map(Step::Take),
        3 => Just(Step::Grant),
    ]
}

proptest! {
    #![proptest_config(Config { rng_seed: RngSeed::Fixed(23), cases: 500, failure_persistence: None, ..Config::default() })]

    /// In any order of events the sender keeps to what it was granted, the receiver never
    /// holds more than the window and refuses nothing that the sender may send, and nothing
    /// is sent or granted after the end.
    #[test]
    fn what_is_held_never_exceeds_the_window(
        window in 1..2_000_u64,
        steps in prop::collection::vec(step(), 1..400),
    ) {
        let mut sender = SendWindow::default();
        let mut receiver = ReceiveWindow::new(window, None);
        let mut grants = VecDeque::from([receiver.open()]);
        let mut pieces: VecDeque<(u64, bool)> = VecDeque::new();
        let (mut granted, mut sent, mut held, mut ended) = (0, 0, 0, false);
        for step in steps {
            match step {
                Step::Send(bytes) => {
                    if sender.send(bytes, false) {
                        prop_assert!(!ended);
                        sent += bytes;
                        pieces.push_back((bytes, false));
                    }
                }
                Step::Last(bytes) => {
                    if sender.send(bytes, true) {
                        prop_assert!(!ended);
                        ended = true;
                        sent += bytes;
                        pieces.push_back((bytes, true));
                    }
                }
                Step::Arrive => {
                    if let Some((bytes, last)) = pieces.pop_front() {
                        prop_assert_eq!(receiver.arrived(bytes, last), Ok(()));
                        held += bytes;
                    }
                }
                Step::Take(bytes) => {
                    let bytes = bytes.min(held);
                    held -= bytes;
                    if let Some(more) = receiver.taken(bytes) {
                        prop_assert!(!receiver.is_whole());
                        grants.push_back(more);
                    }
                }
                Step::Grant => {
                    if let Some(more) = grants.pop_front() {
                        sender.grant(more);
                        granted += more;
                    }
                }
            }
            prop_assert!(sent <= granted, "{sent} sent, {granted} granted");
            prop_assert!(held <= window, "{held} held in a window of {window}");
        }
    }

    /// A body goes on to its end, whatever its pieces and its window: the two ends never
    /// wait for each other.
    #[test]
    fn a_body_always_ends(
        window in 1..2_000_u64,
        length in 0..20_000_u64,
        piece in 1..3_000_u64,
    ) {
        let mut sender = SendWindow::default();
        let mut receiver = ReceiveWindow::new(window, Some(length));
        sender.grant(receiver.open());
        let mut left = length;
        while !receiver.is_whole() {
            let bytes = left.min(piece).min(sender.room());
            prop_assert!(bytes > 0 || left == 0, "nobody may go on");
            left -= bytes;
            prop_assert!(sender.send(bytes, left == 0));
            prop_assert_eq!(receiver.arrived(bytes, left == 0), Ok(()));
            if let Some(more) = receiver.taken(bytes) {
                sender.grant(more);
            }
        }
        prop_assert_eq!(receiver.bytes(), length);
    }
}

#[rstest]
#[case::before_it_is_open(None, &[], (1, false), BodyFault::BeyondWindow(1))]
#[case::beyond_the_window(Some(1_000), &[(60, false)], (41, false), BodyFault::BeyondWindow(1))]
#[case::after_the_end(None, &[(60, true)], (1, false), BodyFault::AfterEnd)]
#[case::two_ends(None, &[(60, true)], (0, true), BodyFault::AfterEnd)]
#[case::longer_than_stated(Some(70), &[(60, false)], (11, false), BodyFault::Length { found: 71, stated: 70 })]
#[case::shorter_than_stated(Some(70), &[(60, false)], (9, true), BodyFault::Length { found: 69, stated: 70 })]
fn a_piece_that_may_not_come_is_refused(
    #[case] stated: Option<u64>,
    #[case] before: &[(u64, bool)],
    #[case] (bytes, last): (u64, bool),
    #[case] fault: BodyFault,
) {
    let mut receiver = ReceiveWindow::new(100, stated);
    if !before.is_empty() {
        receiver.open();
    }
    for (bytes, last) in before {
        assert_eq!(receiver.arrived(*bytes, *last), Ok(()));
    }
    let bytes_before = receiver.bytes();
    assert_eq!(receiver.arrived(bytes, last), Err(fault));
    assert_eq!(receiver.bytes(), bytes_before);
}
