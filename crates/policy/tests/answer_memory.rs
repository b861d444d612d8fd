//! All answers together stay within the bound, and whoever waits for memory goes on.

use std::collections::HashMap;

use lynxcleat_policy::{AnswerMemory, AnswerMemoryLimits};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

const LARGEST: u64 = 1 << 20;
const ANSWERS: u64 = 12;
const LIMITS: AnswerMemoryLimits = AnswerMemoryLimits {
    total_bytes: 4 << 20,
    answer_bytes: LARGEST,
    answers: ANSWERS,
};

/// What an answer holds and waits for, as its reader knows it.
#[derive(Clone, Copy, Debug, Default)]
struct Reader {
    held: u64,
    waits_for: Option<u64>,
}

type Readers = HashMap<u64, Reader>;

fn grow(memory: &mut AnswerMemory, readers: &mut Readers, answer: u64, bytes: u64) {
    let reader = readers.entry(answer).or_default();
    let bytes = bytes.min(LARGEST - reader.held);
    if reader.waits_for.is_some() {
        return;
    }
    match memory.grow(answer, bytes) {
        true => reader.held += bytes,
        false => reader.waits_for = Some(bytes),
    }
}

fn take_grants(memory: &mut AnswerMemory, readers: &mut Readers) -> Vec<u64> {
    let mut granted = Vec::new();
    while let Some(answer) = memory.next_grant() {
        let reader = readers.get_mut(&answer).expect("an answer that is read");
        reader.held += reader.waits_for.take().expect("an answer that waits");
        granted.push(answer);
    }
    granted
}

proptest! {
    #![proptest_config(Config { rng_seed: RngSeed::Fixed(67), cases: 600, failure_persistence: None, ..Config::default() })]

    /// For any order of growing, giving up and ending, under limits that are wide or as tight as
    /// one answer: all stay within the bound, nobody waits within the allowance, somebody always
    /// reads on, and all answers come to their end.
    #[test]
    fn answers_stay_within_the_bound_and_all_end(
        total in (LARGEST..6 * LARGEST),
        steps in prop::collection::vec((0..8_u8, 0..ANSWERS, 0..2 * LARGEST), 1..300),
    ) {
        let limits = AnswerMemoryLimits { total_bytes: total, ..LIMITS };
        let mut memory = AnswerMemory::new(limits);
        let mut readers = Readers::new();
        for (kind, answer, drawn) in steps {
            match kind {
                0 => {
                    memory.remove(answer);
                    readers.remove(&answer);
                }
                1 => {
                    memory.cancel(answer);
                    readers.entry(answer).or_default().waits_for = None;
                }
                2 => grow(&mut memory, &mut readers, answer, drawn),
                _ => grow(&mut memory, &mut readers, answer, drawn % (200 << 10)),
            }
            take_grants(&mut memory, &mut readers);
            let held: u64 = readers.values().map(|reader| reader.held).sum();
            prop_assert_eq!(memory.held_bytes(), held);
            prop_assert!(held <= limits.bound_bytes());
            let allowance = limits.allowance_bytes();
            for reader in readers.values() {
                let wanted = reader.held + reader.waits_for.unwrap_or(0);
                prop_assert!(reader.waits_for.is_none() || wanted > allowance);
            }
            let waiting = readers.values().filter(|reader| reader.waits_for.is_some()).count();
            prop_assert_eq!(memory.waiting(), waiting);
            prop_assert!(waiting == 0 || waiting < readers.len());
        }
        // Those that do not wait end, each in turn; then all have ended.
        while !readers.is_empty() {
            let reads = readers.iter().find(|(_, reader)| reader.waits_for.is_none());
            let answer = *reads.expect("one that reads on").0;
            memory.remove(answer);
            readers.remove(&answer);
            take_grants(&mut memory, &mut readers);
        }
        prop_assert_eq!(memory.held_bytes(), 0);
    }
}

#[test]
fn the_bound_is_the_total_where_allowances_fit_into_it() {
    assert_eq!(LIMITS.allowance_bytes(), 64 << 10);
    assert_eq!(LIMITS.bound_bytes(), LIMITS.total_bytes);
    let tight = AnswerMemoryLimits {
        total_bytes: LARGEST + ANSWERS * (10 << 10),
        ..LIMITS
    };
    assert_eq!(tight.allowance_bytes(), 10 << 10);
    assert_eq!(tight.bound_bytes(), tight.total_bytes);
}

/// Answers that hold whole pieces until the pool is full and the reserve taken.
fn full() -> (AnswerMemory, u64) {
    let mut memory = AnswerMemory::new(LIMITS);
    let mut answer = 0;
    while memory.grow(answer, LARGEST) {
        answer += 1;
    }
    (memory, answer)
}

#[test]
fn a_small_answer_does_not_wait_for_large_ones() {
    let (mut memory, waiting) = full();
    assert!(memory.grow(waiting + 1, LIMITS.allowance_bytes()));
    assert!(!memory.grow(waiting + 1, 1));
}

