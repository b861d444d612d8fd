//! Evacuated zones: the latest version wins, whatever the order of the updates.

use lynxcleat_policy::{Candidate, EvacuatedZones, Location, TargetId, ZoneUpdate, subset};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

fn update(zone: u8, version: u64) -> ZoneUpdate {
    ZoneUpdate {
        zone: format!("zone-{zone}"),
        version,
        // A version identifies one change, so its content depends on the version alone.
        evacuated: !version.is_multiple_of(3),
    }
}

#[test]
fn a_zone_is_evacuated_until_its_evacuation_ends() {
    let mut zones = EvacuatedZones::default();
    assert!(!zones.is_evacuated("zone-1"));
    assert!(zones.apply(&update(1, 4)));
    assert!(zones.is_evacuated("zone-1") && !zones.is_evacuated("zone-2"));
    assert_eq!(zones.evacuated(), ["zone-1"]);
    assert!(!zones.apply(&update(1, 4)), "a repeated update");
    assert!(zones.apply(&update(1, 6)), "the end of the evacuation");
    assert!(!zones.is_evacuated("zone-1"));
    assert!(!zones.apply(&update(1, 5)), "a late update");
    assert!(!zones.is_evacuated("zone-1"));
    assert_eq!(zones.updates(), [update(1, 6)]);
}

#[test]
fn the_number_of_tracked_zones_is_bounded() {
    let mut zones = EvacuatedZones::default();
    let numbered = |number: u64| ZoneUpdate {
        zone: format!("zone-{number}"),
        version: number,
        evacuated: true,
    };
    let applied = (1..10_000).filter(|number| zones.apply(&numbered(*number)));
    let applied = applied.count();
    assert!(applied < 1_000, "{applied}");
    let known = ZoneUpdate {
        version: 20_000,
        evacuated: false,
        ..numbered(1)
    };
    assert!(zones.apply(&known), "updates of tracked zones still apply");
}

#[test]
fn targets_of_an_evacuated_zone_are_selected_only_where_there_are_no_others() {
    let candidate = |number: u32| Candidate {
        target: TargetId(number),
        host: format!("host-{number}"),
        place: ["near", "far"][number as usize % 2].to_owned(),
        zone: ["near", "far"][number as usize % 2].to_owned(),
        region: String::new(),
        evacuated: number.is_multiple_of(2),
    };
    let here = Location {
        host: "host-0",
        place: "near",
        zone: "near",
        region: "",
    };
    let candidates: Vec<Candidate> = (0..8).map(candidate).collect();
    let four = subset(here, &candidates, 4);
    assert!(four.iter().all(|target| target.0 % 2 == 1), "{four:?}");
    assert_eq!(subset(here, &candidates, 8).len(), 8);
}

proptest! {
    #![proptest_config(Config { rng_seed: RngSeed::Fixed(12), cases: 500, failure_persistence: None, ..Config::default() })]

    /// Daemons that receive the same updates in different orders, some of them twice, end in the
    /// same state, which is that of the latest versions. No zone ever returns to an older one.
    #[test]
    fn the_order_of_updates_does_not_matter(
        mut received in prop::collection::vec((0..4_u8, 1..40_u64), 1..60),
        swaps in prop::collection::vec((0..60_usize, 0..60_usize), 0..60),
    ) {
        let mut one = EvacuatedZones::default();
        let mut latest = std::collections::BTreeMap::new();
        for (zone, version) in &received {
            one.apply(&update(*zone, *version));
            let known = latest.entry(*zone).or_insert(*version);
            *known = (*known).max(*version);
            prop_assert_eq!(one.is_evacuated(&format!("zone-{zone}")), !known.is_multiple_of(3));
        }
        for (a, b) in swaps {
            let len = received.len();
            received.swap(a % len, b % len);
        }
        let mut other = EvacuatedZones::default();
        for (zone, version) in received.iter().chain(&received) {
            other.apply(&update(*zone, *version));
        }
        prop_assert_eq!(one.updates(), other.updates());
    }
}
