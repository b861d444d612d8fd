//! `lynxcleat-rounds`: compares policies in virtual time.

use bpaf::Bpaf;
use lynxcleat_load::{Balancer, CaseReport, Deployment, cases, run_case};
use lynxcleat_policy::Policy;

/// Runs the load cases in virtual time, every policy with the same seeds, and
/// prints medians with their spread.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, version)]
struct Args {
    /// Only this case; may be given several times
    #[bpaf(argument("NAME"), many)]
    case: Vec<String>,
    /// Only this policy; may be given several times
    #[bpaf(argument("NAME"), many)]
    policy: Vec<Policy>,
    /// Seeds 1 to N
    #[bpaf(argument("N"), fallback(5), display_fallback)]
    seeds: u64,
    /// Further attempts as a share of first ones, in percent
    #[bpaf(argument("P"), fallback(10), display_fallback)]
    retries: u32,
    /// Print every run as a line of JSON instead
    json: bool,
}

/// Every policy behind our admission, and one as a balancer without any.
const BALANCERS: [Balancer; 6] = [
    Balancer::Admitting(Policy::ExpectedFinish),
    Balancer::Admitting(Policy::PowerOfTwo),
    Balancer::Admitting(Policy::LeastInFlight),
    Balancer::Admitting(Policy::RoundRobin),
    Balancer::Admitting(Policy::Random),
    Balancer::Plain(Policy::PowerOfTwo),
];

fn main() {
    let args = args().run();
    let balancers = match args.policy.is_empty() {
        true => BALANCERS.to_vec(),
        false => args
            .policy
            .iter()
            .copied()
            .map(Balancer::Admitting)
            .collect(),
    };
    if !args.json {
        println!(
            "| case | deployment | policy | p50 ms | p99 ms | p99.9 ms | refused % | told in ms (p99) | in time % | of capacity % | retries/call % | errors % | odd target % | recovery ms |"
        );
        println!("|---|---|---|---|---|---|---|---|---|---|---|---|---|---|");
    }
    let wanted = |name: &str| args.case.is_empty() || args.case.iter().any(|case| case == name);
    for case in cases().into_iter().filter(|case| wanted(case.name)) {
        for deployment in Deployment::BOTH {
            for balancer in &balancers {
                let runs = all_seeds(&args, |seed| {
                    run_case(&case, &deployment, *balancer, args.retries, seed)
                });
                match args.json {
                    true => print_json(&runs),
                    false => print_row(&runs),
                }
            }
        }
    }
}

/// Runs every seed, each in a thread of its own.
fn all_seeds(args: &Args, run: impl Fn(u64) -> CaseReport + Sync) -> Vec<CaseReport> {
    std::thread::scope(|scope| {
        let run = &run;
        let runs: Vec<_> = (1..=args.seeds)
            .map(|seed| scope.spawn(move || run(seed)))
            .collect();
        runs.into_iter()
            .map(|run| run.join().expect("a run does not panic"))
            .collect()
    })
}

fn print_json(runs: &[CaseReport]) {
    for run in runs {
        println!("{}", serde_json::json!(run));
    }
}

fn print_row(runs: &[CaseReport]) {
    let column = |of: fn(&CaseReport) -> f64, digits: usize| {
        let mut values: Vec<f64> = runs.iter().map(of).collect();
        values.sort_by(f64::total_cmp);
        let median = values[values.len() / 2];
        let spread = (values[values.len() - 1] - values[0]) / 2.0;
        format!("{median:.digits$} ±{spread:.digits$}")
    };
    let first = &runs[0];
    let cells = [
        column(|r| r.p50_ms, 1),
        column(|r| r.p99_ms, 1),
        column(|r| r.p999_ms, 1),
        column(|r| 100.0 * r.refused_share, 2),
        column(|r| r.refusal_p99_ms, 1),
        column(|r| 100.0 * r.in_time_share, 1),
        column(|r| 100.0 * r.goodput_of_capacity, 1),
        column(|r| 100.0 * r.retries_per_call, 1),
        column(|r| 100.0 * r.error_share, 2),
        column(|r| 100.0 * r.odd_target_share, 2),
        column(|r| r.recovery_ms, 0),
    ];
    println!(
        "| {} | {} | {} | {} |",
        first.case,
        first.deployment,
        first.policy,
        cells.join(" | ")
    );
}
