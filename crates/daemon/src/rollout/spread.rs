//! How orders, phases and evidence get from daemon to daemon.
//!
//! What is news of an order or a phase goes on to every daemon that a link leads to, and a new
//! link begins with all that is known. Evidence goes over the links of the half that counted
//! it: these lead to everyone that can send it calls.

use std::sync::Arc;

use lynxcleat_policy::{RolloutChange, RolloutOrder, RolloutUpdate, TargetEvidence};
use lynxcleat_wire::{Frame, RolloutIdleFrame};

use super::{changed, status};
use crate::core::Core;
use crate::mesh::Link;

/// Takes orders that were read from their rows.
pub fn take_orders(core: &Arc<Core>, orders: &[RolloutOrder]) {
    let now = core.clock.now();
    for order in orders {
        let taken = core.rollouts.with(|known| known.apply_order(now, order));
        if taken == RolloutChange::Relay {
            changed(core, &order.service);
            pass_on(core, &order.service, None);
            // It may have ended before this daemon started.
            status::read_soon(core, &order.service);
        }
    }
}

/// Takes what another daemon knows.
pub fn take_news(core: &Arc<Core>, link: &Link, news: &[RolloutUpdate]) {
    let now = core.clock.now();
    for news in news {
        let taken = core.rollouts.with(|known| known.apply_update(now, news));
        if taken == RolloutChange::Relay {
            changed(core, &news.service);
            pass_on(core, &news.service, Some(link.id));
        }
    }
}

/// Tells a daemon at the other end of a new link what is known here.
pub fn greet(core: &Core, link: &Link) {
    if !core.rollouts.any() {
        return;
    }
    let now = core.clock.now();
    let all = core
        .rollouts
        .with(|known| known.all().map(|known| known.to_update(now)).collect());
    let _ = link.send(Frame::Rollouts(all));
}

/// Takes what a half counted.
pub fn take_evidence(core: &Core, evidence: &TargetEvidence) {
    let now = core.clock.now();
    core.rollouts.with(|known| {
        if let Some(rollout) = known.get_mut(&evidence.service) {
            rollout.add_evidence(now, evidence);
        }
    });
}

/// The half of an old target is idle. Neighbours hear of it: not everyone has a link to it.
pub fn take_idle(core: &Core, link: &Link, idle: RolloutIdleFrame) {
    if !note_idle(core, &idle) {
        return;
    }
    let Some(directory) = &core.directory else {
        return;
    };
    let frame = Frame::RolloutIdle(idle);
    for neighbour in directory.neighbour_links() {
        if neighbour.id != link.id {
            let _ = neighbour.send(frame.clone());
        }
    }
}

/// Returns whether it is news.
pub(super) fn note_idle(core: &Core, idle: &RolloutIdleFrame) -> bool {
    core.rollouts.with(|known| {
        let rollout = known.get_mut(&idle.service);
        rollout.is_some_and(|rollout| rollout.record_idle(idle.order, &idle.host))
    })
}

/// Tells where the rollout of a service stands on every link for news but one.
pub(super) fn pass_on(core: &Core, service: &str, except: Option<u64>) {
    let now = core.clock.now();
    let news = core
        .rollouts
        .with(|known| known.get(service).map(|known| known.to_update(now)));
    let Some(news) = news else { return };
    let frame = Frame::Rollouts(vec![news]);
    for link in core.links_for_news() {
        if Some(link.id) != except {
            let _ = link.send(frame.clone());
        }
    }
}
