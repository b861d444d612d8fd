//! Putting a report of the target in force.

use lynxcleat_policy::{ReportEffect, TargetReport};

use crate::core::Core;

/// Puts a report in force. Returns whether it changed anything.
pub(super) async fn report(core: &Core, report: TargetReport) -> bool {
    let instance = report.instance.clone();
    let state = report.state;
    let (sequence, started_ms) = (report.sequence, report.started_ms);
    let cold_ms = report.cold_ms;
    let taken = core.half.take_report(core, report).await;
    if taken != ReportEffect::Changed {
        return false;
    }
    let in_force = core
        .half
        .with_reports(|reports| reports.current().map(|target| target.state));
    log::info!(
        instance = instance.as_str(),
        state:? = state,
        in_force:? = in_force.flatten(),
        sequence:?,
        started_ms:?,
        cold_ms;
        "target reported"
    );
    core.apply_target();
    true
}
