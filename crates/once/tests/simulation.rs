//! Randomized simulation of guards, fences and recovery together with the router. It
//! counts the runs of each operation at the targets, and checks that no operation runs
//! twice, and that none whose call was reported as not run has run or runs later for
//! that call.
//!
//! The simulation delivers, delays, duplicates and drops messages, loses links, restarts
//! daemons, and lets a guard that was presumed lost resume, in any order.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use lynxcleat_once::{
    Admission, BeginResult, Fence, FenceLimits, FenceRefusal, FenceReply, Guard, GuardLimits,
    Incarnation, OpId, Operation, Outcome, Recovery, RecoveryStatus, Ticket,
};
use lynxcleat_policy::{
    Action, AnswerStatus, AttemptId, CallId, DistanceCosts, Event, Policy, Refusal, RefusalReason,
    Router, RouterParams, SelectionParams, Settlement, TargetId, Verdict,
};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

const NODES: usize = 2;
const TARGETS: usize = 2;
const RETENTION_MS: u64 = 5_000;
const SKEW_MS: u64 = 20;

#[derive(Clone, Debug)]
enum Step {
    Mint(usize),
    Call(usize, usize),
    Recover(usize),
    DeliverRequest(usize),
    DuplicateRequest(usize),
    DropRequest(usize),
    Run(usize, usize),
    Answer(usize, usize),
    LoseAnswer(usize, usize),
    DeliverReply(usize),
    LoseLink(usize, usize),
    RestartNode(usize),
    RestartTarget(usize),
    RemoveFromHostList(usize),
    Deadline(usize),
    Wait(u64),
}

fn step() -> impl Strategy<Value = Step> {
    let any = 0..16_usize;
    prop_oneof![
        3 => (0..NODES).prop_map(Step::Mint),
        6 => (0..NODES, any.clone()).prop_map(|(node, ticket)| Step::Call(node, ticket)),
        2 => any.clone().prop_map(Step::Recover),
        8 => any.clone().prop_map(Step::DeliverRequest),
        1 => any.clone().prop_map(Step::DuplicateRequest),
        1 => any.clone().prop_map(Step::DropRequest),
        8 => (0..TARGETS, any.clone()).prop_map(|(target, index)| Step::Run(target, index)),
        4 => (0..TARGETS, any.clone()).prop_map(|(target, index)| Step::Answer(target, index)),
        1 => (0..TARGETS, any.clone()).prop_map(|(target, index)| Step::LoseAnswer(target, index)),
        6 => any.clone().prop_map(Step::DeliverReply),
        3 => (0..NODES, 0..TARGETS).prop_map(|(node, target)| Step::LoseLink(node, target)),
        1 => (0..NODES).prop_map(Step::RestartNode),
        1 => (0..TARGETS).prop_map(Step::RestartTarget),
        1 => (0..TARGETS).prop_map(Step::RemoveFromHostList),
        2 => any.prop_map(Step::Deadline),
        2 => (1..3_000_u64).prop_map(Step::Wait),
    ]
}

struct Node {
    incarnation: Incarnation,
    guard: Guard<u64>,
    router: Router,
    /// Calls in progress, and their tickets.
    calls: BTreeMap<CallId, Ticket>,
    outstanding: BTreeMap<AttemptId, (CallId, usize)>,
}

struct TargetDaemon {
    incarnation: u64,
    started_ms: u64,
    fence: Fence<u64>,
    pending: Vec<(OpId, Request)>,
    delivered: Vec<(OpId, Request)>,
}

/// An attempt in transit, with the incarnations of its sender and its receiver.
#[derive(Clone, Copy, Debug)]
struct Request {
    node: usize,
    sender_incarnation: Incarnation,
    attempt: AttemptId,
    target: usize,
    receiver_incarnation: u64,
    operation: Operation,
}

#[derive(Clone, Copy)]
enum Reply {
    Answered,
    Refused,
    Lost,
}

struct Simulation {
    now_ms: u64,
    last_id: u64,
    nodes: Vec<Node>,
    targets: Vec<TargetDaemon>,
    tickets: Vec<Ticket>,
    requests: Vec<Request>,
    replies: Vec<(Request, Reply)>,
    run_counts: HashMap<OpId, u32>,
    /// Operations whose last call was reported as not run.
    reported_not_run: BTreeSet<OpId>,
    /// When a target's daemon was last restarted, or removed from the host list.
    targets_changed_ms: u64,
    listed: BTreeSet<usize>,
}

