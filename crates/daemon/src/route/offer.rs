//! Offering a call to a target's daemon, and what goes on the link for it afterwards.

use lynxcleat_policy::{AttemptId, Elsewhere, Event, TargetId, TargetLoad};
use lynxcleat_wire::{BodyAnnouncement, CallFrame, Frame, Header};
use serde_bytes::ByteBuf;

use super::ahead;
use super::run::{InHand, OutAttempt};
use super::upload::Opened;

impl InHand<'_> {
    /// Forwards the call to a target's daemon. Returns an event where it cannot.
    pub(super) fn send(
        &mut self,
        attempt: AttemptId,
        target: TargetId,
        elsewhere: Elsewhere,
    ) -> Option<Event> {
        let link = self.service.link(target);
        self.attempts.push(OutAttempt {
            attempt,
            target,
            sent_at: self.core.clock.now(),
            link: link.clone(),
            ahead: None,
        });
        if let Some(upload) = &self.call.upload {
            upload.offer(attempt);
        }
        let sent = link.is_some_and(|link| {
            let frame = CallFrame {
                canary: self.service.with(|router| router.is_new_version(target)),
                notice: self.core.routers.notice(&link.peer.host),
                ..self.frame(attempt, elsewhere)
            };
            // The half hears of a suspect before it has the call.
            if let Some(news) = self.request().and_then(|request| request.news()) {
                let _ = link.send(Frame::Suspects(news));
            }
            link.call(frame, self.sender.clone()).is_ok()
        });
        if sent {
            self.send_ahead(attempt);
            return None;
        }
        self.note("not-sent");
        Some(Event::NotSent { attempt })
    }

    /// Starts sending the body behind the call that was sent.
    pub(super) fn send_ahead(&mut self, attempt: AttemptId) {
        let Some(out) = self.attempts.last_mut().filter(|_| self.call.ahead) else {
            return;
        };
        if let Some(link) = out.link.clone() {
            let body = self.call.body.clone();
            out.ahead = Some(ahead::send(self.core, link, attempt, body));
        }
    }

    /// How the body goes, and what is sent of it with the call.
    pub(super) fn body(&self) -> (ByteBuf, Option<BodyAnnouncement>) {
        let length = Some(self.call.body.len() as u64);
        match (&self.call.upload, self.call.ahead) {
            (Some(upload), _) => (ByteBuf::new(), Some(upload.to_come)),
            (None, true) => {
                let ahead = true;
                (ByteBuf::new(), Some(BodyAnnouncement { length, ahead }))
            }
            (None, false) => (self.call.body.clone(), None),
        }
    }

    pub(super) fn frame(&self, attempt: AttemptId, elsewhere: Elsewhere) -> CallFrame {
        let mut head = self.call.head.clone();
        let (body, to_come) = self.body();
        let number = self.number();
        if let Some(retry) = self.core.dialect.retry.as_ref().filter(|_| number > 1) {
            let mark = Header(retry.as_str().to_owned(), ByteBuf::from(b"1".to_vec()));
            head.headers.push(mark);
        }
        CallFrame {
            attempt,
            number,
            call: self.call.name.clone(),
            service: self.service.name.clone(),
            kind: self.call.kind,
            priority: self.call.priority,
            nested: self.call.nested,
            homes: self.call.homes.clone(),
            canary: false,
            elsewhere,
            notice: None,
            share: self.share,
            goal_left_us: self
                .call
                .goal
                .map(|goal| goal.saturating_sub(self.core.clock.now())),
            left_us: self.call.deadline.saturating_sub(self.core.clock.now()),
            operation: self.call.operation,
            caller_service: self.call.caller_service.clone(),
            organisation: self.call.organisation.clone(),
            head,
            body,
            to_come,
        }
    }

    /// Number of the newest attempt. A call that belongs to a further attempt of a call higher
    /// up counts as one itself.
    fn number(&self) -> u32 {
        let own = self.attempts.len() as u32;
        own + u32::from(!self.call.may_retry)
    }

    /// Passes on how much of the body may be sent.
    pub(super) fn open_window(&self, attempt: AttemptId, bytes: u64) {
        let Some(out) = self.out(attempt) else { return };
        if let Some(ahead) = &out.ahead {
            ahead.grant(bytes);
            return;
        }
        let link = out.link.clone();
        let (Some(upload), Some(link)) = (&self.call.upload, link) else {
            return;
        };
        let opened = Opened {
            attempt,
            link,
            bytes,
        };
        if !upload.open(opened) {
            self.withdraw(attempt);
        }
    }

    /// The rest of a body that was sent ahead is of no use any more.
    pub(super) fn stop_sending(&mut self, attempt: AttemptId) {
        for out in &mut self.attempts {
            if out.attempt == attempt {
                out.ahead = None;
            }
        }
    }

    pub(super) fn tell_half(&self, attempt: AttemptId, figures: Option<TargetLoad>) {
        if let Some(out) = self.out(attempt) {
            self.service.tell_half(self.core, out.target, figures);
        }
    }

    pub(super) fn cancel(&self, attempt: AttemptId) {
        if let Some(link) = self.out(attempt).and_then(|out| out.link.as_ref()) {
            link.cancel(attempt);
        }
    }

    pub(super) fn withdraw(&self, attempt: AttemptId) {
        if let Some(link) = self.out(attempt).and_then(|out| out.link.as_ref()) {
            link.withdraw(attempt);
        }
    }

    pub(super) fn out(&self, attempt: AttemptId) -> Option<&OutAttempt> {
        self.attempts.iter().find(|out| out.attempt == attempt)
    }
}
