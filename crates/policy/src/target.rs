//! One router's view of one target: its load, speed and health.
//!
//! A load report is exact when it is taken and outdated a moment later, so its weight halves
//! with age. Errors and refusals never make a target look better.

use crate::distance::Distance;
use crate::ids::Micros;
use crate::slowness::SlownessReading;
use crate::target_load::TargetLoad;
use crate::target_notice::{OfferShare, RateLimit};
use crate::utility::TargetEstimate;

/// Half-life of a load report, in service times: calls come and go within one.
const LOAD_HALF_LIFE: f64 = 0.4;
/// Half-life of a measured service time.
const SERVICE_HALF_LIFE_US: f64 = 1_000_000.0;
/// Differences of service times up to this fraction of the average are noise of the running
/// means. Following them would crowd whichever target was fast last.
const SERVICE_NOISE: f64 = 0.4;
/// Half-life of a measured path time.
const PATH_HALF_LIFE_US: f64 = 500_000.0;
/// Service time assumed before any was measured.
const INITIAL_SERVICE_US: f64 = 1_000.0;
/// Weight of one sample in the averages of a service.
const AVERAGE_WEIGHT: f64 = 0.02;
/// Weight of one sample in the running mean of a target's path time.
const PATH_WEIGHT: f64 = 0.2;
/// Longest ejection, as a multiple of the first.
const MAX_EJECT_FACTOR: u32 = 8;
/// Factor by which a target counts as slower at the start of its ramp.
const RAMP_START_FACTOR: f64 = 4.0;

/// Whether a target may be selected.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Health {
    /// Selected by its score.
    Healthy,
    /// Not selected before `until`; after that, by one trial call at a time.
    Ejected {
        /// When a trial call may be sent.
        until: Micros,
        /// Number of consecutive ejections.
        times: u32,
    },
    /// Takes no new calls.
    Draining,
}

/// One router's view of one target.
#[derive(Clone, Debug)]
pub struct TargetState {
    health: Health,
    linked: bool,
    /// Whether a trial call is in flight.
    trial: bool,
    outstanding: u32,
    last_pick: u64,
    load: Option<LoadSample>,
    service_us: Option<f64>,
    service_at: Micros,
    usual_path_us: f64,
    path_us: f64,
    path_at: Micros,
    consecutive_failures: u32,
    ramp_start: Micros,
    refused_until: Micros,
    slowness: Option<SlownessReading>,
    distance: Distance,
    suspected: bool,
    /// Limit that it states, and the share of calls that it is offered because of that.
    limit: Option<RateLimit>,
    share: OfferShare,
    /// Present while its daemon reports that nothing listens at its address: when a trial call
    /// may check whether that is still true.
    down_until: Option<Micros>,
}

/// Averages over the targets of a service: the estimate for a target without recent reports.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServiceAverages {
    /// Service time in microseconds.
    pub service_us: f64,
    /// Calls of other routers at one target.
    pub others: f64,
    /// Slots of one target.
    pub slots: f64,
}

impl Default for ServiceAverages {
    fn default() -> Self {
        ServiceAverages {
            service_us: INITIAL_SERVICE_US,
            others: 0.0,
            slots: 1.0,
        }
    }
}

impl ServiceAverages {
    /// Records a target's load report, of which `others` calls are not this router's.
    fn record_load(&mut self, load: TargetLoad, others: f64) {
        let update = |mean: &mut f64, sample: f64| *mean += AVERAGE_WEIGHT * (sample - *mean);
        update(&mut self.others, others);
        self.slots = f64::from(load.slots.max(1));
        if load.service_us > 0 {
            update(&mut self.service_us, f64::from(load.service_us));
        }
    }
}

/// The part of a load report that expires with the calls it counted.
#[derive(Clone, Copy, Debug)]
struct LoadSample {
    /// Calls of other routers.
    others: f64,
    slots: u32,
    at: Micros,
}

impl TargetState {
    /// Creates the state of a target without reports; `path_us` is the round-trip time to it.
    pub fn new(now: Micros, path_us: f64) -> Self {
        TargetState {
            health: Health::Healthy,
            linked: true,
            trial: false,
            outstanding: 0,
            last_pick: 0,
            load: None,
            service_us: None,
            service_at: now,
            usual_path_us: path_us,
            path_us,
            path_at: now,
            consecutive_failures: 0,
            ramp_start: now,
            refused_until: 0,
            slowness: None,
            distance: Distance::default(),
            suspected: false,
            limit: None,
            share: OfferShare::ALL,
            down_until: None,
        }
    }

