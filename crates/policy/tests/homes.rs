//! Calls with home regions: whatever happens, no target outside is offered one.

use std::collections::HashMap;

use lynxcleat_policy::{
    Action, AnswerStatus, AttemptId, CallId, CallKind, Candidate, Elsewhere, Event, FurtherParams,
    Here, Homes, NotRunReason, Policy, Refusal, RefusalReason, Router, RouterParams,
    SelectionParams, Settlement, TargetId, Verdict, WayPrices, subset, subset_with_homes,
};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use rstest::rstest;

const DEADLINE: u64 = 1_000_000;

fn params(policy: Policy) -> RouterParams {
    RouterParams {
        selection: SelectionParams {
            policy,
            ramp_us: 0,
            eject_failures: 2,
            eject_us: 1_000,
            prices: WayPrices {
                far_percent: 10,
                region_percent: 10,
            },
        },
        attempt_limit: 4,
        retry_budget: FurtherParams {
            percent: 100,
            bound: None,
        },
        reroute_limit: 3,
    }
}

fn region(number: usize) -> String {
    format!("r{number}")
}

/// A router whose targets stand in these regions.
fn router(policy: Policy, regions: &[usize]) -> Router {
    let mut router = Router::new(params(policy), 7, 1);
    let ids = || (0..regions.len() as u32).map(TargetId);
    let targets: Vec<_> = ids().map(|id| (id, 100.0)).collect();
    router.set_targets(0, &targets);
    let stands = ids().zip(regions.iter().map(|number| region(*number)));
    router.set_regions(stands.collect());
    router
}

fn only(numbers: &[usize]) -> Homes {
    let names: Vec<String> = numbers.iter().map(|number| region(*number)).collect();
    Homes::from(names)
}

fn arrived(call: CallId, effect: bool) -> Event {
    Event::Arrived {
        call,
        deadline: DEADLINE,
        has_effects: effect,
        may_retry: true,
        attempt_limit: None,
        goal: None,
        kind: CallKind::default(),
    }
}

fn refused(attempt: AttemptId, reason: RefusalReason) -> Event {
    let refusal = Refusal {
        reason,
        retry_after_us: 10,
    };
    Event::Refused {
        attempt,
        refusal,
        load: None,
    }
}

#[rstest]
fn a_call_without_a_home_target_is_refused_at_once(#[values(false, true)] effect: bool) {
    let mut router = router(Policy::GoalChance, &[0, 0, 1]);
    let call = CallId(1);
    let homes = only(&[2]);
    assert!(!router.any_available(0, &homes) && router.any_available(0, &only(&[1])));
    assert!(router.on(0, Event::HomesSet { call, homes }).is_empty());
    let actions = router.on(0, arrived(call, effect));
    let [Action::Finish { verdict, .. }] = actions.as_slice() else {
        panic!("{actions:?}");
    };
    assert!(matches!(
        verdict,
        Verdict::NotRun { reason: NotRunReason::NoHomeTarget, retry_after_us } if *retry_after_us > 0
    ));
    // Nothing is left of it: a call of the same number without homes goes out.
    let actions = router.on(0, arrived(call, effect));
    assert!(matches!(actions.as_slice(), [Action::Send { .. }]));
}

#[test]
fn a_half_is_told_of_no_target_outside_and_a_refused_call_does_not_move_there() {
    let mut router = router(Policy::GoalChance, &[0, 1, 1]);
    let call = CallId(1);
    let homes = only(&[0]);
    router.on(0, Event::HomesSet { call, homes });
    let actions = router.on(0, arrived(call, false));
    let [
        Action::Send {
            attempt,
            target,
            elsewhere,
            ..
        },
    ] = actions.as_slice()
    else {
        panic!("{actions:?}");
    };
    assert_eq!((*target, *elsewhere), (TargetId(0), Elsewhere::Nowhere));
    let actions = router.on(1, refused(*attempt, RefusalReason::Busy));
    assert!(matches!(
        actions.as_slice(),
        [Action::Finish {
            verdict: Verdict::NotRun { .. },
            ..
        }]
    ));
}

#[test]
fn a_call_that_moves_on_follows_a_change_of_its_homes() {
    let mut router = router(Policy::GoalChance, &[0, 1]);
    let call = CallId(1);
    router.on(
        0,
        Event::HomesSet {
            call,
            homes: only(&[0]),
        },
    );
    let actions = router.on(0, arrived(call, true));
    let [Action::Send { attempt, .. }] = actions.as_slice() else {
        panic!("{actions:?}");
    };
    router.on(
        1,
        Event::HomesSet {
            call,
            homes: only(&[1]),
        },
    );
    let actions = router.on(2, refused(*attempt, RefusalReason::OutsideHome));
    assert!(matches!(
        actions.as_slice(),
        [Action::Send {
            target: TargetId(1),
            ..
        }]
    ));
}

