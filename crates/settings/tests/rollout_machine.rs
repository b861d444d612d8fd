//! Model-based test of configuration generations at several daemons. Generations are offered
//! out of order, repeatedly, outdated, corrupted or conflicting, and daemons are replaced. The
//! active generation of a running daemon must never go back, and its content must be what was
//! accepted under its number.

use lynxcleat_settings::{Digest, Generation, Tree, digest};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use serde_json::json;

const DAEMONS: usize = 3;

/// The newest accepted number, and the number expected to be active at each daemon.
#[derive(Clone, Debug)]
struct Model {
    accepted: u64,
    active: [u64; DAEMONS],
}

#[derive(Clone, Debug)]
enum Step {
    Accept,
    /// A daemon is offered the accepted generation of this number, or the newest if there is none.
    Offer(usize, u64),
    /// Content that does not match its digest.
    Corrupted(u64),
    /// Different content under a number that was accepted.
    Conflicting(usize, u64),
    Replace(usize),
}

impl ReferenceStateMachine for Model {
    type State = Model;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Model> {
        Just(Model {
            accepted: 1,
            active: [0; DAEMONS],
        })
        .boxed()
    }

    fn transitions(_: &Model) -> BoxedStrategy<Step> {
        let daemon = 0..DAEMONS;
        let number = 1..8_u64;
        prop_oneof![
            2 => Just(Step::Accept),
            6 => (daemon.clone(), number.clone()).prop_map(|(d, n)| Step::Offer(d, n)),
            1 => number.clone().prop_map(Step::Corrupted),
            1 => (daemon.clone(), number).prop_map(|(d, n)| Step::Conflicting(d, n)),
            1 => daemon.prop_map(Step::Replace),
        ]
        .boxed()
    }

    fn apply(mut model: Model, step: &Step) -> Model {
        match step {
            Step::Accept => model.accepted += 1,
            Step::Offer(daemon, number) => {
                let offered = *number.min(&model.accepted);
                model.active[*daemon] = model.active[*daemon].max(offered);
            }
            // A conflict is only detected by a daemon that holds a generation of that number.
            Step::Corrupted(..) | Step::Conflicting(..) => {}
            Step::Replace(daemon) => model.active[*daemon] = 0,
        }
        model
    }
}

#[derive(Default)]
struct Daemons {
    accepted: u64,
    active: [Option<Generation>; DAEMONS],
}

/// A settings tree for a generation; the accepted ones have a `hold_limit` of 1.
fn tree(number: u64, hold_limit: u64) -> Tree {
    let settings = json!({"settings": {"slots": number, "hold_limit": hold_limit}});
    Tree::from_json(&settings).expect("valid settings")
}

fn generation(number: u64, hold_limit: u64) -> Generation {
    let (text, digest) = digest(&tree(number, hold_limit));
    Generation::check(number, digest, text).expect("content matches its digest")
}

impl Daemons {
    fn offer(&mut self, daemon: usize, generation: Generation) {
        let slot = &mut self.active[daemon];
        if generation.supersedes(slot.as_ref()) == Ok(true) {
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
            Step::Corrupted(number) => {
                let (text, _) = digest(&tree(number, 1));
                let other = Digest::of(b"other content");
                assert!(Generation::check(number, other, text).is_err());
            }
            Step::Conflicting(daemon, number) => {
                // Only offered where its number or a later one is active, so it must be rejected.
                let active = daemons.active[daemon].as_ref().map(|g| g.number);
                if active >= Some(number) {
                    daemons.offer(daemon, generation(number, 2));
                }
            }
            Step::Replace(daemon) => daemons.active[daemon] = None,
        }
        daemons
    }

    fn check_invariants(daemons: &Daemons, model: &Model) {
        for (active, expected) in daemons.active.iter().zip(model.active) {
            let number = active.as_ref().map_or(0, |g| g.number);
            assert_eq!(number, expected);
            if let Some(generation) = active {
                assert_eq!(
                    generation.tree,
                    tree(expected, 1),
                    "content differs from the accepted generation"
                );
            }
        }
    }
}

prop_state_machine! {
    #![proptest_config(Config { rng_seed: RngSeed::Fixed(13), cases: 500, failure_persistence: None, ..Config::default() })]

    #[test]
    fn active_generations_never_go_back_and_are_as_accepted(sequential 1..60 => Daemons);
}
