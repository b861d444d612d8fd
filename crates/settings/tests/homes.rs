//! Home regions in a tree: inheritance, merges, and trees that are refused.

use std::collections::BTreeSet;

use lynxcleat_settings::{
    Conflict, Effective, Fault, RouteTable, SettingsError, Tree, diff, digest, merge,
};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use rstest::rstest;
use serde_json::{Value, json};

/// Places `east` and `west` in regions `r1` and `r2`; both have `stock`, and only `west` has
/// `pay`.
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
fn home_regions_are_inherited_and_overridden_and_kept_in_one_form() {
    let mut nested = base();
    nested["settings"]["home_regions"] = json!(["r2", "r1", "r2"]);
    nested["places"]["east"]["services"]["stock"]["settings"] = json!({"home_regions": ["r1"]});
    let tree = Tree::from_json(&nested).expect("good");
    let homes = |place, service| Effective::of(&tree, place, service).home_regions;
    assert_eq!(homes("west", "stock"), ["r1", "r2"], "sorted, each once");
    assert_eq!(homes("east", "stock"), ["r1"]);
    assert_eq!(homes("east", "pay"), tree.home_regions("east", "pay"));
    assert_eq!((tree.region("east"), tree.region("north")), ("r1", ""));
    assert!(tree.has_home_regions());
    nested["settings"]["home_regions"] = json!(["r1", "r2"]);
    let same = Tree::from_json(&nested).expect("good");
    assert_eq!(digest(&tree), digest(&same));
}

#[test]
fn no_names_mean_any_region() {
    let mut nested = base();
    nested["settings"]["home_regions"] = json!([]);
    nested["routes"]["r"] = route(&["stock"], &[]);
    let tree = Tree::from_json(&nested).expect("good");
    assert!(!tree.has_home_regions());
    assert!(
        Effective::of(&tree, "east", "stock")
            .home_regions
            .is_empty()
    );
}

#[test]
fn routes_are_found_by_their_number_and_by_service() {
    let mut nested = base();
    nested["routes"]["one"] = route(&["stock"], &["r1"]);
    nested["routes"]["two"] = route(&["stock", "pay"], &[]);
    nested["routes"]["two"]["host"] = "b.example".into();
    let routes = RouteTable::of(&Tree::from_json(&nested).expect("good"));
    let named = routes.find("a.example", "/x/").expect("a route");
    let found: Vec<&str> = routes
        .of_kind(named.kind)
        .iter()
        .map(|one| one.name.as_str())
        .collect();
    assert_eq!(found, ["one"]);
    assert!(routes.of_kind(named.kind ^ 1).is_empty());
    assert_eq!(routes.of_service("stock").count(), 2);
    assert_eq!(routes.of_service("pay").count(), 1);
}

fn put(path: &'static [&'static str], value: Value) -> impl Fn(&mut Value) {
    move |tree| {
        let at = path.iter().fold(tree, |at, key| &mut at[*key]);
        *at = value.clone();
    }
}

fn unknown(fault: &Fault) -> bool {
    matches!(fault, Fault::UnknownRegion { found, known } if found == "r3" && known == "r1, r2")
}

#[rstest]
#[case::root(put(&["settings"], json!({"home_regions": ["r3"]})), "root.home_regions", unknown)]
#[case::service(
    put(&["places", "east", "services", "stock", "settings"], json!({"home_regions": ["r1", "r3"]})),
    "places.east.services.stock.home_regions", unknown)]
#[case::route(put(&["routes", "r"], route(&["stock"], &["r3"])), "routes.r", unknown)]
#[case::no_place_has_a_region(
    put(&["places", "west", "settings"], json!({"region": "r9", "home_regions": ["r2"]})),
    "places.west.home_regions",
    |fault: &Fault| matches!(fault, Fault::UnknownRegion { .. }))]
#[case::nowhere_served(put(&["routes", "r"], route(&["pay"], &["r1"])), "routes.r",
    |fault: &Fault| matches!(fault, Fault::NowhereServed { homes } if homes == "r1"))]
#[case::no_service_at_all(put(&["routes", "r"], route(&["none"], &["r1"])), "routes.r",
    |fault: &Fault| matches!(fault, Fault::NowhereServed { .. }))]
#[case::region_of_a_service(
    put(&["places", "east", "services", "stock", "settings"], json!({"region": "r1"})),
    "places.east.services.stock.region",
    |fault: &Fault| matches!(fault, Fault::Inconsistent(_)))]
#[case::no_list(put(&["settings"], json!({"home_regions": "r1"})), "root.home_regions",
    |fault: &Fault| matches!(fault, Fault::WrongType { .. }))]
#[case::no_name_in_list(put(&["settings"], json!({"home_regions": [1]})), "root.home_regions",
    |fault: &Fault| matches!(fault, Fault::WrongType { .. }))]
#[case::empty_name(put(&["settings"], json!({"home_regions": [""]})), "root.home_regions",
    |fault: &Fault| *fault == Fault::BadRegion)]
#[case::empty_name_in_route(put(&["routes", "r"], route(&["stock"], &["r 1"])), "routes.r",
    |fault: &Fault| *fault == Fault::BadRegion)]
