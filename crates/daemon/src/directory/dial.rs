//! Links to members, by their entries.

use std::sync::Arc;

use lynxcleat_store::HostEntry;

use crate::core::Core;
use crate::mesh::{Link, Links};

/// The link to a member, made if there is none; nothing where another host answers.
pub(super) async fn member(core: &Arc<Core>, member: &HostEntry) -> Option<Arc<Link>> {
    let link = match Links::dial(core, &member.mesh).await {
        Ok(link) => link,
        Err(error) => {
            log::debug!("no link to a member: {error}");
            return None;
        }
    };
    (link.peer.host == member.host).then_some(link)
}