    /// Whether it may be selected now.
    pub fn is_available(&self, now: Micros) -> bool {
        let is_down = self
            .down_until
            .is_some_and(|until| now < until || self.trial);
        if !self.linked || is_down {
            return false;
        }
        match self.health {
            Health::Healthy => true,
            Health::Ejected { until, .. } => now >= until && !self.trial,
            Health::Draining => false,
        }
    }

    /// Whether the link to its daemon is up.
    pub fn is_linked(&self) -> bool {
        self.linked
    }

    /// Records that the link to its daemon was established or lost. A target without a link is
    /// not selected, so no call waits for a connection to be established.
    pub fn set_linked(&mut self, linked: bool) {
        self.linked = linked;
        self.suspected = false;
    }

    /// Whether the link to its daemon may be silent.
    pub fn is_suspected(&self) -> bool {
        self.suspected
    }

    /// Records that the link to its daemon may be silent, or has carried data since.
    pub fn set_suspected(&mut self, suspected: bool) {
        self.suspected = suspected;
    }

    /// Whether its daemon reports that nothing listens at its address.
    pub fn is_down(&self) -> bool {
        self.down_until.is_some()
    }

    /// Records that its daemon reports that nothing listens at its address. It is not selected
    /// until the daemon reports otherwise, except by one call at a time after `trial_us`,
    /// because the report that it is up again may be lost.
    pub fn mark_down(&mut self, now: Micros, trial_us: Micros) {
        self.down_until = Some(now + trial_us);
        self.trial = false;
    }

    /// Records that something listens at its address again. That is a new process, so earlier
    /// failures no longer count.
    pub fn mark_up(&mut self, now: Micros) {
        if self.down_until.take().is_none() {
            return;
        }
        self.trial = false;
        self.consecutive_failures = 0;
        self.ramp_start = now;
        if matches!(self.health, Health::Ejected { .. }) {
            self.health = Health::Healthy;
        }
    }

    /// Resets the state after its daemon was replaced by another incarnation.
    pub fn reset(&mut self, now: Micros) {
        *self = TargetState {
            outstanding: self.outstanding,
            linked: self.linked,
            distance: self.distance,
            ..TargetState::new(now, self.usual_path_us)
        };
    }

    /// The current health.
    pub fn health(&self) -> Health {
        self.health
    }

    /// Number of this router's calls that were sent and have not ended.
    pub fn outstanding(&self) -> u32 {
        self.outstanding
    }

    /// Number of the router's pick that last selected it; 0 before the first.
    pub fn last_pick(&self) -> u64 {
        self.last_pick
    }

    /// Records that the router's pick of this number sent a call.
    pub fn record_sent(&mut self, pick: u64) {
        self.last_pick = pick;
        self.outstanding += 1;
        self.trial = self.is_down() || matches!(self.health, Health::Ejected { .. });
    }

    /// Records that a sent call ended, whatever its outcome.
    pub fn record_end(&mut self) {
        self.outstanding = self.outstanding.saturating_sub(1);
    }

    /// Records a served call; `path_us` is the time spent outside of the target.
    pub fn record_success(&mut self, now: Micros, path_us: Option<f64>) {
        self.consecutive_failures = 0;
        if matches!(self.health, Health::Ejected { .. }) {
            self.health = Health::Healthy;
            self.ramp_start = now;
        }
        self.trial = false;
        self.down_until = None;
        if let Some(sample) = path_us {
            let known = self.path_us(now);
            self.path_us = known + PATH_WEIGHT * (sample - known);
            self.path_at = now;
        }
    }

    /// Records a failed call. Returns whether it ejected the target.
    pub fn record_failure(&mut self, now: Micros, eject_failures: u32, eject_us: Micros) -> bool {
        self.consecutive_failures += 1;
        let times = match self.health {
            Health::Draining => return false,
            Health::Ejected { times, .. } => times,
            Health::Healthy if self.consecutive_failures < eject_failures => return false,
            Health::Healthy => 0,
        };
        let factor = (1_u64 << times.min(31)).min(u64::from(MAX_EJECT_FACTOR));
        self.health = Health::Ejected {
            until: now + eject_us * factor,
            times: times + 1,
        };
        self.trial = false;
        true
    }

    /// Ends a trial call whose outcome says nothing about the target's health.
    pub fn end_trial(&mut self) {
        self.trial = false;
    }

    /// Records that the target has no capacity until about `until`.
    pub fn record_refusal(&mut self, until: Micros) {
        self.refused_until = until;
    }

    /// Records that the target takes no new calls.
    pub fn drain(&mut self) {
        self.health = Health::Draining;
    }

    /// Records that the target takes calls again after draining.
    pub fn resume(&mut self, now: Micros) {
        if self.health == Health::Draining {
            self.health = Health::Healthy;
            self.ramp_start = now;
        }
    }

