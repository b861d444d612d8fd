//! Fleets in virtual time whose members are lost and whose connections fall silent while settings
//! change, with the decisions that ship: who asks the store when, and what a report counts for.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

use lynxcleat_policy::{
    Candidate, Location, OTHER_ZONE_NEIGHBOURS, SAME_ZONE_NEIGHBOURS, TargetId, neighbours, rank,
};
use lynxcleat_store::{
    FeedLimits, FeedRole, Follower, KnowledgeReport, RowStoreError, StoreWatch, VersionedRows,
    WatcherPoll,
};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};

/// Time within which a change has to be in force, and without trouble after which members are bound
/// to it again.
const IN_FORCE: Duration = Duration::from_secs(2);
const CONTACT: Duration = Duration::from_secs(3);
/// Time that is played before the first event: the fleet has started.
const START: Duration = Duration::from_secs(4);
/// Time that is played after the last event.
const REST: Duration = Duration::from_secs(6);
/// Zones of the fleet.
const ZONES: usize = 3;
/// Longest time for an answer beyond the wait that was asked for.
const ANSWER_LIMIT: Duration = Duration::from_secs(1);
/// Wait of a call of a follower.
const FOLLOWER_WAIT: Duration = Duration::from_secs(15);
/// Time of a message between members, and of a call to the store, in microseconds.
const MESSAGE_US: (u64, u64) = (300, 15_000);
const STORE_US: (u64, u64) = (2_000, 12_000);
/// Time to copy and apply settings, in microseconds.
const COPY_US: (u64, u64) = (2_000, 60_000);
/// Part of the copies that bring nothing, and the time that such a one takes.
const COPY_FAILS: f64 = 0.3;
const COPY_LIMIT: Duration = Duration::from_secs(1);
/// Time until links to lost members are made up for by others, in microseconds.
const RELINK_US: (u64, u64) = (300_000, 5_000_000);

/// What happens to a fleet.
#[derive(Clone, Debug)]
enum Event {
    /// Settings are accepted.
    Accept,
    /// So many percent of those left are lost, those that poll the store first or not.
    Lose { percent: usize, pollers_first: bool },
    /// Open connections to the store fall silent, links between members, or both.
    Silence { store: bool, links: bool },
    /// The store fails all calls for a time, with an error or without a word.
    Fail { ms: u64, is_silent: bool },
    /// The store answers late for a time.
    Slow { ms: u64, late_ms: u64 },
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        6 => Just(Event::Accept),
        4 => (prop_oneof![Just(10_usize), Just(50), Just(90), Just(100)], any::<bool>())
            .prop_map(|(percent, pollers_first)| Event::Lose { percent, pollers_first }),
        2 => (any::<bool>(), any::<bool>()).prop_map(|(store, links)| Event::Silence { store: store || !links, links }),
        1 => (100_u64..3_000, any::<bool>()).prop_map(|(ms, is_silent)| Event::Fail { ms, is_silent }),
        1 => (100_u64..3_000, 20_u64..1_500).prop_map(|(ms, late_ms)| Event::Slow { ms, late_ms }),
    ]
}

/// Pauses before events, in milliseconds: often none, so that they fall at the same moment.
fn pause_ms() -> impl Strategy<Value = u64> {
    prop_oneof![2 => Just(0_u64), 3 => 1_u64..400, 3 => 400_u64..4_000]
}

/// A call to the store.
struct Call {
    id: u64,
    /// Whether its connection says nothing more.
    is_dead: bool,
    /// Whether its answer is on its way.
    is_answered: bool,
    after: u64,
}

struct Member {
    rank: usize,
    is_lost: bool,
    watch: StoreWatch,
    follower: Follower,
    generation: u64,
    call: Option<Call>,
    links: Vec<usize>,
    is_copying: bool,
}

#[derive(Clone, Debug)]
enum Step {
    /// A member decides whether to ask the store.
    Look(usize),
    /// A call that may have become overdue, by its number.
    Overdue(usize, u64),
    /// The wait of a call ends.
    WaitEnds(usize, u64),
    Answer {
        member: usize,
        call: u64,
        generation: u64,
    },
    CallFails(usize, u64),
    Message {
        from: usize,
        to: usize,
        report: KnowledgeReport,
        poll: Option<WatcherPoll>,
    },
    Copied {
        member: usize,
        from: usize,
    },
    CopyFails(usize),
    Relink,
    Happens(usize),
    StoreIsBack,
}

