//! Flow-control window of a streamed body, at the sender and the receiver.

use std::collections::VecDeque;

use lynxcleat_policy::{BodyError, ReceiveWindow, SendWindow};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use rstest::rstest;

/// An event at either side; the network keeps the order in each direction.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// The sender sends a chunk of this size, if allowed.
    Send(u64),
    /// The sender sends its last chunk, if allowed.
    Last(u64),
    /// The oldest chunk in flight arrives.
    Arrive,
    /// The receiver releases this many bytes.
    Release(u64),
    /// The oldest grant in flight arrives.
    Grant,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (1..700_u64).prop_map(Step::Send),
        1 => (0..700_u64).prop_map(Step::Last),
        4 => Just(Step::Arrive),
        4 => (1..900_u64).prop_map(Step::Release),
        3 => Just(Step::Grant),
    ]
}

proptest! {
    #![proptest_config(Config { rng_seed: RngSeed::Fixed(23), cases: 500, failure_persistence: None, ..Config::default() })]

    /// For any order of events: the sender stays within its grants, the receiver never buffers
    /// more than the window and refuses no chunk that the sender may send, and nothing is sent
    /// or granted after the end.
    #[test]
    fn buffered_bytes_never_exceed_the_window(
        window in 1..2_000_u64,
        steps in prop::collection::vec(step(), 1..400),
    ) {
        let mut sender = SendWindow::default();
        let mut receiver = ReceiveWindow::new(window, None);
        let mut grants = VecDeque::from([receiver.open()]);
        let mut chunks: VecDeque<(u64, bool)> = VecDeque::new();
        let (mut granted, mut sent, mut buffered, mut ended) = (0, 0, 0, false);
        for step in steps {
            match step {
                Step::Send(bytes) => {
                    if sender.try_send(bytes, false) {
                        prop_assert!(!ended);
                        sent += bytes;
                        chunks.push_back((bytes, false));
                    }
                }
                Step::Last(bytes) => {
                    if sender.try_send(bytes, true) {
                        prop_assert!(!ended);
                        ended = true;
                        sent += bytes;
                        chunks.push_back((bytes, true));
                    }
                }
                Step::Arrive => {
                    if let Some((bytes, last)) = chunks.pop_front() {
                        prop_assert_eq!(receiver.receive(bytes, last), Ok(()));
                        buffered += bytes;
                    }
                }
                Step::Release(bytes) => {
                    let bytes = bytes.min(buffered);
                    buffered -= bytes;
                    if let Some(more) = receiver.release(bytes) {
                        prop_assert!(!receiver.is_complete());
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
            prop_assert!(buffered <= window, "{buffered} buffered in a window of {window}");
        }
    }

    /// A body completes for any chunk size and window: sender and receiver never wait for
    /// each other.
    #[test]
    fn a_body_always_completes(
        window in 1..2_000_u64,
        length in 0..20_000_u64,
        chunk in 1..3_000_u64,
    ) {
        let mut sender = SendWindow::default();
        let mut receiver = ReceiveWindow::new(window, Some(length));
        sender.grant(receiver.open());
        let mut left = length;
        while !receiver.is_complete() {
            let bytes = left.min(chunk).min(sender.available());
            prop_assert!(bytes > 0 || left == 0, "deadlock: no room to send and no grant in flight");
            left -= bytes;
            prop_assert!(sender.try_send(bytes, left == 0));
            prop_assert_eq!(receiver.receive(bytes, left == 0), Ok(()));
            if let Some(more) = receiver.release(bytes) {
                sender.grant(more);
            }
        }
        prop_assert_eq!(receiver.received(), length);
    }
}

#[rstest]
#[case::before_the_window_opens(None, &[], (1, false), BodyError::BeyondWindow(1))]
#[case::beyond_the_window(Some(1_000), &[(60, false)], (41, false), BodyError::BeyondWindow(1))]
#[case::after_the_last_chunk(None, &[(60, true)], (1, false), BodyError::AfterEnd)]
#[case::second_last_chunk(None, &[(60, true)], (0, true), BodyError::AfterEnd)]
#[case::longer_than_declared(Some(70), &[(60, false)], (11, false), BodyError::LengthMismatch { received: 71, declared: 70 })]
#[case::shorter_than_declared(Some(70), &[(60, false)], (9, true), BodyError::LengthMismatch { received: 69, declared: 70 })]
fn a_disallowed_chunk_is_refused(
    #[case] declared: Option<u64>,
    #[case] before: &[(u64, bool)],
    #[case] (bytes, last): (u64, bool),
    #[case] error: BodyError,
) {
    let mut receiver = ReceiveWindow::new(100, declared);
    if !before.is_empty() {
        receiver.open();
    }
    for (bytes, last) in before {
        assert_eq!(receiver.receive(*bytes, *last), Ok(()));
    }
    let received_before = receiver.received();
    assert_eq!(receiver.receive(bytes, last), Err(error));
    assert_eq!(receiver.received(), received_before);
}
