//! An answer of a target that breaks off, at any byte and in any framing, is never a success
//! that is not whole.

mod support;

use std::collections::HashSet;
use std::io::Write;
use std::net::{Shutdown, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::json;
use socket2::SockRef;
use support::{KeptCaller, Plan, Reply, odd_target, read_call, tree};

/// Callers at a time.
const CALLERS: usize = 16;
/// Longest time until a call meets a target that is taken for well, on such a connection as is
/// wanted.
const CALL_LIMIT: Duration = Duration::from_secs(15);
/// Pause before a reset that finds all bytes read.
const LATER: Duration = Duration::from_millis(2);
/// Answer on a connection that was not used before, where a used one is wanted.
const NOT_USED_YET: &str = "HTTP/1.1 200 OK\r\nX-Not-Used-Yet: 1\r\nContent-Length: 0\r\n\r\n";

/// Whole answer whose connection is not used again.
const WELL: &str = "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";

/// How the end of an answer shows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum EndsBy {
    /// Its own framing.
    Framing,
    /// The end of the connection, anywhere behind the head.
    Close,
}

/// An answer.
struct Case {
    name: &'static str,
    method: &'static str,
    bytes: &'static str,
    ends_by: EndsBy,
    /// The body that the caller gets of the whole answer.
    body: &'static str,
    status: u16,
}

