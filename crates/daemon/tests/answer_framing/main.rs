//! What targets send is taken apart the same however it is split into reads, ends only where
//! it is whole, and is refused where it could be framed in two ways (RFC 9112, sections 6.3
//! and 11).

#[path = "../support/mod.rs"]
mod support;

mod cases;

use std::io::Write;
use std::net::{Shutdown, TcpStream};
use std::thread;
use std::time::Duration;

use AnswerFault::Malformed as Bad;
use cases::CASES;
use cases::Expected::{Refused, Whole};
use lynxcleat_daemon::http1::{AnswerFault, AnswerItem, Answers, Malformed};
use proptest::prelude::*;
use serde_json::json;
use support::{KeptCaller, Plan, Reply, odd_target, read_call, tree};

/// Time after which a connection has rested and is used again.
const RESTED: Duration = Duration::from_millis(5);

/// Calls within which a connection that lasts is used again: a lost call leaves new ones, which
/// are used before.
const NEXT_CALLS: usize = 300;

/// What came out, with pieces of bodies joined.
#[derive(Clone, Debug, Eq, PartialEq)]
enum Seen {
    Head(String),
    Body(Vec<u8>),
    End,
    Fault(AnswerFault),
}

fn note(seen: &mut Vec<Seen>, item: AnswerItem) {
    match item {
        AnswerItem::Head(head) => {
            let parts = &head.parts;
            let text = format!(
                "{} {:?} {:?} {:?} {}",
                parts.status, parts.version, parts.headers, head.framing, head.persists
            );
            seen.push(Seen::Head(text));
        }
        AnswerItem::Data(bytes) => match seen.last_mut() {
            Some(Seen::Body(body)) => body.extend_from_slice(&bytes),
            _ => seen.push(Seen::Body(bytes.to_vec())),
        },
        AnswerItem::End => seen.push(Seen::End),
    }
}

/// All that is there. False after a fault.
fn drain(answers: &mut Answers, seen: &mut Vec<Seen>, is_head: bool) -> bool {
    loop {
        match answers.next(is_head) {
            Ok(Some(item)) => note(seen, item),
            Ok(None) => return true,
            Err(fault) => {
                seen.push(Seen::Fault(fault));
                return false;
            }
        }
    }
}

/// Reads `bytes` in pieces of these sizes, over and over, and then the end of the connection
/// where it is closed rather than reset.
fn read(bytes: &[u8], sizes: &[usize], (is_head, is_closed): (bool, bool)) -> Vec<Seen> {
    let mut answers = Answers::default();
    let mut seen = Vec::new();
    let mut rest = bytes;
    let mut sizes = sizes.iter().cycle();
    while !rest.is_empty() {
        let space = answers.space();
        let size = *sizes.next().expect("sizes");
        let size = size.clamp(1, rest.len()).min(space.len());
        assert!(
            size > 0,
            "all that was read was taken apart or is an open head"
        );
        space[..size].copy_from_slice(&rest[..size]);
        answers.filled(size);
        rest = &rest[size..];
        if !drain(&mut answers, &mut seen, is_head) {
            return seen;
        }
    }
    if is_closed {
        match answers.close() {
            Ok(()) => drop(drain(&mut answers, &mut seen, is_head)),
            Err(fault) => seen.push(Seen::Fault(fault)),
        }
    }
    seen
}

fn whole(text: &str, is_head: bool) -> Vec<Seen> {
    read(text.as_bytes(), &[usize::MAX], (is_head, false))
}

fn ends(seen: &[Seen]) -> usize {
    seen.iter().filter(|seen| **seen == Seen::End).count()
}

fn first_body(seen: &[Seen]) -> String {
    match seen.get(1) {
        Some(Seen::Body(body)) => String::from_utf8_lossy(body).into_owned(),
        _ => String::new(),
    }
}

fn named(bytes: &str, call: &str) -> String {
    bytes.replace('@', &format!("Lynxcleat-Call: {call}\r\n"))
}

#[test]
fn what_could_be_framed_in_two_ways_is_no_answer() {
    for case in CASES {
        let seen = whole(&named(case.bytes, "a"), false);
        match case.expected {
            Refused(fault) => {
                assert_eq!(seen.last(), Some(&Seen::Fault(fault)), "{}", case.name);
                assert_eq!(ends(&seen), 0, "{}", case.name);
            }
            Whole(status, body, _) => {
                let Some(Seen::Head(head)) = seen.first() else {
                    panic!("{}: {seen:?}", case.name);
                };
                assert!(head.starts_with(&status.to_string()), "{}", case.name);
                assert_eq!(first_body(&seen), body, "{}", case.name);
                assert!(ends(&seen) >= 1, "{}", case.name);
            }
        }
    }
}

