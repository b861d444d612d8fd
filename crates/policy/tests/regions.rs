//! Several regions: which targets a router links to, where calls go, and whether gossip reaches
//! every region.

use std::collections::{BTreeMap, BTreeSet};

use lynxcleat_policy::{
    Action, CallId, CallKind, Candidate, Distance, DistanceCosts, Elsewhere, Event, Location,
    OTHER_REGION_NEIGHBOURS, OTHER_ZONE_NEIGHBOURS, Policy, RetryParams, Router, RouterParams,
    SAME_ZONE_NEIGHBOURS, SelectionParams, TargetId, TargetLoad, neighbours, subset,
};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

const MS: u64 = 1_000;
const KIND: CallKind = CallKind(1);
/// Concurrent calls that a target serves.
const SLOTS: u32 = 4;
/// Maximum number of daemons of one region that connect to other regions.
const CROSS_REGION_DAEMONS: usize = 4;

fn here(member: &Candidate) -> Location<'_> {
    Location {
        host: &member.host,
        place: &member.place,
        zone: &member.zone,
        region: &member.region,
    }
}

/// Members of a deployment, given the number of hosts of each zone of each region.
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

/// Both ends of a link between neighbours, as indices into the list of members.
type LinkEnds = (usize, usize);

fn links(members: &[Candidate]) -> Vec<LinkEnds> {
    let mut links = Vec::new();
    for (from, member) in members.iter().enumerate() {
        let order = neighbours(here(member), members);
        let same_zone = order.same_zone.iter().take(SAME_ZONE_NEIGHBOURS);
        let other_zones = order.other_zones.iter().take(OTHER_ZONE_NEIGHBOURS);
        let other_regions = order.other_regions.iter().take(OTHER_REGION_NEIGHBOURS);
        for target in same_zone.chain(other_zones).chain(other_regions) {
            let to = members.iter().position(|other| other.target == *target);
            links.push((from, to.expect("a neighbour is a member")));
        }
    }
    links
}

/// Whether `links` connect all `nodes`. `node` maps the end of a link to its node.
fn are_connected(
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

    /// Whichever host is lost, the remaining ones select neighbours again and stay connected.
    #[test]
    fn gossip_reaches_every_region_after_the_loss_of_any_host(regions in regions(), seed in 0..1_000_u64) {
        let members = deployment(&regions, seed);
        for lost in 0..members.len() {
            let mut remaining = members.clone();
            remaining.remove(lost);
            let all: BTreeSet<usize> = (0..remaining.len()).collect();
            let links = links(&remaining);
            prop_assert!(are_connected(&all, links.iter().copied(), |member| member), "without {lost}");
        }
    }

    /// Before any daemon selects neighbours again, the remaining links still connect all regions.
    #[test]
    fn no_single_host_connects_a_region(regions in regions(), seed in 0..1_000_u64) {
        let members = deployment(&regions, seed);
        let links = links(&members);
        let region = |member: usize| region_of(&members[member]);
        for lost in 0..members.len() {
            let remaining = links.iter().filter(|(from, to)| *from != lost && *to != lost);
            let nodes: BTreeSet<usize> = (0..members.len())
                .filter(|member| *member != lost)
                .map(region)
                .collect();
            prop_assert!(are_connected(&nodes, remaining.copied(), region), "without {lost}");
        }
    }

    /// The number of links between regions does not grow with the size of the regions.
    #[test]
    fn few_neighbour_links_cross_regions(regions in regions(), seed in 0..1_000_u64) {
        let members = deployment(&regions, seed);
        let crossing = links(&members)
            .into_iter()
            .filter(|(from, to)| members[*from].region != members[*to].region)
            .count();
        prop_assert!(crossing <= CROSS_REGION_DAEMONS * regions.len());
    }

    /// A subset contains the nearest targets of the own region and a few of other regions.
    #[test]
    fn a_subset_is_of_the_own_region_and_a_few_others(
        regions in regions(), seed in 0..1_000_u64, size in 1..24_usize, index in 0..1_000_usize
    ) {
        let members = deployment(&regions, seed);
        let router = &members[index % members.len()];
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
        let elsewhere = members.iter().filter(|member| member.region != router.region).count();
        let min_others = 2.min(size / 4).min(elsewhere);
        prop_assert!(others.len() >= min_others, "{} others", others.len());
        prop_assert!(others.len() <= size / 4, "{} others", others.len());
        let covered: BTreeSet<&str> = others.iter().map(|other| other.region.as_str()).collect();
        prop_assert_eq!(covered.len(), others.len().min(regions.len() - 1), "covers the regions");
    }
}

