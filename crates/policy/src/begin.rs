//! Whether a call should begin at a target now, wait there, or go to another one.
//!
//! How long a call takes is decided by how slow its target is when it begins, and a
//! target's own daemon knows that first. A call that would miss its goal if it began in a
//! slow spell often makes it if it begins after that; a slot that it does not take
//! meanwhile costs nothing, since it would keep it for many times as long. Of the other
//! targets no more is known here than what is usual among them; their daemons decide in
//! turn.

use crate::chance::{Need, Prospect, worth};
use crate::distance::WayPrices;
use crate::elsewhere::Elsewhere;
use crate::ids::Micros;
use crate::slowness::{LikelySlowness, SlownessReading, UsualSlowness};
use crate::spell::{SLOW_RATIO, Spells};

/// Time that a call loses when it is offered to another target, in microseconds.
const MOVE_US: f64 = 2_000.0;
/// What a call has to be worth more elsewhere, or later, as a part of its worth, to be
/// sent on or held: less is within the error of what is known.
const GAIN: f64 = 0.05;
/// What a call is worth whose caller is told at once to come back, as a part of its worth: a
/// half, since its second try may end in time but the caller waits longer, less the chance
/// that there is no room then either.
const REFUSED_WORTH: f64 = 0.35;
/// Moments at which a spell may end that are told apart, for each mean length of a spell.
const STEPS_PER_SPELL: f64 = 8.0;
/// Spells of mean length that are looked ahead; later ends are as good as none.
const SPELLS_AHEAD: f64 = 3.0;

/// What is best for a call that is offered to a target with a free slot.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Begin {
    /// It begins.
    Now,
    /// It waits until the target is no longer slow.
    Later,
    /// Its router offers it to another target.
    Elsewhere,
    /// Its caller is told to come back: it would hardly end in time, and is told early.
    ComeBack,
}

/// What is known of a target, and of others like it, when a call could begin there.
#[derive(Clone, Copy, Debug)]
pub struct Outlook<'a> {
    /// The time.
    pub now: Micros,
    /// The target's last reading.
    pub reading: SlownessReading,
    /// What is usual among the targets of the service.
    pub usual: &'a UsualSlowness,
    /// How the target goes to and fro between usual and slow.
    pub spells: &'a Spells,
}

/// A call that could begin, and where else it can go.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Choice {
    /// What is known of the call.
    pub need: Need,
    /// Where else it can go.
    pub elsewhere: Elsewhere,
    /// What the way to another target costs.
    pub prices: WayPrices,
    /// Whether it has just arrived and is made by a caller, who can come back in time.
    pub can_come_back: bool,
}

impl Outlook<'_> {
    /// What is best for a call.
    pub fn best(&self, choice: &Choice) -> Begin {
        let now = self.worth_now(&choice.need);
        let later = self.worth_later(&choice.need);
        let here = now.max(later);
        if let Some(price) = choice.elsewhere.price(choice.prices)
            && self.worth_elsewhere(&choice.need) > here + GAIN + price
        {
            return Begin::Elsewhere;
        }
        if choice.can_come_back && here + GAIN < REFUSED_WORTH {
            return Begin::ComeBack;
        }
        match later > now + GAIN {
            true => Begin::Later,
            false => Begin::Now,
        }
    }

    /// What a call is worth more, as a part of its worth, if the target is asked for its load
    /// before the call begins there. A reading that is no longer right sends a call into a
    /// spell that it could have waited for or avoided.
    pub fn worth_of_asking(&self, choice: &Choice) -> f64 {
        let need = &choice.need;
        let age_us = self.now.saturating_sub(self.reading.at) as f64;
        let chance_slow = match self.spells.is_slow(self.reading) {
            false => self.spells.chance_turned_slow(age_us),
            // Where an old reading still keeps the call from beginning, it needs no other.
            true if self.best(choice) != Begin::Now => return 0.0,
            true => self.spells.chance_still_slow(age_us),
        };
        let known = match choice.elsewhere.price(choice.prices) {
            Some(price) => self.worth_elsewhere(need) - price,
            None => 0.0,
        };
        let known = known.max(self.worth_after_spell(need, self.spells.baseline()));
        let unknown = worth_at(need, self.spells.slow_factor());
        chance_slow * (known - unknown).max(0.0)
    }

    fn worth_now(&self, need: &Need) -> f64 {
        let expected = self.usual.expect(self.now, Some(self.reading));
        worth(need, &Prospect::default(), expected)
    }

    /// Nothing where the target is not slow: there is nothing to wait for.
    fn worth_later(&self, need: &Need) -> f64 {
        match self.spells.is_slow(self.reading) {
            true => self.worth_after_spell(need, self.spells.baseline()),
            false => 0.0,
        }
    }

    /// What a call is worth that begins when the spell ends, over all moments at which it
    /// may end, at a target that has this factor then.
    fn worth_after_spell(&self, need: &Need, factor: f64) -> f64 {
        let step_us = self.spells.slow_us() / STEPS_PER_SPELL;
        let goes_on = (-1.0 / STEPS_PER_SPELL).exp();
        let steps = (STEPS_PER_SPELL * SPELLS_AHEAD) as u32;
        let mut still_slow = 1.0;
        let mut sum = 0.0;
        for step in 1..=steps {
            let then = need.after(f64::from(step) * step_us);
            sum += still_slow * (1.0 - goes_on) * worth_at(&then, factor);
            still_slow *= goes_on;
        }
        sum
    }

    /// What it is worth at a usual target, which lets it wait as well.
    fn worth_elsewhere(&self, need: &Need) -> f64 {
        let there = need.after(MOVE_US);
        let baseline = self.usual.least().unwrap_or(self.spells.baseline());
        let after_spell = self.worth_after_spell(&there, baseline);
        let at = |likely: LikelySlowness| {
            let now = worth_at(&there, likely.factor);
            let best = match likely.factor >= baseline * SLOW_RATIO {
                true => now.max(after_spell),
                false => now,
            };
            likely.probability * best
        };
        self.usual.expect(self.now, None).map(at).sum()
    }
}

fn worth_at(need: &Need, factor: f64) -> f64 {
    let certain = LikelySlowness {
        factor,
        probability: 1.0,
    };
    worth(need, &Prospect::default(), std::iter::once(certain))
}
