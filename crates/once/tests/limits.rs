//! Limits and expiry of guards and fences: a full one refuses new operations, and no
//! record is removed early.

use lynxcleat_once::{
    Admission, BeginResult, Fence, FenceLimits, FenceRefusal, FenceReply, Guard, GuardLimits,
    GuardRefusal, Incarnation, OpId, Operation, Outcome,
};

const INCARNATION: Incarnation = Incarnation(1);

fn guard(entries: usize, bytes: usize) -> Guard<u32> {
    let limits = GuardLimits {
        retention_ms: 1_000,
        entries,
        bytes,
    };
    Guard::new(INCARNATION, "here".to_owned(), limits)
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
        incarnation: INCARNATION,
        seq,
    };
    Operation {
        op,
        minted_ms: Some(minted_ms),
        validity_ms: 1_000,
    }
}

#[test]
fn a_full_guard_refuses_new_operations_and_keeps_its_records() {
    let mut guard = guard(2, 100);
    let tickets: Vec<_> = (0..3).map(|_| guard.mint(50)).collect();
    assert_eq!(guard.begin(60, &tickets[0]), BeginResult::Run);
    guard.finished(tickets[0].op, Outcome::Ran(5), 4);
    assert_eq!(guard.begin(60, &tickets[1]), BeginResult::Run);
    let refused = BeginResult::Refused(GuardRefusal::MemoryFull);
    assert_eq!(guard.begin(60, &tickets[2]), refused);
    assert_eq!(guard.begin(60, &tickets[0]), BeginResult::Ran(5));
    assert_eq!(guard.begin(60, &tickets[1]), BeginResult::Running);
}

#[test]
fn a_guard_limits_the_total_size_of_stored_answers() {
    let mut guard = guard(100, 10);
    let first = guard.mint(50);
    let second = guard.mint(50);
    assert_eq!(guard.begin(60, &first), BeginResult::Run);
    guard.finished(first.op, Outcome::Ran(1), 10);
    let refused = BeginResult::Refused(GuardRefusal::MemoryFull);
    assert_eq!(guard.begin(60, &second), refused);
}

#[test]
fn an_expired_ticket_is_never_run_again() {
    let mut guard = guard(2, 100);
    let ticket = guard.mint(50);
    assert_eq!(guard.begin(60, &ticket), BeginResult::Run);
    guard.finished(ticket.op, Outcome::Ran(5), 4);
    assert_eq!(guard.begin(1_050, &ticket), BeginResult::Ran(5));
    assert_eq!(guard.begin(1_051, &ticket), BeginResult::Unknown);
    assert!(guard.is_empty(), "the record has expired");
}

#[test]
fn the_record_of_a_running_operation_does_not_expire() {
    let mut guard = guard(2, 100);
    let ticket = guard.mint(50);
    assert_eq!(guard.begin(60, &ticket), BeginResult::Run);
    assert_eq!(guard.begin(99_000, &ticket), BeginResult::Running);
}

#[test]
fn an_operation_that_was_not_run_may_run_with_the_same_ticket() {
    let mut guard = guard(2, 100);
    let ticket = guard.mint(50);
    assert_eq!(guard.begin(60, &ticket), BeginResult::Run);
    guard.finished(ticket.op, Outcome::NotRun, 0);
    assert_eq!(guard.begin(70, &ticket), BeginResult::Run);
}

#[test]
fn a_full_fence_refuses_and_cannot_fence() {
    let mut fence = fence(1);
    assert_eq!(fence.admit(50, operation(1, 50)), Admission::Admitted);
    let full = Admission::Refused(FenceRefusal::MemoryFull);
    assert_eq!(fence.admit(50, operation(2, 50)), full);
    assert_eq!(fence.fence(50, operation(2, 50)), FenceReply::Unknown);
}

#[test]
fn a_fence_removes_only_records_of_tickets_that_it_no_longer_admits() {
    let mut fence = fence(10);
    assert_eq!(fence.admit(50, operation(1, 50)), Admission::Admitted);
    assert!(fence.deliver(operation(1, 50).op));
    fence.ran(operation(1, 50).op, 5, 1);
    let duplicate = Admission::Refused(FenceRefusal::Duplicate);
    assert_eq!(fence.admit(1_050, operation(1, 50)), duplicate);
    let outside = Admission::Refused(FenceRefusal::OutsideMemory);
    assert_eq!(fence.admit(1_071, operation(1, 50)), outside);
    assert!(fence.is_empty());
}

#[test]
fn a_fence_refuses_tickets_minted_before_its_start() {
    let limits = FenceLimits {
        retention_ms: 1_000,
        skew_ms: 10,
        entries: 10,
        bytes: 100,
    };
    let mut fence: Fence<u32> = Fence::new(500, limits);
    let outside = Admission::Refused(FenceRefusal::OutsideMemory);
    assert_eq!(fence.admit(600, operation(1, 505)), outside);
    assert_eq!(fence.admit(600, operation(2, 510)), Admission::Admitted);
    let reply = fence.fence(600, operation(3, 505));
    assert_eq!(reply, FenceReply::NeverSinceStart);
}

#[test]
fn a_guard_without_the_answer_does_not_run_the_operation_again() {
    let mut guard = guard(100, 10);
    let tickets: Vec<_> = (0..3).map(|_| guard.mint(50)).collect();
    for (ticket, answer) in tickets.iter().zip([4, 5]) {
        assert_eq!(guard.begin(60, ticket), BeginResult::Run);
        guard.finished(ticket.op, Outcome::Ran(answer), 5);
    }
    let full = BeginResult::Refused(GuardRefusal::MemoryFull);
    assert_eq!(guard.begin(60, &tickets[2]), full);
    guard.forget_answers(|answer| *answer == 5);
    assert_eq!(guard.begin(60, &tickets[0]), BeginResult::Unknown);
    assert_eq!(guard.begin(60, &tickets[1]), BeginResult::Ran(5));
    assert_eq!(
        guard.begin(60, &tickets[2]),
        BeginResult::Run,
        "dropping the answer freed its space"
    );
}

#[test]
fn a_fence_without_the_answer_does_not_admit_the_operation_again() {
    let mut fence = fence(10);
    let operations: Vec<_> = (1..3).map(|seq| operation(seq, 50)).collect();
    for (operation, answer) in operations.iter().zip([4, 5]) {
        assert_eq!(fence.admit(60, *operation), Admission::Admitted);
        assert!(fence.deliver(operation.op));
        fence.ran(operation.op, answer, 50);
    }
    let full = Admission::Refused(FenceRefusal::MemoryFull);
    assert_eq!(fence.admit(60, operation(3, 50)), full);
    fence.forget_answers(|answer| *answer == 5);
    let again = Admission::Refused(FenceRefusal::Duplicate);
    assert_eq!(fence.admit(60, operations[0]), again);
    assert_eq!(fence.fence(60, operations[0]), FenceReply::Unknown);
    assert_eq!(fence.fence(60, operations[1]), FenceReply::Ran(5));
    assert_eq!(fence.admit(60, operation(3, 50)), Admission::Admitted);
}
