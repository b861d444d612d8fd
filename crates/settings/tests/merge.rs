//! Merging two operators' edits, and generation numbers that never decrease.

use lynxcleat_settings::{Conflict, Generation, OfferError, Tree, diff, digest, merge};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use rstest::rstest;
use serde_json::json;

fn base() -> Tree {
    Tree::from_json(&json!({
        "settings": {"slots": 5},
        "places": {"east": {"services": {"stock": {}}}, "west": {}}
    }))
    .expect("valid tree")
}

fn edited(edits: &[(&str, u64)]) -> Tree {
    let mut tree = base();
    for (path, value) in edits {
        tree.set(path, json!(value)).expect("valid edit");
    }
    tree
}

#[test]
fn edits_of_different_paths_are_both_kept() {
    let theirs = edited(&[("places.east.slots", 7)]);
    let mine = edited(&[("places.west.slots", 8), ("root.slots", 6)]);
    let merged = merge(&base(), &theirs, &mine).expect("edits without conflicts");
    let expected = [
        ("places.east.slots", 7),
        ("places.west.slots", 8),
        ("root.slots", 6),
    ];
    assert_eq!(merged, edited(&expected));
}

#[test]
fn different_values_for_one_path_are_a_conflict_that_shows_the_other_change() {
    let theirs = edited(&[("root.slots", 7)]);
    let mine = edited(&[("root.slots", 8)]);
    let conflict = merge(&base(), &theirs, &mine).expect_err("conflicting edits");
    assert!(matches!(&conflict, Conflict::SamePath { theirs, .. } if theirs.new == Some(json!(7))));
    let same = merge(&base(), &theirs, &theirs).expect("equal values do not conflict");
    assert_eq!(same, theirs);
}

#[test]
fn edits_that_violate_a_constraint_together_are_rejected() {
    let theirs = edited(&[("root.deadline_max_ms", 2_500)]);
    let mine = edited(&[("root.deadline_ms", 3_000)]);
    let error = merge(&base(), &theirs, &mine).expect_err("invalid merged tree");
    assert!(matches!(error, Conflict::Refused(_)));
}

#[test]
fn a_field_set_in_a_level_that_was_removed_is_a_conflict() {
    let theirs = Tree::from_json(
        &json!({"settings": {"slots": 5}, "places": {"east": {"services": {"stock": {}}}}}),
    )
    .expect("valid tree");
    let mine = edited(&[("places.west.slots", 8)]);
    let conflict = merge(&base(), &theirs, &mine).expect_err("conflicting edits");
    assert!(matches!(conflict, Conflict::LevelRemoved { .. }));
}

fn generation(number: u64, slots: u64) -> Generation {
    let (text, digest) = digest(&edited(&[("root.slots", slots)]));
    Generation::check(number, digest, text).expect("content matches its digest")
}

#[rstest]
#[case::first(2, None, Ok(true))]
#[case::newer(3, Some((2, 9)), Ok(true))]
#[case::older(1, Some((2, 9)), Ok(false))]
#[case::same(2, Some((2, 7)), Ok(false))]
#[case::other_content(2, Some((2, 9)), Err(OfferError::ConflictingDigest { number: 2 }))]
fn a_generation_supersedes_only_an_older_one(
    #[case] number: u64,
    #[case] current: Option<(u64, u64)>,
    #[case] expected: Result<bool, OfferError>,
) {
    let current = current.map(|(number, slots)| generation(number, slots));
    assert_eq!(generation(number, 7).supersedes(current.as_ref()), expected);
}

#[test]
fn content_that_does_not_match_its_digest_is_rejected() {
    let (text, _) = digest(&edited(&[("root.slots", 7)]));
    let (_, other) = digest(&edited(&[("root.slots", 8)]));
    let result = Generation::check(4, other, text);
    assert_eq!(result, Err(OfferError::DigestMismatch { number: 4 }));
}

proptest! {
    #![proptest_config(Config { rng_seed: RngSeed::Fixed(11), failure_persistence: None, ..Config::default() })]

    /// A merge contains every change of both edits, or fails with a path that both set to
    /// different values.
    #[test]
    fn a_merge_contains_every_change_or_fails_with_a_conflict(
        theirs in prop::collection::vec((0..6_usize, 1..4_u64), 0..5),
        mine in prop::collection::vec((0..6_usize, 1..4_u64), 0..5),
    ) {
        let paths = [
            "root.slots", "root.hold_limit", "places.east.slots", "places.west.slots",
            "places.east.services.stock.slots", "places.north.services.stock.hold_limit",
        ];
        let edit = |edits: &[(usize, u64)]| {
            let edits: Vec<_> = edits.iter().map(|(index, value)| (paths[*index], *value)).collect();
            edited(&edits)
        };
        let (theirs, mine) = (edit(&theirs), edit(&mine));
        match merge(&base(), &theirs, &mine) {
            Ok(merged) => {
                for change in diff(&base(), &theirs).into_iter().chain(diff(&base(), &mine)) {
                    prop_assert_eq!(merged.get(&change.path), change.new.as_ref());
                }
                prop_assert!(merge(&base(), &mine, &theirs).is_ok());
            }
            Err(Conflict::SamePath { theirs: their_change, mine: my_change }) => {
                prop_assert_eq!(&their_change.path, &my_change.path);
                prop_assert_ne!(their_change.new, my_change.new);
            }
            Err(other) => prop_assert!(false, "{}", other),
        }
    }
}
