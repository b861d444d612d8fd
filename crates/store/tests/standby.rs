//! Who follows the store, at each size of the fleet.

use std::time::Duration;

use lynxcleat_store::{Duty, Follower, Standing, duty};

const WATCH: Duration = Duration::from_secs(1);

fn standing(rank: usize, silence: Duration) -> Standing {
    Standing {
        rank,
        has_peers: true,
        silence,
    }
}

/// While a fleet starts, news come one after the other, and each ends the wait of all that
/// follow. (When every daemon followed, 88 of them made 440 calls in these four seconds.)
#[test]
fn the_calls_for_news_that_keep_coming_do_not_grow_with_the_fleet() {
    let calls = |members: usize| -> usize {
        let follows = |rank: &usize| {
            let duty = duty(standing(*rank, Duration::ZERO), WATCH);
            matches!(duty, Duty::Follow { .. })
        };
        let calls_of_one = |_| {
            let mut follower = Follower::default();
            let mut passed = Duration::ZERO;
            let mut calls = 0;
            while passed < Duration::from_secs(4) {
                passed += follower.gather(Duration::from_millis(5), true);
                calls += 1;
            }
            calls
        };
        (0..members).filter(follows).map(calls_of_one).sum()
    };
    assert!(calls(2) >= 12, "a small fleet hears at once: {}", calls(2));
    assert!(calls(88) <= 64, "{}", calls(88));
    assert_eq!(calls(88), calls(1_000));
}

#[test]
fn the_first_members_look_often_and_the_next_wait_for_long() {
    let at = |rank| duty(standing(rank, Duration::ZERO), WATCH);
    assert_eq!(at(0), Duty::Follow { wait: Some(WATCH) });
    assert_eq!(at(1), Duty::Follow { wait: Some(WATCH) });
    assert_eq!(at(2), Duty::Follow { wait: None });
    assert_eq!(at(7), Duty::Follow { wait: None });
    assert!(matches!(at(8), Duty::Listen(_)));
}

#[test]
fn members_ask_one_after_the_other_when_nobody_tells_of_the_store() {
    let asks = |rank, silence| {
        let duty = duty(standing(rank, silence), WATCH);
        matches!(duty, Duty::Follow { .. })
    };
    let asking = |silence| (8..300).filter(|rank| asks(*rank, silence)).count();
    assert_eq!(asking(Duration::from_millis(5_900)), 0);
    assert_eq!(asking(Duration::from_millis(6_100)), 1);
    assert_eq!(asking(Duration::from_millis(8_100)), 9);
}

#[test]
fn who_listens_wakes_when_its_turn_comes() {
    for rank in [8, 20, 290] {
        let Duty::Listen(left) = duty(standing(rank, Duration::from_secs(2)), WATCH) else {
            panic!("rank {rank} follows");
        };
        let then = Duration::from_secs(2) + left;
        let duty = duty(standing(rank, then), WATCH);
        assert!(matches!(duty, Duty::Follow { wait: Some(_) }));
    }
}

#[test]
fn a_member_without_peers_does_not_wait_for_its_turn() {
    let alone = |silence| {
        let standing = Standing {
            rank: 290,
            has_peers: false,
            silence,
        };
        duty(standing, WATCH)
    };
    assert!(matches!(alone(Duration::from_secs(1)), Duty::Listen(_)));
    assert!(matches!(
        alone(Duration::from_millis(2_001)),
        Duty::Follow { .. }
    ));
}
