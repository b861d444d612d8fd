//! One request's way: accept → classify → pin → once-only guard → route → answer.

use std::sync::{Arc, OnceLock};

use hyper::body::{Body, Bytes};
use hyper::http::request::Parts;
use lynxcleat_policy::{
    BodyCoverage, CallId, CallKind, Homes, Micros, NotRunReason, RequestFingerprints,
};
use lynxcleat_settings::{Effective, NamedOrganisation, NamedRoute, Route, RouteEffects};
use lynxcleat_wire::{BodyAnnouncement, CallingOrganisation};
use rand::RngExt;
use serde::Serialize;
use serde_bytes::ByteBuf;

use super::answer::{self, HttpAnswer, Outcome, Problem};
use super::body::{self, CallerBody};
use super::classify::{self, Classified, Effects};
use super::organisation;
use super::pieces::{self, BodyEnd};
use super::read_ahead::{ReadAhead, read_ahead};
use super::room::Taken;
use crate::core::Core;
use crate::http1::RequestBody;
use crate::metrics::CallLabels;
use crate::once::{self, OnceCall, OnceVerdict};
use crate::quarantine;
use crate::quota;
use crate::route::{self, Outbound, RouteVerdict, ServiceRouter, Upload, UploadReader};
use crate::settings::state::InForce;

/// Path under which the daemon itself answers callers.
const OWN_PREFIX: &str = "/.lynxcleat/";
const TICKETS_PATH: &str = "/.lynxcleat/tickets";
/// Tickets handed out at once.
const TICKETS_LIMIT: usize = 100;

/// Hint for callers whose call no target has when the daemon stops: it may be back by then.
const STOPPING_RETRY_AFTER_US: Micros = 500_000;

/// Shortest wait for a turn that is told: a call that need not wait begins in less.
const WAIT_US: Micros = 1_000;

/// A request whose head was checked.
pub(super) struct Checked {
    id: CallId,
    name: String,
    began: Micros,
    asked: Asked,
}

/// What a request asks for.
enum Asked {
    /// Something of the daemon itself, which is answered already.
    Own(HttpAnswer),
    /// A call, or why there is none.
    Call(Result<Box<Pinned>, Problem>),
}

impl Checked {
    /// Whether it is a call with effects, by its route and by its ticket or key.
    pub(super) fn has_effects(&self) -> bool {
        match &self.asked {
            Asked::Call(Ok(pinned)) => pinned.terms.effects != Effects::None,
            Asked::Call(Err(_)) | Asked::Own(_) => false,
        }
    }
}

/// A call with the settings that govern it.
struct Pinned {
    call: Classified,
    effective: Arc<Effective>,
    generation: u64,
    service: Arc<ServiceRouter>,
    organisation: Option<Arc<NamedOrganisation>>,
    terms: Terms,
}

/// The terms on which a call is served: those of its route, or of its service.
struct Terms {
    timeout_ms: u64,
    attempts: Option<u32>,
    goal_ms: Option<u64>,
    kind: CallKind,
    priority: u32,
    effects: Effects,
    homes: Homes,
    large_bodies: bool,
}

#[derive(Serialize)]
struct Tickets {
    tickets: Vec<String>,
}

/// Checks a request's head, and pins the call to the settings in force.
pub(super) fn check(core: &Arc<Core>, parts: &Parts) -> Checked {
    let began = core.clock.now();
    let id = core.new_call_id();
    let named = core.dialect.caller_call(&parts.headers);
    let name = named.unwrap_or_else(|| core.call_name(id));
    let is_own = core.dialect.own_interface && parts.uri.path().starts_with(OWN_PREFIX);
    let asked = match is_own {
        true => Asked::Own(own(core, parts, &name)),
        false => Asked::Call(classify_and_pin(core, parts)),
    };
    Checked {
        id,
        name,
        began,
        asked,
    }
}

fn classify_and_pin(core: &Arc<Core>, parts: &Parts) -> Result<Box<Pinned>, Problem> {
    let classified = classify::classify(core, parts)?;
    pin(core, classified).map(Box::new)
}

