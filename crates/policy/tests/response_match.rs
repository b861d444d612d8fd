//! Which responses on a target's connection belong to the call that waits there.

use lynxcleat_policy::{
    QueryConnections, ResponseMatch, ResponseMatcher, ResponseName, ResponseNaming,
};
use proptest::prelude::*;

const OWN: ResponseMatch = ResponseMatch::Own { reusable: true };
const OWN_AND_LAST: ResponseMatch = ResponseMatch::Own { reusable: false };
const SECOND: u64 = 1_000_000;

fn after_calls(naming: ResponseNaming, calls: &[&str]) -> ResponseMatcher {
    let mut matcher = ResponseMatcher::new(naming);
    for call in calls {
        matcher.on_request(call, false);
    }
    matcher
}

fn named(call: &str) -> ResponseName<'_> {
    ResponseName::Call(call.as_bytes())
}

#[test]
fn a_surplus_response_is_not_taken_for_the_next_call() {
    for naming in [ResponseNaming::Required, ResponseNaming::Optional] {
        let mut matcher = after_calls(naming, &["a", "b"]);
        assert_eq!(matcher.on_response(named("a")), ResponseMatch::Surplus);
        assert_eq!(matcher.on_response(named("b")), OWN_AND_LAST);
    }
}

#[test]
fn a_connection_whose_responses_name_their_calls_is_used_again() {
    for naming in [ResponseNaming::Required, ResponseNaming::Optional] {
        let mut matcher = after_calls(naming, &["a"]);
        assert_eq!(matcher.on_response(named("a")), OWN);
        matcher.on_request("b", false);
        assert_eq!(matcher.on_response(named("b")), OWN);
    }
}

#[test]
fn a_response_that_names_a_call_of_another_connection_is_given_to_nobody() {
    for naming in [ResponseNaming::Required, ResponseNaming::Optional] {
        for calls in [&["a"][..], &["a", "b"]] {
            let mut matcher = after_calls(naming, calls);
            assert_eq!(matcher.on_response(named("x")), ResponseMatch::Unmatched);
        }
    }
}

#[test]
fn a_response_without_a_name_is_given_to_nobody_where_names_are_required() {
    let mut first = after_calls(ResponseNaming::Required, &["a"]);
    assert_eq!(
        first.on_response(ResponseName::Absent),
        ResponseMatch::Unmatched
    );
    let mut later = after_calls(ResponseNaming::Required, &["a", "b"]);
    assert_eq!(
        later.on_response(ResponseName::Absent),
        ResponseMatch::Surplus
    );
}

#[test]
fn a_connection_with_a_nameless_response_is_not_used_again() {
    let mut first = after_calls(ResponseNaming::Optional, &["a"]);
    assert_eq!(first.on_response(ResponseName::Absent), OWN_AND_LAST);
    let mut later = after_calls(ResponseNaming::Optional, &["a", "b"]);
    assert_eq!(
        later.on_response(ResponseName::Absent),
        ResponseMatch::Unmatched
    );
}

#[test]
fn a_response_with_two_names_is_given_to_nobody() {
    let mut matcher = after_calls(ResponseNaming::Optional, &["a"]);
    assert_eq!(
        matcher.on_response(ResponseName::Ambiguous),
        ResponseMatch::Unmatched
    );
}

#[test]
fn two_attempts_of_a_call_do_not_share_a_connection() {
    let matcher = after_calls(ResponseNaming::Required, &["a", "b"]);
    assert!(!matcher.may_send("a"));
    assert!(!matcher.may_send("b"));
    assert!(matcher.may_send("c"));
}

#[test]
fn the_name_of_a_call_is_not_forgotten_while_its_connection_lives() {
    let mut matcher = after_calls(ResponseNaming::Required, &["a"]);
    assert_eq!(matcher.on_response(named("a")), OWN);
    let mut calls = 1;
    loop {
        let call = format!("call-{calls}");
        matcher.on_request(&call, false);
        calls += 1;
        assert!(!matcher.may_send("a"), "after {calls} calls");
        if matcher.on_response(named(&call)) == OWN_AND_LAST {
            break;
        }
    }
    assert_eq!(calls, 1_024);
}

#[test]
fn a_surplus_response_to_head_is_not_read_over() {
    let mut matcher = ResponseMatcher::new(ResponseNaming::Required);
    matcher.on_request("a", true);
    matcher.on_request("b", false);
    assert_eq!(matcher.on_response(named("a")), ResponseMatch::Unmatched);
}

#[test]
fn a_target_that_repeats_a_response_without_end_does_not_hold_a_call() {
    let mut matcher = after_calls(ResponseNaming::Required, &["a", "b"]);
    let unmatched = (0..100)
        .map(|_| matcher.on_response(named("a")))
        .position(|matched| matched == ResponseMatch::Unmatched);
    assert_eq!(unmatched, Some(8));
}

#[test]
fn load_queries_get_connections_of_their_own_after_a_surplus_response() {
    let mut connections = QueryConnections::default();
    assert!(connections.is_reusable(0));
    connections.on_surplus(SECOND);
    assert!(!connections.is_reusable(60 * SECOND));
    assert!(connections.is_reusable(61 * SECOND));
}

proptest! {
    /// Whatever a target sends, a call gets only a response that names it, or the first
    /// response of a connection that then carries nothing else.
    #[test]
    fn no_call_gets_the_response_of_another(
        required in any::<bool>(),
        responses in prop::collection::vec((0_usize..6, any::<bool>()), 1..40),
    ) {
        let naming = match required {
            true => ResponseNaming::Required,
            false => ResponseNaming::Optional,
        };
        let names = ["c0", "c1", "c2", "c3", "c4", "c5"];
        let mut matcher = ResponseMatcher::new(naming);
        let mut current = 0;
        matcher.on_request(names[current], false);
        for (of, is_named) in responses {
            let name = match is_named {
                true => named(names[of]),
                false => ResponseName::Absent,
            };
            match matcher.on_response(name) {
                ResponseMatch::Own { reusable } => {
                    let is_first_and_nameless = current == 0 && !is_named && !required;
                    prop_assert!(of == current && is_named || is_first_and_nameless);
                    if !reusable || current + 1 == names.len() {
                        break;
                    }
                    current += 1;
                    matcher.on_request(names[current], false);
                }
                ResponseMatch::Surplus => prop_assert!(of != current || !is_named),
                ResponseMatch::Unmatched => break,
            }
        }
    }
}
