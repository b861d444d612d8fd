//! Reports of a target that says that it is ready but does not confirm it when it is asked.
//!
//! A target that has left sends no more such reports, and its late ones end after a while. One
//! that goes on for longer is ready, and its answer is wrong.

use crate::ids::Micros;
use crate::report::TargetReport;

/// Least number of reports, and the time that they must span, in microseconds.
const MIN_REPORTS: u32 = 12;
const MIN_SPAN_US: Micros = 30_000_000;
/// Maximum number of incarnations whose reports are counted.
const MAX_SENDERS: usize = 4;

/// The reports of one incarnation.
#[derive(Clone, Debug)]
struct Repeated {
    instance: String,
    started_ms: Option<u64>,
    first_at: Micros,
    sequence: Option<u64>,
    count: u32,
}

/// Reports of the incarnations that reported last.
#[derive(Clone, Debug, Default)]
pub(crate) struct RepeatedReports {
    senders: Vec<Repeated>,
}

impl RepeatedReports {
    /// Records a report. Returns whether those of its sender suffice. A repetition of an earlier
    /// report does not count.
    pub(crate) fn record(&mut self, now: Micros, report: &TargetReport) -> bool {
        let repeated = self.sender(now, report);
        if report.sequence.is_none() || report.sequence > repeated.sequence {
            repeated.sequence = report.sequence;
            repeated.count += 1;
        }
        let span = now.saturating_sub(repeated.first_at);
        repeated.count >= MIN_REPORTS && span >= MIN_SPAN_US
    }

    fn sender(&mut self, now: Micros, report: &TargetReport) -> &mut Repeated {
        let known = self.senders.iter().position(|one| one.is_of(report));
        let at = known.unwrap_or_else(|| {
            if self.senders.len() == MAX_SENDERS {
                self.senders.remove(0);
            }
            self.senders.push(Repeated {
                instance: report.instance.clone(),
                started_ms: report.started_ms,
                first_at: now,
                sequence: None,
                count: 0,
            });
            self.senders.len() - 1
        });
        &mut self.senders[at]
    }
}

impl Repeated {
    fn is_of(&self, report: &TargetReport) -> bool {
        self.instance == report.instance && self.started_ms == report.started_ms
    }
}
