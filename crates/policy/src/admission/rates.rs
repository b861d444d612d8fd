//! Limits on the rate of calls in admission control: which calls they hold back, and what
//! becomes of those.

use super::{AdmissionController, refuse};
use crate::admission_event::AdmissionAction;
use crate::event::RefusalReason;
use crate::hold_queue::HeldCall;
use crate::ids::Micros;
use crate::target_notice::OfferShare;
use crate::urgency::Urgency;

impl AdmissionController {
    /// The share of their calls that routers should offer, so that the rate limit of the target
    /// is used up and few calls are refused for it.
    pub fn offer_share(&self, now: Micros) -> OfferShare {
        self.rate_limit.offer_share(now)
    }

    /// The share, if all routers should be told of it now.
    pub fn share_to_announce(&mut self, now: Micros) -> Option<OfferShare> {
        self.rate_limit.share_to_announce(now)
    }

    /// The limit on the rate of calls that keeps the call from being delivered now, if any.
    pub(super) fn blocking_limit(&self, now: Micros, held: &HeldCall) -> Option<RefusalReason> {
        if !self
            .rate_limit
            .has_token(now, Urgency::from(&held.attributes))
        {
            return Some(RefusalReason::RateLimited);
        }
        let has_capacity = self.cold_start.has_capacity(now, held.attributes.nested);
        (!has_capacity).then_some(RefusalReason::Cold)
    }

    /// Refuses a call that cannot wait until the limit allows it.
    pub(super) fn refuse_for(
        &mut self,
        now: Micros,
        reason: RefusalReason,
        held: &HeldCall,
        wait: Micros,
    ) -> AdmissionAction {
        let after_us = match reason {
            RefusalReason::RateLimited if held.attributes.elsewhere.is_nowhere() => {
                let urgency = Urgency::from(&held.attributes);
                self.rate_limit.next_retry_after(now, urgency)
            }
            _ => self.retry_after(wait),
        };
        refuse(held.call, reason, after_us)
    }

    /// Time until the rate limit allows a call that has others before it.
    pub(super) fn token_wait(&self, now: Micros, held: &HeldCall, ahead: usize) -> Micros {
        let urgency = Urgency::from(&held.attributes);
        let token_at = self.rate_limit.next_token_at(now, urgency);
        (token_at - now) + self.rate_limit.interval_us() * ahead as Micros
    }

    /// Refuses queued calls that the rate limit will not let through before their goal, because
    /// more urgent calls came after them.
    pub(super) fn refuse_beyond_rate(&mut self, now: Micros, actions: &mut Vec<AdmissionAction>) {
        if self.rate_limit.limit().is_none() {
            return;
        }
        let service_us = |kind| self.expected_service_us(now, kind);
        let order = self.queue.in_dispatch_order(now, service_us);
        let mut ahead = 0;
        for held in order {
            let wait = self.token_wait(now, &held, ahead);
            let service_us = self.expected_service_us(now, held.attributes.kind);
            if now + wait + service_us <= held.goal() {
                ahead += 1;
                continue;
            }
            self.queue.remove(held.call);
            actions.push(self.refuse_for(now, RefusalReason::RateLimited, &held, wait));
        }
    }
}
