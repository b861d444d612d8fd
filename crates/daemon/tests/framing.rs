//! Requests come out of a connection's bytes the same however they are split into reads,
//! and what could be framed in two ways is refused.

use lynxcleat_daemon::http1::{Item, Malformed, Requests};
use proptest::prelude::*;
use rstest::rstest;

/// What came out, with pieces of bodies joined.
#[derive(Clone, Debug, Eq, PartialEq)]
enum Seen {
    Head(String),
    Body(Vec<u8>),
    End,
    Refused(Malformed),
}

fn note(seen: &mut Vec<Seen>, item: Item) {
    match item {
        Item::Head(head) => {
            let parts = &head.parts;
            let text = format!(
                "{} {} {:?} {:?} {:?} {} {}",
                parts.method,
                parts.uri,
                parts.version,
                parts.headers,
                head.framing,
                head.persists,
                head.expects_continue
            );
            seen.push(Seen::Head(text));
        }
        Item::Data(bytes) => match seen.last_mut() {
            Some(Seen::Body(body)) => body.extend_from_slice(&bytes),
            _ => seen.push(Seen::Body(bytes.to_vec())),
        },
        Item::End => seen.push(Seen::End),
    }
}

/// Reads `bytes` in pieces of these sizes, over and over.
fn read(bytes: &[u8], sizes: &[usize], room: usize) -> Vec<Seen> {
    let mut requests = Requests::default();
    let mut seen = Vec::new();
    let mut rest = bytes;
    let mut sizes = sizes.iter().cycle();
    loop {
        loop {
            match requests.next(room) {
                Ok(Some(item)) => note(&mut seen, item),
                Ok(None) => break,
                Err(refused) => {
                    seen.push(Seen::Refused(refused));
                    return seen;
                }
            }
        }
        if rest.is_empty() {
            return seen;
        }
        let space = requests.space();
        let size = *sizes.next().expect("sizes");
        let size = size.clamp(1, rest.len()).min(space.len());
        assert!(
            size > 0,
            "all that was read was taken apart or is an open head"
        );
        space[..size].copy_from_slice(&rest[..size]);
        requests.filled(size);
        rest = &rest[size..];
    }
}

fn whole(text: &str) -> Vec<Seen> {
    read(text.as_bytes(), &[usize::MAX], usize::MAX)
}

fn refusal(text: &str) -> Option<Malformed> {
    match whole(text).pop() {
        Some(Seen::Refused(refused)) => Some(refused),
        _ => None,
    }
}

const GOOD: [&str; 9] = [
    "GET /a HTTP/1.1\r\nHost: stock\r\n\r\n",
    "\r\nHEAD /b?c=%20 HTTP/1.1\r\nHost: stock\r\nX-Empty:\r\nX-Wide: \t wide \r\n\r\n",
    "POST /c HTTP/1.1\r\nHost: stock\r\nContent-Length: 5\r\n\r\nabcde",
    "POST /d HTTP/1.1\r\nHost: stock\r\nContent-Length: 0\r\nExpect: 100-Continue\r\n\r\n",
    "POST /e HTTP/1.1\r\nHost: stock\r\nTransfer-Encoding: Chunked\r\n\r\n3\r\nabc\r\nA;x=y\r\n0123456789\r\n0\r\n\r\n",
    "PUT /f HTTP/1.1\r\nHost: stock\r\nTransfer-Encoding: chunked\r\n\r\n0000000000000001\r\n\n\r\n000\r\nX-Trailer: late\r\nY: z\r\n\r\n",
    "GET http://stock/g HTTP/1.0\r\nConnection: Keep-Alive\r\n\r\n",
    "GET /h HTTP/1.1\r\nHost: stock\r\nConnection: x, Close\r\n\r\n",
    "GET /i HTTP/1.1\r\nHost: stock\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
];

