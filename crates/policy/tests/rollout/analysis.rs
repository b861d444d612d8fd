//! What the evidence of halves says of a version.

use lynxcleat_policy::{CallKind, Fault, HalfEvidence, Judge, Outcome, Readiness};

/// Calls at one target, `failed` and `slow` of a hundred.
fn evidence(host: &str, version: &str, failed: u32, slow: u32) -> HalfEvidence {
    let mut evidence = HalfEvidence {
        host: host.to_owned(),
        version: version.to_owned(),
        ..HalfEvidence::default()
    };
    for call in 0..100 {
        let outcome = match call {
            call if call < failed => Outcome::Failed,
            call if call < failed + slow => Outcome::Served(Some(500_000)),
            _ => Outcome::Served(Some(100_000)),
        };
        evidence.count(CallKind(0), outcome);
    }
    evidence
}

fn judge() -> Judge {
    let mut judge = Judge::default();
    for host in ["a", "b", "c"] {
        judge.take(0, &evidence(host, "v1", 1, 2), false);
    }
    judge
}

#[test]
fn one_bad_target_is_set_aside_and_two_condemn_the_version() {
    let mut judge = judge();
    judge.take(0, &evidence("x", "v2", 30, 0), true);
    assert!(judge.set_aside().contains("x"));
    assert_eq!(judge.fault(3), None);
    assert_eq!(judge.fault(1), Some(Fault::TooManyBad), "there is no other");
    judge.take(0, &evidence("y", "v2", 0, 1), true);
    assert_eq!(judge.fault(3), None);
    assert_eq!(judge.readiness(), Readiness::Good, "others are well");
    judge.take(0, &evidence("z", "v2", 0, 30), true);
    assert_eq!(judge.fault(3), Some(Fault::Slowness));
}

#[test]
fn copies_of_evidence_that_come_again_or_late_change_nothing() {
    let mut judge = judge();
    let mut later = evidence("x", "v2", 2, 0);
    let early = later.clone();
    later.count(CallKind(0), Outcome::Served(Some(100_000)));
    judge.take(0, &later, true);
    let seen = judge.seen();
    assert_eq!(seen, (101, 2));
    for copy in [&early, &later, &early] {
        judge.take(0, copy, true);
    }
    assert_eq!(judge.seen(), seen);
}

#[test]
fn a_version_that_was_hardly_called_is_not_found_good() {
    let mut judge = judge();
    assert_eq!(judge.readiness(), Readiness::TooFew);
    judge.take(0, &evidence("x", "v2", 0, 0), true);
    assert_eq!(judge.readiness(), Readiness::Good);
    let mut other = evidence("a", "v1", 0, 0);
    for _ in 0..300 {
        other.count(CallKind(1), Outcome::Served(Some(100_000)));
    }
    judge.take(0, &other, false);
    assert_eq!(judge.readiness(), Readiness::TooFew, "not by that route");
}
