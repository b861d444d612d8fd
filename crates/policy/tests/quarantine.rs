//! Quarantine of requests during which targets exit, with updates that arrive in any order.

use lynxcleat_policy::{
    Fingerprint, Micros, ObservedExit, Quarantine, QuarantineLimits, QuarantineStatus,
    RequestFingerprints, SuspectUpdate, TargetExitId,
};
use proptest::prelude::*;

const SECOND: Micros = 1_000_000;
const LIMITS: QuarantineLimits = QuarantineLimits {
    crash_limit: 3,
    quarantine_us: 600 * SECOND,
};
const FAULTY: RequestFingerprints = request(1, 10);
const OTHER_SENDER: RequestFingerprints = request(1, 11);

const fn request(content: u64, full: u64) -> RequestFingerprints {
    RequestFingerprints {
        content: Fingerprint(content, 0),
        full: Fingerprint(full, 0),
    }
}

fn daemon() -> Quarantine {
    Quarantine::new(LIMITS)
}

/// Records consecutive exits, one per second, during a request that is sent each time after the
/// previous exit became known.
fn record_consecutive_exits(
    quarantine: &mut Quarantine,
    start: Micros,
    request: RequestFingerprints,
    exits: &[u64],
) {
    for (nth, exit) in exits.iter().enumerate() {
        let at = start + nth as Micros * SECOND;
        quarantine.record_exit(at, TargetExitId(*exit), request, at - SECOND / 2);
    }
}

fn is_quarantined(quarantine: &Quarantine, now: Micros, request: RequestFingerprints) -> bool {
    matches!(
        quarantine.status(now, request),
        QuarantineStatus::Quarantined { .. }
    )
}

#[test]
fn three_consecutive_exits_quarantine_a_request_and_two_do_not() {
    let mut quarantine = daemon();
    assert!(quarantine.is_empty());
    record_consecutive_exits(&mut quarantine, SECOND, FAULTY, &[1, 2]);
    assert_eq!(
        quarantine.status(3 * SECOND, FAULTY),
        QuarantineStatus::Suspect
    );
    let change = quarantine.record_exit(3 * SECOND, TargetExitId(3), FAULTY, 2 * SECOND);
    assert_eq!(change.quarantined, [FAULTY.full]);
    let remaining_us = 600 * SECOND;
    assert_eq!(
        quarantine.status(3 * SECOND, FAULTY),
        QuarantineStatus::Quarantined { remaining_us }
    );
}

/// Guards against quarantining a frequent request that was in flight to all targets of a rack
/// that failed.
#[test]
fn targets_that_exit_at_the_same_time_do_not_quarantine_a_request() {
    let mut quarantine = daemon();
    for exit in 1..=8 {
        quarantine.record_exit(5 * SECOND + exit, TargetExitId(exit), FAULTY, 4 * SECOND);
    }
    assert_eq!(
        quarantine.status(6 * SECOND, FAULTY),
        QuarantineStatus::Suspect
    );
    // The status is the same at a daemon that received the exits in an update.
    let mut other = daemon();
    other.merge(6 * SECOND, &quarantine.snapshot(6 * SECOND));
    assert_eq!(other.status(6 * SECOND, FAULTY), QuarantineStatus::Suspect);
}

#[test]
fn a_served_request_is_cleared() {
    let mut quarantine = daemon();
    record_consecutive_exits(&mut quarantine, SECOND, FAULTY, &[1, 2]);
    let change = quarantine.record_served(3 * SECOND, FAULTY);
    assert!(!change.is_empty());
    assert_eq!(
        quarantine.status(3 * SECOND, FAULTY),
        QuarantineStatus::Clear
    );
    record_consecutive_exits(&mut quarantine, 4 * SECOND, FAULTY, &[3, 4]);
    assert_eq!(
        quarantine.status(6 * SECOND, FAULTY),
        QuarantineStatus::Suspect
    );
}

/// Guards against quarantining a frequent request by coincidence: when targets exit every 50 ms, it
/// is in flight during three consecutive exits between two responses.
#[test]
fn a_request_that_is_served_occasionally_needs_more_consecutive_exits() {
    let mut quarantine = daemon();
    record_consecutive_exits(&mut quarantine, SECOND, FAULTY, &[1, 2]);
    quarantine.record_served(3 * SECOND, FAULTY);
    record_consecutive_exits(&mut quarantine, 4 * SECOND, FAULTY, &[3, 4, 5, 6]);
    assert_eq!(
        quarantine.status(8 * SECOND, FAULTY),
        QuarantineStatus::Suspect
    );
    quarantine.record_exit(9 * SECOND, TargetExitId(7), FAULTY, 8 * SECOND);
    // The additional exits do not prolong the quarantine.
    let remaining_us = LIMITS.quarantine_us;
    let status = quarantine.status(9 * SECOND, FAULTY);
    assert_eq!(status, QuarantineStatus::Quarantined { remaining_us });
}

