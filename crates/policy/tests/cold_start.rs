//! Tests of the rate limit on cold targets and of the capacity reserved for nested calls.

use lynxcleat_policy::{
    AdmissionAction, AdmissionController, AdmissionEvent, AdmissionLimits, CallAttributes, CallId,
    ColdStartLimiter, DistanceCosts, Elsewhere, FirstReport, RefusalReason,
};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use rstest::rstest;

const LIMIT: u32 = 24;
const SECOND: u64 = 1_000_000;

fn cold_limiter() -> ColdStartLimiter {
    let mut limiter = ColdStartLimiter::default();
    limiter.set_limit(LIMIT, 3 * SECOND);
    limiter.set_cold_left(0, 3 * SECOND);
    limiter
}

/// Offers calls every `step_us` from `from` on for `over` and returns the number delivered.
fn sent_count(
    limiter: &mut ColdStartLimiter,
    from: u64,
    over: u64,
    step_us: u64,
    nested: bool,
) -> u32 {
    let mut count = 0;
    for at in (from..from + over).step_by(step_us as usize) {
        limiter.record_offer(at, nested);
        if limiter.has_capacity(at, nested) {
            limiter.record_admission(nested);
            limiter.record_sent(at, nested);
            count += 1;
        }
    }
    count
}

#[test]
fn calls_to_warm_targets_or_without_a_limit_are_not_limited() {
    let mut warm = cold_limiter();
    warm.set_cold_left(0, 0);
    assert_eq!(sent_count(&mut warm, 0, SECOND, 1_000, false), 1_000);
    let mut unlimited = ColdStartLimiter::default();
    unlimited.set_cold_left(0, 3 * SECOND);
    assert_eq!(sent_count(&mut unlimited, 0, SECOND, 1_000, false), 1_000);
    assert!(
        !unlimited.needs_report(),
        "no report is needed without a limit"
    );
}

#[test]
fn calls_to_a_cold_target_are_limited_and_spread_over_the_window() {
    let mut limiter = cold_limiter();
    let first = sent_count(&mut limiter, 0, SECOND / 4, 1_000, false);
    assert!(
        (2..=LIMIT / 2).contains(&first),
        "{first} in the first quarter of a second"
    );
    let rest = sent_count(&mut limiter, SECOND / 4, SECOND * 3 / 4, 1_000, false);
    assert!(
        (LIMIT - 4..=LIMIT).contains(&(first + rest)),
        "{first} in the first quarter of a second and {rest} in the rest"
    );
}

#[test]
fn calls_sent_before_a_target_turned_cold_count() {
    let mut limiter = cold_limiter();
    limiter.set_cold_left(0, 0);
    sent_count(&mut limiter, 0, SECOND / 2, 10_000, false);
    limiter.set_cold_left(SECOND / 2, 3 * SECOND);
    assert!(
        !limiter.has_capacity(SECOND / 2, true),
        "50 calls were sent in the last half second"
    );
}

#[test]
fn after_a_daemon_start_the_last_window_counts_as_used_up() {
    let mut limiter = cold_limiter();
    limiter.record_daemon_start(5 * SECOND);
    limiter.set_cold_left(5 * SECOND, 3 * SECOND);
    assert!(!limiter.has_capacity(6 * SECOND, true));
    assert_eq!(
        limiter.next_capacity_at(5 * SECOND, false),
        limiter.next_capacity_at(5 * SECOND, true)
    );
    let from = limiter.next_capacity_at(5 * SECOND, true);
    assert!((6 * SECOND..7 * SECOND).contains(&from));
    assert!(limiter.has_capacity(from, false));
    limiter.set_cold_left(6 * SECOND, 0);
    assert!(
        limiter.has_capacity(6 * SECOND, false),
        "a warm target is not limited"
    );
}

