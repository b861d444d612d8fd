//! Quota state of a daemon.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};

use lynxcleat_policy::{
    BucketLevel, BucketOwners, GrantRight, Micros, OwnerReach, QuotaBucket, QuotaGrant, QuotaLease,
    QuotaLimit, TokenRequest,
};
use lynxcleat_settings::Organisation;
use tokio::sync::Notify;

use crate::clock::Clock;
use crate::sync::lock;

/// Time for which expired backoff entries are kept, in microseconds.
const BACKOFF_RETENTION_US: Micros = 60_000_000;

/// Lease of one organisation, shared by the calls that take tokens from it.
#[derive(Default)]
pub(super) struct SharedLease {
    pub(super) lease: Mutex<QuotaLease>,
    /// Notifies waiting calls of a response.
    pub(super) answered: Notify,
}

/// Grants of one bucket since they were logged last.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct GrantTally {
    /// Tokens granted.
    pub(super) granted: u64,
    /// Tokens requested in excess of them.
    pub(super) refused: u64,
    /// Fraction of the limit that applied to the last grant.
    pub(super) share: f64,
    /// Level after the last grant.
    pub(super) level: Option<BucketLevel>,
}

/// Leases, and the buckets that this daemon owns.
pub struct QuotaState {
    clock: Clock,
    leases: Mutex<HashMap<String, Arc<SharedLease>>>,
    buckets: Mutex<HashMap<String, QuotaBucket>>,
    tallies: Mutex<HashMap<String, GrantTally>>,
    bucket_owners: Mutex<Arc<BucketOwners>>,
    /// Owners that this daemon reaches; kept up to date if it is an owner.
    pub(super) reach: Mutex<OwnerReach>,
    /// Time until which no requests are sent to a host that did not respond.
    host_backoffs: Mutex<HashMap<String, Micros>>,
}

impl QuotaState {
    /// Creates a state without leases or buckets.
    pub fn new(clock: Clock) -> Self {
        let reach = Mutex::new(OwnerReach::new(clock.now()));
        QuotaState {
            clock,
            reach,
            leases: Mutex::default(),
            buckets: Mutex::default(),
            tallies: Mutex::default(),
            bucket_owners: Mutex::default(),
            host_backoffs: Mutex::default(),
        }
    }

    pub(super) fn lease(&self, organisation: &str) -> Arc<SharedLease> {
        let mut leases = lock(&self.leases);
        if let Some(lease) = leases.get(organisation) {
            return Arc::clone(lease);
        }
        let lease = Arc::<SharedLease>::default();
        leases.insert(organisation.to_owned(), Arc::clone(&lease));
        lease
    }

    /// Grants tokens from this daemon's bucket.
    pub(super) fn grant(
        &self,
        organisation: &str,
        limit: QuotaLimit,
        right: GrantRight,
        request: TokenRequest,
    ) -> QuotaGrant {
        let now = self.clock.now();
        let wanted = request.tokens;
        let mut buckets = lock(&self.buckets);
        let bucket = match buckets.get_mut(organisation) {
            Some(bucket) => bucket,
            None => buckets
                .entry(organisation.to_owned())
                .or_insert_with(|| QuotaBucket::new(rand::random(), limit, right, now)),
        };
        let grant = bucket.grant(now, limit, right, request);
        drop(buckets);
        self.tally(organisation, wanted, right.share, grant);
        grant
    }

    fn tally(&self, organisation: &str, wanted: u32, share: f64, grant: QuotaGrant) {
        let mut tallies = lock(&self.tallies);
        let tally = tallies.entry(organisation.to_owned()).or_default();
        tally.granted += u64::from(grant.tokens);
        tally.refused += u64::from(wanted - grant.tokens);
        tally.share = share;
        tally.level = grant.level;
    }

    /// Grants since the last call of this function, by organisation.
    pub(super) fn take_tallies(&self) -> HashMap<String, GrantTally> {
        std::mem::take(&mut lock(&self.tallies))
    }

    pub(super) fn bucket_owners(&self) -> Arc<BucketOwners> {
        Arc::clone(&lock(&self.bucket_owners))
    }

    pub(super) fn set_bucket_owners(&self, bucket_owners: BucketOwners) -> Arc<BucketOwners> {
        let bucket_owners = Arc::new(bucket_owners);
        *lock(&self.bucket_owners) = Arc::clone(&bucket_owners);
        bucket_owners
    }

    pub(super) fn is_backed_off(&self, host: &str, now: Micros) -> bool {
        lock(&self.host_backoffs)
            .get(host)
            .is_some_and(|until| now < *until)
    }

    pub(super) fn back_off(&self, host: &str, until: Micros) {
        let mut backoffs = lock(&self.host_backoffs);
        backoffs.retain(|_, expiry| *expiry + BACKOFF_RETENTION_US > until);
        backoffs.insert(host.to_owned(), until);
    }

    /// Drops the leases and buckets of organisations that no longer exist.
    pub(super) fn retain(&self, exists: impl Fn(&str) -> bool) {
        lock(&self.leases).retain(|name, _| exists(name));
        lock(&self.buckets).retain(|name, _| exists(name));
    }
}

/// The limit of an organisation, or `None` if it is unlimited.
pub(super) fn limit_of(organisation: &Organisation) -> Option<QuotaLimit> {
    let limit = QuotaLimit {
        rate_per_1000_s: organisation.rate_per_1000_s,
        burst: organisation.burst,
    };
    (limit.rate_per_1000_s > 0).then_some(limit)
}
