//! All links of a daemon.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use lynxcleat_policy::{AckTimeout, Distance, Micros};
use lynxcleat_wire::Frame;

use super::link::Link;
use crate::sync::lock;

/// Whether the other side is told the load of our target as it changes. Those of other
/// regions are not: they send few calls here, whose answers tell it.
fn is_router(link: &Link) -> bool {
    !link.is_dialer() && link.distance < Distance::OtherRegion
}

/// The links of one daemon.
#[derive(Default)]
pub struct Links {
    /// The daemon ends: links are closed after what they have to send, and none is made.
    pub(super) finishing: AtomicBool,
    pub(super) next_id: AtomicU64,
    pub(super) all: Mutex<HashMap<u64, Arc<Link>>>,
    pub(super) dialed: Mutex<HashMap<String, Arc<Link>>>,
    pub(super) dialing: Mutex<HashMap<String, Arc<tokio::sync::Mutex<()>>>>,
    /// By address, for peers to which a link was lost for silence.
    pub(super) silence: Mutex<HashMap<String, AckTimeout>>,
    /// When all links were tried last for want of word from one.
    pub(super) tried_at: AtomicU64,
}

impl Links {
    /// The link that was dialed to an address, if it stands.
    pub fn live(&self, mesh: &str) -> Option<Arc<Link>> {
        let found = lock(&self.dialed).get(mesh).cloned();
        found.filter(|link| !link.is_closed())
    }

    /// How many links this daemon dialed.
    pub fn dialed(&self) -> usize {
        lock(&self.dialed).len()
    }

    /// Every link that stands.
    pub fn all(&self) -> Vec<Arc<Link>> {
        lock(&self.all).values().cloned().collect()
    }

    /// Closes every link after what it has to send, and makes none any more.
    pub fn finish(&self) {
        self.finishing.store(true, Ordering::Release);
        for link in self.all() {
            link.finish();
        }
    }

    pub(super) fn is_finishing(&self) -> bool {
        self.finishing.load(Ordering::Acquire)
    }

    /// Sends a message on every link that stands.
    pub fn announce(&self, frame: &Frame) {
        for link in self.all() {
            let _ = link.send(frame.clone());
        }
    }

    /// Sends a message on every link that another daemon of this region dialed: to those
    /// that mostly route to our target.
    pub fn tell_routers(&self, frame: &Frame) {
        for link in self.all().into_iter().filter(|link| is_router(link)) {
            let _ = link.send(frame.clone());
        }
    }

    /// How many links other daemons of this region dialed.
    pub fn accepted(&self) -> usize {
        let all = lock(&self.all);
        all.values().filter(|link| is_router(link)).count()
    }

    /// How long a link to an address may leave sent bytes unacknowledged.
    pub(super) fn silence_limit(&self, mesh: &str, now: Micros) -> Duration {
        let known = lock(&self.silence).get(mesh).copied();
        Duration::from_micros(known.unwrap_or_default().timeout_us(now))
    }
}
