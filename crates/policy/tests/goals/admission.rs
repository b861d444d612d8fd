//! What a half holds, begins, sends on and refuses.

use lynxcleat_policy::{
    Admit, AdmitAction, AdmitEvent, AdmitLimits, CallId, CallTerms, Elsewhere, RefusalReason,
    SlownessReading,
};
use rstest::rstest;

use super::{COSTS, MS, terms};

const LIMITS: AdmitLimits = AdmitLimits {
    slots: 4,
    hold_limit: 8,
    prices: COSTS,
    ask_price_permille: 10,
    cold_calls_per_s: 0,
    cold_ms: 0,
};

/// An admission that has learned that calls take 100 ms, also beside three others.
fn admit() -> Admit {
    let mut admit = Admit::new(LIMITS);
    admit.on(0, AdmitEvent::Slowness(100));
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

fn offer(call: u64, now: u64, terms: CallTerms) -> AdmitEvent {
    AdmitEvent::Offer {
        call: CallId(call),
        deadline: now + 2_000 * MS,
        terms,
    }
}

fn done(call: u64, took_ms: u32, slowness_percent: u32) -> AdmitEvent {
    AdmitEvent::Done {
        call: CallId(call),
        service_us: Some(took_ms * 1_000),
        slowness_percent: Some(slowness_percent),
    }
}

fn delivered(actions: &[AdmitAction]) -> Option<u64> {
    actions.iter().find_map(|action| match action {
        AdmitAction::Deliver { call } => Some(call.0),
        AdmitAction::Refuse { .. } => None,
    })
}

#[test]
fn held_calls_go_by_rank_then_goal() {
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
fn a_nested_call_goes_first_whatever_its_rank_and_goal() {
    let mut admit = admit();
    let now = 100 * MS;
    for nth in 100..104 {
        admit.on(now, offer(nth, now, terms(now + 900 * MS, 0)));
    }
    admit.on(now, offer(200, now, terms(now + 900 * MS, 0)));
    let nested = CallTerms {
        nested: true,
        ..terms(now + 950 * MS, 2)
    };
    let held = admit.on(now, offer(201, now, nested));
    assert!(held.is_empty(), "{held:?}");
    let next = admit.on(now + 50 * MS, done(100, 100, 100));
    assert_eq!(delivered(&next), Some(201));
}

/// Refusing it would fail the call that waits for it, whose goal is further away.
#[rstest]
#[case::made_by_a_target(true, Outcome::Waits)]
#[case::made_by_a_caller(false, Outcome::IsRefused)]
fn a_nested_call_is_held_beyond_its_own_goal(#[case] nested: bool, #[case] expected: Outcome) {
    let mut admit = admit();
    let now = 100 * MS;
    for nth in 100..104 {
        admit.on(now, offer(nth, now, terms(now + 900 * MS, 0)));
    }
    let terms = CallTerms {
        nested,
        ..terms(now + 110 * MS, 0)
    };
    assert_eq!(outcome(&admit.on(now, offer(200, now, terms))), expected);
}

/// A target that is busy does not know of idle ones; the router does.
#[rstest]
#[case::can_go_elsewhere(Elsewhere::Near, true)]
#[case::only_to_far_targets(Elsewhere::Far, false)]
#[case::was_offered_elsewhere_already(Elsewhere::Nowhere, false)]
fn a_busy_target_holds_only_what_cannot_go_elsewhere(
    #[case] elsewhere: Elsewhere,
    #[case] is_sent_on: bool,
) {
    let mut admit = admit();
    let now = 100 * MS;
    for nth in 100..104 {
        admit.on(now, offer(nth, now, terms(now + 900 * MS, 0)));
    }
    let movable = CallTerms {
        elsewhere,
        ..terms(now + 900 * MS, 0)
    };
    let actions = admit.on(now, offer(200, now, movable));
    let refused = matches!(
        actions[..],
        [AdmitAction::Refuse { refusal, .. }] if refusal.reason == RefusalReason::Busy
    );
    assert_eq!(refused, is_sent_on, "{actions:?}");
}

/// What became of a call that was offered.
#[derive(Debug, Eq, PartialEq)]
enum Outcome {
    Begins,
    Waits,
    IsSentOn,
    IsRefused,
}

fn outcome(actions: &[AdmitAction]) -> Outcome {
    match actions {
        [] => Outcome::Waits,
        [AdmitAction::Deliver { .. }] => Outcome::Begins,
        [AdmitAction::Refuse { refusal, .. }] if refusal.reason == RefusalReason::Busy => {
            Outcome::IsSentOn
        }
        [AdmitAction::Refuse { .. }] => Outcome::IsRefused,
        other => panic!("one call was offered: {other:?}"),
    }
}

/// How long a call takes is decided by how slow the target is when it begins.
#[rstest]
#[case::slow(500, 400, Elsewhere::Near, Outcome::IsSentOn)]
#[case::slow_and_others_are_far(500, 400, Elsewhere::Far, Outcome::Waits)]
#[case::no_time_to_wait_and_others_are_far(500, 130, Elsewhere::Far, Outcome::IsSentOn)]
#[case::no_time_to_wait_and_others_are_of_other_regions(
    500,
    130,
    Elsewhere::OtherRegion,
    Outcome::IsRefused
)]
#[case::slow_and_nowhere_else_to_go(500, 400, Elsewhere::Nowhere, Outcome::Waits)]
#[case::hardly_slow_and_others_are_near(340, 400, Elsewhere::Near, Outcome::IsSentOn)]
#[case::usual_speed(100, 400, Elsewhere::Near, Outcome::Begins)]
#[case::slow_but_in_time(200, 400, Elsewhere::Near, Outcome::Begins)]
#[case::no_time_to_wait_and_nowhere_else_to_go(500, 130, Elsewhere::Nowhere, Outcome::IsRefused)]
fn a_target_with_a_free_slot_begins_keeps_or_sends_on(
    #[case] slowness_percent: u32,
    #[case] goal_ms: u64,
    #[case] elsewhere: Elsewhere,
    #[case] expected: Outcome,
) {
    let mut admit = admit();
    let now = 100 * MS;
    admit.on(now, AdmitEvent::Slowness(slowness_percent));
    let movable = CallTerms {
        elsewhere,
        ..terms(now + goal_ms * MS, 0)
    };
    let actions = admit.on(now, offer(200, now, movable));
    assert_eq!(outcome(&actions), expected);
}

