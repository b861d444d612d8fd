//! Routers by service, their targets, and the links kept to them.
//!
//! A service's router is made at its first call. For each target of its subset a
//! keeper task holds a link and makes it again after a loss, so that no call
//! waits for a connection.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, Weak};
use std::time::Duration;

use log::Level;
use lynxcleat_once::Incarnation;
use lynxcleat_policy::{
    Action, Candidate, Cost, Distance, Event, Homes, Location, Micros, OfferShare,
    ReconnectBackoff, ReconnectEvent, Router, ScoredTarget, TargetId, TargetLoad, TargetNotice,
    subset_with_homes,
};
use lynxcleat_settings::Effective;
use lynxcleat_store::{HostEntry, HostState};
use tokio::sync::Notify;
use tokio::task::JoinHandle;

use super::params::params;
use crate::control::budget::Purpose;
use crate::core::Core;
use crate::homes;
use crate::host_table::candidate;
use crate::mesh::link::Link;
use crate::mesh::links::Links;
use crate::settings::state::InForce;
use crate::sync::lock;

/// Bytes charged for making a link again: web socket, hellos, proofs, and TCP's
/// own. The first link to a target is made because a call wants it, and is part of
/// serving the call; making it again is upkeep and asks the measuring budget.
const REDIAL: Cost = Cost {
    messages: 1,
    bytes: 2_000,
    cpu_us: 500,
};
/// Part of a service's targets, as a divisor, that have to be linked to: while fewer are,
/// links are made again without asking the measuring budget.
const SHORT_PART: usize = 2;
/// Path times assumed before any was seen, by distance, in microseconds.
const PATH_SAME_PLACE_US: f64 = 300.0;
const PATH_OTHER_PLACE_US: f64 = 2_500.0;
/// Regions are some hundred kilometres apart, and light needs 10 us for a kilometre of fibre,
/// there and back; the way of a target is learned with the first answers.
const PATH_OTHER_REGION_US: f64 = 20_000.0;
/// Attempt numbers are apart by service, so that they are unique in the daemon.
const ATTEMPTS_BITS: u32 = 40;

struct Peer {
    entry: HostEntry,
    link: Option<Arc<Link>>,
    last_incarnation: Option<Incarnation>,
    /// Whether a link was made or failed to be made since the peer is known.
    tried: bool,
    keeper: JoinHandle<()>,
}

impl Drop for Peer {
    fn drop(&mut self) {
        self.keeper.abort();
    }
}

/// What a router decided about a call.
pub struct Decided {
    /// What is to be done.
    pub actions: Vec<Action>,
    /// Targets that a choice was made from; empty where none was.
    pub considered: Vec<ScoredTarget>,
    /// Further attempts that were sent.
    pub retries: u64,
    /// Failures that the request brought about itself.
    pub own_failures: u64,
    /// Targets that were not offered the call for their rate limits.
    pub passed_over: Vec<TargetId>,
    /// Share of the calls out of which the target was offered this one, if that decided.
    pub share: Option<OfferShare>,
}

/// The router of one service with its links.
pub struct ServiceRouter {
    /// The service.
    pub name: String,
    router: Mutex<Router>,
    /// Whether some request failed lately, so that those which are served are to be named.
    any_failing: AtomicBool,
    peers: Mutex<HashMap<TargetId, Peer>>,
    linked: Notify,
}

/// The routers of one daemon.
#[derive(Default)]
pub struct Routers {
    services: Mutex<HashMap<String, Arc<ServiceRouter>>>,
    ids: Mutex<HashMap<String, TargetId>>,
    /// What the targets of hosts state, as their daemons told last.
    notices: Mutex<HashMap<String, TargetNotice>>,
}

impl Routers {
    /// The router of a service, made where there is none.
    pub fn get(&self, core: &Arc<Core>, name: &str, effective: &Effective) -> Arc<ServiceRouter> {
        let mut services = lock(&self.services);
        if let Some(known) = services.get(name) {
            return Arc::clone(known);
        }
        let first_attempt = ((services.len() as u64) + 1) << ATTEMPTS_BITS;
        let router = Router::new(
            params(effective, core.hosts.len()),
            rand::random(),
            first_attempt,
        );
        let service = Arc::new(ServiceRouter {
            name: name.to_owned(),
            router: Mutex::new(router),
            any_failing: AtomicBool::new(false),
            peers: Mutex::default(),
            linked: Notify::new(),
        });
        // Its targets first: a second call must not find it without any.
        service.refresh(core, effective);
        services.insert(name.to_owned(), Arc::clone(&service));
        service
    }

    /// Takes up a change of the host list.
    pub fn refresh(&self, core: &Arc<Core>) {
        if let Some(in_force) = core.settings.current() {
            self.apply(core, &in_force);
        }
    }

