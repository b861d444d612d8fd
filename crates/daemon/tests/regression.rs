//! One test for every fault that was found.

mod support;

use support::{Plan, answer, each_gets_its_own, odd_target, read_path};

/// The second answer on a connection was given to the next caller: connections
/// were used again at once, before the second answer could be noticed.
#[test]
fn a_target_that_answers_twice_confuses_nobody() {
    let target = odd_target(|mut stream, _| {
        while let Some(path) = read_path(&mut stream) {
            answer(&mut stream, &path);
            answer(&mut stream, "the second answer to somebody");
        }
    });
    let fleet = Plan::new("answers-twice").start_with_target(&target);
    for _ in 0..5 {
        each_gets_its_own(&fleet.workers[0].callers, "2000");
    }
}