#[rstest]
#[case::just_started(2, 2_950_000, true)]
#[case::started_a_while_ago(2, 1_500_000, false)]
#[case::turned_cold_again(40, 2_950_000, false)]
fn a_target_that_just_started_received_no_calls_from_an_earlier_run(
    #[case] sequence: u64,
    #[case] left_us: u64,
    #[case] has_capacity: bool,
) {
    let mut limiter = cold_limiter();
    limiter.record_daemon_start(5 * SECOND);
    limiter.record_first_report(FirstReport { left_us, sequence });
    limiter.set_cold_left(5 * SECOND, left_us);
    assert_eq!(limiter.has_capacity(5 * SECOND, false), has_capacity);
}

#[test]
fn another_incarnation_starts_with_full_capacity() {
    let mut limiter = cold_limiter();
    sent_count(&mut limiter, 0, SECOND / 2, 5_000, true);
    assert!(!limiter.has_capacity(SECOND / 2, true));
    limiter.reset();
    limiter.set_cold_left(SECOND / 2, 3 * SECOND);
    assert!(limiter.has_capacity(SECOND / 2, true));
}

#[test]
fn capacity_is_reserved_for_as_many_nested_calls_as_were_offered_recently() {
    const WINDOW: u64 = 12 * SECOND / 10;
    let mut limiter = cold_limiter();
    let mut nested = 0;
    let mut callers = 0;
    for at in (0..3 * SECOND).step_by(10_000) {
        if at % 100_000 == 0 {
            let sent = sent_count(&mut limiter, at, 1, 1, true);
            nested += if at >= WINDOW { sent } else { 0 };
        }
        callers += sent_count(&mut limiter, at, 1, 1, false);
    }
    assert_eq!(
        nested, 18,
        "after the first window every nested call is sent"
    );
    assert!(
        callers >= 2 * (LIMIT - 10) - 6,
        "{callers} calls from callers were sent"
    );
}

#[test]
fn a_target_is_asked_when_it_may_be_cold_and_after_some_calls() {
    let mut limiter = cold_limiter();
    assert!(!limiter.needs_report());
    limiter.mark_uncertain();
    assert!(limiter.needs_report() && limiter.is_cold(0));
    limiter.set_cold_left(0, 0);
    assert!(!limiter.needs_report() && !limiter.is_cold(0));
    sent_count(&mut limiter, 0, 7_000, 1_000, false);
    assert!(!limiter.needs_report());
    sent_count(&mut limiter, 7_000, 1_000, 1_000, false);
    assert!(
        limiter.needs_report(),
        "a third of the limit admitted since the last report"
    );
}

#[test]
fn calls_that_are_sent_late_count_from_when_they_are_sent() {
    let mut limiter = cold_limiter();
    limiter.set_cold_left(0, 9 * SECOND);
    for _ in 0..LIMIT {
        assert!(limiter.has_capacity(0, true));
        limiter.record_admission(true);
    }
    assert!(
        !limiter.has_capacity(5 * SECOND, true),
        "admitted calls use capacity until they are sent"
    );
    for _ in 0..LIMIT {
        limiter.record_sent(5 * SECOND, true);
    }
    assert!(!limiter.has_capacity(6 * SECOND, true));
    assert!(limiter.has_capacity(7 * SECOND, true));
}

fn admit() -> AdmissionController {
    let mut admit = AdmissionController::new(AdmissionLimits {
        slots: 100,
        hold_limit: 10,
        prices: DistanceCosts::default(),
        ask_price_permille: 10,
        cold_calls_per_s: LIMIT,
        cold_ms: 0,
    });
    admit.on(
        0,
        AdmissionEvent::SetLimits(AdmissionLimits {
            slots: 100,
            hold_limit: 10,
            prices: DistanceCosts::default(),
            ask_price_permille: 10,
            cold_calls_per_s: LIMIT,
            cold_ms: 0,
        }),
    );
    admit.on(
        0,
        AdmissionEvent::ColdReported {
            left_us: 9 * SECOND,
        },
    );
    admit
}

