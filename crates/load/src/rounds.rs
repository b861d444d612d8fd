//! The load cases in which policies are compared, and their figures.

use lynxcleat_policy::{
    AdmissionLimits, DistanceCosts, Micros, Policy, RateLimit, RouterParams, SelectionParams,
};
use serde::Serialize;

use crate::service::{FakeService, FakeTarget, Measured, ServiceOptions};

const SECOND: Micros = 1_000_000;
/// Mean service time of the fake targets.
const SERVICE_US: f64 = 5_000.0;
/// Deadline of a call.
const DEADLINE_US: Micros = 800_000;
/// Routers that share the load: one for each of the 13 workers of a deployment.
const ROUTERS: usize = 13;
/// Latency above this multiple of the usual p99 means that a burst is not over.
const RECOVERED_FACTOR: f64 = 1.5;
/// Calls looked at together when a recovery time is found.
const RECOVERY_GROUP: usize = 50;

/// Size of one service.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Deployment {
    /// Its name in tables.
    pub name: &'static str,
    /// Targets of the service.
    pub targets: usize,
    /// Slots of a target.
    pub slots: u32,
}

impl Deployment {
    /// Both deployments' largest service.
    pub const BOTH: [Deployment; 2] = [
        Deployment {
            name: "kolkata",
            targets: 4,
            slots: 12,
        },
        Deployment {
            name: "plateau",
            targets: 4,
            slots: 6,
        },
    ];

    /// Calls a second that all slots together serve.
    pub fn capacity(&self) -> f64 {
        self.targets as f64 * f64::from(self.slots) * 1e6 / SERVICE_US
    }
}

/// What is compared.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Balancer {
    /// A policy, with our admission at the targets.
    Admitting(Policy),
    /// A policy as a balancer without admission has it: targets take every call
    /// and queue it, and callers time out.
    Plain(Policy),
}

impl Balancer {
    fn policy(self) -> Policy {
        match self {
            Balancer::Admitting(policy) | Balancer::Plain(policy) => policy,
        }
    }

    fn name(self) -> String {
        match self {
            Balancer::Admitting(policy) => format!("{policy:?}"),
            Balancer::Plain(policy) => format!("{policy:?}, plain"),
        }
    }
}

/// A load case.
#[derive(Clone, Debug)]
pub struct Case {
    /// Its name in tables.
    pub name: &'static str,
    /// Changes the options of a steady run into those of the case.
    pub change: fn(&mut ServiceOptions, &Deployment),
    /// Time of interest.
    pub window: (Micros, Micros),
}

/// What one run of a case gave.
#[derive(Clone, Debug, Serialize)]
pub struct CaseReport {
    /// The case.
    pub case: &'static str,
    /// The deployment.
    pub deployment: &'static str,
    /// The policy.
    pub policy: String,
    /// Seed of the run.
    pub seed: u64,
    /// Latencies of served calls in the time of interest.
    pub p50_ms: f64,
    /// 99 of 100 stay within it.
    pub p99_ms: f64,
    /// 999 of 1,000 stay within it.
    pub p999_ms: f64,
    /// Share of calls refused for good.
    pub refused_share: f64,
    /// 99 of 100 refusals are told within it.
    pub refusal_p99_ms: f64,
    /// Served in time, as a share of what the capacity would have served.
    pub goodput_of_capacity: f64,
    /// Served in time, as a share of calls.
    pub in_time_share: f64,
    /// Further attempts per call that a router took, callers' repetitions included.
    pub retries_per_call: f64,
    /// Server errors passed on, as a share of calls.
    pub error_share: f64,
    /// Attempts at the first target 100 ms after it became odd, as a share.
    pub odd_target_share: f64,
    /// Time from the end of the time of interest until latencies are usual again.
    pub recovery_ms: f64,
    /// Figures that rode on answers, per call.
    pub figures_per_call: f64,
}

/// Every case.
pub fn cases() -> Vec<Case> {
    let whole = (SECOND, 10 * SECOND);
    vec![
        case("steady-50", whole, |options, d| {
            options.rates = vec![(0, 0.5 * d.capacity())];
        }),
        case("steady-80", whole, |options, d| {
            options.rates = vec![(0, 0.8 * d.capacity())];
        }),
        case("burst", (3 * SECOND, 5 * SECOND), |options, d| {
            let calm = 0.3 * d.capacity();
            let step = |share: f64| share * d.capacity();
            options.rates = vec![
                (0, calm),
                (3 * SECOND, step(0.6)),
                (3 * SECOND + 2_500, step(1.0)),
                (3 * SECOND + 5_000, step(1.5)),
                (5 * SECOND, calm),
            ];
        }),
        case("crowded", (4 * SECOND, 10 * SECOND), |options, d| {
            options.rates = vec![(0, 0.5 * d.capacity())];
            options.targets[0].factor = 5.0;
            options.targets[0].odd = (3 * SECOND, Micros::MAX);
        }),
        case("fail-fast", (3 * SECOND, 10 * SECOND), |options, d| {
            options.rates = vec![(0, 0.5 * d.capacity())];
            options.targets[0].fail_after_us = Some(200);
            options.targets[0].odd = (3 * SECOND, Micros::MAX);
        }),
        case("tenth-of-budget", whole, |options, d| {
            options.rates = vec![(0, 0.8 * d.capacity())];
            options.figures_share = 0.1;
        }),
        case("cold", (3 * SECOND, 6 * SECOND), |options, d| {
            options.rates = vec![(0, 0.6 * d.capacity())];
            options.targets[0].joins_at = 3 * SECOND;
            options.targets[0].factor = 4.0;
            options.targets[0].odd = (3 * SECOND, 4 * SECOND);
        }),
        case("rate-limit", whole, |options, d| {
            options.rates = vec![(0, 0.3 * d.capacity())];
            options.allow_reroutes();
            let limit = RateLimit::from_per_s(0.01 * d.capacity());
            options.targets[0].limits = vec![(SECOND / 2, limit)];
        }),
        case("leaves", whole, |options, d| {
            options.rates = vec![(0, 0.3 * d.capacity())];
            options.targets[0].leaves_at = 3 * SECOND;
            options.targets[0].odd = (3 * SECOND, Micros::MAX);
        }),
        case("far", whole, |options, d| {
            options.rates = vec![(0, 0.5 * d.capacity())];
            options.targets[0].path_us = 1_000;
        }),
        case("overload-2x", whole, |options, d| {
            options.rates = vec![(0, 2.0 * d.capacity())];
            options.repeats = 8;
        }),
    ]
}