#[test]
fn lists_of_regions_together_allow_what_both_allow() {
    let (left, right) = (only(&[0, 1]), only(&[1, 2]));
    assert_eq!(left.intersection(&right), only(&[1]));
    assert_eq!(left.intersection(&Homes::Anywhere), left);
    assert_eq!(Homes::Anywhere.intersection(&right), right);
    let nowhere = only(&[0]).intersection(&only(&[1]));
    assert!(!nowhere.is_anywhere() && !nowhere.allows("r0") && !nowhere.allows(""));
    assert_eq!(Homes::from_settings(&[]), Homes::Anywhere);
}

/// What happens next to a call, drawn by the property.
#[derive(Clone, Copy, Debug)]
enum Happening {
    Arrive { call: u64, homes: u8, effect: bool },
    Rebind { call: u64, homes: u8 },
    Refuse(u8, RefusalReason),
    NotSent(u8),
    LinkLost(u8),
    TargetLost(u8),
    Settle(u8, Settlement),
    Answer(u8, AnswerStatus),
    Leave(u8),
    Back(u8),
    Linked(u8, bool),
    Doubt(u8, bool),
    Gone { call: u64 },
}

const REASONS: [RefusalReason; 7] = [
    RefusalReason::Full,
    RefusalReason::Busy,
    RefusalReason::Cold,
    RefusalReason::Shed,
    RefusalReason::TargetDown,
    RefusalReason::Leaving,
    RefusalReason::OutsideHome,
];
const SETTLEMENTS: [Settlement; 3] = [Settlement::NeverRan, Settlement::Ran, Settlement::Unknown];

fn happening() -> impl Strategy<Value = Happening> {
    use Happening::*;
    let call = 0..6_u64;
    let any8 = any::<u8>;
    prop_oneof![
        4 => (call.clone(), any8(), any::<bool>())
            .prop_map(|(call, homes, effect)| Arrive { call, homes, effect }),
        1 => (call.clone(), any8()).prop_map(|(call, homes)| Rebind { call, homes }),
        3 => (any8(), prop::sample::select(&REASONS[..])).prop_map(|(at, reason)| Refuse(at, reason)),
        1 => any8().prop_map(NotSent),
        2 => any8().prop_map(LinkLost),
        1 => any8().prop_map(TargetLost),
        2 => (any8(), prop::sample::select(&SETTLEMENTS[..])).prop_map(|(at, how)| Settle(at, how)),
        2 => (any8(), prop::sample::select(&[AnswerStatus::Served, AnswerStatus::Failed][..]))
            .prop_map(|(at, source)| Answer(at, source)),
        1 => any8().prop_map(Leave),
        1 => any8().prop_map(Back),
        1 => (any8(), any::<bool>()).prop_map(|(target, linked)| Linked(target, linked)),
        1 => (any8(), any::<bool>()).prop_map(|(target, doubted)| Doubt(target, doubted)),
        1 => call.prop_map(|call| Gone { call }),
    ]
}

/// The home regions that a number stands for: none, or those of its bits.
fn drawn_homes(bits: u8) -> Homes {
    if bits.is_multiple_of(4) {
        return Homes::Anywhere;
    }
    let named: Vec<usize> = (0..3).filter(|nth| bits >> (2 + nth) & 1 == 1).collect();
    only(&named)
}

/// The router with what a shell would know of it.
struct World {
    router: Router,
    regions: Vec<usize>,
    homes: HashMap<u64, Homes>,
    out: Vec<(AttemptId, u64, TargetId)>,
    now: u64,
}

impl World {
    fn event(&mut self, happening: Happening) -> Vec<Event> {
        let count = self.regions.len() as u8;
        let target = |drawn: u8| TargetId(u32::from(drawn % count));
        let nth = |drawn: u8| self.out.get(drawn as usize % self.out.len().max(1));
        let attempt = |drawn: u8| nth(drawn).map(|(attempt, ..)| *attempt);
        let one = |event: Option<Event>| event.into_iter().collect::<Vec<_>>();
        match happening {
            Happening::Arrive { call, .. } if self.homes.contains_key(&call) => Vec::new(),
            Happening::Arrive {
                call,
                homes,
                effect,
            } => {
                let homes = drawn_homes(homes);
                self.homes.insert(call, homes.clone());
                let call = CallId(call);
                vec![Event::HomesSet { call, homes }, arrived(call, effect)]
            }
            Happening::Rebind { call, homes } => {
                let Some(known) = self.homes.get_mut(&call) else {
                    return Vec::new();
                };
                *known = drawn_homes(homes);
                let homes = known.clone();
                vec![Event::HomesSet {
                    call: CallId(call),
                    homes,
                }]
            }
            Happening::Refuse(at, reason) => one(attempt(at).map(|at| refused(at, reason))),
            Happening::NotSent(at) => one(attempt(at).map(|attempt| Event::NotSent { attempt })),
            Happening::LinkLost(at) => one(attempt(at).map(|attempt| Event::LinkLost { attempt })),
            Happening::TargetLost(at) => {
                one(attempt(at).map(|attempt| Event::TargetLost { attempt }))
            }
            Happening::Settle(at, settlement) => one(attempt(at).map(|attempt| Event::Settled {
                attempt,
                settlement,
            })),
            Happening::Answer(at, source) => one(attempt(at).map(|attempt| Event::Answered {
                attempt,
                status: source,
                load: None,
                remote_us: 10,
                work_us: None,
            })),
            Happening::Leave(at) => vec![Event::TargetDraining { target: target(at) }],
            Happening::Back(at) => vec![Event::TargetResumed { target: target(at) }],
            Happening::Linked(at, linked) => {
                vec![Event::TargetLinked {
                    target: target(at),
                    linked,
                }]
            }
            Happening::Doubt(at, doubted) => {
                vec![Event::TargetSuspected {
                    target: target(at),
                    suspected: doubted,
                }]
            }
            Happening::Gone { call } if self.homes.contains_key(&call) => {
                vec![Event::CallerDisconnected { call: CallId(call) }]
            }
            Happening::Gone { .. } => Vec::new(),
        }
    }

