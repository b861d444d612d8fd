//! The target half: every call to the target passes it.
//!
//! Peer side of a call's way: fence → slots and hold → deliver → answer. The
//! half knows the exact load, remembers once-only operations, and keeps the warm
//! connections to the target.

mod ahead;
mod bodies;
mod ends;
mod exchange;
mod pool;
mod serve;
mod suspects;
mod watched;

use std::collections::HashMap;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use lynxcleat_once::{Fence, FenceLimits, FenceReply, OpId, Operation};
use lynxcleat_policy::{
    Admit, AdmitAction, AdmitEvent, AdmitLimits, AttemptId, CallId, CallTerms, Cost, Figures,
    FirstReport, Micros, NextLook, Origins, Refusal, ReportEffect, ReportedState, TargetReport,
    TargetReports, WayPrices,
};
use lynxcleat_settings::Effective;
use lynxcleat_wire::{Answer, CallFrame, Frame};
use tokio::sync::{Notify, watch};

use crate::clock::Clock;
use crate::core::Core;
use crate::kept::{Keeping, Kept};
use crate::mesh::Link;
use crate::route;
use crate::sync::lock;

use bodies::Bodies;
use exchange::Told;
use suspects::Suspects;

pub use pool::Pool;
pub use serve::{spawn_call, spawn_fence};

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
/// Number of readings of a target that tells no load: there is nothing to learn of it.
const TELLS_NO_LOAD: u32 = u32::MAX;
/// Bytes of a message that tells a load, with its frame and TCP's own.
const LOAD_BYTES: u64 = 90;
/// Slowness of a target of which nothing was heard, in percent.
const USUAL_PERCENT: u32 = 100;
/// Change of the slowness, in percent of what was told, that is worth a message.
const SLOWNESS_CHANGE_PERCENT: u32 = 40;

/// What a held call hears.
pub(super) enum Go {
    /// A slot is its own.
    Deliver,
    /// It will not run.
    Refuse(Refusal),
}

/// The target as an earlier run of this daemon left word of it.
pub struct EarlierTarget {
    /// Its incarnation.
    pub instance: String,
    /// Its service.
    pub service: String,
    /// Version of its software; empty where that is not known.
    pub version: String,
}

/// State of the target half.
pub struct Half {
    clock: Clock,
    admit: Mutex<Admit>,
    waiting: Mutex<HashMap<CallId, flume::Sender<Go>>>,
    fence: Mutex<Fence<Kept>>,
    ended: watch::Sender<u64>,
    cancels: Mutex<HashMap<(u64, AttemptId), flume::Sender<()>>>,
    next_call: AtomicU64,
    settings: Mutex<Option<Arc<Effective>>>,
    reports: Option<Mutex<TargetReports>>,
    origins: Mutex<Origins>,
    /// Slowness in percent as the routers were last told.
    told_slowness: AtomicU32,
    /// When a call was offered last.
    offered_at: AtomicU64,
    /// When the target may be asked for its load again.
    ask_again_at: AtomicU64,
    /// Questions for the load that the target answered.
    load_readings: AtomicU32,
    /// Held while the target is asked: calls that want to know share one question.
    asking: tokio::sync::Mutex<()>,
    /// Told when held calls want to be looked at again.
    look_wanted: Notify,
    /// Bodies in pieces on their way to the target.
    pub bodies: Bodies,
    /// The turn of suspect requests.
    suspects: Suspects,
    /// Connections to the target.
    pub pool: Pool,
}

impl Half {
    /// A half in front of an idle target. Where the target reports its own state,
    /// it is given no calls before it did.
    pub fn new(clock: Clock, started_ms: u64, pool: Pool, target_reports: bool) -> Self {
        let nothing = AdmitLimits {
            slots: 1,
            hold_limit: 0,
            prices: WayPrices::default(),
            ask_price_permille: 0,
            cold_calls_per_s: 0,
            cold_ms: 0,
        };
        let limits = FenceLimits {
            retention_ms: 0,
            skew_ms: 0,
            entries: 0,
            bytes: 0,
        };
        let mut admit = Admit::new(nothing);
        admit.on(clock.now(), AdmitEvent::Start);
        Half {
            clock,
            admit: Mutex::new(admit),
            waiting: Mutex::default(),
            fence: Mutex::new(Fence::new(started_ms, limits)),
            ended: watch::Sender::new(0),
            cancels: Mutex::default(),
            next_call: AtomicU64::new(1),
            settings: Mutex::default(),
            reports: target_reports.then(Mutex::default),
            origins: Mutex::default(),
            told_slowness: AtomicU32::new(USUAL_PERCENT),
            offered_at: AtomicU64::new(0),
            ask_again_at: AtomicU64::new(0),
            load_readings: AtomicU32::new(0),
            asking: tokio::sync::Mutex::default(),
            look_wanted: Notify::new(),
            bodies: Bodies::new(clock),
            suspects: Suspects::default(),
            pool,
        }
    }

