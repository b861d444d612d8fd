//! Home regions in a settings tree: inheritance, merges and validation.

use std::collections::BTreeSet;

use lynxcleat_settings::{
    Conflict, Effective, Fault, RouteTable, SettingsError, Tree, diff, digest, merge,
};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use rstest::rstest;
use serde_json::{Value, json};

/// A tree with places `east` and `west` in regions `r1` and `r2`. Both have service `stock`; only
/// `west` has `pay`.
fn base() -> Value {
    json!({
        "settings": {},
        "places": {
            "east": {"settings": {"region": "r1"}, "services": {"stock": {}}},
            "west": {"settings": {"region": "r2"}, "services": {"stock": {}, "pay": {}}},
        },
        "routes": {},
    })
}

fn route(services: &[&str], homes: &[&str]) -> Value {
    let parts: Vec<Value> = services
        .iter()
        .map(|service| json!({"service": service, "weight": 1}))
        .collect();
    json!({
        "host": "a.example", "prefix": "/x/", "effects": "none", "timeout_ms": 1_000,
        "goal_ms": 500, "attempts": 2, "priority": 0, "parts": parts, "home_regions": homes,
    })
}

#[test]
fn home_regions_are_inherited_overridden_and_normalized() {
    let mut nested = base();
    nested["settings"]["home_regions"] = json!(["r2", "r1", "r2"]);
    nested["places"]["east"]["services"]["stock"]["settings"] = json!({"home_regions": ["r1"]});
    let tree = Tree::from_json(&nested).expect("valid tree");
    let homes = |place, service| Effective::of(&tree, place, service).home_regions;
    assert_eq!(
        homes("west", "stock"),
        ["r1", "r2"],
        "sorted without duplicates"
    );
    assert_eq!(homes("east", "stock"), ["r1"]);
    assert_eq!(homes("east", "pay"), tree.home_regions("east", "pay"));
    assert_eq!((tree.region("east"), tree.region("north")), ("r1", ""));
    assert!(tree.has_home_regions());
    nested["settings"]["home_regions"] = json!(["r1", "r2"]);
    let same = Tree::from_json(&nested).expect("valid tree");
    assert_eq!(digest(&tree), digest(&same));
}

#[test]
fn an_empty_list_allows_any_region() {
    let mut nested = base();
    nested["settings"]["home_regions"] = json!([]);
    nested["routes"]["r"] = route(&["stock"], &[]);
    let tree = Tree::from_json(&nested).expect("valid tree");
    assert!(!tree.has_home_regions());
    assert!(
        Effective::of(&tree, "east", "stock")
            .home_regions
            .is_empty()
    );
}

#[test]
fn routes_are_found_by_kind_and_by_service() {
    let mut nested = base();
    nested["routes"]["one"] = route(&["stock"], &["r1"]);
    nested["routes"]["two"] = route(&["stock", "pay"], &[]);
    nested["routes"]["two"]["host"] = "b.example".into();
    let routes = RouteTable::of(&Tree::from_json(&nested).expect("valid tree"));
    let named = routes.find("a.example", "/x/").expect("known route");
    let found: Vec<&str> = routes
        .of_kind(named.kind)
        .iter()
        .map(|named| named.name.as_str())
        .collect();
    assert_eq!(found, ["one"]);
    assert!(routes.of_kind(named.kind ^ 1).is_empty());
    assert_eq!(routes.of_service("stock").count(), 2);
    assert_eq!(routes.of_service("pay").count(), 1);
}

fn set_at(path: &'static [&'static str], value: Value) -> impl Fn(&mut Value) {
    move |tree| {
        let target = path.iter().fold(tree, |parent, key| &mut parent[*key]);
        *target = value.clone();
    }
}

fn is_unknown_region(fault: &Fault) -> bool {
    matches!(fault, Fault::UnknownRegion { found, known } if found == "r3" && known == "r1, r2")
}

#[rstest]
#[case::root(set_at(&["settings"], json!({"home_regions": ["r3"]})), "root.home_regions", is_unknown_region)]
#[case::service(
    set_at(&["places", "east", "services", "stock", "settings"], json!({"home_regions": ["r1", "r3"]})),
    "places.east.services.stock.home_regions", is_unknown_region)]
