//! Fuzz of the once-only machines together with the router, against the targets'
//! own ledger: no operation runs twice, and none that a caller was told was not
//! run has run or runs later on that call's account.
//!
//! The world delivers, delays, doubles and drops messages, loses links, kills
//! daemons, and lets a guard that was given up wake again, in any order.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use lynxcleat_once::{
    Admission, Begin, Fence, FenceLimits, FenceReply, Guard, GuardLimits, Incarnation, OpId,
    Operation, Outcome, Recovery, RecoveryStep, RefusedOnce, Ticket,
};
use lynxcleat_policy::{
    Action, AnswerStatus, AttemptId, CallId, DistanceCosts, Event, Policy, Refusal, RefusalReason,
    Router, RouterParams, SelectionParams, Settlement, TargetId, Verdict,
};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

const NODES: usize = 2;
const HALVES: usize = 2;
const RETENTION_MS: u64 = 5_000;
const SKEW_MS: u64 = 20;

#[derive(Clone, Debug)]
enum Step {
    Mint(usize),
    Call(usize, usize),
    Recover(usize),
    Deliver(usize),
    Double(usize),
    Drop(usize),
    Run(usize, usize),
    Answer(usize, usize),
    LoseAnswer(usize, usize),
    Reply(usize),
    LoseLink(usize, usize),
    KillNode(usize),
    RestartHalf(usize),
    Unlist(usize),
    Deadline(usize),
    Wait(u64),
}

fn step() -> impl Strategy<Value = Step> {
    let any = 0..16_usize;
    prop_oneof![
        3 => (0..NODES).prop_map(Step::Mint),
        6 => (0..NODES, any.clone()).prop_map(|(n, t)| Step::Call(n, t)),
        2 => any.clone().prop_map(Step::Recover),
        8 => any.clone().prop_map(Step::Deliver),
        1 => any.clone().prop_map(Step::Double),
        1 => any.clone().prop_map(Step::Drop),
        8 => (0..HALVES, any.clone()).prop_map(|(h, i)| Step::Run(h, i)),
        4 => (0..HALVES, any.clone()).prop_map(|(h, i)| Step::Answer(h, i)),
        1 => (0..HALVES, any.clone()).prop_map(|(h, i)| Step::LoseAnswer(h, i)),
        6 => any.clone().prop_map(Step::Reply),
        3 => (0..NODES, 0..HALVES).prop_map(|(n, h)| Step::LoseLink(n, h)),
        1 => (0..NODES).prop_map(Step::KillNode),
        1 => (0..HALVES).prop_map(Step::RestartHalf),
        1 => (0..HALVES).prop_map(Step::Unlist),
        2 => any.prop_map(Step::Deadline),
        2 => (1..3_000_u64).prop_map(Step::Wait),
    ]
}

struct Node {
    incarnation: Incarnation,
    guard: Guard<u64>,
    router: Router,
    /// Calls in hand: their operation and deadline.
    calls: BTreeMap<CallId, Ticket>,
    out: BTreeMap<AttemptId, (CallId, usize)>,
}

struct Half {
    life: u64,
    started_ms: u64,
    fence: Fence<u64>,
    pending: Vec<(OpId, Sent)>,
    delivered: Vec<(OpId, Sent)>,
}

/// An attempt on the wire, with the lives of both its ends.
#[derive(Clone, Copy, Debug)]
struct Sent {
    node: usize,
    incarnation: Incarnation,
    attempt: AttemptId,
    half: usize,
    life: u64,
    operation: Operation,
}

#[derive(Clone, Copy)]
enum Back {
    Answered,
    Refused,
    Lost,
}

struct World {
    now_ms: u64,
    lives: u64,
    nodes: Vec<Node>,
    halves: Vec<Half>,
    tickets: Vec<Ticket>,
    wire: Vec<Sent>,
    back: Vec<(Sent, Back)>,
    ledger: HashMap<OpId, u32>,
    /// Operations whose last call was told "not run".
    told_not_run: BTreeSet<OpId>,
    /// When a half was last replaced or taken from the list.
    halves_changed_ms: u64,
    listed: BTreeSet<usize>,
}

