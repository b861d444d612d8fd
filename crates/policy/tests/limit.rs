//! The learned limit on calls that a target runs at once.

use lynxcleat_policy::LearnedLimit;

const MS: u64 = 1_000;

#[test]
fn the_limit_is_the_number_of_calls_that_serves_most() {
    let mut limit = LearnedLimit::default();
    assert_eq!(limit.limit(0, 12), 9, "nothing is known");
    for nth in 0..400_u64 {
        let running = nth % 12 + 1;
        let ratio = if running > 9 { 1.7 } else { 1.0 };
        limit.learn(nth * MS, running as u32, ratio);
    }
    assert_eq!(limit.limit(400 * MS, 12), 9);
    let long_after = 400 * MS + 1_000_000 * MS;
    let mut tried = Vec::new();
    for nth in 0..24 {
        let at = long_after + nth * MS;
        let running = limit.limit(at, 12);
        limit.learn(at, running, 1.0);
        tried.push(running);
    }
    tried.dedup();
    assert_eq!(tried, [9, 10, 11], "tried again, one more after the other");
}

/// After a restart of all daemons all targets are full and nothing is known of them.
#[test]
fn a_part_of_the_slots_stays_free_until_fewer_calls_are_known_to_do_no_harm() {
    let mut limit = LearnedLimit::default();
    let mut most = 0;
    for nth in 0..200 {
        let at = nth * MS;
        let running = limit.limit(at, 18);
        let ratio = if running > 14 { 1.7 } else { 1.0 };
        limit.learn(at, running, ratio);
        most = most.max(running);
    }
    assert_eq!(most, 15, "one beyond what does no harm");
    assert_eq!(limit.limit(200 * MS, 18), 14);
}

/// Six calls at once that take 1.48 times as long serve no more than four, and each of
/// them waits longer.
#[test]
fn calls_that_serve_no_more_but_take_longer_are_beyond_the_limit() {
    let mut limit = LearnedLimit::default();
    for nth in 0..400_u64 {
        let running = nth % 6 + 1;
        let ratio = if running > 4 { 1.48 } else { 1.0 };
        limit.learn(nth * MS, running as u32, ratio);
    }
    assert_eq!(limit.limit(400 * MS, 6), 4);
}

#[test]
fn times_that_grow_by_luck_do_not_lower_the_limit() {
    let mut limit = LearnedLimit::default();
    for nth in 0..600_u64 {
        let running = nth % 12 + 1;
        let luck = 1.0 + 0.1 * ((nth * 7_919 % 11) as f64 - 5.0) / 5.0;
        limit.learn(nth * MS, running as u32, luck);
    }
    assert_eq!(limit.limit(600 * MS, 12), 12);
}
