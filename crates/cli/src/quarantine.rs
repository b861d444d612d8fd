//! `quarantine`: requests under which targets ended, and letting one run again.

use lynxcleat_daemon::{Lift, Lifted, SuspectState};
use serde_json::json;

use crate::Done;
use crate::args::{Format, LiftArgs, QuarantineAction, SuspectsArgs};
use crate::error::Failure;
use crate::ops;

/// Runs one action.
pub fn run(action: &QuarantineAction) -> Done {
    match action {
        QuarantineAction::List(args) => list(args),
        QuarantineAction::Lift(args) => lift(args),
    }
}

fn list(args: &SuspectsArgs) -> Done {
    let suspects: Vec<SuspectState> = ops::get(&args.ops, "/quarantine")?;
    match args.format {
        Format::Json => println!("{:#}", json!(suspects)),
        Format::Text if suspects.is_empty() => println!("no request is suspect"),
        Format::Text => suspects.iter().for_each(print),
    }
    Ok(())
}

fn print(suspect: &SuspectState) {
    let sent_by = if suspect.any_caller {
        "any caller"
    } else {
        "one caller"
    };
    let standing = match suspect.left_ms {
        Some(left_ms) => format!("refused for {} s more", left_ms / 1_000),
        None => "suspect, runs beside no other suspect".to_owned(),
    };
    println!(
        "{} of {sent_by}: {} targets ended in a row, the last {} s ago; {standing}",
        suspect.request,
        suspect.ends,
        suspect.age_ms / 1_000
    );
}

fn lift(args: &LiftArgs) -> Done {
    let lift = Lift {
        request: args.request.clone(),
        who: args.who.clone(),
    };
    let Lifted { was_suspect } = ops::post(&args.ops, "/quarantine/lift", &lift)?;
    if !was_suspect {
        return Err(Failure::NotSuspect(args.request.clone()));
    }
    println!("{} may run again", args.request);
    Ok(())
}
