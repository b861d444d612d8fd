//! The acknowledgement timeout of a link: short, and longer for a peer that is often late.

use lynxcleat_policy::AckTimeout;

const MS: u64 = 1_000;
const SECOND: u64 = 1_000 * MS;

#[test]
fn a_peer_without_losses_has_the_minimum_timeout() {
    assert_eq!(AckTimeout::default().timeout_us(0), 150 * MS);
    assert_eq!(AckTimeout::default().timeout_us(100 * SECOND), 150 * MS);
}

#[test]
fn each_loss_doubles_the_timeout_up_to_the_maximum() {
    let mut timeout = AckTimeout::default();
    let mut seen = Vec::new();
    for _ in 0..5 {
        timeout.record_loss(SECOND);
        seen.push(timeout.timeout_us(SECOND) / MS);
    }
    assert_eq!(seen, [300, 600, 1_000, 1_000, 1_000]);
}

#[test]
fn each_period_without_a_loss_halves_the_timeout() {
    let mut timeout = AckTimeout::default();
    timeout.record_loss(0);
    timeout.record_loss(0);
    assert_eq!(timeout.timeout_us(9 * SECOND), 600 * MS);
    assert_eq!(timeout.timeout_us(10 * SECOND), 300 * MS);
    assert_eq!(timeout.timeout_us(25 * SECOND), 150 * MS);
    assert_eq!(timeout.timeout_us(99_999 * SECOND), 150 * MS);
    timeout.record_loss(25 * SECOND);
    assert_eq!(
        timeout.timeout_us(25 * SECOND),
        300 * MS,
        "doubled from the minimum"
    );
}
