//! Home regions: the only regions in which a call may be served.
//!
//! The router excludes targets outside a call's home regions in the same way as targets that
//! were already tried, so that no choice, retry or reroute can reach one. A call without home
//! regions is not filtered.

use std::borrow::Cow;
use std::collections::HashMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::ids::{CallId, TargetId};
use crate::subset::{Candidate, Location, subset};

/// Divisor of the subset size that gives the number of targets linked in each home region.
/// Calls that may go nowhere else need more than one target to choose among, and half of a
/// subset is enough for that.
const HOME_REGION_DIVISOR: usize = 2;

/// Where a call may be served.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(from = "Vec<String>", into = "Vec<String>")]
pub enum Homes {
    /// In any region.
    #[default]
    Anywhere,
    /// In these regions only. An empty list allows no region.
    Only(Arc<[String]>),
}

impl Homes {
    /// Converts a list from the settings, where an empty list allows every region.
    pub fn from_settings(names: &[String]) -> Homes {
        match names.is_empty() {
            true => Homes::Anywhere,
            false => Homes::Only(names.into()),
        }
    }

    /// The regions that both `self` and `other` allow.
    pub fn intersection(&self, other: &Homes) -> Homes {
        match (self, other) {
            (Homes::Anywhere, other) => other.clone(),
            (one, Homes::Anywhere) => one.clone(),
            (Homes::Only(names), other) => {
                let both = names.iter().filter(|name| other.allows(name));
                Homes::Only(both.cloned().collect())
            }
        }
    }

    /// Whether a call may be served in `region`. A region without a name is in no list.
    pub fn allows(&self, region: &str) -> bool {
        match self {
            Homes::Anywhere => true,
            Homes::Only(names) => names.iter().any(|name| name == region),
        }
    }

    /// Whether a call may be served in any region.
    pub fn is_anywhere(&self) -> bool {
        matches!(self, Homes::Anywhere)
    }

    /// Names of the listed regions; empty for [`Homes::Anywhere`].
    pub fn names(&self) -> &[String] {
        match self {
            Homes::Anywhere => &[],
            Homes::Only(names) => names,
        }
    }
}

impl From<Vec<String>> for Homes {
    /// Converts a list from a message, where an empty list allows no region: a call whose list
    /// cannot be interpreted must not leave its home regions. A call that may be served
    /// anywhere is sent without a list.
    fn from(names: Vec<String>) -> Self {
        Homes::Only(names.into())
    }
}

impl From<Homes> for Vec<String> {
    fn from(homes: Homes) -> Self {
        homes.names().to_vec()
    }
}

/// Filters a router's targets by the home regions of its calls.
#[derive(Debug, Default)]
pub(crate) struct HomeRegionFilter {
    /// Region of each target.
    regions: HashMap<TargetId, String>,
    /// Home regions of the calls that have any.
    calls: HashMap<CallId, Homes>,
}

impl HomeRegionFilter {
    pub(crate) fn set_regions(&mut self, regions: Vec<(TargetId, String)>) {
        self.regions = regions.into_iter().collect();
    }

    pub(crate) fn set_homes(&mut self, call: CallId, homes: Homes) {
        match homes.is_anywhere() {
            true => self.calls.remove(&call),
            false => self.calls.insert(call, homes),
        };
    }

    /// Removes a finished call. Returns whether it had home regions.
    pub(crate) fn remove(&mut self, call: CallId) -> bool {
        self.calls.remove(&call).is_some()
    }

    /// Targets that a call must not be offered to: those in `tried`, and those outside its
    /// home regions.
    pub(crate) fn excluded<'a>(
        &self,
        call: CallId,
        tried: &'a [TargetId],
        targets: &[TargetId],
    ) -> Cow<'a, [TargetId]> {
        let Some(homes) = self.calls.get(&call) else {
            return Cow::Borrowed(tried);
        };
        let mut excluded = self.targets_outside(homes, targets);
        excluded.extend_from_slice(tried);
        Cow::Owned(excluded)
    }

    /// Targets outside `homes`. A target whose region is unknown counts as outside.
    pub(crate) fn targets_outside(&self, homes: &Homes, targets: &[TargetId]) -> Vec<TargetId> {
        let is_inside = |target: &TargetId| {
            let region = self.regions.get(target);
            region.is_some_and(|region| homes.allows(region))
        };
        let all = targets.iter().copied();
        all.filter(|target| !is_inside(target)).collect()
    }
}

/// Returns the targets that a router at `here` keeps links to if calls have home regions: the
/// [`subset`] of `size`, followed by the nearest targets of each home region in `regions`.
pub fn subset_with_homes(
    here: Location<'_>,
    candidates: &[Candidate],
    size: usize,
    regions: &[String],
) -> Vec<TargetId> {
    let mut selected = subset(here, candidates, size);
    for region in regions {
        let inside = candidates.iter().filter(|one| one.region == *region);
        let inside: Vec<Candidate> = inside.cloned().collect();
        for target in subset(here, &inside, size.div_ceil(HOME_REGION_DIVISOR)) {
            if !selected.contains(&target) {
                selected.push(target);
            }
        }
    }
    selected
}
