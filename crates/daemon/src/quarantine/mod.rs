//! Requests under which targets end: what this daemon knows of them, tells others, and
//! refuses.
//!
//! Decisions are made by [`lynxcleat_policy::Quarantine`]. Routers note ends and answers;
//! routers and halves ask before a call is offered to a target. While no request is suspect, a
//! call costs one look at a flag. News go from neighbour to neighbour, and what is quarantined
//! is stored besides, for a deployment that loses all its daemons at once.

mod request;
pub(crate) mod spread;
mod stored;

use std::collections::BTreeSet;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};

use lynxcleat_policy::{
    Fingerprint, Micros, Quarantine, QuarantineChange, QuarantineLimits, QuarantineStatus,
    RequestFingerprints, SampleRates, Sampler, SuspectSummary, SuspectUpdate, TargetExitId,
};
use lynxcleat_settings::Effective;
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;

use crate::clock::Clock;
use crate::sync::lock;

pub use request::Request;
pub use stored::{KEPT_MS, StoredSuspect};

const US_PER_MS: Micros = 1_000;
/// Messages with news that are passed on in a second at most: a target that ends brings one
/// for each call that it had in hand, and few end in a second.
const NEWS_RATES: SampleRates = SampleRates {
    lines_per_s: 100,
    successes_per_s: 0,
    success_every: 1,
};
/// Lines about suspects in a second at most; those about quarantines are always written.
const LOG_RATES: SampleRates = SampleRates {
    lines_per_s: 10,
    successes_per_s: 0,
    success_every: 1,
};
/// Limits before settings are in force: nothing is quarantined, and what others tell is kept
/// for ten minutes.
const FIRST_LIMITS: QuarantineLimits = QuarantineLimits {
    crash_limit: 0,
    quarantine_us: 600_000_000,
};

/// Where something became known.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Origin {
    /// At this daemon.
    Here,
    /// At another, which told it on this link.
    Link(u64),
    /// At an earlier run of some daemon, which stored it.
    Store,
}

/// News on their way to other daemons.
pub struct Outgoing {
    /// The news.
    pub news: Vec<SuspectUpdate>,
    /// Where they became known.
    pub origin: Origin,
}

/// A suspect as operators see it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SuspectState {
    /// Its fingerprint, in hexadecimal.
    pub request: String,
    /// Whether it is a content that several callers sent, rather than one caller's request.
    pub any_caller: bool,
    /// Targets that ended under it in a row.
    pub ends: u32,
    /// Time since the last of them, in milliseconds.
    pub age_ms: u64,
    /// For how much longer it is refused, in milliseconds; absent where it is not.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub left_ms: Option<u64>,
}

/// What a daemon knows of requests under which targets end.
pub struct QuarantineState {
    clock: Clock,
    /// Whether any request is suspect.
    any: AtomicBool,
    known: Mutex<Quarantine>,
    outgoing: flume::Sender<Outgoing>,
    news: flume::Receiver<Outgoing>,
    rates: Mutex<Sampler>,
    lines: Mutex<Sampler>,
    /// What has to be stored, or is stored and quarantined no more.
    unsaved: Mutex<BTreeSet<Fingerprint>>,
    unsaved_wanted: Notify,
}

impl QuarantineState {
    /// Nothing is suspect.
    pub fn new(clock: Clock) -> Self {
        let (outgoing, news) = flume::unbounded();
        QuarantineState {
            clock,
            any: AtomicBool::new(false),
            known: Mutex::new(Quarantine::new(FIRST_LIMITS)),
            outgoing,
            news,
            rates: Mutex::new(Sampler::new(NEWS_RATES)),
            lines: Mutex::new(Sampler::new(LOG_RATES)),
            unsaved: Mutex::default(),
            unsaved_wanted: Notify::new(),
        }
    }

    /// Puts settings in force.
    pub fn apply(&self, own: &Effective) {
        lock(&self.known).set_limits(QuarantineLimits {
            crash_limit: own.crash_limit,
            quarantine_us: own.quarantine_ms * US_PER_MS,
        });
    }

    /// Whether any request is suspect, so that it is worth to name the one in hand.
    pub fn any(&self) -> bool {
        self.any.load(Ordering::Relaxed)
    }

    /// What is to be done with a request.
    pub fn standing(&self, prints: RequestFingerprints) -> QuarantineStatus {
        lock(&self.known).status(self.clock.now(), prints)
    }

