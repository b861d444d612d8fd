//! What a run showed: counts for each second, the faults, and broken promises; as JSON and
//! as a plot.

use std::path::Path;
use std::time::Duration;

use hdrhistogram::Histogram;
use plotters::prelude::{
    BLACK, BLUE, ChartBuilder, Color, IntoDrawingArea, LineSeries, PathElement, RED, RGBColor,
    Rectangle, SVGBackend, WHITE,
};
use serde::Serialize;

use crate::ledger::{CallRecord, Heard, Ledger, Violation};
use crate::plan::Plan;

/// Size of a plot in pixels.
const SIZE: (u32, u32) = (1_100, 420);
/// Colour of the times in which a fault stood.
const FAULT: RGBColor = RGBColor(240, 200, 120);

/// One count of a second.
type Count = fn(&Second) -> u64;

/// What ended in one second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Second {
    /// Tries that a target answered.
    pub answered: u64,
    /// Tries that were told "not run".
    pub not_run: u64,
    /// Tries whose outcome is not known, cut ones included.
    pub unknown: u64,
    /// Tries for which no connection could be made.
    pub not_sent: u64,
    /// Time of answered tries that 99 in 100 stay below, in milliseconds.
    pub p99_ms: f64,
}

/// What a run showed.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// The faults.
    pub plan: Plan,
    /// Counts for each second of traffic.
    pub seconds: Vec<Second>,
    /// Tries in all.
    pub tries: usize,
    /// Broken promises.
    pub violations: Vec<Violation>,
    /// The tries that broken promises name.
    pub evidence: Vec<CallRecord>,
}

impl Report {
    /// Sums up a run.
    pub fn new(plan: Plan, ledger: &Ledger, violations: Vec<Violation>) -> Self {
        let named = |call: &&CallRecord| {
            let op = format!("{:?}", call.op);
            violations
                .iter()
                .any(|one| format!("{one:?}").contains(&op))
        };
        let evidence = ledger.calls.iter().filter(named).cloned().collect();
        Report {
            plan,
            seconds: seconds(&ledger.calls),
            tries: ledger.calls.len(),
            violations,
            evidence,
        }
    }
}

fn seconds(calls: &[CallRecord]) -> Vec<Second> {
    let last = calls.iter().map(|call| call.ended.as_secs()).max();
    let count = last.map_or(0, |last| last as usize + 1);
    let mut seconds = vec![Second::default(); count];
    let mut times: Vec<Histogram<u64>> = (0..count)
        .map(|_| Histogram::new(3).expect("three digits are allowed"))
        .collect();
    for call in calls {
        let at = call.ended.as_secs() as usize;
        let second = &mut seconds[at];
        match call.heard {
            Heard::Answered { .. } => {
                second.answered += 1;
                let took = call.ended.saturating_sub(call.sent);
                times[at].saturating_record(took.as_micros() as u64);
            }
            Heard::NotRun => second.not_run += 1,
            Heard::Unknown | Heard::Cut | Heard::Nothing => second.unknown += 1,
            Heard::NotSent => second.not_sent += 1,
        }
    }
    for (second, times) in seconds.iter_mut().zip(times) {
        second.p99_ms = times.value_at_quantile(0.99) as f64 / 1_000.0;
    }
    seconds
}

/// Draws tries and refusals over time, with the faults behind them, as SVG.
///
/// # Errors
/// A file that cannot be written.
pub fn plot(report: &Report, file: &Path) -> anyhow::Result<()> {
    let area = SVGBackend::new(file, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let end = report.seconds.len().max(1) as f64;
    let highest = report.seconds.iter().map(|second| second.answered).max();
    let highest = highest.unwrap_or(1).max(1) as f64;
    let title = format!("seed {}: tries that ended, a second", report.plan.seed);
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(50)
        .build_cartesian_2d(0.0..end, 0.0..highest * 1.05)?;
    chart.configure_mesh().x_desc("seconds").draw()?;
    let seconds = |time: Duration| time.as_secs_f64();
    let count = report.plan.steps.len().max(1) as f64;
    chart.draw_series(report.plan.steps.iter().enumerate().map(|(nth, step)| {
        let low = highest * nth as f64 / count;
        let high = highest * (nth + 1) as f64 / count;
        let corners = [
            (seconds(step.at), low),
            (seconds(step.at + step.lasts), high),
        ];
        Rectangle::new(corners, FAULT.filled())
    }))?;
    let series: [(&str, RGBColor, Count); 3] = [
        ("answered", BLUE, |second| second.answered),
        ("not run", BLACK, |second| second.not_run),
        ("unknown", RED, |second| second.unknown),
    ];
    for (name, colour, value) in series {
        let points = report.seconds.iter().enumerate();
        let points = points.map(|(at, second)| (at as f64 + 0.5, value(second) as f64));
        chart
            .draw_series(LineSeries::new(points, &colour))?
            .label(name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE)
        .border_style(BLACK)
        .draw()?;
    area.present()?;
    Ok(())
}
