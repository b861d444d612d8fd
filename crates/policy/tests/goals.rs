//! Goals, slowness and ranks: what is chosen, held and refused.

use lynxcleat_policy::{
    Action, Admit, AdmitAction, AdmitEvent, AdmitLimits, AttemptId, CallId, CallKind, CallTerms,
    ChooseParams, Distance, Elsewhere, Event, Figures, Policy, RefusalReason, Router, RouterParams,
    SlownessReading, Source, TargetId, WayPrices,
};
use rstest::rstest;

const MS: u64 = 1_000;
/// Ways to other places have a price.
const PRICES: WayPrices = WayPrices {
    far_percent: 20,
    region_percent: 90,
};
const KIND: CallKind = CallKind(1);
const NEAR: TargetId = TargetId(0);
const FAR: TargetId = TargetId(1);

fn terms(goal: u64, priority: u32) -> CallTerms {
    CallTerms {
        goal: Some(goal),
        kind: KIND,
        priority,
        ..CallTerms::default()
    }
}

fn params() -> RouterParams {
    RouterParams {
        choose: ChooseParams {
            policy: Policy::GoalChance,
            ramp_us: 0,
            eject_failures: 5,
            eject_us: 1_000 * MS,
            prices: PRICES,
        },
        attempt_limit: 2,
        further: lynxcleat_policy::FurtherParams {
            percent: 20,
            bound: None,
        },
        reroute_limit: 3,
    }
}

/// A router with one near and one far target, which knows that calls take 100 ms.
fn router() -> Router {
    let mut router = Router::new(params(), 7, 1);
    router.set_targets(0, &[(NEAR, 300.0), (FAR, 2_000.0)]);
    router.set_distances(&[(FAR, Distance::OwnRegion)]);
    for nth in 0..40 {
        let (attempt, _) = sent(&arrive(&mut router, nth, 0, 400 * MS));
        router.on(100 * MS, answered(attempt, 100));
    }
    router
}

fn arrive(router: &mut Router, call: u64, now: u64, goal: u64) -> Vec<Action> {
    let event = Event::Arrived {
        call: CallId(call),
        deadline: now + 1_000 * MS,
        effect: false,
        may_retry: true,
        attempt_limit: None,
        goal: Some(now + goal),
        kind: KIND,
    };
    router.on(now, event)
}

fn sent(actions: &[Action]) -> (AttemptId, TargetId) {
    match actions {
        [
            Action::Send {
                attempt, target, ..
            },
        ] => (*attempt, *target),
        other => panic!("expected a send, got {other:?}"),
    }
}

fn answered(attempt: AttemptId, work_ms: u32) -> Event {
    Event::Answered {
        attempt,
        source: Source::Served,
        figures: None,
        there_us: work_ms * 1_000,
        work_us: Some(work_ms * 1_000),
    }
}

fn told(target: TargetId, slowness_percent: u32, in_flight: u32) -> Event {
    Event::FiguresSeen {
        target,
        figures: Figures {
            in_flight,
            held: 0,
            slots: 8,
            service_us: 100_000,
            slowness_percent,
            slowness_age_ms: 0,
        },
    }
}

#[test]
fn the_near_target_serves_while_it_is_likely_to_make_the_goal() {
    let mut router = router();
    router.on(100 * MS, told(NEAR, 100, 0));
    router.on(100 * MS, told(FAR, 100, 0));
    assert_eq!(sent(&arrive(&mut router, 100, 100 * MS, 400 * MS)).1, NEAR);
}

#[test]
fn a_slow_near_target_loses_its_calls_to_a_far_one_and_gets_them_back() {
    let mut router = router();
    let now = 100 * MS;
    router.on(now, told(NEAR, 600, 0));
    router.on(now, told(FAR, 100, 0));
    assert_eq!(sent(&arrive(&mut router, 100, now, 400 * MS)).1, FAR);
    let later = now + 10 * MS;
    router.on(later, told(NEAR, 100, 0));
    assert_eq!(sent(&arrive(&mut router, 101, later, 400 * MS)).1, NEAR);
}

