//! When a target is asked for its load before a call is offered to it.

use lynxcleat_policy::{
    Admit, AdmitAction, AdmitEvent, AdmitLimits, CallId, CallKind, CallTerms, DistanceCosts,
    Elsewhere, SlownessReading,
};
use rstest::rstest;

const MS: u64 = 1_000;
/// Ways to other places have a price.
const PRICES: DistanceCosts = DistanceCosts {
    far_percent: 20,
    region_percent: 20,
};
const KIND: CallKind = CallKind(1);

fn terms(goal: u64) -> CallTerms {
    CallTerms {
        goal: Some(goal),
        kind: KIND,
        elsewhere: Elsewhere::Near,
        ..CallTerms::default()
    }
}

/// A target whose calls take 80 ms, and that told its usual speed five times in a second, as
/// others did many times.
fn admit() -> Admit {
    let mut admit = Admit::new(AdmitLimits {
        slots: 8,
        hold_limit: 48,
        prices: PRICES,
        ask_price_permille: 10,
        cold_calls_per_s: 0,
        cold_ms: 0,
    });
    for nth in 0..24 {
        let at = nth * 40 * MS;
        admit.on(
            at,
            AdmitEvent::PeerSlowness(SlownessReading { factor: 1.0, at }),
        );
    }
    for nth in 0..5 {
        let now = nth * 200 * MS;
        admit.on(now, AdmitEvent::Slowness(100));
        let call = CallId(nth);
        admit.on(
            now,
            AdmitEvent::Offer {
                call,
                deadline: now + 5_000 * MS,
                terms: terms(now + 400 * MS),
            },
        );
        admit.on(
            now + 80 * MS,
            AdmitEvent::Done {
                call,
                service_us: Some(80_000),
                slowness_percent: Some(100),
            },
        );
    }
    admit
}

/// Found by a test that failed beside load: a target that was slow when it told last was
/// not asked, and the reading was no longer believed either, so calls began there.
#[rstest]
#[case::just_told(0)]
#[case::believed(20)]
#[case::doubtful(900)]
#[case::old(1_700)]
#[case::forgotten(60_000)]
fn no_call_begins_unasked_at_a_target_that_was_slow(#[case] age_ms: u64) {
    let mut admit = admit();
    let told_at = 1_000 * MS;
    admit.on(told_at, AdmitEvent::Slowness(9_900));
    let now = told_at + age_ms * MS;
    let deadline = now + 5_000 * MS;
    let terms = terms(now + 400 * MS);
    let asked = admit.should_ask(now, deadline, &terms);
    let call = CallId(99);
    let offer = AdmitEvent::Offer {
        call,
        deadline,
        terms,
    };
    let begins = admit.on(now, offer) == [AdmitAction::Deliver { call }];
    assert!(asked || !begins, "asked {asked}, begins {begins}");
}

#[rstest]
#[case::just_told(0, false)]
#[case::old(1_000, true)]
fn a_target_of_usual_speed_is_asked_when_its_reading_is_old(
    #[case] age_ms: u64,
    #[case] asked: bool,
) {
    let admit = admit();
    let now = (880 + age_ms) * MS;
    let deadline = now + 5_000 * MS;
    assert_eq!(
        admit.should_ask(now, deadline, &terms(now + 150 * MS)),
        asked
    );
}
