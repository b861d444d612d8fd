//! A target's daemon that a test speaks for.

use lynxcleat_standin::wait_until;
use lynxcleat_store::{HostEntry, HostState};
use tokio::net::TcpListener;

use super::{Fleet, PATIENCE, Peer, free_address, own_ip};

/// A target's daemon that the test speaks for, of the service `service`.
pub struct FakeHalf {
    listener: TcpListener,
    deployment: String,
    service: &'static str,
    mesh: String,
}

impl FakeHalf {
    /// Listens, and stands in the host list as a daemon that the first one knows.
    pub fn add(fleet: &Fleet, service: &'static str) -> Self {
        let mesh = free_address(&own_ip());
        let listener = fleet.runtime.block_on(TcpListener::bind(&mesh));
        fleet.platform.put_host(HostEntry {
            host: "peer".to_owned(),
            place: "east".to_owned(),
            zone: "east-1".to_owned(),
            region: String::new(),
            version: String::new(),
            service: service.to_owned(),
            mesh: mesh.clone(),
            ops: mesh.clone(),
            state: HostState::Live,
        });
        let known = || {
            fleet.workers[0]
                .status()
                .is_some_and(|s| s.hosts > fleet.workers.len())
        };
        assert!(wait_until(PATIENCE, known));
        FakeHalf {
            listener: listener.expect("bound"),
            deployment: fleet.workers[0].raw.deployment.clone(),
            service,
            mesh,
        }
    }

    /// The next link of a daemon that routes here.
    pub async fn linked(&self) -> Peer {
        let ours = Peer::hello(&self.deployment, self.service, &self.mesh);
        Peer::accept(&self.listener, ours).await
    }
}
