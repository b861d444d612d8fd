//! Merging two operators' edits, and generations that only rise.

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
    .expect("good")
}

fn edited(edits: &[(&str, u64)]) -> Tree {
    let mut tree = base();
    for (path, value) in edits {
        tree.set(path, json!(value)).expect("a good edit");
    }
    tree
}

#[test]
fn edits_of_different_paths_both_stand() {
    let theirs = edited(&[("places.east.slots", 7)]);
    let mine = edited(&[("places.west.slots", 8), ("root.slots", 6)]);
    let both = merge(&base(), &theirs, &mine).expect("no conflict");
    let expected = [
        ("places.east.slots", 7),
        ("places.west.slots", 8),
        ("root.slots", 6),
    ];
    assert_eq!(both, edited(&expected));
}

#[test]
fn the_same_path_twice_is_a_conflict_that_shows_the_other_change() {
    let theirs = edited(&[("root.slots", 7)]);
    let mine = edited(&[("root.slots", 8)]);
    let conflict = merge(&base(), &theirs, &mine).expect_err("a conflict");
    assert!(matches!(&conflict, Conflict::SamePath { theirs, .. } if theirs.new == Some(json!(7))));
    let same = merge(&base(), &theirs, &theirs).expect("the same value is none");
    assert_eq!(same, theirs);
}

#[test]
fn edits_that_contradict_together_are_refused() {
    let theirs = edited(&[("root.deadline_max_ms", 2_500)]);
    let mine = edited(&[("root.deadline_ms", 3_000)]);
    let refused = merge(&base(), &theirs, &mine).expect_err("refused");
    assert!(matches!(refused, Conflict::Refused(_)));
}

#[test]
fn a_field_set_in_a_level_that_was_removed_is_a_conflict() {
    let theirs = Tree::from_json(
        &json!({"settings": {"slots": 5}, "places": {"east": {"services": {"stock": {}}}}}),
    )
    .expect("good");
    let mine = edited(&[("places.west.slots", 8)]);
    let conflict = merge(&base(), &theirs, &mine).expect_err("a conflict");
    assert!(matches!(conflict, Conflict::LevelRemoved { .. }));
}

fn generation(number: u64, slots: u64) -> Generation {
    let (text, digest) = digest(&edited(&[("root.slots", slots)]));
    Generation::check(number, digest, text).expect("good content")
}

#[rstest]
#[case::first(2, None, Ok(true))]
#[case::newer(3, Some((2, 9)), Ok(true))]
#[case::older(1, Some((2, 9)), Ok(false))]
#[case::same(2, Some((2, 7)), Ok(false))]
#[case::other_content(2, Some((2, 9)), Err(OfferError::Disagrees { number: 2 }))]
fn a_generation_succeeds_only_an_older_one(
    #[case] number: u64,
    #[case] current: Option<(u64, u64)>,
    #[case] expected: Result<bool, OfferError>,
) {
    let current = current.map(|(number, slots)| generation(number, slots));
    assert_eq!(generation(number, 7).succeeds(current.as_ref()), expected);
}

#[test]
fn content_that_does_not_match_its_digest_is_refused() {
    let (text, _) = digest(&edited(&[("root.slots", 7)]));
    let (_, other) = digest(&edited(&[("root.slots", 8)]));
    let refused = Generation::check(4, other, text);
    assert_eq!(refused, Err(OfferError::WrongDigest { number: 4 }));
}

proptest! {
    #![proptest_config(Config { rng_seed: RngSeed::Fixed(11), failure_persistence: None, ..Config::default() })]

    /// Whatever two operators set, a merge holds every change of both, or says
    /// which path they disagree on.
    #[test]
    fn a_merge_holds_every_change_or_names_a_conflict(
        theirs in prop::collection::vec((0..6_usize, 1..4_u64), 0..5),
        mine in prop::collection::vec((0..6_usize, 1..4_u64), 0..5),
    ) {
        let paths = [
            "root.slots", "root.hold_limit", "places.east.slots", "places.west.slots",
            "places.east.services.stock.slots", "places.north.services.stock.hold_limit",
        ];
        let edit = |edits: &[(usize, u64)]| {
            let edits: Vec<_> = edits.iter().map(|(at, value)| (paths[*at], *value)).collect();
            edited(&edits)
        };
        let (theirs, mine) = (edit(&theirs), edit(&mine));
        match merge(&base(), &theirs, &mine) {
            Ok(both) => {
                for change in diff(&base(), &theirs).into_iter().chain(diff(&base(), &mine)) {
                    prop_assert_eq!(both.get(&change.path), change.new.as_ref());
                }
                prop_assert!(merge(&base(), &mine, &theirs).is_ok());
            }
            Err(Conflict::SamePath { theirs: other, mine: own }) => {
                prop_assert_eq!(&other.path, &own.path);
                prop_assert_ne!(other.new, own.new);
            }
            Err(other) => prop_assert!(false, "{}", other),
        }
    }
}