/// Answers one request. A nested one is made by a target that runs a call itself.
pub(super) async fn serve(
    core: Arc<Core>,
    checked: Checked,
    body: RequestBody,
    nested: bool,
) -> HttpAnswer {
    let core = &core;
    let busy = core.life.calls.enter();
    let Checked {
        id,
        name,
        began,
        asked,
    } = checked;
    let pinned = match asked {
        Asked::Own(answer) => return answer,
        Asked::Call(pinned) => pinned,
    };
    let waited_us = core.clock.now() - began;
    note_wait(core, &name, waited_us);
    let service = match &pinned {
        Ok(pinned) => pinned.service.name.clone(),
        Err(_) => String::new(),
    };
    let outcome = match pinned {
        Ok(pinned) => serve_pinned(core, (id, &name, nested), *pinned, waited_us, body).await,
        Err(problem) => Err(problem),
    };
    let (mut http, label) = match outcome {
        Ok(http) => (http, Outcome::Run),
        Err(problem) => {
            log_unrouted(core, &name, &problem);
            (problem.answer(&core.dialect, &name), problem.outcome())
        }
    };
    let ticket = core.dialect.own_interface.then(|| core.once.mint_text());
    answer::stamp(&core.dialect, &mut http, &name, ticket.as_deref());
    count(core, service, label, core.clock.now() - began);
    drop(busy);
    http
}

/// Serves a call on the terms that it is pinned to. A stop that goes on answers it before the
/// daemon ends, whatever it waits for.
async fn serve_pinned(
    core: &Arc<Core>,
    (id, name, nested): (CallId, &str, bool),
    pinned: Pinned,
    waited_us: Micros,
    body: RequestBody,
) -> Result<HttpAnswer, Problem> {
    classify::check_settings(&pinned.call, &pinned.effective)?;
    let (service, effects) = (Arc::clone(&pinned.service), pinned.terms.effects.clone());
    let effective = Arc::clone(&pinned.effective);
    let prepared = tokio::select! {
        biased;
        prepared = prepare(core, (id, name, nested), pinned, waited_us, body) => prepared?,
        () = core.withdrawal() => return Err(stopping()),
    };
    let Prepared {
        mut outbound,
        coming,
        token,
        room,
    } = prepared;
    let running = async {
        let Some((body, (upload, reader))) = coming else {
            return run(core, effects, service, outbound).await;
        };
        outbound.upload = Some(upload);
        let running = run(core, effects, service, outbound);
        run_with_body(core, (name, &effective), running, (body, reader)).await
    };
    let answered = tokio::select! {
        biased;
        answered = running => answered,
        () = core.last_answers() => Err(Problem::Unknown { retry_after_us: None }),
    };
    drop(room);
    if let Err(Problem::NotRun { .. }) = &answered {
        token.return_to_lease();
    }
    answered
}

/// What a caller is told whose call no target has when the daemon stops.
fn stopping() -> Problem {
    Problem::NotRun {
        reason: NotRunReason::Stopping,
        retry_after_us: STOPPING_RETRY_AFTER_US,
    }
}

/// A call that is ready to be run.
struct Prepared<'a> {
    outbound: Outbound,
    /// Its body where that comes in pieces.
    coming: Option<Coming<RequestBody>>,
    token: quota::Token<'a>,
    room: Taken<'a>,
}

