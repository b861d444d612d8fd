//! Canary analysis: decides from the evidence of all targets whether a new version is bad.
//!
//! For each target of the new version, per kind of call and over all kinds, a cumulative sum
//! (CUSUM) test (Page, 1954) compares its failures and slow answers with those of the old
//! version's targets over the same period. The sum never falls below zero, so that a version
//! that turns bad late is detected as fast as one that was bad from the start.
//!
//! A single target may fail or be slow for reasons unrelated to its version. A target that
//! fails its test is therefore excluded and the next one gets the canary calls. The version is
//! bad once a second target fails, or there is no other target, or several targets gave bad
//! answers and the pooled test of all of them fails, or the bad answers exceed a total limit.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use super::evidence::{CallCounts, MAX_KINDS, TargetEvidence, latency_bucket};
use crate::ids::Micros;
use crate::service_time::CallKind;

/// Sum of log-likelihood ratios at which a target fails a test. For a good target this happens
/// about once in e^8 (some 3,000) calls at which the sum starts from zero.
const BAD_THRESHOLD: f64 = 8.0;
/// The same for a second target, as it is rare that two fail for unrelated reasons.
const SECOND_BAD_THRESHOLD: f64 = 6.0;
/// Sum at which the version is not found good, without and with an excluded target.
const DOUBTFUL_THRESHOLD: f64 = 3.0;
const SECOND_DOUBTFUL_THRESHOLD: f64 = 2.0;
/// Factor on the minimum number of calls once a target was excluded.
const SECOND_MIN_CALLS_FACTOR: u32 = 3;
/// Lower bounds for the old version's rates of failures and slow answers.
const MIN_FAILURE_RATE: f64 = 0.01;
const MIN_SLOW_RATE: f64 = 0.02;
/// Factor on the old version's rates that is tolerated in the new one.
const BASELINE_TOLERANCE: f64 = 1.5;
/// Increases of the rates of failures and slow answers that the tests are tuned to detect.
/// Smaller increases are detected as well, but later.
const FAILURE_RATE_INCREASE: f64 = 0.10;
const SLOW_RATE_INCREASE: f64 = 0.15;
/// Upper bound for the old version's rates. Beyond it the test would divide by a number close
/// to zero.
const MAX_BASELINE_RATE: f64 = 0.95;
/// Histogram buckets above the old version's median latency from which an answer is slow:
/// between 2.4 and 3.4 times the median.
const SLOW_BUCKETS: u8 = 3;
/// Latency in microseconds below which no answer is slow, since processes on a busy host are
/// kept waiting that long.
const MIN_SLOW_US: u32 = 20_000;
/// Minimum number of latencies of the old version; with fewer no answer counts as slow.
const MIN_BASELINE_LATENCIES: f64 = 20.0;
/// Half-life of the old version's calls, in microseconds, so that both versions are compared
/// over the same period.
const BASELINE_HALF_LIFE_US: f64 = 2_000_000.0;
/// Bad answers beyond the expected number at which the version is bad, whichever targets gave
/// them, not counting an excluded one. It is half of the bad answers from which the time limit
/// for the roll-back is counted.
const MAX_EXCESS_BAD: f64 = 25.0;
/// Minimum number of calls for a version to be found good: over all kinds, and of each kind
/// that makes up at least [`MAIN_KIND_SHARE`] of the old version's calls.
const MIN_CALLS: u32 = 20;
const MIN_CALLS_PER_KIND: u32 = 5;
const MAIN_KIND_SHARE: f64 = 0.05;
/// Bad answers that a good version may have beyond the expected number: in standard deviations,
/// and in answers on top of these.
const GOOD_DEVIATIONS: f64 = 2.5;
const GOOD_ALLOWANCE: f64 = 1.0;
/// Targets that must have given bad answers for the version to fail the pooled test, and the
/// greatest share of the bad answers, as a divisor, that one of them may have given.
const MIN_POOLED_TARGETS: usize = 3;
const MAX_POOLED_SHARE_DIVISOR: u32 = 2;
/// Maximum number of targets, counted by host and daemon incarnation, whose evidence is kept.
const MAX_TARGETS: usize = 512;