struct Fleet {
    candidates: Vec<Candidate>,
    members: Vec<Member>,
    events: Vec<Event>,
    now: Duration,
    steps: BTreeMap<u64, Step>,
    queue: BinaryHeap<Reverse<(Duration, u64)>>,
    numbers: u64,
    rng: SmallRng,
    /// When each generation was accepted, from 1 on.
    accepted: Vec<Duration>,
    /// Trouble that excuses all, with its end.
    excused_until: Vec<(Duration, Duration)>,
    is_failing: Option<bool>,
    late: Duration,
    troubles: usize,
    broken: Vec<String>,
    calls: u64,
}

impl Fleet {
    fn new(count: usize, seed: u64, events: Vec<(u64, Event)>) -> Self {
        let candidates: Vec<Candidate> = (0..count).map(|number| candidate(number, seed)).collect();
        let hosts = || candidates.iter().map(|one| one.host.as_str());
        let members = candidates
            .iter()
            .map(|one| Member {
                rank: rank(&one.host, hosts()),
                is_lost: false,
                watch: StoreWatch::new(FeedLimits::within(IN_FORCE)),
                follower: Follower::default(),
                generation: 1,
                call: None,
                links: Vec::new(),
                is_copying: false,
            })
            .collect();
        let mut fleet = Fleet {
            candidates,
            members,
            events: Vec::new(),
            now: Duration::ZERO,
            steps: BTreeMap::new(),
            queue: BinaryHeap::new(),
            numbers: 0,
            rng: SmallRng::seed_from_u64(seed),
            accepted: vec![Duration::ZERO],
            excused_until: Vec::new(),
            is_failing: None,
            late: Duration::ZERO,
            troubles: 0,
            broken: Vec::new(),
            calls: 0,
        };
        fleet.relink();
        for member in 0..count {
            fleet.after(Duration::ZERO, Step::Look(member));
        }
        let mut at = START;
        for (number, (pause, event)) in events.into_iter().enumerate() {
            at += Duration::from_millis(pause);
            fleet.events.push(event);
            fleet.after(at, Step::Happens(number));
        }
        fleet
    }

    fn after(&mut self, pause: Duration, step: Step) {
        self.numbers += 1;
        self.steps.insert(self.numbers, step);
        self.queue.push(Reverse((self.now + pause, self.numbers)));
    }

    fn draw(&mut self, (least, most): (u64, u64)) -> Duration {
        Duration::from_micros(self.rng.random_range(least..=most))
    }

    fn play(&mut self, until: Duration) {
        while let Some(Reverse((at, number))) = self.queue.pop() {
            if at > until {
                break;
            }
            self.check(at);
            self.now = at;
            if let Some(step) = self.steps.remove(&number) {
                self.step(step);
            }
        }
    }

