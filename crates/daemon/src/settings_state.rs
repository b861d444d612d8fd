//! The generation of settings in force at this daemon.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError, RwLock};

use lynxcleat_settings::{Effective, Generation, OfferError, RouteTable, Tree};
use tokio::sync::watch;

use crate::sync::lock;

/// One generation with the values it puts in force here.
pub struct InForce {
    /// The generation.
    pub generation: Generation,
    /// Values for this daemon's own place and service.
    pub own: Arc<Effective>,
    /// Its routes.
    pub routes: RouteTable,
    /// Whether it names home regions anywhere.
    pub has_homes: bool,
    place: String,
    services: Mutex<HashMap<String, Arc<Effective>>>,
}

impl InForce {
    fn new(generation: Generation, place: &str, service: &str) -> Self {
        InForce {
            own: Arc::new(Effective::of(&generation.tree, place, service)),
            routes: RouteTable::of(&generation.tree),
            has_homes: generation.tree.has_home_regions(),
            place: place.to_owned(),
            services: Mutex::default(),
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
        if !tree.knows_service(name) {
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
    raised: watch::Sender<u64>,
    fetching: AtomicBool,
}

impl SettingsState {
    /// Nothing is in force.
    pub fn new(place: &str, service: &str) -> Self {
        SettingsState {
            place: place.to_owned(),
            service: service.to_owned(),
            current: RwLock::default(),
            raised: watch::Sender::new(0),
            fetching: AtomicBool::new(false),
        }
    }

    /// Whether a fetch of generation `theirs` from a peer should begin: it is
    /// newer, and no other fetch goes on.
    pub fn begin_fetch(&self, theirs: u64) -> bool {
        theirs > self.number() && !self.fetching.swap(true, Ordering::AcqRel)
    }

    /// A fetch ended.
    pub fn end_fetch(&self) {
        self.fetching.store(false, Ordering::Release);
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
        let mut current = self.current.write().unwrap_or_else(PoisonError::into_inner);
        let before = current.as_ref().map(|in_force| &in_force.generation);
        if !generation.succeeds(before)? {
            return Ok(false);
        }
        let in_force = InForce::new(generation, &self.place, &self.service);
        *current = Some(Arc::new(in_force));
        Ok(true)
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
