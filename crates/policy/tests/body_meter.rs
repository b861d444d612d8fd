//! What is on its way to one daemon is bounded, and every body has its turn.

use std::collections::HashMap;

use lynxcleat_policy::BodyMeter;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

const LIMIT: u64 = 64 << 10;
/// Longer than bytes are taken for on their way that were let come.
const LONG_US: u64 = 1_000_000;

proptest! {
    #![proptest_config(Config { rng_seed: RngSeed::Fixed(31), cases: 300, failure_persistence: None, ..Config::default() })]

    /// Whatever is wanted, arrives and ends in whatever order: what is let come and did not
    /// arrive stays within the limit, and no body is let send more than it wanted.
    #[test]
    fn what_is_on_its_way_stays_within_the_limit(
        steps in prop::collection::vec((0..5_u8, 0..4_u32, 1..100_000_u64, 0..9_000_u64), 1..300)
    ) {
        let mut meter = BodyMeter::new(LIMIT);
        let mut wanted: HashMap<u32, u64> = HashMap::new();
        let mut granted: HashMap<u32, u64> = HashMap::new();
        for (now, (kind, body, bytes, part)) in steps.into_iter().enumerate() {
            let now = now as u64;
            match kind {
                0 => {
                    meter.want(body, bytes);
                    *wanted.entry(body).or_default() += bytes;
                }
                1 => {
                    meter.end(body);
                    wanted.remove(&body);
                    granted.remove(&body);
                }
                _ => {
                    let open = granted.entry(body).or_default();
                    let came = part.min(*open);
                    *open -= came;
                    meter.arrived(body, came);
                }
            }
            while let Some((body, bytes)) = meter.next(now) {
                let left = wanted.get_mut(&body).expect("it wanted some");
                prop_assert!(bytes <= *left);
                *left -= bytes;
                *granted.entry(body).or_default() += bytes;
            }
            let on_the_way: u64 = granted.values().sum();
            prop_assert!(on_the_way <= LIMIT);
            prop_assert_eq!(meter.on_the_way(now), on_the_way);
        }
    }
}

/// The bytes that each body is let send until nobody may send more.
fn granted(meter: &mut BodyMeter<u32>, now: u64) -> HashMap<u32, u64> {
    let mut all = HashMap::new();
    while let Some((body, bytes)) = meter.next(now) {
        *all.entry(body).or_default() += bytes;
    }
    all
}

#[test]
fn the_body_that_came_first_goes_first() {
    let mut meter = BodyMeter::new(LIMIT);
    meter.want(1, LIMIT + 10_000);
    meter.want(2, 20_000);
    assert_eq!(meter.backlog(), LIMIT + 30_000);
    assert_eq!(granted(&mut meter, 0), HashMap::from([(1, LIMIT)]));
    meter.arrived(1, LIMIT);
    assert_eq!(
        granted(&mut meter, 1),
        HashMap::from([(1, 10_000), (2, 20_000)])
    );
    assert_eq!(meter.backlog(), 0);
}

#[test]
fn a_body_that_does_not_come_holds_up_no_other() {
    let mut meter = BodyMeter::new(LIMIT);
    meter.want(1, 10 * LIMIT);
    meter.want(2, 20_000);
    assert_eq!(granted(&mut meter, 0), HashMap::from([(1, LIMIT)]));
    let later = granted(&mut meter, LONG_US);
    assert_eq!(
        later.get(&2),
        Some(&20_000),
        "though the first waits for more"
    );
}

#[test]
fn a_body_that_ended_takes_no_room() {
    let mut meter = BodyMeter::new(LIMIT);
    meter.want(1, 10 * LIMIT);
    granted(&mut meter, 0);
    meter.want(2, 20_000);
    meter.end(1);
    assert_eq!(granted(&mut meter, 1), HashMap::from([(2, 20_000)]));
}

/// A body that is larger than its window asks again and again. Those that wait are let come
/// between.
#[test]
fn a_body_that_asks_again_does_not_keep_the_others_waiting() {
    const ROOM: u64 = 32 << 10;
    let mut meter = BodyMeter::new(ROOM);
    meter.want("long", ROOM);
    meter.want("short", ROOM);
    let mut let_come = Vec::new();
    for _ in 0..6 {
        while let Some((body, bytes)) = meter.next(0) {
            let_come.push(body);
            meter.arrived(body, bytes);
            if body == "long" {
                meter.want("long", bytes);
            }
            if let_come.len() >= 6 {
                break;
            }
        }
    }
    let first_short = let_come.iter().position(|body| *body == "short");
    assert!(first_short.is_some_and(|nth| nth <= 2), "{let_come:?}");
}
