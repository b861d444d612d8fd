//! Fleet-wide quotas while owners of buckets do not reach each other, are killed and return:
//! bounds on the calls admitted in any window over all sides together.

use std::collections::HashMap;

use lynxcleat_policy::{
    BucketOwners, GrantRight, Granter, LeaseOutcome, Micros, OwnerReach, QuotaBucket, QuotaGrant,
    QuotaLease, QuotaLimit, TokenRequest, owner_count,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rstest::rstest;

const SECOND: Micros = 1_000_000;
/// Length of the window in which calls are counted, in microseconds.
const WINDOW: Micros = 5 * SECOND;
/// Interval at which owners probe each other.
const PROBE: Micros = 150_000;
/// Interval of the simulation.
const STEP: Micros = 5_000;
/// Time for which a daemon takes a silent host for unreachable.
const BACK_OFF: Micros = 500_000;
/// Tolerance of the window bound beyond rate and burst: a fraction, and a number of calls.
const EXCESS: f64 = 0.1;
const SLACK: f64 = 20.0;
const ORGANISATION: &str = "organisation";

/// A daemon with its lease, and its bucket if it is an owner.
struct Daemon {
    host: String,
    /// Daemons of the same side reach each other.
    side: usize,
    is_up: bool,
    lease: QuotaLease,
    bucket: Option<QuotaBucket>,
    reach: OwnerReach,
    /// Owners that did not respond, and until when they are not asked.
    backed_off: HashMap<usize, Micros>,
}

impl Daemon {
    fn start(host: String, side: usize, now: Micros) -> Self {
        Daemon {
            host,
            side,
            is_up: true,
            lease: QuotaLease::default(),
            bucket: None,
            reach: OwnerReach::new(now),
            backed_off: HashMap::new(),
        }
    }
}

/// Simulates, in virtual time, daemons of which some own buckets.
struct Fleet {
    limit: QuotaLimit,
    daemons: Vec<Daemon>,
    owners: BucketOwners,
    /// Indices of the owners in order of preference.
    order: Vec<usize>,
    buckets: u64,
    next_probe: Micros,
    ran_at: Vec<Micros>,
    refused: usize,
}

impl Fleet {
    fn new(limit: QuotaLimit, count: usize) -> Self {
        let hosts: Vec<String> = (0..count).map(|number| format!("host-{number}")).collect();
        let owners = BucketOwners::from_members(hosts.iter().map(String::as_str));
        let position = |host: &str| hosts.iter().position(|known| known == host).expect("known");
        let preferred = owners.preference_order(ORGANISATION);
        let order = preferred.iter().map(|host| position(host)).collect();
        Fleet {
            limit,
            daemons: hosts
                .iter()
                .map(|host| Daemon::start(host.clone(), 0, 0))
                .collect(),
            owners,
            order,
            buckets: 0,
            next_probe: 0,
            ran_at: Vec::new(),
            refused: 0,
        }
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        self.daemons[to].is_up && self.daemons[from].side == self.daemons[to].side
    }

    /// Owners hear each other; a machine whose daemon is killed refuses connections.
    fn probe(&mut self, now: Micros) {
        if now < self.next_probe {
            return;
        }
        self.next_probe = now + PROBE;
        let order = self.order.clone();
        for from in &order {
            for to in order.iter().filter(|to| *to != from) {
                self.probe_one(*from, *to, now);
            }
        }
    }

    fn probe_one(&mut self, from: usize, to: usize, now: Micros) {
        let is_reached = self.reaches(from, to);
        let refuses = !self.daemons[to].is_up && self.daemons[from].side == self.daemons[to].side;
        let host = self.daemons[to].host.clone();
        let reach = &mut self.daemons[from].reach;
        if is_reached {
            reach.record_answer(&host, now);
        } else if refuses {
            reach.record_refusal(&host, now);
        }
    }

    fn call(&mut self, now: Micros, daemon: usize) {
        if !self.daemons[daemon].is_up {
            return;
        }
        self.daemons[daemon].lease.record_call(now);
        // A call that waits is refused if the response has no token for it.
        for _ in 0..2 {
            match self.daemons[daemon].lease.take(now) {
                LeaseOutcome::Taken { request } => {
                    self.ran_at.push(now);
                    if let Some(request) = request {
                        self.ask(now, daemon, request);
                    }
                    return;
                }
                LeaseOutcome::Wait {
                    request: Some(request),
                } => self.ask(now, daemon, request),
                LeaseOutcome::Wait { request: None } | LeaseOutcome::Limited { .. } => break,
            }
        }
        self.refused += 1;
    }

    fn ask(&mut self, now: Micros, daemon: usize, request: TokenRequest) {
        let grant = self.granted(now, daemon, request);
        self.daemons[daemon].lease.apply_grant(now, grant);
    }

    fn granted(&mut self, now: Micros, daemon: usize, request: TokenRequest) -> QuotaGrant {
        for owner in self.order.clone() {
            let until = self.daemons[daemon].backed_off.get(&owner).copied();
            if until.is_some_and(|until| now < until) {
                continue;
            }
            if !self.reaches(daemon, owner) {
                let until = now + BACK_OFF;
                self.daemons[daemon].backed_off.insert(owner, until);
                continue;
            }
            if let Some(grant) = self.grant_at(now, owner, request) {
                return grant;
            }
        }
        self.grant_alone(now, daemon, request)
    }

    /// The response of an owner that is asked; it forwards to those preferred to it.
    fn grant_at(&mut self, now: Micros, owner: usize, request: TokenRequest) -> Option<QuotaGrant> {
        let asked = &self.daemons[owner];
        match asked
            .reach
            .granter(&self.owners, ORGANISATION, &asked.host, now)
        {
            Granter::Here(right) => Some(self.grant_from(now, owner, right, request)),
            Granter::There(host) => {
                let mut all = self.daemons.iter();
                let preferred = all.position(|daemon| daemon.host == host).expect("known");
                let is_reached = self.reaches(owner, preferred);
                is_reached.then(|| self.grant_at(now, preferred, request))?
            }
            Granter::Unknown => None,
        }
    }

    fn grant_alone(&mut self, now: Micros, daemon: usize, request: TokenRequest) -> QuotaGrant {
        let since = request.seen.map(|seen| now.saturating_sub(seen.age_us));
        let right = GrantRight::alone(self.daemons.len(), since);
        let grant = self.grant_from(now, daemon, right, request);
        QuotaGrant {
            level: None,
            ..grant
        }
    }

    fn grant_from(
        &mut self,
        now: Micros,
        daemon: usize,
        right: GrantRight,
        request: TokenRequest,
    ) -> QuotaGrant {
        let limit = self.limit;
        self.buckets += 1;
        let fresh = QuotaBucket::new(self.buckets, limit, right, now);
        let bucket = self.daemons[daemon].bucket.get_or_insert(fresh);
        bucket.grant(now, limit, right, request)
    }

    /// Puts each daemon on one of two sides.
    fn cut(&mut self, rng: &mut StdRng) {
        let part = rng.random_range(0.1..0.9);
        for daemon in &mut self.daemons {
            daemon.side = usize::from(rng.random_bool(part));
        }
    }

    fn join(&mut self) {
        for daemon in &mut self.daemons {
            daemon.side = 0;
        }
    }

    fn kill(&mut self, daemon: usize) {
        self.daemons[daemon].is_up = false;
    }

    fn start_all(&mut self, now: Micros) {
        for daemon in self.daemons.iter_mut().filter(|daemon| !daemon.is_up) {
            *daemon = Daemon::start(daemon.host.clone(), daemon.side, now);
        }
    }

    /// Sends calls to random daemons until `end`.
    fn run(&mut self, rng: &mut StdRng, per_s: u64, begin: Micros, end: Micros) {
        let mut now = begin;
        while now < end {
            self.probe(now);
            let mean = per_s as f64 * STEP as f64 / SECOND as f64;
            let calls = mean as usize + usize::from(rng.random_bool(mean.fract()));
            for _ in 0..calls {
                let daemon = rng.random_range(0..self.daemons.len());
                self.call(now, daemon);
            }
            now += STEP;
        }
    }

    /// Maximum number of calls run in any window.
    fn busiest_window(&self) -> f64 {
        let mut begin = 0;
        let mut most = 0;
        for (end, at) in self.ran_at.iter().enumerate() {
            while self.ran_at[begin] + WINDOW < *at {
                begin += 1;
            }
            most = most.max(end + 1 - begin);
        }
        most as f64
    }

    fn allowed(&self) -> f64 {
        let rate_per_s = self.limit.rate_per_1000_s as f64 / 1_000.0;
        let window_s = (WINDOW / SECOND) as f64;
        (rate_per_s * window_s + self.limit.burst as f64) * (1.0 + EXCESS) + SLACK
    }
}

fn limit(rate_per_s: u64, burst: u64) -> QuotaLimit {
    QuotaLimit {
        rate_per_1000_s: rate_per_s * 1_000,
        burst,
    }
}

/// One side holds leases and the burst, the other starts; and both again when the cut ends.
#[rstest]
#[case::five_daemons(100, 100, 5)]
#[case::sixty_daemons(264, 264, 60)]
#[case::three_hundred_daemons(300, 300, 300)]
fn both_sides_of_a_cut_together_give_an_organisation_no_more_than_its_quota(
    #[case] rate: u64,
    #[case] burst: u64,
    #[case] daemons: usize,
) {
    for seed in 0..12 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut fleet = Fleet::new(limit(rate, burst), daemons);
        // Few calls, so that the burst is there when the cut begins.
        fleet.run(&mut rng, rate / 10, 0, 4 * SECOND);
        fleet.cut(&mut rng);
        fleet.run(&mut rng, rate * 4, 4 * SECOND, 12 * SECOND);
        fleet.join();
        fleet.run(&mut rng, rate * 4, 12 * SECOND, 20 * SECOND);
        let most = fleet.busiest_window();
        let allowed = fleet.allowed();
        assert!(most <= allowed, "seed {seed}: {most} of {allowed}");
    }
}

