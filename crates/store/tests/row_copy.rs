//! Copies of a table that are kept by passing changes on, against a plain model.

use std::collections::BTreeMap;

use lynxcleat_store::{KeyReply, Missing, RowCopy, RowDelta, RowsAt, StoredRow};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use rstest::rstest;

const COPIES: usize = 4;

/// A table with its whole history.
#[derive(Default)]
struct Table {
    history: Vec<StoredRow>,
}

impl Table {
    fn version(&self) -> u64 {
        self.history.len() as u64
    }

    fn put(&mut self, key: u8, value: Option<u8>) {
        self.history.push(StoredRow {
            key: key.to_string(),
            value: value.map(|value| vec![value]),
            version: self.version() + 1,
        });
    }

    fn at(&self, version: u64) -> BTreeMap<String, StoredRow> {
        let before = self.history.iter().take(version as usize);
        let mut rows: BTreeMap<String, StoredRow> =
            before.map(|row| (row.key.clone(), row.clone())).collect();
        rows.retain(|_, row| row.value.is_some());
        rows
    }

    fn read(&self, version: u64) -> RowsAt {
        RowsAt {
            rows: self.at(version).into_values().collect(),
            version,
        }
    }

    fn changes(&self, after: u64) -> RowsAt {
        RowsAt {
            rows: self.history[after as usize..].to_vec(),
            version: self.version(),
        }
    }
}

/// A message in flight between two members.
#[derive(Clone)]
enum Message {
    Delta(RowDelta),
    Keys(KeyReply),
}

/// One member: its copy, and what it believes from the news of it.
#[derive(Default)]
struct Member {
    copy: RowCopy,
    believed: BTreeMap<String, StoredRow>,
    through: u64,
}

impl Member {
    fn believe(&mut self, news: Vec<StoredRow>) {
        for row in news {
            let held = self.believed.get(&row.key).map_or(0, |held| held.version);
            assert!(row.version > held, "{row:?} after version {held}");
            self.believed.insert(row.key.clone(), row);
        }
        assert!(self.copy.through() >= self.through, "it fell back");
        self.through = self.copy.through();
    }

    /// Takes a delta; returns what the sender is to be asked for.
    fn hear(&mut self, delta: RowDelta) -> Option<Missing> {
        let taken = self.copy.take_delta(delta);
        self.believe(taken.news);
        taken.missing
    }

    /// Applies a message and returns what is to be requested from its sender.
    fn take(&mut self, message: Message) -> Option<Missing> {
        match message {
            Message::Delta(delta) => self.hear(delta),
            Message::Keys(reply) => {
                let news = self.copy.take_keys(reply);
                self.believe(news);
                None
            }
        }
    }

    fn answer(&self, missing: Missing) -> Message {
        match missing {
            Missing::Changes { after } => Message::Delta(self.copy.delta_after(after)),
            Missing::Removals(ask) => Message::Keys(self.copy.key_reply(&ask)),
        }
    }

    fn values(&self) -> BTreeMap<String, Vec<u8>> {
        let values = self.believed.values();
        let present = values.filter_map(|row| Some((row.key.clone(), row.value.clone()?)));
        present.collect()
    }
}

proptest! {
    #![proptest_config(Config { rng_seed: RngSeed::Fixed(7), cases: 2_000, failure_persistence: None, ..Config::default() })]

    /// Changes, whole and old reads, feeds, and deltas that are lost, repeated, late and out
    /// of order, restarts among them: no member goes back, and once each has exchanged with
    /// one that knows, all believe what stands in the table.
    #[test]
    fn copies_never_go_back_and_end_alike(
        steps in prop::collection::vec((0..9_u8, 0..COPIES, 0..COPIES, 0..5_u8, 0..6_u64), 1..120)
    ) {
        let mut table = Table::default();
        let mut members: Vec<Member> = (0..COPIES).map(|_| Member::default()).collect();
        let mut on_the_way: Vec<Message> = Vec::new();
        for (kind, from, to, key, behind) in steps {
            match kind {
                0 | 1 => table.put(key, Some(kind + key)),
                2 => table.put(key, None),
                3 => {
                    let version = table.version().saturating_sub(behind);
                    let news = members[from].copy.take_table(table.read(version));
                    members[from].believe(news);
                }
                4 => {
                    let changes = table.changes(members[from].copy.through());
                    let news = members[from].copy.take_changes(changes);
                    members[from].believe(news);
                }
                5 => {
                    let after = members[from].copy.through().saturating_sub(behind);
                    let delta = members[from].copy.delta_after(after);
                    on_the_way.push(Message::Delta(delta));
                }
                6 | 7 if !on_the_way.is_empty() => {
                    let number = behind as usize % on_the_way.len();
                    let message = match kind {
                        6 => on_the_way[number].clone(),
                        _ => on_the_way.swap_remove(number),
                    };
                    if let Some(missing) = members[to].take(message) {
                        on_the_way.push(members[from].answer(missing));
                    }
                }
                8 if behind == 0 => members[to] = Member::default(),
                _ => {}
            }
        }
        let news = members[0].copy.take_table(table.read(table.version()));
        members[0].believe(news);
        for to in 1..COPIES {
            let after = members[to].copy.through();
            let delta = members[to - 1].copy.delta_after(after);
            let missing = members[to].hear(delta);
            if let Some(missing) = missing {
                prop_assert!(matches!(missing, Missing::Removals(_)));
                let keys = members[to - 1].answer(missing);
                prop_assert_eq!(members[to].take(keys), None);
            }
            prop_assert_eq!(members[to].copy.through(), members[0].copy.through());
        }
        let stands: BTreeMap<String, Vec<u8>> = table
            .at(table.version())
            .into_iter()
            .filter_map(|(key, row)| Some((key, row.value?)))
            .collect();
        for member in &members {
            prop_assert_eq!(&member.values(), &stands);
        }
    }
}

