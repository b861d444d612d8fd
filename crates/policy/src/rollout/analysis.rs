//! Whether a new version is bad, from what target halves counted.
//!
//! For each target of the new version, for each kind of call and for all, a cumulative sum
//! test (Page, 1954) compares its failures and its slow answers with those of the old
//! version's targets in the same time. It forgets good times, so that a version that turns bad
//! late is found as fast as one that was bad from the start.
//!
//! Single targets fail or are slow for reasons of their own. A target whose test speaks
//! against it is set aside, so that the next one is tried; the version is bad once that
//! happens to a second one, or there is no other, or several gave bad answers and the test of
//! all together speaks against them, or its bad answers are too many in all.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use super::evidence::{HalfEvidence, KINDS_LIMIT, Tally, time_class};
use crate::ids::Micros;
use crate::work::CallKind;

/// Sum of log-likelihoods at which a test speaks against a target: a good one gets there
/// about once in e^8, some 3,000, calls that begin anew.
const BAD_SUM: f64 = 8.0;
/// The same for a second target: two that fail for reasons of their own are rare.
const SECOND_BAD_SUM: f64 = 6.0;
/// Sum at which the version is not found good, and the one after a target was set aside.
const DOUBTFUL_SUM: f64 = 3.0;
const SECOND_DOUBTFUL_SUM: f64 = 2.0;
/// Factor on the calls that are enough once a target was set aside.
const SECOND_ENOUGH: u32 = 3;
/// Least share of failures and of slow answers that the old version is taken to have.
const LEAST_FAILED: f64 = 0.01;
const LEAST_SLOW: f64 = 0.02;
/// Factor on the old version's shares that is no reason to think ill of the new one.
const TOLERANCE: f64 = 1.5;
/// Further share of failures and of slow answers that the tests look for. Lower shares are
/// found as well, but later.
const MORE_FAILED: f64 = 0.10;
const MORE_SLOW: f64 = 0.15;
/// Highest share of failures or slow answers that the old version is taken to have: with
/// more, the test would divide by nearly nothing.
const MOST: f64 = 0.95;
/// Classes of time above the old version's median from which an answer is slow: between 2.4
/// and 3.4 times as long.
const SLOW_CLASSES: u8 = 3;
/// Time in microseconds below which no answer is slow: a busy host keeps its processes waiting
/// that long.
const LEAST_SLOW_US: u32 = 20_000;
/// Timed answers of the old version without which no answer counts as slow.
const BASE_TIMED: f64 = 20.0;
/// Time after which the old version's calls count half, in microseconds: the new one is
/// compared with the old one in the same time.
const BASE_HALF_LIFE_US: f64 = 2_000_000.0;
/// Bad answers beyond the expected ones at which the version is bad, whichever targets gave
/// them, but for one that was set aside. It is half of those after which the time for the
/// roll-back runs.
const BAD_LIMIT: f64 = 25.0;
/// Calls without which a version is not found good: of all kinds, and of each that makes up
/// more than [`MAIN_PART`] of the old version's calls.
const ENOUGH_CALLS: u32 = 20;
const ENOUGH_OF_KIND: u32 = 5;
const MAIN_PART: f64 = 0.05;
/// Standard deviations, and bad answers, above the expected ones that a good version may have.
const GOOD_DEVIATIONS: f64 = 2.5;
const GOOD_ALLOWANCE: f64 = 1.0;
/// Targets that must have given bad answers for the test of all of them to speak against the
/// version, and the part of the bad answers, as a divisor, that one of them may have given.
const POOLED_TARGETS: usize = 3;
const POOLED_PART: u32 = 2;
/// Halves whose evidence is kept at most.
const HALVES_LIMIT: usize = 512;

/// What speaks against a version.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// Its targets fail calls.
    Failures,
    /// Its targets are slow.
    Slowness,
    /// It gave too many bad answers in all.
    TooManyBad,
}

/// Whether a version is fit to take all calls.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Readiness {
    /// Enough calls went well.
    Good,
    /// Too few calls were made to say.
    TooFew,
    /// Something speaks against it, if not enough to call it bad.
    Doubtful,
}

/// Recent calls of one kind at one target of the old version.
#[derive(Clone, Debug, Default)]
struct HostBase {
    calls: f64,
    failed: f64,
    times: BTreeMap<u8, f64>,
    at: Micros,
}

impl HostBase {
    fn add(&mut self, now: Micros, more: &Tally) {
        let age = now.saturating_sub(self.at) as f64;
        let kept = (-age / BASE_HALF_LIFE_US).exp2();
        self.at = now;
        self.calls = self.calls * kept + f64::from(more.calls);
        self.failed = self.failed * kept + f64::from(more.failed);
        for count in self.times.values_mut() {
            *count *= kept;
        }
        for (class, count) in &more.times {
            *self.times.entry(*class).or_default() += f64::from(*count);
        }
    }