#[test]
fn answers_that_wait_go_on_in_the_order_in_which_they_asked() {
    let (mut memory, waiting) = full();
    assert!(!memory.grow(waiting + 1, LARGEST));
    assert_eq!(memory.next_grant(), None);
    memory.remove(waiting - 1);
    assert_eq!(memory.next_grant(), Some(waiting));
    assert_eq!(memory.next_grant(), None);
    memory.remove(waiting);
    assert_eq!(memory.next_grant(), Some(waiting + 1));
}

#[test]
fn partly_read_answers_that_fill_the_pool_are_read_to_their_end_in_turn() {
    let mut memory = AnswerMemory::new(LIMITS);
    let mut held = [0; ANSWERS as usize];
    let step = 16 << 10;
    let mut waits = [false; ANSWERS as usize];
    let mut ended = 0;
    while ended < ANSWERS {
        for answer in 0..ANSWERS {
            let (held, waits) = (&mut held[answer as usize], &mut waits[answer as usize]);
            if *waits || *held == LARGEST {
                continue;
            }
            match memory.grow(answer, step) {
                true => *held += step,
                false => *waits = true,
            }
            if *held == LARGEST {
                memory.remove(answer);
                ended += 1;
            }
        }
        while let Some(answer) = memory.next_grant() {
            held[answer as usize] += step;
            waits[answer as usize] = false;
            if held[answer as usize] == LARGEST {
                memory.remove(answer);
                ended += 1;
            }
        }
        assert!(memory.held_bytes() <= LIMITS.total_bytes);
    }
    assert_eq!(memory.held_bytes(), 0);
}

#[test]
fn an_answer_that_gives_up_waiting_lets_the_next_go_on() {
    let (mut memory, waiting) = full();
    let small = LIMITS.allowance_bytes() + 1;
    assert!(!memory.grow(waiting + 1, small));
    memory.cancel(waiting);
    memory.remove(0);
    assert_eq!(memory.next_grant(), Some(waiting + 1));
    assert_eq!(memory.waiting(), 0);
}

#[test]
fn answers_that_wait_go_on_when_the_bound_is_raised() {
    let (mut memory, waiting) = full();
    memory.set_limits(AnswerMemoryLimits {
        total_bytes: 16 << 20,
        ..LIMITS
    });
    assert_eq!(memory.next_grant(), Some(waiting));
}

/// Answers that wait to be written, beside those that are read: more than are read at a time.
const HELD_ANSWERS: u64 = 6 * ANSWERS;

proptest! {
    #![proptest_config(Config { rng_seed: RngSeed::Fixed(69), cases: 300, failure_persistence: None, ..Config::default() })]

    /// For any order of growing, giving up and ending of more answers than can be read at a time:
    /// all stay within the bound, and all come to their end.
    #[test]
    fn answers_that_wait_to_be_written_stay_within_the_bound_and_all_end(
        total in (LARGEST + ANSWERS * (4 << 10)..6 * LARGEST),
        steps in prop::collection::vec((0..8_u8, 0..HELD_ANSWERS, 0..2 * LARGEST), 1..600),
    ) {
        let limits = AnswerMemoryLimits { total_bytes: total, ..LIMITS };
        let mut memory = AnswerMemory::new(limits);
        let mut readers = Readers::new();
        for (kind, answer, drawn) in steps {
            match kind {
                0 => {
                    memory.remove(answer);
                    readers.remove(&answer);
                }
                1 => {
                    memory.cancel(answer);
                    readers.entry(answer).or_default().waits_for = None;
                }
                2 => grow(&mut memory, &mut readers, answer, drawn),
                _ => grow(&mut memory, &mut readers, answer, drawn % (200 << 10)),
            }
            take_grants(&mut memory, &mut readers);
            prop_assert!(memory.held_bytes() <= limits.total_bytes);
            let waiting = memory.waiting();
            prop_assert!(waiting == 0 || waiting < readers.len());
        }
        while !readers.is_empty() {
            let held = readers.iter().find(|(_, reader)| reader.waits_for.is_none());
            let answer = *held.expect("one that goes on").0;
            memory.remove(answer);
            readers.remove(&answer);
            take_grants(&mut memory, &mut readers);
        }
        prop_assert_eq!(memory.held_bytes(), 0);
    }
}

#[test]
fn small_answers_that_nobody_takes_stay_within_their_allowances() {
    let mut memory = AnswerMemory::new(LIMITS);
    let mut answer = 0;
    while memory.grow(answer, LIMITS.allowance_bytes()) {
        answer += 1;
        assert!(answer <= LIMITS.total_bytes / LIMITS.allowance_bytes());
    }
    assert!(answer >= ANSWERS);
    assert!(memory.held_bytes() <= LIMITS.total_bytes);
    memory.remove(0);
    assert_eq!(memory.next_grant(), Some(answer));
}

#[test]
fn a_small_answer_goes_on_before_large_ones_that_wait() {
    let mut memory = AnswerMemory::new(LIMITS);
    let small = LIMITS.allowance_bytes();
    let mut answer = 0;
    while memory.grow(answer, small) {
        answer += 1;
    }
    assert!(!memory.grow(answer + 1, LARGEST));
    assert!(!memory.grow(answer + 2, small));
    memory.remove(0);
    assert_eq!(memory.next_grant(), Some(answer));
    memory.remove(1);
    assert_eq!(memory.next_grant(), Some(answer + 2));
}
