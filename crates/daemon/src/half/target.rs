//! What a half asks its target and takes from it, and what it tells the routers of that.

use std::sync::atomic::Ordering;
use std::time::Duration;

use lynxcleat_once::OpId;
use lynxcleat_policy::{
    AdmissionEvent, Cost, FirstReport, ReportEffect, ReportedState, TargetAnswer, TargetLoad,
    TargetReport,
};
use lynxcleat_wire::{Answer, Frame};

use super::pool::QuestionConnection;
use super::reading::Told;
use super::state::{EarlierTarget, Half, TELLS_NO_LOAD};
use crate::core::Core;
use crate::homes;
use crate::kept::Keeping;
use crate::sync::lock;

/// Bytes that figures add to an answer.
const FIGURES_BYTES: usize = 24;
/// Processor time charged for figures on an answer, in microseconds.
const FIGURES_CPU_US: u64 = 2;
/// What asking the target for its load is charged. The question does not leave the host, so
/// it takes none of the bytes that making links and reading settings need.
const ASK_COST: Cost = Cost {
    messages: 1,
    bytes: 0,
    cpu_us: 150,
};
/// Time for which a target that does not tell its load is not asked again.
const ASK_PAUSE_US: u64 = 10_000_000;
/// Longest time for the answer to the question which incarnation the target is; its report
/// waits for that, and reports are answered within a second.
const INSTANCE_LIMIT: Duration = Duration::from_millis(400);
/// Questions that are asked within that time, each after the one before was lost with its
/// connection.
const INSTANCE_QUESTIONS: usize = 3;
/// Bytes of a message that tells a load, with its frame and TCP's own.
const LOAD_BYTES: u64 = 90;
/// Change of the slowness, in percent of what was told, that is worth a message.
const SLOWNESS_CHANGE_PERCENT: u32 = 40;

impl Half {
    /// Service of the target: the one it reports, or the configured one.
    pub fn service(&self, core: &Core) -> String {
        let reported = self.with_reports(|reports| reports.current()?.service.clone());
        let configured = || core.config.service.clone();
        reported.flatten().unwrap_or_else(configured)
    }

    /// The target's load for an answer, if the measuring budget lets it ride.
    pub(super) fn figures_to_send(&self, core: &Core) -> Option<TargetLoad> {
        let cost = Cost {
            messages: 0,
            bytes: FIGURES_BYTES as u64,
            cpu_us: FIGURES_CPU_US,
        };
        let figures = self.figures();
        // Statements of the target bind the routers, so they are not part of measuring.
        let states = figures.notice.is_some();
        (states || core.budget.ask_figures(cost)).then_some(figures)
    }

    /// Asks the target for its load, if the measuring budget allows it, and tells the
    /// routers where it changed. Waits for `limit` at most. A target that answers without a
    /// load is not asked again for a while.
    pub async fn ask_load(&self, core: &Core, path: &str, limit: Duration) {
        if self.clock.now() < self.ask_again_at.load(Ordering::Relaxed) {
            return;
        }
        let wanted_at = self.clock.now();
        let _one_question = self.asking.lock().await;
        let waited = Duration::from_micros(self.clock.now() - wanted_at);
        if self.since_load_told().is_some_and(|age| age < waited) {
            return;
        }
        if !core.budget.ask_load(ASK_COST) {
            return;
        }
        match tokio::time::timeout(limit, self.ask_warmth(core, path)).await {
            Ok(Some(told)) if told.is_empty() => {
                let until = self.clock.now() + ASK_PAUSE_US;
                self.ask_again_at.store(until, Ordering::Relaxed);
                self.load_readings.store(TELLS_NO_LOAD, Ordering::Relaxed);
            }
            Ok(Some(told)) => self.take_told(core, told),
            Ok(None) | Err(_) => log::debug!("the target did not tell its load"),
        }
    }

    /// Asks the target for its load. An answer on a connection that carried a question before may
    /// be a surplus one to that. So the word that a target is warm is taken from a connection of
    /// its own where the target counts as cold, or may have turned cold since.
    async fn ask_warmth(&self, core: &Core, path: &str) -> Option<Told> {
        let ask = |kind| self.pool.ask_load(&core.dialect, path, kind);
        if self.is_warmth_doubted() {
            return ask(QuestionConnection::Single).await;
        }
        let told = ask(QuestionConnection::Shared).await?;
        if told.cold_left_us != Some(0) || !self.is_cold() {
            return Some(told);
        }
        if !core.budget.ask_load(ASK_COST) {
            return None;
        }
        ask(QuestionConnection::Single).await
    }

    /// Takes what the target told that was asked. How much longer it is cold counts from now,
    /// since the answer may be old by a little.
    pub(super) fn take_told(&self, core: &Core, told: Told) {
        if let Some(left_us) = told.cold_left_us
            && self.is_in_place(told.instance.as_deref())
        {
            self.learn_cold(left_us);
        }
        if told.load.is_some() {
            self.count_reading();
        }
        if self.is_another(told.instance.as_deref()) {
            log::debug!(instance:? = told.instance; "the load of another incarnation");
            return;
        }
        if let Some(load) = told.load {
            self.admit(AdmissionEvent::Slowness(load.slowness_percent));
            self.tell_slowness(core);
        }
    }

