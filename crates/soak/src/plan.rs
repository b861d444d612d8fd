//! Which fault strikes what, when and for how long: decided by a seed alone.

use std::time::Duration;

use lynxcleat_standin::Stutter;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use serde::Serialize;

use crate::proxy::ProxyMode;

/// Shortest and longest time of one fault, in milliseconds.
const FAULT_MS: (u64, u64) = (200, 2_500);
/// Longest delay that a proxy adds to each piece of data, in milliseconds.
const DELAY_MS: (u64, u64) = (5, 150);
/// Mean pause between two faults, in milliseconds; faults last longer, so they overlap.
const PAUSE_MS: (u64, u64) = (50, 900);

/// Pause between two ends of targets, in milliseconds.
const END_PAUSE_MS: (u64, u64) = (300, 1_800);

/// Pause between two statements of targets, in milliseconds.
const STATEMENT_PAUSE_MS: (u64, u64) = (400, 2_000);

/// Pause between two spells in which answers of a target are spoiled, in milliseconds.
const STUTTER_PAUSE_MS: (u64, u64) = (200, 1_000);
/// Number that is mixed into the seed of these spells.
const STUTTER_SALT: u64 = 0x5eed_0065;

/// Trouble of a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum TargetTrouble {
    /// Takes eight times as long.
    Slow,
    /// Fails everything at once.
    FailFast,
    /// Says of everything that it was not run.
    Shed,
    /// Runs calls and answers none until it is over.
    Frozen,
    /// Runs calls and cuts the answers.
    CutAnswers,
    /// Runs calls and closes without an answer.
    DropAnswers,
    /// Says that it drains.
    Draining,
    /// States in its answers that it takes a few calls a second.
    RateLimited,
}

/// Trouble of the platform.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum PlatformTrouble {
    /// Refuses everything.
    Down,
    /// Answers 300 ms late.
    Slow,
    /// Does the next writes and loses their answers.
    LostAnswers,
    /// Reads are two seconds old.
    StaleReads,
}

/// One fault.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "kind")]
pub enum Fault {
    /// A target is in trouble.
    Target {
        /// Number of its host.
        host: usize,
        /// What is wrong.
        trouble: TargetTrouble,
    },
    /// Some answers of a target are spoiled on the wire.
    Stutters {
        /// Number of its host.
        host: usize,
        /// How.
        stutter: Stutter,
    },
    /// A target ends with all that it has in hand, and is back when the time is over.
    TargetEnds {
        /// Number of its host.
        host: usize,
    },
    /// A target says in its answers that it leaves; when the time is over it ends, and another
    /// takes its place.
    TargetLeaves {
        /// Number of its host.
        host: usize,
    },
    /// The platform is in trouble.
    Platform {
        /// What is wrong.
        trouble: PlatformTrouble,
    },
    /// The way from one daemon to the platform is disturbed.
    PlatformLink {
        /// Number of the daemon's host.
        host: usize,
        /// How.
        mode: ProxyMode,
    },
    /// The ways from the other daemons to one daemon are disturbed.
    MeshLink {
        /// Number of the daemon's host.
        host: usize,
        /// How.
        mode: ProxyMode,
    },
    /// A daemon is asked to stop, and started again once it ended and the time is over.
    Terminate {
        /// Number of its host.
        host: usize,
    },
    /// A daemon is killed, and started again when the time is over.
    Kill {
        /// Number of its host.
        host: usize,
    },
    /// Most daemons are killed at the same moment.
    KillMost,
    /// A daemon is paused and resumed when the time is over.
    Pause {
        /// Number of its host.
        host: usize,
    },
    /// An operator accepts a change of the settings.
    Accept,
}

/// One step of a plan.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Step {
    /// When it begins, from the start of traffic.
    pub at: Duration,
    /// How long it lasts.
    pub lasts: Duration,
    /// What it is.
    pub fault: Fault,
}

/// The faults of one run.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Plan {
    /// The seed that made it.
    pub seed: u64,
    /// Its steps, in the order of their begin.
    pub steps: Vec<Step>,
}

impl Plan {
    /// The plan of a seed, for so many hosts and so long a time.
    pub fn new(seed: u64, hosts: usize, time: Duration) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut steps = Vec::new();
        let mut at = Duration::ZERO;
        loop {
            at += milliseconds(&mut rng, PAUSE_MS);
            let lasts = milliseconds(&mut rng, FAULT_MS);
            let fault = fault(&mut rng, hosts);
            if at + lasts > time {
                break;
            }
            steps.push(Step { at, lasts, fault });
        }
        steps.extend(ends_of_targets(seed, hosts, time));
        steps.extend(statements_of_targets(seed, hosts, time));
        steps.extend(stutters_of_targets(seed, hosts, time));
        steps.sort_by_key(|step| step.at);
        Plan { seed, steps }
    }
}

