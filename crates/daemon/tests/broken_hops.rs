//! What breaks off between daemons, between a daemon and its caller, or in a request, makes no
//! success that is not whole, and runs nothing.

mod support;

use std::collections::HashSet;
use std::io::{BufReader, Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use lynxcleat_standin::wait_until;
use lynxcleat_store::HostEntry;
use rstest::rstest;
use serde_json::json;
use socket2::{Domain, SockRef, Socket, Type};
use support::{KeptCaller, PATIENCE, Plan, answer, odd_target, read_call, read_reply, tree};

/// Longest time until a call is delivered.
const CALL_LIMIT: Duration = Duration::from_secs(15);
/// Daemons that call over links of their own.
const ROUTERS: usize = 8;
/// Bytes of a link's message with an answer that are cut at, at most.
const MESSAGE_BYTES: usize = 260;
/// What a link's message with an answer has in it, before the place of the cut.
const MARK: &[u8] = b"cut-at:";
/// Bytes of an answer that no caller takes at once.
const LARGE_BYTES: usize = 7_500_000;
/// Bytes that a caller takes before the daemon ends.
const TAKEN_BYTES: usize = 2_000;

/// How a connection ends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Ending {
    Close,
    Reset,
}

const ENDINGS: [Ending; 2] = [Ending::Close, Ending::Reset];

fn end(stream: &TcpStream, ending: Ending) {
    if ending == Ending::Reset {
        let at_once = Some(Duration::ZERO);
        let _ = SockRef::from(stream).set_linger(at_once);
    }
}

/// Where a message with an answer is cut, by what stands in it.
fn read_cut(message: &[u8]) -> Option<(usize, Ending)> {
    let at = message.windows(MARK.len()).position(|part| part == MARK)?;
    let text = String::from_utf8_lossy(&message[at + MARK.len()..]).into_owned();
    let mut numbers = text.split(':');
    let at = numbers.next()?.parse().ok()?;
    let ending: usize = numbers.next()?.parse().ok()?;
    Some((at, ENDINGS[ending]))
}

/// Passes connections on to a server, and cuts those on which a marked answer comes back.
fn cutting_proxy(server: &str) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
    let address = listener.local_addr().expect("address").to_string();
    let server = server.to_owned();
    thread::spawn(move || {
        for client in listener.incoming().flatten() {
            let Ok(server) = TcpStream::connect(&server) else {
                continue;
            };
            let (from, to) = (client.try_clone(), server.try_clone());
            let (from, to) = (from.expect("clone"), to.expect("clone"));
            thread::spawn(move || pass(from, to, false));
            thread::spawn(move || pass(server, client, true));
        }
    });
    address
}

/// Passes bytes on one way until the end, or until a cut ends both.
fn pass(mut from: TcpStream, mut to: TcpStream, cuts: bool) {
    let _ = to.set_nodelay(true);
    let mut piece = vec![0; 64 << 10];
    while let Ok(count) = from.read(&mut piece) {
        let cut = read_cut(&piece[..count]).filter(|_| cuts);
        let passed = cut.map_or(count, |(at, _)| at.min(count));
        if count == 0 || to.write_all(&piece[..passed]).is_err() {
            break;
        }
        if let Some((_, ending)) = cut {
            end(&to, ending);
            if ending == Ending::Reset {
                // The other way has the connection too: linger holds for both ends of it.
                end(&from, ending);
            }
            break;
        }
    }
    let _ = from.shutdown(Shutdown::Both);
    let _ = to.shutdown(Shutdown::Both);
}

