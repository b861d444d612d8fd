//! `explain` from logs: all that the daemons wrote about one call, in order of time.

use std::fs;
use std::path::{Path, PathBuf};

use lynxcleat_daemon::AttemptTrace;
use serde::Deserialize;
use serde_json::{Map, Value, json};

use crate::args::Format;
use crate::error::Failure;

/// One line of a daemon's log. Whoever collected it may have put words before it.
#[derive(Deserialize)]
struct Line {
    #[serde(default)]
    time: String,
    #[serde(default)]
    message: String,
    #[serde(default)]
    attributes: Map<String, Value>,
}

/// A line about the call, with what stood before it in its file.
struct Found {
    source: String,
    line: Line,
}

/// Prints what the logs say of a call.
///
/// # Errors
/// A log that cannot be read, or none that knows the call.
pub fn run(logs: &[PathBuf], call: &str, format: Format) -> Result<(), Failure> {
    let mut found = Vec::new();
    for file in logs {
        let text = fs::read_to_string(file).map_err(|error| Failure::File {
            file: file.clone(),
            error,
        })?;
        found.extend(text.lines().filter_map(|line| about(file, line, call)));
    }
    if found.is_empty() {
        return Err(Failure::NotLogged(call.to_owned()));
    }
    found.sort_by(|one, other| one.line.time.cmp(&other.line.time));
    for found in &found {
        match format {
            Format::Json => println!("{}", to_json(found)),
            Format::Text => print(found),
        }
    }
    Ok(())
}

fn about(file: &Path, text: &str, call: &str) -> Option<Found> {
    let (before, json) = text.split_at(text.find('{')?);
    let line: Line = serde_json::from_str(json).ok()?;
    let named = line.attributes.get("call").and_then(Value::as_str)?;
    if named != call {
        return None;
    }
    let source = match before.trim() {
        "" => file.display().to_string(),
        words => words.to_owned(),
    };
    Some(Found { source, line })
}

fn to_json(found: &Found) -> Value {
    json!({
        "source": found.source,
        "time": found.line.time,
        "message": found.line.message,
        "attributes": found.line.attributes,
    })
}

fn print(found: &Found) {
    let line = &found.line;
    println!("{} {}: {}", line.time, found.source, line.message);
    for (name, value) in &line.attributes {
        match (name.as_str(), value.as_str()) {
            ("call", _) => {}
            ("attempts", Some(text)) => print_attempts(text),
            (_, Some(text)) => println!("    {name}: {text}"),
            _ => println!("    {name}: {value}"),
        }
    }
}

fn print_attempts(text: &str) {
    let Ok(attempts) = serde_json::from_str::<Vec<AttemptTrace>>(text) else {
        return println!("    attempts: {text}");
    };
    for attempt in attempts {
        let result = attempt.result.as_deref().unwrap_or("no reply");
        println!(
            "    to {} after {} us: {result}",
            attempt.host, attempt.sent_us
        );
        for host in attempt.passed_over {
            println!("      passed over {host}: its rate limit is used up");
        }
        for one in attempt.considered {
            println!(
                "      considered {:20} score {:.3} load {:.1} slowness {:.1} told {} ms before{}",
                one.host,
                one.score,
                one.load,
                one.slowness,
                one.slowness_age_us / 1_000,
                one.remarks()
            );
        }
    }
}