#[test]
fn a_goal_that_a_slow_target_makes_all_the_same_is_not_worth_the_way() {
    let mut router = router();
    let now = 100 * MS;
    router.on(now, told(NEAR, 200, 0));
    router.on(now, told(FAR, 100, 0));
    assert_eq!(sent(&arrive(&mut router, 100, now, 900 * MS)).1, NEAR);
}

/// Routers that hear the same would otherwise all send to the one target that told last.
#[test]
fn routers_that_know_the_same_spread_over_targets_of_nearly_the_same_worth() {
    let targets: Vec<TargetId> = (0..8).map(TargetId).collect();
    let mut chosen = std::collections::BTreeSet::new();
    for seed in 0..40 {
        let mut router = Router::new(params(), seed, 1);
        let paths: Vec<_> = targets.iter().map(|target| (*target, 300.0)).collect();
        router.set_targets(0, &paths);
        for nth in 0..40 {
            let (attempt, _) = sent(&arrive(&mut router, nth, 0, 400 * MS));
            router.on(0, answered(attempt, 100));
        }
        for (nth, target) in targets.iter().enumerate() {
            let slowness_percent = if nth < 4 { 100 } else { 500 };
            let now = (100 + nth as u64) * MS;
            router.on(now, told(*target, slowness_percent, 0));
        }
        chosen.insert(sent(&arrive(&mut router, 100, 110 * MS, 400 * MS)).1);
    }
    let fast: Vec<_> = targets[..4].to_vec();
    assert_eq!(chosen.into_iter().collect::<Vec<_>>(), fast);
}

#[test]
fn a_refusal_by_a_daemon_costs_no_attempt_and_no_budget() {
    let mut router = router();
    for nth in 100..400 {
        let (first, at) = sent(&arrive(&mut router, nth, 200 * MS, 400 * MS));
        let refused = Event::Refused {
            attempt: first,
            refusal: lynxcleat_policy::Refusal {
                reason: RefusalReason::TooLate,
                retry_after_us: 1,
            },
            figures: None,
        };
        let (second, other) = sent(&router.on(200 * MS, refused));
        assert_ne!(at, other);
        router.on(200 * MS, answered(second, 100));
    }
    assert_eq!(router.counts().retries, 0);
}

const LIMITS: AdmitLimits = AdmitLimits {
    slots: 4,
    hold_limit: 8,
    prices: PRICES,
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

#[test]
fn a_call_may_move_until_its_offers_elsewhere_are_used_up() {
    let mut router = Router::new(params(), 7, 1);
    let paths: Vec<_> = (0..8).map(|nth| (TargetId(nth), 300.0)).collect();
    router.set_targets(0, &paths);
    let mut actions = arrive(&mut router, 1, 0, 400 * MS);
    let mut ways = Vec::new();
    while let [
        Action::Send {
            attempt, elsewhere, ..
        },
    ] = actions[..]
        && ways.len() < 4
    {
        ways.push(elsewhere);
        let refused = Event::Refused {
            attempt,
            refusal: lynxcleat_policy::Refusal {
                reason: RefusalReason::Busy,
                retry_after_us: 1,
            },
            figures: None,
        };
        actions = router.on(0, refused);
    }
    let near = Elsewhere::Near;
    assert_eq!(ways, [near, near, near, Elsewhere::Nowhere]);
}

/// The way to a far target has a price; a target that cannot make the goal refuses the
/// call whether it may move or not.
#[test]
fn a_router_says_that_only_far_targets_are_left() {
    let mut router = router();
    let actions = arrive(&mut router, 1, 0, 400 * MS);
    assert!(matches!(
        actions[..],
        [Action::Send {
            elsewhere: Elsewhere::Far,
            ..
        }]
    ));
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
