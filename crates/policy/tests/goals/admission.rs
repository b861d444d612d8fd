//! Tests of what a target's daemon queues, starts, redirects and refuses.

use lynxcleat_policy::{
    AdmissionAction, AdmissionController, AdmissionEvent, AdmissionLimits, CallAttributes, CallId,
    Elsewhere, RefusalReason, SlownessReading,
};
use rstest::rstest;

use super::{COSTS, MS, terms};

const LIMITS: AdmissionLimits = AdmissionLimits {
    slots: 4,
    hold_limit: 8,
    prices: COSTS,
    ask_price_permille: 10,
    cold_calls_per_s: 0,
    cold_ms: 0,
};

/// Returns a controller that has learned that calls take 100 ms, also when three others
/// run.
fn admit() -> AdmissionController {
    let mut admit = AdmissionController::new(LIMITS);
    admit.on(0, AdmissionEvent::Slowness(100));
    for _ in 0..10 {
        for nth in 0..4 {
            admit.on(0, offer(nth, 0, terms(400 * MS, 0)));
        }
        for nth in 0..4 {
            admit.on(100 * MS, done(nth, 100, 100));
        }
    }
    admit
}

fn offer(call: u64, now: u64, attributes: CallAttributes) -> AdmissionEvent {
    AdmissionEvent::Offer {
        call: CallId(call),
        deadline: now + 2_000 * MS,
        attributes,
    }
}

fn done(call: u64, took_ms: u32, slowness_percent: u32) -> AdmissionEvent {
    AdmissionEvent::Done {
        call: CallId(call),
        service_us: Some(took_ms * 1_000),
        slowness_percent: Some(slowness_percent),
    }
}

fn delivered(actions: &[AdmissionAction]) -> Option<u64> {
    actions.iter().find_map(|action| match action {
        AdmissionAction::Deliver { call } => Some(call.0),
        AdmissionAction::Refuse { .. } => None,
    })
}

#[test]
fn held_calls_are_dispatched_by_priority_then_goal() {
    let mut admit = admit();
    let now = 100 * MS;
    for nth in 100..104 {
        assert_eq!(
            delivered(&admit.on(now, offer(nth, now, terms(now + 900 * MS, 1)))),
            Some(nth)
        );
    }
    for (call, goal_ms, priority) in [(200, 900, 1), (201, 500, 1), (202, 950, 0)] {
        let held = admit.on(now, offer(call, now, terms(now + goal_ms * MS, priority)));
        assert!(held.is_empty(), "{held:?}");
    }
    let order: Vec<_> = (100..103)
        .map(|call| delivered(&admit.on(now + 50 * MS, done(call, 100, 100))))
        .collect();
    assert_eq!(order, [Some(202), Some(201), Some(200)]);
}

#[test]
fn a_nested_call_is_dispatched_first_regardless_of_priority_and_goal() {
    let mut admit = admit();
    let now = 100 * MS;
    for nth in 100..104 {
        admit.on(now, offer(nth, now, terms(now + 900 * MS, 0)));
    }
    admit.on(now, offer(200, now, terms(now + 900 * MS, 0)));
    let nested = CallAttributes {
        nested: true,
        ..terms(now + 950 * MS, 2)
    };
    let held = admit.on(now, offer(201, now, nested));
    assert!(held.is_empty(), "{held:?}");
    let next = admit.on(now + 50 * MS, done(100, 100, 100));
    assert_eq!(delivered(&next), Some(201));
}

/// A refusal would fail the outer call that waits for it, whose goal is later.
#[rstest]
#[case::made_by_a_target(true, Outcome::Held)]
#[case::made_by_a_caller(false, Outcome::Refused)]
fn a_nested_call_is_held_beyond_its_own_goal(#[case] nested: bool, #[case] expected: Outcome) {
    let mut admit = admit();
    let now = 100 * MS;
    for nth in 100..104 {
        admit.on(now, offer(nth, now, terms(now + 900 * MS, 0)));
    }
    let attributes = CallAttributes {
        nested,
        ..terms(now + 110 * MS, 0)
    };
    assert_eq!(
        outcome(&admit.on(now, offer(200, now, attributes))),
        expected
    );
}

