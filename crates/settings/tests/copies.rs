//! Copies of trees part by part, and what follows a change instead of being built anew.

use lynxcleat_settings::{
    CopiedBucket, CopyBase, CopyError, CopyStep, Digest, Route, RouteEffects, RoutePart,
    RouteTable, Tree, TreeCopy, TreeEdit, TreePart, digest,
};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use serde_json::json;

/// Bytes before the last unit of a part: a few routes, so that copies take several parts.
const PART_BYTES: usize = 600;

fn route(number: usize, goal_ms: u64) -> Route {
    Route {
        host: format!("Host{}.example", number % 3),
        prefix: format!("/{}/r{number}/", number % 5),
        effects: RouteEffects::None,
        timeout_ms: 1_000,
        goal_ms,
        attempts: 2,
        priority: 1,
        parts: vec![RoutePart {
            service: "stock".to_owned(),
            weight: 1,
        }],
        home_regions: Vec::new(),
        large_bodies: number.is_multiple_of(4),
        public: number.is_multiple_of(5),
    }
}

fn tree(routes: usize) -> Tree {
    let nested = json!({"places": {"east": {"services": {"stock": {}}}}});
    let mut edit = TreeEdit::of(&Tree::from_json(&nested).expect("good"));
    for number in 0..routes {
        put(&mut edit, number, 400);
    }
    edit.finish().expect("good")
}

fn put(edit: &mut TreeEdit, number: usize, goal_ms: u64) {
    let name = format!("r-{number}");
    edit.put_route(&name, route(number, goal_ms)).expect("good");
}

/// One change of a tree.
#[derive(Clone, Debug)]
enum Step {
    Put(usize, u64),
    Remove(usize),
    Slots(u64),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        4 => (0..60_usize, 1..5_u64).prop_map(|(number, goal)| Step::Put(number, goal)),
        2 => (0..60_usize).prop_map(Step::Remove),
        1 => (1..9_u64).prop_map(Step::Slots),
    ];
    prop::collection::vec(step, 0..12)
}

fn apply(tree: &Tree, steps: &[Step]) -> Tree {
    let mut edit = TreeEdit::of(tree);
    for step in steps {
        match step {
            Step::Put(number, goal_ms) => put(&mut edit, *number, *goal_ms),
            Step::Remove(number) => edit.remove_route(&format!("r-{number}")),
            Step::Slots(slots) => edit
                .set_levels(&json!({
                    "settings": {"slots": slots},
                    "places": {"east": {"services": {"stock": {}}}}
                }))
                .expect("good"),
        }
    }
    edit.finish().expect("good")
}

/// What a source that knows some earlier trees sends.
fn part(source: &Tree, earlier: &[&Tree], copy: &mut TreeCopy) -> TreePart {
    let asked = copy.ask();
    let CopyBase::Tree(digest) = asked.base else {
        let CopyBase::Units(sums) = asked.base else {
            unreachable!("a base is a tree or units")
        };
        return source.part_by_sums(asked.first, &sums, PART_BYTES);
    };
    let known = earlier.iter().find(|tree| tree.entries_digest() == digest);
    if let Some(known) = known {
        return source.part_since(known, asked.first, PART_BYTES);
    }
    copy.base_is_unknown();
    part(source, earlier, copy)
}

/// Copies a tree from sources that are asked in turn, each with its generation.
fn copy(from: &Tree, earlier: &[&Tree], sources: &[(u64, &Tree)]) -> Tree {
    let mut copy = TreeCopy::of(from);
    for turn in 0..10_000 {
        // The last of them has the newest tree, and is asked from then on.
        let (generation, source) = sources[turn.min(sources.len() - 1)];
        let part = part(source, earlier, &mut copy);
        let taken = copy.take(generation, &source.entries_digest(), part);
        if let CopyStep::Whole(tree) = taken.expect("taken")
            && turn + 1 >= sources.len()
        {
            return tree;
        }
    }
    panic!("no end of parts");
}

fn found(table: &RouteTable) -> Vec<Option<String>> {
    let paths = (0..60).map(|number| {
        let host = format!("host{}.example", number % 3);
        let path = format!("/{}/r{number}/x/y", number % 5);
        table.find(&host, &path).map(|named| named.name.clone())
    });
    paths.collect()
}

