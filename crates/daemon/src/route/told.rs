//! Asking the router's decisions about a call, and what is told of them afterwards.

use lynxcleat_policy::{Action, Event, NotRunReason, RateLimit, TargetId};

use super::run::{InHand, RouteVerdict};
use crate::explain::{AttemptTrace, ScoredHost, Trace};
use crate::metrics::count;

impl InHand<'_> {
    /// Asks the decisions, and notes what a choice was based on.
    pub(super) fn decide(&mut self, event: Event) -> Vec<Action> {
        let now = self.core.clock.now();
        let reach = self
            .core
            .region_egress
            .reach(&self.core.metrics, self.call.priority);
        let decided = self.service.decide(now, reach, event);
        self.core.metrics.retries.inc_by(decided.retries);
        if decided.own_failures > 0 {
            self.core.metrics.own_failures.inc_by(decided.own_failures);
            self.trace.request = self.request_name();
            self.note_own_failure();
        }
        let actions = decided.actions;
        if let Some(Action::Send { target, .. }) = actions.first() {
            self.share = decided.share;
            let considered = decided
                .considered
                .into_iter()
                .map(|one| ScoredHost {
                    host: self.service.host(one.target),
                    score: one.score,
                    load: one.load,
                    slowness: one.slowness,
                    slowness_age_us: one.slowness_age_us,
                    distance: one.distance,
                    limit_per_s: one.limit.map(RateLimit::per_s),
                })
                .collect();
            self.trace.attempts.push(AttemptTrace {
                host: self.service.host(*target),
                considered,
                passed_over: self.hosts(&decided.passed_over),
                sent_us: now.saturating_sub(self.began),
                result: None,
            });
        }
        actions
    }

    fn hosts(&self, targets: &[TargetId]) -> Vec<String> {
        targets
            .iter()
            .map(|target| self.service.host(*target))
            .collect()
    }

    pub(super) fn note(&mut self, result: &str) {
        if let Some(last) = self.trace.attempts.last_mut() {
            last.result = Some(result.to_owned());
        }
    }

    /// The request failed elsewhere before: its target is not charged.
    fn note_own_failure(&mut self) {
        if let Some(last) = self.trace.attempts.last_mut() {
            let result = last.result.take().unwrap_or_else(|| "deadline".to_owned());
            last.result = Some(format!("{result}, as at another target"));
        }
    }

    /// One line with all that decided on the call.
    pub(super) fn log(&self, trace: &Trace) {
        let now = self.core.clock.now();
        if !self.core.explain.logs(now, trace.success) {
            return;
        }
        let attempts = serde_json::to_string(&trace.attempts).unwrap_or_default();
        log::info!(
            call = trace.call.as_str(),
            service = trace.service.as_str(),
            generation = trace.generation,
            homes = trace.homes.join(",").as_str(),
            effect = self.call.operation.is_some(),
            verdict = trace.verdict.as_str(),
            took_us = trace.took_us,
            request = trace.request.as_str(),
            attempts = attempts.as_str();
            "call routed"
        );
    }

    pub(super) fn keep_trace(&mut self, verdict: &RouteVerdict) {
        let mut trace = std::mem::take(&mut self.trace);
        trace.verdict = match verdict {
            RouteVerdict::Answer(answer) => format!("run: status {}", answer.status),
            RouteVerdict::NotRun { reason, .. } => format!("not-run: {reason:?}"),
            RouteVerdict::Unknown { reason } => format!("unknown: {reason:?}"),
        };
        trace.success = matches!(verdict, RouteVerdict::Answer(answer) if answer.status < 500);
        trace.took_us = self.core.clock.now().saturating_sub(self.began);
        if let RouteVerdict::NotRun { reason, .. } = verdict
            && *reason == NotRunReason::NoHomeTarget
        {
            count(&self.core.metrics.home_refusals, "router");
        }
        self.log(&trace);
        self.core.explain.keep(trace);
    }

    /// Fingerprint of the request, for logs and explanations.
    pub(super) fn request_name(&self) -> String {
        let request = self.request();
        request.map_or_else(String::new, |request| request.prints().full.to_string())
    }
}