    fn timed(&self) -> f64 {
        self.times.values().sum()
    }

    fn slow(&self, slow_from: u8) -> f64 {
        self.times.range(slow_from..).map(|(_, count)| count).sum()
    }
}

/// Recent calls of the old version of one kind, by target.
#[derive(Clone, Debug, Default)]
struct Base {
    hosts: BTreeMap<String, HostBase>,
}

impl Base {
    fn calls(&self) -> f64 {
        self.hosts.values().map(|host| host.calls).sum()
    }

    /// The lowest class that is slow, once enough answers were timed.
    fn slow_from(&self) -> Option<u8> {
        let timed: f64 = self.hosts.values().map(HostBase::timed).sum();
        if timed < BASE_TIMED {
            return None;
        }
        let mut times: BTreeMap<u8, f64> = BTreeMap::new();
        for (class, count) in self.hosts.values().flat_map(|host| &host.times) {
            *times.entry(*class).or_default() += count;
        }
        let mut below = 0.0;
        let median = times.iter().find(|(_, count)| {
            below += **count;
            below * 2.0 >= timed
        });
        let least = time_class(LEAST_SLOW_US);
        median.map(|(class, _)| class.saturating_add(SLOW_CLASSES).max(least))
    }

    fn failed_share(&self) -> f64 {
        let shares = self.hosts.values().map(|host| (host.failed, host.calls));
        (share_without_worst(shares) * TOLERANCE).clamp(LEAST_FAILED, MOST)
    }

    fn slow_share(&self, slow_from: u8) -> f64 {
        let hosts = self.hosts.values();
        let shares = hosts.map(|host| (host.slow(slow_from), host.timed()));
        (share_without_worst(shares) * TOLERANCE).clamp(LEAST_SLOW, MOST)
    }
}

/// Share of bad ones among calls, without the target that has most of them: one that is ill
/// says nothing of its version.
fn share_without_worst(hosts: impl Iterator<Item = (f64, f64)>) -> f64 {
    let mut hosts: Vec<(f64, f64)> = hosts.collect();
    hosts.sort_by(|one, other| other.0.total_cmp(&one.0));
    let kept = if hosts.len() > 1 {
        &hosts[1..]
    } else {
        &hosts[..]
    };
    let (bad, calls) = kept.iter().fold((0.0, 0.0), |(bad, calls), host| {
        (bad + host.0, calls + host.1)
    });
    bad / f64::max(calls, 1.0)
}

/// Calls that came since the last look, and the bad ones among them.
#[derive(Clone, Copy, Debug, Default)]
struct Sample {
    calls: u32,
    bad: u32,
    /// Share of bad ones that is expected.
    expected: f64,
}

impl Sample {
    /// Log-likelihood of this sample for a version with `more` bad answers, against one with
    /// the expected share.
    fn speaks_against(self, more: f64) -> f64 {
        let usual = self.expected;
        let bad = (usual + more).min((1.0 + usual) / 2.0);
        let good = self.calls.saturating_sub(self.bad);
        f64::from(self.bad) * (bad / usual).ln()
            + f64::from(good) * ((1.0 - bad) / (1.0 - usual)).ln()
    }
}

/// The tests of one target, for one kind of call or all.
#[derive(Clone, Copy, Debug, Default)]
struct Tests {
    failures: f64,
    slowness: f64,
}

impl Tests {
    fn add(&mut self, failures: Sample, slowness: Sample) {
        if failures.calls > 0 {
            let sum = self.failures + failures.speaks_against(MORE_FAILED);
            self.failures = sum.max(0.0);
        }
        if slowness.calls > 0 {
            let sum = self.slowness + slowness.speaks_against(MORE_SLOW);
            self.slowness = sum.max(0.0);
        }
    }

    /// What speaks against the target with sums of `limit`.
    fn fault(&self, limit: f64) -> Option<Fault> {
        match (self.failures >= limit, self.slowness >= limit) {
            (true, _) => Some(Fault::Failures),
            (false, true) => Some(Fault::Slowness),
            (false, false) => None,
        }
    }
}

/// Calls and bad answers of a target.
#[derive(Clone, Copy, Debug, Default)]
struct Total {
    calls: u32,
    bad: u32,
    expected: f64,
}

impl Total {
    fn add(&mut self, sample: Sample, counts_calls: bool) {
        if counts_calls {
            self.calls = self.calls.saturating_add(sample.calls);
        }
        self.bad = self.bad.saturating_add(sample.bad);
        self.expected += f64::from(sample.calls) * sample.expected;
    }
}

