//! Orders and updates applied by one daemon, and the calls that targets get in each phase.

use std::collections::BTreeMap;

use lynxcleat_policy::{
    AdmittedCalls, Cause, MemberSummary, Phase, RolloutChange, RolloutOrder, RolloutUpdate,
    Rollouts, Step,
};

use super::{MS, SECOND, SERVICE};

fn order(number: u64, version: Option<&str>) -> RolloutOrder {
    RolloutOrder {
        service: SERVICE.to_owned(),
        version: version.map(str::to_owned),
        number,
        time_limit_us: 10 * SECOND,
    }
}

fn admitted_calls(rollouts: &Rollouts, version: &str) -> AdmittedCalls {
    let rollout = rollouts.get(SERVICE).expect("the order was applied");
    rollout.admitted_calls(version, true)
}

#[test]
fn a_later_order_excludes_the_unfinished_version() {
    let mut rollouts = Rollouts::default();
    assert_eq!(
        rollouts.apply_order(0, &order(3, Some("v2"))),
        RolloutChange::Relay
    );
    assert_eq!(
        rollouts.apply_order(0, &order(3, Some("v2"))),
        RolloutChange::None
    );
    assert_eq!(
        rollouts.apply_order(0, &order(2, Some("v9"))),
        RolloutChange::None
    );
    assert_eq!(admitted_calls(&rollouts, "v2"), AdmittedCalls::Canary);
    assert_eq!(
        rollouts.apply_order(0, &order(4, Some("v3"))),
        RolloutChange::Relay
    );
    assert_eq!(admitted_calls(&rollouts, "v1"), AdmittedCalls::All);
    assert_eq!(admitted_calls(&rollouts, "v2"), AdmittedCalls::None);
    assert_eq!(admitted_calls(&rollouts, "v3"), AdmittedCalls::Canary);
    // A new order for an excluded version gives it calls again.
    rollouts.apply_order(0, &order(5, Some("v2")));
    assert_eq!(admitted_calls(&rollouts, "v2"), AdmittedCalls::Canary);
    assert_eq!(admitted_calls(&rollouts, "v3"), AdmittedCalls::None);
}

#[test]
fn a_withdrawn_order_is_reverted_unless_it_was_done() {
    let mut rollouts = Rollouts::default();
    assert_eq!(
        rollouts.apply_order(0, &order(3, None)),
        RolloutChange::None
    );
    rollouts.apply_order(0, &order(4, Some("v2")));
    assert_eq!(
        rollouts.apply_order(0, &order(5, None)),
        RolloutChange::Relay
    );
    assert_eq!(admitted_calls(&rollouts, "v1"), AdmittedCalls::All);
    assert_eq!(admitted_calls(&rollouts, "v2"), AdmittedCalls::None);
    rollouts.apply_order(0, &order(6, Some("v2")));
    let rollout = rollouts.get_mut(SERVICE).expect("the order was applied");
    assert_eq!(rollout.record_stored(Phase::Done, 9), RolloutChange::Relay);
    assert_eq!(
        rollouts.apply_order(0, &order(7, None)),
        RolloutChange::None
    );
    assert_eq!(admitted_calls(&rollouts, "v2"), AdmittedCalls::All);
}

#[test]
fn the_status_row_resolves_a_race() {
    let mut rollouts = Rollouts::default();
    rollouts.apply_order(0, &order(4, Some("v2")));
    let known = rollouts
        .get(SERVICE)
        .expect("the order was applied")
        .to_update(0);
    let reverted = RolloutUpdate {
        phase: Phase::Reverted,
        ..known.clone()
    };
    let done = RolloutUpdate {
        phase: Phase::Done,
        stored: true,
        row_version: 12,
        ..known.clone()
    };
    assert_eq!(rollouts.apply_update(0, &reverted), RolloutChange::Relay);
    assert_eq!(
        rollouts.apply_update(0, &known),
        RolloutChange::None,
        "a phase never goes back"
    );
    assert_eq!(rollouts.apply_update(0, &done), RolloutChange::Relay);
    assert_eq!(rollouts.apply_update(0, &reverted), RolloutChange::None);
    assert_eq!(admitted_calls(&rollouts, "v2"), AdmittedCalls::All);
}

#[test]
fn a_version_without_targets_is_reverted_before_the_deadline() {
    let mut rollouts = Rollouts::default();
    rollouts.apply_order(0, &order(4, Some("v2")));
    let rollout = rollouts.get_mut(SERVICE).expect("the order was applied");
    let members = MemberSummary {
        targets_by_version: BTreeMap::from([("v1".to_owned(), 4)]),
        ..MemberSummary::default()
    };
    assert_eq!(rollout.step(5 * SECOND, &members), None);
    let last = rollout.step(10 * SECOND - 400 * MS, &members);
    assert_eq!(last, Some(Step::Revert(Cause::NoTargets)));
    assert_eq!(
        rollout.step(20 * SECOND, &members),
        None,
        "reverts only once"
    );
}

#[test]
fn calls_are_not_moved_to_far_fewer_targets() {
    let mut rollouts = Rollouts::default();
    rollouts.apply_order(0, &order(4, Some("v2")));
    let rollout = rollouts.get_mut(SERVICE).expect("the order was applied");
    let members = MemberSummary {
        targets_by_version: BTreeMap::from([("v1".to_owned(), 20), ("v2".to_owned(), 4)]),
        ..MemberSummary::default()
    };
    let last = rollout.step(10 * SECOND - 400 * MS, &members);
    assert_eq!(last, Some(Step::Revert(Cause::TooFewTargets)));
}

#[test]
fn old_targets_take_calls_while_running_and_none_once_moving() {
    let mut rollouts = Rollouts::default();
    rollouts.apply_order(0, &order(4, Some("v2")));
    assert_eq!(admitted_calls(&rollouts, "v1"), AdmittedCalls::All);
    let known = rollouts.get(SERVICE).expect("the order was applied");
    assert_eq!(
        known.admitted_calls("v2", false),
        AdmittedCalls::All,
        "no old target is left"
    );
    let moving = RolloutUpdate {
        phase: Phase::Moving,
        old: vec!["v1".to_owned()],
        ..known.to_update(0)
    };
    rollouts.apply_update(0, &moving);
    assert_eq!(admitted_calls(&rollouts, "v1"), AdmittedCalls::None);
    let known = rollouts.get(SERVICE).expect("the order was applied");
    assert!(
        !known.refuses_all(0, "v1", true),
        "not all routers have received the update"
    );
    assert!(known.refuses_all(SECOND, "v1", true) && !known.refuses_all(SECOND, "v2", true));
    assert_eq!(admitted_calls(&rollouts, "v2"), AdmittedCalls::All);
    let rollout = rollouts.get_mut(SERVICE).expect("the order was applied");
    rollout.record_stored(Phase::Done, 5);
    assert_eq!(admitted_calls(&rollouts, "v1"), AdmittedCalls::None);
    assert_eq!(
        admitted_calls(&rollouts, "v3"),
        AdmittedCalls::All,
        "a later release without a rollout"
    );
}