/// A caller of another daemon got an answer of which the link had brought a part.
#[test]
fn a_link_that_is_cut_while_an_answer_crosses_it_makes_no_success_that_is_not_whole() {
    let delivered = Arc::new(Mutex::new(HashSet::new()));
    let notes = Arc::clone(&delivered);
    let target = odd_target(move |mut stream, _| {
        while let Some((path, _)) = read_call(&mut stream) {
            notes.lock().expect("lock").insert(path.clone());
            let numbers = path.trim_start_matches("/cut/").replace('/', ":");
            answer(&mut stream, &format!("cut-at:{numbers}:whole"));
        }
    });
    let mut plan = Plan::new("broken-links");
    plan.tree = tree(json!({"retry_percent": 0, "eject_ms": 1}));
    let mut fleet = plan.start_with_target(&target);
    let entry = fleet.workers[0].entry.clone();
    fleet.platform.put_host(HostEntry {
        mesh: cutting_proxy(&entry.mesh),
        ..entry
    });
    for number in 0..ROUTERS {
        fleet.add_other(number);
    }
    fleet.wait_ready();
    let next = AtomicUsize::new(0);
    let (whole, lost) = (AtomicUsize::new(0), AtomicUsize::new(0));
    thread::scope(|scope| {
        for router in &fleet.workers[1..] {
            let (next, whole, lost, delivered) = (&next, &whole, &lost, &delivered);
            scope.spawn(move || {
                let mut caller = KeptCaller::new(&router.callers);
                loop {
                    let number = next.fetch_add(1, Ordering::Relaxed);
                    let (at, ending) = (number / 2, number % 2);
                    if at > MESSAGE_BYTES {
                        return;
                    }
                    let counted = match cut_one(router, &mut caller, (at, ending), delivered) {
                        true => whole,
                        false => lost,
                    };
                    counted.fetch_add(1, Ordering::Relaxed);
                }
            });
        }
    });
    println!("{whole:?} whole, {lost:?} lost");
    // Those with effects whose daemon tells later that they ran are whole all the same.
    assert!(lost.load(Ordering::Relaxed) > MESSAGE_BYTES / 4, "{lost:?}");
    assert!(whole.load(Ordering::Relaxed) > 0);
}

/// Calls until the call is delivered. Returns whether its answer came whole.
fn cut_one(
    router: &support::Worker,
    caller: &mut KeptCaller,
    (at, ending): (usize, usize),
    delivered: &Mutex<HashSet<String>>,
) -> bool {
    let begun = Instant::now();
    for attempt in 0.. {
        let path = format!("/cut/{at}/{ending}/{attempt}");
        let method = ["GET", "POST"][at % 2];
        let reply = caller.call(method, &path).expect("a whole answer");
        let body = String::from_utf8_lossy(&reply.body);
        if reply.status == 200 {
            assert_eq!(body, format!("cut-at:{at}:{ending}:{attempt}:whole"));
            return true;
        }
        let is_delivered = delivered.lock().expect("lock").contains(&path);
        let outcome = reply.outcome();
        assert!(
            !is_delivered || outcome == "unknown",
            "{path} {}",
            reply.head
        );
        if is_delivered {
            return false;
        }
        assert!(
            begun.elapsed() < CALL_LIMIT,
            "not delivered: {path} {} {body} {:?}",
            reply.head,
            router.status()
        );
        thread::sleep(Duration::from_millis(5));
    }
    unreachable!("the loop has no end")
}

/// A connection that takes few bytes at a time.
fn narrow(address: &str) -> TcpStream {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket.set_recv_buffer_size(4 << 10).expect("a size");
    let address: std::net::SocketAddr = address.parse().expect("an address");
    socket.connect(&address.into()).expect("connected");
    let stream = TcpStream::from(socket);
    stream.set_read_timeout(Some(PATIENCE)).expect("a limit");
    stream
}