const fn case(
    name: &'static str,
    method: &'static str,
    bytes: &'static str,
    (status, body): (u16, &'static str),
) -> Case {
    Case {
        name,
        method,
        bytes,
        ends_by: EndsBy::Framing,
        body,
        status,
    }
}

const fn until_close(name: &'static str, bytes: &'static str) -> Case {
    Case {
        ends_by: EndsBy::Close,
        ..case(name, "GET", bytes, (200, ""))
    }
}

const CASES: [Case; 18] = [
    case(
        "length",
        "GET",
        "HTTP/1.1 200 OK\r\nX-A: b\r\nContent-Length: 10\r\n\r\n0123456789",
        (200, "0123456789"),
    ),
    case(
        "length-of-call-with-effects",
        "POST",
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabcde",
        (200, "abcde"),
    ),
    case(
        "no-body",
        "GET",
        "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Last: yes\r\n\r\n",
        (200, ""),
    ),
    case(
        "body-like-an-answer",
        "GET",
        "HTTP/1.1 200 OK\r\nContent-Length: 38\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
        (200, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"),
    ),
    case(
        "chunks",
        "GET",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\nA\r\n0123456789\r\n0\r\n\r\n",
        (200, "abcde0123456789"),
    ),
    case(
        "chunks-of-call-with-effects",
        "POST",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
        (200, "abc"),
    ),
    case(
        "chunks-with-extension-and-trailers",
        "GET",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3;a=b\r\n0\r\n\r\n0\r\nX-Sum: 1\r\nX-End: 2\r\n\r\n",
        (200, "0\r\n"),
    ),
    case(
        "chunks-that-are-none",
        "GET",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        (200, ""),
    ),
    until_close("close", "HTTP/1.1 200 OK\r\nX-A: b\r\n\r\nsome bytes"),
    until_close(
        "close-announced",
        "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nsome bytes",
    ),
    until_close("old-close", "HTTP/1.0 200 OK\r\nX-A: b\r\n\r\nsome bytes"),
    case(
        "old-length",
        "GET",
        "HTTP/1.0 200 OK\r\nContent-Length: 10\r\n\r\n0123456789",
        (200, "0123456789"),
    ),
    case(
        "no-content",
        "GET",
        "HTTP/1.1 204 No Content\r\nX-A: b\r\n\r\n",
        (204, ""),
    ),
    case(
        "not-modified",
        "GET",
        "HTTP/1.1 304 Not Modified\r\nContent-Length: 10\r\nETag: \"a\"\r\n\r\n",
        (304, ""),
    ),
    case(
        "head",
        "HEAD",
        "HTTP/1.1 200 OK\r\nContent-Length: 10\r\nX-A: b\r\n\r\n",
        (200, ""),
    ),
    case(
        "head-of-chunks",
        "HEAD",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-A: b\r\n\r\n",
        (200, ""),
    ),
    case(
        "interim",
        "GET",
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabcde",
        (200, "abcde"),
    ),
    case(
        "not-found",
        "GET",
        "HTTP/1.1 404 Not Found\r\nContent-Length: 5\r\n\r\nabcde",
        (404, "abcde"),
    ),
];

/// How a connection ends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Ending {
    /// The target closes.
    Close,
    /// The target resets at once.
    Reset,
    /// The target resets when all bytes may have been read.
    LateReset,
}

const ENDINGS: [Ending; 3] = [Ending::Close, Ending::Reset, Ending::LateReset];
/// How an answer ends that breaks off at an even place, and at an odd one.
const TRIED: [[Ending; 2]; 2] = [
    [Ending::Close, Ending::Reset],
    [Ending::Close, Ending::LateReset],
];

/// One call: which answer breaks off, where and how.
#[derive(Clone, Copy, Debug)]
struct Break {
    case: usize,
    at: usize,
    ending: Ending,
    /// Whether it is not the first answer on its connection.
    is_kept: bool,
}

impl Break {
    fn path(self) -> String {
        let ending = ENDINGS.iter().position(|ending| *ending == self.ending);
        format!(
            "/break/{}/{}/{}/{}",
            self.case,
            self.at,
            ending.expect("one of them"),
            usize::from(self.is_kept)
        )
    }

    fn parse(path: &str) -> Option<Self> {
        let numbers = path.strip_prefix("/break/")?.split('/');
        let numbers: Vec<usize> = numbers
            .map(|number| number.parse().ok())
            .collect::<Option<_>>()?;
        let [case, at, ending, is_kept] = numbers[..] else {
            return None;
        };
        Some(Break {
            case,
            at,
            ending: ENDINGS[ending],
            is_kept: is_kept == 1,
        })
    }

    fn case(self) -> &'static Case {
        &CASES[self.case]
    }

    /// The body of the answer where what was sent is a whole one.
    fn whole_body(self) -> Option<&'static str> {
        let case = self.case();
        let behind_head = case.bytes.find("\r\n\r\n").expect("a head") + 4;
        match case.ends_by {
            EndsBy::Framing => (self.at == case.bytes.len()).then_some(case.body),
            EndsBy::Close if self.at < behind_head || self.ending != Ending::Close => None,
            EndsBy::Close => Some(&case.bytes[behind_head..self.at]),
        }
    }

    /// Whether the answer may be lost though what was sent is whole: a reset may overtake it.
    fn may_be_lost(self) -> bool {
        self.ending != Ending::Close
    }

    fn check(self, reply: &Reply) {
        let is_lost = reply.status == 504 && reply.outcome() == "unknown";
        let body = String::from_utf8_lossy(&reply.body);
        let got = (reply.status, &*body);
        let name = self.case().name;
        match self.whole_body() {
            None => assert!(is_lost, "{name} {self:?}: {got:?} {}", reply.head),
            Some(_) if is_lost && self.may_be_lost() => {}
            Some(whole) => assert_eq!(got, (self.case().status, whole), "{name} {self:?}"),
        }
    }
}

/// All places at which an answer can break off.
fn breaks(is_kept: bool) -> Vec<Break> {
    let cases = CASES.iter().enumerate();
    let places =
        cases.flat_map(|(number, case)| (0..=case.bytes.len()).map(move |at| (number, at)));
    let breaks = places.flat_map(|(case, at)| {
        TRIED[at % 2].map(|ending| Break {
            case,
            at,
            ending,
            is_kept,
        })
    });
    breaks.collect()
}

