//! Fleet-wide quotas: bounds on the calls admitted in any window.

use std::collections::VecDeque;

use lynxcleat_policy::{
    BucketOwners, GrantRight, LeaseOutcome, Micros, QuotaBucket, QuotaGrant, QuotaLease,
    QuotaLimit, TokenRequest,
};
use proptest::prelude::*;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rstest::rstest;

const SECOND: Micros = 1_000_000;
/// Time from a token request to its response.
const ROUND_TRIP: Micros = 2_000;
/// Length of the window in which calls are counted, in seconds.
const WINDOW_S: u64 = 5;
/// Tolerance of the window bound beyond rate and burst: a fraction, and a number of calls.
const EXCESS: f64 = 0.1;
const SLACK: f64 = 20.0;

/// The whole limit.
const WHOLE: GrantRight = GrantRight {
    share: 1.0,
    since: None,
};

fn limit(rate_per_s: u64, burst: u64) -> QuotaLimit {
    QuotaLimit {
        rate_per_1000_s: rate_per_s * 1_000,
        burst,
    }
}

/// Simulates, in virtual time, daemons that share one bucket.
struct Fleet {
    limit: QuotaLimit,
    bucket: QuotaBucket,
    leases: Vec<QuotaLease>,
    /// Number of buckets so far.
    buckets: u64,
    /// Responses in transit: arrival time, daemon, grant.
    responses: VecDeque<(Micros, usize, QuotaGrant)>,
    /// Waiting calls per daemon.
    waiting: Vec<u32>,
    ran_at: Vec<Micros>,
    refused: usize,
}

impl Fleet {
    fn new(limit: QuotaLimit, daemons: usize) -> Self {
        Fleet {
            limit,
            bucket: QuotaBucket::new(0, limit, WHOLE, 0),
            buckets: 1,
            leases: vec![QuotaLease::default(); daemons],
            responses: VecDeque::new(),
            waiting: vec![0; daemons],
            ran_at: Vec::new(),
            refused: 0,
        }
    }

    fn call(&mut self, now: Micros, daemon: usize) {
        self.deliver(now);
        self.leases[daemon].record_call(now);
        self.take(now, daemon);
    }

    fn take(&mut self, now: Micros, daemon: usize) {
        let request = match self.leases[daemon].take(now) {
            LeaseOutcome::Taken { request } => {
                self.ran_at.push(now);
                request
            }
            LeaseOutcome::Wait { request } => {
                self.waiting[daemon] += 1;
                request
            }
            LeaseOutcome::Limited { .. } => {
                self.refused += 1;
                None
            }
        };
        if let Some(request) = request {
            let grant = self.bucket.grant(now, self.limit, WHOLE, request);
            self.responses.push_back((now + ROUND_TRIP, daemon, grant));
        }
    }

    /// The daemon that owns the bucket is killed, with its lease; another one starts a bucket.
    fn lose_owner(&mut self, now: Micros, owner: usize) {
        self.deliver(now);
        self.leases[owner] = QuotaLease::default();
        self.waiting[owner] = 0;
        self.responses.retain(|(_, daemon, _)| *daemon != owner);
        self.bucket = QuotaBucket::new(self.buckets, self.limit, WHOLE, now);
        self.buckets += 1;
    }

    /// All daemons are killed at the same moment: nobody knows a level.
    fn lose_all(&mut self, now: Micros) {
        for daemon in 0..self.leases.len() {
            self.lose_owner(now, daemon);
        }
    }

    fn deliver(&mut self, now: Micros) {
        while self.responses.front().is_some_and(|(at, ..)| *at <= now) {
            let (at, daemon, grant) = self.responses.pop_front().expect("one");
            self.leases[daemon].apply_grant(at, grant);
            for _ in 0..std::mem::take(&mut self.waiting[daemon]) {
                self.take(at, daemon);
            }
        }
    }

    /// Maximum number of calls run in any window.
    fn busiest_window(&self) -> usize {
        let mut begin = 0;
        let mut most = 0;
        for (end, at) in self.ran_at.iter().enumerate() {
            while self.ran_at[begin] + WINDOW_S * SECOND < *at {
                begin += 1;
            }
            most = most.max(end + 1 - begin);
        }
        most
    }

    fn allowed(&self) -> f64 {
        let per_s = self.limit.rate_per_1000_s as f64 / 1_000.0;
        (per_s * WINDOW_S as f64 + self.limit.burst as f64) * (1.0 + EXCESS) + SLACK
    }
}

/// Sends calls to random daemons at exponential intervals from `now` to `end`. Returns the time of
/// the last.
fn send_calls(
    fleet: &mut Fleet,
    rng: &mut StdRng,
    per_s: u64,
    mut now: Micros,
    end: Micros,
) -> Micros {
    while now < end {
        let gap = -(1.0 - rng.random::<f64>()).ln() / per_s as f64;
        now += (gap * SECOND as f64) as Micros + 1;
        let daemon = rng.random_range(0..fleet.leases.len());
        fleet.call(now, daemon);
    }
    now
}

