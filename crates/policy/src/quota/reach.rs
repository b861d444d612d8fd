//! Which bucket owners a daemon reaches, and what it may grant by that.
//!
//! Owners on both sides of a network partition may grant tokens of the same organisation. Each
//! side therefore grants its part of the limit only, as the number of owners that it reaches; and
//! an owner grants in place of a silent one only once that one grants its own part.

use std::collections::HashMap;

use super::owners::BucketOwners;
use crate::ids::Micros;

/// Time without an answer after which an owner counts as out of reach.
const REACH_US: Micros = 450_000;
/// Time without an answer after which an owner grants in place of another one. Exceeds
/// [`REACH_US`] by more than the interval at which owners hear each other, so that the silent one
/// has noticed by then that it grants its part only.
const STAND_IN_US: Micros = 750_000;
/// Time for which a refused connection proves that no process of an owner grants tokens.
const REFUSED_US: Micros = 1_000_000;

/// Part of the limit that daemons out of reach of all owners may grant together, as a fraction of
/// the part that they are of all members. Owners do not know which members are out of reach.
const ALONE_PART: f64 = 0.5;

/// What a daemon may grant.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GrantRight {
    /// Fraction of the limit.
    pub share: f64,
    /// Since when it grants in place of owners that are silent. The tokens of the time before
    /// are theirs.
    pub since: Option<Micros>,
}

impl GrantRight {
    /// Right of a daemon that reaches no owner since the given time.
    pub fn alone(members: usize, since: Option<Micros>) -> Self {
        let share = ALONE_PART / members.max(1) as f64;
        GrantRight { share, since }
    }
}

/// Who grants the tokens of an organisation.
#[derive(Clone, Debug, PartialEq)]
pub enum Granter {
    /// This daemon.
    Here(GrantRight),
    /// An owner that is preferred to this one, and in reach.
    There(String),
    /// Nobody yet: a preferred owner may still be granting.
    Unknown,
}

/// Bucket owners that a daemon reaches.
#[derive(Clone, Debug)]
pub struct OwnerReach {
    started_at: Micros,
    /// Since when this daemon counts a host among the owners.
    listed_at: HashMap<String, Micros>,
    answered_at: HashMap<String, Micros>,
    refused_at: HashMap<String, Micros>,
}

impl OwnerReach {
    /// Creates the reach of a daemon that starts.
    pub fn new(now: Micros) -> Self {
        OwnerReach {
            started_at: now,
            listed_at: HashMap::new(),
            answered_at: HashMap::new(),
            refused_at: HashMap::new(),
        }
    }

    /// Something was received from an owner at the given time.
    pub fn record_answer(&mut self, host: &str, at: Micros) {
        let answered_at = self.answered_at.entry(host.to_owned()).or_default();
        *answered_at = at.max(*answered_at);
    }

    /// The machine of an owner refused a connection: its process has ended.
    pub fn record_refusal(&mut self, host: &str, at: Micros) {
        self.refused_at.insert(host.to_owned(), at);
    }

    /// Sets who the owners are. One that joins counts as silent from now on only, and hosts that
    /// own no buckets any more are forgotten.
    pub fn set_owners(&mut self, owners: &BucketOwners, now: Micros) {
        self.answered_at.retain(|host, _| owners.contains(host));
        self.refused_at.retain(|host, _| owners.contains(host));
        self.listed_at.retain(|host, _| owners.contains(host));
        for host in owners.hosts() {
            if !self.listed_at.contains_key(host) {
                self.listed_at.insert(host.clone(), now);
            }
        }
    }

    /// Whether an owner is in reach.
    pub fn is_reached(&self, host: &str, now: Micros) -> bool {
        self.is_heard_within(host, now, REACH_US) && !self.is_down(host, now)
    }

    /// Whether an owner was heard within the given time.
    pub fn is_heard_within(&self, host: &str, now: Micros, within_us: Micros) -> bool {
        let answered_at = self.answered_at.get(host);
        answered_at.is_some_and(|at| now.saturating_sub(*at) <= within_us)
    }

    /// Who grants the tokens of an organisation, as far as the owner `here` knows.
    pub fn granter(
        &self,
        owners: &BucketOwners,
        organisation: &str,
        here: &str,
        now: Micros,
    ) -> Granter {
        let mut since = None;
        for host in owners.preference_order(organisation) {
            if host == here {
                let share = self.share(owners, here, now);
                return Granter::Here(GrantRight { share, since });
            }
            if self.is_reached(host, now) {
                return Granter::There(host.to_owned());
            }
            if self.is_down(host, now) {
                continue;
            }
            let stands_in_at = self.last_answer(host) + STAND_IN_US;
            if now < stands_in_at {
                return Granter::Unknown;
            }
            since = since.max(Some(stands_in_at));
        }
        Granter::Unknown
    }

    /// Fraction of a limit that the owner `here` may grant: that of the owners that it reaches,
    /// itself included. Owners whose process has ended grant nothing, so that a majority need not
    /// leave them their part; a minority can't tell.
    fn share(&self, owners: &BucketOwners, here: &str, now: Micros) -> f64 {
        let is_in_reach = |host: &&String| host.as_str() == here || self.is_reached(host, now);
        let reached = owners.hosts().iter().filter(is_in_reach).count();
        let is_down = |host: &&String| host.as_str() != here && self.is_down(host, now);
        let down = owners.hosts().iter().filter(is_down).count();
        let total = owners.hosts().len().max(1);
        match reached * 2 > total {
            true => reached as f64 / (total - down) as f64,
            false => reached as f64 / total as f64,
        }
    }

    /// When an owner was heard last, or became one.
    fn last_answer(&self, host: &str) -> Micros {
        let known = [&self.answered_at, &self.listed_at];
        let times = known
            .into_iter()
            .filter_map(|times| times.get(host).copied());
        times.max().unwrap_or_default().max(self.started_at)
    }

    /// Whether an owner refused a connection lately, and has not answered since.
    fn is_down(&self, host: &str, now: Micros) -> bool {
        let answered_at = self.answered_at.get(host).copied().unwrap_or_default();
        self.refused_at
            .get(host)
            .is_some_and(|at| *at >= answered_at && now.saturating_sub(*at) <= REFUSED_US)
    }
}
