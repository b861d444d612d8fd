//! Validation, inheritance and origins of a settings tree.

use lynxcleat_settings::{Effective, FIELDS, Origin, Tree, digest};
use serde_json::json;

fn example(name: &str) -> Tree {
    let file = format!("{}/../../examples/{name}.json", env!("CARGO_MANIFEST_DIR"));
    let text = std::fs::read_to_string(file).expect("readable example");
    Tree::parse(&text).expect("valid example")
}

#[test]
fn the_examples_have_the_places_services_and_limits_of_both_deployments() {
    let kolkata = example("kolkata");
    assert_eq!(kolkata.places(), ["behala", "howrah", "salt-lake"]);
    let services = ["godown", "jobcard", "pricebook", "warranty"];
    assert_eq!(kolkata.services("howrah"), services);
    assert_eq!(Effective::of(&kolkata, "howrah", "godown").slots, 12);
    let plateau = example("plateau");
    assert_eq!(plateau.places(), ["bukuru-hall", "jos-hall", "vom-hall"]);
    let services = ["crate-records", "grower-pay", "picking-log", "weighbridge"];
    assert_eq!(plateau.services("jos-hall"), services);
    let effective = Effective::of(&plateau, "jos-hall", "weighbridge");
    assert_eq!((effective.slots, effective.connection_limit), (6, 200));
}

#[test]
fn levels_inherit_and_override_fields_and_report_the_origin() {
    let tree = Tree::from_json(&json!({
        "settings": {"slots": 5, "hold_limit": 7},
        "places": {"east": {
            "settings": {"hold_limit": 8},
            "services": {"stock": {"settings": {"slots": 9}}}
        }}
    }))
    .expect("valid tree");
    let resolved = tree.resolve("east", "stock");
    let find = |name| {
        let found = resolved.iter().find(|field| field.name == name);
        let field = found.expect("every field is resolved");
        (field.value.clone(), field.origin.clone())
    };
    let level = |path: &str| Origin::Level(path.to_owned());
    let expected = (json!(9), level("places.east.services.stock"));
    assert_eq!(find("slots"), expected);
    assert_eq!(find("hold_limit"), (json!(8), level("places.east")));
    assert_eq!(find("attempt_limit"), (json!(3), Origin::Default));
    assert_eq!(Effective::of(&tree, "west", "stock").hold_limit, 7);
}

#[test]
fn invalid_trees_are_rejected_with_the_path_of_the_error() {
    let invalid = [
        json!({"settings": {"slotz": 1}}),
        json!({"setting": {}}),
        json!({"settings": {"slots": "12"}}),
        json!({"settings": {"slots": 1.5}}),
        json!({"settings": {"slots": -1}}),
        json!({"places": {"east": {"settings": {"retry_percent": 101}}}}),
        json!({"settings": {"policy": "best"}}),
        json!({"places": {"East": {}}}),
        json!({"places": {"east": {"services": {"a.b": {}}}}}),
        json!({"places": {"east": {"services": []}}}),
        json!({"settings": {"deadline_ms": 900}, "places": {"east": {"settings": {"deadline_max_ms": 800}}}}),
        json!({"settings": {"heartbeat_ms": 900, "link_silence_ms": 800}}),
    ];
    let report = invalid.iter().map(|tree| {
        let error = Tree::from_json(tree).expect_err("invalid tree");
        format!("{tree}\n    {error}\n")
    });
    insta::assert_snapshot!(report.collect::<String>());
}

#[test]
fn a_rejected_edit_leaves_the_tree_unchanged() {
    let mut tree = example("kolkata");
    let before = tree.clone();
    assert!(tree.set("places.howrah.slots", json!(0)).is_err());
    assert!(
        tree.set("places.howrah", json!({})).is_ok(),
        "an existing level can be set"
    );
    assert!(tree.set("howrah.slots", json!(1)).is_err());
    assert!(tree.unset("places.howrah").is_err());
    assert_eq!(tree, before);
}

#[test]
fn a_tree_parsed_from_its_json_form_has_the_same_digest() {
    let tree = example("plateau");
    let (text, expected) = digest(&tree);
    let parsed = Tree::parse(&text).expect("serialized tree is valid");
    assert_eq!(parsed, tree);
    assert_eq!(digest(&parsed).1, expected);
}

#[test]
fn every_default_value_is_valid() {
    for spec in FIELDS {
        assert_eq!(spec.check(&spec.default_value()), Ok(()), "{}", spec.name);
    }
    Effective::of(&Tree::default(), "", "");
}
