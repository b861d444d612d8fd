//! Backoff between attempts to re-establish a link.

use lynxcleat_policy::{ReconnectBackoff, ReconnectEvent};

const MS: u64 = 1_000;

#[test]
fn attempts_start_soon_after_a_loss_and_become_rare() {
    let mut backoff = ReconnectBackoff::new(7);
    let first = backoff.next_delay_us(ReconnectEvent::Lost);
    let failed: Vec<u64> = (0..10)
        .map(|_| backoff.next_delay_us(ReconnectEvent::Failed))
        .collect();
    assert!(first <= 50 * MS, "{first}");
    let until_back: u64 = first + failed[..3].iter().sum::<u64>();
    assert!(
        until_back <= 800 * MS,
        "too slow for a restart of half a second: {until_back}"
    );
    assert!(
        failed[9] >= 1_000 * MS && failed[9] <= 2_000 * MS,
        "{failed:?}"
    );
    assert!(
        backoff.next_delay_us(ReconnectEvent::Lost) <= 50 * MS,
        "the link was established in between"
    );
}

/// Guards against a restarted daemon that gets no calls for seconds: the measurement budget
/// refused its peers' first attempts, and the delay after a refusal was the maximum one.
#[test]
fn a_short_budget_delays_an_attempt_only_briefly() {
    let mut backoff = ReconnectBackoff::new(7);
    backoff.next_delay_us(ReconnectEvent::Lost);
    for _ in 0..20 {
        assert!(backoff.next_delay_us(ReconnectEvent::BudgetRefused) <= 100 * MS);
    }
    assert!(
        backoff.next_delay_us(ReconnectEvent::Failed) <= 100 * MS,
        "refusals do not increase the delay"
    );
}
