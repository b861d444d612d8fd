//! Order of pipelined calls on one connection.

use lynxcleat_policy::{CallNumber, Pipeline, PipelineLimits, ReadyResponse, RequestInfo};
use proptest::prelude::*;

const LIMITS: PipelineLimits = PipelineLimits {
    calls: 4,
    bytes: 100,
};
const LOOKUP: RequestInfo = RequestInfo {
    has_effects: false,
    is_last: false,
};
const EFFECT: RequestInfo = RequestInfo {
    has_effects: true,
    is_last: false,
};

fn ready(call: CallNumber, closes: bool) -> Option<ReadyResponse> {
    Some(ReadyResponse { call, closes })
}

#[test]
fn lookups_run_concurrently_and_are_answered_in_order() {
    let mut pipeline = Pipeline::new(LIMITS);
    let first = pipeline.on_request(LOOKUP);
    assert_eq!(pipeline.start_next(), Some(first));
    let second = pipeline.on_request(LOOKUP);
    assert_eq!(
        pipeline.start_next(),
        Some(second),
        "runs concurrently with the first"
    );
    pipeline.on_response(second, 10, false);
    assert_eq!(
        pipeline.pop_ready(),
        None,
        "the first response must be sent before it"
    );
    pipeline.on_response(first, 10, false);
    assert_eq!(pipeline.pop_ready(), ready(first, false));
    assert_eq!(pipeline.pop_ready(), ready(second, false));
}

#[test]
fn a_call_with_side_effects_runs_alone() {
    let mut pipeline = Pipeline::new(LIMITS);
    let lookup = pipeline.on_request(LOOKUP);
    pipeline.start_next();
    let effect = pipeline.on_request(EFFECT);
    assert_eq!(pipeline.start_next(), None, "an earlier call is running");
    assert!(!pipeline.can_read(0), "at most one request may wait");
    pipeline.on_response(lookup, 0, false);
    assert_eq!(pipeline.start_next(), Some(effect));
    let next = pipeline.on_request(LOOKUP);
    assert_eq!(
        pipeline.start_next(),
        None,
        "an earlier call with side effects is running"
    );
    pipeline.on_response(effect, 0, false);
    assert_eq!(pipeline.start_next(), Some(next));
}

#[test]
fn no_request_is_read_at_the_limits() {
    let mut pipeline = Pipeline::new(LIMITS);
    let calls: Vec<CallNumber> = (0..4)
        .map(|_| {
            assert!(pipeline.can_read(0));
            let call = pipeline.on_request(LOOKUP);
            pipeline.start_next();
            call
        })
        .collect();
    assert!(!pipeline.can_read(0), "at the limit of pending calls");
    pipeline.on_response(calls[0], 0, false);
    pipeline.pop_ready();
    assert!(pipeline.can_read(0));
    assert!(
        !pipeline.can_read(100),
        "the caller has not read its responses"
    );
    pipeline.on_response(calls[2], 100, false);
    assert!(!pipeline.can_read(0), "at the limit of buffered bytes");
}

#[test]
fn the_last_started_call_closes_the_connection_on_shutdown() {
    let mut pipeline = Pipeline::new(LIMITS);
    let first = pipeline.on_request(LOOKUP);
    pipeline.start_next();
    let second = pipeline.on_request(LOOKUP);
    pipeline.start_next();
    pipeline.on_request(EFFECT);
    pipeline.begin_shutdown();
    assert_eq!(
        pipeline.start_next(),
        None,
        "the waiting request is discarded"
    );
    assert!(!pipeline.can_read(0));
    pipeline.on_response(first, 0, false);
    pipeline.on_response(second, 0, false);
    assert_eq!(pipeline.pop_ready(), ready(first, false));
    assert_eq!(pipeline.pop_ready(), ready(second, true));
    assert!(pipeline.is_closed());
}

