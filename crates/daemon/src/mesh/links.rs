//! All links of a daemon, and the making of new ones.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use lynxcleat_policy::{Distance, Micros, SilenceLimit};
use lynxcleat_wire::{Frame, Hello, Side};
use thiserror::Error;

use super::handshake::{self, HandshakeError};
use super::link::Link;
use super::queue::Queue;
use super::{beat, pump};
use crate::core::Core;
use crate::directory;
use crate::quarantine;
use crate::rollout;
use crate::sync::lock;

/// Why there is no link to an address.
#[derive(Debug, Error)]
#[error("no link to {mesh}: {error}")]
pub struct LinkError {
    /// The address.
    pub mesh: String,
    /// What failed.
    pub error: HandshakeError,
}

/// Whether the other side is told the load of our target as it changes. Those of other
/// regions are not: they send few calls here, whose answers tell it.
fn is_router(link: &Link) -> bool {
    !link.is_dialer() && link.distance < Distance::OtherRegion
}

/// Least time between two trials of all links.
const TRY_PAUSE_US: Micros = 500_000;

/// The links of one daemon.
#[derive(Default)]
pub struct Links {
    /// The daemon ends: links are closed after what they have to send, and none is made.
    finishing: AtomicBool,
    next_id: AtomicU64,
    all: Mutex<HashMap<u64, Arc<Link>>>,
    dialed: Mutex<HashMap<String, Arc<Link>>>,
    dialing: Mutex<HashMap<String, Arc<tokio::sync::Mutex<()>>>>,
    /// By address, for peers to which a link was lost for silence.
    silence: Mutex<HashMap<String, SilenceLimit>>,
    /// When all links were tried last for want of word from one.
    tried_at: AtomicU64,
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

    fn is_finishing(&self) -> bool {
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

    /// The link to an address, dialed if there is none. Several callers at once
    /// make one link. An address of this daemon itself leads to its own half
    /// without a connection.
    ///
    /// # Errors
    /// A connection or a proof that failed, or a daemon that ends.
    pub async fn dial(core: &Arc<Core>, mesh: &str) -> Result<Arc<Link>, LinkError> {
        let links = &core.links;
        if links.is_finishing() {
            let mesh = mesh.to_owned();
            let error = HandshakeError::Ending;
            return Err(LinkError { mesh, error });
        }
        if let Some(link) = links.live(mesh) {
            return Ok(link);
        }
        let turn = Arc::clone(lock(&links.dialing).entry(mesh.to_owned()).or_default());
        let _turn = turn.lock().await;
        if let Some(link) = links.live(mesh) {
            return Ok(link);
        }
        let link = if mesh == core.me.mesh.to_string() {
            links.connect_to_self(core)
        } else {
            let dialed = handshake::dial(core, mesh).await;
            let (socket, hello) = dialed.map_err(|error| {
                handshake::count_refused(core, mesh, &error);
                let mesh = mesh.to_owned();
                LinkError { mesh, error }
            })?;
            let link = links.start(core, socket, hello, Side::Dialer);
            beat::start(core, &link);
            link
        };
        lock(&links.dialed).insert(mesh.to_owned(), Arc::clone(&link));
        Ok(link)
    }

    /// Starts the tasks of a proved connection.
    pub(super) fn start(
        &self,
        core: &Arc<Core>,
        socket: handshake::Socket,
        peer: Hello,
        side: Side,
    ) -> Arc<Link> {
        let (link, queue) = self.add(core, peer, side);
        let limit = self.silence_limit(&link.peer.mesh, core.clock.now());
        handshake::limit_silence(&socket, limit);
        directory::greet(core, &link);
        rollout::greet(core, &link);
        quarantine::greet(core, &link);
        pump::start(core, &link, socket, queue);
        link
    }

    /// A link was lost since its peer acknowledged nothing. What silenced it may have silenced
    /// others at the same moment, so each of them is sent something: those that are silent
    /// are found out before calls are sent on them.
    pub(super) fn lost_for_silence(&self, core: &Core, link: &Link) {
        let now = core.clock.now();
        let mesh = link.peer.mesh.clone();
        lock(&self.silence).entry(mesh).or_default().lost(now);
        core.metrics.links_silent.inc();
        let tried_at = self.tried_at.load(Ordering::Relaxed);
        if now < tried_at + TRY_PAUSE_US {
            return;
        }
        self.tried_at.store(now, Ordering::Relaxed);
        log::info!(peer = link.peer.host.as_str(); "connections doubted");
        for link in self.all() {
            self.doubt(core, &link);
        }
        core.half.pool.drop_idle();
    }

    /// How long a link to an address may leave sent bytes unacknowledged.
    fn silence_limit(&self, mesh: &str, now: Micros) -> Duration {
        let known = lock(&self.silence).get(mesh).copied();
        Duration::from_micros(known.unwrap_or_default().limit_us(now))
    }

    /// Sends something on a link that may be silent, and has calls go elsewhere until
    /// something comes back on it. An acceptor's end carries no calls of this daemon.
    fn doubt(&self, core: &Core, link: &Link) {
        if link.peer.host == core.config.host {
            return;
        }
        if link.is_dialer() {
            link.doubt();
            core.routers.doubted(core, &link.peer.host, true);
        }
        let _ = link.send(Frame::Beat);
    }

    /// Forgets a link that is lost.
    pub(super) fn remove(&self, core: &Core, link: &Arc<Link>) {
        link.close();
        lock(&self.all).remove(&link.id);
        let mut dialed = lock(&self.dialed);
        let is_current = dialed
            .get(&link.peer.mesh)
            .is_some_and(|current| current.id == link.id);
        if is_current {
            dialed.remove(&link.peer.mesh);
        }
        drop(dialed);
        core.metrics.links.set(lock(&self.all).len() as i64);
    }

    fn add(&self, core: &Core, peer: Hello, side: Side) -> (Arc<Link>, Queue) {
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        let here = core.here();
        let distance = here.distance_to(&peer.zone, &peer.place, &peer.region);
        let (link, queue) = Link::new(id, peer, distance, side, core.clock.now());
        let link = Arc::new(link);
        let mut all = lock(&self.all);
        all.insert(id, Arc::clone(&link));
        core.metrics.links.set(all.len() as i64);
        drop(all);
        // One that was being made when the others were closed.
        if self.is_finishing() {
            link.finish();
        }
        (link, queue)
    }

    fn connect_to_self(&self, core: &Arc<Core>) -> Arc<Link> {
        let (near, near_queue) = self.add(core, core.hello(), Side::Dialer);
        let (far, far_queue) = self.add(core, core.hello(), Side::Acceptor);
        pump::start_to_self(core, &far, near_queue);
        pump::start_to_self(core, &near, far_queue);
        near
    }
}