/// Guards against restoring an expired entry from another daemon that still has it: daemons remove
/// entries at different times and send all of them on a new connection.
#[test]
fn an_old_cleared_entry_keeps_its_age_at_another_daemon() {
    let mut quarantine = daemon();
    record_consecutive_exits(&mut quarantine, SECOND, FAULTY, &[1]);
    quarantine.record_served(2 * SECOND, FAULTY);
    let later = 2 * LIMITS.quarantine_us;
    let mut other = daemon();
    other.merge(later, &quarantine.snapshot(later));
    other.remove_expired(later + 2 * SECOND);
    assert!(other.is_empty());
}

#[test]
fn a_request_with_different_content_is_clear() {
    let mut quarantine = daemon();
    record_consecutive_exits(&mut quarantine, SECOND, FAULTY, &[1, 2, 3]);
    let other = request(2, 20);
    assert_eq!(
        quarantine.status(4 * SECOND, other),
        QuarantineStatus::Clear
    );
}

#[test]
fn another_sender_of_the_same_content_is_quarantined_only_after_its_own_exit() {
    let mut quarantine = daemon();
    record_consecutive_exits(&mut quarantine, SECOND, FAULTY, &[1, 2, 3]);
    assert!(is_quarantined(&quarantine, 4 * SECOND, FAULTY));
    assert_eq!(
        quarantine.status(4 * SECOND, OTHER_SENDER),
        QuarantineStatus::Suspect
    );
    quarantine.record_exit(5 * SECOND, TargetExitId(4), OTHER_SENDER, 4 * SECOND);
    assert!(is_quarantined(&quarantine, 5 * SECOND, OTHER_SENDER));
    // The content is now quarantined for every sender.
    assert!(is_quarantined(&quarantine, 5 * SECOND, request(1, 12)));
}

#[test]
fn a_served_request_of_another_sender_clears_the_content_but_not_the_first_sender() {
    let mut quarantine = daemon();
    record_consecutive_exits(&mut quarantine, SECOND, FAULTY, &[1, 2, 3]);
    quarantine.record_served(4 * SECOND, OTHER_SENDER);
    assert_eq!(
        quarantine.status(4 * SECOND, OTHER_SENDER),
        QuarantineStatus::Clear
    );
    assert!(is_quarantined(&quarantine, 4 * SECOND, FAULTY));
}

#[test]
fn a_request_is_retried_after_quarantine_and_another_exit_doubles_the_duration() {
    let mut quarantine = daemon();
    record_consecutive_exits(&mut quarantine, SECOND, FAULTY, &[1, 2, 3]);
    let over = 3 * SECOND + LIMITS.quarantine_us;
    assert!(is_quarantined(&quarantine, over - 1, FAULTY));
    assert_eq!(quarantine.status(over, FAULTY), QuarantineStatus::Suspect);
    quarantine.record_exit(over + SECOND, TargetExitId(4), FAULTY, over);
    let remaining_us = 2 * LIMITS.quarantine_us;
    let status = quarantine.status(over + SECOND, FAULTY);
    assert_eq!(status, QuarantineStatus::Quarantined { remaining_us });
}

#[test]
fn old_entries_are_removed() {
    let mut quarantine = daemon();
    record_consecutive_exits(&mut quarantine, SECOND, FAULTY, &[1]);
    quarantine.remove_expired(SECOND + 2 * LIMITS.quarantine_us - 1);
    assert!(!quarantine.is_empty());
    quarantine.remove_expired(SECOND + 2 * LIMITS.quarantine_us);
    assert!(quarantine.is_empty());
}

#[test]
fn a_limit_of_zero_disables_the_quarantine() {
    let mut quarantine = Quarantine::new(LIMITS);
    record_consecutive_exits(&mut quarantine, SECOND, FAULTY, &[1, 2, 3]);
    quarantine.set_limits(QuarantineLimits {
        crash_limit: 0,
        ..LIMITS
    });
    assert!(!is_quarantined(&quarantine, 4 * SECOND, FAULTY));
    assert!(
        quarantine
            .record_exit(5 * SECOND, TargetExitId(9), FAULTY, 4 * SECOND)
            .is_empty()
    );
    // Updates received before the settings are applied are stored.
    let mut started = Quarantine::new(QuarantineLimits {
        crash_limit: 0,
        ..LIMITS
    });
    started.merge(6 * SECOND, &quarantine.snapshot(6 * SECOND));
    started.set_limits(LIMITS);
    assert!(is_quarantined(&started, 6 * SECOND, FAULTY));
}

