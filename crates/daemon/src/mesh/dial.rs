//! The making of links, and what follows from their loss.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use lynxcleat_policy::Micros;
use lynxcleat_wire::{Frame, Hello, Side};
use thiserror::Error;

use super::handshake::{self, HandshakeError};
use super::link::Link;
use super::links::Links;
use super::queue::Queue;
use super::{beat, pump};
use crate::core::Core;
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

/// Least time between two trials of all links.
const TRY_PAUSE_US: Micros = 500_000;

impl Links {
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
        (core.handlers.greet)(core, &link);
        pump::start(core, &link, socket, queue);
        link
    }

    /// A link was lost since its peer acknowledged nothing. What silenced it may have silenced
    /// others at the same moment, so each of them is sent something: those that are silent
    /// are found out before calls are sent on them.
    pub(super) fn lost_for_silence(&self, core: &Core, link: &Link) {
        let now = core.clock.now();
        let mesh = link.peer.mesh.clone();
        lock(&self.silence)
            .entry(mesh)
            .or_default()
            .record_loss(now);
        core.metrics.links_silent.inc();
        let tried_at = self.tried_at.load(Ordering::Relaxed);
        if now < tried_at + TRY_PAUSE_US {
            return;
        }
        self.tried_at.store(now, Ordering::Relaxed);
        log::info!(peer = link.peer.host.as_str(); "connections doubted");
        self.doubt_all(core);
        core.half.pool.drop_idle();
    }

    /// Every link may be silent.
    pub fn doubt_all(&self, core: &Core) {
        for link in self.all() {
            self.doubt(core, &link);
        }
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
    pub fn remove(&self, core: &Core, link: &Arc<Link>) {
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
        for other in all.values() {
            other.note_other(&link);
        }
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
        (core.handlers.greet)(core, &far);
        pump::start_to_self(core, &far, near_queue);
        pump::start_to_self(core, &near, far_queue);
        near
    }
}