#[rstest]
#[case::two_lengths(
    "POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
    Malformed::TwoLengths
)]
#[case::equal_lengths(
    "POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\nabc",
    Malformed::TwoLengths
)]
#[case::list_of_lengths(
    "POST / HTTP/1.1\r\nContent-Length: 3, 3\r\n\r\nabc",
    Malformed::Length
)]
#[case::signed_length("POST / HTTP/1.1\r\nContent-Length: +3\r\n\r\nabc", Malformed::Length)]
#[case::negative_length("POST / HTTP/1.1\r\nContent-Length: -3\r\n\r\nabc", Malformed::Length)]
#[case::empty_length("POST / HTTP/1.1\r\nContent-Length:\r\n\r\nabc", Malformed::Length)]
#[case::hex_length("POST / HTTP/1.1\r\nContent-Length: 0x3\r\n\r\nabc", Malformed::Length)]
#[case::absurd_length(
    "POST / HTTP/1.1\r\nContent-Length: 18446744073709551616\r\n\r\nabc",
    Malformed::Length
)]
#[case::other_coding(
    "POST / HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
    Malformed::Coding
)]
#[case::hidden_coding(
    "POST / HTTP/1.1\r\nTransfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
    Malformed::Coding
)]
#[case::two_codings(
    "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n\r\n0\r\n\r\n",
    Malformed::Coding
)]
#[case::old_coding(
    "POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    Malformed::Coding
)]
#[case::space_before_colon("GET / HTTP/1.1\r\nHost : stock\r\n\r\n", Malformed::Field)]
#[case::folded("GET / HTTP/1.1\r\nHost: stock\r\n more\r\n\r\n", Malformed::Field)]
#[case::no_name("GET / HTTP/1.1\r\n: stock\r\n\r\n", Malformed::Field)]
#[case::nul("GET / HTTP/1.1\r\nHost: st\0ck\r\n\r\n", Malformed::Field)]
#[case::escape("GET / HTTP/1.1\r\nHost: st\x1bck\r\n\r\n", Malformed::Field)]
#[case::bare_return("GET / HTTP/1.1\r\nHost: a\rX: b\r\n\r\n", Malformed::Field)]
#[case::bare_line_feed("GET / HTTP/1.1\nHost: stock\n\n", Malformed::BareLineFeed)]
#[case::bare_line_feed_in_fields(
    "GET / HTTP/1.1\r\nHost: stock\nX: y\r\n\r\n",
    Malformed::BareLineFeed
)]
#[case::first_line_folded(" GET / HTTP/1.1\r\n\r\n", Malformed::RequestLine)]
#[case::two_spaces("GET  / HTTP/1.1\r\n\r\n", Malformed::RequestLine)]
#[case::no_version("GET /\r\n\r\n", Malformed::RequestLine)]
#[case::other_version("GET / HTTP/2.0\r\n\r\n", Malformed::Version)]
#[case::other_protocol("nothing like HTTP\r\n\r\n", Malformed::Version)]
#[case::no_chunk_size(
    "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n\r\nabc",
    Malformed::Chunk
)]
#[case::signed_chunk(
    "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n+3\r\nabc\r\n0\r\n\r\n",
    Malformed::Chunk
)]
#[case::hex_mark_in_chunk(
    "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0x3\r\nabc\r\n0\r\n\r\n",
    Malformed::Chunk
)]
#[case::space_in_chunk(
    "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3 \r\nabc\r\n0\r\n\r\n",
    Malformed::Chunk
)]
#[case::chunk_overflow(
    "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n10000000000000003\r\nabc",
    Malformed::Chunk
)]
#[case::long_chunk(
    "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabcd\r\n0\r\n\r\n",
    Malformed::Chunk
)]
#[case::chunk_line_feed(
    "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\nabc\r\n0\r\n\r\n",
    Malformed::Chunk
)]
#[case::line_feed_after_chunk(
    "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\n0\r\n\r\n",
    Malformed::Chunk
)]
#[case::line_feed_in_extension(
    "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3;a\nb\r\nabc\r\n0\r\n\r\n",
    Malformed::Chunk
)]
#[case::line_feed_in_trailers(
    "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX: y\n\r\n",
    Malformed::Trailers
)]
fn what_could_be_framed_in_two_ways_is_refused(#[case] text: &str, #[case] reason: Malformed) {
    assert_eq!(refusal(text), Some(reason));
    assert_eq!(reason.status(), 400);
}