    /// Everybody who is left has in force what was accepted long enough ago.
    fn check(&mut self, until: Duration) {
        let excused = |at: Duration| {
            self.excused_until
                .iter()
                .any(|(begun, ended)| *begun <= at && at <= *ended + CONTACT)
        };
        if excused(until) || excused(self.now) {
            return;
        }
        let bound = self.accepted.iter().rposition(|at| *at + IN_FORCE < until);
        let Some(generation) = bound.map(|index| index as u64 + 1) else {
            return;
        };
        let behind = self
            .members
            .iter()
            .enumerate()
            .filter(|(_, one)| !one.is_lost && one.generation < generation);
        for (number, member) in behind {
            self.broken.push(format!(
                "{until:?}: member {number} of rank {} has {} of {generation}",
                member.rank, member.generation
            ));
        }
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Look(member) => self.look(member),
            Step::Overdue(member, call) => self.overdue(member, call),
            Step::WaitEnds(member, call) => self.wait_ends(member, call),
            Step::Answer {
                member,
                call,
                generation,
            } => self.answered(member, call, generation),
            Step::CallFails(member, call) => self.failed(member, call),
            Step::Message {
                from,
                to,
                report,
                poll,
            } => self.told(from, to, report, poll),
            Step::Copied { member, from } => self.copied(member, from),
            Step::CopyFails(member) => self.members[member].is_copying = false,
            Step::Relink => self.relink(),
            Step::Happens(number) => self.happens(self.events[number].clone()),
            Step::StoreIsBack => self.store_is_back(),
        }
    }

    fn look(&mut self, number: usize) {
        let now = self.now;
        let member = &mut self.members[number];
        if member.is_lost || member.call.is_some() {
            return;
        }
        let left = member.watch.time_until_overdue(now, member.rank);
        if left.is_zero() {
            member.watch.step_in(now, member.rank);
            return self.ask(number, Some(Duration::ZERO));
        }
        match member.watch.role(member.rank) {
            FeedRole::Watch => {
                let poll = member.watch.limits().poll;
                self.ask(number, Some(poll));
            }
            FeedRole::Follow => self.ask(number, None),
            FeedRole::Listen => self.after(left, Step::Look(number)),
        }
    }

    fn ask(&mut self, number: usize, usual: Option<Duration>) {
        self.calls += 1;
        self.numbers += 1;
        let id = self.numbers;
        let member = &mut self.members[number];
        let wait = member.follower.next_wait(usual).min(FOLLOWER_WAIT);
        let left = member.watch.time_until_overdue(self.now, member.rank);
        member.call = Some(Call {
            id,
            is_dead: self.is_failing == Some(true),
            is_answered: false,
            after: member.generation,
        });
        if !left.is_zero() {
            self.after(left, Step::Overdue(number, id));
        }
        let limit = wait + ANSWER_LIMIT;
        self.after(limit, Step::CallFails(number, id));
        match self.is_failing {
            Some(true) => {}
            Some(false) => {
                let pause = self.draw(STORE_US);
                self.after(pause, Step::CallFails(number, id));
            }
            None if self.members[number].generation < self.accepted.len() as u64 => {
                self.answer(number);
            }
            None => self.after(wait, Step::WaitEnds(number, id)),
        }
    }

    /// The store answers a call that it has, unless it is on a connection that says nothing more.
    fn answer(&mut self, number: usize) {
        let pause = self.draw(STORE_US) + self.late;
        let generation = self.accepted.len() as u64;
        let Some(call) = &mut self.members[number].call else {
            return;
        };
        if call.is_dead || std::mem::replace(&mut call.is_answered, true) {
            return;
        }
        let call = call.id;
        self.after(
            pause,
            Step::Answer {
                member: number,
                call,
                generation,
            },
        );
    }

    fn has_call(&self, number: usize, id: u64) -> bool {
        let member = &self.members[number];
        !member.is_lost && member.call.as_ref().is_some_and(|call| call.id == id)
    }

    fn wait_ends(&mut self, number: usize, id: u64) {
        if self.has_call(number, id) {
            self.answer(number);
        }
    }

    fn overdue(&mut self, number: usize, id: u64) {
        if !self.has_call(number, id) {
            return;
        }
        let member = &mut self.members[number];
        let left = member.watch.time_until_overdue(self.now, member.rank);
        if !left.is_zero() {
            return self.after(left, Step::Overdue(number, id));
        }
        member.call = None;
        self.look(number);
    }

    fn answered(&mut self, number: usize, id: u64, generation: u64) {
        let is_dead = |call: &Call| call.is_dead;
        if !self.has_call(number, id) || self.members[number].call.as_ref().is_some_and(is_dead) {
            return;
        }
        let member = &mut self.members[number];
        let after = member.call.take().expect("a call").after;
        member.follower.apply_changes(VersionedRows::default());
        let has_news = generation > after.max(member.generation);
        member.generation = member.generation.max(generation);
        member.watch.put_in_force(member.generation);
        member.watch.record_response(self.now, member.rank);
        let is_due = member.watch.take_report();
        if is_due || has_news {
            self.tell(number, None);
        }
        self.look(number);
    }

    fn failed(&mut self, number: usize, id: u64) {
        if !self.has_call(number, id) {
            return;
        }
        let member = &mut self.members[number];
        member.call = None;
        let error = RowStoreError::Unanswered(String::new());
        let pause = member.follower.record_failure(&error);
        let jitter = self.rng.random_range(0.75..1.25);
        self.after(pause.mul_f64(jitter), Step::Look(number));
    }

    fn tell(&mut self, from: usize, except: Option<usize>) {
        let sender = &self.members[from];
        let age = sender.watch.age(self.now);
        let report = KnowledgeReport {
            as_of: self.now.saturating_sub(age),
            generation: sender.generation,
        };
        let poll = sender.watch.first_poll(self.now);
        for to in sender.links.clone() {
            if Some(to) != except {
                let pause = self.draw(MESSAGE_US);
                self.after(
                    pause,
                    Step::Message {
                        from,
                        to,
                        report,
                        poll,
                    },
                );
            }
        }
    }

    fn is_linked(&self, one: usize, other: usize) -> bool {
        self.members[one].links.contains(&other) && !self.members[other].is_lost
    }

    fn told(&mut self, from: usize, to: usize, report: KnowledgeReport, poll: Option<WatcherPoll>) {
        if self.members[to].is_lost || !self.is_linked(to, from) {
            return;
        }
        let member = &mut self.members[to];
        member.watch.record_report(report, member.generation);
        if let Some(poll) = poll {
            member.watch.record_poll(member.rank, poll);
        }
        if report.generation > member.generation && !member.is_copying {
            member.is_copying = true;
            let copied = Step::Copied { member: to, from };
            match self.rng.random_bool(COPY_FAILS) {
                true => self.after(COPY_LIMIT, Step::CopyFails(to)),
                false => {
                    let pause = self.draw(COPY_US);
                    self.after(pause, copied);
                }
            }
        } else if member.watch.take_report() {
            self.tell(to, Some(from));
        }
    }

    fn copied(&mut self, number: usize, from: usize) {
        self.members[number].is_copying = false;
        if self.members[number].is_lost || !self.is_linked(number, from) {
            return;
        }
        let generation = self.members[from].generation;
        let as_of = self
            .now
            .saturating_sub(self.members[from].watch.age(self.now));
        let member = &mut self.members[number];
        let is_news = generation > member.generation;
        member
            .watch
            .record_report(KnowledgeReport { as_of, generation }, member.generation);
        member.generation = member.generation.max(generation);
        member.watch.put_in_force(member.generation);
        let is_due = member.watch.take_report();
        if is_news || is_due {
            self.tell(number, Some(from));
        }
    }

    /// Each member that is left has links to neighbours that are left, and reports on them.
    fn relink(&mut self) {
        let left: Vec<Candidate> = self
            .candidates
            .iter()
            .zip(&self.members)
            .filter(|(_, member)| !member.is_lost)
            .map(|(one, _)| one.clone())
            .collect();
        self.members.iter_mut().for_each(|one| one.links.clear());
        for one in &left {
            let here = Location {
                host: &one.host,
                place: &one.place,
                zone: &one.zone,
                region: &one.region,
            };
            let order = neighbours(here, &left);
            let near = order.same_zone.iter().take(SAME_ZONE_NEIGHBOURS);
            let far = order.other_zones.iter().take(OTHER_ZONE_NEIGHBOURS);
            for other in near.chain(far) {
                let (one, other) = (one.target.0 as usize, other.0 as usize);
                for (one, other) in [(one, other), (other, one)] {
                    if !self.members[one].links.contains(&other) {
                        self.members[one].links.push(other);
                    }
                }
            }
        }
        for one in &left {
            self.tell(one.target.0 as usize, None);
        }
    }

    fn happens(&mut self, event: Event) {
        match event {
            Event::Accept => {
                self.accepted.push(self.now);
                if self.is_failing.is_none() {
                    (0..self.members.len()).for_each(|member| self.answer(member));
                }
            }
            Event::Lose {
                percent,
                pollers_first,
            } => self.lose(percent, pollers_first),
            Event::Silence { store, links } => self.silence(store, links),
            Event::Fail { ms, is_silent } => {
                self.is_failing = Some(is_silent);
                self.trouble_for(ms);
                for number in 0..self.members.len() {
                    let Some(call) = &mut self.members[number].call else {
                        continue;
                    };
                    call.is_dead = true;
                    let call = call.id;
                    if !is_silent {
                        self.after(Duration::from_millis(1), Step::CallFails(number, call));
                    }
                }
            }
            Event::Slow { ms, late_ms } => {
                self.late = Duration::from_millis(late_ms);
                self.trouble_for(ms);
            }
        }
    }

    fn trouble_for(&mut self, ms: u64) {
        let pause = Duration::from_millis(ms);
        self.excused_until.push((self.now, self.now + pause));
        self.troubles += 1;
        self.after(pause, Step::StoreIsBack);
    }

    fn store_is_back(&mut self) {
        self.troubles -= 1;
        if self.troubles == 0 {
            self.is_failing = None;
            self.late = Duration::ZERO;
        }
        // Trouble that overlaps lasts until all of it is over.
        let excuse = (self.now, self.now);
        self.excused_until.push(excuse);
    }

    fn lose(&mut self, percent: usize, pollers_first: bool) {
        let mut left: Vec<usize> = (0..self.members.len())
            .filter(|number| !self.members[*number].is_lost)
            .collect();
        let count = (left.len() * percent).div_ceil(100).min(left.len() - 1);
        match pollers_first {
            true => left.sort_by_key(|number| {
                let member = &self.members[*number];
                let polls = member.watch.role(member.rank) == FeedRole::Watch;
                (!polls, member.rank)
            }),
            false => left.shuffle(&mut self.rng),
        }
        for number in left.into_iter().take(count) {
            self.members[number].is_lost = true;
        }
        let pause = self.draw(RELINK_US);
        self.after(pause, Step::Relink);
    }

    fn silence(&mut self, store: bool, links: bool) {
        self.excused_until.push((self.now, self.now));
        for member in &mut self.members {
            if let Some(call) = &mut member.call
                && store
            {
                call.is_dead = true;
            }
            if links {
                member.links.clear();
            }
        }
        let pause = self.draw(RELINK_US);
        self.after(pause, Step::Relink);
    }
}

