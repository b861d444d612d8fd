//! Selection of a target among those of one service.
//!
//! The main policy minimises the expected finish time. The other policies are the baselines
//! that it is measured against, and remain configurable. The cost of a selection is bounded: of
//! many targets only a random sample is scored (Mitzenmacher's power of choices, 2001, with a
//! larger sample because scores are exact for this router's own calls).

mod limited;

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
use crate::target::{Health, ServiceAverages, TargetState};
use crate::target_load::TargetLoad;
use crate::target_notice::{OfferShare, RateLimit};
use crate::utility::{CallTiming, expected_utility, remaining_us};

/// Maximum number of targets scored by [`Policy::ExpectedFinish`].
const SAMPLE_SIZE: usize = 8;
/// Maximum number of targets scored by [`Policy::GoalChance`].
const GOAL_SAMPLE_SIZE: usize = 16;
/// Expected finish time that counts as much as the full worth of a call, in microseconds. It
/// breaks ties between targets of equal worth.
const FINISH_SCALE_US: f64 = 20_000_000.0;
/// Number of random draws to fill the sample when some targets may be unavailable.
const SAMPLE_DRAWS: usize = 4 * SAMPLE_SIZE;
/// Scores up to this factor above the lowest count as equal to it. Scores are not more exact
/// than that, and rotating through equal targets keeps every good target in use and its
/// measurements recent. Always taking the lowest would leave all but one idle at low load.
const EQUAL_SCORE_FACTOR: f64 = 1.1;
/// Targets whose worth is below the best by up to this fraction of a call's worth count as
/// equal, and one of them is drawn at random. Many routers receive the same load reports; if
/// each took the best target, all would send to the one that reported last.
const EQUAL_WORTH_MARGIN: f64 = 0.05;

/// Settings of target selection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SelectionParams {
    /// Selection policy.
    pub policy: Policy,
    /// Time over which a new target ramps up to its full share.
    pub ramp_us: Micros,
    /// Consecutive failures that eject a target.
    pub eject_failures: u32,
    /// Duration of a first ejection.
    pub eject_us: Micros,
    /// Cost of sending calls to distant targets.
    pub prices: DistanceCosts,
}

/// Which targets may be selected.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub enum TargetFilter {
    /// All targets.
    #[default]
    All,
    /// All but these.
    Excluding(Vec<TargetId>),
    /// These only.
    Only(Vec<TargetId>),
}

impl TargetFilter {
    fn allows(&self, target: TargetId) -> bool {
        match self {
            TargetFilter::All => true,
            TargetFilter::Excluding(targets) => !targets.contains(&target),
            TargetFilter::Only(targets) => targets.contains(&target),
        }
    }
}

/// The call for which a target is selected.
#[derive(Clone, Copy, Debug)]
pub struct SelectionRequest<'a> {
    /// Targets that must not be selected.
    pub excluded: &'a [TargetId],
    /// When the answer loses most of its value.
    pub goal: Micros,
    /// When the answer is no longer useful.
    pub deadline: Micros,
    /// What kind of call it is.
    pub kind: CallKind,
}

/// A target that was scored for a selection, reported by the `explain` output.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct ScoredTarget {
    /// The target.
    pub target: TargetId,
    /// Its score under the policy; the lowest wins.
    pub score: f64,
    /// Estimated number of calls at the target.
    pub load: f64,
    /// Last slowness that it reported, as a factor; 0 if it never reported any.
    pub slowness: f64,
    /// Age of that report, in microseconds.
    pub slowness_age_us: Micros,
    /// How far away it is.
    #[serde(default, skip_serializing_if = "Distance::is_own_zone")]
    pub distance: Distance,
    /// Rate limit that it states.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub limit: Option<RateLimit>,
}