/// Reads the body of a call as far as it is read before a target is chosen, and takes what it
/// needs of its organisation's quota. The time for which the call waited for its turn on its
/// connection is part of its own.
async fn prepare<'a>(
    core: &'a Arc<Core>,
    (id, name, nested): (CallId, &str, bool),
    pinned: Pinned,
    waited_us: Micros,
    body: RequestBody,
) -> Result<Prepared<'a>, Problem> {
    let way = way(&pinned, &body);
    let mut room = take_room(core, &pinned.effective, &body, way.to_come())?;
    let pieces_from = core.clock.now().saturating_sub(waited_us);
    let (body, is_ahead, coming) = match way {
        Way::Whole | Way::Ahead => {
            let whole = body::read(body, &pinned.effective, &mut room).await?;
            (whole, way == Way::Ahead, None)
        }
        Way::InWindow(to_come) => {
            let until = pieces_from + deadline_us(&pinned);
            match upcoming(core, &pinned, (body, to_come), until).await? {
                Upcoming::Whole(whole) => {
                    let is_ahead = whole.len() > pinned.effective.body_whole_bytes;
                    (whole, is_ahead, None)
                }
                Upcoming::InPieces(coming) => (ByteBuf::new(), false, Some(coming)),
            }
        }
    };
    // The time of a body in pieces is the call's own, wherever it is read.
    let waited_us = match way {
        Way::Whole | Way::Ahead => waited_us,
        Way::InWindow(_) => core.clock.now().saturating_sub(pieces_from),
    };
    let deadline_us = deadline_us(&pinned);
    let Pinned {
        call,
        generation,
        organisation,
        terms,
        ..
    } = pinned;
    let token = quota::take(core, organisation.as_ref())
        .await
        .map_err(|over| Problem::OverQuota {
            retry_after_us: over.retry_after_us,
        })?;
    let deadline = (core.clock.now() + deadline_us).saturating_sub(waited_us);
    let outbound = Outbound {
        id,
        name: name.to_owned(),
        deadline: core.life.before_stop(deadline),
        operation: None,
        may_retry: call.may_retry,
        attempt_limit: terms.attempts,
        goal: terms
            .goal_ms
            .map(|goal_ms| (core.clock.now() + goal_ms * 1_000).saturating_sub(waited_us)),
        kind: terms.kind,
        priority: terms.priority,
        homes: terms.homes,
        nested,
        caller_service: caller_service(core),
        organisation: organisation.as_deref().map(calling_organisation),
        generation,
        head: call.head,
        ahead: is_ahead,
        body,
        upload: None,
    };
    Ok(Prepared {
        outbound,
        coming,
        token,
        room,
    })
}

/// The organisation in its wire form.
fn calling_organisation(named: &NamedOrganisation) -> CallingOrganisation {
    CallingOrganisation {
        name: named.name.clone(),
        priority: named.organisation.priority,
    }
}

/// Tells of a call that waited for its turn on its connection.
fn note_wait(core: &Core, name: &str, waited_us: Micros) {
    if waited_us < WAIT_US {
        return;
    }
    core.metrics.turn_waits.observe(waited_us as f64 / 1e6);
    if core.explain.logs(core.clock.now(), true) {
        log::info!(call = name, waited_us; "call waited for its turn");
    }
}

/// How a body goes to its target.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Way {
    /// In one message with its call.
    Whole,
    /// Read whole, and sent in pieces behind its call.
    Ahead,
    /// Read and sent in pieces once the target has a slot.
    InWindow(BodyAnnouncement),
}

impl Way {
    fn to_come(self) -> Option<BodyAnnouncement> {
        match self {
            Way::Whole | Way::Ahead => None,
            Way::InWindow(to_come) => Some(to_come),
        }
    }
}

/// Chooses how a body goes. What fits into a window is read before a target is chosen, so that
/// the choice is as fresh as the run. A ticket or key needs the whole body, and a body without
/// a stated length under a safe method cannot be told from none on the way to the target.
fn way(pinned: &Pinned, body: &impl Body) -> Way {
    let (terms, effective) = (&pinned.terms, &pinned.effective);
    let is_plain = matches!(terms.effects, Effects::None | Effects::Plain);
    if !terms.large_bodies || !is_plain || pinned.call.is_safe {
        return Way::Whole;
    }
    let length = body.size_hint().exact();
    let is_within = |bytes: usize| length.is_some_and(|length| length <= bytes as u64);
    if is_within(effective.body_whole_bytes) {
        return Way::Whole;
    }
    if is_within(effective.body_window_bytes) {
        return Way::Ahead;
    }
    let ahead = false;
    Way::InWindow(BodyAnnouncement { length, ahead })
}

