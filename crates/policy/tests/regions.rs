//! Several regions: which targets a router keeps, where calls go, and whether news reach all.

use std::collections::{BTreeMap, BTreeSet};

use lynxcleat_policy::{
    Action, CallId, CallKind, Candidate, Distance, Elsewhere, Event, FAR_NEIGHBOURS, Figures,
    FurtherParams, Here, NEAR_NEIGHBOURS, Policy, REGION_NEIGHBOURS, Router, RouterParams,
    SelectionParams, TargetId, WayPrices, neighbours, subset,
};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

const MS: u64 = 1_000;
const KIND: CallKind = CallKind(1);
/// Slots of a target.
const SLOTS: u32 = 4;
/// Daemons of one region that look beyond it at most.
const KEEPERS: usize = 4;

fn here(member: &Candidate) -> Here<'_> {
    Here {
        host: &member.host,
        place: &member.place,
        zone: &member.zone,
        region: &member.region,
    }
}

/// Members of regions with so many zones each, with so many hosts each.
fn deployment(regions: &[Vec<usize>], seed: u64) -> Vec<Candidate> {
    let mut members: Vec<Candidate> = Vec::new();
    for (region, zones) in regions.iter().enumerate() {
        for (zone, hosts) in zones.iter().enumerate() {
            for _ in 0..*hosts {
                let number = members.len();
                members.push(Candidate {
                    evacuated: false,
                    target: TargetId(number as u32),
                    host: format!("host-{seed}-{number}"),
                    place: format!("place-{region}-{zone}"),
                    zone: format!("zone-{region}-{zone}"),
                    region: format!("region-{region}"),
                });
            }
        }
    }
    members
}

/// Both ends of a link between neighbours, as places in the list of members.
type LinkEnds = (usize, usize);

fn links(members: &[Candidate]) -> Vec<LinkEnds> {
    let mut links = Vec::new();
    for (from, member) in members.iter().enumerate() {
        let order = neighbours(here(member), members);
        let near = order.near.iter().take(NEAR_NEIGHBOURS);
        let far = order.far.iter().take(FAR_NEIGHBOURS);
        let regions = order.regions.iter().take(REGION_NEIGHBOURS);
        for target in near.chain(far).chain(regions) {
            let to = members.iter().position(|other| other.target == *target);
            links.push((from, to.expect("one of the members")));
        }
    }
    links
}

/// Whether links join all `nodes`, where each end is at the node that `node` gives.
fn are_joined(
    nodes: &BTreeSet<usize>,
    links: impl Iterator<Item = LinkEnds> + Clone,
    node: impl Fn(usize) -> usize,
) -> bool {
    let mut reached: BTreeSet<usize> = nodes.iter().take(1).copied().collect();
    loop {
        let before = reached.len();
        for (from, to) in links.clone().map(|(from, to)| (node(from), node(to))) {
            if reached.contains(&from) || reached.contains(&to) {
                reached.extend([from, to]);
            }
        }
        if reached.len() == before {
            return &reached == nodes;
        }
    }
}

fn region_of(member: &Candidate) -> usize {
    let number = member.region.trim_start_matches("region-");
    number.parse().expect("a number")
}

fn regions() -> impl Strategy<Value = Vec<Vec<usize>>> {
    prop::collection::vec(prop::collection::vec(1..14_usize, 1..4), 1..5)
}

