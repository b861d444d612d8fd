//! The generation of settings in force at this daemon.

use std::collections::{HashMap, VecDeque};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock};

use lynxcleat_policy::SettingsPacer;
use lynxcleat_settings::{Effective, Generation, KeyTable, OfferError, RouteTable, Tree};
use tokio::sync::watch;

use crate::sync::lock;

/// Earlier trees that are kept, so that peers that have one of them are sent what changed since.
/// They share all that did not change.
const EARLIER_TREES: usize = 8;

/// One generation with the values it puts in force here.
pub struct InForce {
    /// The generation.
    pub generation: Generation,
    /// Values for this daemon's own place and service.
    pub own: Arc<Effective>,
    /// Its routes.
    pub routes: RouteTable,
    /// Lookup table of organisation keys.
    pub keys: KeyTable,
    /// Whether it names home regions anywhere.
    pub has_homes: bool,
    /// Digest of its entries, by which peers check their copies.
    pub entries_digest: String,
    place: String,
    services: Mutex<HashMap<String, Arc<Effective>>>,
}

impl InForce {
    /// What a generation puts in force; what it has in common with the one before is kept.
    fn following(
        generation: Generation,
        place: &str,
        service: &str,
        before: Option<&InForce>,
    ) -> Self {
        let tree = &generation.tree;
        let same_levels = before.filter(|before| before.generation.tree.has_same_levels(tree));
        let own = same_levels.map(|before| Arc::clone(&before.own));
        let services = same_levels.map(|before| lock(&before.services).clone());
        let routes = before.map(|before| before.routes.updated_for(tree));
        let keys = before.map(|before| before.keys.updated_for(tree));
        InForce {
            own: own.unwrap_or_else(|| Arc::new(Effective::of(tree, place, service))),
            routes: routes.unwrap_or_else(|| RouteTable::of(tree)),
            keys: keys.unwrap_or_else(|| KeyTable::of(tree)),
            has_homes: tree.has_home_regions(),
            entries_digest: tree.entries_digest().to_string(),
            place: place.to_owned(),
            services: Mutex::new(services.unwrap_or_default()),
            generation,
        }
    }

    /// Values in force here for a service; `None` where no place has it.
    pub fn service(&self, name: &str) -> Option<Arc<Effective>> {
        let mut services = lock(&self.services);
        if let Some(known) = services.get(name) {
            return Some(Arc::clone(known));
        }
        let tree: &Tree = &self.generation.tree;
        if !tree.has_service(name) {
            return None;
        }
        let effective = Arc::new(Effective::of(tree, &self.place, name));
        services.insert(name.to_owned(), Arc::clone(&effective));
        Some(effective)
    }
}

/// Holds the generation in force and tells who waits for a new one.
pub struct SettingsState {
    place: String,
    service: String,
    current: RwLock<Option<Arc<InForce>>>,
    /// Held while a generation is taken, so that calls never wait for the work of it.
    taking: Mutex<()>,
    raised: watch::Sender<u64>,
    /// Newest generation that a peer told of and that may still be had from one.
    wanted: AtomicU64,
    catching_up: AtomicBool,
    copy_rate: Mutex<SettingsPacer>,
    /// Trees that were in force, the newest last, by the digests of their entries.
    earlier: Mutex<VecDeque<(String, Tree)>>,
}

impl SettingsState {
    /// Nothing is in force.
    pub fn new(place: &str, service: &str) -> Self {
        SettingsState {
            place: place.to_owned(),
            service: service.to_owned(),
            current: RwLock::default(),
            taking: Mutex::default(),
            raised: watch::Sender::new(0),
            wanted: AtomicU64::new(0),
            catching_up: AtomicBool::new(false),
            copy_rate: Mutex::default(),
            earlier: Mutex::default(),
        }
    }

    /// A peer has generation `theirs` in force. Returns whether catching up has to begin: it is
    /// newer, and nobody is at it.
    pub fn want(&self, theirs: u64) -> bool {
        self.wanted.fetch_max(theirs, Ordering::AcqRel);
        theirs > self.number() && !self.catching_up.swap(true, Ordering::AcqRel)
    }

    /// Newest generation that is to be had from peers.
    pub fn wanted(&self) -> u64 {
        self.wanted.load(Ordering::Acquire)
    }

    /// No peer has generation `wanted` any more; the next that tells of it counts.
    pub fn unwant(&self, wanted: u64) {
        let number = self.number();
        // A newer one that was told of meanwhile stays wanted.
        let _ = self
            .wanted
            .compare_exchange(wanted, number, Ordering::AcqRel, Ordering::Acquire);
    }

    /// Catching up ended. Returns whether it has to begin again, since a newer generation was
    /// told of meanwhile.
    pub fn end_catching_up(&self) -> bool {
        self.catching_up.store(false, Ordering::Release);
        self.wanted() > self.number() && !self.catching_up.swap(true, Ordering::AcqRel)
    }

    /// What may be sent to peers that ask for settings.
    pub fn copy_rate(&self) -> MutexGuard<'_, SettingsPacer> {
        lock(&self.copy_rate)
    }

    /// The newest generation that was taken: calls are read by it. Not every part of the
    /// daemon may have its values yet.
    pub fn current(&self) -> Option<Arc<InForce>> {
        self.current
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Number of the generation that is in force in every part; 0 before the first.
    pub fn number(&self) -> u64 {
        *self.raised.borrow()
    }

    /// Tells when the number rises.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.raised.subscribe()
    }

    /// Takes a generation if it is newer. Returns whether it was; it is in force once every
    /// part has its values.
    ///
    /// # Errors
    /// The number of the newest with other content.
    pub fn offer(&self, generation: Generation) -> Result<bool, OfferError> {
        let _taking = lock(&self.taking);
        let before = self.current();
        if !generation.supersedes(before.as_ref().map(|before| &before.generation))? {
            return Ok(false);
        }
        let next = InForce::following(generation, &self.place, &self.service, before.as_deref());
        let next = Some(Arc::new(next));
        *self.current.write().unwrap_or_else(PoisonError::into_inner) = next;
        if let Some(before) = before {
            self.keep_earlier(&before);
        }
        Ok(true)
    }

    fn keep_earlier(&self, before: &InForce) {
        let mut earlier = lock(&self.earlier);
        earlier.push_back((
            before.entries_digest.clone(),
            before.generation.tree.clone(),
        ));
        if earlier.len() > EARLIER_TREES {
            earlier.pop_front();
        }
    }

    /// A tree that was in force here, by the digest of its entries.
    pub fn earlier(&self, entries_digest: &str) -> Option<Tree> {
        let earlier = lock(&self.earlier);
        let found = earlier.iter().rfind(|(digest, _)| digest == entries_digest);
        found.map(|(_, tree)| tree.clone())
    }

    /// Every part has the values of a generation. Said any earlier, a daemon counts as ready
    /// while its half refuses all calls for want of settings.
    pub fn put_in_force(&self, number: u64) {
        self.raised.send_if_modified(|current| {
            let is_newer = number > *current;
            *current = number.max(*current);
            is_newer
        });
    }
}
