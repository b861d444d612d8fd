//! Selection of a target by a router.

use lynxcleat_policy::{
    Action, AnswerStatus, AttemptId, CallId, Distance, Elsewhere, Event, OfferShare, Policy,
    RateLimit, RefusalReason, Router, RouterParams, SelectionParams, TargetId, TargetLoad,
    TargetNotice,
};

use super::{COSTS, FAR, KIND, MS, NEAR};

fn params() -> RouterParams {
    RouterParams {
        selection: SelectionParams {
            policy: Policy::GoalChance,
            ramp_us: 0,
            eject_failures: 5,
            eject_us: 1_000 * MS,
            prices: COSTS,
        },
        attempt_limit: 2,
        retry_budget: lynxcleat_policy::RetryParams {
            percent: 20,
            bound: None,
        },
        reroute_limit: 3,
    }
}

/// A router with one near and one far target that has observed service times of 100 ms.
fn router() -> Router {
    let mut router = Router::new(params(), 7, 1);
    router.set_targets(0, &[(NEAR, 300.0), (FAR, 2_000.0)]);
    router.set_distances(&[(FAR, Distance::OwnRegion)]);
    for nth in 0..40 {
        let (attempt, _) = single_send(&on_arrival(&mut router, nth, 0, 400 * MS));
        router.on(100 * MS, answered(attempt, 100));
    }
    router
}

fn on_arrival(router: &mut Router, call: u64, now: u64, goal: u64) -> Vec<Action> {
    let event = Event::Arrived {
        call: CallId(call),
        deadline: now + 1_000 * MS,
        has_effects: false,
        may_retry: true,
        attempt_limit: None,
        goal: Some(now + goal),
        kind: KIND,
    };
    router.on(now, event)
}

fn single_send(actions: &[Action]) -> (AttemptId, TargetId) {
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
        status: AnswerStatus::Served,
        load: None,
        remote_us: work_ms * 1_000,
        work_us: Some(work_ms * 1_000),
    }
}

fn load_report(target: TargetId, slowness_percent: u32, in_flight: u32) -> Event {
    Event::LoadReported {
        target,
        load: TargetLoad {
            in_flight,
            held: 0,
            slots: 8,
            service_us: 100_000,
            slowness_percent,
            slowness_age_ms: 0,
            notice: None,
        },
    }
}

#[test]
fn the_near_target_is_chosen_while_it_is_likely_to_meet_the_goal() {
    let mut router = router();
    router.on(100 * MS, load_report(NEAR, 100, 0));
    router.on(100 * MS, load_report(FAR, 100, 0));
    assert_eq!(
        single_send(&on_arrival(&mut router, 100, 100 * MS, 400 * MS)).1,
        NEAR
    );
}

#[test]
fn calls_move_to_a_far_target_while_the_near_one_is_slow() {
    let mut router = router();
    let now = 100 * MS;
    router.on(now, load_report(NEAR, 600, 0));
    router.on(now, load_report(FAR, 100, 0));
    assert_eq!(
        single_send(&on_arrival(&mut router, 100, now, 400 * MS)).1,
        FAR
    );
    let later = now + 10 * MS;
    router.on(later, load_report(NEAR, 100, 0));
    assert_eq!(
        single_send(&on_arrival(&mut router, 101, later, 400 * MS)).1,
        NEAR
    );
}

#[test]
fn calls_stay_at_a_slow_near_target_that_still_meets_the_goal() {
    let mut router = router();
    let now = 100 * MS;
    router.on(now, load_report(NEAR, 200, 0));
    router.on(now, load_report(FAR, 100, 0));
    assert_eq!(
        single_send(&on_arrival(&mut router, 100, now, 900 * MS)).1,
        NEAR
    );
}

/// Guards against herding: routers with the same load reports would all choose the target
/// that reported last if only the single best target were eligible.
#[test]
fn routers_with_equal_knowledge_spread_over_targets_of_similar_utility() {
    let targets: Vec<TargetId> = (0..8).map(TargetId).collect();
    let mut chosen = std::collections::BTreeSet::new();
    for seed in 0..40 {
        let mut router = Router::new(params(), seed, 1);
        let paths: Vec<_> = targets.iter().map(|target| (*target, 300.0)).collect();
        router.set_targets(0, &paths);
        for nth in 0..40 {
            let (attempt, _) = single_send(&on_arrival(&mut router, nth, 0, 400 * MS));
            router.on(0, answered(attempt, 100));
        }
        for (nth, target) in targets.iter().enumerate() {
            let slowness_percent = if nth < 4 { 100 } else { 500 };
            let now = (100 + nth as u64) * MS;
            router.on(now, load_report(*target, slowness_percent, 0));
        }
        chosen.insert(single_send(&on_arrival(&mut router, 100, 110 * MS, 400 * MS)).1);
    }
    let fast: Vec<_> = targets[..4].to_vec();
    assert_eq!(chosen.into_iter().collect::<Vec<_>>(), fast);
}

