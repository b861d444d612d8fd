//! What one router knows of one target: its load, its speed, its health.
//!
//! A figure is exact when it is taken and wrong a moment later, so trust in it
//! halves with its age. Errors and refusals never make a target look better.

use crate::distance::Distance;
use crate::ids::Micros;
use crate::slowness::SlownessReading;
use crate::target_load::TargetLoad;
use crate::utility::TargetEstimate;

/// Age at which half of a load figure is still believed, in service times: calls
/// come and go within one.
const LOAD_HALF_LIFE: f64 = 0.4;
/// Age at which half of a service time is still believed.
const SERVICE_HALF_LIFE_US: f64 = 1_000_000.0;
/// Differences of service times up to this part of the usual one are noise of the
/// running means; to follow them would crowd whichever target had luck last.
const SERVICE_NOISE: f64 = 0.4;
/// Age at which half of a path time is still believed.
const PATH_HALF_LIFE_US: f64 = 500_000.0;
/// Service time assumed before any was seen.
const FIRST_SERVICE_US: f64 = 1_000.0;
/// Weight of one sample in what is usual for a service.
const USUAL_WEIGHT: f64 = 0.02;
/// Weight of one sample in a running mean.
const MEAN_WEIGHT: f64 = 0.2;
/// Longest ejection, as a multiple of the first.
const EJECT_GROWTH_LIMIT: u32 = 8;
/// A cold target looks this many times slower at the start of its ramp.
const COLD_FACTOR: f64 = 4.0;

/// Whether a target may be chosen.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Health {
    /// Chosen by its score.
    Healthy,
    /// Not chosen before this time; then by one trial call at a time.
    Ejected {
        /// When a trial call may be sent.
        until: Micros,
        /// How often in a row it was ejected.
        times: u32,
    },
    /// Takes no new calls.
    Leaving,
}

/// One router's view of one target.
#[derive(Clone, Debug)]
pub struct TargetState {
    health: Health,
    linked: bool,
    trial: bool,
    outstanding: u32,
    picked: u64,
    figures: Option<Known>,
    service_us: Option<f64>,
    service_at: Micros,
    usual_path_us: f64,
    path_us: f64,
    path_at: Micros,
    failures_in_row: u32,
    warm_from: Micros,
    refused_until: Micros,
    slowness: Option<SlownessReading>,
    distance: Distance,
    doubted: bool,
    /// Present while nothing listens at its address, as its daemon says: when a call may find
    /// out whether that still holds.
    down_until: Option<Micros>,
}

/// What is usual among the targets of a service: what to expect of one that has
/// not been heard of for long.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Usual {
    /// Service time in microseconds.
    pub service_us: f64,
    /// Calls of other routers at one target.
    pub others: f64,
    /// Slots of one target.
    pub slots: f64,
}

impl Default for Usual {
    fn default() -> Self {
        Usual {
            service_us: FIRST_SERVICE_US,
            others: 0.0,
            slots: 1.0,
        }
    }
}

