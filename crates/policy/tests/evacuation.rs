//! Evacuated zones: the newest news count, whatever the order in which they come.

use lynxcleat_policy::{Candidate, Evacuations, Here, TargetId, ZoneNews, subset};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

fn news(zone: u8, version: u64) -> ZoneNews {
    ZoneNews {
        zone: format!("zone-{zone}"),
        version,
        // A version stands for one change, which is the same wherever it is heard.
        evacuated: !version.is_multiple_of(3),
    }
}

#[test]
fn a_zone_is_evacuated_until_it_is_taken_back() {
    let mut zones = Evacuations::default();
    assert!(!zones.is_evacuated("zone-1"));
    assert!(zones.take(&news(1, 4)));
    assert!(zones.is_evacuated("zone-1") && !zones.is_evacuated("zone-2"));
    assert_eq!(zones.evacuated(), ["zone-1"]);
    assert!(!zones.take(&news(1, 4)), "the same again");
    assert!(zones.take(&news(1, 6)), "taken back");
    assert!(!zones.is_evacuated("zone-1"));
    assert!(!zones.take(&news(1, 5)), "late news");
    assert!(!zones.is_evacuated("zone-1"));
    assert_eq!(zones.all(), [news(1, 6)]);
}

#[test]
fn news_of_ever_more_zones_are_refused_at_some_point() {
    let mut zones = Evacuations::default();
    let name = |number: u64| ZoneNews {
        zone: format!("zone-{number}"),
        version: number,
        evacuated: true,
    };
    let taken = (1..10_000).filter(|number| zones.take(&name(*number)));
    let taken = taken.count();
    assert!(taken < 1_000, "{taken}");
    let known = ZoneNews {
        version: 20_000,
        evacuated: false,
        ..name(1)
    };
    assert!(zones.take(&known), "what is known goes on");
}

#[test]
fn targets_of_an_evacuated_zone_are_linked_to_only_where_there_are_no_others() {
    let candidate = |number: u32| Candidate {
        target: TargetId(number),
        host: format!("host-{number}"),
        place: ["near", "far"][number as usize % 2].to_owned(),
        zone: ["near", "far"][number as usize % 2].to_owned(),
        region: String::new(),
        evacuated: number.is_multiple_of(2),
    };
    let here = Here {
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

    /// Daemons that hear the same news in other orders, some twice, believe the same in the
    /// end, and that is what the newest says; on the way no zone falls back to older news.
    #[test]
    fn the_order_of_news_does_not_matter(
        mut heard in prop::collection::vec((0..4_u8, 1..40_u64), 1..60),
        swaps in prop::collection::vec((0..60_usize, 0..60_usize), 0..60),
    ) {
        let mut one = Evacuations::default();
        let mut newest = std::collections::BTreeMap::new();
        for (zone, version) in &heard {
            one.take(&news(*zone, *version));
            let known = newest.entry(*zone).or_insert(*version);
            *known = (*known).max(*version);
            prop_assert_eq!(one.is_evacuated(&format!("zone-{zone}")), !known.is_multiple_of(3));
        }
        for (a, b) in swaps {
            let len = heard.len();
            heard.swap(a % len, b % len);
        }
        let mut other = Evacuations::default();
        for (zone, version) in heard.iter().chain(&heard) {
            other.take(&news(*zone, *version));
        }
        prop_assert_eq!(one.all(), other.all());
    }
}