/// Sends calls; `rates` lists calls per second and duration in seconds.
fn run_load(fleet: &mut Fleet, rates: &[(u64, u64)], seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut now = 0;
    for (per_s, seconds) in rates {
        let end = now + seconds * SECOND;
        now = send_calls(fleet, &mut rng, *per_s, now, end);
    }
    fleet.deliver(now + SECOND);
}

#[rstest]
#[case::many_daemons_few_calls(1, 1, 1_000)]
#[case::few_daemons(264, 264, 5)]
#[case::sixty_two_daemons(264, 264, 62)]
#[case::many_daemons(1_000, 500, 1_000)]
fn an_organisation_that_calls_at_five_times_its_quota_gets_its_quota_and_no_more(
    #[case] rate: u64,
    #[case] burst: u64,
    #[case] daemons: usize,
) {
    let mut fleet = Fleet::new(limit(rate, burst), daemons);
    run_load(&mut fleet, &[(rate, 3), (rate * 5, 20)], 7);
    let most = fleet.busiest_window() as f64;
    assert!(most <= fleet.allowed(), "{most} of {}", fleet.allowed());
    let expected = rate * 20;
    let ran = fleet.ran_at.len() as f64;
    assert!(
        ran >= expected as f64 * 0.95,
        "{ran} calls ran, expected {expected}"
    );
}

#[rstest]
#[case(1, 5, 62)]
#[case(20, 20, 62)]
#[case(264, 264, 62)]
#[case(100, 100, 1_000)]
fn an_organisation_within_its_quota_has_few_calls_refused(
    #[case] rate: u64,
    #[case] burst: u64,
    #[case] daemons: usize,
) {
    let mut fleet = Fleet::new(limit(rate, burst), daemons);
    run_load(&mut fleet, &[((rate * 5).div_ceil(8), 30)], 3);
    let all = fleet.ran_at.len() + fleet.refused;
    assert!(
        fleet.refused * 200 <= all,
        "{} of {all} refused",
        fleet.refused
    );
}

/// The daemon that owns the bucket is killed again and again; each time another bucket takes its
/// place, and one more when the owner is back. New buckets that knew nothing gave out half a second
/// of the rate each time.
fn run_load_with_kills(fleet: &mut Fleet, per_s: u64, seconds: u64, seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let (mut now, mut next_loss) = (0, 2 * SECOND);
    while now < seconds * SECOND {
        now = send_calls(fleet, &mut rng, per_s, now, next_loss);
        let owner = rng.random_range(0..fleet.leases.len());
        fleet.lose_owner(now, owner);
        next_loss += rng.random_range(SECOND / 2..3 * SECOND / 2);
    }
    fleet.deliver(now + SECOND);
}

#[rstest]
#[case::few_daemons(100, 50, 5)]
#[case::ten_daemons(100, 50, 10)]
#[case::sixty_daemons(264, 264, 60)]
#[case::three_hundred_daemons(300, 300, 300)]
fn kills_of_the_owner_give_an_organisation_no_more_than_its_quota(
    #[case] rate: u64,
    #[case] burst: u64,
    #[case] daemons: usize,
) {
    for seed in 0..8 {
        let mut fleet = Fleet::new(limit(rate, burst), daemons);
        run_load_with_kills(&mut fleet, rate * 3, 20, seed);
        let most = fleet.busiest_window() as f64;
        assert!(
            most <= fleet.allowed(),
            "seed {seed}: {most} of {}",
            fleet.allowed()
        );
        let ran = fleet.ran_at.len() as f64;
        assert!(ran >= rate as f64 * 20.0 * 0.9, "seed {seed}: {ran} ran");
    }
}

#[rstest]
#[case::few_daemons(100, 50, 5)]
#[case::ten_daemons(100, 50, 10)]
#[case::sixty_daemons(264, 264, 60)]
#[case::three_hundred_daemons(300, 300, 300)]
fn kills_of_the_owner_leave_calls_within_the_quota_served(
    #[case] rate: u64,
    #[case] burst: u64,
    #[case] daemons: usize,
) {
    for seed in 0..8 {
        let mut fleet = Fleet::new(limit(rate, burst), daemons);
        run_load_with_kills(&mut fleet, rate * 8 / 10, 20, seed);
        let all = fleet.ran_at.len() + fleet.refused;
        let served = fleet.ran_at.len() as f64 / all as f64;
        assert!(served >= 0.97, "seed {seed}: {served}");
    }
}

