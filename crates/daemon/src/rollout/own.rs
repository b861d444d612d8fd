//! What a rollout changes for the own target's half.

use lynxcleat_policy::{AdmittedCalls, Phase, TargetEvidence};
use lynxcleat_wire::{Frame, RolloutIdleFrame};

use super::division::{any_other, place_in_order};
use crate::core::Core;
use crate::life::LeaveCause;
use crate::sync::lock;

/// Halves of old targets that tell what they count: the new version is compared with these.
const BASELINE_HALVES: usize = 6;

/// Version of the own target; empty where it is not known.
pub(super) fn own_version(core: &Core) -> String {
    let version = core
        .half
        .with_reports(|reports| reports.current()?.version.clone());
    version.flatten().unwrap_or_default()
}

/// Puts in force what the own half may be given, and begins to count where an order is new.
pub fn apply_own(core: &Core) {
    if !core.rollouts.any() {
        return;
    }
    let service = core.half.service(core);
    let version = own_version(core);
    let listed = core.hosts.of_service(&service);
    let now = core.clock.now();
    let found = core.rollouts.with(|known| {
        let rollout = known.get(&service)?;
        let any_other = any_other(rollout, &listed);
        let admits = match rollout.admitted_calls(&version, any_other) {
            AdmittedCalls::None if !rollout.refuses_all(now, &version, any_other) => {
                AdmittedCalls::All
            }
            admits => admits,
        };
        Some((rollout.number(), admits))
    });
    let admits = found.map(|(_, admits)| admits);
    *lock(&core.rollouts.own) = admits;
    if let Some((order, _)) = found {
        begin_count(core, order, service, version);
    }
    core.set_leaving(LeaveCause::Rollout, admits == Some(AdmittedCalls::None));
}

fn begin_count(core: &Core, order: u64, service: String, version: String) {
    let mut counted = lock(&core.rollouts.counted);
    let is_same = counted.order == order && counted.service == service;
    if is_same && counted.version == version {
        return;
    }
    *counted = TargetEvidence {
        service,
        order,
        host: core.config.host.clone(),
        // Another target behind the same daemon counts anew.
        incarnation: core.me.incarnation.0 ^ place_in_order(order, &version),
        version,
        ..TargetEvidence::default()
    };
}

/// What the own half counted, where others want to know it.
pub(super) fn evidence(core: &Core) -> Option<TargetEvidence> {
    let counted = lock(&core.rollouts.counted).clone();
    if counted.kinds.is_empty() {
        return None;
    }
    let listed = core.hosts.of_service(&counted.service);
    core.rollouts.with(|known| {
        let rollout = known
            .get(&counted.service)
            .filter(|rollout| rollout.is_active())?;
        let is_told = !rollout.is_old(&counted.version) || {
            let place = |host: &str| place_in_order(rollout.number(), host);
            let own = place(&counted.host);
            let old = listed.iter().filter(|entry| rollout.is_old(&entry.version));
            old.filter(|entry| place(&entry.host) < own).count() < BASELINE_HALVES
        };
        is_told.then_some(counted)
    })
}

/// Says that the own half has no call in hand, where the calls move away from it.
pub(super) fn idle(core: &Core) -> Option<RolloutIdleFrame> {
    let service = core.half.service(core);
    let version = own_version(core);
    let order = core.rollouts.with(|known| {
        let rollout = known.get(&service)?;
        let moves_away = rollout.phase() == Phase::Moving && rollout.is_old(&version);
        moves_away.then(|| rollout.number())
    })?;
    let figures = core.half.figures();
    let is_idle = figures.in_flight == 0 && figures.held == 0;
    let is_idle = is_idle && core.half.is_leaving() && core.life.target_calls.count() == 0;
    is_idle.then(|| RolloutIdleFrame {
        service,
        order,
        host: core.config.host.clone(),
    })
}

/// Tells what the own half counted to everyone that a link leads to.
pub(super) fn tell_evidence(core: &Core, evidence: TargetEvidence) {
    core.links.announce(&Frame::RolloutEvidence(evidence));
}
