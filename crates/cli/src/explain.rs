//! `explain`: why a call went where it went.

use lynxcleat_daemon::Trace;
use serde_json::json;

use crate::Done;
use crate::args::{ExplainArgs, Format};
use crate::error::Failure;
use crate::explain_log;

/// Seconds that the daemon's answer may take.
const ASK_LIMIT_S: u64 = 5;

/// Prints the trace of one call, or of the newest.
pub fn run(args: &ExplainArgs) -> Done {
    if let (false, Some(call)) = (args.log.is_empty(), &args.call) {
        return explain_log::run(&args.log, call, args.format);
    }
    let ops = args.ops.as_deref().ok_or(Failure::NoTrace)?;
    let traces = match &args.call {
        Some(call) => vec![ask(ops, &format!("/explain?call={call}"))?],
        None => ask(ops, "/explain")?,
    };
    match args.format {
        Format::Json => println!("{:#}", json!(traces)),
        Format::Text => traces.iter().for_each(print),
    }
    Ok(())
}

fn ask<T: serde::de::DeserializeOwned>(ops: &str, path: &str) -> Result<T, Failure> {
    let failed = |reason: String| Failure::Ops {
        address: ops.to_owned(),
        reason,
    };
    let response = minreq::get(format!("http://{ops}{path}"))
        .with_timeout(ASK_LIMIT_S)
        .send()
        .map_err(|error| failed(error.to_string()))?;
    if response.status_code != 200 {
        return Err(failed(format!("status {}", response.status_code)));
    }
    serde_json::from_slice(response.as_bytes()).map_err(|error| failed(error.to_string()))
}

fn print(trace: &Trace) {
    println!(
        "call {} service {} generation {}: {} after {} us",
        trace.call, trace.service, trace.generation, trace.verdict, trace.took_us
    );
    if !trace.homes.is_empty() {
        println!("  home regions {}", trace.homes.join(", "));
    }
    for (nth, attempt) in trace.attempts.iter().enumerate() {
        let result = attempt.result.as_deref().unwrap_or("no reply");
        println!(
            "  attempt {} to {} after {} us: {result}",
            nth + 1,
            attempt.host,
            attempt.sent_us
        );
        for scored in &attempt.considered {
            println!(
                "    considered {:20} score {:.0}{}",
                scored.host,
                scored.score,
                scored.way()
            );
        }
    }
}
