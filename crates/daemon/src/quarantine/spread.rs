//! How news of suspect requests get from daemon to daemon; see [`crate::quarantine`].

use std::sync::Arc;
use std::time::Duration;

use lynxcleat_policy::SuspectUpdate;
use lynxcleat_wire::Frame;

use crate::core::Core;
use crate::mesh::Link;
use crate::quarantine::{Origin, Outgoing};

/// Time between two looks for suspects that are too old to be remembered.
const FORGET_PAUSE: Duration = Duration::from_secs(10);

/// Starts passing news on.
pub fn start(core: &Arc<Core>) {
    tokio::spawn(pass_on(Arc::clone(core)));
    tokio::spawn(forget(Arc::clone(core)));
}

/// A daemon at the other end of a new link is told all that is known here.
pub fn greet(core: &Core, link: &Link) {
    if core.quarantine.any() {
        let _ = link.send(Frame::Suspects(core.quarantine.all()));
    }
}

/// Takes what another daemon knows.
pub fn take_news(core: &Core, link: &Link, news: &[SuspectUpdate]) {
    core.quarantine.take(news, Origin::Link(link.id));
}

async fn pass_on(core: Arc<Core>) {
    loop {
        let Outgoing { news, origin } = core.quarantine.next_news().await;
        let frame = Frame::Suspects(news);
        for link in core
            .neighbour_links()
            .iter()
            .filter(|link| origin != Origin::Link(link.id))
        {
            let _ = link.send(frame.clone());
        }
    }
}

async fn forget(core: Arc<Core>) {
    loop {
        tokio::time::sleep(FORGET_PAUSE).await;
        if core.quarantine.any() {
            core.quarantine.forget_old();
        }
    }
}
