//! Home regions: the only regions in which a call may be served.
//!
//! The router passes targets outside over as if the call had been offered to them
//! already, so that no choice, retry or further offer can reach one. A call without
//! home regions is not looked at.

use std::borrow::Cow;
use std::collections::HashMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::ids::{CallId, TargetId};
use crate::subset::{Candidate, Here, subset};

/// Part of the targets that a daemon keeps links to, as a divisor, that it keeps links to
/// in each region that is some call's home: calls that may go nowhere else need more than
/// one target to choose among, and half of a subset is enough for that.
const HOME_PART: usize = 2;

/// Where a call may be served.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(from = "Vec<String>", into = "Vec<String>")]
pub enum Homes {
    /// In any region.
    #[default]
    Anywhere,
    /// In these regions only; nowhere where there are none.
    Only(Arc<[String]>),
}

impl Homes {
    /// From a list in the settings, where an empty one allows every region.
    pub fn from_settings(names: &[String]) -> Homes {
        match names.is_empty() {
            true => Homes::Anywhere,
            false => Homes::Only(names.into()),
        }
    }

    /// The regions that both allow.
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

    /// Whether a call may be served in a region. One without a name is in no list.
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

    /// The regions named.
    pub fn names(&self) -> &[String] {
        match self {
            Homes::Anywhere => &[],
            Homes::Only(names) => names,
        }
    }
}

impl From<Vec<String>> for Homes {
    /// From a list in a message, where an empty one allows no region: a call that cannot be
    /// understood must not leave its regions. One that may go anywhere is sent without a list.
    fn from(names: Vec<String>) -> Self {
        Homes::Only(names.into())
    }
}

impl From<Homes> for Vec<String> {
    fn from(homes: Homes) -> Self {
        homes.names().to_vec()
    }
}

/// The calls of a router that have home regions, and the regions of its targets.
#[derive(Debug, Default)]
pub(crate) struct BoundCalls {
    regions: HashMap<TargetId, String>,
    calls: HashMap<CallId, Homes>,
}

impl BoundCalls {
    pub(crate) fn set_regions(&mut self, regions: Vec<(TargetId, String)>) {
        self.regions = regions.into_iter().collect();
    }

    pub(crate) fn bind(&mut self, call: CallId, homes: Homes) {
        match homes.is_anywhere() {
            true => self.calls.remove(&call),
            false => self.calls.insert(call, homes),
        };
    }

    /// The call is over. Returns whether it had home regions.
    pub(crate) fn forget(&mut self, call: CallId) -> bool {
        self.calls.remove(&call).is_some()
    }

    /// The targets that a call must not be offered to: those tried, and those outside.
    pub(crate) fn passed_over<'a>(
        &self,
        call: CallId,
        tried: &'a [TargetId],
        targets: &[TargetId],
    ) -> Cow<'a, [TargetId]> {
        let Some(homes) = self.calls.get(&call) else {
            return Cow::Borrowed(tried);
        };
        let mut passed_over = self.outside(homes, targets);
        passed_over.extend_from_slice(tried);
        Cow::Owned(passed_over)
    }

    /// The targets outside; one whose region is not known is.
    pub(crate) fn outside(&self, homes: &Homes, targets: &[TargetId]) -> Vec<TargetId> {
        let is_inside = |target: &TargetId| {
            let region = self.regions.get(target);
            region.is_some_and(|region| homes.allows(region))
        };
        let all = targets.iter().copied();
        all.filter(|target| !is_inside(target)).collect()
    }
}

/// The targets that `here` keeps links to where calls have home regions: the nearest
/// `size`, and besides the nearest of each of `regions`.
pub fn subset_with_homes(
    here: Here<'_>,
    candidates: &[Candidate],
    size: usize,
    regions: &[String],
) -> Vec<TargetId> {
    let mut wanted = subset(here, candidates, size);
    for region in regions {
        let inside = candidates.iter().filter(|one| one.region == *region);
        let inside: Vec<Candidate> = inside.cloned().collect();
        for target in subset(here, &inside, size.div_ceil(HOME_PART)) {
            if !wanted.contains(&target) {
                wanted.push(target);
            }
        }
    }
    wanted
}