#[case::bad_region(put(&["places", "east", "settings"], json!({"region": "r 1"})),
    "places.east.region", |fault: &Fault| *fault == Fault::BadRegion)]
fn a_tree_that_cannot_hold_is_refused_with_its_path(
    #[case] edit: impl Fn(&mut Value),
    #[case] expected: &str,
    #[case] is_expected: impl Fn(&Fault) -> bool,
) {
    let mut nested = base();
    edit(&mut nested);
    let SettingsError::At { path, fault } = Tree::from_json(&nested).expect_err("a fault") else {
        panic!("a fault at a path");
    };
    assert_eq!(path, expected);
    assert!(is_expected(&fault), "{fault}");
}

#[test]
fn a_route_and_its_service_must_have_a_home_in_common() {
    let mut nested = base();
    nested["places"]["west"]["settings"]["home_regions"] = json!(["r2"]);
    nested["routes"]["r"] = route(&["stock"], &["r1"]);
    let refused = Tree::from_json(&nested).expect_err("none in common at west");
    let SettingsError::At { path, fault } = refused else {
        panic!("a fault at a path");
    };
    assert_eq!(path, "routes.r");
    assert!(matches!(fault, Fault::NoCommonHome { level, .. }
        if level == "places.west.services.stock"));
}

#[test]
fn edits_of_one_list_conflict_and_those_that_contradict_together_are_refused() {
    let base = Tree::from_json(&base()).expect("good");
    let edited = |path: &str, value: Value| {
        let mut tree = base.clone();
        tree.set(path, value).expect("a good edit");
        tree
    };
    let mine = edited("root.home_regions", json!(["r1"]));
    let changes = diff(&base, &mine);
    assert_eq!(
        changes[0].to_string(),
        "root.home_regions: (inherited) -> [\"r1\"]"
    );
    let theirs = edited("root.home_regions", json!(["r2"]));
    let conflict = merge(&base, &theirs, &mine).expect_err("a conflict");
    assert!(matches!(conflict, Conflict::SamePath { .. }));
    let same = edited("root.home_regions", json!(["r1", "r1"]));
    assert_eq!(merge(&base, &same, &mine).expect("the same list"), mine);
    let theirs = edited("places.east.region", json!("r9"));
    let refused = merge(&base, &theirs, &mine).expect_err("no place stands in r1 then");
    assert!(
        matches!(refused, Conflict::Refused(SettingsError::At { path, .. })
        if path == "root.home_regions")
    );
}

#[test]
fn a_region_that_is_somebodys_home_cannot_be_taken_from_its_last_place() {
    let mut tree = Tree::from_json(&base()).expect("good");
    tree.set("root.home_regions", json!(["r1"])).expect("good");
    let before = tree.clone();
    assert!(tree.unset("places.east.region").is_err());
    assert_eq!(tree, before);
    tree.set("places.west.region", json!("r1")).expect("good");
    tree.unset("places.east.region").expect("west stands in it");
}

const REGIONS: [&str; 3] = ["r0", "r1", "r2"];
const SERVICES: [&str; 2] = ["s0", "s1"];

fn homes() -> impl Strategy<Value = Vec<&'static str>> {
    prop_oneof![
        2 => Just(Vec::new()),
        3 => prop::collection::vec(prop::sample::select(&REGIONS[..]), 1..3),
    ]
}

/// A place: its region, the services that it has, and home regions of its own for each.
type Place = (usize, [bool; 2], [Vec<&'static str>; 2]);

fn places() -> impl Strategy<Value = Vec<Place>> {
    let place = (0..3_usize, any::<[bool; 2]>(), [homes(), homes()]);
    prop::collection::vec(place, 1..4)
}

fn nested(places: &[Place], part: usize, of_route: &[&str]) -> Value {
    let mut tree = json!({"places": {}, "routes": {"r": route(&[SERVICES[part]], of_route)}});
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

/// Whether a tree holds, told the long way round.
fn holds(places: &[Place], part: usize, of_route: &[&str]) -> bool {
    let known: BTreeSet<&str> = places.iter().map(|place| REGIONS[place.0]).collect();
    let of_levels = places.iter().flat_map(|(_, has, homes)| {
        let set = (0..2).filter(|service| has[*service]);
        set.flat_map(|service| homes[service].iter())
    });
    if !of_levels.chain(of_route).all(|name| known.contains(name)) {
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
        let left: Vec<&str> = REGIONS
            .into_iter()
            .filter(|region| allows(of_route, region) && allows(&inherited, region))
            .collect();
        if left.is_empty() {
            return false;
        }
        let is_free = of_route.is_empty() && inherited.is_empty();
        is_served |= is_free
            || places.iter().any(|other| {
                let region = REGIONS[other.0];
                other.1[part] && left.contains(&region) && allows(&other.2[part], region)
            });
    }
    is_served
}

proptest! {
    #![proptest_config(Config { rng_seed: RngSeed::Fixed(17), ..Config::default() })]

    #[test]
    fn a_tree_is_accepted_if_its_homes_can_be_kept(
        places in places(), part in 0..2_usize, of_route in homes(),
    ) {
        let accepted = Tree::from_json(&nested(&places, part, &of_route));
        prop_assert_eq!(accepted.is_ok(), holds(&places, part, &of_route), "{:?}", accepted);
    }
}
