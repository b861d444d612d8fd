//! Calls with home regions are never offered to a target outside them.

use std::collections::HashMap;

use lynxcleat_policy::{
    Action, AnswerStatus, AttemptId, CallId, CallKind, Candidate, DistanceCosts, Elsewhere, Event,
    Homes, Location, NotRunReason, Policy, Refusal, RefusalReason, RetryParams, Router,
    RouterParams, SelectionParams, Settlement, TargetId, Verdict, subset, subset_with_homes,
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
            prices: DistanceCosts {
                far_percent: 10,
                region_percent: 10,
            },
        },
        attempt_limit: 4,
        retry_budget: RetryParams {
            percent: 100,
            bound: None,
        },
        reroute_limit: 3,
    }
}

fn region(number: usize) -> String {
    format!("r{number}")
}

/// A router with one target in each of `regions`.
fn router(policy: Policy, regions: &[usize]) -> Router {
    let mut router = Router::new(params(policy), 7, 1);
    let ids = || (0..regions.len() as u32).map(TargetId);
    let targets: Vec<_> = ids().map(|id| (id, 100.0)).collect();
    router.set_targets(0, &targets);
    let located = ids().zip(regions.iter().map(|number| region(*number)));
    router.set_regions(located.collect());
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
    // No state of the call remains: one with the same ID and no home regions is sent.
    let actions = router.on(0, arrived(call, effect));
    assert!(matches!(actions.as_slice(), [Action::Send { .. }]));
}

