//! Checks, inheritance and origins of a tree.

use lynxcleat_settings::{Effective, FIELDS, Origin, Tree, digest};
use serde_json::json;

fn example(name: &str) -> Tree {
    let file = format!("{}/../../examples/{name}.json", env!("CARGO_MANIFEST_DIR"));
    let text = std::fs::read_to_string(file).expect("the example");
    Tree::parse(&text).expect("a good example")
}

#[test]
fn the_examples_hold_the_places_services_and_sizes_of_both_deployments() {
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
fn a_level_inherits_and_overrides_and_says_whence() {
    let tree = Tree::from_json(&json!({
        "settings": {"slots": 5, "hold_limit": 7},
        "places": {"east": {
            "settings": {"hold_limit": 8},
            "services": {"stock": {"settings": {"slots": 9}}}
        }}
    }))
    .expect("good");
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
fn faults_are_refused_with_their_path() {
    let faulty = [
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
    let told = faulty.iter().map(|tree| {
        let fault = Tree::from_json(tree).expect_err("a fault");
        format!("{tree}\n    {fault}\n")
    });
    insta::assert_snapshot!(told.collect::<String>());
}

#[test]
fn a_refused_edit_changes_nothing() {
    let mut tree = example("kolkata");
    let before = tree.clone();
    assert!(tree.set("places.howrah.slots", json!(0)).is_err());
    assert!(
        tree.set("places.howrah", json!({})).is_ok(),
        "a level that is there"
    );
    assert!(tree.set("howrah.slots", json!(1)).is_err());
    assert!(tree.unset("places.howrah").is_err());
    assert_eq!(tree, before);
}

#[test]
fn the_json_form_reads_back_with_the_same_digest() {
    let tree = example("plateau");
    let (text, first) = digest(&tree);
    let back = Tree::parse(&text).expect("its own text");
    assert_eq!(back, tree);
    assert_eq!(digest(&back).1, first);
}

#[test]
fn every_default_passes_its_own_check() {
    for spec in FIELDS {
        assert_eq!(spec.check(&spec.default_value()), Ok(()), "{}", spec.name);
    }
    Effective::of(&Tree::default(), "", "");
}
