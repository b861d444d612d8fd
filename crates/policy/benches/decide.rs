//! Benchmarks of the state machines: routing of a call, from arrival to response, with 4 to 800
//! known targets; admission of a call; and a request to the measurement budget.

use std::hint::black_box;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use lynxcleat_policy::{
    Action, AdmissionController, AdmissionEvent, AdmissionLimits, AnswerStatus, Budget,
    CallAttributes, CallId, CallKind, Cost, DistanceCosts, Event, Policy, Router, RouterParams,
    SelectionParams, TargetId, TargetLoad,
};

const LOAD: TargetLoad = TargetLoad {
    in_flight: 5,
    held: 0,
    slots: 12,
    service_us: 5_000,
    slowness_percent: 0,
    slowness_age_ms: 0,
    notice: None,
};

fn router(policy: Policy, targets: u32) -> Router {
    let params = RouterParams {
        selection: SelectionParams {
            policy,
            ramp_us: 0,
            eject_failures: 5,
            eject_us: 1_000_000,
            prices: DistanceCosts::default(),
        },
        attempt_limit: 3,
        retry_budget: lynxcleat_policy::RetryParams {
            percent: 10,
            bound: None,
        },
        reroute_limit: 0,
    };
    let mut router = Router::new(params, 1, 1);
    let targets: Vec<_> = (0..targets).map(|id| (TargetId(id), 300.0)).collect();
    router.set_targets(0, &targets);
    router
}

/// Routes one call: arrival, target selection and response with load.
fn route_call(router: &mut Router, now: &mut u64) {
    *now += 50;
    let arrived = Event::Arrived {
        call: CallId(*now),
        deadline: *now + 1_000_000,
        has_effects: false,
        may_retry: true,
        attempt_limit: None,
        goal: None,
        kind: CallKind::default(),
    };
    let actions = router.on(*now, arrived);
    let Some(Action::Send { attempt, .. }) = actions.first() else {
        return;
    };
    let answered = Event::Answered {
        attempt: *attempt,
        status: AnswerStatus::Served,
        load: Some(LOAD),
        remote_us: 5_000,
        work_us: None,
    };
    black_box(router.on(*now + 5_300, answered));
}

fn bench_routing(criterion: &mut Criterion) {
    for policy in [Policy::ExpectedFinish, Policy::PowerOfTwo] {
        let mut group = criterion.benchmark_group(format!("call/{policy:?}"));
        for targets in [4, 16, 64, 800] {
            group.bench_function(BenchmarkId::from_parameter(targets), |bencher| {
                let mut router = router(policy, targets);
                let mut now = 0;
                bencher.iter(|| route_call(&mut router, &mut now));
            });
        }
        group.finish();
    }
}

fn bench_admission(criterion: &mut Criterion) {
    criterion.bench_function("admit and done", |bencher| {
        let limits = AdmissionLimits {
            slots: 12,
            hold_limit: 48,
            prices: DistanceCosts::default(),
            ask_price_permille: 10,
            cold_calls_per_s: 0,
            cold_ms: 0,
        };
        let mut controller = AdmissionController::new(limits);
        let mut now = 0;
        bencher.iter(|| {
            now += 50;
            let call = CallId(now);
            let deadline = now + 1_000_000;
            black_box(controller.on(
                now,
                AdmissionEvent::Offer {
                    call,
                    deadline,
                    attributes: CallAttributes::default(),
                },
            ));
            let service_us = Some(5_000);
            black_box(controller.on(
                now,
                AdmissionEvent::Done {
                    call,
                    service_us,
                    slowness_percent: None,
                },
            ));
        });
    });
}

fn bench_budget(criterion: &mut Criterion) {
    criterion.bench_function("budget ask", |bencher| {
        let mut budget = Budget::new(Cost {
            messages: 200,
            bytes: 11_000,
            cpu_us: 13_000,
        });
        let mut now = 0;
        bencher.iter(|| {
            now += 4_000;
            black_box(budget.try_spend(now, Cost::message(24, 2)))
        });
    });
}

criterion_group!(benches, bench_routing, bench_admission, bench_budget);
criterion_main!(benches);
