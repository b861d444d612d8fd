//! Home regions in a real fleet: calls are served and kept in them only, whatever fails.

mod support;

use std::thread::{self, JoinHandle};

use lynxcleat_policy::{CallKind, Homes, RefusalReason};
use lynxcleat_settings::{RouteTable, Tree};
use lynxcleat_standin::{TargetFaults, wait_until};
use lynxcleat_wire::Frame;
use rstest::rstest;
use serde_json::{Value, json};
use support::{Fleet, PATIENCE, Peer, Plan, Reply, Running, call, tree, try_call};

/// Hosts of the routes: one whose calls have a home, one whose calls have none.
const HOME: &str = "home.example";
const FREE: &str = "free.example";

/// Even workers are at place `east` in region `r1`, odd ones at `west` in `r2`.
const REGIONS: [&str; 2] = ["r1", "r2"];

fn route(host: &str, homes: &[&str]) -> Value {
    json!({
        "host": host, "prefix": "/x/", "effects": "none", "timeout_ms": 8_000, "goal_ms": 8_000,
        "attempts": 3, "priority": 0, "parts": [{"service": "stock", "weight": 1}],
        "home_regions": homes,
    })
}

/// The tree of the tests' fleet, with calls at host `HOME` at home in some regions.
fn homes_tree(homes: &[&str], overrides: Value) -> Tree {
    let mut nested = tree(overrides).to_json();
    for (place, region) in ["east", "west"].iter().zip(REGIONS) {
        nested["places"][place]["settings"]["region"] = region.into();
    }
    let mut op = route("op.example", homes);
    op["effects"] = "once".into();
    nested["routes"] = json!({
        "home": route(HOME, homes), "free": route(FREE, &[]), "op": op,
    });
    Tree::from_json(&nested).expect("a good tree")
}

fn plan(name: &'static str, workers: usize, overrides: Value) -> Plan {
    let mut plan = Plan::new(name);
    plan.workers = workers;
    plan.tree = homes_tree(&["r1"], overrides);
    plan
}

fn get(fleet: &Fleet, worker: usize, host: &str) -> Reply {
    let headers = [("Host", host), ("lynxcleat-deadline-ms", "8000")];
    call(&fleet.workers[worker].callers, "GET", "/x/1", &headers, b"")
}

/// A call with effects, in a thread of its own.
fn post(
    fleet: &Fleet,
    worker: usize,
    host: &str,
    op: &str,
    more: &[(&str, &str)],
) -> JoinHandle<std::io::Result<Reply>> {
    let address = fleet.workers[worker].callers.clone();
    let mut headers = vec![
        ("Host", host),
        ("x-op", op),
        ("lynxcleat-deadline-ms", "8000"),
    ];
    headers.extend_from_slice(more);
    let headers: Vec<(String, String)> = headers
        .into_iter()
        .map(|(name, value)| (name.to_owned(), value.to_owned()))
        .collect();
    thread::spawn(move || {
        let headers: Vec<(&str, &str)> = headers
            .iter()
            .map(|(name, value)| (name.as_str(), value.as_str()))
            .collect();
        try_call(&address, "POST", "/x/1", &headers, b"secret")
    })
}

fn done(posted: JoinHandle<std::io::Result<Reply>>) -> Reply {
    posted.join().expect("a caller").expect("an answer")
}

/// Operations that ran outside region `r1`.
fn ran_in_west(fleet: &Fleet) -> Vec<String> {
    let west = fleet
        .workers
        .iter()
        .filter(|worker| worker.entry.place == "west");
    west.flat_map(|worker| worker.target.ledger().into_keys())
        .collect()
}

fn in_force(fleet: &Fleet, generation: u64) {
    let knows = |worker: &support::Worker| {
        let status = worker.status();
        status.is_some_and(|status| status.generation >= generation)
    };
    let all = || fleet.workers.iter().all(knows);
    assert!(wait_until(PATIENCE, all), "generation {generation}");
}

