//! Simulation of rollouts of good and bad versions across many daemons. Updates are delayed,
//! duplicated, reordered or lost, daemons restart or are partitioned, and the store becomes
//! unavailable. A bad version must never get more calls than its bound.

use std::collections::BTreeMap;

use lynxcleat_policy::{
    AdmittedCalls, CANARY_SHARE_FACTOR, CallKind, Exposure, MemberSummary, Outcome, Phase,
    RolloutChange, RolloutOrder, RolloutUpdate, Rollouts, Step, TargetEvidence,
    canary_target_count,
};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use super::{
    BASELINE_TARGETS, CANARY_SLACK, EVIDENCE_INTERVAL, MS, ROLLBACK_LIMIT, SECOND, SERVICE, SHARE,
    TICK, USUAL_LATENCY_US,
};

mod network;
mod randomized;

/// What is wrong with a version.
#[derive(Clone, Copy, Debug)]
enum Defect {
    None,
    /// A share of the answers fails.
    Fails(f64),
    /// A share of the answers takes longer by a factor.
    Slow(f64, f64),
}

/// When the defect shows.
#[derive(Clone, Copy, Debug)]
enum Trigger {
    Always,
    /// After this part of the rollout's time limit.
    After(f64),
    /// Under at least this number of calls in the last second.
    UnderLoad(usize),
    OnRoute(u32),
}

#[derive(Clone, Copy, Debug)]
struct Disturbance {
    store_outage: Option<(u64, u64)>,
    partition: bool,
    restarts: usize,
    /// A single target of any version that fails for reasons unrelated to its version.
    faulty_target: Option<usize>,
}

#[derive(Clone, Debug)]
enum Message {
    Update(RolloutUpdate),
    Evidence(TargetEvidence),
    Idle(u64, usize),
    Answer {
        router: usize,
        incarnation: u64,
        target: usize,
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
    evidence: TargetEvidence,
    sent_evidence: TargetEvidence,
    in_flight: usize,
    recent_calls: Vec<u64>,
    partition: Option<(u64, u64)>,
    incarnation: u64,
    next_write_at: u64,
    /// When it takes calls after a restart. By then its links are up and it has received the
    /// updates of the other daemons.
    ready_at: u64,
}

struct Simulation {
    rng: SmallRng,
    now: u64,
    daemons: Vec<Daemon>,
    queue: BTreeMap<(u64, u64), (usize, Message)>,
    sent: u64,
    deadline: u64,
    status_row: (u64, Phase),
    defect: Defect,
    trigger: Trigger,
    disturbance: Disturbance,
    total_calls: u64,
    canary_calls: u64,
    bad_answer_times: Vec<u64>,
    late_canary_calls: u64,
    old_calls_after_done: u64,
    done_at: Option<u64>,
}

#[derive(Debug)]
struct RunResult {
    phase: Phase,
    done_at: u64,
    canary_calls: f64,
    allowed_canary_calls: f64,
    late_canary_calls: u64,
    old_calls_after_done: u64,
}

impl Simulation {
    fn new(seed: u64, defect: Defect, trigger: Trigger, disturbance: Disturbance) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let old = rng.random_range(6..16);
        let new = rng.random_range(4..=old);
        let daemons = (0..old + new)
            .map(|number| Daemon {
                is_new: number >= old,
                rollouts: Rollouts::default(),
                exposure: Exposure::default(),
                exposure_of: 0,
                evidence: TargetEvidence::default(),
                sent_evidence: TargetEvidence::default(),
                in_flight: 0,
                recent_calls: Vec::new(),
                partition: None,
                incarnation: 0,
                next_write_at: 0,
                ready_at: 0,
            })
            .collect();
        let deadline = rng.random_range(8..20) * SECOND;
        Simulation {
            rng,
            now: 0,
            daemons,
            queue: BTreeMap::new(),
            sent: 0,
            deadline,
            status_row: (0, Phase::Running),
            defect,
            trigger,
            disturbance,
            total_calls: 0,
            canary_calls: 0,
            bad_answer_times: Vec::new(),
            late_canary_calls: 0,
            old_calls_after_done: 0,
            done_at: None,
        }
    }

    fn send(&mut self, to: usize, delay: u64, message: Message) {
        self.sent += 1;
        let at = self.now + delay;
        self.queue.insert((at, self.sent), (to, message));
    }