#[test]
fn a_call_with_one_home_target_has_no_alternative_and_is_not_rerouted() {
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
fn a_rerouted_call_uses_its_current_homes() {
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
fn an_intersection_allows_what_both_lists_allow() {
    let (left, right) = (only(&[0, 1]), only(&[1, 2]));
    assert_eq!(left.intersection(&right), only(&[1]));
    assert_eq!(left.intersection(&Homes::Anywhere), left);
    assert_eq!(Homes::Anywhere.intersection(&right), right);
    let nowhere = only(&[0]).intersection(&only(&[1]));
    assert!(!nowhere.is_anywhere() && !nowhere.allows("r0") && !nowhere.allows(""));
    assert_eq!(Homes::from_settings(&[]), Homes::Anywhere);
}

/// One random step of the property test.
#[derive(Clone, Copy, Debug)]
enum Step {
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

fn step() -> impl Strategy<Value = Step> {
    use Step::*;
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

/// Home regions encoded in `bits`: none for a multiple of 4, else those whose bits are set.
fn homes_of(bits: u8) -> Homes {
    if bits.is_multiple_of(4) {
        return Homes::Anywhere;
    }
    let named: Vec<usize> = (0..3).filter(|nth| bits >> (2 + nth) & 1 == 1).collect();
    only(&named)
}

/// The router and a model of its calls.
struct Model {
    router: Router,
    regions: Vec<usize>,
    homes: HashMap<u64, Homes>,
    /// Attempts that were sent and whose calls are not finished.
    sent: Vec<(AttemptId, u64, TargetId)>,
    now: u64,
}

impl Model {
    fn events(&mut self, step: Step) -> Vec<Event> {
        let count = self.regions.len() as u8;
        let target = |drawn: u8| TargetId(u32::from(drawn % count));
        let nth = |drawn: u8| self.sent.get(drawn as usize % self.sent.len().max(1));
        let attempt = |drawn: u8| nth(drawn).map(|(attempt, ..)| *attempt);
        let one = |event: Option<Event>| event.into_iter().collect::<Vec<_>>();
        match step {
            Step::Arrive { call, .. } if self.homes.contains_key(&call) => Vec::new(),
            Step::Arrive {
                call,
                homes,
                effect,
            } => {
                let homes = homes_of(homes);
                self.homes.insert(call, homes.clone());
                let call = CallId(call);
                vec![Event::HomesSet { call, homes }, arrived(call, effect)]
            }
            Step::Rebind { call, homes } => {
                let Some(known) = self.homes.get_mut(&call) else {
                    return Vec::new();
                };
                *known = homes_of(homes);
                let homes = known.clone();
                vec![Event::HomesSet {
                    call: CallId(call),
                    homes,
                }]
            }
            Step::Refuse(at, reason) => one(attempt(at).map(|at| refused(at, reason))),
            Step::NotSent(at) => one(attempt(at).map(|attempt| Event::NotSent { attempt })),
            Step::LinkLost(at) => one(attempt(at).map(|attempt| Event::LinkLost { attempt })),
            Step::TargetLost(at) => one(attempt(at).map(|attempt| Event::TargetLost { attempt })),
            Step::Settle(at, settlement) => one(attempt(at).map(|attempt| Event::Settled {
                attempt,
                settlement,
            })),
            Step::Answer(at, source) => one(attempt(at).map(|attempt| Event::Answered {
                attempt,
                status: source,
                load: None,
                remote_us: 10,
                work_us: None,
            })),
            Step::Leave(at) => vec![Event::TargetDraining { target: target(at) }],
            Step::Back(at) => vec![Event::TargetResumed { target: target(at) }],
            Step::Linked(at, linked) => {
                vec![Event::TargetLinked {
                    target: target(at),
                    linked,
                }]
            }
            Step::Doubt(at, doubted) => {
                vec![Event::TargetSuspected {
                    target: target(at),
                    suspected: doubted,
                }]
            }
            Step::Gone { call } if self.homes.contains_key(&call) => {
                vec![Event::CallerDisconnected { call: CallId(call) }]
            }
            Step::Gone { .. } => Vec::new(),
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
                let located = region(self.regions[target.0 as usize]);
                prop_assert!(homes.allows(&located), "{homes:?} at {located}");
                let others = self.regions.iter().enumerate();
                let mut others = others.filter(|(nth, _)| *nth != target.0 as usize);
                let any_inside = others.any(|(_, number)| homes.allows(&region(*number)));
                prop_assert!(any_inside || elsewhere == Elsewhere::Nowhere);
                self.sent.push((attempt, call.0, target));
            }
            Action::Settle {
                attempt, target, ..
            } => {
                let sent = self.sent.iter().find(|(sent, ..)| *sent == attempt);
                prop_assert_eq!(sent.map(|(_, _, sent_to)| *sent_to), Some(target));
            }
            Action::Finish { call, .. } => {
                self.homes.remove(&call.0);
                self.sent.retain(|(_, of, _)| *of != call.0);
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
        steps in prop::collection::vec(step(), 1..120),
    ) {
        let router = router(policy, &regions);
        let (homes, sent) = (HashMap::new(), Vec::new());
        let mut model = Model { router, regions, homes, sent, now: 0 };
        for step in steps {
            model.now += 500;
            for event in model.events(step) {
                let gone = match &event {
                    Event::CallerDisconnected { call } => Some(call.0),
                    _ => None,
                };
                for action in model.router.on(model.now, event) {
                    model.check(action)?;
                }
                if let Some(call) = gone && !model.sent.iter().any(|(_, of, _)| *of == call) {
                    model.homes.remove(&call);
                }
            }
        }
    }

    #[test]
    fn the_subset_contains_targets_of_each_home_region(
        regions in prop::collection::vec(0..4_usize, 0..60),
        wanted in prop::collection::btree_set(0..4_usize, 0..4),
        size in 1..20_usize,
    ) {
        let candidates: Vec<Candidate> = regions.iter().enumerate().map(candidate).collect();
        let here = Location { host: "here", place: "p0", zone: "p0-1", region: "r0" };
        let names: Vec<String> = wanted.iter().map(|number| region(*number)).collect();
        let chosen = subset_with_homes(here, &candidates, size, &names);
        let plain = subset(here, &candidates, size);
        prop_assert_eq!(&chosen[..plain.len()], &plain[..], "the plain subset comes first");
        for number in wanted {
            let there = regions.iter().filter(|other| **other == number).count();
            let selected = chosen.iter().filter(|id| regions[id.0 as usize] == number).count();
            prop_assert!(selected >= there.min(size.div_ceil(2)), "{selected} of {there}");
        }
        let mut distinct = chosen.clone();
        distinct.sort_unstable();
        distinct.dedup();
        prop_assert_eq!(distinct.len(), chosen.len());
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