#[test]
fn calls_are_served_at_home_wherever_they_come_in() {
    // The nearest target is the only one of a subset, and for half the routers it is outside.
    let fleet = plan("homes-served", 4, json!({"subset_size": 1})).start();
    for round in 0..10 {
        for worker in 0..4 {
            let reply = get(&fleet, worker, HOME);
            assert_eq!(reply.status, 200, "{}", fleet.describe());
            let target = reply.json()["target"].as_str().map(str::to_owned);
            assert!(matches!(target.as_deref(), Some("stock-0" | "stock-2")));
            let op = format!("op-{round}-{worker}");
            let reply = done(post(&fleet, worker, "op.example", &op, &[]));
            assert_eq!(reply.status, 200, "{}", fleet.describe());
            assert_eq!(get(&fleet, worker, FREE).status, 200);
        }
    }
    assert_eq!(ran_in_west(&fleet), Vec::<String>::new());
    assert_eq!(fleet.ledger().len(), 40);
    let explained = call(&fleet.workers[1].entry.ops, "GET", "/explain", &[], b"");
    let traces = explained.json();
    let with_homes = traces.as_array().expect("traces").iter();
    assert!(
        with_homes
            .clone()
            .any(|trace| trace["homes"] == json!(["r1"]))
    );
    assert!(!String::from_utf8_lossy(&explained.body).contains("secret"));
}

#[test]
fn without_a_home_target_a_call_is_refused_as_not_run_with_a_time_to_come_back() {
    let fleet = plan("homes-none", 4, json!({})).start();
    for worker in 0..4 {
        assert_eq!(get(&fleet, worker, HOME).status, 200);
    }
    for worker in [0, 2] {
        call(&fleet.workers[worker].entry.ops, "POST", "/drain", &[], b"");
    }
    let kind = |reply: &Reply| reply.json()["title"].as_str().map(str::to_owned);
    for worker in 0..4 {
        let refused = || kind(&get(&fleet, worker, HOME)).as_deref() == Some("no-home-target");
        assert!(wait_until(PATIENCE, refused), "{}", fleet.describe());
        let reply = done(post(&fleet, worker, "op.example", "late", &[]));
        assert_eq!((reply.status, &*reply.outcome()), (503, "not-run"));
        assert!(reply.header("retry-after").is_some());
        assert_eq!(get(&fleet, worker, FREE).status, 200);
        let refusals = "lynxcleat_home_refusals_total{kind=\"router\"}";
        assert!(fleet.workers[worker].metric(refusals) >= 2.0);
    }
    assert!(fleet.ledger().is_empty());
    call(&fleet.workers[2].entry.ops, "POST", "/undrain", &[], b"");
    let served = || get(&fleet, 1, HOME).status == 200;
    assert!(wait_until(PATIENCE, served), "it is back");
}

/// The number that calls of the route with a home have.
fn home_kind() -> CallKind {
    let routes = RouteTable::of(&homes_tree(&["r1"], json!({})));
    CallKind(routes.find(HOME, "/x/").expect("a route").kind)
}

fn is_outside(frame: &Frame) -> bool {
    let reason = RefusalReason::OutsideHome;
    matches!(frame, Frame::Refused { refusal, .. } if refusal.reason == reason)
}

fn only(region: &str) -> Homes {
    Homes::from(vec![region.to_owned()])
}