    /// Records a load report of the target's daemon.
    pub fn record_load(&mut self, now: Micros, load: TargetLoad, averages: &mut ServiceAverages) {
        let own = self.outstanding.min(load.total_calls());
        let others = f64::from(load.total_calls() - own);
        averages.record_load(load, others);
        self.load = Some(LoadSample {
            others,
            slots: load.slots.max(1),
            at: now,
        });
        self.slowness = load.slowness(now).or(self.slowness);
        if let Some(notice) = load.notice {
            self.limit = notice.limit;
            self.share = notice.share;
        }
        if load.service_us > 0 {
            self.service_us = Some(f64::from(load.service_us));
            self.service_at = now;
        }
    }

    /// The expected service time, which returns to the service's average with age.
    pub fn service_us(&self, now: Micros, averages: &ServiceAverages) -> f64 {
        let average_us = averages.service_us;
        let Some(known) = self.service_us else {
            return average_us;
        };
        let weight = decay(now - self.service_at.min(now), SERVICE_HALF_LIFE_US);
        let difference = (known - average_us) * weight;
        let noise = average_us * SERVICE_NOISE;
        average_us + difference - difference.clamp(-noise, noise)
    }

    /// The expected path time, which returns to the usual one with age: a single slow
    /// path must not keep a target idle for ever.
    pub fn path_us(&self, now: Micros) -> f64 {
        let weight = decay(now - self.path_at.min(now), PATH_HALF_LIFE_US);
        self.usual_path_us + (self.path_us - self.usual_path_us) * weight
    }

    /// The expected number of calls at the target: this router's exactly, and those of others
    /// as last reported, which returns to the service's average with age. A target without
    /// recent reports is not assumed to be idle.
    pub fn load(&self, now: Micros, averages: &ServiceAverages) -> f64 {
        let others = self.load.map_or(averages.others, |known| {
            let weight = decay(
                now - known.at.min(now),
                LOAD_HALF_LIFE * averages.service_us,
            );
            averages.others + (known.others - averages.others) * weight
        });
        f64::from(self.outstanding) + others
    }

    /// Expected time in microseconds until a call sent now is answered.
    pub fn expected_finish_us(
        &self,
        now: Micros,
        averages: &ServiceAverages,
        ramp_us: Micros,
    ) -> f64 {
        let service = self.service_us(now, averages);
        let known_slots = self.load.map(|known| f64::from(known.slots));
        let slots = known_slots.unwrap_or(averages.slots);
        let load = self.load(now, averages);
        let queued = (load + 1.0 - slots).max(0.0);
        let wait = queued * service / slots;
        let penalty = service * (load / slots).min(1.0) * LOAD_PENALTY;
        let refused = self.refused_until.saturating_sub(now) as f64;
        (self.path_us(now) + service + penalty + wait.max(refused)) * self.ramp_factor(now, ramp_us)
    }

    /// Sets how far away it is.
    pub fn set_distance(&mut self, distance: Distance) {
        self.distance = distance;
    }

    /// How far away it is.
    pub fn distance(&self) -> Distance {
        self.distance
    }

    /// The rate limit that it states.
    pub fn limit(&self) -> Option<RateLimit> {
        self.limit
    }

    /// The share of calls that it is offered.
    pub fn share(&self) -> OfferShare {
        self.share
    }

    /// The last reading of its slowness.
    pub fn slowness(&self) -> Option<SlownessReading> {
        self.slowness
    }

    /// The delays that a call sent now would meet.
    pub fn prospect(&self, now: Micros, averages: &ServiceAverages) -> TargetEstimate {
        let known_slots = self.load.map(|known| f64::from(known.slots));
        let slots = known_slots.unwrap_or(averages.slots);
        let queued = (self.load(now, averages) + 1.0 - slots).max(0.0);
        TargetEstimate {
            path_us: self.path_us(now),
            wait_us: queued * averages.service_us / slots,
            unavailable_us: self.refused_until.saturating_sub(now) as f64,
        }
    }

    /// Factor by which it counts as slower while it ramps up.
    pub fn ramp_factor(&self, now: Micros, ramp_us: Micros) -> f64 {
        let age = now.saturating_sub(self.ramp_start);
        if age >= ramp_us {
            return 1.0;
        }
        let left = 1.0 - age as f64 / ramp_us as f64;
        1.0 + (RAMP_START_FACTOR - 1.0) * left
    }
}

/// Fraction of a service time by which a target with all slots taken counts as slower than an
/// idle one. It spreads calls over equal targets, so that routers with the same outdated load
/// reports do not all select the same target.
const LOAD_PENALTY: f64 = 0.5;

/// Weight of a measurement of this age.
fn decay(age_us: Micros, half_life_us: f64) -> f64 {
    (-(age_us as f64) / half_life_us).exp2()
}
