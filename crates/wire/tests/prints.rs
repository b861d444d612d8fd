//! What makes two requests the same, and what does not.

use lynxcleat_policy::{Fingerprint, RequestFingerprints};
use lynxcleat_wire::{Header, RequestHead, request_prints};
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

fn prints(head: &RequestHead, body: &str, service: &str) -> RequestFingerprints {
    let is_ours = |name: &str| name.starts_with("lynxcleat-");
    request_prints(head, body.as_bytes(), Some(service), None, is_ours)
}

const HEADERS: &[(&str, &str)] = &[("host", "stock"), ("authorization", "a")];

fn usual() -> RequestFingerprints {
    prints(&head("GET", "/items/1", HEADERS), "body", "shop")
}

#[test]
fn marks_of_ours_and_the_case_of_the_host_change_nothing() {
    let headers = [
        ("host", "STOCK"),
        ("lynxcleat-retry", "1"),
        ("authorization", "a"),
    ];
    let again = prints(&head("GET", "/items/1", &headers), "body", "shop");
    assert_eq!(again, usual());
}

#[rstest]
#[case::method("POST", "/items/1", "stock", "body")]
#[case::last_letter_of_the_path("GET", "/items/2", "stock", "body")]
#[case::query("GET", "/items/1?a", "stock", "body")]
#[case::host("GET", "/items/1", "stocks", "body")]
#[case::body("GET", "/items/1", "stock", "bodY")]
#[case::no_body("GET", "/items/1", "stock", "")]
#[case::a_letter_on_the_other_side("GET", "/items/1b", "stock", "ody")]
fn another_content_is_another_request(
    #[case] method: &str,
    #[case] path: &str,
    #[case] host: &str,
    #[case] body: &str,
) {
    let headers = [("host", host), ("authorization", "a")];
    let other = prints(&head(method, path, &headers), body, "shop");
    assert_ne!(other.content, usual().content);
    assert_ne!(other.full, usual().full);
}

#[rstest]
#[case::another_caller(&[("host", "stock"), ("authorization", "b")], "shop")]
#[case::an_unnamed_caller(&[("host", "stock")], "shop")]
#[case::another_service(HEADERS, "depot")]
fn another_caller_sends_the_same_content(#[case] headers: &[(&str, &str)], #[case] service: &str) {
    let other = prints(&head("GET", "/items/1", headers), "body", service);
    assert_eq!(other.content, usual().content);
    assert_ne!(other.full, usual().full);
}

#[test]
fn a_fingerprint_is_read_as_it_is_written() {
    let full = usual().full;
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