proptest! {
    #![proptest_config(Config { rng_seed: RngSeed::Fixed(11), cases: 60, failure_persistence: None, ..Config::default() })]

    /// Whichever host is lost: those that are left choose anew and all hear of each other.
    #[test]
    fn news_reach_every_region_without_any_one_host(regions in regions(), seed in 0..1_000_u64) {
        let members = deployment(&regions, seed);
        for lost in 0..members.len() {
            let mut left = members.clone();
            left.remove(lost);
            let all: BTreeSet<usize> = (0..left.len()).collect();
            let links = links(&left);
            prop_assert!(are_joined(&all, links.iter().copied(), |at| at), "without {lost}");
        }
    }

    /// Before anybody chose anew, the links that are left still join all regions.
    #[test]
    fn no_one_host_carries_the_news_of_a_region(regions in regions(), seed in 0..1_000_u64) {
        let members = deployment(&regions, seed);
        let links = links(&members);
        let region = |at: usize| region_of(&members[at]);
        for lost in 0..members.len() {
            let left = links.iter().filter(|(from, to)| *from != lost && *to != lost);
            let nodes: BTreeSet<usize> = (0..members.len())
                .filter(|at| *at != lost)
                .map(region)
                .collect();
            prop_assert!(are_joined(&nodes, left.copied(), region), "without {lost}");
        }
    }

    /// However large the regions are, a few links cross.
    #[test]
    fn few_links_between_neighbours_cross(regions in regions(), seed in 0..1_000_u64) {
        let members = deployment(&regions, seed);
        let crossing = links(&members)
            .into_iter()
            .filter(|(from, to)| members[*from].region != members[*to].region)
            .count();
        prop_assert!(crossing <= KEEPERS * regions.len());
    }

    /// A subset holds the nearest of its own region, and a few of others.
    #[test]
    fn a_subset_is_of_the_own_region_and_a_few_others(
        regions in regions(), seed in 0..1_000_u64, size in 1..24_usize, at in 0..1_000_usize
    ) {
        let members = deployment(&regions, seed);
        let router = &members[at % members.len()];
        let here = here(router);
        let chosen = subset(here, &members, size);
        prop_assert!(chosen.len() <= size);
        let distances: Vec<Distance> = chosen
            .iter()
            .map(|target| here.distance(&members[target.0 as usize]))
            .collect();
        prop_assert!(distances.is_sorted(), "nearest first");
        let others: Vec<&Candidate> = chosen
            .iter()
            .map(|target| &members[target.0 as usize])
            .filter(|member| member.region != router.region)
            .collect();
        let there = members.iter().filter(|member| member.region != router.region).count();
        let at_least = 2.min(size / 4).min(there);
        prop_assert!(others.len() >= at_least, "{} others", others.len());
        prop_assert!(others.len() <= size / 4, "{} others", others.len());
        let named: BTreeSet<&str> = others.iter().map(|other| other.region.as_str()).collect();
        prop_assert_eq!(named.len(), others.len().min(regions.len() - 1), "of all regions");
    }
}

#[test]
fn a_region_without_targets_is_served_by_others() {
    let members = deployment(&[vec![3], vec![10, 10], vec![10]], 1);
    let (router, targets) = members.split_first().expect("members");
    let elsewhere = &targets[2..];
    assert_eq!(subset(here(router), elsewhere, 16).len(), 16);
}

fn router(seed: u64) -> Router {
    let params = RouterParams {
        selection: SelectionParams {
            policy: Policy::GoalChance,
            ramp_us: 0,
            eject_failures: 5,
            eject_us: 1_000 * MS,
            prices: WayPrices {
                far_percent: 20,
                region_percent: 40,
            },
        },
        attempt_limit: 2,
        retry_budget: FurtherParams {
            percent: 100,
            bound: None,
        },
        reroute_limit: 3,
    };
    let mut router = Router::new(params, seed, 0);
    let ways: Vec<(TargetId, f64)> = TARGETS
        .iter()
        .map(|(target, distance)| match distance {
            Distance::OtherRegion => (*target, 24_000.0),
            _ => (*target, 300.0),
        })
        .collect();
    router.set_targets(0, &ways);
    router.set_distances(&TARGETS);
    // What is usual is learned slowly.
    for _ in 0..200 {
        tell_all(&mut router, 0, |_| 0);
    }
    router
}

/// Four near targets, one in another place, and two of other regions.
const TARGETS: [(TargetId, Distance); 7] = [
    (TargetId(0), Distance::OwnZone),
    (TargetId(1), Distance::OwnZone),
    (TargetId(2), Distance::OwnZone),
    (TargetId(3), Distance::OwnZone),
    (TargetId(4), Distance::OwnRegion),
    (TargetId(5), Distance::OtherRegion),
    (TargetId(6), Distance::OtherRegion),
];

fn tell(router: &mut Router, now: u64, target: TargetId, load: u32) {
    let figures = Figures {
        in_flight: load.min(SLOTS),
        held: load.saturating_sub(SLOTS),
        slots: SLOTS,
        service_us: 100 * MS as u32,
        ..Figures::default()
    };
    router.on(
        now,
        Event::LoadReported {
            target,
            load: figures,
        },
    );
}

