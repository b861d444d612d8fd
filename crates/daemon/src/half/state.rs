//! The state of the target half, and what it decides without asking anybody.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use lynxcleat_once::{Fence, FenceLimits, FenceReply, Operation};
use lynxcleat_policy::{
    AdmissionAction, AdmissionController, AdmissionEvent, AdmissionLimits, AttemptId,
    CallAttributes, CallId, CallOrigins, DistanceCosts, Micros, NextRecheck, OfferShare, Refusal,
    ReportEffect, TargetLoad, TargetReports,
};
use lynxcleat_settings::Effective;
use lynxcleat_wire::{Answer, CallFrame};
use tokio::sync::{Notify, watch};

use super::bodies::Bodies;
use super::notices::Notices;
use super::pool::Pool;
use super::suspects::Suspects;
use crate::clock::Clock;
use crate::core::Core;
use crate::kept::Kept;
use crate::route::params::way_prices;
use crate::sync::lock;

/// Number of readings of a target that tells no load: there is nothing to learn of it.
pub(super) const TELLS_NO_LOAD: u32 = u32::MAX;
/// Slowness of a target of which nothing was heard, in percent.
const USUAL_PERCENT: u32 = 100;

/// What a held call hears.
pub(super) enum Go {
    /// A slot is its own.
    Deliver,
    /// It will not run.
    Refuse(Refusal),
}

/// The target as an earlier run of this daemon left word of it.
pub struct EarlierTarget {
    /// Its name.
    pub instance: String,
    /// When it started, in milliseconds since 1970, where it said so.
    pub started_ms: Option<u64>,
    /// Its service.
    pub service: String,
    /// Version of its software; empty where that is not known.
    pub version: String,
}

/// State of the target half.
pub struct Half {
    pub(super) clock: Clock,
    pub(super) admit: Mutex<AdmissionController>,
    pub(super) waiting: Mutex<HashMap<CallId, flume::Sender<Go>>>,
    pub(super) fence: Mutex<Fence<Kept>>,
    pub(super) ended: watch::Sender<u64>,
    pub(super) cancels: Mutex<HashMap<(u64, AttemptId), flume::Sender<()>>>,
    pub(super) next_call: AtomicU64,
    pub(super) settings: Mutex<Option<Arc<Effective>>>,
    pub(super) reports: Option<Mutex<TargetReports>>,
    pub(super) origins: Mutex<CallOrigins>,
    /// Slowness in percent as the routers were last told.
    pub(super) told_slowness: AtomicU32,
    /// When a call was offered last.
    pub(super) offered_at: AtomicU64,
    /// When the target may be asked for its load again.
    pub(super) ask_again_at: AtomicU64,
    /// Questions for the load that the target answered.
    pub(super) load_readings: AtomicU32,
    /// Held while the target is asked: calls that want to know share one question.
    pub(super) asking: tokio::sync::Mutex<()>,
    /// Told when held calls want to be looked at again.
    pub(super) look_wanted: Notify,
    /// Counts changes for which a call that waits may not go to the target any more.
    changes: watch::Sender<u64>,
    /// Bodies in pieces on their way to the target.
    pub bodies: Bodies,
    /// What the target says of itself in its answers.
    pub(super) notices: Mutex<Notices>,
    /// The turn of suspect requests.
    pub(super) suspects: Suspects,
    /// Connections to the target.
    pub pool: Pool,
}