    fn run(mut self) -> RunResult {
        let order = RolloutOrder {
            service: SERVICE.to_owned(),
            version: Some("v2".to_owned()),
            number: 7,
            time_limit_us: self.deadline,
        };
        let count = self.daemons.len();
        for _ in 0..self.disturbance.restarts {
            let at = self.rng.random_range(0..self.deadline);
            let daemon = self.rng.random_range(0..count);
            self.send(daemon, at, Message::Restart);
        }
        if self.disturbance.partition {
            let daemon = self.rng.random_range(0..count);
            let from = self.rng.random_range(0..self.deadline);
            self.daemons[daemon].partition = Some((from, from + 3 * SECOND));
        }
        for daemon in 0..3 {
            if self.store_answers(daemon) {
                self.daemons[daemon].rollouts.apply_order(0, &order);
                self.announce_update(daemon);
            }
        }
        let until = self.deadline + 8 * SECOND;
        let per_tick = self.rng.random_range(2..6);
        while self.now < until {
            while let Some(((at, _), _)) = self.queue.first_key_value() {
                if *at > self.now {
                    break;
                }
                let (_, (to, message)) = self.queue.pop_first().expect("the queue is not empty");
                self.receive(to, message);
            }
            let ready = 500 * MS;
            for _ in 0..per_tick {
                self.start_call(ready);
            }
            for daemon in 0..count {
                self.step(daemon);
                if self.now.is_multiple_of(EVIDENCE_INTERVAL) {
                    self.send_evidence(daemon);
                }
                if let Some((_, to)) = self.daemons[daemon].partition
                    && to / TICK == self.now / TICK
                {
                    self.exchange_updates(daemon);
                }
            }
            self.now += TICK;
        }
        RunResult {
            phase: self.status_row.1,
            done_at: self.done_at.unwrap_or(u64::MAX),
            canary_calls: self.canary_calls as f64,
            allowed_canary_calls: SHARE * self.total_calls as f64 + CANARY_SLACK,
            late_canary_calls: self.late_canary_calls,
            old_calls_after_done: self.old_calls_after_done,
        }
    }

    fn receive(&mut self, to: usize, message: Message) {
        match message {
            Message::Update(update) if !self.is_partitioned(to) => {
                let now = self.now;
                if self.daemons[to].rollouts.apply_update(now, &update) == RolloutChange::Relay {
                    self.announce_update(to);
                }
            }
            Message::Evidence(evidence) if !self.is_partitioned(to) => {
                let now = self.now;
                if let Some(rollout) = self.daemons[to].rollouts.get_mut(SERVICE) {
                    rollout.add_evidence(now, &evidence);
                }
            }
            Message::Idle(order, host) if !self.is_partitioned(to) => {
                if let Some(rollout) = self.daemons[to].rollouts.get_mut(SERVICE) {
                    rollout.record_idle(order, &host.to_string());
                }
            }
            Message::Update(_) | Message::Evidence(_) | Message::Idle(..) => {}
            Message::Answer {
                router,
                incarnation,
                target,
                kind,
                outcome,
                bad,
            } => self.record_answer(router, incarnation, target, kind, outcome, bad),
            Message::Restart => self.restart(to),
        }
    }

    fn restart(&mut self, number: usize) {
        let daemon = &mut self.daemons[number];
        daemon.rollouts = Rollouts::default();
        daemon.exposure = Exposure::default();
        daemon.exposure_of = 0;
        daemon.evidence = TargetEvidence::default();
        daemon.sent_evidence = TargetEvidence::default();
        daemon.incarnation += 1;
        daemon.ready_at = self.now + 50 * MS;
        self.exchange_updates(number);
    }

    fn record_answer(
        &mut self,
        router: usize,
        incarnation: u64,
        target: usize,
        kind: CallKind,
        outcome: Outcome,
        bad: bool,
    ) {
        self.daemons[target].in_flight -= 1;
        if bad && self.daemons[target].is_new {
            self.bad_answer_times.push(self.now);
        }
        if self.daemons[target].rollouts.get(SERVICE).is_some() {
            self.daemons[target].evidence.count(kind, outcome);
        }
        if self.daemons[router].incarnation == incarnation {
            self.daemons[router].exposure.record_delivered(kind);
        }
    }

    /// Sends a call through a random router.
    fn start_call(&mut self, ready: u64) {
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
        let Some(target) = self.choose(router, kind, ready) else {
            return;
        };
        if self.now < self.deadline {
            self.total_calls += 1;
        }
        if self.daemons[target].is_new {
            self.count_canary(router);
        } else if self.done_at.is_some_and(|at| self.now > at + 200 * MS)
            && !self.is_partitioned(router)
        {
            self.old_calls_after_done += 1;
        }
        let (time, outcome, bad) = self.outcome(target, kind);
        let daemon = &mut self.daemons[target];
        daemon.in_flight += 1;
        daemon.recent_calls.push(self.now);
        let answer = Message::Answer {
            router,
            incarnation: self.daemons[router].incarnation,
            target,
            kind,
            outcome,
            bad,
        };
        self.send(router, u64::from(time), answer);
    }

