//! Selection of neighbours: gossip that starts at any daemon reaches every other one.

use lynxcleat_policy::{
    Candidate, Location, OTHER_ZONE_NEIGHBOURS, SAME_ZONE_NEIGHBOURS, TargetId, neighbours, rank,
};
use rstest::rstest;

fn members(count: usize, zones: usize, seed: usize) -> Vec<Candidate> {
    (0..count)
        .map(|number| Candidate {
            evacuated: false,
            target: TargetId(number as u32),
            host: format!("host-{seed}-{number}"),
            place: format!("zone-{}", number % zones),
            zone: format!("zone-{}", number % zones),
            region: String::new(),
        })
        .collect()
}

/// Number of members that gossip starting at the first one reaches.
fn reached(members: &[Candidate]) -> usize {
    let mut links = vec![Vec::new(); members.len()];
    for (from, member) in members.iter().enumerate() {
        let here = Location {
            host: &member.host,
            place: &member.place,
            zone: &member.zone,
            region: &member.region,
        };
        let order = neighbours(here, members);
        let same_zone = order.same_zone.iter().take(SAME_ZONE_NEIGHBOURS);
        let other_zones = order.other_zones.iter().take(OTHER_ZONE_NEIGHBOURS);
        for target in same_zone.chain(other_zones) {
            let to = members.iter().position(|other| other.target == *target);
            let to = to.expect("a neighbour is a member");
            links[from].push(to);
            links[to].push(from);
        }
    }
    let mut seen = vec![false; members.len()];
    let mut pending = vec![0];
    while let Some(member) = pending.pop() {
        if !std::mem::replace(&mut seen[member], true) {
            pending.extend(&links[member]);
        }
    }
    seen.iter().filter(|seen| **seen).count()
}

#[rstest]
#[case(2, 2)]
#[case(13, 3)]
#[case(68, 3)]
#[case(295, 5)]
#[case(800, 8)]
fn gossip_reaches_every_daemon(#[case] count: usize, #[case] zones: usize) {
    for seed in 0..10 {
        assert_eq!(reached(&members(count, zones, seed)), count, "seed {seed}");
    }
}

/// The remaining members select neighbours again, so that half of a fleet is still connected.
#[test]
fn remaining_daemons_stay_connected() {
    for seed in 0..10 {
        let mut remaining = members(295, 5, seed);
        remaining.retain(|member| (member.target.0 * 7 + seed as u32) % 16 < 7);
        assert_eq!(reached(&remaining), remaining.len(), "seed {seed}");
    }
}

#[test]
fn few_daemons_connect_to_other_zones() {
    let members = members(300, 5, 1);
    let connects_zones = |member: &&Candidate| {
        let here = Location {
            host: &member.host,
            place: &member.place,
            zone: &member.zone,
            region: &member.region,
        };
        !neighbours(here, &members).other_zones.is_empty()
    };
    assert_eq!(members.iter().filter(connects_zones).count(), 5 * 6);
}

#[test]
fn ranks_are_distinct_and_mix_the_zones() {
    let members = members(60, 3, 1);
    let hosts = || members.iter().map(|member| member.host.as_str());
    let rank_of = |member: &Candidate| rank(&member.host, hosts());
    let mut ranks: Vec<usize> = members.iter().map(rank_of).collect();
    let count_in_zone = |zone: &str| {
        let first = members.iter().filter(|member| rank_of(member) < 8);
        first.filter(|member| member.zone == zone).count()
    };
    assert!(
        count_in_zone("zone-0") < 8 && count_in_zone("zone-1") < 8 && count_in_zone("zone-2") < 8
    );
    ranks.sort_unstable();
    assert_eq!(ranks, (0..60).collect::<Vec<_>>());
}