#[rstest]
#[case::five_daemons(100, 100, 5)]
#[case::sixty_daemons(264, 264, 60)]
#[case::three_hundred_daemons(300, 300, 300)]
fn cuts_kills_and_returns_in_any_order_give_an_organisation_no_more_than_its_quota(
    #[case] rate: u64,
    #[case] burst: u64,
    #[case] daemons: usize,
) {
    for seed in 0..12 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut fleet = Fleet::new(limit(rate, burst), daemons);
        let mut now = 0;
        while now < 30 * SECOND {
            let end = now + rng.random_range(SECOND / 4..3 * SECOND);
            fleet.run(&mut rng, rate * 4, now, end);
            now = end;
            match rng.random_range(0..4) {
                0 => fleet.cut(&mut rng),
                1 => fleet.join(),
                2 => {
                    let place = rng.random_range(0..fleet.order.len().min(3));
                    fleet.kill(fleet.order[place]);
                }
                _ => fleet.start_all(now),
            }
        }
        let most = fleet.busiest_window();
        let allowed = fleet.allowed();
        assert!(most <= allowed, "seed {seed}: {most} of {allowed}");
    }
}

#[rstest]
#[case::five_daemons(100, 100, 5)]
#[case::sixty_daemons(264, 264, 60)]
#[case::three_hundred_daemons(300, 300, 300)]
fn kills_of_the_owner_every_two_seconds_leave_calls_within_the_quota_served(
    #[case] rate: u64,
    #[case] burst: u64,
    #[case] daemons: usize,
) {
    for seed in 0..4 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut fleet = Fleet::new(limit(rate, burst), daemons);
        let owner = fleet.order[0];
        for round in 0..10 {
            let begin = round * 2 * SECOND;
            fleet.run(&mut rng, rate * 6 / 10, begin, begin + SECOND);
            fleet.kill(owner);
            fleet.run(&mut rng, rate * 6 / 10, begin + SECOND, begin + 2 * SECOND);
            fleet.start_all(begin + 2 * SECOND);
        }
        let ran = fleet.ran_at.len() as f64;
        let served = ran / (ran + fleet.refused as f64);
        assert!(served >= 0.97, "seed {seed}: {served}");
    }
}

