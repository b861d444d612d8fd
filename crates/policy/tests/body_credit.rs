//! Bytes in flight to one daemon stay within the limit, and each body is granted credit in turn.

use std::collections::HashMap;

use lynxcleat_policy::BodyCreditScheduler;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

const LIMIT: u64 = 64 << 10;
/// Longer than granted bytes that have not arrived count as in flight.
const AFTER_STALE_US: u64 = 1_000_000;

proptest! {
    #![proptest_config(Config { rng_seed: RngSeed::Fixed(31), cases: 300, failure_persistence: None, ..Config::default() })]

    /// For any order of requests, arrivals and removals: granted bytes that have not arrived
    /// stay within the limit, and no body is granted more than it requested.
    #[test]
    fn bytes_in_flight_stay_within_the_limit(
        steps in prop::collection::vec((0..5_u8, 0..4_u32, 1..100_000_u64, 0..9_000_u64), 1..300)
    ) {
        let mut scheduler = BodyCreditScheduler::new(LIMIT);
        let mut requested: HashMap<u32, u64> = HashMap::new();
        let mut granted: HashMap<u32, u64> = HashMap::new();
        for (now, (kind, body, bytes, arriving)) in steps.into_iter().enumerate() {
            let now = now as u64;
            match kind {
                0 => {
                    scheduler.request(body, bytes);
                    *requested.entry(body).or_default() += bytes;
                }
                1 => {
                    scheduler.remove(body);
                    requested.remove(&body);
                    granted.remove(&body);
                }
                _ => {
                    let outstanding = granted.entry(body).or_default();
                    let received = arriving.min(*outstanding);
                    *outstanding -= received;
                    scheduler.on_received(body, received);
                }
            }
            while let Some((body, bytes)) = scheduler.next_grant(now) {
                let left = requested.get_mut(&body).expect("grant without a request");
                prop_assert!(bytes <= *left);
                *left -= bytes;
                *granted.entry(body).or_default() += bytes;
            }
            let in_flight: u64 = granted.values().sum();
            prop_assert!(in_flight <= LIMIT);
            prop_assert_eq!(scheduler.in_flight(now), in_flight);
        }
    }
}

/// Takes all grants that are available now; returns the bytes granted to each body.
fn take_grants(scheduler: &mut BodyCreditScheduler<u32>, now: u64) -> HashMap<u32, u64> {
    let mut granted = HashMap::new();
    while let Some((body, bytes)) = scheduler.next_grant(now) {
        *granted.entry(body).or_default() += bytes;
    }
    granted
}

#[test]
fn bodies_are_granted_credit_in_order_of_arrival() {
    let mut scheduler = BodyCreditScheduler::new(LIMIT);
    scheduler.request(1, LIMIT + 10_000);
    scheduler.request(2, 20_000);
    assert_eq!(scheduler.backlog(), LIMIT + 30_000);
    assert_eq!(take_grants(&mut scheduler, 0), HashMap::from([(1, LIMIT)]));
    scheduler.on_received(1, LIMIT);
    assert_eq!(
        take_grants(&mut scheduler, 1),
        HashMap::from([(1, 10_000), (2, 20_000)])
    );
    assert_eq!(scheduler.backlog(), 0);
}

#[test]
fn a_stalled_body_does_not_block_others() {
    let mut scheduler = BodyCreditScheduler::new(LIMIT);
    scheduler.request(1, 10 * LIMIT);
    scheduler.request(2, 20_000);
    assert_eq!(take_grants(&mut scheduler, 0), HashMap::from([(1, LIMIT)]));
    let later = take_grants(&mut scheduler, AFTER_STALE_US);
    assert_eq!(
        later.get(&2),
        Some(&20_000),
        "an earlier request of a stalled body is passed over"
    );
}

#[test]
fn a_removed_body_frees_its_credit() {
    let mut scheduler = BodyCreditScheduler::new(LIMIT);
    scheduler.request(1, 10 * LIMIT);
    take_grants(&mut scheduler, 0);
    scheduler.request(2, 20_000);
    scheduler.remove(1);
    assert_eq!(take_grants(&mut scheduler, 1), HashMap::from([(2, 20_000)]));
}

/// A body larger than its window requests credit repeatedly. Bodies that wait are granted
/// credit between its requests.
#[test]
fn repeated_requests_of_one_body_do_not_starve_others() {
    const WINDOW: u64 = 32 << 10;
    let mut scheduler = BodyCreditScheduler::new(WINDOW);
    scheduler.request("long", WINDOW);
    scheduler.request("short", WINDOW);
    let mut order = Vec::new();
    for _ in 0..6 {
        while let Some((body, bytes)) = scheduler.next_grant(0) {
            order.push(body);
            scheduler.on_received(body, bytes);
            if body == "long" {
                scheduler.request("long", bytes);
            }
            if order.len() >= 6 {
                break;
            }
        }
    }
    let first_short = order.iter().position(|body| *body == "short");
    assert!(first_short.is_some_and(|index| index <= 2), "{order:?}");
}