/// Time that a call has from its arrival.
fn deadline_us(pinned: &Pinned) -> Micros {
    let deadline_ms = pinned.call.deadline_ms;
    let deadline_ms = deadline_ms.unwrap_or(pinned.effective.deadline_ms);
    deadline_ms.min(pinned.terms.timeout_ms) * 1_000
}

/// A body that is passed on in pieces, and both ends of its way to the target.
type Coming<B> = (CallerBody<B>, (Upload, UploadReader));

/// A body that is passed on in pieces, or was read whole for its fingerprints.
enum Upcoming<B> {
    Whole(ByteBuf),
    InPieces(Coming<B>),
}

/// Prepares a body that is passed on in pieces. While some request is suspect, it is read first
/// as far as the request is named by it.
async fn upcoming<B>(
    core: &Core,
    pinned: &Pinned,
    (body, to_come): (B, BodyAnnouncement),
    until: Micros,
) -> Result<Upcoming<B>, Problem>
where
    B: Body<Data = Bytes> + Unpin,
{
    let mut body = CallerBody::new(body);
    let (mut upload, reader) = route::upload(to_come);
    if !core.quarantine.any() {
        return Ok(Upcoming::InPieces((body, (upload, reader))));
    }
    let until = core.clock.instant(until);
    match read_ahead(&mut body, &pinned.effective, until).await? {
        ReadAhead::Whole(whole) => Ok(Upcoming::Whole(whole)),
        ReadAhead::Part(part, coverage) => {
            upload.prints = Some(prints_of_part(core, pinned, (&part, coverage)));
            Ok(Upcoming::InPieces((body, (upload, reader))))
        }
    }
}

/// Fingerprints of a call of whose body a part was read.
fn prints_of_part(
    core: &Core,
    pinned: &Pinned,
    (part, coverage): (&[u8], BodyCoverage),
) -> RequestFingerprints {
    let caller_service = caller_service(core);
    let organisation = pinned.organisation.as_deref();
    let request = quarantine::Request {
        quarantine: &core.quarantine,
        dialect: &core.dialect,
        call: "",
        head: &pinned.call.head,
        body: part,
        coverage,
        caller_service: caller_service.as_deref(),
        organisation: organisation.map(|named| named.name.as_str()),
        prints: &OnceLock::new(),
    };
    request.prints()
}

/// Runs a call whose body is read while it runs. Its answer may come before the body's end.
async fn run_with_body<B>(
    core: &Core,
    (name, effective): (&str, &Effective),
    running: impl Future<Output = Result<HttpAnswer, Problem>>,
    (mut body, reader): (CallerBody<B>, UploadReader),
) -> Result<HttpAnswer, Problem>
where
    B: Body<Data = Bytes> + Send + Unpin + 'static,
    B::Error: Send,
{
    tokio::pin!(running);
    let sent = tokio::select! {
        biased;
        answered = &mut running => Err(answered),
        end = pieces::send(core, name, &mut body, effective, reader) => Ok(end),
    };
    let (answered, end) = match sent {
        Ok(end) => (running.await, end),
        Err(answered) => (answered, BodyEnd::CallEnded),
    };
    // The connection throws away what is left of it, within a bound, or ends.
    drop(body);
    match (answered, end) {
        (Err(Problem::NotRun { .. }), BodyEnd::TooLarge) => Err(Problem::TooLarge {
            limit: effective.body_limit_bytes,
        }),
        (Err(Problem::NotRun { .. }), BodyEnd::TooSlow) => Err(Problem::TooSlow),
        (answered, _) => answered,
    }
}

/// One line for a call that was answered before it was routed; the others are logged
/// with their attempts.
fn log_unrouted(core: &Core, name: &str, problem: &Problem) {
    let now = core.clock.now();
    if problem.is_unrouted() && core.explain.logs(now, false) {
        let generation = core.settings.number();
        log::info!(call = name, generation, problem:? = problem; "call not routed");
    }
}