#[test]
fn a_refusal_by_a_daemon_uses_no_attempt_and_no_retry_budget() {
    let mut router = router();
    for nth in 100..400 {
        let (first, refusing) = single_send(&on_arrival(&mut router, nth, 200 * MS, 400 * MS));
        let refused = Event::Refused {
            attempt: first,
            refusal: lynxcleat_policy::Refusal {
                reason: RefusalReason::TooLate,
                retry_after_us: 1,
            },
            load: None,
        };
        let (second, other) = single_send(&router.on(200 * MS, refused));
        assert_ne!(refusing, other);
        router.on(200 * MS, answered(second, 100));
    }
    assert_eq!(router.counts().retries, 0);
}

#[test]
fn a_call_is_rerouted_up_to_the_reroute_limit() {
    let mut router = Router::new(params(), 7, 1);
    let paths: Vec<_> = (0..8).map(|nth| (TargetId(nth), 300.0)).collect();
    router.set_targets(0, &paths);
    let mut actions = on_arrival(&mut router, 1, 0, 400 * MS);
    let mut observed = Vec::new();
    while let [
        Action::Send {
            attempt, elsewhere, ..
        },
    ] = actions[..]
        && observed.len() < 4
    {
        observed.push(elsewhere);
        let refused = Event::Refused {
            attempt,
            refusal: lynxcleat_policy::Refusal {
                reason: RefusalReason::Busy,
                retry_after_us: 1,
            },
            load: None,
        };
        actions = router.on(0, refused);
    }
    let near = Elsewhere::Near;
    assert_eq!(observed, [near, near, near, Elsewhere::Nowhere]);
}

/// The target needs this to weigh the cost of the distance; one that cannot meet the goal
/// refuses the call whether or not it can be rerouted.
#[test]
fn a_router_reports_that_only_far_targets_are_left() {
    let mut router = router();
    let actions = on_arrival(&mut router, 1, 0, 400 * MS);
    assert!(matches!(
        actions[..],
        [Action::Send {
            elsewhere: Elsewhere::Far,
            ..
        }]
    ));
}

/// A router whose far target takes one call a second, and is offered one in a thousand.
fn router_with_limited_far() -> Router {
    let mut router = router();
    let notice = TargetNotice {
        limit: RateLimit::from_per_s(1.0),
        share: OfferShare::from_fraction(0.0),
        ..TargetNotice::default()
    };
    let report = Event::LoadReported {
        target: FAR,
        load: TargetLoad {
            slots: 8,
            service_us: 100_000,
            slowness_percent: 100,
            notice: Some(notice),
            ..TargetLoad::default()
        },
    };
    router.on(100 * MS, report);
    router
}

/// Spent on calls that are served well elsewhere, the tokens of a limited target were gone when
/// calls came that were not, and these were refused.
#[test]
fn a_limited_target_gets_the_calls_that_would_fare_badly_elsewhere() {
    let mut router = router_with_limited_far();
    router.on(100 * MS, load_report(NEAR, 400, 2));
    let now = 101 * MS;
    let (_, target) = single_send(&on_arrival(&mut router, 100, now, 200 * MS));
    assert_eq!(target, FAR);
    assert_eq!(router.selected_share(), None, "it is offered in any case");
}

#[test]
fn a_limited_target_is_left_to_others_by_calls_that_are_served_well_elsewhere() {
    let mut router = router_with_limited_far();
    router.on(100 * MS, load_report(NEAR, 100, 2));
    let now = 101 * MS;
    for call in 100..120 {
        let (attempt, target) = single_send(&on_arrival(&mut router, call, now, 400 * MS));
        assert_eq!(target, NEAR);
        router.on(now, answered(attempt, 100));
    }
    assert_eq!(router.passed_over(), [FAR]);
}
