//! Delivering a call that has a slot to the target, and what its end tells.

use std::sync::atomic::Ordering;
use std::time::Duration;

use hyper::HeaderMap;
use lynxcleat_once::OpId;
use lynxcleat_policy::{
    AdmissionEvent, AttemptId, FoundExit, Micros, Outcome, Refusal, RefusalReason,
};
use lynxcleat_wire::{BodyAnnouncement, CallFrame};

use super::bodies::Expected;
use super::cut::note_cut;
use super::exchange::{Exchange, Follower, Request, RequestBody};
use super::notices::Answerer;
use super::permit::Permit;
use super::serve::{
    BODY_RETRY_AFTER_US, DOWN_RETRY_AFTER_US, Ended, Incoming, ONCE_RETRY_AFTER_US,
    OUTCOME_WAIT_US, refused,
};
use crate::dialect::TargetLoad;
use crate::metrics::count;
use crate::quarantine;
use crate::sync::lock;

impl Incoming<'_> {
    /// Delivers a call that has a slot.
    pub(super) async fn deliver(
        &self,
        call: &CallFrame,
        request: Option<quarantine::Request<'_>>,
    ) -> Ended {
        let op = call.operation.map(|operation| operation.op);
        if let Some(op) = op
            && !lock(&self.half.fence).deliver(op)
        {
            self.done(None);
            return refused(RefusalReason::Once, ONCE_RETRY_AFTER_US);
        }
        count(
            &self.core.metrics.target_deliveries,
            self.delivery_kind(call),
        );
        let (kind, attempt) = (call.kind, call.attempt);
        let begun = self.core.clock.now();
        let (exchange, served_from) = match call.to_come {
            Some(to_come) => self.exchange_in_pieces(op, (call, to_come), request).await,
            None => (self.exchange_whole(op, call, request).await, Some(begun)),
        };
        let now = self.core.clock.now();
        let took = now.saturating_sub(served_from.unwrap_or(now));
        let took_us = u32::try_from(took).unwrap_or(u32::MAX);
        let is_good =
            matches!(&exchange, Exchange::Answer(counted, _) if counted.answer.status < 500);
        let served = is_good && served_from.is_some();
        let load = match &exchange {
            Exchange::Answer(_, load) => *load,
            _ => None,
        };
        self.ended(served.then_some(took_us), load);
        let is_cut_off = self.is_cut_off(attempt);
        let end = match exchange {
            Exchange::Lost if !is_cut_off => self.end_of_target().await,
            _ => None,
        };
        if self.core.rollouts.any() && self.speaks_of_version(end) {
            let cut = is_cut_off.then_some(took_us);
            let ended = self.rollout_outcome(&exchange, cut, served_from.map(|_| took_us));
            if let Some(outcome) = ended {
                self.core.rollouts.count(kind, outcome);
            }
        }
        self.half.tell_slowness(self.core);
        match exchange {
            Exchange::Answer(counted, load) => {
                let work_us = load.filter(|_| served).map(|load| load.work_us(took_us));
                Ended::Answer(counted, work_us)
            }
            Exchange::Shed { retry_after_us } => refused(RefusalReason::Shed, retry_after_us),
            Exchange::OtherInstance { meant } => {
                self.core.target_replaced(meant.as_deref());
                refused(RefusalReason::Shed, DOWN_RETRY_AFTER_US)
            }
            Exchange::Forbidden(refusal) => Ended::Refused(refusal),
            Exchange::NotWritten => refused(RefusalReason::TargetDown, DOWN_RETRY_AFTER_US),
            Exchange::NoBody => refused(RefusalReason::TooLate, BODY_RETRY_AFTER_US),
            Exchange::Lost if op.is_none() && self.link.is_closed() => Ended::Unwanted,
            Exchange::Lost => Ended::Lost(end.map(|end| end.id)),
        }
    }

    /// What kind of delivery a call is, for the metrics.
    fn delivery_kind(&self, call: &CallFrame) -> &'static str {
        match call {
            CallFrame { canary: true, .. } => "canary",
            CallFrame { number: 2.., .. } => "again",
            call if self.half.is_nested(call) => "nested",
            _ => "first",
        }
    }

    /// Whether the end of a call tells anything of the target's version. One end of the target
    /// is one failure: counted for each call in hand, an end with four calls reverted a good
    /// version. An end under a suspect tells of the request.
    fn speaks_of_version(&self, end: Option<FoundExit>) -> bool {
        end.is_none_or(|end| end.is_new && !self.half.suspects.any_runs())
    }

    /// What an exchange says of the version of the target; nothing where the target did not
    /// run the call.
    fn rollout_outcome(
        &self,
        exchange: &Exchange,
        cut_after_us: Option<u32>,
        took_us: Option<u32>,
    ) -> Option<Outcome> {
        match exchange {
            Exchange::Answer(counted, _) if counted.answer.status >= 500 => Some(Outcome::Failed),
            Exchange::Answer(_, load) => {
                let took_us = took_us.filter(|_| !self.half.is_cold());
                let at_usual_speed = |took_us| load.map_or(took_us, |load| load.work_us(took_us));
                Some(Outcome::Served(took_us.map(at_usual_speed)))
            }
            Exchange::Lost => Some(cut_after_us.map_or(Outcome::Failed, Outcome::Aborted)),
            Exchange::Shed { .. }
            | Exchange::OtherInstance { .. }
            | Exchange::Forbidden(_)
            | Exchange::NotWritten
            | Exchange::NoBody => None,
        }
    }

    /// The end of the target under a call whose answer was lost; nothing where it lives.
    async fn end_of_target(&self) -> Option<FoundExit> {
        // One that ends as planned may end with calls in hand.
        if self.half.is_leaving() {
            return None;
        }
        let ends = &self.half.pool.ends;
        let connected_at = self.connected_at.load(Ordering::Relaxed);
        if let Some(known) = ends.known_since(connected_at) {
            return Some(known);
        }
        if !self.half.pool.is_refused().await {
            return ends.known_since(connected_at);
        }
        let found = ends.found(connected_at, self.core.clock.now());
        if found.is_new {
            self.core.metrics.target_ends.inc();
            log::info!(end = found.id.0; "target ended");
        }
        Some(found)
    }

    /// Whether the sender gave the call up, or its time is over.
    fn is_cut_off(&self, attempt: AttemptId) -> bool {
        let is_wanted = lock(&self.half.cancels).contains_key(&(self.link.id, attempt));
        !is_wanted || self.link.is_closed() || self.core.clock.now() >= self.deadline
    }

    /// Writes a call with its body to the target. A lookup that is no longer wanted is cut
    /// off; an operation is not, so that its outcome is known.
    async fn exchange_whole(
        &self,
        op: Option<OpId>,
        call: &CallFrame,
        request: Option<quarantine::Request<'_>>,
    ) -> Exchange {
        let over = tokio::time::sleep_until(self.core.clock.instant(self.awaited_until(op)));
        let exchange = self.exchange(call, request, RequestBody::Whole(&call.body));
        if op.is_some() {
            return tokio::select! {
                exchange = exchange => exchange,
                () = over => Exchange::Lost,
            };
        }
        tokio::select! {
            exchange = exchange => exchange,
            _ = self.cancelled.recv_async() => Exchange::Lost,
            () = self.link.closed() => Exchange::Lost,
            () = over => Exchange::Lost,
        }
    }

    /// Writes a call to the target whose body comes in pieces. Until it is whole, even an
    /// operation is cut off that is no longer wanted: the target never has all of it.
    /// Returns also from when on the target had all of it.
    async fn exchange_in_pieces(
        &self,
        op: Option<OpId>,
        (call, to_come): (&CallFrame, BodyAnnouncement),
        request: Option<quarantine::Request<'_>>,
    ) -> (Exchange, Option<Micros>) {
        let window = self.settings.body_window_bytes;
        let room = self
            .core
            .bodies
            .take(window, self.settings.body_memory_bytes);
        if room.is_none() {
            return (Exchange::NoBody, None);
        }
        let bodies = &self.half.bodies;
        let expected = bodies.expect(self.link, call.attempt, (to_come, window));
        let over = tokio::time::sleep_until(self.core.clock.instant(self.awaited_until(op)));
        let exchange = self.exchange(call, request, RequestBody::Pieces(&expected));
        let (exchange, ended_by) = tokio::select! {
            exchange = exchange => (exchange, "target"),
            refusal = self.forbidden_before(call, request, &expected) => {
                (Exchange::Forbidden(refusal), "target")
            }
            by = self.unwanted(op, &expected) => (Exchange::Lost, by),
            () = over => (Exchange::Lost, "deadline"),
            never = bodies.go_on() => never,
        };
        let exchange = match exchange {
            Exchange::Lost if !expected.is_begun() => Exchange::NoBody,
            other => other,
        };
        if !expected.is_handed_over() {
            note_cut(self.core, (&call.call, self.link), &expected, ended_by);
        }
        drop(room);
        (exchange, expected.whole_at())
    }

    /// Ends when a call with a body in pieces is no longer wanted, and says who ended it. An
    /// operation goes on once its body is whole, so that its outcome is known.
    async fn unwanted(&self, op: Option<OpId>, expected: &Expected) -> &'static str {
        let by = tokio::select! {
            _ = self.cancelled.recv_async() => "sender",
            () = self.link.closed() => "link",
            () = tokio::time::sleep_until(self.core.clock.instant(self.deadline)) => "deadline",
        };
        if op.is_some() && expected.whole_at().is_some() {
            std::future::pending::<()>().await;
        }
        by
    }

    /// Returns once the call may not go to the target any more, if none of its body was written
    /// by then.
    async fn forbidden_before(
        &self,
        call: &CallFrame,
        request: Option<quarantine::Request<'_>>,
        expected: &Expected,
    ) -> Refusal {
        let refusal = self.forbidden(call, request).await;
        if expected.is_begun() {
            std::future::pending::<()>().await;
        }
        refusal
    }

    /// Exchanges a request for its answer. Notes when it is sent, and what the answer says of the
    /// target.
    async fn exchange(
        &self,
        call: &CallFrame,
        request: Option<quarantine::Request<'_>>,
        body: RequestBody<'_>,
    ) -> Exchange {
        let written = Request {
            call: &call.call,
            head: &call.head,
            body,
            body_limit: self.settings.body_limit_bytes,
            caller_service: call.caller_service.as_deref(),
            organisation: (call.organisation.as_ref()).map(|calling| calling.name.as_str()),
        };
        let delivery = Delivery {
            incoming: self,
            call,
            request,
            sent_at: self.core.clock.now(),
        };
        let dialect = &self.core.dialect;
        self.half.pool.exchange(dialect, written, &delivery).await
    }

    /// How long the answer of the target is waited for.
    fn awaited_until(&self, op: Option<OpId>) -> Micros {
        match op {
            Some(_) => self.deadline + OUTCOME_WAIT_US,
            None => self.deadline,
        }
    }

    /// Gives back the slot of a call that was not delivered.
    pub(super) fn done(&self, service_us: Option<u32>) {
        self.ended(service_us, None);
    }

    fn ended(&self, service_us: Option<u32>, load: Option<TargetLoad>) {
        self.half.admit(AdmissionEvent::Done {
            call: self.id,
            service_us,
            slowness_percent: load.map(|load| load.slowness_percent),
        });
    }
}

/// A call on its way to the target.
struct Delivery<'a> {
    incoming: &'a Incoming<'a>,
    call: &'a CallFrame,
    request: Option<quarantine::Request<'a>>,
    sent_at: Micros,
}

impl Follower for Delivery<'_> {
    fn permit(&self) -> Result<Permit, Refusal> {
        self.incoming.permit(self.call, self.request)
    }

    fn begins(&self, age: Duration) {
        let age_us = Micros::try_from(age.as_micros()).unwrap_or(Micros::MAX);
        let connected_at = self.incoming.core.clock.now().saturating_sub(age_us);
        let noted = &self.incoming.connected_at;
        noted.store(connected_at, Ordering::Relaxed);
    }

    fn sends(&self) {
        let call = self.incoming.id;
        self.incoming.half.admit(AdmissionEvent::Sent { call });
    }

    fn hears(&self, meant: Option<&str>, headers: &HeaderMap) {
        let answerer = Answerer {
            instance: meant,
            sent_at: self.sent_at,
        };
        let Incoming { core, half, .. } = self.incoming;
        half.hear(core, headers, &answerer);
    }
}
