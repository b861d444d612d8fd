//! The byte budget between regions: bounded, and kept for the most urgent calls.

use lynxcleat_policy::{Distance, RegionBudget};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

const SECOND: u64 = 1_000_000;
const LIMIT: u64 = 100_000;

fn budget() -> RegionBudget {
    let mut budget = RegionBudget::default();
    budget.set_limit(0, LIMIT);
    budget
}

fn may_cross(budget: &mut RegionBudget, now: u64, priority: u32) -> bool {
    budget.max_distance(now, priority) == Distance::OtherRegion
}

#[test]
fn without_a_limit_all_calls_cross() {
    let mut budget = RegionBudget::default();
    budget.charge(0, 1 << 40);
    assert!(may_cross(&mut budget, 0, 9));
}

#[test]
fn the_least_urgent_calls_stay_in_the_region_first() {
    let mut budget = budget();
    let crossing = |budget: &mut RegionBudget| -> Vec<u32> {
        (0..6)
            .filter(|priority| may_cross(budget, 0, *priority))
            .collect()
    };
    assert_eq!(crossing(&mut budget), [0, 1, 2, 3, 4, 5]);
    budget.charge(0, LIMIT * 4 / 10);
    assert_eq!(crossing(&mut budget), [0, 1, 2]);
    budget.charge(0, LIMIT * 4 / 10);
    assert_eq!(crossing(&mut budget), [0]);
    budget.charge(0, LIMIT * 4 / 10);
    assert_eq!(crossing(&mut budget), [] as [u32; 0]);
}

/// Traffic that always goes may overdraw the budget, but the debt is bounded.
#[test]
fn a_debt_is_bounded() {
    let mut budget = budget();
    budget.charge(0, 1_000 * LIMIT);
    assert!(!may_cross(&mut budget, SECOND, 0));
    assert!(may_cross(&mut budget, SECOND + SECOND / 10, 0));
    assert!(!may_cross(&mut budget, SECOND + SECOND / 10, 1));
}

proptest! {
    #![proptest_config(Config { rng_seed: RngSeed::Fixed(5), failure_persistence: None, ..Config::default() })]

    /// Calls that check the budget before they cross send at most the limit, the saved capacity
    /// and one call more.
    #[test]
    fn calls_stay_within_the_limit(
        calls in prop::collection::vec((0..SECOND / 5, 1..LIMIT / 4, 0..5_u32), 1..200)
    ) {
        let mut budget = budget();
        let (mut now, mut sent, mut largest) = (0, 0, 0);
        for (gap, bytes, priority) in calls {
            now += gap;
            if may_cross(&mut budget, now, priority) {
                budget.charge(now, bytes);
                sent += bytes;
                largest = largest.max(bytes);
            }
        }
        let allowed = LIMIT as f64 * (1.0 + now as f64 / SECOND as f64) + largest as f64;
        prop_assert!(sent as f64 <= allowed, "{sent} of {allowed}");
    }
}