/// A busy target does not know which other targets are idle; the router does.
#[rstest]
#[case::can_go_elsewhere(Elsewhere::Near, true)]
#[case::only_to_far_targets(Elsewhere::Far, false)]
#[case::was_offered_elsewhere_already(Elsewhere::Nowhere, false)]
fn a_busy_target_holds_only_calls_that_cannot_be_redirected(
    #[case] elsewhere: Elsewhere,
    #[case] is_redirected: bool,
) {
    let mut admit = admit();
    let now = 100 * MS;
    for nth in 100..104 {
        admit.on(now, offer(nth, now, terms(now + 900 * MS, 0)));
    }
    let attributes = CallAttributes {
        elsewhere,
        ..terms(now + 900 * MS, 0)
    };
    let actions = admit.on(now, offer(200, now, attributes));
    let refused = matches!(
        actions[..],
        [AdmissionAction::Refuse { refusal, .. }] if refusal.reason == RefusalReason::Busy
    );
    assert_eq!(refused, is_redirected, "{actions:?}");
}

/// What happened to an offered call.
#[derive(Debug, Eq, PartialEq)]
enum Outcome {
    Delivered,
    Held,
    Redirected,
    Refused,
}

fn outcome(actions: &[AdmissionAction]) -> Outcome {
    match actions {
        [] => Outcome::Held,
        [AdmissionAction::Deliver { .. }] => Outcome::Delivered,
        [AdmissionAction::Refuse { refusal, .. }] if refusal.reason == RefusalReason::Busy => {
            Outcome::Redirected
        }
        [AdmissionAction::Refuse { .. }] => Outcome::Refused,
        other => panic!("one call was offered: {other:?}"),
    }
}

/// The slowness of the target when a call starts determines how long the call takes.
#[rstest]
#[case::slow(500, 400, Elsewhere::Near, Outcome::Redirected)]
#[case::slow_and_others_are_far(500, 400, Elsewhere::Far, Outcome::Held)]
#[case::no_time_to_wait_and_others_are_far(500, 130, Elsewhere::Far, Outcome::Redirected)]
#[case::no_time_to_wait_and_others_are_of_other_regions(
    500,
    130,
    Elsewhere::OtherRegion,
    Outcome::Refused
)]
#[case::slow_and_nowhere_else_to_go(500, 400, Elsewhere::Nowhere, Outcome::Held)]
#[case::hardly_slow_and_others_are_near(340, 400, Elsewhere::Near, Outcome::Redirected)]
#[case::usual_speed(100, 400, Elsewhere::Near, Outcome::Delivered)]
#[case::slow_but_in_time(200, 400, Elsewhere::Near, Outcome::Delivered)]
#[case::no_time_to_wait_and_nowhere_else_to_go(500, 130, Elsewhere::Nowhere, Outcome::Refused)]
fn a_target_with_a_free_slot_delivers_holds_or_redirects_a_call(
    #[case] slowness_percent: u32,
    #[case] goal_ms: u64,
    #[case] elsewhere: Elsewhere,
    #[case] expected: Outcome,
) {
    let mut admit = admit();
    let now = 100 * MS;
    admit.on(now, AdmissionEvent::Slowness(slowness_percent));
    let attributes = CallAttributes {
        elsewhere,
        ..terms(now + goal_ms * MS, 0)
    };
    let actions = admit.on(now, offer(200, now, attributes));
    assert_eq!(outcome(&actions), expected);
}