    fn check(&mut self, action: Action) -> Result<(), TestCaseError> {
        match action {
            Action::Send {
                call,
                attempt,
                target,
                elsewhere,
            } => {
                let homes = &self.homes[&call.0];
                let stands = region(self.regions[target.0 as usize]);
                prop_assert!(homes.allows(&stands), "{homes:?} at {stands}");
                let others = self.regions.iter().enumerate();
                let mut others = others.filter(|(nth, _)| *nth != target.0 as usize);
                let any_inside = others.any(|(_, number)| homes.allows(&region(*number)));
                prop_assert!(any_inside || elsewhere == Elsewhere::Nowhere);
                self.out.push((attempt, call.0, target));
            }
            Action::Settle {
                attempt, target, ..
            } => {
                let sent = self.out.iter().find(|(sent, ..)| *sent == attempt);
                prop_assert_eq!(sent.map(|(_, _, at)| *at), Some(target));
            }
            Action::Finish { call, .. } => {
                self.homes.remove(&call.0);
                self.out.retain(|(_, of, _)| *of != call.0);
            }
            Action::Cancel { .. } | Action::Withdraw { .. } => {}
        }
        Ok(())
    }
}

const POLICIES: [Policy; 6] = [
    Policy::ExpectedFinish,
    Policy::GoalChance,
    Policy::PowerOfTwo,
    Policy::LeastInFlight,
    Policy::RoundRobin,
    Policy::Random,
];

proptest! {
    #![proptest_config(Config { cases: 512, rng_seed: RngSeed::Fixed(23), ..Config::default() })]

    #[test]
    fn no_call_is_offered_to_a_target_outside_its_homes(
        policy in prop::sample::select(&POLICIES[..]),
        regions in prop::collection::vec(0..3_usize, 1..40),
        happenings in prop::collection::vec(happening(), 1..120),
    ) {
        let router = router(policy, &regions);
        let (homes, out) = (HashMap::new(), Vec::new());
        let mut world = World { router, regions, homes, out, now: 0 };
        for happening in happenings {
            world.now += 500;
            for event in world.event(happening) {
                let gone = match &event {
                    Event::CallerDisconnected { call } => Some(call.0),
                    _ => None,
                };
                for action in world.router.on(world.now, event) {
                    world.check(action)?;
                }
                if let Some(call) = gone && !world.out.iter().any(|(_, of, _)| *of == call) {
                    world.homes.remove(&call);
                }
            }
        }
    }

    #[test]
    fn the_subset_holds_targets_of_each_home_region(
        regions in prop::collection::vec(0..4_usize, 0..60),
        wanted in prop::collection::btree_set(0..4_usize, 0..4),
        size in 1..20_usize,
    ) {
        let candidates: Vec<Candidate> = regions.iter().enumerate().map(candidate).collect();
        let here = Here { host: "here", place: "p0", zone: "p0-1", region: "r0" };
        let names: Vec<String> = wanted.iter().map(|number| region(*number)).collect();
        let chosen = subset_with_homes(here, &candidates, size, &names);
        let plain = subset(here, &candidates, size);
        prop_assert_eq!(&chosen[..plain.len()], &plain[..], "the nearest stay");
        for number in wanted {
            let there = regions.iter().filter(|other| **other == number).count();
            let held = chosen.iter().filter(|id| regions[id.0 as usize] == number).count();
            prop_assert!(held >= there.min(size.div_ceil(2)), "{held} of {there}");
        }
        let mut once = chosen.clone();
        once.sort_unstable();
        once.dedup();
        prop_assert_eq!(once.len(), chosen.len());
    }
}

fn candidate((id, number): (usize, &usize)) -> Candidate {
    Candidate {
        target: TargetId(id as u32),
        host: format!("host-{id}"),
        place: format!("p{number}"),
        zone: format!("p{number}-1"),
        region: region(*number),
        evacuated: id.is_multiple_of(7),
    }
}
