//! The oracle: what callers were told, held against what the targets ran.

use std::collections::HashMap;
use std::time::Duration;

use serde::Serialize;
use thiserror::Error;

/// What a call is.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// May run more than once.
    Lookup,
    /// Must run at most once; it carries a ticket and may be repeated under it.
    Ticketed,
    /// Must run at most once; it is never repeated.
    Plain,
}

/// What a caller heard of one try.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Heard {
    /// A target's answer: whether it succeeded, and whether it is the call's own.
    Answered {
        /// Whether the status says success.
        success: bool,
        /// Whether path, body and mark are those of the call.
        own: bool,
    },
    /// It was not run.
    NotRun,
    /// It may have run.
    Unknown,
    /// No connection could be made, so nothing was sent.
    NotSent,
    /// The request was sent and the connection ended without an answer.
    Cut,
    /// No answer came in time.
    Nothing,
}

/// One try of a call.
#[derive(Clone, Debug, Serialize)]
pub struct CallRecord {
    /// Name of the operation; the same for all tries of a call.
    pub op: String,
    /// What the call is.
    pub kind: Kind,
    /// Number of the host whose daemon was called.
    pub host: usize,
    /// When it was sent, from the start of traffic.
    pub sent: Duration,
    /// When it ended.
    pub ended: Duration,
    /// What was heard.
    pub heard: Heard,
}

/// A time in which a daemon did not run, or not evenly.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Disturbed {
    /// Number of its host.
    pub host: usize,
    /// Begin, from the start of traffic.
    pub from: Duration,
    /// End.
    pub to: Duration,
}

/// A promise that was broken.
#[derive(Clone, Debug, Error, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Violation {
    /// An operation ran more than once.
    #[error("{op} ran {runs} times")]
    Twice {
        /// The operation.
        op: String,
        /// How often it ran.
        runs: u32,
    },
    /// A caller was told "not run" each time, and it ran.
    #[error("{op} was told not run, and ran")]
    FalselyNotRun {
        /// The operation.
        op: String,
    },
    /// A caller was told of success, and it did not run.
    #[error("{op} was answered with success, and did not run")]
    FalselyRan {
        /// The operation.
        op: String,
    },
    /// An answer was not that of the call.
    #[error("{op} got an answer that is not its own")]
    NotOwn {
        /// The operation.
        op: String,
    },
    /// A call to a daemon that ran all the time was cut off.
    #[error("{op} was cut off by host {host}, which ran")]
    Cut {
        /// The operation.
        op: String,
        /// Number of the host.
        host: usize,
    },
    /// A call to a daemon that ran all the time was not answered in time.
    #[error("{op} was not answered by host {host}, which ran")]
    Unanswered {
        /// The operation.
        op: String,
        /// Number of the host.
        host: usize,
    },
    /// A daemon ended that nobody stopped.
    #[error("the daemon of host {host} ended by itself")]
    Ended {
        /// Number of the host.
        host: usize,
    },
    /// Settings in force at one run of a daemon fell back.
    #[error("host {host} fell back from generation {from} to {to}")]
    FellBack {
        /// Number of the host.
        host: usize,
        /// Generation before.
        from: u64,
        /// Generation after.
        to: u64,
    },
    /// After the last fault a daemon did not serve, or not with the newest settings.
    #[error("host {host} did not recover: {what}")]
    NotRecovered {
        /// Number of the host.
        host: usize,
        /// What is missing.
        what: String,
    },
}

/// All tries of a run, and the times in which daemons were disturbed.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    /// Tries in the order of their end.
    pub calls: Vec<CallRecord>,
    /// Kills, pauses and the time that daemons were down.
    pub disturbed: Vec<Disturbed>,
}

impl Ledger {
    /// What the run broke, where `runs` tells how often each operation ran.
    pub fn judge(&self, runs: &HashMap<String, u32>) -> Vec<Violation> {
        let mut found: Vec<Violation> = self
            .calls
            .iter()
            .filter_map(|call| self.judge_call(call))
            .collect();
        found.extend(self.by_operation().filter_map(|(op, calls)| {
            let count = runs.get(op).copied().unwrap_or(0);
            judge_operation(op, &calls, count)
        }));
        found
    }

    fn by_operation(&self) -> impl Iterator<Item = (&str, Vec<&CallRecord>)> {
        let mut calls: HashMap<&str, Vec<&CallRecord>> = HashMap::new();
        for call in &self.calls {
            calls.entry(&call.op).or_default().push(call);
        }
        calls.into_iter()
    }

    fn judge_call(&self, call: &CallRecord) -> Option<Violation> {
        let op = call.op.clone();
        let host = call.host;
        match call.heard {
            Heard::Answered { own: false, .. } => Some(Violation::NotOwn { op }),
            Heard::Cut if !self.was_disturbed(call) => Some(Violation::Cut { op, host }),
            Heard::Nothing if !self.was_disturbed(call) => Some(Violation::Unanswered { op, host }),
            _ => None,
        }
    }

    fn was_disturbed(&self, call: &CallRecord) -> bool {
        self.disturbed.iter().any(|disturbed| {
            disturbed.host == call.host && disturbed.from <= call.ended && disturbed.to >= call.sent
        })
    }
}

fn judge_operation(op: &str, calls: &[&CallRecord], runs: u32) -> Option<Violation> {
    let op = op.to_owned();
    if calls.iter().any(|call| call.kind == Kind::Lookup) {
        return None;
    }
    if runs > 1 {
        return Some(Violation::Twice { op, runs });
    }
    let not_run = |call: &&CallRecord| matches!(call.heard, Heard::NotRun | Heard::NotSent);
    if runs == 1 && calls.iter().all(not_run) {
        return Some(Violation::FalselyNotRun { op });
    }
    let success = |call: &&CallRecord| matches!(call.heard, Heard::Answered { success: true, .. });
    if runs == 0 && calls.iter().any(success) {
        return Some(Violation::FalselyRan { op });
    }
    None
}
