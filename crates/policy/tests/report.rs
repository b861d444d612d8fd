//! Reports of a target, late and out of order, against a plain model.

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

fn open(reports: &TargetReports) -> Option<&str> {
    reports.open().map(|target| target.instance.as_str())
}

#[rstest]
#[case::draining(ReportedState::Draining, Some(7))]
#[case::gone(ReportedState::Gone, None)]
fn an_end_is_final_for_an_incarnation(#[case] state: ReportedState, #[case] sequence: Option<u64>) {
    let mut reports = TargetReports::default();
    assert_eq!(open(&reports), None, "nothing was heard");
    reports.take(report(1, ReportedState::Ready, Some(3)));
    assert_eq!(open(&reports), Some("i-1"));
    assert_eq!(
        reports.take(report(1, state, sequence)),
        ReportEffect::Changed
    );
    assert_eq!(open(&reports), None);
    for late in [2, 4, 90] {
        reports.take(report(1, ReportedState::Ready, Some(late)));
        assert_eq!(open(&reports), None);
    }
    reports.take(report(2, ReportedState::Ready, Some(1)));
    assert_eq!(open(&reports), Some("i-2"));
    assert_eq!(
        reports.take(report(1, ReportedState::Ready, Some(91))),
        ReportEffect::Nothing
    );
    assert_eq!(open(&reports), Some("i-2"), "the old one never comes back");
}

#[rstest]
#[case::the_new_one_first([2, 1])]
#[case::the_old_one_first([1, 2])]
fn a_report_that_was_held_back_does_not_displace_who_stands_there(#[case] order: [u8; 2]) {
    // After a restart of the daemon nothing else is known of either.
    let mut reports = TargetReports::default();
    for sequence in 0..4 {
        for instance in order {
            let number = sequence + u64::from(instance) * 10;
            let taken = reports.take(report(instance, ReportedState::Ready, Some(number)));
            if taken == ReportEffect::Rival {
                reports.settle_rival(Some("i-2"));
            }
        }
        assert_eq!(open(&reports), Some("i-2"), "{sequence}");
    }
}

#[test]
fn without_an_answer_the_newcomer_takes_the_place_and_the_other_may_come_back() {
    let mut reports = TargetReports::default();
    reports.take(report(1, ReportedState::Ready, Some(1)));
    let taken = reports.take(report(2, ReportedState::Ready, Some(1)));
    assert_eq!(taken, ReportEffect::Rival);
    assert_eq!(open(&reports), Some("i-1"), "until it is asked");
    assert_eq!(reports.settle_rival(None), ReportEffect::Changed);
    assert_eq!(open(&reports), Some("i-2"));
    reports.take(report(1, ReportedState::Ready, Some(2)));
    assert_eq!(reports.settle_rival(Some("i-1")), ReportEffect::Changed);
    assert_eq!(open(&reports), Some("i-1"));
    assert_eq!(
        reports.take(report(2, ReportedState::Ready, Some(2))),
        ReportEffect::Nothing,
        "it was seen not to stand there any more"
    );
    assert_eq!(reports.settle_rival(Some("i-1")), ReportEffect::Nothing);
}

#[test]
fn a_rival_that_ended_meanwhile_takes_no_place() {
    let mut reports = TargetReports::default();
    reports.take(report(1, ReportedState::Ready, Some(1)));
    reports.take(report(2, ReportedState::Ready, Some(1)));
    reports.take(report(2, ReportedState::Gone, None));
    assert_eq!(reports.settle_rival(Some("i-2")), ReportEffect::Nothing);
    assert_eq!(open(&reports), Some("i-1"));
}

#[test]
fn a_target_that_says_itself_who_it_is_is_taken_unless_it_ended_or_another_reported() {
    let well = || report(1, ReportedState::Ready, None);
    let mut reports = TargetReports::default();
    assert_eq!(reports.confirm(well()), ReportEffect::Changed);
    assert_eq!(open(&reports), Some("i-1"));
    reports.take(report(1, ReportedState::Draining, Some(1)));
    assert_eq!(open(&reports), None, "its reports count as before");
    let mut marked = TargetReports::default();
    marked.mark_ended("i-1", None, ReportedState::Draining);
    assert_eq!(marked.confirm(well()), ReportEffect::Nothing);
    let mut reported = TargetReports::default();
    reported.take(report(2, ReportedState::Draining, Some(1)));
    assert_eq!(reported.confirm(well()), ReportEffect::Nothing);
    assert_eq!(open(&reported), None);
}

