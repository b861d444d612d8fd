//! Requests under which targets end, as daemons learn of them in any order.

use lynxcleat_policy::{
    Fingerprint, Micros, Quarantine, QuarantineLimits, RequestFingerprints, SeenEnd, Standing,
    SuspectNews, TargetExitId,
};
use proptest::prelude::*;

const SECOND: Micros = 1_000_000;
const LIMITS: QuarantineLimits = QuarantineLimits {
    crash_limit: 3,
    quarantine_us: 600 * SECOND,
};
const BAD: RequestFingerprints = request(1, 10);
const OTHER_CALLER: RequestFingerprints = request(1, 11);

const fn request(content: u64, full: u64) -> RequestFingerprints {
    RequestFingerprints {
        content: Fingerprint(content, 0),
        full: Fingerprint(full, 0),
    }
}

fn daemon() -> Quarantine {
    Quarantine::new(LIMITS)
}

/// Ends targets in a row under a request, each sent after the end before was known.
fn end_in_row(known: &mut Quarantine, from: Micros, request: RequestFingerprints, ends: &[u64]) {
    for (nth, end) in ends.iter().enumerate() {
        let at = from + nth as Micros * SECOND;
        known.ended(at, TargetExitId(*end), request, at - SECOND / 2);
    }
}

fn is_quarantined(known: &Quarantine, now: Micros, request: RequestFingerprints) -> bool {
    matches!(known.standing(now, request), Standing::Quarantined { .. })
}

#[test]
fn three_ends_in_a_row_quarantine_a_request_and_two_do_not() {
    let mut known = daemon();
    assert!(known.is_empty());
    end_in_row(&mut known, SECOND, BAD, &[1, 2]);
    assert_eq!(known.standing(3 * SECOND, BAD), Standing::Suspect);
    let changed = known.ended(3 * SECOND, TargetExitId(3), BAD, 2 * SECOND);
    assert_eq!(changed.quarantined, [BAD.full]);
    let left_us = 600 * SECOND;
    assert_eq!(
        known.standing(3 * SECOND, BAD),
        Standing::Quarantined { left_us }
    );
}

/// A rack falls with some targets that all had the same popular request in hand.
#[test]
fn targets_that_fall_together_quarantine_nothing() {
    let mut known = daemon();
    for end in 1..=8 {
        known.ended(5 * SECOND + end, TargetExitId(end), BAD, 4 * SECOND);
    }
    assert_eq!(known.standing(6 * SECOND, BAD), Standing::Suspect);
    // Told by others, they are no more than that either.
    let mut other = daemon();
    other.take(6 * SECOND, &known.all(6 * SECOND));
    assert_eq!(other.standing(6 * SECOND, BAD), Standing::Suspect);
}

#[test]
fn a_request_that_a_target_survives_is_clear_again() {
    let mut known = daemon();
    end_in_row(&mut known, SECOND, BAD, &[1, 2]);
    let changed = known.survived(3 * SECOND, BAD);
    assert!(!changed.is_empty());
    assert_eq!(known.standing(3 * SECOND, BAD), Standing::Clear);
    end_in_row(&mut known, 4 * SECOND, BAD, &[3, 4]);
    assert_eq!(known.standing(6 * SECOND, BAD), Standing::Suspect);
}

/// Found by targets that end every 50 ms while one popular request is always in hand: three
/// ends in a row by chance, between answers.
#[test]
fn a_request_that_is_served_now_and_then_needs_a_longer_row() {
    let mut known = daemon();
    end_in_row(&mut known, SECOND, BAD, &[1, 2]);
    known.survived(3 * SECOND, BAD);
    end_in_row(&mut known, 4 * SECOND, BAD, &[3, 4, 5, 6]);
    assert_eq!(known.standing(8 * SECOND, BAD), Standing::Suspect);
    known.ended(9 * SECOND, TargetExitId(7), BAD, 8 * SECOND);
    // And is refused for no longer than any other.
    let left_us = LIMITS.quarantine_us;
    let standing = known.standing(9 * SECOND, BAD);
    assert_eq!(standing, Standing::Quarantined { left_us });
}