impl World {
    fn new() -> Self {
        let mut world = World {
            now_ms: 100_000,
            lives: 0,
            nodes: Vec::new(),
            halves: Vec::new(),
            tickets: Vec::new(),
            wire: Vec::new(),
            back: Vec::new(),
            ledger: HashMap::new(),
            told_not_run: BTreeSet::new(),
            halves_changed_ms: 0,
            listed: (0..HALVES).collect(),
        };
        for _ in 0..NODES {
            let node = world.new_node();
            world.nodes.push(node);
        }
        for _ in 0..HALVES {
            let half = world.new_half();
            world.halves.push(half);
        }
        world.now_ms += 2 * SKEW_MS;
        world
    }

    fn new_node(&mut self) -> Node {
        self.lives += 1;
        let incarnation = Incarnation(self.lives);
        let limits = GuardLimits {
            retention_ms: RETENTION_MS,
            entries: 8,
            bytes: 1_000,
        };
        let params = RouterParams {
            selection: SelectionParams {
                policy: Policy::ExpectedFinish,
                ramp_us: 0,
                eject_failures: 1_000,
                eject_us: 1,
                prices: DistanceCosts::default(),
            },
            attempt_limit: 3,
            retry_budget: lynxcleat_policy::RetryParams {
                percent: 100,
                bound: None,
            },
            reroute_limit: 0,
        };
        let mut router = Router::new(params, self.lives, self.lives << 32);
        router.set_targets(0, &targets(&self.listed));
        Node {
            incarnation,
            guard: Guard::new(incarnation, "here".to_owned(), limits),
            router,
            calls: BTreeMap::new(),
            out: BTreeMap::new(),
        }
    }

    fn new_half(&mut self) -> Half {
        self.lives += 1;
        let limits = FenceLimits {
            retention_ms: RETENTION_MS,
            skew_ms: SKEW_MS,
            entries: 64,
            bytes: 1_000,
        };
        Half {
            life: self.lives,
            started_ms: self.now_ms,
            fence: Fence::new(self.now_ms, limits),
            pending: Vec::new(),
            delivered: Vec::new(),
        }
    }

    fn apply(&mut self, step: Step) {
        match step {
            Step::Mint(n) => {
                let ticket = self.nodes[n].guard.mint(self.now_ms);
                self.tickets.push(ticket);
            }
            Step::Call(n, t) => self.call(n, t),
            Step::Recover(t) => self.recover(t),
            Step::Deliver(i) => self.deliver(i, true),
            Step::Double(i) => self.deliver(i, false),
            Step::Drop(i) => {
                if !self.wire.is_empty() {
                    let i = i % self.wire.len();
                    self.wire.remove(i);
                }
            }
            Step::Run(h, i) => self.run(h, i),
            Step::Answer(h, i) => self.end_run(h, i, Back::Answered),
            Step::LoseAnswer(h, i) => self.end_run(h, i, Back::Lost),
            Step::Reply(i) => self.reply(i),
            Step::LoseLink(n, h) => self.lose_link(n, h),
            Step::KillNode(n) => {
                let node = self.new_node();
                self.nodes[n] = node;
            }
            Step::RestartHalf(h) => {
                self.halves_changed_ms = self.now_ms;
                self.halves[h] = self.new_half();
                for n in 0..NODES {
                    self.lose_link(n, h);
                }
            }
            Step::Unlist(h) => self.unlist(h),
            Step::Deadline(i) => self.deadline(i),
            Step::Wait(ms) => self.now_ms += ms,
        }
    }

    /// A half leaves the list and lives on; routers drop it.
    fn unlist(&mut self, h: usize) {
        if self.listed.len() == 1 || !self.listed.remove(&h) {
            return;
        }
        self.halves_changed_ms = self.now_ms;
        for node in &mut self.nodes {
            let now = self.now_ms * 1_000;
            node.router.set_targets(now, &targets(&self.listed));
        }
    }

    /// A caller uses a ticket at a node, which passes it on to the guard.
    fn call(&mut self, n: usize, t: usize) {
        if self.tickets.is_empty() {
            return;
        }
        let ticket = self.tickets[t % self.tickets.len()].clone();
        let guard = (0..NODES).find(|g| self.nodes[*g].incarnation == ticket.op.incarnation);
        let Some(n) = guard.or(Some(n)) else { return };
        if guard.is_none() {
            return self.recover(t);
        }
        // A new call is made on the operation's account.
        self.told_not_run.remove(&ticket.op);
        match self.nodes[n].guard.begin(self.now_ms, &ticket) {
            Begin::Run => {
                self.lives += 1;
                let call = CallId(self.lives);
                let node = &mut self.nodes[n];
                node.calls.insert(call, ticket);
                let deadline = (self.now_ms + 2_000) * 1_000;
                self.feed(
                    n,
                    Event::Arrived {
                        call,
                        deadline,
                        has_effects: true,
                        may_retry: true,
                        attempt_limit: None,
                        goal: None,
                        kind: lynxcleat_policy::CallKind::default(),
                    },
                );
            }
            Begin::Ran(_) => assert_eq!(self.runs(ticket.op), 1, "a stored answer of no run"),
            Begin::Running | Begin::Unknown => {}
            Begin::Refused(_) => self.tell_not_run(ticket.op),
        }
    }

