//! The whole path: what callers send arrives unchanged, and the answer too.

mod support;

use rstest::rstest;
use serde_json::json;
use support::{Plan, call, raw, tree};

#[test]
fn a_call_to_any_daemon_is_served_and_carries_its_own_answer() {
    let fleet = Plan::new("path-any").start();
    for (nth, worker) in fleet.workers.iter().enumerate() {
        let path = format!("/items/{nth}?of=a%20b");
        let reply = worker.get(&path, &[("x-echo", "mine")]);
        assert_eq!(reply.status, 200);
        assert_eq!(reply.outcome(), "run");
        assert!(reply.header("lynxcleat-ticket").is_some());
        let body = reply.json();
        assert_eq!(body["path"], path);
        assert_eq!(body["echo"], "mine");
    }
}

#[test]
fn large_and_chunked_bodies_pass_whole_and_too_large_ones_are_refused() {
    let mut plan = Plan::new("path-bodies");
    plan.tree = tree(json!({"body_limit_bytes": 300_000}));
    let fleet = plan.start();
    let worker = &fleet.workers[0];
    let large = "x".repeat(200_000);
    let reply = worker.post(&[], large.as_bytes());
    assert_eq!(reply.json()["body"], large);
    let chunked = b"POST /take HTTP/1.1\r\nHost: stock\r\nConnection: close\r\n\
        Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n";
    let reply = raw(&worker.callers, chunked).expect("an answer");
    assert_eq!(reply.json()["body"], "abcde");
    let reply = worker.post(&[], &vec![b'x'; 300_001]);
    assert_eq!(reply.status, 413);
    assert_eq!(reply.outcome(), "not-run");
    // The echo of a body near the limit is an answer above it: cut it is not.
    let reply = worker.post(&[], &vec![b'x'; 299_990]);
    assert_eq!(reply.status, 504);
    assert_eq!(reply.outcome(), "unknown");
}

#[test]
fn head_has_a_length_and_no_body() {
    let fleet = Plan::new("path-head").start();
    let reply = call(
        &fleet.workers[0].callers,
        "HEAD",
        "/items/1",
        &[("Host", "stock")],
        b"",
    );
    assert_eq!(reply.status, 200);
    assert!(reply.body.is_empty());
    let length: usize = reply
        .header("content-length")
        .expect("length")
        .parse()
        .expect("number");
    assert!(length > 0);
}

#[rstest]
#[case::two_lengths(
    "POST / HTTP/1.1\r\nHost: stock\r\nContent-Length: 3\r\nContent-Length: 4\r\nConnection: close\r\n\r\nabcd"
)]
#[case::authority_form("CONNECT stock:80 HTTP/1.1\r\nHost: stock\r\nConnection: close\r\n\r\n")]
#[case::two_hosts("GET / HTTP/1.1\r\nHost: stock\r\nHost: other\r\nConnection: close\r\n\r\n")]
#[case::no_host("GET / HTTP/1.1\r\nConnection: close\r\n\r\n")]
#[case::bad_deadline(
    "GET / HTTP/1.1\r\nHost: stock\r\nLynxcleat-Deadline-Ms: soon\r\nConnection: close\r\n\r\n"
)]
#[case::two_deadlines(
    "GET / HTTP/1.1\r\nHost: stock\r\nLynxcleat-Deadline-Ms: 5\r\nLynxcleat-Deadline-Ms: 6\r\nConnection: close\r\n\r\n"
)]
#[case::forged_ticket(
    "POST / HTTP/1.1\r\nHost: stock\r\nLynxcleat-Ticket: t1.00.1.2.3.127.0.0.1:1\r\nConnection: close\r\n\r\n"
)]
#[case::ticket_and_key(
    "POST / HTTP/1.1\r\nHost: stock\r\nLynxcleat-Ticket: t\r\nIdempotency-Key: k\r\nConnection: close\r\n\r\n"
)]
#[case::bad_host("GET / HTTP/1.1\r\nHost: ../stock\r\nConnection: close\r\n\r\n")]
fn what_can_be_read_in_two_ways_is_refused(#[case] request: &str) {
    let fleet = Plan::new("path-refused").start();
    let reply = raw(&fleet.workers[0].callers, request.as_bytes()).expect("an answer");
    assert_eq!(reply.status, 400, "{}", reply.head);
    let served: u64 = fleet.workers.iter().map(|w| w.target.served()).sum();
    assert_eq!(served, 0);
}