/// A majority leaves a minority its part, and the minority serves it.
#[test]
fn owners_on_both_sides_of_a_cut_grant_the_limit_together() {
    let hosts: Vec<String> = (0..62).map(|number| format!("host-{number}")).collect();
    let owners = BucketOwners::from_members(hosts.iter().map(String::as_str));
    let all = owners.hosts().len();
    assert_eq!(all, owner_count(62));
    assert!(GrantRight::alone(62, None).share <= 1.0 / 62.0);
    for side in 1..all {
        let (one, other) = owners.hosts().split_at(side);
        let shares = [one, other].map(|side| share_of_first(&owners, side));
        let sum: f64 = shares.iter().sum();
        assert!((0.99..1.01).contains(&sum), "{side} of {all}: {shares:?}");
    }
}

/// Share of the owner that grants on a side.
fn share_of_first(owners: &BucketOwners, side: &[String]) -> f64 {
    let order = owners.preference_order(ORGANISATION);
    let on_side = |host: &&str| side.iter().any(|known| known == host);
    let first = order.into_iter().find(on_side).expect("an owner");
    let mut reach = OwnerReach::new(0);
    let now = 10 * SECOND;
    for host in side.iter().filter(|host| *host != first) {
        reach.record_answer(host, now);
    }
    match reach.granter(owners, ORGANISATION, first, now) {
        Granter::Here(right) => right.share,
        other => panic!("{other:?}"),
    }
}