#[test]
fn an_idle_connection_accepts_one_more_request_on_shutdown() {
    let mut pipeline = Pipeline::new(LIMITS);
    pipeline.begin_shutdown();
    assert!(pipeline.can_read(0));
    let only = pipeline.on_request(EFFECT);
    assert!(!pipeline.can_read(0));
    assert_eq!(pipeline.start_next(), Some(only));
    pipeline.on_response(only, 0, false);
    assert_eq!(pipeline.pop_ready(), ready(only, true));
}

#[test]
fn a_last_request_runs_in_order_and_closes_the_connection() {
    let mut pipeline = Pipeline::new(LIMITS);
    let lookup = pipeline.on_request(LOOKUP);
    pipeline.start_next();
    let last = pipeline.on_request(RequestInfo {
        is_last: true,
        ..EFFECT
    });
    pipeline.on_response(lookup, 0, false);
    assert_eq!(pipeline.pop_ready(), ready(lookup, false));
    assert_eq!(pipeline.start_next(), Some(last));
    pipeline.on_response(last, 0, false);
    assert_eq!(pipeline.pop_ready(), ready(last, true));
}

/// An event on a connection. `which` selects one of the running calls.
#[derive(Clone, Debug)]
enum Step {
    Read { has_effects: bool, is_last: bool },
    Answer { which: usize, bytes: usize },
    Send,
    Shutdown,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        8 => (any::<bool>(), prop::bool::weighted(0.05)).prop_map(|(has_effects, is_last)| Step::Read { has_effects, is_last }),
        8 => (any::<usize>(), 0..60_usize).prop_map(|(which, bytes)| Step::Answer { which, bytes }),
        4 => Just(Step::Send),
        1 => Just(Step::Shutdown),
    ]
}

/// State of the calls that were read, as the test observed it.
#[derive(Default)]
struct Observed {
    effects: Vec<bool>,
    started: Vec<usize>,
    answered: Vec<usize>,
    sent: Vec<usize>,
}

impl Observed {
    fn start_all(&mut self, pipeline: &mut Pipeline) {
        while let Some(CallNumber(number)) = pipeline.start_next() {
            let number = number as usize;
            let runs =
                |other: &usize| self.started.contains(other) && !self.answered.contains(other);
            for other in (0..number).filter(runs) {
                assert!(
                    !self.effects[other] && !self.effects[number],
                    "a call with side effects ran concurrently with another"
                );
            }
            assert_eq!(number, self.started.len(), "started in order");
            self.started.push(number);
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(11), ..ProptestConfig::with_cases(2_000) })]

    #[test]
    fn ordering_and_limits_hold_for_any_event_sequence(steps in prop::collection::vec(step(), 1..80)) {
        let mut pipeline = Pipeline::new(LIMITS);
        let mut observed = Observed::default();
        let mut closed = false;
        for step in steps {
            match step {
                Step::Read { has_effects, is_last } => {
                    if pipeline.can_read(0) {
                        assert!(!closed, "no request is read after the last response");
                        pipeline.on_request(RequestInfo { has_effects, is_last });
                        observed.effects.push(has_effects);
                        observed.start_all(&mut pipeline);
                    }
                }
                Step::Answer { which, bytes } => {
                    let running: Vec<usize> = observed.started.iter().copied().filter(|call| !observed.answered.contains(call)).collect();
                    if !running.is_empty() {
                        let call = running[which % running.len()];
                        pipeline.on_response(CallNumber(call as u64), bytes, false);
                        observed.answered.push(call);
                        observed.start_all(&mut pipeline);
                    }
                }
                Step::Send => {
                    if let Some(next) = pipeline.pop_ready() {
                        assert!(!closed, "no response is sent after the one that closes");
                        assert_eq!(next.call.0 as usize, observed.sent.len(), "responses are sent in order");
                        observed.sent.push(next.call.0 as usize);
                        closed = next.closes;
                        if closed {
                            assert_eq!(observed.started.len(), observed.sent.len(), "every started call is answered");
                        }
                        observed.start_all(&mut pipeline);
                    }
                }
                Step::Shutdown => pipeline.begin_shutdown(),
            }
            assert!(observed.started.len() - observed.sent.len() <= LIMITS.calls);
        }
    }
}