fn candidate(number: usize, seed: u64) -> Candidate {
    Candidate {
        evacuated: false,
        target: TargetId(number as u32),
        host: format!("host-{seed}-{number}"),
        place: format!("zone-{}", number % ZONES),
        zone: format!("zone-{}", number % ZONES),
        region: String::new(),
    }
}

proptest! {
    #![proptest_config(Config { rng_seed: RngSeed::Fixed(62), cases: 400, failure_persistence: None, ..Config::default() })]

    /// Guards against members that wait for word from others that are lost: whoever is left has
    /// what was accepted in force in time.
    #[test]
    fn whoever_is_left_has_the_newest_settings_in_force_in_time(
        count in prop_oneof![2_usize..14, 14_usize..60, Just(150_usize), Just(300_usize)],
        seed in 0_u64..1_000,
        events in prop::collection::vec((pause_ms(), event()), 1..14),
    ) {
        let length: u64 = events.iter().map(|(pause, _)| *pause).sum();
        let mut fleet = Fleet::new(count, seed, events);
        fleet.play(START + Duration::from_millis(length) + REST);
        prop_assert!(fleet.broken.is_empty(), "{}", fleet.broken[0]);
    }
}

/// Guards against members that ask for want of news on days without trouble.
#[test]
fn members_that_hear_of_polls_ask_no_more_than_before() {
    for count in [13, 60, 300, 984] {
        let mut fleet = Fleet::new(count, 1, Vec::new());
        fleet.play(START);
        let before = fleet.calls;
        fleet.play(START + Duration::from_secs(60));
        // Two watchers ask each second, the other six once each 15 s.
        let usual = 2 * 60 + 6 * 4;
        let calls = fleet.calls - before;
        assert!(
            calls <= usual * 11 / 10,
            "{count} members: {calls} calls for {usual}"
        );
    }
}
