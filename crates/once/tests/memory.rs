//! Bounds of the memories: what is full refuses, and nothing is forgotten early.

use lynxcleat_once::{
    Admission, Begin, Fence, FenceLimits, FenceReply, Guard, GuardLimits, GuardRefusal,
    Incarnation, OpId, Operation, Outcome, RefusedOnce,
};

const ME: Incarnation = Incarnation(1);

fn guard(entries: usize, bytes: usize) -> Guard<u32> {
    let limits = GuardLimits {
        retention_ms: 1_000,
        entries,
        bytes,
    };
    Guard::new(ME, "here".to_owned(), limits)
}

fn fence(entries: usize) -> Fence<u32> {
    let limits = FenceLimits {
        retention_ms: 1_000,
        skew_ms: 10,
        entries,
        bytes: 100,
    };
    Fence::new(0, limits)
}

fn operation(seq: u64, minted_ms: u64) -> Operation {
    let op = OpId {
        incarnation: ME,
        seq,
    };
    Operation {
        op,
        minted_ms: Some(minted_ms),
        keep_ms: 1_000,
    }
}

#[test]
fn a_full_guard_refuses_new_operations_and_keeps_old_ones() {
    let mut guard = guard(2, 100);
    let tickets: Vec<_> = (0..3).map(|_| guard.mint(50)).collect();
    assert_eq!(guard.begin(60, &tickets[0]), Begin::Run);
    guard.finished(tickets[0].op, Outcome::Ran(5), 4);
    assert_eq!(guard.begin(60, &tickets[1]), Begin::Run);
    let refused = Begin::Refused(GuardRefusal::MemoryFull);
    assert_eq!(guard.begin(60, &tickets[2]), refused);
    assert_eq!(guard.begin(60, &tickets[0]), Begin::Ran(5));
    assert_eq!(guard.begin(60, &tickets[1]), Begin::Running);
}

#[test]
fn bytes_of_answers_are_bounded_too() {
    let mut guard = guard(100, 10);
    let first = guard.mint(50);
    let second = guard.mint(50);
    assert_eq!(guard.begin(60, &first), Begin::Run);
    guard.finished(first.op, Outcome::Ran(1), 10);
    let refused = Begin::Refused(GuardRefusal::MemoryFull);
    assert_eq!(guard.begin(60, &second), refused);
}

#[test]
fn an_expired_ticket_is_never_run_again() {
    let mut guard = guard(2, 100);
    let ticket = guard.mint(50);
    assert_eq!(guard.begin(60, &ticket), Begin::Run);
    guard.finished(ticket.op, Outcome::Ran(5), 4);
    assert_eq!(guard.begin(1_050, &ticket), Begin::Ran(5));
    assert_eq!(guard.begin(1_051, &ticket), Begin::Unknown);
    assert!(guard.is_empty(), "its record was dropped");
}

#[test]
fn an_operation_that_still_runs_is_not_forgotten() {
    let mut guard = guard(2, 100);
    let ticket = guard.mint(50);
    assert_eq!(guard.begin(60, &ticket), Begin::Run);
    assert_eq!(guard.begin(99_000, &ticket), Begin::Running);
}

#[test]
fn an_operation_that_was_not_run_may_be_run_by_the_same_ticket() {
    let mut guard = guard(2, 100);
    let ticket = guard.mint(50);
    assert_eq!(guard.begin(60, &ticket), Begin::Run);
    guard.finished(ticket.op, Outcome::NotRun, 0);
    assert_eq!(guard.begin(70, &ticket), Begin::Run);
}

#[test]
fn a_full_half_refuses_and_cannot_vouch() {
    let mut fence = fence(1);
    assert_eq!(fence.admit(50, operation(1, 50)), Admission::Pass);
    let full = Admission::Refused(RefusedOnce::MemoryFull);
    assert_eq!(fence.admit(50, operation(2, 50)), full);
    assert_eq!(fence.fence(50, operation(2, 50)), FenceReply::Unknown);
}

#[test]
fn a_half_forgets_only_what_it_no_longer_admits() {
    let mut fence = fence(10);
    assert_eq!(fence.admit(50, operation(1, 50)), Admission::Pass);
    assert!(fence.deliver(operation(1, 50).op));
    fence.ran(operation(1, 50).op, 5, 1);
    let duplicate = Admission::Refused(RefusedOnce::Duplicate);
    assert_eq!(fence.admit(1_050, operation(1, 50)), duplicate);
    let outside = Admission::Refused(RefusedOnce::OutsideMemory);
    assert_eq!(fence.admit(1_071, operation(1, 50)), outside);
    assert!(fence.is_empty());
}

#[test]
fn a_half_refuses_tickets_from_before_its_start() {
    let limits = FenceLimits {
        retention_ms: 1_000,
        skew_ms: 10,
        entries: 10,
        bytes: 100,
    };
    let mut fence: Fence<u32> = Fence::new(500, limits);
    let outside = Admission::Refused(RefusedOnce::OutsideMemory);
    assert_eq!(fence.admit(600, operation(1, 505)), outside);
    assert_eq!(fence.admit(600, operation(2, 510)), Admission::Pass);
    let reply = fence.fence(600, operation(3, 505));
    assert_eq!(reply, FenceReply::NeverSinceStart);
}

#[test]
fn a_guard_that_forgets_an_answer_knows_that_its_operation_ran() {
    let mut guard = guard(100, 10);
    let tickets: Vec<_> = (0..3).map(|_| guard.mint(50)).collect();
    for (ticket, answer) in tickets.iter().zip([4, 5]) {
        assert_eq!(guard.begin(60, ticket), Begin::Run);
        guard.finished(ticket.op, Outcome::Ran(answer), 5);
    }
    let full = Begin::Refused(GuardRefusal::MemoryFull);
    assert_eq!(guard.begin(60, &tickets[2]), full);
    guard.forget_answers(|answer| *answer == 5);
    assert_eq!(guard.begin(60, &tickets[0]), Begin::Unknown);
    assert_eq!(guard.begin(60, &tickets[1]), Begin::Ran(5));
    assert_eq!(guard.begin(60, &tickets[2]), Begin::Run, "there is room");
}

#[test]
fn a_half_that_forgets_an_answer_runs_its_operation_no_more() {
    let mut fence = fence(10);
    let operations: Vec<_> = (1..3).map(|seq| operation(seq, 50)).collect();
    for (operation, answer) in operations.iter().zip([4, 5]) {
        assert_eq!(fence.admit(60, *operation), Admission::Pass);
        assert!(fence.deliver(operation.op));
        fence.ran(operation.op, answer, 50);
    }
    let full = Admission::Refused(RefusedOnce::MemoryFull);
    assert_eq!(fence.admit(60, operation(3, 50)), full);
    fence.forget_answers(|answer| *answer == 5);
    let again = Admission::Refused(RefusedOnce::Duplicate);
    assert_eq!(fence.admit(60, operations[0]), again);
    assert_eq!(fence.fence(60, operations[0]), FenceReply::Unknown);
    assert_eq!(fence.fence(60, operations[1]), FenceReply::Ran(5));
    assert_eq!(fence.admit(60, operation(3, 50)), Admission::Pass);
}