#[test]
fn a_region_without_targets_uses_targets_of_others() {
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
            prices: DistanceCosts {
                far_percent: 20,
                region_percent: 40,
            },
        },
        attempt_limit: 2,
        retry_budget: RetryParams {
            percent: 100,
            bound: None,
        },
        reroute_limit: 3,
    };
    let mut router = Router::new(params, seed, 0);
    let paths: Vec<(TargetId, f64)> = TARGETS
        .iter()
        .map(|(target, distance)| match distance {
            Distance::OtherRegion => (*target, 24_000.0),
            _ => (*target, 300.0),
        })
        .collect();
    router.set_targets(0, &paths);
    router.set_distances(&TARGETS);
    // The baseline is learned slowly, so the reports are repeated.
    for _ in 0..200 {
        report_all(&mut router, 0, |_| 0);
    }
    router
}

/// Four targets in the own zone, one in another place of the region, and two in other regions.
const TARGETS: [(TargetId, Distance); 7] = [
    (TargetId(0), Distance::OwnZone),
    (TargetId(1), Distance::OwnZone),
    (TargetId(2), Distance::OwnZone),
    (TargetId(3), Distance::OwnZone),
    (TargetId(4), Distance::OwnRegion),
    (TargetId(5), Distance::OtherRegion),
    (TargetId(6), Distance::OtherRegion),
];

fn report(router: &mut Router, now: u64, target: TargetId, load: u32) {
    let figures = TargetLoad {
        in_flight: load.min(SLOTS),
        held: load.saturating_sub(SLOTS),
        slots: SLOTS,
        service_us: 100 * MS as u32,
        ..TargetLoad::default()
    };
    router.on(
        now,
        Event::LoadReported {
            target,
            load: figures,
        },
    );
}

/// Sends a call with a goal of 300 ms. Returns its target and the alternatives left for it.
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

/// Reports to a router the number of calls at each target, by the target's distance.
fn report_all(router: &mut Router, now: u64, load: impl Fn(Distance) -> u32) {
    for (target, distance) in TARGETS {
        report(router, now, target, load(distance));
    }
}

#[test]
fn calls_stay_in_the_region_while_that_costs_less_than_leaving_it() {
    for seed in 0..50 {
        let mut router = router(seed);
        report_all(&mut router, 0, |distance| match distance {
            Distance::OtherRegion => 0,
            _ => SLOTS / 2,
        });
        let (target, elsewhere) = send(&mut router, 0, 1);
        assert!(distance_of(target) < Distance::OtherRegion, "{target:?}");
        assert_eq!(elsewhere, Elsewhere::Near);
    }
}

#[test]
fn calls_that_the_own_region_cannot_serve_leave_it_and_return_spread() {
    const ROUTERS: u64 = 80;
    let mut routers: Vec<Router> = (0..ROUTERS).map(router).collect();
    for router in &mut routers {
        report_all(router, 0, |distance| match distance {
            Distance::OtherRegion => 0,
            _ => 10 * SLOTS,
        });
        let (target, _) = send(router, 0, 1);
        assert_eq!(distance_of(target), Distance::OtherRegion);
    }
    let mut returned: BTreeMap<TargetId, u64> = BTreeMap::new();
    for router in &mut routers {
        report_all(router, 500 * MS, |_| 0);
        let (target, _) = send(router, 500 * MS, 2);
        *returned.entry(target).or_default() += 1;
    }
    let near = returned
        .iter()
        .filter(|(target, _)| distance_of(**target) == Distance::OwnZone);
    assert_eq!(near.clone().map(|(_, calls)| calls).sum::<u64>(), ROUTERS);
    let most = near.map(|(_, calls)| *calls).max();
    assert!(
        most <= Some(ROUTERS / 2),
        "too many calls to one target: {returned:?}"
    );
}

#[test]
fn a_router_reports_that_only_other_regions_are_left() {
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
    let prices = DistanceCosts {
        far_percent: 20,
        region_percent: 60,
    };
    assert_eq!(prices.cost(Distance::OwnRegion), 0.2);
    assert_eq!(prices.cost(Distance::OtherRegion), 0.6);
}

/// Targets beyond the permitted distance are neither selected nor counted as alternatives.
#[test]
fn a_call_that_may_not_leave_the_region_stays() {
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

/// A path to another region also leads to another place.
#[test]
fn another_region_costs_no_less_than_another_place() {
    let prices = DistanceCosts {
        far_percent: 30,
        region_percent: 0,
    };
    assert_eq!(prices.cost(Distance::OwnPlace), 0.0);
    assert_eq!(prices.cost(Distance::OwnRegion), 0.3);
    assert_eq!(prices.cost(Distance::OtherRegion), 0.3);
}