#[case::route(set_at(&["routes", "r"], route(&["stock"], &["r3"])), "routes.r", is_unknown_region)]
#[case::region_without_a_place(
    set_at(&["places", "west", "settings"], json!({"region": "r9", "home_regions": ["r2"]})),
    "places.west.home_regions",
    |fault: &Fault| matches!(fault, Fault::UnknownRegion { .. }))]
#[case::service_not_in_home_regions(set_at(&["routes", "r"], route(&["pay"], &["r1"])), "routes.r",
    |fault: &Fault| matches!(fault, Fault::NowhereServed { homes } if homes == "r1"))]
#[case::unknown_service(set_at(&["routes", "r"], route(&["none"], &["r1"])), "routes.r",
    |fault: &Fault| matches!(fault, Fault::NowhereServed { .. }))]
#[case::region_of_a_service(
    set_at(&["places", "east", "services", "stock", "settings"], json!({"region": "r1"})),
    "places.east.services.stock.region",
    |fault: &Fault| matches!(fault, Fault::Inconsistent(_)))]
#[case::not_a_list(set_at(&["settings"], json!({"home_regions": "r1"})), "root.home_regions",
    |fault: &Fault| matches!(fault, Fault::WrongType { .. }))]
#[case::not_a_name_in_list(set_at(&["settings"], json!({"home_regions": [1]})), "root.home_regions",
    |fault: &Fault| matches!(fault, Fault::WrongType { .. }))]
#[case::empty_name(set_at(&["settings"], json!({"home_regions": [""]})), "root.home_regions",
    |fault: &Fault| *fault == Fault::BadRegion)]
#[case::white_space_in_route(set_at(&["routes", "r"], route(&["stock"], &["r 1"])), "routes.r",
    |fault: &Fault| *fault == Fault::BadRegion)]
#[case::white_space_in_region(set_at(&["places", "east", "settings"], json!({"region": "r 1"})),
    "places.east.region", |fault: &Fault| *fault == Fault::BadRegion)]
fn an_invalid_tree_is_rejected_with_the_path_of_the_error(
    #[case] edit: impl Fn(&mut Value),
    #[case] expected: &str,
    #[case] is_expected: impl Fn(&Fault) -> bool,
) {
    let mut nested = base();
    edit(&mut nested);
    let SettingsError::At { path, fault } = Tree::from_json(&nested).expect_err("invalid tree")
    else {
        panic!("error without a path");
    };
    assert_eq!(path, expected);
    assert!(is_expected(&fault), "{fault}");
}

#[test]
fn a_route_and_its_service_must_have_a_common_home_region() {
    let mut nested = base();
    nested["places"]["west"]["settings"]["home_regions"] = json!(["r2"]);
    nested["routes"]["r"] = route(&["stock"], &["r1"]);
    let error = Tree::from_json(&nested).expect_err("no common home region in west");
    let SettingsError::At { path, fault } = error else {
        panic!("error without a path");
    };
    assert_eq!(path, "routes.r");
    assert!(matches!(fault, Fault::NoCommonHome { level, .. }
        if level == "places.west.services.stock"));
}

#[test]
fn edits_of_one_list_conflict_and_jointly_invalid_edits_are_rejected() {
    let base = Tree::from_json(&base()).expect("valid tree");
    let edited = |path: &str, value: Value| {
        let mut tree = base.clone();
        tree.set(path, value).expect("valid edit");
        tree
    };
    let mine = edited("root.home_regions", json!(["r1"]));
    let changes = diff(&base, &mine);
    assert_eq!(
        changes[0].to_string(),
        "root.home_regions: (inherited) -> [\"r1\"]"
    );
    let theirs = edited("root.home_regions", json!(["r2"]));
    let conflict = merge(&base, &theirs, &mine).expect_err("conflicting edits");
    assert!(matches!(conflict, Conflict::SamePath { .. }));
    let same = edited("root.home_regions", json!(["r1", "r1"]));
    assert_eq!(
        merge(&base, &same, &mine).expect("equal lists do not conflict"),
        mine
    );
    let theirs = edited("places.east.region", json!("r9"));
    let error = merge(&base, &theirs, &mine).expect_err("no place is left in r1");
    assert!(
        matches!(error, Conflict::Refused(SettingsError::At { path, .. })
        if path == "root.home_regions")
    );
}