impl Simulation {
    fn new() -> Self {
        let mut simulation = Simulation {
            now_ms: 100_000,
            last_id: 0,
            nodes: Vec::new(),
            targets: Vec::new(),
            tickets: Vec::new(),
            requests: Vec::new(),
            replies: Vec::new(),
            run_counts: HashMap::new(),
            reported_not_run: BTreeSet::new(),
            targets_changed_ms: 0,
            listed: (0..TARGETS).collect(),
        };
        for _ in 0..NODES {
            let node = simulation.new_node();
            simulation.nodes.push(node);
        }
        for _ in 0..TARGETS {
            let target = simulation.new_target();
            simulation.targets.push(target);
        }
        simulation.now_ms += 2 * SKEW_MS;
        simulation
    }

    fn new_node(&mut self) -> Node {
        self.last_id += 1;
        let incarnation = Incarnation(self.last_id);
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
        let mut router = Router::new(params, self.last_id, self.last_id << 32);
        router.set_targets(0, &router_targets(&self.listed));
        Node {
            incarnation,
            guard: Guard::new(incarnation, "here".to_owned(), limits),
            router,
            calls: BTreeMap::new(),
            outstanding: BTreeMap::new(),
        }
    }

    fn new_target(&mut self) -> TargetDaemon {
        self.last_id += 1;
        let limits = FenceLimits {
            retention_ms: RETENTION_MS,
            skew_ms: SKEW_MS,
            entries: 64,
            bytes: 1_000,
        };
        TargetDaemon {
            incarnation: self.last_id,
            started_ms: self.now_ms,
            fence: Fence::new(self.now_ms, limits),
            pending: Vec::new(),
            delivered: Vec::new(),
        }
    }

    fn apply(&mut self, step: Step) {
        match step {
            Step::Mint(node_index) => {
                let ticket = self.nodes[node_index].guard.mint(self.now_ms);
                self.tickets.push(ticket);
            }
            Step::Call(node_index, ticket_index) => self.call(node_index, ticket_index),
            Step::Recover(ticket_index) => self.recover(ticket_index),
            Step::DeliverRequest(index) => self.deliver_request(index, true),
            Step::DuplicateRequest(index) => self.deliver_request(index, false),
            Step::DropRequest(index) => {
                if !self.requests.is_empty() {
                    let index = index % self.requests.len();
                    self.requests.remove(index);
                }
            }
            Step::Run(target_index, index) => self.run(target_index, index),
            Step::Answer(target_index, index) => self.end_run(target_index, index, Reply::Answered),
            Step::LoseAnswer(target_index, index) => self.end_run(target_index, index, Reply::Lost),
            Step::DeliverReply(index) => self.deliver_reply(index),
            Step::LoseLink(node_index, target_index) => self.lose_link(node_index, target_index),
            Step::RestartNode(node_index) => {
                let node = self.new_node();
                self.nodes[node_index] = node;
            }
            Step::RestartTarget(target_index) => {
                self.targets_changed_ms = self.now_ms;
                self.targets[target_index] = self.new_target();
                for node_index in 0..NODES {
                    self.lose_link(node_index, target_index);
                }
            }
            Step::RemoveFromHostList(target_index) => self.remove_from_host_list(target_index),
            Step::Deadline(index) => self.deadline(index),
            Step::Wait(ms) => self.now_ms += ms,
        }
    }

    /// Removes a target from the host list and from the routers. Its daemon keeps running.
    fn remove_from_host_list(&mut self, target_index: usize) {
        if self.listed.len() == 1 || !self.listed.remove(&target_index) {
            return;
        }
        self.targets_changed_ms = self.now_ms;
        for node in &mut self.nodes {
            let now = self.now_ms * 1_000;
            node.router.set_targets(now, &router_targets(&self.listed));
        }
    }