/// Why a version is bad.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// Its targets fail calls.
    Failures,
    /// Its targets are too often slow.
    Slowness,
    /// It gave too many bad answers in total, or its only target was excluded.
    TooManyBad,
}

/// Whether a version is fit to take all calls.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Readiness {
    /// Enough calls went well.
    Good,
    /// Too few calls were made to decide.
    TooFew,
    /// It gave more bad answers than a good version would, but not enough to be called bad.
    Doubtful,
}

/// Recent calls of one kind at one target of the old version, with exponential decay.
#[derive(Clone, Debug, Default)]
struct TargetBaseline {
    calls: f64,
    failed: f64,
    latencies: BTreeMap<u8, f64>,
    updated: Micros,
}

impl TargetBaseline {
    fn add(&mut self, now: Micros, added: &CallCounts) {
        let age = now.saturating_sub(self.updated) as f64;
        let decay = (-age / BASELINE_HALF_LIFE_US).exp2();
        self.updated = now;
        self.calls = self.calls * decay + f64::from(added.calls);
        self.failed = self.failed * decay + f64::from(added.failed);
        for count in self.latencies.values_mut() {
            *count *= decay;
        }
        for (bucket, count) in &added.latencies {
            *self.latencies.entry(*bucket).or_default() += f64::from(*count);
        }
    }

    fn latency_count(&self) -> f64 {
        self.latencies.values().sum()
    }

    fn slow_count(&self, slow_bucket: u8) -> f64 {
        self.latencies
            .range(slow_bucket..)
            .map(|(_, count)| count)
            .sum()
    }
}

/// Recent calls of the old version of one kind, by target.
#[derive(Clone, Debug, Default)]
struct KindBaseline {
    hosts: BTreeMap<String, TargetBaseline>,
}

impl KindBaseline {
    fn calls(&self) -> f64 {
        self.hosts.values().map(|host| host.calls).sum()
    }

    /// The lowest histogram bucket that is slow, once enough latencies are known.
    fn slow_bucket(&self) -> Option<u8> {
        let latency_count: f64 = self.hosts.values().map(TargetBaseline::latency_count).sum();
        if latency_count < MIN_BASELINE_LATENCIES {
            return None;
        }
        let mut histogram: BTreeMap<u8, f64> = BTreeMap::new();
        for (bucket, count) in self.hosts.values().flat_map(|host| &host.latencies) {
            *histogram.entry(*bucket).or_default() += count;
        }
        let mut below = 0.0;
        let median = histogram.iter().find(|(_, count)| {
            below += **count;
            below * 2.0 >= latency_count
        });
        let min_slow_bucket = latency_bucket(MIN_SLOW_US);
        median.map(|(bucket, _)| bucket.saturating_add(SLOW_BUCKETS).max(min_slow_bucket))
    }

    fn failure_rate(&self) -> f64 {
        let counts = self.hosts.values().map(|host| (host.failed, host.calls));
        (rate_without_worst(counts) * BASELINE_TOLERANCE).clamp(MIN_FAILURE_RATE, MAX_BASELINE_RATE)
    }

    fn slow_rate(&self, slow_bucket: u8) -> f64 {
        let hosts = self.hosts.values();
        let counts = hosts.map(|host| (host.slow_count(slow_bucket), host.latency_count()));
        (rate_without_worst(counts) * BASELINE_TOLERANCE).clamp(MIN_SLOW_RATE, MAX_BASELINE_RATE)
    }
}

