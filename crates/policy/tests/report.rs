//! Reports of a target that are delayed and reordered, compared with a reference model.

use std::collections::BTreeSet;

use lynxcleat_policy::{ReportEffect, ReportedState, TargetReport, TargetReports};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use rstest::rstest;

fn report(instance: u8, state: ReportedState, sequence: Option<u64>) -> TargetReport {
    TargetReport {
        instance: format!("i-{instance}"),
        started_ms: None,
        version: None,
        service: Some("stock".to_owned()),
        state,
        sequence,
        slots: Some(4),
        cold_ms: 0,
    }
}

fn ready(reports: &TargetReports) -> Option<&str> {
    reports.ready().map(|target| target.instance.as_str())
}

#[rstest]
#[case::draining(ReportedState::Draining, Some(7))]
#[case::gone(ReportedState::Gone, None)]
fn draining_and_gone_are_final_for_an_incarnation(
    #[case] state: ReportedState,
    #[case] sequence: Option<u64>,
) {
    let mut reports = TargetReports::default();
    assert_eq!(ready(&reports), None, "no report yet");
    reports.apply(report(1, ReportedState::Ready, Some(3)));
    assert_eq!(ready(&reports), Some("i-1"));
    assert_eq!(
        reports.apply(report(1, state, sequence)),
        ReportEffect::Changed
    );
    assert_eq!(ready(&reports), None);
    for late in [2, 4, 90] {
        reports.apply(report(1, ReportedState::Ready, Some(late)));
        assert_eq!(ready(&reports), None);
    }
    reports.apply(report(2, ReportedState::Ready, Some(1)));
    assert_eq!(ready(&reports), Some("i-2"));
    assert_eq!(
        reports.apply(report(1, ReportedState::Ready, Some(91))),
        ReportEffect::Ignored
    );
    assert_eq!(
        ready(&reports),
        Some("i-2"),
        "a replaced incarnation stays replaced"
    );
}

#[rstest]
#[case::new_one_first([2, 1])]
#[case::old_one_first([1, 2])]
fn a_delayed_report_does_not_replace_the_incarnation_at_the_address(#[case] order: [u8; 2]) {
    // As after a restart of the daemon, when it knows neither incarnation.
    let mut reports = TargetReports::default();
    for sequence in 0..4 {
        for instance in order {
            let number = sequence + u64::from(instance) * 10;
            let effect = reports.apply(report(instance, ReportedState::Ready, Some(number)));
            if effect == ReportEffect::Conflict {
                reports.resolve_conflict(Some("i-2"));
            }
        }
        assert_eq!(ready(&reports), Some("i-2"), "{sequence}");
    }
}

#[test]
fn without_an_answer_the_conflicting_incarnation_becomes_current_and_the_other_may_return() {
    let mut reports = TargetReports::default();
    reports.apply(report(1, ReportedState::Ready, Some(1)));
    let effect = reports.apply(report(2, ReportedState::Ready, Some(1)));
    assert_eq!(effect, ReportEffect::Conflict);
    assert_eq!(
        ready(&reports),
        Some("i-1"),
        "unchanged until the conflict is resolved"
    );
    assert_eq!(reports.resolve_conflict(None), ReportEffect::Changed);
    assert_eq!(ready(&reports), Some("i-2"));
    reports.apply(report(1, ReportedState::Ready, Some(2)));
    assert_eq!(reports.resolve_conflict(Some("i-1")), ReportEffect::Changed);
    assert_eq!(ready(&reports), Some("i-1"));
    assert_eq!(
        reports.apply(report(2, ReportedState::Ready, Some(2))),
        ReportEffect::Ignored,
        "another incarnation answered at the address"
    );
    assert_eq!(reports.resolve_conflict(Some("i-1")), ReportEffect::Ignored);
}

#[test]
fn a_conflicting_incarnation_that_ended_meanwhile_does_not_become_current() {
    let mut reports = TargetReports::default();
    reports.apply(report(1, ReportedState::Ready, Some(1)));
    reports.apply(report(2, ReportedState::Ready, Some(1)));
    reports.apply(report(2, ReportedState::Gone, None));
    assert_eq!(reports.resolve_conflict(Some("i-2")), ReportEffect::Ignored);
    assert_eq!(ready(&reports), Some("i-1"));
}

#[test]
fn a_confirmed_incarnation_becomes_current_unless_it_ended_or_another_one_reported() {
    let healthy = || report(1, ReportedState::Ready, None);
    let mut reports = TargetReports::default();
    assert_eq!(reports.confirm(healthy()), ReportEffect::Changed);
    assert_eq!(ready(&reports), Some("i-1"));
    reports.apply(report(1, ReportedState::Draining, Some(1)));
    assert_eq!(ready(&reports), None, "a later report still applies");
    let mut marked = TargetReports::default();
    marked.mark_ended("i-1", None, ReportedState::Draining);
    assert_eq!(marked.confirm(healthy()), ReportEffect::Ignored);
    let mut reported = TargetReports::default();
    reported.apply(report(2, ReportedState::Draining, Some(1)));
    assert_eq!(reported.confirm(healthy()), ReportEffect::Ignored);
    assert_eq!(ready(&reported), None);
}

