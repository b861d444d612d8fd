//! What the target states in its answers: the rate that it takes, and that it leaves.
//!
//! A statement is of the incarnation in place, and ends with it. What a daemon heard it tells
//! the routers with the target's load. Routers repeat it with their calls, so that a daemon
//! that was started again knows it before it delivers one.

use std::sync::Arc;
use std::time::Duration;

use hyper::HeaderMap;
use lynxcleat_policy::{AdmissionEvent, Micros, RateLimit, StatedLimit, TargetNotice};
use lynxcleat_store::fnv1a;
use lynxcleat_wire::Frame;

use super::state::Half;
use crate::core::Core;
use crate::life::LeaveCause;
use crate::metrics::count;
use crate::sync::lock;

/// Fingerprint of a target without a name: its restarts cannot be told apart.
const NAMELESS: u64 = 0;

/// Pause between two looks at what a target states.
const LOOK_PAUSE: Duration = Duration::from_millis(200);

/// Starts telling routers of shares that change, and looking for the end of a target without a
/// name that says that it leaves: it gets no calls, so nothing else finds its end.
pub fn start(core: &Arc<Core>) {
    let core = Arc::clone(core);
    tokio::spawn(async move {
        loop {
            tokio::time::sleep(LOOK_PAUSE).await;
            core.half.announce_share(&core);
            if core.half.says_leaving() && !core.half.is_named() {
                core.half.pool.drop_idle();
                core.half.pool.look().await;
            }
        }
    });
}

/// Who answered which call.
pub(super) struct Answerer<'a> {
    /// The incarnation that the call was meant for, where it has a name.
    pub instance: Option<&'a str>,
    /// When the call was sent, or before.
    pub sent_at: Micros,
}

/// What the incarnation in place stated.
#[derive(Default)]
pub(super) struct Notices {
    limit: StatedLimit,
    /// When it said first that it leaves.
    leaving_at: Option<Micros>,
    /// Whether this run of the daemon had an answer of it.
    is_heard: bool,
    /// Whether routers are told: an incarnation stated something, or a router believes so.
    is_told: bool,
    /// The last text for a limit that was no rate; each is logged once.
    no_rate: Option<String>,
}

impl Half {
    /// Takes what the headers of an answer say of the target.
    pub(super) fn hear(&self, core: &Core, headers: &HeaderMap, answerer: &Answerer<'_>) {
        if !self.is_in_place(answerer.instance) {
            return;
        }
        lock(&self.notices).is_heard = true;
        self.hear_limit(core, headers, answerer);
        if core.dialect.is_leaving(headers) {
            count(&core.metrics.target_notices, "leaving");
            self.set_said_leaving(core);
        }
    }

    /// Takes what a router heard of the target, which may have been before this daemon started.
    pub(super) fn learn_notice(&self, core: &Core, notice: TargetNotice) {
        if notice.is_blank() {
            return;
        }
        let is_heard = {
            let mut notices = lock(&self.notices);
            notices.is_told = true;
            notices.is_heard
        };
        if notice.incarnation != self.incarnation_print() {
            return;
        }
        if !is_heard && self.rate_limit().is_none() {
            self.state_limit(core, self.clock.now(), notice.limit);
        }
        if notice.leaving && notice.incarnation != NAMELESS {
            self.set_said_leaving(core);
        }
    }

    /// Another incarnation stands in place, which has said nothing yet.
    pub(super) fn forget_notices(&self, core: &Core) {
        let mut notices = lock(&self.notices);
        *notices = Notices {
            is_told: notices.is_told,
            ..Notices::default()
        };
        core.metrics.show_rate_limit(None);
    }

    /// A target without a name was started again.
    pub(super) fn forget_nameless(&self, core: &Core) {
        if self.is_named() {
            return;
        }
        self.forget_notices(core);
        self.admit(AdmissionEvent::RateLimit(None));
        core.set_leaving(LeaveCause::Answer, false);
    }

