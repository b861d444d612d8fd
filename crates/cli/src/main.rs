//! `lynxcleat`: the operators' program, and the newcomer's embedded run.

mod accept;
mod args;
mod audit;
mod dev;
mod error;
mod explain;
mod explain_log;
mod fleet;
mod ops;
mod quarantine;
mod settings;
mod targets;
mod working;

use std::process::ExitCode;

use crate::args::{Command, command};
use crate::error::Failure;

fn main() -> ExitCode {
    let done = match command().run() {
        Command::Settings(action) => settings::run(action),
        Command::Audit(args) => audit::run(&args),
        Command::Explain(args) => explain::run(&args),
        Command::Quarantine(action) => quarantine::run(&action),
        Command::Targets(args) => targets::run(&args),
        Command::Dev(args) => dev::run(&args),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            eprintln!("lynxcleat: {failure}");
            ExitCode::from(failure.exit_code())
        }
    }
}

/// Result of a command.
type Done = Result<(), Failure>;
