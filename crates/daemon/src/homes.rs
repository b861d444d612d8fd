//! Home regions at both ends of a call: what the settings in force say, and what a daemon
//! outside may do.
//!
//! The router leaves targets outside out of its choice. The target half refuses besides,
//! since the sender may be a generation behind. A daemon outside passes calls on and keeps
//! neither bodies nor answers.

use std::collections::HashMap;

use lynxcleat_policy::{CallKind, Homes};
use lynxcleat_store::HostEntry;
use lynxcleat_wire::CallFrame;

use crate::core::Core;
use crate::kept::{Keeping, Kept};
use crate::mesh::link::Link;
use crate::metrics::count;
use crate::settings::state::InForce;

impl InForce {
    /// Where a call of a route and a service may be served, as this generation says.
    pub fn homes(&self, kind: CallKind, service: &str) -> Homes {
        let of_route = self.route_homes(kind).unwrap_or_default();
        self.inherited_homes(service).intersection(&of_route)
    }

    /// The same for a call that was read under an earlier generation. One whose route is
    /// gone keeps the regions that it had.
    pub fn homes_since(&self, kind: CallKind, service: &str, before: &Homes) -> Homes {
        let of_route = self.route_homes(kind);
        let of_route = of_route.as_ref().unwrap_or(before);
        self.inherited_homes(service).intersection(of_route)
    }

    /// Regions that are the home of some calls for a service, sorted.
    pub fn wanted_regions(&self, service: &str) -> Vec<String> {
        if !self.has_homes {
            return Vec::new();
        }
        let inherited = self.inherited_homes(service);
        let mut wanted = inherited.names().to_vec();
        for route in self.routes.of_service(service) {
            let homes = inherited.intersection(&Homes::from_settings(&route.home_regions));
            wanted.extend_from_slice(homes.names());
        }
        wanted.sort();
        wanted.dedup();
        wanted
    }

    /// Whether a service may be served at all at a place that stands in a region.
    pub fn may_stand(&self, service: &str, place: &str, region: &str) -> bool {
        let tree = &self.generation.tree;
        let at_place = || Homes::from_settings(&tree.home_regions(place, service));
        !self.has_homes || (self.inherited_homes(service).intersection(&at_place())).allows(region)
    }

    /// Region of a host: the one it says, or that of its place.
    pub fn region_of(&self, entry: &HostEntry) -> String {
        match entry.region.is_empty() {
            true => self.generation.tree.region(&entry.place).to_owned(),
            false => entry.region.clone(),
        }
    }

    fn inherited_homes(&self, service: &str) -> Homes {
        if !self.has_homes {
            return Homes::Anywhere;
        }
        let effective = self.service(service);
        effective.map_or(Homes::Anywhere, |own| {
            Homes::from_settings(&own.home_regions)
        })
    }

    /// What the route of a call says; `None` where there is no such route.
    fn route_homes(&self, kind: CallKind) -> Option<Homes> {
        if kind == CallKind::default() || !self.has_homes {
            return Some(Homes::Anywhere);
        }
        let mut routes = self.routes.of_kind(kind.0).iter();
        let homes = |named: &lynxcleat_settings::Route| Homes::from_settings(&named.home_regions);
        let first = homes(&routes.next()?.route);
        Some(routes.fold(first, |both, named| both.intersection(&homes(&named.route))))
    }
}

/// Region of this daemon: the one in its settings file, or that of its place.
pub fn own_region(core: &Core, in_force: &InForce) -> String {
    match core.config.region.is_empty() {
        true => in_force
            .generation
            .tree
            .region(&core.config.place)
            .to_owned(),
        false => core.config.region.clone(),
    }
}

/// Says that the settings file and the tree name different regions; the file counts.
pub fn check_own_region(core: &Core, in_force: &InForce) {
    let (own, place) = (&core.config.region, &core.config.place);
    let of_place = in_force.generation.tree.region(place);
    if !own.is_empty() && !of_place.is_empty() && own != of_place {
        log::warn!(place = place.as_str(), own = own.as_str(), of_place; "two regions, the own one counts");
    }
}

/// Hosts of a service that may serve it, each with its region.
pub fn hosts_of_service(core: &Core, service: &str) -> Vec<HostEntry> {
    let mut listed = core.hosts.of_service(service);
    let Some(in_force) = core.settings.current() else {
        return listed;
    };
    for entry in &mut listed {
        entry.region = in_force.region_of(entry);
    }
    listed.retain(|entry| in_force.may_stand(service, &entry.place, &entry.region));
    listed
}

/// Whether the target here may serve a call. What the call carries binds, and the settings
/// in force here do, unless its sender has newer ones.
pub fn may_serve(core: &Core, link: &Link, call: &CallFrame) -> bool {
    let Some(in_force) = core.settings.current() else {
        return call.homes.is_anywhere();
    };
    if call.homes.is_anywhere() && !in_force.has_homes {
        return true;
    }
    let region = own_region(core, &in_force);
    let sender_is_newer = link.generation() > in_force.generation.number;
    let own_allow = || in_force.homes(call.kind, &call.service).allows(&region);
    call.homes.allows(&region) && (sender_is_newer || own_allow())
}

/// Counts and logs a call that the target half refuses.
pub fn log_refused(core: &Core, link: &Link, call: &CallFrame) {
    count(&core.metrics.home_refusals, "half");
    if !core.explain.logs(core.clock.now(), false) {
        return;
    }
    let Some(in_force) = core.settings.current() else {
        return;
    };
    let own = in_force.homes(call.kind, &call.service);
    log::info!(
        call = call.call.as_str(),
        from = link.peer.host.as_str(),
        region = own_region(core, &in_force).as_str(),
        told = call.homes.names().join(",").as_str(),
        homes = own.names().join(",").as_str(),
        generation = in_force.generation.number,
        theirs = link.generation();
        "call outside its home regions"
    );
}

/// Whether the answer of a call may be kept here.
pub fn may_keep(core: &Core, keeping: &Keeping) -> bool {
    let Some(in_force) = core.settings.current() else {
        return keeping.homes.is_anywhere();
    };
    let homes = in_force.homes_since(keeping.kind, &keeping.service, &keeping.homes);
    homes.is_anywhere() || homes.allows(&own_region(core, &in_force))
}

/// Forgets the answers that must not be kept here under new settings.
pub fn forget_outside(core: &Core, in_force: &InForce) {
    if !in_force.has_homes {
        return;
    }
    let region = own_region(core, in_force);
    let mut known: HashMap<(CallKind, String), bool> = HashMap::new();
    let mut may_keep = |kept: &Kept| {
        let key = (kept.kind, kept.service.clone());
        *known
            .entry(key)
            .or_insert_with(|| in_force.homes(kept.kind, &kept.service).allows(&region))
    };
    core.half.forget_answers(&mut may_keep);
    core.once.forget_answers(&mut may_keep);
}