    fn count_canary(&mut self, router: usize) {
        if self.is_partitioned(router) {
            return;
        }
        if self.now < self.deadline {
            self.canary_calls += 1;
        }
        let fiftieth = self.bad_answer_times.get(49);
        if fiftieth.is_some_and(|at| self.now > at + ROLLBACK_LIMIT) {
            self.late_canary_calls += 1;
        }
    }

    fn choose(&mut self, router: usize, kind: CallKind, ready: u64) -> Option<usize> {
        let now = self.now;
        let old: Vec<usize> = self.targets(false);
        let new: Vec<usize> = match now >= ready {
            true => self.targets(true),
            false => Vec::new(),
        };
        let Some(known) = self.daemons[router].rollouts.get(SERVICE) else {
            // A router without the order offers unmarked calls to all targets.
            let all = old.into_iter().chain(new);
            let open: Vec<usize> = all
                .filter(|target| self.is_admitted(*target, false))
                .collect();
            return (!open.is_empty()).then(|| open[self.rng.random_range(0..open.len())]);
        };
        let order = known.number();
        let (any_new, any_old) = (
            known.admitted_calls("v2", true),
            known.admitted_calls("v1", true),
        );
        let excluded = known.analysis().excluded_hosts().clone();
        if self.daemons[router].exposure_of != order {
            self.daemons[router].exposure = Exposure::default();
            self.daemons[router].exposure_of = order;
        }
        let share = SHARE * CANARY_SHARE_FACTOR;
        if any_new == AdmittedCalls::Canary && self.daemons[router].exposure.may_offer(share, kind)
        {
            let canary_count = canary_target_count(share, old.len());
            let kept = new
                .iter()
                .filter(|target| !excluded.contains(&target.to_string()));
            let canaries: Vec<usize> = kept.copied().take(canary_count).collect();
            if !canaries.is_empty() {
                let target = canaries[self.rng.random_range(0..canaries.len())];
                if self.is_admitted(target, true) {
                    self.daemons[router].exposure.record_offered(kind);
                    return Some(target);
                }
            }
        }
        let mut open: Vec<usize> = Vec::new();
        if any_old == AdmittedCalls::All {
            open.extend(&old);
        }
        if any_new == AdmittedCalls::All {
            open.extend(&new);
        }
        if open.is_empty() {
            return None;
        }
        let target = open[self.rng.random_range(0..open.len())];
        self.is_admitted(target, false).then_some(target)
    }

    fn targets(&self, is_new: bool) -> Vec<usize> {
        let all = 0..self.daemons.len();
        let is_wanted = |daemon: &Daemon| daemon.is_new == is_new && self.now >= daemon.ready_at;
        all.filter(|number| is_wanted(&self.daemons[*number]))
            .collect()
    }

    /// Whether a target's daemon admits a call; `marked` is one that its router counts towards
    /// the canary share.
    fn is_admitted(&self, target: usize, marked: bool) -> bool {
        let daemon = &self.daemons[target];
        let version = if daemon.is_new { "v2" } else { "v1" };
        let Some(known) = daemon.rollouts.get(SERVICE) else {
            return true;
        };
        match known.admitted_calls(version, true) {
            AdmittedCalls::All => true,
            AdmittedCalls::Canary => marked,
            AdmittedCalls::None => false,
        }
    }

    fn outcome(&mut self, target: usize, kind: CallKind) -> (u32, Outcome, bool) {
        let now = self.now;
        let daemon = &mut self.daemons[target];
        daemon.recent_calls.retain(|at| at + SECOND > now);
        let load = daemon.recent_calls.len();
        let is_new = daemon.is_new;
        let is_triggered = match self.trigger {
            Trigger::Always => true,
            Trigger::After(part) => now as f64 >= part * self.deadline as f64,
            Trigger::UnderLoad(calls) => load >= calls,
            Trigger::OnRoute(route) => kind == CallKind(route),
        };
        let usual = f64::from(USUAL_LATENCY_US[kind.0 as usize]);
        let mut time = usual * self.rng.random_range(0.7..1.4);
        if self.rng.random_bool(0.05) {
            time *= self.rng.random_range(2.0..5.0);
        }
        if self.rng.random_bool(0.004) {
            return (time as u32, Outcome::Failed, false);
        }
        if self.disturbance.faulty_target == Some(target) && self.rng.random_bool(0.4) {
            return (time as u32, Outcome::Failed, is_new);
        }
        if is_new && is_triggered {
            match self.defect {
                Defect::Fails(share) if self.rng.random_bool(share) => {
                    return (time as u32, Outcome::Failed, true);
                }
                Defect::Slow(share, factor) if self.rng.random_bool(share) => {
                    let time = (time * factor) as u32;
                    return (time, Outcome::Served(Some(time)), true);
                }
                _ => {}
            }
        }
        (time as u32, Outcome::Served(Some(time as u32)), false)
    }