/// One router's view of the targets of one service.
#[derive(Debug)]
pub struct TargetSelector {
    params: SelectionParams,
    order: Vec<TargetId>,
    states: HashMap<TargetId, TargetState>,
    /// Targets that were ejected, so that a selection need not search for them.
    ejected: Vec<TargetId>,
    averages: ServiceAverages,
    usual_slowness: SlownessDistribution,
    works: ServiceTimes,
    next: usize,
    picks: u64,
    /// Whether targets whose link may be silent are skipped because another is available.
    skips_suspected: bool,
    max_distance: Distance,
    /// Rate-limited targets that the selection in progress skips, because other calls use up
    /// their limits.
    skipped_limited: Vec<TargetId>,
    /// Those that the last selection skipped.
    passed_over: Vec<TargetId>,
    /// Share of the calls out of which the last selected target was offered its call; `None` if
    /// it has no rate limit, or was selected whatever its share.
    selected_share: Option<OfferShare>,
    /// Which targets a rollout allows for the next selection.
    filter: TargetFilter,
    rng: SmallRng,
}

impl TargetSelector {
    /// Creates a selector without targets.
    pub fn new(params: SelectionParams, seed: u64) -> Self {
        TargetSelector {
            params,
            order: Vec::new(),
            states: HashMap::new(),
            ejected: Vec::new(),
            averages: ServiceAverages::default(),
            usual_slowness: SlownessDistribution::default(),
            works: ServiceTimes::default(),
            next: 0,
            picks: 0,
            skips_suspected: false,
            max_distance: Distance::OtherRegion,
            skipped_limited: Vec::new(),
            passed_over: Vec::new(),
            selected_share: None,
            filter: TargetFilter::default(),
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Changes the settings and keeps the state of the targets.
    pub fn set_params(&mut self, params: SelectionParams) {
        self.params = params;
    }

    /// The current settings.
    pub fn params(&self) -> &SelectionParams {
        &self.params
    }

    /// Replaces the set of targets, given with their path times in microseconds. Known targets
    /// keep their state; new ones start their ramp, except in the first set.
    pub fn set_targets(&mut self, now: Micros, targets: &[(TargetId, f64)]) {
        let is_first_set = self.order.is_empty();
        self.states
            .retain(|id, _| targets.iter().any(|(target, _)| target == id));
        for (target, path_us) in targets {
            let ramp_start = if is_first_set { 0 } else { now };
            self.states
                .entry(*target)
                .or_insert_with(|| TargetState::new(ramp_start, *path_us));
        }
        self.order = targets.iter().map(|(target, _)| *target).collect();
    }

    /// Sets how far away targets are.
    pub fn set_distances(&mut self, distances: &[(TargetId, Distance)]) {
        for (target, distance) in distances {
            if let Some(state) = self.states.get_mut(target) {
                state.set_distance(*distance);
            }
        }
    }

    /// Limits how far away the targets of the next selections may be.
    pub fn set_max_distance(&mut self, max_distance: Distance) {
        self.max_distance = max_distance;
    }

    /// Restricts the targets of the next selections.
    pub fn set_filter(&mut self, filter: TargetFilter) {
        self.filter = filter;
    }

    /// Records the time that a call of a kind takes at usual speed.
    pub fn record_work(&mut self, kind: CallKind, work_us: f64) {
        self.works.record(kind, work_us);
    }

    /// The targets, in the order given.
    pub fn targets(&self) -> &[TargetId] {
        &self.order
    }

    /// Whether any target may be selected now.
    pub fn any_available(&self, now: Micros) -> bool {
        self.any_eligible(now, &[])
    }

    fn any_eligible(&self, now: Micros, excluded: &[TargetId]) -> bool {
        let mut targets = self.order.iter();
        targets.any(|target| self.is_eligible(now, *target, excluded))
    }

    /// Where a call that must avoid `excluded` can go.
    pub fn elsewhere(&self, now: Micros, excluded: &[TargetId]) -> Elsewhere {
        self.nearest_of(now, excluded, |_| true)
    }

    fn nearest_of(
        &self,
        now: Micros,
        excluded: &[TargetId],
        counts: impl Fn(&TargetState) -> bool,
    ) -> Elsewhere {
        let eligible = self.order.iter().filter(|target| {
            counts(&self.states[*target]) && self.is_eligible(now, **target, excluded)
        });
        Elsewhere::from_nearest(eligible.map(|target| self.states[target].distance()).min())
    }

    /// The state of one target.
    pub fn target(&self, target: TargetId) -> Option<&TargetState> {
        self.states.get(&target)
    }

    /// The state of one target, to be updated.
    pub fn target_mut(&mut self, target: TargetId) -> Option<&mut TargetState> {
        self.states.get_mut(&target)
    }

    /// Records that a target served a call; `path_us` is the time spent outside of it.
    pub fn record_success(&mut self, now: Micros, target: TargetId, path_us: f64) {
        if let Some(state) = self.states.get_mut(&target) {
            state.record_success(now, Some(path_us));
            self.ejected.retain(|ejected| *ejected != target);
        }
    }

    /// Records that a target failed a call, which may eject it.
    pub fn record_failure(&mut self, now: Micros, target: TargetId) {
        let params = self.params;
        let Some(state) = self.states.get_mut(&target) else {
            return;
        };
        let ejects = state.record_failure(now, params.eject_failures, params.eject_us);
        if ejects && !self.ejected.contains(&target) {
            self.ejected.push(target);
        }
    }

    /// Records whether a target's daemon reports that nothing listens at the target's address.
    pub fn set_down(&mut self, now: Micros, target: TargetId, down: bool) {
        let trial_us = self.params.eject_us;
        match self.states.get_mut(&target) {
            Some(state) if down => state.mark_down(now, trial_us),
            Some(state) => state.mark_up(now),
            None => {}
        }
    }

    /// Records a load report of a target.
    pub fn record_load(&mut self, now: Micros, target: TargetId, load: TargetLoad) {
        if let Some(state) = self.states.get_mut(&target) {
            state.record_load(now, load, &mut self.averages);
            if let Some(reading) = state.slowness() {
                self.usual_slowness.record(reading);
            }
        }
    }

    /// Selects a target that is not in `request.excluded`, and counts a call as sent to it.
    /// Fills `scored` with the targets that were compared.
    pub fn select(
        &mut self,
        now: Micros,
        request: SelectionRequest<'_>,
        scored: &mut Vec<ScoredTarget>,
    ) -> Option<TargetId> {
        let excluded = request.excluded;
        scored.clear();
        self.skips_suspected = self.any_unsuspected(now, excluded);
        let is_drawn = self.draw_skipped_limited(now, excluded);
        let drawn = self.select_eligible(now, request, scored);
        self.passed_over = std::mem::take(&mut self.skipped_limited);
        let needed = self.select_needed(now, request, scored);
        let selected = needed.or(drawn);
        let state = self.states.get_mut(&selected?)?;
        let is_sampled = is_drawn && needed.is_none() && state.limit().is_some();
        self.selected_share = is_sampled.then(|| state.share());
        self.picks += 1;
        state.record_sent(self.picks);
        selected
    }

    fn select_eligible(
        &mut self,
        now: Micros,
        request: SelectionRequest<'_>,
        scored: &mut Vec<ScoredTarget>,
    ) -> Option<TargetId> {
        let excluded = request.excluded;
        if let Some(trial) = self.due_trial(now, excluded) {
            return Some(trial);
        }
        match self.params.policy {
            Policy::RoundRobin => self.next_round_robin(now, excluded),
            Policy::Random => self.sample(now, excluded, 1).first().copied(),
            Policy::PowerOfTwo => {
                let sample = self.sample(now, excluded, 2);
                self.first_within(0.0, now, request, sample, scored)
            }
            Policy::LeastInFlight => {
                let all = self.eligible(now, excluded);
                self.first_within(0.0, now, request, all, scored)
            }
            Policy::ExpectedFinish => {
                let sample = self.sample(now, excluded, SAMPLE_SIZE);
                self.least_recently_picked(now, request, sample, scored)
            }
            Policy::GoalChance => {
                let sample = self.sample(now, excluded, GOAL_SAMPLE_SIZE);
                self.first_within(EQUAL_WORTH_MARGIN, now, request, sample, scored)
            }
        }
    }

    /// Returns an ejected target whose ejection time is over. It gets one trial call whatever
    /// its score, because a score based on failures would keep it out for ever.
    fn due_trial(&self, now: Micros, excluded: &[TargetId]) -> Option<TargetId> {
        let ejected = self.ejected.iter().copied();
        let mut due = ejected.filter(|target| self.is_ejected(*target));
        due.find(|target| self.is_eligible(now, *target, excluded))
    }

    /// Whether a target in `ejected` is still ejected. It is not if it was replaced or is
    /// draining.
    fn is_ejected(&self, target: TargetId) -> bool {
        let state = self.states.get(&target);
        state.is_some_and(|state| matches!(state.health(), Health::Ejected { .. }))
    }

    fn is_eligible(&self, now: Micros, target: TargetId, excluded: &[TargetId]) -> bool {
        let state = &self.states[&target];
        let is_skipped = self.skips_suspected && state.is_suspected();
        let is_skipped = is_skipped || !self.filter.allows(target);
        let is_skipped = is_skipped || self.skipped_limited.contains(&target);
        !is_skipped && !excluded.contains(&target) && self.is_usable(now, state)
    }

    fn is_usable(&self, now: Micros, state: &TargetState) -> bool {
        state.distance() <= self.max_distance && state.is_available(now)
    }

    /// Whether some targets have a suspected link while an eligible one does not.
    fn any_unsuspected(&self, now: Micros, excluded: &[TargetId]) -> bool {
        let mut states = self
            .order
            .iter()
            .map(|target| (target, &self.states[target]));
        let is_unsuspected = |(target, state): (&TargetId, &TargetState)| {
            let is_unsuspected = !state.is_suspected() && self.filter.allows(*target);
            is_unsuspected && !excluded.contains(target) && self.is_usable(now, state)
        };
        states.clone().any(|(_, state)| state.is_suspected()) && states.any(is_unsuspected)
    }

    fn eligible(&self, now: Micros, excluded: &[TargetId]) -> Vec<TargetId> {
        let all = self.order.iter().copied();
        all.filter(|target| self.is_eligible(now, *target, excluded))
            .collect()
    }

    /// Up to `count` distinct eligible targets, in random order.
    fn sample(&mut self, now: Micros, excluded: &[TargetId], count: usize) -> Vec<TargetId> {
        if self.order.len() <= SAMPLE_DRAWS {
            return self.sample_exhaustively(now, excluded, count);
        }
        let mut sample = Vec::with_capacity(count);
        for _ in 0..SAMPLE_DRAWS {
            let target = self.order[self.rng.random_range(0..self.order.len())];
            if !sample.contains(&target) && self.is_eligible(now, target, excluded) {
                sample.push(target);
            }
            if sample.len() == count {
                return sample;
            }
        }
        if sample.is_empty() {
            return self.sample_exhaustively(now, excluded, count);
        }
        sample
    }

    fn sample_exhaustively(
        &mut self,
        now: Micros,
        excluded: &[TargetId],
        count: usize,
    ) -> Vec<TargetId> {
        let mut eligible = self.eligible(now, excluded);
        let count = count.min(eligible.len());
        for at in 0..count {
            let other = self.rng.random_range(at..eligible.len());
            eligible.swap(at, other);
        }
        eligible.truncate(count);
        eligible
    }

    fn next_round_robin(&mut self, now: Micros, excluded: &[TargetId]) -> Option<TargetId> {
        let len = self.order.len();
        for step in 0..len {
            let target = self.order[(self.next + step) % len];
            if self.is_eligible(now, target, excluded) {
                self.next = (self.next + step + 1) % len;
                return Some(target);
            }
        }
        None
    }

    /// The first target in sample order whose score is at most `margin` above the lowest. The
    /// order is random, so ties are broken at random.
    fn first_within(
        &self,
        margin: f64,
        now: Micros,
        request: SelectionRequest<'_>,
        sample: Vec<TargetId>,
        scored: &mut Vec<ScoredTarget>,
    ) -> Option<TargetId> {
        let lowest = self.score_all(now, request, sample, scored)?;
        let mut near = scored.iter().filter(|one| one.score <= lowest + margin);
        near.next().map(|one| one.target)
    }

    /// Of the targets whose score is the lowest or nearly so, the one that this router picked
    /// least recently. Rotating through equal targets spreads calls more evenly than chance.
    fn least_recently_picked(
        &self,
        now: Micros,
        request: SelectionRequest<'_>,
        sample: Vec<TargetId>,
        scored: &mut Vec<ScoredTarget>,
    ) -> Option<TargetId> {
        let lowest = self.score_all(now, request, sample, scored)?;
        let equal = scored
            .iter()
            .filter(|one| one.score <= lowest * EQUAL_SCORE_FACTOR);
        let least_recent = equal.min_by_key(|one| self.states[&one.target].last_pick());
        least_recent.map(|one| one.target)
    }

    /// Scores the sampled targets and returns the lowest score.
    fn score_all(
        &self,
        now: Micros,
        request: SelectionRequest<'_>,
        sample: Vec<TargetId>,
        scored: &mut Vec<ScoredTarget>,
    ) -> Option<f64> {
        scored.extend(sample.into_iter().map(|target| {
            let state = &self.states[&target];
            let reading = state.slowness();
            ScoredTarget {
                target,
                score: self.score(now, request, target),
                load: state.load(now, &self.averages),
                slowness: reading.map_or(0.0, |reading| reading.factor),
                slowness_age_us: reading.map_or(0, |reading| now.saturating_sub(reading.at)),
                distance: state.distance(),
                limit: state.limit(),
            }
        }));
        let scores = scored.iter().map(|one| one.score);
        scores.min_by(f64::total_cmp)
    }

    fn score(&self, now: Micros, request: SelectionRequest<'_>, target: TargetId) -> f64 {
        let state = &self.states[&target];
        match self.params.policy {
            Policy::GoalChance => -self.worth(now, request, state),
            Policy::ExpectedFinish => {
                state.expected_finish_us(now, &self.averages, self.params.ramp_us)
            }
            _ => f64::from(state.outstanding()),
        }
    }

    /// The worth of a call at a target, less the cost of its distance. Of targets with the same
    /// worth, the one with the lowest expected finish time wins.
    fn worth(&self, now: Micros, request: SelectionRequest<'_>, state: &TargetState) -> f64 {
        let finish_us = state.expected_finish_us(now, &self.averages, self.params.ramp_us);
        let goal_remaining_us = remaining_us(now, request.goal);
        let need = CallTiming {
            goal_remaining_us,
            deadline_remaining_us: remaining_us(now, request.deadline),
            work: self
                .works
                .estimate_or_assumed(request.kind, goal_remaining_us),
        };
        let prospect = state.prospect(now, &self.averages);
        let slowness = self.usual_slowness.predict(now, state.slowness());
        let ramp_factor = state.ramp_factor(now, self.params.ramp_us);
        let slowness = slowness.map(|likely| WeightedSlowness {
            factor: likely.factor * ramp_factor,
            ..likely
        });
        let worth = expected_utility(&need, &prospect, slowness);
        worth - self.params.prices.cost(state.distance()) - finish_us / FINISH_SCALE_US
    }
}
