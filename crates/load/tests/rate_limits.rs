//! Targets that state the rate that they take, in virtual time: what they get, summed over all
//! routers, and what that costs callers.

use lynxcleat_load::{
    Balancer, Deployment, FakeService, FakeTarget, Measured, ServiceOptions, steady,
};
use lynxcleat_policy::{Micros, Policy, RateLimit};
use rstest::rstest;

const SECOND: Micros = 1_000_000;
/// When targets state their limits.
const STATED_AT: Micros = 2 * SECOND;
/// From when on what they get is counted.
const SETTLED_AT: Micros = 4 * SECOND;
const END: Micros = 34 * SECOND;
/// Window in which what a target gets is counted.
const WINDOW: Micros = 4 * SECOND;

const DEPLOYMENT: Deployment = Deployment {
    name: "limited",
    targets: 4,
    slots: 6,
};

fn service(routers: usize, calls_per_s: f64, seed: u64) -> ServiceOptions {
    let balancer = Balancer::Admitting(Policy::ExpectedFinish);
    let mut options = steady(&DEPLOYMENT, balancer, 10, seed);
    options.routers = routers;
    options.rates = vec![(0, calls_per_s)];
    options.end = END;
    options.allow_reroutes();
    options
}

fn stating(limits: &[(Micros, f64)]) -> FakeTarget {
    let stated = |(from, per_s): &(Micros, f64)| (*from, RateLimit::from_per_s(*per_s));
    FakeTarget {
        limits: limits.iter().map(stated).collect(),
        ..FakeTarget::default()
    }
}

fn run(options: ServiceOptions) -> Measured {
    FakeService::new(options, (SETTLED_AT, END)).run()
}

/// The most calls that a target got in some window from a time on.
fn most_in_a_window(measured: &Measured, target: usize, after: Micros) -> usize {
    let times = &measured.delivered[target];
    let times: Vec<Micros> = times.iter().copied().filter(|at| *at >= after).collect();
    let count = |from: Micros| {
        times
            .iter()
            .filter(|at| (from..from + WINDOW).contains(*at))
            .count()
    };
    times.iter().map(|from| count(*from)).max().unwrap_or(0)
}

fn got(measured: &Measured, target: usize, from: Micros, until: Micros) -> f64 {
    let times = measured.delivered[target].iter();
    times.filter(|at| (from..until).contains(*at)).count() as f64
}

/// The most that a target may get in a window: half more than it states, and five.
fn allowed(per_s: f64) -> f64 {
    per_s * 4.0 * 1.5 + 5.0
}

#[rstest]
fn a_limit_is_kept_by_all_routers_together_and_used_up(
    #[values(5, 300)] routers: usize,
    #[values(0.3, 5.5, 300.0)] per_s: f64,
    #[values(1, 2, 5, 7)] seed: u64,
) {
    let calls_per_s = (per_s * 6.0).max(300.0);
    let mut options = service(routers, calls_per_s, seed);
    options.targets[0] = stating(&[(STATED_AT, per_s)]);
    // Some dozens of calls, so that one more or less does not matter.
    let end = END.max((60.0 / per_s) as Micros * SECOND);
    options.end = end;
    let measured = run(options);
    let most = most_in_a_window(&measured, 0, SETTLED_AT) as f64;
    assert!(most <= allowed(per_s), "{most} of {}", allowed(per_s));
    let seconds = ((end - SETTLED_AT) / SECOND) as f64;
    let used = got(&measured, 0, SETTLED_AT, end) / (per_s * seconds);
    assert!(used >= 0.9, "{used} of the limit");
    assert_eq!(measured.refused, 0, "the other targets have room");
    let offers = measured.attempts as f64 / measured.calls as f64;
    assert!(offers <= 1.05, "{offers} offers a call");
}

#[rstest]
fn a_limit_that_falls_is_followed(#[values(5, 300)] routers: usize) {
    let mut options = service(routers, 600.0, 3);
    let falls = [(2, 60.0), (6, 20.0), (10, 5.0), (14, 1.0)];
    let falls = falls.map(|(at, per_s)| (at * SECOND, per_s));
    options.targets[0] = stating(&falls);
    let measured = run(options);
    for (nth, (from, per_s)) in falls.into_iter().enumerate() {
        let until = falls.get(nth + 1).map_or(END, |(at, _)| *at);
        let most = got(&measured, 0, from + SECOND / 2, until);
        let seconds = (until - from) as f64 / 1e6 - 0.5;
        assert!(
            most <= per_s * 1.5 * seconds + 5.0,
            "{most} at {per_s} a second"
        );
    }
    assert_eq!(measured.refused, 0);
}

#[rstest]
fn a_limit_ends_when_it_is_not_stated_any_more(#[values(0.0, 0.3, 5.5)] per_s: f64) {
    let mut options = service(13, 300.0, 4);
    options.targets[0] = stating(&[(STATED_AT, per_s)]);
    options.targets[0].limits.push((20 * SECOND, None));
    let measured = run(options);
    let after = got(&measured, 0, END - 3 * SECOND, END);
    assert!(after >= 150.0, "{after} calls in the last three seconds");
}

#[rstest]
fn if_all_targets_are_limited_the_rest_is_refused_at_once(#[values(5, 300)] routers: usize) {
    let per_s = 20.0;
    let mut options = service(routers, 400.0, 5);
    options.targets = vec![stating(&[(STATED_AT, per_s)]); 4];
    options.deadline_us = 40_000;
    let measured = run(options);
    let seconds = ((END - SETTLED_AT) / SECOND) as f64;
    for target in 0..4 {
        let most = most_in_a_window(&measured, target, SETTLED_AT) as f64;
        assert!(most <= allowed(per_s), "{most} at target {target}");
        let used = got(&measured, target, SETTLED_AT, END) / (per_s * seconds);
        assert!(used >= 0.9, "{used} of the limit of target {target}");
    }
    assert!(measured.refused > 0);
    let told = measured.refusal.quantile_ms(0.99);
    assert!(told <= 10.0, "refusals are told after {told} ms");
}

#[test]
fn a_target_that_says_it_leaves_gets_nothing_more() {
    let mut options = service(13, 300.0, 6);
    options.targets[0].leaves_at = STATED_AT;
    let measured = run(options);
    assert_eq!(got(&measured, 0, STATED_AT + SECOND / 2, END), 0.0);
    assert_eq!(measured.refused, 0);
}
