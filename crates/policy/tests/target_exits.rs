//! Calls that were lost under one exit of a target count as one.

use lynxcleat_policy::{FoundExit, TargetExitId, TargetExits};

const FIRST: TargetExitId = TargetExitId(1);
const SECOND: TargetExitId = TargetExitId(2);

fn known(id: TargetExitId) -> FoundExit {
    FoundExit { id, is_new: false }
}

fn new(id: TargetExitId) -> FoundExit {
    FoundExit { id, is_new: true }
}

/// Two calls were in hand when the target exited, and it listened again before the second loss
/// was noticed.
#[test]
fn a_loss_that_is_noticed_after_the_return_counts_as_a_second_exit() {
    let mut exits = TargetExits::default();
    assert_eq!(exits.on_lost(10, 100, FIRST), new(FIRST));
    exits.on_connected();
    assert_eq!(exits.known_since(20), Some(known(FIRST)));
    assert_eq!(exits.on_lost(20, 160, SECOND), known(FIRST));
}

/// The target took a last connection while it exited, between two losses.
#[test]
fn a_connection_that_an_exiting_target_takes_splits_its_exit() {
    let mut exits = TargetExits::default();
    assert_eq!(exits.on_lost(90, 100, FIRST), new(FIRST));
    exits.on_connected();
    assert_eq!(exits.on_lost(95, 101, SECOND), known(FIRST));
}

/// A connection that was opened after an exit was noticed did not end with it.
#[test]
fn a_further_exit_is_taken_for_the_one_before() {
    let mut exits = TargetExits::default();
    assert_eq!(exits.on_lost(10, 100, FIRST), new(FIRST));
    exits.on_connected();
    assert_eq!(exits.known_since(101), None);
    assert_eq!(exits.on_lost(150, 200, SECOND), new(SECOND));
    assert_eq!(exits.known_since(150), Some(known(SECOND)));
}

/// The target takes a connection without being able to serve it, and is gone all the same.
#[test]
fn calls_that_begin_while_the_target_is_gone_count_as_exits_of_their_own() {
    let mut exits = TargetExits::default();
    assert_eq!(exits.on_lost(10, 100, FIRST), new(FIRST));
    assert_eq!(exits.on_lost(120, 130, SECOND), known(FIRST));
}

#[test]
fn a_loss_at_a_target_that_never_exited_is_attributed() {
    assert_eq!(TargetExits::default().known_since(0), None);
}