impl Usual {
    /// Takes a target's figures into account. `others` of its calls are not ours.
    fn learn(&mut self, figures: TargetLoad, others: f64) {
        let near = |mean: &mut f64, sample: f64| *mean += USUAL_WEIGHT * (sample - *mean);
        near(&mut self.others, others);
        self.slots = f64::from(figures.slots.max(1));
        if figures.service_us > 0 {
            near(&mut self.service_us, f64::from(figures.service_us));
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Known {
    others: f64,
    slots: u32,
    at: Micros,
}

impl TargetState {
    /// A target never heard of, `path_us` away there and back.
    pub fn new(now: Micros, path_us: f64) -> Self {
        TargetState {
            health: Health::Healthy,
            linked: true,
            trial: false,
            outstanding: 0,
            picked: 0,
            figures: None,
            service_us: None,
            service_at: now,
            usual_path_us: path_us,
            path_us,
            path_at: now,
            failures_in_row: 0,
            warm_from: now,
            refused_until: 0,
            slowness: None,
            distance: Distance::default(),
            doubted: false,
            down_until: None,
        }
    }

    /// Whether it may be chosen now.
    pub fn available(&self, now: Micros) -> bool {
        let is_down = self
            .down_until
            .is_some_and(|until| now < until || self.trial);
        if !self.linked || is_down {
            return false;
        }
        match self.health {
            Health::Healthy => true,
            Health::Ejected { until, .. } => now >= until && !self.trial,
            Health::Leaving => false,
        }
    }

    /// Whether a link to its daemon stands.
    pub fn is_linked(&self) -> bool {
        self.linked
    }

    /// The link to its daemon was made or lost. A target without one is not
    /// chosen, so no call waits for a connection to be made.
    pub fn set_linked(&mut self, linked: bool) {
        self.linked = linked;
        self.doubted = false;
    }

    /// Whether the link to its daemon may be silent.
    pub fn is_doubted(&self) -> bool {
        self.doubted
    }

    /// There is reason to think that the link to its daemon is silent, or it was heard from.
    pub fn set_doubted(&mut self, doubted: bool) {
        self.doubted = doubted;
    }

    /// Whether nothing listens at its address, as its daemon says.
    pub fn is_down(&self) -> bool {
        self.down_until.is_some()
    }

    /// Its daemon says that nothing listens at its address. It is not chosen until the daemon
    /// says otherwise, but for one call at a time after `trial_us`: word may have been lost.
    pub fn went_down(&mut self, now: Micros, trial_us: Micros) {
        self.down_until = Some(now + trial_us);
        self.trial = false;
    }

    /// Something listens at its address again: a new process, which earlier failures say
    /// nothing about.
    pub fn came_up(&mut self, now: Micros) {
        if self.down_until.take().is_none() {
            return;
        }
        self.trial = false;
        self.failures_in_row = 0;
        self.warm_from = now;
        if matches!(self.health, Health::Ejected { .. }) {
            self.health = Health::Healthy;
        }
    }

    /// Its daemon is another incarnation: what was known of the old is void.
    pub fn replaced(&mut self, now: Micros) {
        *self = TargetState {
            outstanding: self.outstanding,
            linked: self.linked,
            distance: self.distance,
            ..TargetState::new(now, self.usual_path_us)
        };
    }

    /// Health as last judged.
    pub fn health(&self) -> Health {
        self.health
    }

    /// Calls this router sent that are not answered.
    pub fn outstanding(&self) -> u32 {
        self.outstanding
    }

    /// Number of the router's pick that chose it last; 0 before the first.
    pub fn picked(&self) -> u64 {
        self.picked
    }

    /// A call was sent: the router's pick of this number.
    pub fn sent(&mut self, pick: u64) {
        self.picked = pick;
        self.outstanding += 1;
        self.trial = self.is_down() || matches!(self.health, Health::Ejected { .. });
    }

    /// A sent call ended, however it ended.
    pub fn ended(&mut self) {
        self.outstanding = self.outstanding.saturating_sub(1);
    }

    /// The target served a call; `path_us` is the time spent outside of it.
    pub fn served(&mut self, now: Micros, path_us: Option<f64>) {
        self.failures_in_row = 0;
        if matches!(self.health, Health::Ejected { .. }) {
            self.health = Health::Healthy;
            self.warm_from = now;
        }
        self.trial = false;
        self.down_until = None;
        if let Some(sample) = path_us {
            let known = self.path_us(now);
            self.path_us = known + MEAN_WEIGHT * (sample - known);
            self.path_at = now;
        }
    }

    /// The target failed a call. Returns whether that ejected it.
    pub fn failed(&mut self, now: Micros, eject_failures: u32, eject_us: Micros) -> bool {
        self.failures_in_row += 1;
        let times = match self.health {
            Health::Leaving => return false,
            Health::Ejected { times, .. } => times,
            Health::Healthy if self.failures_in_row < eject_failures => return false,
            Health::Healthy => 0,
        };
        let growth = (1_u64 << times.min(31)).min(u64::from(EJECT_GROWTH_LIMIT));
        self.health = Health::Ejected {
            until: now + eject_us * growth,
            times: times + 1,
        };
        self.trial = false;
        true
    }

    /// A trial call ended without telling anything about health.
    pub fn trial_told_nothing(&mut self) {
        self.trial = false;
    }

    /// The target refused a call for want of room until about `until`.
    pub fn refused(&mut self, until: Micros) {
        self.refused_until = until;
    }

    /// The target takes no new calls from now on.
    pub fn leave(&mut self) {
        self.health = Health::Leaving;
    }

    /// The target's daemon says that it takes calls again.
    pub fn rejoin(&mut self, now: Micros) {
        if self.health == Health::Leaving {
            self.health = Health::Healthy;
            self.warm_from = now;
        }
    }

    /// Takes figures from the target's daemon.
    pub fn learn(&mut self, now: Micros, figures: TargetLoad, usual: &mut Usual) {
        let ours = self.outstanding.min(figures.total_calls());
        let others = f64::from(figures.total_calls() - ours);
        usual.learn(figures, others);
        self.figures = Some(Known {
            others,
            slots: figures.slots.max(1),
            at: now,
        });
        self.slowness = figures.slowness(now).or(self.slowness);
        if figures.service_us > 0 {
            self.service_us = Some(f64::from(figures.service_us));
            self.service_at = now;
        }
    }

    /// The service time to expect, which returns to the usual one as it grows old.
    pub fn service_us(&self, now: Micros, usual: &Usual) -> f64 {
        let usual_us = usual.service_us;
        let Some(known) = self.service_us else {
            return usual_us;
        };
        let trust = trust(now - self.service_at.min(now), SERVICE_HALF_LIFE_US);
        let apart = (known - usual_us) * trust;
        let noise = usual_us * SERVICE_NOISE;
        usual_us + apart - apart.clamp(-noise, noise)
    }

    /// The path time to expect, which returns to the usual one as it grows old: a
    /// single slow path must not keep a target idle for ever.
    pub fn path_us(&self, now: Micros) -> f64 {
        let trust = trust(now - self.path_at.min(now), PATH_HALF_LIFE_US);
        self.usual_path_us + (self.path_us - self.usual_path_us) * trust
    }

    /// Calls to expect at the target: ours exactly, others' as last told, and the
    /// usual number as that grows old. A target that was not heard of for a while
    /// is not an idle one.
    pub fn load(&self, now: Micros, usual: &Usual) -> f64 {
        let others = self.figures.map_or(usual.others, |known| {
            let trust = trust(now - known.at.min(now), LOAD_HALF_LIFE * usual.service_us);
            usual.others + (known.others - usual.others) * trust
        });
        f64::from(self.outstanding) + others
    }

    /// Time in microseconds after which a call sent now should be back.
    pub fn expected_finish_us(&self, now: Micros, usual: &Usual, ramp_us: Micros) -> f64 {
        let service = self.service_us(now, usual);
        let known_slots = self.figures.map(|known| f64::from(known.slots));
        let slots = known_slots.unwrap_or(usual.slots);
        let load = self.load(now, usual);
        let queued = (load + 1.0 - slots).max(0.0);
        let wait = queued * service / slots;
        let spread = service * (load / slots).min(1.0) * SPREAD;
        let refused = self.refused_until.saturating_sub(now) as f64;
        (self.path_us(now) + service + spread + wait.max(refused)) * self.cold(now, ramp_us)
    }

    /// Says how far away it is.
    pub fn set_distance(&mut self, distance: Distance) {
        self.distance = distance;
    }

    /// How far away it is.
    pub fn distance(&self) -> Distance {
        self.distance
    }

    /// The last reading of its slowness.
    pub fn slowness(&self) -> Option<SlownessReading> {
        self.slowness
    }

    /// What a call sent now would find there.
    pub fn prospect(&self, now: Micros, usual: &Usual) -> TargetEstimate {
        let known_slots = self.figures.map(|known| f64::from(known.slots));
        let slots = known_slots.unwrap_or(usual.slots);
        let queued = (self.load(now, usual) + 1.0 - slots).max(0.0);
        TargetEstimate {
            path_us: self.path_us(now),
            wait_us: queued * usual.service_us / slots,
            unavailable_us: self.refused_until.saturating_sub(now) as f64,
        }
    }

    /// How much slower it is for being cold.
    pub fn cold(&self, now: Micros, ramp_us: Micros) -> f64 {
        let age = now.saturating_sub(self.warm_from);
        if age >= ramp_us {
            return 1.0;
        }
        let left = 1.0 - age as f64 / ramp_us as f64;
        1.0 + (COLD_FACTOR - 1.0) * left
    }
}

/// Part of a service time by which a target with all slots taken looks slower
/// than an idle one. It spreads calls over equals, so that routers that see the
/// same old figures do not all pick the same target.
const SPREAD: f64 = 0.5;

fn trust(age_us: Micros, half_life_us: f64) -> f64 {
    (-(age_us as f64) / half_life_us).exp2()
}