proptest! {
    #![proptest_config(Config { rng_seed: RngSeed::Fixed(41), failure_persistence: None, cases: 200, ..Config::default() })]

    /// Whatever changed, whichever sources had which generation meanwhile: the copy is the
    /// newest tree, with the digest and the lookups of one that is built anew.
    #[test]
    fn a_copy_is_what_building_anew_gives(
        first in steps(), second in steps(), third in steps(), starts_empty: bool, is_known: bool,
    ) {
        let begun = apply(&tree(30), &first);
        let middle = apply(&begun, &second);
        let newest = apply(&middle, &third);
        let own = if starts_empty { Tree::default() } else { begun.clone() };
        let earlier = [&begun];
        let earlier = if is_known { &earlier[..] } else { &[] };
        let copied = copy(&own, earlier, &[(2, &middle), (2, &middle), (3, &newest)]);
        let direct = copy(&own, earlier, &[(3, &newest)]);
        prop_assert_eq!(&direct, &copied);
        let anew = Tree::parse(&newest.to_json().to_string()).expect("good");
        prop_assert_eq!(&copied, &anew);
        prop_assert_eq!(copied.entries_digest(), anew.entries_digest());
        prop_assert_eq!(digest(&copied), digest(&anew));
        let followed = RouteTable::of(&begun).followed_by(&middle).followed_by(&copied);
        prop_assert_eq!(found(&followed), found(&RouteTable::of(&anew)));
    }

    #[test]
    fn trees_that_differ_have_other_digests(steps in steps()) {
        let before = tree(30);
        let after = apply(&before, &steps);
        prop_assert_eq!(before == after, before.entries_digest() == after.entries_digest());
    }
}

#[test]
fn what_changed_among_1400_routes_is_all_that_is_sent() {
    let before = tree(1_400);
    let after = apply(&before, &[Step::Put(7, 9), Step::Remove(9)]);
    let part = after.part_since(&before, 0, 32 << 10);
    let count = |of: fn(&CopiedBucket<Route>) -> usize| part.buckets.iter().map(of).sum::<usize>();
    let put = count(|bucket| bucket.entries.len());
    let removed = count(|bucket| bucket.removed.as_ref().map_or(0, Vec::len));
    assert_eq!((put, removed, part.next, &part.levels), (1, 1, None, &None));
}

#[test]
fn a_part_that_is_out_of_place_or_not_its_source_s_is_refused() {
    let before = tree(20);
    let after = apply(&before, &[Step::Put(7, 9)]);
    let part = || after.part_since(&before, 0, PART_BYTES);
    let take = |digest: &Digest, part| {
        let mut copy = TreeCopy::of(&before);
        copy.base_is_unknown();
        copy.take(2, digest, part)
    };
    let other = take(&before.entries_digest(), part());
    assert!(matches!(other, Err(CopyError::Differs { .. })), "{other:?}");
    let mut moved = part();
    moved.buckets[0].number = (moved.buckets[0].number + 1) % 256;
    let number = moved.buckets[0].number;
    let refused = take(&after.entries_digest(), moved);
    assert_eq!(refused, Err(CopyError::Misplaced(number)));
    let beyond = TreePart {
        buckets: vec![CopiedBucket {
            number: 256,
            entries: Vec::new(),
            removed: None,
        }],
        ..TreePart::default()
    };
    let refused = take(&after.entries_digest(), beyond);
    assert_eq!(refused, Err(CopyError::Misplaced(256)));
    let mut faulty = part();
    faulty.buckets[0].entries[0].content.attempts = 0;
    let refused = take(&after.entries_digest(), faulty);
    assert!(matches!(refused, Err(CopyError::Refused(_))), "{refused:?}");
    let nonsense = TreePart {
        levels: Some("{".to_owned()),
        ..TreePart::default()
    };
    let refused = take(&after.entries_digest(), nonsense);
    assert!(matches!(refused, Err(CopyError::NotJson(_))), "{refused:?}");
}

#[test]
fn a_tree_with_more_routes_than_a_daemon_can_hold_is_refused() {
    let mut edit = TreeEdit::of(&Tree::default());
    for number in 0..50_001 {
        put(&mut edit, number, 400);
    }
    let refused = edit.clone().finish().expect_err("too many");
    assert_eq!(
        refused.to_string(),
        "routes: 50001 routes is outside 0..=50000 routes"
    );
    edit.remove_route("r-0");
    assert_eq!(edit.finish().expect("good").route_count(), 50_000);
}