    /// Puts settings in force.
    pub fn apply(&self, own: &Arc<Effective>) {
        lock(&self.fence).set_limits(FenceLimits {
            retention_ms: own.once_retention_ms,
            skew_ms: own.clock_skew_ms,
            entries: own.once_memory_entries,
            bytes: own.once_memory_bytes,
        });
        self.pool.set_limit(own.connection_limit as usize);
        *lock(&self.settings) = Some(Arc::clone(own));
        self.apply_limits();
    }

    /// Puts the target's limits in force: the slots that it reports, or those of
    /// the settings.
    pub fn apply_limits(&self) {
        let Some(own) = self.settings() else { return };
        let reported = self.with_reports(|reports| reports.open()?.slots).flatten();
        self.admit(AdmitEvent::SetLimits(AdmitLimits {
            slots: reported.unwrap_or(own.slots).max(1),
            hold_limit: own.hold_limit,
            prices: route::way_prices(&own),
            ask_price_permille: own.ask_price_permille,
            cold_calls_per_s: own.cold_calls_per_s,
            cold_ms: own.cold_ms,
        }));
    }

    /// Works on the target's reports; nothing where the target sends none.
    pub fn with_reports<T>(&self, work: impl FnOnce(&mut TargetReports) -> T) -> Option<T> {
        let reports = self.reports.as_ref()?;
        Some(work(&mut lock(reports)))
    }

    /// Service of the target: the one it reports, or the configured one.
    pub fn service(&self, core: &Core) -> String {
        let reported = self.with_reports(|reports| reports.in_place()?.service.clone());
        let configured = || core.config.service.clone();
        reported.flatten().unwrap_or_else(configured)
    }

    /// The incarnation of the target that a call is to be delivered to: `None`
    /// where no call may be delivered, and an inner `None` where the target has no
    /// name.
    #[allow(clippy::option_option)]
    fn instance_for_call(&self) -> Option<Option<String>> {
        let open = self.with_reports(|reports| reports.open().map(|open| open.instance.clone()));
        match open {
            None => Some(None),
            Some(None) => None,
            Some(instance) => Some(instance),
        }
    }

    /// Takes no new calls from now on, or takes them again. Returns whether that
    /// is a change.
    pub fn set_leaving(&self, leaving: bool) -> bool {
        let changed = self.is_leaving() != leaving;
        let event = match leaving {
            true => AdmitEvent::Leave,
            false => AdmitEvent::Return,
        };
        self.admit(event);
        changed
    }

    /// Whether the target takes no new calls.
    pub fn is_leaving(&self) -> bool {
        lock(&self.admit).is_leaving()
    }

    /// The target's load.
    pub fn figures(&self) -> Figures {
        lock(&self.admit).figures(self.clock.now())
    }

    /// The target's load for an answer, if the measuring budget lets it ride.
    pub(super) fn figures_to_send(&self, core: &Core) -> Option<Figures> {
        let cost = Cost {
            messages: 0,
            bytes: FIGURES_BYTES as u64,
            cpu_us: FIGURES_CPU_US,
        };
        core.budget.ask_figures(cost).then(|| self.figures())
    }

    /// Whether a target makes a call while it runs one of its own: it came from a target's
    /// host, and callers are not known to make calls of this kind.
    fn is_nested(&self, call: &CallFrame) -> bool {
        let mut origins = lock(&self.origins);
        if let Some(service) = &call.caller_service {
            origins.learn(call.kind, service);
        }
        call.nested && !origins.is_from_callers(call.kind)
    }

    /// Takes the load of another target of the same service.
    pub fn learn_peer(&self, figures: Figures) {
        if let Some(reading) = figures.slowness(self.clock.now()) {
            self.admit(AdmitEvent::PeerSlowness(reading));
        }
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
        let asked = self.pool.ask_load(&core.dialect, path);
        match tokio::time::timeout(limit, asked).await {
            Ok(Some(told)) if told.is_empty() => {
                let until = self.clock.now() + ASK_PAUSE_US;
                self.ask_again_at.store(until, Ordering::Relaxed);
                self.load_readings.store(TELLS_NO_LOAD, Ordering::Relaxed);
            }
            Ok(Some(told)) => self.take_told(core, told),
            Ok(None) | Err(_) => log::debug!("the target did not tell its load"),
        }
    }

