//! Plans: a seed repeats its faults, and they fit into the time.

use std::time::Duration;

use lynxcleat_soak::{Fault, Plan};

const TIME: Duration = Duration::from_secs(20);

#[test]
fn a_seed_makes_the_same_plan_again_and_another_seed_another() {
    assert_eq!(Plan::new(7, 6, TIME), Plan::new(7, 6, TIME));
    assert_ne!(Plan::new(7, 6, TIME).steps, Plan::new(8, 6, TIME).steps);
}

#[test]
fn faults_end_within_the_time_and_overlap() {
    let mut overlapping = 0;
    for seed in 0..50 {
        let plan = Plan::new(seed, 6, TIME);
        let ends: Vec<Duration> = plan.steps.iter().map(|step| step.at + step.lasts).collect();
        assert!(ends.iter().all(|end| *end <= TIME));
        overlapping += plan
            .steps
            .windows(2)
            .filter(|pair| pair[1].at < pair[0].at + pair[0].lasts)
            .count();
    }
    assert!(overlapping > 500, "{overlapping}");
}

#[test]
fn every_kind_of_fault_comes_within_fifty_seeds() {
    let mut kinds = std::collections::BTreeSet::new();
    for seed in 0..50 {
        for step in Plan::new(seed, 6, TIME).steps {
            kinds.insert(match step.fault {
                Fault::Target { trouble, .. } => format!("{trouble:?}"),
                Fault::Stutters { stutter, .. } => format!("stutter {stutter:?}"),
                Fault::Platform { trouble } => format!("platform {trouble:?}"),
                Fault::PlatformLink { mode, .. } => format!("platform link {mode:?}"),
                Fault::MeshLink { mode, .. } => format!("mesh link {mode:?}"),
                other => format!("{other:?}"),
            });
        }
    }
    let kinds: std::collections::BTreeSet<String> = kinds
        .into_iter()
        .map(|kind| kind.split(['(', '{']).next().unwrap_or_default().to_owned())
        .collect();
    assert_eq!(kinds.len(), 8 + 6 + 4 + 5 + 5 + 7, "{kinds:?}");
}