    /// Puts settings in force.
    pub fn apply(&self, core: &Arc<Core>, in_force: &InForce) {
        for service in self.all() {
            if let Some(effective) = in_force.service(&service.name) {
                lock(&service.router).set_params(params(&effective, core.hosts.len()));
                service.refresh(core, &effective);
            }
        }
    }

    /// A daemon says that its target takes no new calls, or takes them again.
    pub fn leaving(&self, core: &Core, host: &str, leaving: bool) {
        self.tell(core, host, |target| match leaving {
            true => Event::TargetDraining { target },
            false => Event::TargetResumed { target },
        });
    }

    /// A daemon says that nothing listens at its target's address, or something does again.
    pub fn down(&self, core: &Core, host: &str, down: bool) {
        self.tell(core, host, |target| Event::TargetDown { target, down });
    }

    /// The link to a daemon may be silent, or was heard from since.
    pub fn doubted(&self, core: &Core, host: &str, doubted: bool) {
        self.tell(core, host, |target| Event::TargetSuspected {
            target,
            suspected: doubted,
        });
    }

    /// Tells every router what happened to the target of a host.
    fn tell(&self, core: &Core, host: &str, event: impl Fn(TargetId) -> Event) {
        let Some(target) = lock(&self.ids).get(host).copied() else {
            return;
        };
        for service in self.all() {
            service.feed(core, event(target));
        }
    }

    /// Keeps what the target of a host states. A daemon that says nothing of it may have been
    /// started since it was stated.
    pub fn heard(&self, host: &str, figures: Option<TargetLoad>) {
        let Some(notice) = figures.and_then(|figures| figures.notice) else {
            return;
        };
        let mut notices = lock(&self.notices);
        match notice.is_blank() {
            true => notices.remove(host),
            false => notices.insert(host.to_owned(), notice),
        };
    }

    /// What the target of a host states.
    pub fn notice(&self, host: &str) -> Option<TargetNotice> {
        lock(&self.notices).get(host).copied()
    }

    /// A daemon tells the load of its target.
    pub fn load(&self, core: &Core, host: &str, figures: TargetLoad) {
        self.heard(host, Some(figures));
        let Some(target) = lock(&self.ids).get(host).copied() else {
            return;
        };
        for service in self.all() {
            service.feed(
                core,
                Event::LoadReported {
                    target,
                    load: figures,
                },
            );
            service.tell_half(core, target, Some(figures));
        }
    }

    /// Every router.
    pub fn all(&self) -> Vec<Arc<ServiceRouter>> {
        lock(&self.services).values().cloned().collect()
    }

    fn id(&self, host: &str) -> TargetId {
        let mut ids = lock(&self.ids);
        let next = TargetId(ids.len() as u32);
        *ids.entry(host.to_owned()).or_insert(next)
    }
}

impl ServiceRouter {
    /// Runs `work` on the router's machine.
    pub fn with<T>(&self, work: impl FnOnce(&mut Router) -> T) -> T {
        work(&mut lock(&self.router))
    }

    /// Asks the router's decisions about a call.
    pub fn decide(&self, now: Micros, reach: Distance, event: Event) -> Decided {
        let mut router = lock(&self.router);
        router.set_max_distance(reach);
        let before = router.counts();
        let actions = router.on(now, event);
        let sends = matches!(actions.first(), Some(Action::Send { .. }));
        let considered = match sends {
            true => router.scored_targets().to_vec(),
            false => Vec::new(),
        };
        let passed_over = match sends {
            true => router.passed_over().to_vec(),
            false => Vec::new(),
        };
        let failing = router.has_failing_requests(now);
        self.any_failing.store(failing, Ordering::Relaxed);
        Decided {
            actions,
            considered,
            retries: router.counts().retries - before.retries,
            own_failures: router.counts().own_failures - before.own_failures,
            passed_over,
            share: router.selected_share(),
        }
    }

    /// Whether some request failed lately, as the last decision found.
    pub fn any_failing(&self) -> bool {
        self.any_failing.load(Ordering::Relaxed)
    }

    /// The link to a target, if it stands.
    pub fn link(&self, target: TargetId) -> Option<Arc<Link>> {
        lock(&self.peers).get(&target)?.link.clone()
    }

    /// Mesh address of a target.
    pub fn mesh(&self, target: TargetId) -> Option<String> {
        Some(lock(&self.peers).get(&target)?.entry.mesh.clone())
    }

    /// Host of a target, for explanations.
    pub fn host(&self, target: TargetId) -> String {
        let peers = lock(&self.peers);
        let known = peers.get(&target).map(|peer| peer.entry.host.clone());
        known.unwrap_or_else(|| format!("target {}", target.0))
    }