/// Rate of bad answers over all targets but the one that gave most of them, since a single
/// faulty target says nothing about its version. Takes the bad answers and the calls of each.
fn rate_without_worst(hosts: impl Iterator<Item = (f64, f64)>) -> f64 {
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

/// Calls since the previous evidence of a target, and the bad answers among them.
#[derive(Clone, Copy, Debug, Default)]
struct Sample {
    calls: u32,
    bad: u32,
    /// Rate of bad answers that is expected.
    expected_rate: f64,
}

impl Sample {
    /// Log-likelihood ratio of this sample: a version whose rate of bad answers is higher by
    /// `increase`, against one with the expected rate.
    fn log_likelihood_ratio(self, increase: f64) -> f64 {
        let expected = self.expected_rate;
        let bad_rate = (expected + increase).min((1.0 + expected) / 2.0);
        let good = self.calls.saturating_sub(self.bad);
        f64::from(self.bad) * (bad_rate / expected).ln()
            + f64::from(good) * ((1.0 - bad_rate) / (1.0 - expected)).ln()
    }
}

/// Cumulative sums of the tests for failures and for slow answers.
#[derive(Clone, Copy, Debug, Default)]
struct CusumTests {
    failures: f64,
    slowness: f64,
}

impl CusumTests {
    fn add(&mut self, failures: Sample, slowness: Sample) {
        if failures.calls > 0 {
            let sum = self.failures + failures.log_likelihood_ratio(FAILURE_RATE_INCREASE);
            self.failures = sum.max(0.0);
        }
        if slowness.calls > 0 {
            let sum = self.slowness + slowness.log_likelihood_ratio(SLOW_RATE_INCREASE);
            self.slowness = sum.max(0.0);
        }
    }

    /// The test that failed, if a sum reached `threshold`.
    fn fault(&self, threshold: f64) -> Option<Fault> {
        match (self.failures >= threshold, self.slowness >= threshold) {
            (true, _) => Some(Fault::Failures),
            (false, true) => Some(Fault::Slowness),
            (false, false) => None,
        }
    }
}

/// Calls of the new version that were analysed, and the bad answers among them.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ObservedCalls {
    /// All of them.
    pub calls: u32,
    /// Calls that the target failed, or whose answer it lost.
    pub failed: u32,
    /// Calls that were slow compared with the old version.
    pub slow: u32,
}

impl ObservedCalls {
    /// Failed and slow calls.
    pub fn bad(&self) -> u32 {
        self.failed.saturating_add(self.slow)
    }

    fn add(&mut self, other: ObservedCalls) {
        self.calls = self.calls.saturating_add(other.calls);
        self.failed = self.failed.saturating_add(other.failed);
        self.slow = self.slow.saturating_add(other.slow);
    }
}

/// Observed calls, with the expected number of bad answers.
#[derive(Clone, Copy, Debug, Default)]
struct Total {
    observed: ObservedCalls,
    expected: f64,
}

impl Total {
    fn add(&mut self, failures: Sample, slowness: Sample) {
        self.observed.add(ObservedCalls {
            calls: failures.calls,
            failed: failures.bad,
            slow: slowness.bad,
        });
        for sample in [failures, slowness] {
            self.expected += f64::from(sample.calls) * sample.expected_rate;
        }
    }
}

/// The canary analysis of one order.
#[derive(Clone, Debug, Default)]
pub struct CanaryAnalysis {
    /// The part of each target's evidence that was analysed, by host and incarnation.
    processed: HashMap<(String, u64), TargetEvidence>,
    baseline: BTreeMap<CallKind, KindBaseline>,
    /// The tests of each target, by kind of call and over all kinds.
    tests: HashMap<(String, Option<CallKind>), CusumTests>,
    /// The tests of all targets together.
    pooled: HashMap<Option<CallKind>, CusumTests>,
    totals: BTreeMap<(String, CallKind), Total>,
    excluded: BTreeSet<String>,
    fault: Option<Fault>,
}

impl CanaryAnalysis {
    /// Adds the evidence of one target; `is_new` says whether the target has the new version.
    /// Old and repeated copies change nothing.
    pub fn add_evidence(&mut self, now: Micros, evidence: &TargetEvidence, is_new: bool) {
        let id = (evidence.host.clone(), evidence.incarnation);
        if !self.processed.contains_key(&id) && self.processed.len() >= MAX_TARGETS {
            return;
        }
        let mut processed = self.processed.remove(&id).unwrap_or_default();
        for (kind, counts) in evidence.kinds.iter().take(MAX_KINDS) {
            let before = processed.kinds.entry(*kind).or_default();
            match is_new {
                true => self.add_canary(&evidence.host, *kind, counts, before),
                false => self.add_baseline(now, &evidence.host, *kind, counts, before),
            }
            let has_baseline = self.slow_bucket(*kind).is_some();
            match is_new && !has_baseline {
                // Its latencies are analysed once there is a baseline to compare them with.
                true => before.merge_totals(counts),
                false => before.merge(counts),
            }
        }
        self.processed.insert(id, processed);
    }

