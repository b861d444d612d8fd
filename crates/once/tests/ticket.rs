//! Encoding and verification of tickets, and when the host list is known to be complete.

use lynxcleat_once::{HostListHistory, Incarnation, OpId, Ticket, TicketError, TicketKey};
use rstest::rstest;

fn ticket() -> Ticket {
    Ticket {
        op: OpId {
            incarnation: Incarnation(0xabc),
            seq: 9,
        },
        minted_ms: 1_700_000_000_000,
        guard: "127.0.0.2:7000".to_owned(),
    }
}

#[test]
fn a_signed_ticket_decodes_to_the_same_ticket() {
    let key = TicketKey::new(b"some shared secret");
    assert_eq!(key.verify(&key.sign(&ticket())), Ok(ticket()));
}

#[rstest]
#[case::empty("")]
#[case::words("not a ticket")]
#[case::other_version("t2.00.1.2.3.x")]
#[case::parts_missing("t1.0011.abc.9")]
#[case::bad_number("t1.000000000000000000000000.xyz.9.1.127.0.0.2:7000")]
fn malformed_tickets_are_refused(#[case] text: &str) {
    let key = TicketKey::new(b"some shared secret");
    assert_eq!(key.verify(text), Err(TicketError::Malformed));
}

#[test]
fn an_altered_ticket_or_one_signed_with_another_key_is_refused() {
    let key = TicketKey::new(b"some shared secret");
    let text = key.sign(&ticket());
    let other = TicketKey::new(b"another shared secret");
    assert_eq!(other.verify(&text), Err(TicketError::BadSignature));
    let redirected = text.replace("127.0.0.2", "127.0.0.3");
    assert_eq!(key.verify(&redirected), Err(TicketError::BadSignature));
    let renumbered = text.replace(".9.", ".a.");
    assert_eq!(key.verify(&renumbered), Err(TicketError::BadSignature));
}

#[rstest]
#[case::read_before_and_since(&[1_000, 40_000], 20_000, None, true)]
#[case::never_read(&[], 20_000, None, false)]
#[case::not_read_since_minting(&[1_000, 19_000], 20_000, None, false)]
#[case::first_read_too_close_to_minting(&[15_000, 40_000], 20_000, None, false)]
#[case::last_read_within_the_lag(&[1_000, 29_000], 20_000, None, false)]
#[case::target_left_since(&[1_000, 40_000], 20_000, Some(21_000), false)]
#[case::target_left_just_before(&[1_000, 40_000], 20_000, Some(12_000), false)]
#[case::target_left_long_before(&[1_000, 40_000], 20_000, Some(9_000), true)]
fn the_list_counts_as_complete_only_for_the_time_it_was_read(
    #[case] reads_ms: &[u64],
    #[case] minted_ms: u64,
    #[case] departed_ms: Option<u64>,
    #[case] covers: bool,
) {
    let mut history = HostListHistory::new();
    for started_ms in reads_ms {
        history.record_read(*started_ms);
    }
    if let Some(departed_ms) = departed_ms {
        history.record_departure(departed_ms, "stock");
    }
    history.record_departure(minted_ms, "another service");
    assert_eq!(history.covers("stock", minted_ms, 10_000), covers);
}
