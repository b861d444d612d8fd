//! Which calls are logged.

use lynxcleat_policy::{SampleRates, Sampler};

const MS: u64 = 1_000;

#[test]
fn failures_are_logged_before_successes_and_no_more_than_allowed() {
    let rates = SampleRates {
        lines_per_s: 10,
        successes_per_s: 2,
        success_every: 5,
    };
    let mut sampler = Sampler::new(rates);
    let successes = (0..100).filter(|_| sampler.take(0, true)).count();
    let failures = (0..100).filter(|_| sampler.take(1, false)).count();
    assert_eq!((successes, failures), (2, 8));
    assert_eq!(sampler.dropped(), 92);
    assert!(sampler.take(1_000 * MS, false), "another second");
}
