//! Organisations in a tree: validation, key lookup, diffs and copies.

use lynxcleat_settings::{
    CopyBase, CopyProgress, KeyDigest, KeyTable, Organisation, Tree, TreeCopy, TreeEdit, diff,
    merge,
};
use proptest::prelude::*;
use rstest::rstest;
use serde_json::{Value, json};

fn tree(organisations: Value) -> Tree {
    Tree::from_json(&json!({"places": {}, "organisations": organisations})).expect("a valid tree")
}

fn digest(key: &str) -> String {
    KeyDigest::of(key.as_bytes()).to_string()
}

fn with_keys(keys: &[&str]) -> Organisation {
    Organisation {
        key_digests: keys
            .iter()
            .map(|key| KeyDigest::of(key.as_bytes()))
            .collect(),
        rate_per_1000_s: 5_000,
        burst: 10,
        priority: 1,
    }
}

#[test]
fn a_key_is_found_under_its_organisation_until_it_is_removed() {
    let both = tree(json!({"guild": {"key_digests": [digest("old"), digest("new")]}}));
    let keys = KeyTable::of(&both);
    let name =
        |keys: &KeyTable, key: &str| keys.find(key.as_bytes()).map(|named| named.name.clone());
    assert_eq!(name(&keys, "old").as_deref(), Some("guild"));
    assert_eq!(name(&keys, "new").as_deref(), Some("guild"));
    assert_eq!(name(&keys, "other"), None);
    let rotated = tree(json!({"guild": {"key_digests": [digest("new")]}}));
    let keys = keys.updated_for(&rotated);
    assert_eq!(name(&keys, "old"), None);
    assert_eq!(name(&keys, "new").as_deref(), Some("guild"));
}

#[test]
fn a_key_moved_to_another_organisation_is_found_there() {
    let before = tree(json!({"a": {"key_digests": [digest("k")]}, "b": {}}));
    let after = tree(json!({"a": {}, "b": {"key_digests": [digest("k")]}}));
    let keys = KeyTable::of(&before).updated_for(&after);
    assert_eq!(keys.find(b"k").map(|named| &*named.name), Some("b"));
    let keys = keys.updated_for(&before);
    assert_eq!(keys.find(b"k").map(|named| &*named.name), Some("a"));
}

#[rstest]
#[case(json!({"a": {"key_digests": ["xy"]}}), "organisations.a: not an organisation: invalid key digest: expected 64 hexadecimal digits")]
#[case(json!({"a": {"keys": []}}), "organisations.a: not an organisation: unknown field `keys`")]
#[case(json!({"a b": {}}), "organisations.a b: an organisation's name")]
#[case(json!({"a": {"burst": 1_000_000_001_u64}}), "organisations.a: 1000000001 calls is outside")]
fn an_invalid_organisation_is_rejected_with_its_path(
    #[case] organisations: Value,
    #[case] fault: &str,
) {
    let rejected = Tree::from_json(&json!({"places": {}, "organisations": organisations}));
    let text = rejected.expect_err("rejected").to_string();
    assert!(text.starts_with(fault), "{text}");
}

#[test]
fn a_key_shared_by_two_organisations_is_rejected_without_showing_it() {
    let shared = json!({"a": {"key_digests": [digest("k")]}, "b": {"key_digests": [digest("k")]}});
    let rejected = Tree::from_json(&json!({"places": {}, "organisations": shared}));
    let text = rejected.expect_err("rejected").to_string();
    assert!(text.contains("is also a key of organisation"), "{text}");
    assert!(!text.contains(&digest("k")), "{text}");
    let mut edit = TreeEdit::of(&tree(json!({"a": {"key_digests": [digest("k")]}})));
    edit.put_organisation("b", with_keys(&["k"]))
        .expect("valid by itself");
    assert!(edit.finish().is_err());
}

#[test]
fn organisation_changes_are_diffed_and_merged_by_path() {
    let base = tree(json!({"a": {"burst": 1}, "b": {"burst": 1}}));
    let theirs = tree(json!({"a": {"burst": 2}, "b": {"burst": 1}}));
    let mine = tree(json!({"a": {"burst": 1}, "b": {"burst": 3}, "c": {}}));
    let paths: Vec<String> = diff(&base, &mine)
        .into_iter()
        .map(|change| change.path)
        .collect();
    assert_eq!(paths, ["organisations.b", "organisations.c"]);
    let merged = merge(&base, &theirs, &mine).expect("different paths");
    assert_eq!(
        merged,
        tree(json!({"a": {"burst": 2}, "b": {"burst": 3}, "c": {}}))
    );
    let conflicting = tree(json!({"a": {"burst": 9}, "b": {"burst": 1}}));
    assert!(merge(&base, &theirs, &conflicting).is_err());
}

/// Copies `after` to a receiver that holds `before`, by changes or by checksums. Returns the tree
/// and the number of organisations sent.
fn copy(before: &Tree, after: &Tree, by_sums: bool) -> (Tree, usize) {
    let mut copy = TreeCopy::of(before);
    if by_sums {
        copy.discard_base();
    }
    let mut entries = 0;
    loop {
        let request = copy.request();
        let part = match request.base {
            CopyBase::Tree(_) => after.part_since(before, request.first, 500),
            CopyBase::Units(sums) => after.part_by_sums(request.first, &sums, 500),
        };
        let organisations = part.organisations.iter();
        entries += organisations
            .map(|bucket| bucket.entries.len())
            .sum::<usize>();
        match copy
            .apply(2, &after.entries_digest(), part)
            .expect("valid part")
        {
            CopyProgress::Incomplete => {}
            CopyProgress::Complete(tree) => return (tree, entries),
        }
    }
}

#[test]
fn only_the_changed_organisation_of_1000_is_sent() {
    let mut edit = TreeEdit::of(&Tree::default());
    for number in 0..1_000 {
        let key = format!("key-{number}");
        edit.put_organisation(&format!("o{number}"), with_keys(&[&key]))
            .expect("valid");
    }
    let before = edit.finish().expect("valid");
    let mut edit = TreeEdit::of(&before);
    edit.put_organisation("o7", with_keys(&["key-7", "fresh"]))
        .expect("valid");
    let after = edit.finish().expect("valid");
    let (tree, entries) = copy(&before, &after, false);
    assert_eq!((tree == after, entries), (true, 1));
}

proptest! {
    #[test]
    fn copies_and_updated_key_tables_equal_rebuilt_ones(
        steps in proptest::collection::vec((0_usize..20, 0_u8..4), 1..30),
        by_sums in any::<bool>(),
    ) {
        let before = tree(json!({"o0": {"key_digests": [digest("k0-0")]}, "o1": {}}));
        let mut edit = TreeEdit::of(&before);
        for (number, version) in steps {
            let name = format!("o{number}");
            match version {
                0 => edit.remove_organisation(&name),
                _ => {
                    let key = format!("k{number}-{version}");
                    edit.put_organisation(&name, with_keys(&[&key])).expect("valid");
                }
            }
        }
        let after = edit.finish().expect("valid");
        let (tree, _) = copy(&before, &after, by_sums);
        prop_assert_eq!(&tree, &after);
        prop_assert_eq!(before == after, before.entries_digest() == after.entries_digest());
        let updated = KeyTable::of(&before).updated_for(&after);
        for number in 0..20 {
            for version in 0..4 {
                let key = format!("k{number}-{version}");
                let name = |keys: &KeyTable| keys.find(key.as_bytes()).map(|named| named.name.clone());
                prop_assert_eq!(name(&updated), name(&KeyTable::of(&after)));
            }
        }
    }
}
