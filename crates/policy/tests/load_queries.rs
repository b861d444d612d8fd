//! When a target's load is queried before a call is offered to it.

use lynxcleat_policy::{
    AdmissionAction, AdmissionController, AdmissionEvent, AdmissionLimits, CallAttributes, CallId,
    CallKind, DistanceCosts, Elsewhere, SlownessReading,
};
use rstest::rstest;

const MS: u64 = 1_000;
/// Cost of sending a call to another place or region.
const PRICES: DistanceCosts = DistanceCosts {
    far_percent: 20,
    region_percent: 20,
};
const KIND: CallKind = CallKind(1);

fn terms(goal: u64) -> CallAttributes {
    CallAttributes {
        goal: Some(goal),
        kind: KIND,
        elsewhere: Elsewhere::Near,
        ..CallAttributes::default()
    }
}

/// A target whose calls take 80 ms. It reported normal speed five times within a second, and
/// other targets did so many times.
fn admit() -> AdmissionController {
    let mut admit = AdmissionController::new(AdmissionLimits {
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
            AdmissionEvent::PeerSlowness(SlownessReading { factor: 1.0, at }),
        );
    }
    for nth in 0..5 {
        let now = nth * 200 * MS;
        admit.on(now, AdmissionEvent::Slowness(100));
        let call = CallId(nth);
        admit.on(
            now,
            AdmissionEvent::Offer {
                call,
                deadline: now + 5_000 * MS,
                attributes: terms(now + 400 * MS),
            },
        );
        admit.on(
            now + 80 * MS,
            AdmissionEvent::Done {
                call,
                service_us: Some(80_000),
                slowness_percent: Some(100),
            },
        );
    }
    admit
}

/// Guards against calls that begin at a slow target: one whose latest reading was slow was not
/// queried, and the reading had already expired. This was seen in a test run under load.
#[rstest]
#[case::just_reported(0)]
#[case::trusted(20)]
#[case::doubtful(900)]
#[case::old(1_700)]
#[case::expired(60_000)]
fn no_call_begins_at_a_slow_target_without_a_query(#[case] age_ms: u64) {
    let mut admit = admit();
    let reported_at = 1_000 * MS;
    admit.on(reported_at, AdmissionEvent::Slowness(9_900));
    let now = reported_at + age_ms * MS;
    let deadline = now + 5_000 * MS;
    let terms = terms(now + 400 * MS);
    let asked = admit.should_probe(now, deadline, &terms);
    let call = CallId(99);
    let offer = AdmissionEvent::Offer {
        call,
        deadline,
        attributes: terms,
    };
    let begins = admit.on(now, offer) == [AdmissionAction::Deliver { call }];
    assert!(asked || !begins, "asked {asked}, begins {begins}");
}

#[rstest]
#[case::just_reported(0, false)]
#[case::old(1_000, true)]
fn a_target_of_normal_speed_is_queried_when_its_reading_is_old(
    #[case] age_ms: u64,
    #[case] asked: bool,
) {
    let admit = admit();
    let now = (880 + age_ms) * MS;
    let deadline = now + 5_000 * MS;
    assert_eq!(
        admit.should_probe(now, deadline, &terms(now + 150 * MS)),
        asked
    );
}
