//! Calls to a target that states the rate that it takes: which get through, and what the
//! others are told.

use lynxcleat_policy::{
    AdmissionAction, AdmissionController, AdmissionEvent, AdmissionLimits, CallAttributes, CallId,
    DistanceCosts, Elsewhere, Micros, OfferShare, RateLimit, Refusal, RefusalReason, StatedLimit,
};
use proptest::prelude::*;
use rstest::rstest;

const MS: Micros = 1_000;
const SECOND: Micros = 1_000 * MS;

fn limit(per_s: f64) -> Option<RateLimit> {
    RateLimit::from_per_s(per_s)
}

fn controller(per_s: f64) -> AdmissionController {
    let mut controller = AdmissionController::new(AdmissionLimits {
        slots: 50,
        hold_limit: 100,
        prices: DistanceCosts::default(),
        ask_price_permille: 10,
        cold_calls_per_s: 0,
        cold_ms: 0,
    });
    controller.on(0, AdmissionEvent::RateLimit(limit(per_s)));
    controller
}

fn offer(call: u64, deadline: Micros, priority: u32) -> AdmissionEvent {
    AdmissionEvent::Offer {
        call: CallId(call),
        deadline,
        attributes: CallAttributes {
            priority,
            ..CallAttributes::default()
        },
    }
}

fn delivered(actions: &[AdmissionAction]) -> Vec<CallId> {
    let call = |action: &AdmissionAction| match action {
        AdmissionAction::Deliver { call } => Some(*call),
        AdmissionAction::Refuse { .. } => None,
    };
    actions.iter().filter_map(call).collect()
}

fn refused(actions: &[AdmissionAction]) -> Vec<Refusal> {
    let refusal = |action: &AdmissionAction| match action {
        AdmissionAction::Refuse { refusal, .. } => Some(*refusal),
        AdmissionAction::Deliver { .. } => None,
    };
    actions.iter().filter_map(refusal).collect()
}

fn done(call: CallId) -> AdmissionEvent {
    AdmissionEvent::Done {
        call,
        service_us: Some(1_000),
        slowness_percent: None,
    }
}

#[test]
fn less_urgent_calls_do_not_take_the_tokens_of_urgent_ones() {
    let mut controller = controller(10.0);
    let (mut urgent, mut others) = (0, 0);
    for nth in 0..1_000 {
        let now = nth * 10 * MS;
        let priority = u32::from(nth % 2 == 0);
        let actions = controller.on(now, offer(nth, now + 30 * MS, priority));
        for call in delivered(&actions) {
            *(if call.0 % 2 == 1 {
                &mut urgent
            } else {
                &mut others
            }) += 1;
            controller.on(now, done(call));
        }
    }
    assert!(urgent >= 90, "{urgent} urgent calls of 100 tokens");
    assert!(others <= 10, "{others} others");
}

#[test]
fn less_urgent_calls_get_what_urgent_ones_leave() {
    let mut controller = controller(10.0);
    let mut others = 0;
    for nth in 0..1_000 {
        let now = nth * 10 * MS;
        let priority = u32::from(nth % 25 != 0);
        let actions = controller.on(now, offer(nth, now + 30 * MS, priority));
        for call in delivered(&actions) {
            others += u32::from(call.0 % 25 != 0);
            controller.on(now, done(call));
        }
    }
    assert!(
        others >= 50,
        "{others} calls of the 60 tokens that are left"
    );
}

#[test]
fn a_held_call_is_refused_as_soon_as_urgent_ones_come_before_it() {
    let mut controller = controller(10.0);
    let held = controller.on(0, offer(1, 150 * MS, 5));
    assert!(held.is_empty(), "a token comes within its time");
    for call in 2..6 {
        controller.on(MS, offer(call, 2 * SECOND, 0));
    }
    let actions = controller.on(2 * MS, AdmissionEvent::Recheck);
    assert!(delivered(&actions).is_empty());
    assert!(!controller.is_held(CallId(1)));
}

#[test]
fn refused_callers_are_told_to_come_back_one_after_the_other() {
    let mut controller = controller(10.0);
    let told = (0..10).flat_map(|nth| refused(&controller.on(0, offer(nth, 10 * MS, 0))));
    let told: Vec<Refusal> = told.collect();
    assert_eq!(told.len(), 10);
    for pair in told.windows(2) {
        assert_eq!(pair[0].reason, RefusalReason::RateLimited);
        let apart = pair[1].retry_after_us - pair[0].retry_after_us;
        assert_eq!(apart, 100 * MS);
    }
}