/// Runs one case.
pub fn run_case(
    case: &Case,
    deployment: &Deployment,
    balancer: Balancer,
    retry_percent: u32,
    seed: u64,
) -> CaseReport {
    let mut options = steady(deployment, balancer, retry_percent, seed);
    (case.change)(&mut options, deployment);
    let span = (options.end as f64) / 1e6;
    let measured = FakeService::new(options, case.window).run();
    report(case, deployment, balancer, seed, &measured, span)
}

fn case(
    name: &'static str,
    window: (Micros, Micros),
    change: fn(&mut ServiceOptions, &Deployment),
) -> Case {
    Case {
        name,
        change,
        window,
    }
}

/// A service under no load yet, with the settings that all cases share.
pub fn steady(
    deployment: &Deployment,
    balancer: Balancer,
    retry_percent: u32,
    seed: u64,
) -> ServiceOptions {
    ServiceOptions {
        routers: ROUTERS,
        targets: vec![FakeTarget::default(); deployment.targets],
        limits: AdmissionLimits {
            slots: deployment.slots,
            hold_limit: 4 * deployment.slots,
            prices: DistanceCosts::default(),
            ask_price_permille: 10,
            cold_calls_per_s: 0,
            cold_ms: 0,
        },
        service_us: SERVICE_US,
        params: RouterParams {
            selection: SelectionParams {
                policy: balancer.policy(),
                ramp_us: 2 * SECOND,
                eject_failures: 5,
                eject_us: SECOND,
                prices: DistanceCosts::default(),
            },
            attempt_limit: 3,
            retry_budget: lynxcleat_policy::RetryParams {
                percent: retry_percent,
                bound: None,
            },
            reroute_limit: 0,
        },
        deadline_us: DEADLINE_US,
        rates: Vec::new(),
        end: 10 * SECOND,
        repeats: 0,
        figures_share: 1.0,
        plain: matches!(balancer, Balancer::Plain(_)),
        seed,
    }
}

fn report(
    case: &Case,
    deployment: &Deployment,
    balancer: Balancer,
    seed: u64,
    measured: &Measured,
    span: f64,
) -> CaseReport {
    let calls = measured.calls.max(1) as f64;
    let attempts: u64 = measured.by_target.iter().sum();
    CaseReport {
        case: case.name,
        deployment: deployment.name,
        policy: balancer.name(),
        seed,
        p50_ms: measured.window.quantile_ms(0.5),
        p99_ms: measured.window.quantile_ms(0.99),
        p999_ms: measured.window.quantile_ms(0.999),
        refused_share: measured.refused as f64 / calls,
        refusal_p99_ms: measured.refusal.quantile_ms(0.99),
        goodput_of_capacity: measured.in_time as f64 / (deployment.capacity() * span),
        in_time_share: measured.in_time as f64 / calls,
        retries_per_call: measured.retries as f64 / measured.routed.max(1) as f64,
        error_share: measured.errors as f64 / calls,
        odd_target_share: measured.by_target[0] as f64 / attempts.max(1) as f64,
        recovery_ms: recovery_ms(case, measured),
        figures_per_call: measured.figures as f64 / calls,
    }
}

/// Time after the window until the slowest of a group of calls is within a
/// multiple of the slowest usual one before it.
fn recovery_ms(case: &Case, measured: &Measured) -> f64 {
    let mut series = measured.series.clone();
    series.sort_unstable();
    let before: Vec<Micros> = series
        .iter()
        .filter(|(at, _)| (SECOND..case.window.0).contains(at))
        .map(|(_, took)| *took)
        .collect();
    let mut sorted = before;
    sorted.sort_unstable();
    let Some(usual) = sorted.get(sorted.len() * 99 / 100) else {
        return 0.0;
    };
    let limit = (*usual as f64 * RECOVERED_FACTOR) as Micros;
    let after: Vec<&(Micros, Micros)> = series
        .iter()
        .filter(|(at, _)| *at >= case.window.1)
        .collect();
    for group in after.chunks(RECOVERY_GROUP) {
        let slow = group.iter().filter(|(_, took)| *took > limit).count();
        if slow * 10 <= group.len() {
            return (group[0].0 - case.window.1) as f64 / 1e3;
        }
    }
    0.0
}