    /// A node without the guard settles a ticket; the guard may be alive.
    fn recover(&mut self, t: usize) {
        if self.tickets.is_empty() {
            return;
        }
        let ticket = self.tickets[t % self.tickets.len()].clone();
        let all_known = self.halves_changed_ms < ticket.minted_ms;
        let mut recovery = Recovery::new(self.listed.clone(), all_known);
        let mut step = recovery.step::<u64>();
        for h in self.listed.clone() {
            let reply = self.halves[h].fence.fence(self.now_ms, operation(&ticket));
            step = recovery.replied(&h, reply);
            if matches!(step, RecoveryStep::Over(Outcome::Ran(_))) {
                break;
            }
        }
        match step {
            RecoveryStep::Over(Outcome::Ran(_)) => assert_eq!(self.runs(ticket.op), 1),
            RecoveryStep::Over(Outcome::NotRun) => {
                self.tell_not_run(ticket.op);
            }
            _ => {}
        }
    }

    fn deliver(&mut self, i: usize, take: bool) {
        if self.wire.is_empty() {
            return;
        }
        let i = i % self.wire.len();
        let sent = if take {
            self.wire.remove(i)
        } else {
            self.wire[i]
        };
        let half = &mut self.halves[sent.half];
        if half.life != sent.life {
            return;
        }
        match half.fence.admit(self.now_ms, sent.operation) {
            Admission::Pass => half.pending.push((sent.operation.op, sent)),
            Admission::Refused(RefusedOnce::Duplicate) => self.back.push((sent, Back::Lost)),
            Admission::Refused(_) => self.back.push((sent, Back::Refused)),
        }
    }

    /// The half writes a pending operation to its target, which runs it.
    fn run(&mut self, h: usize, i: usize) {
        let half = &mut self.halves[h];
        if half.pending.is_empty() {
            return;
        }
        let i = i % half.pending.len();
        let (op, sent) = half.pending.remove(i);
        if !half.fence.deliver(op) {
            self.back.push((sent, Back::Refused));
            return;
        }
        half.delivered.push((op, sent));
        let runs = self.ledger.entry(op).or_default();
        *runs += 1;
        assert_eq!(*runs, 1, "{op:?} ran twice");
        assert!(!self.told_not_run.contains(&op), "{op:?} ran after all");
    }

    fn end_run(&mut self, h: usize, i: usize, back: Back) {
        let half = &mut self.halves[h];
        if half.delivered.is_empty() {
            return;
        }
        let i = i % half.delivered.len();
        let (op, sent) = half.delivered.remove(i);
        match back {
            Back::Answered => half.fence.ran(op, 7, 1),
            _ => half.fence.lost(op),
        }
        self.back.push((sent, back));
    }

    fn reply(&mut self, i: usize) {
        if self.back.is_empty() {
            return;
        }
        let i = i % self.back.len();
        let (sent, back) = self.back.remove(i);
        let node = &mut self.nodes[sent.node];
        if node.incarnation != sent.incarnation || node.out.remove(&sent.attempt).is_none() {
            return;
        }
        let attempt = sent.attempt;
        let event = match back {
            Back::Answered => Event::Answered {
                attempt,
                status: AnswerStatus::Served,
                load: None,
                remote_us: 1,
                work_us: None,
            },
            Back::Refused => Event::Refused {
                attempt,
                refusal: Refusal {
                    reason: RefusalReason::Once,
                    retry_after_us: 1,
                },
                load: None,
            },
            Back::Lost => Event::TargetLost { attempt },
        };
        self.feed(sent.node, event);
    }

    /// What is on the wire may still arrive after the sender noticed the loss.
    fn lose_link(&mut self, n: usize, h: usize) {
        let lost: Vec<AttemptId> = self.nodes[n]
            .out
            .iter()
            .filter(|(_, (_, half))| *half == h)
            .map(|(attempt, _)| *attempt)
            .collect();
        for attempt in lost {
            self.feed(n, Event::LinkLost { attempt });
        }
    }

