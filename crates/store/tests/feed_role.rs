//! Tests of which members follow the store, at different fleet sizes.

use std::time::Duration;

use lynxcleat_store::{FeedRole, Follower, MemberStatus, StandIn, WatcherPoll, feed_role};

const WATCH: Duration = Duration::from_secs(1);

fn status(rank: usize, silence: Duration) -> MemberStatus {
    MemberStatus {
        rank,
        has_peers: true,
        silence,
        stands_in: false,
    }
}

/// Guards against a call count that grows with the fleet. While a fleet starts, changes arrive
/// in quick succession, and each ends the long polls of all followers. When every daemon was a
/// follower, 88 daemons made 440 calls in the four seconds of this test.
#[test]
fn store_calls_under_continuous_changes_do_not_grow_with_the_fleet() {
    let calls = |members: usize| -> usize {
        let follows = |rank: &usize| {
            let role = feed_role(status(*rank, Duration::ZERO), WATCH);
            matches!(role, FeedRole::Follow { .. })
        };
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
    let at = |rank| feed_role(status(rank, Duration::ZERO), WATCH);
    assert_eq!(at(0), FeedRole::Follow { wait: Some(WATCH) });
    assert_eq!(at(1), FeedRole::Follow { wait: Some(WATCH) });
    assert_eq!(at(2), FeedRole::Follow { wait: None });
    assert_eq!(at(7), FeedRole::Follow { wait: None });
    assert!(matches!(at(8), FeedRole::Listen(_)));
}

#[test]
fn non_followers_query_the_store_in_rank_order_after_a_silence() {
    let queries_store = |rank, silence| {
        let role = feed_role(status(rank, silence), WATCH);
        role == FeedRole::StandIn
    };
    let querying = |silence| {
        (8..300)
            .filter(|rank| queries_store(*rank, silence))
            .count()
    };
    assert_eq!(querying(Duration::from_millis(5_900)), 0);
    assert_eq!(querying(Duration::from_millis(6_100)), 1);
    assert_eq!(querying(Duration::from_millis(8_100)), 9);
}

#[test]
fn a_listener_becomes_a_follower_after_the_returned_time() {
    for rank in [8, 20, 290] {
        let FeedRole::Listen(remaining) = feed_role(status(rank, Duration::from_secs(2)), WATCH)
        else {
            panic!("rank {rank} follows");
        };
        let silence_at_end = Duration::from_secs(2) + remaining;
        let role = feed_role(status(rank, silence_at_end), WATCH);
        assert_eq!(role, FeedRole::StandIn);
    }
}

#[test]
fn a_member_without_peers_does_not_wait_for_its_rank() {
    let without_peers = |silence| {
        let status = MemberStatus {
            rank: 290,
            has_peers: false,
            silence,
            stands_in: false,
        };
        feed_role(status, WATCH)
    };
    assert!(matches!(
        without_peers(Duration::from_secs(1)),
        FeedRole::Listen(_)
    ));
    assert!(matches!(
        without_peers(Duration::from_millis(2_001)),
        FeedRole::StandIn
    ));
}

/// Guards against a fleet that nobody watches: the rows of two lost watchers keep the first two
/// ranks, and the long polls of the other followers do not end on connections that fell silent.
#[test]
fn a_follower_stands_in_for_watchers_that_are_not_heard_of() {
    let role = |rank, seconds| feed_role(status(rank, Duration::from_secs_f64(seconds)), WATCH);
    assert_eq!(role(2, 3.9), FeedRole::Follow { wait: None });
    assert_eq!(role(2, 4.0), FeedRole::StandIn);
    assert_eq!(role(3, 4.2), FeedRole::Follow { wait: None });
    assert_eq!(role(3, 4.25), FeedRole::StandIn);
    let standing_in = MemberStatus {
        stands_in: true,
        ..status(2, Duration::ZERO)
    };
    let polls = FeedRole::Follow { wait: Some(WATCH) };
    assert_eq!(
        feed_role(standing_in, WATCH),
        polls,
        "though its own polls end the silence"
    );
}

fn poll(rank: usize, seconds: u64) -> WatcherPoll {
    WatcherPoll {
        rank,
        at: Duration::from_secs(seconds),
    }
}

#[test]
fn a_member_stands_in_until_one_before_it_polls() {
    let mut stand_in = StandIn::default();
    stand_in.record(2, poll(0, 10));
    stand_in.begin(Duration::from_secs(14));
    let kept_on = [
        (poll(0, 10), "a report of a poll before it was lost"),
        (poll(2, 20), "its own"),
        (poll(5, 20), "one after it"),
    ];
    for (other, why) in kept_on {
        assert!(!stand_in.record(2, other), "{why}");
    }
    assert!(stand_in.is_active());
    assert!(stand_in.record(2, poll(1, 21)));
    assert!(!stand_in.is_active());
}

#[test]
fn the_poll_of_the_first_member_is_reported_until_it_is_old() {
    let mut stand_in = StandIn::default();
    let reported = |stand_in: &StandIn, seconds| stand_in.first_poll(Duration::from_secs(seconds));
    stand_in.record(4, poll(1, 1));
    stand_in.record(4, poll(2, 5));
    assert_eq!(reported(&stand_in, 6), Some(poll(1, 1)));
    stand_in.record(4, poll(1, 3));
    assert_eq!(reported(&stand_in, 6), Some(poll(1, 3)));
    assert_eq!(reported(&stand_in, 18), None, "it may be lost");
    stand_in.record(4, poll(2, 19));
    assert_eq!(reported(&stand_in, 20), Some(poll(2, 19)));
}
