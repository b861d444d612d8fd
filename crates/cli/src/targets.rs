//! `targets`: what targets say of themselves, as the daemons beside them heard it.

use lynxcleat_daemon::Status;
use serde_json::json;

use crate::Done;
use crate::args::{Format, TargetsArgs};
use crate::ops;

/// Prints a line for each daemon's target.
pub fn run(args: &TargetsArgs) -> Done {
    let mut found = Vec::new();
    for daemon in &args.ops {
        let status: Status = ops::get(daemon, "/status")?;
        found.push(status);
    }
    match args.format {
        Format::Json => {
            let listed: Vec<_> = found.iter().map(to_json).collect();
            println!("{:#}", json!(listed));
        }
        Format::Text => found.iter().for_each(print),
    }
    Ok(())
}

fn to_json(status: &Status) -> serde_json::Value {
    json!({
        "host": status.host,
        "service": status.service,
        "limit_per_s": status.limit_per_s(),
        "says_leaving": status.says_leaving,
        "leaving": status.leaving,
        "down": status.target_down,
    })
}

fn print(status: &Status) {
    let limit = match status.limit_per_s() {
        Some(limit) => format!("takes {limit} calls/s from all daemons together"),
        None => "states no rate limit".to_owned(),
    };
    let standing = match (status.says_leaving, status.leaving, status.target_down) {
        (true, ..) => "says that it leaves",
        (_, true, _) => "takes no new calls",
        (_, _, true) => "is down",
        _ => "takes calls",
    };
    println!("{} {}: {limit}, {standing}", status.host, status.service);
}
