//! The bound on retries that several routers respect together.

use lynxcleat_policy::{RetryBound, RetryWindow};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

const WINDOW_US: u64 = 10_000_000;
const PERCENT: u32 = 20;
const RESERVE: u32 = 3;

proptest! {
    #![proptest_config(Config { rng_seed: RngSeed::Fixed(11), cases: 500, failure_persistence: None, ..Config::default() })]

    /// In every window, the retries of all routers together are at most the percentage of the
    /// first attempts in that window and the one before it, plus the reserves.
    #[test]
    fn several_routers_respect_one_bound(
        steps in prop::collection::vec((0..4_usize, 0..3_u8, 0..300_000_u64), 1..600)
    ) {
        let bound = RetryBound { window_us: WINDOW_US, reserve: RESERVE };
        let mut routers = vec![RetryWindow::new(bound, PERCENT); 4];
        let mut now = 0;
        let (mut first_attempts, mut retries) = (Vec::new(), Vec::new());
        for (router, kind, gap) in steps {
            now += gap;
            if kind == 0 {
                routers[router].first_attempt(now);
                first_attempts.push(now);
            } else if routers[router].take(now) {
                retries.push(now);
            }
        }
        let count = |times: &[u64], from: u64, until: u64| {
            times.iter().filter(|at| (from..until).contains(*at)).count() as u64
        };
        for from in retries.iter().copied() {
            let until = from + WINDOW_US;
            let earlier = from.saturating_sub(WINDOW_US);
            let first =
                count(&first_attempts, from, until) + count(&first_attempts, earlier, from);
            let allowed = first * u64::from(PERCENT) / 100 + 4 * u64::from(RESERVE);
            let sent = count(&retries, from, until);
            prop_assert!(sent <= allowed, "{sent} of {allowed} from {from}");
        }
    }
}

#[test]
fn only_the_percentage_of_calls_and_the_reserve_may_be_retried() {
    let bound = RetryBound {
        window_us: WINDOW_US,
        reserve: RESERVE,
    };
    let mut window = RetryWindow::new(bound, PERCENT);
    for nth in 0..100 {
        window.first_attempt(nth * 10_000);
    }
    let now = 2_000_000;
    let taken = (0..100).filter(|_| window.take(now)).count();
    assert_eq!(taken, 20 + RESERVE as usize);
    let later = now + 2 * WINDOW_US;
    let taken = (0..100).filter(|_| window.take(later)).count();
    assert_eq!(
        taken, RESERVE as usize,
        "older first attempts no longer count"
    );
}
