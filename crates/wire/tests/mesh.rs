//! Message encoding, rejection of malformed messages and authentication by the shared key.

use lynxcleat_once::Incarnation;
use lynxcleat_policy::{AttemptId, Coverage, Departure, ReportedState, TargetLoad};
use lynxcleat_wire::{
    Answer, BodyChunkFrame, CodecError, DeparturesFrame, Envelope, Frame, Header, Hello,
    HelloError, PROTOCOL_VERSION, RowFrame, RowsFrame, SharedKey, Side, decode, encode,
};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use rstest::rstest;
use serde_bytes::ByteBuf;

fn hello(nonce: u128) -> Hello {
    Hello {
        version: PROTOCOL_VERSION,
        deployment: "test".to_owned(),
        host: "h".to_owned(),
        place: "p".to_owned(),
        zone: "z".to_owned(),
        region: String::new(),
        service: "s".to_owned(),
        mesh: "127.0.0.1:1".to_owned(),
        incarnation: Incarnation(u64::MAX),
        started_ms: 5,
        leaving: false,
        down: false,
        nonce,
    }
}

fn answer_envelope() -> Envelope {
    Envelope {
        generation: 4,
        frame: Frame::Answer {
            attempt: AttemptId(1 << 40),
            answer: Answer {
                status: 200,
                headers: vec![Header("a".to_owned(), vec![0xff, 0].into())],
                body: vec![1, 2, 3].into(),
            },
            figures: Some(TargetLoad {
                in_flight: 3,
                held: 1,
                slots: 12,
                service_us: 900,
                slowness_percent: 400,
                slowness_age_ms: 3,
                notice: None,
            }),
            there_us: 77,
            work_us: Some(70),
        },
    }
}

#[test]
fn messages_survive_encoding() {
    for envelope in [
        answer_envelope(),
        Envelope {
            generation: 0,
            frame: Frame::Hello(Box::new(hello(u128::MAX))),
        },
        Envelope {
            generation: 1,
            frame: Frame::Window {
                attempt: AttemptId(3),
                bytes: u64::MAX,
            },
        },
        Envelope {
            generation: 1,
            frame: Frame::Piece(BodyChunkFrame {
                attempt: AttemptId(3),
                bytes: vec![0xff; 9_000].into(),
                last: true,
            }),
        },
        Envelope {
            generation: u64::MAX,
            frame: Frame::Beat,
        },
    ] {
        let bytes = encode(&envelope).expect("encodes");
        assert_eq!(decode(&bytes).expect("decodes"), envelope);
    }
}

/// A daemon of an earlier build decodes generation and frame alone, and refuses frames that it does
/// not know, with the link.
#[test]
fn departures_are_a_beat_to_daemons_that_do_not_know_them() {
    #[derive(serde::Deserialize)]
    struct EarlierEnvelope {
        #[serde(rename = "g")]
        generation: u64,
        #[serde(rename = "f")]
        frame: Frame,
    }
    let envelope = Envelope {
        generation: 7,
        frame: Frame::Departures(DeparturesFrame {
            ask: Some(3),
            coverage: Some(Coverage::ALWAYS),
            departures: vec![Departure {
                host: "h".to_owned(),
                instance: "i".to_owned(),
                started_ms: Some(5),
                state: ReportedState::Gone,
            }],
        }),
    };
    let bytes = encode(&envelope).expect("encodes");
    assert_eq!(decode(&bytes).expect("decodes"), envelope);
    let earlier: EarlierEnvelope = ciborium::from_reader(&bytes[..]).expect("decodes");
    assert_eq!((earlier.generation, earlier.frame), (7, Frame::Beat));
}