#[test]
fn a_stored_end_of_an_earlier_run_applies_before_and_after_a_report() {
    let mut marked_first = TargetReports::default();
    marked_first.mark_ended("i-1", None, ReportedState::Draining);
    marked_first.apply(report(1, ReportedState::Ready, Some(5)));
    assert_eq!(ready(&marked_first), None);
    let mut reported_first = TargetReports::default();
    reported_first.apply(report(1, ReportedState::Ready, Some(5)));
    let effect = reported_first.mark_ended("i-1", None, ReportedState::Draining);
    assert_eq!(effect, ReportEffect::Changed);
    assert_eq!(ready(&reported_first), None);
}

proptest! {
    #![proptest_config(Config { rng_seed: RngSeed::Fixed(2), cases: 1_000, failure_persistence: None, ..Config::default() })]

    /// For any order of reports, an incarnation that ended or was replaced never becomes ready
    /// again.
    #[test]
    fn an_ended_incarnation_never_becomes_ready_again(
        steps in prop::collection::vec((1..5_u8, 0..4_u8, 0..10_u64), 1..100)
    ) {
        let mut reports = TargetReports::default();
        let mut ended = BTreeSet::new();
        for (instance, kind, sequence) in steps {
            let before = ready(&reports).map(str::to_owned);
            match kind {
                0 | 1 => {
                    let effect = reports.apply(report(instance, ReportedState::Ready, Some(sequence)));
                    if effect == ReportEffect::Conflict {
                        // The conflicting incarnation answers at the address.
                        reports.resolve_conflict(Some(&format!("i-{instance}")));
                    }
                }
                2 => drop(reports.apply(report(instance, ReportedState::Gone, None))),
                _ => drop(reports.mark_replaced(&format!("i-{instance}"))),
            }
            if kind >= 2 {
                ended.insert(format!("i-{instance}"));
            }
            let now = ready(&reports).map(str::to_owned);
            if let (Some(before), Some(now)) = (&before, &now) && before != now {
                ended.insert(before.clone());
            }
            if let Some(now) = &now {
                prop_assert!(!ended.contains(now), "{now} is ready again");
            }
        }
    }
}

/// Reference model of the current incarnation.
#[derive(Default)]
struct CurrentStart {
    start: u64,
    sequence: Option<u64>,
    /// The last report of an earlier start since its own last report.
    earlier: Option<(u64, u64)>,
}

fn report_of_start(started_ms: u64, state: ReportedState, sequence: u64) -> TargetReport {
    TargetReport {
        started_ms: Some(started_ms),
        ..report(1, state, Some(sequence))
    }
}

#[test]
fn a_stored_end_of_an_earlier_run_binds_that_start_only() {
    let mut reports = TargetReports::default();
    reports.mark_ended("i-1", Some(100), ReportedState::Draining);
    reports.apply(report_of_start(100, ReportedState::Ready, 7));
    assert_eq!(ready(&reports), None);
    reports.apply(report_of_start(200, ReportedState::Ready, 1));
    assert_eq!(ready(&reports), Some("i-1"));
    let late = reports.mark_ended("i-1", Some(100), ReportedState::Gone);
    assert_eq!(late, ReportEffect::Ignored);
    assert_eq!(ready(&reports), Some("i-1"));
    let mut unreported = TargetReports::default();
    unreported.mark_ended("i-1", Some(100), ReportedState::Draining);
    unreported.apply(report_of_start(200, ReportedState::Ready, 1));
    assert_eq!(
        ready(&unreported),
        Some("i-1"),
        "only the earlier start is draining"
    );
}

#[test]
fn a_restart_is_another_incarnation_but_a_first_reported_start_time_is_not() {
    let mut reports = TargetReports::default();
    reports.confirm(report(1, ReportedState::Ready, None));
    let confirmed = reports.current().cloned().expect("a current target");
    reports.apply(report_of_start(100, ReportedState::Ready, 3));
    let reported = reports.current().cloned().expect("a current target");
    assert!(
        !reported.is_other_than(&confirmed),
        "the confirmed start time was unknown"
    );
    reports.apply(report_of_start(200, ReportedState::Ready, 1));
    let restarted = reports.current().expect("a current target");
    assert!(restarted.is_other_than(&reported));
}

