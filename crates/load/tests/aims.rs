//! The aims of the policy, held in virtual time. Runs are seeded and exact, so a
//! change of the decisions that loses an aim fails here and not on a busy machine.

use lynxcleat_load::{Balancer, CaseReport, Deployment, cases, run_case};
use lynxcleat_policy::Policy;
use rstest::rstest;

const OURS: Balancer = Balancer::Admitting(Policy::ExpectedFinish);
const PLAIN: Balancer = Balancer::Plain(Policy::PowerOfTwo);
const RETRY_PERCENT: u32 = 10;

/// Median of a figure over three seeds.
fn median(
    case: &str,
    deployment: usize,
    balancer: Balancer,
    figure: fn(&CaseReport) -> f64,
) -> f64 {
    let case = cases().into_iter().find(|one| one.name == case);
    let case = case.expect("a case of that name");
    let deployment = Deployment::BOTH[deployment];
    let runs = (1..=3).map(|seed| run_case(&case, &deployment, balancer, RETRY_PERCENT, seed));
    let mut values: Vec<f64> = runs.map(|run| figure(&run)).collect();
    values.sort_by(f64::total_cmp);
    values[1]
}

fn p99(case: &str, deployment: usize, balancer: Balancer) -> f64 {
    median(case, deployment, balancer, |run| run.p99_ms)
}

#[rstest]
fn a_crowded_target_hardly_shows_in_the_tail(#[values(0, 1)] deployment: usize) {
    let calm = p99("steady-50", deployment, OURS);
    let crowded = p99("crowded", deployment, OURS);
    assert!(crowded <= 1.3 * calm, "{crowded} against {calm}");
}

#[rstest]
fn a_burst_has_at_most_half_the_tail_of_a_plain_balancer(#[values(0, 1)] deployment: usize) {
    let plain = p99("burst", deployment, PLAIN);
    let ours = p99("burst", deployment, OURS);
    assert!(ours <= 0.5 * plain, "{ours} against {plain}");
}

#[rstest]
fn at_twice_the_capacity_goodput_holds_and_retries_stay_within_their_share(
    #[values(0, 1)] deployment: usize,
) {
    let goodput = median("overload-2x", deployment, OURS, |run| {
        run.goodput_of_capacity
    });
    assert!(goodput >= 0.95, "{goodput}");
    let retries = median("overload-2x", deployment, OURS, |run| run.retries_per_call);
    assert!(retries <= 0.101, "{retries}");
}

#[rstest]
fn a_target_that_fails_fast_attracts_nothing(#[values(0, 1)] deployment: usize) {
    let share = median("fail-fast", deployment, OURS, |run| run.odd_target_share);
    assert!(share < 0.01, "{share}");
    let errors = median("fail-fast", deployment, OURS, |run| run.error_share);
    assert!(errors < 0.001, "{errors}");
}

#[rstest]
fn a_tenth_of_the_measuring_budget_costs_little_tail(#[values(0, 1)] deployment: usize) {
    let whole = p99("steady-80", deployment, OURS);
    let tenth = p99("tenth-of-budget", deployment, OURS);
    assert!(tenth <= 1.2 * whole, "{tenth} against {whole}");
}

#[rstest]
fn a_cold_target_hardly_shows_in_the_tail(#[values(0, 1)] deployment: usize) {
    let cold = p99("cold", deployment, OURS);
    let baseline = p99("cold", deployment, Balancer::Admitting(Policy::PowerOfTwo));
    assert!(cold <= 0.6 * baseline, "{cold} against {baseline}");
}

#[rstest]
fn under_steady_load_no_baseline_is_better_by_more_than_noise(#[values(0, 1)] deployment: usize) {
    let ours = p99("steady-80", deployment, OURS);
    for policy in [
        Policy::PowerOfTwo,
        Policy::RoundRobin,
        Policy::LeastInFlight,
    ] {
        let baseline = p99("steady-80", deployment, Balancer::Admitting(policy));
        assert!(
            ours <= 1.05 * baseline,
            "{ours} against {baseline} of {policy:?}"
        );
    }
}