#[test]
fn a_call_that_waits_for_the_end_of_a_slow_spell_begins_when_it_is_over() {
    let mut admit = admit();
    let mut now = 100 * MS;
    admit.on(now, AdmitEvent::Slowness(500));
    assert_eq!(
        outcome(&admit.on(now, offer(200, now, terms(now + 400 * MS, 0)))),
        Outcome::Waits
    );
    for _ in 0..3 {
        let look = admit.next_look(now).expect("a held call is looked at").at;
        assert!(look > now && look <= now + 50 * MS, "{}", look - now);
        now = look;
        assert!(admit.on(now, AdmitEvent::Slowness(500)).is_empty());
    }
    now = admit.next_look(now).expect("it is still held").at;
    assert_eq!(
        delivered(&admit.on(now, AdmitEvent::Slowness(100))),
        Some(200)
    );
    assert_eq!(admit.next_look(now), None, "none is held");
}

/// Where the target cannot be asked, looks bring no readings; the last one is believed less
/// and less, and the call must not wait for one that never comes.
#[test]
fn a_call_that_waits_begins_without_news_too() {
    let mut admit = admit();
    let mut now = 100 * MS;
    admit.on(now, AdmitEvent::Slowness(500));
    let goal = now + 2_000 * MS;
    let mut actions = admit.on(now, offer(200, now, terms(goal, 0)));
    while actions.is_empty() {
        now = admit.next_look(now).expect("a held call is looked at").at;
        assert!(now < goal, "it waited until its goal");
        actions = admit.on(now, AdmitEvent::Look);
    }
    assert_eq!(outcome(&actions), Outcome::Begins);
}

/// A target that has been slow for long will hardly be usual soon.
#[test]
fn a_target_that_stays_slow_holds_nothing_back() {
    let mut admit = admit();
    let mut now = 100 * MS;
    for _ in 0..150 {
        now += 20 * MS;
        admit.on(now, AdmitEvent::Slowness(500));
    }
    let actions = admit.on(now, offer(200, now, terms(now + 400 * MS, 0)));
    assert_eq!(outcome(&actions), Outcome::IsRefused);
    let actions = admit.on(now, offer(201, now, terms(now + 900 * MS, 0)));
    assert_eq!(outcome(&actions), Outcome::Begins);
}

/// A caller that hears at once that there is no hope can come back in time; one that waited
/// cannot, and a target that runs a call of its own cannot at all.
#[rstest]
#[case::just_arrived(0, false, Outcome::IsRefused)]
#[case::held_for_long(60, false, Outcome::Begins)]
#[case::nested(0, true, Outcome::Begins)]
fn what_would_hardly_end_in_time_is_refused_when_it_arrives(
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
        admit.on(now, AdmitEvent::Slowness(500));
    }
    let goal = now + 220 * MS / if nested { 2 } else { 1 };
    let terms = CallTerms {
        nested,
        ..terms(goal, 0)
    };
    if held_ms == 0 {
        admit.on(now, AdmitEvent::Slowness(500));
        admit.on(now, done(100, 500, 500));
        assert_eq!(outcome(&admit.on(now, offer(200, now, terms))), expected);
        return;
    }
    // Full and of usual speed when it arrives, so that it is held.
    admit.on(now, AdmitEvent::Slowness(100));
    assert_eq!(
        outcome(&admit.on(now, offer(200, now, terms))),
        Outcome::Waits
    );
    now += held_ms * MS;
    admit.on(now, AdmitEvent::Slowness(500));
    assert_eq!(outcome(&admit.on(now, done(100, 100, 500))), expected);
}