#[test]
fn a_call_that_waits_for_the_end_of_a_slow_spell_starts_when_it_is_over() {
    let mut admit = admit();
    let mut now = 100 * MS;
    admit.on(now, AdmissionEvent::Slowness(500));
    assert_eq!(
        outcome(&admit.on(now, offer(200, now, terms(now + 400 * MS, 0)))),
        Outcome::Held
    );
    for _ in 0..3 {
        let recheck_at = admit
            .next_recheck(now)
            .expect("a recheck is due for the held call")
            .at;
        assert!(
            recheck_at > now && recheck_at <= now + 50 * MS,
            "{}",
            recheck_at - now
        );
        now = recheck_at;
        assert!(admit.on(now, AdmissionEvent::Slowness(500)).is_empty());
    }
    now = admit.next_recheck(now).expect("the call is still held").at;
    assert_eq!(
        delivered(&admit.on(now, AdmissionEvent::Slowness(100))),
        Some(200)
    );
    assert_eq!(admit.next_recheck(now), None, "no call is held");
}

/// If the target cannot be probed, rechecks bring no new readings. The last reading loses
/// weight over time, and the call must not wait for one that never comes.
#[test]
fn a_waiting_call_starts_even_without_new_readings() {
    let mut admit = admit();
    let mut now = 100 * MS;
    admit.on(now, AdmissionEvent::Slowness(500));
    let goal = now + 2_000 * MS;
    let mut actions = admit.on(now, offer(200, now, terms(goal, 0)));
    while actions.is_empty() {
        now = admit
            .next_recheck(now)
            .expect("a recheck is due for the held call")
            .at;
        assert!(now < goal, "the call waited until its goal");
        actions = admit.on(now, AdmissionEvent::Recheck);
    }
    assert_eq!(outcome(&actions), Outcome::Delivered);
}

/// A target that has been slow for a long time is unlikely to recover soon.
#[test]
fn a_target_that_stays_slow_does_not_hold_calls() {
    let mut admit = admit();
    let mut now = 100 * MS;
    for _ in 0..150 {
        now += 20 * MS;
        admit.on(now, AdmissionEvent::Slowness(500));
    }
    let actions = admit.on(now, offer(200, now, terms(now + 400 * MS, 0)));
    assert_eq!(outcome(&actions), Outcome::Refused);
    let actions = admit.on(now, offer(201, now, terms(now + 900 * MS, 0)));
    assert_eq!(outcome(&actions), Outcome::Delivered);
}

/// A caller that is refused on arrival can retry in time. One whose call has waited cannot,
/// and neither can a target that makes a nested call.
#[rstest]
#[case::just_arrived(0, false, Outcome::Refused)]
#[case::held_for_long(60, false, Outcome::Delivered)]
#[case::nested(0, true, Outcome::Delivered)]
fn a_call_unlikely_to_finish_in_time_is_refused_on_arrival(
    #[case] held_ms: u64,
    #[case] nested: bool,
    #[case] expected: Outcome,
) {
    let mut admit = admit();
    let mut now = 100 * MS;
    for nth in 0..150 {
        now += 20 * MS;
        if nth == 149 {
            for busy in 100..104 {
                admit.on(now, offer(busy, now, terms(now + 900 * MS, 0)));
            }
        }
        admit.on(now, AdmissionEvent::Slowness(500));
    }
    let goal = now + 220 * MS / if nested { 2 } else { 1 };
    let attributes = CallAttributes {
        nested,
        ..terms(goal, 0)
    };
    if held_ms == 0 {
        admit.on(now, AdmissionEvent::Slowness(500));
        admit.on(now, done(100, 500, 500));
        assert_eq!(
            outcome(&admit.on(now, offer(200, now, attributes))),
            expected
        );
        return;
    }
    // The target is full and at usual speed on arrival, so the call is queued.
    admit.on(now, AdmissionEvent::Slowness(100));
    assert_eq!(
        outcome(&admit.on(now, offer(200, now, attributes))),
        Outcome::Held
    );
    now += held_ms * MS;
    admit.on(now, AdmissionEvent::Slowness(500));
    assert_eq!(outcome(&admit.on(now, done(100, 100, 500))), expected);
}

