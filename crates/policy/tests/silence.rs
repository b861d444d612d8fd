//! How long a link may be silent: short, and longer for a peer that is often late.

use lynxcleat_policy::SilenceLimit;

const MS: u64 = 1_000;
const SECOND: u64 = 1_000 * MS;

#[test]
fn a_peer_that_was_never_silent_has_the_least_limit() {
    assert_eq!(SilenceLimit::default().limit_us(0), 150 * MS);
    assert_eq!(SilenceLimit::default().limit_us(100 * SECOND), 150 * MS);
}

#[test]
fn each_loss_doubles_the_limit_up_to_what_callers_wait_for() {
    let mut limit = SilenceLimit::default();
    let mut seen = Vec::new();
    for _ in 0..5 {
        limit.lost(SECOND);
        seen.push(limit.limit_us(SECOND) / MS);
    }
    assert_eq!(seen, [300, 600, 1_000, 1_000, 1_000]);
}

#[test]
fn calm_halves_it_again() {
    let mut limit = SilenceLimit::default();
    limit.lost(0);
    limit.lost(0);
    assert_eq!(limit.limit_us(9 * SECOND), 600 * MS);
    assert_eq!(limit.limit_us(10 * SECOND), 300 * MS);
    assert_eq!(limit.limit_us(25 * SECOND), 150 * MS);
    assert_eq!(limit.limit_us(99_999 * SECOND), 150 * MS);
    limit.lost(25 * SECOND);
    assert_eq!(
        limit.limit_us(25 * SECOND),
        300 * MS,
        "it counts from there"
    );
}
