//! Which target a router chooses.

use lynxcleat_policy::{
    Action, AnswerStatus, AttemptId, CallId, Distance, Elsewhere, Event, Figures, Policy,
    RefusalReason, Router, RouterParams, SelectionParams, TargetId,
};

use super::{FAR, KIND, MS, NEAR, PRICES};

fn params() -> RouterParams {
    RouterParams {
        selection: SelectionParams {
            policy: Policy::GoalChance,
            ramp_us: 0,
            eject_failures: 5,
            eject_us: 1_000 * MS,
            prices: PRICES,
        },
        attempt_limit: 2,
        retry_budget: lynxcleat_policy::FurtherParams {
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
        has_effects: false,
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
        status: AnswerStatus::Served,
        load: None,
        remote_us: work_ms * 1_000,
        work_us: Some(work_ms * 1_000),
    }
}

fn told(target: TargetId, slowness_percent: u32, in_flight: u32) -> Event {
    Event::LoadReported {
        target,
        load: Figures {
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
            load: None,
        };
        let (second, other) = sent(&router.on(200 * MS, refused));
        assert_ne!(at, other);
        router.on(200 * MS, answered(second, 100));
    }
    assert_eq!(router.counts().retries, 0);
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
            load: None,
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