/// All daemons that use a quota are killed at once, again and again, and start again after as long
/// as a process takes. Nobody can tell the new bucket what the lost one granted.
#[rstest]
#[case::few_daemons(100, 50, 5)]
#[case::sixty_daemons(264, 264, 60)]
#[case::three_hundred_daemons(300, 300, 300)]
fn kills_of_all_daemons_give_an_organisation_no_more_than_its_quota(
    #[case] rate: u64,
    #[case] burst: u64,
    #[case] daemons: usize,
) {
    const START: Micros = SECOND / 2;
    for seed in 0..8 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut fleet = Fleet::new(limit(rate, burst), daemons);
        let mut now = 0;
        while now < 20 * SECOND {
            let end = now + rng.random_range(SECOND / 4..3 * SECOND);
            now = send_calls(&mut fleet, &mut rng, rate * 3, now, end) + START;
            fleet.lose_all(now);
        }
        let most = fleet.busiest_window() as f64;
        assert!(
            most <= fleet.allowed(),
            "seed {seed}: {most} of {}",
            fleet.allowed()
        );
    }
}

#[test]
fn a_lowered_limit_applies_after_one_window() {
    let mut fleet = Fleet::new(limit(1_000, 1_000), 62);
    run_load(&mut fleet, &[(1_500, 5)], 1);
    fleet.limit = limit(50, 50);
    fleet.ran_at.clear();
    let mut rng = StdRng::seed_from_u64(2);
    for step in 0..15_000 {
        let daemon = rng.random_range(0..62);
        fleet.call(6 * SECOND + step * 1_000, daemon);
    }
    fleet.ran_at.retain(|at| *at >= 11 * SECOND);
    let most = fleet.busiest_window() as f64;
    assert!(most <= fleet.allowed(), "{most} of {}", fleet.allowed());
}

/// Guards against losing leased tokens that expire unused.
#[test]
fn expired_tokens_are_returned_with_the_next_request() {
    let mut lease = QuotaLease::default();
    assert!(matches!(
        lease.take(0),
        LeaseOutcome::Wait { request: Some(_) }
    ));
    lease.apply_grant(
        0,
        QuotaGrant {
            tokens: 10,
            ..QuotaGrant::default()
        },
    );
    assert!(matches!(lease.take(0), LeaseOutcome::Taken { .. }));
    let LeaseOutcome::Wait {
        request: Some(request),
    } = lease.take(10 * SECOND)
    else {
        panic!("expected a token request after the lease expired");
    };
    assert_eq!((request.tokens, request.returned), (1, 9));
}

#[test]
fn returned_tokens_of_calls_that_were_not_run_admit_others() {
    let mut fleet = Fleet::new(limit(10, 10), 1);
    let mut returned = 0;
    for step in 0..100 {
        let now = step * SECOND / 20;
        fleet.call(now, 0);
        let ran = fleet.ran_at.len();
        if ran > 0 && step.is_multiple_of(2) && returned < 30 {
            returned += 1;
            fleet.leases[0].return_token(now);
        }
    }
    fleet.deliver(6 * SECOND);
    let ran = fleet.ran_at.len();
    // 5 initial tokens, then 10 per second until the last call at 4.95 s.
    assert!(ran >= 54 + returned, "{ran} with {returned} returned");
}

#[test]
fn retry_times_of_refused_callers_are_spaced_at_the_rate() {
    let limit = limit(10, 1);
    let mut bucket = QuotaBucket::new(0, limit, WHOLE, 0);
    let one = TokenRequest {
        tokens: 1,
        returned: 0,
        seen: None,
    };
    bucket.grant(0, limit, WHOLE, one);
    let waits: Vec<Micros> = (0..4)
        .map(|_| bucket.grant(0, limit, WHOLE, one).retry_after_us)
        .collect();
    let are_spaced = waits.windows(2).all(|pair| pair[0] + 90_000 <= pair[1]);
    assert!(are_spaced && waits[0] >= 90_000, "{waits:?}");
}

#[test]
fn bucket_owners_do_not_depend_on_member_order_and_are_few() {
    let hosts: Vec<String> = (0..984).map(|number| format!("host-{number}")).collect();
    let forward = BucketOwners::from_members(hosts.iter().map(String::as_str));
    let backward = BucketOwners::from_members(hosts.iter().rev().map(String::as_str));
    assert_eq!(forward, backward);
    assert_eq!(forward.hosts().len(), 32);
    let firsts: std::collections::BTreeSet<&str> = (0..500)
        .map(|number| format!("organisation-{number}"))
        .map(|name| forward.preference_order(&name)[0])
        .map(|host| {
            hosts
                .iter()
                .find(|known| *known == host)
                .expect("a member")
                .as_str()
        })
        .collect();
    assert!(firsts.len() > 24, "{} own a bucket", firsts.len());
}

proptest! {
    #[test]
    fn no_window_has_more_calls_than_the_bound(
        rate in 1_u64..400,
        burst in 0_u64..400,
        daemons in 1_usize..80,
        loads in proptest::collection::vec((1_u64..1_500, 1_u64..6), 1..5),
        seed in any::<u64>(),
    ) {
        let mut fleet = Fleet::new(limit(rate, burst), daemons);
        run_load(&mut fleet, &loads, seed);
        let most = fleet.busiest_window() as f64;
        prop_assert!(most <= fleet.allowed(), "{} of {}", most, fleet.allowed());
    }
}
