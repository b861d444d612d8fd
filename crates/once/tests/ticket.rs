//! Tickets: what callers can and cannot do with them.

use lynxcleat_once::{Incarnation, OpId, Roster, Ticket, TicketError, TicketKey};
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
fn a_ticket_reads_back() {
    let key = TicketKey::new(b"some shared secret");
    assert_eq!(key.open(&key.seal(&ticket())), Ok(ticket()));
}

#[rstest]
#[case::empty("")]
#[case::words("not a ticket")]
#[case::other_version("t2.00.1.2.3.x")]
#[case::parts_missing("t1.0011.abc.9")]
#[case::number("t1.000000000000000000000000.xyz.9.1.127.0.0.2:7000")]
fn other_texts_are_refused(#[case] text: &str) {
    let key = TicketKey::new(b"some shared secret");
    assert_eq!(key.open(text), Err(TicketError::Malformed));
}

#[test]
fn a_ticket_that_was_altered_or_signed_elsewhere_is_refused() {
    let key = TicketKey::new(b"some shared secret");
    let text = key.seal(&ticket());
    let other = TicketKey::new(b"another shared secret");
    assert_eq!(other.open(&text), Err(TicketError::BadSignature));
    let moved = text.replace("127.0.0.2", "127.0.0.3");
    assert_eq!(key.open(&moved), Err(TicketError::BadSignature));
    let renumbered = text.replace(".9.", ".a.");
    assert_eq!(key.open(&renumbered), Err(TicketError::BadSignature));
}

#[rstest]
#[case::watched_long_enough(&[1_000, 40_000], 20_000, None, true)]
#[case::never_read(&[], 20_000, None, false)]
#[case::not_read_since(&[1_000, 19_000], 20_000, None, false)]
#[case::not_watched_when_minted(&[15_000, 40_000], 20_000, None, false)]
#[case::list_may_lag(&[1_000, 29_000], 20_000, None, false)]
#[case::half_gone_since(&[1_000, 40_000], 20_000, Some(21_000), false)]
#[case::half_gone_just_before(&[1_000, 40_000], 20_000, Some(12_000), false)]
#[case::half_gone_long_before(&[1_000, 40_000], 20_000, Some(9_000), true)]
fn a_roster_vouches_only_for_what_it_watched(
    #[case] read_ms: &[u64],
    #[case] minted_ms: u64,
    #[case] gone_ms: Option<u64>,
    #[case] covers: bool,
) {
    let mut roster = Roster::new();
    for begun_ms in read_ms {
        roster.listed(*begun_ms);
    }
    if let Some(gone_ms) = gone_ms {
        roster.gone(gone_ms, "stock");
    }
    roster.gone(minted_ms, "another service");
    assert_eq!(roster.covers("stock", minted_ms, 10_000), covers);
}