#[test]
fn the_last_place_of_a_home_region_cannot_leave_it() {
    let mut tree = Tree::from_json(&base()).expect("valid tree");
    tree.set("root.home_regions", json!(["r1"]))
        .expect("valid tree");
    let before = tree.clone();
    assert!(tree.unset("places.east.region").is_err());
    assert_eq!(tree, before);
    tree.set("places.west.region", json!("r1"))
        .expect("valid tree");
    tree.unset("places.east.region")
        .expect("west is still in the region");
}

const REGIONS: [&str; 3] = ["r0", "r1", "r2"];
const SERVICES: [&str; 2] = ["s0", "s1"];

fn home_regions() -> impl Strategy<Value = Vec<&'static str>> {
    prop_oneof![
        2 => Just(Vec::new()),
        3 => prop::collection::vec(prop::sample::select(&REGIONS[..]), 1..3),
    ]
}

/// A place: the index of its region, which services it has, and the home regions that it sets for
/// each.
type Place = (usize, [bool; 2], [Vec<&'static str>; 2]);

fn places() -> impl Strategy<Value = Vec<Place>> {
    let place = (
        0..3_usize,
        any::<[bool; 2]>(),
        [home_regions(), home_regions()],
    );
    prop::collection::vec(place, 1..4)
}

fn nested(places: &[Place], part: usize, route_homes: &[&str]) -> Value {
    let mut tree = json!({"places": {}, "routes": {"r": route(&[SERVICES[part]], route_homes)}});
    for (number, (region, has, homes)) in places.iter().enumerate() {
        let place = &mut tree["places"][format!("p{number}")];
        *place = json!({"settings": {"region": REGIONS[*region]}, "services": {}});
        for service in 0..2 {
            if has[service] {
                place["services"][SERVICES[service]] =
                    json!({"settings": {"home_regions": homes[service]}});
            }
        }
    }
    tree
}

/// Reference implementation: whether a tree is valid, determined by enumerating the regions.
fn is_valid(places: &[Place], part: usize, route_homes: &[&str]) -> bool {
    let known: BTreeSet<&str> = places.iter().map(|place| REGIONS[place.0]).collect();
    let level_homes = places.iter().flat_map(|(_, has, homes)| {
        let present = (0..2).filter(|service| has[*service]);
        present.flat_map(|service| homes[service].iter())
    });
    if !level_homes
        .chain(route_homes)
        .all(|name| known.contains(name))
    {
        return false;
    }
    let inherited = |place: &Place| match place.1[part] {
        true => place.2[part].clone(),
        false => Vec::new(),
    };
    let allows = |list: &[&str], region: &str| list.is_empty() || list.contains(&region);
    let mut is_served = false;
    for place in places {
        let inherited = inherited(place);
        let allowed: Vec<&str> = REGIONS
            .into_iter()
            .filter(|region| allows(route_homes, region) && allows(&inherited, region))
            .collect();
        if allowed.is_empty() {
            return false;
        }
        let is_unrestricted = route_homes.is_empty() && inherited.is_empty();
        is_served |= is_unrestricted
            || places.iter().any(|other| {
                let region = REGIONS[other.0];
                other.1[part] && allowed.contains(&region) && allows(&other.2[part], region)
            });
    }
    is_served
}

proptest! {
    #![proptest_config(Config { rng_seed: RngSeed::Fixed(17), ..Config::default() })]

    #[test]
    fn a_tree_is_accepted_if_its_home_regions_can_be_satisfied(
        places in places(), part in 0..2_usize, route_homes in home_regions(),
    ) {
        let accepted = Tree::from_json(&nested(&places, part, &route_homes));
        prop_assert_eq!(accepted.is_ok(), is_valid(&places, part, &route_homes), "{:?}", accepted);
    }
}
