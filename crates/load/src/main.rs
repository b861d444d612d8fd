//! `lynxcleat-load`: open-loop load against running daemons.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bpaf::Bpaf;
use lynxcleat_load::{Connections, Destination, LoadError, LoadOptions, LoadReport, Mix, run};
use serde_json::{Value, json};

/// Length of a slice where direct and other load alternate.
const SLICE: Duration = Duration::from_millis(500);

/// Open-loop load: calls start on schedule, whatever became of those before.
///
/// Only addresses of this machine (127.0.0.0/8) are taken.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, version)]
struct Args {
    /// Address of a daemon's callers' side; may be given several times
    #[bpaf(
        argument("IP:PORT"),
        guard(is_loopback, "only addresses of this machine are taken"),
        some("at least one --to is needed")
    )]
    to: Vec<SocketAddr>,
    /// Address of a target; where given, slices of load go there directly, in
    /// turn with slices through the daemons, and both are reported
    #[bpaf(
        argument("IP:PORT"),
        guard(is_loopback, "only addresses of this machine are taken"),
        many
    )]
    direct: Vec<SocketAddr>,
    /// Service asked for
    #[bpaf(argument("NAME"))]
    service: String,
    /// Calls a second, on average
    #[bpaf(argument("N"), fallback(100.0), display_fallback)]
    rate: f64,
    /// Seconds for which calls are started
    #[bpaf(argument("S"), fallback(5), display_fallback)]
    seconds: u64,
    /// Seed of the schedule
    #[bpaf(argument("N"), fallback(1), display_fallback)]
    seed: u64,
    /// Deadline of a call in milliseconds
    #[bpaf(argument("MS"), fallback(1000), display_fallback)]
    deadline_ms: u64,
    /// Times that a caller repeats a call that was not run
    #[bpaf(argument("N"), fallback(0), display_fallback)]
    repeats: u32,
    /// Share of calls under a ticket, in percent
    #[bpaf(argument("P"), fallback(0), display_fallback)]
    tickets: u32,
    /// Share of calls under a plain key, in percent
    #[bpaf(argument("P"), fallback(0), display_fallback)]
    keys: u32,
    /// Number of the first call, for runs that must not share numbers
    #[bpaf(argument("N"), fallback(1), display_fallback)]
    first: u64,
}

fn is_loopback(address: &SocketAddr) -> bool {
    address.ip().is_loopback()
}

fn main() -> anyhow::Result<()> {
    let args = args().run();
    let runtime = tokio::runtime::Runtime::new()?;
    let (through, direct) = runtime.block_on(drive(&args))?;
    let mut told = describe(&through);
    if !args.direct.is_empty() {
        told["direct"] = describe(&direct);
        for quantile in ["p50_ms", "p99_ms", "p999_ms"] {
            let added = told[quantile].as_f64().unwrap_or_default()
                - told["direct"][quantile].as_f64().unwrap_or_default();
            told[format!("added_{quantile}")] = json!(added);
        }
    }
    println!("{told}");
    Ok(())
}

/// Runs the load; where targets are given, in alternating slices.
async fn drive(args: &Args) -> Result<(LoadReport, LoadReport), LoadError> {
    let connections = Arc::new(Connections::default());
    let mut through = LoadReport::default();
    let mut direct = LoadReport::default();
    if args.direct.is_empty() {
        let whole = Duration::from_secs(args.seconds);
        let options = options(args, &args.to, whole, args.seed, args.first);
        through = run(&connections, &options).await?;
        return Ok((through, direct));
    }
    let slices = args.seconds * 1_000 / SLICE.as_millis() as u64;
    let mut first = args.first;
    for slice in 0..slices.max(1) {
        for (to, report) in [(&args.direct, &mut direct), (&args.to, &mut through)] {
            let options = options(args, to, SLICE, args.seed + slice, first);
            let part = run(&connections, &options).await?;
            first += part.counts.calls;
            report.add(&part);
        }
    }
    Ok((through, direct))
}

fn options(
    args: &Args,
    to: &[SocketAddr],
    duration: Duration,
    seed: u64,
    first_id: u64,
) -> LoadOptions {
    let destination = |address: &SocketAddr| Destination {
        address: *address,
        service: args.service.clone(),
    };
    LoadOptions {
        to: to.iter().map(destination).collect(),
        rate: args.rate,
        duration,
        seed,
        deadline: Duration::from_millis(args.deadline_ms),
        repeats: args.repeats,
        mix: Mix {
            ticket_percent: args.tickets,
            key_percent: args.keys,
        },
        first_id,
    }
}

fn describe(report: &LoadReport) -> Value {
    let latency = &report.latency;
    json!({
        "counts": report.counts,
        "p50_ms": latency.quantile_ms(0.5),
        "p99_ms": latency.quantile_ms(0.99),
        "p999_ms": latency.quantile_ms(0.999),
        "refusal_p99_ms": report.refusal.quantile_ms(0.99),
    })
}
