//! Calls to a target that is down are offered to targets that are up.

use lynxcleat_policy::{
    Action, AnswerStatus, AttemptId, CallId, CallKind, DistanceCosts, Event, Health, NotRunReason,
    Policy, Refusal, RefusalReason, RetryParams, Router, RouterParams, SelectionParams, TargetId,
    Verdict,
};

const EJECT_US: u64 = 1_000_000;
const DEADLINE: u64 = 60_000_000;

/// Creates a router with two attempts per call, no retry budget and no reroutes.
fn router(targets: u32) -> Router {
    let params = RouterParams {
        selection: SelectionParams {
            policy: Policy::ExpectedFinish,
            ramp_us: 0,
            eject_failures: 3,
            eject_us: EJECT_US,
            prices: DistanceCosts::default(),
        },
        attempt_limit: 2,
        retry_budget: RetryParams {
            percent: 0,
            bound: None,
        },
        reroute_limit: 0,
    };
    let mut router = Router::new(params, 1, 1);
    let targets: Vec<_> = (0..targets).map(|id| (TargetId(id), 100.0)).collect();
    router.set_targets(0, &targets);
    router
}

fn arrive(router: &mut Router, now: u64, call: u64) -> Vec<Action> {
    let event = Event::Arrived {
        call: CallId(call),
        deadline: DEADLINE,
        has_effects: true,
        may_retry: true,
        attempt_limit: None,
        goal: None,
        kind: CallKind::default(),
    };
    router.on(now, event)
}

/// The attempt that is sent and its target, or `None` if the call ended.
fn sent(actions: &[Action]) -> Option<(AttemptId, TargetId)> {
    match actions {
        [
            Action::Send {
                attempt, target, ..
            },
        ] => Some((*attempt, *target)),
        _ => None,
    }
}

fn refused(attempt: AttemptId) -> Event {
    Event::Refused {
        attempt,
        refusal: Refusal {
            reason: RefusalReason::TargetDown,
            retry_after_us: 250_000,
        },
        load: None,
    }
}

fn target_down(target: u32, down: bool) -> Event {
    let target = TargetId(target);
    Event::TargetDown { target, down }
}

fn answered(attempt: AttemptId) -> Event {
    Event::Answered {
        attempt,
        status: AnswerStatus::Served,
        load: None,
        remote_us: 0,
        work_us: None,
    }
}

#[test]
fn a_call_is_offered_until_a_target_is_up() {
    let mut router = router(6);
    let mut next = sent(&arrive(&mut router, 0, 1));
    let mut tried = Vec::new();
    for _ in 0..5 {
        let (attempt, target) = next.expect("another target");
        tried.push(target);
        next = sent(&router.on(0, refused(attempt)));
    }
    let (attempt, target) = next.expect("the last target");
    assert!(!tried.contains(&target), "no target is tried twice");
    let end = router.on(0, answered(attempt));
    assert!(matches!(end[..], [Action::Finish { .. }]), "{end:?}");
    assert_eq!(router.counts().retries, 0, "the retry budget is not used");
}

#[test]
fn a_call_is_refused_once_every_target_is_down() {
    let mut router = router(2);
    let (first, _) = sent(&arrive(&mut router, 0, 1)).expect("a target");
    let (second, _) = sent(&router.on(0, refused(first))).expect("the other target");
    let end = router.on(0, refused(second));
    let Some(Action::Finish { verdict, .. }) = end.last() else {
        panic!("{end:?}");
    };
    let expected = Verdict::NotRun {
        reason: NotRunReason::Refused(RefusalReason::TargetDown),
        retry_after_us: 250_000,
    };
    assert_eq!(*verdict, expected);
}

#[test]
fn a_target_that_is_down_gets_no_call_until_it_is_up() {
    let mut router = router(2);
    router.on(0, target_down(0, true));
    let picks = |router: &mut Router, now, calls: std::ops::Range<u64>| -> Vec<TargetId> {
        let picked = calls.map(|call| {
            let (attempt, target) = sent(&arrive(router, now, call)).expect("a target");
            router.on(now, answered(attempt));
            target
        });
        picked.collect()
    };
    let all = picks(&mut router, 0, 0..20);
    assert!(all.iter().all(|target| *target == TargetId(1)), "{all:?}");
    router.on(1_000, target_down(0, false));
    let all = picks(&mut router, 1_000, 20..40);
    assert!(all.contains(&TargetId(0)), "{all:?}");
}

/// The report that a target is up again may be lost, so one trial call at a time checks.
#[test]
fn a_target_that_stays_down_gets_one_trial_call_at_a_time() {
    let mut router = router(1);
    router.on(0, target_down(0, true));
    assert_eq!(sent(&arrive(&mut router, EJECT_US - 1, 1)), None);
    let (trial, _) = sent(&arrive(&mut router, EJECT_US, 2)).expect("a trial call");
    assert_eq!(
        sent(&arrive(&mut router, EJECT_US, 3)),
        None,
        "one trial call at a time"
    );
    assert_eq!(sent(&router.on(EJECT_US, refused(trial))), None);
    assert_eq!(sent(&arrive(&mut router, 2 * EJECT_US - 1, 4)), None);
    let (trial, _) = sent(&arrive(&mut router, 2 * EJECT_US, 5)).expect("a trial call");
    router.on(2 * EJECT_US, answered(trial));
    assert!(
        sent(&arrive(&mut router, 2 * EJECT_US, 6)).is_some(),
        "target is up"
    );
}

/// The failures of a target's previous process do not count against the new one.
#[test]
fn a_target_that_comes_up_is_no_longer_ejected() {
    let mut router = router(2);
    for call in 0..20 {
        let (attempt, target) = sent(&arrive(&mut router, 0, call)).expect("a target");
        let end = match target {
            TargetId(0) => Event::TargetLost { attempt },
            _ => answered(attempt),
        };
        router.on(0, end);
    }
    let health = |router: &Router| {
        let state = router.selector().target(TargetId(0));
        state.expect("target is known").health()
    };
    assert!(matches!(health(&router), Health::Ejected { .. }));
    router.on(0, target_down(0, true));
    router.on(1_000, target_down(0, false));
    assert_eq!(health(&router), Health::Healthy);
}