    /// Waits until some target in a call's home regions is open for calls. Returns at once
    /// where one is, or where there is nothing to wait for: every link was tried.
    pub async fn ready(&self, core: &Core, homes: &Homes) {
        loop {
            let linked = self.linked.notified();
            tokio::pin!(linked);
            linked.as_mut().enable();
            let any_open = lock(&self.router).any_available(core.clock.now(), homes);
            let is_tried = |peer: &Peer| peer.tried || !homes.allows(&peer.entry.region);
            let all_tried = lock(&self.peers).values().all(is_tried);
            if any_open || all_tried {
                return;
            }
            linked.await;
        }
    }

    /// Tells the own target's half how slow another target of its service is.
    pub fn tell_half(&self, core: &Core, target: TargetId, figures: Option<TargetLoad>) {
        let is_of_service = || self.name == core.half.service(core);
        let is_other = || {
            let peers = lock(&self.peers);
            let peer = peers.get(&target);
            peer.is_some_and(|peer| peer.entry.host != core.config.host)
        };
        if let Some(figures) = figures
            && is_of_service()
            && is_other()
        {
            core.half.learn_peer(figures);
        }
    }

    fn feed(&self, core: &Core, event: Event) {
        let actions = lock(&self.router).on(core.clock.now(), event);
        debug_assert!(actions.is_empty(), "events of targets decide on no call");
    }

    /// Makes the subset of the listed targets the router's targets.
    fn refresh(self: &Arc<Self>, core: &Arc<Core>, effective: &Effective) {
        let listed = homes::hosts_of_service(core, &self.name);
        let evacuated = core.evacuated_zones();
        let candidates: Vec<Candidate> = listed
            .iter()
            .map(|entry| Candidate {
                evacuated: evacuated.contains(&entry.zone),
                ..candidate(core.routers.id(&entry.host), entry)
            })
            .collect();
        let in_force = core.settings.current();
        let own_region = in_force
            .as_ref()
            .map_or_else(String::new, |in_force| homes::own_region(core, in_force));
        let regions =
            in_force.map_or_else(Vec::new, |in_force| in_force.wanted_regions(&self.name));
        let here = Location {
            region: &own_region,
            ..core.here()
        };
        let division = core.rollouts.division(&self.name, &listed, effective);
        let wanted = match &division {
            None => subset_with_homes(here, &candidates, effective.subset_size, &regions),
            Some(division) => division.wanted(here, &candidates, effective.subset_size, &regions),
        };
        let mut entries: HashMap<TargetId, HostEntry> = candidates
            .iter()
            .map(|candidate| candidate.target)
            .zip(listed)
            .filter(|(target, _)| wanted.contains(target))
            .collect();
        let distance = |target: &TargetId| {
            let entry = &entries[target];
            here.distance_to(&entry.zone, &entry.place, &entry.region)
        };
        let distances: Vec<(TargetId, Distance)> = wanted
            .iter()
            .map(|target| (*target, distance(target)))
            .collect();
        let targets: Vec<(TargetId, f64)> = distances
            .iter()
            .map(|(target, distance)| (*target, path_us(*distance)))
            .collect();
        let region = |target: &TargetId| (*target, entries[target].region.clone());
        let stands = wanted.iter().map(region).collect();
        let mut peers = lock(&self.peers);
        let mut router = lock(&self.router);
        router.set_targets(core.clock.now(), &targets);
        router.set_distances(&distances);
        router.set_regions(stands);
        router.set_rollout(division.map(|division| division.targets(&candidates, &wanted)));
        drop(router);
        peers.retain(|target, peer| {
            entries
                .get(target)
                .is_some_and(|entry| entry.mesh == peer.entry.mesh)
        });
        for (target, entry) in entries.drain() {
            let leaving = entry.state == HostState::Leaving;
            match peers.get_mut(&target) {
                Some(peer) => {
                    if peer.entry.state == HostState::Leaving && !leaving {
                        self.feed(core, Event::TargetResumed { target });
                    }
                    peer.entry = entry;
                }
                None => {
                    lock(&self.router).on(
                        core.clock.now(),
                        Event::TargetLinked {
                            target,
                            linked: false,
                        },
                    );
                    peers.insert(target, self.keep(core, target, entry));
                }
            }
            if leaving {
                self.feed(core, Event::TargetDraining { target });
            }
        }
        self.linked.notify_waiters();
    }

