//! Which parts of a request determine its fingerprints.

use lynxcleat_policy::{BodyCoverage, Fingerprint, RequestFingerprints};
use lynxcleat_wire::{Header, RequestHead, partial_request_fingerprints, request_fingerprints};
use rstest::rstest;
use serde_bytes::ByteBuf;

fn head(method: &str, path: &str, headers: &[(&str, &str)]) -> RequestHead {
    let header = |(name, value): &(&str, &str)| {
        Header((*name).to_owned(), ByteBuf::from(value.as_bytes().to_vec()))
    };
    RequestHead {
        method: method.to_owned(),
        path: path.to_owned(),
        headers: headers.iter().map(header).collect(),
    }
}

fn fingerprints(head: &RequestHead, body: &str, service: &str) -> RequestFingerprints {
    let is_internal = |name: &str| name.starts_with("lynxcleat-");
    request_fingerprints(head, body.as_bytes(), Some(service), None, is_internal)
}

const HEADERS: &[(&str, &str)] = &[("host", "stock"), ("authorization", "a")];

fn baseline() -> RequestFingerprints {
    fingerprints(&head("GET", "/items/1", HEADERS), "body", "shop")
}

#[test]
fn internal_headers_and_the_case_of_the_host_are_ignored() {
    let headers = [
        ("host", "STOCK"),
        ("lynxcleat-retry", "1"),
        ("authorization", "a"),
    ];
    let repeated = fingerprints(&head("GET", "/items/1", &headers), "body", "shop");
    assert_eq!(repeated, baseline());
}

#[rstest]
#[case::method("POST", "/items/1", "stock", "body")]
#[case::path("GET", "/items/2", "stock", "body")]
#[case::query("GET", "/items/1?a", "stock", "body")]
#[case::host("GET", "/items/1", "stocks", "body")]
#[case::body("GET", "/items/1", "stock", "bodY")]
#[case::empty_body("GET", "/items/1", "stock", "")]
#[case::byte_moved_from_body_to_path("GET", "/items/1b", "stock", "ody")]
fn different_content_changes_both_fingerprints(
    #[case] method: &str,
    #[case] path: &str,
    #[case] host: &str,
    #[case] body: &str,
) {
    let headers = [("host", host), ("authorization", "a")];
    let other = fingerprints(&head(method, path, &headers), body, "shop");
    assert_ne!(other.content, baseline().content);
    assert_ne!(other.full, baseline().full);
}

#[rstest]
#[case::other_authorization(&[("host", "stock"), ("authorization", "b")], "shop")]
#[case::no_authorization(&[("host", "stock")], "shop")]
#[case::other_caller_service(HEADERS, "depot")]
fn different_caller_changes_only_the_full_fingerprint(
    #[case] headers: &[(&str, &str)],
    #[case] service: &str,
) {
    let other = fingerprints(&head("GET", "/items/1", headers), "body", service);
    assert_eq!(other.content, baseline().content);
    assert_ne!(other.full, baseline().full);
}

fn partial(body: &str, coverage: BodyCoverage) -> RequestFingerprints {
    let head = head("GET", "/items/1", HEADERS);
    let is_internal = |name: &str| name.starts_with("lynxcleat-");
    partial_request_fingerprints(
        &head,
        (body.as_bytes(), coverage),
        Some("shop"),
        None,
        is_internal,
    )
}

/// A body that was passed on in pieces comes again with its length, and names the same request.
#[test]
fn a_body_that_was_read_whole_has_the_fingerprints_of_one_with_a_length() {
    assert_eq!(partial("body", BodyCoverage::Whole), baseline());
}

/// Otherwise a quarantine of one would refuse the other.
#[test]
fn parts_of_bodies_are_told_from_whole_ones_and_by_their_length() {
    let beginning = |length| BodyCoverage::Beginning { length };
    let all = [
        partial("body", BodyCoverage::Whole),
        partial("body", beginning(None)),
        partial("body", beginning(Some(5))),
        partial("body", beginning(Some(6))),
        partial("bodY", beginning(Some(6))),
        partial("body", BodyCoverage::Nothing),
        partial("", BodyCoverage::Nothing),
        partial("", BodyCoverage::Whole),
    ];
    for (nth, one) in all.iter().enumerate() {
        for other in &all[..nth] {
            assert_ne!(one.content, other.content, "{nth}");
            assert_ne!(one.full, other.full, "{nth}");
        }
    }
}

#[test]
fn displayed_fingerprints_parse_and_malformed_ones_are_rejected() {
    let full = baseline().full;
    assert_eq!(full.to_string().parse(), Ok(full));
    for text in [
        "",
        "12",
        "g0000000000000000000000000000000",
        &format!("{full}0"),
    ] {
        assert!(text.parse::<Fingerprint>().is_err(), "{text:?}");
    }
}