/// An answer's bytes with the name of its call behind the first line of each head but the
/// interim ones, as far as they go.
fn name(bytes: &str, call: &str) -> String {
    let final_head = bytes.rfind("HTTP/1.1 1").map_or(0, |interim| {
        let rest = &bytes[interim..];
        rest.find("\r\n\r\n")
            .map_or(bytes.len(), |end| interim + end + 4)
    });
    let Some(line) = bytes[final_head..].find("\r\n") else {
        return bytes.to_owned();
    };
    let (before, behind) = bytes.split_at(final_head + line + 2);
    format!("{before}Lynxcleat-Call: {call}\r\n{behind}")
}

/// Breaks answers off as the path says. Those on connections that are used again name their
/// calls, without which a connection is used once.
fn serve(mut stream: TcpStream) {
    let mut is_used = false;
    while let Some((path, call)) = read_call(&mut stream) {
        let Some(broken) = Break::parse(&path) else {
            let _ = stream.write_all(WELL.as_bytes());
            return;
        };
        if broken.is_kept && !is_used {
            is_used = true;
            let _ = stream.write_all(name(NOT_USED_YET, &call).as_bytes());
            continue;
        }
        let sent = &broken.case().bytes[..broken.at];
        let sent = match broken.is_kept {
            true => name(sent, &call),
            false => sent.to_owned(),
        };
        let _ = stream.write_all(sent.as_bytes());
        end(&stream, broken.ending);
        return;
    }
}

fn end(stream: &TcpStream, ending: Ending) {
    if ending == Ending::LateReset {
        thread::sleep(LATER);
    }
    if ending == Ending::Close {
        let _ = stream.shutdown(Shutdown::Write);
        return;
    }
    let at_once = Some(Duration::ZERO);
    SockRef::from(stream)
        .set_linger(at_once)
        .expect("no linger");
}

fn target() -> String {
    odd_target(|stream, _| serve(stream))
}

/// Calls until the answer is one that breaks off.
fn call(caller: &mut KeptCaller, broken: Break) -> Reply {
    let begun = Instant::now();
    while begun.elapsed() < CALL_LIMIT {
        let reply = caller.call(broken.case().method, &broken.path());
        let reply = reply.unwrap_or_else(|error| panic!("{broken:?}: {error}"));
        let is_first = reply.header("x-not-used-yet").is_some();
        let is_turned_away = reply.outcome() == "not-run";
        if !is_first && !is_turned_away {
            return reply;
        }
        // Until a connection has rested, or the target is taken for well.
        thread::sleep(Duration::from_millis(4));
    }
    panic!("not delivered: {broken:?}");
}

/// A call that succeeds, so that the target is taken for well.
fn call_well(caller: &mut KeptCaller) {
    let reply = caller.call("GET", "/well");
    let reply = reply.unwrap_or_else(|error| panic!("a whole answer: {error}"));
    assert!(
        reply.status == 200 || reply.outcome() == "not-run",
        "{}",
        reply.head
    );
}

fn break_everywhere(name: &'static str, is_kept: bool) {
    let mut plan = Plan::new(name);
    plan.tree = tree(json!({"retry_percent": 0, "eject_ms": 1}));
    let fleet = plan.start_with_target(&target());
    let breaks = breaks(is_kept);
    let next = AtomicUsize::new(0);
    thread::scope(|scope| {
        for _ in 0..CALLERS {
            scope.spawn(|| {
                let mut caller = KeptCaller::new(&fleet.workers[0].callers);
                while let Some(broken) = breaks.get(next.fetch_add(1, Ordering::Relaxed)) {
                    if !is_kept {
                        call_well(&mut caller);
                    }
                    broken.check(&call(&mut caller, *broken));
                }
            });
        }
    });
    let names: HashSet<_> = breaks.iter().map(|broken| broken.case().name).collect();
    assert_eq!(names.len(), CASES.len(), "every case was tried");
    println!("{} answers broke off", breaks.len());
}

/// A client got a 200 of a target that had stopped in the middle of its answer.
#[test]
fn a_first_answer_that_breaks_off_is_no_success() {
    break_everywhere("broken-first", false);
}

#[test]
fn an_answer_on_a_kept_connection_that_breaks_off_is_no_success() {
    break_everywhere("broken-kept", true);
}