/// Daemons forget at different times, and tell new links all that they know.
#[test]
fn what_was_cleared_long_ago_is_not_remembered_anew() {
    let mut known = daemon();
    end_in_row(&mut known, SECOND, BAD, &[1]);
    known.survived(2 * SECOND, BAD);
    let later = 2 * LIMITS.quarantine_us;
    let mut other = daemon();
    other.take(later, &known.all(later));
    other.forget_old(later + 2 * SECOND);
    assert!(other.is_empty());
}

#[test]
fn what_differs_in_content_is_clear() {
    let mut known = daemon();
    end_in_row(&mut known, SECOND, BAD, &[1, 2, 3]);
    let other = request(2, 20);
    assert_eq!(known.standing(4 * SECOND, other), Standing::Clear);
}

#[test]
fn another_caller_of_the_same_content_is_offered_until_targets_end_under_it_too() {
    let mut known = daemon();
    end_in_row(&mut known, SECOND, BAD, &[1, 2, 3]);
    assert!(is_quarantined(&known, 4 * SECOND, BAD));
    assert_eq!(known.standing(4 * SECOND, OTHER_CALLER), Standing::Suspect);
    known.ended(5 * SECOND, TargetExitId(4), OTHER_CALLER, 4 * SECOND);
    assert!(is_quarantined(&known, 5 * SECOND, OTHER_CALLER));
    // Whoever sends it.
    assert!(is_quarantined(&known, 5 * SECOND, request(1, 12)));
}

#[test]
fn another_caller_that_is_served_clears_the_content_and_not_the_first_caller() {
    let mut known = daemon();
    end_in_row(&mut known, SECOND, BAD, &[1, 2, 3]);
    known.survived(4 * SECOND, OTHER_CALLER);
    assert_eq!(known.standing(4 * SECOND, OTHER_CALLER), Standing::Clear);
    assert!(is_quarantined(&known, 4 * SECOND, BAD));
}

#[test]
fn a_trial_follows_a_quarantine_and_an_end_under_it_doubles_it() {
    let mut known = daemon();
    end_in_row(&mut known, SECOND, BAD, &[1, 2, 3]);
    let over = 3 * SECOND + LIMITS.quarantine_us;
    assert!(is_quarantined(&known, over - 1, BAD));
    assert_eq!(known.standing(over, BAD), Standing::Suspect);
    known.ended(over + SECOND, TargetExitId(4), BAD, over);
    let left_us = 2 * LIMITS.quarantine_us;
    let standing = known.standing(over + SECOND, BAD);
    assert_eq!(standing, Standing::Quarantined { left_us });
}

#[test]
fn what_is_old_is_forgotten() {
    let mut known = daemon();
    end_in_row(&mut known, SECOND, BAD, &[1]);
    known.forget_old(SECOND + 2 * LIMITS.quarantine_us - 1);
    assert!(!known.is_empty());
    known.forget_old(SECOND + 2 * LIMITS.quarantine_us);
    assert!(known.is_empty());
}

#[test]
fn a_limit_of_nothing_switches_it_off() {
    let mut known = Quarantine::new(LIMITS);
    end_in_row(&mut known, SECOND, BAD, &[1, 2, 3]);
    known.set_limits(QuarantineLimits {
        crash_limit: 0,
        ..LIMITS
    });
    assert!(!is_quarantined(&known, 4 * SECOND, BAD));
    assert!(
        known
            .ended(5 * SECOND, TargetExitId(9), BAD, 4 * SECOND)
            .is_empty()
    );
    // What others tell before settings are in force is kept.
    let mut started = Quarantine::new(QuarantineLimits {
        crash_limit: 0,
        ..LIMITS
    });
    started.take(6 * SECOND, &known.all(6 * SECOND));
    started.set_limits(LIMITS);
    assert!(is_quarantined(&started, 6 * SECOND, BAD));
}

