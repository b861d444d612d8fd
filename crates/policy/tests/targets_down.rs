//! Calls whose target is down go on to those that are up.

use lynxcleat_policy::{
    Action, AnswerStatus, AttemptId, CallId, CallKind, Event, FurtherParams, Health, NotRunReason,
    Policy, Refusal, RefusalReason, Router, RouterParams, SelectionParams, TargetId, Verdict,
    WayPrices,
};

const EJECT_US: u64 = 1_000_000;
const DEADLINE: u64 = 60_000_000;

/// A router whose calls have two attempts, none beyond the budget, and may not be moved.
fn router(targets: u32) -> Router {
    let params = RouterParams {
        selection: SelectionParams {
            policy: Policy::ExpectedFinish,
            ramp_us: 0,
            eject_failures: 3,
            eject_us: EJECT_US,
            prices: WayPrices::default(),
        },
        attempt_limit: 2,
        retry_budget: FurtherParams {
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

/// The attempt that is sent and where; nothing where the call ended.
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

fn down(target: u32, down: bool) -> Event {
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
fn a_call_goes_on_until_a_target_is_up() {
    let mut router = router(6);
    let mut next = sent(&arrive(&mut router, 0, 1));
    let mut asked = Vec::new();
    for _ in 0..5 {
        let (attempt, target) = next.expect("another target");
        asked.push(target);
        next = sent(&router.on(0, refused(attempt)));
    }
    let (attempt, target) = next.expect("the last one");
    assert!(!asked.contains(&target), "no target twice");
    let end = router.on(0, answered(attempt));
    assert!(matches!(end[..], [Action::Finish { .. }]), "{end:?}");
    assert_eq!(router.counts().retries, 0, "none of the budget");
}

#[test]
fn a_call_is_refused_once_every_target_is_down() {
    let mut router = router(2);
    let (first, _) = sent(&arrive(&mut router, 0, 1)).expect("a target");
    let (second, _) = sent(&router.on(0, refused(first))).expect("the other one");
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
fn a_target_that_is_down_gets_no_call_until_it_is_back() {
    let mut router = router(2);
    router.on(0, down(0, true));
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
    router.on(1_000, down(0, false));
    let all = picks(&mut router, 1_000, 20..40);
    assert!(all.contains(&TargetId(0)), "{all:?}");
}

/// Word that it is back may be lost: one call at a time finds out.
#[test]
fn a_target_that_stays_down_is_tried_by_one_call_at_a_time() {
    let mut router = router(1);
    router.on(0, down(0, true));
    assert_eq!(sent(&arrive(&mut router, EJECT_US - 1, 1)), None);
    let (trial, _) = sent(&arrive(&mut router, EJECT_US, 2)).expect("a trial");
    assert_eq!(sent(&arrive(&mut router, EJECT_US, 3)), None, "one trial");
    assert_eq!(sent(&router.on(EJECT_US, refused(trial))), None);
    assert_eq!(sent(&arrive(&mut router, 2 * EJECT_US - 1, 4)), None);
    let (trial, _) = sent(&arrive(&mut router, 2 * EJECT_US, 5)).expect("a trial");
    router.on(2 * EJECT_US, answered(trial));
    assert!(sent(&arrive(&mut router, 2 * EJECT_US, 6)).is_some(), "up");
}

/// A process that is started again is not blamed for the one before it.
#[test]
fn a_target_that_is_back_is_ejected_no_more() {
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
        state.expect("it is known").health()
    };
    assert!(matches!(health(&router), Health::Ejected { .. }));
    router.on(0, down(0, true));
    router.on(1_000, down(0, false));
    assert_eq!(health(&router), Health::Healthy);
}
