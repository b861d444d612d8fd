//! The open loop: a seeded schedule of calls, started on time by a thread of its
//! own, since the runtime's timers are a millisecond coarse.

use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use thiserror::Error;

use crate::caller::{Call, Connections, Destination, Ended};
use crate::report::LoadReport;

/// The last part of a wait is spent turning, since sleeping is this coarse.
const SPIN: Duration = Duration::from_micros(80);

/// What callers ask for.
#[derive(Clone, Copy, Debug, Default)]
pub struct Mix {
    /// Share of calls that run under a ticket, in percent.
    pub ticket_percent: u32,
    /// Share of calls that run under a plain key, in percent.
    pub key_percent: u32,
}

/// Options of a run.
#[derive(Clone, Debug)]
pub struct LoadOptions {
    /// Where calls go, in turn.
    pub to: Vec<Destination>,
    /// Calls a second, on average.
    pub rate: f64,
    /// How long calls are started.
    pub duration: Duration,
    /// Seed of the schedule.
    pub seed: u64,
    /// Deadline of a call.
    pub deadline: Duration,
    /// Times that a caller repeats a call that was not run, when it is told to
    /// come back before its deadline.
    pub repeats: u32,
    /// What callers ask for.
    pub mix: Mix,
    /// Number of the first call; runs of one test take different ones.
    pub first_id: u64,
}

/// Why a run cannot be made.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum LoadError {
    /// There is nowhere to send calls.
    #[error("no destination is given")]
    NoDestination,
    /// The rate is not above 0.
    #[error("the rate must be above 0")]
    NoRate,
}

/// Runs the load and returns when every call has ended.
///
/// # Errors
/// Options that make no run.
pub async fn run(
    connections: &Arc<Connections>,
    options: &LoadOptions,
) -> Result<LoadReport, LoadError> {
    if options.to.is_empty() {
        return Err(LoadError::NoDestination);
    }
    if options.rate <= 0.0 {
        return Err(LoadError::NoRate);
    }
    let (starts, due) = flume::unbounded();
    let schedule = schedule(options);
    let begun = Instant::now();
    let pacer = thread::spawn(move || pace(begun, schedule, &starts));
    let report = Arc::new(Mutex::new(LoadReport::default()));
    let mut calls = tokio::task::JoinSet::new();
    let mut rng = SmallRng::seed_from_u64(!options.seed);
    let mut nth = 0;
    while let Ok(scheduled) = due.recv_async().await {
        let to = options.to[nth as usize % options.to.len()].clone();
        let call = make_call(options, connections, options.first_id + nth, &mut rng);
        nth += 1;
        let connections = Arc::clone(connections);
        let report = Arc::clone(&report);
        let patience = (options.deadline, options.repeats);
        calls.spawn(async move {
            one_call(&connections, &to, call, scheduled, patience, &report).await;
        });
    }
    calls.join_all().await;
    let _ = pacer.join();
    let report = report.lock().unwrap_or_else(PoisonError::into_inner);
    Ok(report.clone())
}

/// Starting times after the run's begin; gaps are exponential.
fn schedule(options: &LoadOptions) -> Vec<Duration> {
    let mut rng = SmallRng::seed_from_u64(options.seed);
    let mut at = 0.0;
    let end = options.duration.as_secs_f64();
    let mut times = Vec::with_capacity((end * options.rate * 1.1) as usize);
    loop {
        let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
        at -= uniform.ln() / options.rate;
        if at >= end {
            return times;
        }
        times.push(Duration::from_secs_f64(at));
    }
}

fn pace(begun: Instant, schedule: Vec<Duration>, starts: &flume::Sender<Instant>) {
    for after in schedule {
        let due = begun + after;
        let left = due.saturating_duration_since(Instant::now());
        if left > SPIN {
            thread::sleep(left - SPIN);
        }
        while Instant::now() < due {
            std::hint::spin_loop();
        }
        if starts.send(due).is_err() {
            return;
        }
    }
}

fn make_call(
    options: &LoadOptions,
    connections: &Connections,
    id: u64,
    rng: &mut SmallRng,
) -> Call {
    let drawn = rng.random_range(0..100);
    let Mix {
        ticket_percent,
        key_percent,
    } = options.mix;
    let wants_ticket = drawn < ticket_percent;
    let wants_key = !wants_ticket && drawn < ticket_percent + key_percent;
    Call {
        id,
        deadline_ms: options.deadline.as_millis() as u64,
        ticket: wants_ticket.then(|| connections.take_ticket()).flatten(),
        key: wants_key.then(|| format!("key-{id}")),
    }
}

async fn one_call(
    connections: &Connections,
    to: &Destination,
    call: Call,
    scheduled: Instant,
    (deadline, repeats): (Duration, u32),
    report: &Mutex<LoadReport>,
) {
    let mut repeated = 0;
    let ended = loop {
        let ended = connections.call(to, &call).await;
        let Ended::NotRun { retry_after_ms } = ended else {
            break ended;
        };
        let pause = Duration::from_millis(retry_after_ms.max(1));
        if repeated == repeats || scheduled.elapsed() + pause >= deadline {
            break ended;
        }
        repeated += 1;
        tokio::time::sleep(pause).await;
    };
    let took = scheduled.elapsed();
    let mut report = report.lock().unwrap_or_else(PoisonError::into_inner);
    count(&mut report, &ended, took, deadline);
    report.counts.repeated += u64::from(repeated);
}

fn count(report: &mut LoadReport, ended: &Ended, took: Duration, deadline: Duration) {
    let took_us = took.as_micros() as u64;
    let counts = &mut report.counts;
    counts.calls += 1;
    match ended {
        Ended::Answered { status, own } => {
            counts.answered += 1;
            counts.server_errors += u64::from(*status >= 500);
            counts.wrong_answers += u64::from(!own);
            counts.in_time += u64::from(took <= deadline && *status < 500);
            report.latency.record(took_us);
        }
        Ended::NotRun { .. } => {
            counts.refused_not_run += 1;
            report.refusal.record(took_us);
        }
        Ended::Unknown => counts.unknown += 1,
        Ended::Failed => counts.failed += 1,
    }
}
