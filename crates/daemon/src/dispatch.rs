//! Hands each message that arrives on a link to the part it is for.

use std::sync::Arc;

use lynxcleat_policy::TargetLoad;
use lynxcleat_wire::Frame;

use crate::core::Core;
use crate::directory;
use crate::half;
use crate::mesh::{Handlers, Link, SignalKind};
use crate::metrics::count;
use crate::once;
use crate::quarantine;
use crate::quota;
use crate::rollout;
use crate::settings;

/// The parts of this daemon that links tell.
pub const HANDLERS: Handlers = Handlers {
    greet,
    generation,
    frame,
};

/// The other side of a new link is told of the target, zones, departures, rollouts and suspects.
fn greet(core: &Core, link: &Link) {
    half::greet(core, link);
    directory::greet(core, link);
    rollout::greet(core, link);
    quarantine::spread::greet(core, link);
}

/// A message carried a generation; a newer one is asked for.
fn generation(core: &Arc<Core>, link: &Arc<Link>, theirs: u64) {
    link.tell_generation(theirs);
    if theirs > core.settings.number() {
        settings::heard_of(core, link, theirs);
    }
}

/// A message arrived.
fn frame(core: &Arc<Core>, link: &Arc<Link>, frame: Frame) {
    match frame {
        Frame::Beat => beat(link),
        Frame::Leaving(_) | Frame::Down(_) | Frame::Load(_) if link.is_superseded() => {
            count_late(core, false, "superseded");
        }
        Frame::Leaving(leaving) => {
            link.note_peer_target(|target| target.leaving = leaving);
            core.routers.leaving(core, &link.peer.host, leaving);
        }
        Frame::Down(down) => {
            link.note_peer_target(|target| target.down = down);
            core.routers.down(core, &link.peer.host, down);
        }
        Frame::Call(call) => half::spawn_call(core, link, *call),
        Frame::Window { attempt, bytes } => {
            link.open_window(attempt, bytes);
        }
        Frame::Piece(piece) => core.half.bodies.take_piece(&core.metrics, link, piece),
        Frame::Load(figures) => core.routers.load(core, &link.peer.host, figures),
        Frame::Cancel(attempt) => core.half.cancel(link.id, attempt),
        Frame::Answer {
            attempt,
            answer,
            figures,
            there_us,
            work_us,
        } => {
            let figures = current(link, figures);
            core.routers.heard(&link.peer.host, figures);
            let kind = SignalKind::Answer {
                answer,
                figures,
                there_us,
                work_us,
            };
            let taken = link.signal(attempt, kind);
            count_late(core, taken, "answer");
        }
        Frame::Refused {
            attempt,
            refusal,
            figures,
        } => {
            let figures = current(link, figures);
            core.routers.heard(&link.peer.host, figures);
            let taken = link.signal(attempt, SignalKind::Refused { refusal, figures });
            count_late(core, taken, "refusal");
        }
        Frame::Lost(attempt) => {
            let taken = link.signal(attempt, SignalKind::TargetLost { end: None });
            count_late(core, taken, "lost");
        }
        Frame::Ended { attempt, end } => {
            let taken = link.signal(attempt, SignalKind::TargetLost { end: Some(end) });
            count_late(core, taken, "lost");
        }
        Frame::Fence { ask, operation } => half::spawn_fence(core, link, ask, operation),
        Frame::Guarded { ask, ticket, call } => {
            once::spawn_guarded(core, link, ask, ticket, *call);
        }
        Frame::AskSettings(ask) => settings::answer(core, link, ask),
        Frame::Zones(news) => directory::take_zones(core, link, news),
        Frame::Rollouts(news) => rollout::take_news(core, link, &news),
        Frame::RolloutEvidence(evidence) => rollout::take_evidence(core, &evidence),
        Frame::RolloutIdle(idle) => rollout::take_idle(core, link, idle),
        Frame::Suspects(news) => quarantine::spread::take_news(core, link, &news),
        Frame::Rows(rows) => directory::take_rows(core, link, rows),
        Frame::AskRows(ask) => directory::send_rows(core, link, &ask),
        Frame::EndNeighbour => directory::end_neighbour(core, link),
        Frame::Departures(departures) => directory::take_departures(core, link, departures),
        Frame::AskQuota(ask) => quota::answer(core, link, ask),
        Frame::Fenced { ask, .. }
        | Frame::GuardedReply { ask, .. }
        | Frame::Quota { ask, .. }
        | Frame::DeparturesHeld { ask }
        | Frame::Settings { ask, .. } => {
            let taken = link.reply(ask, frame);
            count_late(core, taken, "reply");
        }
        Frame::Hello(_) | Frame::Proof(_) => {
            log::warn!(peer = link.peer.host.as_str(); "hello on a proved link");
            core.links.remove(core, link);
        }
    }
}

/// The dialer sends heartbeats, the acceptor replies in kind.
fn beat(link: &Arc<Link>) {
    if !link.is_dialer() {
        let _ = link.send(Frame::Beat);
    }
}

/// The load of a target, unless a later incarnation of its daemon has made itself known.
fn current(link: &Link, figures: Option<TargetLoad>) -> Option<TargetLoad> {
    figures.filter(|_| !link.is_superseded())
}

fn count_late(core: &Core, taken: bool, kind: &'static str) {
    if !taken {
        count(&core.metrics.dropped_answers, kind);
    }
}