    fn send_evidence(&mut self, number: usize) {
        let version = if self.daemons[number].is_new {
            "v2"
        } else {
            "v1"
        };
        if !self.daemons[number].is_new && number >= BASELINE_TARGETS {
            return;
        }
        let Some(order) = self.daemons[number]
            .rollouts
            .get(SERVICE)
            .map(|known| known.number())
        else {
            return;
        };
        let daemon = &mut self.daemons[number];
        daemon.evidence.service = SERVICE.to_owned();
        daemon.evidence.order = order;
        daemon.evidence.host = number.to_string();
        daemon.evidence.incarnation = daemon.incarnation;
        daemon.evidence.version = version.to_owned();
        if daemon.evidence == daemon.sent_evidence {
            return;
        }
        daemon.sent_evidence = daemon.evidence.clone();
        let evidence = daemon.evidence.clone();
        let now = self.now;
        if let Some(own) = daemon.rollouts.get_mut(SERVICE) {
            own.add_evidence(now, &evidence);
        }
        self.broadcast(number, &Message::Evidence(evidence));
    }

    fn step(&mut self, number: usize) {
        let now = self.now;
        let (old, new) = (self.targets(false), self.targets(true));
        let partitioned: Vec<usize> = old
            .iter()
            .copied()
            .filter(|target| self.is_partitioned(*target))
            .collect();
        let is_idle = !self.daemons[number].is_new && self.daemons[number].in_flight == 0;
        let host = number.to_string();
        let Some(rollout) = self.daemons[number].rollouts.get_mut(SERVICE) else {
            return;
        };
        let order = rollout.number();
        let may_announce_idle = is_idle && rollout.phase() == Phase::Moving;
        let announces_idle = may_announce_idle
            && (rollout.record_idle(order, &host) || now.is_multiple_of(EVIDENCE_INTERVAL));
        let not_idle = old
            .iter()
            .filter(|target| !rollout.idle_hosts().contains(&target.to_string()));
        let not_idle: Vec<usize> = not_idle.copied().collect();
        let members = MemberSummary {
            targets_by_version: BTreeMap::from([
                ("v1".to_owned(), old.len()),
                ("v2".to_owned(), new.len()),
            ]),
            all_old_idle: not_idle.iter().all(|target| partitioned.contains(target)),
            any_unreachable: !not_idle.is_empty(),
        };
        let step = rollout.step(now, &members);
        if announces_idle {
            self.broadcast(number, &Message::Idle(order, number));
        }
        match step {
            Some(Step::Move | Step::Revert(_)) => self.announce_update(number),
            Some(Step::Finish) => self.write(number, Phase::Done),
            None => {
                let known = self.daemons[number].rollouts.get(SERVICE);
                if known.is_some_and(|known| known.phase() == Phase::Reverted && !known.is_stored())
                {
                    self.write(number, Phase::Reverted);
                }
            }
        }
    }

    /// Writes the status row if its version is the expected one, and otherwise adopts the row.
    fn write(&mut self, number: usize, phase: Phase) {
        if !self.store_answers(number) || self.now < self.daemons[number].next_write_at {
            return;
        }
        self.daemons[number].next_write_at = self.now + 100 * MS;
        let rollout = self.daemons[number]
            .rollouts
            .get_mut(SERVICE)
            .expect("only a daemon with the order writes");
        if rollout.row_version() != self.status_row.0 {
            let (row, stored_phase) = self.status_row;
            match stored_phase {
                Phase::Running => rollout.record_row_version(row),
                _ => {
                    rollout.record_stored(stored_phase, row);
                }
            }
        } else {
            self.status_row = (self.status_row.0 + 1, phase);
            rollout.record_stored(phase, self.status_row.0);
            if phase == Phase::Done {
                self.done_at = Some(self.now);
            } else {
                self.done_at = None;
            }
        }
        self.announce_update(number);
    }
}
