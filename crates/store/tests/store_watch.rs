//! Tests of how old a member's knowledge of the settings is.

use std::time::Duration;

use lynxcleat_store::{FeedLimits, FeedRole, KnowledgeReport, StandIn, StoreWatch, WatcherPoll};

const SECOND: Duration = Duration::from_secs(1);
const RANK: usize = 9;

fn watch() -> StoreWatch {
    StoreWatch::new(FeedLimits::within(2 * SECOND))
}

fn report(seconds: u64, generation: u64) -> KnowledgeReport {
    KnowledgeReport {
        as_of: SECOND * seconds as u32,
        generation,
    }
}

fn poll(rank: usize, seconds: u64) -> WatcherPoll {
    WatcherPoll {
        rank,
        at: SECOND * seconds as u32,
    }
}

/// Guards against a member that takes itself for informed since peers say that the store answers,
/// while none of them could give it the settings that it answered.
#[test]
fn a_report_counts_once_its_generation_is_in_force() {
    let mut watch = watch();
    watch.record_report(report(5, 7), 6);
    watch.record_report(report(6, 7), 6);
    assert_eq!(watch.age(SECOND * 6), SECOND * 6);
    watch.put_in_force(7);
    assert_eq!(watch.age(SECOND * 6), Duration::ZERO);
}

#[test]
fn a_report_of_a_newer_generation_replaces_the_one_that_waits() {
    let mut watch = watch();
    watch.record_report(report(5, 7), 6);
    watch.record_report(report(6, 8), 6);
    watch.put_in_force(7);
    assert_eq!(watch.age(SECOND * 6), SECOND * 6);
    watch.put_in_force(8);
    assert_eq!(watch.age(SECOND * 6), Duration::ZERO);
}

#[test]
fn knowledge_never_moves_back() {
    let mut watch = watch();
    watch.record_response(SECOND * 5, 0);
    watch.record_report(report(3, 1), 1);
    watch.record_response(SECOND * 4, 0);
    assert_eq!(watch.age(SECOND * 5), Duration::ZERO);
}

#[test]
fn a_member_without_word_becomes_overdue_and_stands_in() {
    let mut watch = watch();
    watch.record_report(report(5, 1), 1);
    let left = watch.time_until_overdue(SECOND * 5, RANK);
    assert!(left > SECOND && left < SECOND * 2, "{left:?}");
    assert!(watch.time_until_overdue(SECOND * 5 + left, RANK).is_zero());
    assert_eq!(watch.role(9), FeedRole::Listen);
    assert!(watch.step_in(SECOND * 7, 9));
    assert_eq!(watch.role(9), FeedRole::Watch);
    assert!(!watch.step_in(SECOND * 8, 9), "it does already");
    watch.record_response(SECOND * 7, 9);
    assert!(
        !watch.time_until_overdue(SECOND * 8, RANK).is_zero(),
        "its own poll counts"
    );
}

#[test]
fn a_watcher_stays_a_watcher_when_it_is_overdue() {
    let mut watch = watch();
    assert!(!watch.step_in(SECOND * 7, 1));
    watch.record_poll(1, poll(0, 9));
    assert_eq!(watch.role(1), FeedRole::Watch);
}

#[test]
fn peers_are_told_of_a_response_unless_they_were_told_just_before() {
    let mut watch = watch();
    watch.record_response(SECOND, 0);
    assert!(watch.take_report());
    assert!(!watch.take_report());
    watch.record_response(SECOND + Duration::from_millis(500), 0);
    assert!(!watch.take_report());
    watch.record_response(SECOND * 2, 0);
    assert!(watch.take_report());
}

#[test]
fn a_member_stands_in_until_one_before_it_polls() {
    let mut stand_in = StandIn::new(SECOND * 3);
    stand_in.record(2, poll(0, 10));
    stand_in.begin(SECOND * 14);
    let kept_on = [
        (poll(0, 10), "a report of a poll before it was lost"),
        (poll(2, 20), "its own"),
        (poll(5, 20), "one after it"),
    ];
    for (other, why) in kept_on {
        assert!(!stand_in.record(2, other), "{why}");
    }
    assert!(stand_in.is_active());
    assert!(stand_in.record(2, poll(1, 15)));
    assert!(!stand_in.is_active());
}

#[test]
fn the_poll_of_the_first_member_is_reported_until_it_is_old() {
    let mut stand_in = StandIn::new(SECOND * 15);
    let reported = |stand_in: &StandIn, seconds: u64| stand_in.first_poll(SECOND * seconds as u32);
    stand_in.record(4, poll(1, 1));
    stand_in.record(4, poll(2, 5));
    assert_eq!(reported(&stand_in, 6), Some(poll(1, 1)));
    stand_in.record(4, poll(1, 3));
    assert_eq!(reported(&stand_in, 6), Some(poll(1, 3)));
    assert_eq!(reported(&stand_in, 18), None, "it may be lost");
    stand_in.record(4, poll(2, 19));
    assert_eq!(reported(&stand_in, 20), Some(poll(2, 19)));
}
