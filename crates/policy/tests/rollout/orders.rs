//! What becomes of orders, and which targets are open meanwhile.

use std::collections::BTreeMap;

use lynxcleat_policy::{
    Admits, Cause, Members, Phase, RolloutNews, RolloutOrder, Rollouts, Step, Taken,
};

use super::{MS, SECOND, SERVICE};

fn order(number: u64, target: Option<&str>) -> RolloutOrder {
    RolloutOrder {
        service: SERVICE.to_owned(),
        target: target.map(str::to_owned),
        number,
        within_us: 10 * SECOND,
    }
}

fn admits(rollouts: &Rollouts, version: &str) -> Admits {
    let rollout = rollouts.of(SERVICE).expect("it is known");
    rollout.admits(version, true)
}

#[test]
fn an_order_that_is_changed_bars_the_version_that_was_not_done() {
    let mut rollouts = Rollouts::default();
    assert_eq!(rollouts.take_order(0, &order(3, Some("v2"))), Taken::News);
    assert_eq!(
        rollouts.take_order(0, &order(3, Some("v2"))),
        Taken::Nothing
    );
    assert_eq!(
        rollouts.take_order(0, &order(2, Some("v9"))),
        Taken::Nothing
    );
    assert_eq!(admits(&rollouts, "v2"), Admits::Canary);
    assert_eq!(rollouts.take_order(0, &order(4, Some("v3"))), Taken::News);
    assert_eq!(admits(&rollouts, "v1"), Admits::All);
    assert_eq!(admits(&rollouts, "v2"), Admits::Nothing);
    assert_eq!(admits(&rollouts, "v3"), Admits::Canary);
    // Ordered again, it is tried again.
    rollouts.take_order(0, &order(5, Some("v2")));
    assert_eq!(admits(&rollouts, "v2"), Admits::Canary);
    assert_eq!(admits(&rollouts, "v3"), Admits::Nothing);
}

#[test]
fn an_order_that_is_taken_back_is_reverted_unless_it_was_done() {
    let mut rollouts = Rollouts::default();
    assert_eq!(rollouts.take_order(0, &order(3, None)), Taken::Nothing);
    rollouts.take_order(0, &order(4, Some("v2")));
    assert_eq!(rollouts.take_order(0, &order(5, None)), Taken::News);
    assert_eq!(admits(&rollouts, "v1"), Admits::All);
    assert_eq!(admits(&rollouts, "v2"), Admits::Nothing);
    rollouts.take_order(0, &order(6, Some("v2")));
    let rollout = rollouts.of_mut(SERVICE).expect("it is known");
    assert_eq!(rollout.stored(Phase::Done, 9), Taken::News);
    assert_eq!(rollouts.take_order(0, &order(7, None)), Taken::Nothing);
    assert_eq!(admits(&rollouts, "v2"), Admits::All);
}

#[test]
fn what_stands_in_the_status_row_settles_a_race() {
    let mut rollouts = Rollouts::default();
    rollouts.take_order(0, &order(4, Some("v2")));
    let known = rollouts.of(SERVICE).expect("it is known").news(0);
    let reverted = RolloutNews {
        phase: Phase::Reverted,
        ..known.clone()
    };
    let done = RolloutNews {
        phase: Phase::Done,
        stored: true,
        row: 12,
        ..known.clone()
    };
    assert_eq!(rollouts.take(0, &reverted), Taken::News);
    assert_eq!(
        rollouts.take(0, &known),
        Taken::Nothing,
        "it never goes back"
    );
    assert_eq!(rollouts.take(0, &done), Taken::News);
    assert_eq!(rollouts.take(0, &reverted), Taken::Nothing);
    assert_eq!(admits(&rollouts, "v2"), Admits::All);
}

#[test]
fn a_version_that_never_comes_is_reverted_at_the_deadline() {
    let mut rollouts = Rollouts::default();
    rollouts.take_order(0, &order(4, Some("v2")));
    let rollout = rollouts.of_mut(SERVICE).expect("it is known");
    let members = Members {
        versions: BTreeMap::from([("v1".to_owned(), 4)]),
        ..Members::default()
    };
    assert_eq!(rollout.step(5 * SECOND, &members), None);
    let last = rollout.step(10 * SECOND - 400 * MS, &members);
    assert_eq!(last, Some(Step::Revert(Cause::NoTargets)));
    assert_eq!(rollout.step(20 * SECOND, &members), None, "once");
}

#[test]
fn calls_are_not_moved_to_a_handful_of_targets() {
    let mut rollouts = Rollouts::default();
    rollouts.take_order(0, &order(4, Some("v2")));
    let rollout = rollouts.of_mut(SERVICE).expect("it is known");
    let members = Members {
        versions: BTreeMap::from([("v1".to_owned(), 20), ("v2".to_owned(), 4)]),
        ..Members::default()
    };
    let last = rollout.step(10 * SECOND - 400 * MS, &members);
    assert_eq!(last, Some(Step::Revert(Cause::TooFewTargets)));
}

#[test]
fn old_targets_are_open_while_it_runs_and_closed_once_it_moves() {
    let mut rollouts = Rollouts::default();
    rollouts.take_order(0, &order(4, Some("v2")));
    assert_eq!(admits(&rollouts, "v1"), Admits::All);
    let known = rollouts.of(SERVICE).expect("it is known");
    assert_eq!(known.admits("v2", false), Admits::All, "no old one is left");
    let moving = RolloutNews {
        phase: Phase::Moving,
        old: vec!["v1".to_owned()],
        ..known.news(0)
    };
    rollouts.take(0, &moving);
    assert_eq!(admits(&rollouts, "v1"), Admits::Nothing);
    let known = rollouts.of(SERVICE).expect("it is known");
    assert!(
        !known.closes(0, "v1", true),
        "not all routers have heard of it"
    );
    assert!(known.closes(SECOND, "v1", true) && !known.closes(SECOND, "v2", true));
    assert_eq!(admits(&rollouts, "v2"), Admits::All);
    let rollout = rollouts.of_mut(SERVICE).expect("it is known");
    rollout.stored(Phase::Done, 5);
    assert_eq!(admits(&rollouts, "v1"), Admits::Nothing);
    assert_eq!(
        admits(&rollouts, "v3"),
        Admits::All,
        "a plain release later on"
    );
}