impl Half {
    /// A half in front of an idle target. Where the target reports its own state,
    /// it is given no calls before it did.
    pub fn new(clock: Clock, started_ms: u64, pool: Pool, target_reports: bool) -> Self {
        let nothing = AdmissionLimits {
            slots: 1,
            hold_limit: 0,
            prices: DistanceCosts::default(),
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
        let mut admit = AdmissionController::new(nothing);
        admit.on(clock.now(), AdmissionEvent::DaemonStarted);
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
            changes: watch::Sender::new(0),
            bodies: Bodies::new(clock),
            notices: Mutex::default(),
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
        self.pool.memory.apply(own);
        *lock(&self.settings) = Some(Arc::clone(own));
        self.apply_limits();
    }

    /// Puts the target's limits in force: the slots that it reports, or those of
    /// the settings.
    pub fn apply_limits(&self) {
        let Some(own) = self.settings() else { return };
        let reported = self
            .with_reports(|reports| reports.ready()?.slots)
            .flatten();
        self.admit(AdmissionEvent::SetLimits(AdmissionLimits {
            slots: reported.unwrap_or(own.slots).max(1),
            hold_limit: own.hold_limit,
            prices: way_prices(&own),
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

    /// The incarnation of the target that a call is to be delivered to: `None`
    /// where no call may be delivered, and an inner `None` where the target has no
    /// name.
    #[allow(clippy::option_option)]
    pub(super) fn instance_for_call(&self) -> Option<Option<String>> {
        let open = self.with_reports(|reports| reports.ready().map(|open| open.instance.clone()));
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
            true => AdmissionEvent::Leave,
            false => AdmissionEvent::Rejoin,
        };
        self.admit(event);
        self.tell_change();
        changed
    }

    /// Told when the target leaves, or another takes its place.
    pub(super) fn changes(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    fn tell_change(&self) {
        self.changes.send_modify(|count| *count += 1);
    }

    /// Whether the target takes no new calls.
    pub fn is_leaving(&self) -> bool {
        lock(&self.admit).is_leaving()
    }

    /// The target's load, with what it states.
    pub fn figures(&self) -> TargetLoad {
        let load = lock(&self.admit).figures(self.clock.now());
        TargetLoad {
            notice: self.notice(),
            ..load
        }
    }

    /// The share of their calls that routers should offer.
    pub(super) fn offer_share(&self) -> OfferShare {
        lock(&self.admit).offer_share(self.clock.now())
    }

    /// Whether a target makes a call while it runs one of its own: it came from a target's
    /// host, and callers are not known to make calls of this kind.
    pub(super) fn is_nested(&self, call: &CallFrame) -> bool {
        let mut origins = lock(&self.origins);
        if let Some(service) = &call.caller_service {
            origins.record(call.kind, service);
        }
        call.nested && !origins.is_from_callers(call.kind)
    }

    /// Takes the load of another target of the same service.
    pub fn learn_peer(&self, figures: TargetLoad) {
        if let Some(reading) = figures.slowness(self.clock.now()) {
            self.admit(AdmissionEvent::PeerSlowness(reading));
        }
    }

    /// Whether an incarnation that answered is the one in place; one without a name is.
    pub(super) fn is_in_place(&self, instance: Option<&str>) -> bool {
        let in_place = self.with_reports(|reports| {
            let in_place = reports.current().map(|target| target.instance.as_str());
            instance.is_none() || instance == in_place
        });
        in_place.unwrap_or(true)
    }

    /// Whether an incarnation that answered is another than the one in place.
    pub(super) fn is_another(&self, instance: Option<&str>) -> bool {
        let is_another = self.with_reports(|reports| {
            let in_place = reports.current()?;
            Some(instance.is_some_and(|instance| instance != in_place.instance))
        });
        is_another.flatten().unwrap_or(false)
    }

    /// Changes what is known of the reports; another incarnation in place starts anew.
    pub fn change_reports(
        &self,
        core: &Core,
        change: impl FnOnce(&mut TargetReports) -> ReportEffect,
    ) -> ReportEffect {
        let changed = self.with_reports(|reports| {
            let before = reports.current().cloned();
            let effect = change(reports);
            let pair = before.as_ref().zip(reports.current());
            (
                effect,
                pair.is_some_and(|(before, now)| now.is_other_than(before)),
            )
        });
        let Some((effect, is_other)) = changed else {
            return ReportEffect::Ignored;
        };
        if is_other {
            self.forget_notices(core);
            self.admit(AdmissionEvent::Replaced);
        }
        if effect == ReportEffect::Changed {
            self.tell_change();
        }
        effect
    }

    /// The target told how much longer it is cold.
    pub(super) fn learn_cold(&self, left_us: Micros) {
        let was_cold = self.is_cold();
        self.admit(AdmissionEvent::ColdReported { left_us });
        let is_cold = self.is_cold();
        if was_cold != is_cold {
            log::info!(cold = is_cold, left_ms = left_us / 1_000; "target cold");
        }
    }

    /// The target was given no calls for a while and may have turned cold meanwhile.
    pub fn doubt_warmth(&self) {
        self.admit(AdmissionEvent::ColdUncertain);
    }

    /// Whether the target is cold or may be, so that it is given few calls.
    pub fn is_cold(&self) -> bool {
        lock(&self.admit).is_cold(self.clock.now())
    }

    /// Whether the target may have turned cold unheard.
    pub(super) fn is_warmth_doubted(&self) -> bool {
        lock(&self.admit).is_cold_uncertain()
    }

    /// Whether the target is to be asked how much longer it is cold.
    pub fn wants_cold_reading(&self) -> bool {
        lock(&self.admit).needs_cold_report()
    }

    /// Waits until held calls are to be looked at again, and says when.
    pub async fn next_look(&self) -> NextRecheck {
        loop {
            let wanted = self.look_wanted.notified();
            let next = lock(&self.admit).next_recheck(self.clock.now());
            match next {
                Some(next) => return next,
                None => wanted.await,
            }
        }
    }

    /// Whether the target is to be asked for its load before a call is offered to it.
    pub(super) fn should_ask(&self, deadline: Micros, terms: &CallAttributes) -> bool {
        lock(&self.admit).should_probe(self.clock.now(), deadline, terms)
    }

    /// Looks at held calls again.
    pub fn look(&self) {
        self.admit(AdmissionEvent::Recheck);
    }

    /// Time since a call was offered last.
    pub fn since_last_call(&self) -> Duration {
        let offered_at = self.offered_at.load(Ordering::Relaxed);
        Duration::from_micros(self.clock.now().saturating_sub(offered_at))
    }

    pub(super) fn count_reading(&self) {
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

    /// The sender of a call no longer wants it.
    pub fn cancel(&self, link: u64, attempt: AttemptId) {
        if let Some(cancel) = lock(&self.cancels).remove(&(link, attempt)) {
            let _ = cancel.send(());
        }
    }

    pub(super) fn settings(&self) -> Option<Arc<Effective>> {
        lock(&self.settings).clone()
    }

    pub(super) fn new_call(&self) -> CallId {
        self.offered_at.store(self.clock.now(), Ordering::Relaxed);
        CallId(self.next_call.fetch_add(1, Ordering::Relaxed))
    }

    /// Feeds the admission and tells the calls that it decides on.
    pub(super) fn admit(&self, event: AdmissionEvent) {
        let now = self.clock.now();
        let mut admit = lock(&self.admit);
        let actions = admit.on(now, event);
        if admit.next_recheck(now).is_some() {
            self.look_wanted.notify_one();
        }
        let mut waiting = lock(&self.waiting);
        for action in actions {
            let (call, go) = match action {
                AdmissionAction::Deliver { call } => (call, Go::Deliver),
                AdmissionAction::Refuse { call, refusal } => (call, Go::Refuse(refusal)),
            };
            if let Some(sender) = waiting.remove(&call) {
                let _ = sender.send(go);
            }
        }
    }

    /// An operation ended here; whoever waits for its end looks again.
    pub(super) fn tell_ended(&self) {
        self.ended.send_modify(|count| *count += 1);
    }

    pub(super) fn fence_now(&self, operation: Operation) -> FenceReply<Answer> {
        let reply = lock(&self.fence).fence(self.clock.wall_ms(), operation);
        reply.map(|kept| kept.answer)
    }

    /// Forgets the answers that may not be kept any more.
    pub fn forget_answers(&self, may_keep: impl FnMut(&Kept) -> bool) {
        lock(&self.fence).forget_answers(may_keep);
    }
}