#[test]
fn an_operator_lifts_a_quarantine() {
    let mut quarantine = daemon();
    record_consecutive_exits(&mut quarantine, SECOND, FAULTY, &[1, 2, 3]);
    let change = quarantine.lift(4 * SECOND, FAULTY.full);
    assert_eq!(change.released, [FAULTY.full]);
    assert!(!is_quarantined(&quarantine, 4 * SECOND, FAULTY));
    assert!(
        quarantine.lift(4 * SECOND, FAULTY.full).is_empty(),
        "already lifted"
    );
    // An update from a daemon that has not received the lift does not restore the exits.
    let mut outdated = daemon();
    record_consecutive_exits(&mut outdated, SECOND, FAULTY, &[1, 2, 3]);
    quarantine.merge(5 * SECOND, &outdated.snapshot(5 * SECOND));
    assert!(!is_quarantined(&quarantine, 5 * SECOND, FAULTY));
}

#[test]
fn entries_are_bounded_and_quarantined_ones_are_kept() {
    let mut quarantine = daemon();
    record_consecutive_exits(&mut quarantine, SECOND, FAULTY, &[1, 2, 3]);
    for other in 0..5_000 {
        let now = 10 * SECOND + other;
        let coincidental = request(100_000 + other, 200_000 + other);
        quarantine.record_exit(now, TargetExitId(1_000 + other), coincidental, now - 1);
    }
    assert!(quarantine.snapshot(20 * SECOND).len() <= 256);
    assert!(is_quarantined(&quarantine, 20 * SECOND, FAULTY));
}

#[test]
fn a_stored_quarantine_older_than_the_daemon_expires_on_time() {
    let update = SuspectUpdate {
        exits: (1..=3)
            .map(|rank| ObservedExit {
                exit: TargetExitId(rank.into()),
                rank,
                sender: None,
            })
            .collect(),
        age_ms: 400_000,
        ..SuspectUpdate::new(FAULTY.full)
    };
    let mut quarantine = daemon();
    quarantine.merge(SECOND, std::slice::from_ref(&update));
    assert!(is_quarantined(&quarantine, 200 * SECOND, FAULTY));
    assert!(!is_quarantined(&quarantine, 202 * SECOND, FAULTY));
}

/// Event observed by a daemon.
#[derive(Clone, Debug)]
enum Observation {
    Exited {
        exit: u64,
        sender: u64,
        sent_at: Micros,
    },
    Served {
        sender: u64,
    },
}

fn observation() -> impl Strategy<Value = Observation> {
    let exited =
        (0..6_u64, 0..3_u64, 0..8_u64).prop_map(|(exit, sender, sent_s)| Observation::Exited {
            exit,
            sender,
            sent_at: sent_s * SECOND,
        });
    let served = (0..3_u64).prop_map(|sender| Observation::Served { sender });
    prop_oneof![4 => exited, 1 => served]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(1_000))]

    /// Daemons that exchanged their snapshots in any order, any number of times, agree.
    #[test]
    fn daemons_that_exchanged_snapshots_agree(
        events in proptest::collection::vec((0..3_usize, observation()), 1..40),
        order in proptest::collection::vec((0..3_usize, 0..3_usize), 0..12),
    ) {
        let mut daemons = [daemon(), daemon(), daemon()];
        for (nth, (at, event)) in events.iter().enumerate() {
            let now = (nth as Micros + 1) * SECOND / 4;
            match *event {
                Observation::Exited { exit, sender, sent_at } => {
                    let exit = TargetExitId(exit + 10 * sender);
                    daemons[*at].record_exit(now, exit, request(1, 10 + sender), sent_at);
                }
                Observation::Served { sender } => {
                    daemons[*at].record_served(now, request(1, 10 + sender));
                }
            }
        }
        let now = 20 * SECOND;
        let rounds = [(0, 1), (1, 2), (2, 0), (0, 1), (1, 2), (2, 0)];
        for (from, to) in order.into_iter().chain(rounds) {
            let updates = daemons[from].snapshot(now);
            daemons[to].merge(now, &updates);
        }
        for sender in 0..4 {
            let request = request(1, 10 + sender);
            let status = |quarantine: &Quarantine| {
                std::mem::discriminant(&quarantine.status(now, request))
            };
            prop_assert_eq!(status(&daemons[0]), status(&daemons[1]));
            prop_assert_eq!(status(&daemons[1]), status(&daemons[2]));
            let updates = daemons[0].snapshot(now);
            prop_assert!(daemons[1].merge(now, &updates).is_empty(), "a repeated update changes nothing");
        }
    }
}
