//! `settings accept`.

use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use lynxcleat_store::{AcceptRequest, Platform, accept};

use crate::Done;
use crate::args::AcceptArgs;
use crate::error::Failure;
use crate::fleet;
use crate::settings::client;
use crate::working::Working;

/// Time to settle an outcome that is not known.
const SETTLE: Duration = Duration::from_secs(20);
/// Pause between two rounds of asking the daemons.
const ASK_PAUSE: Duration = Duration::from_millis(100);

/// Accepts a working file's tree, and moves the file's base on.
pub fn run(args: &AcceptArgs) -> Done {
    let working = Working::read(&args.file)?;
    let platform = client(&args.platform);
    let change_id = args.change.clone().unwrap_or_else(new_change_id);
    let request = AcceptRequest {
        tree: working.tree,
        base: working.base,
        who: args.who.clone(),
        note: args.note.clone(),
        change_id: change_id.clone(),
        when_ms: now_ms(),
        outcome_timeout: SETTLE,
    };
    let accepted = accept(&platform, &request)?;
    for change in &accepted.changes {
        println!("{change}");
    }
    let merged = if accepted.merged {
        ", merged with changes accepted meanwhile"
    } else {
        ""
    };
    let generation = accepted.generation;
    println!("change {change_id} accepted as generation {generation}{merged}");
    match args.wait {
        Some(seconds) => wait(&platform, generation, seconds),
        None => Ok(()),
    }
}

/// Waits until every listed daemon says that it has the generation in force.
fn wait(platform: &Platform, generation: u64, seconds: u64) -> Done {
    let begun = Instant::now();
    loop {
        let hosts = fleet::listed(platform)?;
        let standing = fleet::ask(&hosts, generation);
        let missing = standing.iter().filter(|one| !one.in_force).count();
        if missing == 0 {
            fleet::print(&standing);
            println!(
                "in force at all {} daemons after {:.2} s",
                standing.len(),
                begun.elapsed().as_secs_f64()
            );
            return Ok(());
        }
        if begun.elapsed() >= Duration::from_secs(seconds) {
            fleet::print(&standing);
            return Err(Failure::NotEverywhere {
                generation,
                missing,
                seconds,
            });
        }
        thread::sleep(ASK_PAUSE);
    }
}

/// A new id for a change.
pub fn new_change_id() -> String {
    format!("{:016x}", rand::random::<u64>())
}

/// This machine's clock, in milliseconds since 1970.
pub fn now_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.unwrap_or_default().as_millis() as u64
}
