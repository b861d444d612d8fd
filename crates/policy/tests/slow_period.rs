//! Estimates of slow periods from slowness readings.

use lynxcleat_policy::{SlowPeriodModel, SlownessReading};
use rstest::rstest;

const MS: u64 = 1_000;

/// A model of a target that is slow for `slow_ms` out of every `cycle_ms`, with one reading
/// per `step_ms`.
fn trained_model(step_ms: u64, slow_ms: u64, cycle_ms: u64) -> SlowPeriodModel {
    let mut model = SlowPeriodModel::default();
    for at_ms in (0..20_000).step_by(step_ms as usize) {
        let factor = if at_ms % cycle_ms < slow_ms { 5.0 } else { 1.0 };
        let at = at_ms * MS;
        model.record(SlownessReading { factor, at });
    }
    model
}

#[rstest]
#[case::frequent_readings(10, 150, 600)]
#[case::infrequent_readings(70, 150, 600)]
#[case::long_periods(25, 400, 1_000)]
fn the_mean_length_is_learned(#[case] step_ms: u64, #[case] slow_ms: u64, #[case] cycle_ms: u64) {
    let model = trained_model(step_ms, slow_ms, cycle_ms);
    let expected = slow_ms as f64 * MS as f64;
    let ratio = model.mean_slow_us() / expected;
    assert!((0.6..1.6).contains(&ratio), "{ratio} of {slow_ms} ms");
    // The baseline rises a little during each slow period.
    let factor = model.mean_slow_factor();
    assert!((3.5..=5.1).contains(&factor), "{factor}");
}

/// A target gets few readings while it is avoided, so the end of a slow period is often
/// observed late. Ignoring such ends would overestimate the mean length.
#[test]
fn ends_observed_late_count() {
    let mut model = SlowPeriodModel::default();
    for cycle in 0..30 {
        let start = cycle * 1_000 * MS;
        for (after_ms, factor) in [(0, 5.0), (20, 5.0), (500, 1.0)] {
            let at = start + after_ms * MS;
            model.record(SlownessReading { factor, at });
        }
    }
    assert!(
        model.mean_slow_us() < 250.0 * MS as f64,
        "{}",
        model.mean_slow_us()
    );
}

#[test]
fn the_probability_of_turning_slow_grows_with_the_age_of_a_reading() {
    let model = trained_model(10, 150, 600);
    let probabilities: Vec<f64> = [0.0, 10.0, 40.0, 160.0, 100_000.0]
        .map(|age_ms| model.probability_turned_slow(age_ms * MS as f64))
        .to_vec();
    assert!(probabilities.is_sorted(), "{probabilities:?}");
    assert_eq!(probabilities[0], 0.0);
    let share = probabilities[4];
    assert!(
        (0.15..0.4).contains(&share),
        "expected a share of about a quarter: {share}"
    );
}

/// A target that has just started, or has permanently lost some of its CPU, is not in a slow
/// period, and calls are not deferred until it is faster.
#[test]
fn lasting_slowness_becomes_the_baseline() {
    let mut model = trained_model(10, 150, 600);
    let mut reading = SlownessReading {
        factor: 2.0,
        at: 20_000 * MS,
    };
    model.record(reading);
    assert!(model.is_slow(reading));
    for _ in 0..30 {
        reading.at += 100 * MS;
        model.record(reading);
    }
    assert!(!model.is_slow(reading), "{}", model.baseline());
    reading.factor = 1.0;
    model.record(reading);
    assert_eq!(model.baseline(), 1.0, "the baseline falls at once");
}