proptest! {
    #![proptest_config(Config { rng_seed: RngSeed::Fixed(3), cases: 1_000, failure_persistence: None, ..Config::default() })]

    /// For reports of several starts under one name in any order, the latest start decides, unless
    /// an earlier one goes on reporting while it is silent. Its sequence numbers are independent of
    /// those of other starts, and its end is final, however late it is reported.
    #[test]
    fn the_latest_start_decides(
        steps in prop::collection::vec((1..5_u64, any::<bool>(), 0..10_u64), 1..60)
    ) {
        let mut reports = TargetReports::default();
        let mut current: Option<CurrentStart> = None;
        let mut ended = BTreeSet::new();
        for (start, is_draining, sequence) in steps {
            let state = if is_draining { ReportedState::Draining } else { ReportedState::Ready };
            reports.apply(report_of_start(start, state, sequence));
            let known = current.get_or_insert(CurrentStart { start, ..CurrentStart::default() });
            let follows = known.earlier.is_some_and(|(earlier, last)| {
                earlier == start && last < sequence
            });
            if start > known.start || start < known.start && follows {
                *known = CurrentStart { start, ..CurrentStart::default() };
            }
            if start < known.start {
                known.earlier = Some((start, sequence));
            } else if known.sequence.is_none_or(|last| sequence > last) {
                known.sequence = Some(sequence);
                known.earlier = None;
            } else if is_draining && !ended.contains(&start) {
                known.earlier = None;
            }
            if start == known.start && is_draining {
                ended.insert(start);
            }
            // What is remembered of ends is the end of the latest start that ended.
            let has_ended = ended.last().is_some_and(|last| *last >= known.start);
            prop_assert_eq!(reports.ready().is_some(), !has_ended);
        }
    }
}

/// Guards against targets that get calls after their acknowledged departure, since their clock was
/// set back between two starts.
#[rstest]
#[case::it_was_ready_twice(ReportedState::Ready)]
#[case::it_leaves_twice(ReportedState::Draining)]
fn a_start_under_a_clock_that_was_set_back_is_current_once_it_goes_on_reporting(
    #[case] state: ReportedState,
) {
    let mut reports = TargetReports::default();
    reports.apply(report_of_start(3_000, ReportedState::Ready, 4));
    reports.apply(report_of_start(1_000, state, 1));
    assert_eq!(
        reports.current().and_then(|one| one.started_ms),
        Some(3_000)
    );
    assert!(
        reports.outlives("i-1", Some(1_000)),
        "its end is not in force"
    );
    reports.apply(report_of_start(1_000, state, 2));
    assert_eq!(
        reports.current().and_then(|one| one.started_ms),
        Some(1_000)
    );
    reports.apply(report_of_start(1_000, ReportedState::Draining, 3));
    assert_eq!(ready(&reports), None);
    assert!(!reports.outlives("i-1", Some(1_000)), "its end is in force");
}

#[test]
fn late_reports_of_an_earlier_start_change_nothing() {
    let mut reports = TargetReports::default();
    reports.apply(report_of_start(3_000, ReportedState::Ready, 4));
    for number in 5..8 {
        reports.apply(report_of_start(1_000, ReportedState::Draining, 90 + number));
        reports.apply(TargetReport {
            sequence: None,
            ..report_of_start(1_000, ReportedState::Gone, 0)
        });
        assert_eq!(ready(&reports), Some("i-1"));
        reports.apply(report_of_start(3_000, ReportedState::Ready, number));
    }
    assert_eq!(
        reports.current().and_then(|one| one.started_ms),
        Some(3_000)
    );
}

/// Guards against departures that are taken for old ones, since a report of another writer had a
/// higher sequence number.
#[rstest]
#[case::of_no_service("nosuch")]
#[case::of_its_service("stock")]
fn a_departure_binds_after_a_report_of_another_writer(#[case] service: &str) {
    let mut reports = TargetReports::default();
    reports.apply(report(1, ReportedState::Ready, Some(3)));
    reports.apply(TargetReport {
        service: Some(service.to_owned()),
        ..report(1, ReportedState::Ready, Some(1_003))
    });
    reports.apply(report(1, ReportedState::Draining, Some(4)));
    assert_eq!(ready(&reports), None);
}

/// Guards against reports of a target that are taken for old ones after a report in its name of a
/// service that is not its own.
#[test]
fn a_report_of_another_service_counts_for_nothing() {
    let mut reports = TargetReports::default();
    reports.apply(report(1, ReportedState::Ready, Some(3)));
    let strange = TargetReport {
        service: Some("nosuch".to_owned()),
        slots: Some(9),
        ..report(1, ReportedState::Ready, Some(1_003))
    };
    assert_eq!(reports.apply(strange), ReportEffect::Ignored);
    let own = report(1, ReportedState::Ready, Some(4));
    assert_eq!(reports.apply(own), ReportEffect::Refreshed);
    assert_eq!(reports.current().and_then(|target| target.slots), Some(4));
}