    /// Takes what the target told that was asked. How much longer it is cold counts from now,
    /// since the answer may be old by a little.
    fn take_told(&self, core: &Core, told: Told) {
        if let Some(left_us) = told.cold_left_us
            && self.is_in_place(told.instance.as_deref())
        {
            self.learn_cold(left_us);
        }
        if let Some(load) = told.load {
            self.count_reading();
            self.admit(AdmitEvent::Slowness(load.slowness_percent));
            self.tell_slowness(core);
        }
    }

    /// Whether an incarnation that answered is the one in place; one without a name is.
    fn is_in_place(&self, instance: Option<&str>) -> bool {
        let in_place = self.with_reports(|reports| {
            let in_place = reports.in_place().map(|target| target.instance.as_str());
            instance.is_none() || instance == in_place
        });
        in_place.unwrap_or(true)
    }

    /// Takes a report of the target. Where it is of another incarnation than the one in
    /// place, the target is asked which one it is.
    pub async fn take_report(&self, core: &Core, report: TargetReport) -> ReportEffect {
        let reported = report.instance.clone();
        let left_us = report.cold_ms * 1_000;
        let first = FirstReport {
            left_us,
            sequence: report.sequence.unwrap_or(u64::MAX),
        };
        let is_first = self.with_reports(|reports| reports.in_place().is_none()) == Some(true);
        let mut effect = self.change_reports(|reports| reports.take(report));
        if is_first {
            self.admit(AdmitEvent::FirstReport(first));
        }
        if effect == ReportEffect::Rival {
            let at_address = self.ask_instance(core).await;
            log::info!(reported = reported.as_str(), at_address:? = at_address; "another target reported");
            effect = self.change_reports(|reports| reports.settle_rival(at_address.as_deref()));
        }
        if effect != ReportEffect::Nothing && self.is_in_place(Some(&reported)) {
            self.learn_cold(left_us);
        }
        effect
    }

    /// Changes what is known of the reports; another incarnation in place starts anew.
    fn change_reports(
        &self,
        change: impl FnOnce(&mut TargetReports) -> ReportEffect,
    ) -> ReportEffect {
        let name = |reports: &TargetReports| {
            let in_place = reports.in_place();
            in_place.map(|target| target.instance.clone())
        };
        let changed = self.with_reports(|reports| {
            let before = name(reports);
            let effect = change(reports);
            (effect, before.is_some() && before != name(reports))
        });
        let Some((effect, is_other)) = changed else {
            return ReportEffect::Nothing;
        };
        if is_other {
            self.admit(AdmitEvent::Replaced);
        }
        effect
    }

    /// Which incarnation stands at the target's address, as it says itself.
    async fn ask_instance(&self, core: &Core) -> Option<String> {
        self.ask_itself(core).await?.instance
    }

    /// An earlier run of this daemon left word that an incarnation of the target takes calls.
    /// If the target says that it is that one, and well, it is taken as in place, and need
    /// not report first.
    pub async fn confirm(&self, core: &Core, earlier: &EarlierTarget) -> ReportEffect {
        let Some(told) = self.ask_itself(core).await else {
            return ReportEffect::Nothing;
        };
        if !told.well || told.instance.as_ref() != Some(&earlier.instance) {
            return ReportEffect::Nothing;
        }
        let report = TargetReport {
            instance: earlier.instance.clone(),
            service: Some(earlier.service.clone()),
            version: Some(earlier.version.clone()),
            state: ReportedState::Ready,
            sequence: None,
            slots: told.load.map(|load| load.slots),
            cold_ms: told.cold_left_us.unwrap_or(0) / 1_000,
        };
        let cold_left_us = told.cold_left_us;
        let effect = self.change_reports(|reports| reports.confirm(report));
        if effect == ReportEffect::Changed {
            match cold_left_us {
                Some(left_us) => self.learn_cold(left_us),
                None => self.doubt_warmth(),
            }
        }
        effect
    }

    /// What the target says of itself when it is asked now.
    async fn ask_itself(&self, core: &Core) -> Option<Told> {
        let settings = self.settings()?;
        if settings.load_path.is_empty() {
            return None;
        }
        let asked = self.pool.ask_load(&core.dialect, &settings.load_path);
        tokio::time::timeout(INSTANCE_LIMIT, asked)
            .await
            .ok()
            .flatten()
    }

    /// The target told how much longer it is cold.
    fn learn_cold(&self, left_us: Micros) {
        let was_cold = self.is_cold();
        self.admit(AdmitEvent::ColdTold { left_us });
        let is_cold = self.is_cold();
        if was_cold != is_cold {
            log::info!(cold = is_cold, left_ms = left_us / 1_000; "target cold");
        }
    }

