//! Sampling of calls for the log.

use lynxcleat_policy::{SampleRates, Sampler};

const MS: u64 = 1_000;

#[test]
fn failures_take_precedence_over_successes_within_the_rate_limit() {
    let rates = SampleRates {
        lines_per_s: 10,
        successes_per_s: 2,
        success_every: 5,
    };
    let mut sampler = Sampler::new(rates);
    let successes = (0..100).filter(|_| sampler.sample(0, true)).count();
    let failures = (0..100).filter(|_| sampler.sample(1, false)).count();
    assert_eq!((successes, failures), (2, 8));
    assert_eq!(sampler.dropped_failures(), 92);
    assert!(
        sampler.sample(1_000 * MS, false),
        "the limit is reset in the next second"
    );
}
