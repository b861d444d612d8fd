//! `dev`: platform, targets and daemons embedded in one process.

use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use lynxcleat_daemon::{Config, Daemon, RawConfig, logging};
use lynxcleat_load::{Connections, Destination, LoadOptions, LoadReport, Mix, run as load};
use lynxcleat_settings::{Effective, Tree};
use lynxcleat_standin::{PlatformStandin, TargetOptions, TargetStandin};
use lynxcleat_store::{AcceptRequest, HostState, Platform, accept};
use serde::Serialize;
use serde_json::json;

use crate::Done;
use crate::accept::{new_change_id, now_ms};
use crate::args::{DevArgs, Format};
use crate::error::Failure;
use crate::working::read_tree;

const EXAMPLE_TREE: &str = include_str!("../../../examples/kolkata.json");
const SHARED_KEY: &str = "a key for embedded runs only";
const ANY_PORT: &str = "127.0.0.1:0";
/// Workers of each service, over all places; the first service has one more.
const WORKERS: usize = 3;
/// Length of a slice of load; direct slices and slices through daemons alternate.
const SLICE: Duration = Duration::from_millis(500);
/// Time for the daemons to take up the first generation and their peers.
const START_LIMIT: Duration = Duration::from_secs(10);
/// Deadline of the driven calls.
const DEADLINE: Duration = Duration::from_secs(2);
/// Times that the driven callers repeat a call that was not run.
const REPEATS: u32 = 3;

struct Worker {
    target: TargetStandin,
    daemon: Daemon,
    service: String,
    place: String,
}

#[derive(Debug, Serialize)]
struct Report {
    calls: u64,
    answered: u64,
    refused_not_run: u64,
    unknown: u64,
    failed: u64,
    wrong_answers: u64,
    run_twice: usize,
    p50_ms: f64,
    p99_ms: f64,
    p999_ms: f64,
    direct_p50_ms: f64,
    direct_p99_ms: f64,
    added_p50_ms: f64,
    added_p99_ms: f64,
}

/// Starts everything; drives calls and reports, or runs until interrupted.
pub fn run(args: &DevArgs) -> Done {
    logging::install(args.log)?;
    let tree = match &args.tree {
        Some(file) => read_tree(file)?,
        None => Tree::parse(EXAMPLE_TREE)?,
    };
    let runtime = tokio::runtime::Runtime::new()?;
    runtime.block_on(embedded(args, tree))
}

async fn embedded(args: &DevArgs, tree: Tree) -> Done {
    let platform = PlatformStandin::start(ANY_PORT)?;
    accept_first(&platform, tree.clone()).await?;
    let workers = start_workers(&platform, &tree, args.service_us).await?;
    for worker in &workers {
        let ready = worker.daemon.in_force(1);
        let _ = tokio::time::timeout(START_LIMIT, ready).await;
    }
    if args.report == Format::Text {
        print_addresses(&platform, &workers);
    }
    let done = match args.seconds {
        Some(seconds) => drive(args, &workers, seconds).await,
        None => {
            tokio::signal::ctrl_c().await?;
            Ok(())
        }
    };
    let stops = workers.into_iter().map(|worker| {
        tokio::spawn(async move {
            worker.daemon.stop().await;
            drop(worker.target);
        })
    });
    for stop in stops.collect::<Vec<_>>() {
        let _ = stop.await;
    }
    done
}

async fn accept_first(platform: &PlatformStandin, tree: Tree) -> Done {
    let client = Platform::builder(platform.url()).build();
    let request = AcceptRequest {
        tree,
        base: 0,
        who: "dev".to_owned(),
        note: "first tree of an embedded run".to_owned(),
        change_id: new_change_id(),
        when_ms: now_ms(),
        outcome_timeout: DEADLINE,
    };
    let accepted = tokio::task::spawn_blocking(move || accept(&client, &request)).await;
    accepted.map_err(std::io::Error::from)??;
    Ok(())
}

/// Spreads the workers of each service over its places.
async fn start_workers(
    platform: &PlatformStandin,
    tree: &Tree,
    service_us: u64,
) -> Result<Vec<Worker>, Failure> {
    let places = tree.places();
    let mut services: Vec<&str> = places
        .iter()
        .flat_map(|place| tree.services(place))
        .collect();
    services.sort_by_key(|name| (*name != "pricebook" && *name != "crate-records", *name));
    services.dedup();
    let mut workers = Vec::new();
    for (nth, service) in services.iter().enumerate() {
        let has: Vec<&str> = places
            .iter()
            .copied()
            .filter(|place| tree.services(place).contains(service))
            .collect();
        let count = if nth == 0 { WORKERS + 1 } else { WORKERS };
        for number in 0..count {
            let place = has[number % has.len()];
            let worker = start_worker(platform, tree, (place, service), number, service_us);
            workers.push(worker.await?);
        }
    }
    Ok(workers)
}

