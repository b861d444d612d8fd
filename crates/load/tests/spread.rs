//! What a change of a member costs, at each size of the fleet.

use lynxcleat_load::{Lost, spread};
use rstest::rstest;

#[rstest]
#[case(30)]
#[case(300)]
#[case(1_000)]
fn a_change_costs_the_fleet_a_handful_of_calls(#[case] members: usize) {
    let report = spread(members, Lost::Nobody, 1);
    assert_eq!(report.store_calls, 8, "one of each that follows");
    assert!(report.messages_each <= 8.0, "{report:?}");
    assert!(
        report.all_know_ms.is_some_and(|ms| ms <= 50.0),
        "{report:?}"
    );
}

#[rstest]
#[case(30)]
#[case(300)]
#[case(1_000)]
fn a_fleet_without_its_followers_knows_soon(#[case] members: usize) {
    let report = spread(members, Lost::Followers, 1);
    assert!(report.store_calls <= 4, "{report:?}");
    assert!(
        report.all_know_ms.is_some_and(|ms| ms <= 2_000.0),
        "{report:?}"
    );
}

#[rstest]
#[case(30)]
#[case(300)]
#[case(1_000)]
fn what_is_left_of_a_fleet_knows_soon(#[case] members: usize) {
    for seed in 1..6 {
        let report = spread(members, Lost::Half, seed);
        let known = report.all_know_ms.is_some_and(|ms| ms <= 2_000.0);
        assert!(known, "seed {seed}: {report:?}");
    }
}
