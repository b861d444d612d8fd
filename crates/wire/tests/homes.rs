//! Encoding of a call's home regions.

use lynxcleat_policy::{AttemptId, CallKind, Elsewhere, Homes};
use lynxcleat_wire::{CallFrame, Envelope, Frame, RequestHead, decode, encode};
use rstest::rstest;
use serde_bytes::ByteBuf;

fn call_envelope(homes: Homes) -> Envelope {
    let call = CallFrame {
        attempt: AttemptId(1),
        number: 1,
        notice: None,
        share: None,
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
fn home_regions_survive_encoding(#[case] homes: Homes) {
    let sent = call_envelope(homes);
    let bytes = encode(&sent).expect("call encodes");
    assert_eq!(decode(&bytes).expect("call decodes"), sent);
}

#[test]
fn unrestricted_home_regions_are_not_encoded() {
    let encoded_size = |homes| encode(&call_envelope(homes)).expect("call encodes").len();
    let key_and_empty_list_bytes = 3;
    let size_with_empty_list = encoded_size(Homes::from(Vec::new()));
    assert_eq!(
        size_with_empty_list - encoded_size(Homes::Anywhere),
        key_and_empty_list_bytes
    );
}