#[test]
fn an_operator_lets_a_request_run_again() {
    let mut known = daemon();
    end_in_row(&mut known, SECOND, BAD, &[1, 2, 3]);
    let changed = known.lift(4 * SECOND, BAD.full);
    assert_eq!(changed.released, [BAD.full]);
    assert!(!is_quarantined(&known, 4 * SECOND, BAD));
    assert!(known.lift(4 * SECOND, BAD.full).is_empty(), "once");
    // A daemon that did not hear of it does not bring the ends back.
    let mut behind = daemon();
    end_in_row(&mut behind, SECOND, BAD, &[1, 2, 3]);
    known.take(5 * SECOND, &behind.all(5 * SECOND));
    assert!(!is_quarantined(&known, 5 * SECOND, BAD));
}

#[test]
fn the_memory_is_bounded_and_keeps_what_is_quarantined() {
    let mut known = daemon();
    end_in_row(&mut known, SECOND, BAD, &[1, 2, 3]);
    for other in 0..5_000 {
        let now = 10 * SECOND + other;
        let chance = request(100_000 + other, 200_000 + other);
        known.ended(now, TargetExitId(1_000 + other), chance, now - 1);
    }
    assert!(known.all(20 * SECOND).len() <= 256);
    assert!(is_quarantined(&known, 20 * SECOND, BAD));
}

#[test]
fn a_stored_quarantine_older_than_the_daemon_ends_in_its_time() {
    let told = SuspectNews {
        ends: (1..=3)
            .map(|rank| SeenEnd {
                end: TargetExitId(rank.into()),
                rank,
                sender: None,
            })
            .collect(),
        age_ms: 400_000,
        ..SuspectNews::of(BAD.full)
    };
    let mut known = daemon();
    known.take(SECOND, std::slice::from_ref(&told));
    assert!(is_quarantined(&known, 200 * SECOND, BAD));
    assert!(!is_quarantined(&known, 202 * SECOND, BAD));
}

/// One thing that a daemon sees.
#[derive(Clone, Debug)]
enum Seen {
    Ended { end: u64, caller: u64, sent: Micros },
    Survived { caller: u64 },
}

fn seen() -> impl Strategy<Value = Seen> {
    let ended = (0..6_u64, 0..3_u64, 0..8_u64).prop_map(|(end, caller, sent)| Seen::Ended {
        end,
        caller,
        sent: sent * SECOND,
    });
    let survived = (0..3_u64).prop_map(|caller| Seen::Survived { caller });
    prop_oneof![4 => ended, 1 => survived]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(1_000))]

    /// Daemons that told each other all agree, in whatever order and however often.
    #[test]
    fn daemons_that_told_each_other_agree(
        events in proptest::collection::vec((0..3_usize, seen()), 1..40),
        order in proptest::collection::vec((0..3_usize, 0..3_usize), 0..12),
    ) {
        let mut daemons = [daemon(), daemon(), daemon()];
        for (nth, (at, event)) in events.iter().enumerate() {
            let now = (nth as Micros + 1) * SECOND / 4;
            match *event {
                Seen::Ended { end, caller, sent } => {
                    let end = TargetExitId(end + 10 * caller);
                    daemons[*at].ended(now, end, request(1, 10 + caller), sent);
                }
                Seen::Survived { caller } => {
                    daemons[*at].survived(now, request(1, 10 + caller));
                }
            }
        }
        let now = 20 * SECOND;
        let rounds = [(0, 1), (1, 2), (2, 0), (0, 1), (1, 2), (2, 0)];
        for (from, to) in order.into_iter().chain(rounds) {
            let told = daemons[from].all(now);
            daemons[to].take(now, &told);
        }
        for caller in 0..4 {
            let request = request(1, 10 + caller);
            let standing = |known: &Quarantine| std::mem::discriminant(&known.standing(now, request));
            prop_assert_eq!(standing(&daemons[0]), standing(&daemons[1]));
            prop_assert_eq!(standing(&daemons[1]), standing(&daemons[2]));
            let told = daemons[0].all(now);
            prop_assert!(daemons[1].take(now, &told).is_empty(), "told twice is no news");
        }
    }
}