/// Ends of targets, drawn by themselves: the other faults of a seed stay what they were.
fn ends_of_targets(seed: u64, hosts: usize, time: Duration) -> Vec<Step> {
    let rng = SmallRng::seed_from_u64(!seed);
    steps_of_targets(rng, END_PAUSE_MS, (hosts, time), |_, host| {
        Fault::TargetEnds { host }
    })
}

/// What targets state in their answers, drawn by itself for the same reason.
fn statements_of_targets(seed: u64, hosts: usize, time: Duration) -> Vec<Step> {
    let rng = SmallRng::seed_from_u64(seed.rotate_left(32));
    steps_of_targets(rng, STATEMENT_PAUSE_MS, (hosts, time), |rng, host| {
        let trouble = TargetTrouble::RateLimited;
        match rng.random_bool(0.5) {
            true => Fault::TargetLeaves { host },
            false => Fault::Target { host, trouble },
        }
    })
}

/// Answers that are spoiled on the wire, drawn by themselves for the same reason.
fn stutters_of_targets(seed: u64, hosts: usize, time: Duration) -> Vec<Step> {
    let rng = SmallRng::seed_from_u64(seed ^ STUTTER_SALT);
    steps_of_targets(rng, STUTTER_PAUSE_MS, (hosts, time), |rng, host| {
        let stutter = stutter(rng);
        Fault::Stutters { host, stutter }
    })
}

fn stutter(rng: &mut SmallRng) -> Stutter {
    match rng.random_range(0..6) {
        0 => Stutter::TwiceLate,
        1 => Stutter::TwiceAtOnce,
        2 => Stutter::SecondNameless,
        3 => Stutter::HeadCut,
        4 => Stutter::BodyCut,
        _ => Stutter::SurplusBytes,
    }
}

/// Faults of targets one after the other, until the time is over.
fn steps_of_targets(
    mut rng: SmallRng,
    pause_ms: (u64, u64),
    (hosts, time): (usize, Duration),
    fault: impl Fn(&mut SmallRng, usize) -> Fault,
) -> Vec<Step> {
    let mut steps = Vec::new();
    let mut at = Duration::ZERO;
    loop {
        at += milliseconds(&mut rng, pause_ms);
        let lasts = milliseconds(&mut rng, FAULT_MS);
        let host = rng.random_range(0..hosts);
        let fault = fault(&mut rng, host);
        if at + lasts > time {
            return steps;
        }
        steps.push(Step { at, lasts, fault });
    }
}

fn milliseconds(rng: &mut SmallRng, (least, most): (u64, u64)) -> Duration {
    Duration::from_millis(rng.random_range(least..=most))
}

fn fault(rng: &mut SmallRng, hosts: usize) -> Fault {
    let host = rng.random_range(0..hosts);
    match rng.random_range(0..17) {
        0..=3 => Fault::Target {
            host,
            trouble: target_trouble(rng),
        },
        4..=5 => Fault::Platform {
            trouble: platform_trouble(rng),
        },
        6..=7 => Fault::PlatformLink {
            host,
            mode: mode(rng),
        },
        8..=10 => Fault::MeshLink {
            host,
            mode: mode(rng),
        },
        11 => Fault::Terminate { host },
        12 => Fault::Kill { host },
        13 if rng.random_bool(0.3) => Fault::KillMost,
        13 | 14 => Fault::Pause { host },
        _ => Fault::Accept,
    }
}

fn target_trouble(rng: &mut SmallRng) -> TargetTrouble {
    match rng.random_range(0..7) {
        0 => TargetTrouble::Slow,
        1 => TargetTrouble::FailFast,
        2 => TargetTrouble::Shed,
        3 => TargetTrouble::Frozen,
        4 => TargetTrouble::CutAnswers,
        5 => TargetTrouble::DropAnswers,
        _ => TargetTrouble::Draining,
    }
}

fn platform_trouble(rng: &mut SmallRng) -> PlatformTrouble {
    match rng.random_range(0..4) {
        0 => PlatformTrouble::Down,
        1 => PlatformTrouble::Slow,
        2 => PlatformTrouble::LostAnswers,
        _ => PlatformTrouble::StaleReads,
    }
}

fn mode(rng: &mut SmallRng) -> ProxyMode {
    match rng.random_range(0..5) {
        0 => ProxyMode::Delay(milliseconds(rng, DELAY_MS)),
        1 => ProxyMode::Silent,
        2 => ProxyMode::SilentTo,
        3 => ProxyMode::SilentFrom,
        _ => ProxyMode::Reset,
    }
}
