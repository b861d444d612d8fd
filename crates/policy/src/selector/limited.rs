//! Selection among targets that state a rate limit. Each is offered a share of the calls, and
//! first those calls that would fare badly elsewhere.

use rand::RngExt;

use super::{ScoredTarget, SelectionRequest, TargetSelector};
use crate::elsewhere::Elsewhere;
use crate::ids::{Micros, TargetId};
use crate::policy_name::Policy;
use crate::target_notice::OfferShare;

/// A call is offered to a rate-limited target in any case if it is worth more there than at the
/// best other target by this fraction of a call's worth: the limit serves those calls first that
/// would fare badly elsewhere.
const MIN_LIMITED_GAIN: f64 = 0.25;
/// The same for scores that are finish times: the factor by which it must finish sooner.
const MIN_LIMITED_SPEEDUP: f64 = 2.0;

impl TargetSelector {
    /// Where a call that must avoid `excluded` can go without finding a rate limit used up.
    pub fn elsewhere_unlimited(&self, now: Micros, excluded: &[TargetId]) -> Elsewhere {
        self.nearest_of(now, excluded, |state| state.share().is_all())
    }

    /// Targets that the last call was not offered to for their rate limits.
    pub fn passed_over(&self) -> &[TargetId] {
        &self.passed_over
    }

    /// Share of the calls out of which the last selected target was offered its call; `None` if
    /// it has no rate limit, or was selected whatever its share.
    pub fn selected_share(&self) -> Option<OfferShare> {
        self.selected_share
    }

    /// Selects a rate-limited target that was skipped, if the call would fare much worse at the
    /// best of those that were scored.
    pub(super) fn select_needed(
        &mut self,
        now: Micros,
        request: SelectionRequest<'_>,
        scored: &mut Vec<ScoredTarget>,
    ) -> Option<TargetId> {
        let drawn = scored.iter().map(|one| one.score).min_by(f64::total_cmp)?;
        let mut limited = Vec::new();
        self.score_all(now, request, self.passed_over.clone(), &mut limited);
        let best = limited.iter().min_by(|a, b| a.score.total_cmp(&b.score))?;
        let is_needed = match self.params.policy {
            Policy::GoalChance => best.score + MIN_LIMITED_GAIN <= drawn,
            Policy::ExpectedFinish => best.score * MIN_LIMITED_SPEEDUP <= drawn,
            _ => false,
        };
        if !is_needed {
            return None;
        }
        let target = best.target;
        self.passed_over.retain(|passed| *passed != target);
        scored.extend(limited);
        Some(target)
    }

    /// Draws which rate-limited targets this call skips. Returns whether the draw counts:
    /// if it leaves no target, the call is offered all the same, and the daemon of a limited
    /// target decides by its urgency.
    pub(super) fn draw_skipped_limited(&mut self, now: Micros, excluded: &[TargetId]) -> bool {
        let is_limited = |target: &TargetId| {
            !self.states[target].share().is_all() && self.is_eligible(now, *target, excluded)
        };
        let mut limited: Vec<TargetId> = self.order.iter().copied().filter(is_limited).collect();
        limited.retain(|target| {
            let share = self.states[target].share();
            !self.rng.random_bool(share.fraction())
        });
        self.skipped_limited = limited;
        if self.skipped_limited.is_empty() {
            return true;
        }
        let leaves_any = self.any_eligible(now, excluded);
        if !leaves_any {
            self.skipped_limited.clear();
        }
        leaves_any
    }
}
