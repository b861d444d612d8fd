//! Routes: validation and selection of the route of a request.

use lynxcleat_settings::{RouteTable, Tree, diff, digest};
use rstest::rstest;
use serde_json::{Value, json};

fn route(prefix: &str, service: &str) -> Value {
    json!({
        "host": "Shop.example", "prefix": prefix, "effects": "none", "timeout_ms": 1_000,
        "goal_ms": 400, "attempts": 2, "priority": 1,
        "parts": [{"service": service, "weight": 1}]
    })
}

fn tree() -> Tree {
    let tree = json!({
        "places": {"east": {"services": {"stock": {}, "price": {}}}},
        "routes": {"a": route("/a/", "stock"), "a-long": route("/a/b/", "price"), "root": route("/", "price")}
    });
    Tree::from_json(&tree).expect("a valid tree")
}

#[rstest]
#[case::longest_prefix("shop.example", "/a/b/c", Some("a-long"))]
#[case::shorter_prefix("shop.example", "/a/x", Some("a"))]
#[case::without_trailing_slash("shop.example", "/a", Some("root"))]
#[case::other_host("other.example", "/a/b/c", None)]
fn the_longest_matching_prefix_of_the_host_is_selected(
    #[case] host: &str,
    #[case] path: &str,
    #[case] expected: Option<&str>,
) {
    let table = RouteTable::of(&tree());
    let found = table.find(host, path).map(|named| named.name.as_str());
    assert_eq!(found, expected);
}

#[test]
fn routes_round_trip_through_json_and_are_diffed_individually() {
    let tree = tree();
    let (text, _) = digest(&tree);
    assert_eq!(Tree::parse(&text).expect("canonical text"), tree);
    let mut changed = tree.to_json();
    changed["routes"]["a"]["timeout_ms"] = 900.into();
    let changed = Tree::from_json(&changed).expect("a valid tree");
    let paths: Vec<String> = diff(&tree, &changed)
        .into_iter()
        .map(|change| change.path)
        .collect();
    assert_eq!(paths, ["routes.a"]);
    let table = RouteTable::of(&tree);
    let kind = |path| table.find("shop.example", path).expect("a route").kind;
    assert_ne!(kind("/a/x"), kind("/a/b/x"));
}

#[rstest]
#[case::no_trailing_slash("prefix", json!("/a"))]
#[case::empty_host("host", json!(""))]
#[case::zero_timeout("timeout_ms", json!(0))]
#[case::too_many_attempts("attempts", json!(9))]
#[case::zero_weight("parts", json!([{"service": "stock", "weight": 0}]))]
#[case::no_parts("parts", json!([]))]
#[case::unknown_effects("effects", json!("some"))]
#[case::unknown_field("colour", json!("red"))]
fn an_invalid_route_is_rejected_with_its_path(#[case] field: &str, #[case] value: Value) {
    let mut tree = tree().to_json();
    tree["routes"]["a"][field] = value;
    let error = Tree::from_json(&tree).expect_err("an invalid route");
    assert!(error.to_string().starts_with("routes.a: "), "{error}");
}
