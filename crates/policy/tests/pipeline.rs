//! What a connection does with pipelined calls.

use lynxcleat_policy::{Arrival, CallNumber, NextOut, Pipeline, PipelineLimits};
use proptest::prelude::*;

const LIMITS: PipelineLimits = PipelineLimits {
    calls: 4,
    bytes: 100,
};
const LOOKUP: Arrival = Arrival {
    has_effects: false,
    is_last: false,
};
const EFFECT: Arrival = Arrival {
    has_effects: true,
    is_last: false,
};

fn out(call: CallNumber, closes: bool) -> Option<NextOut> {
    Some(NextOut { call, closes })
}

#[test]
fn lookups_run_side_by_side_and_go_out_in_order() {
    let mut pipeline = Pipeline::new(LIMITS);
    let first = pipeline.arrived(LOOKUP);
    assert_eq!(pipeline.begin(), Some(first));
    let second = pipeline.arrived(LOOKUP);
    assert_eq!(pipeline.begin(), Some(second), "beside the first");
    pipeline.answered(second, 10, false);
    assert_eq!(pipeline.next_out(), None, "the first goes before it");
    pipeline.answered(first, 10, false);
    assert_eq!(pipeline.next_out(), out(first, false));
    assert_eq!(pipeline.next_out(), out(second, false));
}

#[test]
fn a_call_with_effects_runs_alone() {
    let mut pipeline = Pipeline::new(LIMITS);
    let lookup = pipeline.arrived(LOOKUP);
    pipeline.begin();
    let effect = pipeline.arrived(EFFECT);
    assert_eq!(pipeline.begin(), None, "a call before it runs");
    assert!(!pipeline.may_read(0), "one at most waits");
    pipeline.answered(lookup, 0, false);
    assert_eq!(pipeline.begin(), Some(effect));
    let behind = pipeline.arrived(LOOKUP);
    assert_eq!(pipeline.begin(), None, "a call with effects runs before it");
    pipeline.answered(effect, 0, false);
    assert_eq!(pipeline.begin(), Some(behind));
}

#[test]
fn nothing_is_read_above_the_bounds() {
    let mut pipeline = Pipeline::new(LIMITS);
    let calls: Vec<CallNumber> = (0..4)
        .map(|_| {
            assert!(pipeline.may_read(0));
            let call = pipeline.arrived(LOOKUP);
            pipeline.begin();
            call
        })
        .collect();
    assert!(!pipeline.may_read(0), "as many calls as may be in hand");
    pipeline.answered(calls[0], 0, false);
    pipeline.next_out();
    assert!(pipeline.may_read(0));
    assert!(!pipeline.may_read(100), "the caller does not take answers");
    pipeline.answered(calls[2], 100, false);
    assert!(!pipeline.may_read(0), "as many bytes as may be held");
}

#[test]
fn the_last_answer_of_those_begun_closes_when_a_stop_begins() {
    let mut pipeline = Pipeline::new(LIMITS);
    let first = pipeline.arrived(LOOKUP);
    pipeline.begin();
    let second = pipeline.arrived(LOOKUP);
    pipeline.begin();
    pipeline.arrived(EFFECT);
    pipeline.stop();
    assert_eq!(pipeline.begin(), None, "it counts as not read");
    assert!(!pipeline.may_read(0));
    pipeline.answered(first, 0, false);
    pipeline.answered(second, 0, false);
    assert_eq!(pipeline.next_out(), out(first, false));
    assert_eq!(pipeline.next_out(), out(second, true));
    assert!(pipeline.is_closed());
}

#[test]
fn a_stop_takes_one_more_request_where_none_is_in_hand() {
    let mut pipeline = Pipeline::new(LIMITS);
    pipeline.stop();
    assert!(pipeline.may_read(0));
    let only = pipeline.arrived(EFFECT);
    assert!(!pipeline.may_read(0));
    assert_eq!(pipeline.begin(), Some(only));
    pipeline.answered(only, 0, false);
    assert_eq!(pipeline.next_out(), out(only, true));
}

#[test]
fn a_last_request_waits_for_its_turn_and_closes() {
    let mut pipeline = Pipeline::new(LIMITS);
    let lookup = pipeline.arrived(LOOKUP);
    pipeline.begin();
    let last = pipeline.arrived(Arrival {
        is_last: true,
        ..EFFECT
    });
    pipeline.answered(lookup, 0, false);
    assert_eq!(pipeline.next_out(), out(lookup, false));
    assert_eq!(pipeline.begin(), Some(last));
    pipeline.answered(last, 0, false);
    assert_eq!(pipeline.next_out(), out(last, true));
}

/// What may happen to a connection; numbers choose among what is in hand.
#[derive(Clone, Debug)]
enum Step {
    Read { has_effects: bool, is_last: bool },
    Answer { which: usize, bytes: usize },
    Out,
    Stop,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        8 => (any::<bool>(), prop::bool::weighted(0.05)).prop_map(|(has_effects, is_last)| Step::Read { has_effects, is_last }),
        8 => (any::<usize>(), 0..60_usize).prop_map(|(which, bytes)| Step::Answer { which, bytes }),
        4 => Just(Step::Out),
        1 => Just(Step::Stop),
    ]
}

/// What a test knows of the calls that were read.
#[derive(Default)]
struct Seen {
    effects: Vec<bool>,
    begun: Vec<usize>,
    answered: Vec<usize>,
    out: Vec<usize>,
}

impl Seen {
    fn begin_all(&mut self, pipeline: &mut Pipeline) {
        while let Some(CallNumber(number)) = pipeline.begin() {
            let number = number as usize;
            let runs = |other: &usize| self.begun.contains(other) && !self.answered.contains(other);
            for other in (0..number).filter(runs) {
                assert!(
                    !self.effects[other] && !self.effects[number],
                    "side by side"
                );
            }
            assert_eq!(number, self.begun.len(), "begun in order");
            self.begun.push(number);
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(11), ..ProptestConfig::with_cases(2_000) })]

    #[test]
    fn order_effects_bounds_and_the_last_answer_hold(steps in prop::collection::vec(step(), 1..80)) {
        let mut pipeline = Pipeline::new(LIMITS);
        let mut seen = Seen::default();
        let mut closed = false;
        for step in steps {
            match step {
                Step::Read { has_effects, is_last } => {
                    if pipeline.may_read(0) {
                        assert!(!closed, "nothing is read behind the last answer");
                        pipeline.arrived(Arrival { has_effects, is_last });
                        seen.effects.push(has_effects);
                        seen.begin_all(&mut pipeline);
                    }
                }
                Step::Answer { which, bytes } => {
                    let running: Vec<usize> = seen.begun.iter().copied().filter(|call| !seen.answered.contains(call)).collect();
                    if !running.is_empty() {
                        let call = running[which % running.len()];
                        pipeline.answered(CallNumber(call as u64), bytes, false);
                        seen.answered.push(call);
                        seen.begin_all(&mut pipeline);
                    }
                }
                Step::Out => {
                    if let Some(next) = pipeline.next_out() {
                        assert!(!closed, "one answer closes, and it is the last");
                        assert_eq!(next.call.0 as usize, seen.out.len(), "in order");
                        seen.out.push(next.call.0 as usize);
                        closed = next.closes;
                        if closed {
                            assert_eq!(seen.begun.len(), seen.out.len(), "all that was begun is answered");
                        }
                        seen.begin_all(&mut pipeline);
                    }
                }
                Step::Stop => pipeline.stop(),
            }
            assert!(seen.begun.len() - seen.out.len() <= LIMITS.calls);
        }
    }
}