#[rstest]
#[case::killed("broken-callers-killed", "-KILL")]
#[case::told_to_stop("broken-callers-stopped", "-TERM")]
fn a_daemon_that_ends_while_it_writes_answers_leaves_none_that_seems_whole(
    #[case] name: &'static str,
    #[case] signal: &str,
) {
    let target = odd_target(|mut stream, _| {
        while let Some((path, _)) = read_call(&mut stream) {
            answer(&mut stream, &path.repeat(LARGE_BYTES / path.len()));
        }
    });
    let mut plan = Plan::new(name);
    plan.processes = true;
    plan.tree = tree(json!({"body_limit_bytes": 8 << 20}));
    let mut fleet = plan.start_with_target(&target);
    let paths = ["/one", "/two", "/six"];
    let mut streams: Vec<_> = (0..4).map(|_| narrow(&fleet.workers[0].callers)).collect();
    for stream in &mut streams {
        let requests = paths.map(|path| format!("GET {path} HTTP/1.1\r\nHost: stock\r\n\r\n"));
        stream
            .write_all(requests.concat().as_bytes())
            .expect("sent");
    }
    let mut taken = vec![vec![0; TAKEN_BYTES]; streams.len()];
    for (stream, taken) in streams.iter_mut().zip(&mut taken) {
        stream.read_exact(taken).expect("the first of an answer");
    }
    fleet.signal(0, signal);
    let mut cut = 0;
    for (stream, taken) in streams.into_iter().zip(&taken) {
        let mut answers = BufReader::new(taken.chain(stream));
        for path in paths {
            let Ok(reply) = read_reply(&mut answers, false) else {
                cut += 1;
                break;
            };
            if reply.status == 200 {
                let own = path.repeat(LARGE_BYTES / path.len());
                assert!(reply.body == own.as_bytes(), "{path}");
            }
        }
    }
    println!("{cut} of 4 were cut");
    assert!(signal != "-KILL" || cut > 0, "all answers were whole");
    fleet.kill(0);
}

/// Requests with effects.
const REQUESTS: [&str; 4] = [
    "POST /take HTTP/1.1\r\nHost: stock\r\nx-op: o\r\nContent-Length: 10\r\n\r\n0123456789",
    "POST /take HTTP/1.1\r\nHost: stock\r\nx-op: o\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\n3;a=b\r\nabc\r\n0\r\nX: y\r\n\r\n",
    "POST /take HTTP/1.1\r\nHost: stock\r\nx-op: o\r\nContent-Length: 0\r\n\r\n",
    "GET /look HTTP/1.1\r\nHost: stock\r\nx-op: o\r\nX: y\r\n\r\n",
];

/// Targets ran requests whose callers had sent a part of them.
#[test]
fn a_request_that_breaks_off_at_any_byte_runs_nowhere() {
    let mut plan = Plan::new("broken-requests");
    plan.workers = 1;
    let fleet = plan.start();
    let callers = &fleet.workers[0].callers;
    thread::scope(|scope| {
        for request in REQUESTS {
            for ending in ENDINGS {
                scope.spawn(move || {
                    for at in 0..request.len() {
                        break_request(callers, &request.as_bytes()[..at], ending);
                    }
                });
            }
        }
    });
    let is_idle = || fleet.workers[0].status().is_some_and(|s| s.in_flight == 0);
    assert!(wait_until(PATIENCE, is_idle));
    // Nothing that was begun is still on its way.
    assert_eq!(fleet.workers[0].get("/look", &[]).status, 200);
    assert!(fleet.ledger().is_empty(), "{:?}", fleet.ledger());
}

fn break_request(callers: &str, sent: &[u8], ending: Ending) {
    let mut stream = TcpStream::connect(callers).expect("connected");
    stream.set_read_timeout(Some(PATIENCE)).expect("a limit");
    stream.write_all(sent).expect("sent");
    end(&stream, ending);
    if ending == Ending::Reset {
        return;
    }
    stream.shutdown(Shutdown::Write).expect("its end");
    let mut got = Vec::new();
    let _ = stream.read_to_end(&mut got);
    let got = String::from_utf8_lossy(&got);
    assert!(!got.starts_with("HTTP/1.1 2"), "{got}");
}