fn offer(call: u64, elsewhere: Elsewhere) -> AdmissionEvent {
    AdmissionEvent::Offer {
        call: CallId(call),
        deadline: 2 * SECOND,
        attributes: CallAttributes {
            goal: Some(SECOND),
            elsewhere,
            ..CallAttributes::default()
        },
    }
}

#[test]
fn without_capacity_a_call_is_redirected_or_held() {
    let mut admit = admit();
    let mut call = 0;
    let refusal = loop {
        call += 1;
        match admit.on(0, offer(call, Elsewhere::Near)).as_slice() {
            [AdmissionAction::Deliver { call }] => {
                assert!(admit.on(0, AdmissionEvent::Sent { call: *call }).is_empty());
            }
            [AdmissionAction::Refuse { refusal, .. }] => break *refusal,
            other => panic!("{other:?}"),
        }
    };
    assert_eq!(refusal.reason, RefusalReason::Cold);
    assert!(
        admit.on(0, offer(100, Elsewhere::Nowhere)).is_empty(),
        "held"
    );
    let next = admit
        .next_recheck(0)
        .expect("a held call waits for capacity");
    assert!(!next.needs_reading && next.at > 0 && next.at < SECOND);
    assert!(admit.on(next.at - 1, AdmissionEvent::Recheck).is_empty());
    let actions = admit.on(next.at, AdmissionEvent::Recheck);
    assert_eq!(actions, [AdmissionAction::Deliver { call: CallId(100) }]);
}

#[test]
fn fewer_slots_are_reported_for_a_cold_target() {
    let mut admit = admit();
    admit.on(0, offer(1, Elsewhere::Nowhere));
    admit.on(
        100_000,
        AdmissionEvent::Done {
            call: CallId(1),
            service_us: Some(100_000),
            slowness_percent: None,
        },
    );
    assert_eq!(
        admit.figures(100_000).slots,
        2,
        "24 calls of 0.1 s each in 1.2 s"
    );
    admit.on(200_000, AdmissionEvent::ColdReported { left_us: 0 });
    assert_eq!(admit.figures(200_000).slots, 100);
}

proptest! {
    #![proptest_config(Config { rng_seed: RngSeed::Fixed(11), cases: 500, failure_persistence: None, ..Config::default() })]

    /// In any sequence of offers and reports, no call is admitted to a cold target if the
    /// calls sent within the second that ends then and the unsent ones already reach the
    /// limit.
    #[test]
    fn no_second_of_a_cold_target_exceeds_the_limit(
        steps in prop::collection::vec((0..8_u8, 0..60_000_u64), 1..400)
    ) {
        let mut limiter = cold_limiter();
        let mut sent_times: Vec<u64> = Vec::new();
        let mut unsent: Vec<bool> = Vec::new();
        let mut now = 0;
        for (step, elapsed) in steps {
            now += elapsed;
            match step {
                0 => limiter.set_cold_left(now, 0),
                1 => limiter.set_cold_left(now, 2 * SECOND),
                2 => limiter.mark_uncertain(),
                // Send all admitted calls at once, later than they were admitted.
                3 => {
                    for nested in unsent.drain(..) {
                        limiter.record_sent(now, nested);
                        sent_times.push(now);
                    }
                }
                _ => {
                    let nested = step < 6;
                    limiter.record_offer(now, nested);
                    if limiter.has_capacity(now, nested) {
                        limiter.record_admission(nested);
                        unsent.push(nested);
                        let in_second = sent_times.iter().filter(|at| **at + SECOND > now).count();
                        let cold = limiter.is_cold(now);
                        let with_unsent = in_second + unsent.len();
                        prop_assert!(!cold || with_unsent <= LIMIT as usize, "{with_unsent}");
                    } else {
                        prop_assert!(limiter.next_capacity_at(now, nested) > now);
                    }
                }
            }
        }
    }
}