#[test]
fn a_call_that_has_somewhere_else_to_go_is_sent_on_at_once() {
    let mut controller = controller(10.0);
    let attributes = CallAttributes {
        goal: Some(SECOND),
        elsewhere: Elsewhere::Near,
        ..CallAttributes::default()
    };
    let actions = controller.on(
        0,
        AdmissionEvent::Offer {
            call: CallId(1),
            deadline: SECOND,
            attributes,
        },
    );
    assert_eq!(refused(&actions)[0].reason, RefusalReason::RateLimited);
}

#[test]
fn a_held_call_is_looked_at_again_when_its_token_is_there() {
    let mut controller = controller(10.0);
    controller.on(0, offer(1, SECOND, 0));
    let next = controller.next_recheck(0).expect("a time");
    assert!(!next.needs_reading);
    let actions = controller.on(next.at, AdmissionEvent::Recheck);
    assert_eq!(delivered(&actions), [CallId(1)]);
}

#[test]
fn another_incarnation_is_not_bound_by_the_limit() {
    let mut controller = controller(0.0);
    controller.on(0, AdmissionEvent::Replaced);
    let actions = controller.on(0, offer(1, SECOND, 0));
    assert_eq!(delivered(&actions), [CallId(1)]);
}

#[rstest]
#[case(-1.0)]
#[case(f64::NAN)]
#[case(f64::INFINITY)]
#[case(f64::NEG_INFINITY)]
fn what_is_no_rate_is_no_limit(#[case] per_s: f64) {
    assert_eq!(limit(per_s), None);
}

/// The answer of 10 ms was written before the limit was stated.
#[test]
fn an_answer_that_was_overtaken_neither_raises_nor_ends_a_limit() {
    let mut stated = StatedLimit::default();
    assert!(stated.record(20 * MS, 15 * MS, limit(5.0)));
    assert!(!stated.record(30 * MS, 10 * MS, None));
    assert!(!stated.record(30 * MS, 10 * MS, limit(50.0)));
    assert!(
        stated.record(30 * MS, 10 * MS, limit(4.0)),
        "it may be lower"
    );
    assert!(stated.record(40 * MS, 30 * MS, limit(6.0)));
    assert!(stated.record(60 * MS, 40 * MS, None));
    assert_eq!(stated.current(), None);
}

#[test]
fn routers_are_asked_for_a_share_that_uses_up_the_limit() {
    let mut controller = controller(10.0);
    let mut now = 0;
    let mut due = 0.0;
    for nth in 0..2_000 {
        now = nth * 5 * MS;
        let share = controller.offer_share(now);
        due += share.fraction();
        if due < 1.0 {
            continue;
        }
        due -= 1.0;
        let attributes = CallAttributes {
            share: Some(share),
            ..CallAttributes::default()
        };
        let actions = controller.on(
            now,
            AdmissionEvent::Offer {
                call: CallId(nth),
                deadline: now + MS,
                attributes,
            },
        );
        for call in delivered(&actions) {
            controller.on(now, done(call));
        }
    }
    let share = controller.offer_share(now).fraction();
    assert!(
        (0.05..=0.12).contains(&share),
        "{share} of 200 calls a second"
    );
    assert_eq!(controller.offer_share(now + 60 * SECOND), OfferShare::ALL);
}

proptest! {
    /// Whatever comes when, however the limit moves: what is delivered in a window is at most
    /// what the highest limit in it allows, with half a second's worth and some calls.
    #[test]
    fn what_is_delivered_keeps_to_the_limit(
        steps in prop::collection::vec((1_u64..400, 0.0_f64..40.0, 0_u32..3), 20..200),
    ) {
        let window = 4 * SECOND;
        let mut controller = controller(20.0);
        let mut limits = vec![(0, 20.0)];
        let mut times = Vec::new();
        let mut now = 0;
        for (call, (gap_ms, per_s, what)) in steps.into_iter().enumerate() {
            now += gap_ms * MS;
            if what == 0 {
                controller.on(now, AdmissionEvent::RateLimit(limit(per_s)));
                limits.push((now, per_s));
            }
            for nth in 0..8 {
                let call = call as u64 * 8 + nth;
                let actions = controller.on(now, offer(call, now + MS, nth as u32 % 3));
                for call in delivered(&actions) {
                    times.push(now);
                    controller.on(now, done(call));
                }
            }
        }
        for from in &times {
            let count = times.iter().filter(|at| (*from..from + window).contains(at)).count();
            let before = limits.iter().rfind(|(at, _)| at <= from).expect("the first");
            let within = limits.iter().filter(|(at, _)| (*from..from + window).contains(at));
            let highest = within.chain([before]).map(|(_, per_s)| per_s.max(0.1)).fold(0.0, f64::max);
            let most = highest * 4.5 + 4.0;
            prop_assert!(count as f64 <= most, "{} calls, {} allowed", count, most);
        }
    }
}
