//! The choice of a target among those of one service.
//!
//! The expected finish time decides; the other policies are the baselines it is
//! measured against, and stay selectable. The cost of a choice is bounded: of
//! many targets only a random sample is scored (Mitzenmacher's power of choices,
//! 2001, with a larger sample since scores here are exact for our own calls).

use std::collections::HashMap;

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use serde::{Deserialize, Serialize};

use crate::distance::{Distance, DistanceCosts};
use crate::elsewhere::Elsewhere;
use crate::ids::{Micros, TargetId};
use crate::policy_name::Policy;
use crate::service_time::{CallKind, ServiceTimes};
use crate::slowness::{SlownessDistribution, WeightedSlowness};
use crate::target::{Health, TargetState, Usual};
use crate::target_load::TargetLoad;
use crate::utility::{CallTiming, expected_utility, remaining_us};

/// Targets scored for one choice at most.
const SAMPLE: usize = 8;
/// Targets whose chance is weighed for one choice at most.
const GOAL_SAMPLE: usize = 16;
/// Expected time that weighs as much as a whole call's worth, in microseconds: it
/// decides between targets that are worth the same.
const FINISH_SCALE_US: f64 = 20_000_000.0;
/// Draws made to find the sample among targets that may be unavailable.
const DRAWS: usize = 4 * SAMPLE;
/// Scores up to this factor above the least count as equal to it. They are no more
/// exact than that, and taking equals in turn keeps every good target in use and
/// known; always taking the least would leave all but one idle while load is low.
const EQUAL_WITHIN: f64 = 1.1;
/// Targets whose worth is below the best one's by up to this part of a call's worth are
/// taken as equal, and one of them is drawn. Many routers hear the same news; if each took
/// the very best, all would send to the target that told last.
const NEAR_WORTH: f64 = 0.05;
/// Settings of a choice.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ChooseParams {
    /// How a target is chosen.
    pub policy: Policy,
    /// Time over which a cold target takes its full share.
    pub ramp_us: Micros,
    /// Failures in a row that eject a target.
    pub eject_failures: u32,
    /// Time of a first ejection.
    pub eject_us: Micros,
    /// What the ways to targets cost.
    pub prices: DistanceCosts,
}

/// Which targets may be chosen.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub enum Lane {
    /// All.
    #[default]
    All,
    /// All but these.
    Without(Vec<TargetId>),
    /// These only.
    Only(Vec<TargetId>),
}

impl Lane {
    fn allows(&self, target: TargetId) -> bool {
        match self {
            Lane::All => true,
            Lane::Without(targets) => !targets.contains(&target),
            Lane::Only(targets) => targets.contains(&target),
        }
    }
}

/// What is asked of a choice.
#[derive(Clone, Copy, Debug)]
pub struct Wanted<'a> {
    /// Targets not to be taken.
    pub tried: &'a [TargetId],
    /// When the answer loses most of its worth.
    pub goal: Micros,
    /// When the answer is no longer useful.
    pub deadline: Micros,
    /// What kind of call it is.
    pub kind: CallKind,
}

/// One target that was scored, for explanations.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct Considered {
    /// The target.
    pub target: TargetId,
    /// Its score under the policy; the lowest wins.
    pub score: f64,
    /// Calls expected at it.
    pub load: f64,
    /// Its slowness as it told last, as a factor; 0 where it never did.
    pub slowness: f64,
    /// Age of that, in microseconds.
    pub slowness_age_us: Micros,
    /// How far away it is.
    #[serde(default, skip_serializing_if = "Distance::is_own_zone")]
    pub distance: Distance,
}

/// The targets of one service as one router sees them.
#[derive(Debug)]
pub struct Chooser {
    params: ChooseParams,
    order: Vec<TargetId>,
    states: HashMap<TargetId, TargetState>,
    /// Targets that are ejected, so that a choice need not look for them.
    ejected: Vec<TargetId>,
    usual: Usual,
    usual_slowness: SlownessDistribution,
    works: ServiceTimes,
    next: usize,
    picks: u64,
    /// Whether targets whose link may be silent are passed over: some other is open.
    passes_over_doubted: bool,
    /// How far away a target may be.
    reach: Distance,
    /// Which targets a rollout leaves to the next choice.
    lane: Lane,
    rng: SmallRng,
}

