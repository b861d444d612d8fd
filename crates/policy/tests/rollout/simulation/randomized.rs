//! Drawn versions, good and bad, with drawn trouble among the daemons.

use lynxcleat_policy::Phase;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use super::{Badness, Shows, Trouble, World};
use crate::SECOND;

fn draw(rng: &mut SmallRng) -> (Badness, Shows, Trouble) {
    let badness = match rng.random_range(0..5) {
        0..2 => Badness::Nothing,
        2..4 => Badness::Fails(rng.random_range(0.1..0.7)),
        _ => Badness::Slow(rng.random_range(0.15..0.7), rng.random_range(3.0..8.0)),
    };
    let shows = match rng.random_range(0..4) {
        0 => Shows::Always,
        1 => Shows::From(rng.random_range(0.1..0.7)),
        2 => Shows::UnderLoad(rng.random_range(3..8)),
        _ => Shows::OnRoute(rng.random_range(0..2)),
    };
    let silent = rng.random_bool(0.2).then(|| {
        let from = rng.random_range(1..6) * SECOND;
        (from, from + rng.random_range(1..6) * SECOND)
    });
    let trouble = Trouble {
        store_silent: silent,
        cut: rng.random_bool(0.2),
        restarts: if rng.random_bool(0.3) { 3 } else { 0 },
        grey: rng.random_bool(0.2).then(|| rng.random_range(0..20)),
    };
    (badness, shows, trouble)
}

#[test]
fn a_bad_version_is_bounded_and_reverted_and_a_good_one_gets_all_calls() {
    let runs = 520;
    let (mut good, mut done, mut bad, mut reverted) = (0, 0, 0, 0);
    for seed in 0..runs {
        let mut rng = SmallRng::seed_from_u64(seed ^ 0x5eed);
        let (badness, shows, trouble) = draw(&mut rng);
        let world = World::new(seed, badness, shows, trouble);
        let deadline = world.deadline;
        let end = world.run();
        let told = format!("seed {seed}: {badness:?} {shows:?} {trouble:?} {end:?}");
        match badness {
            Badness::Nothing => {
                good += 1;
                done += usize::from(end.phase == Phase::Done && end.at <= deadline);
                assert_eq!(end.old_after_done, 0, "{told}");
            }
            _ => {
                bad += 1;
                reverted += usize::from(end.phase == Phase::Reverted);
                assert!(end.exposed <= end.allowed, "{told}");
                assert_eq!(end.late, 0, "{told}");
            }
        }
    }
    println!("good {good}, done in time {done}; bad {bad}, reverted {reverted}");
    assert_eq!(bad, reverted);
    assert!(
        done * 10 >= good * 9,
        "{done} of {good} good ones done in time"
    );
}