#[test]
fn truncated_messages_and_trailing_bytes_are_rejected() {
    let bytes = encode(&answer_envelope()).expect("encodes");
    for end in 0..bytes.len() {
        assert!(decode(&bytes[..end]).is_err(), "truncated to {end} bytes");
    }
    let mut with_trailing_byte = bytes;
    with_trailing_byte.push(0);
    assert!(matches!(
        decode(&with_trailing_byte),
        Err(CodecError::Trailing(1))
    ));
}

#[rstest]
#[case::same_key_and_side(b"0123456789abcdef", Side::Dialer, 1, Ok(()))]
#[case::other_key(b"0123456789abcdeX", Side::Dialer, 1, Err(HelloError::BadProof))]
#[case::reflected(b"0123456789abcdef", Side::Acceptor, 1, Err(HelloError::BadProof))]
#[case::replayed(b"0123456789abcdef", Side::Dialer, 3, Err(HelloError::BadProof))]
fn proof_is_valid_only_for_its_key_side_and_link(
    #[case] key: &[u8],
    #[case] side: Side,
    #[case] nonce: u128,
    #[case] expected: Result<(), HelloError>,
) {
    let ours = SharedKey::new(b"0123456789abcdef").expect("key is long enough");
    let theirs = SharedKey::new(key).expect("key is long enough");
    let proof = theirs.prove(side, &hello(nonce), &hello(2));
    let result = ours.check(Side::Dialer, &hello(1), &hello(2), &proof);
    assert_eq!(result, expected);
}

#[test]
fn other_versions_other_deployments_and_short_keys_are_refused() {
    let mut theirs = hello(1);
    theirs.version += 1;
    assert!(matches!(
        hello(2).check(&theirs),
        Err(HelloError::Version { .. })
    ));
    let mut theirs = hello(1);
    theirs.deployment = "other".to_owned();
    let result = hello(2).check(&theirs);
    assert!(matches!(result, Err(HelloError::Deployment { .. })));
    assert!(matches!(
        SharedKey::new(b"short"),
        Err(HelloError::ShortKey(5))
    ));
}

proptest! {
    #![proptest_config(Config { rng_seed: RngSeed::Fixed(9), cases: 4_000, failure_persistence: None, ..Config::default() })]

    /// Guards against panics in the decoder: arbitrary bytes and messages with altered bytes are
    /// either decoded or rejected.
    #[test]
    fn decoder_does_not_panic_on_arbitrary_bytes(
        arbitrary in prop::collection::vec(any::<u8>(), 0..200),
        changes in prop::collection::vec((any::<usize>(), any::<u8>()), 0..8),
    ) {
        let _ = decode(&arbitrary);
        let mut bytes = encode(&answer_envelope()).expect("encodes");
        for (index, byte) in changes {
            let index = index % bytes.len();
            bytes[index] = byte;
        }
        let _ = decode(&bytes);
    }
}

/// Guards against rows lost or altered by compression, and against sending large tables
/// uncompressed.
#[rstest]
#[case(0)]
#[case(1)]
#[case(984)]
fn rows_survive_compression(#[case] count: u64) {
    let row = |number: u64| RowFrame {
        key: format!("member/host-{number}"),
        value: Some(ByteBuf::from(format!(
            r#"{{"host":"host-{number}","zone":"east-1","service":"stock","state":"live"}}"#
        ))),
        version: number,
    };
    let rows: Vec<RowFrame> = (0..count).map(row).collect();
    let uncompressed_size: usize = rows.iter().map(|row| row.key.len() + 70).sum();
    let envelope = Envelope {
        generation: 1,
        frame: Frame::Rows(RowsFrame {
            after: 0,
            through: count,
            wanted: true,
            age_ms: 5,
            poll: None,
            rows,
            digest: None,
            keys: None,
        }),
    };
    let bytes = encode(&envelope).expect("encodes");
    assert_eq!(decode(&bytes).expect("decodes"), envelope);
    assert!(
        count < 100 || bytes.len() * 3 < uncompressed_size,
        "compressed {uncompressed_size} bytes only to {}",
        bytes.len()
    );
}