/// Weighs the evidence about one order.
#[derive(Clone, Debug, Default)]
pub struct Judge {
    /// What of each half's evidence was weighed.
    weighed: HashMap<(String, u64), HalfEvidence>,
    base: BTreeMap<CallKind, Base>,
    tests: HashMap<(String, Option<CallKind>), Tests>,
    /// The tests of all targets together.
    pooled: HashMap<Option<CallKind>, Tests>,
    totals: BTreeMap<(String, CallKind), Total>,
    set_aside: BTreeSet<String>,
    fault: Option<Fault>,
}

impl Judge {
    /// Takes a half's evidence; `is_new` says whether its target has the new version. Old and
    /// repeated copies change nothing.
    pub fn take(&mut self, now: Micros, evidence: &HalfEvidence, is_new: bool) {
        let id = (evidence.host.clone(), evidence.incarnation);
        if !self.weighed.contains_key(&id) && self.weighed.len() >= HALVES_LIMIT {
            return;
        }
        let mut weighed = self.weighed.remove(&id).unwrap_or_default();
        for (kind, tally) in evidence.kinds.iter().take(KINDS_LIMIT) {
            let before = weighed.kinds.entry(*kind).or_default();
            match is_new {
                true => self.weigh(&evidence.host, *kind, tally, before),
                false => self.learn(now, &evidence.host, *kind, tally, before),
            }
            let has_base = self.slow_from(*kind).is_some();
            match is_new && !has_base {
                // Its times are weighed once there is something to compare them with.
                true => before.merge_failures(tally),
                false => before.merge(tally),
            }
        }
        self.weighed.insert(id, weighed);
    }

    fn slow_from(&self, kind: CallKind) -> Option<u8> {
        self.base.get(&kind)?.slow_from()
    }

    /// The old version's calls.
    fn learn(&mut self, now: Micros, host: &str, kind: CallKind, tally: &Tally, before: &Tally) {
        let more = Tally {
            calls: tally.calls.saturating_sub(before.calls),
            failed: tally.failed.saturating_sub(before.failed),
            times: since(&tally.times, &before.times),
            cut: BTreeMap::new(),
        };
        if more.calls > 0 {
            let base = self.base.entry(kind).or_default();
            let known = base.hosts.entry(host.to_owned()).or_default();
            known.add(now, &more);
        }
    }

    /// The new version's calls.
    fn weigh(&mut self, host: &str, kind: CallKind, tally: &Tally, before: &Tally) {
        let base = self.base.get(&kind).cloned().unwrap_or_default();
        let failures = Sample {
            calls: tally.calls.saturating_sub(before.calls),
            bad: tally.failed.saturating_sub(before.failed),
            expected: base.failed_share(),
        };
        let slowness = base.slow_from().map(|slow_from| {
            let times = since(&tally.times, &before.times);
            let cut = since(&tally.cut, &before.cut);
            let slow = |classes: &BTreeMap<u8, u32>| -> u32 {
                classes.range(slow_from..).map(|(_, count)| count).sum()
            };
            Sample {
                calls: times.values().sum::<u32>() + slow(&cut),
                bad: slow(&times) + slow(&cut),
                expected: base.slow_share(slow_from),
            }
        });
        let slowness = slowness.unwrap_or_default();
        let total = self.totals.entry((host.to_owned(), kind)).or_default();
        total.add(failures, true);
        total.add(slowness, false);
        self.test(host, Some(kind), failures, slowness);
        self.test(host, None, failures, slowness);
        if !self.set_aside.contains(host) {
            self.test_pooled(Some(kind), failures, slowness);
            self.test_pooled(None, failures, slowness);
        }
        self.limit_bad();
    }

    fn test(&mut self, host: &str, kind: Option<CallKind>, failures: Sample, slowness: Sample) {
        let tests = self.tests.entry((host.to_owned(), kind)).or_default();
        tests.add(failures, slowness);
        let others = self.set_aside.iter().any(|aside| aside != host);
        let limit = if others { SECOND_BAD_SUM } else { BAD_SUM };
        let Some(fault) = tests.fault(limit) else {
            return;
        };
        self.set_aside.insert(host.to_owned());
        if self.set_aside.len() > 1 {
            self.fault.get_or_insert(fault);
        }
    }

    fn test_pooled(&mut self, kind: Option<CallKind>, failures: Sample, slowness: Sample) {
        let tests = self.pooled.entry(kind).or_default();
        tests.add(failures, slowness);
        let fault = tests.fault(BAD_SUM);
        if fault.is_some() && self.bad_is_spread(kind) {
            self.fault = self.fault.or(fault);
        }
    }

