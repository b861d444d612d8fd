//! `explain`: why a call went where it went.

use lynxcleat_daemon::Trace;
use serde_json::json;

use crate::Done;
use crate::args::{ExplainArgs, Format};
use crate::error::Failure;
use crate::explain_log;
use crate::ops;

/// Prints the trace of one call, or of the newest.
pub fn run(args: &ExplainArgs) -> Done {
    if let (false, Some(call)) = (args.log.is_empty(), &args.call) {
        return explain_log::run(&args.log, call, args.format);
    }
    let daemon = args.ops.as_deref().ok_or(Failure::NoTrace)?;
    let traces = match &args.call {
        Some(call) => vec![ops::get(daemon, &format!("/explain?call={call}"))?],
        None => ops::get(daemon, "/explain")?,
    };
    match args.format {
        Format::Json => println!("{:#}", json!(traces)),
        Format::Text => traces.iter().for_each(print),
    }
    Ok(())
}

fn print(trace: &Trace) {
    println!(
        "call {} service {} generation {}: {} after {} us",
        trace.call, trace.service, trace.generation, trace.verdict, trace.took_us
    );
    if !trace.homes.is_empty() {
        println!("  home regions {}", trace.homes.join(", "));
    }
    if !trace.request.is_empty() {
        println!("  request {}, under which a target ended", trace.request);
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
                scored.remarks()
            );
        }
        for host in &attempt.passed_over {
            println!("    passed over {host}: its rate limit is used up");
        }
    }
}
