//! The oracle: what it takes for a broken promise, and what it does not.

use std::collections::HashMap;
use std::time::Duration;

use lynxcleat_soak::{CallRecord, Disturbed, Heard, Kind, Ledger, Violation};
use rstest::rstest;

const SUCCESS: Heard = Heard::Answered {
    success: true,
    own: true,
};

fn record(kind: Kind, heard: Heard) -> CallRecord {
    CallRecord {
        op: "a".to_owned(),
        kind,
        host: 1,
        sent: Duration::from_millis(1_000),
        ended: Duration::from_millis(1_200),
        heard,
    }
}

fn name(violation: &Violation) -> &'static str {
    match violation {
        Violation::Twice { .. } => "twice",
        Violation::FalselyNotRun { .. } => "falsely not run",
        Violation::FalselyRan { .. } => "falsely ran",
        Violation::NotOwn { .. } => "not own",
        Violation::Cut { .. } => "cut",
        Violation::Unanswered { .. } => "unanswered",
        _ => "other",
    }
}

#[rstest]
#[case::served(Kind::Plain, &[SUCCESS], 1, &[])]
#[case::lookups_may_run_again(Kind::Lookup, &[SUCCESS], 3, &[])]
#[case::ran_twice(Kind::Ticketed, &[Heard::Unknown, SUCCESS], 2, &["twice"])]
#[case::unknown_may_have_run(Kind::Plain, &[Heard::Unknown], 1, &[])]
#[case::not_run_and_ran(Kind::Plain, &[Heard::NotRun], 1, &["falsely not run"])]
#[case::not_sent_and_ran(Kind::Plain, &[Heard::NotSent], 1, &["falsely not run"])]
#[case::unknown_before_not_run(Kind::Ticketed, &[Heard::Unknown, Heard::NotRun], 1, &[])]
#[case::success_and_did_not_run(Kind::Plain, &[SUCCESS], 0, &["falsely ran"])]
#[case::failed_by_the_target(Kind::Plain, &[Heard::Answered { success: false, own: true }], 0, &[])]
#[case::of_another(Kind::Lookup, &[Heard::Answered { success: true, own: false }], 1, &["not own"])]
#[case::cut(Kind::Lookup, &[Heard::Cut], 0, &["cut"])]
#[case::unanswered(Kind::Lookup, &[Heard::Nothing], 0, &["unanswered"])]
fn what_callers_heard_is_held_against_what_ran(
    #[case] kind: Kind,
    #[case] heard: &[Heard],
    #[case] runs: u32,
    #[case] expected: &[&str],
) {
    let calls = heard.iter().map(|heard| record(kind, heard.clone()));
    let ledger = Ledger {
        calls: calls.collect(),
        disturbed: Vec::new(),
    };
    let found = ledger.judge(&HashMap::from([("a".to_owned(), runs)]));
    assert_eq!(found.iter().map(name).collect::<Vec<_>>(), expected);
}

#[rstest]
#[case::its_daemon_while_it_was_out(1, 1_100, 1_150, true)]
#[case::its_daemon_before(1, 100, 900, false)]
#[case::its_daemon_after(1, 1_300, 1_400, false)]
#[case::another_daemon(2, 1_100, 1_150, false)]
fn a_call_may_be_cut_only_by_a_daemon_that_was_disturbed(
    #[case] host: usize,
    #[case] from_ms: u64,
    #[case] to_ms: u64,
    #[case] excused: bool,
) {
    let ledger = Ledger {
        calls: vec![record(Kind::Lookup, Heard::Cut)],
        disturbed: vec![Disturbed {
            host,
            from: Duration::from_millis(from_ms),
            to: Duration::from_millis(to_ms),
        }],
    };
    assert_eq!(ledger.judge(&HashMap::new()).is_empty(), excused);
}