/// Takes room for the call's body as far as its length is stated; the rest is taken as it
/// comes. A body in pieces takes no more than its window.
fn take_room<'a>(
    core: &'a Core,
    effective: &Effective,
    body: &impl Body,
    to_come: Option<BodyAnnouncement>,
) -> Result<Taken<'a>, Problem> {
    let stated = body.size_hint().exact();
    let bytes = match to_come {
        Some(_) => effective.body_window_bytes,
        None => stated.map_or(0, |length| length as usize),
    };
    let room = core.bodies.take(bytes, effective.body_memory_bytes);
    room.ok_or(Problem::NoRoom)
}

/// Pins the call to the generation of settings in force now.
fn pin(core: &Arc<Core>, call: Classified) -> Result<Pinned, Problem> {
    let in_force = core.settings.current().ok_or(Problem::NotReady)?;
    let route = route_of(&in_force, &call)?;
    let name = match &route {
        Some(named) => pick_part(&named.route),
        None => classify::service_of(&call.host)?,
    };
    let Some(effective) = in_force.service(name) else {
        return Err(Problem::NoService(name.to_owned()));
    };
    let is_public = route.as_ref().is_some_and(|named| named.route.public);
    let organisation = organisation::check(core, &in_force, &effective, &call.key, is_public)?;
    let terms = match &route {
        Some(named) => Terms {
            timeout_ms: named.route.timeout_ms,
            attempts: Some(named.route.attempts),
            goal_ms: Some(named.route.goal_ms),
            kind: CallKind(named.kind),
            priority: named.route.priority,
            effects: route_effects(named.route.effects, &call.effects),
            homes: in_force.homes(CallKind(named.kind), name),
            large_bodies: named.route.large_bodies,
        },
        None => Terms {
            timeout_ms: effective.deadline_max_ms,
            attempts: None,
            goal_ms: None,
            kind: CallKind::default(),
            priority: 0,
            effects: call.effects.clone(),
            homes: in_force.homes(CallKind::default(), name),
            large_bodies: false,
        },
    };
    Ok(Pinned {
        service: core.routers.get(core, name, &effective),
        generation: in_force.generation.number,
        effective,
        organisation,
        call,
        terms,
    })
}

/// The route in force for a call; `None` in a tree without routes.
fn route_of(in_force: &InForce, call: &Classified) -> Result<Option<Arc<NamedRoute>>, Problem> {
    if in_force.routes.is_empty() {
        return Ok(None);
    }
    let path = call.head.path.split('?').next().unwrap_or_default();
    let route = in_force.routes.find(&call.host, path);
    route.cloned().map(Some).ok_or(Problem::NoRoute)
}

/// The service that one call on a route goes to: each part gets its share.
fn pick_part(route: &Route) -> &str {
    let total: u64 = route.parts.iter().map(|part| u64::from(part.weight)).sum();
    let mut drawn = rand::rng().random_range(0..total.max(1));
    for part in &route.parts {
        let weight = u64::from(part.weight);
        if drawn < weight {
            return &part.service;
        }
        drawn -= weight;
    }
    &route.parts[0].service
}

/// What the route says of effects goes before what the method says; a ticket or key
/// stays.
fn route_effects(route: RouteEffects, call: &Effects) -> Effects {
    match (route, call) {
        (_, Effects::Ticket(_) | Effects::Key(_)) => call.clone(),
        (RouteEffects::None, _) => Effects::None,
        (RouteEffects::Once, _) => Effects::Plain,
    }
}

/// The service that targets are told a call began at: that of the target beside this daemon, which
/// may be another than the settings file named at the start.
fn caller_service(core: &Core) -> Option<String> {
    let told = core.dialect.caller_service.is_some();
    told.then(|| core.half.service(core))
}