async fn start_worker(
    platform: &PlatformStandin,
    tree: &Tree,
    (place, service): (&str, &str),
    number: usize,
    service_us: u64,
) -> Result<Worker, Failure> {
    let host = format!("{service}-{number}");
    let target = TargetStandin::start(&TargetOptions {
        name: host.clone(),
        address: ANY_PORT.to_owned(),
        control: ANY_PORT.to_owned(),
        slots: Effective::of(tree, place, service).slots as usize,
        service: Duration::from_micros(service_us),
    })?;
    let raw = RawConfig {
        deployment: "dev".to_owned(),
        host,
        place: place.to_owned(),
        zone: place.to_owned(),
        region: String::new(),
        service: service.to_owned(),
        callers: ANY_PORT.to_owned(),
        mesh: ANY_PORT.to_owned(),
        ops: ANY_PORT.to_owned(),
        target: target.address(),
        target_health: Some(target.control()),
        platform: platform.url(),
        shared_key_file: None,
        shared_key: Some(SHARED_KEY.to_owned()),
        seeds: Vec::new(),
        threads: None,
        caller_connections: None,
        log_level: None,
        first_start: false,
        settings_in_force_ms: None,
    };
    let daemon = Daemon::start(Config::resolve(raw, Path::new("."))?).await?;
    platform.put_host(daemon.host_entry(HostState::Live));
    Ok(Worker {
        target,
        daemon,
        service: service.to_owned(),
        place: place.to_owned(),
    })
}

fn print_addresses(platform: &PlatformStandin, workers: &[Worker]) {
    println!("platform {}", platform.url());
    for worker in workers {
        let me = worker.daemon.identity();
        println!(
            "{:12} {:12} callers {:21} operators {:21} target {}",
            worker.place,
            worker.service,
            me.callers,
            me.ops,
            worker.target.address()
        );
    }
    if let Some(first) = workers.first() {
        println!(
            "curl -i -H 'Host: {}' http://{}/items/1",
            first.service,
            first.daemon.identity().callers
        );
    }
}

/// Drives calls for the first service, in alternating slices.
async fn drive(args: &DevArgs, workers: &[Worker], seconds: u64) -> Done {
    let service = workers[0].service.clone();
    wait_for_peers(workers).await;
    let through = destinations(workers, &service, |worker| {
        worker.daemon.identity().callers.to_string()
    });
    let direct = destinations(
        workers
            .iter()
            .filter(|worker| worker.service == service)
            .collect::<Vec<_>>(),
        &service,
        |worker| worker.target.address(),
    );
    let connections = Arc::new(Connections::default());
    let mut via = LoadReport::default();
    let mut straight = LoadReport::default();
    let slices = (seconds * 1_000 / SLICE.as_millis() as u64).max(2);
    let mut first_id = 1;
    for slice in 0..slices {
        let is_direct = slice % 2 == 0;
        let options = LoadOptions {
            to: if is_direct {
                direct.clone()
            } else {
                through.clone()
            },
            rate: args.rate,
            duration: SLICE,
            seed: args.seed + slice / 2,
            deadline: DEADLINE,
            repeats: REPEATS,
            mix: Mix {
                ticket_percent: if is_direct { 0 } else { args.once_percent },
                key_percent: 0,
            },
            first_id,
        };
        let report = load(&connections, &options).await?;
        first_id += report.counts.calls;
        if is_direct { &mut straight } else { &mut via }.add(&report);
    }
    tell(args, workers, &via, &straight)
}

fn destinations<'a>(
    workers: impl IntoIterator<Item = &'a Worker>,
    service: &str,
    address: impl Fn(&Worker) -> String,
) -> Vec<Destination> {
    workers
        .into_iter()
        .map(|worker| Destination {
            address: address(worker).parse().expect("a bound address"),
            service: service.to_owned(),
        })
        .collect()
}

/// Every daemon must know every other before calls are measured.
async fn wait_for_peers(workers: &[Worker]) {
    let known = async {
        while workers
            .iter()
            .any(|worker| worker.daemon.status().hosts < workers.len())
        {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    let _ = tokio::time::timeout(START_LIMIT, known).await;
}

fn tell(args: &DevArgs, workers: &[Worker], via: &LoadReport, straight: &LoadReport) -> Done {
    let counts = &via.counts;
    let quantile = |of: &LoadReport, at| of.latency.quantile_ms(at);
    let report = Report {
        calls: counts.calls,
        answered: counts.answered,
        refused_not_run: counts.refused_not_run,
        unknown: counts.unknown,
        failed: counts.failed,
        wrong_answers: counts.wrong_answers,
        run_twice: run_twice(workers),
        p50_ms: quantile(via, 0.5),
        p99_ms: quantile(via, 0.99),
        p999_ms: quantile(via, 0.999),
        direct_p50_ms: quantile(straight, 0.5),
        direct_p99_ms: quantile(straight, 0.99),
        added_p50_ms: quantile(via, 0.5) - quantile(straight, 0.5),
        added_p99_ms: quantile(via, 0.99) - quantile(straight, 0.99),
    };
    match args.report {
        Format::Json => println!("{}", json!(report)),
        Format::Text => println!("{report:#?}"),
    }
    if report.wrong_answers > 0 || report.answered == 0 || report.run_twice > 0 {
        return Err(Failure::BadRun {
            wrong: report.wrong_answers,
            answered: report.answered,
            twice: report.run_twice,
        });
    }
    Ok(())
}

/// Operations that ran more than once, by the targets' own ledgers.
fn run_twice(workers: &[Worker]) -> usize {
    let mut runs = std::collections::HashMap::new();
    for worker in workers {
        for (op, count) in worker.target.ledger() {
            *runs.entry(op).or_insert(0) += count;
        }
    }
    runs.values().filter(|count| **count > 1).count()
}