/// RFC 9112, section 3.2.2: a server accepts the absolute form, and the host in it
/// goes before `Host`. Targets get the path alone.
#[rstest]
#[case::same_host("http://stock/items/7?full=1", "stock")]
#[case::another_host("http://stock/items/7?full=1", "elsewhere")]
fn the_absolute_form_is_served(#[case] target: &str, #[case] host: &str) {
    let seen = support::HeaderSink::start();
    let fleet = Plan::new("path-absolute").start_with_target(&seen.address);
    let request = format!("GET {target} HTTP/1.1\r\nHost: {host}\r\nConnection: close\r\n\r\n");
    let reply = raw(&fleet.workers[0].callers, request.as_bytes()).expect("an answer");
    let why = String::from_utf8_lossy(&reply.body);
    assert_eq!(
        reply.status,
        200,
        "{}{why}\n{}",
        reply.head,
        fleet.describe()
    );
    let head = seen.head();
    assert!(
        head.starts_with("GET /items/7?full=1 HTTP/1.1\r\n"),
        "{head}"
    );
    assert!(
        head.to_ascii_lowercase().contains("\r\nhost: stock\r\n"),
        "{head}"
    );
}

#[test]
fn hop_by_hop_headers_and_forged_headers_of_ours_do_not_reach_targets() {
    let seen = support::HeaderSink::start();
    let mut fleet = Plan::new("path-headers");
    fleet.workers = 0;
    let fleet = fleet.start_with_target(&seen.address);
    let worker = &fleet.workers[0];
    let reply = worker.get(
        "/",
        &[
            ("X-Kept", "yes"),
            ("X-Listed", "no"),
            ("Keep-Alive", "no"),
            ("TE", "no"),
            ("Lynxcleat-Outcome", "forged"),
            ("Connection", "X-Listed"),
        ],
    );
    assert_eq!(
        reply.status,
        200,
        "{}",
        String::from_utf8_lossy(&reply.body)
    );
    let head = seen.head().to_ascii_lowercase();
    assert!(head.contains("x-kept: yes"));
    assert!(head.contains("lynxcleat-deadline-ms: "));
    for gone in ["x-listed", "keep-alive", "\r\nte:", "forged"] {
        assert!(!head.contains(gone), "{gone} in {head}");
    }
}

#[test]
fn a_service_that_no_place_has_is_refused() {
    let fleet = Plan::new("path-no-service").start();
    let reply = call(
        &fleet.workers[0].callers,
        "GET",
        "/",
        &[("Host", "nosuch")],
        b"",
    );
    assert_eq!(reply.status, 404);
    assert_eq!(reply.outcome(), "not-run");
    let reply = call(
        &fleet.workers[0].callers,
        "GET",
        "/",
        &[("Host", "other")],
        b"",
    );
    assert_eq!(reply.status, 503, "listed, but nowhere served");
    assert_eq!(reply.outcome(), "not-run");
    assert!(reply.header("retry-after").is_some());
}

#[test]
fn length_and_encoding_together_smuggle_nothing() {
    let seen = support::HeaderSink::start();
    let fleet = Plan::new("path-smuggle").start_with_target(&seen.address);
    // By its length the request would end in the middle of the second one.
    let both = "GET /first HTTP/1.1\r\nHost: stock\r\nContent-Length: 4\r\n\
        Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /second HTTP/1.1\r\nHost: stock\r\n\r\n";
    let reply = raw(&fleet.workers[0].callers, both.as_bytes()).expect("one answer, then the end");
    assert_eq!(
        reply.status,
        200,
        "{}{}",
        String::from_utf8_lossy(&reply.body),
        fleet.describe()
    );
    assert_eq!(reply.head.matches("HTTP/1.1").count(), 1);
    assert!(reply.body.is_empty(), "no second answer");
    let head = seen.head().to_ascii_lowercase();
    assert!(head.starts_with("get /first "));
    assert!(!head.contains("transfer-encoding"));
    assert!(!head.contains("content-length: 4"));
}

#[test]
fn a_further_attempt_is_marked_so_that_it_is_not_tried_again_down_the_chain() {
    let seen = support::HeaderSink::start();
    let fleet = Plan::new("path-marked").start_with_target(&seen.address);
    let worker = &fleet.workers[0];
    worker.get("/first", &[]);
    assert!(!seen.head().contains("lynxcleat-retry"));
    // A target that calls on passes on what it received.
    worker.get("/nested", &[("Lynxcleat-Retry", "1")]);
    assert!(seen.head().contains("lynxcleat-retry: 1"));
}
