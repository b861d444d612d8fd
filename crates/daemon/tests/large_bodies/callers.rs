//! What callers and targets see of bodies in pieces.

use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::thread;
use std::time::Duration;

use lynxcleat_standin::wait_until;
use rstest::rstest;
use serde_json::json;
use socket2::SockRef;

use super::{
    WINDOW, body, chunked, cut_by, head, piece_bytes, plan, read_answer, read_to_end, target,
};
use crate::support::{PATIENCE, answer, call, raw, try_call};

#[rstest]
#[case::operation("/up/")]
#[case::lookup("/look/")]
fn whole_bodies_of_either_framing_arrive_unchanged(#[case] path: &'static str) {
    let fleet = plan("large-whole", "stock", json!({})).start();
    let worker = &fleet.workers[0];
    let callers: Vec<_> = (0..6)
        .map(|nth| {
            let address = worker.callers.clone();
            thread::spawn(move || {
                // Read whole and sent ahead, or read as the window opens.
                let length = if nth < 2 { WINDOW } else { 200_000 };
                let sent = body(length + nth * 10_007);
                let (more, framed) = match nth % 2 {
                    0 => (format!("Content-Length: {}", sent.len()), sent.clone()),
                    _ => ("Transfer-Encoding: chunked".to_owned(), chunked(&sent)),
                };
                let head = format!(
                    "POST {path} HTTP/1.1\r\nHost: stock\r\nConnection: close\r\n{more}\r\n\r\n"
                );
                let request = [head.as_bytes(), &framed].concat();
                let reply = raw(&address, &request).expect("an answer");
                assert_eq!(reply.status, 200, "{}", reply.head);
                assert_eq!(
                    reply.json()["body"],
                    String::from_utf8_lossy(&sent).as_ref()
                );
                sent.len()
            })
        })
        .collect();
    let sent: usize = callers
        .into_iter()
        .map(|c| c.join().expect("checked"))
        .sum();
    assert_eq!(piece_bytes(worker), sent, "they went in pieces");
    let served: u64 = fleet.workers.iter().map(|w| w.target.served()).sum();
    assert_eq!(served, 6, "once each");
    assert_eq!(worker.metric("lynxcleat_bodies_in_pieces"), 0.0);
}

#[test]
fn small_bodies_other_routes_and_tickets_pass_whole() {
    let fleet = plan(
        "large-small",
        "stock",
        json!({"body_whole_bytes": 16 << 10}),
    )
    .start();
    let worker = &fleet.workers[0];
    let ticket = worker.ticket();
    let ticket = [("Host", "stock"), ("Lynxcleat-Ticket", ticket.as_str())];
    let host = [("Host", "stock")];
    for (path, headers, length) in [
        ("/up/1", &host[..], 16 << 10),
        ("/other", &host[..], 100_000),
        ("/up/2", &ticket[..], 100_000),
    ] {
        let sent = body(length);
        let reply = call(&worker.callers, "POST", path, headers, &sent);
        assert_eq!(
            reply.json()["body"],
            String::from_utf8_lossy(&sent).as_ref()
        );
    }
    assert_eq!(piece_bytes(worker), 0);
    call(
        &worker.callers,
        "POST",
        "/up/3",
        &host,
        &body((16 << 10) + 1),
    );
    assert_eq!(piece_bytes(worker), (16 << 10) + 1);
}

/// What the system holds of a connection is not bounded by the window, so the body is much
/// larger than that.
#[test]
fn a_target_that_does_not_read_holds_its_caller_back() {
    const LENGTH: usize = 48 << 20;
    let (go_on, told) = flume::bounded::<()>(0);
    let (address, seen) = target(move |_| {
        let _ = told.recv();
    });
    let fleet = plan("large-slow", "stock", json!({})).start_with_target(&address);
    let worker = &fleet.workers[0];
    let stream = head(worker, "/up/", &format!("Content-Length: {LENGTH}\r\n"));
    let mut sending = stream.try_clone().expect("a clone");
    let sender = thread::spawn(move || {
        let sent = body(LENGTH);
        let _ = sending.write_all(&sent);
        sent
    });
    let mut before = 0;
    let stands = wait_until(PATIENCE, || {
        thread::sleep(Duration::from_millis(200));
        let now = piece_bytes(worker);
        let stands = now > 0 && now == before;
        before = now;
        stands
    });
    assert!(stands, "nothing more is read");
    assert!(before < LENGTH / 2, "{before}");
    // A small call to the same target passes meanwhile: it is offered and delivered.
    let small = thread::spawn({
        let callers = worker.callers.clone();
        move || try_call(&callers, "POST", "/other", &[("Host", "stock")], b"small")
    });
    assert!(wait_until(PATIENCE, || seen.heads() == 2), "it arrived");
    drop(go_on);
    // All of it arrives once the target reads; it never answers, so its calls end by hand.
    let sent = sender.join().expect("sent");
    assert!(wait_until(PATIENCE, || piece_bytes(worker) == LENGTH));
    stream.shutdown(Shutdown::Both).expect("shut");
    drop(fleet);
    let got = [seen.body(), seen.body()];
    assert!(got.contains(&sent), "unchanged");
    assert!(got.contains(&b"small".to_vec()));
    drop(small);
}

