//! Which peer a daemon requests newer settings from, and how fast a peer sends them.
//!
//! The tests guard against a slow distribution of settings: all daemons requested them from the
//! same few peers at once, and transfers that were too slow started again from the beginning.

use std::time::Duration;

use lynxcleat_policy::{
    Distance, NextSource, SettingsPacer, SettingsSource, SettingsSourceSelector,
};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

const MS: u64 = 1_000;

fn peer(link: u64, generation: u64, distance: Distance) -> SettingsSource {
    SettingsSource {
        link,
        generation,
        distance,
    }
}

#[test]
fn the_nearest_peers_that_have_the_settings_are_asked_in_turn() {
    let peers = [
        peer(1, 6, Distance::OwnZone),
        peer(2, 7, Distance::OwnRegion),
        peer(3, 7, Distance::OwnZone),
        peer(4, 8, Distance::OwnZone),
        peer(5, 7, Distance::OtherRegion),
    ];
    let mut sources = SettingsSourceSelector::new(0);
    let mut ask = |draw| sources.next(MS, 7, &peers, draw);
    assert_eq!(ask(0.0), NextSource::Ask(3));
    assert_eq!(ask(0.99), NextSource::Ask(4));
    sources.mark_busy(MS, 3, Duration::from_millis(30));
    sources.mark_failed(MS, 4);
    assert_eq!(sources.next(2 * MS, 7, &peers, 0.5), NextSource::Ask(2));
    sources.mark_busy(2 * MS, 2, Duration::from_millis(60));
    let pause = sources.next(3 * MS, 7, &peers, 0.5);
    assert_eq!(pause, NextSource::Pause(Duration::from_millis(28)));
    assert_eq!(sources.next(32 * MS, 7, &peers, 0.5), NextSource::Ask(3));
}

#[test]
fn another_region_is_asked_if_no_peer_of_the_own_has_the_settings() {
    let peers = [
        peer(1, 6, Distance::OwnZone),
        peer(5, 7, Distance::OtherRegion),
    ];
    let mut sources = SettingsSourceSelector::new(0);
    assert_eq!(sources.next(MS, 7, &peers, 0.0), NextSource::Ask(5));
    assert_eq!(sources.next(MS, 8, &peers, 0.0), NextSource::NoPeer);
}

#[test]
fn the_store_is_asked_after_a_second_without_a_part_and_not_before() {
    let peers = [peer(1, 7, Distance::OwnZone)];
    let mut sources = SettingsSourceSelector::new(0);
    sources.mark_failed(0, 1);
    assert!(matches!(
        sources.next(999 * MS, 7, &peers, 0.0),
        NextSource::Pause(_)
    ));
    assert_eq!(
        sources.next(1_000 * MS, 7, &peers, 0.0),
        NextSource::AskStore
    );
    assert!(matches!(
        sources.next(1_001 * MS, 7, &peers, 0.0),
        NextSource::Pause(_)
    ));
    sources.record_progress(1_900 * MS);
    assert_eq!(sources.next(2_100 * MS, 7, &peers, 0.0), NextSource::Ask(1));
}

proptest! {
    #![proptest_config(Config { rng_seed: RngSeed::Fixed(43), failure_persistence: None, ..Config::default() })]

    /// In any second, the bytes sent are at most the rate, a twentieth of a second ahead of it,
    /// and one part.
    #[test]
    fn sending_stays_within_the_rate(requests in prop::collection::vec((0..20_u64, 1..40_000_usize), 1..300)) {
        const BYTES_PER_S: usize = 500_000;
        const LARGEST: usize = 40_000;
        let mut pacer = SettingsPacer::default();
        let mut sent: Vec<(u64, usize)> = Vec::new();
        let mut now = 0;
        for (gap_ms, bytes) in requests {
            now += gap_ms * MS;
            if pacer.delay(now).is_none() {
                pacer.record_sent(now, bytes);
                sent.push((now, bytes));
            }
        }
        for (from, _) in &sent {
            let within = sent.iter().filter(|(at, _)| (*from..from + 1_000 * MS).contains(at));
            let bytes: usize = within.map(|(_, bytes)| bytes).sum();
            prop_assert!(bytes <= BYTES_PER_S + BYTES_PER_S / 20 + LARGEST, "{bytes}");
        }
    }
}