    fn slow_bucket(&self, kind: CallKind) -> Option<u8> {
        self.baseline.get(&kind)?.slow_bucket()
    }

    /// Adds new calls of the old version to the baseline.
    fn add_baseline(
        &mut self,
        now: Micros,
        host: &str,
        kind: CallKind,
        counts: &CallCounts,
        before: &CallCounts,
    ) {
        let added = CallCounts {
            calls: counts.calls.saturating_sub(before.calls),
            failed: counts.failed.saturating_sub(before.failed),
            latencies: bucket_increase(&counts.latencies, &before.latencies),
            aborted: BTreeMap::new(),
        };
        if added.calls > 0 {
            let baseline = self.baseline.entry(kind).or_default();
            let target = baseline.hosts.entry(host.to_owned()).or_default();
            target.add(now, &added);
        }
    }

    /// Tests new calls of the new version against the baseline.
    fn add_canary(&mut self, host: &str, kind: CallKind, counts: &CallCounts, before: &CallCounts) {
        let baseline = self.baseline.get(&kind).cloned().unwrap_or_default();
        let failures = Sample {
            calls: counts.calls.saturating_sub(before.calls),
            bad: counts.failed.saturating_sub(before.failed),
            expected_rate: baseline.failure_rate(),
        };
        let slowness = baseline.slow_bucket().map(|slow_bucket| {
            let latencies = bucket_increase(&counts.latencies, &before.latencies);
            let aborted = bucket_increase(&counts.aborted, &before.aborted);
            let slow = |buckets: &BTreeMap<u8, u32>| -> u32 {
                buckets.range(slow_bucket..).map(|(_, count)| count).sum()
            };
            Sample {
                calls: latencies.values().sum::<u32>() + slow(&aborted),
                bad: slow(&latencies) + slow(&aborted),
                expected_rate: baseline.slow_rate(slow_bucket),
            }
        });
        let slowness = slowness.unwrap_or_default();
        let total = self.totals.entry((host.to_owned(), kind)).or_default();
        total.add(failures, slowness);
        self.update_tests(host, Some(kind), failures, slowness);
        self.update_tests(host, None, failures, slowness);
        if !self.excluded.contains(host) {
            self.update_pooled_tests(Some(kind), failures, slowness);
            self.update_pooled_tests(None, failures, slowness);
        }
        self.check_excess();
    }

    fn update_tests(
        &mut self,
        host: &str,
        kind: Option<CallKind>,
        failures: Sample,
        slowness: Sample,
    ) {
        let tests = self.tests.entry((host.to_owned(), kind)).or_default();
        tests.add(failures, slowness);
        let has_other_excluded = self.excluded.iter().any(|excluded| excluded != host);
        let threshold = if has_other_excluded {
            SECOND_BAD_THRESHOLD
        } else {
            BAD_THRESHOLD
        };
        let Some(fault) = tests.fault(threshold) else {
            return;
        };
        self.excluded.insert(host.to_owned());
        if self.excluded.len() > 1 {
            self.fault.get_or_insert(fault);
        }
    }

    fn update_pooled_tests(&mut self, kind: Option<CallKind>, failures: Sample, slowness: Sample) {
        let tests = self.pooled.entry(kind).or_default();
        tests.add(failures, slowness);
        let fault = tests.fault(BAD_THRESHOLD);
        if fault.is_some() && self.are_bad_answers_spread(kind) {
            self.fault = self.fault.or(fault);
        }
    }

    /// Whether several targets gave the bad answers, and none of them more than its share.
    fn are_bad_answers_spread(&self, kind: Option<CallKind>) -> bool {
        let mut by_host: BTreeMap<&str, u32> = BTreeMap::new();
        for ((host, of), total) in &self.totals {
            let bad = total.observed.bad();
            if bad > 0 && kind.is_none_or(|kind| kind == *of) {
                *by_host.entry(host).or_default() += bad;
            }
        }
        let all: u32 = by_host.values().sum();
        let most = by_host.values().max().copied().unwrap_or(0);
        by_host.len() >= MIN_POOLED_TARGETS && most * MAX_POOLED_SHARE_DIVISOR <= all
    }