    /// Whether several targets gave the bad answers, and none of them most.
    fn bad_is_spread(&self, kind: Option<CallKind>) -> bool {
        let mut by_host: BTreeMap<&str, u32> = BTreeMap::new();
        for ((host, of), total) in &self.totals {
            if total.bad > 0 && kind.is_none_or(|kind| kind == *of) {
                *by_host.entry(host).or_default() += total.bad;
            }
        }
        let all: u32 = by_host.values().sum();
        let most = by_host.values().max().copied().unwrap_or(0);
        by_host.len() >= POOLED_TARGETS && most * POOLED_PART <= all
    }

    fn limit_bad(&mut self) {
        let totals = self.totals.iter();
        let kept = totals.filter(|((host, _), _)| !self.set_aside.contains(host));
        let excess: f64 = kept
            .map(|(_, total)| f64::from(total.bad) - total.expected)
            .sum();
        if excess >= BAD_LIMIT {
            self.fault.get_or_insert(Fault::TooManyBad);
        }
    }

    /// What speaks against the version, where `targets` are known to have it.
    pub fn fault(&self, targets: usize) -> Option<Fault> {
        let is_alone = targets <= 1 && !self.set_aside.is_empty();
        self.fault.or(is_alone.then_some(Fault::TooManyBad))
    }

    /// Hosts of targets that spoke against the version and are tried no more.
    pub fn set_aside(&self) -> &BTreeSet<String> {
        &self.set_aside
    }

    /// Calls and bad answers of the new version that were told of.
    pub fn seen(&self) -> (u32, u32) {
        let totals = self.totals.values();
        totals.fold((0, 0), |(calls, bad), total| {
            (
                calls.saturating_add(total.calls),
                bad.saturating_add(total.bad),
            )
        })
    }

    /// Whether the version is fit to take all calls.
    pub fn readiness(&self) -> Readiness {
        let (factor, suspect_sum) = match self.set_aside.is_empty() {
            true => (1, DOUBTFUL_SUM),
            false => (SECOND_ENOUGH, SECOND_DOUBTFUL_SUM),
        };
        let all = self.total(None);
        if all.calls < ENOUGH_CALLS * factor || !self.has_main_kinds(ENOUGH_OF_KIND * factor) {
            return Readiness::TooFew;
        }
        let mut kinds: Vec<Option<CallKind>> = self.base.keys().copied().map(Some).collect();
        kinds.push(None);
        let is_doubted = |kind: Option<CallKind>| {
            let total = self.total(kind);
            let allowed = total.expected + GOOD_DEVIATIONS * total.expected.sqrt() + GOOD_ALLOWANCE;
            f64::from(total.bad) > allowed
        };
        let tests = self.tests.iter();
        let mut kept = tests.filter(|((host, _), _)| !self.set_aside.contains(host));
        let is_suspect = |tests: &Tests| tests.failures.max(tests.slowness) >= suspect_sum;
        match kinds.into_iter().any(is_doubted) || kept.any(|(_, tests)| is_suspect(tests)) {
            true => Readiness::Doubtful,
            false => Readiness::Good,
        }
    }

    /// Whether each kind that makes up a good part of the calls was tried.
    fn has_main_kinds(&self, enough: u32) -> bool {
        let all: f64 = self.base.values().map(Base::calls).sum();
        let mut main = self
            .base
            .iter()
            .filter(|(_, base)| base.calls() >= MAIN_PART * all && base.calls() > 0.0);
        main.all(|(kind, _)| self.total(Some(*kind)).calls >= enough)
    }

    /// The calls of a kind, or of all, at targets that are not set aside.
    fn total(&self, kind: Option<CallKind>) -> Total {
        let totals = self.totals.iter();
        let wanted = totals.filter(|((host, of), _)| {
            kind.is_none_or(|kind| kind == *of) && !self.set_aside.contains(host)
        });
        wanted.fold(Total::default(), |sum, (_, total)| Total {
            calls: sum.calls.saturating_add(total.calls),
            bad: sum.bad.saturating_add(total.bad),
            expected: sum.expected + total.expected,
        })
    }
}

/// What was added to counts since a copy of them.
fn since(counts: &BTreeMap<u8, u32>, before: &BTreeMap<u8, u32>) -> BTreeMap<u8, u32> {
    let more = counts.iter().map(|(class, count)| {
        let known = before.get(class).copied().unwrap_or(0);
        (*class, count.saturating_sub(known))
    });
    more.filter(|(_, count)| *count > 0).collect()
}
