//! The task that carries rollouts on while any is not settled.

use std::sync::Arc;
use std::time::Duration;

use lynxcleat_policy::{MemberSummary, Micros, Phase, Rollout, Step, TargetEvidence};
use lynxcleat_store::{HostEntry, HostState};
use lynxcleat_wire::Frame;

use super::state::State;
use super::{changed, own, reach, spread, status};
use crate::core::Core;
use crate::metrics::ServiceLabels;

/// Pause between two looks.
const PAUSE: Duration = Duration::from_millis(100);
/// Least time between two messages of a half with what it counted, in microseconds.
const TELL_US: Micros = 250_000;
/// Time after which a half says again that it is idle, in microseconds: who heard nothing
/// was cut off.
const IDLE_AGAIN_US: Micros = 1_000_000;

/// What was told last.
#[derive(Default)]
struct Told {
    evidence: TargetEvidence,
    evidence_at: Micros,
    idle_at: Option<Micros>,
    /// Targets set aside, of all services.
    set_aside: usize,
}

/// Starts the task.
pub fn start(core: &Arc<Core>) {
    tokio::spawn(run(Arc::clone(core)));
}

async fn run(core: Arc<Core>) {
    let mut told = Told::default();
    loop {
        core.rollouts.wanted.notified().await;
        while look(&core, &mut told) {
            tokio::time::sleep(PAUSE).await;
        }
    }
}

/// One look. Returns whether another is needed.
fn look(core: &Arc<Core>, told: &mut Told) -> bool {
    // Members come and go, and with them what the own half may be given.
    own::apply_own(core);
    tell_evidence(core, told);
    tell_idle(core, told);
    let open = core.rollouts.with(|known| {
        let unsettled = known
            .all()
            .filter(|known| known.is_active() || !known.is_stored());
        let services = unsettled.map(|known| known.service().to_owned());
        services.collect::<Vec<String>>()
    });
    for service in &open {
        step(core, service);
        count(core, service);
    }
    refresh_if_set_aside(core, told);
    !open.is_empty()
}

fn tell_evidence(core: &Core, told: &mut Told) {
    let now = core.clock.now();
    if now < told.evidence_at + TELL_US {
        return;
    }
    let Some(evidence) = own::evidence(core) else {
        return;
    };
    if evidence == told.evidence {
        return;
    }
    told.evidence_at = now;
    told.evidence = evidence.clone();
    spread::take_evidence(core, &evidence);
    own::tell_evidence(core, evidence);
}

fn tell_idle(core: &Core, told: &mut Told) {
    let Some(idle) = own::idle(core) else {
        told.idle_at = None;
        return;
    };
    let now = core.clock.now();
    if told.idle_at.is_some_and(|at| now < at + IDLE_AGAIN_US) {
        return;
    }
    if told.idle_at.is_none() {
        log::info!(service = idle.service.as_str(), order = idle.order; "old target idle");
    }
    told.idle_at = Some(now);
    spread::note_idle(core, &idle);
    core.links.announce(&Frame::RolloutIdle(idle));
}

/// Decides on the rollout of one service, and carries it out.
fn step(core: &Arc<Core>, service: &str) {
    let now = core.clock.now();
    let listed = core.hosts.of_service(service);
    let stepped = core.rollouts.with(|known| {
        let rollout = known.get_mut(service)?;
        let members = members(core, rollout, &listed);
        let step = rollout.step(now, &members);
        if let Some(Step::Move | Step::Revert(_)) = step {
            log_step(rollout, step);
        }
        let wanted = match (step, rollout.phase()) {
            (Some(Step::Finish), _) => Some(State::Done),
            (_, Phase::Running) if !rollout.is_stored() => Some(State::Running),
            (_, Phase::Reverted) if !rollout.is_stored() => Some(State::Reverted),
            _ => None,
        };
        Some((step, rollout.number(), wanted))
    });
    let Some((step, order, wanted)) = stepped else {
        return;
    };
    if let Some(Step::Move | Step::Revert(_)) = step {
        changed(core, service);
        spread::pass_on(core, service, None);
    }
    if let Some(state) = wanted {
        status::want(core, service, order, state);
    }
}

/// One line with the evidence that decided.
fn log_step(rollout: &Rollout, step: Option<Step>) {
    let observed = rollout.analysis().observed_calls();
    log::info!(
        service = rollout.service(),
        target_version = rollout.version(),
        order = rollout.number(),
        step:? = step,
        readiness:? = rollout.analysis().readiness(),
        calls = observed.calls,
        bad = observed.bad(),
        failed = observed.failed,
        set_aside:? = rollout.analysis().excluded_hosts();
        "rollout decided"
    );
}

/// What is known of the targets of the service.
fn members(core: &Arc<Core>, rollout: &Rollout, listed: &[HostEntry]) -> MemberSummary {
    let mut members = MemberSummary {
        all_old_idle: true,
        ..MemberSummary::default()
    };
    let links = core.links.all();
    for entry in listed {
        if entry.state == HostState::Live {
            *members
                .targets_by_version
                .entry(entry.version.clone())
                .or_default() += 1;
        }
        if !rollout.is_old(&entry.version) || rollout.idle_hosts().contains(&entry.host) {
            continue;
        }
        let is_own = entry.host == core.config.host;
        let has_link = links
            .iter()
            .any(|link| link.peer.host == entry.host && !link.is_closed());
        let is_passed_over = !is_own
            && !has_link
            && rollout.phase() == Phase::Moving
            && reach::is_unreachable(core, rollout.number(), &entry.host, &entry.mesh);
        match is_passed_over {
            true => members.any_unreachable = true,
            false => members.all_old_idle = false,
        }
    }
    members
}

/// Shows in the metrics where the rollout of a service stands.
pub(super) fn count(core: &Core, service: &str) {
    let labels = ServiceLabels {
        service: service.to_owned(),
    };
    let found = core.rollouts.with(|known| {
        let rollout = known.get(service)?;
        Some((rollout.phase(), rollout.analysis().observed_calls()))
    });
    let Some((phase, observed)) = found else {
        return;
    };
    let phase = match phase {
        Phase::Running => 1,
        Phase::Moving => 2,
        Phase::Done => 3,
        Phase::Reverted => 4,
    };
    let metrics = &core.metrics;
    metrics.rollout_phase.get_or_create(&labels).set(phase);
    metrics
        .rollout_calls_seen
        .get_or_create(&labels)
        .set(observed.calls.into());
    metrics
        .rollout_bad_seen
        .get_or_create(&labels)
        .set(observed.bad().into());
    let routers = core.routers.all();
    let router = routers.iter().find(|router| router.name == service);
    let canary = router.map_or(0, |router| router.with(|router| router.canary_calls()));
    metrics
        .rollout_canary_calls
        .get_or_create(&labels)
        .set(canary as i64);
}

/// A target that was set aside is no canary any more.
fn refresh_if_set_aside(core: &Arc<Core>, told: &mut Told) {
    let set_aside = core.rollouts.with(|known| {
        let counts = known
            .all()
            .map(|known| known.analysis().excluded_hosts().len());
        counts.sum()
    });
    if set_aside != told.set_aside {
        told.set_aside = set_aside;
        core.routers.refresh(core);
    }
}