    /// The target was given no calls for a while and may have turned cold meanwhile.
    pub fn doubt_warmth(&self) {
        self.admit(AdmitEvent::ColdDoubted);
    }

    /// Whether the target is cold or may be, so that it is given few calls.
    pub fn is_cold(&self) -> bool {
        lock(&self.admit).is_cold(self.clock.now())
    }

    /// Whether the target is to be asked how much longer it is cold.
    pub fn wants_cold_reading(&self) -> bool {
        lock(&self.admit).wants_cold_reading()
    }

    /// Waits until held calls are to be looked at again, and says when.
    pub async fn next_look(&self) -> NextLook {
        loop {
            let wanted = self.look_wanted.notified();
            let next = lock(&self.admit).next_look(self.clock.now());
            match next {
                Some(next) => return next,
                None => wanted.await,
            }
        }
    }

    /// Whether the target is to be asked for its load before a call is offered to it.
    pub(super) fn should_ask(&self, deadline: Micros, terms: &CallTerms) -> bool {
        lock(&self.admit).should_ask(self.clock.now(), deadline, terms)
    }

    /// Looks at held calls again.
    pub fn look(&self) {
        self.admit(AdmitEvent::Look);
    }

    /// Time since a call was offered last.
    pub fn since_last_call(&self) -> Duration {
        let offered_at = self.offered_at.load(Ordering::Relaxed);
        Duration::from_micros(self.clock.now().saturating_sub(offered_at))
    }

    fn count_reading(&self) {
        let readings = self.load_readings();
        let next = readings.saturating_add(1);
        self.load_readings.store(next, Ordering::Relaxed);
    }

    /// Questions for the load that the target answered since the daemon started; the highest
    /// number where it answered without a load.
    pub fn load_readings(&self) -> u32 {
        self.load_readings.load(Ordering::Relaxed)
    }

    /// Time since the target told its load; `None` where it never did.
    pub fn since_load_told(&self) -> Option<Duration> {
        let figures = self.figures();
        let told = figures.slowness_percent > 0;
        told.then(|| Duration::from_millis(figures.slowness_age_ms.into()))
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

    /// The sender of a call no longer wants it.
    pub fn cancel(&self, link: u64, attempt: AttemptId) {
        if let Some(cancel) = lock(&self.cancels).remove(&(link, attempt)) {
            let _ = cancel.send(());
        }
    }

    fn settings(&self) -> Option<Arc<Effective>> {
        lock(&self.settings).clone()
    }

    fn new_call(&self) -> CallId {
        self.offered_at.store(self.clock.now(), Ordering::Relaxed);
        CallId(self.next_call.fetch_add(1, Ordering::Relaxed))
    }

    /// Feeds the admission and tells the calls that it decides on.
    fn admit(&self, event: AdmitEvent) {
        let now = self.clock.now();
        let mut admit = lock(&self.admit);
        let actions = admit.on(now, event);
        if admit.next_look(now).is_some() {
            self.look_wanted.notify_one();
        }
        let mut waiting = lock(&self.waiting);
        for action in actions {
            let (call, go) = match action {
                AdmitAction::Deliver { call } => (call, Go::Deliver),
                AdmitAction::Refuse { call, refusal } => (call, Go::Refuse(refusal)),
            };
            if let Some(sender) = waiting.remove(&call) {
                let _ = sender.send(go);
            }
        }
    }

    /// An operation ended here; whoever waits for its end looks again.
    fn tell_ended(&self) {
        self.ended.send_modify(|count| *count += 1);
    }

    fn fence_now(&self, operation: Operation) -> FenceReply<Answer> {
        let reply = lock(&self.fence).fence(self.clock.wall_ms(), operation);
        reply.map(|kept| kept.answer)
    }

    /// Remembers that an operation ran, and its answer where that may be kept.
    fn record_ran(&self, core: &Core, op: OpId, answer: &Answer, keeping: &Keeping) {
        let mut fence = lock(&self.fence);
        match keeping.is_allowed(core) {
            true => fence.ran(op, keeping.keep(answer.clone()), answer.size()),
            false => fence.lost(op),
        }
    }

    /// Forgets the answers that may not be kept any more.
    pub fn forget_answers(&self, may_keep: impl FnMut(&Kept) -> bool) {
        lock(&self.fence).forget_answers(may_keep);
    }
}

/// Sends on a link whose loss the other side notices by itself.
fn send(link: &Link, frame: Frame) {
    let _ = link.send(frame);
}
