//! `lynxcleat-soak`: runs seeds of the fault soak and says which broke a promise.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use bpaf::Bpaf;
use lynxcleat_soak::{Report, SoakOptions, plot, run};

/// Exit code where a promise was broken.
const EXIT_BROKEN: u8 = 1;

/// Runs real daemons under faults and checks what callers and targets see.
///
/// Exit codes: 0 every promise held, 1 one was broken or a run could not be made.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, version)]
struct Args {
    /// First seed
    #[bpaf(argument("N"), fallback(1), display_fallback)]
    seed: u64,
    /// Seeds to run, one after the other
    #[bpaf(argument("N"), fallback(1), display_fallback)]
    seeds: u64,
    /// Hosts, each with a daemon as a process of its own
    #[bpaf(argument("N"), fallback(6), display_fallback)]
    hosts: usize,
    /// Callers for each host
    #[bpaf(argument("N"), fallback(4), display_fallback)]
    callers: usize,
    /// Seconds for which faults strike
    #[bpaf(argument("S"), fallback(12), display_fallback)]
    seconds: u64,
    /// The daemon's program
    #[bpaf(argument("FILE"), fallback(PathBuf::from("target/release/lynxcleatd")))]
    daemon: PathBuf,
    /// Folder for logs, reports and plots, by seed
    #[bpaf(argument("FOLDER"), fallback(PathBuf::from("target/soak")))]
    output: PathBuf,
}

#[tokio::main]
async fn main() -> anyhow::Result<ExitCode> {
    let args = args().run();
    let mut broken = 0;
    for seed in args.seed..args.seed + args.seeds {
        let folder = args.output.join(seed.to_string());
        let options = SoakOptions {
            seed,
            hosts: args.hosts,
            callers: args.callers,
            time: Duration::from_secs(args.seconds),
            program: args.daemon.clone(),
            folder: folder.clone(),
        };
        let report = run(&options).await?;
        std::fs::write(
            folder.join("report.json"),
            serde_json::to_string_pretty(&report)?,
        )?;
        plot(&report, &folder.join("report.svg"))?;
        print(&report);
        broken += usize::from(!report.violations.is_empty());
    }
    println!("{} seeds, {broken} with a broken promise", args.seeds);
    Ok(match broken {
        0 => ExitCode::SUCCESS,
        _ => ExitCode::from(EXIT_BROKEN),
    })
}

fn print(report: &Report) {
    let sum = |count: fn(&lynxcleat_soak::Second) -> u64| -> u64 {
        report.seconds.iter().map(count).sum()
    };
    println!(
        "seed {}: {} faults, {} tries, {} answered, {} not run, {} unknown, {} broken",
        report.plan.seed,
        report.plan.steps.len(),
        report.tries,
        sum(|second| second.answered),
        sum(|second| second.not_run),
        sum(|second| second.unknown),
        report.violations.len()
    );
    for violation in &report.violations {
        println!("  {violation}");
    }
}