/// Good answers, whether each answers HEAD, and whether it ends with its connection.
const GOOD: [(&str, bool, bool); 12] = [
    (
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabcde",
        false,
        false,
    ),
    (
        "HTTP/1.1 200 OK\r\nX: y\r\nContent-Length: 0\r\n\r\n",
        false,
        false,
    ),
    (
        "HTTP/1.1 200 OK\r\nContent-Length: 38\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
        false,
        false,
    ),
    (
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\nA;x=y\r\n0123456789\r\n0\r\n\r\n",
        false,
        false,
    ),
    (
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n0\r\n\r\n\r\n000\r\nX-A: b\r\nC: d\r\n\r\n",
        false,
        false,
    ),
    ("HTTP/1.1 200 OK\r\nX: y\r\n\r\nabcde", false, true),
    (
        "HTTP/1.0 200 OK\r\nX: y\r\n\r\nHTTP/1.1 200 OK\r\n\r\n",
        false,
        true,
    ),
    (
        "HTTP/1.0 200 OK\r\nContent-Length: 5\r\n\r\nabcde",
        false,
        false,
    ),
    ("HTTP/1.1 204 No Content\r\nX: y\r\n\r\n", false, false),
    (
        "HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n",
        false,
        false,
    ),
    (
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX: y\r\n\r\n",
        true,
        false,
    ),
    (
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nX: y\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabcde",
        false,
        false,
    ),
];

#[test]
fn an_answer_that_is_cut_at_any_byte_does_not_end() {
    for (text, is_head, until_close) in GOOD {
        let behind_head = text.find("\r\n\r\n").expect("a head") + 4;
        for at in 0..=text.len() {
            let is_whole = match until_close {
                true => at >= behind_head,
                false => at == text.len(),
            };
            for sizes in [&[usize::MAX][..], &[1], &[3, 2]] {
                let sent = &text.as_bytes()[..at];
                let closed = read(sent, sizes, (is_head, true));
                assert_eq!(ends(&closed), usize::from(is_whole), "{at} of {text:?}");
                let is_fault = closed.last() == Some(&Seen::Fault(AnswerFault::Cut));
                assert_eq!(is_fault, !(until_close && is_whole), "{at} of {text:?}");
                let reset = read(sent, sizes, (is_head, false));
                let ended = !until_close && is_whole;
                assert_eq!(ends(&reset), usize::from(ended), "{at} of {text:?}");
            }
        }
    }
}

#[test]
fn whole_answers_come_out_one_after_the_other_also_before_one_that_is_cut() {
    let lasting = GOOD
        .iter()
        .filter(|(_, is_head, until_close)| !is_head && !until_close);
    let texts: Vec<&str> = lasting.map(|(text, ..)| *text).collect();
    let all = texts.concat();
    assert_eq!(ends(&whole(&all, false)), texts.len());
    let mut bounds = vec![0];
    for text in &texts {
        bounds.push(bounds.last().expect("a bound") + text.len());
    }
    for at in 0..=all.len() {
        let seen = read(&all.as_bytes()[..at], &[7, 1], (false, true));
        let before = bounds.iter().filter(|bound| **bound <= at).count() - 1;
        assert_eq!(ends(&seen), before, "{at}");
    }
}

#[test]
fn heads_and_interim_answers_are_bounded() {
    let fault = |text: &str| match whole(text, false).pop() {
        Some(Seen::Fault(fault)) => Some(fault),
        _ => None,
    };
    let long = format!("HTTP/1.1 200 OK\r\nX: {}\r\n\r\n", "x".repeat(32 << 10));
    assert_eq!(fault(&long), Some(Bad(Malformed::HeadTooLarge)));
    assert_eq!(
        fault(&"x".repeat(40 << 10)),
        Some(Bad(Malformed::HeadTooLarge))
    );
    let many = format!("HTTP/1.1 200 OK\r\n{}\r\n", "X: y\r\n".repeat(101));
    assert_eq!(fault(&many), Some(Bad(Malformed::TooManyFields)));
    let interim = "HTTP/1.1 103 Early Hints\r\n\r\n".repeat(1_000);
    assert_eq!(fault(&interim), Some(AnswerFault::TooManyInterim));
    let chunks = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    let extension = format!("{chunks}3;{}\r\n", "x".repeat(300));
    assert_eq!(fault(&extension), Some(Bad(Malformed::Chunk)));
    let trailers = format!("{chunks}0\r\n{}", "X: y\r\n".repeat(10_000));
    assert_eq!(fault(&trailers), Some(Bad(Malformed::Trailers)));
}