#[test]
fn a_mark_left_by_an_earlier_run_holds_whichever_comes_first() {
    let mut marked_first = TargetReports::default();
    marked_first.mark_ended("i-1", None, ReportedState::Draining);
    marked_first.take(report(1, ReportedState::Ready, Some(5)));
    assert_eq!(open(&marked_first), None);
    let mut reported_first = TargetReports::default();
    reported_first.take(report(1, ReportedState::Ready, Some(5)));
    let effect = reported_first.mark_ended("i-1", None, ReportedState::Draining);
    assert_eq!(effect, ReportEffect::Changed);
    assert_eq!(open(&reported_first), None);
}

proptest! {
    #![proptest_config(Config { rng_seed: RngSeed::Fixed(2), cases: 1_000, failure_persistence: None, ..Config::default() })]

    /// Whatever order reports come in: an incarnation that was seen to end is never open
    /// again, nor is one whose place another took.
    #[test]
    fn what_ended_never_opens_again(
        steps in prop::collection::vec((1..5_u8, 0..4_u8, 0..10_u64), 1..100)
    ) {
        let mut reports = TargetReports::default();
        let mut ended = BTreeSet::new();
        for (instance, kind, sequence) in steps {
            let before = open(&reports).map(str::to_owned);
            match kind {
                0 | 1 => {
                    let taken = reports.take(report(instance, ReportedState::Ready, Some(sequence)));
                    if taken == ReportEffect::Rival {
                        // It stands at the address.
                        reports.settle_rival(Some(&format!("i-{instance}")));
                    }
                }
                2 => drop(reports.take(report(instance, ReportedState::Gone, None))),
                _ => drop(reports.mark_replaced(&format!("i-{instance}"))),
            }
            if kind >= 2 {
                ended.insert(format!("i-{instance}"));
            }
            let now = open(&reports).map(str::to_owned);
            if let (Some(before), Some(now)) = (&before, &now) && before != now {
                ended.insert(before.clone());
            }
            if let Some(now) = &now {
                prop_assert!(!ended.contains(now), "{now} is open again");
            }
        }
    }
}

fn report_of_start(started_ms: u64, state: ReportedState, sequence: u64) -> TargetReport {
    TargetReport {
        started_ms: Some(started_ms),
        ..report(1, state, Some(sequence))
    }
}

#[test]
fn what_an_earlier_run_of_the_daemon_left_word_of_binds_that_start_only() {
    let mut reports = TargetReports::default();
    reports.mark_ended("i-1", Some(100), ReportedState::Draining);
    reports.take(report_of_start(100, ReportedState::Ready, 7));
    assert_eq!(open(&reports), None);
    reports.take(report_of_start(200, ReportedState::Ready, 1));
    assert_eq!(open(&reports), Some("i-1"));
    let late = reports.mark_ended("i-1", Some(100), ReportedState::Gone);
    assert_eq!(late, ReportEffect::Nothing);
    assert_eq!(open(&reports), Some("i-1"));
    let mut unheard = TargetReports::default();
    unheard.mark_ended("i-1", Some(100), ReportedState::Draining);
    unheard.take(report_of_start(200, ReportedState::Ready, 1));
    assert_eq!(open(&unheard), Some("i-1"), "the start before left");
}

#[test]
fn a_target_that_started_again_is_another_than_before_but_not_for_saying_when() {
    let mut reports = TargetReports::default();
    reports.confirm(report(1, ReportedState::Ready, None));
    let confirmed = reports.in_place().cloned().expect("it is in place");
    reports.take(report_of_start(100, ReportedState::Ready, 3));
    let said = reports.in_place().cloned().expect("it is in place");
    assert!(!said.is_other_than(&confirmed), "the same, as far as known");
    reports.take(report_of_start(200, ReportedState::Ready, 1));
    let again = reports.in_place().expect("it is in place");
    assert!(again.is_other_than(&said));
}

proptest! {
    #![proptest_config(Config { rng_seed: RngSeed::Fixed(3), cases: 1_000, failure_persistence: None, ..Config::default() })]

    /// Reports of several starts under one name, in any order: the latest start that was heard
    /// of decides, by its own numbers, and what ended under it stays ended.
    #[test]
    fn the_latest_start_decides(
        steps in prop::collection::vec((1..5_u64, any::<bool>(), 0..10_u64), 1..60)
    ) {
        let mut reports = TargetReports::default();
        let mut latest: Option<(u64, u64, bool)> = None;
        for (start, drains, number) in steps {
            let state = if drains { ReportedState::Draining } else { ReportedState::Ready };
            reports.take(report_of_start(start, state, number));
            latest = Some(match latest {
                Some((known, last, ended)) if known == start && number > last => {
                    (known, number, ended || drains)
                }
                Some(known) if known.0 >= start => known,
                _ => (start, number, drains),
            });
            let is_open = latest.is_some_and(|(_, _, ended)| !ended);
            prop_assert_eq!(reports.open().is_some(), is_open);
        }
    }
}
