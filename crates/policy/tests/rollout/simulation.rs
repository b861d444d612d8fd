//! Rollouts of good and bad versions among many daemons, with news that come late, twice, in
//! any order or not at all, daemons that start again or are cut off, and a store that falls
//! silent: a bad version is never exposed beyond its bound.

use std::collections::BTreeMap;

use lynxcleat_policy::{
    Admits, CANARY_PART, CallKind, Exposure, HalfEvidence, Members, Outcome, Phase, RolloutNews,
    RolloutOrder, Rollouts, Step, Taken, canary_width,
};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use super::{BASELINE, MS, ROLL_BACK, SECOND, SERVICE, SHARE, SLACK, TELL, TICK, USUAL_US};

mod bad_versions;
mod links;

/// What is wrong with a version.
#[derive(Clone, Copy, Debug)]
enum Badness {
    Nothing,
    /// A share of the answers fails.
    Fails(f64),
    /// A share of them is several times slower.
    Slow(f64, f64),
}

/// When it shows.
#[derive(Clone, Copy, Debug)]
enum Shows {
    Always,
    /// From this part of the time until the deadline on.
    From(f64),
    /// From this number of calls in the last second on.
    UnderLoad(usize),
    OnRoute(u32),
}

#[derive(Clone, Copy, Debug)]
struct Trouble {
    store_silent: Option<(u64, u64)>,
    cut: bool,
    restarts: usize,
    /// A single target, of the new version or the old, that fails for a reason of its own.
    grey: Option<usize>,
}

#[derive(Clone, Debug)]
enum Message {
    News(RolloutNews),
    Evidence(HalfEvidence),
    Idle(u64, usize),
    Answer {
        router: usize,
        epoch: u64,
        half: usize,
        kind: CallKind,
        outcome: Outcome,
        bad: bool,
    },
    Restart,
}

struct Daemon {
    is_new: bool,
    rollouts: Rollouts,
    exposure: Exposure,
    exposure_of: u64,
    evidence: HalfEvidence,
    told: HalfEvidence,
    in_flight: usize,
    recent: Vec<u64>,
    cut: Option<(u64, u64)>,
    epoch: u64,
    write_at: u64,
    /// A daemon that starts again takes calls once its links stand, over which it is told.
    ready_at: u64,
}

struct World {
    rng: SmallRng,
    now: u64,
    daemons: Vec<Daemon>,
    queue: BTreeMap<(u64, u64), (usize, Message)>,
    queued: u64,
    deadline: u64,
    row: (u64, Phase),
    badness: Badness,
    shows: Shows,
    trouble: Trouble,
    total: u64,
    canary_from_touch: u64,
    bad_times: Vec<u64>,
    late_canary: u64,
    old_after_done: u64,
    done_at: Option<u64>,
}

#[derive(Debug)]
struct End {
    phase: Phase,
    at: u64,
    exposed: f64,
    allowed: f64,
    late: u64,
    old_after_done: u64,
}