/// Bytes of answers, some of them with a byte put in, taken out or changed.
fn bytes() -> impl Strategy<Value = Vec<u8>> {
    let good = GOOD.map(|(text, ..)| text.to_owned());
    let odd = CASES.iter().map(|case| named(case.bytes, "a"));
    let texts: Vec<String> = good.into_iter().chain(odd).collect();
    let answers = prop::collection::vec(prop::sample::select(texts), 1..5);
    let byte = prop::sample::select(b"\r\n \t:;0x\0Z".to_vec());
    let change = prop::option::of((any::<prop::sample::Index>(), byte, 0..3_u8));
    (answers, change).prop_map(|(answers, change)| {
        let mut bytes = answers.concat().into_bytes();
        if let Some((at, byte, how)) = change {
            let at = at.index(bytes.len());
            match how {
                0 => bytes.insert(at, byte),
                1 => bytes[at] = byte,
                _ => drop(bytes.remove(at)),
            }
        }
        bytes
    })
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..ProptestConfig::with_cases(3_000) })]

    #[test]
    fn splits_into_reads_change_nothing(
        bytes in bytes(),
        sizes in prop::collection::vec(1..40_usize, 1..20),
        how in any::<(bool, bool)>(),
    ) {
        let whole = read(&bytes, &[usize::MAX], how);
        prop_assert_eq!(&read(&bytes, &sizes, how), &whole);
        prop_assert_eq!(&read(&bytes, &[1], how), &whole);
    }
}

/// What became of the connection of a case.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Then {
    Closed,
    UsedAgain,
}

/// Answers cases by the number in the path, and tells what comes next on their connections.
fn serve(mut stream: TcpStream, tell: &flume::Sender<(usize, Then)>) {
    let mut last = None;
    while let Some((path, call)) = read_call(&mut stream) {
        if let Some(last) = last.take() {
            let _ = tell.send((last, Then::UsedAgain));
        }
        let is_case = path.starts_with("/case/");
        last = path.strip_prefix("/case/").and_then(|n| n.parse().ok());
        let bytes = match last {
            Some(number) => CASES[number].bytes,
            None => "HTTP/1.1 200 OK\r\n@Connection: close\r\nContent-Length: 4\r\n\r\nnext",
        };
        let _ = stream.write_all(named(bytes, &call).as_bytes());
        if !is_case {
            return;
        }
    }
    let _ = stream.shutdown(Shutdown::Both);
    if let Some(last) = last {
        let _ = tell.send((last, Then::Closed));
    }
}

/// Calls until a call is delivered: a target that fails a call is left alone for a moment.
fn call(caller: &mut KeptCaller, path: &str) -> Reply {
    for _ in 0..NEXT_CALLS {
        let reply = caller.call("GET", path).expect("a whole answer");
        if reply.outcome() != "not-run" {
            return reply;
        }
        thread::sleep(RESTED);
    }
    panic!("{path} is not delivered");
}

/// Calls until the connection of a case is closed or used again. No other one rests.
fn call_until_told(
    caller: &mut KeptCaller,
    told: &flume::Receiver<(usize, Then)>,
    number: usize,
) -> Option<Then> {
    for _ in 0..NEXT_CALLS {
        thread::sleep(RESTED);
        let next = call(caller, "/next");
        assert_eq!((next.status, &*next.body), (200, &b"next"[..]));
        if let Ok((of, then)) = told.recv_timeout(RESTED) {
            assert_eq!(of, number);
            return Some(then);
        }
    }
    None
}

#[test]
fn answers_that_could_be_framed_in_two_ways_reach_no_caller_and_their_connections_end() {
    let (tell, told) = flume::unbounded();
    let target = odd_target(move |stream, _| serve(stream, &tell));
    let mut plan = Plan::new("answer-framing");
    plan.tree = tree(json!({"retry_percent": 0, "eject_ms": 1}));
    let fleet = plan.start_with_target(&target);
    let mut caller = KeptCaller::new(&fleet.workers[0].callers);
    let mut wrong = Vec::new();
    for (number, case) in CASES.iter().enumerate() {
        let path = format!("/case/{number}");
        let reply = call(&mut caller, &path);
        let got = (
            reply.status,
            String::from_utf8_lossy(&reply.body).into_owned(),
        );
        let then = call_until_told(&mut caller, &told, number);
        let is_right = match case.expected {
            Refused(_) => reply.outcome() == "unknown" && then == Some(Then::Closed),
            Whole(status, body, is_lasting) => {
                let expected = if is_lasting {
                    Then::UsedAgain
                } else {
                    Then::Closed
                };
                got == (status, body.to_owned()) && then == Some(expected)
            }
        };
        if !is_right {
            let outcome = reply.outcome();
            wrong.push(format!("{}: {got:?} {outcome} {then:?}", case.name));
        }
    }
    assert!(
        wrong.is_empty(),
        "{} of {}:\n{}",
        wrong.len(),
        CASES.len(),
        wrong.join("\n")
    );
}
