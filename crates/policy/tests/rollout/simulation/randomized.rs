//! Randomized scenarios of good and bad versions, with random disturbances of the daemons.

use lynxcleat_policy::Phase;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use super::{Defect, Disturbance, Simulation, Trigger};
use crate::SECOND;

fn draw_scenario(rng: &mut SmallRng) -> (Defect, Trigger, Disturbance) {
    let defect = match rng.random_range(0..5) {
        0..2 => Defect::None,
        2..4 => Defect::Fails(rng.random_range(0.1..0.7)),
        _ => Defect::Slow(rng.random_range(0.15..0.7), rng.random_range(3.0..8.0)),
    };
    let trigger = match rng.random_range(0..4) {
        0 => Trigger::Always,
        1 => Trigger::After(rng.random_range(0.1..0.7)),
        2 => Trigger::UnderLoad(rng.random_range(3..8)),
        _ => Trigger::OnRoute(rng.random_range(0..2)),
    };
    let store_outage = rng.random_bool(0.2).then(|| {
        let from = rng.random_range(1..6) * SECOND;
        (from, from + rng.random_range(1..6) * SECOND)
    });
    let disturbance = Disturbance {
        store_outage,
        partition: rng.random_bool(0.2),
        restarts: if rng.random_bool(0.3) { 3 } else { 0 },
        faulty_target: rng.random_bool(0.2).then(|| rng.random_range(0..20)),
    };
    (defect, trigger, disturbance)
}

#[test]
fn bad_versions_are_bounded_and_reverted_and_good_ones_complete() {
    let runs = 520;
    let (mut good, mut done, mut bad, mut reverted) = (0, 0, 0, 0);
    for seed in 0..runs {
        let mut rng = SmallRng::seed_from_u64(seed ^ 0x5eed);
        let (defect, trigger, disturbance) = draw_scenario(&mut rng);
        let simulation = Simulation::new(seed, defect, trigger, disturbance);
        let deadline = simulation.deadline;
        let result = simulation.run();
        let context = format!("seed {seed}: {defect:?} {trigger:?} {disturbance:?} {result:?}");
        match defect {
            Defect::None => {
                good += 1;
                done += usize::from(result.phase == Phase::Done && result.done_at <= deadline);
                assert_eq!(result.old_calls_after_done, 0, "{context}");
            }
            _ => {
                bad += 1;
                reverted += usize::from(result.phase == Phase::Reverted);
                assert!(
                    result.canary_calls <= result.allowed_canary_calls,
                    "{context}"
                );
                assert_eq!(result.late_canary_calls, 0, "{context}");
            }
        }
    }
    println!("good {good}, done in time {done}; bad {bad}, reverted {reverted}");
    assert_eq!(bad, reverted);
    assert!(
        done * 10 >= good * 9,
        "{done} of {good} good versions done in time"
    );
}