#[test]
fn a_half_refuses_what_came_from_a_router_that_is_behind() {
    let fleet = plan("homes-behind", 2, json!({})).start();
    let (east, west) = (&fleet.workers[0], &fleet.workers[1]);
    fleet.runtime.block_on(async {
        let mut behind = Peer::dial_with(west, 0).await;
        let told_nothing = behind.offer(1, home_kind(), Homes::Anywhere).await;
        assert!(
            is_outside(&told_nothing),
            "its own settings say so: {told_nothing:?}"
        );
        let told = behind.offer(2, CallKind::default(), only("r1")).await;
        assert!(is_outside(&told), "the call says so: {told:?}");
        let free = behind.offer(3, CallKind::default(), Homes::Anywhere).await;
        assert!(matches!(free, Frame::Answer { .. }), "{free:?}");
        let mut behind = Peer::dial_with(east, 0).await;
        let at_home = behind.offer(4, home_kind(), Homes::Anywhere).await;
        assert!(matches!(at_home, Frame::Answer { .. }), "{at_home:?}");
        let nowhere = Homes::from(Vec::new());
        assert!(is_outside(&behind.offer(5, home_kind(), nowhere).await));
    });
    let mut ran: Vec<String> = fleet.ledger().into_keys().collect();
    ran.sort();
    assert_eq!(ran, ["by-hand-3", "by-hand-4"]);
    let refusals = "lynxcleat_home_refusals_total{kind=\"half\"}";
    assert_eq!(west.metric(refusals), 2.0);
    assert_eq!(
        west.metric("lynxcleat_target_refusals_total{kind=\"outside-home\"}"),
        2.0
    );
}

#[test]
fn a_half_that_is_behind_heeds_what_a_newer_router_says() {
    let fleet = plan("homes-ahead", 2, json!({})).start();
    fleet.runtime.block_on(async {
        let mut ahead = Peer::dial_with(&fleet.workers[1], 99).await;
        let moved_here = ahead.offer(1, home_kind(), only("r2")).await;
        assert!(matches!(moved_here, Frame::Answer { .. }), "{moved_here:?}");
        let elsewhere = ahead.offer(2, CallKind::default(), only("r1")).await;
        assert!(is_outside(&elsewhere), "{elsewhere:?}");
    });
}

/// Worker 0 holds one call behind another that its target does not answer.
fn hold_one(fleet: &Fleet) -> [JoinHandle<std::io::Result<Reply>>; 2] {
    let east = &fleet.workers[0];
    for worker in 0..2 {
        assert_eq!(get(fleet, worker, HOME).status, 200);
    }
    east.target.set_faults(TargetFaults {
        frozen: true,
        ..TargetFaults::default()
    });
    let served = post(fleet, 1, "op.example", "served", &[]);
    let runs = || fleet.ledger().contains_key("served");
    assert!(wait_until(PATIENCE, runs));
    let held = post(fleet, 1, "op.example", "held", &[]);
    let is_held = || east.status().is_some_and(|status| status.held == 1);
    assert!(wait_until(PATIENCE, is_held), "{}", fleet.describe());
    [served, held]
}

fn thaw(fleet: &Fleet) {
    fleet.workers[0].target.set_faults(TargetFaults::default());
}

const ONE_SLOT: &str = r#"{"slots": 1, "reroute_limit": 3, "eject_failures": 100}"#;

fn one_slot() -> Value {
    serde_json::from_str(ONE_SLOT).expect("settings")
}

#[test]
fn a_held_call_whose_home_changes_moves_there() {
    // The half hears of the change from the router only, so that the router is not behind.
    let patient = |mut tree: Tree| {
        tree.set("places.east.poll_ms", json!(60_000))
            .expect("good");
        tree
    };
    let mut plan = plan("homes-moves", 2, one_slot());
    plan.tree = patient(plan.tree);
    let fleet = plan.start();
    let [served, held] = hold_one(&fleet);
    fleet.accept(1, patient(homes_tree(&["r2"], one_slot())), "moved");
    let reply = done(held);
    assert_eq!(reply.json()["target"], "stock-1", "{}", fleet.describe());
    thaw(&fleet);
    assert_eq!(
        done(served).json()["target"],
        "stock-0",
        "it was delivered before"
    );
    assert_eq!((fleet.ledger()["held"], fleet.ledger()["served"]), (1, 1));
    let refusals = "lynxcleat_home_refusals_total{kind=\"half\"}";
    assert!(fleet.workers[0].metric(refusals) >= 1.0);
}