#[test]
fn a_held_call_is_sent_on_once_waiting_for_longer_is_worth_less() {
    let mut admit = admit();
    let mut now = 100 * MS;
    admit.on(now, AdmitEvent::Slowness(500));
    let movable = CallTerms {
        elsewhere: Elsewhere::Far,
        ..terms(now + 400 * MS, 0)
    };
    let mut actions = admit.on(now, offer(200, now, movable));
    assert_eq!(outcome(&actions), Outcome::Waits);
    while actions.is_empty() {
        now = admit.next_look(now).expect("a held call is looked at").at;
        actions = admit.on(now, AdmitEvent::Slowness(500));
    }
    assert_eq!(outcome(&actions), Outcome::IsSentOn);
    assert!(now < 400 * MS, "while another target can still make it");
}

/// The question costs something; it is asked where the chance that the target turned slow
/// since it told, by what that would cost the call, is more.
#[rstest]
#[case::just_told(1, 400, false)]
#[case::told_a_while_ago(60, 400, true)]
#[case::told_a_while_ago_and_time_enough_if_it_is_slow(60, 1_900, false)]
fn a_target_is_asked_where_that_is_worth_the_question(
    #[case] age_ms: u64,
    #[case] goal_ms: u64,
    #[case] is_asked: bool,
) {
    let mut admit = admit();
    let mut told_at = 100 * MS;
    for nth in 0..120 {
        told_at += 20 * MS;
        let slowness_percent = if nth % 30 < 8 { 500 } else { 100 };
        admit.on(told_at, AdmitEvent::Slowness(slowness_percent));
    }
    let now = told_at + age_ms * MS;
    let terms = terms(now + goal_ms * MS, 0);
    assert_eq!(admit.should_ask(now, now + 2_000 * MS, &terms), is_asked);
}

/// Its own readings may be all that a half knows of targets; those of a few seconds must not
/// make its own slowness the usual one.
#[test]
fn a_target_that_stays_slow_still_sends_on_what_can_go_elsewhere() {
    let mut admit = admit();
    let mut now = 100 * MS;
    for _ in 0..30 {
        now += 100 * MS;
        admit.on(now, AdmitEvent::Slowness(500));
    }
    let movable = CallTerms {
        elsewhere: Elsewhere::Near,
        ..terms(now + 400 * MS, 0)
    };
    let actions = admit.on(now, offer(200, now, movable));
    assert_eq!(delivered(&actions), None, "{actions:?}");
}

/// Where the other targets are as slow, moving gains nothing.
#[rstest]
#[case::others_are_usual(100, true)]
#[case::others_are_as_slow(500, false)]
fn what_other_targets_told_is_what_a_call_would_find_there(
    #[case] slowness_percent: u32,
    #[case] is_sent_on: bool,
) {
    let mut admit = admit();
    let mut now = 100 * MS;
    for _ in 0..30 {
        now += 50 * MS;
        let reading = SlownessReading {
            factor: f64::from(slowness_percent) / 100.0,
            at: now,
        };
        admit.on(now, AdmitEvent::PeerSlowness(reading));
    }
    admit.on(now, AdmitEvent::Slowness(500));
    let movable = CallTerms {
        elsewhere: Elsewhere::Near,
        ..terms(now + 400 * MS, 0)
    };
    let actions = admit.on(now, offer(200, now, movable));
    let is_busy = outcome(&actions) == Outcome::IsSentOn;
    assert_eq!(is_busy, is_sent_on, "{actions:?}");
}

#[rstest]
#[case::usual_speed(100, false)]
#[case::slow(900, true)]
fn a_goal_that_cannot_be_made_here_is_refused_when_it_arrives(
    #[case] slowness_percent: u32,
    #[case] is_refused: bool,
) {
    let mut admit = admit();
    let now = 100 * MS;
    admit.on(now, AdmitEvent::Slowness(slowness_percent));
    for nth in 100..104 {
        admit.on(now, offer(nth, now, terms(now + 900 * MS, 0)));
    }
    let actions = admit.on(now, offer(200, now, terms(now + 250 * MS, 0)));
    let refused = matches!(
        actions[..],
        [AdmitAction::Refuse { refusal, .. }] if refusal.reason == RefusalReason::TooLate
    );
    assert_eq!(refused, is_refused, "{actions:?}");
}