    /// What routers are told of the target's statements; nothing where there never were any.
    pub(super) fn notice(&self) -> Option<TargetNotice> {
        let (limit, leaving) = {
            let notices = lock(&self.notices);
            if !notices.is_told {
                return None;
            }
            (notices.limit.current(), notices.leaving_at.is_some())
        };
        Some(TargetNotice {
            incarnation: self.incarnation_print(),
            limit,
            share: self.offer_share(),
            leaving,
        })
    }

    /// The rate limit that the target states.
    pub fn rate_limit(&self) -> Option<RateLimit> {
        lock(&self.notices).limit.current()
    }

    /// Whether incarnations of the target have names.
    fn is_named(&self) -> bool {
        self.with_reports(|_| ()).is_some()
    }

    /// Whether the target says that it leaves.
    pub fn says_leaving(&self) -> bool {
        lock(&self.notices).leaving_at.is_some()
    }

    /// When the limit in force was stated first, and when the target said first that it leaves.
    pub(super) fn stated_at(&self) -> (Option<Micros>, Option<Micros>) {
        let notices = lock(&self.notices);
        (notices.limit.heard_at(), notices.leaving_at)
    }

    fn hear_limit(&self, core: &Core, headers: &HeaderMap, answerer: &Answerer<'_>) {
        match core.dialect.rate_limit(headers) {
            Ok(stated) => {
                if stated.is_some() {
                    count(&core.metrics.target_notices, "rate-limit");
                }
                self.state_limit(core, answerer.sent_at, stated);
            }
            Err(error) => {
                count(&core.metrics.target_notices, "no-rate");
                let mut notices = lock(&self.notices);
                if notices.no_rate.as_ref() != Some(&error.0) {
                    log::warn!("rate limit of the target: {error}");
                    notices.no_rate = Some(error.0);
                }
            }
        }
    }

    /// Puts a limit in force, or its end, that was stated in answer to a call sent at `sent_at`.
    fn state_limit(&self, core: &Core, sent_at: Micros, stated: Option<RateLimit>) {
        let now = self.clock.now();
        let before = {
            let mut notices = lock(&self.notices);
            let before = notices.limit.current();
            if !notices.limit.record(now, sent_at, stated) {
                return;
            }
            notices.is_told = true;
            before
        };
        self.admit(AdmissionEvent::RateLimit(stated));
        core.metrics.show_rate_limit(stated);
        if before.is_some() == stated.is_some() {
            log::debug!(calls_per_s:? = stated.map(RateLimit::per_s); "rate limit of the target");
            return;
        }
        log::info!(calls_per_s:? = stated.map(RateLimit::per_s); "rate limit of the target");
        match stated {
            Some(_) => self.announce_share(core),
            None => core.links.announce(&Frame::Load(self.figures())),
        }
    }

    /// Tells every router of the limit if the share that it should offer has changed much.
    fn announce_share(&self, core: &Core) {
        let share = lock(&self.admit).share_to_announce(self.clock.now());
        if share.is_some() {
            core.links.announce(&Frame::Load(self.figures()));
        }
    }

    fn set_said_leaving(&self, core: &Core) {
        {
            let mut notices = lock(&self.notices);
            notices.is_told = true;
            if notices.leaving_at.is_some() {
                return;
            }
            notices.leaving_at = Some(self.clock.now());
        }
        log::info!("the target says that it leaves");
        core.target_says_leaving();
        // With the incarnation, which the message that the target is left does not have.
        core.links.announce(&Frame::Load(self.figures()));
    }

    /// Fingerprint of the incarnation in place, of its name and start.
    fn incarnation_print(&self) -> u64 {
        let print = self.with_reports(|reports| {
            let target = reports.current()?;
            let started = target.started_ms.unwrap_or(0).to_le_bytes();
            Some(fnv1a(target.instance.bytes().chain(started)))
        });
        print.flatten().unwrap_or(NAMELESS)
    }
}