#[test]
fn a_held_call_whose_new_home_takes_none_is_refused_and_never_runs() {
    let fleet = plan("homes-refused", 2, one_slot()).start();
    let [served, held] = hold_one(&fleet);
    call(&fleet.workers[1].entry.ops, "POST", "/drain", &[], b"");
    fleet.accept(1, homes_tree(&["r2"], one_slot()), "moved");
    let reply = done(held);
    assert_eq!((reply.status, &*reply.outcome()), (503, "not-run"));
    thaw(&fleet);
    done(served);
    in_force(&fleet, 2);
    assert_eq!(get(&fleet, 0, HOME).json()["outcome"], "not-run");
    assert_eq!(fleet.ledger().get("held"), None);
}

#[test]
fn a_half_looks_at_held_calls_again_when_their_home_changes() {
    let fleet = plan("homes-held", 1, one_slot()).start();
    let east = &fleet.workers[0];
    east.target.set_faults(TargetFaults {
        frozen: true,
        ..TargetFaults::default()
    });
    let served = post(&fleet, 0, "op.example", "served", &[]);
    let runs = || fleet.ledger().contains_key("served");
    assert!(wait_until(PATIENCE, runs));
    let held = fleet.runtime.block_on(Peer::dial_with(east, 0));
    let held = fleet.runtime.spawn(async move {
        let mut peer = held;
        peer.offer(1, home_kind(), Homes::Anywhere).await
    });
    let is_held = || east.status().is_some_and(|status| status.held == 1);
    assert!(wait_until(PATIENCE, is_held), "{}", fleet.describe());
    fleet.accept(1, homes_tree(&["r2"], one_slot()), "moved");
    let told = async { tokio::time::timeout(PATIENCE, held).await };
    let told = fleet.runtime.block_on(told);
    let told = told.expect("long before its deadline").expect("a frame");
    assert!(is_outside(&told), "{told:?}");
    thaw(&fleet);
    done(served);
    assert_eq!(fleet.ledger().get("by-hand-1"), None);
}

#[rstest]
#[case::lookup("GET", HOME)]
#[case::operation("POST", "op.example")]
fn when_a_home_daemon_dies_its_calls_go_to_no_target_outside(
    #[case] method: &str,
    #[case] host: &str,
) {
    let name = match method {
        "GET" => "homes-dies-lookup",
        _ => "homes-dies-op",
    };
    let mut plan = plan(name, 4, json!({"retry_percent": 100, "reroute_limit": 3}));
    plan.processes = true;
    let mut fleet = plan.start();
    for worker in 0..4 {
        assert_eq!(get(&fleet, worker, HOME).status, 200);
    }
    let frozen = |frozen| TargetFaults {
        frozen,
        ..TargetFaults::default()
    };
    for worker in [0, 2] {
        fleet.workers[worker].target.set_faults(frozen(true));
    }
    let before: Vec<u64> = fleet
        .workers
        .iter()
        .map(|worker| worker.target.served())
        .collect();
    let address = fleet.workers[1].callers.clone();
    let (method, host) = (method.to_owned(), host.to_owned());
    let caller = thread::spawn(move || {
        let headers = [
            ("Host", &*host),
            ("x-op", "d"),
            ("lynxcleat-deadline-ms", "6000"),
        ];
        try_call(&address, &method, "/x/1", &headers, b"")
    });
    let at = |fleet: &Fleet| {
        [0, 2]
            .into_iter()
            .find(|nth| fleet.workers[*nth].target.served() > before[*nth])
    };
    assert!(wait_until(PATIENCE, || at(&fleet).is_some()));
    let at = at(&fleet).expect("just seen");
    fleet.workers[2 - at].target.set_faults(frozen(false));
    fleet.kill(at);
    let reply = done(caller);
    match reply.outcome().as_str() {
        "run" => assert_eq!(reply.json()["target"], format!("stock-{}", 2 - at)),
        outcome => assert_eq!(outcome, "unknown", "it may have run"),
    }
    for west in [1, 3] {
        assert_eq!(fleet.workers[west].target.served(), before[west]);
    }
    let again = get(&fleet, 1, HOME);
    assert_eq!(again.json()["target"], format!("stock-{}", 2 - at));
}

