//! Neighbours: whether news that start anywhere reach every daemon.

use lynxcleat_policy::{
    Candidate, FAR_NEIGHBOURS, Here, NEAR_NEIGHBOURS, TargetId, neighbours, rank,
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

/// How many members news reach that start at the first one.
fn reached(members: &[Candidate]) -> usize {
    let mut links = vec![Vec::new(); members.len()];
    for (from, member) in members.iter().enumerate() {
        let here = Here {
            host: &member.host,
            place: &member.place,
            zone: &member.zone,
            region: &member.region,
        };
        let order = neighbours(here, members);
        let near = order.near.iter().take(NEAR_NEIGHBOURS);
        let far = order.far.iter().take(FAR_NEIGHBOURS);
        for target in near.chain(far) {
            let to = members.iter().position(|other| other.target == *target);
            let to = to.expect("one of the members");
            links[from].push(to);
            links[to].push(from);
        }
    }
    let mut seen = vec![false; members.len()];
    let mut next = vec![0];
    while let Some(at) = next.pop() {
        if !std::mem::replace(&mut seen[at], true) {
            next.extend(&links[at]);
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
fn news_reach_every_daemon(#[case] count: usize, #[case] zones: usize) {
    for seed in 0..10 {
        assert_eq!(reached(&members(count, zones, seed)), count, "seed {seed}");
    }
}

/// Those that are left choose anew, so that half of a fleet hangs together as well.
#[test]
fn those_that_are_left_reach_each_other() {
    for seed in 0..10 {
        let mut left = members(295, 5, seed);
        left.retain(|member| (member.target.0 * 7 + seed as u32) % 16 < 7);
        assert_eq!(reached(&left), left.len(), "seed {seed}");
    }
}

#[test]
fn few_look_beyond_their_zone() {
    let members = members(300, 5, 1);
    let looks_far = |member: &&Candidate| {
        let here = Here {
            host: &member.host,
            place: &member.place,
            zone: &member.zone,
            region: &member.region,
        };
        !neighbours(here, &members).far.is_empty()
    };
    assert_eq!(members.iter().filter(looks_far).count(), 5 * 6);
}

#[test]
fn ranks_are_all_different_and_mix_the_zones() {
    let members = members(60, 3, 1);
    let hosts = || members.iter().map(|member| member.host.as_str());
    let rank_of = |member: &Candidate| rank(&member.host, hosts());
    let mut ranks: Vec<usize> = members.iter().map(rank_of).collect();
    let zones = |zone: &str| {
        let first = members.iter().filter(|member| rank_of(member) < 8);
        first.filter(|member| member.zone == zone).count()
    };
    assert!(zones("zone-0") < 8 && zones("zone-1") < 8 && zones("zone-2") < 8);
    ranks.sort_unstable();
    assert_eq!(ranks, (0..60).collect::<Vec<_>>());
}