/// Where a call with a goal of 300 ms goes, and where it can go then.
fn send(router: &mut Router, now: u64, call: u64) -> (TargetId, Elsewhere) {
    let actions = router.on(
        now,
        Event::Arrived {
            call: CallId(call),
            deadline: now + 2_000 * MS,
            has_effects: false,
            may_retry: true,
            attempt_limit: None,
            goal: Some(now + 300 * MS),
            kind: KIND,
        },
    );
    match actions.as_slice() {
        [
            Action::Send {
                target, elsewhere, ..
            },
        ] => (*target, *elsewhere),
        other => panic!("{other:?}"),
    }
}

fn distance_of(target: TargetId) -> Distance {
    TARGETS[target.0 as usize].1
}

/// Tells a router how many calls there are at the targets, by their distance.
fn tell_all(router: &mut Router, now: u64, load: impl Fn(Distance) -> u32) {
    for (target, distance) in TARGETS {
        tell(router, now, target, load(distance));
    }
}

#[test]
fn calls_stay_in_the_region_until_that_is_worth_less_than_the_way() {
    for seed in 0..50 {
        let mut router = router(seed);
        tell_all(&mut router, 0, |distance| match distance {
            Distance::OtherRegion => 0,
            _ => SLOTS / 2,
        });
        let (target, elsewhere) = send(&mut router, 0, 1);
        assert!(distance_of(target) < Distance::OtherRegion, "{target:?}");
        assert_eq!(elsewhere, Elsewhere::Near);
    }
}

#[test]
fn another_region_serves_what_the_own_cannot_and_calls_come_home_spread() {
    const ROUTERS: u64 = 80;
    let mut routers: Vec<Router> = (0..ROUTERS).map(router).collect();
    for router in &mut routers {
        tell_all(router, 0, |distance| match distance {
            Distance::OtherRegion => 0,
            _ => 10 * SLOTS,
        });
        let (target, _) = send(router, 0, 1);
        assert_eq!(distance_of(target), Distance::OtherRegion);
    }
    let mut taken: BTreeMap<TargetId, u64> = BTreeMap::new();
    for router in &mut routers {
        tell_all(router, 500 * MS, |_| 0);
        let (target, _) = send(router, 500 * MS, 2);
        *taken.entry(target).or_default() += 1;
    }
    let near = taken
        .iter()
        .filter(|(target, _)| distance_of(**target) == Distance::OwnZone);
    assert_eq!(near.clone().map(|(_, calls)| calls).sum::<u64>(), ROUTERS);
    let most = near.map(|(_, calls)| *calls).max();
    assert!(most <= Some(ROUTERS / 2), "{taken:?}: not all to one");
}

#[test]
fn a_router_says_that_only_other_regions_are_left() {
    let mut router = router(1);
    for (target, distance) in TARGETS {
        if distance < Distance::OtherRegion {
            let linked = false;
            router.on(0, Event::TargetLinked { target, linked });
        }
    }
    let (target, elsewhere) = send(&mut router, 0, 1);
    assert_eq!(distance_of(target), Distance::OtherRegion);
    assert_eq!(elsewhere, Elsewhere::OtherRegion);
}

#[test]
fn another_region_costs_more_than_another_place() {
    let prices = WayPrices {
        far_percent: 20,
        region_percent: 60,
    };
    assert_eq!(prices.of(Distance::OwnRegion), 0.2);
    assert_eq!(prices.of(Distance::OtherRegion), 0.6);
}

/// Only what a call may reach is chosen, and offered as another way.
#[test]
fn a_call_that_may_not_leave_the_region_does_not() {
    for seed in 0..20 {
        let mut router = router(seed);
        router.set_max_distance(Distance::OwnRegion);
        for (target, distance) in TARGETS {
            if distance < Distance::OwnRegion {
                let linked = false;
                router.on(0, Event::TargetLinked { target, linked });
            }
        }
        let (target, elsewhere) = send(&mut router, 0, 1);
        assert_eq!(distance_of(target), Distance::OwnRegion);
        assert_eq!(elsewhere, Elsewhere::Nowhere);
        router.set_max_distance(Distance::OtherRegion);
        let (_, elsewhere) = send(&mut router, 0, 2);
        assert_ne!(elsewhere, Elsewhere::Nowhere);
    }
}

/// A way to another region is one to another place as well.
#[test]
fn another_region_costs_no_less_than_another_place() {
    let prices = WayPrices {
        far_percent: 30,
        region_percent: 0,
    };
    assert_eq!(prices.of(Distance::OwnPlace), 0.0);
    assert_eq!(prices.of(Distance::OwnRegion), 0.3);
    assert_eq!(prices.of(Distance::OtherRegion), 0.3);
}