    /// What is known of a request, for the half that it is sent to.
    pub fn news_of(&self, prints: RequestFingerprints) -> Vec<SuspectUpdate> {
        lock(&self.known).request_updates(self.clock.now(), prints)
    }

    /// Every suspect, the quarantined ones first.
    pub fn listed(&self) -> Vec<SuspectState> {
        let listed = lock(&self.known).suspects(self.clock.now());
        listed.into_iter().map(state).collect()
    }

    /// The target ended with a call in hand, which was sent to it at some time.
    pub fn ended(
        &self,
        call: &str,
        end: TargetExitId,
        prints: RequestFingerprints,
        sent_at: Micros,
    ) {
        let now = self.clock.now();
        let changed = lock(&self.known).record_exit(now, end, prints, sent_at);
        if !changed.is_empty() && lock(&self.lines).sample(now, false) {
            let request = prints.full;
            log::info!(call, end = end.0, request:%, content:% = prints.content; "request suspect");
        }
        self.apply_changed(changed, Origin::Here);
    }

    /// A target ran a call to its end and answered it.
    pub fn survived(&self, call: &str, prints: RequestFingerprints) {
        let now = self.clock.now();
        let changed = lock(&self.known).record_served(now, prints);
        if !changed.is_empty() && lock(&self.lines).sample(now, false) {
            log::info!(call, request:% = prints.full; "request cleared");
        }
        self.apply_changed(changed, Origin::Here);
    }

    /// An operator says that a request may run again. Returns whether it was suspect.
    pub fn lift(&self, print: Fingerprint, who: &str) -> bool {
        let changed = lock(&self.known).lift(self.clock.now(), print);
        let was_suspect = !changed.is_empty();
        log::warn!(request:% = print, who, was_suspect; "quarantine lifted by an operator");
        self.apply_changed(changed, Origin::Here);
        was_suspect
    }

    /// Takes what another daemon told on a link, or what a row of the store says.
    pub fn take(&self, told: &[SuspectUpdate], origin: Origin) {
        let changed = lock(&self.known).merge(self.clock.now(), told);
        self.apply_changed(changed, origin);
    }

    /// All that is known, for a daemon that may know nothing of it.
    pub fn all(&self) -> Vec<SuspectUpdate> {
        lock(&self.known).snapshot(self.clock.now())
    }

    /// Waits for news that other daemons are to hear.
    pub async fn next_news(&self) -> Outgoing {
        match self.news.recv_async().await {
            Ok(news) => news,
            // Its sender is kept beside it.
            Err(flume::RecvError::Disconnected) => std::future::pending().await,
        }
    }

    /// Logs what changed, stores it where it was found out here, and passes it on.
    fn apply_changed(&self, changed: QuarantineChange, origin: Origin) {
        if changed.is_empty() {
            return;
        }
        self.any.store(true, Ordering::Relaxed);
        for print in &changed.quarantined {
            self.log_quarantined(*print, origin);
        }
        for print in &changed.released {
            log::info!(request:% = print; "request quarantined no more");
        }
        if origin == Origin::Here {
            let prints = changed.quarantined.iter().chain(&changed.released);
            lock(&self.unsaved).extend(prints);
            self.unsaved_wanted.notify_one();
        }
        let decides = !changed.quarantined.is_empty() || !changed.released.is_empty();
        if decides || lock(&self.rates).sample(self.clock.now(), false) {
            let news = changed.updates;
            let _ = self.outgoing.send(Outgoing { news, origin });
        }
    }

    fn log_quarantined(&self, print: Fingerprint, origin: Origin) {
        let listed = lock(&self.known).suspects(self.clock.now());
        let Some(one) = listed.into_iter().find(|one| one.fingerprint == print) else {
            return;
        };
        let state = state(one);
        log::warn!(
            request = state.request.as_str(),
            any_caller = state.any_caller,
            ends = state.ends,
            left_ms = state.left_ms,
            origin:?;
            "request quarantined"
        );
    }

    /// Forgets what is old, and shows whether anything is left.
    pub fn forget_old(&self) {
        let mut known = lock(&self.known);
        known.remove_expired(self.clock.now());
        self.any.store(!known.is_empty(), Ordering::Relaxed);
    }
}

fn state(listed: SuspectSummary) -> SuspectState {
    SuspectState {
        request: listed.fingerprint.to_string(),
        any_caller: listed.senders > 0,
        ends: listed.consecutive_exits,
        age_ms: listed.age_us / US_PER_MS,
        left_ms: listed.remaining_us.map(|left_us| left_us / US_PER_MS),
    }
}