/// The silent owner may not have noticed yet that it grants its part only.
#[test]
fn an_owner_waits_before_it_grants_in_place_of_a_silent_one() {
    /// Time after which an owner that hears nobody grants its part only, and the interval at which
    /// owners hear each other.
    const NOTICED: Micros = 450_000 + PROBE;
    let hosts: Vec<String> = (0..8).map(|number| format!("host-{number}")).collect();
    let owners = BucketOwners::from_members(hosts.iter().map(String::as_str));
    let order = owners.preference_order(ORGANISATION);
    let mut reach = OwnerReach::new(0);
    reach.record_answer(order[0], SECOND);
    let granter = |reach: &OwnerReach, now| reach.granter(&owners, ORGANISATION, order[1], now);
    assert_eq!(granter(&reach, SECOND), Granter::There(order[0].to_owned()));
    assert_eq!(granter(&reach, SECOND + NOTICED), Granter::Unknown);
    assert!(matches!(
        granter(&reach, 2 * SECOND),
        Granter::Here(GrantRight { since: Some(since), .. }) if since > SECOND + NOTICED
    ));
    reach.record_refusal(order[0], SECOND + PROBE);
    assert!(matches!(
        granter(&reach, SECOND + PROBE),
        Granter::Here(GrantRight { since: None, .. })
    ));
}

/// The silent owner may have granted the burst; tokens of the time before are its own.
#[test]
fn a_bucket_that_stands_in_for_a_silent_owner_starts_empty() {
    let limit = limit(100, 100);
    let right = |since| GrantRight { share: 0.5, since };
    let request = TokenRequest {
        tokens: 1_000,
        returned: 0,
        seen: None,
    };
    let mut bucket = QuotaBucket::new(0, limit, right(None), 0);
    let stands_in = right(Some(10 * SECOND));
    let first = bucket.grant(10 * SECOND, limit, stands_in, request);
    assert_eq!(first.tokens, 0);
    let second = bucket.grant(11 * SECOND, limit, stands_in, request);
    assert_eq!(second.tokens, 50);
}

/// A host that becomes an owner, ahead of the one that grants, was not silent before.
#[test]
fn an_owner_that_joins_counts_as_silent_since_the_start() {
    let members: Vec<String> = (0..9).map(|number| format!("host-{number}")).collect();
    let after = BucketOwners::from_members(members.iter().map(String::as_str));
    let order = after.preference_order(ORGANISATION);
    let (joining, here) = (order[0], order[1]);
    let others = members.iter().map(String::as_str);
    let before = BucketOwners::from_members(others.filter(|host| *host != joining));
    let mut reach = OwnerReach::new(0);
    reach.set_owners(&before, 0);
    let now = 100 * SECOND;
    reach.set_owners(&after, now);
    let granter = |now| reach.granter(&after, ORGANISATION, here, now);
    assert_eq!(granter(now + PROBE), Granter::Unknown);
    assert!(matches!(
        granter(now + SECOND),
        Granter::Here(GrantRight { since: Some(since), .. }) if since > now
    ));
}

/// Tokens that a bucket granted are not refilled by the time before it granted them.
#[test]
fn a_bucket_in_use_that_stands_in_is_refilled_anew() {
    let limit = limit(100, 100);
    let right = |since| GrantRight { share: 1.0, since };
    let request = TokenRequest {
        tokens: 1_000,
        returned: 0,
        seen: None,
    };
    let mut bucket = QuotaBucket::new(0, limit, right(None), 0);
    assert!(
        bucket
            .grant(100 * SECOND, limit, right(None), request)
            .tokens
            > 0
    );
    let stands_in = right(Some(SECOND));
    let next = bucket.grant(100 * SECOND, limit, stands_in, request);
    assert_eq!(next.tokens, 0);
}