#[test]
fn heads_are_bounded() {
    let long = format!("GET / HTTP/1.1\r\nX: {}\r\n\r\n", "x".repeat(32 << 10));
    assert_eq!(refusal(&long), Some(Malformed::HeadTooLarge));
    let endless = "x".repeat(40 << 10);
    assert_eq!(refusal(&endless), Some(Malformed::HeadTooLarge));
    let many = format!("GET / HTTP/1.1\r\n{}\r\n", "X: y\r\n".repeat(101));
    assert_eq!(refusal(&many), Some(Malformed::TooManyFields));
    let most = format!("GET / HTTP/1.1\r\n{}\r\n", "X: y\r\n".repeat(100));
    assert_eq!(refusal(&most), None);
    let extension = format!(
        "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3;{}\r\n",
        "x".repeat(300)
    );
    assert_eq!(refusal(&extension), Some(Malformed::Chunk));
    let trailers = format!(
        "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n{}",
        "X: y\r\n".repeat(10_000)
    );
    assert_eq!(refusal(&trailers), Some(Malformed::Trailers));
}

#[test]
fn good_requests_come_out_one_after_the_other() {
    let all = GOOD.concat();
    let seen = whole(&all);
    let heads = seen.iter().filter(|seen| matches!(seen, Seen::Head(_)));
    assert_eq!(heads.count(), GOOD.len());
    let bodies: Vec<&[u8]> = seen
        .iter()
        .filter_map(|seen| match seen {
            Seen::Body(body) => Some(&**body),
            _ => None,
        })
        .collect();
    assert_eq!(bodies, [&b"abcde"[..], b"abc0123456789", b"\n"]);
    let ends = seen.iter().filter(|seen| **seen == Seen::End);
    assert_eq!(ends.count(), GOOD.len());
}

#[test]
fn a_request_that_is_cut_at_any_byte_does_not_end() {
    for text in GOOD {
        let is_over = |at: usize| read(&text.as_bytes()[..at], &[2, 1], 3).contains(&Seen::End);
        let end = (0..=text.len()).find(|at| is_over(*at)).expect("an end");
        assert_eq!(end, text.len(), "{text:?}");
    }
}

#[rstest]
#[case("GET / HTTP/1.1\r\n\r\n", true)]
#[case("GET / HTTP/1.0\r\n\r\n", false)]
#[case("GET / HTTP/1.0\r\nConnection: keep-alive\r\n\r\n", true)]
#[case(
    "GET / HTTP/1.1\r\nConnection: close\r\nConnection: keep-alive\r\n\r\n",
    false
)]
#[case(
    "POST / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
    false
)]
fn a_connection_lasts_as_the_head_says(#[case] text: &str, #[case] persists: bool) {
    let mut requests = Requests::default();
    requests.space()[..text.len()].copy_from_slice(text.as_bytes());
    requests.filled(text.len());
    let Ok(Some(Item::Head(head))) = requests.next(usize::MAX) else {
        panic!("a head");
    };
    assert_eq!(head.persists, persists);
}

/// Bytes of requests, some of them with a byte put in, taken out or changed.
fn bytes() -> impl Strategy<Value = Vec<u8>> {
    let requests = prop::collection::vec(prop::sample::select(GOOD.to_vec()), 1..5);
    let odd = prop::sample::select(b"\r\n \t:;0x\0Z".to_vec());
    let change = prop::option::of((any::<prop::sample::Index>(), odd, 0..3_u8));
    (requests, change).prop_map(|(requests, change)| {
        let mut bytes = requests.concat().into_bytes();
        if let Some((at, odd, how)) = change {
            let at = at.index(bytes.len());
            match how {
                0 => bytes.insert(at, odd),
                1 => bytes[at] = odd,
                _ => drop(bytes.remove(at)),
            }
        }
        bytes
    })
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(5), ..ProptestConfig::with_cases(3_000) })]

    #[test]
    fn splits_into_reads_change_nothing(
        bytes in bytes(),
        sizes in prop::collection::vec(1..40_usize, 1..20),
        room in 1..20_usize,
    ) {
        let whole = read(&bytes, &[usize::MAX], usize::MAX);
        prop_assert_eq!(&read(&bytes, &sizes, room), &whole);
        prop_assert_eq!(&read(&bytes, &[1], 1), &whole);
    }
}
