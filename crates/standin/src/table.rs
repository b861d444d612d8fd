//! The transactional table, the object store and the host list, in memory.
//!
//! Each keeps a short history, so that reads can be served as they were a while
//! ago.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use lynxcleat_store::{HostEntry, HostPage, NO_ROW, Row, Txn, TxnReply};
use serde_json::Value;

#[derive(Clone)]
struct Version {
    written: Instant,
    expires: Option<Instant>,
    row: Row,
}

impl Version {
    fn lives(&self, now: Instant) -> bool {
        self.expires.is_none_or(|at| now < at)
    }
}

/// The transactional table.
#[derive(Default)]
pub struct Table {
    rows: BTreeMap<String, Vec<Version>>,
    last_version: u64,
}

impl Table {
    /// The row as it was `age` ago; a row of version [`NO_ROW`] if there was none.
    pub fn read(&self, key: &str, age: Duration) -> Row {
        let now = Instant::now();
        let found = self.rows.get(key).and_then(|versions| {
            let seen = versions.iter().rev().find(|v| now - v.written >= age)?;
            seen.lives(now).then(|| seen.row.clone())
        });
        found.unwrap_or_else(|| Row {
            key: key.to_owned(),
            version: NO_ROW,
            value: Value::Null,
        })
    }

    /// Rows by prefix, as they were `age` ago.
    pub fn scan(&self, prefix: &str, after: &str, limit: usize, age: Duration) -> Vec<Row> {
        let start = prefix.max(after).to_owned();
        self.rows
            .range(start..)
            .map(|(key, _)| key)
            .take_while(|key| key.starts_with(prefix) || key.as_str() < prefix)
            .filter(|key| key.starts_with(prefix) && key.as_str() > after)
            .map(|key| self.read(key, age))
            .filter(|row| row.version > NO_ROW)
            .take(limit)
            .collect()
    }

    /// Runs a transaction on the rows as they are.
    pub fn write(&mut self, txn: Txn) -> TxnReply {
        let conflicts: Vec<Row> = txn
            .checks
            .iter()
            .map(|check| (check, self.read(&check.key, Duration::ZERO)))
            .filter(|(check, row)| row.version != check.version)
            .map(|(_, row)| row)
            .collect();
        if !conflicts.is_empty() {
            return TxnReply {
                committed: false,
                conflicts,
            };
        }
        let now = Instant::now();
        for put in txn.puts {
            self.last_version += 1;
            let version = Version {
                written: now,
                expires: put.ttl_ms.map(|ms| now + Duration::from_millis(ms)),
                row: Row {
                    key: put.key.clone(),
                    version: self.last_version,
                    value: put.value,
                },
            };
            self.rows.entry(put.key).or_default().push(version);
        }
        TxnReply {
            committed: true,
            conflicts: Vec::new(),
        }
    }
}

/// The object store.
#[derive(Default)]
pub struct Objects(HashMap<String, Vec<u8>>);

impl Objects {
    /// Stores content.
    pub fn put(&mut self, name: &str, content: Vec<u8>) {
        self.0.insert(name.to_owned(), content);
    }

    /// Reads content.
    pub fn get(&self, name: &str) -> Option<Vec<u8>> {
        self.0.get(name).cloned()
    }
}

/// The host list.
#[derive(Default)]
pub struct Hosts {
    log: Vec<(Instant, HostEntry)>,
}

impl Hosts {
    /// Changes a host's entry.
    pub fn put(&mut self, entry: HostEntry) {
        self.log.push((Instant::now(), entry));
    }

    /// What changed since version `after`, leaving out the last `lag`.
    pub fn page(&self, after: u64, limit: usize, lag: Duration) -> HostPage {
        let now = Instant::now();
        let visible = self
            .log
            .iter()
            .take_while(|(at, _)| now - *at >= lag)
            .count();
        let start = (after as usize).min(visible);
        let end = (start + limit).min(visible);
        HostPage {
            version: end as u64,
            hosts: self.log[start..end]
                .iter()
                .map(|(_, entry)| entry.clone())
                .collect(),
            more: end < visible,
        }
    }
}
