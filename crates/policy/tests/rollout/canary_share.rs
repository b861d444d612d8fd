//! Calls that a router offers to a new version.

use std::collections::BTreeSet;

use lynxcleat_policy::{
    Action, AnswerStatus, AttemptId, CallId, CallKind, Event, Policy, Refusal, RefusalReason,
    RetryParams, RolloutTargets, Router, RouterParams, SelectionParams, TargetId,
};

use super::SECOND;

fn router() -> Router {
    let params = RouterParams {
        selection: SelectionParams {
            policy: Policy::ExpectedFinish,
            ramp_us: 0,
            eject_failures: 100,
            eject_us: SECOND,
            prices: lynxcleat_policy::DistanceCosts::NONE,
        },
        attempt_limit: 2,
        retry_budget: RetryParams {
            percent: 100,
            bound: None,
        },
        reroute_limit: 3,
    };
    let mut router = Router::new(params, 1, 1);
    let targets: Vec<_> = (0..6).map(|id| (TargetId(id), 100.0)).collect();
    router.set_targets(0, &targets);
    router
}

/// A rollout in which targets 4 and 5 have the new version.
fn running_rollout(order: u64) -> Option<RolloutTargets> {
    Some(RolloutTargets {
        order,
        canaries: vec![TargetId(4), TargetId(5)],
        canary_count: 1,
        share: 0.1,
        new: vec![TargetId(4), TargetId(5)],
        excluded: Vec::new(),
    })
}

fn route_call(router: &mut Router, call: u64) -> (AttemptId, TargetId) {
    let arrived = Event::Arrived {
        call: CallId(call),
        deadline: SECOND,
        has_effects: false,
        may_retry: true,
        attempt_limit: None,
        goal: None,
        kind: CallKind(0),
    };
    expect_send(&router.on(0, arrived))
}

fn expect_send(actions: &[Action]) -> (AttemptId, TargetId) {
    match actions {
        [
            Action::Send {
                attempt, target, ..
            },
        ] => (*attempt, *target),
        other => panic!("expected one send, got {other:?}"),
    }
}

fn answer(router: &mut Router, attempt: AttemptId) {
    let answered = Event::Answered {
        attempt,
        status: AnswerStatus::Served,
        load: None,
        remote_us: 0,
        work_us: None,
    };
    router.on(0, answered);
}

#[test]
fn a_router_offers_the_new_version_its_share_at_the_first_canary_only() {
    let mut router = router();
    router.set_rollout(running_rollout(1));
    let mut canary = 0;
    for call in 0..400 {
        let (attempt, target) = route_call(&mut router, call);
        assert_ne!(target, TargetId(5), "only the first canary gets the share");
        canary += u64::from(target == TargetId(4));
        assert!(canary as f64 <= 0.1 * call as f64, "call {call}");
        answer(&mut router, attempt);
    }
    assert!(router.is_new_version(TargetId(5)) && !router.is_new_version(TargetId(3)));
    assert_eq!(router.canary_calls(), canary);
    assert!(canary >= 38, "{canary}");
    // The same order keeps the count; a later one resets it.
    router.set_rollout(running_rollout(1));
    assert_eq!(router.canary_calls(), canary);
    router.set_rollout(running_rollout(2));
    assert_eq!(router.canary_calls(), 0);
}

#[test]
fn a_call_that_a_canary_refuses_goes_to_an_old_target_and_does_not_count() {
    let mut router = router();
    router.set_rollout(running_rollout(1));
    for call in 0..200 {
        let (attempt, target) = route_call(&mut router, call);
        if target != TargetId(4) {
            answer(&mut router, attempt);
            continue;
        }
        let refused = Event::Refused {
            attempt,
            refusal: Refusal {
                reason: RefusalReason::Cold,
                retry_after_us: 10,
            },
            load: None,
        };
        let (again, target) = expect_send(&router.on(0, refused));
        assert!(target.0 < 4, "{target:?}");
        answer(&mut router, again);
        assert_eq!(router.canary_calls(), 0);
    }
}

#[test]
fn a_call_that_cannot_be_retried_is_not_offered_to_a_canary() {
    let mut router = router();
    router.set_rollout(running_rollout(1));
    for call in 0..100 {
        let arrived = Event::Arrived {
            call: CallId(call),
            deadline: SECOND,
            has_effects: false,
            may_retry: false,
            attempt_limit: None,
            goal: None,
            kind: CallKind(0),
        };
        let (attempt, target) = expect_send(&router.on(0, arrived));
        assert!(target.0 < 4, "{target:?}");
        answer(&mut router, attempt);
    }
}

#[test]
fn excluded_targets_get_no_calls_until_the_rollout_is_removed() {
    let mut router = router();
    router.set_rollout(Some(RolloutTargets {
        order: 1,
        excluded: (0..4).map(TargetId).collect(),
        ..RolloutTargets::default()
    }));
    for call in 0..50 {
        let (attempt, target) = route_call(&mut router, call);
        assert!(target.0 >= 4, "{target:?}");
        answer(&mut router, attempt);
    }
    router.set_rollout(None);
    let mut seen = BTreeSet::new();
    for call in 50..100 {
        let (attempt, target) = route_call(&mut router, call);
        seen.insert(target);
        answer(&mut router, attempt);
    }
    assert_eq!(seen.len(), 6);
}
