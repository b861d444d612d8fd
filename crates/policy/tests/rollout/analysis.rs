//! Canary analysis of the evidence from targets.

use lynxcleat_policy::{
    CallKind, CanaryAnalysis, Fault, ObservedCalls, Outcome, Readiness, TargetEvidence,
};

/// Evidence of a hundred calls at one target, of which `failed` fail and `slow` are slow.
fn evidence(host: &str, version: &str, failed: u32, slow: u32) -> TargetEvidence {
    let mut evidence = TargetEvidence {
        host: host.to_owned(),
        version: version.to_owned(),
        ..TargetEvidence::default()
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

fn with_baseline() -> CanaryAnalysis {
    let mut analysis = CanaryAnalysis::default();
    for host in ["a", "b", "c"] {
        analysis.add_evidence(0, &evidence(host, "v1", 1, 2), false);
    }
    analysis
}

#[test]
fn one_bad_target_is_excluded_and_two_reject_the_version() {
    let mut analysis = with_baseline();
    analysis.add_evidence(0, &evidence("x", "v2", 30, 0), true);
    assert!(analysis.excluded_hosts().contains("x"));
    assert_eq!(analysis.fault(3), None);
    assert_eq!(
        analysis.fault(1),
        Some(Fault::TooManyBad),
        "it is the only target"
    );
    analysis.add_evidence(0, &evidence("y", "v2", 0, 1), true);
    assert_eq!(analysis.fault(3), None);
    assert_eq!(
        analysis.readiness(),
        Readiness::Good,
        "the other target is good"
    );
    analysis.add_evidence(0, &evidence("z", "v2", 0, 30), true);
    assert_eq!(analysis.fault(3), Some(Fault::Slowness));
}

#[test]
fn repeated_and_late_copies_of_evidence_change_nothing() {
    let mut analysis = with_baseline();
    let mut later = evidence("x", "v2", 2, 0);
    let early = later.clone();
    later.count(CallKind(0), Outcome::Served(Some(100_000)));
    analysis.add_evidence(0, &later, true);
    let observed = analysis.observed_calls();
    let expected = ObservedCalls {
        calls: 101,
        failed: 2,
        slow: 0,
    };
    assert_eq!(observed, expected);
    for copy in [&early, &later, &early] {
        analysis.add_evidence(0, copy, true);
    }
    assert_eq!(analysis.observed_calls(), observed);
}

#[test]
fn a_version_with_too_few_calls_is_not_found_good() {
    let mut analysis = with_baseline();
    assert_eq!(analysis.readiness(), Readiness::TooFew);
    analysis.add_evidence(0, &evidence("x", "v2", 0, 0), true);
    assert_eq!(analysis.readiness(), Readiness::Good);
    let mut other = evidence("a", "v1", 0, 0);
    for _ in 0..300 {
        other.count(CallKind(1), Outcome::Served(Some(100_000)));
    }
    analysis.add_evidence(0, &other, false);
    assert_eq!(
        analysis.readiness(),
        Readiness::TooFew,
        "no calls of the second kind"
    );
}