#[test]
fn a_held_call_is_redirected_once_waiting_longer_is_worth_less() {
    let mut admit = admit();
    let mut now = 100 * MS;
    admit.on(now, AdmissionEvent::Slowness(500));
    let attributes = CallAttributes {
        elsewhere: Elsewhere::Far,
        ..terms(now + 400 * MS, 0)
    };
    let mut actions = admit.on(now, offer(200, now, attributes));
    assert_eq!(outcome(&actions), Outcome::Held);
    while actions.is_empty() {
        now = admit
            .next_recheck(now)
            .expect("a recheck is due for the held call")
            .at;
        actions = admit.on(now, AdmissionEvent::Slowness(500));
    }
    assert_eq!(outcome(&actions), Outcome::Redirected);
    assert!(
        now < 400 * MS,
        "too late for another target to meet the goal"
    );
}

/// A probe has a cost. It is worthwhile if the probability that the target has turned slow
/// since its last report, times what that would cost the call, is higher.
#[rstest]
#[case::just_told(1, 400, false)]
#[case::told_a_while_ago(60, 400, true)]
#[case::told_a_while_ago_and_time_enough_if_it_is_slow(60, 1_900, false)]
fn a_target_is_probed_only_where_that_is_worth_the_cost(
    #[case] age_ms: u64,
    #[case] goal_ms: u64,
    #[case] is_probed: bool,
) {
    let mut admit = admit();
    let mut reported_at = 100 * MS;
    for nth in 0..120 {
        reported_at += 20 * MS;
        let slowness_percent = if nth % 30 < 8 { 500 } else { 100 };
        admit.on(reported_at, AdmissionEvent::Slowness(slowness_percent));
    }
    let now = reported_at + age_ms * MS;
    let attributes = terms(now + goal_ms * MS, 0);
    assert_eq!(
        admit.should_probe(now, now + 2_000 * MS, &attributes),
        is_probed
    );
}

/// A daemon's own readings may be all that it knows about targets. A few seconds of them
/// must not make the target's own slowness the usual one.
#[test]
fn a_target_that_stays_slow_still_redirects_calls() {
    let mut admit = admit();
    let mut now = 100 * MS;
    for _ in 0..30 {
        now += 100 * MS;
        admit.on(now, AdmissionEvent::Slowness(500));
    }
    let attributes = CallAttributes {
        elsewhere: Elsewhere::Near,
        ..terms(now + 400 * MS, 0)
    };
    let actions = admit.on(now, offer(200, now, attributes));
    assert_eq!(delivered(&actions), None, "{actions:?}");
}

/// If the other targets are just as slow, redirecting a call gains nothing.
#[rstest]
#[case::others_are_usual(100, true)]
#[case::others_are_as_slow(500, false)]
fn readings_of_other_targets_predict_their_slowness(
    #[case] slowness_percent: u32,
    #[case] is_redirected: bool,
) {
    let mut admit = admit();
    let mut now = 100 * MS;
    for _ in 0..30 {
        now += 50 * MS;
        let reading = SlownessReading {
            factor: f64::from(slowness_percent) / 100.0,
            at: now,
        };
        admit.on(now, AdmissionEvent::PeerSlowness(reading));
    }
    admit.on(now, AdmissionEvent::Slowness(500));
    let attributes = CallAttributes {
        elsewhere: Elsewhere::Near,
        ..terms(now + 400 * MS, 0)
    };
    let actions = admit.on(now, offer(200, now, attributes));
    let is_busy = outcome(&actions) == Outcome::Redirected;
    assert_eq!(is_busy, is_redirected, "{actions:?}");
}

#[rstest]
#[case::usual_speed(100, false)]
#[case::slow(900, true)]
fn a_call_that_cannot_meet_its_goal_is_refused_on_arrival(
    #[case] slowness_percent: u32,
    #[case] is_refused: bool,
) {
    let mut admit = admit();
    let now = 100 * MS;
    admit.on(now, AdmissionEvent::Slowness(slowness_percent));
    for nth in 100..104 {
        admit.on(now, offer(nth, now, terms(now + 900 * MS, 0)));
    }
    let actions = admit.on(now, offer(200, now, terms(now + 250 * MS, 0)));
    let refused = matches!(
        actions[..],
        [AdmissionAction::Refuse { refusal, .. }] if refusal.reason == RefusalReason::TooLate
    );
    assert_eq!(refused, is_refused, "{actions:?}");
}