/// Found by the model: a copy that was read whole does not know what was removed before,
/// and passed on a delta from which the removal was missing.
#[test]
fn a_removal_that_was_never_seen_is_found_by_comparing_keys() {
    let mut table = Table::default();
    table.put(1, Some(1));
    let mut early = RowCopy::default();
    early.take_table(table.read(1));
    table.put(1, None);
    let mut late = RowCopy::default();
    late.take_table(table.read(2));
    let taken = early.take_delta(late.delta_after(1));
    let Some(Missing::Removals(ask)) = taken.missing else {
        panic!("{taken:?}");
    };
    assert_eq!(early.through(), 1, "not complete yet");
    let news = early.take_keys(late.key_reply(&ask));
    assert_eq!(news.len(), 1);
    assert_eq!(news[0].value, None);
    assert_eq!(early.through(), 2);
}

/// Guards against sending the whole table for a missed removal.
#[rstest]
#[case(300)]
#[case(984)]
#[case(6_000)]
fn a_removal_costs_a_few_buckets_of_keys_whatever_the_size(#[case] members: u64) {
    let rows = |removed: Option<u64>| -> Vec<StoredRow> {
        let keys = (1..=members).filter(|key| Some(*key) != removed);
        keys.map(|key| StoredRow {
            key: format!("member/host-{key}"),
            value: Some(vec![0; 250]),
            version: key,
        })
        .collect()
    };
    let mut early = RowCopy::default();
    early.take_table(RowsAt {
        rows: rows(None),
        version: members,
    });
    let mut late = RowCopy::default();
    late.take_table(RowsAt {
        rows: rows(Some(7)),
        version: members + 1,
    });
    let taken = early.take_delta(late.delta_after(early.through()));
    let Some(Missing::Removals(ask)) = taken.missing else {
        panic!("{taken:?}");
    };
    let reply = late.key_reply(&ask);
    assert!(reply.delta.rows.is_empty() && reply.buckets.len() == 1);
    assert!(
        reply.keys.len() as u64 <= members / 32,
        "{} keys",
        reply.keys.len()
    );
    assert_eq!(early.take_keys(reply).len(), 1);
}

/// Guards against key comparisons caused by rows that only the receiver has, as is common while a
/// fleet starts.
#[test]
fn newer_rows_at_the_receiver_do_not_look_like_removals() {
    let mut table = Table::default();
    for key in 0..50 {
        table.put(key, Some(key));
    }
    let mut sender = RowCopy::default();
    sender.take_table(table.read(50));
    let mut receiver = RowCopy::default();
    receiver.take_table(table.read(40));
    for key in 50..60 {
        table.put(key, Some(key));
    }
    let ahead = RowDelta {
        after: 55,
        ..RowDelta::default()
    };
    let newest = table.changes(55);
    receiver.take_delta(RowDelta {
        through: newest.version,
        rows: newest.rows,
        ..ahead
    });
    let taken = receiver.take_delta(sender.delta_after(receiver.through()));
    assert_eq!(taken.missing, None);
    assert_eq!(receiver.through(), 50);
}

/// Found by the model: an old read brought back a row that was removed before a newer read.
#[test]
fn an_old_read_does_not_bring_back_what_was_removed() {
    let mut table = Table::default();
    table.put(1, Some(1));
    table.put(1, None);
    table.put(2, Some(2));
    let mut copy = RowCopy::default();
    copy.take_table(table.read(3));
    assert_eq!(copy.take_table(table.read(1)), Vec::new());
}

/// A fleet that starts reads the table at many moments. What one misses of another must not
/// cost the whole table, which made most of the bytes between zones.
#[test]
fn copies_that_were_read_one_after_the_other_exchange_changes_only() {
    let mut table = Table::default();
    for key in 0..100 {
        table.put(key, Some(key));
    }
    let mut early = RowCopy::default();
    early.take_table(table.read(90));
    let mut late = RowCopy::default();
    late.take_table(table.read(100));
    let delta = late.delta_after(early.through());
    assert_eq!(delta.rows.len(), 10);
    assert_eq!(early.take_delta(delta).missing, None);
    assert_eq!(early.through(), 100);
}

#[test]
fn a_delta_with_a_gap_before_it_is_taken_but_not_taken_for_all() {
    let mut table = Table::default();
    table.put(1, Some(1));
    table.put(2, Some(2));
    table.put(3, Some(3));
    let mut knowing = RowCopy::default();
    knowing.take_changes(table.changes(0));
    let mut copy = RowCopy::default();
    let taken = copy.take_delta(knowing.delta_after(2));
    assert_eq!(taken.missing, Some(Missing::Changes { after: 0 }));
    assert_eq!(taken.news.len(), 1);
    assert_eq!(copy.through(), 0);
    let taken = copy.take_delta(knowing.delta_after(0));
    assert_eq!(taken.missing, None);
    assert_eq!(taken.news.len(), 2, "what was known is no news");
    assert_eq!(copy.through(), 3);
}