async fn run(
    core: &Arc<Core>,
    effects: Effects,
    service: Arc<ServiceRouter>,
    call: Outbound,
) -> Result<HttpAnswer, Problem> {
    match effects {
        Effects::None => routed(core, route::run(core, &service, call).await),
        Effects::Plain => routed(core, run_plain(core, service, call).await),
        Effects::Ticket(ticket) => {
            let call = OnceCall { call, service };
            once_answer(core, once::run(core, ticket, call).await)
        }
        Effects::Key(key) => {
            let call = OnceCall { call, service };
            once_answer(core, once::run_keyed(core, key, call).await)
        }
    }
}

/// Runs a call with effects. If its caller goes away, what was delivered runs to its
/// end, and what was not is withdrawn.
async fn run_plain(
    core: &Arc<Core>,
    service: Arc<ServiceRouter>,
    mut call: Outbound,
) -> RouteVerdict {
    let left_us = call.deadline.saturating_sub(core.clock.now());
    call.operation = Some(core.once.name_plain(left_us));
    let core = Arc::clone(core);
    let busy = core.life.calls.enter();
    // Dropped with this future, which tells the task below.
    let (_here, gone) = flume::bounded::<()>(0);
    let gone = async move {
        let _ = gone.recv_async().await;
    };
    let running = tokio::spawn(async move {
        let verdict = route::run_until_gone(&core, &service, call, gone).await;
        drop(busy);
        verdict
    });
    running.await.unwrap_or(RouteVerdict::Unknown {
        reason: lynxcleat_policy::UnknownReason::LinkLost,
    })
}

fn routed(core: &Core, verdict: RouteVerdict) -> Result<HttpAnswer, Problem> {
    match verdict {
        RouteVerdict::Answer(answer) => answer::pass_on(&core.dialect, answer, false),
        RouteVerdict::NotRun {
            reason,
            retry_after_us,
        } => Err(Problem::NotRun {
            reason,
            retry_after_us,
        }),
        RouteVerdict::Unknown { .. } => Err(Problem::Unknown {
            retry_after_us: None,
        }),
    }
}

fn once_answer(core: &Core, verdict: OnceVerdict) -> Result<HttpAnswer, Problem> {
    match verdict {
        OnceVerdict::Ran { answer, replayed } => answer::pass_on(&core.dialect, answer, replayed),
        OnceVerdict::NotRun {
            reason,
            retry_after_us,
        } => Err(Problem::NotRun {
            reason,
            retry_after_us,
        }),
        OnceVerdict::Fenced { retry_after_us } => Err(Problem::Fenced { retry_after_us }),
        OnceVerdict::MemoryFull { retry_after_us } => Err(Problem::MemoryFull { retry_after_us }),
        OnceVerdict::NoClaim { retry_after_us } => Err(Problem::NoClaim { retry_after_us }),
        OnceVerdict::Unknown { retry_after_us } => Err(Problem::Unknown {
            retry_after_us: Some(retry_after_us),
        }),
    }
}

/// Requests to the daemon itself: a batch of tickets.
fn own(core: &Core, parts: &Parts, name: &str) -> HttpAnswer {
    if parts.uri.path() != TICKETS_PATH {
        return Problem::Bad("no such path of the daemon").answer(&core.dialect, name);
    }
    let query = parts.uri.query().unwrap_or("count=1");
    let count = query
        .strip_prefix("count=")
        .and_then(|text| text.parse::<usize>().ok());
    let Some(count) = count.filter(|count| (1..=TICKETS_LIMIT).contains(count)) else {
        return Problem::Bad("count must be a whole number from 1 to 100")
            .answer(&core.dialect, name);
    };
    let tickets = (0..count).map(|_| core.once.mint_text()).collect();
    answer::json_answer(&Tickets { tickets })
}

fn count(core: &Core, service: String, outcome: Outcome, took_us: u64) {
    let outcome = outcome.label();
    let labels = CallLabels { service, outcome };
    core.metrics.calls.get_or_create(&labels).inc();
    core.metrics.call_seconds.observe(took_us as f64 / 1e6);
}
