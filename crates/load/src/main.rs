//! `lynxcleat-load`: open-loop load against running daemons.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bpaf::Bpaf;
use lynxcleat_load::{Connections, Destination, LoadOptions, Mix, run};
use serde_json::json;

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
    let options = LoadOptions {
        to: args
            .to
            .iter()
            .map(|address| Destination {
                address: *address,
                service: args.service.clone(),
            })
            .collect(),
        rate: args.rate,
        duration: Duration::from_secs(args.seconds),
        seed: args.seed,
        deadline: Duration::from_millis(args.deadline_ms),
        repeats: args.repeats,
        mix: Mix {
            ticket_percent: args.tickets,
            key_percent: args.keys,
        },
        first_id: args.first,
    };
    let runtime = tokio::runtime::Runtime::new()?;
    let connections = Arc::new(Connections::default());
    let report = runtime.block_on(run(&connections, &options))?;
    let latency = &report.latency;
    let told = json!({
        "counts": report.counts,
        "p50_ms": latency.quantile_ms(0.5),
        "p99_ms": latency.quantile_ms(0.99),
        "p999_ms": latency.quantile_ms(0.999),
        "refusal_p99_ms": report.refusal.quantile_ms(0.99),
    });
    println!("{told}");
    Ok(())
}
