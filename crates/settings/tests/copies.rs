//! Incremental copies of trees, and lookup tables that are updated instead of rebuilt.

use lynxcleat_settings::{
    CopiedBucket, CopyBase, CopyError, CopyProgress, Digest, Route, RouteEffects, RoutePart,
    RouteTable, Tree, TreeCopy, TreeEdit, TreePart, digest,
};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use serde_json::json;

/// Size limit of a part: a few routes, so that copies take several parts.
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
    let mut edit = TreeEdit::of(&Tree::from_json(&nested).expect("valid"));
    for number in 0..routes {
        put(&mut edit, number, 400);
    }
    edit.finish().expect("valid")
}

fn put(edit: &mut TreeEdit, number: usize, goal_ms: u64) {
    let name = format!("r-{number}");
    edit.put_route(&name, route(number, goal_ms))
        .expect("valid");
}

/// A change of a tree.
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
                .expect("valid"),
        }
    }
    edit.finish().expect("valid")
}

/// Part sent by a source that knows the `earlier` trees.
fn next_part(source: &Tree, earlier: &[&Tree], copy: &mut TreeCopy) -> TreePart {
    let request = copy.request();
    let CopyBase::Tree(digest) = request.base else {
        let CopyBase::Units(sums) = request.base else {
            unreachable!("a base is a tree or units")
        };
        return source.part_by_sums(request.first, &sums, PART_BYTES);
    };
    let known = earlier.iter().find(|tree| tree.entries_digest() == digest);
    if let Some(known) = known {
        return source.part_since(known, request.first, PART_BYTES);
    }
    copy.discard_base();
    next_part(source, earlier, copy)
}

/// Copies a tree from sources that are used in turn, each with its generation.
fn copy(from: &Tree, earlier: &[&Tree], sources: &[(u64, &Tree)]) -> Tree {
    let mut copy = TreeCopy::of(from);
    for turn in 0..10_000 {
        // The last source has the newest tree and serves all remaining requests.
        let (generation, source) = sources[turn.min(sources.len() - 1)];
        let part = next_part(source, earlier, &mut copy);
        let progress = copy.apply(generation, &source.entries_digest(), part);
        if let CopyProgress::Complete(tree) = progress.expect("valid part")
            && turn + 1 >= sources.len()
        {
            return tree;
        }
    }
    panic!("the copy did not complete within 10,000 parts");
}

fn lookups(table: &RouteTable) -> Vec<Option<String>> {
    let paths = (0..60).map(|number| {
        let host = format!("host{}.example", number % 3);
        let path = format!("/{}/r{number}/x/y", number % 5);
        table.find(&host, &path).map(|named| named.name.clone())
    });
    paths.collect()
}

proptest! {
    #![proptest_config(Config { rng_seed: RngSeed::Fixed(41), failure_persistence: None, cases: 200, ..Config::default() })]

    /// A copy equals the newest tree whatever changed, even if the sources had different
    /// generations in the meantime; its digest and lookup tables equal those of a rebuilt tree.
    #[test]
    fn copying_yields_the_same_tree_as_rebuilding(
        first in steps(), second in steps(), third in steps(), starts_empty: bool, base_is_known: bool,
    ) {
        let initial = apply(&tree(30), &first);
        let middle = apply(&initial, &second);
        let newest = apply(&middle, &third);
        let present = if starts_empty { Tree::default() } else { initial.clone() };
        let earlier = [&initial];
        let earlier = if base_is_known { &earlier[..] } else { &[] };
        let copied = copy(&present, earlier, &[(2, &middle), (2, &middle), (3, &newest)]);
        let direct = copy(&present, earlier, &[(3, &newest)]);
        prop_assert_eq!(&direct, &copied);
        let rebuilt = Tree::parse(&newest.to_json().to_string()).expect("valid");
        prop_assert_eq!(&copied, &rebuilt);
        prop_assert_eq!(copied.entries_digest(), rebuilt.entries_digest());
        prop_assert_eq!(digest(&copied), digest(&rebuilt));
        let updated = RouteTable::of(&initial).updated_for(&middle).updated_for(&copied);
        prop_assert_eq!(lookups(&updated), lookups(&RouteTable::of(&rebuilt)));
    }

    #[test]
    fn entries_digests_differ_exactly_if_trees_differ(steps in steps()) {
        let before = tree(30);
        let after = apply(&before, &steps);
        prop_assert_eq!(before == after, before.entries_digest() == after.entries_digest());
    }
}

#[test]
fn only_changes_among_1400_routes_are_sent() {
    let before = tree(1_400);
    let after = apply(&before, &[Step::Put(7, 9), Step::Remove(9)]);
    let part = after.part_since(&before, 0, 32 << 10);
    let count = |of: fn(&CopiedBucket<Route>) -> usize| part.buckets.iter().map(of).sum::<usize>();
    let put = count(|bucket| bucket.entries.len());
    let removed = count(|bucket| bucket.removed.as_ref().map_or(0, Vec::len));
    assert_eq!((put, removed, part.next, &part.levels), (1, 1, None, &None));
}

#[test]
fn parts_that_are_misplaced_or_mismatch_the_digest_are_rejected() {
    let before = tree(20);
    let after = apply(&before, &[Step::Put(7, 9)]);
    let part = || after.part_since(&before, 0, PART_BYTES);
    let apply = |digest: &Digest, part| {
        let mut copy = TreeCopy::of(&before);
        copy.discard_base();
        copy.apply(2, digest, part)
    };
    let mismatch = apply(&before.entries_digest(), part());
    assert!(
        matches!(mismatch, Err(CopyError::DigestMismatch { .. })),
        "{mismatch:?}"
    );
    let mut misplaced = part();
    misplaced.buckets[0].number = (misplaced.buckets[0].number + 1) % 256;
    let number = misplaced.buckets[0].number;
    let rejected = apply(&after.entries_digest(), misplaced);
    assert_eq!(rejected, Err(CopyError::Misplaced(number)));
    let out_of_range = TreePart {
        buckets: vec![CopiedBucket {
            number: 256,
            entries: Vec::new(),
            removed: None,
        }],
        ..TreePart::default()
    };
    let rejected = apply(&after.entries_digest(), out_of_range);
    assert_eq!(rejected, Err(CopyError::Misplaced(256)));
    let mut invalid = part();
    invalid.buckets[0].entries[0].content.attempts = 0;
    let rejected = apply(&after.entries_digest(), invalid);
    assert!(
        matches!(rejected, Err(CopyError::Refused(_))),
        "{rejected:?}"
    );
    let malformed = TreePart {
        levels: Some("{".to_owned()),
        ..TreePart::default()
    };
    let rejected = apply(&after.entries_digest(), malformed);
    assert!(
        matches!(rejected, Err(CopyError::InvalidJson(_))),
        "{rejected:?}"
    );
}

#[test]
fn trees_with_more_routes_than_a_daemon_supports_are_rejected() {
    let mut edit = TreeEdit::of(&Tree::default());
    for number in 0..50_001 {
        put(&mut edit, number, 400);
    }
    let rejected = edit.clone().finish().expect_err("too many");
    assert_eq!(
        rejected.to_string(),
        "routes: 50001 routes is outside 0..=50000 routes"
    );
    edit.remove_route("r-0");
    assert_eq!(edit.finish().expect("valid").route_count(), 50_000);
}
