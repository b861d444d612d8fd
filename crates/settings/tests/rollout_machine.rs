//! Stateful fuzz of generations at several daemons against a plain model: offers come
//! in any order, twice, old, damaged or contradicting, and daemons are replaced. What
//! is in force at a daemon only rises and is always what was accepted.

use lynxcleat_settings::{Digest, Generation, Tree, digest};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use serde_json::json;

const DAEMONS: usize = 3;

/// What was accepted, and the number each daemon should have in force.
#[derive(Clone, Debug)]
struct Model {
    accepted: u64,
    in_force: [u64; DAEMONS],
}

#[derive(Clone, Debug)]
enum Step {
    Accept,
    /// The accepted generation of this number, or the newest, reaches a daemon.
    Offer(usize, u64),
    /// Content that is not what the digest says.
    Damaged(u64),
    /// Other content under a number that was accepted.
    Contradicting(usize, u64),
    Replace(usize),
}

impl ReferenceStateMachine for Model {
    type State = Model;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Model> {
        Just(Model {
            accepted: 1,
            in_force: [0; DAEMONS],
        })
        .boxed()
    }

    fn transitions(_: &Model) -> BoxedStrategy<Step> {
        let daemon = 0..DAEMONS;
        let number = 1..8_u64;
        prop_oneof![
            2 => Just(Step::Accept),
            6 => (daemon.clone(), number.clone()).prop_map(|(d, n)| Step::Offer(d, n)),
            1 => number.clone().prop_map(Step::Damaged),
            1 => (daemon.clone(), number).prop_map(|(d, n)| Step::Contradicting(d, n)),
            1 => daemon.prop_map(Step::Replace),
        ]
        .boxed()
    }

    fn apply(mut model: Model, step: &Step) -> Model {
        match step {
            Step::Accept => model.accepted += 1,
            Step::Offer(daemon, number) => {
                let offered = *number.min(&model.accepted);
                model.in_force[*daemon] = model.in_force[*daemon].max(offered);
            }
            // A contradicting one is told apart only from the one it contradicts.
            Step::Damaged(..) | Step::Contradicting(..) => {}
            Step::Replace(daemon) => model.in_force[*daemon] = 0,
        }
        model
    }
}

#[derive(Default)]
struct Daemons {
    accepted: u64,
    in_force: [Option<Generation>; DAEMONS],
}

/// The tree accepted under a number.
fn tree(number: u64, hold_limit: u64) -> Tree {
    let settings = json!({"settings": {"slots": number, "hold_limit": hold_limit}});
    Tree::from_json(&settings).expect("a good tree")
}

fn generation(number: u64, hold_limit: u64) -> Generation {
    let (text, digest) = digest(&tree(number, hold_limit));
    Generation::check(number, digest, text).expect("good content")
}

impl Daemons {
    fn offer(&mut self, daemon: usize, generation: Generation) {
        let slot = &mut self.in_force[daemon];
        if generation.succeeds(slot.as_ref()) == Ok(true) {
            *slot = Some(generation);
        }
    }
}

impl StateMachineTest for Daemons {
    type SystemUnderTest = Daemons;
    type Reference = Model;

    fn init_test(model: &Model) -> Daemons {
        Daemons {
            accepted: model.accepted,
            ..Daemons::default()
        }
    }

    fn apply(mut daemons: Daemons, _: &Model, step: Step) -> Daemons {
        match step {
            Step::Accept => daemons.accepted += 1,
            Step::Offer(daemon, number) => {
                let number = number.min(daemons.accepted);
                daemons.offer(daemon, generation(number, 1));
            }
            Step::Damaged(number) => {
                let (text, _) = digest(&tree(number, 1));
                let other = Digest::of(b"other content");
                assert!(Generation::check(number, other, text).is_err());
            }
            Step::Contradicting(daemon, number) => {
                // Offered only where its number is in force already: it must lose.
                let has = daemons.in_force[daemon].as_ref().map(|g| g.number);
                if has >= Some(number) {
                    daemons.offer(daemon, generation(number, 2));
                }
            }
            Step::Replace(daemon) => daemons.in_force[daemon] = None,
        }
        daemons
    }

    fn check_invariants(daemons: &Daemons, model: &Model) {
        for (in_force, expected) in daemons.in_force.iter().zip(model.in_force) {
            let number = in_force.as_ref().map_or(0, |g| g.number);
            assert_eq!(number, expected);
            if let Some(generation) = in_force {
                assert_eq!(generation.tree, tree(expected, 1), "not what was accepted");
            }
        }
    }
}

prop_state_machine! {
    #![proptest_config(Config { rng_seed: RngSeed::Fixed(13), cases: 500, failure_persistence: None, ..Config::default() })]

    #[test]
    fn what_is_in_force_only_rises_and_is_what_was_accepted(sequential 1..60 => Daemons);
}
