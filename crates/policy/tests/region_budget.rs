//! The bytes between regions: bounded, the most urgent calls last to stay at home.

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

fn crosses(budget: &mut RegionBudget, now: u64, rank: u32) -> bool {
    budget.reach(now, rank) == Distance::OtherRegion
}

#[test]
fn without_a_bound_all_cross() {
    let mut budget = RegionBudget::default();
    budget.charge(0, 1 << 40);
    assert!(crosses(&mut budget, 0, 9));
}

#[test]
fn the_least_urgent_stay_at_home_first() {
    let mut budget = budget();
    let who = |budget: &mut RegionBudget| -> Vec<u32> {
        (0..6).filter(|rank| crosses(budget, 0, *rank)).collect()
    };
    assert_eq!(who(&mut budget), [0, 1, 2, 3, 4, 5]);
    budget.charge(0, LIMIT * 4 / 10);
    assert_eq!(who(&mut budget), [0, 1, 2]);
    budget.charge(0, LIMIT * 4 / 10);
    assert_eq!(who(&mut budget), [0]);
    budget.charge(0, LIMIT * 4 / 10);
    assert_eq!(who(&mut budget), [] as [u32; 0]);
}

/// What always goes is owed, for a bounded time.
#[test]
fn a_debt_ends() {
    let mut budget = budget();
    budget.charge(0, 1_000 * LIMIT);
    assert!(!crosses(&mut budget, SECOND, 0));
    assert!(crosses(&mut budget, SECOND + SECOND / 10, 0));
    assert!(!crosses(&mut budget, SECOND + SECOND / 10, 1));
}

proptest! {
    #![proptest_config(Config { rng_seed: RngSeed::Fixed(5), failure_persistence: None, ..Config::default() })]

    /// Calls that ask before they cross take no more than the bound, what was saved, and the
    /// one that was let across last.
    #[test]
    fn calls_keep_to_the_bound(
        calls in prop::collection::vec((0..SECOND / 5, 1..LIMIT / 4, 0..5_u32), 1..200)
    ) {
        let mut budget = budget();
        let (mut now, mut sent, mut largest) = (0, 0, 0);
        for (pause, bytes, rank) in calls {
            now += pause;
            if crosses(&mut budget, now, rank) {
                budget.charge(now, bytes);
                sent += bytes;
                largest = largest.max(bytes);
            }
        }
        let allowed = LIMIT as f64 * (1.0 + now as f64 / SECOND as f64) + largest as f64;
        prop_assert!(sent as f64 <= allowed, "{sent} of {allowed}");
    }
}