    /// Starts the keeper of one target's link.
    fn keep(self: &Arc<Self>, core: &Arc<Core>, target: TargetId, entry: HostEntry) -> Peer {
        let weak = Arc::downgrade(self);
        let core = Arc::clone(core);
        let mesh = entry.mesh.clone();
        let host = entry.host.clone();
        let keeper = tokio::spawn(async move {
            let mut redial = ReconnectBackoff::new(rand::random());
            // The address of a host that is gone may be another's by now; one line says so.
            let mut is_told = false;
            loop {
                let dialed = Links::dial(&core, &mesh).await;
                let Some(service) = weak.upgrade() else {
                    return;
                };
                let ended = match dialed {
                    Ok(link) if link.peer.host != host => {
                        let found = link.peer.host.as_str();
                        let level = if is_told { Level::Debug } else { Level::Info };
                        is_told = true;
                        log::log!(level, host = host.as_str(), found; "another host answers at the address");
                        service.link_failed(target);
                        ReconnectEvent::Failed
                    }
                    Ok(link) => {
                        service.link_made(&core, target, &link);
                        link.closed().await;
                        service.link_lost(&core, target);
                        ReconnectEvent::Lost
                    }
                    Err(error) => {
                        log::debug!("{error}");
                        service.link_failed(target);
                        ReconnectEvent::Failed
                    }
                };
                drop(service);
                pause(&mut redial, ended).await;
                while !is_short(&weak) && !core.budget.ask(Purpose::Redial, REDIAL) {
                    pause(&mut redial, ReconnectEvent::BudgetRefused).await;
                }
            }
        });
        Peer {
            entry,
            link: None,
            last_incarnation: None,
            tried: false,
            keeper,
        }
    }

    fn link_made(&self, core: &Core, target: TargetId, link: &Arc<Link>) {
        log::info!(peer = link.peer.host.as_str(), service = self.name.as_str(); "link made");
        let replaced = {
            let mut peers = lock(&self.peers);
            let Some(peer) = peers.get_mut(&target) else {
                return;
            };
            peer.link = Some(Arc::clone(link));
            let incarnation = link.peer.incarnation;
            let last = peer.last_incarnation.replace(incarnation);
            last.is_some_and(|last| last != incarnation)
        };
        if replaced {
            core.once.half_gone(&self.name);
            self.feed(core, Event::TargetReplaced { target });
        }
        // Before it may be selected: a call that a leaving target refuses may find no other.
        self.follow_peer_target(core, target, link);
        let linked = true;
        self.feed(core, Event::TargetLinked { target, linked });
        // Only now: a call that waits for the last link must not find it tried and closed.
        self.mark_tried(target);
    }

    /// Takes over what the other side of a new link says of its target. A change that arrives
    /// meanwhile may have been fed before it, so it is looked at again.
    fn follow_peer_target(&self, core: &Core, target: TargetId, link: &Link) {
        loop {
            let said = link.peer_target();
            let state = match said.leaving || self.is_listed_leaving(target) {
                true => Event::TargetDraining { target },
                false => Event::TargetResumed { target },
            };
            self.feed(core, state);
            let down = said.down;
            self.feed(core, Event::TargetDown { target, down });
            if link.peer_target() == said {
                return;
            }
        }
    }

    /// Whether the host list says that the host of a target will be taken away.
    fn is_listed_leaving(&self, target: TargetId) -> bool {
        let peers = lock(&self.peers);
        let peer = peers.get(&target);
        peer.is_some_and(|peer| peer.entry.state == HostState::Leaving)
    }

    fn link_failed(&self, target: TargetId) {
        self.mark_tried(target);
    }

    /// A link was made or failed to be made; calls may wait for that.
    fn mark_tried(&self, target: TargetId) {
        if let Some(peer) = lock(&self.peers).get_mut(&target) {
            peer.tried = true;
        }
        self.linked.notify_waiters();
    }

    fn link_lost(&self, core: &Core, target: TargetId) {
        let host = self.host(target);
        log::info!(peer = host.as_str(), service = self.name.as_str(); "link lost");
        if let Some(peer) = lock(&self.peers).get_mut(&target) {
            peer.link = None;
        }
        self.feed(
            core,
            Event::TargetLinked {
                target,
                linked: false,
            },
        );
    }
}

/// Whether so few links of a service stand that making another is part of serving its calls.
fn is_short(service: &Weak<ServiceRouter>) -> bool {
    let Some(service) = service.upgrade() else {
        return false;
    };
    let peers = lock(&service.peers);
    let linked = peers.values().filter(|peer| peer.link.is_some()).count();
    linked * SHORT_PART < peers.len()
}

async fn pause(redial: &mut ReconnectBackoff, event: ReconnectEvent) {
    tokio::time::sleep(Duration::from_micros(redial.next_delay_us(event))).await;
}

fn path_us(distance: Distance) -> f64 {
    match distance {
        Distance::OwnZone | Distance::OwnPlace => PATH_SAME_PLACE_US,
        Distance::OwnRegion => PATH_OTHER_PLACE_US,
        Distance::OtherRegion => PATH_OTHER_REGION_US,
    }
}
