//! Asking a target's daemon what became of an operation.

use std::sync::Arc;
use std::time::Duration;

use lynxcleat_once::{FenceReply, Incarnation, Operation};
use lynxcleat_policy::{Micros, Settlement};
use lynxcleat_wire::{Answer, Frame};

use crate::core::Core;
use crate::mesh::{Link, Links};
use crate::metrics::count;

/// Pause between two asks about an operation that runs, and between two tries
/// to reach its daemon.
const PAUSE: Duration = Duration::from_millis(20);

/// Settles an attempt whose link was lost, with the same incarnation of the
/// target's daemon. A daemon that cannot be reached, or is another incarnation,
/// cannot say, and the caller hears so without waiting for the deadline.
pub async fn settle(
    core: &Arc<Core>,
    mesh: Option<String>,
    lost: Option<Arc<Link>>,
    operation: Operation,
    deadline: Micros,
) -> (Settlement, Option<Answer>) {
    let (Some(mesh), Some(lost)) = (mesh, lost) else {
        return (Settlement::Unknown, None);
    };
    let settle_us = settle_us(core);
    let asked = async {
        let incarnation = Some(lost.peer.incarnation);
        loop {
            let reply = fence_at(core, &mesh, incarnation, operation).await;
            if reply != FenceReply::Running {
                return reply;
            }
            tokio::time::sleep(PAUSE).await;
        }
    };
    let until = (core.clock.now() + settle_us).min(deadline);
    let reply = tokio::time::timeout_at(core.clock.instant(until), asked)
        .await
        .unwrap_or(FenceReply::Unknown);
    let settled = match reply {
        FenceReply::Never => (Settlement::NeverRan, None),
        FenceReply::Ran(answer) => (Settlement::Ran, Some(answer)),
        FenceReply::NeverSinceStart | FenceReply::Running | FenceReply::Unknown => {
            (Settlement::Unknown, None)
        }
    };
    count_settled(core, settled.0);
    settled
}

/// Fences an operation at the daemon with this address, and, where
/// `incarnation` is given, only if it is still that one.
pub async fn fence_at(
    core: &Arc<Core>,
    mesh: &str,
    incarnation: Option<Incarnation>,
    operation: Operation,
) -> FenceReply<Answer> {
    let Ok(link) = Links::dial(core, mesh).await else {
        return FenceReply::Unknown;
    };
    if incarnation.is_some_and(|wanted| wanted != link.peer.incarnation) {
        return FenceReply::Unknown;
    }
    match link.ask(|ask| Frame::Fence { ask, operation }).await {
        Ok(Frame::Fenced { reply, .. }) => reply,
        _ => FenceReply::Unknown,
    }
}

fn settle_us(core: &Core) -> Micros {
    let in_force = core.settings.current();
    in_force.map_or(0, |in_force| in_force.own.settle_ms * 1_000)
}

fn count_settled(core: &Core, settlement: Settlement) {
    let kind = match settlement {
        Settlement::NeverRan => "never-ran",
        Settlement::Ran => "ran",
        Settlement::Unknown => "unknown",
    };
    count(&core.metrics.settled, kind);
}