/// The rest is due on that connection; other bytes must not follow.
#[rstest]
#[case::by_length(false)]
#[case::chunked(true)]
fn an_answer_before_the_end_is_passed_on_at_once_and_its_connection_not_used_again(
    #[case] is_chunked: bool,
) {
    const LENGTH: usize = 400_000;
    let (address, seen) = target(|stream| answer(stream, "early"));
    let fleet = plan("large-early", "stock", json!({})).start_with_target(&address);
    let worker = &fleet.workers[0];
    let sent = body(LENGTH);
    let (more, framed) = match is_chunked {
        true => ("Transfer-Encoding: chunked\r\n".to_owned(), chunked(&sent)),
        false => (format!("Content-Length: {LENGTH}\r\n"), sent.clone()),
    };
    let mut stream = head(worker, "/up/", &more);
    stream.write_all(&framed[..100_000]).expect("sent");
    let reply = read_answer(&mut stream);
    assert_eq!((reply.status, &reply.body[..]), (200, &b"early"[..]));
    let got = seen.body();
    assert!(
        is_chunked || sent.starts_with(&got),
        "the body's bytes only"
    );
    assert!(got.len() < LENGTH, "it is not taken for whole");
    assert!(!got.ends_with(b"0\r\n\r\n"), "nor by its chunks");
    // The caller sends the rest, which is thrown away, and its connection serves on.
    stream.write_all(&framed[100_000..]).expect("sent");
    let next = "POST /other HTTP/1.1\r\nHost: stock\r\nContent-Length: 2\r\n\r\nhi";
    stream.write_all(next.as_bytes()).expect("sent");
    assert_eq!(read_answer(&mut stream).body, b"early");
    assert_eq!(seen.heads(), 2);
}

#[test]
fn a_target_that_dies_in_the_middle_leaves_the_outcome_unknown_and_is_not_tried_again() {
    let (address, seen) = target(|stream| {
        let mut some = [0; 20_000];
        stream.read_exact(&mut some).expect("some of it");
        stream.shutdown(Shutdown::Both).expect("shut");
    });
    for path in ["/up/", "/look/"] {
        let fleet = plan("large-dies", "stock", json!({})).start_with_target(&address);
        let worker = &fleet.workers[0];
        let heads = seen.heads();
        let mut stream = head(worker, path, "Content-Length: 10000000\r\n");
        stream.write_all(&body(100_000)).expect("sent");
        let reply = read_answer(&mut stream);
        assert_eq!(
            (reply.status, reply.outcome().as_str()),
            (504, "unknown"),
            "{path}"
        );
        assert_eq!(seen.heads(), heads + 1);
        assert_eq!(cut_by(worker, "target"), 1.0);
    }
}

#[test]
fn a_caller_that_leaves_in_the_middle_ends_the_targets_connection() {
    const LENGTH: usize = 500_000;
    let (address, seen) = target(|_| {});
    let fleet = plan("large-leaves", "stock", json!({})).start_with_target(&address);
    let worker = &fleet.workers[0];
    for (more, framed) in [
        (format!("Content-Length: {LENGTH}\r\n"), body(100_000)),
        (
            "Transfer-Encoding: chunked\r\n".to_owned(),
            chunked(&body(100_000))[..90_000].to_vec(),
        ),
    ] {
        let mut stream = head(worker, "/up/", &more);
        let all_sent = piece_bytes(worker) + 80_000;
        stream.write_all(&framed).expect("sent");
        assert!(wait_until(PATIENCE, || piece_bytes(worker) >= all_sent));
        drop(stream);
        let got = seen.body();
        assert!(got.len() < LENGTH);
        assert!(!got.ends_with(b"0\r\n\r\n"), "it is not taken for whole");
    }
    assert!(wait_until(PATIENCE, || cut_by(worker, "sender") == 2.0));
}

