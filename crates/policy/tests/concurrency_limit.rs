//! Tests of the adaptive concurrency limit.

use lynxcleat_policy::ConcurrencyLimit;

const MS: u64 = 1_000;

#[test]
fn the_limit_maximises_throughput() {
    let mut limit = ConcurrencyLimit::default();
    assert_eq!(limit.limit(0, 12), 9, "nothing is known");
    for nth in 0..400_u64 {
        let running = nth % 12 + 1;
        let slowdown = if running > 9 { 1.7 } else { 1.0 };
        limit.record(nth * MS, running as u32, slowdown);
    }
    assert_eq!(limit.limit(400 * MS, 12), 9);
    let long_after = 400 * MS + 1_000_000 * MS;
    let mut retried = Vec::new();
    for nth in 0..24 {
        let at = long_after + nth * MS;
        let running = limit.limit(at, 12);
        limit.record(at, running, 1.0);
        retried.push(running);
    }
    retried.dedup();
    assert_eq!(retried, [9, 10, 11], "retried one level at a time");
}

/// After all daemons restart, all targets are full and nothing is known about them.
#[test]
fn some_slots_stay_free_until_lower_levels_show_no_slowdown() {
    let mut limit = ConcurrencyLimit::default();
    let mut most = 0;
    for nth in 0..200 {
        let at = nth * MS;
        let running = limit.limit(at, 18);
        let slowdown = if running > 14 { 1.7 } else { 1.0 };
        limit.record(at, running, slowdown);
        most = most.max(running);
    }
    assert_eq!(most, 15, "one above the highest level without a slowdown");
    assert_eq!(limit.limit(200 * MS, 18), 14);
}

/// Six concurrent calls that take 1.48 times as long give no more throughput than four, and
/// each of them takes longer.
#[test]
fn levels_that_add_latency_but_no_throughput_are_above_the_limit() {
    let mut limit = ConcurrencyLimit::default();
    for nth in 0..400_u64 {
        let running = nth % 6 + 1;
        let slowdown = if running > 4 { 1.48 } else { 1.0 };
        limit.record(nth * MS, running as u32, slowdown);
    }
    assert_eq!(limit.limit(400 * MS, 6), 4);
}

#[test]
fn random_variation_does_not_lower_the_limit() {
    let mut limit = ConcurrencyLimit::default();
    for nth in 0..600_u64 {
        let running = nth % 12 + 1;
        let noise = 1.0 + 0.1 * ((nth * 7_919 % 11) as f64 - 5.0) / 5.0;
        limit.record(nth * MS, running as u32, noise);
    }
    assert_eq!(limit.limit(600 * MS, 12), 12);
}
