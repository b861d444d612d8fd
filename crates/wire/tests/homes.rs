//! Home regions of a call on the wire.

use lynxcleat_policy::{AttemptId, CallKind, Elsewhere, Homes};
use lynxcleat_wire::{CallFrame, Envelope, Frame, RequestHead, decode, encode};
use rstest::rstest;
use serde_bytes::ByteBuf;

fn envelope(homes: Homes) -> Envelope {
    let call = CallFrame {
        attempt: AttemptId(1),
        call: "c".to_owned(),
        service: "s".to_owned(),
        kind: CallKind::default(),
        priority: 0,
        nested: false,
        canary: false,
        homes,
        elsewhere: Elsewhere::Nowhere,
        goal_left_us: None,
        left_us: 1,
        operation: None,
        caller_service: None,
        organisation: None,
        head: RequestHead {
            method: "GET".to_owned(),
            path: "/".to_owned(),
            headers: Vec::new(),
        },
        body: ByteBuf::new(),
        to_come: None,
    };
    Envelope {
        generation: 1,
        frame: Frame::Call(Box::new(call)),
    }
}

#[rstest]
#[case::anywhere(Homes::Anywhere)]
#[case::one(Homes::from(vec!["r1".to_owned()]))]
#[case::two(Homes::from(vec!["r1".to_owned(), "r2".to_owned()]))]
#[case::nowhere(Homes::from(Vec::new()))]
fn what_arrives_allows_what_was_sent(#[case] homes: Homes) {
    let sent = envelope(homes);
    let bytes = encode(&sent).expect("encoded");
    assert_eq!(decode(&bytes).expect("decoded"), sent);
}

#[test]
fn a_call_without_home_regions_costs_no_byte_for_them() {
    let size = |homes| encode(&envelope(homes)).expect("encoded").len();
    let key_and_empty_list = 3;
    let empty = size(Homes::from(Vec::new()));
    assert_eq!(empty - size(Homes::Anywhere), key_and_empty_list);
}