/// Its target reads nothing more, so that the connection is not read either.
#[test]
fn a_caller_that_leaves_while_nothing_of_it_is_taken_is_noticed() {
    const CALLERS: usize = 6;
    let (release, held) = flume::bounded::<()>(0);
    let (address, _) = target(move |_| {
        let _ = held.recv_timeout(3 * PATIENCE);
    });
    let fleet = plan("large-stalled", "stock", json!({})).start_with_target(&address);
    let worker = &fleet.workers[0];
    let in_flight = || worker.metric("lynxcleat_in_flight");
    let callers: Vec<TcpStream> = (0..CALLERS)
        .map(|_| {
            let deadline = format!("Lynxcleat-Deadline-Ms: {}\r\n", 3 * PATIENCE.as_millis());
            let more = format!("Content-Length: 20000000\r\n{deadline}");
            let stream = head(worker, "/look/", &more);
            stream.set_nonblocking(true).expect("set");
            // Its end is a reset: behind unsent bytes no other end arrives.
            let reset = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
            reset.expect("set");
            stream
        })
        .collect();
    // Until the windows are full and nothing more is taken.
    let piece = body(10_000);
    let mut sent = 0;
    let stalls = || {
        let before = sent;
        for mut stream in &callers {
            while let Ok(bytes) = stream.write(&piece) {
                sent += bytes;
            }
        }
        sent > 0 && sent == before
    };
    assert!(wait_until(PATIENCE, stalls));
    assert!(in_flight() > 0.0);
    drop(callers);
    assert!(wait_until(PATIENCE, || in_flight() == 0.0));
    drop(release);
}

#[rstest]
#[case::before_anything(0, 408, "not-run", 0)]
#[case::in_the_middle(50_000, 504, "unknown", 1)]
fn a_caller_that_stops_sending_is_given_up(
    #[case] sent: usize,
    #[case] status: u16,
    #[case] outcome: &str,
    #[case] heads: usize,
) {
    let (address, seen) = target(|_| {});
    let fleet = plan("large-stops", "stock", json!({"caller_limit_ms": 400}));
    let fleet = fleet.start_with_target(&address);
    let worker = &fleet.workers[0];
    let mut stream = head(worker, "/up/", "Content-Length: 500000\r\n");
    stream.write_all(&body(sent)).expect("sent");
    let reply = read_answer(&mut stream);
    assert_eq!((reply.status, reply.outcome().as_str()), (status, outcome));
    assert_eq!(seen.heads(), heads);
    assert_eq!(cut_by(worker, "slow-caller"), 1.0);
}

#[test]
fn a_body_that_goes_on_past_the_deadline_is_cut() {
    let (address, seen) = target(|_| {});
    let fleet = plan("large-deadline", "stock", json!({})).start_with_target(&address);
    let worker = &fleet.workers[0];
    let more = "Content-Length: 500000\r\nLynxcleat-Deadline-Ms: 400\r\n";
    let mut stream = head(worker, "/up/", more);
    stream.write_all(&body(50_000)).expect("sent");
    let reply = read_answer(&mut stream);
    assert_eq!((reply.status, reply.outcome().as_str()), (504, "unknown"));
    assert!(seen.body().len() <= 50_000);
}

#[test]
fn a_chunked_body_beyond_the_limit_is_cut() {
    let (address, seen) = target(|_| {});
    let fleet = plan("large-limit", "stock", json!({"body_limit_bytes": 100_000}));
    let fleet = fleet.start_with_target(&address);
    let mut stream = head(&fleet.workers[0], "/up/", "Transfer-Encoding: chunked\r\n");
    stream.write_all(&chunked(&body(200_000))).expect("sent");
    let reply = read_answer(&mut stream);
    assert_eq!((reply.status, reply.outcome().as_str()), (504, "unknown"));
    assert!(!seen.body().ends_with(b"0\r\n\r\n"));
}

#[test]
fn a_caller_that_waits_is_told_to_go_on_only_when_a_target_has_room() {
    let expects = "Content-Length: 100000\r\nExpect: 100-continue\r\n";
    let nowhere = plan("large-expect-none", "other", json!({})).start();
    let mut stream = head(&nowhere.workers[0], "/up/", expects);
    let got = String::from_utf8_lossy(&read_to_end(&mut stream)).into_owned();
    assert!(got.starts_with("HTTP/1.1 503"), "{got}");
    assert!(!got.contains("100 Continue"), "{got}");
    let fleet = plan("large-expect", "stock", json!({})).start();
    let mut stream = head(&fleet.workers[0], "/up/", expects);
    let mut told = [0; 25];
    stream.read_exact(&mut told).expect("told");
    assert_eq!(&told, b"HTTP/1.1 100 Continue\r\n\r\n");
    let sent = body(100_000);
    stream.write_all(&sent).expect("sent");
    let reply = read_answer(&mut stream);
    assert_eq!(
        reply.json()["body"],
        String::from_utf8_lossy(&sent).as_ref()
    );
}

/// A body that nobody takes is read and thrown away, so the answer arrives and the
/// connection serves on.
#[test]
fn a_refusal_before_the_body_leaves_the_connection_usable() {
    let fleet = plan("large-refused", "other", json!({})).start();
    let mut stream = head(&fleet.workers[0], "/up/", "Content-Length: 300000\r\n");
    let reply = read_answer(&mut stream);
    assert_eq!((reply.status, reply.outcome().as_str()), (503, "not-run"));
    stream.write_all(&body(300_000)).expect("sent");
    stream
        .write_all(b"GET /other HTTP/1.1\r\nHost: stock\r\n\r\n")
        .expect("sent");
    assert_eq!(read_answer(&mut stream).outcome(), "not-run");
}
