//! The measurement budget and the retry budget.

use lynxcleat_policy::{Budget, Cost, FairBudget, Limits, RetryBudget};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

const LIMITS: Limits = Limits {
    messages: 20,
    bytes: 1_000,
    cpu_us: 500,
};

proptest! {
    #![proptest_config(Config { rng_seed: RngSeed::Fixed(3), cases: 2_000, failure_persistence: None, ..Config::default() })]

    /// No window of one second exceeds any of the three limits, whatever is requested and when.
    #[test]
    fn no_second_exceeds_the_limits(
        requests in prop::collection::vec((0..300_000_u64, 0..3_u64, 0..400_u64, 0..200_u64), 1..200)
    ) {
        let mut budget = Budget::new(LIMITS);
        let mut now = 0;
        let mut granted: Vec<(u64, Cost)> = Vec::new();
        for (gap, messages, bytes, cpu_us) in requests {
            now += gap;
            let cost = Cost { messages, bytes, cpu_us };
            if budget.try_spend(now, cost) {
                granted.push((now, cost));
            }
            let window = granted.iter().filter(|(at, _)| now - at < 1_000_000);
            let spent = window.fold(Cost::default(), |sum, (_, cost)| sum + *cost);
            prop_assert!(spent.messages <= LIMITS.messages);
            prop_assert!(spent.bytes <= LIMITS.bytes);
            prop_assert!(spent.cpu_us <= LIMITS.cpu_us);
        }
        let total = granted.iter().fold(Cost::default(), |sum, (_, cost)| sum + *cost);
        prop_assert_eq!(budget.spent(), total);
    }

    /// Retries never exceed their percentage by more than the fixed reserve.
    #[test]
    fn retries_stay_within_their_percentage(
        percent in 0..100_u32,
        requests in prop::collection::vec(0..4_u32, 1..500)
    ) {
        let mut budget = RetryBudget::new(percent);
        let (mut calls, mut retries) = (0, 0);
        for requested in requests {
            budget.first_attempt();
            calls += 1;
            retries += u64::from((0..requested).filter(|_| budget.take()).count() as u32);
            prop_assert!(retries * 100 <= calls * u64::from(percent) + 1_000);
        }
        if percent == 0 {
            prop_assert_eq!(retries, 0);
        }
    }
}

#[test]
fn a_budget_can_be_spent_in_full_and_again_after_a_second() {
    let mut budget = Budget::new(LIMITS);
    let cost = Cost::message(100, 0);
    assert!((0..10).all(|_| budget.try_spend(5, cost)));
    assert!(!budget.try_spend(1_000_004, cost));
    assert!(budget.try_spend(1_000_005, cost));
    assert_eq!(budget.refused(), 1);
}

#[test]
fn a_clock_that_goes_back_frees_no_budget() {
    let mut budget = Budget::new(LIMITS);
    assert!(budget.try_spend(2_000_000, Cost::message(1_000, 0)));
    assert!(!budget.try_spend(0, Cost::message(1, 0)));
    assert!(!budget.try_spend(2_999_999, Cost::message(1, 0)));
    assert!(budget.try_spend(3_000_000, Cost::message(1, 0)));
}

/// Guards against starvation during a burst: small operations took the budget first each time,
/// and a large one waited until the burst was over.
#[test]
fn a_reservation_for_one_operation_is_not_granted_to_others() {
    let limits = Limits {
        messages: 10,
        bytes: 4_000,
        cpu_us: 10_000,
    };
    let large = Cost::message(1_200, 100);
    let small = Cost::message(800, 100);
    let mut budget = Budget::new(limits);
    for _ in 0..4 {
        assert!(budget.try_spend(0, small));
    }
    assert!(!budget.try_spend(100_000, large), "no budget yet");
    assert!(budget.try_spend_reserving(100_000, small, Cost::default()));
    let mut granted_at = None;
    for step in 2..30 {
        let now = step * 100_000;
        if granted_at.is_none() {
            assert!(!budget.try_spend_reserving(now, small, large) || now >= 1_000_000);
            if budget.try_spend(now, large) {
                granted_at = Some(now);
            }
        }
    }
    assert_eq!(granted_at, Some(1_000_000), "as soon as the window allows");
}

/// Guards against starvation of the host poll: the settings poll asked first and, at a short
/// interval, spent the whole budget, so that the host poll was never granted. This was seen in
/// a test run under load.
#[test]
fn two_requesters_that_exceed_the_budget_are_granted_in_turn() {
    let limits = Limits {
        messages: 40,
        bytes: 6_000,
        cpu_us: 13_000,
    };
    let settings = Cost::message(1_200, 400);
    let hosts = Cost::message(1_600, 400);
    let mut budget = FairBudget::new(limits);
    let mut granted = [0, 0];
    for step in 0..400 {
        let now = step * 50_000;
        granted[0] += u32::from(budget.try_spend(now, "settings", settings));
        granted[1] += u32::from(budget.try_spend(now, "hosts", hosts));
    }
    assert!(granted[0] >= 30, "{granted:?}");
    assert!(granted[1] >= 30, "{granted:?}");
}

#[test]
fn a_large_operation_is_granted_among_frequent_small_ones() {
    let limits = Limits {
        messages: 100,
        bytes: 4_000,
        cpu_us: 10_000,
    };
    let mut budget = FairBudget::new(limits);
    let mut granted_at = None;
    for step in 0..400_u64 {
        let now = step * 10_000;
        budget.try_spend(now, "small", Cost::message(800, 10));
        if step >= 10 && granted_at.is_none() && step % 20 == 0 {
            let granted = budget.try_spend(now, "large", Cost::message(3_000, 10));
            granted_at = granted.then_some(now);
        }
    }
    assert!(
        granted_at.is_some_and(|at| at <= 1_400_000),
        "{granted_at:?}"
    );
}

#[test]
fn requesters_that_gave_up_or_exceed_the_limits_block_nobody() {
    let mut budget = FairBudget::new(LIMITS);
    assert!(budget.try_spend(0, "first", Cost::message(900, 0)));
    assert!(!budget.try_spend(0, "gone", Cost::message(900, 0)));
    assert!(!budget.try_spend(0, "too large", Cost::message(2_000, 0)));
    assert!(
        !budget.try_spend(100, "second", Cost::message(100, 0)),
        "reserved for the queued requester"
    );
    assert!(budget.try_spend(600_000, "second", Cost::message(100, 0)));
}

proptest! {
    #![proptest_config(Config { rng_seed: RngSeed::Fixed(5), cases: 500, failure_persistence: None, ..Config::default() })]

    /// A requester that keeps asking is granted within five windows, whatever the three others
    /// request.
    #[test]
    fn no_requester_starves(
        others in prop::collection::vec((1..4_u8, 0..1_000_u64, 0..500_u64), 400)
    ) {
        let mut budget = FairBudget::new(LIMITS);
        let mut waiting_since = 0;
        for (step, (requester, bytes, cpu_us)) in others.into_iter().enumerate() {
            let now = step as u64 * 25_000;
            let cost = Cost { messages: 1, bytes, cpu_us };
            budget.try_spend(now, requester, cost);
            if step % 8 == 0 {
                let granted = budget.try_spend(now, 0, Cost::message(900, 450));
                if granted { waiting_since = now }
                prop_assert!(now - waiting_since <= 5_000_000, "since {waiting_since}");
            }
        }
    }
}