    fn deadline(&mut self, i: usize) {
        let n = i % NODES;
        if let Some(call) = self.nodes[n].calls.keys().next().copied() {
            self.feed(n, Event::DeadlineExpired { call });
        }
    }

    fn feed(&mut self, n: usize, event: Event) {
        let actions = self.nodes[n].router.on(self.now_ms * 1_000, event);
        for action in actions {
            match action {
                Action::Send {
                    call,
                    attempt,
                    target,
                    ..
                } => self.send(n, call, attempt, target.0 as usize),
                Action::Settle {
                    call,
                    attempt,
                    target,
                } => self.settle(n, call, attempt, target.0 as usize),
                Action::Cancel { attempt, .. } => {
                    self.nodes[n].out.remove(&attempt);
                }
                // A half may miss it; then the operation runs to its end.
                Action::Withdraw { .. } => {}
                Action::Finish { call, verdict } => self.finish(n, call, verdict),
            }
        }
    }

    fn send(&mut self, n: usize, call: CallId, attempt: AttemptId, half: usize) {
        let node = &mut self.nodes[n];
        node.out.insert(attempt, (call, half));
        self.wire.push(Sent {
            node: n,
            incarnation: node.incarnation,
            attempt,
            half,
            life: self.halves[half].life,
            operation: operation(&node.calls[&call]),
        });
    }

    /// The guard asks the half, if it is the same life that it sent to.
    fn settle(&mut self, n: usize, call: CallId, attempt: AttemptId, h: usize) {
        self.nodes[n].out.remove(&attempt);
        let ticket = self.nodes[n].calls[&call].clone();
        let sent_to = self
            .wire
            .iter()
            .chain(self.back.iter().map(|(sent, _)| sent));
        let same_life = sent_to
            .chain(self.halves[h].pending.iter().map(|(_, sent)| sent))
            .chain(self.halves[h].delivered.iter().map(|(_, sent)| sent))
            .filter(|sent| sent.attempt == attempt)
            .all(|sent| sent.life == self.halves[h].life);
        let reply = match same_life && self.halves[h].started_ms < ticket.minted_ms {
            true => self.halves[h].fence.fence(self.now_ms, operation(&ticket)),
            false => FenceReply::Unknown,
        };
        let settlement = match reply {
            FenceReply::Never => Settlement::NeverRan,
            FenceReply::Ran(_) => Settlement::Ran,
            _ => Settlement::Unknown,
        };
        self.feed(
            n,
            Event::Settled {
                attempt,
                settlement,
            },
        );
    }

    fn finish(&mut self, n: usize, call: CallId, verdict: Verdict) {
        let Some(ticket) = self.nodes[n].calls.remove(&call) else {
            return;
        };
        let op = ticket.op;
        let outcome = match verdict {
            Verdict::Answer { .. } => {
                assert_eq!(self.runs(op), 1, "an answer of no run");
                Outcome::Ran(7)
            }
            Verdict::NotRun { .. } => {
                self.tell_not_run(op);
                Outcome::NotRun
            }
            Verdict::Unknown { .. } => Outcome::Unknown,
        };
        self.nodes[n].guard.finished(op, outcome, 1);
    }

    fn tell_not_run(&mut self, op: OpId) {
        assert_eq!(self.runs(op), 0, "{op:?} was told not run, and had run");
        self.told_not_run.insert(op);
    }

    fn runs(&self, op: OpId) -> u32 {
        self.ledger.get(&op).copied().unwrap_or_default()
    }
}

fn targets(listed: &BTreeSet<usize>) -> Vec<(TargetId, f64)> {
    let ids = listed.iter().map(|h| TargetId(*h as u32));
    ids.map(|id| (id, 100.0)).collect()
}

fn operation(ticket: &Ticket) -> Operation {
    Operation {
        op: ticket.op,
        minted_ms: Some(ticket.minted_ms),
        keep_ms: RETENTION_MS,
    }
}

proptest! {
    #![proptest_config(Config {
        cases: 20_000,
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..Config::default()
    })]

    #[test]
    fn no_operation_runs_twice_and_not_run_is_true(
        steps in prop::collection::vec(step(), 1..160)
    ) {
        let mut world = World::new();
        for step in steps {
            world.apply(step);
        }
    }
}
