//! The first calls, before any answer told what calls take.

use lynxcleat_policy::{
    Admit, AdmitAction, AdmitEvent, AdmitLimits, CallId, CallKind, CallTerms, DistanceCosts,
};

const MS: u64 = 1_000;
/// Ways to other places have a price.
const PRICES: DistanceCosts = DistanceCosts {
    far_percent: 20,
    region_percent: 20,
};

fn admit() -> Admit {
    Admit::new(AdmitLimits {
        slots: 8,
        hold_limit: 48,
        prices: PRICES,
        ask_price_permille: 10,
        cold_calls_per_s: 0,
        cold_ms: 0,
    })
}

fn offer(now: u64, goal: u64, nested: bool) -> AdmitEvent {
    AdmitEvent::Offer {
        call: CallId(1),
        deadline: now + 2_000 * MS,
        terms: CallTerms {
            goal: Some(now + goal),
            kind: CallKind(1),
            nested,
            ..CallTerms::default()
        },
    }
}

fn delivers(actions: &[AdmitAction]) -> bool {
    matches!(actions, [AdmitAction::Deliver { .. }])
}

/// In the first second of a day, and after all machines were lost, one call in six began at
/// a target in a slow spell and missed its goal.
#[test]
fn a_first_call_waits_out_a_slow_spell() {
    let mut admit = admit();
    admit.on(0, AdmitEvent::Slowness(100));
    admit.on(100 * MS, AdmitEvent::Slowness(400));
    let actions = admit.on(100 * MS, offer(100 * MS, 800 * MS, false));
    assert!(actions.is_empty(), "{actions:?}");
    let actions = admit.on(250 * MS, AdmitEvent::Slowness(100));
    assert!(delivers(&actions), "{actions:?}");
}

#[test]
fn a_first_call_begins_at_a_target_of_usual_speed() {
    for nested in [false, true] {
        let mut admit = admit();
        admit.on(0, AdmitEvent::Slowness(100));
        let actions = admit.on(MS, offer(MS, 800 * MS, nested));
        assert!(delivers(&actions), "{actions:?}");
    }
}

/// A target that is cold is slow for seconds: waiting brings nothing.
#[test]
fn a_first_call_does_not_wait_for_a_target_that_was_never_faster() {
    let mut admit = admit();
    for at in 0..8 {
        admit.on(at * 100 * MS, AdmitEvent::Slowness(200));
    }
    let actions = admit.on(800 * MS, offer(800 * MS, 800 * MS, false));
    assert!(delivers(&actions), "{actions:?}");
}
