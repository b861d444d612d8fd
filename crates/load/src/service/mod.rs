//! One service in virtual time: the routers and the admission that ship, against
//! small fake targets.
//!
//! Nothing here decides. Every call is routed by a real [`Router`] and admitted
//! by a real [`AdmissionController`]; the fakes only take time, fail, and carry messages with a
//! delay. Runs are seeded and repeat exactly.

mod options;
mod statements;

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

use lynxcleat_policy::{
    Action, AdmissionAction, AdmissionController, AdmissionEvent, AdmissionLimits, AnswerStatus,
    AttemptId, CallAttributes, CallId, CallKind, DistanceCosts, Event, Micros, OfferShare, Refusal,
    Router, StatedLimit, TargetId, TargetLoad, Verdict,
};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

pub use options::{FakeTarget, Measured, ServiceOptions};

/// Spread of service times: sigma of their logarithm.
const SERVICE_SIGMA: f64 = 0.5;
/// Attempt numbers of different routers are this far apart.
const ATTEMPTS_BITS: u32 = 40;

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum What {
    Arrive,
    Again {
        first: Micros,
        repeats: u32,
    },
    AtTarget {
        target: usize,
        sent: Sent,
    },
    Ended {
        target: usize,
        local: CallId,
        ok: bool,
    },
    Back {
        sent: Sent,
        reply: Reply,
    },
    Deadline {
        router: usize,
        call: CallId,
    },
    Join,
    Recheck {
        target: usize,
    },
    Told {
        target: usize,
    },
    Notices,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Sent {
    router: usize,
    attempt: AttemptId,
    deadline: Micros,
    share: Option<OfferShare>,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Reply {
    Served { there_us: u32 },
    Failed,
    Refused(usize),
}

struct Target {
    fake: FakeTarget,
    admit: AdmissionController,
    inside: HashMap<CallId, (Sent, Micros, Micros)>,
    stated: StatedLimit,
    leaving: bool,
    /// When its held calls are looked at again; nothing while that is not planned.
    recheck_at: Option<Micros>,
}

struct Caller {
    first: Micros,
    repeats: u32,
}

/// A service with its fakes.
pub struct FakeService {
    options: ServiceOptions,
    now: Micros,
    order: u64,
    queue: BinaryHeap<Reverse<(Micros, u64, What)>>,
    routers: Vec<Router>,
    targets: Vec<Target>,
    callers: HashMap<(usize, CallId), Caller>,
    refusals: Vec<Refusal>,
    figures: HashMap<u64, TargetLoad>,
    next: u64,
    rng: SmallRng,
    measured: Measured,
    window: (Micros, Micros),
}

impl FakeService {
    /// A service at rest; `window` is the time of interest.
    pub fn new(options: ServiceOptions, window: (Micros, Micros)) -> Self {
        let routers = (0..options.routers)
            .map(|n| {
                let first_attempt = (n as u64 + 1) << ATTEMPTS_BITS;
                Router::new(
                    options.params,
                    options.seed * 1_000 + n as u64,
                    first_attempt,
                )
            })
            .collect();
        let limits = AdmissionLimits {
            slots: options.limits.slots,
            hold_limit: if options.plain {
                u32::MAX
            } else {
                options.limits.hold_limit
            },
            prices: DistanceCosts::default(),
            ask_price_permille: 10,
            cold_calls_per_s: 0,
            cold_ms: 0,
        };
        let targets: Vec<Target> = options
            .targets
            .iter()
            .map(|fake| Target {
                fake: fake.clone(),
                admit: AdmissionController::new(limits),
                inside: HashMap::new(),
                stated: StatedLimit::default(),
                leaving: false,
                recheck_at: None,
            })
            .collect();
        let measured = Measured {
            by_target: vec![0; targets.len()],
            delivered: vec![Vec::new(); targets.len()],
            ..Measured::default()
        };
        FakeService {
            rng: SmallRng::seed_from_u64(options.seed),
            now: 0,
            order: 0,
            queue: BinaryHeap::new(),
            routers,
            targets,
            callers: HashMap::new(),
            refusals: Vec::new(),
            figures: HashMap::new(),
            next: 0,
            measured,
            window,
            options,
        }
    }

    /// Runs until every call has ended.
    pub fn run(mut self) -> Measured {
        self.join();
        for target in self.options.targets.clone() {
            if target.joins_at > 0 {
                self.at(target.joins_at, What::Join);
            }
        }
        self.at(0, What::Arrive);
        self.announce_shares();
        while let Some(Reverse((now, _, what))) = self.queue.pop() {
            self.now = now;
            self.happen(what);
        }
        self.measured.retries = self.routers.iter().map(|one| one.counts().retries).sum();
        self.measured
    }

    fn at(&mut self, time: Micros, what: What) {
        self.order += 1;
        self.queue.push(Reverse((time, self.order, what)));
    }

    fn happen(&mut self, what: What) {
        match what {
            What::Arrive => self.arrive(),
            What::Again { first, repeats } => self.call(first, repeats),
            What::AtTarget { target, sent } => self.at_target(target, sent),
            What::Ended { target, local, ok } => self.ended(target, local, ok),
            What::Back { sent, reply } => self.back(sent, reply),
            What::Deadline { router, call } => self.feed(router, Event::DeadlineExpired { call }),
            What::Join => self.join(),
            What::Recheck { target } => self.recheck(target),
            What::Told { target } => self.tell_routers(target),
            What::Notices => self.announce_shares(),
        }
    }

    /// Tells every router of the targets that have joined by now.
    fn join(&mut self) {
        let joined: Vec<(TargetId, f64)> = self
            .targets
            .iter()
            .enumerate()
            .filter(|(_, target)| target.fake.joins_at <= self.now)
            .map(|(n, target)| (TargetId(n as u32), 2.0 * target.fake.path_us as f64))
            .collect();
        for router in &mut self.routers {
            router.set_targets(self.now, &joined);
        }
    }

    fn arrive(&mut self) {
        if self.now >= self.options.end {
            return;
        }
        self.measured.calls += 1;
        self.call(self.now, 0);
        let started = self.options.rates.iter().rev();
        let rate = started
            .clone()
            .find(|(from, _)| *from <= self.now)
            .map_or(1.0, |(_, rate)| *rate);
        let uniform: f64 = self.rng.random_range(f64::EPSILON..1.0);
        let gap = -uniform.ln() / rate * 1e6;
        // The next change of rate takes effect when it comes, not a gap later.
        let change = started
            .map(|(from, _)| *from)
            .filter(|from| *from > self.now)
            .min();
        let next = self.now + gap as Micros;
        self.at(change.map_or(next, |change| next.min(change)), What::Arrive);
    }

    fn call(&mut self, first: Micros, repeats: u32) {
        self.next += 1;
        self.measured.routed += 1;
        let call = CallId(self.next);
        let router = self.rng.random_range(0..self.routers.len());
        let deadline = first + self.options.deadline_us;
        self.callers
            .insert((router, call), Caller { first, repeats });
        self.at(deadline, What::Deadline { router, call });
        let event = Event::Arrived {
            call,
            deadline,
            has_effects: false,
            may_retry: true,
            attempt_limit: None,
            goal: None,
            kind: CallKind::default(),
        };
        self.feed(router, event);
    }

    fn feed(&mut self, router: usize, event: Event) {
        for action in self.routers[router].on(self.now, event) {
            match action {
                Action::Send {
                    call,
                    attempt,
                    target,
                    ..
                } => self.send(router, call, attempt, target.0 as usize),
                Action::Finish { call, verdict } => self.finish(router, call, verdict),
                Action::Cancel { attempt, target } => self.cancel(attempt, target.0 as usize),
                Action::Settle { .. } | Action::Withdraw { .. } => {}
            }
        }
    }

    fn send(&mut self, router: usize, call: CallId, attempt: AttemptId, target: usize) {
        self.measured.attempts += 1;
        let fake = &self.targets[target].fake;
        if self.now >= fake.odd.0 + 100_000 {
            self.measured.by_target[target] += 1;
        }
        let deadline = self.callers[&(router, call)].first + self.options.deadline_us;
        let sent = Sent {
            router,
            attempt,
            deadline,
            share: self.routers[router].selected_share(),
        };
        let arrives = self.now + fake.path_us;
        self.at(arrives, What::AtTarget { target, sent });
    }

    fn at_target(&mut self, target: usize, sent: Sent) {
        self.next += 1;
        let local = CallId(self.next);
        self.targets[target]
            .inside
            .insert(local, (sent, self.now, self.now));
        let patient = sent.deadline + 1_000 * self.options.deadline_us;
        let offer = AdmissionEvent::Offer {
            call: local,
            deadline: if self.options.plain {
                patient
            } else {
                sent.deadline
            },
            attributes: CallAttributes {
                share: sent.share,
                ..CallAttributes::default()
            },
        };
        self.admit(target, offer);
    }

    fn admit(&mut self, target: usize, event: AdmissionEvent) {
        for action in self.targets[target].admit.on(self.now, event) {
            match action {
                AdmissionAction::Deliver { call } => self.deliver(target, call),
                AdmissionAction::Refuse { call, refusal } => {
                    let (sent, _, _) = self.targets[target].inside.remove(&call).expect("inside");
                    self.refusals.push(refusal);
                    let reply = Reply::Refused(self.refusals.len() - 1);
                    self.reply(target, sent, reply);
                }
            }
        }
        self.plan_recheck(target);
    }

    fn recheck(&mut self, target: usize) {
        self.targets[target].recheck_at = None;
        self.admit(target, AdmissionEvent::Recheck);
    }

    /// Plans the next look at held calls that wait for a rate limit.
    fn plan_recheck(&mut self, target: usize) {
        let state = &mut self.targets[target];
        let next = state.admit.next_recheck(self.now);
        let Some(next) = next.filter(|next| !next.needs_reading) else {
            return;
        };
        if state.recheck_at.is_none_or(|planned| next.at < planned) {
            state.recheck_at = Some(next.at);
            self.at(next.at, What::Recheck { target });
        }
    }

    fn deliver(&mut self, target: usize, local: CallId) {
        let now = self.now;
        self.measured.delivered[target].push(now);
        let fake = &self.targets[target].fake;
        let odd = (fake.odd.0..fake.odd.1).contains(&now);
        let factor = if odd { fake.factor } else { 1.0 };
        let (takes, ok) = match fake.fail_after_us {
            Some(after) if odd => (after, false),
            _ => ((self.service_time() * factor) as Micros, true),
        };
        if let Some(inside) = self.targets[target].inside.get_mut(&local) {
            inside.2 = now;
        }
        self.at(now + takes.max(1), What::Ended { target, local, ok });
    }

    /// A lognormal time with the configured mean.
    fn service_time(&mut self) -> f64 {
        let (a, b): (f64, f64) = (
            self.rng.random_range(f64::EPSILON..1.0),
            self.rng.random_range(0.0..1.0),
        );
        let normal = (-2.0 * a.ln()).sqrt() * (std::f64::consts::TAU * b).cos();
        let mu = self.options.service_us.ln() - SERVICE_SIGMA * SERVICE_SIGMA / 2.0;
        (mu + SERVICE_SIGMA * normal).exp()
    }

    fn ended(&mut self, target: usize, local: CallId, ok: bool) {
        let Some((sent, arrived, delivered)) = self.targets[target].inside.remove(&local) else {
            return;
        };
        let took = (self.now - delivered) as u32;
        let done = AdmissionEvent::Done {
            call: local,
            service_us: ok.then_some(took),
            slowness_percent: None,
        };
        let there_us = (self.now - arrived) as u32;
        let reply = if ok {
            Reply::Served { there_us }
        } else {
            Reply::Failed
        };
        self.admit(target, done);
        self.hear(target, delivered);
        self.reply(target, sent, reply);
    }

    fn reply(&mut self, target: usize, sent: Sent, reply: Reply) {
        if self.rng.random_range(0.0..1.0) < self.options.figures_share {
            self.measured.figures += 1;
            let figures = self.load_of(target);
            self.figures.insert(sent.attempt.0, figures);
        }
        let arrives = self.now + self.targets[target].fake.path_us;
        self.at(arrives, What::Back { sent, reply });
    }

    fn back(&mut self, sent: Sent, reply: Reply) {
        let attempt = sent.attempt;
        let figures = self.figures.remove(&attempt.0);
        let event = match reply {
            Reply::Served { there_us } => Event::Answered {
                attempt,
                status: AnswerStatus::Served,
                load: figures,
                remote_us: there_us,
                work_us: None,
            },
            Reply::Failed => Event::Answered {
                attempt,
                status: AnswerStatus::Failed,
                load: figures,
                remote_us: 0,
                work_us: None,
            },
            Reply::Refused(nth) => Event::Refused {
                attempt,
                refusal: self.refusals[nth],
                load: figures,
            },
        };
        let failed = reply == Reply::Failed;
        let before = self.measured.served.len();
        self.feed(sent.router, event);
        if failed && self.measured.served.len() > before {
            self.measured.errors += 1;
        }
    }

    /// A cancelled lookup frees its place: the target cuts it off.
    fn cancel(&mut self, attempt: AttemptId, target: usize) {
        let inside = &self.targets[target].inside;
        let found = inside
            .iter()
            .find(|(_, (sent, _, _))| sent.attempt == attempt);
        let Some(local) = found.map(|(local, _)| *local) else {
            return;
        };
        let held = self.targets[target].admit.is_held(local);
        self.targets[target].inside.remove(&local);
        let event = if held {
            AdmissionEvent::Withdraw { call: local }
        } else {
            AdmissionEvent::Done {
                call: local,
                service_us: None,
                slowness_percent: None,
            }
        };
        self.admit(target, event);
    }

    fn finish(&mut self, router: usize, call: CallId, verdict: Verdict) {
        let Some(caller) = self.callers.remove(&(router, call)) else {
            return;
        };
        let took = self.now - caller.first;
        match verdict {
            Verdict::Answer { .. } => self.count_served(caller.first, took),
            Verdict::Unknown { .. } => self.measured.unknown += 1,
            Verdict::NotRun { retry_after_us, .. } => self.refused(&caller, took, retry_after_us),
        }
    }

    fn count_served(&mut self, first: Micros, took: Micros) {
        self.measured.served.record(took);
        self.measured.in_time += u64::from(took <= self.options.deadline_us);
        self.measured.series.push((first, took));
        if (self.window.0..self.window.1).contains(&first) {
            self.measured.window.record(took);
        }
    }

    /// A caller comes back when it was told to, a little spread, unless its
    /// deadline is over by then.
    fn refused(&mut self, caller: &Caller, took: Micros, retry_after_us: Micros) {
        let spread = self.rng.random_range(1.0..1.5);
        let again = self.now + (retry_after_us as f64 * spread) as Micros;
        let in_time = again < caller.first + self.options.deadline_us;
        if caller.repeats < self.options.repeats && in_time {
            let repeats = caller.repeats + 1;
            let first = caller.first;
            return self.at(again, What::Again { first, repeats });
        }
        self.measured.refused += 1;
        self.measured.refusal.record(took);
    }
}