impl World {
    fn new(seed: u64, badness: Badness, shows: Shows, trouble: Trouble) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let old = rng.random_range(6..16);
        let new = rng.random_range(4..=old);
        let daemons = (0..old + new)
            .map(|number| Daemon {
                is_new: number >= old,
                rollouts: Rollouts::default(),
                exposure: Exposure::default(),
                exposure_of: 0,
                evidence: HalfEvidence::default(),
                told: HalfEvidence::default(),
                in_flight: 0,
                recent: Vec::new(),
                cut: None,
                epoch: 0,
                write_at: 0,
                ready_at: 0,
            })
            .collect();
        let within = rng.random_range(8..20) * SECOND;
        World {
            rng,
            now: 0,
            daemons,
            queue: BTreeMap::new(),
            queued: 0,
            deadline: within,
            row: (0, Phase::Running),
            badness,
            shows,
            trouble,
            total: 0,
            canary_from_touch: 0,
            bad_times: Vec::new(),
            late_canary: 0,
            old_after_done: 0,
            done_at: None,
        }
    }

    fn send(&mut self, to: usize, delay: u64, message: Message) {
        self.queued += 1;
        let at = self.now + delay;
        self.queue.insert((at, self.queued), (to, message));
    }

    fn run(mut self) -> End {
        let order = RolloutOrder {
            service: SERVICE.to_owned(),
            target: Some("v2".to_owned()),
            number: 7,
            within_us: self.deadline,
        };
        let count = self.daemons.len();
        for _ in 0..self.trouble.restarts {
            let at = self.rng.random_range(0..self.deadline);
            let daemon = self.rng.random_range(0..count);
            self.send(daemon, at, Message::Restart);
        }
        if self.trouble.cut {
            let daemon = self.rng.random_range(0..count);
            let from = self.rng.random_range(0..self.deadline);
            self.daemons[daemon].cut = Some((from, from + 3 * SECOND));
        }
        for daemon in 0..3 {
            if self.store_answers(daemon) {
                self.daemons[daemon].rollouts.take_order(0, &order);
                self.tell_news(daemon);
            }
        }
        let until = self.deadline + 8 * SECOND;
        let per_tick = self.rng.random_range(2..6);
        while self.now < until {
            while let Some(((at, _), _)) = self.queue.first_key_value() {
                if *at > self.now {
                    break;
                }
                let (_, (to, message)) = self.queue.pop_first().expect("there is one");
                self.take(to, message);
            }
            let ready = 500 * MS;
            for _ in 0..per_tick {
                self.call(ready);
            }
            for daemon in 0..count {
                self.step(daemon);
                if self.now.is_multiple_of(TELL) {
                    self.tell_evidence(daemon);
                }
                if let Some((_, to)) = self.daemons[daemon].cut
                    && to / TICK == self.now / TICK
                {
                    self.greet(daemon);
                }
            }
            self.now += TICK;
        }
        End {
            phase: self.row.1,
            at: self.done_at.unwrap_or(u64::MAX),
            exposed: self.canary_from_touch as f64,
            allowed: SHARE * self.total as f64 + SLACK,
            late: self.late_canary,
            old_after_done: self.old_after_done,
        }
    }

    fn take(&mut self, to: usize, message: Message) {
        match message {
            Message::News(news) if !self.is_cut(to) => {
                let now = self.now;
                if self.daemons[to].rollouts.take(now, &news) == Taken::News {
                    self.tell_news(to);
                }
            }
            Message::Evidence(evidence) if !self.is_cut(to) => {
                let now = self.now;
                if let Some(rollout) = self.daemons[to].rollouts.of_mut(SERVICE) {
                    rollout.take_evidence(now, &evidence);
                }
            }
            Message::Idle(order, host) if !self.is_cut(to) => {
                if let Some(rollout) = self.daemons[to].rollouts.of_mut(SERVICE) {
                    rollout.take_idle(order, &host.to_string());
                }
            }
            Message::News(_) | Message::Evidence(_) | Message::Idle(..) => {}
            Message::Answer {
                router,
                epoch,
                half,
                kind,
                outcome,
                bad,
            } => self.answered(router, epoch, half, kind, outcome, bad),
            Message::Restart => self.restart(to),
        }
    }

    fn restart(&mut self, number: usize) {
        let daemon = &mut self.daemons[number];
        daemon.rollouts = Rollouts::default();
        daemon.exposure = Exposure::default();
        daemon.exposure_of = 0;
        daemon.evidence = HalfEvidence::default();
        daemon.told = HalfEvidence::default();
        daemon.epoch += 1;
        daemon.ready_at = self.now + 50 * MS;
        self.greet(number);
    }

    fn answered(
        &mut self,
        router: usize,
        epoch: u64,
        half: usize,
        kind: CallKind,
        outcome: Outcome,
        bad: bool,
    ) {
        self.daemons[half].in_flight -= 1;
        if bad && self.daemons[half].is_new {
            self.bad_times.push(self.now);
        }
        if self.daemons[half].rollouts.of(SERVICE).is_some() {
            self.daemons[half].evidence.count(kind, outcome);
        }
        if self.daemons[router].epoch == epoch {
            self.daemons[router].exposure.delivered(kind);
        }
    }

    /// A call arrives at some router.
    fn call(&mut self, ready: u64) {
        let count = self.daemons.len();
        let router = self.rng.random_range(0..count);
        if self.now < self.daemons[router].ready_at {
            return;
        }
        let kind = CallKind(match self.rng.random_range(0..10) {
            0..6 => 0,
            6..9 => 1,
            _ => 2,
        });
        let Some(half) = self.choose(router, kind, ready) else {
            return;
        };
        if self.now < self.deadline {
            self.total += 1;
        }
        if self.daemons[half].is_new {
            self.count_canary(router);
        } else if self.done_at.is_some_and(|at| self.now > at + 200 * MS) && !self.is_cut(router) {
            self.old_after_done += 1;
        }
        let (time, outcome, bad) = self.outcome(half, kind);
        let daemon = &mut self.daemons[half];
        daemon.in_flight += 1;
        daemon.recent.push(self.now);
        let answer = Message::Answer {
            router,
            epoch: self.daemons[router].epoch,
            half,
            kind,
            outcome,
            bad,
        };
        self.send(router, u64::from(time), answer);
    }

    fn count_canary(&mut self, router: usize) {
        if self.is_cut(router) {
            return;
        }
        if self.now < self.deadline {
            self.canary_from_touch += 1;
        }
        let fiftieth = self.bad_times.get(49);
        if fiftieth.is_some_and(|at| self.now > at + ROLL_BACK) {
            self.late_canary += 1;
        }
    }

    fn choose(&mut self, router: usize, kind: CallKind, ready: u64) -> Option<usize> {
        let now = self.now;
        let old: Vec<usize> = self.halves(false);
        let new: Vec<usize> = match now >= ready {
            true => self.halves(true),
            false => Vec::new(),
        };
        let Some(known) = self.daemons[router].rollouts.of(SERVICE) else {
            // Who has not heard of it offers calls to all, without a mark.
            let all = old.into_iter().chain(new);
            let open: Vec<usize> = all.filter(|half| self.admitted(*half, false)).collect();
            return (!open.is_empty()).then(|| open[self.rng.random_range(0..open.len())]);
        };
        let order = known.number();
        let (any_new, any_old) = (known.admits("v2", true), known.admits("v1", true));
        let set_aside = known.judge().set_aside().clone();
        if self.daemons[router].exposure_of != order {
            self.daemons[router].exposure = Exposure::default();
            self.daemons[router].exposure_of = order;
        }
        let share = SHARE * CANARY_PART;
        if any_new == Admits::Canary && self.daemons[router].exposure.may_offer(share, kind) {
            let width = canary_width(share, old.len());
            let kept = new
                .iter()
                .filter(|half| !set_aside.contains(&half.to_string()));
            let canaries: Vec<usize> = kept.copied().take(width).collect();
            if !canaries.is_empty() {
                let half = canaries[self.rng.random_range(0..canaries.len())];
                if self.admitted(half, true) {
                    self.daemons[router].exposure.offered(kind);
                    return Some(half);
                }
            }
        }
        let mut open: Vec<usize> = Vec::new();
        if any_old == Admits::All {
            open.extend(&old);
        }
        if any_new == Admits::All {
            open.extend(&new);
        }
        if open.is_empty() {
            return None;
        }
        let half = open[self.rng.random_range(0..open.len())];
        self.admitted(half, false).then_some(half)
    }

    fn halves(&self, is_new: bool) -> Vec<usize> {
        let all = 0..self.daemons.len();
        let is_wanted = |daemon: &Daemon| daemon.is_new == is_new && self.now >= daemon.ready_at;
        all.filter(|number| is_wanted(&self.daemons[*number]))
            .collect()
    }

    /// What the half of a target says to a call, with or without the mark of a router that
    /// counts it.
    fn admitted(&self, half: usize, marked: bool) -> bool {
        let daemon = &self.daemons[half];
        let version = if daemon.is_new { "v2" } else { "v1" };
        let Some(known) = daemon.rollouts.of(SERVICE) else {
            return true;
        };
        match known.admits(version, true) {
            Admits::All => true,
            Admits::Canary => marked,
            Admits::Nothing => false,
        }
    }

    fn outcome(&mut self, half: usize, kind: CallKind) -> (u32, Outcome, bool) {
        let now = self.now;
        let daemon = &mut self.daemons[half];
        daemon.recent.retain(|at| at + SECOND > now);
        let load = daemon.recent.len();
        let is_new = daemon.is_new;
        let shows = match self.shows {
            Shows::Always => true,
            Shows::From(part) => now as f64 >= part * self.deadline as f64,
            Shows::UnderLoad(calls) => load >= calls,
            Shows::OnRoute(route) => kind == CallKind(route),
        };
        let usual = f64::from(USUAL_US[kind.0 as usize]);
        let mut time = usual * self.rng.random_range(0.7..1.4);
        if self.rng.random_bool(0.05) {
            time *= self.rng.random_range(2.0..5.0);
        }
        if self.rng.random_bool(0.004) {
            return (time as u32, Outcome::Failed, false);
        }
        if self.trouble.grey == Some(half) && self.rng.random_bool(0.4) {
            return (time as u32, Outcome::Failed, is_new);
        }
        if is_new && shows {
            match self.badness {
                Badness::Fails(share) if self.rng.random_bool(share) => {
                    return (time as u32, Outcome::Failed, true);
                }
                Badness::Slow(share, times) if self.rng.random_bool(share) => {
                    let time = (time * times) as u32;
                    return (time, Outcome::Served(Some(time)), true);
                }
                _ => {}
            }
        }
        (time as u32, Outcome::Served(Some(time as u32)), false)
    }

    fn tell_evidence(&mut self, number: usize) {
        let version = if self.daemons[number].is_new {
            "v2"
        } else {
            "v1"
        };
        if !self.daemons[number].is_new && number >= BASELINE {
            return;
        }
        let Some(order) = self.daemons[number]
            .rollouts
            .of(SERVICE)
            .map(|known| known.number())
        else {
            return;
        };
        let daemon = &mut self.daemons[number];
        daemon.evidence.service = SERVICE.to_owned();
        daemon.evidence.order = order;
        daemon.evidence.host = number.to_string();
        daemon.evidence.incarnation = daemon.epoch;
        daemon.evidence.version = version.to_owned();
        if daemon.evidence == daemon.told {
            return;
        }
        daemon.told = daemon.evidence.clone();
        let evidence = daemon.evidence.clone();
        let now = self.now;
        if let Some(own) = daemon.rollouts.of_mut(SERVICE) {
            own.take_evidence(now, &evidence);
        }
        self.tell(number, &Message::Evidence(evidence));
    }

    fn step(&mut self, number: usize) {
        let now = self.now;
        let (old, new) = (self.halves(false), self.halves(true));
        let cut: Vec<usize> = old
            .iter()
            .copied()
            .filter(|half| self.is_cut(*half))
            .collect();
        let is_idle = !self.daemons[number].is_new && self.daemons[number].in_flight == 0;
        let host = number.to_string();
        let Some(rollout) = self.daemons[number].rollouts.of_mut(SERVICE) else {
            return;
        };
        let order = rollout.number();
        let says_idle = is_idle && rollout.phase() == Phase::Moving;
        let is_news = says_idle && (rollout.take_idle(order, &host) || now.is_multiple_of(TELL));
        let unheard = old
            .iter()
            .filter(|half| !rollout.idle().contains(&half.to_string()));
        let unheard: Vec<usize> = unheard.copied().collect();
        let members = Members {
            versions: BTreeMap::from([("v1".to_owned(), old.len()), ("v2".to_owned(), new.len())]),
            old_idle: unheard.iter().all(|half| cut.contains(half)),
            any_unheard: !unheard.is_empty(),
        };
        let step = rollout.step(now, &members);
        if is_news {
            self.tell(number, &Message::Idle(order, number));
        }
        match step {
            Some(Step::Move | Step::Revert(_)) => self.tell_news(number),
            Some(Step::Finish) => self.write(number, Phase::Done),
            None => {
                let known = self.daemons[number].rollouts.of(SERVICE);
                if known.is_some_and(|known| known.phase() == Phase::Reverted && !known.is_stored())
                {
                    self.write(number, Phase::Reverted);
                }
            }
        }
    }

    /// A conditional write; the row settles what stands.
    fn write(&mut self, number: usize, phase: Phase) {
        if !self.store_answers(number) || self.now < self.daemons[number].write_at {
            return;
        }
        self.daemons[number].write_at = self.now + 100 * MS;
        let rollout = self.daemons[number]
            .rollouts
            .of_mut(SERVICE)
            .expect("it writes");
        if rollout.row() != self.row.0 {
            let (row, stands) = self.row;
            match stands {
                Phase::Running => rollout.seen_row(row),
                _ => {
                    rollout.stored(stands, row);
                }
            }
        } else {
            self.row = (self.row.0 + 1, phase);
            rollout.stored(phase, self.row.0);
            if phase == Phase::Done {
                self.done_at = Some(self.now);
            } else {
                self.done_at = None;
            }
        }
        self.tell_news(number);
    }
}
