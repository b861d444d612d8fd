//! The stand-ins of the review's cases, and the cases themselves: the project's processes run
//! beside workers, clients and a store that are processes and threads of this program.
//!
//! `stand-ins CASE` runs a case: exit code 1 where the rule was broken, 0 where it held, 2 where
//! the case could not run. `TROUBLE=0` leaves the disruption out.

mod base;
mod case_drain;
mod case_quota;
mod case_silent;
mod case_upload;
mod machine;
mod site;
mod store;
mod worker;

use std::panic::{AssertUnwindSafe, catch_unwind};
use std::process::exit;

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let name = args.first().map(String::as_str).unwrap_or_default();
    if name == "worker" {
        return worker::run(&args[1..]);
    }
    let record = std::env::var("RECORD").unwrap_or_else(|_| "record.txt".to_owned());
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let case = match name {
        "drain" => case_drain::run,
        "quota" => case_quota::run,
        "silent" => case_silent::run,
        "upload" => case_upload::run,
        _ => {
            eprintln!("no such case: {name:?}");
            exit(2);
        }
    };
    match catch_unwind(AssertUnwindSafe(|| case(&record, trouble))) {
        Ok(true) => exit(1),
        Ok(false) => exit(0),
        Err(_) => exit(2),
    }
}