fn stop(fleet: &mut Fleet, worker: usize) {
    if let Some(Running::Here(daemon)) = fleet.workers[worker].daemon.take() {
        fleet.runtime.block_on(daemon.stop());
    }
}

/// The guard is at `west`. While the daemon that ran the operation is there, a repetition
/// hears the answer; afterwards only a guard that kept it can tell.
#[rstest]
#[case::at_home_elsewhere("op.example", "unknown")]
#[case::anywhere(FREE, "run")]
fn a_guard_outside_the_home_regions_keeps_no_answer(#[case] host: &str, #[case] later: &str) {
    let name = match later {
        "run" => "homes-guard-free",
        _ => "homes-guard",
    };
    let mut fleet = plan(name, 2, json!({})).start();
    // So that it runs at `east` also where it may run anywhere.
    call(&fleet.workers[1].entry.ops, "POST", "/drain", &[], b"");
    let headers = [("Host", host)];
    let tickets = call(
        &fleet.workers[1].callers,
        "GET",
        "/.lynxcleat/tickets?count=1",
        &headers,
        b"",
    );
    let ticket = tickets.json()["tickets"][0]
        .as_str()
        .expect("a ticket")
        .to_owned();
    let more = [("lynxcleat-ticket", ticket.as_str())];
    let first = done(post(&fleet, 1, host, "g", &more));
    assert_eq!((first.status, &*first.outcome()), (200, "run"));
    assert_eq!(first.json()["target"], "stock-0");
    let again = done(post(&fleet, 1, host, "g", &more));
    assert_eq!(again.body, first.body);
    assert_eq!(again.header("lynxcleat-replayed").as_deref(), Some("1"));
    assert_eq!(fleet.ledger()["g"], 1);
    stop(&mut fleet, 0);
    let last = done(post(&fleet, 1, host, "g", &more));
    assert_eq!(last.outcome(), later, "{}", last.head);
    assert_eq!(fleet.ledger()["g"], 1);
}

#[test]
fn a_key_whose_guard_is_outside_runs_once_at_home() {
    let fleet = plan("homes-key", 4, json!({})).start();
    let more = [("idempotency-key", "the key")];
    let first = done(post(&fleet, 1, "op.example", "k", &more));
    assert_eq!((first.status, &*first.outcome()), (200, "run"));
    for worker in [1, 0, 3] {
        let again = done(post(&fleet, worker, "op.example", "k", &more));
        assert_eq!(again.body, first.body, "{}", again.head);
    }
    assert_eq!(fleet.ledger()["k"], 1);
    assert_eq!(ran_in_west(&fleet), Vec::<String>::new());
}

/// The guard is at home, and so is the half, until the home is another region.
#[test]
fn answers_are_forgotten_where_they_may_be_kept_no_more() {
    let fleet = plan("homes-forgotten", 2, json!({})).start();
    let ticket = fleet.workers[0].ticket();
    let more = [("lynxcleat-ticket", ticket.as_str())];
    let first = done(post(&fleet, 0, "op.example", "f", &more));
    assert_eq!((first.status, &*first.outcome()), (200, "run"));
    let again = done(post(&fleet, 0, "op.example", "f", &more));
    assert_eq!(again.body, first.body);
    fleet.accept(1, homes_tree(&["r2"], json!({})), "moved");
    in_force(&fleet, 2);
    let gone = || done(post(&fleet, 0, "op.example", "f", &more)).outcome() == "unknown";
    assert!(wait_until(PATIENCE, gone), "neither guard nor half has it");
    assert_eq!(fleet.ledger()["f"], 1);
}
