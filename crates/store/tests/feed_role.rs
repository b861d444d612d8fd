//! Tests of which members follow the store, and when the others ask it, at different fleet sizes.

use std::time::Duration;

use lynxcleat_store::{FeedLimits, FeedRole, Follower, feed_role};
use rstest::rstest;

const IN_FORCE: Duration = Duration::from_secs(2);
/// Bounds of the users' deployments.
const BOUNDS_MS: [u64; 3] = [2_000, 2_500, 4_000];

/// Guards against a call count that grows with the fleet. While a fleet starts, changes arrive
/// in quick succession, and each ends the long polls of all followers. When every daemon was a
/// follower, 88 daemons made 440 calls in the four seconds of this test.
#[test]
fn store_calls_under_continuous_changes_do_not_grow_with_the_fleet() {
    let calls = |members: usize| -> usize {
        let follows = |rank: &usize| feed_role(*rank, false) != FeedRole::Listen;
        let calls_per_follower = |_| {
            let mut follower = Follower::default();
            let mut elapsed = Duration::ZERO;
            let mut calls = 0;
            while elapsed < Duration::from_secs(4) {
                elapsed += follower.batch_pause(Duration::from_millis(5), true);
                calls += 1;
            }
            calls
        };
        (0..members).filter(follows).map(calls_per_follower).sum()
    };
    assert!(
        calls(2) >= 12,
        "a small fleet reads changes soon: {}",
        calls(2)
    );
    assert!(calls(88) <= 64, "{}", calls(88));
    assert_eq!(calls(88), calls(1_000));
}

#[test]
fn watchers_poll_often_and_other_followers_use_long_polls() {
    let roles = [0, 1, 2, 7, 8, 290].map(|rank| feed_role(rank, false));
    assert_eq!(
        roles,
        [
            FeedRole::Watch,
            FeedRole::Watch,
            FeedRole::Follow,
            FeedRole::Follow,
            FeedRole::Listen,
            FeedRole::Listen,
        ]
    );
}

#[test]
fn a_member_that_stands_in_polls_as_a_watcher() {
    for rank in [2, 7, 8, 290] {
        assert_eq!(feed_role(rank, true), FeedRole::Watch, "rank {rank}");
    }
}

/// Guards against delays that add up over the ranks of a large fleet: with a step for each, the
/// member of rank 290 asked after 76 s.
#[rstest]
fn every_member_asks_in_time_for_the_response(
    #[values(BOUNDS_MS[0], BOUNDS_MS[1], BOUNDS_MS[2])] bound_ms: u64,
) {
    let bound = Duration::from_millis(bound_ms);
    let limits = FeedLimits::within(bound);
    for rank in (0..3_000).chain([usize::MAX]) {
        let age = limits.overdue_age(rank);
        assert!(age <= bound * 8 / 10, "rank {rank}: {age:?} of {bound:?}");
    }
}

/// Guards against calls on calm days by members that merely wait for the next report.
#[test]
fn no_member_asks_before_a_poll_could_be_reported() {
    for bound_ms in BOUNDS_MS {
        let bound = Duration::from_millis(bound_ms);
        let limits = FeedLimits::within(bound);
        assert!(limits.report < limits.poll);
        assert!(limits.overdue_age(0) >= limits.poll + bound / 5);
    }
}

/// Guards against a fleet that asks all at once: the response to the first reaches most others
/// before they ask.
#[test]
fn members_ask_in_the_order_of_their_ranks() {
    let limits = FeedLimits::within(IN_FORCE);
    let ages: Vec<Duration> = (0..300).map(|rank| limits.overdue_age(rank)).collect();
    assert!(ages.is_sorted());
    assert!(ages[8] - ages[2] >= Duration::from_millis(70));
    assert!(ages[9] - ages[8] >= Duration::from_millis(45));
    assert!(ages[10] - ages[9] >= Duration::from_millis(20));
}