    /// A caller uses a ticket at a node, which forwards it to the guard.
    fn call(&mut self, node_index: usize, ticket_index: usize) {
        if self.tickets.is_empty() {
            return;
        }
        let ticket = self.tickets[ticket_index % self.tickets.len()].clone();
        let guard = (0..NODES).find(|node| self.nodes[*node].incarnation == ticket.op.incarnation);
        let Some(node_index) = guard.or(Some(node_index)) else {
            return;
        };
        if guard.is_none() {
            return self.recover(ticket_index);
        }
        // This call may run the operation, whatever an earlier call was told.
        self.reported_not_run.remove(&ticket.op);
        match self.nodes[node_index].guard.begin(self.now_ms, &ticket) {
            BeginResult::Run => {
                self.last_id += 1;
                let call = CallId(self.last_id);
                let node = &mut self.nodes[node_index];
                node.calls.insert(call, ticket);
                let deadline = (self.now_ms + 2_000) * 1_000;
                self.handle_event(
                    node_index,
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
            BeginResult::Ran(_) => assert_eq!(
                self.runs(ticket.op),
                1,
                "an answer is stored, but the operation did not run once"
            ),
            BeginResult::Running | BeginResult::Unknown => {}
            BeginResult::Refused(_) => self.report_not_run(ticket.op),
        }
    }

    /// A node that cannot reach the guard recovers the outcome. The guard may be alive.
    fn recover(&mut self, ticket_index: usize) {
        if self.tickets.is_empty() {
            return;
        }
        let ticket = self.tickets[ticket_index % self.tickets.len()].clone();
        let targets_complete = self.targets_changed_ms < ticket.minted_ms;
        let mut recovery = Recovery::new(self.listed.clone(), targets_complete);
        let mut status = recovery.status::<u64>();
        for target_index in self.listed.clone() {
            let reply = self.targets[target_index]
                .fence
                .fence(self.now_ms, operation(&ticket));
            status = recovery.replied(&target_index, reply);
            if matches!(status, RecoveryStatus::Done(Outcome::Ran(_))) {
                break;
            }
        }
        match status {
            RecoveryStatus::Done(Outcome::Ran(_)) => assert_eq!(self.runs(ticket.op), 1),
            RecoveryStatus::Done(Outcome::NotRun) => {
                self.report_not_run(ticket.op);
            }
            _ => {}
        }
    }

    fn deliver_request(&mut self, index: usize, remove: bool) {
        if self.requests.is_empty() {
            return;
        }
        let index = index % self.requests.len();
        let request = if remove {
            self.requests.remove(index)
        } else {
            self.requests[index]
        };
        let target = &mut self.targets[request.target];
        if target.incarnation != request.receiver_incarnation {
            return;
        }
        match target.fence.admit(self.now_ms, request.operation) {
            Admission::Admitted => target.pending.push((request.operation.op, request)),
            Admission::Refused(FenceRefusal::Duplicate) => {
                self.replies.push((request, Reply::Lost))
            }
            Admission::Refused(_) => self.replies.push((request, Reply::Refused)),
        }
    }

    /// A target's daemon writes a pending operation to its target, which runs it.
    fn run(&mut self, target_index: usize, index: usize) {
        let target = &mut self.targets[target_index];
        if target.pending.is_empty() {
            return;
        }
        let index = index % target.pending.len();
        let (op, request) = target.pending.remove(index);
        if !target.fence.deliver(op) {
            self.replies.push((request, Reply::Refused));
            return;
        }
        target.delivered.push((op, request));
        let runs = self.run_counts.entry(op).or_default();
        *runs += 1;
        assert_eq!(*runs, 1, "{op:?} ran twice");
        assert!(
            !self.reported_not_run.contains(&op),
            "{op:?} ran after it was reported as not run"
        );
    }

    fn end_run(&mut self, target_index: usize, index: usize, reply: Reply) {
        let target = &mut self.targets[target_index];
        if target.delivered.is_empty() {
            return;
        }
        let index = index % target.delivered.len();
        let (op, request) = target.delivered.remove(index);
        match reply {
            Reply::Answered => target.fence.ran(op, 7, 1),
            _ => target.fence.lost(op),
        }
        self.replies.push((request, reply));
    }

    fn deliver_reply(&mut self, index: usize) {
        if self.replies.is_empty() {
            return;
        }
        let index = index % self.replies.len();
        let (request, reply) = self.replies.remove(index);
        let node = &mut self.nodes[request.node];
        if node.incarnation != request.sender_incarnation
            || node.outstanding.remove(&request.attempt).is_none()
        {
            return;
        }
        let attempt = request.attempt;
        let event = match reply {
            Reply::Answered => Event::Answered {
                attempt,
                status: AnswerStatus::Served,
                load: None,
                remote_us: 1,
                work_us: None,
            },
            Reply::Refused => Event::Refused {
                attempt,
                refusal: Refusal {
                    reason: RefusalReason::Once,
                    retry_after_us: 1,
                },
                load: None,
            },
            Reply::Lost => Event::TargetLost { attempt },
        };
        self.handle_event(request.node, event);
    }

    /// Requests in transit may still arrive after the sender noticed the loss.
    fn lose_link(&mut self, node_index: usize, target_index: usize) {
        let lost: Vec<AttemptId> = self.nodes[node_index]
            .outstanding
            .iter()
            .filter(|(_, (_, target))| *target == target_index)
            .map(|(attempt, _)| *attempt)
            .collect();
        for attempt in lost {
            self.handle_event(node_index, Event::LinkLost { attempt });
        }
    }

    fn deadline(&mut self, index: usize) {
        let node_index = index % NODES;
        if let Some(call) = self.nodes[node_index].calls.keys().next().copied() {
            self.handle_event(node_index, Event::DeadlineExpired { call });
        }
    }

    fn handle_event(&mut self, node_index: usize, event: Event) {
        let actions = self.nodes[node_index].router.on(self.now_ms * 1_000, event);
        for action in actions {
            match action {
                Action::Send {
                    call,
                    attempt,
                    target,
                    ..
                } => self.send(node_index, call, attempt, target.0 as usize),
                Action::Settle {
                    call,
                    attempt,
                    target,
                } => self.settle(node_index, call, attempt, target.0 as usize),
                Action::Cancel { attempt, .. } => {
                    self.nodes[node_index].outstanding.remove(&attempt);
                }
                // A withdrawal may be lost; the operation then runs to its end.
                Action::Withdraw { .. } => {}
                Action::Finish { call, verdict } => self.finish(node_index, call, verdict),
            }
        }
    }

    fn send(&mut self, node_index: usize, call: CallId, attempt: AttemptId, target: usize) {
        let node = &mut self.nodes[node_index];
        node.outstanding.insert(attempt, (call, target));
        self.requests.push(Request {
            node: node_index,
            sender_incarnation: node.incarnation,
            attempt,
            target,
            receiver_incarnation: self.targets[target].incarnation,
            operation: operation(&node.calls[&call]),
        });
    }

    /// The guard asks the target's daemon, if it is the incarnation that it sent to.
    fn settle(&mut self, node_index: usize, call: CallId, attempt: AttemptId, target_index: usize) {
        self.nodes[node_index].outstanding.remove(&attempt);
        let ticket = self.nodes[node_index].calls[&call].clone();
        let requests_and_replies = self
            .requests
            .iter()
            .chain(self.replies.iter().map(|(request, _)| request));
        let same_incarnation = requests_and_replies
            .chain(
                self.targets[target_index]
                    .pending
                    .iter()
                    .map(|(_, request)| request),
            )
            .chain(
                self.targets[target_index]
                    .delivered
                    .iter()
                    .map(|(_, request)| request),
            )
            .filter(|request| request.attempt == attempt)
            .all(|request| request.receiver_incarnation == self.targets[target_index].incarnation);
        let reply =
            match same_incarnation && self.targets[target_index].started_ms < ticket.minted_ms {
                true => self.targets[target_index]
                    .fence
                    .fence(self.now_ms, operation(&ticket)),
                false => FenceReply::Unknown,
            };
        let settlement = match reply {
            FenceReply::Never => Settlement::NeverRan,
            FenceReply::Ran(_) => Settlement::Ran,
            _ => Settlement::Unknown,
        };
        self.handle_event(
            node_index,
            Event::Settled {
                attempt,
                settlement,
            },
        );
    }

    fn finish(&mut self, node_index: usize, call: CallId, verdict: Verdict) {
        let Some(ticket) = self.nodes[node_index].calls.remove(&call) else {
            return;
        };
        let op = ticket.op;
        let outcome = match verdict {
            Verdict::Answer { .. } => {
                assert_eq!(
                    self.runs(op),
                    1,
                    "the call was answered, but the operation did not run once"
                );
                Outcome::Ran(7)
            }
            Verdict::NotRun { .. } => {
                self.report_not_run(op);
                Outcome::NotRun
            }
            Verdict::Unknown { .. } => Outcome::Unknown,
        };
        self.nodes[node_index].guard.finished(op, outcome, 1);
    }

    fn report_not_run(&mut self, op: OpId) {
        assert_eq!(
            self.runs(op),
            0,
            "{op:?} was reported as not run, but had run"
        );
        self.reported_not_run.insert(op);
    }

    fn runs(&self, op: OpId) -> u32 {
        self.run_counts.get(&op).copied().unwrap_or_default()
    }
}

fn router_targets(listed: &BTreeSet<usize>) -> Vec<(TargetId, f64)> {
    let ids = listed
        .iter()
        .map(|target_index| TargetId(*target_index as u32));
    ids.map(|id| (id, 100.0)).collect()
}

fn operation(ticket: &Ticket) -> Operation {
    Operation {
        op: ticket.op,
        minted_ms: Some(ticket.minted_ms),
        validity_ms: RETENTION_MS,
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
        let mut simulation = Simulation::new();
        for step in steps {
            simulation.apply(step);
        }
    }
}