impl Chooser {
    /// A chooser that knows no target.
    pub fn new(params: ChooseParams, seed: u64) -> Self {
        Chooser {
            params,
            order: Vec::new(),
            states: HashMap::new(),
            ejected: Vec::new(),
            usual: Usual::default(),
            usual_slowness: SlownessDistribution::default(),
            works: ServiceTimes::default(),
            next: 0,
            picks: 0,
            passes_over_doubted: false,
            reach: Distance::OtherRegion,
            lane: Lane::default(),
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Changes the settings; what is known of targets stays.
    pub fn set_params(&mut self, params: ChooseParams) {
        self.params = params;
    }

    /// The settings in force.
    pub fn params(&self) -> &ChooseParams {
        &self.params
    }

    /// Makes these the targets; known ones keep their state, new ones start cold.
    pub fn set_targets(&mut self, now: Micros, targets: &[(TargetId, f64)]) {
        let first = self.order.is_empty();
        self.states
            .retain(|id, _| targets.iter().any(|(target, _)| target == id));
        for (target, path_us) in targets {
            let warm = if first { 0 } else { now };
            self.states
                .entry(*target)
                .or_insert_with(|| TargetState::new(warm, *path_us));
        }
        self.order = targets.iter().map(|(target, _)| *target).collect();
    }

    /// Says how far away targets are.
    pub fn set_distances(&mut self, distances: &[(TargetId, Distance)]) {
        for (target, distance) in distances {
            if let Some(state) = self.states.get_mut(target) {
                state.set_distance(*distance);
            }
        }
    }

    /// Says how far away the targets of the next choices may be.
    pub fn set_reach(&mut self, reach: Distance) {
        self.reach = reach;
    }

    /// Says which targets the next choices are made among.
    pub fn set_lane(&mut self, lane: Lane) {
        self.lane = lane;
    }

    /// Takes the time that a call of a kind takes at usual speed.
    pub fn learn_work(&mut self, kind: CallKind, work_us: f64) {
        self.works.record(kind, work_us);
    }

    /// The targets, in the order given.
    pub fn targets(&self) -> &[TargetId] {
        &self.order
    }

    /// Whether any target may be chosen now.
    pub fn any_open(&self, now: Micros) -> bool {
        self.order
            .iter()
            .any(|target| self.is_open(now, *target, &[]))
    }

    /// Where a call can go that is to go to none of `tried`.
    pub fn elsewhere(&self, now: Micros, tried: &[TargetId]) -> Elsewhere {
        let all = self.order.iter();
        let open = all.filter(|target| self.is_open(now, **target, tried));
        Elsewhere::from_nearest(open.map(|target| self.states[target].distance()).min())
    }

    /// What is known of one target.
    pub fn target(&self, target: TargetId) -> Option<&TargetState> {
        self.states.get(&target)
    }

    /// What is known of one target, to be changed by what was seen of it.
    pub fn target_mut(&mut self, target: TargetId) -> Option<&mut TargetState> {
        self.states.get_mut(&target)
    }

    /// A target served a call; `path_us` is the time spent outside of it.
    pub fn served(&mut self, now: Micros, target: TargetId, path_us: f64) {
        if let Some(state) = self.states.get_mut(&target) {
            state.served(now, Some(path_us));
            self.ejected.retain(|ejected| *ejected != target);
        }
    }

    /// A target failed a call, which may eject it.
    pub fn failed(&mut self, now: Micros, target: TargetId) {
        let params = self.params;
        let Some(state) = self.states.get_mut(&target) else {
            return;
        };
        let ejects = state.failed(now, params.eject_failures, params.eject_us);
        if ejects && !self.ejected.contains(&target) {
            self.ejected.push(target);
        }
    }

    /// A target's daemon says that nothing listens at its address, or something does again.
    pub fn set_down(&mut self, now: Micros, target: TargetId, down: bool) {
        let trial_us = self.params.eject_us;
        match self.states.get_mut(&target) {
            Some(state) if down => state.went_down(now, trial_us),
            Some(state) => state.came_up(now),
            None => {}
        }
    }

    /// Takes figures of a target.
    pub fn learn(&mut self, now: Micros, target: TargetId, figures: TargetLoad) {
        if let Some(state) = self.states.get_mut(&target) {
            state.learn(now, figures, &mut self.usual);
            if let Some(reading) = state.slowness() {
                self.usual_slowness.record(reading);
            }
        }
    }

    /// Picks a target that is not in `tried`, and counts a call as sent to it.
    pub fn choose(
        &mut self,
        now: Micros,
        wanted: Wanted<'_>,
        considered: &mut Vec<Considered>,
    ) -> Option<TargetId> {
        let tried = wanted.tried;
        considered.clear();
        self.passes_over_doubted = self.any_undoubted(now, tried);
        if let Some(trial) = self.due_trial(now, tried) {
            self.picks += 1;
            self.states.get_mut(&trial)?.sent(self.picks);
            return Some(trial);
        }
        let chosen = match self.params.policy {
            Policy::RoundRobin => self.next_in_turn(now, tried),
            Policy::Random => self.draw(now, tried, 1).first().copied(),
            Policy::PowerOfTwo => {
                let drawn = self.draw(now, tried, 2);
                self.first_within(0.0, now, wanted, drawn, considered)
            }
            Policy::LeastInFlight => {
                let all = self.open(now, tried);
                self.first_within(0.0, now, wanted, all, considered)
            }
            Policy::ExpectedFinish => {
                let drawn = self.draw(now, tried, SAMPLE);
                self.least_in_turn(now, wanted, drawn, considered)
            }
            Policy::GoalChance => {
                let drawn = self.draw(now, tried, GOAL_SAMPLE);
                self.first_within(NEAR_WORTH, now, wanted, drawn, considered)
            }
        }?;
        self.picks += 1;
        self.states.get_mut(&chosen)?.sent(self.picks);
        Some(chosen)
    }

    /// An ejected target whose time is over gets one call, whatever its score:
    /// a score learnt from failures would keep it out for ever.
    fn due_trial(&self, now: Micros, tried: &[TargetId]) -> Option<TargetId> {
        let ejected = self.ejected.iter().copied();
        let mut due = ejected.filter(|target| self.is_ejected(*target));
        due.find(|target| self.is_open(now, *target, tried))
    }

    /// Whether it still is: a target that was replaced or left is not.
    fn is_ejected(&self, target: TargetId) -> bool {
        let state = self.states.get(&target);
        state.is_some_and(|state| matches!(state.health(), Health::Ejected { .. }))
    }

    fn is_open(&self, now: Micros, target: TargetId, tried: &[TargetId]) -> bool {
        let state = &self.states[&target];
        let is_passed_over = self.passes_over_doubted && state.is_doubted();
        let is_passed_over = is_passed_over || !self.lane.allows(target);
        !is_passed_over && !tried.contains(&target) && self.is_usable(now, state)
    }

    fn is_usable(&self, now: Micros, state: &TargetState) -> bool {
        state.distance() <= self.reach && state.available(now)
    }

    /// Whether an open target is linked to beyond doubt, while others are not.
    fn any_undoubted(&self, now: Micros, tried: &[TargetId]) -> bool {
        let mut states = self
            .order
            .iter()
            .map(|target| (target, &self.states[target]));
        let is_sure = |(target, state): (&TargetId, &TargetState)| {
            let is_sure = !state.is_doubted() && self.lane.allows(*target);
            is_sure && !tried.contains(target) && self.is_usable(now, state)
        };
        states.clone().any(|(_, state)| state.is_doubted()) && states.any(is_sure)
    }

    fn open(&self, now: Micros, tried: &[TargetId]) -> Vec<TargetId> {
        let all = self.order.iter().copied();
        all.filter(|target| self.is_open(now, *target, tried))
            .collect()
    }

    /// Up to `count` different open targets, at random.
    fn draw(&mut self, now: Micros, tried: &[TargetId], count: usize) -> Vec<TargetId> {
        if self.order.len() <= DRAWS {
            return self.draw_from_all(now, tried, count);
        }
        let mut drawn = Vec::with_capacity(count);
        for _ in 0..DRAWS {
            let target = self.order[self.rng.random_range(0..self.order.len())];
            if !drawn.contains(&target) && self.is_open(now, target, tried) {
                drawn.push(target);
            }
            if drawn.len() == count {
                return drawn;
            }
        }
        if drawn.is_empty() {
            return self.draw_from_all(now, tried, count);
        }
        drawn
    }

    fn draw_from_all(&mut self, now: Micros, tried: &[TargetId], count: usize) -> Vec<TargetId> {
        let mut open = self.open(now, tried);
        let count = count.min(open.len());
        for at in 0..count {
            let other = self.rng.random_range(at..open.len());
            open.swap(at, other);
        }
        open.truncate(count);
        open
    }

    fn next_in_turn(&mut self, now: Micros, tried: &[TargetId]) -> Option<TargetId> {
        let len = self.order.len();
        for step in 0..len {
            let target = self.order[(self.next + step) % len];
            if self.is_open(now, target, tried) {
                self.next = (self.next + step + 1) % len;
                return Some(target);
            }
        }
        None
    }

    /// The first, in the drawn order, whose score is at most `margin` above the least. The
    /// order is random, so equals are decided by chance.
    fn first_within(
        &self,
        margin: f64,
        now: Micros,
        wanted: Wanted<'_>,
        drawn: Vec<TargetId>,
        considered: &mut Vec<Considered>,
    ) -> Option<TargetId> {
        let least = self.consider(now, wanted, drawn, considered)?;
        let mut near = considered.iter().filter(|one| one.score <= least + margin);
        near.next().map(|one| one.target)
    }

    /// Of those whose score is the least or nearly so, the one that this router
    /// picked longest ago: equals get calls in turn, which spreads them more evenly
    /// than chance does.
    fn least_in_turn(
        &self,
        now: Micros,
        wanted: Wanted<'_>,
        drawn: Vec<TargetId>,
        considered: &mut Vec<Considered>,
    ) -> Option<TargetId> {
        let least = self.consider(now, wanted, drawn, considered)?;
        let equal = considered
            .iter()
            .filter(|one| one.score <= least * EQUAL_WITHIN);
        let longest_ago = equal.min_by_key(|one| self.states[&one.target].picked());
        longest_ago.map(|one| one.target)
    }

    /// Scores the drawn targets and returns the least score.
    fn consider(
        &self,
        now: Micros,
        wanted: Wanted<'_>,
        drawn: Vec<TargetId>,
        considered: &mut Vec<Considered>,
    ) -> Option<f64> {
        considered.extend(drawn.into_iter().map(|target| {
            let state = &self.states[&target];
            let reading = state.slowness();
            Considered {
                target,
                score: self.score(now, wanted, target),
                load: state.load(now, &self.usual),
                slowness: reading.map_or(0.0, |reading| reading.factor),
                slowness_age_us: reading.map_or(0, |reading| now.saturating_sub(reading.at)),
                distance: state.distance(),
            }
        }));
        let scores = considered.iter().map(|one| one.score);
        scores.min_by(f64::total_cmp)
    }

    fn score(&self, now: Micros, wanted: Wanted<'_>, target: TargetId) -> f64 {
        let state = &self.states[&target];
        match self.params.policy {
            Policy::GoalChance => -self.worth(now, wanted, state),
            Policy::ExpectedFinish => {
                state.expected_finish_us(now, &self.usual, self.params.ramp_us)
            }
            _ => f64::from(state.outstanding()),
        }
    }

    /// What a call is worth at a target, less the price of the way. Of targets that
    /// are worth the same, the one with the least expected finish wins.
    fn worth(&self, now: Micros, wanted: Wanted<'_>, state: &TargetState) -> f64 {
        let finish_us = state.expected_finish_us(now, &self.usual, self.params.ramp_us);
        let goal_remaining_us = remaining_us(now, wanted.goal);
        let need = CallTiming {
            goal_remaining_us,
            deadline_remaining_us: remaining_us(now, wanted.deadline),
            work: self
                .works
                .estimate_or_assumed(wanted.kind, goal_remaining_us),
        };
        let prospect = state.prospect(now, &self.usual);
        let slowness = self.usual_slowness.predict(now, state.slowness());
        let cold = state.cold(now, self.params.ramp_us);
        let slowness = slowness.map(|likely| WeightedSlowness {
            factor: likely.factor * cold,
            ..likely
        });
        let worth = expected_utility(&need, &prospect, slowness);
        worth - self.params.prices.cost(state.distance()) - finish_us / FINISH_SCALE_US
    }
}