    /// Takes a report of the target. Where it is of another incarnation than the one in
    /// place, the target is asked which one it is; where it may be older than a departure that
    /// nobody remembers, whether it takes calls.
    pub async fn take_report(&self, core: &Core, report: TargetReport) -> ReportEffect {
        let reported = report.instance.clone();
        let left_us = report.cold_ms * 1_000;
        let first = FirstReport {
            left_us,
            sequence: report.sequence.unwrap_or(u64::MAX),
        };
        let is_first = self.with_reports(|reports| reports.current().is_none()) == Some(true);
        let applied = self.change_reports(core, |reports| reports.apply(report));
        let effect = match applied {
            ReportEffect::Unproven => self.resolve_unproven(core, &reported).await,
            ReportEffect::Conflict => self.resolve_conflict(core, &reported).await,
            _ => applied,
        };
        if is_first && effect == ReportEffect::Changed {
            self.admit(AdmissionEvent::FirstReport(first));
        }
        if effect != ReportEffect::Ignored && self.is_in_place(Some(&reported)) {
            self.learn_cold(left_us);
        }
        effect
    }

    /// Which incarnation stands at the target's address, as it says itself.
    pub(super) async fn ask_instance(&self, core: &Core) -> Option<String> {
        self.ask_itself(core).await?.instance
    }

    async fn resolve_conflict(&self, core: &Core, reported: &str) -> ReportEffect {
        let at_address = self.ask_instance(core).await;
        log::info!(reported, at_address:? = at_address; "another target reported");
        self.change_reports(core, |reports| {
            reports.resolve_conflict(at_address.as_deref())
        })
    }

    async fn resolve_unproven(&self, core: &Core, reported: &str) -> ReportEffect {
        let answer = self.ask_whether_it_accepts(core).await;
        log::info!(reported, answer:? = answer; "report without proof");
        let now = self.clock.now();
        self.change_reports(core, |reports| reports.resolve_unproven(now, &answer))
    }

    async fn ask_whether_it_accepts(&self, core: &Core) -> TargetAnswer {
        let settings = self.settings();
        if settings.is_some_and(|settings| settings.load_path.is_empty()) {
            return TargetAnswer::CannotBeAsked;
        }
        match self.ask_itself(core).await {
            Some(told) => TargetAnswer::Told {
                instance: told.instance,
                accepts: told.well,
            },
            None => TargetAnswer::Silent,
        }
    }

    /// An earlier run of this daemon left word that an incarnation of the target takes calls.
    /// If the target says that it is that one, and well, it is taken as in place, and need
    /// not report first.
    pub async fn confirm(&self, core: &Core, earlier: &EarlierTarget) -> ReportEffect {
        let Some(told) = self.ask_itself(core).await else {
            return ReportEffect::Ignored;
        };
        if !told.well || told.instance.as_ref() != Some(&earlier.instance) {
            return ReportEffect::Ignored;
        }
        let report = TargetReport {
            instance: earlier.instance.clone(),
            started_ms: earlier.started_ms,
            service: Some(earlier.service.clone()),
            version: Some(earlier.version.clone()),
            state: ReportedState::Ready,
            sequence: None,
            slots: told.load.map(|load| load.slots),
            cold_ms: told.cold_left_us.unwrap_or(0) / 1_000,
        };
        let cold_left_us = told.cold_left_us;
        let effect = self.change_reports(core, |reports| reports.confirm(report));
        if effect == ReportEffect::Changed {
            match cold_left_us {
                Some(left_us) => self.learn_cold(left_us),
                None => self.doubt_warmth(),
            }
        }
        effect
    }

    /// What the target says of itself when it is asked now. A lost question is asked again: a
    /// target that says nothing loses its place to any other that reports.
    pub(super) async fn ask_itself(&self, core: &Core) -> Option<Told> {
        let settings = self.settings()?;
        if settings.load_path.is_empty() {
            return None;
        }
        let asked = self.ask_repeatedly(core, &settings.load_path);
        tokio::time::timeout(INSTANCE_LIMIT, asked)
            .await
            .ok()
            .flatten()
    }

    async fn ask_repeatedly(&self, core: &Core, path: &str) -> Option<Told> {
        for _ in 0..INSTANCE_QUESTIONS {
            let told = self
                .pool
                .ask_load(&core.dialect, path, QuestionConnection::Single)
                .await;
            if told.is_some() {
                return told;
            }
        }
        None
    }

    /// Tells the daemons that route here how slow the target is, where that changed
    /// since they were told and the measuring budget allows it.
    pub(super) fn tell_slowness(&self, core: &Core) {
        let figures = self.figures();
        let now = figures.slowness_percent;
        let told = self.told_slowness.load(Ordering::Relaxed);
        if now == 0 || now.abs_diff(told) * 100 < told * SLOWNESS_CHANGE_PERCENT {
            return;
        }
        let routers = core.links.accepted() as u64;
        let cost = Cost {
            messages: routers,
            bytes: routers * LOAD_BYTES,
            cpu_us: routers * FIGURES_CPU_US,
        };
        if core.budget.ask_figures(cost) {
            self.told_slowness.store(now, Ordering::Relaxed);
            core.links.tell_routers(&Frame::Load(figures));
        }
    }

    /// Remembers that an operation ran, and its answer where that may be kept.
    pub(super) fn record_ran(&self, core: &Core, op: OpId, answer: &Answer, keeping: &Keeping) {
        let mut fence = lock(&self.fence);
        match homes::may_keep(core, keeping) {
            true => fence.ran(op, keeping.keep(answer.clone()), answer.size()),
            false => fence.lost(op),
        }
    }
}