    fn check_excess(&mut self) {
        let totals = self.totals.iter();
        let kept = totals.filter(|((host, _), _)| !self.excluded.contains(host));
        let excess: f64 = kept
            .map(|(_, total)| f64::from(total.observed.bad()) - total.expected)
            .sum();
        if excess >= MAX_EXCESS_BAD {
            self.fault.get_or_insert(Fault::TooManyBad);
        }
    }

    /// Why the version is bad, if it is; `targets` is the number of targets known to have it.
    pub fn fault(&self, targets: usize) -> Option<Fault> {
        let is_only_target = targets <= 1 && !self.excluded.is_empty();
        self.fault.or(is_only_target.then_some(Fault::TooManyBad))
    }

    /// Hosts of targets that failed a test and get no more canary calls.
    pub fn excluded_hosts(&self) -> &BTreeSet<String> {
        &self.excluded
    }

    /// Calls of the new version in the evidence so far.
    pub fn observed_calls(&self) -> ObservedCalls {
        let mut all = ObservedCalls::default();
        for total in self.totals.values() {
            all.add(total.observed);
        }
        all
    }

    /// Whether the version is fit to take all calls.
    pub fn readiness(&self) -> Readiness {
        let (factor, doubtful_threshold) = match self.excluded.is_empty() {
            true => (1, DOUBTFUL_THRESHOLD),
            false => (SECOND_MIN_CALLS_FACTOR, SECOND_DOUBTFUL_THRESHOLD),
        };
        let all = self.total(None);
        let has_enough = all.observed.calls >= MIN_CALLS * factor
            && self.has_enough_per_kind(MIN_CALLS_PER_KIND * factor);
        if !has_enough {
            return Readiness::TooFew;
        }
        let mut kinds: Vec<Option<CallKind>> = self.baseline.keys().copied().map(Some).collect();
        kinds.push(None);
        let has_excess = |kind: Option<CallKind>| {
            let total = self.total(kind);
            let allowed = total.expected + GOOD_DEVIATIONS * total.expected.sqrt() + GOOD_ALLOWANCE;
            f64::from(total.observed.bad()) > allowed
        };
        let tests = self.tests.iter();
        let mut kept = tests.filter(|((host, _), _)| !self.excluded.contains(host));
        let is_doubtful =
            |tests: &CusumTests| tests.failures.max(tests.slowness) >= doubtful_threshold;
        match kinds.into_iter().any(has_excess) || kept.any(|(_, tests)| is_doubtful(tests)) {
            true => Readiness::Doubtful,
            false => Readiness::Good,
        }
    }

    /// Whether the new version got at least `min_calls` calls of each main kind.
    fn has_enough_per_kind(&self, min_calls: u32) -> bool {
        let all: f64 = self.baseline.values().map(KindBaseline::calls).sum();
        let mut main = self.baseline.iter().filter(|(_, baseline)| {
            baseline.calls() >= MAIN_KIND_SHARE * all && baseline.calls() > 0.0
        });
        main.all(|(kind, _)| self.total(Some(*kind)).observed.calls >= min_calls)
    }

    /// Totals of a kind of call, or of all kinds, over the targets that are not excluded.
    fn total(&self, kind: Option<CallKind>) -> Total {
        let totals = self.totals.iter();
        let wanted = totals.filter(|((host, of), _)| {
            kind.is_none_or(|kind| kind == *of) && !self.excluded.contains(host)
        });
        let mut sum = Total::default();
        for (_, total) in wanted {
            sum.observed.add(total.observed);
            sum.expected += total.expected;
        }
        sum
    }
}

/// The increase of each histogram bucket since an earlier copy.
fn bucket_increase(counts: &BTreeMap<u8, u32>, before: &BTreeMap<u8, u32>) -> BTreeMap<u8, u32> {
    let more = counts.iter().map(|(bucket, count)| {
        let known = before.get(bucket).copied().unwrap_or(0);
        (*bucket, count.saturating_sub(known))
    });
    more.filter(|(_, count)| *count > 0).collect()
}
